//! Orders for machines: with answers to their reports, and by direct commands.

use super::{Held, HeldState, Machine, Stop};
use crate::calls::Purpose;
use crate::controller::Controller;
use crate::ids::{Attempt, Epoch, MachineId, TaskId};
use crate::jobs::Job;
use crate::messages::{Method, NOT_SENT, NOT_TRIED, Target};
use crate::protocol::{Command, Orders, Report, TaskState};

/// The order to start a task that is held.
fn order_to_start(held: &Held) -> Command {
    Command::Start {
        task: held.task.to_string(),
        attempt: held.attempt,
    }
}

/// The order to stop a task that its machine reports in some state; none: it goes on, or is saving in time.
fn order_to_stop(held: &mut Held, state: TaskState, live: bool, now: u64, report_ms: u64) -> Option<Command> {
    if !live && held.stop.is_none() {
        held.stop = Some(Stop::new(0.0, now));
    }
    let stop = held.stop?;
    // A task that saves for longer than it may is ended.
    let late = now.saturating_sub(stop.at) > (stop.grace_s * 2000.0) as u64 + 2 * report_ms;
    let saves_in_time = state == TaskState::Saving && !late && live && stop.grace_s != 0.0;
    (!saves_in_time).then(|| Command::Stop {
        task: held.task.to_string(),
        attempt: held.attempt,
        grace_s: if late || !live { 0.0 } else { stop.grace_s },
    })
}

impl Controller {
    /// Orders for a machine: with the answer to one of its reports, or in a direct command.
    pub(crate) fn orders_for(&mut self, id: &MachineId, answered_report: Option<(u64, u64)>) -> Vec<Command> {
        let now = self.now.ms;
        let report_ms = self.settings.report_ms();
        let epoch = self.epoch();
        let sharing = self.members_share_machines();
        let mut commands = self.forget_ended(id);
        let Some(m) = self.machines.get_mut(id) else {
            return commands;
        };
        let mut dropped = Vec::new();
        for h in &mut m.held {
            let known_here =
                |job: &&Job| job.partition == m.partition || (sharing && m.also_holds.contains(&job.partition));
            let job = self.jobs.get(&h.task.job).filter(known_here);
            let open = job.is_some_and(|j| j.ending.is_none());
            // A cancellation stops tasks from when it is asked for.
            let live = job.is_some_and(|j| !j.is_done(h.task.index)) && !self.cancellations.calls_off(&h.task.job);
            match h.state {
                HeldState::Booked if live && open && h.stop.is_none() => {
                    h.state = match answered_report {
                        Some((session, seq)) => HeldState::Sent(session, seq),
                        None => HeldState::Direct,
                    };
                    if answered_report.is_none()
                        && let Some(epoch) = epoch
                    {
                        m.directs.insert((h.task.clone(), h.attempt), (epoch, now));
                    }
                    commands.push(order_to_start(h));
                }
                HeldState::Booked => dropped.push((h.task.clone(), h.attempt)),
                HeldState::Seen(state) => commands.extend(order_to_stop(h, state, live, now, report_ms)),
                HeldState::Sent(..)
                    if answered_report.is_some() && live && m.pins.contains_key(&(h.task.clone(), h.attempt)) =>
                {
                    // The same attempt once more: whichever copy comes second has no effect.
                    commands.extend(open.then(|| order_to_start(h)));
                }
                HeldState::Sent(..) | HeldState::Direct => {}
            }
        }
        for (task, attempt) in dropped {
            self.release(id, &task, attempt);
        }
        commands
    }

    /// Orders to forget the ended attempts that a machine still lists and whose results are stored.
    fn forget_ended(&mut self, id: &MachineId) -> Vec<Command> {
        let now = self.now.ms;
        // A direct command may come once more, after its answer, and so may those of whoever had the
        // machine before: while the worker lists the attempt it has no effect, once forgotten it would
        // start the task again. A newer token, or time, makes an end of that.
        let late = 3 * self.settings.worker_lease_ms();
        let mut commands = Vec::new();
        let Some(m) = self.machines.get_mut(id) else {
            return commands;
        };
        m.directs.retain(|_, (_, at)| now.saturating_sub(*at) < late);
        for (task, attempt, done) in &m.ended {
            // A result may be dropped only once it is stored.
            let job = self.jobs.get(&task.job);
            let keep = *done && job.is_some_and(|j| !j.is_stored(task.index));
            let foreign = job.is_some_and(|j| j.partition != m.partition) && now.saturating_sub(m.known_since) < late;
            let repeatable = foreign || m.directs.contains_key(&(task.clone(), *attempt));
            if !keep && !repeatable && !m.pins.contains_key(&(task.clone(), *attempt)) {
                commands.push(Command::Forget {
                    task: task.to_string(),
                    attempt: *attempt,
                });
            }
        }
        commands
    }

    /// Orders a held task to stop, saving if it can.
    pub(crate) fn stop_held(&mut self, machine: &MachineId, task: &TaskId, attempt: Attempt) {
        let now = self.now.ms;
        let grace_s = match self.jobs.get(&task.job) {
            Some(j) if j.spec.checkpoint_s > 0.0 => j.spec.save_s.max(0.1),
            _ => 0.0,
        };
        if let Some(m) = self.machines.get_mut(machine)
            && let Some(h) = m.held.iter_mut().find(|h| h.task == *task && h.attempt == attempt)
        {
            h.stop.get_or_insert(Stop::new(grace_s, now));
            self.poked.insert(machine.clone());
        }
    }

    /// Sends what machines have to do at once, rather than with the answers to their next reports.
    pub(crate) fn send_direct(&mut self) {
        if self.poked.is_empty() {
            return;
        }
        let Some(epoch) = self.epoch().filter(|_| self.entitled()) else {
            self.poked.clear();
            return;
        };
        let now = self.now.ms;
        let patience = 2 * self.settings.report_ms();
        for id in std::mem::take(&mut self.poked) {
            let Some(m) = self.machines.get(&id) else { continue };
            let fit = m.confirmed
                && m.up()
                && !m.gone
                && m.commanding.is_none()
                && !m.deleting
                && now >= m.direct_from
                && m.heard.is_some_and(|t| now.saturating_sub(t) <= patience);
            if !fit || self.acting(m.partition).is_none() {
                continue;
            }
            let (addr, session) = (m.addr.clone(), m.last.0);
            let commands = self.orders_for(&id, None);
            let urgent = commands.iter().any(|c| !matches!(c, Command::Forget { .. }));
            if !urgent {
                continue;
            }
            let orders = Orders {
                epoch,
                session: Some(session),
                commands,
            };
            let body = serde_json::to_string(&orders).unwrap_or_default();
            self.commands_sent += 1;
            let number = self.commands_sent;
            if let Some(m) = self.machines.get_mut(&id) {
                m.commanding = Some(number);
            }
            let timeout = self.settings.report_ms() / 2;
            self.call(
                Target::Worker(addr),
                Method::Post,
                "/commands",
                body,
                timeout,
                Purpose::Direct {
                    machine: id,
                    number,
                    epoch,
                    session,
                },
            );
        }
    }

    /// A direct command has an answer, or none.
    pub(crate) fn on_direct(
        &mut self,
        id: MachineId,
        number: u64,
        under: (Epoch, u64),
        result: Option<(u16, Vec<u8>)>,
    ) {
        // An answer to a command of an earlier tenure says nothing of what was sent since.
        if self.machines.get(&id).is_none_or(|m| m.commanding != Some(number)) {
            return;
        }
        let (epoch, session) = under;
        let now = self.now.ms;
        let lease = self.settings.worker_lease_ms();
        let partition = self.machines.get(&id).map(|m| m.partition);
        if partition.is_none_or(|p| self.acting(p).is_none()) {
            // The tenure has ended, or cannot act: whoever acts next finds out what is on the machine.
            if let Some(m) = self.machines.get_mut(&id) {
                m.commanding = None;
                m.pin_direct(epoch, session, now);
            }
            return;
        }
        let Some(m) = self.machines.get_mut(&id) else { return };
        m.commanding = None;
        let report = result
            .as_ref()
            .and_then(|(_, body)| serde_json::from_slice::<Report>(body).ok())
            .filter(|r| r.machine == id);
        match (result.map(|(status, _)| status), report) {
            (Some(200), Some(report)) => {
                m.heard_directly = Some(now);
                for h in m.held.iter_mut().filter(|h| h.state == HeldState::Direct) {
                    h.state = HeldState::Sent(report.session, report.seq);
                }
                self.take_report(&report, false);
                if self.machines.get(&id).is_some_and(Machine::has_errands) {
                    self.poked.insert(id);
                }
            }
            // Not executed: another session or a newer token, or the connection never came about.
            (Some(status @ (409 | NOT_SENT | NOT_TRIED)), report) => {
                if status != NOT_TRIED {
                    m.direct_from = now + lease / 4;
                }
                let unsent: Vec<(TaskId, Attempt)> = m
                    .held
                    .iter()
                    .filter(|h| h.state == HeldState::Direct)
                    .map(|h| (h.task.clone(), h.attempt))
                    .collect();
                for (task, attempt) in unsent {
                    self.release(&id, &task, attempt);
                }
                if let Some(report) = report {
                    self.take_report(&report, false);
                }
            }
            _ => {
                m.direct_from = now + lease;
                m.pin_direct(epoch, session, now);
            }
        }
    }
}
