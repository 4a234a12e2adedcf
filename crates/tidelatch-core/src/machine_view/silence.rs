//! Machines that are not heard: asking what is on them, and giving them up.

use super::Machine;
use crate::calls::Purpose;
use crate::controller::Controller;
use crate::ids::{Attempt, ControllerId, MachineId, Partition, TaskId};
use crate::machine_view::{Held, HeldState};
use crate::membership::Stage;
use crate::messages::{Level, Method, NOT_TRIED, Target};
use crate::protocol::{Orders, Report};
use std::collections::BTreeMap;

/// Answers missed one after the other that make a machine one that no answer reaches.
const DEAF: u32 = 4;
/// Seconds after which a machine of an unknown type that has not come up is given up.
const UNKNOWN_BOOT_S: f64 = 180.0;

impl Controller {
    /// Asks the machines of a partition that was taken over what is on them.
    pub(crate) fn confirm_machines(&mut self, partition: Partition) {
        let Some(epoch) = self.epoch().filter(|_| self.acting(partition).is_some()) else {
            return;
        };
        let now = self.now.ms;
        let every = self.settings.report_ms() / 2;
        let due: Vec<(MachineId, String, u64)> = self
            .machines
            .iter_mut()
            .filter(|(_, m)| m.partition == partition && !m.confirmed && !m.confirming && !m.gone)
            .filter(|(_, m)| m.addr.contains(':') && now >= m.confirm_at)
            .map(|(id, m)| {
                m.confirming = true;
                m.confirm_at = now + every;
                (id.clone(), m.addr.clone(), m.last.0.max(1))
            })
            .collect();
        for (id, addr, session) in due {
            let orders = Orders {
                epoch,
                session: Some(session),
                commands: Vec::new(),
            };
            let body = serde_json::to_string(&orders).unwrap_or_default();
            self.call(
                Target::Worker(addr),
                Method::Post,
                "/commands",
                body,
                every,
                Purpose::Confirm { machine: id, sent: now },
            );
        }
    }

    pub(crate) fn on_confirm(&mut self, id: MachineId, sent: u64, result: Option<(u16, Vec<u8>)>) {
        let now = self.now.ms;
        if let Some(m) = self.machines.get_mut(&id) {
            m.confirming = false;
        }
        let untried = matches!(result, Some((NOT_TRIED, _)));
        let report = result.and_then(|(status, body)| Some((status, serde_json::from_slice::<Report>(&body).ok()?)));
        let Some((status, report)) = report else {
            self.note_no_answer(&id, sent, untried);
            return;
        };
        let partition = self.machines.get(&id).map(|m| m.partition);
        if report.machine != id || partition.is_none_or(|p| self.acting(p).is_none()) {
            return;
        }
        self.heard_directly(&id);
        if !self.take_report(&report, false)
            && status == 409
            && let Some(m) = self.machines.get_mut(&id)
        {
            // It is in another session: with that one named, it takes the token.
            m.last.0 = m.last.0.max(report.session);
            m.confirm_at = now;
        }
    }

    /// Whether every machine that may hold older tasks of a partition is accounted for.
    pub(super) fn note_settled(&mut self) {
        let partitions: Vec<Partition> = self
            .tenures
            .iter()
            .filter(|(_, t)| t.stage == Stage::Active && !t.settled)
            .map(|(p, _)| *p)
            .collect();
        for p in partitions {
            let open = self.unconfirmed(p);
            if open == 0
                && let Some(t) = self.tenures.get_mut(&p)
            {
                t.settled = true;
                let ms = self.now.ms.saturating_sub(t.active_at);
                self.log(
                    Level::Info,
                    format!("partition {p}: every machine is accounted for, {ms} ms after the take-over"),
                );
            }
        }
    }

    /// Machines that may hold tasks which this controller does not know of.
    pub(crate) fn unconfirmed(&self, partition: Partition) -> usize {
        self.machines
            .values()
            .filter(|m| {
                let own = m.partition == partition && m.may_hold && !m.confirmed;
                (own || m.unaccounted.contains(&partition)) && !m.gone
            })
            .count()
    }

    /// Looks for silent machines, and goes on asking those that are not confirmed.
    pub(crate) fn tick_machines(&mut self) {
        let now = self.now.ms;
        self.note_settled();
        let partitions: Vec<Partition> = self.tenures.keys().copied().collect();
        for p in partitions {
            let Some(active_at) = self.acting(p).map(|t| t.active_at) else {
                continue;
            };
            self.confirm_machines(p);
            self.probe_silent(p, active_at);
            self.give_up_silent(p, active_at);
        }
        let lease = self.settings.worker_lease_ms();
        self.guests.retain(|_, g| now.saturating_sub(g.seen) < lease);
    }

    /// Asks machines whose report is overdue.
    pub(super) fn probe_silent(&mut self, partition: Partition, active_at: u64) {
        let now = self.now.ms;
        let report = self.settings.report_ms();
        let due: Vec<(MachineId, String)> = self
            .machines
            .iter_mut()
            .filter(|(_, m)| m.partition == partition && m.up() && !m.gone && !m.retiring && !m.probing)
            .filter(|(_, m)| now >= m.probe_at)
            .filter(|(_, m)| now.saturating_sub(m.heard.unwrap_or(0).max(active_at)) > report * 3 / 2)
            .map(|(id, m)| {
                m.probing = true;
                m.probe_at = now + report / 4;
                (id.clone(), m.addr.clone())
            })
            .collect();
        for (id, addr) in due {
            self.call(
                Target::Worker(addr),
                Method::Get,
                "/status",
                String::new(),
                report / 3,
                Purpose::Probe { machine: id, sent: now },
            );
        }
    }

    pub(crate) fn on_probe(&mut self, id: MachineId, sent: u64, result: Option<(u16, Vec<u8>)>) {
        // No socket was free here: that says nothing of the machine.
        let untried = matches!(result, Some((NOT_TRIED, _)));
        let report = match result {
            Some((200, body)) => serde_json::from_slice::<Report>(&body).ok(),
            _ => None,
        };
        let acting = self
            .machines
            .get(&id)
            .is_some_and(|m| self.acting(m.partition).is_some());
        let Some(m) = self.machines.get_mut(&id) else { return };
        m.probing = false;
        match report.filter(|r| r.machine == id) {
            Some(report) if acting => {
                self.heard_directly(&id);
                self.take_report(&report, false);
            }
            Some(report) => self.take_shared_report(&report),
            None => self.note_no_answer(&id, sent, untried),
        }
    }

    /// A machine did not answer a direct question that was sent at some time.
    ///
    /// It has died only if its zone can be reached at that time, with no other controller between: else the
    /// network is the likelier cause, and its worker will find another door. That shows by another of its
    /// zone that is heard, or, where a partition has none, by the controller that stands there, as long as
    /// workers are heard at all. Two such questions rule out a cut that begins or ends just then.
    fn note_no_answer(&mut self, id: &MachineId, sent: u64, untried: bool) {
        let from = sent.saturating_sub(self.settings.report_ms() / 2);
        let zone_heard = self.machines.get(id).is_some_and(|m| {
            let others = self
                .machines
                .iter()
                .filter(|(other, o)| *other != id && o.zone == m.zone);
            others.filter_map(|(_, o)| o.heard_directly).any(|t| t >= from) || self.zone_reached(m, sent)
        });
        let partition = self.machines.get(id).map(|m| m.partition);
        let tenure = partition.and_then(|p| self.tenures.get(&p));
        // What was asked in an earlier tenure says nothing of this one.
        let asked_now = tenure.is_some_and(|t| sent >= t.active_at);
        if zone_heard
            && asked_now
            && !untried
            && let Some(m) = self.machines.get_mut(id)
        {
            m.probes_failed += 1;
        }
    }

    /// Whether this controller is in touch with a zone by the controller there (or by standing there
    /// itself), and with workers at all.
    ///
    /// Just after a take-over few workers report here: the others are heard by their first answers only.
    fn zone_reached(&self, machine: &Machine, sent: u64) -> bool {
        let (zone, report) = (&machine.zone, self.settings.report_ms());
        let holds_up = !machine.confirmed && machine.may_hold;
        let from = sent.saturating_sub(if holds_up { 2 * report } else { report / 2 });
        let platform = &self.settings.platform;
        let workers = self
            .machines
            .values()
            .filter_map(|m| m.heard_directly)
            .any(|t| t >= from);
        let there = |name: &str| {
            let peer = self.member.peers.get(&ControllerId::new(name));
            peer.is_some_and(|p| p.reachable && p.heard.is_some_and(|t| self.now.ms.saturating_sub(t) <= report))
        };
        let mut peers = platform.siblings.iter().filter(|s| s.area == *zone);
        workers && (platform.area == *zone || peers.any(|s| there(&s.host_name)))
    }

    /// Machines that may hold tasks of cancelled jobs for too long: their deletion is proof that these are gone.
    ///
    /// A machine that does what it is told ends them within little more than a report. One that hangs may go on
    /// with them, and no lease of its worker ends meanwhile, so half of the time that a cancellation has is left
    /// for the cloud, its limits and outages, and a change of owner. What is on a machine that was taken over
    /// and has not answered is not known; if most of them do not answer, the network is the likelier cause, and
    /// their workers' leases end in time by themselves unless they hang: they get until three quarters.
    fn give_up_cancelled(&self, partition: Partition, active_at: u64, lost: &mut BTreeMap<MachineId, &str>) {
        let now = self.now.ms;
        let cancel_ms = self.settings.cancel_ms();
        let overdue = |since: u64, limit: u64| now.saturating_sub(since) > limit;
        let asked_for = now.saturating_sub(active_at) > 2 * self.settings.report_ms();
        let oldest = self.oldest_cancellation(partition);
        let here = |m: &Machine| m.partition == partition && m.up() && !m.gone;
        let open = self.unconfirmed(partition);
        let most = open > 1 && open * 2 > self.machines.values().filter(|m| here(m)).count();
        let unknown_limit = if most { cancel_ms * 3 / 4 } else { cancel_ms / 2 };
        for (id, m) in self.machines.iter().filter(|(_, m)| here(m) && !m.retiring) {
            let holds = |h: &Held| {
                let since = self.cancelled_since(&h.task.job);
                h.state != HeldState::Booked && since.is_some_and(|since| overdue(since, cancel_ms / 2))
            };
            let unknown = m.may_hold && !m.confirmed && oldest.is_some_and(|since| overdue(since, unknown_limit));
            if asked_for && (unknown || m.held.iter().any(holds)) {
                lost.insert(id.clone(), "tasks of a cancelled job may still be on it");
            }
        }
    }

    /// Gives up machines that have died, hang, or may do what must not happen: they are deleted.
    pub(super) fn give_up_silent(&mut self, partition: Partition, active_at: u64) {
        let watch = self.silence_watch(partition, active_at);
        let mut lost: BTreeMap<MachineId, &str> = BTreeMap::new();
        let here = |(_, m): &(&MachineId, &Machine)| m.partition == partition && !m.gone && !m.retiring;
        for (id, m) in self.machines.iter().filter(here) {
            if let Some(why) = self.loss(m, &watch) {
                lost.insert(id.clone(), why);
            }
            if self.holds_risky_start(m) {
                lost.insert(id.clone(), "a start of a job that is over may still reach it");
            }
        }
        self.give_up_cancelled(partition, active_at, &mut lost);
        for (id, why) in lost {
            self.log(Level::Info, format!("{id}: {why}: giving it up"));
            if let Some(m) = self.machines.get_mut(&id) {
                m.retiring = true;
            }
        }
    }

    fn silence_watch(&self, partition: Partition, active_at: u64) -> SilenceWatch {
        let silent_ms = self.settings.silent_ms();
        let mut watch = SilenceWatch {
            now: self.now.ms,
            active_at,
            limit_ms: silent_ms,
            few_unheard: true,
        };
        let here = |m: &&Machine| m.partition == partition && m.up() && !m.gone;
        let up: Vec<&Machine> = self.machines.values().filter(here).collect();
        let silent = up.iter().filter(|m| watch.is_quiet(m, silent_ms / 2)).count();
        // When most fall silent at once, the fault is more likely on this side of the network.
        if silent > 1 && silent * 2 > up.len() {
            watch.limit_ms = self.settings.worker_lease_ms() + silent_ms;
        }
        // Reports may arrive from a worker that no answer reaches. Its token stays old, so it would be
        // unaccounted for without end, or it loses every start; only its deletion makes an end of that.
        // If it is more than a few, the fault is more likely on this side.
        let unheard = up.iter().filter(|m| m.missed >= DEAF).count();
        watch.few_unheard = unheard <= 1 || unheard * 8 <= up.len();
        watch
    }

    /// Why a machine counts as lost, if it does.
    fn loss(&self, m: &Machine, watch: &SilenceWatch) -> Option<&'static str> {
        if !m.up() {
            let late = m.heard.is_none() && watch.is_quiet(m, self.slow_boot_ms(m));
            return late.then_some("never came up");
        }
        let report_ms = self.settings.report_ms();
        let token_ms = self.settings.worker_lease_ms() + self.settings.silent_ms();
        let tenure_ms = watch.now.saturating_sub(watch.active_at.max(m.known_since));
        if !m.confirmed && !m.storing && tenure_ms > token_ms {
            return Some("has not taken the token");
        }
        if m.missed >= DEAF && watch.few_unheard {
            return Some("answers do not reach it");
        }
        // After a notice the machine is as good as gone once it stops to report.
        let noticed = m.notice && watch.is_quiet(m, 2 * report_ms);
        // One that was taken over holds up the older tasks of its whole partition, and it has been
        // asked from the first moment on.
        let holds_up = !m.confirmed && m.may_hold;
        let dead_ms = if holds_up { report_ms } else { report_ms * 12 / 5 };
        let dead = watch.is_quiet(m, dead_ms) && m.probes_failed >= 2;
        (noticed || dead || watch.is_quiet(m, watch.limit_ms)).then_some("silent")
    }

    fn slow_boot_ms(&self, m: &Machine) -> u64 {
        let machine_type = self.types.iter().find(|t| t.name == m.model);
        let give_up_s = machine_type.map_or(UNKNOWN_BOOT_S, |t| {
            self.cloud.boot_times.give_up_after_s(t, m.known_since)
        });
        // Once it is up, its first reports still have to arrive.
        (give_up_s * 1000.0) as u64 + 2 * self.settings.report_ms()
    }

    /// A late start of a job that is over by then must not happen: its machine goes first.
    /// While the worker lists the attempt, in whatever state, a late copy has no effect.
    fn holds_risky_start(&self, m: &Machine) -> bool {
        let limit_ms = self.settings.cancel_ms() / 3;
        let listed = |task: &TaskId, attempt: Attempt| {
            let seen = |h: &Held| matches!(h.state, HeldState::Seen(_)) && h.task == *task && h.attempt == attempt;
            m.held.iter().any(seen) || m.ended.iter().any(|(t, a, _)| t == task && *a == attempt)
        };
        m.pins.iter().any(|((task, attempt), pin)| {
            !self.jobs.contains_key(&task.job)
                && !listed(task, *attempt)
                && self.now.ms.saturating_sub(pin.since) > limit_ms
        })
    }
}

/// By what the silence of a partition's machines is judged.
struct SilenceWatch {
    now: u64,
    /// Since when the partition is owned: silence before that says nothing.
    active_at: u64,
    /// How long a machine may be silent.
    limit_ms: u64,
    /// No more than a few machines do not hear answers.
    few_unheard: bool,
}

impl SilenceWatch {
    fn is_quiet(&self, m: &Machine, limit_ms: u64) -> bool {
        let since = m.heard.unwrap_or(m.known_since).max(self.active_at);
        self.now.saturating_sub(since) > limit_ms
    }
}
