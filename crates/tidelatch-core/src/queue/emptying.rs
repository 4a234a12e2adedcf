//! Emptying machines that only a few replicas keep, so that they can be returned.

use crate::controller::Controller;
use crate::disruption::BudgetLookup;
use crate::ids::{Attempt, JobId, MachineId, Partition, TaskId};
use crate::membership::Stage;
use crate::messages::Level;
use crate::placement::{Batch, JobTerms, Slot};
use crate::protocol::Shape;
use std::collections::BTreeSet;

/// Of so many machines one at a time is emptied within a worker's lease.
const EMPTIED: u64 = 64;

impl Controller {
    /// Empties a machine that only a few replicas keep, when others have room for all of them.
    ///
    /// One machine of a partition at a time, and no more than one of [`EMPTIED`] within a worker's lease,
    /// so that few replicas are away at any moment.
    pub(crate) fn consolidate(&mut self) {
        let now = self.now.ms;
        if !self.entitled() || now < self.consolidate_due {
            return;
        }
        self.consolidate_due = now + self.settings.report_ms();
        let acting: Vec<Partition> = self
            .tenures
            .iter()
            .filter(|(_, t)| t.stage == Stage::Active && t.settled)
            .map(|(p, _)| *p)
            .collect();
        for p in acting {
            let calm = !self
                .jobs
                .values()
                .any(|j| j.partition == p && j.spec.shape == Shape::Service && j.waiting_count() > 0);
            let machines = self.machines.values().filter(|m| m.partition == p).count() as u64;
            let pause = self.settings.worker_lease_ms() / (machines / EMPTIED).max(1);
            let lately = self
                .consolidated
                .get(&p)
                .is_some_and(|t| now.saturating_sub(*t) < pause);
            if calm && !lately {
                self.empty_one(p);
            }
        }
    }

    pub(super) fn empty_one(&mut self, partition: Partition) {
        let Some((id, held)) = self.machine_to_empty(partition) else {
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
            self.evict_now(&id);
        } else {
            for (task, attempt) in held {
                self.stop_held(&id, &task, attempt);
            }
        }
        self.consolidated.insert(partition, self.now.ms);
    }

    /// A machine of a partition that others have room for, with what it holds: the emptiest of those with nothing
    /// but replicas, for some time.
    fn machine_to_empty(&self, partition: Partition) -> Option<(MachineId, Vec<(TaskId, Attempt)>)> {
        let now = self.now.ms;
        let patience = 2 * self.settings.report_ms();
        let settled = 2 * self.settings.worker_lease_ms();
        let mut candidates: Vec<(f64, MachineId)> = self
            .machines
            .iter()
            .filter(|(_, m)| m.partition == partition && m.usable(now, patience) && !m.held.is_empty())
            .filter(|(_, m)| {
                m.held.iter().all(|h| {
                    let service = self
                        .jobs
                        .get(&h.task.job)
                        .filter(|j| j.partition == partition)
                        .is_some_and(|j| j.spec.shape == Shape::Service && j.ending.is_none());
                    let old = h.running_since.is_some_and(|t| now.saturating_sub(t) > settled);
                    service && old && h.stop.is_none()
                })
            })
            .filter_map(|(id, m)| {
                let t = self.types.iter().find(|t| t.name == m.model)?;
                let price = if m.spot { t.spot_price } else { t.price };
                Some((m.held.len() as f64 / price.max(1e-9), id.clone()))
            })
            .collect();
        if candidates.is_empty() {
            return None;
        }
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
        // Others that hold something already, looked at once for all candidates; and no more of those
        // than a slice of the search may look at: with hundreds of machines each, this grew by the square.
        let (ids, mut slots) = self.slots(partition, &[0.0; 3]);
        let mut busy: Vec<MachineId> = Vec::new();
        let mut held_here = ids
            .iter()
            .map(|id| self.machines.get(id).is_some_and(|m| !m.held.is_empty()));
        slots.retain(|_| held_here.next().unwrap_or(false));
        busy.extend(
            ids.into_iter()
                .filter(|id| self.machines.get(id).is_some_and(|m| !m.held.is_empty())),
        );
        let budgets = BudgetLookup::new(self);
        let mut budget = self.settings.search_evaluations();
        for (_, id) in candidates {
            let Some(m) = self.machines.get(&id) else { continue };
            let held: Vec<(TaskId, Attempt)> = m.held.iter().map(|h| (h.task.clone(), h.attempt)).collect();
            let cost = (held.len() + 1) * slots.len();
            if cost > budget {
                return None;
            }
            budget -= cost;
            if !held.iter().all(|(task, _)| budgets.permits(&task.job)) {
                continue;
            }
            let others = busy.iter().zip(&slots).filter(|(other, _)| **other != id);
            let others = others.map(|(_, s)| s.clone()).collect();
            if self.fits_elsewhere(others, &id, &held) {
                return Some((id, held));
            }
        }
        None
    }

    /// Whether the tasks of a machine would all find room on some others.
    pub(super) fn fits_elsewhere(&self, mut slots: Vec<Slot>, id: &MachineId, held: &[(TaskId, Attempt)]) -> bool {
        let Some(zone) = self.machines.get(id).map(|m| m.zone.clone()) else {
            return false;
        };
        let mut jobs: Vec<JobTerms> = Vec::new();
        let mut names: Vec<&JobId> = Vec::new();
        let mut tasks = Vec::new();
        for (task, _) in held {
            let at = match names.iter().position(|n| **n == task.job) {
                Some(at) => at,
                None => {
                    let team = self.jobs.get(&task.job).and_then(|j| self.settings.team(&j.spec.team));
                    let Some(terms) = team.and_then(|(t, _)| self.terms(&task.job, t, f64::MAX)) else {
                        return false;
                    };
                    jobs.push(terms);
                    names.push(&task.job);
                    names.len() - 1
                }
            };
            // The task itself leaves its zone.
            if let Some(n) = jobs.get_mut(at).and_then(|j| j.in_zone.get_mut(&zone)) {
                *n = n.saturating_sub(1);
            }
            tasks.push(at);
        }
        let mut room = vec![[f64::MAX; 3]; self.settings.platform.facts.teams.len()];
        let cached: Vec<BTreeSet<String>> = slots.iter().map(|s| s.images.clone()).collect();
        let moves = tasks.len() * self.settings.operator.search_moves_per_task as usize;
        let choices = Batch::new(&mut slots, &mut jobs, &mut room, &tasks).place(moves);
        // A replica that has to fetch its image again is away for too long.
        let warm = |(choice, job): (&Option<usize>, &usize)| {
            let slot = choice.and_then(|c| cached.get(c));
            slot.zip(jobs.get(*job))
                .is_some_and(|(images, job)| images.contains(&job.image))
        };
        choices.iter().zip(&tasks).all(warm)
    }
}
