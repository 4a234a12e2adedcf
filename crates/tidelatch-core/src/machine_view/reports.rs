//! Workers' reports: who takes them, and what they change in the view of the machines.

use super::{Guest, Held, HeldState, Machine, Stop};
use crate::calls::{Asker, Purpose};
use crate::controller::Controller;
use crate::ids::{Attempt, ControllerId, Epoch, MachineId, TaskId};
use crate::jobs::Job;
use crate::messages::{Answer, Level, PeerReply, PeerRequest};
use crate::protocol::{Command, Orders, Report, Shape, TaskState};
use serde_json::json;
use std::collections::BTreeSet;

/// What a report that counts has shown of its machine.
struct MachineNews {
    /// It is the machine's first one in this tenure.
    first: bool,
    /// The worker's lease has expired since the last one: it has begun a new session.
    newer_session: bool,
}

impl Controller {
    pub(crate) fn on_report(&mut self, asker: Asker, body: &[u8], direct: bool) {
        let report = match serde_json::from_slice::<Report>(body) {
            Ok(report) => report,
            Err(fault) => {
                let error = json!({ "error": fault.to_string() }).to_string();
                self.answer(asker, Answer::new(400, error));
                return;
            }
        };
        let Some(epoch) = self.epoch().filter(|_| self.entitled()) else {
            self.answer(asker, Answer::later(503, 1, "not entitled to act at present"));
            return;
        };
        if report.epoch > epoch {
            // An answer under an older token would be dropped and hold the worker here.
            self.answer(asker, Answer::later(503, 1, "a newer epoch is not known here yet"));
            return;
        }
        let Some(partition) = self.machines.get(&report.machine).map(|m| m.partition) else {
            self.cloud.note_stranger(&report, epoch, self.now.ms);
            if self.stop_called_off_at_once(asker, &report, epoch) {
                return;
            }
            let to = self.member.leader.as_ref().map(|(l, _)| l.name.clone());
            match to {
                Some(to) if direct && to != self.me && self.reachable(&to) => self.redirect(asker, &to),
                _ => self.answer_orders(asker, epoch, Vec::new()),
            }
            return;
        };
        if self.acting(partition).is_some() {
            self.take_own_report(asker, &report, epoch);
            return;
        }
        let owner = self.holding(partition).map(|h| h.owner.clone());
        match owner {
            Some(owner) if owner != self.me && direct => {
                if !self.stop_called_off_at_once(asker, &report, epoch) {
                    self.pass_on_report(asker, report, &owner, body);
                }
            }
            Some(owner) if owner != self.me => {
                // A relay that came to the wrong door: the sender knows no newer owner.
                let _ = owner;
                self.answer(asker, Answer::later(503, 1, "not the owner"));
            }
            _ => {
                // A take-over under way: the worker keeps its tasks, and gets the new token.
                let stops = self.stops_for_over(&report);
                self.answer_orders(asker, epoch, stops);
            }
        }
    }

    pub(super) fn redirect(&mut self, asker: Asker, to: &ControllerId) {
        let body = json!({ "dispatcher": to }).to_string();
        self.answer(asker, Answer::new(421, body));
    }

    pub(crate) fn answer_orders(&mut self, asker: Asker, epoch: Epoch, commands: Vec<Command>) {
        let orders = Orders {
            epoch,
            session: None,
            commands,
        };
        let body = serde_json::to_string(&orders).unwrap_or_default();
        self.answer(asker, Answer::new(200, body));
    }

    /// A report whose machine another controller owns. It is passed on; a worker that is here for
    /// longer is sent to the owner, and if it comes back from there it may stay for a lease's time.
    ///
    /// Passing on comes first: a worker that is here because it could not reach its owner has been
    /// silent for a while already, and a redirection into the same cut would double that.
    pub(super) fn pass_on_report(&mut self, asker: Asker, report: Report, owner: &ControllerId, body: &[u8]) {
        let now = self.now.ms;
        let lease = self.settings.worker_lease_ms();
        let settle = 2 * self.settings.report_ms();
        let reachable = self.reachable(owner);
        let up = self.machines.get(&report.machine).is_some_and(Machine::up);
        // The owner may be out of reach from here only: a third controller may do better.
        let other = || {
            let mut members = self.member.members.keys();
            members
                .find(|m| **m != self.me && *m != owner && self.reachable(m))
                .cloned()
        };
        let to = if reachable { Some(owner.clone()) } else { other() };
        let guest = self.guests.entry(report.machine.clone()).or_insert(Guest {
            since: now,
            seen: now,
            redirected: None,
        });
        guest.seen = now;
        let lately = guest.redirected.is_some_and(|t| now.saturating_sub(t) < lease);
        let may_go = !lately && (!up || !reachable || now.saturating_sub(guest.since) >= settle);
        if let Some(to) = to.filter(|_| may_go) {
            guest.redirected = Some(now);
            self.redirect(asker, &to);
            return;
        }
        let request = PeerRequest::Relay { report: body.to_vec() };
        let timeout = self.settings.report_ms() / 3;
        self.ask(
            owner.clone(),
            request,
            timeout,
            Purpose::Relay {
                asker,
                report: Box::new(report),
            },
        );
    }

    pub(crate) fn on_relayed(&mut self, asker: Asker, report: &Report, result: Option<PeerReply>) {
        match result {
            Some(PeerReply::Answer(answer)) if answer.status == 200 && self.entitled() => self.answer(asker, answer),
            _ => match self.epoch().filter(|e| self.entitled() && *e >= report.epoch) {
                Some(epoch) => {
                    let stops = self.stops_for_over(report);
                    self.answer_orders(asker, epoch, stops);
                }
                None => self.answer(asker, Answer::later(503, 1, "not entitled to act at present")),
            },
        }
    }

    /// Answers a report of a machine that is not this controller's at once, if it lists tasks that are to be stopped:
    /// its owner may not be ready, or not know, and this answer may be the last that reaches the worker.
    pub(super) fn stop_called_off_at_once(&mut self, asker: Asker, report: &Report, epoch: Epoch) -> bool {
        let stops = self.stops_for_over(report);
        let any = !stops.is_empty();
        if any {
            self.answer_orders(asker, epoch, stops);
        }
        any
    }

    /// Stops for tasks of jobs that are over, or called off: right from any entitled controller.
    pub(super) fn stops_for_over(&self, report: &Report) -> Vec<Command> {
        report
            .tasks
            .iter()
            .filter(|t| t.state != TaskState::Exited)
            .filter(|t| {
                let called_off = |id: TaskId| self.over.contains_key(&id.job) || self.cancellations.calls_off(&id.job);
                TaskId::parse(&t.task).is_some_and(called_off)
            })
            .map(|t| Command::Stop {
                task: t.task.clone(),
                attempt: t.attempt,
                grace_s: 0.0,
            })
            .collect()
    }

    pub(super) fn take_own_report(&mut self, asker: Asker, report: &Report, epoch: Epoch) {
        let id = report.machine.clone();
        let taken = self.take_report(report, true);
        if taken && matches!(asker, Asker::Request(_)) {
            // A late copy says nothing of how its zone is now.
            self.heard_directly(&id);
        }
        if !taken {
            // Late, or under an older token. With the answer the worker gets the present one.
            let stops = self.stops_for_over(report);
            self.answer_orders(asker, epoch, stops);
            return;
        }
        let first = self.machines.get(&id).is_some_and(|m| !m.up() && !m.storing && !m.gone);
        if first && !report.addr.is_empty() {
            self.note_boot(&id);
            // It may hold tasks only once its entry says that it is up.
            self.store_first_report(asker, report);
            return;
        }
        if let Some(m) = self.machines.get_mut(&id) {
            m.answered = Some(self.now.ms);
        }
        let commands = self.orders_for(&id, Some((report.session, report.seq)));
        self.answer_orders(asker, epoch, commands);
    }

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
