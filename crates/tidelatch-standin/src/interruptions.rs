//! Records which replicas run, and detects interruptions that exceed disruption budgets.
//!
//! A unit is one task or replica, such as `job-000001/3`. The recorder does not know the controllers or their permits.
//! It is given the machine of each running unit, and the machines that the test itself has taken away. Every other stop
//! counts as voluntary, that is, as a decision of a controller.

use std::collections::{BTreeMap, BTreeSet};

/// Jobs whose units share a disruption budget.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Group {
    /// Maximum number of its units that may be voluntarily stopped at a time.
    max_stopped: usize,
    /// The jobs of the group.
    jobs: BTreeSet<String>,
}

/// A voluntary interruption that the budget did not allow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BudgetViolation {
    /// More units were voluntarily stopped, and did not run again yet, than the budget allows.
    BudgetExceeded {
        /// The group whose budget was exceeded.
        group: String,
        /// Time of the stop, in milliseconds.
        at_ms: u64,
        /// The units that were stopped.
        stopped: Vec<String>,
    },
    /// A unit was voluntarily stopped although lost machines had used up the budget for longer than permits are valid.
    StoppedWhileBudgetSpent {
        /// The group whose budget was exceeded.
        group: String,
        /// Time of the stop, in milliseconds.
        at_ms: u64,
        /// The unit that was stopped.
        unit: String,
    },
}

/// A voluntary interruption of a unit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Interruption {
    /// Time of the stop, in milliseconds.
    pub at_ms: u64,
    /// The unit that was stopped.
    pub unit: String,
    /// The machine that the unit ran on.
    pub machine: String,
}

/// Records which units run, which do not, and why.
#[derive(Debug, Clone, Default)]
pub struct InterruptionRecorder {
    groups: BTreeMap<String, Group>,
    running: BTreeMap<String, String>,
    lost_machines: BTreeSet<String>,
    /// Machines whose session was lost since the last call of [`Self::record_running_units`], with all units on them.
    lost_sessions: BTreeSet<String>,
    /// Units that were voluntarily stopped and do not run again yet.
    stopped: BTreeSet<String>,
    /// Units that do not run because a machine was lost, and since when.
    lost: BTreeMap<String, u64>,
    /// Milliseconds for which permits that were granted before a loss may still be used.
    grace_ms: u64,
    interruptions: Vec<Interruption>,
    budget_violations: Vec<BudgetViolation>,
}

/// Returns the job of a unit such as `job-000001/3`.
fn job_of(unit: &str) -> &str {
    unit.split('/').next().unwrap_or(unit)
}

impl InterruptionRecorder {
    /// Creates a recorder that tolerates the use of permits for up to `grace_ms` after a loss.
    pub fn new(grace_ms: u64) -> Self {
        Self {
            grace_ms,
            ..Self::default()
        }
    }

    /// Sets a budget: at most `max_stopped` units of these jobs together may be voluntarily stopped at a time.
    pub fn set_budget(&mut self, group: &str, jobs: &[&str], max_stopped: usize) {
        let jobs = jobs.iter().map(|job| (*job).to_owned()).collect();
        self.groups.insert(group.to_owned(), Group { max_stopped, jobs });
    }

    /// Records that a machine is lost. The stops of the units on it are involuntary.
    pub fn record_machine_lost(&mut self, machine: &str) {
        self.lost_machines.insert(machine.to_owned());
    }

    /// Records that a worker's session is lost: the stops of the units that ran on it until now are involuntary. Units
    /// that start there later are not affected.
    pub fn record_session_lost(&mut self, machine: &str) {
        self.lost_sessions.insert(machine.to_owned());
    }

    /// Records the units that run at a time, each with its machine.
    pub fn record_running_units(&mut self, at_ms: u64, running: BTreeMap<String, String>) {
        let previous = std::mem::replace(&mut self.running, running);
        for unit in self.running.keys() {
            self.stopped.remove(unit);
            self.lost.remove(unit);
        }
        let interruptions_before = self.interruptions.len();
        for (unit, machine) in previous {
            if !self.running.contains_key(&unit) {
                self.unit_stopped(at_ms, unit, machine);
            }
        }
        self.lost_sessions.clear();
        if self.interruptions.len() > interruptions_before {
            self.check_groups(at_ms);
        }
    }

    fn unit_stopped(&mut self, at_ms: u64, unit: String, machine: String) {
        if self.lost_machines.contains(&machine) || self.lost_sessions.contains(&machine) {
            self.lost.insert(unit, at_ms);
            return;
        }
        for (name, group) in self.groups.iter().filter(|(_, g)| g.jobs.contains(job_of(&unit))) {
            let mut lost = self.lost.iter().filter(|(unit, _)| group.jobs.contains(job_of(unit)));
            let long_lost = lost
                .by_ref()
                .filter(|(_, since)| at_ms.saturating_sub(**since) > self.grace_ms);
            if long_lost.count() >= group.max_stopped {
                self.budget_violations.push(BudgetViolation::StoppedWhileBudgetSpent {
                    group: name.clone(),
                    at_ms,
                    unit: unit.clone(),
                });
            }
        }
        self.stopped.insert(unit.clone());
        self.interruptions.push(Interruption { at_ms, unit, machine });
    }

    fn check_groups(&mut self, at_ms: u64) {
        for (name, group) in &self.groups {
            let stopped = self.stopped.iter().filter(|unit| group.jobs.contains(job_of(unit)));
            let stopped: Vec<String> = stopped.cloned().collect();
            if stopped.len() > group.max_stopped {
                self.budget_violations.push(BudgetViolation::BudgetExceeded {
                    group: name.clone(),
                    at_ms,
                    stopped,
                });
            }
        }
    }

    /// Records that a job has ended: its units need not run any more.
    pub fn record_job_end(&mut self, job: &str) {
        self.running.retain(|unit, _| job_of(unit) != job);
        self.stopped.retain(|unit| job_of(unit) != job);
        self.lost.retain(|unit, _| job_of(unit) != job);
    }

    /// Returns all voluntary interruptions so far.
    pub fn interruptions(&self) -> &[Interruption] {
        &self.interruptions
    }

    /// Returns all interruptions that exceeded a budget.
    pub fn budget_violations(&self) -> &[BudgetViolation] {
        &self.budget_violations
    }
}
