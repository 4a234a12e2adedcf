//! Placing batches: the machines and the terms that a search sees, and what its outcome books.

use super::drawing::{Drawn, draw};
use super::ranking::{BEGIN_WITHIN_S, Claim, urgency};
use super::victims::{fits, subtract};
use super::{Queued, Waiting};
use crate::capacity::UnplacedTasks;
use crate::controller::Controller;
use crate::ids::{JobId, MachineId, Partition, TaskId};
use crate::placement::{Amounts, Batch, JobTerms, Slot};
use crate::protocol::{JobSpec, Priority, Shape};
use crate::settings::Team;
use std::collections::{BTreeMap, BTreeSet};

/// Boot times of the slowest type for which a new service keeps to the zones that are cheap for it.
const CHEAP_BOOTS: f64 = 2.0;

/// Part of the four minutes after which machines are kept for a gang, and for which they are.
const KEPT_PART: f64 = 0.25;

/// How far the batches of a partition have come.
struct BatchSearch {
    /// By job, the first of its tasks that no batch has drawn.
    next: Vec<usize>,
    /// Jobs of which a task found no machine.
    stuck: BTreeSet<usize>,
    /// Tasks that found none, each with its job's place.
    unplaced: Vec<(usize, u32)>,
    claims: Vec<Claim>,
}

impl Controller {
    pub(super) fn place_partition(&mut self, partition: Partition, budget: &mut usize) -> Vec<UnplacedTasks> {
        let used = self.used_by_teams();
        let mut room = self.room_under_limits(&used);
        let Queued {
            mut waiting,
            over_limit,
        } = self.collect(partition, &room);
        if waiting.is_empty() && over_limit.is_empty() {
            return Vec::new();
        }
        let (ids, mut slots) = self.slots(partition, &self.least_size(&waiting));
        let mut jobs = self.terms_of_waiting(partition, &waiting, &ids);
        self.make_warm_room(partition, &mut waiting, (&mut jobs, &ids), &used);
        let mut search = BatchSearch {
            next: vec![0; waiting.len()],
            stuck: BTreeSet::new(),
            unplaced: Vec::new(),
            claims: self.claims(&used),
        };
        self.place_batches(
            &mut search,
            &waiting,
            (&ids, &mut slots),
            (&mut jobs, &mut room),
            budget,
        );
        let BatchSearch { stuck, unplaced, .. } = search;
        for (j, w) in waiting.iter().enumerate().filter(|(j, _)| stuck.contains(j)) {
            if let Some(terms) = jobs.get(j).filter(|_| w.priority >= Priority::Prod) {
                self.kept_room.entry(w.team).or_insert(terms.size);
            }
        }
        let (mut wishes, without_machine) = self.wishes(partition, &unplaced, &waiting, &jobs, (&mut room, &slots));
        let mut made = self.preempt(partition, &without_machine, &waiting, &jobs, &used);
        let limited = self.yield_under_limits(partition, &over_limit, &room, &mut made.machines);
        self.swap_replicas(partition, &made.stuck, &jobs, made.machines.unwrap_or_default());
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

    /// Room that is left under the teams' limits.
    fn room_under_limits(&self, used: &[Amounts]) -> Vec<Amounts> {
        let limit = |most: f64| if most > 0.0 { most } else { f64::MAX };
        let teams = self.settings.platform.facts.teams.iter();
        teams
            .zip(used)
            .map(|(team, used)| [limit(team.cpus_max) - used[0], limit(team.gpus_max) - used[1], f64::MAX])
            .collect()
    }

    /// The least that any task takes: machines without room for that need not be looked at, and most are full.
    fn least_size(&self, waiting: &[Waiting]) -> Amounts {
        let mut least = [f64::MAX; 3];
        for job in waiting.iter().filter_map(|w| self.jobs.get(&w.id)) {
            let size = Self::size(&job.spec);
            least
                .iter_mut()
                .zip(size)
                .for_each(|(least, size)| *least = least.min(size));
        }
        least
    }

    /// What each team uses, and its share.
    fn claims(&self, used: &[Amounts]) -> Vec<Claim> {
        let teams = self.settings.platform.facts.teams.iter().enumerate();
        let claim = |(i, team): (usize, &Team)| Claim {
            used: used.get(i).map_or(0.0, |used| self.measure(i, used)),
            share: if team.gpus > 0.0 || team.gpus_max > 0.0 {
                team.gpus.max(0.5)
            } else {
                team.cpus.max(1.0)
            },
        };
        teams.map(claim).collect()
    }

    /// The terms of all jobs that wait, and the machines that are barred to each.
    fn terms_of_waiting(&mut self, partition: Partition, waiting: &[Waiting], ids: &[MachineId]) -> Vec<JobTerms> {
        let terms = |w: &Waiting| {
            let mut terms = self.terms(&w.id, w.team, w.slack_s)?;
            terms.rank = f64::from(w.priority as u8) * 10.0 + w.urgency;
            Some(terms)
        };
        let mut jobs: Vec<JobTerms> = waiting.iter().filter_map(terms).collect();
        for (w, terms) in waiting.iter().zip(jobs.iter_mut()).filter(|(_, t)| t.gang) {
            self.bar_listed(&w.id, ids, terms);
        }
        for (w, terms) in waiting.iter().zip(jobs.iter_mut()) {
            terms.barred.extend(self.reserved_for_others(&w.id, ids));
            if self.has_failures(&w.id) {
                terms.barred.extend(self.failed_places(&w.id, ids));
            }
        }
        if let Some((gang, machines)) = self.reserve(partition, waiting, &jobs) {
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
        jobs
    }

    /// Draws and places batches, until nothing more can be placed or the budget is used up.
    fn place_batches(
        &mut self,
        search: &mut BatchSearch,
        waiting: &[Waiting],
        (ids, slots): (&[MachineId], &mut Vec<Slot>),
        (jobs, room): (&mut Vec<JobTerms>, &mut Vec<Amounts>),
        budget: &mut usize,
    ) {
        let size = self.settings.operator.batch_tasks as usize;
        loop {
            let batch = draw(waiting, &mut search.next, &search.stuck, &mut search.claims, jobs, size);
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
            let choices = Batch::new(slots, jobs, room, &tasks)
                .guaranteed_first(first)
                .place(moves);
            for (Drawn { job, index, .. }, choice) in batch.into_iter().zip(choices) {
                let Some(machine) = choice.and_then(|c| ids.get(c)) else {
                    search.stuck.insert(job);
                    search.unplaced.push((job, index));
                    continue;
                };
                if let Some(w) = waiting.get(job) {
                    let job = w.id.clone();
                    self.book_start(machine, TaskId { job, index });
                }
            }
            if *budget == 0 {
                break;
            }
        }
        // Tasks of jobs that stuck wait too, even if no batch drew them; their room is limited.
        for (j, w) in waiting.iter().enumerate().filter(|(j, _)| search.stuck.contains(j)) {
            let from = search.next.get(j).copied().unwrap_or(0);
            search.unplaced.extend(w.tasks.iter().skip(from).map(|i| (j, *i)));
        }
    }

    /// Wishes for machines for tasks that found none, by job; and the jobs of those tasks, gangs left out, one entry for
    /// each task.
    fn wishes(
        &self,
        partition: Partition,
        unplaced: &[(usize, u32)],
        waiting: &[Waiting],
        jobs: &[JobTerms],
        (room, slots): (&mut [Amounts], &[Slot]),
    ) -> (BTreeMap<usize, UnplacedTasks>, Vec<usize>) {
        let mut wishes: BTreeMap<usize, UnplacedTasks> = BTreeMap::new();
        let mut without_machine: Vec<usize> = Vec::new();
        for (j, _) in unplaced {
            let Some(terms) = jobs.get(*j) else { continue };
            // Beyond its team's limit more machines would not help.
            let Some(left) = room.get_mut(terms.team) else { continue };
            if !fits(&terms.size, left) {
                continue;
            }
            subtract(left, &terms.size);
            if !terms.gang {
                without_machine.push(*j);
            }
            let Some(w) = waiting.get(*j) else { continue };
            let zone = || self.gang_zone(terms, slots);
            wishes
                .entry(*j)
                .or_insert_with(|| {
                    let mut wish = UnplacedTasks::new(partition, terms, w.priority >= Priority::Prod, w.slack_s);
                    wish.zone = wish.zone.or_else(zone);
                    wish
                })
                .count += 1;
        }
        (wishes, without_machine)
    }

    /// Machines that are kept for a gang which waits for too long: small jobs would else take what becomes
    /// free, task by task, and it would never find room for all of its tasks at one moment.
    ///
    /// One gang of a partition at a time, the one that has waited longest, and by turns: for as long again
    /// what is kept goes to others, so that a gang that never fits does not hold them up for ever.
    pub(super) fn reserve(
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
    pub(super) fn bar_listed(&self, id: &JobId, ids: &[MachineId], terms: &mut JobTerms) {
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
    pub(super) fn gang_zone(&self, terms: &JobTerms, slots: &[Slot]) -> Option<String> {
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

    pub(super) fn slots(&self, partition: Partition, least: &Amounts) -> (Vec<MachineId>, Vec<Slot>) {
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

    pub(super) fn terms(&self, id: &JobId, team: usize, slack_s: f64) -> Option<JobTerms> {
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
            estimate_s: self.estimates.run_s(spec),
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

    /// The zones with a kind that is about as cheap for a job as the cheapest; none if all zones are, or
    /// if the cloud has none of it at present.
    pub(super) fn cheap_zones(&self, spec: &JobSpec, cheapest: f64) -> Vec<String> {
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

    /// What a task costs an hour on the cheapest kind of machine that its job may use.
    pub(super) fn cheapest(&self, spec: &JobSpec) -> f64 {
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
}
