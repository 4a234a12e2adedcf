//! Unresponsive machines: requests for their state, and their deletion if they are lost.

use super::Machine;
use crate::calls::CallPurpose;
use crate::controller::Controller;
use crate::ids::{Attempt, ControllerId, MachineId, Partition, TaskId};
use crate::machine_view::{HeldTask, HeldTaskState};
use crate::membership::Stage;
use crate::messages::{Level, Method, STATUS_NO_FREE_SOCKET, Target};
use crate::protocol::{Orders, Report};
use std::collections::BTreeMap;

/// Number of consecutive missed answers (`Machine::missed_answers`) from which answers count as not reaching a machine.
const MISSED_ANSWERS_LIMIT: u32 = 4;
/// Share of a cancellation's time limit, in percent, after which a machine that still holds the cancelled task is given
/// up. The rest is for the cloud, which may be down for five eighths of the limit.
const CANCELLED_TASK_LIMIT_PERCENT: u64 = 30;
/// Seconds after which a machine of an unknown type that has not come up is given up.
const UNKNOWN_TYPE_BOOT_LIMIT_S: f64 = 180.0;

impl Controller {
    /// Asks the unconfirmed machines of a partition that was taken over which tasks they hold.
    pub(crate) fn confirm_machines(&mut self, partition: Partition) {
        let Some(epoch) = self.epoch().filter(|_| self.active_tenure(partition).is_some()) else {
            return;
        };
        let now = self.now.ms;
        let interval_ms = self.settings.report_ms() / 2;
        let due: Vec<(MachineId, String, u64)> = self
            .machines
            .iter_mut()
            .filter(|(_, m)| m.partition == partition && !m.is_confirmed && !m.confirming && !m.is_deleted)
            .filter(|(_, m)| m.addr.contains(':') && now >= m.next_confirm_at)
            .map(|(id, m)| {
                m.confirming = true;
                m.next_confirm_at = now + interval_ms;
                (id.clone(), m.addr.clone(), m.last_report_key.0.max(1))
            })
            .collect();
        for (id, addr, session) in due {
            let orders = Orders {
                epoch,
                session: Some(session),
                commands: Vec::new(),
            };
            let body = serde_json::to_string(&orders).unwrap_or_default();
            self.send_call(
                Target::Worker(addr),
                Method::Post,
                "/commands",
                body,
                interval_ms,
                CallPurpose::ConfirmMachine { machine: id, sent: now },
            );
        }
    }

    /// Handles the answer to a request that asks an unconfirmed machine for its tasks.
    pub(crate) fn on_confirm_answer(&mut self, id: MachineId, sent: u64, result: Option<(u16, Vec<u8>)>) {
        let now = self.now.ms;
        if let Some(m) = self.machines.get_mut(&id) {
            m.confirming = false;
        }
        let was_not_tried = matches!(result, Some((STATUS_NO_FREE_SOCKET, _)));
        let report = result.and_then(|(status, body)| Some((status, serde_json::from_slice::<Report>(&body).ok()?)));
        let Some((status, report)) = report else {
            self.count_failed_probe(&id, sent, was_not_tried);
            return;
        };
        let partition = self.machines.get(&id).map(|m| m.partition);
        if report.machine != id || partition.is_none_or(|p| self.active_tenure(p).is_none()) {
            return;
        }
        self.mark_heard_directly(&id);
        if !self.accept_report(&report, false)
            && status == 409
            && let Some(m) = self.machines.get_mut(&id)
        {
            // The worker is in another session. It accepts the epoch once a request names that session.
            m.last_report_key.0 = m.last_report_key.0.max(report.session);
            m.next_confirm_at = now;
        }
    }

    /// Marks the tenures as settled in which every machine that may hold older tasks is accounted for.
    pub(super) fn update_settled_tenures(&mut self) {
        let partitions: Vec<Partition> = self
            .tenures
            .iter()
            .filter(|(_, t)| t.stage == Stage::Active && !t.are_machines_accounted_for)
            .map(|(p, _)| *p)
            .collect();
        for p in partitions {
            let unconfirmed = self.count_unconfirmed_machines(p);
            if unconfirmed == 0
                && let Some(t) = self.tenures.get_mut(&p)
            {
                t.are_machines_accounted_for = true;
                let ms = self.now.ms.saturating_sub(t.active_since_ms);
                self.log(
                    Level::Info,
                    format!("partition {p}: every machine is accounted for, {ms} ms after the takeover"),
                );
            }
        }
    }

    /// The number of machines that may hold tasks of the partition that this controller does not know.
    pub(crate) fn count_unconfirmed_machines(&self, partition: Partition) -> usize {
        self.machines
            .values()
            .filter(|m| {
                let own = m.partition == partition && m.may_hold_older_tasks && !m.is_confirmed;
                (own || m.unaccounted_partitions.contains(&partition)) && !m.is_deleted
            })
            .count()
    }

    /// Detects unresponsive machines, and repeats the requests to those that are not confirmed.
    pub(crate) fn tick_machines(&mut self) {
        let now = self.now.ms;
        self.update_settled_tenures();
        let partitions: Vec<Partition> = self.tenures.keys().copied().collect();
        for p in partitions {
            let Some(active_at) = self.active_tenure(p).map(|t| t.active_since_ms) else {
                continue;
            };
            self.confirm_machines(p);
            self.probe_unresponsive_machines(p, active_at);
            self.give_up_lost_machines(p, active_at);
        }
        let worker_lease_ms = self.settings.worker_lease_ms();
        self.misdirected_workers
            .retain(|_, worker| now.saturating_sub(worker.last_seen) < worker_lease_ms);
    }

    /// Sends status requests to machines whose report is overdue by half a report interval.
    pub(super) fn probe_unresponsive_machines(&mut self, partition: Partition, active_at: u64) {
        let now = self.now.ms;
        let report_ms = self.settings.report_ms();
        let due: Vec<(MachineId, String)> = self
            .machines
            .iter_mut()
            .filter(|(_, m)| m.partition == partition && m.is_up() && !m.is_deleted && !m.retiring && !m.probing)
            .filter(|(_, m)| now >= m.next_probe_at)
            .filter(|(_, m)| now.saturating_sub(m.last_heard_at.unwrap_or(0).max(active_at)) > report_ms * 3 / 2)
            .map(|(id, m)| {
                m.probing = true;
                m.next_probe_at = now + report_ms / 4;
                (id.clone(), m.addr.clone())
            })
            .collect();
        for (id, addr) in due {
            self.send_call(
                Target::Worker(addr),
                Method::Get,
                "/status",
                String::new(),
                report_ms / 3,
                CallPurpose::ReadWorkerStatus { machine: id, sent: now },
            );
        }
    }

    /// Handles the answer to a status request.
    pub(crate) fn on_probe_answer(&mut self, id: MachineId, sent: u64, result: Option<(u16, Vec<u8>)>) {
        // No socket was free on this controller, which says nothing about the machine.
        let was_not_tried = matches!(result, Some((STATUS_NO_FREE_SOCKET, _)));
        let report = match result {
            Some((200, body)) => serde_json::from_slice::<Report>(&body).ok(),
            _ => None,
        };
        let acting = self
            .machines
            .get(&id)
            .is_some_and(|m| self.active_tenure(m.partition).is_some());
        let Some(m) = self.machines.get_mut(&id) else { return };
        m.probing = false;
        match report.filter(|r| r.machine == id) {
            Some(report) if acting => {
                self.mark_heard_directly(&id);
                self.accept_report(&report, false);
            }
            Some(report) => self.accept_shared_report(&report),
            None => self.count_failed_probe(&id, sent, was_not_tried),
        }
    }

    /// Counts a request, sent at time `sent`, that a machine did not answer.
    ///
    /// The machine counts as dead only if its zone could be reached directly, without another controller as relay, at
    /// that time. Otherwise a network fault is more likely, and its worker will report to another controller. The
    /// zone is reachable if another machine of the zone was heard. For a zone in which the partition has no other
    /// machine, it is enough that the controller in that zone was heard and that any workers are heard at all. Two
    /// such unanswered requests rule out a network fault that began or ended at just that moment.
    fn count_failed_probe(&mut self, id: &MachineId, sent: u64, was_not_tried: bool) {
        let heard_since_ms = sent.saturating_sub(self.settings.report_ms() / 2);
        let is_zone_heard = self.machines.get(id).is_some_and(|m| {
            let others = self
                .machines
                .iter()
                .filter(|(other, o)| *other != id && o.zone == m.zone);
            others
                .filter_map(|(_, o)| o.heard_directly)
                .any(|t| t >= heard_since_ms)
                || self.is_zone_reachable(m, sent)
        });
        let partition = self.machines.get(id).map(|m| m.partition);
        let tenure = partition.and_then(|p| self.tenures.get(&p));
        // A request of an earlier tenure says nothing about this one.
        let is_of_this_tenure = tenure.is_some_and(|t| sent >= t.active_since_ms);
        if is_zone_heard
            && is_of_this_tenure
            && !was_not_tried
            && let Some(m) = self.machines.get_mut(id)
        {
            m.failed_probes += 1;
        }
    }

    /// Whether this controller has contact with a zone through the controller there (or because it runs there
    /// itself), and with any workers at all.
    ///
    /// Just after a takeover few workers report here; the others are heard only by their first answers.
    fn is_zone_reachable(&self, machine: &Machine, sent: u64) -> bool {
        let (zone, report_ms) = (&machine.zone, self.settings.report_ms());
        let blocks_older_tasks = !machine.is_confirmed && machine.may_hold_older_tasks;
        let heard_since_ms = sent.saturating_sub(if blocks_older_tasks {
            2 * report_ms
        } else {
            report_ms / 2
        });
        let platform = &self.settings.platform;
        let is_any_worker_heard = self
            .machines
            .values()
            .filter_map(|m| m.heard_directly)
            .any(|t| t >= heard_since_ms);
        let is_peer_reachable = |name: &str| {
            let peer = self.membership.peers.get(&ControllerId::new(name));
            peer.is_some_and(|p| {
                p.is_reachable
                    && p.last_heard_ms
                        .is_some_and(|t| self.now.ms.saturating_sub(t) <= report_ms)
            })
        };
        let mut peers = platform.siblings.iter().filter(|s| s.area == *zone);
        is_any_worker_heard && (platform.area == *zone || peers.any(|s| is_peer_reachable(&s.host_name)))
    }

    /// Finds machines that have held tasks of cancelled jobs for too long. Their deletion proves that these tasks are
    /// gone.
    ///
    /// A machine that works ends such tasks within little more than a report interval. A machine that hangs may
    /// continue to run them without its worker's lease expiring, so most of the time limit of a cancellation is left
    /// for the cloud, with its rate limits and outages. If a machine was taken over, or came with tasks of other
    /// partitions, and has not answered, its tasks are not known: it is given up at half of the time limit, by the
    /// oldest cancellation of these partitions. If most machines do not answer, a network fault is more likely, and
    /// their workers' leases expire in time by themselves unless the workers hang, so these machines get three
    /// quarters of the time limit.
    fn find_holders_of_cancelled_tasks(
        &self,
        partition: Partition,
        active_at: u64,
        lost: &mut BTreeMap<MachineId, &str>,
    ) {
        let now = self.now.ms;
        let cancel_ms = self.settings.cancel_ms();
        let answer_limit_ms = 2 * self.settings.report_ms();
        // A machine that only its reports reach has to have the time to hear of the cancellation.
        let held_limit_ms = (cancel_ms * CANCELLED_TASK_LIMIT_PERCENT / 100)
            .max(answer_limit_ms)
            .min(cancel_ms / 2);
        let oldest_ms = self.oldest_cancellation_ages_ms();
        let had_time_to_answer = |m: &Machine| now.saturating_sub(active_at.max(m.known_since)) > answer_limit_ms;
        let is_in_scope = |m: &Machine| m.partition == partition && m.is_up() && !m.is_deleted;
        let unconfirmed = self.count_unconfirmed_machines(partition);
        let most_are_unconfirmed =
            unconfirmed > 1 && unconfirmed * 2 > self.machines.values().filter(|m| is_in_scope(m)).count();
        let unknown_limit = if most_are_unconfirmed {
            cancel_ms * 3 / 4
        } else {
            cancel_ms / 2
        };
        for (id, m) in self.machines.iter().filter(|(_, m)| is_in_scope(m) && !m.retiring) {
            let is_overdue_task = |h: &HeldTask| {
                let age_ms = self.cancellation_age_ms(&h.task.job);
                h.state != HeldTaskState::Booked && age_ms.is_some_and(|age_ms| age_ms > held_limit_ms)
            };
            let is_overdue_if_unknown = |p: &Partition| oldest_ms.get(p).is_some_and(|age_ms| *age_ms > unknown_limit);
            let has_unknown_overdue_tasks =
                !m.is_confirmed && m.partitions_of_unknown_tasks().any(is_overdue_if_unknown);
            if had_time_to_answer(m) && (has_unknown_overdue_tasks || m.held.iter().any(is_overdue_task)) {
                lost.insert(id.clone(), "tasks of a cancelled job may still be on it");
            }
        }
    }

    /// Gives up machines that have died, that hang, or that might run a task of a job that has ended: they are
    /// deleted.
    pub(super) fn give_up_lost_machines(&mut self, partition: Partition, active_at: u64) {
        let limits = self.response_limits(partition, active_at);
        let mut lost: BTreeMap<MachineId, &str> = BTreeMap::new();
        let is_in_scope = |(_, m): &(&MachineId, &Machine)| m.partition == partition && !m.is_deleted && !m.retiring;
        for (id, m) in self.machines.iter().filter(is_in_scope) {
            if let Some(why) = self.loss_reason(m, &limits) {
                lost.insert(id.clone(), why);
            }
            if self.may_receive_start_of_finished_job(m) {
                lost.insert(id.clone(), "a start of a finished job may still reach it");
            }
        }
        self.find_holders_of_cancelled_tasks(partition, active_at, &mut lost);
        for (id, why) in lost {
            self.log(Level::Info, format!("{id}: {why}: giving it up"));
            if let Some(m) = self.machines.get_mut(&id) {
                m.retiring = true;
            }
        }
    }

    /// The limits that apply to a partition's machines at present.
    fn response_limits(&self, partition: Partition, active_at: u64) -> ResponseLimits {
        let unresponsive_ms = self.settings.silent_ms();
        let mut limits = ResponseLimits {
            now: self.now.ms,
            active_at,
            max_unheard_ms: unresponsive_ms,
            few_miss_answers: true,
        };
        let is_in_scope = |m: &&Machine| m.partition == partition && m.is_up() && !m.is_deleted;
        let up: Vec<&Machine> = self.machines.values().filter(is_in_scope).collect();
        let unresponsive = up
            .iter()
            .filter(|m| limits.is_unheard_for(m, unresponsive_ms / 2))
            .count();
        // When most machines stop reporting at once, the fault is more likely on this controller's side of the
        // network.
        if unresponsive > 1 && unresponsive * 2 > up.len() {
            limits.max_unheard_ms = self.settings.worker_lease_ms() + unresponsive_ms;
        }
        // Reports may arrive from a worker that no answer reaches. Either its epoch stays old, so that the machine
        // would never be accounted for, or it loses every start. Only its deletion resolves this. If more than one
        // machine and more than an eighth are affected, the fault is more likely on this controller's side.
        let missing_answers = up.iter().filter(|m| m.missed_answers >= MISSED_ANSWERS_LIMIT).count();
        limits.few_miss_answers = missing_answers <= 1 || missing_answers * 8 <= up.len();
        limits
    }

    /// Why a machine counts as lost. None if it does not.
    fn loss_reason(&self, m: &Machine, limits: &ResponseLimits) -> Option<&'static str> {
        if !m.is_up() {
            let is_late = m.last_heard_at.is_none() && limits.is_unheard_for(m, self.boot_limit_ms(m));
            return is_late.then_some("never came up");
        }
        let report_ms = self.settings.report_ms();
        let epoch_limit_ms = self.settings.worker_lease_ms() + self.settings.silent_ms();
        let tenure_ms = limits.now.saturating_sub(limits.active_at.max(m.known_since));
        if !m.is_confirmed && !m.is_boot_write_pending && tenure_ms > epoch_limit_ms {
            return Some("has not accepted the epoch");
        }
        if m.missed_answers >= MISSED_ANSWERS_LIMIT && limits.few_miss_answers {
            return Some("answers do not reach it");
        }
        // After a preemption notice from the cloud, a machine that stops reporting counts as gone.
        let is_reclaimed = m.has_preemption_notice && limits.is_unheard_for(m, 2 * report_ms);
        // An unconfirmed machine of a takeover blocks the tasks of its whole partition that were started before the
        // takeover, and requests have been sent to it since the takeover began, so it gets less time: one report
        // interval instead of 2.4.
        let blocks_older_tasks = !m.is_confirmed && m.may_hold_older_tasks;
        let dead_ms = if blocks_older_tasks {
            report_ms
        } else {
            report_ms * 12 / 5
        };
        let is_dead = limits.is_unheard_for(m, dead_ms) && m.failed_probes >= 2;
        (is_reclaimed || is_dead || limits.is_unheard_for(m, limits.max_unheard_ms)).then_some("silent")
    }

    /// Time after which a machine that has not come up is given up.
    fn boot_limit_ms(&self, m: &Machine) -> u64 {
        let machine_type = self.machine_types.iter().find(|t| t.name == m.model);
        let give_up_s = machine_type.map_or(UNKNOWN_TYPE_BOOT_LIMIT_S, |t| {
            self.capacity.boot_times.give_up_after_s(t, m.known_since)
        });
        // After booting, its first reports still have to arrive.
        (give_up_s * 1000.0) as u64 + 2 * self.settings.report_ms()
    }

    /// Whether a start of a job that has ended may still be executed late on a machine. That must not happen, so the
    /// machine is deleted first. While the worker lists the attempt, in whatever state, a late copy of the start has
    /// no effect.
    fn may_receive_start_of_finished_job(&self, m: &Machine) -> bool {
        let limit_ms = self.settings.cancel_ms() / 3;
        let listed = |task: &TaskId, attempt: Attempt| {
            let seen =
                |h: &HeldTask| matches!(h.state, HeldTaskState::Reported(_)) && h.task == *task && h.attempt == attempt;
            m.held.iter().any(seen) || m.ended.iter().any(|(t, a, _)| t == task && *a == attempt)
        };
        m.unanswered_starts.iter().any(|((task, attempt), start)| {
            !self.jobs.contains_key(&task.job)
                && !listed(task, *attempt)
                && self.now.ms.saturating_sub(start.since) > limit_ms
        })
    }
}

/// Limits by which a partition's machines are found to be unresponsive. Times are in ms.
struct ResponseLimits {
    now: u64,
    /// Since when this controller has acted for the partition. Missing reports before that say nothing.
    active_at: u64,
    /// The longest time for which a machine may go without reporting.
    max_unheard_ms: u64,
    /// At most one machine, or at most an eighth of them, misses answers.
    few_miss_answers: bool,
}

impl ResponseLimits {
    /// Whether a machine has not been heard for longer than `limit_ms`.
    fn is_unheard_for(&self, m: &Machine, limit_ms: u64) -> bool {
        let since = m.last_heard_at.unwrap_or(m.known_since).max(self.active_at);
        self.now.saturating_sub(since) > limit_ms
    }
}
