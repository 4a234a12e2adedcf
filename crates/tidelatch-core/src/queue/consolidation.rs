//! Consolidation: emptying machines that run only a few replicas, so that they can be returned to the cloud.

use crate::controller::Controller;
use crate::disruption::BudgetLookup;
use crate::ids::{Attempt, JobId, MachineId, Partition, TaskId};
use crate::membership::Stage;
use crate::messages::Level;
use crate::placement::{Batch, JobTerms, MachineSlot};
use crate::protocol::Shape;
use std::collections::BTreeSet;

/// One machine per this many machines of a partition, and at least one, may be emptied within a worker lease.
const MACHINES_PER_CONSOLIDATION: u64 = 64;

impl Controller {
    /// Empties a machine that runs only a few replicas if other machines have room for all of them.
    ///
    /// A partition empties one machine at a time, and within a worker lease no more than one of each
    /// [`MACHINES_PER_CONSOLIDATION`] machines, so that only few replicas are unavailable at any moment.
    pub(crate) fn consolidate(&mut self) {
        let now = self.now.ms;
        if !self.is_entitled() || now < self.consolidation_due_ms {
            return;
        }
        self.consolidation_due_ms = now + self.settings.report_ms();
        let active_partitions: Vec<Partition> = self
            .tenures
            .iter()
            .filter(|(_, t)| t.stage == Stage::Active && t.are_machines_accounted_for)
            .map(|(p, _)| *p)
            .collect();
        for p in active_partitions {
            let has_no_waiting_services = !self
                .jobs
                .values()
                .any(|j| j.partition == p && j.spec.shape == Shape::Service && j.waiting_count() > 0);
            let machines = self.machines.values().filter(|m| m.partition == p).count() as u64;
            let min_interval_ms = self.settings.worker_lease_ms() / (machines / MACHINES_PER_CONSOLIDATION).max(1);
            let is_too_early = self
                .last_consolidations_ms
                .get(&p)
                .is_some_and(|t| now.saturating_sub(*t) < min_interval_ms);
            if has_no_waiting_services && !is_too_early {
                self.empty_machine(p);
            }
        }
    }

    /// Starts moving all replicas off one machine of a partition, if there is a suitable machine.
    pub(super) fn empty_machine(&mut self, partition: Partition) {
        let Some((id, held)) = self.find_machine_to_empty(partition) else {
            return;
        };
        self.log(
            Level::Info,
            format!("{id}: moving its {} replicas to other machines", held.len()),
        );
        if let Some(m) = self.machines.get_mut(&id) {
            m.draining = true;
        }
        if self.disruption.is_some() {
            self.begin_emptying(&id);
            self.evict_permitted_tasks(&id);
        } else {
            for (task, attempt) in held {
                self.request_stop(&id, &task, attempt);
            }
        }
        self.last_consolidations_ms.insert(partition, self.now.ms);
    }

    /// The cheapest machine to empty and the tasks it holds: fewest replicas for its price among the machines that
    /// hold only replicas which have run for some time, and whose replicas fit on other machines.
    fn find_machine_to_empty(&self, partition: Partition) -> Option<(MachineId, Vec<(TaskId, Attempt)>)> {
        let now = self.now.ms;
        let max_report_age_ms = 2 * self.settings.report_ms();
        let min_run_ms = 2 * self.settings.worker_lease_ms();
        let mut candidates: Vec<(f64, MachineId)> = self
            .machines
            .iter()
            .filter(|(_, m)| m.partition == partition && m.is_usable(now, max_report_age_ms) && !m.held.is_empty())
            .filter(|(_, m)| {
                m.held.iter().all(|h| {
                    let is_service = self
                        .jobs
                        .get(&h.task.job)
                        .filter(|j| j.partition == partition)
                        .is_some_and(|j| j.spec.shape == Shape::Service && j.ending.is_none());
                    let has_run_long_enough = h.running_since.is_some_and(|t| now.saturating_sub(t) > min_run_ms);
                    is_service && has_run_long_enough && h.stop.is_none()
                })
            })
            .filter_map(|(id, m)| {
                let t = self.machine_types.iter().find(|t| t.name == m.model)?;
                let price = if m.spot { t.spot_price } else { t.price };
                Some((m.held.len() as f64 / price.max(1e-9), id.clone()))
            })
            .collect();
        if candidates.is_empty() {
            return None;
        }
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
        // Only machines that hold tasks are destinations. Their slots are built once for all candidates, and the
        // search stops at its evaluation limit: otherwise the cost would grow with the square of the number of
        // machines, of which there may be hundreds.
        let (ids, mut slots) = self.machine_slots(partition, &[0.0; 3]);
        let mut occupied_ids: Vec<MachineId> = Vec::new();
        let mut holds_tasks = ids
            .iter()
            .map(|id| self.machines.get(id).is_some_and(|m| !m.held.is_empty()));
        slots.retain(|_| holds_tasks.next().unwrap_or(false));
        occupied_ids.extend(
            ids.into_iter()
                .filter(|id| self.machines.get(id).is_some_and(|m| !m.held.is_empty())),
        );
        let budgets = BudgetLookup::new(self);
        let mut evaluations_left = self.settings.search_evaluations();
        for (_, id) in candidates {
            let Some(m) = self.machines.get(&id) else { continue };
            let held: Vec<(TaskId, Attempt)> = m.held.iter().map(|h| (h.task.clone(), h.attempt)).collect();
            let cost = (held.len() + 1) * slots.len();
            if cost > evaluations_left {
                return None;
            }
            evaluations_left -= cost;
            if !held.iter().all(|(task, _)| budgets.permits_interruption(&task.job)) {
                continue;
            }
            let others = occupied_ids.iter().zip(&slots).filter(|(other, _)| **other != id);
            let others = others.map(|(_, s)| s.clone()).collect();
            if self.can_relocate_tasks(others, &id, &held) {
                return Some((id, held));
            }
        }
        None
    }

    /// Whether all tasks of a machine fit on other machines that already have their images.
    pub(super) fn can_relocate_tasks(
        &self,
        mut slots: Vec<MachineSlot>,
        id: &MachineId,
        held: &[(TaskId, Attempt)],
    ) -> bool {
        let Some(zone) = self.machines.get(id).map(|m| m.zone.clone()) else {
            return false;
        };
        let mut jobs: Vec<JobTerms> = Vec::new();
        let mut job_ids: Vec<&JobId> = Vec::new();
        let mut tasks = Vec::new();
        for (task, _) in held {
            let job_index = match job_ids.iter().position(|n| **n == task.job) {
                Some(job_index) => job_index,
                None => {
                    let team = self.jobs.get(&task.job).and_then(|j| self.settings.team(&j.spec.team));
                    let Some(terms) = team.and_then(|(t, _)| self.job_terms(&task.job, t, f64::MAX)) else {
                        return false;
                    };
                    jobs.push(terms);
                    job_ids.push(&task.job);
                    job_ids.len() - 1
                }
            };
            // The task no longer counts in the zone that it leaves.
            if let Some(n) = jobs.get_mut(job_index).and_then(|j| j.tasks_by_zone.get_mut(&zone)) {
                *n = n.saturating_sub(1);
            }
            tasks.push(job_index);
        }
        let mut room = vec![[f64::MAX; 3]; self.settings.platform.facts.teams.len()];
        let cached: Vec<BTreeSet<String>> = slots.iter().map(|s| s.images.clone()).collect();
        let moves = tasks.len() * self.settings.operator.search_moves_per_task as usize;
        let choices = Batch::new(&mut slots, &mut jobs, &mut room, &tasks).place(moves);
        // A replica that has to fetch its image again would be unavailable for too long.
        let has_image = |(choice, job): (&Option<usize>, &usize)| {
            let slot = choice.and_then(|c| cached.get(c));
            slot.zip(jobs.get(*job))
                .is_some_and(|(images, job)| images.contains(&job.image))
        };
        choices.iter().zip(&tasks).all(has_image)
    }
}
