//! Placement of batches: builds the snapshot of machines and job terms for a search and records the resulting task
//! starts.

use super::batch_selection::{SelectedTask, select_batch};
use super::ranking::{MAX_START_DELAY_S, TeamUsage, urgency};
use super::victims::{fits, subtract};
use super::{PartitionQueue, WaitingJob};
use crate::capacity::UnplacedTasks;
use crate::controller::Controller;
use crate::ids::{JobId, MachineId, Partition, TaskId};
use crate::placement::{Amounts, Batch, JobTerms, MachineSlot};
use crate::protocol::{JobSpec, Priority, Shape};
use crate::settings::Team;
use std::collections::{BTreeMap, BTreeSet};

/// A new service is restricted to the zones that are cheap for it during this many boot times of the slowest machine
/// type.
const CHEAP_ZONE_BOOT_TIMES: f64 = 2.0;

/// Fraction of [`MAX_START_DELAY_S`] for which a gang waits before machines are reserved for it, and for which
/// each reservation lasts.
const GANG_RESERVATION_FRACTION: f64 = 0.25;

/// Progress of the batches of a partition.
struct BatchProgress {
    /// For each waiting job, the position of its first task that no batch has selected.
    next_tasks: Vec<usize>,
    /// Indices of the jobs with a task that found no machine.
    unplaceable: BTreeSet<usize>,
    /// Tasks that found no machine: index of the job and index of the task.
    unplaced: Vec<(usize, u32)>,
    team_usages: Vec<TeamUsage>,
}

impl Controller {
    /// Places the waiting jobs of a partition, preempts work for them if necessary, and returns the tasks that found no
    /// machine. `evaluations_left` is the search budget that is shared by all partitions.
    pub(super) fn place_partition(&mut self, partition: Partition, evaluations_left: &mut usize) -> Vec<UnplacedTasks> {
        let used = self.usage_by_team();
        let mut room = self.room_under_limits(&used);
        let PartitionQueue {
            mut waiting,
            blocked_jobs,
        } = self.collect_waiting_jobs(partition, &room);
        if waiting.is_empty() && blocked_jobs.is_empty() {
            return Vec::new();
        }
        let (ids, mut slots) = self.machine_slots(partition, &self.smallest_size(&waiting));
        let mut jobs = self.waiting_job_terms(partition, &waiting, &ids);
        self.make_room_with_cached_image(partition, &mut waiting, (&mut jobs, &ids), &used);
        let mut progress = BatchProgress {
            next_tasks: vec![0; waiting.len()],
            unplaceable: BTreeSet::new(),
            unplaced: Vec::new(),
            team_usages: self.team_usages(&used),
        };
        self.place_batches(
            &mut progress,
            &waiting,
            (&ids, &mut slots),
            (&mut jobs, &mut room),
            evaluations_left,
        );
        let BatchProgress {
            unplaceable, unplaced, ..
        } = progress;
        // Production work that found no machine keeps room for one task under its team's limit, which work of lower
        // priority of the team would otherwise take in later batches.
        for (j, w) in waiting.iter().enumerate().filter(|(j, _)| unplaceable.contains(j)) {
            if let Some(terms) = jobs.get(j).filter(|_| w.priority >= Priority::Prod) {
                self.reserved_room.entry(w.team).or_insert(terms.size);
            }
        }
        let (mut unplaced_tasks, jobs_without_machine) =
            self.collect_unplaced_tasks(partition, &unplaced, &waiting, &jobs, (&mut room, &slots));
        let mut preemption = self.preempt(partition, &jobs_without_machine, &waiting, &jobs, &used);
        let unplaced_under_limits =
            self.preempt_under_limits(partition, &blocked_jobs, &room, &mut preemption.machines);
        self.move_replicas_for_blocked(
            partition,
            &preemption.blocked_replicas,
            &jobs,
            preemption.machines.unwrap_or_default(),
        );
        if *evaluations_left == 0 {
            // Jobs that found no machine are skipped for a while, so that the next batch gets to the other jobs; their
            // tasks still count as unplaced meanwhile.
            let until = self.now.ms + self.settings.batch_retry_ms();
            for j in unplaceable {
                if let Some(w) = waiting.get(j) {
                    self.postponed_jobs
                        .insert(w.id.clone(), (unplaced_tasks.remove(&j), until));
                }
            }
        }
        unplaced_tasks.into_values().chain(unplaced_under_limits).collect()
    }

    /// Room left under each team's limit. Teams have no limit on memory.
    fn room_under_limits(&self, used: &[Amounts]) -> Vec<Amounts> {
        let limit = |max_amount: f64| if max_amount > 0.0 { max_amount } else { f64::MAX };
        let teams = self.settings.platform.facts.teams.iter();
        teams
            .zip(used)
            .map(|(team, used)| [limit(team.cpus_max) - used[0], limit(team.gpus_max) - used[1], f64::MAX])
            .collect()
    }

    /// The smallest size of any waiting task, by resource. Machines with less room, usually most of them, are skipped.
    fn smallest_size(&self, waiting: &[WaitingJob]) -> Amounts {
        let mut smallest = [f64::MAX; 3];
        for job in waiting.iter().filter_map(|w| self.jobs.get(&w.id)) {
            let size = Self::task_resources(&job.spec);
            smallest
                .iter_mut()
                .zip(size)
                .for_each(|(smallest, size)| *smallest = smallest.min(size));
        }
        smallest
    }

    /// Usage and share of each team, in the unit in which the team is accounted. A share is at least half an
    /// accelerator or one CPU, so that teams without a guarantee are served too.
    fn team_usages(&self, used: &[Amounts]) -> Vec<TeamUsage> {
        let teams = self.settings.platform.facts.teams.iter().enumerate();
        let usage = |(i, team): (usize, &Team)| TeamUsage {
            used: used.get(i).map_or(0.0, |used| self.amount_in_team_unit(i, used)),
            share: if team.gpus > 0.0 || team.gpus_max > 0.0 {
                team.gpus.max(0.5)
            } else {
                team.cpus.max(1.0)
            },
        };
        teams.map(usage).collect()
    }

    /// Placement terms of all waiting jobs, with the machines that are excluded for each.
    fn waiting_job_terms(&mut self, partition: Partition, waiting: &[WaitingJob], ids: &[MachineId]) -> Vec<JobTerms> {
        let terms = |w: &WaitingJob| {
            let mut terms = self.job_terms(&w.id, w.team, w.slack_s)?;
            // Priorities are 10 apart: more than the urgency (at most 1) and the bonus for guaranteed work together.
            terms.rank = f64::from(w.priority as u8) * 10.0 + w.urgency;
            Some(terms)
        };
        let mut jobs: Vec<JobTerms> = waiting.iter().filter_map(terms).collect();
        for (w, terms) in waiting.iter().zip(jobs.iter_mut()).filter(|(_, t)| t.is_gang) {
            self.exclude_machines_with_attempt(&w.id, ids, terms);
        }
        for (w, terms) in waiting.iter().zip(jobs.iter_mut()) {
            terms
                .excluded_machines
                .extend(self.indices_reserved_for_other_jobs(&w.id, ids));
            if self.has_failures(&w.id) {
                terms.excluded_machines.extend(self.failed_machine_indices(&w.id, ids));
            }
        }
        if let Some((gang, machines)) = self.choose_machines_for_gang(partition, waiting, &jobs) {
            let reserved: BTreeSet<usize> = (0..ids.len())
                .filter(|i| ids.get(*i).is_some_and(|m| machines.contains(m)))
                .collect();
            let priority = waiting.get(gang).map_or(Priority::Low, |w| w.priority);
            for (j, (w, terms)) in waiting.iter().zip(jobs.iter_mut()).enumerate() {
                if j != gang && w.priority <= priority {
                    terms.excluded_machines.extend(&reserved);
                }
            }
        }
        jobs
    }

    /// Selects and places batches until nothing more can be placed or the search budget is used up.
    fn place_batches(
        &mut self,
        progress: &mut BatchProgress,
        waiting: &[WaitingJob],
        (ids, slots): (&[MachineId], &mut Vec<MachineSlot>),
        (jobs, room): (&mut Vec<JobTerms>, &mut Vec<Amounts>),
        evaluations_left: &mut usize,
    ) {
        let batch_size = self.settings.operator.batch_tasks as usize;
        loop {
            let batch = select_batch(
                waiting,
                &mut progress.next_tasks,
                &progress.unplaceable,
                &mut progress.team_usages,
                jobs,
                batch_size,
            );
            if batch.is_empty() {
                break;
            }
            let tasks: Vec<usize> = batch.iter().map(|task| task.job).collect();
            let is_guaranteed: Vec<bool> = batch.iter().map(|task| task.guaranteed).collect();
            // The greedy pass evaluates each machine once for each task; each move evaluates each machine for one
            // task. The budget is charged for at least 4 machines, which also limits batches on few machines.
            let (task_count, machine_count) = (tasks.len(), slots.len());
            let max_moves = task_count * self.settings.operator.search_moves_per_task as usize;
            let moves =
                max_moves.min(evaluations_left.saturating_sub(task_count * machine_count) / machine_count.max(1));
            *evaluations_left = evaluations_left.saturating_sub((task_count + moves) * machine_count.max(4));
            self.evaluated_candidates += ((task_count + moves) * machine_count) as u64;
            let choices = Batch::new(slots, jobs, room, &tasks)
                .guaranteed_first(is_guaranteed)
                .place(moves);
            for (SelectedTask { job, index, .. }, choice) in batch.into_iter().zip(choices) {
                let Some(machine) = choice.and_then(|c| ids.get(c)) else {
                    progress.unplaceable.insert(job);
                    progress.unplaced.push((job, index));
                    continue;
                };
                if let Some(w) = waiting.get(job) {
                    let job = w.id.clone();
                    self.book_start(machine, TaskId { job, index });
                }
            }
            if *evaluations_left == 0 {
                break;
            }
        }
        // The remaining tasks of jobs that found no machine also count as unplaced, even if no batch selected them.
        // `collect_unplaced_tasks` drops those that have no room under their team's limit.
        for (j, w) in waiting
            .iter()
            .enumerate()
            .filter(|(j, _)| progress.unplaceable.contains(j))
        {
            let first_unselected = progress.next_tasks.get(j).copied().unwrap_or(0);
            progress
                .unplaced
                .extend(w.tasks.iter().skip(first_unselected).map(|i| (j, *i)));
        }
    }

    /// The tasks that found no machine, by job index, and the job index of each such task except
    /// those of gangs.
    fn collect_unplaced_tasks(
        &self,
        partition: Partition,
        unplaced: &[(usize, u32)],
        waiting: &[WaitingJob],
        jobs: &[JobTerms],
        (room, slots): (&mut [Amounts], &[MachineSlot]),
    ) -> (BTreeMap<usize, UnplacedTasks>, Vec<usize>) {
        let mut unplaced_tasks: BTreeMap<usize, UnplacedTasks> = BTreeMap::new();
        let mut jobs_without_machine: Vec<usize> = Vec::new();
        for (j, _) in unplaced {
            let Some(terms) = jobs.get(*j) else { continue };
            // More machines would not help a task beyond its team's limit.
            let Some(left) = room.get_mut(terms.team) else { continue };
            if !fits(&terms.size, left) {
                continue;
            }
            subtract(left, &terms.size);
            if !terms.is_gang {
                jobs_without_machine.push(*j);
            }
            let Some(w) = waiting.get(*j) else { continue };
            let zone = || self.choose_gang_zone(terms, slots);
            unplaced_tasks
                .entry(*j)
                .or_insert_with(|| {
                    let mut tasks_of_job =
                        UnplacedTasks::new(partition, terms, w.priority >= Priority::Prod, w.slack_s);
                    tasks_of_job.zone = tasks_of_job.zone.or_else(zone);
                    tasks_of_job
                })
                .count += 1;
        }
        (unplaced_tasks, jobs_without_machine)
    }

    /// Chooses machines to reserve for a gang that has waited too long: otherwise small jobs take the room that becomes
    /// free task by task, and the gang never finds room for all of its tasks at once.
    ///
    /// Only one gang of a partition has a reservation at a time, the one that has waited longest. Periods with a
    /// reservation alternate with periods of the same length without one, so that a gang that never fits does not
    /// block other jobs forever. Gangs of which a task may be on a machine get no reservation.
    ///
    /// Returns the index of the gang among the waiting jobs, and the machines.
    pub(super) fn choose_machines_for_gang(
        &self,
        partition: Partition,
        waiting: &[WaitingJob],
        jobs: &[JobTerms],
    ) -> Option<(usize, BTreeSet<MachineId>)> {
        let waited_periods = |w: &WaitingJob| {
            self.now.wall_ms.saturating_sub(w.accepted_wall_ms)
                / (1000.0 * GANG_RESERVATION_FRACTION * MAX_START_DELAY_S) as u64
        };
        let gangs =
            (0..waiting.len()).filter(|j| jobs.get(*j).is_some_and(|t| t.is_gang && t.tasks_by_zone.is_empty()));
        let longest_waiting = gangs.min_by_key(|j| waiting.get(*j).map_or(u64::MAX, |w| w.accepted_wall_ms))?;
        let (w, terms) = waiting.get(longest_waiting).zip(jobs.get(longest_waiting))?;
        if waited_periods(w) % 2 == 0 {
            return None;
        }
        // Count free room, and room of tasks that end by themselves and whose priority is not higher than the gang's.
        let mut by_zone: BTreeMap<&str, Vec<(u32, &MachineId)>> = BTreeMap::new();
        for (id, m) in self.machines.iter().filter(|(_, m)| m.partition == partition) {
            let is_usable =
                m.is_usable(self.now.ms, 3 * self.settings.report_ms()) && terms.admits(&m.model, &m.zone, m.spot);
            let Some(t) = self
                .machine_types
                .iter()
                .find(|t| t.name == m.model)
                .filter(|_| is_usable)
            else {
                continue;
            };
            let mut room = [t.cpus, t.gpus, t.memory_gb];
            for h in &m.held {
                let job = self.jobs.get(&h.task.job);
                let will_make_room =
                    job.is_some_and(|j| j.spec.shape != Shape::Service && j.spec.priority <= w.priority);
                if !will_make_room {
                    room.iter_mut().zip(h.size).for_each(|(r, s)| *r -= s);
                }
            }
            let zone = if terms.one_zone { m.zone.as_str() } else { "" };
            let fit = crate::capacity::count_fitting_tasks(&terms.size, &room);
            by_zone.entry(zone).or_default().push((fit, id));
        }
        let tasks = w.tasks.len() as u32;
        let mut reserved: Option<BTreeSet<MachineId>> = None;
        for list in by_zone.values_mut() {
            list.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(b.1)));
            let mut fitting_tasks = 0;
            let needed = list.iter().take_while(|(fit, _)| {
                let is_needed = fitting_tasks < tasks && *fit > 0;
                fitting_tasks += fit;
                is_needed
            });
            let machines: BTreeSet<MachineId> = needed.map(|(_, id)| (*id).clone()).collect();
            if fitting_tasks >= tasks && reserved.as_ref().is_none_or(|fewest| machines.len() < fewest.len()) {
                reserved = Some(machines);
            }
        }
        Some((longest_waiting, reserved?))
    }

    /// Excludes machines that list the gang's attempt in some state, because starting the same attempt there again
    /// would have no effect.
    pub(super) fn exclude_machines_with_attempt(&self, id: &JobId, ids: &[MachineId], terms: &mut JobTerms) {
        let Some(job) = self.jobs.get(id).filter(|j| !j.placed.is_empty()) else {
            return;
        };
        let Some(gang) = job.gang else { return };
        for (index, machine) in ids.iter().enumerate() {
            if self
                .machines
                .get(machine)
                .is_some_and(|m| m.lists_as_ended(id, gang.attempt))
            {
                terms.excluded_machines.insert(index);
            }
        }
    }

    /// The zone in which to rent machines for a gang that must run in one zone: the one with the most free room,
    /// preferring zones in which the cloud still rents out suitable machines.
    pub(super) fn choose_gang_zone(&self, terms: &JobTerms, slots: &[MachineSlot]) -> Option<String> {
        if !terms.is_gang || !terms.one_zone || terms.tasks_by_zone.values().any(|n| *n > 0) {
            return None;
        }
        let mut best: Option<(bool, u32, &String)> = None;
        for zone in &self.settings.platform.facts.zones {
            let fits = |t: &&crate::protocol::MachineType| {
                crate::capacity::count_fitting_tasks(&terms.size, &[t.cpus, t.gpus, t.memory_gb]) > 0
                    && terms.admits(&t.name, zone, false)
                    && t.zones.contains(zone)
            };
            let mut suitable_types = self.machine_types.iter().filter(fits).peekable();
            if suitable_types.peek().is_none() {
                continue;
            }
            let is_rentable = suitable_types.any(|t| {
                let kind = (t.name.clone(), zone.clone(), false);
                !self.capacity.is_refused(&kind, self.now.ms)
            });
            let slots_in_zone = slots
                .iter()
                .filter(|s| s.zone == *zone && terms.admits(&s.model, zone, s.spot));
            let room = slots_in_zone
                .map(|s| crate::capacity::count_fitting_tasks(&terms.size, &s.free))
                .sum();
            if best.is_none_or(|(r, n, _)| (is_rentable, room) > (r, n)) {
                best = Some((is_rentable, room, zone));
            }
        }
        best.map(|(_, _, zone)| zone.clone())
    }

    /// Usable machines of a partition with room for at least `smallest`, and a slot for each.
    pub(super) fn machine_slots(&self, partition: Partition, smallest: &Amounts) -> (Vec<MachineId>, Vec<MachineSlot>) {
        let max_report_age_ms = 3 * self.settings.report_ms();
        let mut ids = Vec::new();
        let mut slots = Vec::new();
        for (id, m) in &self.machines {
            if m.partition != partition || !m.is_usable(self.now.ms, max_report_age_ms) {
                continue;
            }
            let Some(t) = self.machine_types.iter().find(|t| t.name == m.model) else {
                continue;
            };
            let total = [t.cpus, t.gpus, t.memory_gb];
            let mut free = total;
            free.iter_mut().zip(m.used_resources()).for_each(|(f, u)| *f -= u);
            if smallest.iter().zip(free).any(|(l, f)| *l > f + 1e-6) {
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
            slots.push(MachineSlot {
                model: m.model.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
                free,
                total,
                images,
                fetch_s_per_gb: 1.0 / t.fetch_gb_per_s.max(1e-3),
                boot_s: t.boot_s,
                recent_failures: m.failures.len() as f64,
                price: if m.spot { t.spot_price } else { t.price },
            });
        }
        (ids, slots)
    }

    /// Placement terms of a job; `slack_s` are the seconds until it must start to meet its deadline. `None` if the job
    /// is unknown.
    pub(super) fn job_terms(&self, id: &JobId, team: usize, slack_s: f64) -> Option<JobTerms> {
        let job = self.jobs.get(id)?;
        let mut tasks_by_zone = BTreeMap::new();
        for machines in job.placed.values() {
            for m in machines.iter().filter_map(|m| self.machines.get(m)) {
                *tasks_by_zone.entry(m.zone.clone()).or_insert(0) += 1;
            }
        }
        let spec = &job.spec;
        let urgency = urgency(slack_s, 1.0, spec);
        let age_s = self.now.wall_ms.saturating_sub(job.accepted_wall_ms) as f64 / 1000.0;
        let max_tasks_per_zone = spec.spread.then(|| spec.tasks.div_ceil(2));
        let cheapest_task_price = self.cheapest_task_price(spec);
        // The restriction to cheap zones holds for `CHEAP_ZONE_BOOT_TIMES` boot times of the slowest machine type, in
        // which machines rented for the job come up. After that, any room is better than none.
        let boot_s = self.machine_types.iter().map(|t| t.boot_s).fold(0.0, f64::max);
        let cheap_zones = match max_tasks_per_zone {
            Some(_) if spec.shape == Shape::Service && age_s < CHEAP_ZONE_BOOT_TIMES * boot_s => {
                self.find_cheap_zones(spec, cheapest_task_price)
            }
            _ => Vec::new(),
        };
        let cheap_zone_capacity = max_tasks_per_zone.unwrap_or(0).saturating_mul(cheap_zones.len() as u32);
        Some(JobTerms {
            cheap_zones,
            max_tasks_outside_cheap_zones: spec.tasks.saturating_sub(cheap_zone_capacity),
            size: Self::task_resources(spec),
            models: spec.models.clone(),
            zone: spec.zone.clone(),
            one_zone: spec.one_zone,
            max_tasks_per_zone,
            avoided_zone: job
                .avoided_zone
                .as_ref()
                .filter(|(_, until)| self.now.ms < *until)
                .map(|(z, _)| z.clone()),
            spot: spec.spot,
            image: spec.image.clone(),
            image_gb: spec.image_gb,
            guaranteed: self.jobs_within_guarantee.contains(id),
            deadline_s: spec.deadline_s.unwrap_or(0.0),
            estimate_s: self.estimates.expected_run_s(spec),
            rank: f64::from(spec.priority as u8) * 10.0 + urgency,
            is_service: spec.shape == Shape::Service,
            is_gang: spec.shape == Shape::Gang,
            excluded_machines: BTreeSet::new(),
            start_objective_s: self.job_start_objective_s(id),
            cheapest_task_price,
            start_time_left_s: (self.job_start_objective_s(id) - age_s).max(0.0),
            tasks_by_zone,
            team,
        })
    }

    /// Zones with a machine type that the cloud does not refuse at present and that costs the job less than 1.2 times
    /// the cheapest one. Empty if that is true for all zones or for none, or if the job names a zone or may use spot
    /// machines.
    pub(super) fn find_cheap_zones(&self, spec: &JobSpec, cheapest_task_price: f64) -> Vec<String> {
        let size = Self::task_resources(spec);
        let mut cheap: BTreeSet<&String> = BTreeSet::new();
        let mut all: BTreeSet<&String> = BTreeSet::new();
        for t in &self.machine_types {
            let fit = crate::capacity::count_fitting_tasks(&size, &[t.cpus, t.gpus, t.memory_gb]);
            if fit == 0 || !spec.models.as_ref().is_none_or(|m| m.contains(&t.name)) {
                continue;
            }
            all.extend(&t.zones);
            for zone in &t.zones {
                let kind = (t.name.clone(), zone.clone(), false);
                if t.price / f64::from(fit) < 1.2 * cheapest_task_price && !self.capacity.is_refused(&kind, self.now.ms)
                {
                    cheap.insert(zone);
                }
            }
        }
        if cheap.len() == all.len() || spec.zone.is_some() || spec.spot {
            return Vec::new();
        }
        cheap.into_iter().cloned().collect()
    }

    /// Price per hour of one task on the cheapest type of machine that its job may use, fully packed; 0 if there is
    /// none.
    pub(super) fn cheapest_task_price(&self, spec: &JobSpec) -> f64 {
        let size = Self::task_resources(spec);
        let mut best = f64::MAX;
        for t in &self.machine_types {
            let fit = crate::capacity::count_fitting_tasks(&size, &[t.cpus, t.gpus, t.memory_gb]);
            let is_allowed = spec.models.as_ref().is_none_or(|m| m.contains(&t.name))
                && spec.zone.as_ref().is_none_or(|z| t.zones.contains(z));
            if fit > 0 && is_allowed {
                let price = if spec.spot { t.spot_price.min(t.price) } else { t.price };
                best = best.min(price / f64::from(fit));
            }
        }
        if best == f64::MAX { 0.0 } else { best }
    }
}
