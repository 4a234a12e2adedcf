//! Counts watch gaps and duplicate final answers, from what workers do and what users are told.
//!
//! * A **watch gap** is any time in which a replica that has once run runs on no machine, though no machine that held
//!   it was lost since. A machine that a controller gives up by itself is not lost: that is a gap.
//! * A **duplicate final answer** is a task of an array that completes twice, or a job that users are told has ended in
//!   two ways.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Something that must not happen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Breach {
    /// A replica ran nowhere.
    WatchGap {
        /// The replica.
        replica: String,
        /// When it stopped.
        from_ms: u64,
    },
    /// A task has completed more than once.
    CompletedTwice {
        /// The task.
        task: String,
    },
    /// A job has ended in two ways.
    EndedTwice {
        /// The job.
        job: String,
        /// What was told first.
        first: String,
        /// What was told then.
        then: String,
    },
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::WatchGap { replica, from_ms } => write!(f, "{replica} runs nowhere from {from_ms} ms on"),
            Self::CompletedTwice { task } => write!(f, "{task} has completed twice"),
            Self::EndedTwice { job, first, then } => write!(f, "{job} has ended as {first} and as {then}"),
        }
    }
}

/// What workers and users have seen.
#[derive(Debug, Default)]
pub struct Recorder {
    /// Machines on which each replica runs.
    running: BTreeMap<String, BTreeSet<String>>,
    /// Replicas whose last machine was lost: they are lawfully being replaced.
    being_replaced: BTreeSet<String>,
    cancelled: BTreeSet<String>,
    completions: BTreeMap<String, u32>,
    ends: BTreeMap<String, String>,
    breaches: Vec<Breach>,
    /// Replicas that have ever run.
    watched: BTreeSet<String>,
}

impl Recorder {
    /// All that must not have happened.
    pub fn breaches(&self) -> &[Breach] {
        &self.breaches
    }

    /// Replicas that have ever run, and tasks that have completed: what the counts are about.
    pub fn observed(&self) -> (usize, usize) {
        (self.watched.len(), self.completions.len())
    }

    /// A replica runs on a machine.
    pub fn replica_runs(&mut self, replica: &str, machine: &str) {
        self.watched.insert(replica.to_owned());
        self.being_replaced.remove(replica);
        let machines = self.running.entry(replica.to_owned()).or_default();
        machines.insert(machine.to_owned());
    }

    /// A replica does not run on a machine any more, which is still there.
    pub fn replica_stops(&mut self, now_ms: u64, replica: &str, machine: &str) {
        let Some(machines) = self.running.get_mut(replica) else {
            return;
        };
        let ran = machines.remove(machine);
        let job = replica.split('/').next().unwrap_or_default();
        if ran && machines.is_empty() && !self.cancelled.contains(job) {
            self.breaches.push(Breach::WatchGap {
                replica: replica.to_owned(),
                from_ms: now_ms,
            });
        }
    }

    /// A machine was lost by no doing of the controllers.
    pub fn machine_lost(&mut self, machine: &str) {
        for (replica, machines) in &mut self.running {
            if machines.remove(machine) && machines.is_empty() {
                self.being_replaced.insert(replica.clone());
            }
        }
    }

    /// A user asks to cancel a job: its replicas may stop.
    pub fn cancel_asked(&mut self, job: &str) {
        self.cancelled.insert(job.to_owned());
    }

    /// A task of an array has completed.
    pub fn task_completed(&mut self, task: &str) {
        let completions = self.completions.entry(task.to_owned()).or_default();
        *completions += 1;
        if *completions > 1 {
            self.breaches.push(Breach::CompletedTwice { task: task.to_owned() });
        }
    }

    /// A user is told how a job stands.
    pub fn told(&mut self, job: &str, status: &str) {
        let first = match (self.ends.get(job), status) {
            (None, "done" | "withdrawn") => {
                self.ends.insert(job.to_owned(), status.to_owned());
                return;
            }
            (Some(first), _) if first != status => first.clone(),
            _ => return,
        };
        self.breaches.push(Breach::EndedTwice {
            job: job.to_owned(),
            first,
            then: status.to_owned(),
        });
    }
}
