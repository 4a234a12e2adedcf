//! Workers' reports: what they change in the view of the machines.

use super::{Held, HeldState, Stop};
use crate::controller::Controller;
use crate::ids::{Attempt, MachineId, TaskId};
use crate::jobs::Job;
use crate::messages::Level;
use crate::protocol::{Report, Shape, TaskState};
use std::collections::BTreeSet;

/// What a report that counts has shown of its machine.
struct MachineNews {
    /// It is the machine's first one in this tenure.
    first: bool,
    /// The worker's lease has expired since the last one: it has begun a new session.
    newer_session: bool,
}

impl Controller {
    /// Learns from a machine's first report how long machines of its type boot.
    pub(super) fn note_boot(&mut self, id: &MachineId) {
        let Some(m) = self.machines.get(id) else { return };
        // What was found at the take-over was rented at some earlier time.
        let rented_before = self.acting(m.partition).is_none_or(|t| m.known_since <= t.active_at);
        let machine_type = self.types.iter().find(|t| t.name == m.model);
        if let Some(machine_type) = machine_type.filter(|_| !rented_before) {
            self.cloud.boot_times.note(machine_type, m.known_since, self.now.ms);
        }
    }

    pub(super) fn heard_directly(&mut self, id: &MachineId) {
        let now = self.now.ms;
        if let Some(m) = self.machines.get_mut(id) {
            m.heard_directly = Some(now);
        }
    }

    /// Takes a report into the view of the machines. False: it is late, or its worker has not seen the token of the
    /// present tenure; then it changes nothing.
    pub(crate) fn take_report(&mut self, report: &Report, is_periodic: bool) -> bool {
        if !self.is_current(report, is_periodic) {
            return false;
        }
        let Some(MachineNews { first, newer_session }) = self.take_machine_state(report) else {
            return false;
        };
        let id = &report.machine;
        if newer_session {
            // The worker has killed and forgotten all that it had.
            self.release_older_session(id, report.session);
        }
        let listed = self.take_tasks(report);
        if is_periodic {
            self.note_unseen_starts(report, &listed);
            self.release_missing(report, &listed);
        }
        self.note_idleness(id);
        if first {
            self.note_settled();
            self.want_batch();
        }
        true
    }

    /// Whether a report is newer than the last one and its worker has seen the token of the present tenure. One that
    /// has not may still be a sign of life.
    fn is_current(&mut self, report: &Report, is_periodic: bool) -> bool {
        let Some(m) = self.machines.get_mut(&report.machine) else {
            return false;
        };
        if (report.session, report.seq) <= m.last || m.gone {
            return false;
        }
        let tenure = self.tenures.get(&m.partition);
        let current = tenure.is_some_and(|tenure| report.epoch >= tenure.since);
        // A periodic report under an older token may be a late copy, which is no sign of life; an answer is none.
        if current || !is_periodic {
            m.heard = Some(self.now.ms);
            m.probes_failed = 0;
        }
        current
    }

    /// Takes what a report says of the machine itself. None: the machine is not known.
    fn take_machine_state(&mut self, report: &Report) -> Option<MachineNews> {
        let now = self.now.ms;
        let lease = self.settings.worker_lease_ms();
        let tenures = &self.tenures;
        let m = self.machines.get_mut(&report.machine)?;
        let newer_session = report.session > m.last.0 && m.last.0 > 0;
        if newer_session && m.answered.is_some_and(|t| now.saturating_sub(t) < lease / 2) {
            // Its lease has ended though it was being answered: the answers did not arrive.
            m.missed += 2;
        }
        m.last = (report.session, report.seq);
        m.reported = Some(now);
        m.token = report.epoch;
        m.notice = report.notice_s.is_some();
        m.pins
            .retain(|_, pin| pin.epoch >= report.epoch && pin.session >= report.session);
        if newer_session {
            m.directs.clear();
        }
        m.directs.retain(|_, (epoch, _)| *epoch >= report.epoch);
        let first = !m.confirmed;
        m.confirmed = true;
        m.unaccounted
            .retain(|p| tenures.get(p).is_none_or(|tenure| report.epoch < tenure.since));
        Some(MachineNews { first, newer_session })
    }

    /// Takes what a report says of each task, and returns the attempts that it lists.
    fn take_tasks(&mut self, report: &Report) -> BTreeSet<(TaskId, Attempt)> {
        let id = &report.machine;
        let mut listed = BTreeSet::new();
        let mut ended = Vec::new();
        for t in &report.tasks {
            let Some(task) = TaskId::parse(&t.task) else { continue };
            listed.insert((task.clone(), t.attempt));
            if t.state == TaskState::Exited {
                let why = t.why.as_deref().unwrap_or("");
                ended.push((task.clone(), t.attempt, why == "done"));
                self.take_exit(id, &task, t.attempt, why);
            } else {
                self.see(id, task, t.attempt, t.state);
            }
        }
        if let Some(m) = self.machines.get_mut(id) {
            m.ended = ended;
        }
        listed
    }

    /// A report lists an attempt that has ended.
    fn take_exit(&mut self, id: &MachineId, task: &TaskId, attempt: Attempt, why: &str) {
        let held = self.machines.get(id).and_then(|m| {
            let mut held = m.held.iter();
            held.find(|h| h.task == *task && h.attempt == attempt)
        });
        let began = held.and_then(|h| h.running_since);
        // An ended attempt stays in the reports for long: it fails once.
        let failed_before = why == "error" && held.is_none();
        self.release(id, task, attempt);
        if !failed_before {
            self.note_end(id, task, attempt, why, began);
        }
    }

    /// Counts a periodic report that comes without a start that the answer to an earlier one carried: the worker never saw it.
    fn note_unseen_starts(&mut self, report: &Report, listed: &BTreeSet<(TaskId, Attempt)>) {
        let key = (report.session, report.seq);
        let Some(m) = self.machines.get_mut(&report.machine) else {
            return;
        };
        let unseen = |h: &Held| match h.state {
            HeldState::Sent(session, seq) => (session, seq) < key && !listed.contains(&(h.task.clone(), h.attempt)),
            _ => false,
        };
        if m.held.iter().any(unseen) {
            // Once is a lost packet; if it goes on, other machines get the work, for it would be lost here
            // again and again.
            m.missed += 1;
            m.avoid_until = self.now.ms + (self.settings.report_ms() << m.missed.min(5));
        }
    }

    /// Releases what a periodic report should have listed and does not: it is gone, or never began.
    fn release_missing(&mut self, report: &Report, listed: &BTreeSet<(TaskId, Attempt)>) {
        let key = (report.session, report.seq);
        let Some(m) = self.machines.get(&report.machine) else {
            return;
        };
        let lost: Vec<(TaskId, Attempt)> = m
            .held
            .iter()
            .filter(|h| match h.state {
                HeldState::Booked | HeldState::Direct => false,
                HeldState::Sent(session, seq) => (session, seq) < key,
                HeldState::Seen(_) => true,
            })
            .map(|h| (h.task.clone(), h.attempt))
            .filter(|attempt| !listed.contains(attempt) && !m.pins.contains_key(attempt))
            .collect();
        for (task, attempt) in lost {
            self.release(&report.machine, &task, attempt);
        }
    }

    /// Notes since when a machine holds nothing.
    fn note_idleness(&mut self, id: &MachineId) {
        let now = self.now.ms;
        if let Some(m) = self.machines.get_mut(id) {
            if m.held.is_empty() {
                m.idle_since.get_or_insert(now);
            } else {
                m.idle_since = None;
            }
        }
    }

    pub(super) fn release_older_session(&mut self, id: &MachineId, session: u64) {
        let held: Vec<(TaskId, Attempt)> = match self.machines.get(id) {
            Some(m) => m
                .held
                .iter()
                // A booking that has not gone out yet is no older session's.
                .filter(|h| h.state != HeldState::Booked)
                .map(|h| (h.task.clone(), h.attempt))
                .collect(),
            None => return,
        };
        if !held.is_empty() {
            self.log(
                Level::Info,
                format!(
                    "{id}: session {session} began, {} tasks of the last one are gone",
                    held.len()
                ),
            );
        }
        for (task, attempt) in held {
            self.release(id, &task, attempt);
        }
    }

    /// A task is on a machine.
    pub(super) fn see(&mut self, id: &MachineId, task: TaskId, attempt: Attempt, state: TaskState) {
        let now = self.now.ms;
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.note_gang(attempt, state, now);
        }
        if !self.see_held(id, &task, attempt, state) {
            self.hold_found(id, task, attempt, state);
        }
    }

    /// Takes the state of a task that is known to be held by a machine. False: it is not known.
    fn see_held(&mut self, id: &MachineId, task: &TaskId, attempt: Attempt, state: TaskState) -> bool {
        let now = self.now.ms;
        let room = self
            .machines
            .get(id)
            .and_then(|m| self.types.iter().find(|t| t.name == m.model))
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
        m.missed = 0;
        let began = state == TaskState::Running && h.running_since.is_none();
        if began {
            h.running_since = Some(now);
        }
        h.state = HeldState::Seen(state);
        let running_since = h.running_since;
        // A gang's task that waits for the others has its image.
        let has_image = began || state == TaskState::Gathering;
        if let Some((image, gb)) = image.filter(|_| has_image) {
            m.note_image(&image, gb, room);
        }
        if began {
            self.log(Level::Debug, format!("{id}: {task} runs"));
        }
        if let Some(since) = running_since {
            self.note_running_replica(&task.job, id, since);
        }
        true
    }

    /// Takes in a task that was not booked in this tenure: found after a take-over, or a stray.
    fn hold_found(&mut self, id: &MachineId, task: TaskId, attempt: Attempt, state: TaskState) {
        let now = self.now.ms;
        let (size, team) = match (self.jobs.get(&task.job), self.over.get(&task.job)) {
            (Some(j), _) => (Self::size(&j.spec), j.spec.team.clone()),
            (None, Some(over)) => (over.size, over.team.clone()),
            _ => ([0.0; 3], String::new()),
        };
        let twice = self
            .jobs
            .get(&task.job)
            .is_some_and(|j| j.placed.contains_key(&task.index));
        if twice {
            self.log(
                Level::Error,
                format!("{id}: {task} attempt {attempt} is on a second machine: stopping it"),
            );
        }
        let held = Held {
            task,
            attempt,
            state: HeldState::Seen(state),
            running_since: (state == TaskState::Running).then_some(now),
            stop: twice.then_some(Stop::new(0.0, now)),
            size,
            team,
        };
        self.hold(id, held);
    }

    /// A task has ended on a machine.
    pub(super) fn note_end(&mut self, id: &MachineId, task: &TaskId, attempt: Attempt, why: &str, began: Option<u64>) {
        let now = self.now.ms;
        self.log(Level::Debug, format!("{id}: {task} ended: {why}"));
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.note_gang_end(attempt, why);
        }
        match why {
            "done" => {
                // Only a task that began after the last failure speaks for the machine.
                if let Some(m) = self.machines.get_mut(id)
                    && began.is_some_and(|t| t > m.failed_at)
                {
                    m.failures.clear();
                }
                let own = |job: &&Job| self.acting(job.partition).is_some();
                if let Some(job) = self.jobs.get(&task.job).filter(own) {
                    if let Some(began) = began.filter(|_| job.spec.shape != Shape::Service) {
                        self.estimates
                            .note(&job.spec, now.saturating_sub(began) as f64 / 1000.0);
                    }
                    self.note_success(&task.job, id);
                    self.task_done(task);
                }
            }
            "error" => self.note_failure(id, task),
            "no_room" => {
                if let Some(m) = self.machines.get_mut(id) {
                    m.avoid_until = now + self.settings.report_ms();
                }
            }
            _ => {}
        }
    }
}
