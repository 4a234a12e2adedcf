//! What waits in the queues of a partition's teams, in the order in which it is to be placed.

use super::limits::OverLimit;
use super::ranking::{EstimateCorrections, start_within, starved_s, urgency};
use super::{Queued, Waiting};
use crate::controller::Controller;
use crate::ids::{JobId, Partition};
use crate::jobs::Job;
use crate::messages::Now;
use crate::placement::Amounts;
use crate::protocol::{Priority, Shape};
use crate::settings::Objective;
use std::collections::BTreeMap;

/// Most tasks of a job that one batch takes, gangs left out.
const MOST_OF_A_JOB: usize = 200;

/// What a partition's queues hold while they are looked through.
#[derive(Default)]
struct Collected {
    waiting: Vec<Waiting>,
    /// By team, what a task of its production work takes for which there is no room under the limit.
    without_room: BTreeMap<usize, Amounts>,
    over_limit: Vec<OverLimit>,
}

/// What is the same for all jobs of a partition.
struct Moment<'a> {
    now: Now,
    estimates: &'a EstimateCorrections,
    objectives: &'a [Objective],
}

/// How many tasks of a size have room.
fn tasks_with_room(size: &Amounts, room: &Amounts) -> usize {
    let needed = size.iter().zip(room).filter(|(size, _)| **size > 0.0);
    let fit = needed.map(|(size, room)| ((room + 1e-6) / size).max(0.0) as usize);
    fit.min().unwrap_or(usize::MAX)
}

impl Moment<'_> {
    fn age_s(&self, job: &Job) -> f64 {
        self.now.wall_ms.saturating_sub(job.at_wall) as f64 / 1000.0
    }

    /// Seconds until a job has to be started to be in time.
    fn slack_s(&self, job: &Job) -> f64 {
        let left_s = |deadline_s: f64| deadline_s - self.age_s(job) - self.estimates.run_s(&job.spec);
        job.spec.deadline_s.map_or(f64::MAX, left_s)
    }

    /// Nobody is starved: what nothing has been started of for long comes before all else of its
    /// priority, however late or large it is.
    fn is_starved(&self, job: &Job) -> bool {
        let limit_s = starved_s(start_within(self.objectives, &job.spec.class), job.spec.shape);
        job.placed.is_empty() && job.done_count == 0 && self.age_s(job) > limit_s
    }

    /// Takes in a job of a team with some room under its limit.
    fn collect(&self, id: &JobId, job: &mut Job, team: usize, room: &Amounts, collected: &mut Collected) {
        let size = Controller::size(&job.spec);
        let most = tasks_with_room(&size, room);
        let slack_s = self.slack_s(job);
        if most == 0 && job.spec.priority >= Priority::Prod && job.waiting_count() > 0 {
            collected.without_room.entry(team).or_insert(size);
            if job.spec.shape != Shape::Gang && !job.failures.is_suspected() {
                collected.over_limit.push(OverLimit {
                    id: id.clone(),
                    team,
                    at: job.at_wall,
                    slack_s,
                    size,
                    count: job.waiting_count(),
                });
            }
        }
        let starved = self.is_starved(job);
        let tasks = tasks_to_place(job, most, starved);
        if tasks.is_empty() {
            return;
        }
        collected.waiting.push(Waiting {
            work_s: f64::from(job.waiting_count()) * self.estimates.run_s(&job.spec),
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
}

/// The tasks of a job that a batch may take, of which at most `most` have room under the team's limit.
fn tasks_to_place(job: &mut Job, most: usize, starved: bool) -> Vec<u32> {
    // A gang enters a batch whole, or not at all.
    let gang = job.spec.shape == Shape::Gang;
    let mut tasks = job.waiting(if gang { most } else { most.min(MOST_OF_A_JOB) });
    if gang {
        let whole = job.gang_may_start() && tasks.len() >= job.waiting_count() as usize;
        return if whole { tasks } else { Vec::new() };
    }
    if starved && job.spec.shape == Shape::Array {
        // With one task, for the rest has its own place.
        tasks.truncate(1);
    }
    if job.failures.is_suspected() {
        // On little room: one task at a time shows whether the job has a mistake.
        tasks.truncate(usize::from(job.placed.is_empty()));
    }
    tasks
}

impl Controller {
    pub(super) fn collect(&mut self, partition: Partition, room: &[Amounts]) -> Queued {
        let mut collected = self.collect_jobs(partition, room);
        self.rank(&mut collected.waiting);
        let Collected {
            mut waiting,
            without_room,
            mut over_limit,
        } = collected;
        self.keep_room(&mut waiting, room, &without_room);
        let partitions = self.settings.partitions() as usize;
        self.kept_room
            .retain(|team, _| team % partitions != partition.0 as usize);
        // What has no room now is to have the next place.
        self.kept_room.extend(without_room);
        over_limit.sort_by(|a, b| (a.at, &a.id).cmp(&(b.at, &b.id)));
        Queued { waiting, over_limit }
    }

    /// The jobs of a partition that may be placed now.
    fn collect_jobs(&mut self, partition: Partition, room: &[Amounts]) -> Collected {
        let mut collected = Collected::default();
        let Some(since) = self.tenures.get(&partition).map(|tenure| tenure.since) else {
            return collected;
        };
        let open = self.unconfirmed(partition) > 0;
        let teams = self.settings.platform.facts.teams.iter().enumerate();
        let names: BTreeMap<&str, usize> = teams.map(|(i, t)| (t.name.as_str(), i)).collect();
        let epoch = self.member.epoch.as_ref().map(|(record, _)| record.n);
        let moment = Moment {
            now: self.now,
            estimates: &self.estimates,
            objectives: &self.settings.platform.facts.objectives,
        };
        for (id, job) in &mut self.jobs {
            if job.partition != partition || !job.startable(moment.now.ms) || self.resting.contains_key(id) {
                continue;
            }
            if self.cancellations.calls_off(id) {
                continue;
            }
            // Tasks older than the take-over may be on a machine that has not reported; and a job
            // of an epoch not seen here yet belongs to another owner.
            if (open && job.epoch < since) || epoch.is_none_or(|epoch| job.epoch > epoch) {
                continue;
            }
            let team = names.get(job.spec.team.as_str()).copied();
            if let Some((team, room)) = team.and_then(|team| Some((team, room.get(team)?))) {
                moment.collect(id, job, team, room, &mut collected);
            }
        }
        collected
    }

    /// Puts what waits into the order in which it is to be placed.
    fn rank(&self, waiting: &mut [Waiting]) {
        let due: Vec<f64> = waiting.iter().map(|w| w.work_s).filter(|s| *s > 0.0).collect();
        let mean_s = due.iter().sum::<f64>() / (due.len() as f64).max(1.0);
        for w in waiting.iter_mut() {
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
            let fit = tasks_with_room(&size, left);
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
