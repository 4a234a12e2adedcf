//! Emptying machines task by task, as units come free.

use super::gate::{Blocked, Cause};
use crate::controller::Controller;
use crate::ids::{Attempt, MachineId, TaskId};
use crate::machine_view::{HeldTask, Machine};
use crate::messages::Level;
use crate::protocol::Shape;
use std::collections::BTreeSet;
use tidelatch_disruption::Interruption;

/// Workers' leases for which a machine is emptied to be returned, before that is given up.
const EMPTYING_LEASES: u64 = 4;

/// A task that is to leave its machine.
struct Leaving {
    task: TaskId,
    attempt: Attempt,
    team: String,
    class: String,
    /// The only unit of its job: it leaves last, for nothing of the job runs meanwhile.
    is_only_unit: bool,
}

impl Controller {
    /// A machine is to be emptied, so that it can be returned.
    pub(crate) fn begin_emptying(&mut self, id: &MachineId) {
        let now = self.now.ms;
        if let Some(disruption) = &mut self.disruption {
            disruption.emptied.insert(id.clone(), now);
        }
    }

    /// Why what is on a machine is to leave it; none: it may stay.
    pub(super) fn eviction_cause(&self, id: &MachineId) -> Option<Cause> {
        let disruption = self.disruption.as_ref()?;
        let m = self.machines.get(id)?;
        if disruption.drained.get(id).is_some_and(|drained| drained.evicts()) {
            Some(Cause::Drain)
        } else if m.vacating_for.is_some() {
            Some(Cause::HandOver)
        } else if disruption.emptied.contains_key(id) {
            Some(Cause::Emptying)
        } else {
            None
        }
    }

    /// Stops what may be stopped on each machine that is to be emptied.
    pub(super) fn tick_evictions(&mut self) {
        self.give_up_emptying();
        let evicted: Vec<(MachineId, Cause)> = self
            .machines
            .iter()
            .filter(|(_, m)| {
                m.is_confirmed && !m.is_deleted && !m.retiring && self.active_tenure(m.partition).is_some()
            })
            .filter_map(|(id, _)| Some((id.clone(), self.eviction_cause(id)?)))
            .collect();
        // What one task of a class was denied, no other task of it gets in the same moment.
        let mut denied: BTreeSet<(String, String)> = BTreeSet::new();
        for (id, cause) in evicted {
            self.evict(&id, cause, &mut denied);
        }
    }

    /// Stops what may be stopped on one machine.
    pub(crate) fn evict_now(&mut self, id: &MachineId) {
        if let Some(cause) = self.eviction_cause(id) {
            self.evict(id, cause, &mut BTreeSet::new());
        }
    }

    fn evict(&mut self, id: &MachineId, cause: Cause, denied: &mut BTreeSet<(String, String)>) {
        self.stop_what_has_not_begun(id);
        let mut blocked = None;
        for leaving in self.leaving(id, cause) {
            let class = (leaving.team.clone(), leaving.class.clone());
            if denied.contains(&class) {
                continue;
            }
            if let Err(reason) = self.interrupt(id, &leaving.task, leaving.attempt, cause) {
                if matches!(reason, Blocked::Denied(_)) {
                    denied.insert(class);
                }
                let asked = matches!(reason, Blocked::Asked(_) | Blocked::NotRunning(_));
                blocked =
                    blocked.or_else(|| (!asked).then(|| format!("{} of {}: {reason}", leaving.task, leaving.team)));
            }
        }
        if cause == Cause::Drain {
            self.note_blocked_drain(id, blocked);
        }
    }

    /// Tasks of arrays that do not run yet leave at once: nothing is interrupted by that, and nothing lost.
    fn stop_what_has_not_begun(&mut self, id: &MachineId) {
        let Some(m) = self.machines.get(id) else { return };
        let of_array = |task: &TaskId| {
            self.jobs
                .get(&task.job)
                .is_some_and(|job| job.spec.shape == Shape::Array)
        };
        let begun = |held: &HeldTask| held.running_since.is_some() || held.stop.is_some();
        let waiting = m.held.iter().filter(|held| !begun(held) && of_array(&held.task));
        let waiting: Vec<(TaskId, Attempt)> = waiting.map(|held| (held.task.clone(), held.attempt)).collect();
        for (task, attempt) in waiting {
            self.request_stop(id, &task, attempt);
        }
    }

    /// The tasks that are to leave a machine, in the order in which they do.
    fn leaving(&self, id: &MachineId, cause: Cause) -> Vec<Leaving> {
        let Some(m) = self.machines.get(id) else {
            return Vec::new();
        };
        let staying = m.held.iter().filter(|h| h.stop.is_none());
        let mut leaving: Vec<Leaving> = staying
            .filter(|h| cause != Cause::Drain || !self.is_worth_waiting(id, m, h))
            .filter_map(|h| {
                let spec = &self.jobs.get(&h.task.job)?.spec;
                Some(Leaving {
                    task: h.task.clone(),
                    attempt: h.attempt,
                    team: spec.team.clone(),
                    class: spec.class.clone(),
                    is_only_unit: spec.shape == Shape::Service && spec.tasks == 1,
                })
            })
            .collect();
        leaving.sort_by_key(|leaving| leaving.is_only_unit);
        leaving
    }

    /// Whether a task of a drained machine is better waited for, within the drain's patience.
    fn is_worth_waiting(&self, id: &MachineId, m: &Machine, held: &HeldTask) -> bool {
        let Some(job) = self
            .jobs
            .get(&held.task.job)
            .filter(|job| job.spec.shape != Shape::Service)
        else {
            return false;
        };
        if self.drain_patience_is_over(id) {
            return false;
        }
        let spec = &job.spec;
        let machine_type = self.machine_types.iter().find(|t| t.name == m.model);
        let fetch_rate = machine_type.map_or(1.0, |t| t.fetch_gb_per_s.max(1e-3));
        let ran_s = held
            .running_since
            .map_or(0.0, |t| self.now.ms.saturating_sub(t) as f64 / 1000.0);
        let saves = spec.checkpoint_s > 0.0;
        let age_s = self.now.wall_ms.saturating_sub(job.accepted_wall_ms) as f64 / 1000.0;
        let interruption = Interruption {
            remaining_s: (self.estimates.expected_run_s(spec) - ran_s).max(0.0),
            lost_s: if saves { ran_s.min(spec.save_s) } else { ran_s },
            fetch_s: spec.image_gb / fetch_rate,
            slack_s: spec.deadline_s.map(|deadline_s| deadline_s - age_s),
        };
        interruption.is_worth_waiting()
    }

    /// Machines that do not become empty go back to service.
    fn give_up_emptying(&mut self) {
        let now = self.now.ms;
        let patience = EMPTYING_LEASES * self.settings.worker_lease_ms();
        let Some(disruption) = &mut self.disruption else { return };
        let machines = &mut self.machines;
        let mut given_up = Vec::new();
        disruption.emptied.retain(|id, since| {
            let Some(m) = machines.get_mut(id).filter(|m| m.draining && !m.held.is_empty()) else {
                return false;
            };
            let goes_on = now.saturating_sub(*since) <= patience || m.held.iter().any(|h| h.stop.is_some());
            if !goes_on {
                m.draining = false;
                given_up.push(id.clone());
            }
            goes_on
        });
        for id in given_up {
            self.log(
                Level::Info,
                format!("{id}: not emptied within its budgets: back in service"),
            );
        }
    }
}
