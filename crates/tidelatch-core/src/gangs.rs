//! Gangs: jobs whose tasks run all at the same time, or not at all.
//!
//! All tasks of a gang carry one attempt number. It is drawn when the first of them is booked, and again
//! only once none of them may be on any machine any more: so no task is started in a second zone, or a
//! second time, while an older one is left. What a gang does is read off what its machines report; after
//! a take-over the same reading tells whether it goes on, is completed, or has to start afresh.

use crate::controller::Controller;
use crate::ids::{Attempt, JobId, MachineId, Partition, TaskId};
use crate::jobs::Job;
use crate::machine_view::{HeldState, Stop};
use crate::messages::Level;
use crate::protocol::{Shape, TaskState};

/// What is known of the attempt that a gang's tasks share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Gang {
    /// The attempt.
    pub(crate) attempt: Attempt,
    /// When it was drawn, or first seen by this owner.
    pub(crate) since: u64,
    /// A task of it has run: nobody joins it any more.
    pub(crate) ran: bool,
    /// A task of it has ended in a way that ends the others.
    pub(crate) over: bool,
    /// Since when a task of it is missing.
    missing_since: Option<u64>,
}

impl Gang {
    /// An attempt that begins, or comes to light.
    pub(crate) fn new(attempt: Attempt, now: u64) -> Self {
        Self {
            attempt,
            since: now,
            ran: false,
            over: false,
            missing_since: None,
        }
    }
}

/// What a gang's machines say of it, taken together.
#[derive(Debug, Default)]
struct GangObservation {
    /// Tasks of the present attempt that a machine holds, or may hold.
    held: Vec<(MachineId, TaskId, Attempt)>,
    /// Tasks of older attempts.
    stale: Vec<(MachineId, TaskId, Attempt)>,
    /// A task was told to stop with time to save, or does save.
    stopping: bool,
    /// Its machine is given up, or already gone.
    lost: bool,
    /// The cloud takes its machine away.
    notice: bool,
}

/// What becomes of a gang.
enum GangDecision {
    GoesOn,
    /// All its tasks are stopped, with time to save.
    Stops,
    /// It cannot go on: what is left of it is ended at once.
    Ends(&'static str),
}

impl Job {
    /// A state of one of a gang's tasks has come to light.
    pub(crate) fn note_gang(&mut self, attempt: Attempt, state: TaskState, now: u64) {
        if self.spec.shape != Shape::Gang {
            return;
        }
        let gang = self.gang.get_or_insert(Gang::new(attempt, now));
        if attempt > gang.attempt {
            *gang = Gang::new(attempt, now);
        }
        if attempt == gang.attempt && matches!(state, TaskState::Running | TaskState::Saving) {
            gang.ran = true;
        }
    }

    /// One of a gang's tasks has ended. Whatever the cause, the others end with it, but for starts that a
    /// worker refused: those may be made up for.
    pub(crate) fn note_gang_end(&mut self, attempt: Attempt, why: &str) {
        let refused = matches!(why, "no_room" | "busy" | "no_such");
        if let Some(gang) = self.gang.as_mut().filter(|g| g.attempt == attempt && !refused) {
            gang.over = true;
        }
    }

    /// May more of a gang's tasks be started now? Either none of it is anywhere, or its attempt still waits
    /// for the others.
    pub(crate) fn gang_may_start(&self) -> bool {
        self.placed.is_empty() || self.gang.is_some_and(|g| !g.ran && !g.over)
    }
}

impl Controller {
    /// Whether every live controller has said that it knows gangs: only then is one accepted. A controller
    /// that says nothing is of the version before. One that joins later raises the epoch, of which every
    /// acceptance is a condition.
    pub(crate) fn all_know_gangs(&self) -> bool {
        self.settings.features.gangs && self.member.members.values().all(|m| m.knows >= 1)
    }

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
                    observation.stopping |= h.stop.is_some_and(|s| s.grace_s > 0.0);
                    observation.stopping |= h.state == HeldState::Seen(TaskState::Saving);
                    observation.lost |= m.retiring || m.gone;
                    observation.notice |= m.notice;
                }
            }
        }
        observation
    }

    /// Looks at every gang that has tasks somewhere: completes, stops or ends it as a whole.
    pub(crate) fn tick_gangs(&mut self) {
        if !self.entitled() {
            return;
        }
        let now = self.now.ms;
        let acting = self.acting_partitions();
        let mut decisions: Vec<(JobId, GangObservation, GangDecision)> = Vec::new();
        for (id, job) in &self.jobs {
            let looked_at = job.spec.shape == Shape::Gang && !job.placed.is_empty() && job.ending.is_none();
            if !looked_at || !acting.contains(&job.partition) {
                continue;
            }
            let Some(gang) = job.gang else { continue };
            let observation = self.observe_gang(id, job);
            let missing = self.misses_tasks(job, &observation);
            let decision = self.decide_gang(job, &gang, &observation, missing);
            if missing != gang.missing_since.is_some()
                || !observation.stale.is_empty()
                || !matches!(decision, GangDecision::GoesOn)
            {
                decisions.push((id.clone(), observation, decision));
            }
        }
        for (id, observation, decision) in decisions {
            let missing = self
                .jobs
                .get(&id)
                .is_some_and(|job| self.misses_tasks(job, &observation));
            if let Some(gang) = self.jobs.get_mut(&id).and_then(|job| job.gang.as_mut()) {
                gang.missing_since = missing.then(|| gang.missing_since.unwrap_or(now));
            }
            for (machine, task, attempt) in &observation.stale {
                self.halt(machine, task, *attempt);
            }
            match decision {
                GangDecision::GoesOn => {}
                GangDecision::Stops => self.stop_gang(&id),
                GangDecision::Ends(why) => {
                    let mut told = false;
                    for (machine, task, attempt) in &observation.held {
                        told |= self.halt(machine, task, *attempt);
                    }
                    if told {
                        self.log(Level::Info, format!("{id}: {why}: the gang starts afresh"));
                    }
                }
            }
        }
    }

    /// Whether tasks of a gang are nowhere. Those older than the take-over may be on a machine that has not reported
    /// yet.
    fn misses_tasks(&self, job: &Job, observation: &GangObservation) -> bool {
        !self.may_be_elsewhere(job) && (observation.held.len() as u32) < job.spec.tasks
    }

    fn decide_gang(&self, job: &Job, gang: &Gang, observation: &GangObservation, missing: bool) -> GangDecision {
        let now = self.now.ms;
        let lease = self.settings.worker_lease_ms();
        let wait = self.settings.gang_ms().map_or(lease, |(wait, _)| wait);
        // A replacement that is not found in two batches may not be found for long, and meanwhile the others
        // hold room that another gang may be waiting for.
        let patience = 2 * self.settings.batch_retry_ms();
        let missing_for = gang.missing_since.map_or(0, |t| now.saturating_sub(t));
        if gang.over {
            GangDecision::Ends("a task of it has ended")
        } else if gang.ran && (missing || observation.lost) {
            GangDecision::Ends("a task of it is gone")
        } else if missing && (missing_for > patience || now.saturating_sub(gang.since) > wait / 2) {
            GangDecision::Ends("it is not complete")
        } else if observation.stopping || (observation.notice && job.spec.checkpoint_s > 0.0) {
            GangDecision::Stops
        } else {
            GangDecision::GoesOn
        }
    }

    /// Whether tasks of a job may be on machines that have not reported since the take-over.
    fn may_be_elsewhere(&self, job: &Job) -> bool {
        let since = self.tenures.get(&job.partition).map(|t| t.since);
        since.is_some_and(|since| job.epoch < since) && self.unconfirmed(job.partition) > 0
    }

    /// Ends a task at once, whatever it was told before; whether that is news.
    fn halt(&mut self, machine: &MachineId, task: &TaskId, attempt: Attempt) -> bool {
        let now = self.now.ms;
        let Some(m) = self.machines.get_mut(machine) else {
            return false;
        };
        let held = m.held.iter_mut().find(|h| h.task == *task && h.attempt == attempt);
        let Some(h) = held.filter(|h| h.stop.is_none_or(|s| s.grace_s > 0.0)) else {
            return false;
        };
        h.stop = Some(Stop::new(0.0, now));
        self.poked.insert(machine.clone());
        true
    }

    /// Stops all tasks of a gang, with time to save: each has to be told within the time in which they
    /// notice each other's end, so all machines are told at once.
    pub(crate) fn stop_gang(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        for (machine, task, attempt) in self.observe_gang(id, job).held {
            self.stop_held(&machine, &task, attempt);
        }
    }

    /// All tasks of a gang that is whole and runs, each with its machine; none: it cannot be stopped as a whole now.
    pub(crate) fn gang_tasks(&self, id: &JobId) -> Option<Vec<(MachineId, TaskId, Attempt)>> {
        let job = self.jobs.get(id)?;
        self.gang_loss(id, job)?;
        Some(self.observe_gang(id, job).held)
    }

    /// What stopping a gang would lose, in seconds of work over all its tasks; none if it cannot be stopped
    /// as a whole just now: a machine of it may not hear that in time, or it is ending already.
    pub(crate) fn gang_loss(&self, id: &JobId, job: &Job) -> Option<f64> {
        let now = self.now.ms;
        let gang = job.gang?;
        let observation = self.observe_gang(id, job);
        let whole = observation.held.len() as u32 == job.spec.tasks && observation.stale.is_empty();
        let reachable = observation.held.iter().all(|(machine, _, _)| {
            let m = self.machines.get(machine);
            m.is_some_and(|m| {
                m.heard
                    .is_some_and(|t| now.saturating_sub(t) <= 2 * self.settings.report_ms())
            })
        });
        if !whole || !reachable || observation.stopping || observation.lost || gang.over {
            return None;
        }
        // What was done since the last checkpoint is saved by an orderly stop; gathering again costs each
        // task about a report's time.
        let ran_s = now.saturating_sub(gang.since) as f64 / 1000.0;
        let lost_s = if job.spec.checkpoint_s > 0.0 {
            ran_s.min(job.spec.save_s)
        } else {
            ran_s
        };
        let again_s = self.settings.report_ms() as f64 / 1000.0;
        Some((lost_s + again_s) * f64::from(job.spec.tasks))
    }

    /// The attempt under which the next task of a job is booked.
    pub(crate) fn next_attempt(&mut self, id: &JobId, partition: Partition) -> Option<Attempt> {
        let now = self.now.ms;
        let joins = self
            .jobs
            .get(id)
            .filter(|j| j.spec.shape == Shape::Gang && !j.placed.is_empty())
            .and_then(|j| j.gang);
        if let Some(gang) = joins {
            return Some(gang.attempt);
        }
        let tenure = self.tenures.get_mut(&partition)?;
        tenure.next_attempt += 1;
        // Attempts carry the epoch with which the tenure began: no other tenure can make the same.
        let attempt = Attempt((tenure.since.0 << 24) + tenure.next_attempt);
        if let Some(job) = self.jobs.get_mut(id).filter(|j| j.spec.shape == Shape::Gang) {
            job.gang = Some(Gang::new(attempt, now));
        }
        Some(attempt)
    }
}
