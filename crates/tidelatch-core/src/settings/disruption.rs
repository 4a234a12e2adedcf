//! Settings of disruption budgets and drains.

use super::{Facts, Fault};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use tidelatch_disruption::{Amount, AmountError, Budget};
use wildmatch::WildMatch;

/// Most tasks of a job, by the protocol: no budget can ask for more units than that.
const MOST_UNITS: u32 = 100_000;
/// Longest name of a drain.
const MOST_NAME_BYTES: usize = 40;
/// Longest patience with a task, and longest delay of a drain, in seconds: a day.
const MOST_SECONDS: f64 = 86_400.0;

/// Replicas of one service that may be away at a time where no budget is set.
const DEFAULT_REPLICAS_OF_A_JOB: u32 = 1;
/// Percentage of a production class's replicas that may be away at a time, over all its jobs; one at least.
const DEFAULT_PRODUCTION_PERCENT: u8 = 5;
/// Percentage of the running tasks of a class of arrays or gangs that may be interrupted at a time; one at least.
const DEFAULT_TASKS_PERCENT: u8 = 25;

/// A number of units, or a percentage such as `"25%"`, which is rounded down.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(untagged)]
pub enum Units {
    /// So many units.
    Count(u32),
    /// So many percent of the units, as text that ends in `%`.
    Share(String),
}

impl Units {
    /// The amount that is meant.
    ///
    /// # Errors
    ///
    /// The text is no percentage from 0% to 100%.
    pub fn amount(&self) -> Result<Amount, AmountError> {
        match self {
            Self::Count(count) => Ok(Amount::Count(*count)),
            Self::Share(text) => text.parse(),
        }
    }
}

/// How many units of a team's classes may be unavailable at a time. Of `max_unavailable` and `min_available` one is
/// set. All units of one team and class share the budget, over all jobs. What is down for any reason counts: a lost
/// machine, a replica that waits, an image that is being fetched.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct BudgetRule {
    /// Teams, by name; `*` stands for any text.
    pub team: String,
    /// Classes, by name, each with `*` for any text; empty: all.
    pub classes: Vec<String>,
    /// Most units that may be unavailable.
    pub max_unavailable: Option<Units>,
    /// Least units that must be available.
    pub min_available: Option<Units>,
}

/// A drain: all machines of a kind that are in the roster when it begins are replaced, step by step.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct DrainRule {
    /// Name, of letters, digits, `-` and `_`. A name that was used and removed from the settings may be used again.
    pub name: String,
    /// Machine type; none: any.
    pub machine_type: Option<String>,
    /// Zone; none: any.
    pub zone: Option<String>,
    /// Only spot machines, or only ordinary ones; none: both.
    pub spot: Option<bool>,
    /// Replacements that are rented ahead of the evictions at a time. Machines beyond that are emptied into the room
    /// that there is.
    #[schemars(range(min = 0, max = 1_000))]
    pub surge: u32,
    /// Machines that are drained at a time.
    #[schemars(range(min = 1, max = 1_000))]
    pub max_machines: u32,
    /// Seconds for which a task of an array or a gang is waited for where waiting costs less than an interruption.
    #[schemars(range(min = 0.0, max = 86_400.0))]
    pub patience_s: f64,
    /// Seconds for which a leader has to have run before it begins the drain: time for the other controllers to get the
    /// same settings.
    #[schemars(range(min = 0.0, max = 86_400.0))]
    pub delay_s: f64,
}

impl Default for DrainRule {
    fn default() -> Self {
        Self {
            name: String::new(),
            machine_type: None,
            zone: None,
            spot: None,
            surge: 1,
            max_machines: 1,
            patience_s: 600.0,
            delay_s: 0.0,
        }
    }
}

/// Every voluntary interruption (machines that are emptied, replicas that are moved, drains) keeps to disruption
/// budgets. Without an entry in `budgets`, a service has one replica away at a time for each job, and a production class
/// a twentieth of its replicas over all jobs, one at least; classes of arrays and gangs have a quarter of their running
/// tasks interrupted at a time, one at least.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Disruption {
    /// Budgets: for each team and class the first that matches holds.
    pub budgets: Vec<BudgetRule>,
    /// Drains. One that is removed is given up: machines that are not deleted yet go back to service.
    pub drains: Vec<DrainRule>,
}

impl BudgetRule {
    fn covers(&self, team: &str, class: &str) -> bool {
        let any = |class: &str| {
            self.classes
                .iter()
                .any(|pattern| WildMatch::new(pattern).matches(class))
        };
        WildMatch::new(&self.team).matches(team) && (self.classes.is_empty() || any(class))
    }

    /// The budget; none: the rule is not in order.
    fn budget(&self) -> Option<Budget> {
        match (&self.max_unavailable, &self.min_available) {
            (Some(units), None) => units.amount().ok().map(Budget::MaxUnavailable),
            (None, Some(units)) => units.amount().ok().map(Budget::MinAvailable),
            _ => None,
        }
    }

    fn faults(&self, path: &str, faults: &mut Vec<Fault>) {
        let mut add = |field: &str, fault: String| {
            let path = format!("{path}{field}");
            faults.push(Fault { path, fault });
        };
        if self.team.is_empty() {
            add(".team", "must not be empty".to_owned());
        }
        for (field, units) in [
            (".max_unavailable", &self.max_unavailable),
            (".min_available", &self.min_available),
        ] {
            match units.as_ref().map(Units::amount) {
                Some(Err(error)) => add(field, error.to_string()),
                Some(Ok(Amount::Count(count))) if count > MOST_UNITS => {
                    add(field, format!("no job has more than {MOST_UNITS} units"));
                }
                _ => {}
            }
        }
        if self.max_unavailable.is_some() == self.min_available.is_some() {
            add("", "sets one of max_unavailable and min_available".to_owned());
        }
    }
}

impl DrainRule {
    /// Whether the drain covers machines of a kind.
    pub fn selects(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        let is = |wanted: &Option<String>, found: &str| wanted.as_ref().is_none_or(|wanted| wanted == found);
        is(&self.machine_type, machine_type) && is(&self.zone, zone) && self.spot.is_none_or(|wanted| wanted == spot)
    }

    fn faults(&self, path: &str, faults: &mut Vec<Fault>) {
        let mut add = |field: &str, fault: &str| {
            faults.push(Fault {
                path: format!("{path}.{field}"),
                fault: fault.to_owned(),
            });
        };
        let plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if self.name.is_empty() || self.name.len() > MOST_NAME_BYTES || !self.name.chars().all(plain) {
            add("name", "must have 1 to 40 letters, digits, - or _");
        }
        if self.max_machines == 0 || self.max_machines > 1_000 {
            add("max_machines", "must lie between 1 and 1000");
        }
        if self.surge > 1_000 {
            add("surge", "must lie between 0 and 1000");
        }
        for (field, seconds) in [("patience_s", self.patience_s), ("delay_s", self.delay_s)] {
            if !(0.0..=MOST_SECONDS).contains(&seconds) {
                add(field, "must lie between 0 and 86400");
            }
        }
        if self.machine_type.as_ref().is_some_and(String::is_empty) {
            add("machine_type", "must not be empty");
        }
    }
}

impl Disruption {
    /// The budget that is set for a team's class.
    pub fn budget(&self, team: &str, class: &str) -> Option<Budget> {
        let rule = self.budgets.iter().find(|rule| rule.covers(team, class))?;
        rule.budget()
    }

    /// The budget of a service's replicas for each job, where none is set.
    pub fn default_for_job() -> Budget {
        Budget::MaxUnavailable(Amount::Count(DEFAULT_REPLICAS_OF_A_JOB))
    }

    /// The budget of a production class's replicas over all jobs, where none is set.
    pub fn default_for_production() -> Budget {
        Budget::MaxUnavailable(Amount::PercentOrOne(DEFAULT_PRODUCTION_PERCENT))
    }

    /// The budget of a class of arrays or gangs, where none is set.
    pub fn default_for_tasks() -> Budget {
        Budget::MaxUnavailable(Amount::PercentOrOne(DEFAULT_TASKS_PERCENT))
    }

    /// A drain by name.
    pub fn drain(&self, name: &str) -> Option<&DrainRule> {
        self.drains.iter().find(|drain| drain.name == name)
    }

    /// What is wrong with the values themselves.
    pub(super) fn value_faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        for (i, rule) in self.budgets.iter().enumerate() {
            rule.faults(&format!("disruption.budgets[{i}]"), &mut faults);
        }
        let mut names = BTreeSet::new();
        for (i, drain) in self.drains.iter().enumerate() {
            let path = format!("disruption.drains[{i}]");
            drain.faults(&path, &mut faults);
            if !names.insert(&drain.name) {
                faults.push(Fault {
                    path: format!("{path}.name"),
                    fault: format!("`{}` is the name of another drain", drain.name),
                });
            }
        }
        faults.extend(self.blocked_drains());
        faults
    }

    /// Budgets that permit nothing, beside a drain without replacements ahead: such a drain would never end.
    fn blocked_drains(&self) -> Vec<Fault> {
        let nothing = |rule: &BudgetRule| rule.budget().is_some_and(Budget::permits_nothing);
        let blocking = self.budgets.iter().position(nothing);
        let fault = |(i, drain): (usize, &DrainRule)| {
            let blocking = blocking.filter(|_| drain.surge == 0)?;
            Some(Fault {
                path: format!("disruption.drains[{i}].surge"),
                fault: format!("must not be 0 while disruption.budgets[{blocking}] lets nothing be unavailable"),
            })
        };
        self.drains.iter().enumerate().filter_map(fault).collect()
    }

    /// What is impossible in this deployment: teams, classes and zones that it does not have.
    pub(super) fn deployment_faults(&self, facts: &Facts) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut add = |path: String, what: &str, name: &str| {
            let fault = format!("the deployment has no {what} `{name}`");
            faults.push(Fault { path, fault });
        };
        let classes: Vec<&String> = facts.objectives.iter().filter_map(|aim| aim.class.as_ref()).collect();
        for (i, rule) in self.budgets.iter().enumerate() {
            let pattern = WildMatch::new(&rule.team);
            if !facts.teams.iter().any(|team| pattern.matches(&team.name)) {
                add(format!("disruption.budgets[{i}].team"), "team", &rule.team);
            }
            // Classes are known by the objectives alone; where there are none, any may come.
            for (j, class) in rule.classes.iter().enumerate().filter(|_| !classes.is_empty()) {
                let pattern = WildMatch::new(class);
                if !classes.iter().any(|known| pattern.matches(known)) {
                    add(format!("disruption.budgets[{i}].classes[{j}]"), "class", class);
                }
            }
        }
        for (i, drain) in self.drains.iter().enumerate() {
            if let Some(zone) = drain.zone.as_ref().filter(|zone| !facts.zones.contains(zone)) {
                add(format!("disruption.drains[{i}].zone"), "zone", zone);
            }
        }
        faults
    }
}
