//! Who answers a worker's report: the machine's owner, to which other controllers pass it on or send the worker.

use super::{Guest, Machine};
use crate::calls::{Asker, Purpose};
use crate::controller::Controller;
use crate::ids::{ControllerId, Epoch, TaskId};
use crate::messages::{Answer, PeerReply, PeerRequest};
use crate::protocol::{Command, Orders, Report, TaskState};
use serde_json::json;

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
}
