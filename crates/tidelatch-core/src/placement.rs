//! Joint placement of one batch of tasks: hard constraints, a greedy pass by rank and then by largest task, then moves.
//!
//! These are pure functions over a snapshot of machines and jobs. They return the machine for each task.

use std::collections::{BTreeMap, BTreeSet};

/// Amounts of resources: CPUs, accelerators, memory in GB.
pub type Amounts = [f64; 3];

/// Amounts below this are rounding errors.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Whether a size fits into some room, with a tolerance for rounding errors.
fn fits(size: &Amounts, room: &Amounts) -> bool {
    size.iter().zip(room).all(|(s, r)| *s <= r + ROUNDING_TOLERANCE)
}

/// Number of tasks of a size that fit into an amount; `f64::MAX` if the size is zero.
fn count_fitting(size: &Amounts, total: &Amounts) -> f64 {
    let each = size.iter().zip(total).filter(|(s, _)| **s > 0.0);
    each.map(|(s, t)| ((t + ROUNDING_TOLERANCE) / s).floor())
        .fold(f64::MAX, f64::min)
}

/// Weight of a machine's price for services, which run for long.
const SERVICE_PRICE_WEIGHT: f64 = 2.0;
/// Weight of a machine's price for arrays and gangs, which end soon.
const ARRAY_PRICE_WEIGHT: f64 = 1.5;
/// Seconds that a start takes in addition to fetching the image.
const START_OVERHEAD_S: f64 = 0.5;

/// Subtracts a size from some room.
fn subtract(room: &mut Amounts, size: &Amounts) {
    room.iter_mut().zip(size).for_each(|(r, s)| *r -= s);
}

/// Adds a size to some room.
fn add(room: &mut Amounts, size: &Amounts) {
    room.iter_mut().zip(size).for_each(|(r, s)| *r += s);
}

/// A machine and its free room.
#[derive(Debug, Clone)]
pub struct MachineSlot {
    /// Machine type.
    pub model: String,
    /// Zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Free room, after all assigned tasks are subtracted.
    pub free: Amounts,
    /// Total room.
    pub total: Amounts,
    /// Images that it has or is fetching.
    pub images: BTreeSet<String>,
    /// Seconds to fetch a gigabyte.
    pub fetch_s_per_gb: f64,
    /// Seconds that its type takes to boot.
    pub boot_s: f64,
    /// Price per hour.
    pub price: f64,
    /// Number of jobs that failed on it recently.
    pub recent_failures: f64,
}

/// What placement takes into account about a job, the same for all of its tasks: requirements, estimates, rank, and the
/// zones of its tasks so far.
#[derive(Debug, Clone)]
pub struct JobTerms {
    /// Size of each task.
    pub size: Amounts,
    /// Allowed machine types; `None` allows all.
    pub models: Option<Vec<String>>,
    /// The only allowed zone, if there is one.
    pub zone: Option<String>,
    /// Whether all tasks must run in the same zone.
    pub one_zone: bool,
    /// Maximum number of tasks in one zone, so that a service is spread over zones; `None`: no limit.
    pub max_tasks_per_zone: Option<u32>,
    /// Zones with the cheapest machine types; empty if there is no restriction to them. Machines in other zones are
    /// left to jobs that have reached `max_tasks_per_zone` in all others.
    pub cheap_zones: Vec<String>,
    /// Maximum number of tasks outside `cheap_zones`.
    pub max_tasks_outside_cheap_zones: u32,
    /// A zone that a replica was moved out of recently and that the job must not use yet.
    pub avoided_zone: Option<String>,
    /// Whether it may use spot machines.
    pub spot: bool,
    /// Container image.
    pub image: String,
    /// Size of the image in GB.
    pub image_gb: f64,
    /// Whether it is within its team's guarantee, together with the team's earlier jobs.
    pub guaranteed: bool,
    /// Seconds from submission to deadline; 0 without a deadline.
    pub deadline_s: f64,
    /// Expected run time in seconds, the estimate corrected for its class; 0 for services.
    pub estimate_s: f64,
    /// Rank by priority and deadline: higher ranks are placed first.
    pub rank: f64,
    /// Whether it is a service; its replicas are spread over zones.
    pub is_service: bool,
    /// Whether it is a gang: all of its tasks are placed or none.
    pub is_gang: bool,
    /// Indices of machines that are excluded for this job.
    pub excluded_machines: BTreeSet<usize>,
    /// Seconds within which its class should start according to the objectives; 0 without such an objective.
    pub start_objective_s: f64,
    /// Price per hour of one task on the cheapest machine that may run it, fully packed with such tasks; 0 if unknown.
    pub cheapest_task_price: f64,
    /// Seconds left until it should have started according to the objectives of its class; 0 without such an
    /// objective.
    pub start_time_left_s: f64,
    /// Number of its tasks in each zone, including those whose state is uncertain.
    pub tasks_by_zone: BTreeMap<String, u32>,
    /// Index of its team.
    pub team: usize,
}

impl JobTerms {
    /// Number of the job's tasks in zones other than `cheap_zones`.
    fn tasks_outside_cheap_zones(&self) -> u32 {
        let outside = self.tasks_by_zone.iter().filter(|(z, _)| !self.cheap_zones.contains(z));
        outside.map(|(_, n)| n).sum()
    }

    /// Whether the job may use machines of this type, zone and spot kind. Checks the hard constraints that do not
    /// depend on free room.
    pub fn admits(&self, model: &str, zone: &str, spot: bool) -> bool {
        (self.spot || !spot)
            && self.models.as_ref().is_none_or(|m| m.iter().any(|x| x == model))
            && self.zone.as_ref().is_none_or(|z| z == zone)
            && self.avoided_zone.as_ref().is_none_or(|z| z != zone)
            && (!self.one_zone || self.tasks_by_zone.iter().all(|(z, n)| *n == 0 || z == zone))
            && (self.cheap_zones.is_empty()
                || self.cheap_zones.iter().any(|z| z == zone)
                || self.tasks_outside_cheap_zones() < self.max_tasks_outside_cheap_zones)
            && self
                .max_tasks_per_zone
                .is_none_or(|most| self.tasks_by_zone.get(zone).copied().unwrap_or(0) < most)
    }
}

/// Index of the machine slot of a task of a batch, or `None` if the task has none.
pub type Choice = Option<usize>;

/// A batch of tasks during its placement.
pub struct Batch<'a> {
    slots: &'a mut [MachineSlot],
    jobs: &'a mut [JobTerms],
    /// Room left under each team's limit.
    room_under_limits: &'a mut [Amounts],
    /// Job index of each task.
    tasks: &'a [usize],
    /// For each task, whether it is within its team's guarantee; may be empty.
    guaranteed: Vec<bool>,
    /// The choice for each task so far.
    choice: Vec<Choice>,
}

impl<'a> Batch<'a> {
    /// Creates a batch over a snapshot. `tasks` holds the job index of each task.
    pub fn new(
        slots: &'a mut [MachineSlot],
        jobs: &'a mut [JobTerms],
        room_under_limits: &'a mut [Amounts],
        tasks: &'a [usize],
    ) -> Self {
        let choice = vec![None; tasks.len()];
        Self {
            slots,
            jobs,
            room_under_limits,
            tasks,
            guaranteed: Vec::new(),
            choice,
        }
    }

    /// Places tasks within their team's guarantee before others of the same priority. A team that stops other work to
    /// get its guarantee must also get the room that this frees; otherwise teams would stop each other in turn.
    pub fn guaranteed_first(mut self, guaranteed: Vec<bool>) -> Self {
        self.guaranteed = guaranteed;
        self
    }

    /// Whether a task may be assigned to a slot and fits there, also under its team's limit.
    fn can_place(&self, task: usize, slot_index: usize) -> bool {
        let (Some(job), Some(slot)) = (
            self.tasks.get(task).and_then(|j| self.jobs.get(*j)),
            self.slots.get(slot_index),
        ) else {
            return false;
        };
        fits(&job.size, &slot.free)
            && !job.excluded_machines.contains(&slot_index)
            && self
                .room_under_limits
                .get(job.team)
                .is_some_and(|room| fits(&job.size, room))
            && job.admits(&slot.model, &slot.zone, slot.spot)
    }

    /// Score of a machine for a task: a weighted sum of soft constraints, most of them between 0 and 1. Higher is
    /// better.
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
        // The cost of a fetch is proportional to the delay: one as long as a boot weighs as much as packing and
        // spreading together.
        let image_score = -fetch_s / slot.boot_s.max(1.0);
        // Prefer full machines, so that others become empty and can be returned.
        let mut used = 0.0;
        let mut resources: f64 = 0.0;
        for ((free, total), size) in slot.free.iter().zip(slot.total).zip(job.size) {
            if total > 0.0 && size > 0.0 {
                used += 1.0 - (free - size).max(0.0) / total;
                resources += 1.0;
            }
        }
        let packing = used / resources.max(1.0);
        let spreading = if job.is_service {
            1.0 / (1.0 + f64::from(job.tasks_by_zone.get(&slot.zone).copied().unwrap_or(0)))
        } else {
            0.0
        };
        // Leave machines that cost this job a multiple of the cheapest one to jobs that need them: small machines that
        // take one replica each are often the only ones that a zone has.
        let price_excess = if job.cheapest_task_price > 0.0 {
            let fit = count_fitting(&job.size, &slot.total).max(1.0);
            (slot.price / fit / job.cheapest_task_price - 1.0).clamp(0.0, 1.0)
        } else {
            0.0
        };
        let price_penalty = price_excess
            * if job.is_service {
                SERVICE_PRICE_WEIGHT
            } else {
                ARRAY_PRICE_WEIGHT
            };
        // The penalty for a fetch that takes longer than the class may still wait is as large as the largest scores for
        // packing and spreading together.
        let is_too_late =
            job.start_time_left_s > 0.0 && fetch_s > 0.0 && fetch_s + START_OVERHEAD_S > job.start_time_left_s;
        let lateness = if is_too_late { 2.0 } else { 0.0 };
        // Avoid machines with accelerators for tasks that need none, especially if the CPUs and memory left beside the
        // accelerators are too little for tasks that need accelerators.
        let waste = if job.size[1] == 0.0 && slot.total[1] > 0.0 {
            let share_left = |i: usize| (slot.free[i] - job.size[i]) / slot.total[i].max(1e-9);
            let idle_share = slot.free[1] / slot.total[1];
            idle_share + 2.0 * (idle_share - share_left(0).min(share_left(2))).max(0.0)
        } else {
            0.0
        };
        // The slowest image fetch determines when a gang starts, and a machine with failures slows or stops the whole
        // gang.
        let gang_penalty = if job.is_gang {
            let fetch_penalty = if job.start_objective_s > 0.0 {
                3.0 * fetch_s / job.start_objective_s
            } else {
                0.0
            };
            fetch_penalty.min(3.0) + 3.0 * slot.recent_failures
        } else {
            0.0
        };
        2.0 * image_score + 1.5 * packing + 0.5 * spreading - price_penalty - waste - lateness - gang_penalty
    }

    /// Finds machines for all tasks of a gang, or for none. If they must run in one zone, each zone is tried, and the
    /// one with the highest total score is chosen.
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
            let is_in_zone = |s: &MachineSlot| zone.as_ref().is_none_or(|z| *z == s.zone);
            let room: f64 = self
                .slots
                .iter()
                .filter(|s| is_in_zone(s))
                .map(|s| count_fitting(&size, &s.free).max(0.0))
                .sum();
            if room < tasks.len() as f64 {
                continue;
            }
            let mut sum = 0.0;
            let mut chosen: Vec<(usize, bool)> = Vec::new();
            for task in tasks {
                let found = (0..self.slots.len())
                    .filter(|s| self.slots.get(*s).is_some_and(is_in_zone) && self.can_place(*task, *s))
                    .map(|s| (s, self.score(*task, s)))
                    .max_by(|a, b| a.1.total_cmp(&b.1));
                let Some((slot, score)) = found else { break };
                let image = self.jobs.get(job).map(|j| j.image.clone()).unwrap_or_default();
                let had_image = self.slots.get(slot).is_some_and(|s| s.images.contains(&image));
                self.assign(*task, slot);
                chosen.push((slot, had_image));
                sum += score;
            }
            let is_complete = chosen.len() == tasks.len();
            // Undo this trial placement, including the image.
            for (task, (slot, had_image)) in tasks.iter().zip(&chosen) {
                self.unassign(*task);
                let image = self.jobs.get(job).map(|j| j.image.clone()).unwrap_or_default();
                if let Some(s) = self.slots.get_mut(*slot).filter(|_| !had_image) {
                    s.images.remove(&image);
                }
            }
            if is_complete && best.as_ref().is_none_or(|(s, _)| sum > *s) {
                best = Some((sum, chosen.into_iter().map(|(slot, _)| slot).collect()));
            }
        }
        let Some((_, slots)) = best else { return false };
        for (task, slot) in tasks.iter().zip(slots) {
            self.assign(*task, slot);
        }
        true
    }

    /// Assigns a task to a slot: takes room there and under the team's limit, and adds the image to the slot.
    fn assign(&mut self, task: usize, slot: usize) {
        let Some(job) = self.tasks.get(task).and_then(|j| self.jobs.get_mut(*j)) else {
            return;
        };
        let Some(s) = self.slots.get_mut(slot) else { return };
        subtract(&mut s.free, &job.size);
        if let Some(room) = self.room_under_limits.get_mut(job.team) {
            subtract(room, &job.size);
        }
        *job.tasks_by_zone.entry(s.zone.clone()).or_default() += 1;
        s.images.insert(job.image.clone());
        if let Some(c) = self.choice.get_mut(task) {
            *c = Some(slot);
        }
    }

    /// Takes a task off its slot and gives its room back; the image stays. Returns the slot, if the task had one.
    fn unassign(&mut self, task: usize) -> Choice {
        let slot = self.choice.get_mut(task)?.take()?;
        let job = self.tasks.get(task).and_then(|j| self.jobs.get_mut(*j))?;
        let s = self.slots.get_mut(slot)?;
        add(&mut s.free, &job.size);
        if let Some(room) = self.room_under_limits.get_mut(job.team) {
            add(room, &job.size);
        }
        if let Some(n) = job.tasks_by_zone.get_mut(&s.zone) {
            *n = n.saturating_sub(1);
        }
        Some(slot)
    }

    /// The slot with the highest score for a task, and that score; `excluded` is left out.
    fn best_slot(&self, task: usize, excluded: Choice) -> Option<(usize, f64)> {
        (0..self.slots.len())
            .filter(|s| Some(*s) != excluded && self.can_place(task, *s))
            .map(|s| (s, self.score(task, s)))
            .max_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Rank of a task, with a bonus if it is within its team's guarantee. The bonus is less than the difference between
    /// two priorities, which is 10.
    fn rank(&self, task: usize) -> f64 {
        let guarantee_bonus = if self.guaranteed.get(task) == Some(&true) {
            5.0
        } else {
            0.0
        };
        self.tasks
            .get(task)
            .and_then(|j| self.jobs.get(*j))
            .map_or(0.0, |j| j.rank + guarantee_bonus)
    }

    /// Size of a task as the sum of its shares of the largest total of each resource on any machine.
    fn relative_size(&self, task: usize) -> f64 {
        let largest = self.slots.iter().fold([1e-9f64; 3], |mut m, s| {
            m.iter_mut().zip(s.total).for_each(|(m, t)| *m = m.max(t));
            m
        });
        self.tasks
            .get(task)
            .and_then(|j| self.jobs.get(*j))
            .map_or(0.0, |j| j.size.iter().zip(largest).map(|(s, m)| s / m).sum())
    }

    /// Places the tasks greedily by rank, then by largest task. Afterwards tries at most `moves` single moves that
    /// raise the moved task's score or make room for a task that found none. Returns the choice for each task.
    pub fn place(mut self, moves: usize) -> Vec<Choice> {
        let relative_sizes: Vec<f64> = (0..self.tasks.len()).map(|t| self.relative_size(t)).collect();
        let mut order: Vec<usize> = (0..self.tasks.len()).collect();
        order.sort_by(|a, b| {
            self.rank(*b)
                .total_cmp(&self.rank(*a))
                .then(
                    relative_sizes
                        .get(*b)
                        .unwrap_or(&0.0)
                        .total_cmp(relative_sizes.get(*a).unwrap_or(&0.0)),
                )
                .then(a.cmp(b))
        });
        let mut unplaced = Vec::new();
        let mut gangs: BTreeSet<usize> = BTreeSet::new();
        for task in order {
            let job = self.tasks.get(task).copied().unwrap_or(usize::MAX);
            if self.jobs.get(job).is_some_and(|j| j.is_gang) {
                if gangs.insert(job) {
                    let all = self.tasks.iter().enumerate().filter(|(_, j)| **j == job);
                    let all: Vec<usize> = all.map(|(t, _)| t).collect();
                    self.place_gang(&all);
                }
                continue;
            }
            match self.best_slot(task, None) {
                Some((slot, _)) => self.assign(task, slot),
                None => unplaced.push(task),
            }
        }
        let mut moves_left = moves;
        for task in unplaced {
            self.make_room(task, &mut moves_left);
        }
        let mut has_moved = true;
        while has_moved && moves_left > 0 {
            has_moved = false;
            for task in 0..self.tasks.len() {
                if moves_left == 0 {
                    break;
                }
                moves_left -= 1;
                has_moved |= self.try_move(task);
            }
        }
        self.choice
    }

    /// Moves a task to a slot with a clearly higher score. Returns whether it moved.
    fn try_move(&mut self, task: usize) -> bool {
        let Some(from) = self.unassign(task) else { return false };
        let current_score = self.score(task, from);
        match self.best_slot(task, Some(from)) {
            Some((to, new_score)) if new_score > current_score + 1e-3 => {
                self.assign(task, to);
                true
            }
            _ => {
                self.assign(task, from);
                false
            }
        }
    }

    /// Moves one assigned task to another machine so that an unplaced task fits.
    fn make_room(&mut self, task: usize, moves_left: &mut usize) {
        for other in 0..self.tasks.len() {
            if *moves_left == 0 {
                return;
            }
            let Some(from) = self.choice.get(other).copied().flatten() else {
                continue;
            };
            let is_allowed = self
                .tasks
                .get(task)
                .and_then(|j| self.jobs.get(*j))
                .zip(self.slots.get(from))
                .is_some_and(|(job, slot)| job.admits(&slot.model, &slot.zone, slot.spot));
            if !is_allowed {
                continue;
            }
            *moves_left -= 1;
            self.unassign(other);
            if self.can_place(task, from)
                && let Some((to, _)) = self.best_slot(other, Some(from))
            {
                self.assign(other, to);
                // The new machine of the other task may have changed which zones are allowed.
                if self.can_place(task, from) {
                    self.assign(task, from);
                    return;
                }
                self.unassign(other);
            }
            self.assign(other, from);
        }
    }
}
