//! Routing of workers' reports. The owner of a machine answers its reports; other controllers relay them to the owner
//! or redirect the worker to it.

use super::{Machine, MisdirectedWorker};
use crate::calls::{CallPurpose, Requester};
use crate::controller::Controller;
use crate::ids::{ControllerId, Epoch, TaskId};
use crate::messages::{Answer, PeerReply, PeerRequest};
use crate::protocol::{Command, Orders, Report, TaskState};
use serde_json::json;

impl Controller {
    /// Handles a worker's report. `direct` is false for a report that another controller relayed.
    ///
    /// Answers 400 if the report cannot be parsed, and 503 if this controller may not act or does not know its epoch.
    pub(crate) fn on_report(&mut self, requester: Requester, body: &[u8], direct: bool) {
        let report = match serde_json::from_slice::<Report>(body) {
            Ok(report) => report,
            Err(fault) => {
                let error = json!({ "error": fault.to_string() }).to_string();
                self.send_answer(requester, Answer::new(400, error));
                return;
            }
        };
        let Some(epoch) = self.epoch().filter(|_| self.is_entitled()) else {
            self.send_answer(requester, Answer::retry_later(503, 1, "not entitled to act at present"));
            return;
        };
        if report.epoch > epoch {
            // The worker would drop an answer under an older epoch, and would go on reporting to this controller.
            self.send_answer(
                requester,
                Answer::retry_later(503, 1, "a newer epoch is not known here yet"),
            );
            return;
        }
        let Some(partition) = self.machines.get(&report.machine).map(|m| m.partition) else {
            self.capacity.record_unregistered_machine(&report, epoch, self.now.ms);
            if self.answer_with_stops(requester, &report, epoch) {
                return;
            }
            let to = self.membership.leader.as_ref().map(|(l, _)| l.name.clone());
            match to {
                Some(to) if direct && to != self.own_name && self.is_reachable(&to) => {
                    self.redirect_worker(requester, &to)
                }
                _ => self.answer_with_commands(requester, epoch, Vec::new()),
            }
            return;
        };
        if self.active_tenure(partition).is_some() {
            self.accept_own_report(requester, &report, epoch);
            return;
        }
        let owner = self.partition_owner(partition).map(|h| h.owner.clone());
        match owner {
            Some(owner) if owner != self.own_name && direct => {
                if !self.answer_with_stops(requester, &report, epoch) {
                    self.relay_report(requester, report, &owner, body);
                }
            }
            Some(owner) if owner != self.own_name => {
                // A relayed report reached a controller that is not the owner: the sender does not know the new owner
                // yet.
                self.send_answer(requester, Answer::retry_later(503, 1, "not the owner"));
            }
            _ => {
                // A takeover is in progress: the worker keeps its tasks and learns the new epoch.
                let stops = self.stops_for_finished_jobs(&report);
                self.answer_with_commands(requester, epoch, stops);
            }
        }
    }

    /// Answers 421 with the controller to which the worker should report.
    pub(super) fn redirect_worker(&mut self, requester: Requester, to: &ControllerId) {
        let body = json!({ "dispatcher": to }).to_string();
        self.send_answer(requester, Answer::new(421, body));
    }

    /// Answers a report with the epoch and commands.
    pub(crate) fn answer_with_commands(&mut self, requester: Requester, epoch: Epoch, commands: Vec<Command>) {
        let orders = Orders {
            epoch,
            session: None,
            commands,
        };
        let body = serde_json::to_string(&orders).unwrap_or_default();
        self.send_answer(requester, Answer::new(200, body));
    }

    /// Relays a report of a machine that another controller owns. A worker that has reported here for two report
    /// intervals is redirected to the owner; one whose machine is not recorded as up is redirected at once. If the
    /// owner is unreachable from here, the worker is redirected at once to a third controller that is reachable. If it
    /// comes back, it is not redirected again for the time of a worker lease.
    ///
    /// The report is relayed first because a worker that reports here after failing to reach its owner has already
    /// gone without an answer for a while. Redirecting it into the same network partition would double that time.
    pub(super) fn relay_report(&mut self, requester: Requester, report: Report, owner: &ControllerId, body: &[u8]) {
        let now = self.now.ms;
        let worker_lease_ms = self.settings.worker_lease_ms();
        let redirect_delay_ms = 2 * self.settings.report_ms();
        let reachable = self.is_reachable(owner);
        let is_up = self.machines.get(&report.machine).is_some_and(Machine::is_up);
        // The owner may be unreachable from this controller only; a third controller may still reach it.
        let third_controller = || {
            let mut members = self.membership.members.keys();
            members
                .find(|m| **m != self.own_name && *m != owner && self.is_reachable(m))
                .cloned()
        };
        let to = if reachable {
            Some(owner.clone())
        } else {
            third_controller()
        };
        let worker = self
            .misdirected_workers
            .entry(report.machine.clone())
            .or_insert(MisdirectedWorker {
                since: now,
                last_seen: now,
                redirected_at: None,
            });
        worker.last_seen = now;
        let was_redirected_lately = worker
            .redirected_at
            .is_some_and(|t| now.saturating_sub(t) < worker_lease_ms);
        let can_redirect =
            !was_redirected_lately && (!is_up || !reachable || now.saturating_sub(worker.since) >= redirect_delay_ms);
        if let Some(to) = to.filter(|_| can_redirect) {
            worker.redirected_at = Some(now);
            self.redirect_worker(requester, &to);
            return;
        }
        let request = PeerRequest::Relay { report: body.to_vec() };
        let timeout = self.settings.report_ms() / 3;
        self.send_peer_request(
            owner.clone(),
            request,
            timeout,
            CallPurpose::Relay {
                requester,
                report: Box::new(report),
            },
        );
    }

    /// Handles the answer to a relayed report. Without one, answers with the stops that any entitled controller may
    /// send.
    pub(crate) fn on_relay_answer(&mut self, requester: Requester, report: &Report, result: Option<PeerReply>) {
        match result {
            Some(PeerReply::Answer(answer)) if answer.status == 200 && self.is_entitled() => {
                self.send_answer(requester, answer)
            }
            _ => match self.epoch().filter(|e| self.is_entitled() && *e >= report.epoch) {
                Some(epoch) => {
                    let stops = self.stops_for_finished_jobs(report);
                    self.answer_with_commands(requester, epoch, stops);
                }
                None => self.send_answer(requester, Answer::retry_later(503, 1, "not entitled to act at present")),
            },
        }
    }

    /// Immediately answers a report of a machine that this controller does not own, if the report lists tasks that
    /// must stop. Returns whether it did. The owner may not be ready or may not know of the cancellation, and this
    /// may be the last answer that reaches the worker.
    pub(super) fn answer_with_stops(&mut self, requester: Requester, report: &Report, epoch: Epoch) -> bool {
        let stops = self.stops_for_finished_jobs(report);
        let has_stops = !stops.is_empty();
        if has_stops {
            self.answer_with_commands(requester, epoch, stops);
        }
        has_stops
    }

    /// Stop commands for the listed tasks whose jobs have ended or are being cancelled. Any entitled controller may
    /// send them.
    pub(super) fn stops_for_finished_jobs(&self, report: &Report) -> Vec<Command> {
        report
            .tasks
            .iter()
            .filter(|t| t.state != TaskState::Exited)
            .filter(|t| {
                let must_stop = |id: TaskId| {
                    self.ended_jobs.contains_key(&id.job) || self.cancellations.is_cancelled_or_requested(&id.job)
                };
                TaskId::parse(&t.task).is_some_and(must_stop)
            })
            .map(|t| Command::Stop {
                task: t.task.clone(),
                attempt: t.attempt,
                grace_s: 0.0,
            })
            .collect()
    }

    /// Applies and answers a report of a machine that this controller owns.
    pub(super) fn accept_own_report(&mut self, requester: Requester, report: &Report, epoch: Epoch) {
        let id = report.machine.clone();
        let is_accepted = self.accept_report(report, true);
        if is_accepted && matches!(requester, Requester::Request(_)) {
            // A relayed report may be a late copy, which does not show that the machine's zone is reachable now.
            self.mark_heard_directly(&id);
        }
        if !is_accepted {
            // The report is late, or under an older epoch. The answer brings the worker the present epoch.
            let stops = self.stops_for_finished_jobs(report);
            self.answer_with_commands(requester, epoch, stops);
            return;
        }
        let is_first = self
            .machines
            .get(&id)
            .is_some_and(|m| !m.is_up() && !m.is_boot_write_pending && !m.is_deleted);
        if is_first && !report.addr.is_empty() {
            self.record_boot_time(&id);
            // The machine may hold tasks only once the roster records that it is up.
            self.queue_first_report(requester, report);
            return;
        }
        if let Some(m) = self.machines.get_mut(&id) {
            m.last_answered_at = Some(self.now.ms);
        }
        let commands = self.commands_for(&id, Some((report.session, report.seq)));
        self.answer_with_commands(requester, epoch, commands);
    }
}
