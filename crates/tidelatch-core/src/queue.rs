//! The queues: one for each team, served in turn by shares, and the batches that are drawn from them.

mod collecting;
mod drawing;
mod emptying;
mod limits;
mod placing;
mod preemption;
mod ranking;
mod spreading;
mod victims;
mod warm_room;

pub use ranking::{Claim, EstimateCorrections, next_in_turn, starved_s, urgency};

use crate::controller::Controller;
use crate::ids::{JobId, Partition};
use crate::jobs::Job;
use crate::placement::Amounts;
use crate::protocol::Priority;
use limits::OverLimit;
use ranking::start_within;
use std::collections::{BTreeMap, BTreeSet};

/// A job that waits, as the queue sees it.
struct Waiting {
    id: JobId,
    team: usize,
    priority: Priority,
    /// Seconds until it has to be started to be in time; services and jobs without deadline: none.
    slack_s: f64,
    /// What it has left to start, in seconds of run time, and how small that is among what waits.
    work_s: f64,
    small: f64,
    /// Nothing of it has been started for long.
    starved: bool,
    urgency: f64,
    at: u64,
    tasks: Vec<u32>,
}

/// What a partition has to place.
#[derive(Default)]
struct Queued {
    /// Jobs with tasks that have room under their teams' limits.
    waiting: Vec<Waiting>,
    /// Production jobs that have none, the longest waiting first.
    over_limit: Vec<OverLimit>,
}

impl Controller {
    /// Something may be placed that could not be before: a batch closes after the usual wait.
    pub(crate) fn want_batch(&mut self) {
        let due = self.now.ms + self.settings.batch_wait_ms();
        self.batch_due = Some(self.batch_due.map_or(due, |d| d.min(due)));
    }

    pub(crate) fn tick_batch(&mut self) {
        let full = self.settings.operator.batch_tasks;
        let due = match self.batch_due {
            Some(due) => self.now.ms >= due || self.fresh_tasks() >= full,
            None => false,
        };
        if due {
            self.run_batch();
        }
    }

    fn fresh_tasks(&self) -> u32 {
        self.jobs
            .values()
            .filter(|j| j.placed.is_empty() && self.tenures.contains_key(&j.partition))
            .map(|j| j.waiting_count())
            .sum()
    }

    fn measure(&self, team: usize, size: &Amounts) -> f64 {
        match self.settings.platform.facts.teams.get(team) {
            Some(t) if t.gpus > 0.0 || t.gpus_max > 0.0 => size[1],
            _ => size[0],
        }
    }

    /// What each team's tasks take, those that may still be somewhere included.
    pub(crate) fn used_by_teams(&self) -> Vec<Amounts> {
        let teams = &self.settings.platform.facts.teams;
        let mut used = vec![[0.0; 3]; teams.len()];
        let index: BTreeMap<&str, usize> = teams.iter().enumerate().map(|(i, t)| (t.name.as_str(), i)).collect();
        for m in self.machines.values() {
            for h in &m.held {
                if let Some(u) = index.get(h.team.as_str()).and_then(|i| used.get_mut(*i)) {
                    u.iter_mut().zip(h.size).for_each(|(u, s)| *u += s);
                }
            }
            // Until it has reported, a machine that was taken over may be full of any one team.
            let unknown = |p: Partition| {
                (p == m.partition && !m.confirmed && m.may_hold()) || (m.unaccounted.contains(&p) && !m.gone)
            };
            if (!m.confirmed || !m.unaccounted.is_empty())
                && let Some(t) = self.types.iter().find(|t| t.name == m.model)
            {
                for (i, u) in used.iter_mut().enumerate() {
                    if unknown(Partition(i as u32 % self.settings.partitions())) {
                        u.iter_mut()
                            .zip([t.cpus, t.gpus, t.memory_gb])
                            .for_each(|(u, s)| *u += s);
                    }
                }
            }
        }
        used
    }

    /// Draws batches from the queues and places them, until nothing more can be placed.
    pub(crate) fn run_batch(&mut self) {
        self.batch_due = None;
        let acting = self.acting_partitions();
        if !self.entitled() {
            return;
        }
        let now = self.now.ms;
        self.guaranteed = self.within_guarantees();
        self.resting.retain(|_, (_, until)| now < *until);
        let mut wishes = Vec::new();
        let mut budget = self.settings.search_evaluations();
        for partition in acting {
            wishes.extend(self.place_partition(partition, &mut budget));
        }
        wishes.extend(self.resting.values().filter_map(|(wish, _)| wish.clone()));
        self.cloud.wishes = wishes;
        if budget == 0 {
            // The rest goes on in the next slice: beats and polls come first.
            self.want_batch();
        }
        let waits = self
            .jobs
            .values()
            .any(|j| self.tenures.contains_key(&j.partition) && j.waiting_count() > 0);
        if waits {
            let due = self.now.ms + self.settings.batch_retry_ms();
            self.batch_due = Some(self.batch_due.map_or(due, |d| d.min(due)));
        }
    }

    /// The jobs that fit into their teams' guarantees, each along with its team's earlier unfinished jobs.
    fn within_guarantees(&self) -> BTreeSet<JobId> {
        let mut earlier: Vec<(u64, &JobId, &Job)> = self.jobs.iter().map(|(id, j)| (j.at_wall, id, j)).collect();
        earlier.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)));
        let mut sums: BTreeMap<&str, [f64; 2]> = BTreeMap::new();
        let mut within = BTreeSet::new();
        for (_, id, j) in earlier {
            let Some((_, team)) = self.settings.team(&j.spec.team) else {
                continue;
            };
            let sum = sums.entry(j.spec.team.as_str()).or_default();
            let left = f64::from(j.spec.tasks - j.done_count);
            sum[0] += left * j.spec.cpus;
            sum[1] += left * j.spec.gpus;
            if (team.cpus <= 0.0 || sum[0] <= team.cpus + 1e-6) && (team.gpus <= 0.0 || sum[1] <= team.gpus + 1e-6) {
                within.insert(id.clone());
            }
        }
        within
    }

    /// Time within which tasks of a job's class should start, by the objectives; 0 if none says so.
    fn wait_s(&self, id: &JobId) -> f64 {
        let class = self.jobs.get(id).map_or("", |j| j.spec.class.as_str());
        start_within(&self.settings.platform.facts.objectives, class)
    }
}
