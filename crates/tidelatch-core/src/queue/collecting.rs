//! What waits in the queues of a partition's teams, in the order in which it is to be placed.

use super::limits::OverLimit;
use super::ranking::{start_within, starved_s, urgency};
use super::{Queued, Waiting};
use crate::controller::Controller;
use crate::ids::Partition;
use crate::placement::Amounts;
use crate::protocol::{Priority, Shape};
use std::collections::BTreeMap;

impl Controller {
    pub(super) fn collect(&mut self, partition: Partition, room: &[Amounts]) -> Queued {
        let now = self.now;
        let Some(tenure) = self.tenures.get(&partition) else {
            return Queued::default();
        };
        let since = tenure.since;
        let open = self.unconfirmed(partition) > 0;
        let names: BTreeMap<String, usize> = self
            .settings
            .platform
            .facts
            .teams
            .iter()
            .enumerate()
            .map(|(i, t)| (t.name.clone(), i))
            .collect();
        let mut waiting = Vec::new();
        let mut without_room: BTreeMap<usize, Amounts> = BTreeMap::new();
        let mut over_limit = Vec::new();
        let estimates = &self.estimates;
        let objectives = &self.settings.platform.facts.objectives;
        for (id, job) in &mut self.jobs {
            if job.partition != partition || !job.startable(now.ms) || self.resting.contains_key(id) {
                continue;
            }
            if self.cancellations.calls_off(id) {
                continue;
            }
            // Tasks older than the take-over may be on a machine that has not reported; and a job
            // of an epoch not seen here yet belongs to another owner.
            if (open && job.epoch < since) || self.member.epoch.as_ref().is_none_or(|(e, _)| job.epoch > e.n) {
                continue;
            }
            let Some(team) = names.get(&job.spec.team).copied() else {
                continue;
            };
            let Some(left) = room.get(team) else { continue };
            let size = Self::size(&job.spec);
            let most = size
                .iter()
                .zip(left)
                .filter(|(s, _)| **s > 0.0)
                .map(|(s, l)| ((l + 1e-6) / s).max(0.0) as usize)
                .min()
                .unwrap_or(usize::MAX);
            let age_s = now.wall_ms.saturating_sub(job.at_wall) as f64 / 1000.0;
            let slack_s = job
                .spec
                .deadline_s
                .map_or(f64::MAX, |d| d - age_s - estimates.run_s(&job.spec));
            if most == 0 && job.spec.priority >= Priority::Prod && job.waiting_count() > 0 {
                without_room.entry(team).or_insert(size);
                if job.spec.shape != Shape::Gang && !job.failures.is_suspected() {
                    over_limit.push(OverLimit {
                        id: id.clone(),
                        team,
                        at: job.at_wall,
                        slack_s,
                        size,
                        count: job.waiting_count(),
                    });
                }
            }
            // A gang enters a batch whole, or not at all.
            let gang = job.spec.shape == Shape::Gang;
            let tasks = job.waiting(if gang { most } else { most.min(200) });
            if tasks.is_empty() || (gang && (!job.gang_may_start() || tasks.len() < job.waiting_count() as usize)) {
                continue;
            }
            // Nobody is starved: what nothing has been started of for long comes before all else of its
            // priority, however late or large it is; with one task, for the rest has its own place.
            let starved = job.placed.is_empty()
                && job.done_count == 0
                && age_s > starved_s(start_within(objectives, &job.spec.class), job.spec.shape);
            let mut tasks = tasks;
            if starved && job.spec.shape == Shape::Array {
                tasks.truncate(1);
            }
            if job.failures.is_suspected() && !gang {
                // On little room: one task at a time shows whether the job has a mistake.
                tasks.truncate(usize::from(job.placed.is_empty()));
                if tasks.is_empty() {
                    continue;
                }
            }
            waiting.push(Waiting {
                work_s: f64::from(job.waiting_count()) * estimates.run_s(&job.spec),
                small: 1.0,
                starved,
                id: id.clone(),
                team,
                priority: job.spec.priority,
                slack_s,
                urgency: 0.0,
                at: job.at_wall,
                tasks,
            });
        }
        let due: Vec<f64> = waiting.iter().map(|w| w.work_s).filter(|s| *s > 0.0).collect();
        let mean_s = due.iter().sum::<f64>() / (due.len() as f64).max(1.0);
        for w in &mut waiting {
            let Some(job) = self.jobs.get(&w.id) else { continue };
            w.small = if mean_s > 0.0 {
                1.0 / (1.0 + w.work_s / mean_s)
            } else {
                1.0
            };
            w.urgency = if w.starved || job.spec.shape == Shape::Gang {
                // All of a gang's tasks start together or none does: it needs its room at one moment, and
                // its users wait for that in seconds.
                1.0
            } else {
                urgency(w.slack_s, w.small, &job.spec)
            };
        }
        waiting.sort_by(|a, b| {
            b.priority
                .cmp(&a.priority)
                .then(b.urgency.total_cmp(&a.urgency))
                .then(a.at.cmp(&b.at))
        });
        self.keep_room(&mut waiting, room, &without_room);
        let partitions = self.settings.partitions() as usize;
        self.kept_room
            .retain(|team, _| team % partitions != partition.0 as usize);
        // What has no room now is to have the next place.
        self.kept_room.extend(without_room);
        over_limit.sort_by(|a, b| (a.at, &a.id).cmp(&(b.at, &b.id)));
        Queued { waiting, over_limit }
    }

    /// What comes free under a team's limit is kept for its production work that found no machine or no room.
    ///
    /// Without that its own lower work takes each place that comes free, on machines that the other may not
    /// use, and nothing is rented for what has no room under the limit: it would wait for as long as that
    /// work lasts.
    pub(super) fn keep_room(
        &mut self,
        waiting: &mut Vec<Waiting>,
        room: &[Amounts],
        without_room: &BTreeMap<usize, Amounts>,
    ) {
        let mut left: BTreeMap<usize, Amounts> = BTreeMap::new();
        for (team, kept) in without_room.iter().chain(&self.kept_room) {
            if let Some(room) = room.get(*team) {
                let less = |i: usize| room.get(i).copied().unwrap_or(0.0) - kept.get(i).copied().unwrap_or(0.0);
                left.insert(*team, [less(0), less(1), f64::MAX]);
            }
        }
        for w in waiting.iter_mut().filter(|w| w.priority < Priority::Prod) {
            let Some(left) = left.get_mut(&w.team) else { continue };
            let Some(job) = self.jobs.get(&w.id) else { continue };
            let size = Self::size(&job.spec);
            let fit = size.iter().zip(left.iter()).filter(|(s, _)| **s > 0.0);
            let fit = fit.map(|(s, l)| ((l + 1e-6) / s).max(0.0) as usize).min();
            let fit = fit.unwrap_or(usize::MAX);
            if job.spec.shape == Shape::Gang && fit < w.tasks.len() {
                w.tasks.clear();
            }
            w.tasks.truncate(fit);
            let taken = w.tasks.len() as f64;
            left.iter_mut().zip(size).for_each(|(l, s)| *l -= s * taken);
        }
        waiting.retain(|w| !w.tasks.is_empty());
    }
}
