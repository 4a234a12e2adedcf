//! Settings of disruption budgets and drains, and the checks on them.

use super::{Facts, Fault};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use tidelatch_disruption::{Amount, AmountError, Budget};
use wildmatch::WildMatch;

/// Maximum number of tasks of a job, set by the protocol. It is also the limit for the unit counts in a budget.
const MAX_TASKS_PER_JOB: u32 = 100_000;
/// Maximum length of a drain's name.
const MAX_DRAIN_NAME_BYTES: usize = 40;
/// Maximum of a drain's `patience_s` and `delay_s`: one day.
const MAX_DRAIN_WAIT_S: f64 = 86_400.0;

/// Number of replicas of one service that may be unavailable at a time if no budget is set.
const DEFAULT_UNAVAILABLE_REPLICAS_PER_JOB: u32 = 1;
/// Percentage of the replicas of a team's services of one class with production priority, over all these jobs, that may
/// be unavailable at a time if no budget is set; at least one replica.
const DEFAULT_UNAVAILABLE_PRODUCTION_PERCENT: u8 = 5;
/// Percentage of the running tasks of a class of arrays or gangs that may be interrupted at a time if no budget is set;
/// at least one task.
const DEFAULT_INTERRUPTED_TASKS_PERCENT: u8 = 25;

/// A number of units (replicas of a service, tasks of an array or a gang), or a percentage of the units such as
/// `"25%"`. With a percentage, the number of units that may be unavailable is rounded down, for `max_unavailable` and
/// for `min_available`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(untagged)]
pub enum Units {
    /// Number of units.
    Count(u32),
    /// Percentage of the units, as text that ends in `%`.
    Share(String),
}

impl Units {
    /// Parses the setting into an amount.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a percentage from 0% to 100%.
    pub fn amount(&self) -> Result<Amount, AmountError> {
        match self {
            Self::Count(count) => Ok(Amount::Count(*count)),
            Self::Share(text) => text.parse(),
        }
    }
}

/// Number of units of a team's classes that may be unavailable at a time. Exactly one of `max_unavailable` and
/// `min_available` is set. All units of one team and class share the budget, over all jobs. A replica of a service
/// counts as unavailable for any reason: its machine was lost, it waits for a machine, or its image is being fetched. A
/// task of an array or a gang counts as unavailable only after it was interrupted under a permit, until it runs again.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct BudgetRule {
    /// Pattern of team names; `*` matches any text.
    pub team: String,
    /// Patterns of class names; `*` matches any text. An empty list matches all classes.
    pub classes: Vec<String>,
    /// Maximum number of units that may be unavailable.
    pub max_unavailable: Option<Units>,
    /// Minimum number of units that must be available.
    pub min_available: Option<Units>,
}

/// A drain: replaces, a few at a time, all machines of a kind that are in the roster when the drain begins.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct DrainRule {
    /// Name, made of letters, digits, `-` and `_`. The name of a drain that was removed from the settings may be used
    /// again.
    pub name: String,
    /// Machine type of the machines to drain; any type if it is not set.
    pub machine_type: Option<String>,
    /// Zone of the machines to drain; any zone if it is not set.
    pub zone: Option<String>,
    /// Drains only spot machines if `true`, only on-demand machines if `false`, and both if it is not set.
    pub spot: Option<bool>,
    /// Maximum number of the machines drained at a time that get a replacement machine, rented before their tasks are
    /// evicted. Tasks of the other machines are moved to free capacity of the machines that are already rented.
    #[schemars(range(min = 0, max = 1_000))]
    pub surge: u32,
    /// Maximum number of machines that are drained at a time.
    #[schemars(range(min = 1, max = 1_000))]
    pub max_machines: u32,
    /// Time, in seconds, that a drain waits for a task of an array or a gang to end, where waiting costs less than an
    /// interruption.
    #[schemars(range(min = 0.0, max = 86_400.0))]
    pub patience_s: f64,
    /// Time, in seconds, that the leading controller must have been running before it begins the drain, so that the
    /// other controllers can be restarted with the same settings first.
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

/// Disruption budgets and drains. Every voluntary interruption (consolidation of machines, moves of replicas, drains)
/// stays within the budgets. Where no entry of `budgets` matches, each service may have one replica unavailable at a
/// time, and a production class a twentieth of its replicas over all jobs, at least one. Of a class of arrays or gangs,
/// a quarter of the running tasks may be interrupted at a time, at least one.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Disruption {
    /// Budgets. The first entry that matches a team and class applies to it.
    pub budgets: Vec<BudgetRule>,
    /// Drains. Removing an entry cancels the drain: its machines that are not deleted yet return to service.
    pub drains: Vec<DrainRule>,
}

impl BudgetRule {
    fn applies_to(&self, team: &str, class: &str) -> bool {
        let matches_class = |class: &str| {
            self.classes
                .iter()
                .any(|pattern| WildMatch::new(pattern).matches(class))
        };
        WildMatch::new(&self.team).matches(team) && (self.classes.is_empty() || matches_class(class))
    }

    /// The budget, or `None` if the rule is invalid.
    fn budget(&self) -> Option<Budget> {
        match (&self.max_unavailable, &self.min_available) {
            (Some(units), None) => units.amount().ok().map(Budget::MaxUnavailable),
            (None, Some(units)) => units.amount().ok().map(Budget::MinAvailable),
            _ => None,
        }
    }

    /// Adds the faults of the rule that stands at `path`.
    fn collect_faults(&self, path: &str, faults: &mut Vec<Fault>) {
        let mut add = |field: &str, message: String| {
            let path = format!("{path}{field}");
            faults.push(Fault { path, message });
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
                Some(Ok(Amount::Count(count))) if count > MAX_TASKS_PER_JOB => {
                    add(
                        field,
                        format!("must be at most {MAX_TASKS_PER_JOB}, the maximum number of tasks of a job"),
                    );
                }
                _ => {}
            }
        }
        if self.max_unavailable.is_some() == self.min_available.is_some() {
            add(
                "",
                "must set exactly one of max_unavailable and min_available".to_owned(),
            );
        }
    }
}

impl DrainRule {
    /// Whether the drain selects machines of this type and zone, and of this kind (spot or on-demand).
    pub fn selects(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        let matches = |wanted: &Option<String>, found: &str| wanted.as_ref().is_none_or(|wanted| wanted == found);
        matches(&self.machine_type, machine_type)
            && matches(&self.zone, zone)
            && self.spot.is_none_or(|wanted| wanted == spot)
    }

    /// Adds the faults of the drain that stands at `path`.
    fn collect_faults(&self, path: &str, faults: &mut Vec<Fault>) {
        let mut add = |field: &str, message: &str| {
            faults.push(Fault {
                path: format!("{path}.{field}"),
                message: message.to_owned(),
            });
        };
        let is_name_char = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if self.name.is_empty() || self.name.len() > MAX_DRAIN_NAME_BYTES || !self.name.chars().all(is_name_char) {
            add("name", "must have 1 to 40 letters, digits, - or _");
        }
        if self.max_machines == 0 || self.max_machines > 1_000 {
            add("max_machines", "must lie between 1 and 1000");
        }
        if self.surge > 1_000 {
            add("surge", "must lie between 0 and 1000");
        }
        for (field, seconds) in [("patience_s", self.patience_s), ("delay_s", self.delay_s)] {
            if !(0.0..=MAX_DRAIN_WAIT_S).contains(&seconds) {
                add(field, "must lie between 0 and 86400");
            }
        }
        if self.machine_type.as_ref().is_some_and(String::is_empty) {
            add("machine_type", "must not be empty");
        }
    }
}

impl Disruption {
    /// The budget that the settings give a team's class, if any.
    pub fn budget(&self, team: &str, class: &str) -> Option<Budget> {
        let rule = self.budgets.iter().find(|rule| rule.applies_to(team, class))?;
        rule.budget()
    }

    /// Default budget for the replicas of one service.
    pub fn default_service_budget() -> Budget {
        Budget::MaxUnavailable(Amount::Count(DEFAULT_UNAVAILABLE_REPLICAS_PER_JOB))
    }

    /// Default budget for the replicas of a team's services of one class with production priority, over all these jobs.
    pub fn default_production_class_budget() -> Budget {
        Budget::MaxUnavailable(Amount::PercentOrOne(DEFAULT_UNAVAILABLE_PRODUCTION_PERCENT))
    }

    /// Default budget for the tasks of a class of arrays or gangs.
    pub fn default_task_class_budget() -> Budget {
        Budget::MaxUnavailable(Amount::PercentOrOne(DEFAULT_INTERRUPTED_TASKS_PERCENT))
    }

    /// The drain of this name, if the settings have one.
    pub fn drain(&self, name: &str) -> Option<&DrainRule> {
        self.drains.iter().find(|drain| drain.name == name)
    }

    /// Faults that can be found without the facts of the deployment.
    pub(super) fn value_faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        for (i, rule) in self.budgets.iter().enumerate() {
            rule.collect_faults(&format!("disruption.budgets[{i}]"), &mut faults);
        }
        let mut names = BTreeSet::new();
        for (i, drain) in self.drains.iter().enumerate() {
            let path = format!("disruption.drains[{i}]");
            drain.collect_faults(&path, &mut faults);
            if !names.insert(&drain.name) {
                faults.push(Fault {
                    path: format!("{path}.name"),
                    message: format!("`{}` is already the name of another drain", drain.name),
                });
            }
        }
        faults.extend(self.never_ending_drain_faults());
        faults
    }

    /// Drains that could never finish: they rent no replacements ahead, and a budget permits no interruption.
    fn never_ending_drain_faults(&self) -> Vec<Fault> {
        let never_permits_disruption = |rule: &BudgetRule| rule.budget().is_some_and(Budget::never_permits_disruption);
        let blocking_budget = self.budgets.iter().position(never_permits_disruption);
        let find_fault = |(i, drain): (usize, &DrainRule)| {
            let budget = blocking_budget.filter(|_| drain.surge == 0)?;
            Some(Fault {
                path: format!("disruption.drains[{i}].surge"),
                message: format!("must not be 0 while disruption.budgets[{budget}] permits no unavailable unit"),
            })
        };
        self.drains.iter().enumerate().filter_map(find_fault).collect()
    }

    /// Faults that depend on the deployment: teams, classes and zones that it does not have.
    pub(super) fn deployment_faults(&self, facts: &Facts) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut add = |path: String, kind: &str, name: &str| {
            let message = format!("the deployment has no {kind} `{name}`");
            faults.push(Fault { path, message });
        };
        let classes: Vec<&String> = facts
            .objectives
            .iter()
            .filter_map(|objective| objective.class.as_ref())
            .collect();
        for (i, rule) in self.budgets.iter().enumerate() {
            let pattern = WildMatch::new(&rule.team);
            if !facts.teams.iter().any(|team| pattern.matches(&team.name)) {
                add(format!("disruption.budgets[{i}].team"), "team", &rule.team);
            }
            // Only the objectives name classes. A deployment without objectives may have any class.
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
