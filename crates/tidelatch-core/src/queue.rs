//! The queues: one for each team, served in turn by shares, and the batches that are drawn from them.

mod emptying;
mod limits;
mod room;

use crate::capacity::UnplacedTasks;
use crate::controller::Controller;
use crate::ids::{JobId, MachineId, Partition, TaskId};
use crate::jobs::Job;
use crate::placement::{Amounts, Batch, JobTerms, Slot};
use crate::protocol::{JobSpec, Priority, Shape};
use crate::settings::Objective;
use limits::OverLimit;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// One team's claim in a round: what it uses, and the share by which it is served.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Claim {
    /// What it uses, in its guarantee's measure.
    pub used: f64,
    /// Its share.
    pub share: f64,
}

/// The team whose turn it is: the one that uses least for its share.
pub fn turn(claims: &[Claim], waiting: &[bool]) -> Option<usize> {
    (0..claims.len())
        .filter(|i| waiting.get(*i).copied().unwrap_or(false))
        .min_by(|a, b| {
            let of = |i: &usize| claims.get(*i).map_or(f64::MAX, |c| c.used / c.share.max(1e-9));
            of(a).total_cmp(&of(b))
        })
}

/// Boot times of the slowest type for which a new service keeps to the zones that are cheap for it.
const CHEAP_BOOTS: f64 = 2.0;

/// Users want even the largest jobs to begin within four minutes.
const BEGIN_WITHIN_S: f64 = 240.0;
/// Part of the time for starting after which a job that nothing has been started of comes first, so that
/// a machine can still boot and fetch an image; and where no objective names a time for its class.
const STARVED_PART: f64 = 0.75;
const STARVED_PART_UNNAMED: f64 = 0.375;

/// Part of the four minutes after which machines are kept for a gang, and for which they are.
const KEPT_PART: f64 = 0.25;

/// Age in seconds at which a job that nothing has been started of comes first, by the time within which
/// its class should start (0: none is named).
pub fn starved_s(within_s: f64, shape: Shape) -> f64 {
    if within_s > 0.0 && shape != Shape::Service {
        STARVED_PART * within_s.min(BEGIN_WITHIN_S)
    } else {
        STARVED_PART_UNNAMED * BEGIN_WITHIN_S
    }
}

/// What the run times of a class's tasks have taught about its estimates.
#[derive(Debug, Clone, Default)]
pub struct EstimateCorrections {
    /// By class: the sum of the logarithms of run time over estimate, and their number.
    ratios: BTreeMap<String, (f64, f64)>,
}

impl EstimateCorrections {
    /// Tasks that count before a class's estimates are corrected.
    const ENOUGH: f64 = 8.0;
    /// Weight of what was learned, in tasks: older ones fade beyond it.
    const MEMORY: f64 = 64.0;

    /// A task of a class has run for so long.
    pub fn note(&mut self, spec: &JobSpec, ran_s: f64) {
        if spec.estimate_s <= 0.0 || ran_s <= 0.0 {
            return;
        }
        let (sum, n) = self.ratios.entry(spec.class.clone()).or_default();
        let fade = if *n >= Self::MEMORY {
            1.0 - 1.0 / Self::MEMORY
        } else {
            1.0
        };
        *sum = *sum * fade + (ran_s / spec.estimate_s).ln().clamp(-2.0, 2.0);
        *n = *n * fade + 1.0;
    }

    /// The run time to expect of a job's tasks: its estimate, as corrected by what was learned.
    pub fn run_s(&self, spec: &JobSpec) -> f64 {
        match self.ratios.get(&spec.class) {
            Some((sum, n)) if *n >= Self::ENOUGH => spec.estimate_s * (sum / n).exp(),
            _ => spec.estimate_s,
        }
    }
}

/// How urgent work is, between 0 and 1, by the seconds until it has to be started to be in time.
///
/// What can be in time comes first, the tightest ahead; then what can be done by one and a half
/// deadlines; last what is late in any case, for it would only make others late as well.
///
/// Estimates are often wrong by half: what would be in time with half of its estimate counts as such.
///
/// `small` is between 0 and 1, and larger for jobs with little left to do: when more waits than can be in
/// time, room given to those makes more of their users content.
pub fn urgency(slack_s: f64, small: f64, spec: &JobSpec) -> f64 {
    const SCALE_S: f64 = 60.0;
    let within = |left_s: f64| 1.0 / (1.0 + left_s.min(1e9) / SCALE_S);
    let slack_s = slack_s + 0.5 * spec.estimate_s;
    let late_s = slack_s + 0.5 * spec.deadline_s.unwrap_or(0.0);
    if slack_s >= 0.0 {
        0.6 + 0.4 * small * within(slack_s)
    } else if late_s >= 0.0 {
        0.3 + 0.2 * small * within(late_s)
    } else {
        0.1 + 0.1 * small
    }
}

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

    fn collect(&mut self, partition: Partition, room: &[Amounts]) -> Queued {
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
        let learned = &self.learned;
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
                .map_or(f64::MAX, |d| d - age_s - learned.run_s(&job.spec));
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
                work_s: f64::from(job.waiting_count()) * learned.run_s(&job.spec),
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
    fn keep_room(&mut self, waiting: &mut Vec<Waiting>, room: &[Amounts], without_room: &BTreeMap<usize, Amounts>) {
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

    fn place_partition(&mut self, partition: Partition, budget: &mut usize) -> Vec<UnplacedTasks> {
        let teams = self.settings.platform.facts.teams.clone();
        let used = self.used_by_teams();
        let limits: Vec<Amounts> = teams
            .iter()
            .map(|t| {
                let cap = |v: f64| if v > 0.0 { v } else { f64::MAX };
                [cap(t.cpus_max), cap(t.gpus_max), f64::MAX]
            })
            .collect();
        let mut room: Vec<Amounts> = limits
            .iter()
            .zip(&used)
            .map(|(l, u)| [l[0] - u[0], l[1] - u[1], l[2]])
            .collect();
        let Queued { waiting, over_limit } = self.collect(partition, &room);
        if waiting.is_empty() && over_limit.is_empty() {
            return Vec::new();
        }
        // Machines without room for the smallest of what waits need not be looked at: most are full.
        let mut least = [f64::MAX; 3];
        for job in waiting.iter().filter_map(|w| self.jobs.get(&w.id)) {
            least
                .iter_mut()
                .zip(Self::size(&job.spec))
                .for_each(|(l, s)| *l = l.min(s));
        }
        let (ids, mut slots) = self.slots(partition, &least);
        let mut claims: Vec<Claim> = teams
            .iter()
            .enumerate()
            .map(|(i, t)| Claim {
                used: used.get(i).map_or(0.0, |u| self.measure(i, u)),
                share: if t.gpus > 0.0 || t.gpus_max > 0.0 {
                    t.gpus.max(0.5)
                } else {
                    t.cpus.max(1.0)
                },
            })
            .collect();
        let mut jobs: Vec<JobTerms> = waiting
            .iter()
            .filter_map(|w| {
                let mut terms = self.terms(&w.id, w.team, w.slack_s)?;
                terms.rank = f64::from(w.priority as u8) * 10.0 + w.urgency;
                Some(terms)
            })
            .collect();
        for (w, terms) in waiting.iter().zip(jobs.iter_mut()).filter(|(_, t)| t.gang) {
            self.bar_listed(&w.id, &ids, terms);
        }
        for (w, terms) in waiting.iter().zip(jobs.iter_mut()) {
            if self.has_failures(&w.id) {
                terms.barred.extend(self.failed_places(&w.id, &ids));
            }
        }
        if let Some((gang, machines)) = self.reserve(partition, &waiting, &jobs) {
            let kept: BTreeSet<usize> = (0..ids.len())
                .filter(|i| ids.get(*i).is_some_and(|m| machines.contains(m)))
                .collect();
            let priority = waiting.get(gang).map_or(Priority::Low, |w| w.priority);
            for (j, (w, terms)) in waiting.iter().zip(jobs.iter_mut()).enumerate() {
                if j != gang && w.priority <= priority {
                    terms.barred.extend(&kept);
                }
            }
        }
        let mut next = vec![0usize; waiting.len()];
        let mut stuck: BTreeSet<usize> = BTreeSet::new();
        let mut unplaced: Vec<(usize, u32)> = Vec::new();
        let size = self.settings.operator.batch_tasks as usize;
        loop {
            let batch = draw(&waiting, &mut next, &stuck, &mut claims, &jobs, size);
            if batch.is_empty() {
                break;
            }
            let tasks: Vec<usize> = batch.iter().map(|d| d.job).collect();
            let first: Vec<bool> = batch.iter().map(|d| d.guaranteed).collect();
            // The greedy pass looks at each machine once for each task; each move does so for one.
            let (n, width) = (tasks.len(), slots.len());
            let most = n * self.settings.operator.search_moves_per_task as usize;
            let moves = most.min(budget.saturating_sub(n * width) / width.max(1));
            *budget = budget.saturating_sub((n + moves) * width.max(4));
            self.evaluated += ((n + moves) * width) as u64;
            let choices = Batch::new(&mut slots, &mut jobs, &mut room, &tasks)
                .guaranteed_first(first)
                .place(moves);
            for (Drawn { job, index, .. }, choice) in batch.into_iter().zip(choices) {
                match choice.and_then(|c| ids.get(c)) {
                    Some(machine) => {
                        if let Some(w) = waiting.get(job) {
                            let task = TaskId {
                                job: w.id.clone(),
                                index,
                            };
                            self.book_start(&machine.clone(), task);
                        }
                    }
                    None => {
                        stuck.insert(job);
                        unplaced.push((job, index));
                    }
                }
            }
            if *budget == 0 {
                break;
            }
        }
        // Tasks of jobs that stuck wait too, even if no batch drew them; their room is limited.
        for (j, w) in waiting.iter().enumerate().filter(|(j, _)| stuck.contains(j)) {
            let from = next.get(j).copied().unwrap_or(0);
            unplaced.extend(w.tasks.iter().skip(from).map(|i| (j, *i)));
        }
        for (j, w) in waiting.iter().enumerate().filter(|(j, _)| stuck.contains(j)) {
            if let Some(terms) = jobs.get(j).filter(|_| w.priority >= Priority::Prod) {
                self.kept_room.entry(w.team).or_insert(terms.size);
            }
        }
        let mut wishes: BTreeMap<usize, UnplacedTasks> = BTreeMap::new();
        let mut needy: Vec<usize> = Vec::new();
        for (j, _) in &unplaced {
            let Some(terms) = jobs.get(*j) else { continue };
            // Beyond its team's limit more machines would not help.
            let Some(left) = room.get_mut(terms.team) else { continue };
            if !terms.size.iter().zip(left.iter()).all(|(s, l)| *s <= l + 1e-6) {
                continue;
            }
            left.iter_mut().zip(terms.size).for_each(|(l, s)| *l -= s);
            if !terms.gang {
                needy.push(*j);
            }
            let Some(w) = waiting.get(*j) else { continue };
            let zone = || self.gang_zone(terms, &slots);
            wishes
                .entry(*j)
                .or_insert_with(|| {
                    let mut wish = UnplacedTasks::new(partition, terms, w.priority >= Priority::Prod, w.slack_s);
                    wish.zone = wish.zone.or_else(zone);
                    wish
                })
                .count += 1;
        }
        let mut made = self.preempt(partition, &needy, &waiting, &jobs, &used);
        let limited = self.yield_under_limits(partition, &over_limit, &room, &mut made.yards);
        self.swap_replicas(partition, &made.stuck, &jobs, made.yards.unwrap_or_default());
        if *budget == 0 {
            // What found no machine rests for a while, so that the next slice gets to the others; its
            // wishes stand meanwhile.
            let until = self.now.ms + self.settings.batch_retry_ms();
            for j in stuck {
                if let Some(w) = waiting.get(j) {
                    self.resting.insert(w.id.clone(), (wishes.remove(&j), until));
                }
            }
        }
        wishes.into_values().chain(limited).collect()
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

    /// What a task costs an hour on the cheapest kind of machine that its job may use.
    fn cheapest(&self, spec: &JobSpec) -> f64 {
        let size = Self::size(spec);
        let mut best = f64::MAX;
        for t in &self.types {
            let fit = crate::capacity::room_for(&size, &[t.cpus, t.gpus, t.memory_gb]);
            let allowed = spec.models.as_ref().is_none_or(|m| m.contains(&t.name))
                && spec.zone.as_ref().is_none_or(|z| t.zones.contains(z));
            if fit > 0 && allowed {
                let price = if spec.spot { t.spot_price.min(t.price) } else { t.price };
                best = best.min(price / f64::from(fit));
            }
        }
        if best == f64::MAX { 0.0 } else { best }
    }

    /// The zones with a kind that is about as cheap for a job as the cheapest; none if all zones are, or
    /// if the cloud has none of it at present.
    fn cheap_zones(&self, spec: &JobSpec, cheapest: f64) -> Vec<String> {
        let size = Self::size(spec);
        let mut cheap: BTreeSet<&String> = BTreeSet::new();
        let mut all: BTreeSet<&String> = BTreeSet::new();
        for t in &self.types {
            let fit = crate::capacity::room_for(&size, &[t.cpus, t.gpus, t.memory_gb]);
            if fit == 0 || !spec.models.as_ref().is_none_or(|m| m.contains(&t.name)) {
                continue;
            }
            all.extend(&t.zones);
            for zone in &t.zones {
                let kind = (t.name.clone(), zone.clone(), false);
                if t.price / f64::from(fit) < 1.2 * cheapest && !self.cloud.is_refused(&kind, self.now.ms) {
                    cheap.insert(zone);
                }
            }
        }
        if cheap.len() == all.len() || spec.zone.is_some() || spec.spot {
            return Vec::new();
        }
        cheap.into_iter().cloned().collect()
    }

    fn terms(&self, id: &JobId, team: usize, slack_s: f64) -> Option<JobTerms> {
        let job = self.jobs.get(id)?;
        let mut in_zone = BTreeMap::new();
        for machines in job.placed.values() {
            for m in machines.iter().filter_map(|m| self.machines.get(m)) {
                *in_zone.entry(m.zone.clone()).or_insert(0) += 1;
            }
        }
        let spec = &job.spec;
        let urgency = urgency(slack_s, 1.0, spec);
        let age_s = self.now.wall_ms.saturating_sub(job.at_wall) as f64 / 1000.0;
        let most_per_zone = spec.spread.then(|| spec.tasks.div_ceil(2));
        let cheapest = self.cheapest(spec);
        // For as long as machines rented for it take to boot; after that, any room is better than none.
        let boot_s = self.types.iter().map(|t| t.boot_s).fold(0.0, f64::max);
        let cheap_zones = match most_per_zone {
            Some(_) if spec.shape == Shape::Service && age_s < CHEAP_BOOTS * boot_s => self.cheap_zones(spec, cheapest),
            _ => Vec::new(),
        };
        let there = most_per_zone.unwrap_or(0).saturating_mul(cheap_zones.len() as u32);
        Some(JobTerms {
            cheap_zones,
            most_elsewhere: spec.tasks.saturating_sub(there),
            size: Self::size(spec),
            models: spec.models.clone(),
            zone: spec.zone.clone(),
            one_zone: spec.one_zone,
            most_per_zone,
            shunned: job
                .shunned
                .as_ref()
                .filter(|(_, until)| self.now.ms < *until)
                .map(|(z, _)| z.clone()),
            spot: spec.spot,
            image: spec.image.clone(),
            image_gb: spec.image_gb,
            guaranteed: self.guaranteed.contains(id),
            deadline_s: spec.deadline_s.unwrap_or(0.0),
            estimate_s: self.learned.run_s(spec),
            rank: f64::from(spec.priority as u8) * 10.0 + urgency,
            service: spec.shape == Shape::Service,
            gang: spec.shape == Shape::Gang,
            barred: BTreeSet::new(),
            within_s: self.wait_s(id),
            cheapest,
            wait_left_s: (self.wait_s(id) - age_s).max(0.0),
            in_zone,
            team,
        })
    }

    /// Machines that are kept for a gang which waits for too long: small jobs would else take what becomes
    /// free, task by task, and it would never find room for all of its tasks at one moment.
    ///
    /// One gang of a partition at a time, the one that has waited longest, and by turns: for as long again
    /// what is kept goes to others, so that a gang that never fits does not hold them up for ever.
    fn reserve(
        &self,
        partition: Partition,
        waiting: &[Waiting],
        jobs: &[JobTerms],
    ) -> Option<(usize, BTreeSet<MachineId>)> {
        let waits = |w: &Waiting| self.now.wall_ms.saturating_sub(w.at) / (1000.0 * KEPT_PART * BEGIN_WITHIN_S) as u64;
        let gangs = (0..waiting.len()).filter(|j| jobs.get(*j).is_some_and(|t| t.gang && t.in_zone.is_empty()));
        let longest = gangs.min_by_key(|j| waiting.get(*j).map_or(u64::MAX, |w| w.at))?;
        let (w, terms) = waiting.get(longest).zip(jobs.get(longest))?;
        if waits(w) % 2 == 0 {
            return None;
        }
        // Room that is free, or that tasks hold which end by themselves and do not come before it.
        let mut by_zone: BTreeMap<&str, Vec<(u32, &MachineId)>> = BTreeMap::new();
        for (id, m) in self.machines.iter().filter(|(_, m)| m.partition == partition) {
            let usable =
                m.usable(self.now.ms, 3 * self.settings.report_ms()) && terms.admits(&m.model, &m.zone, m.spot);
            let Some(t) = self.types.iter().find(|t| t.name == m.model).filter(|_| usable) else {
                continue;
            };
            let mut room = [t.cpus, t.gpus, t.memory_gb];
            for h in &m.held {
                let job = self.jobs.get(&h.task.job);
                let leaves = job.is_some_and(|j| j.spec.shape != Shape::Service && j.spec.priority <= w.priority);
                if !leaves {
                    room.iter_mut().zip(h.size).for_each(|(r, s)| *r -= s);
                }
            }
            let zone = if terms.one_zone { m.zone.as_str() } else { "" };
            let fit = crate::capacity::room_for(&terms.size, &room);
            by_zone.entry(zone).or_default().push((fit, id));
        }
        let tasks = w.tasks.len() as u32;
        let mut kept: Option<BTreeSet<MachineId>> = None;
        for list in by_zone.values_mut() {
            list.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(b.1)));
            let mut sum = 0;
            let enough = list.iter().take_while(|(fit, _)| {
                let more = sum < tasks && *fit > 0;
                sum += fit;
                more
            });
            let machines: BTreeSet<MachineId> = enough.map(|(_, id)| (*id).clone()).collect();
            if sum >= tasks && kept.as_ref().is_none_or(|k| machines.len() < k.len()) {
                kept = Some(machines);
            }
        }
        Some((longest, kept?))
    }

    /// Machines that list a gang's attempt in some state: another start of it there would have no effect.
    fn bar_listed(&self, id: &JobId, ids: &[MachineId], terms: &mut JobTerms) {
        let Some(job) = self.jobs.get(id).filter(|j| !j.placed.is_empty()) else {
            return;
        };
        let Some(gang) = job.gang else { return };
        for (at, machine) in ids.iter().enumerate() {
            if self.machines.get(machine).is_some_and(|m| m.lists(id, gang.attempt)) {
                terms.barred.insert(at);
            }
        }
    }

    /// The zone for which machines are wanted for a gang that has to be in one: where least is missing, of
    /// those that the cloud has machines in.
    fn gang_zone(&self, terms: &JobTerms, slots: &[Slot]) -> Option<String> {
        if !terms.gang || !terms.one_zone || terms.in_zone.values().any(|n| *n > 0) {
            return None;
        }
        let mut best: Option<(bool, u32, &String)> = None;
        for zone in &self.settings.platform.facts.zones {
            let fits = |t: &&crate::protocol::MachineType| {
                crate::capacity::room_for(&terms.size, &[t.cpus, t.gpus, t.memory_gb]) > 0
                    && terms.admits(&t.name, zone, false)
                    && t.zones.contains(zone)
            };
            let mut kinds = self.types.iter().filter(fits).peekable();
            if kinds.peek().is_none() {
                continue;
            }
            let rentable = kinds.any(|t| {
                let kind = (t.name.clone(), zone.clone(), false);
                !self.cloud.is_refused(&kind, self.now.ms)
            });
            let here = slots
                .iter()
                .filter(|s| s.zone == *zone && terms.admits(&s.model, zone, s.spot));
            let room = here.map(|s| crate::capacity::room_for(&terms.size, &s.free)).sum();
            if best.is_none_or(|(r, n, _)| (rentable, room) > (r, n)) {
                best = Some((rentable, room, zone));
            }
        }
        best.map(|(_, _, zone)| zone.clone())
    }

    fn slots(&self, partition: Partition, least: &Amounts) -> (Vec<MachineId>, Vec<Slot>) {
        let patience = 3 * self.settings.report_ms();
        let mut ids = Vec::new();
        let mut slots = Vec::new();
        for (id, m) in &self.machines {
            if m.partition != partition || !m.usable(self.now.ms, patience) {
                continue;
            }
            let Some(t) = self.types.iter().find(|t| t.name == m.model) else {
                continue;
            };
            let total = [t.cpus, t.gpus, t.memory_gb];
            let mut free = total;
            free.iter_mut().zip(m.taken()).for_each(|(f, u)| *f -= u);
            if least.iter().zip(free).any(|(l, f)| *l > f + 1e-6) {
                continue;
            }
            let mut images: BTreeSet<String> = m.images.iter().map(|(i, _)| i.clone()).collect();
            images.extend(
                m.held
                    .iter()
                    .filter_map(|h| self.jobs.get(&h.task.job))
                    .map(|j| j.spec.image.clone()),
            );
            ids.push(id.clone());
            slots.push(Slot {
                model: m.model.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
                free,
                total,
                images,
                fetch_s_per_gb: 1.0 / t.fetch_gb_per_s.max(1e-3),
                boot_s: t.boot_s,
                doubts: m.failures.len() as f64,
                price: if m.spot { t.spot_price } else { t.price },
            });
        }
        (ids, slots)
    }
}

/// Time within which tasks of a class should start, by the objectives; 0 if none says so.
fn start_within(objectives: &[Objective], class: &str) -> f64 {
    let of_class = objectives
        .iter()
        .filter(|o| o.kind == "wait" && o.class.as_deref() == Some(class));
    of_class.filter_map(|o| o.within_s).reduce(f64::min).unwrap_or(0.0)
}

/// A task drawn for a batch.
struct Drawn {
    job: usize,
    index: u32,
    /// Within its team's guarantee, with all that the team uses and what was drawn before.
    guaranteed: bool,
}

/// Draws one batch: by priority, and within one by turns of the teams.
fn draw(
    waiting: &[Waiting],
    next: &mut [usize],
    stuck: &BTreeSet<usize>,
    claims: &mut [Claim],
    jobs: &[JobTerms],
    most: usize,
) -> Vec<Drawn> {
    let mut batch = Vec::new();
    for priority in [Priority::Prod, Priority::Urgent, Priority::Normal, Priority::Low] {
        // Each team's jobs in their order, so that a draw does not go through all that waits.
        let mut queues: Vec<VecDeque<usize>> = vec![VecDeque::new(); claims.len()];
        let mut teams = vec![false; claims.len()];
        for (j, w) in waiting.iter().enumerate() {
            let left = next.get(j).is_some_and(|n| *n < w.tasks.len());
            if w.priority == priority
                && left
                && !stuck.contains(&j)
                && let Some((queue, ready)) = queues.get_mut(w.team).zip(teams.get_mut(w.team))
            {
                queue.push_back(j);
                *ready = true;
            }
        }
        while batch.len() < most {
            let Some(team) = turn(claims, &teams) else { break };
            let Some(queue) = queues.get_mut(team) else { break };
            let Some(j) = queue.front().copied() else { break };
            let (Some(w), Some(n)) = (waiting.get(j), next.get_mut(j)) else {
                break;
            };
            // A gang enters a batch whole, even past its size.
            let whole = jobs.get(j).is_some_and(|t| t.gang);
            let taken = if whole { w.tasks.len() - *n } else { 1 };
            let first = *n;
            *n += taken;
            if *n >= w.tasks.len() {
                queue.pop_front();
                if let Some(ready) = teams.get_mut(team).filter(|_| queue.is_empty()) {
                    *ready = false;
                }
            }
            let Some((c, job)) = claims.get_mut(team).zip(jobs.get(j)) else {
                break;
            };
            for index in w.tasks.iter().skip(first).take(taken).copied() {
                c.used += if job.size[1] > 0.0 { job.size[1] } else { job.size[0] };
                batch.push(Drawn {
                    job: j,
                    index,
                    guaranteed: c.used <= c.share + 1e-6,
                });
            }
        }
    }
    batch
}
