//! Queues of waiting jobs, one per team, and the batches of tasks that are selected from them by fair share.

mod batch_placement;
mod batch_selection;
mod cached_image_preemption;
mod consolidation;
mod eligible_jobs;
mod limit_preemption;
mod preemption;
mod ranking;
mod replica_moves;
mod victims;

pub use ranking::{EstimateCorrections, TeamUsage, choose_next_team, starvation_age_s, urgency};

use crate::controller::Controller;
use crate::ids::{JobId, Partition};
use crate::jobs::Job;
use crate::placement::Amounts;
use crate::protocol::Priority;
use limit_preemption::JobBlockedByLimit;
use ranking::class_start_objective_s;
use std::collections::{BTreeMap, BTreeSet};

/// A waiting job with the values by which it is ordered.
struct WaitingJob {
    id: JobId,
    /// Index of its team.
    team: usize,
    priority: Priority,
    /// Seconds until it must start to meet its deadline; `f64::MAX` for services and jobs without a deadline.
    slack_s: f64,
    /// Run time of the tasks it has left to start, in seconds.
    remaining_work_s: f64,
    /// Between 0 and 1; larger for jobs with less remaining work than the mean of all waiting jobs.
    short_job_factor: f64,
    /// None of its tasks has started for longer than [`starvation_age_s`] allows.
    is_starved: bool,
    /// See [`urgency`].
    urgency: f64,
    /// Time of acceptance, wall clock, in milliseconds.
    accepted_wall_ms: u64,
    /// Indices of the tasks that the next batches may place.
    tasks: Vec<u32>,
}

/// The jobs of a partition that wait for placement.
#[derive(Default)]
struct PartitionQueue {
    /// Jobs with tasks that have room under their team's limit, in placement order.
    waiting: Vec<WaitingJob>,
    /// Production jobs whose next task has no room under its team's limit, the longest waiting first.
    blocked_jobs: Vec<JobBlockedByLimit>,
}

impl Controller {
    /// Schedules a placement batch after the usual batching delay, unless one is due earlier. Called when something
    /// may be placed that could not be placed before.
    pub(crate) fn schedule_batch(&mut self) {
        let due = self.now.ms + self.settings.batch_wait_ms();
        self.batch_due_ms = Some(self.batch_due_ms.map_or(due, |d| d.min(due)));
    }

    /// Runs a batch if it is due, or early if enough tasks of unstarted jobs for a full batch wait.
    pub(crate) fn run_due_batch(&mut self) {
        let full_batch_tasks = self.settings.operator.batch_tasks;
        let is_due = match self.batch_due_ms {
            Some(due) => self.now.ms >= due || self.count_tasks_of_unstarted_jobs() >= full_batch_tasks,
            None => false,
        };
        if is_due {
            self.run_batch();
        }
    }

    /// Number of waiting tasks of jobs of this controller of which no task is placed yet.
    fn count_tasks_of_unstarted_jobs(&self) -> u32 {
        self.jobs
            .values()
            .filter(|j| j.placed.is_empty() && self.tenures.contains_key(&j.partition))
            .map(|j| j.waiting_count())
            .sum()
    }

    /// Amount in the unit in which a team's usage is accounted: accelerators if the team has a guarantee or a limit of
    /// accelerators, else CPUs.
    fn amount_in_team_unit(&self, team: usize, size: &Amounts) -> f64 {
        match self.settings.platform.facts.teams.get(team) {
            Some(t) if t.gpus > 0.0 || t.gpus_max > 0.0 => size[1],
            _ => size[0],
        }
    }

    /// Resources that the tasks of each team use, including tasks that may still be on a machine.
    pub(crate) fn usage_by_team(&self) -> Vec<Amounts> {
        let teams = &self.settings.platform.facts.teams;
        let mut used = vec![[0.0; 3]; teams.len()];
        let index: BTreeMap<&str, usize> = teams.iter().enumerate().map(|(i, t)| (t.name.as_str(), i)).collect();
        for m in self.machines.values() {
            for h in &m.held {
                if let Some(u) = index.get(h.team.as_str()).and_then(|i| used.get_mut(*i)) {
                    u.iter_mut().zip(h.size).for_each(|(u, s)| *u += s);
                }
            }
            // A machine that was taken over and has not reported yet counts as full for each team of the partition: it
            // may run tasks of any of them. The same holds for other partitions whose tasks may still run on it.
            let may_be_full_for = |p: Partition| {
                (p == m.partition && !m.is_confirmed && m.may_hold_older_tasks())
                    || (m.unaccounted_partitions.contains(&p) && !m.is_deleted)
            };
            if (!m.is_confirmed || !m.unaccounted_partitions.is_empty())
                && let Some(t) = self.machine_types.iter().find(|t| t.name == m.model)
            {
                for (i, u) in used.iter_mut().enumerate() {
                    // Teams are assigned to partitions in turn, by index.
                    if may_be_full_for(Partition(i as u32 % self.settings.partitions())) {
                        u.iter_mut()
                            .zip([t.cpus, t.gpus, t.memory_gb])
                            .for_each(|(u, s)| *u += s);
                    }
                }
            }
        }
        used
    }

    /// Selects batches from the queues of all partitions of this controller and places them, until nothing more can be
    /// placed or the search budget is used up. The budget is a number of evaluations of one machine for one task.
    pub(crate) fn run_batch(&mut self) {
        self.batch_due_ms = None;
        let acting = self.active_partitions();
        if !self.is_entitled() {
            return;
        }
        let now = self.now.ms;
        self.jobs_within_guarantee = self.jobs_within_guarantees();
        self.postponed_jobs.retain(|_, (_, until)| now < *until);
        let mut unplaced_tasks = Vec::new();
        let mut evaluations_left = self.settings.search_evaluations();
        for partition in acting {
            unplaced_tasks.extend(self.place_partition(partition, &mut evaluations_left));
        }
        unplaced_tasks.extend(self.postponed_jobs.values().filter_map(|(tasks, _)| tasks.clone()));
        self.capacity.unplaced_tasks = unplaced_tasks;
        if evaluations_left == 0 {
            // The rest is placed in the next batch, so that heartbeats and polls are not delayed.
            self.schedule_batch();
        }
        let has_waiting_tasks = self
            .jobs
            .values()
            .any(|j| self.tenures.contains_key(&j.partition) && j.waiting_count() > 0);
        if has_waiting_tasks {
            let due = self.now.ms + self.settings.batch_retry_ms();
            self.batch_due_ms = Some(self.batch_due_ms.map_or(due, |d| d.min(due)));
        }
    }

    /// Jobs that fit into their team's guarantee together with all unfinished jobs that the team submitted earlier.
    fn jobs_within_guarantees(&self) -> BTreeSet<JobId> {
        let mut jobs_by_age: Vec<(u64, &JobId, &Job)> =
            self.jobs.iter().map(|(id, j)| (j.accepted_wall_ms, id, j)).collect();
        jobs_by_age.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)));
        let mut unfinished_by_team: BTreeMap<&str, [f64; 2]> = BTreeMap::new();
        let mut job_ids = BTreeSet::new();
        for (_, id, j) in jobs_by_age {
            let Some((_, team)) = self.settings.team(&j.spec.team) else {
                continue;
            };
            let sum = unfinished_by_team.entry(j.spec.team.as_str()).or_default();
            let unfinished_tasks = f64::from(j.spec.tasks - j.done_count);
            sum[0] += unfinished_tasks * j.spec.cpus;
            sum[1] += unfinished_tasks * j.spec.gpus;
            if (team.cpus <= 0.0 || sum[0] <= team.cpus + 1e-6) && (team.gpus <= 0.0 || sum[1] <= team.gpus + 1e-6) {
                job_ids.insert(id.clone());
            }
        }
        job_ids
    }

    /// Seconds within which tasks of the job's class should start according to the objectives; 0 without such an
    /// objective.
    fn job_start_objective_s(&self, id: &JobId) -> f64 {
        let class = self.jobs.get(id).map_or("", |j| j.spec.class.as_str());
        class_start_objective_s(&self.settings.platform.facts.objectives, class)
    }
}
