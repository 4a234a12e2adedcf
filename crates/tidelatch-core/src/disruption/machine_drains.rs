//! Machines of this controller's that are drained: their steps, their replacements, and the way back to service.

use super::drain_records::ActiveDrain;
use crate::controller::Controller;
use crate::ids::{JobId, MachineId, Partition};
use crate::machine_view::Machine;
use crate::messages::{Level, MachineRequest};
use std::collections::{BTreeMap, BTreeSet};
use tidelatch_disruption::{MachineDrain, MachineName, Observation, Replacement, Step};

/// Report periods for which a step may last before it is said what it waits for.
const QUIET_REPORTS: u64 = 2;

/// One drained machine.
pub(super) struct DrainedMachine {
    /// The drain that it belongs to.
    drain: String,
    replace_ahead: bool,
    progress: MachineDrain,
    /// The jobs that had tasks on it: its replacement is kept for these.
    jobs: BTreeSet<JobId>,
    /// What it waits for, and when that was last logged.
    waits_for: Option<(String, u64)>,
}

impl DrainedMachine {
    /// Whether its tasks are to leave it now.
    pub(super) fn evicts(&self) -> bool {
        self.progress.step() == Step::Evicting
    }

    fn replacement(&self) -> Option<MachineId> {
        self.progress.replacement().map(|name| MachineId::new(name.as_str()))
    }
}

/// Whether nothing is on a machine, and no late command can change that.
fn is_empty(m: &Machine) -> bool {
    let known = m.is_confirmed || !m.is_up();
    known && m.is_empty_and_fenced() && m.unaccounted_partitions.is_empty() && !m.is_boot_write_pending
}

impl Controller {
    /// Takes each drained machine as far as it can go now.
    pub(crate) fn tick_drained_machines(&mut self) {
        let Some(disruption) = &self.disruption else { return };
        let active = disruption.records.active();
        self.end_drains(&active);
        self.begin_drains(&active);
        let drained: Vec<MachineId> = match &self.disruption {
            Some(disruption) => disruption.drained.keys().cloned().collect(),
            None => return,
        };
        for id in drained {
            self.advance_drain(&id);
        }
        self.mark_reserved();
    }

    /// Machines whose drain has ended go back to service, unless they are being deleted already.
    fn end_drains(&mut self, active: &BTreeMap<MachineId, ActiveDrain>) {
        let acting = self.active_partitions();
        let Some(disruption) = &mut self.disruption else { return };
        let machines = &mut self.machines;
        let mut ended = Vec::new();
        disruption.drained.retain(|id, drained| {
            let Some(m) = machines
                .get_mut(id)
                .filter(|m| !m.is_deleted && acting.contains(&m.partition))
            else {
                return false;
            };
            let stays = m.retiring || active.get(id).is_some_and(|active| active.drain == drained.drain);
            if !stays {
                m.cordoned = false;
                m.draining &= drained.progress.step() != Step::Empty;
                ended.push((id.clone(), drained.drain.clone()));
            }
            stays
        });
        for (id, drain) in ended {
            self.log(
                Level::Info,
                format!("{id}: drain {drain} was withdrawn: back in service"),
            );
            self.schedule_batch();
        }
    }

    fn begin_drains(&mut self, active: &BTreeMap<MachineId, ActiveDrain>) {
        let now = self.now.ms;
        let acting = self.active_partitions();
        let mut begun = Vec::new();
        for (id, active) in active {
            let known = self.disruption.as_ref().is_some_and(|d| d.drained.contains_key(id));
            let Some(m) = self.machines.get_mut(id).filter(|_| !known) else {
                continue;
            };
            if !acting.contains(&m.partition) || m.is_deleted || m.retiring {
                continue;
            }
            m.cordoned = true;
            let jobs = m.held.iter().map(|h| h.task.job.clone()).collect();
            begun.push((id.clone(), active.clone(), jobs));
        }
        for (id, active, jobs) in begun {
            let text = format!("{id}: drain {}: {}", active.drain, Step::Cordoned.name());
            self.log(Level::Info, text);
            let drained = DrainedMachine {
                drain: active.drain,
                replace_ahead: active.replace_ahead,
                progress: MachineDrain::new(now),
                jobs,
                waits_for: None,
            };
            if let Some(disruption) = &mut self.disruption {
                disruption.drained.insert(id, drained);
            }
        }
    }

    fn advance_drain(&mut self, id: &MachineId) {
        let now = self.now.ms;
        let Some(seen) = self.observe_drained(id) else { return };
        let Some(drained) = self.disruption.as_mut().and_then(|d| d.drained.get_mut(id)) else {
            return;
        };
        let Some(step) = drained.progress.advance(now, &seen) else {
            let wanted = drained.progress.wants_replacement();
            if wanted {
                let text = "the cloud has no replacement yet".to_owned();
                self.note_blocked_drain(id, Some(text));
            }
            return;
        };
        drained.waits_for = None;
        let replacement = drained.replacement();
        let with = replacement.map_or_else(String::new, |machine| format!(" ({machine})"));
        let text = format!("{id}: drain {}: {}{with}", drained.drain, step.name());
        self.log(Level::Info, text);
        if let Some(m) = self.machines.get_mut(id) {
            // An empty machine is returned like one that was emptied for other reasons.
            m.draining = step == Step::Empty;
        }
    }

    /// What is known of a drained machine.
    fn observe_drained(&self, id: &MachineId) -> Option<Observation> {
        let m = self.machines.get(id)?;
        let drained = self.disruption.as_ref()?.drained.get(id)?;
        let candidate = drained
            .progress
            .wants_replacement()
            .then(|| self.replacement_candidate(m));
        Some(Observation {
            is_empty: is_empty(m),
            replace_ahead: drained.replace_ahead,
            candidate: candidate.flatten().map(|machine| MachineName::new(machine.as_str())),
            replacement: drained.replacement().map(|machine| self.replacement_state(&machine)),
        })
    }

    /// A machine of the same kind and partition on which nothing is, and which is nobody's replacement yet. One that an
    /// earlier owner rented for this drain is found by that as well.
    fn replacement_candidate(&self, m: &Machine) -> Option<MachineId> {
        let disruption = self.disruption.as_ref()?;
        let taken: BTreeSet<MachineId> = disruption
            .drained
            .values()
            .filter_map(DrainedMachine::replacement)
            .collect();
        let alike = |other: &Machine| {
            other.partition == m.partition && other.model == m.model && other.zone == m.zone && other.spot == m.spot
        };
        let patience = 2 * self.settings.report_ms();
        let free = |other: &Machine| {
            other.is_empty_and_fenced()
                && other.moving_to.is_none()
                && (other.is_booting() || other.is_usable(self.now.ms, patience))
        };
        let mut machines = self.machines.iter();
        let found = machines.find(|(id, other)| {
            alike(other)
                && free(other)
                && !other.cordoned
                && !taken.contains(*id)
                && !disruption.drained.contains_key(*id)
                && !disruption.records.covers(id)
        });
        found.map(|(id, _)| id.clone())
    }

    fn replacement_state(&self, machine: &MachineId) -> Replacement {
        let Some(m) = self.machines.get(machine).filter(|m| !m.is_deleted && !m.retiring) else {
            return Replacement::Lost;
        };
        if m.is_usable(self.now.ms, 2 * self.settings.report_ms()) {
            Replacement::Ready
        } else {
            Replacement::Booting
        }
    }

    /// Replacements are kept for what leaves the machines that they replace.
    fn mark_reserved(&mut self) {
        let Some(disruption) = &self.disruption else { return };
        let reserved: BTreeSet<MachineId> = disruption
            .drained
            .values()
            .filter_map(DrainedMachine::replacement)
            .collect();
        for (id, m) in &mut self.machines {
            m.reserved = reserved.contains(id);
        }
    }

    /// The places of machines that are kept for other jobs than this one.
    pub(crate) fn reserved_for_others(&self, job: &JobId, ids: &[MachineId]) -> Vec<usize> {
        let Some(disruption) = &self.disruption else {
            return Vec::new();
        };
        let kept_for_others = |id: &MachineId| {
            let mut drained = disruption.drained.values();
            drained.any(|d| d.replacement().as_ref() == Some(id) && !d.jobs.contains(job))
        };
        let places = ids.iter().enumerate().filter(|(_, id)| kept_for_others(id));
        places.map(|(place, _)| place).collect()
    }

    /// Machines to be rented in the place of drained ones of a partition.
    pub(crate) fn replacements_wanted(&self, partition: Partition) -> Vec<MachineRequest> {
        let Some(disruption) = &self.disruption else {
            return Vec::new();
        };
        let wanted = disruption
            .drained
            .iter()
            .filter(|(_, drained)| drained.progress.wants_replacement());
        let machines = wanted.filter_map(|(id, _)| self.machines.get(id));
        let requests = machines.filter(|m| m.partition == partition).map(|m| MachineRequest {
            model: m.model.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            count: 1,
            urgent: false,
            any_zone: false,
        });
        requests.collect()
    }

    /// Whether a drained machine's tasks have been waited for long enough.
    pub(super) fn drain_patience_is_over(&self, id: &MachineId) -> bool {
        let settings = self.settings.operator.disruption.as_ref();
        let drained = self.disruption.as_ref().and_then(|d| d.drained.get(id));
        let Some((settings, drained)) = settings.zip(drained) else {
            return true;
        };
        let patience_s = settings.drain(&drained.drain).map_or(0.0, |drain| drain.patience_s);
        let waited_ms = self.now.ms.saturating_sub(drained.progress.begun_ms());
        waited_ms as f64 > patience_s * 1000.0
    }

    /// A drain that stands still says what it waits for, once in a worker's lease.
    pub(super) fn note_blocked_drain(&mut self, id: &MachineId, waits_for: Option<String>) {
        let now = self.now.ms;
        let quiet_ms = QUIET_REPORTS * self.settings.report_ms();
        let again_ms = self.settings.worker_lease_ms();
        let Some(drained) = self.disruption.as_mut().and_then(|d| d.drained.get_mut(id)) else {
            return;
        };
        let Some(waits_for) = waits_for else { return };
        let young = now.saturating_sub(drained.progress.step_since_ms()) < quiet_ms;
        let said = drained
            .waits_for
            .as_ref()
            .is_some_and(|(_, at)| now.saturating_sub(*at) < again_ms);
        if young || said {
            return;
        }
        let text = format!("{id}: drain {} stands still: {waits_for}", drained.drain);
        drained.waits_for = Some((waits_for, now));
        self.log(Level::Info, text);
    }
}
