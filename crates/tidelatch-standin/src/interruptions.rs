//! Watches which replicas run, and finds interruptions beyond budgets.
//!
//! The recorder knows nothing of controllers or of permits. It is told which units run where, and which machines the
//! test itself has lost; whatever else stops was stopped by choice.

use std::collections::{BTreeMap, BTreeSet};

/// Units that share a budget.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Group {
    /// Most of them that may be away at a time.
    most_away: usize,
    /// Jobs whose units belong to it.
    jobs: BTreeSet<String>,
}

/// An interruption that no budget allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Excess {
    /// More units were stopped by choice, and did not run again yet, than may be away.
    TooMany {
        /// The group.
        group: String,
        /// When, in milliseconds.
        at_ms: u64,
        /// The units.
        away: Vec<String>,
    },
    /// A unit was stopped by choice although lost machines had used up the budget for longer than permits last.
    WhileSpent {
        /// The group.
        group: String,
        /// When, in milliseconds.
        at_ms: u64,
        /// The unit.
        unit: String,
    },
}

/// An interruption by choice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Interruption {
    /// When, in milliseconds.
    pub at_ms: u64,
    /// The unit.
    pub unit: String,
    /// The machine that it left.
    pub machine: String,
}

/// What runs, what is away and why.
#[derive(Debug, Clone, Default)]
pub struct InterruptionRecorder {
    groups: BTreeMap<String, Group>,
    running: BTreeMap<String, String>,
    lost_machines: BTreeSet<String>,
    /// Machines on which all that ran was lost since the last sample.
    lost_sessions: BTreeSet<String>,
    /// Units that are away by choice.
    stopped: BTreeSet<String>,
    /// Units that are away because a machine was lost, and since when.
    lost: BTreeMap<String, u64>,
    /// Time for which permits that were granted before a loss may still be used.
    grace_ms: u64,
    interruptions: Vec<Interruption>,
    excesses: Vec<Excess>,
}

/// The job of a unit such as `job-000001/3`.
fn job_of(unit: &str) -> &str {
    unit.split('/').next().unwrap_or(unit)
}

impl InterruptionRecorder {
    /// A recorder that allows for permits that were granted up to `grace_ms` before a loss.
    pub fn new(grace_ms: u64) -> Self {
        Self {
            grace_ms,
            ..Self::default()
        }
    }

    /// Of some jobs together at most so many units may be away at a time.
    pub fn limit(&mut self, group: &str, jobs: &[&str], most_away: usize) {
        let jobs = jobs.iter().map(|job| (*job).to_owned()).collect();
        self.groups.insert(group.to_owned(), Group { most_away, jobs });
    }

    /// A machine is lost with all that runs on it: nobody chose to stop that.
    pub fn machine_lost(&mut self, machine: &str) {
        self.lost_machines.insert(machine.to_owned());
    }

    /// What ran on a machine until now was lost; what runs there from now on was not.
    pub fn session_lost(&mut self, machine: &str) {
        self.lost_sessions.insert(machine.to_owned());
    }

    /// The units that run at a moment, each with its machine.
    pub fn sample(&mut self, at_ms: u64, running: BTreeMap<String, String>) {
        let before = std::mem::replace(&mut self.running, running);
        for unit in self.running.keys() {
            self.stopped.remove(unit);
            self.lost.remove(unit);
        }
        let chosen = self.interruptions.len();
        for (unit, machine) in before {
            if !self.running.contains_key(&unit) {
                self.unit_stopped(at_ms, unit, machine);
            }
        }
        self.lost_sessions.clear();
        if self.interruptions.len() > chosen {
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
            let long = lost
                .by_ref()
                .filter(|(_, since)| at_ms.saturating_sub(**since) > self.grace_ms);
            if long.count() >= group.most_away {
                self.excesses.push(Excess::WhileSpent {
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
            let away = self.stopped.iter().filter(|unit| group.jobs.contains(job_of(unit)));
            let away: Vec<String> = away.cloned().collect();
            if away.len() > group.most_away {
                self.excesses.push(Excess::TooMany {
                    group: name.clone(),
                    at_ms,
                    away,
                });
            }
        }
    }

    /// A job is over: its units are wanted no longer.
    pub fn job_over(&mut self, job: &str) {
        self.running.retain(|unit, _| job_of(unit) != job);
        self.stopped.retain(|unit| job_of(unit) != job);
        self.lost.retain(|unit, _| job_of(unit) != job);
    }

    /// All interruptions by choice so far.
    pub fn interruptions(&self) -> &[Interruption] {
        &self.interruptions
    }

    /// All that went beyond a budget.
    pub fn excesses(&self) -> &[Excess] {
        &self.excesses
    }
}
