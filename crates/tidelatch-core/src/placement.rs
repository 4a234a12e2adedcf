//! Placing one batch jointly: hard filters, a greedy pass by largest task, then moves and swaps.
//!
//! Pure functions over a snapshot. What a task wants and what a machine has are given; what comes
//! back is which task goes where.

use std::collections::{BTreeMap, BTreeSet};

/// Processors, accelerators, memory.
pub type Amounts = [f64; 3];

const SLACK: f64 = 1e-6;

fn fits(size: &Amounts, room: &Amounts) -> bool {
    size.iter().zip(room).all(|(s, r)| *s <= r + SLACK)
}

/// How many of a size fit into an amount.
fn most_of(size: &Amounts, total: &Amounts) -> f64 {
    let each = size.iter().zip(total).filter(|(s, _)| **s > 0.0);
    each.map(|(s, t)| ((t + SLACK) / s).floor()).fold(f64::MAX, f64::min)
}

/// Weight of a machine's price for services, which stay.
const DEAR_SERVICE: f64 = 2.0;
/// Weight of a machine's price for arrays, which leave soon.
const DEAR_ARRAY: f64 = 1.5;
/// What starting takes beside the fetch.
const FETCH_MARGIN_S: f64 = 0.5;

fn take(room: &mut Amounts, size: &Amounts) {
    room.iter_mut().zip(size).for_each(|(r, s)| *r -= s);
}

fn give(room: &mut Amounts, size: &Amounts) {
    room.iter_mut().zip(size).for_each(|(r, s)| *r += s);
}

/// A machine with its free room.
#[derive(Debug, Clone)]
pub struct Slot {
    /// Type.
    pub model: String,
    /// Zone.
    pub zone: String,
    /// Spot machine.
    pub spot: bool,
    /// Room that is free, all bookings taken off.
    pub free: Amounts,
    /// Room in all.
    pub total: Amounts,
    /// Images that it has or is fetching.
    pub images: BTreeSet<String>,
    /// Seconds to fetch a gigabyte.
    pub fetch_s_per_gb: f64,
    /// Seconds that its type takes to boot.
    pub boot_s: f64,
    /// What it costs an hour.
    pub price: f64,
    /// How many jobs have failed on it lately.
    pub doubts: f64,
}

/// What the tasks of one job have in common.
#[derive(Debug, Clone)]
pub struct JobTerms {
    /// What each task takes.
    pub size: Amounts,
    /// Allowed types.
    pub models: Option<Vec<String>>,
    /// The only allowed zone.
    pub zone: Option<String>,
    /// All tasks in one zone.
    pub one_zone: bool,
    /// Most tasks in one zone.
    pub most_per_zone: Option<u32>,
    /// Zones with the cheapest kind, and how many tasks may be in other ones; none: no such limit. What
    /// only those other zones can take is left to whom spreading leaves nothing else.
    pub cheap_zones: Vec<String>,
    /// See `cheap_zones`.
    pub most_elsewhere: u32,
    /// A zone that it has just left for others, and does not come back to yet.
    pub shunned: Option<String>,
    /// May use spot machines.
    pub spot: bool,
    /// Image.
    pub image: String,
    /// Its size.
    pub image_gb: f64,
    /// Within its team's guarantee, together with the team's earlier jobs.
    pub guaranteed: bool,
    /// Seconds from submission to deadline; 0: none.
    pub deadline_s: f64,
    /// Estimated run time; 0 for services.
    pub estimate_s: f64,
    /// Rank by priority, deadline and share: higher first.
    pub rank: f64,
    /// A service: its replicas are better apart.
    pub service: bool,
    /// A gang: all its tasks find machines, or none does.
    pub gang: bool,
    /// Places of machines that may not take it.
    pub barred: BTreeSet<usize>,
    /// Seconds within which its class should start, by the objectives; 0: none is named.
    pub within_s: f64,
    /// What a task costs an hour on the cheapest machine that would take it, full of its like; 0: unknown.
    pub cheapest: f64,
    /// Seconds left within which it should start, by the objectives of its class.
    pub wait_left_s: f64,
    /// Tasks now in each zone, uncertain ones included.
    pub in_zone: BTreeMap<String, u32>,
    /// Its team's place.
    pub team: usize,
}

impl JobTerms {
    fn elsewhere(&self) -> u32 {
        let dear = self.in_zone.iter().filter(|(z, _)| !self.cheap_zones.contains(z));
        dear.map(|(_, n)| n).sum()
    }

    /// Hard filters that do not depend on room.
    pub fn admits(&self, model: &str, zone: &str, spot: bool) -> bool {
        (self.spot || !spot)
            && self.models.as_ref().is_none_or(|m| m.iter().any(|x| x == model))
            && self.zone.as_ref().is_none_or(|z| z == zone)
            && self.shunned.as_ref().is_none_or(|z| z != zone)
            && (!self.one_zone || self.in_zone.iter().all(|(z, n)| *n == 0 || z == zone))
            && (self.cheap_zones.is_empty()
                || self.cheap_zones.iter().any(|z| z == zone)
                || self.elsewhere() < self.most_elsewhere)
            && self
                .most_per_zone
                .is_none_or(|most| self.in_zone.get(zone).copied().unwrap_or(0) < most)
    }
}

/// Result for one task of a batch: the machine's place, or none.
pub type Choice = Option<usize>;

/// A batch being placed.
pub struct Batch<'a> {
    slots: &'a mut [Slot],
    jobs: &'a mut [JobTerms],
    /// Room left under each team's limit.
    teams: &'a mut [Amounts],
    /// The job of each task.
    tasks: &'a [usize],
    guaranteed: Vec<bool>,
    choice: Vec<Choice>,
}

impl<'a> Batch<'a> {
    /// A batch over a snapshot.
    pub fn new(slots: &'a mut [Slot], jobs: &'a mut [JobTerms], teams: &'a mut [Amounts], tasks: &'a [usize]) -> Self {
        let choice = vec![None; tasks.len()];
        Self {
            slots,
            jobs,
            teams,
            tasks,
            guaranteed: Vec::new(),
            choice,
        }
    }

    /// Of tasks of one priority, those within their team's guarantee come first. Whoever stops others
    /// to get its guarantee must also get the room that this makes, or they would stop each other in
    /// turns.
    pub fn guaranteed_first(mut self, guaranteed: Vec<bool>) -> Self {
        self.guaranteed = guaranteed;
        self
    }

    fn can(&self, task: usize, at: usize) -> bool {
        let (Some(job), Some(slot)) = (self.tasks.get(task).and_then(|j| self.jobs.get(*j)), self.slots.get(at)) else {
            return false;
        };
        fits(&job.size, &slot.free)
            && !job.barred.contains(&at)
            && self.teams.get(job.team).is_some_and(|room| fits(&job.size, room))
            && job.admits(&slot.model, &slot.zone, slot.spot)
    }

    /// Soft terms, each between 0 and 1 times its weight.
    fn score(&self, task: usize, slot: usize) -> f64 {
        let (Some(job), Some(slot)) = (
            self.tasks.get(task).and_then(|j| self.jobs.get(*j)),
            self.slots.get(slot),
        ) else {
            return 0.0;
        };
        let fetch_s = if slot.images.contains(&job.image) {
            0.0
        } else {
            job.image_gb * slot.fetch_s_per_gb
        };
        // A long fetch costs as much as it delays: one as long as a boot outweighs all else.
        let image = -fetch_s / slot.boot_s.max(1.0);
        // Full machines first, so that others run empty and can be returned.
        let mut used = 0.0;
        let mut parts: f64 = 0.0;
        for ((free, total), size) in slot.free.iter().zip(slot.total).zip(job.size) {
            if total > 0.0 && size > 0.0 {
                used += 1.0 - (free - size).max(0.0) / total;
                parts += 1.0;
            }
        }
        let packing = used / parts.max(1.0);
        let apart = if job.service {
            1.0 / (1.0 + f64::from(job.in_zone.get(&slot.zone).copied().unwrap_or(0)))
        } else {
            0.0
        };
        // A kind that costs this job a multiple of what another does is left to those who need it.
        // Small machines that take one replica each are often the only ones that a zone has.
        let dear = if job.cheapest > 0.0 {
            let fit = most_of(&job.size, &slot.total).max(1.0);
            (slot.price / fit / job.cheapest - 1.0).clamp(0.0, 1.0)
        } else {
            0.0
        };
        let dear = dear * if job.service { DEAR_SERVICE } else { DEAR_ARRAY };
        // An image that takes longer to fetch than the class may wait decides.
        let missed = job.wait_left_s > 0.0 && fetch_s > 0.0 && fetch_s + FETCH_MARGIN_S > job.wait_left_s;
        let missed = if missed { 2.0 } else { 0.0 };
        // Accelerators are wasted on tasks that need none, and more so if what is left beside them is too
        // little for tasks that do.
        let waste = if job.size[1] == 0.0 && slot.total[1] > 0.0 {
            let left = |i: usize| (slot.free[i] - job.size[i]) / slot.total[i].max(1e-9);
            let idle = slot.free[1] / slot.total[1];
            idle + 2.0 * (idle - left(0).min(left(2))).max(0.0)
        } else {
            0.0
        };
        // The last task to have its image sets a gang's start, and the slowest machine its pace.
        let gang = if job.gang {
            let late = if job.within_s > 0.0 {
                3.0 * fetch_s / job.within_s
            } else {
                0.0
            };
            late.min(3.0) + 3.0 * slot.doubts
        } else {
            0.0
        };
        2.0 * image + 1.5 * packing + 0.5 * apart - dear - waste - missed - gang
    }

    /// Finds machines for all of a gang's tasks, or boot batches none. If they have to be in one zone, each zone is
    /// tried, and the one with the highest sum is taken.
    fn place_gang(&mut self, tasks: &[usize]) -> bool {
        let Some(job) = tasks.first().and_then(|t| self.tasks.get(*t)).copied() else {
            return false;
        };
        let Some(terms) = self.jobs.get(job) else { return false };
        let size = terms.size;
        let mut zones: Vec<Option<String>> = vec![None];
        if terms.one_zone {
            let all: BTreeSet<&String> = self.slots.iter().map(|s| &s.zone).collect();
            zones = all.into_iter().cloned().map(Some).collect();
        }
        let mut best: Option<(f64, Vec<usize>)> = None;
        for zone in zones {
            let here = |s: &Slot| zone.as_ref().is_none_or(|z| *z == s.zone);
            let room: f64 = self
                .slots
                .iter()
                .filter(|s| here(s))
                .map(|s| most_of(&size, &s.free).max(0.0))
                .sum();
            if room < tasks.len() as f64 {
                continue;
            }
            let mut sum = 0.0;
            let mut chosen: Vec<(usize, bool)> = Vec::new();
            for task in tasks {
                let found = (0..self.slots.len())
                    .filter(|s| self.slots.get(*s).is_some_and(here) && self.can(*task, *s))
                    .map(|s| (s, self.score(*task, s)))
                    .max_by(|a, b| a.1.total_cmp(&b.1));
                let Some((slot, score)) = found else { break };
                let image = self.jobs.get(job).map(|j| j.image.clone()).unwrap_or_default();
                let had = self.slots.get(slot).is_some_and(|s| s.images.contains(&image));
                self.put(*task, slot);
                chosen.push((slot, had));
                sum += score;
            }
            let whole = chosen.len() == tasks.len();
            // What was tried leaves no mark, the image included.
            for (task, (slot, had)) in tasks.iter().zip(&chosen) {
                self.lift(*task);
                let image = self.jobs.get(job).map(|j| j.image.clone()).unwrap_or_default();
                if let Some(s) = self.slots.get_mut(*slot).filter(|_| !had) {
                    s.images.remove(&image);
                }
            }
            if whole && best.as_ref().is_none_or(|(s, _)| sum > *s) {
                best = Some((sum, chosen.into_iter().map(|(slot, _)| slot).collect()));
            }
        }
        let Some((_, slots)) = best else { return false };
        for (task, slot) in tasks.iter().zip(slots) {
            self.put(*task, slot);
        }
        true
    }

    fn put(&mut self, task: usize, slot: usize) {
        let Some(job) = self.tasks.get(task).and_then(|j| self.jobs.get_mut(*j)) else {
            return;
        };
        let Some(s) = self.slots.get_mut(slot) else { return };
        take(&mut s.free, &job.size);
        if let Some(room) = self.teams.get_mut(job.team) {
            take(room, &job.size);
        }
        *job.in_zone.entry(s.zone.clone()).or_default() += 1;
        s.images.insert(job.image.clone());
        if let Some(c) = self.choice.get_mut(task) {
            *c = Some(slot);
        }
    }

    fn lift(&mut self, task: usize) -> Choice {
        let slot = self.choice.get_mut(task)?.take()?;
        let job = self.tasks.get(task).and_then(|j| self.jobs.get_mut(*j))?;
        let s = self.slots.get_mut(slot)?;
        give(&mut s.free, &job.size);
        if let Some(room) = self.teams.get_mut(job.team) {
            give(room, &job.size);
        }
        if let Some(n) = job.in_zone.get_mut(&s.zone) {
            *n = n.saturating_sub(1);
        }
        Some(slot)
    }

    fn best(&self, task: usize, except: Choice) -> Option<(usize, f64)> {
        (0..self.slots.len())
            .filter(|s| Some(*s) != except && self.can(task, *s))
            .map(|s| (s, self.score(task, s)))
            .max_by(|a, b| a.1.total_cmp(&b.1))
    }

    fn rank(&self, task: usize) -> f64 {
        let first = if self.guaranteed.get(task) == Some(&true) {
            5.0
        } else {
            0.0
        };
        self.tasks
            .get(task)
            .and_then(|j| self.jobs.get(*j))
            .map_or(0.0, |j| j.rank + first)
    }

    fn weight(&self, task: usize) -> f64 {
        let largest = self.slots.iter().fold([1e-9f64; 3], |mut m, s| {
            m.iter_mut().zip(s.total).for_each(|(m, t)| *m = m.max(t));
            m
        });
        self.tasks
            .get(task)
            .and_then(|j| self.jobs.get(*j))
            .map_or(0.0, |j| j.size.iter().zip(largest).map(|(s, m)| s / m).sum())
    }

    /// Greedy by rank, then by largest task; then single moves that raise the sum or make room for
    /// a task that found none, at most `moves` of them tried.
    pub fn place(mut self, moves: usize) -> Vec<Choice> {
        let weights: Vec<f64> = (0..self.tasks.len()).map(|t| self.weight(t)).collect();
        let mut order: Vec<usize> = (0..self.tasks.len()).collect();
        order.sort_by(|a, b| {
            self.rank(*b)
                .total_cmp(&self.rank(*a))
                .then(
                    weights
                        .get(*b)
                        .unwrap_or(&0.0)
                        .total_cmp(weights.get(*a).unwrap_or(&0.0)),
                )
                .then(a.cmp(b))
        });
        let mut unplaced = Vec::new();
        let mut gangs: BTreeSet<usize> = BTreeSet::new();
        for task in order {
            let job = self.tasks.get(task).copied().unwrap_or(usize::MAX);
            if self.jobs.get(job).is_some_and(|j| j.gang) {
                if gangs.insert(job) {
                    let all = self.tasks.iter().enumerate().filter(|(_, j)| **j == job);
                    let all: Vec<usize> = all.map(|(t, _)| t).collect();
                    self.place_gang(&all);
                }
                continue;
            }
            match self.best(task, None) {
                Some((slot, _)) => self.put(task, slot),
                None => unplaced.push(task),
            }
        }
        let mut left = moves;
        for task in unplaced {
            self.make_room(task, &mut left);
        }
        let mut moved = true;
        while moved && left > 0 {
            moved = false;
            for task in 0..self.tasks.len() {
                if left == 0 {
                    break;
                }
                left -= 1;
                moved |= self.improve(task);
            }
        }
        self.choice
    }

    fn improve(&mut self, task: usize) -> bool {
        let Some(from) = self.lift(task) else { return false };
        let here = self.score(task, from);
        match self.best(task, Some(from)) {
            Some((to, there)) if there > here + 1e-3 => {
                self.put(task, to);
                true
            }
            _ => {
                self.put(task, from);
                false
            }
        }
    }

    /// Moves one task of the batch elsewhere so that another one fits.
    fn make_room(&mut self, task: usize, left: &mut usize) {
        for other in 0..self.tasks.len() {
            if *left == 0 {
                return;
            }
            let Some(from) = self.choice.get(other).copied().flatten() else {
                continue;
            };
            let worth = self
                .tasks
                .get(task)
                .and_then(|j| self.jobs.get(*j))
                .zip(self.slots.get(from))
                .is_some_and(|(job, slot)| job.admits(&slot.model, &slot.zone, slot.spot));
            if !worth {
                continue;
            }
            *left -= 1;
            self.lift(other);
            if self.can(task, from)
                && let Some((to, _)) = self.best(other, Some(from))
            {
                self.put(other, to);
                // Where the other went may have changed what is allowed.
                if self.can(task, from) {
                    self.put(task, from);
                    return;
                }
                self.lift(other);
            }
            self.put(other, from);
        }
    }
}
