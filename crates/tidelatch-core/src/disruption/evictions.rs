//! Evicts tasks from machines one by one, as disruption budgets permit.

use super::interruption::{BlockReason, InterruptionCause};
use crate::controller::Controller;
use crate::ids::{Attempt, MachineId, TaskId};
use crate::machine_view::{HeldTask, Machine};
use crate::messages::Level;
use crate::protocol::Shape;
use std::collections::BTreeSet;
use tidelatch_disruption::InterruptionCost;

/// Number of worker lease durations after which this controller stops emptying a machine that is to be returned to the
/// cloud.
const MAX_EMPTYING_LEASES: u64 = 4;

/// A task that is to be evicted from its machine.
struct EvictionCandidate {
    task: TaskId,
    attempt: Attempt,
    team: String,
    class: String,
    /// Whether it is the only unit of its job. Such a task is evicted last, because nothing of its job runs until it is
    /// started elsewhere.
    is_only_unit: bool,
}

impl Controller {
    /// Starts to empty a machine so that it can be returned to the cloud.
    pub(crate) fn begin_emptying(&mut self, id: &MachineId) {
        let now = self.now.ms;
        if let Some(disruption) = &mut self.disruption {
            disruption.emptying_since_ms.insert(id.clone(), now);
        }
    }

    /// Why the tasks of a machine are to be evicted, or `None` if they may stay.
    pub(super) fn eviction_cause(&self, id: &MachineId) -> Option<InterruptionCause> {
        let disruption = self.disruption.as_ref()?;
        let m = self.machines.get(id)?;
        if disruption
            .drained_machines
            .get(id)
            .is_some_and(|drained| drained.is_evicting())
        {
            Some(InterruptionCause::Drain)
        } else if m.vacating_for.is_some() {
            Some(InterruptionCause::HandOver)
        } else if disruption.emptying_since_ms.contains_key(id) {
            Some(InterruptionCause::Emptying)
        } else {
            None
        }
    }

    /// Stops the tasks that may be stopped on each machine that is to be emptied.
    pub(super) fn tick_evictions(&mut self) {
        self.abandon_slow_emptying();
        let to_empty: Vec<(MachineId, InterruptionCause)> = self
            .machines
            .iter()
            .filter(|(_, m)| {
                m.is_confirmed && !m.is_deleted && !m.retiring && self.active_tenure(m.partition).is_some()
            })
            .filter_map(|(id, _)| Some((id.clone(), self.eviction_cause(id)?)))
            .collect();
        // Teams and classes that were denied a permit in this pass: no other task of the same class is tried.
        let mut denied: BTreeSet<(String, String)> = BTreeSet::new();
        for (id, cause) in to_empty {
            self.evict_tasks(&id, cause, &mut denied);
        }
    }

    /// Stops the tasks that may be stopped on one machine, if it is to be emptied.
    pub(crate) fn evict_permitted_tasks(&mut self, id: &MachineId) {
        if let Some(cause) = self.eviction_cause(id) {
            self.evict_tasks(id, cause, &mut BTreeSet::new());
        }
    }

    /// Stops the tasks that may be stopped on one machine. Skips the teams and classes in `denied`, and adds those
    /// whose budget denies a permit.
    fn evict_tasks(&mut self, id: &MachineId, cause: InterruptionCause, denied: &mut BTreeSet<(String, String)>) {
        self.stop_unstarted_array_tasks(id);
        let mut blocked_by = None;
        for candidate in self.eviction_candidates(id, cause) {
            let class = (candidate.team.clone(), candidate.class.clone());
            if denied.contains(&class) {
                continue;
            }
            if let Err(reason) = self.interrupt(id, &candidate.task, candidate.attempt, cause) {
                if matches!(reason, BlockReason::Denied(_)) {
                    denied.insert(class);
                }
                let is_transient = matches!(reason, BlockReason::PermitRequested(_) | BlockReason::NotRunning(_));
                blocked_by = blocked_by
                    .or_else(|| (!is_transient).then(|| format!("{} of {}: {reason}", candidate.task, candidate.team)));
            }
        }
        if cause == InterruptionCause::Drain {
            self.log_blocked_drain(id, blocked_by);
        }
    }

    /// Stops the array tasks that have not started to run. They need no permit: nothing is interrupted and no work is
    /// lost.
    fn stop_unstarted_array_tasks(&mut self, id: &MachineId) {
        let Some(m) = self.machines.get(id) else { return };
        let is_array_task = |task: &TaskId| {
            self.jobs
                .get(&task.job)
                .is_some_and(|job| job.spec.shape == Shape::Array)
        };
        let has_started = |held: &HeldTask| held.running_since.is_some() || held.stop.is_some();
        let unstarted = m
            .held
            .iter()
            .filter(|held| !has_started(held) && is_array_task(&held.task));
        let unstarted: Vec<(TaskId, Attempt)> = unstarted.map(|held| (held.task.clone(), held.attempt)).collect();
        for (task, attempt) in unstarted {
            self.request_stop(id, &task, attempt);
        }
    }

    /// The tasks to evict from a machine, in the order of eviction.
    fn eviction_candidates(&self, id: &MachineId, cause: InterruptionCause) -> Vec<EvictionCandidate> {
        let Some(m) = self.machines.get(id) else {
            return Vec::new();
        };
        let not_stopping = m.held.iter().filter(|h| h.stop.is_none());
        let mut candidates: Vec<EvictionCandidate> = not_stopping
            .filter(|h| cause != InterruptionCause::Drain || !self.should_wait_for_task(id, m, h))
            .filter_map(|h| {
                let spec = &self.jobs.get(&h.task.job)?.spec;
                Some(EvictionCandidate {
                    task: h.task.clone(),
                    attempt: h.attempt,
                    team: spec.team.clone(),
                    class: spec.class.clone(),
                    is_only_unit: spec.shape == Shape::Service && spec.tasks == 1,
                })
            })
            .collect();
        candidates.sort_by_key(|candidate| candidate.is_only_unit);
        candidates
    }

    /// Whether to wait for a task of a drained machine to finish rather than evict it, within the drain's `patience_s`.
    fn should_wait_for_task(&self, id: &MachineId, m: &Machine, held: &HeldTask) -> bool {
        let Some(job) = self
            .jobs
            .get(&held.task.job)
            .filter(|job| job.spec.shape != Shape::Service)
        else {
            return false;
        };
        if self.is_drain_patience_exceeded(id) {
            return false;
        }
        let spec = &job.spec;
        let machine_type = self.machine_types.iter().find(|t| t.name == m.model);
        // 1 GB/s for an unknown machine type; at least 0.001 GB/s, because it is a divisor.
        let fetch_gb_per_s = machine_type.map_or(1.0, |t| t.fetch_gb_per_s.max(1e-3));
        let ran_s = held
            .running_since
            .map_or(0.0, |t| self.now.ms.saturating_sub(t) as f64 / 1000.0);
        let has_checkpoints = spec.checkpoint_s > 0.0;
        let age_s = self.now.wall_ms.saturating_sub(job.accepted_wall_ms) as f64 / 1000.0;
        let interruption = InterruptionCost {
            remaining_s: (self.estimates.expected_run_s(spec) - ran_s).max(0.0),
            lost_s: if has_checkpoints { ran_s.min(spec.save_s) } else { ran_s },
            fetch_s: spec.image_gb / fetch_gb_per_s,
            time_to_deadline_s: spec.deadline_s.map(|deadline_s| deadline_s - age_s),
        };
        interruption.is_waiting_cheaper()
    }

    /// Lets tasks be placed again on machines that did not become empty within `MAX_EMPTYING_LEASES`.
    fn abandon_slow_emptying(&mut self) {
        let now = self.now.ms;
        let max_emptying_ms = MAX_EMPTYING_LEASES * self.settings.worker_lease_ms();
        let Some(disruption) = &mut self.disruption else { return };
        let machines = &mut self.machines;
        let mut abandoned = Vec::new();
        disruption.emptying_since_ms.retain(|id, since| {
            let Some(m) = machines.get_mut(id).filter(|m| m.draining && !m.held.is_empty()) else {
                return false;
            };
            let continues = now.saturating_sub(*since) <= max_emptying_ms || m.held.iter().any(|h| h.stop.is_some());
            if !continues {
                m.draining = false;
                abandoned.push(id.clone());
            }
            continues
        });
        for id in abandoned {
            self.log(
                Level::Info,
                format!("{id}: not emptied in time under the disruption budgets: back in service"),
            );
        }
    }
}
