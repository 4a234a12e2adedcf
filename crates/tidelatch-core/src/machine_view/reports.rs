//! Processing of workers' reports: updates of the machine view.

use super::{HeldTask, HeldTaskState, StopRequest};
use crate::controller::Controller;
use crate::ids::{Attempt, MachineId, TaskId};
use crate::jobs::Job;
use crate::messages::Level;
use crate::protocol::{Report, Shape, TaskState};
use std::collections::BTreeSet;

/// What an accepted report has shown about its machine.
struct MachineUpdate {
    /// It is the machine's first report in this tenure.
    is_first: bool,
    /// The worker's lease has expired since the previous report, and the worker has begun a new session.
    is_new_session: bool,
}

impl Controller {
    /// Records the boot time of a machine for its machine type, when its first report arrives.
    pub(super) fn record_boot_time(&mut self, id: &MachineId) {
        let Some(m) = self.machines.get(id) else { return };
        // Machines found at the takeover were rented at an unknown earlier time.
        let was_rented_before = self
            .active_tenure(m.partition)
            .is_none_or(|t| m.known_since <= t.active_since_ms);
        let machine_type = self.machine_types.iter().find(|t| t.name == m.model);
        if let Some(machine_type) = machine_type.filter(|_| !was_rented_before) {
            self.capacity
                .boot_times
                .record_boot(machine_type, m.known_since, self.now.ms);
        }
    }

    /// Records that a machine was heard without another controller as relay.
    pub(super) fn mark_heard_directly(&mut self, id: &MachineId) {
        let now = self.now.ms;
        if let Some(m) = self.machines.get_mut(id) {
            m.heard_directly = Some(now);
        }
    }

    /// Applies a report to the machine view. Returns false and changes no task if the report is late, or if its
    /// worker has not seen the epoch of the present tenure.
    pub(crate) fn accept_report(&mut self, report: &Report, is_periodic: bool) -> bool {
        if !self.is_current(report, is_periodic) {
            return false;
        }
        let Some(MachineUpdate {
            is_first,
            is_new_session,
        }) = self.update_machine_state(report)
        else {
            return false;
        };
        let id = &report.machine;
        if is_new_session {
            // When its lease expired, the worker killed and forgot all its tasks.
            self.release_previous_sessions(id, report.session);
        }
        let listed = self.update_tasks(report);
        if is_first {
            self.keep_starts_of_previous_owner(report, &listed);
        }
        if is_periodic {
            self.count_missed_starts(report, &listed);
            self.release_missing_attempts(report, &listed);
        }
        self.update_idle_since(id);
        if is_first {
            self.update_settled_tenures();
            self.schedule_batch();
        }
        true
    }

    /// Whether a report is newer than the last one and its worker has seen the epoch of the present tenure. A report
    /// that fails only the second condition may still show that the machine is alive.
    fn is_current(&mut self, report: &Report, is_periodic: bool) -> bool {
        let Some(m) = self.machines.get_mut(&report.machine) else {
            return false;
        };
        if (report.session, report.seq) <= m.last_report_key || m.is_deleted {
            return false;
        }
        let tenure = self.tenures.get(&m.partition);
        let current = tenure.is_some_and(|tenure| report.epoch >= tenure.since_epoch);
        // A periodic report under an older epoch may be a late copy, which does not show that the machine is alive. A
        // report sent as the answer to a request cannot be one.
        if current || !is_periodic {
            m.last_heard_at = Some(self.now.ms);
            m.failed_probes = 0;
        }
        current
    }

    /// Applies what a report says about the machine itself. None if the machine is not known.
    fn update_machine_state(&mut self, report: &Report) -> Option<MachineUpdate> {
        let now = self.now.ms;
        let worker_lease_ms = self.settings.worker_lease_ms();
        let tenures = &self.tenures;
        let m = self.machines.get_mut(&report.machine)?;
        let is_new_session = report.session > m.last_report_key.0 && m.last_report_key.0 > 0;
        if is_new_session
            && m.last_answered_at
                .is_some_and(|t| now.saturating_sub(t) < worker_lease_ms / 2)
        {
            // The lease expired although the worker's reports were being answered: the answers did not arrive.
            m.missed_answers += 2;
        }
        m.last_report_key = (report.session, report.seq);
        m.last_report_at = Some(now);
        m.seen_epoch = report.epoch;
        m.has_preemption_notice = report.notice_s.is_some();
        m.unanswered_starts
            .retain(|_, start| start.epoch >= report.epoch && start.session >= report.session);
        if is_new_session {
            m.direct_starts.clear();
        }
        m.direct_starts.fence(report.epoch);
        let is_first = !m.is_confirmed;
        m.is_confirmed = true;
        m.unaccounted_partitions
            .retain(|p| tenures.get(p).is_none_or(|tenure| report.epoch < tenure.since_epoch));
        Some(MachineUpdate {
            is_first,
            is_new_session,
        })
    }

    /// Applies what a report says about each task, and returns the attempts that it lists.
    fn update_tasks(&mut self, report: &Report) -> BTreeSet<(TaskId, Attempt)> {
        let id = &report.machine;
        let mut listed = BTreeSet::new();
        let mut ended = Vec::new();
        for t in &report.tasks {
            let Some(task) = TaskId::parse(&t.task) else { continue };
            listed.insert((task.clone(), t.attempt));
            if t.state == TaskState::Exited {
                let why = t.why.as_deref().unwrap_or("");
                ended.push((task.clone(), t.attempt, why == "done"));
                self.handle_exit(id, &task, t.attempt, why);
            } else {
                self.update_task(id, task, t.attempt, t.state);
            }
        }
        if let Some(m) = self.machines.get_mut(id) {
            m.ended = ended;
        }
        listed
    }

    /// Processes an attempt that a report lists as ended.
    fn handle_exit(&mut self, id: &MachineId, task: &TaskId, attempt: Attempt, why: &str) {
        let held = self.machines.get(id).and_then(|m| {
            let mut held = m.held.iter();
            held.find(|h| h.task == *task && h.attempt == attempt)
        });
        let started_at = held.and_then(|h| h.running_since);
        // An ended attempt stays in many reports. Its failure is counted only once.
        let failed_before = why == "error" && held.is_none();
        self.release_attempt(id, task, attempt);
        if !failed_before {
            self.handle_task_end(id, task, attempt, why, started_at);
        }
    }

    /// Counts a missed answer if a periodic report does not list a start that the answer to an earlier report
    /// carried: the worker never received it.
    fn count_missed_starts(&mut self, report: &Report, listed: &BTreeSet<(TaskId, Attempt)>) {
        let key = (report.session, report.seq);
        let Some(m) = self.machines.get_mut(&report.machine) else {
            return;
        };
        let is_missing = |h: &HeldTask| match h.state {
            HeldTaskState::Sent(session, seq) => (session, seq) < key && !listed.contains(&(h.task.clone(), h.attempt)),
            _ => false,
        };
        if m.held.iter().any(is_missing) {
            // A single miss is a lost packet. If it repeats, tasks are placed on other machines, because their starts
            // would be lost here again and again. The time doubles with each miss, up to 32 report intervals.
            m.missed_answers += 1;
            m.avoid_until = self.now.ms + (self.settings.report_ms() << m.missed_answers.min(5));
        }
    }

    /// Releases the attempts that a periodic report should list and does not: they are gone or were never started.
    fn release_missing_attempts(&mut self, report: &Report, listed: &BTreeSet<(TaskId, Attempt)>) {
        let key = (report.session, report.seq);
        let Some(m) = self.machines.get(&report.machine) else {
            return;
        };
        let missing: Vec<(TaskId, Attempt)> = m
            .held
            .iter()
            .filter(|h| match h.state {
                HeldTaskState::Booked | HeldTaskState::AwaitingAnswer => false,
                HeldTaskState::Sent(session, seq) => (session, seq) < key,
                HeldTaskState::Reported(_) => true,
            })
            .map(|h| (h.task.clone(), h.attempt))
            .filter(|attempt| !listed.contains(attempt) && !m.unanswered_starts.contains_key(attempt))
            .collect();
        for (task, attempt) in missing {
            self.release_attempt(&report.machine, &task, attempt);
        }
    }

    /// Records since when a machine has held no tasks.
    fn update_idle_since(&mut self, id: &MachineId) {
        let now = self.now.ms;
        if let Some(m) = self.machines.get_mut(id) {
            if m.held.is_empty() {
                m.idle_since.get_or_insert(now);
            } else {
                m.idle_since = None;
            }
        }
    }

    /// Releases the attempts of older sessions after the worker has begun a new one.
    pub(super) fn release_previous_sessions(&mut self, id: &MachineId, session: u64) {
        let held: Vec<(TaskId, Attempt)> = match self.machines.get(id) {
            Some(m) => m
                .held
                .iter()
                // A booked start that has not been sent does not belong to an older session.
                .filter(|h| h.state != HeldTaskState::Booked)
                .map(|h| (h.task.clone(), h.attempt))
                .collect(),
            None => return,
        };
        if !held.is_empty() {
            self.log(
                Level::Info,
                format!(
                    "{id}: session {session} began, {} tasks of the previous session are gone",
                    held.len()
                ),
            );
        }
        for (task, attempt) in held {
            self.release_attempt(id, &task, attempt);
        }
    }

    /// Applies the reported state of a task that has not ended.
    pub(super) fn update_task(&mut self, id: &MachineId, task: TaskId, attempt: Attempt, state: TaskState) {
        let now = self.now.ms;
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.update_gang(attempt, state, now);
        }
        if !self.update_held_task(id, &task, attempt, state) {
            self.adopt_task(id, task, attempt, state);
        }
    }

    /// Updates the state of a task that the machine is known to hold. Returns false if the machine is not known to
    /// hold it.
    fn update_held_task(&mut self, id: &MachineId, task: &TaskId, attempt: Attempt, state: TaskState) -> bool {
        let now = self.now.ms;
        let cache_gb = self
            .machines
            .get(id)
            .and_then(|m| self.machine_types.iter().find(|t| t.name == m.model))
            .map_or(0.0, |t| t.cache_gb);
        let image = self
            .jobs
            .get(&task.job)
            .map(|j| (j.spec.image.clone(), j.spec.image_gb));
        let Some(m) = self.machines.get_mut(id) else {
            return false;
        };
        let Some(h) = m.held.iter_mut().find(|h| h.task == *task && h.attempt == attempt) else {
            return false;
        };
        m.missed_answers = 0;
        let has_started = state == TaskState::Running && h.running_since.is_none();
        if has_started {
            h.running_since = Some(now);
        }
        h.state = HeldTaskState::Reported(state);
        let running_since = h.running_since;
        // A gang's task that waits for the other tasks has already fetched its image.
        let has_image = has_started || state == TaskState::Gathering;
        if let Some((image, gb)) = image.filter(|_| has_image) {
            m.record_cached_image(&image, gb, cache_gb);
        }
        if has_started {
            self.log(Level::Debug, format!("{id}: {task} is running"));
        }
        if let Some(since) = running_since {
            self.record_running_replica(&task.job, id, since);
        }
        true
    }

    /// Adds a task that was not booked in this tenure: one found after a takeover, one that is not wanted any more, or
    /// a second copy.
    fn adopt_task(&mut self, id: &MachineId, task: TaskId, attempt: Attempt, state: TaskState) {
        let now = self.now.ms;
        let (size, team) = match (self.jobs.get(&task.job), self.ended_jobs.get(&task.job)) {
            (Some(j), _) => (Self::task_resources(&j.spec), j.spec.team.clone()),
            (None, Some(over)) => (over.size, over.team.clone()),
            _ => ([0.0; 3], String::new()),
        };
        let is_duplicate = self
            .jobs
            .get(&task.job)
            .is_some_and(|j| j.placed.contains_key(&task.index));
        if is_duplicate {
            self.log(
                Level::Error,
                format!("{id}: {task} attempt {attempt} is on a second machine: stopping it"),
            );
        }
        let held = HeldTask {
            task,
            attempt,
            state: HeldTaskState::Reported(state),
            running_since: (state == TaskState::Running).then_some(now),
            stop: is_duplicate.then_some(StopRequest::new(0.0, now)),
            size,
            team,
        };
        self.add_held_task(id, held);
    }

    /// Processes the end of a task on a machine. `started_at` is the time in ms at which it was first seen running.
    pub(super) fn handle_task_end(
        &mut self,
        id: &MachineId,
        task: &TaskId,
        attempt: Attempt,
        why: &str,
        started_at: Option<u64>,
    ) {
        let now = self.now.ms;
        self.log(Level::Debug, format!("{id}: {task} ended: {why}"));
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.record_gang_task_end(attempt, why);
        }
        match why {
            "done" => {
                // Only a task that began after the machine's last failure is evidence that the machine works.
                if let Some(m) = self.machines.get_mut(id)
                    && started_at.is_some_and(|t| t > m.last_failure_at)
                {
                    m.failures.clear();
                }
                let own = |job: &&Job| self.active_tenure(job.partition).is_some();
                if let Some(job) = self.jobs.get(&task.job).filter(own) {
                    if let Some(started_at) = started_at.filter(|_| job.spec.shape != Shape::Service) {
                        self.estimates
                            .record_run_time(&job.spec, now.saturating_sub(started_at) as f64 / 1000.0);
                    }
                    self.record_success(&task.job, id);
                    self.record_task_done(task);
                }
            }
            "error" => self.record_failure(id, task),
            "no_room" => {
                if let Some(m) = self.machines.get_mut(id) {
                    m.avoid_until = now + self.settings.report_ms();
                }
            }
            _ => {}
        }
    }
}
