//! Selection and ordering of the jobs of a partition that may be placed now.

use super::limit_preemption::JobBlockedByLimit;
use super::ranking::{EstimateCorrections, class_start_objective_s, starvation_age_s, urgency};
use super::{PartitionQueue, WaitingJob};
use crate::controller::Controller;
use crate::ids::{JobId, Partition};
use crate::jobs::Job;
use crate::messages::Now;
use crate::placement::Amounts;
use crate::protocol::{Priority, Shape};
use crate::settings::Objective;
use std::collections::BTreeMap;

/// Maximum number of tasks of one job in a batch. Gangs are exempt because they are placed as a whole.
const MAX_TASKS_PER_JOB_AND_BATCH: usize = 200;

/// Jobs found while the queues of a partition are searched.
#[derive(Default)]
struct CollectedJobs {
    waiting: Vec<WaitingJob>,
    /// For each team with a production job that has no room under the team's limit, the size of one task of that job.
    blocked_size_by_team: BTreeMap<usize, Amounts>,
    blocked_jobs: Vec<JobBlockedByLimit>,
}

/// Values that are the same for all jobs of a partition.
struct CollectionContext<'a> {
    now: Now,
    estimates: &'a EstimateCorrections,
    objectives: &'a [Objective],
}

/// Number of tasks of a size that fit into some room; `usize::MAX` if the size is zero.
fn count_fitting_tasks(size: &Amounts, room: &Amounts) -> usize {
    let needed = size.iter().zip(room).filter(|(size, _)| **size > 0.0);
    let fitting = needed.map(|(size, room)| ((room + 1e-6) / size).max(0.0) as usize);
    fitting.min().unwrap_or(usize::MAX)
}

impl CollectionContext<'_> {
    /// Seconds since the job was accepted.
    fn age_s(&self, job: &Job) -> f64 {
        self.now.wall_ms.saturating_sub(job.accepted_wall_ms) as f64 / 1000.0
    }

    /// Seconds until a job must start to meet its deadline; `f64::MAX` without one.
    fn slack_s(&self, job: &Job) -> f64 {
        let left_s = |deadline_s: f64| deadline_s - self.age_s(job) - self.estimates.expected_run_s(&job.spec);
        job.spec.deadline_s.map_or(f64::MAX, left_s)
    }

    /// Whether the job has waited for so long without a started task that it precedes all other work of its priority,
    /// regardless of its deadline and size. This prevents starvation.
    fn is_starved(&self, job: &Job) -> bool {
        let starvation_age_s = starvation_age_s(
            class_start_objective_s(self.objectives, &job.spec.class),
            job.spec.shape,
        );
        job.placed.is_empty() && job.done_count == 0 && self.age_s(job) > starvation_age_s
    }

    /// Adds a job of a team to the collected jobs; `room` is what is left under the team's limit.
    fn collect_job(&self, id: &JobId, job: &mut Job, team: usize, room: &Amounts, collected: &mut CollectedJobs) {
        let size = Controller::task_resources(&job.spec);
        let max_tasks = count_fitting_tasks(&size, room);
        let slack_s = self.slack_s(job);
        if max_tasks == 0 && job.spec.priority >= Priority::Prod && job.waiting_count() > 0 {
            collected.blocked_size_by_team.entry(team).or_insert(size);
            if job.spec.shape != Shape::Gang && !job.failures.is_suspected() {
                collected.blocked_jobs.push(JobBlockedByLimit {
                    id: id.clone(),
                    team,
                    accepted_wall_ms: job.accepted_wall_ms,
                    slack_s,
                    size,
                    count: job.waiting_count(),
                });
            }
        }
        let is_starved = self.is_starved(job);
        let tasks = select_tasks_to_place(job, max_tasks, is_starved);
        if tasks.is_empty() {
            return;
        }
        collected.waiting.push(WaitingJob {
            remaining_work_s: f64::from(job.waiting_count()) * self.estimates.expected_run_s(&job.spec),
            short_job_factor: 1.0,
            is_starved,
            id: id.clone(),
            team,
            priority: job.spec.priority,
            slack_s,
            urgency: 0.0,
            accepted_wall_ms: job.accepted_wall_ms,
            tasks,
        });
    }
}

/// The tasks of a job that a batch may take; at most `max_tasks` have room under the team's limit.
fn select_tasks_to_place(job: &mut Job, max_tasks: usize, is_starved: bool) -> Vec<u32> {
    // A gang enters a batch with all of its tasks or not at all.
    let is_gang = job.spec.shape == Shape::Gang;
    let mut tasks = job.waiting_tasks(if is_gang {
        max_tasks
    } else {
        max_tasks.min(MAX_TASKS_PER_JOB_AND_BATCH)
    });
    if is_gang {
        let is_complete = job.can_start_gang_tasks() && tasks.len() >= job.waiting_count() as usize;
        return if is_complete { tasks } else { Vec::new() };
    }
    if is_starved && job.spec.shape == Shape::Array {
        // A starved array gets only one task ahead of the others; its other tasks keep their normal rank.
        tasks.truncate(1);
    }
    if job.failures.is_suspected() {
        // Limit a job suspected of failing through its own fault, not its machines', to one task at a time, which is
        // enough to show whether the job is faulty.
        tasks.truncate(usize::from(job.placed.is_empty()));
    }
    tasks
}

impl Controller {
    /// Collects the waiting jobs of a partition in placement order, with `room` left under each team's limit.
    pub(super) fn collect_waiting_jobs(&mut self, partition: Partition, room: &[Amounts]) -> PartitionQueue {
        let mut collected = self.collect_jobs(partition, room);
        self.rank_waiting_jobs(&mut collected.waiting);
        let CollectedJobs {
            mut waiting,
            blocked_size_by_team,
            mut blocked_jobs,
        } = collected;
        self.reserve_room_under_limits(&mut waiting, room, &blocked_size_by_team);
        let partitions = self.settings.partitions() as usize;
        self.reserved_room
            .retain(|team, _| team % partitions != partition.0 as usize);
        // Jobs that have no room now have priority for the next room that becomes free.
        self.reserved_room.extend(blocked_size_by_team);
        blocked_jobs.sort_by(|a, b| (a.accepted_wall_ms, &a.id).cmp(&(b.accepted_wall_ms, &b.id)));
        PartitionQueue { waiting, blocked_jobs }
    }

    /// The jobs of a partition that may be placed now.
    fn collect_jobs(&mut self, partition: Partition, room: &[Amounts]) -> CollectedJobs {
        let mut collected = CollectedJobs::default();
        let Some(tenure_epoch) = self.tenures.get(&partition).map(|tenure| tenure.since_epoch) else {
            return collected;
        };
        let has_unconfirmed_machines = self.count_unconfirmed_machines(partition) > 0;
        let teams = self.settings.platform.facts.teams.iter().enumerate();
        let names: BTreeMap<&str, usize> = teams.map(|(i, t)| (t.name.as_str(), i)).collect();
        let epoch = self.membership.epoch.as_ref().map(|(record, _)| record.number);
        let context = CollectionContext {
            now: self.now,
            estimates: &self.estimates,
            objectives: &self.settings.platform.facts.objectives,
        };
        for (id, job) in &mut self.jobs {
            if job.partition != partition
                || !job.can_start_tasks(context.now.ms)
                || self.postponed_jobs.contains_key(id)
            {
                continue;
            }
            if self.cancellations.is_cancelled_or_requested(id) {
                continue;
            }
            // Tasks from before the takeover may run on a machine that has not reported yet. A job of an epoch that
            // this controller does not know yet belongs to another owner.
            if (has_unconfirmed_machines && job.epoch < tenure_epoch) || epoch.is_none_or(|epoch| job.epoch > epoch) {
                continue;
            }
            let team = names.get(job.spec.team.as_str()).copied();
            if let Some((team, room)) = team.and_then(|team| Some((team, room.get(team)?))) {
                context.collect_job(id, job, team, room, &mut collected);
            }
        }
        collected
    }

    /// Sorts waiting jobs by priority, urgency and submission time.
    fn rank_waiting_jobs(&self, waiting: &mut [WaitingJob]) {
        let remaining: Vec<f64> = waiting
            .iter()
            .map(|w| w.remaining_work_s)
            .filter(|s| *s > 0.0)
            .collect();
        let mean_remaining_s = remaining.iter().sum::<f64>() / (remaining.len() as f64).max(1.0);
        for w in waiting.iter_mut() {
            let Some(job) = self.jobs.get(&w.id) else { continue };
            w.short_job_factor = if mean_remaining_s > 0.0 {
                1.0 / (1.0 + w.remaining_work_s / mean_remaining_s)
            } else {
                1.0
            };
            w.urgency = if w.is_starved || job.spec.shape == Shape::Gang {
                // A gang starts all of its tasks together or none: it needs all its room at one moment, and its users
                // expect a start within seconds.
                1.0
            } else {
                urgency(w.slack_s, w.short_job_factor, &job.spec)
            };
        }
        waiting.sort_by(|a, b| {
            b.priority
                .cmp(&a.priority)
                .then(b.urgency.total_cmp(&a.urgency))
                .then(a.accepted_wall_ms.cmp(&b.accepted_wall_ms))
        });
    }

    /// Reserves the room that becomes free under a team's limit for the team's production work that found no machine
    /// or no room.
    ///
    /// Otherwise the team's own work of lower priority would take all room that becomes free under the limit, on
    /// machines that the production work may not use. No machine is rented for work without room under the limit, so
    /// the production work would wait for as long as the work of lower priority lasts.
    pub(super) fn reserve_room_under_limits(
        &mut self,
        waiting: &mut Vec<WaitingJob>,
        room: &[Amounts],
        blocked_size_by_team: &BTreeMap<usize, Amounts>,
    ) {
        let mut room_left: BTreeMap<usize, Amounts> = BTreeMap::new();
        for (team, reserved) in blocked_size_by_team.iter().chain(&self.reserved_room) {
            if let Some(room) = room.get(*team) {
                let reduced = |i: usize| room.get(i).copied().unwrap_or(0.0) - reserved.get(i).copied().unwrap_or(0.0);
                room_left.insert(*team, [reduced(0), reduced(1), f64::MAX]);
            }
        }
        for w in waiting.iter_mut().filter(|w| w.priority < Priority::Prod) {
            let Some(room_left) = room_left.get_mut(&w.team) else {
                continue;
            };
            let Some(job) = self.jobs.get(&w.id) else { continue };
            let size = Self::task_resources(&job.spec);
            let fitting = count_fitting_tasks(&size, room_left);
            if job.spec.shape == Shape::Gang && fitting < w.tasks.len() {
                w.tasks.clear();
            }
            w.tasks.truncate(fitting);
            let taken = w.tasks.len() as f64;
            room_left.iter_mut().zip(size).for_each(|(l, s)| *l -= s * taken);
        }
        waiting.retain(|w| !w.tasks.is_empty());
    }
}
