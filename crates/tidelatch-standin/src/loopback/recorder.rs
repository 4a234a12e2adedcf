//! Detects availability gaps and duplicate final answers, from the states of workers and the answers to users.
//!
//! * An **availability gap** is any time in which a replica that has run before runs on no machine although none of its
//!   machines was lost. A machine that a controller returns by its own decision does not count as lost: the gap is a
//!   breach.
//! * A **duplicate final answer** is a task of an array that completes twice, or a job that is reported to users with
//!   two different final statuses.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A violation of a rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Breach {
    /// A replica runs on no machine.
    AvailabilityGap {
        /// The replica.
        replica: String,
        /// When it stopped running, in milliseconds.
        from_ms: u64,
    },
    /// A task has completed more than once.
    CompletedTwice {
        /// The task.
        task: String,
    },
    /// A job has been reported with two final statuses.
    ConflictingFinalStatus {
        /// The job.
        job: String,
        /// The status that was reported first.
        first: String,
        /// The status that was reported later.
        then: String,
    },
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AvailabilityGap { replica, from_ms } => write!(f, "{replica} runs nowhere from {from_ms} ms on"),
            Self::CompletedTwice { task } => write!(f, "{task} has completed twice"),
            Self::ConflictingFinalStatus { job, first, then } => write!(f, "{job} has ended as {first} and as {then}"),
        }
    }
}

/// Records the states of replicas and the answers to users, and collects the breaches.
#[derive(Debug, Default)]
pub struct Recorder {
    /// The machines that each replica runs on.
    running: BTreeMap<String, BTreeSet<String>>,
    /// Replicas whose last machine was lost. That they do not run is no breach.
    being_replaced: BTreeSet<String>,
    cancelled: BTreeSet<String>,
    completions: BTreeMap<String, u32>,
    final_statuses: BTreeMap<String, String>,
    breaches: Vec<Breach>,
    /// Replicas that have ever run.
    seen_replicas: BTreeSet<String>,
}

impl Recorder {
    /// Returns all breaches so far.
    pub fn breaches(&self) -> &[Breach] {
        &self.breaches
    }

    /// Returns the number of replicas that have ever run and the number of tasks that have completed, as a measure of
    /// what was observed.
    pub fn observed_counts(&self) -> (usize, usize) {
        (self.seen_replicas.len(), self.completions.len())
    }

    /// Records that a replica runs on a machine.
    pub fn record_replica_start(&mut self, replica: &str, machine: &str) {
        self.seen_replicas.insert(replica.to_owned());
        self.being_replaced.remove(replica);
        let machines = self.running.entry(replica.to_owned()).or_default();
        machines.insert(machine.to_owned());
    }

    /// Records that a replica no longer runs on a machine that still exists.
    pub fn record_replica_stop(&mut self, now_ms: u64, replica: &str, machine: &str) {
        let Some(machines) = self.running.get_mut(replica) else {
            return;
        };
        let ran = machines.remove(machine);
        let job = replica.split('/').next().unwrap_or_default();
        if ran && machines.is_empty() && !self.cancelled.contains(job) {
            self.breaches.push(Breach::AvailabilityGap {
                replica: replica.to_owned(),
                from_ms: now_ms,
            });
        }
    }

    /// Records that a machine was lost, not by a decision of a controller.
    pub fn record_machine_lost(&mut self, machine: &str) {
        for (replica, machines) in &mut self.running {
            if machines.remove(machine) && machines.is_empty() {
                self.being_replaced.insert(replica.clone());
            }
        }
    }

    /// Records that a user has requested the cancellation of a job, so that its replicas may stop.
    pub fn record_cancel_request(&mut self, job: &str) {
        self.cancelled.insert(job.to_owned());
    }

    /// Records that a task of an array has completed.
    pub fn record_completion(&mut self, task: &str) {
        let completions = self.completions.entry(task.to_owned()).or_default();
        *completions += 1;
        if *completions > 1 {
            self.breaches.push(Breach::CompletedTwice { task: task.to_owned() });
        }
    }

    /// Records the status of a job that a user has received.
    pub fn record_status_answer(&mut self, job: &str, status: &str) {
        let first = match (self.final_statuses.get(job), status) {
            (None, "done" | "withdrawn") => {
                self.final_statuses.insert(job.to_owned(), status.to_owned());
                return;
            }
            (Some(first), _) if first != status => first.clone(),
            _ => return,
        };
        self.breaches.push(Breach::ConflictingFinalStatus {
            job: job.to_owned(),
            first,
            then: status.to_owned(),
        });
    }
}
