//! Commands for workers, sent in answers to their reports and in direct commands.

use super::{HeldTask, HeldTaskState, Machine, StopRequest};
use crate::calls::CallPurpose;
use crate::controller::Controller;
use crate::ids::{Attempt, Epoch, MachineId, TaskId};
use crate::jobs::Job;
use crate::messages::{Method, STATUS_NO_FREE_SOCKET, STATUS_NOT_CONNECTED, Target};
use crate::protocol::{Command, Orders, Priority, Report, TaskState};

/// The command that starts a held task.
fn start_command(held: &HeldTask) -> Command {
    Command::Start {
        task: held.task.to_string(),
        attempt: held.attempt,
    }
}

/// The command that stops a task that its machine reports in `state`. None if the task is to go on running, or is
/// saving within its time limit. Also records in `held` the stop of a task that is not
/// wanted any more.
fn stop_command(held: &mut HeldTask, state: TaskState, is_wanted: bool, now: u64, report_ms: u64) -> Option<Command> {
    if !is_wanted && held.stop.is_none() {
        held.stop = Some(StopRequest::new(0.0, now));
    }
    let stop = held.stop?;
    // A task that takes longer to save than twice its grace plus two report intervals is killed. The factor of 2000 is
    // 2 times 1000 milliseconds per second.
    let is_late = now.saturating_sub(stop.requested_at) > (stop.grace_s * 2000.0) as u64 + 2 * report_ms;
    let saves_in_time = state == TaskState::Saving && !is_late && is_wanted && stop.grace_s != 0.0;
    (!saves_in_time).then(|| Command::Stop {
        task: held.task.to_string(),
        attempt: held.attempt,
        grace_s: if is_late || !is_wanted { 0.0 } else { stop.grace_s },
    })
}

impl Controller {
    /// Collects the commands for a machine. They go out with the answer to the report `answered_report` (session,
    /// sequence number), or in a direct command if that is `None`.
    pub(crate) fn commands_for(&mut self, id: &MachineId, answered_report: Option<(u64, u64)>) -> Vec<Command> {
        let now = self.now.ms;
        let report_ms = self.settings.report_ms();
        let epoch = self.epoch();
        let shared_machines_supported = self.all_members_support_shared_machines();
        let mut commands = self.forget_commands(id);
        let Some(m) = self.machines.get_mut(id) else {
            return commands;
        };
        let mut dropped = Vec::new();
        for h in &mut m.held {
            let is_known_here = |job: &&Job| {
                job.partition == m.partition || (shared_machines_supported && m.also_holds.contains(&job.partition))
            };
            let job = self.jobs.get(&h.task.job).filter(is_known_here);
            let accepts_starts = job.is_some_and(|j| j.ending.is_none());
            let is_production = job.is_some_and(|j| j.spec.priority >= Priority::Prod);
            // A cancellation stops tasks from the moment it is requested.
            let is_wanted = job.is_some_and(|j| !j.is_done(h.task.index))
                && !self.cancellations.is_cancelled_or_requested(&h.task.job);
            match h.state {
                HeldTaskState::Booked if is_wanted && accepts_starts && h.stop.is_none() => {
                    // A start that goes out with the answer to a report cannot be repeated late, so its attempt can be
                    // forgotten as soon as it has ended.
                    if answered_report.is_none() && !m.direct_starts.has_room(is_production) {
                        continue;
                    }
                    h.state = match answered_report {
                        Some((session, seq)) => HeldTaskState::Sent(session, seq),
                        None => HeldTaskState::AwaitingAnswer,
                    };
                    if answered_report.is_none()
                        && let Some(epoch) = epoch
                    {
                        m.direct_starts.record((h.task.clone(), h.attempt), epoch);
                    }
                    commands.push(start_command(h));
                }
                HeldTaskState::Booked => dropped.push((h.task.clone(), h.attempt)),
                HeldTaskState::Reported(state) => commands.extend(stop_command(h, state, is_wanted, now, report_ms)),
                HeldTaskState::Sent(..)
                    if answered_report.is_some()
                        && is_wanted
                        && m.unanswered_starts.contains_key(&(h.task.clone(), h.attempt)) =>
                {
                    // The same attempt is sent again. The copy that arrives second has no effect.
                    commands.extend(accepts_starts.then(|| start_command(h)));
                }
                HeldTaskState::Sent(..) | HeldTaskState::AwaitingAnswer => {}
            }
        }
        for (task, attempt) in dropped {
            self.release_attempt(id, &task, attempt);
        }
        commands
    }

    /// Commands to forget the ended attempts that a machine still lists, whose results are stored, and which no repeated
    /// command can start again.
    fn forget_commands(&self, id: &MachineId) -> Vec<Command> {
        let mut commands = Vec::new();
        let Some(m) = self.machines.get(id) else {
            return commands;
        };
        for (task, attempt, done) in &m.ended {
            // A worker may drop a result only once the result is stored.
            let job = self.jobs.get(&task.job);
            let has_unstored_result = *done && job.is_some_and(|j| !j.is_stored(task.index));
            let key = (task.clone(), *attempt);
            let may_be_redelivered = m.direct_starts.contains(&key) || m.unanswered_starts.contains_key(&key);
            if !has_unstored_result && !may_be_redelivered {
                commands.push(Command::Forget {
                    task: task.to_string(),
                    attempt: *attempt,
                });
            }
        }
        commands
    }

    /// Requests that a held task stops, saving its state first if it has checkpoints.
    pub(crate) fn request_stop(&mut self, machine: &MachineId, task: &TaskId, attempt: Attempt) {
        let now = self.now.ms;
        // At least 0.1 s, because a grace of 0 kills the task at once.
        let grace_s = match self.jobs.get(&task.job) {
            Some(j) if j.spec.checkpoint_s > 0.0 => j.spec.save_s.max(0.1),
            _ => 0.0,
        };
        if let Some(m) = self.machines.get_mut(machine)
            && let Some(h) = m.held.iter_mut().find(|h| h.task == *task && h.attempt == attempt)
        {
            h.stop.get_or_insert(StopRequest::new(grace_s, now));
            self.machines_with_urgent_commands.insert(machine.clone());
        }
    }

    /// Sends urgent commands directly to the workers instead of waiting for their next reports.
    pub(crate) fn send_direct_commands(&mut self) {
        if self.machines_with_urgent_commands.is_empty() {
            return;
        }
        let Some(epoch) = self.epoch().filter(|_| self.is_entitled()) else {
            self.machines_with_urgent_commands.clear();
            return;
        };
        let now = self.now.ms;
        let max_unheard_ms = 2 * self.settings.report_ms();
        for id in std::mem::take(&mut self.machines_with_urgent_commands) {
            let Some(m) = self.machines.get(&id) else { continue };
            let can_command = m.is_confirmed
                && m.is_up()
                && !m.is_deleted
                && m.pending_command.is_none()
                && !m.deleting
                && now >= m.direct_commands_from
                && m.last_heard_at.is_some_and(|t| now.saturating_sub(t) <= max_unheard_ms);
            if !can_command || self.active_tenure(m.partition).is_none() {
                continue;
            }
            let (addr, session) = (m.addr.clone(), m.last_report_key.0);
            let commands = self.commands_for(&id, None);
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
                m.pending_command = Some(number);
            }
            let timeout = self.settings.report_ms() / 2;
            self.send_call(
                Target::Worker(addr),
                Method::Post,
                "/commands",
                body,
                timeout,
                CallPurpose::SendCommands {
                    machine: id,
                    number,
                    epoch,
                    session,
                },
            );
        }
    }

    /// Handles the answer to a direct command, or its absence. `sent_under` is the epoch and session of the command.
    pub(crate) fn on_direct_command_answer(
        &mut self,
        id: MachineId,
        number: u64,
        sent_under: (Epoch, u64),
        result: Option<(u16, Vec<u8>)>,
    ) {
        // An answer to a command of an earlier tenure says nothing about the commands sent since.
        if self.machines.get(&id).is_none_or(|m| m.pending_command != Some(number)) {
            return;
        }
        let (epoch, session) = sent_under;
        let now = self.now.ms;
        let worker_lease_ms = self.settings.worker_lease_ms();
        let partition = self.machines.get(&id).map(|m| m.partition);
        if partition.is_none_or(|p| self.active_tenure(p).is_none()) {
            // The tenure has ended, or its controller may not act: the next acting owner determines what is on the
            // machine.
            if let Some(m) = self.machines.get_mut(&id) {
                m.pending_command = None;
                m.mark_unanswered_starts(epoch, session, now);
            }
            return;
        }
        let Some(m) = self.machines.get_mut(&id) else { return };
        m.pending_command = None;
        let report = result
            .as_ref()
            .and_then(|(_, body)| serde_json::from_slice::<Report>(body).ok())
            .filter(|r| r.machine == id);
        match (result.map(|(status, _)| status), report) {
            (Some(200), Some(report)) => {
                m.heard_directly = Some(now);
                for h in m.held.iter_mut().filter(|h| h.state == HeldTaskState::AwaitingAnswer) {
                    h.state = HeldTaskState::Sent(report.session, report.seq);
                }
                self.accept_report(&report, false);
                if self.machines.get(&id).is_some_and(Machine::has_unsent_commands) {
                    self.machines_with_urgent_commands.insert(id);
                }
            }
            // Not executed: the worker is in another session or has seen a newer epoch, or the connection was not
            // established.
            (Some(status @ (409 | STATUS_NOT_CONNECTED | STATUS_NO_FREE_SOCKET)), report) => {
                if status != STATUS_NO_FREE_SOCKET {
                    m.direct_commands_from = now + worker_lease_ms / 4;
                }
                let not_started: Vec<(TaskId, Attempt)> = m
                    .held
                    .iter()
                    .filter(|h| h.state == HeldTaskState::AwaitingAnswer)
                    .map(|h| (h.task.clone(), h.attempt))
                    .collect();
                for start in &not_started {
                    m.direct_starts.remove(start);
                }
                for (task, attempt) in not_started {
                    self.release_attempt(&id, &task, attempt);
                }
                if let Some(report) = report {
                    self.accept_report(&report, false);
                }
            }
            _ => {
                m.direct_commands_from = now + worker_lease_ms;
                m.mark_unanswered_starts(epoch, session, now);
            }
        }
    }
}
