//! Failed tasks: telling faulty machines from jobs with a mistake.
//!
//! A machine is faulty if tasks of several jobs fail on it that succeed elsewhere. A job is suspected of a
//! mistake if none of its tasks has ever succeeded and they fail on several machines that are not under
//! such doubt themselves. A suspected job is retried with one task at a time, after exponentially growing
//! pauses, until it is cancelled or a task of it succeeds; its failures say nothing of machines.

use crate::controller::Controller;
use crate::ids::{JobId, MachineId, TaskId};
use crate::machine_view::Machine;
use crate::messages::Level;
use crate::protocol::Shape;
use std::collections::BTreeSet;

/// Distinct machines on which a job must have failed to be suspected.
const SUSPICION_MACHINES: usize = 3;
/// Distinct jobs that must have failed on a machine for it to be faulty.
const FAULT_JOBS: usize = 2;
/// Reports through which a replica must have run for its job to count as one that succeeds.
const SUCCESS_REPORTS: u64 = 4;
/// Part of the machines at hand on which a job may have failed for its retries still to go to others only.
const RETRY_ELSEWHERE_PART: f64 = 0.5;
/// Reports for which a machine is avoided after a failure. Longer pauses cost more machines than failures do.
const AVOIDED_REPORTS: u64 = 2;
/// Largest exponent of the pause between retries, in report intervals.
const MAX_BACKOFF_EXPONENT: u32 = 6;

/// What is known of a job's failures.
#[derive(Debug, Clone, Default)]
pub(crate) struct JobFailures {
    /// Distinct machines on which a task failed since one last succeeded.
    machines: BTreeSet<MachineId>,
    /// Machines among them that were not under doubt themselves.
    sound_machines: BTreeSet<MachineId>,
    /// Failed on several sound machines, and succeeded on none.
    suspected: bool,
    /// Retries since it was suspected.
    retries: u32,
    /// No task is started before this.
    hold_until: u64,
}

impl JobFailures {
    /// Whether the job is suspected of a mistake.
    pub(crate) fn is_suspected(&self) -> bool {
        self.suspected
    }

    /// Whether a task of it has failed on a machine since one last succeeded.
    pub(crate) fn failed_on(&self, machine: &MachineId) -> bool {
        self.machines.contains(machine)
    }

    /// Whether its next retry is not due yet.
    pub(crate) fn is_held(&self, now: u64) -> bool {
        now < self.hold_until
    }
}

/// The pause before a retry: doubled each time up to a bound, and up to half longer by a jitter that is
/// derived from the job and the retry, so that jobs that failed together are not retried together.
pub fn retry_delay_ms(job: &JobId, retry: u32, report_ms: u64) -> u64 {
    let delay = report_ms << retry.min(MAX_BACKOFF_EXPONENT);
    let jitter = hash(job.as_str(), retry) % (delay / 2 + 1);
    delay + jitter
}

/// FNV-1a over a name and a number.
fn hash(name: &str, number: u32) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    name.bytes()
        .chain(number.to_le_bytes())
        .fold(OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}

impl Controller {
    /// The places, among the machines at hand, of those on which a job has failed: its retries go elsewhere, for
    /// only another machine can tell whether the job is at fault. None once it has failed on most of them.
    pub(crate) fn failed_places(&self, job_id: &JobId, machines: &[MachineId]) -> BTreeSet<usize> {
        let Some(job) = self.jobs.get(job_id) else {
            return BTreeSet::new();
        };
        let failed = |at: &usize| machines.get(*at).is_some_and(|id| job.failures.failed_on(id));
        let places: BTreeSet<usize> = (0..machines.len()).filter(failed).collect();
        if places.len() as f64 > RETRY_ELSEWHERE_PART * machines.len() as f64 {
            return BTreeSet::new();
        }
        places
    }

    /// Whether any task of a job has failed since one last succeeded.
    pub(crate) fn has_failures(&self, job_id: &JobId) -> bool {
        self.jobs.get(job_id).is_some_and(|j| !j.failures.machines.is_empty())
    }

    /// A task has failed on a machine.
    pub(crate) fn note_failure(&mut self, id: &MachineId, task: &TaskId) {
        let now = self.now.ms;
        let report_ms = self.settings.report_ms();
        let succeeds = self.succeeds_elsewhere(&task.job, id);
        let sound = self.is_sound_for(id, &task.job);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let failures = &mut job.failures;
        let first_here = failures.machines.insert(id.clone());
        if sound {
            failures.sound_machines.insert(id.clone());
        }
        if succeeds {
            failures.suspected = false;
        } else if failures.suspected || failures.sound_machines.len() >= SUSPICION_MACHINES {
            let newly_suspected = !failures.suspected;
            failures.suspected = true;
            if !failures.is_held(now) {
                failures.retries += 1;
                failures.hold_until = now + retry_delay_ms(&task.job, failures.retries, report_ms);
            }
            if newly_suspected {
                self.clear_machines_of(&task.job);
            }
            return;
        }
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        machine.avoid_until = machine.avoid_until.max(now + AVOIDED_REPORTS * report_ms);
        machine.failed_at = now;
        let proven = machine.failures.entry(task.job.clone()).or_default();
        *proven |= succeeds;
        if first_here {
            self.log(Level::Info, format!("{id}: {task} failed"));
        }
    }

    /// A job is suspected: its failures no longer speak against machines.
    fn clear_machines_of(&mut self, job: &JobId) {
        let now = self.now.ms;
        for machine in self.machines.values_mut() {
            let cleared = machine.failures.remove(job).is_some();
            if cleared && machine.failures.is_empty() && machine.missed == 0 {
                machine.avoid_until = now;
            }
        }
        self.log(
            Level::Info,
            format!("{job}: fails on several machines: retried with one task at a time"),
        );
    }

    /// A job has succeeded on a machine: its failures on others speak against those.
    pub(crate) fn note_success(&mut self, job_id: &JobId, succeeded_on: &MachineId) {
        let Some(job) = self.jobs.get_mut(job_id) else { return };
        if job.failures.machines.is_empty() {
            return;
        }
        let failures = std::mem::take(&mut job.failures);
        for id in failures.machines.iter().filter(|id| *id != succeeded_on) {
            let failed = self.machines.get_mut(id).and_then(|m| m.failures.get_mut(job_id));
            if let Some(proven) = failed {
                *proven = true;
            }
        }
    }

    /// Whether a job's failure on a machine may be the job's fault: the machine has failed no other job.
    fn is_sound_for(&self, id: &MachineId, job: &JobId) -> bool {
        self.machines
            .get(id)
            .is_some_and(|m| !m.suspect && m.failures.keys().all(|other| other == job))
    }

    /// Whether a task of the job has succeeded, or a replica of it has run for long on another machine.
    fn succeeds_elsewhere(&self, job_id: &JobId, failed_on: &MachineId) -> bool {
        let Some(job) = self.jobs.get(job_id) else { return false };
        if job.done_count > 0 {
            return true;
        }
        let elsewhere = job.placed.values().flatten().filter(|id| *id != failed_on);
        job.spec.shape == Shape::Service
            && elsewhere.filter_map(|id| self.machines.get(id)).any(|machine| {
                let mut held = machine.held.iter().filter(|h| h.task.job == *job_id);
                held.any(|h| h.running_since.is_some_and(|since| self.is_lasting(since)))
            })
    }

    /// Whether a replica that has run since some time counts as a success.
    fn is_lasting(&self, running_since: u64) -> bool {
        self.now.ms.saturating_sub(running_since) >= SUCCESS_REPORTS * self.settings.report_ms()
    }

    /// A replica is reported as running: in time that speaks for its job.
    pub(crate) fn note_running_replica(&mut self, job_id: &JobId, id: &MachineId, running_since: u64) {
        let failed = self
            .jobs
            .get(job_id)
            .is_some_and(|j| j.spec.shape == Shape::Service && !j.failures.machines.is_empty());
        if failed && self.is_lasting(running_since) {
            self.note_success(job_id, id);
        }
    }

    /// Takes machines out of use on which several jobs have failed that succeed elsewhere.
    pub(crate) fn judge_machines(&mut self) {
        let proven_jobs = |m: &Machine| m.failures.values().filter(|proven| **proven).count();
        let is_faulty = |m: &Machine| !m.suspect && proven_jobs(m) >= FAULT_JOBS;
        let mut faulty = Vec::new();
        for (id, machine) in self.machines.iter_mut().filter(|(_, m)| is_faulty(m)) {
            machine.suspect = true;
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
