//! Drains of this controller's machines: the steps of a drain, the replacement machines, and the return to service.

use super::drain_records::ActiveDrain;
use crate::controller::Controller;
use crate::ids::{JobId, MachineId, Partition};
use crate::machine_view::Machine;
use crate::messages::{Level, MachineRequest};
use std::collections::{BTreeMap, BTreeSet};
use tidelatch_disruption::{MachineDrain, MachineName, Observation, Replacement, Step};

/// Number of report intervals that a step may last before a log line says what it waits for.
const BLOCKED_LOG_DELAY_REPORTS: u64 = 2;

/// A machine that is being drained.
pub(super) struct DrainedMachine {
    /// Name of the drain that the machine belongs to.
    drain: String,
    /// Whether a replacement is rented before tasks are evicted.
    replace_ahead: bool,
    /// The current step of the drain and the replacement machine.
    progress: MachineDrain,
    /// The jobs that had tasks on the machine when its drain started. Its replacement is reserved for these.
    jobs: BTreeSet<JobId>,
    /// What the drain waits for, and when that was last logged, in ms.
    waits_for: Option<(String, u64)>,
}

impl DrainedMachine {
    /// Whether the machine's tasks are being evicted.
    pub(super) fn is_evicting(&self) -> bool {
        self.progress.step() == Step::Evicting
    }

    /// The machine that replaces this one, if there is one.
    fn replacement(&self) -> Option<MachineId> {
        self.progress.replacement().map(|name| MachineId::new(name.as_str()))
    }
}

/// Whether a machine holds nothing, and no delayed command can change that.
fn is_empty(m: &Machine) -> bool {
    let is_state_known = m.is_confirmed || !m.is_up();
    is_state_known && m.is_empty_and_fenced() && m.unaccounted_partitions.is_empty() && !m.is_boot_write_pending
}

impl Controller {
    /// Advances the drain of each machine of this controller as far as possible.
    pub(crate) fn tick_drained_machines(&mut self) {
        let Some(disruption) = &self.disruption else { return };
        let active = disruption.drain_records.active_drains();
        self.end_drains(&active);
        self.begin_drains(&active);
        let drained: Vec<MachineId> = match &self.disruption {
            Some(disruption) => disruption.drained_machines.keys().cloned().collect(),
            None => return,
        };
        for id in drained {
            self.advance_drain(&id);
        }
        self.mark_reserved_replacements();
    }

    /// Returns machines to service whose drain has ended, unless they are being deleted already.
    fn end_drains(&mut self, active: &BTreeMap<MachineId, ActiveDrain>) {
        let acting = self.active_partitions();
        let Some(disruption) = &mut self.disruption else { return };
        let machines = &mut self.machines;
        let mut ended = Vec::new();
        disruption.drained_machines.retain(|id, drained| {
            let Some(m) = machines
                .get_mut(id)
                .filter(|m| !m.is_deleted && acting.contains(&m.partition))
            else {
                return false;
            };
            let is_still_drained = m.retiring || active.get(id).is_some_and(|active| active.drain == drained.drain);
            if !is_still_drained {
                m.cordoned = false;
                m.draining &= drained.progress.step() != Step::Empty;
                ended.push((id.clone(), drained.drain.clone()));
            }
            is_still_drained
        });
        for (id, drain) in ended {
            self.log(
                Level::Info,
                format!("{id}: drain {drain} was withdrawn: back in service"),
            );
            self.schedule_batch();
        }
    }

    /// Cordons the active machines of this controller that are not being drained yet.
    fn begin_drains(&mut self, active: &BTreeMap<MachineId, ActiveDrain>) {
        let now = self.now.ms;
        let acting = self.active_partitions();
        let mut begun = Vec::new();
        for (id, active) in active {
            let is_already_drained = self
                .disruption
                .as_ref()
                .is_some_and(|d| d.drained_machines.contains_key(id));
            let Some(m) = self.machines.get_mut(id).filter(|_| !is_already_drained) else {
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
                disruption.drained_machines.insert(id, drained);
            }
        }
    }

    /// Advances the drain of one machine by at most one step.
    fn advance_drain(&mut self, id: &MachineId) {
        let now = self.now.ms;
        let Some(observation) = self.observe_drained_machine(id) else {
            return;
        };
        let Some(drained) = self.disruption.as_mut().and_then(|d| d.drained_machines.get_mut(id)) else {
            return;
        };
        let Some(step) = drained.progress.advance(now, &observation) else {
            let wants_replacement = drained.progress.wants_replacement();
            if wants_replacement {
                let text = "the cloud has no replacement yet".to_owned();
                self.log_blocked_drain(id, Some(text));
            }
            return;
        };
        drained.waits_for = None;
        let replacement = drained.replacement();
        let suffix = replacement.map_or_else(String::new, |machine| format!(" ({machine})"));
        let text = format!("{id}: drain {}: {}{suffix}", drained.drain, step.name());
        self.log(Level::Info, text);
        if let Some(m) = self.machines.get_mut(id) {
            // An empty machine is returned in the same way as one that was emptied for other reasons.
            m.draining = step == Step::Empty;
        }
    }

    /// What this controller knows about a drained machine and its replacement.
    fn observe_drained_machine(&self, id: &MachineId) -> Option<Observation> {
        let m = self.machines.get(id)?;
        let drained = self.disruption.as_ref()?.drained_machines.get(id)?;
        let candidate = drained
            .progress
            .wants_replacement()
            .then(|| self.replacement_candidate(m));
        Some(Observation {
            is_empty: is_empty(m),
            requires_replacement: drained.replace_ahead,
            candidate: candidate.flatten().map(|machine| MachineName::new(machine.as_str())),
            replacement: drained.replacement().map(|machine| self.replacement_state(&machine)),
        })
    }

    /// Finds an empty machine of the same kind and partition that does not replace another machine yet. This also finds
    /// a machine that an earlier owner rented for this drain.
    fn replacement_candidate(&self, m: &Machine) -> Option<MachineId> {
        let disruption = self.disruption.as_ref()?;
        let assigned: BTreeSet<MachineId> = disruption
            .drained_machines
            .values()
            .filter_map(DrainedMachine::replacement)
            .collect();
        let is_same_kind = |other: &Machine| {
            other.partition == m.partition && other.model == m.model && other.zone == m.zone && other.spot == m.spot
        };
        let max_report_age_ms = 2 * self.settings.report_ms();
        let is_available = |other: &Machine| {
            other.is_empty_and_fenced()
                && other.moving_to.is_none()
                && (other.is_booting() || other.is_usable(self.now.ms, max_report_age_ms))
        };
        let mut machines = self.machines.iter();
        let found = machines.find(|(id, other)| {
            is_same_kind(other)
                && is_available(other)
                && !other.cordoned
                && !assigned.contains(*id)
                && !disruption.drained_machines.contains_key(*id)
                && !disruption.drain_records.covers(id)
        });
        found.map(|(id, _)| id.clone())
    }

    /// Whether a replacement machine is lost, ready or still booting.
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

    /// Marks replacement machines as reserved for the tasks that are evicted from the machines that they replace.
    fn mark_reserved_replacements(&mut self) {
        let Some(disruption) = &self.disruption else { return };
        let reserved: BTreeSet<MachineId> = disruption
            .drained_machines
            .values()
            .filter_map(DrainedMachine::replacement)
            .collect();
        for (id, m) in &mut self.machines {
            m.reserved = reserved.contains(id);
        }
    }

    /// The indices in `ids` of the machines that are reserved for other jobs.
    pub(crate) fn indices_reserved_for_other_jobs(&self, job: &JobId, ids: &[MachineId]) -> Vec<usize> {
        let Some(disruption) = &self.disruption else {
            return Vec::new();
        };
        let is_reserved_for_others = |id: &MachineId| {
            let mut drained = disruption.drained_machines.values();
            drained.any(|d| d.replacement().as_ref() == Some(id) && !d.jobs.contains(job))
        };
        let indices = ids.iter().enumerate().filter(|(_, id)| is_reserved_for_others(id));
        indices.map(|(index, _)| index).collect()
    }

    /// Requests for the machines to be rented as replacements of drained machines of a partition.
    pub(crate) fn replacement_requests(&self, partition: Partition) -> Vec<MachineRequest> {
        let Some(disruption) = &self.disruption else {
            return Vec::new();
        };
        let wanted = disruption
            .drained_machines
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

    /// Whether the drain of a machine has lasted longer than the drain's `patience_s`. Also true if the machine is not
    /// being drained.
    pub(super) fn is_drain_patience_exceeded(&self, id: &MachineId) -> bool {
        let settings = self.settings.operator.disruption.as_ref();
        let drained = self.disruption.as_ref().and_then(|d| d.drained_machines.get(id));
        let Some((settings, drained)) = settings.zip(drained) else {
            return true;
        };
        let patience_s = settings.drain(&drained.drain).map_or(0.0, |drain| drain.patience_s);
        let waited_ms = self.now.ms.saturating_sub(drained.progress.begun_ms());
        waited_ms as f64 > patience_s * 1000.0
    }

    /// Logs what the blocked drain of a machine waits for, at most once per worker lease duration.
    pub(super) fn log_blocked_drain(&mut self, id: &MachineId, waits_for: Option<String>) {
        let now = self.now.ms;
        let log_delay_ms = BLOCKED_LOG_DELAY_REPORTS * self.settings.report_ms();
        let log_interval_ms = self.settings.worker_lease_ms();
        let Some(drained) = self.disruption.as_mut().and_then(|d| d.drained_machines.get_mut(id)) else {
            return;
        };
        let Some(waits_for) = waits_for else { return };
        let is_step_recent = now.saturating_sub(drained.progress.step_since_ms()) < log_delay_ms;
        let is_recently_logged = drained
            .waits_for
            .as_ref()
            .is_some_and(|(_, at)| now.saturating_sub(*at) < log_interval_ms);
        if is_step_recent || is_recently_logged {
            return;
        }
        let text = format!("{id}: drain {} stands still: {waits_for}", drained.drain);
        drained.waits_for = Some((waits_for, now));
        self.log(Level::Info, text);
    }
}
