//! Gangs: jobs whose tasks run all at the same time or not at all.
//!
//! All tasks of a gang share one attempt number. It is assigned when the first of them is booked, and replaced only
//! once none of them may be on any machine any more. So no task is started in a second zone, or a second time, while
//! an older one is left. The state of a gang is derived from what its machines report. After a takeover, the same
//! reports show whether it continues, is completed with its missing tasks, or has to restart.

use crate::controller::Controller;
use crate::ids::{Attempt, JobId, MachineId, Partition, TaskId};
use crate::jobs::Job;
use crate::machine_view::{HeldTaskState, StopRequest};
use crate::messages::Level;
use crate::protocol::{Shape, TaskState};

/// What is known about the attempt that a gang's tasks share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct GangAttempt {
    /// The attempt number.
    pub(crate) attempt: Attempt,
    /// When it was assigned, or first seen by this owner (ms).
    pub(crate) since: u64,
    /// A task of the attempt has run. No further task may join it.
    pub(crate) has_run: bool,
    /// A task of the attempt has ended in a way that ends the others.
    pub(crate) has_ended: bool,
    /// Since when a task of the attempt has been missing (ms).
    missing_since: Option<u64>,
}

impl GangAttempt {
    /// Creates an attempt that begins now, or that a report shows for the first time.
    pub(crate) fn new(attempt: Attempt, now: u64) -> Self {
        Self {
            attempt,
            since: now,
            has_run: false,
            has_ended: false,
            missing_since: None,
        }
    }
}

/// The state of a gang, combined from the reports of its machines.
#[derive(Debug, Default)]
struct GangObservation {
    /// Tasks of the present attempt that a machine holds or may hold.
    held: Vec<(MachineId, TaskId, Attempt)>,
    /// Tasks of older attempts.
    stale: Vec<(MachineId, TaskId, Attempt)>,
    /// A task was told to stop with time to save, or is saving.
    is_stopping: bool,
    /// A machine of the gang is given up or already gone.
    has_lost_machine: bool,
    /// The cloud has given notice that it takes back a machine of the gang.
    has_notice: bool,
}

/// The next step for a gang.
enum GangDecision {
    Continue,
    /// All its tasks are stopped with time to save.
    StopWithGrace,
    /// It cannot continue: its remaining tasks are stopped at once, for this reason.
    Abort(&'static str),
}

impl Job {
    /// Applies the reported state of one of the job's tasks, if the job is a gang.
    pub(crate) fn update_gang(&mut self, attempt: Attempt, state: TaskState, now: u64) {
        if self.spec.shape != Shape::Gang {
            return;
        }
        let gang = self.gang.get_or_insert(GangAttempt::new(attempt, now));
        if attempt > gang.attempt {
            *gang = GangAttempt::new(attempt, now);
        }
        if attempt == gang.attempt && matches!(state, TaskState::Running | TaskState::Saving) {
            gang.has_run = true;
        }
    }

    /// Records that one of a gang's tasks has ended. Whatever the cause, the other tasks end with it, except after a
    /// start that the worker refused: that task may be placed on another machine.
    pub(crate) fn record_gang_task_end(&mut self, attempt: Attempt, why: &str) {
        let refused = matches!(why, "no_room" | "busy" | "no_such");
        if let Some(gang) = self.gang.as_mut().filter(|g| g.attempt == attempt && !refused) {
            gang.has_ended = true;
        }
    }

    /// Whether more tasks of a gang may be started now: none of its tasks is on any machine, or its attempt still
    /// waits for missing tasks.
    pub(crate) fn can_start_gang_tasks(&self) -> bool {
        self.placed.is_empty() || self.gang.is_some_and(|g| !g.has_run && !g.has_ended)
    }
}

impl Controller {
    /// Whether every member controller has announced that it supports gangs. A gang is accepted only then. A
    /// controller that announces no feature level runs a version without gangs. A controller that joins later raises
    /// the epoch, and every acceptance is conditional on the epoch.
    pub(crate) fn all_members_support_gangs(&self) -> bool {
        self.settings.features.gangs && self.membership.members.values().all(|m| m.feature_level >= 1)
    }

    /// Combines what this controller knows about the tasks of a gang on all their machines.
    fn observe_gang(&self, id: &JobId, job: &Job) -> GangObservation {
        let mut observation = GangObservation::default();
        let current = job.gang.map(|g| g.attempt);
        for (index, machines) in &job.placed {
            for machine in machines {
                let Some(m) = self.machines.get(machine) else { continue };
                for h in m.held.iter().filter(|h| h.task.index == *index && h.task.job == *id) {
                    let entry = (machine.clone(), h.task.clone(), h.attempt);
                    if Some(h.attempt) != current {
                        observation.stale.push(entry);
                        continue;
                    }
                    observation.held.push(entry);
                    observation.is_stopping |= h.stop.is_some_and(|s| s.grace_s > 0.0);
                    observation.is_stopping |= h.state == HeldTaskState::Reported(TaskState::Saving);
                    observation.has_lost_machine |= m.retiring || m.is_deleted;
                    observation.has_notice |= m.has_preemption_notice;
                }
            }
        }
        observation
    }

    /// Checks every gang that has tasks on machines, and completes, stops or ends it as a whole.
    pub(crate) fn tick_gangs(&mut self) {
        if !self.is_entitled() {
            return;
        }
        let now = self.now.ms;
        let acting = self.active_partitions();
        let mut decisions: Vec<(JobId, GangObservation, GangDecision)> = Vec::new();
        for (id, job) in &self.jobs {
            let is_placed_gang = job.spec.shape == Shape::Gang && !job.placed.is_empty() && job.ending.is_none();
            if !is_placed_gang || !acting.contains(&job.partition) {
                continue;
            }
            let Some(gang) = job.gang else { continue };
            let observation = self.observe_gang(id, job);
            let missing = self.has_missing_tasks(job, &observation);
            let decision = self.decide_gang(job, &gang, &observation, missing);
            if missing != gang.missing_since.is_some()
                || !observation.stale.is_empty()
                || !matches!(decision, GangDecision::Continue)
            {
                decisions.push((id.clone(), observation, decision));
            }
        }
        for (id, observation, decision) in decisions {
            let missing = self
                .jobs
                .get(&id)
                .is_some_and(|job| self.has_missing_tasks(job, &observation));
            if let Some(gang) = self.jobs.get_mut(&id).and_then(|job| job.gang.as_mut()) {
                gang.missing_since = missing.then(|| gang.missing_since.unwrap_or(now));
            }
            for (machine, task, attempt) in &observation.stale {
                self.stop_at_once(machine, task, *attempt);
            }
            match decision {
                GangDecision::Continue => {}
                GangDecision::StopWithGrace => self.stop_gang(&id),
                GangDecision::Abort(why) => {
                    let mut has_new_request = false;
                    for (machine, task, attempt) in &observation.held {
                        has_new_request |= self.stop_at_once(machine, task, *attempt);
                    }
                    if has_new_request {
                        self.log(Level::Info, format!("{id}: {why}: the gang starts afresh"));
                    }
                }
            }
        }
    }

    /// Whether tasks of a gang are on no machine. Tasks from before the takeover may be on a machine that has not
    /// reported yet; until that is known, none counts as missing.
    fn has_missing_tasks(&self, job: &Job, observation: &GangObservation) -> bool {
        !self.may_be_on_unconfirmed_machines(job) && (observation.held.len() as u32) < job.spec.tasks
    }

    /// Decides how a gang proceeds. `missing` says whether tasks of it are on no machine.
    fn decide_gang(&self, job: &Job, gang: &GangAttempt, observation: &GangObservation, missing: bool) -> GangDecision {
        let now = self.now.ms;
        let worker_lease_ms = self.settings.worker_lease_ms();
        let wait = self.settings.gang_ms().map_or(worker_lease_ms, |(wait, _)| wait);
        // A replacement that is not found in two batches may not be found for a long time, and meanwhile the other
        // tasks hold resources that another gang may be waiting for. An incomplete gang is also aborted after half of
        // the time for which its tasks wait for each other.
        let replacement_ms = 2 * self.settings.batch_retry_ms();
        let missing_for_ms = gang.missing_since.map_or(0, |t| now.saturating_sub(t));
        if gang.has_ended {
            GangDecision::Abort("one of its tasks has ended")
        } else if gang.has_run && (missing || observation.has_lost_machine) {
            GangDecision::Abort("one of its tasks or its machine is gone")
        } else if missing && (missing_for_ms > replacement_ms || now.saturating_sub(gang.since) > wait / 2) {
            GangDecision::Abort("tasks have been missing for too long")
        } else if observation.is_stopping || (observation.has_notice && job.spec.checkpoint_s > 0.0) {
            GangDecision::StopWithGrace
        } else {
            GangDecision::Continue
        }
    }

    /// Whether tasks of a job may be on machines that have not reported since the takeover.
    fn may_be_on_unconfirmed_machines(&self, job: &Job) -> bool {
        let since = self.tenures.get(&job.partition).map(|t| t.since_epoch);
        since.is_some_and(|since| job.epoch < since) && self.count_unconfirmed_machines(job.partition) > 0
    }

    /// Requests that a task stops at once, whatever was requested before. Returns whether that is a new request.
    fn stop_at_once(&mut self, machine: &MachineId, task: &TaskId, attempt: Attempt) -> bool {
        let now = self.now.ms;
        let Some(m) = self.machines.get_mut(machine) else {
            return false;
        };
        let held = m.held.iter_mut().find(|h| h.task == *task && h.attempt == attempt);
        let Some(h) = held.filter(|h| h.stop.is_none_or(|s| s.grace_s > 0.0)) else {
            return false;
        };
        h.stop = Some(StopRequest::new(0.0, now));
        self.machines_with_urgent_commands.insert(machine.clone());
        true
    }

    /// Stops all tasks of a gang with time to save. All machines are told at once, because each must be told
    /// before its tasks notice that another task of the gang has ended: they then end without saving.
    pub(crate) fn stop_gang(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        for (machine, task, attempt) in self.observe_gang(id, job).held {
            self.request_stop(&machine, &task, attempt);
        }
    }

    /// The tasks of a gang that are all on machines, each with its machine. None if it cannot be stopped as a
    /// whole now.
    pub(crate) fn stoppable_gang_tasks(&self, id: &JobId) -> Option<Vec<(MachineId, TaskId, Attempt)>> {
        let job = self.jobs.get(id)?;
        self.gang_stop_cost_s(id, job)?;
        Some(self.observe_gang(id, job).held)
    }

    /// The work that stopping a gang would lose, in seconds summed over all its tasks. None if it cannot be stopped
    /// as a whole now: one of its machines may not receive the request in time, or the gang is already ending.
    pub(crate) fn gang_stop_cost_s(&self, id: &JobId, job: &Job) -> Option<f64> {
        let now = self.now.ms;
        let gang = job.gang?;
        let observation = self.observe_gang(id, job);
        let is_complete = observation.held.len() as u32 == job.spec.tasks && observation.stale.is_empty();
        let all_are_reachable = observation.held.iter().all(|(machine, _, _)| {
            let m = self.machines.get(machine);
            m.is_some_and(|m| {
                m.last_heard_at
                    .is_some_and(|t| now.saturating_sub(t) <= 2 * self.settings.report_ms())
            })
        });
        if !is_complete
            || !all_are_reachable
            || observation.is_stopping
            || observation.has_lost_machine
            || gang.has_ended
        {
            return None;
        }
        // An orderly stop saves the work done since the last checkpoint. Waiting for all tasks of the gang again
        // costs each task about a report interval.
        let ran_s = now.saturating_sub(gang.since) as f64 / 1000.0;
        let lost_s = if job.spec.checkpoint_s > 0.0 {
            ran_s.min(job.spec.save_s)
        } else {
            ran_s
        };
        let regather_s = self.settings.report_ms() as f64 / 1000.0;
        Some((lost_s + regather_s) * f64::from(job.spec.tasks))
    }

    /// The attempt number under which the next task of a job is booked.
    pub(crate) fn next_attempt(&mut self, id: &JobId, partition: Partition) -> Option<Attempt> {
        let now = self.now.ms;
        let current = self
            .jobs
            .get(id)
            .filter(|j| j.spec.shape == Shape::Gang && !j.placed.is_empty())
            .and_then(|j| j.gang);
        if let Some(gang) = current {
            return Some(gang.attempt);
        }
        let tenure = self.tenures.get_mut(&partition)?;
        tenure.attempts_assigned += 1;
        // Attempt numbers contain the epoch at which the tenure began, so no other tenure can assign the same number.
        // The low 24 bits count the attempts of the tenure.
        let attempt = Attempt((tenure.since_epoch.0 << 24) + tenure.attempts_assigned);
        if let Some(job) = self.jobs.get_mut(id).filter(|j| j.spec.shape == Shape::Gang) {
            job.gang = Some(GangAttempt::new(attempt, now));
        }
        Some(attempt)
    }
}
