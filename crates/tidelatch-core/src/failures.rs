//! Failed tasks: distinguishes faulty machines from faulty jobs.
//!
//! A machine is faulty if tasks of several jobs fail on it that succeed elsewhere. A job is suspected to be faulty if
//! none of its tasks has ever succeeded and they fail on several machines that are not suspected themselves. A
//! suspected job is retried one task at a time, with exponential backoff, until it is cancelled or one of its tasks
//! succeeds. Its failures are not counted against machines.

use crate::controller::Controller;
use crate::ids::{JobId, MachineId, TaskId};
use crate::machine_view::Machine;
use crate::messages::Level;
use crate::protocol::Shape;
use std::collections::BTreeSet;

/// Number of distinct machines on which a job must have failed to be suspected.
const MIN_FAILED_MACHINES_TO_SUSPECT_JOB: usize = 3;
/// Number of distinct jobs that must have failed on a machine for it to be faulty.
const MIN_FAILED_JOBS_OF_FAULTY_MACHINE: usize = 2;
/// Report intervals for which a service's replica must have run for its job to count as successful.
const REPLICA_SUCCESS_REPORTS: u64 = 4;
/// Largest fraction of the available machines that a job's retries avoid because the job has failed there. If it has
/// failed on more, its retries may go to all of them.
const MAX_EXCLUDED_MACHINES_FRACTION: f64 = 0.5;
/// Report intervals for which a machine is avoided after a failure. A longer time would take more capacity out of
/// use than it saves.
const AVOIDANCE_REPORTS: u64 = 2;
/// Largest exponent of the backoff between retries; its unit is the report interval.
const MAX_BACKOFF_EXPONENT: u32 = 6;

/// What is known about a job's failures.
#[derive(Debug, Clone, Default)]
pub(crate) struct JobFailures {
    /// Distinct machines on which a task failed since one last succeeded.
    machines: BTreeSet<MachineId>,
    /// Those of `machines` that were not suspected themselves.
    unsuspected_machines: BTreeSet<MachineId>,
    /// The job has failed on several unsuspected machines and succeeded on none.
    suspected: bool,
    /// Retries since it was suspected.
    retries: u32,
    /// No task is started before this time (ms).
    retry_not_before: u64,
}

impl JobFailures {
    /// Whether the job is suspected to be faulty.
    pub(crate) fn is_suspected(&self) -> bool {
        self.suspected
    }

    /// Whether a task of it has failed on a machine since one last succeeded.
    pub(crate) fn failed_on(&self, machine: &MachineId) -> bool {
        self.machines.contains(machine)
    }

    /// Whether its next retry is not due yet.
    pub(crate) fn is_backing_off(&self, now: u64) -> bool {
        now < self.retry_not_before
    }
}

/// The backoff before a retry, in ms: doubled each time up to a limit, plus a jitter of up to half of it. The jitter
/// is derived from the job and the retry, so that jobs that failed together are not retried together.
pub fn retry_delay_ms(job: &JobId, retry: u32, report_ms: u64) -> u64 {
    let delay = report_ms << retry.min(MAX_BACKOFF_EXPONENT);
    let jitter = fnv1a(job.as_str(), retry) % (delay / 2 + 1);
    delay + jitter
}

/// FNV-1a over a name and a number.
fn fnv1a(name: &str, number: u32) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    name.bytes()
        .chain(number.to_le_bytes())
        .fold(OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}

impl Controller {
    /// The indices in `machines` of those on which a job has failed. Its retries go to other machines, because only
    /// another machine can tell whether the job is at fault. Empty once the job has failed on most of the machines.
    pub(crate) fn failed_machine_indices(&self, job_id: &JobId, machines: &[MachineId]) -> BTreeSet<usize> {
        let Some(job) = self.jobs.get(job_id) else {
            return BTreeSet::new();
        };
        let failed = |at: &usize| machines.get(*at).is_some_and(|id| job.failures.failed_on(id));
        let excluded: BTreeSet<usize> = (0..machines.len()).filter(failed).collect();
        if excluded.len() as f64 > MAX_EXCLUDED_MACHINES_FRACTION * machines.len() as f64 {
            return BTreeSet::new();
        }
        excluded
    }

    /// Whether any task of a job has failed since one last succeeded.
    pub(crate) fn has_failures(&self, job_id: &JobId) -> bool {
        self.jobs.get(job_id).is_some_and(|j| !j.failures.machines.is_empty())
    }

    /// Records that a task has failed on a machine.
    pub(crate) fn record_failure(&mut self, id: &MachineId, task: &TaskId) {
        let now = self.now.ms;
        let report_ms = self.settings.report_ms();
        let has_succeeded_elsewhere = self.has_succeeded_or_runs_elsewhere(&task.job, id);
        let is_unsuspected = self.has_no_other_failures(id, &task.job);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let failures = &mut job.failures;
        let first_here = failures.machines.insert(id.clone());
        if is_unsuspected {
            failures.unsuspected_machines.insert(id.clone());
        }
        if has_succeeded_elsewhere {
            failures.suspected = false;
        } else if failures.suspected || failures.unsuspected_machines.len() >= MIN_FAILED_MACHINES_TO_SUSPECT_JOB {
            let newly_suspected = !failures.suspected;
            failures.suspected = true;
            if !failures.is_backing_off(now) {
                failures.retries += 1;
                failures.retry_not_before = now + retry_delay_ms(&task.job, failures.retries, report_ms);
            }
            if newly_suspected {
                self.clear_failures_of_job(&task.job);
            }
            return;
        }
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        machine.avoid_until = machine.avoid_until.max(now + AVOIDANCE_REPORTS * report_ms);
        machine.last_failure_at = now;
        let counts_against_machine = machine.failures.entry(task.job.clone()).or_default();
        *counts_against_machine |= has_succeeded_elsewhere;
        if first_here {
            self.log(Level::Info, format!("{id}: {task} failed"));
        }
    }

    /// Removes the failures of a newly suspected job from the machines: they are no longer counted against them.
    fn clear_failures_of_job(&mut self, job: &JobId) {
        let now = self.now.ms;
        for machine in self.machines.values_mut() {
            let is_cleared = machine.failures.remove(job).is_some();
            if is_cleared && machine.failures.is_empty() && machine.missed_answers == 0 {
                machine.avoid_until = now;
            }
        }
        self.log(
            Level::Info,
            format!("{job}: fails on several machines: retrying it one task at a time"),
        );
    }

    /// Records that a job has succeeded on a machine: its failures on other machines now count against
    /// those machines.
    pub(crate) fn record_success(&mut self, job_id: &JobId, succeeded_on: &MachineId) {
        let Some(job) = self.jobs.get_mut(job_id) else { return };
        if job.failures.machines.is_empty() {
            return;
        }
        let failures = std::mem::take(&mut job.failures);
        for id in failures.machines.iter().filter(|id| *id != succeeded_on) {
            let failed = self.machines.get_mut(id).and_then(|m| m.failures.get_mut(job_id));
            if let Some(counts_against_machine) = failed {
                *counts_against_machine = true;
            }
        }
    }

    /// Whether a job's failure on a machine may be the job's fault: the machine is not faulty, and no other job has
    /// failed on it.
    fn has_no_other_failures(&self, id: &MachineId, job: &JobId) -> bool {
        self.machines
            .get(id)
            .is_some_and(|m| !m.is_faulty && m.failures.keys().all(|other| other == job))
    }

    /// Whether a task of the job has succeeded on any machine, or a replica of it has run for long on another machine.
    fn has_succeeded_or_runs_elsewhere(&self, job_id: &JobId, failed_on: &MachineId) -> bool {
        let Some(job) = self.jobs.get(job_id) else { return false };
        if job.done_count > 0 {
            return true;
        }
        let elsewhere = job.placed.values().flatten().filter(|id| *id != failed_on);
        job.spec.shape == Shape::Service
            && elsewhere.filter_map(|id| self.machines.get(id)).any(|machine| {
                let mut held = machine.held.iter().filter(|h| h.task.job == *job_id);
                held.any(|h| h.running_since.is_some_and(|since| self.has_run_long_enough(since)))
            })
    }

    /// Whether a replica has run long enough to count as a success.
    fn has_run_long_enough(&self, running_since: u64) -> bool {
        self.now.ms.saturating_sub(running_since) >= REPLICA_SUCCESS_REPORTS * self.settings.report_ms()
    }

    /// Records that a replica is reported as running. Once it has run long enough, its job counts as successful.
    pub(crate) fn record_running_replica(&mut self, job_id: &JobId, id: &MachineId, running_since: u64) {
        let failed = self
            .jobs
            .get(job_id)
            .is_some_and(|j| j.spec.shape == Shape::Service && !j.failures.machines.is_empty());
        if failed && self.has_run_long_enough(running_since) {
            self.record_success(job_id, id);
        }
    }

    /// Takes machines out of use on which several jobs have failed that succeed elsewhere.
    pub(crate) fn detect_faulty_machines(&mut self) {
        let counted_jobs = |m: &Machine| {
            m.failures
                .values()
                .filter(|counts_against_machine| **counts_against_machine)
                .count()
        };
        let is_faulty = |m: &Machine| !m.is_faulty && counted_jobs(m) >= MIN_FAILED_JOBS_OF_FAULTY_MACHINE;
        let mut faulty = Vec::new();
        for (id, machine) in self.machines.iter_mut().filter(|(_, m)| is_faulty(m)) {
            machine.is_faulty = true;
            faulty.push(id.clone());
        }
        for id in faulty {
            self.log(
                Level::Error,
                format!("{id}: tasks of several jobs fail on it: not used any more"),
            );
        }
    }
}
