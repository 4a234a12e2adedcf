//! Making room for tasks that found none: stopping others, and moving replicas for others.

use super::Waiting;
use crate::controller::Controller;
use crate::disruption::Cause;
use crate::ids::{Attempt, JobId, MachineId, Partition, TaskId};
use crate::messages::Level;
use crate::placement::{Amounts, JobTerms};
use crate::protocol::{Priority, Shape};
use std::collections::{BTreeMap, BTreeSet};

/// What stopping a task of the same priority counts for, in seconds of lost work: more than any task
/// of lower priority loses.
const EQUAL_COST: f64 = 1e6;

/// A task that might be stopped to make room.
pub(super) struct Victim {
    pub(super) task: TaskId,
    pub(super) attempt: Attempt,
    pub(super) team: usize,
    pub(super) size: Amounts,
    /// What it takes, in its team's measure.
    measure: f64,
    pub(super) priority: Priority,
    /// Seconds of work lost with it; for a gang's task with the whole gang.
    pub(super) lost_s: f64,
    /// It is stopped with all others of its gang, or not at all.
    pub(super) gang: bool,
    /// It has been chosen.
    pub(super) taken: bool,
}

/// A task to be stopped: its machine, its name and its attempt.
pub(super) type StopOrder = (MachineId, TaskId, Attempt);

/// A machine, and room on it.
type Room = (MachineId, Amounts);

/// A machine on which room could be made.
pub(super) struct Yard {
    pub(super) id: MachineId,
    pub(super) model: String,
    pub(super) zone: String,
    pub(super) spot: bool,
    pub(super) free: Amounts,
    pub(super) victims: Vec<Victim>,
}

/// What [`Controller::preempt`] has found out.
#[derive(Default)]
pub(super) struct Preempted {
    /// The machines as they will be after the stops, if they were looked at.
    pub(super) yards: Option<Vec<Yard>>,
    /// Replicas of production work for which no room can be made.
    pub(super) stuck: Vec<usize>,
}

impl Controller {
    /// Stops work of lower priority, or work that another team runs beyond its guarantee, where that
    /// makes room for a task that found none.
    pub(super) fn preempt(
        &mut self,
        partition: Partition,
        needy: &[usize],
        waiting: &[Waiting],
        jobs: &[JobTerms],
        used: &[Amounts],
    ) -> Preempted {
        let teams = self.settings.platform.facts.teams.clone();
        let patience = 3 * self.settings.report_ms();
        let boot_s = self.longest_boot_s();
        let guarantee = |team: usize| {
            teams.get(team).map_or(0.0, |t| {
                if t.gpus > 0.0 || t.gpus_max > 0.0 {
                    t.gpus
                } else {
                    t.cpus
                }
            })
        };
        let mut used: Vec<f64> = used.iter().enumerate().map(|(i, u)| self.measure(i, u)).collect();
        let mut yards: Option<Vec<Yard>> = None;
        let mut stops: Vec<StopOrder> = Vec::new();
        let mut stuck: Vec<usize> = Vec::new();
        // Jobs for which no room can be made: their other tasks need not be tried.
        let mut hopeless: BTreeSet<usize> = BTreeSet::new();
        let (mut looks, most) = (0, self.settings.search_evaluations());
        for j in needy {
            let (Some(w), Some(terms)) = (waiting.get(*j), jobs.get(*j)) else {
                continue;
            };
            if hopeless.contains(j) {
                continue;
            }
            let mine = self.measure(w.team, &terms.size);
            let within = used.get(w.team).is_some_and(|u| u + mine <= guarantee(w.team) + 1e-6);
            let waited_s = self.now.wall_ms.saturating_sub(w.at) as f64 / 1000.0;
            let urgent = w.priority >= Priority::Prod && waited_s >= self.stop_patience_s(&w.id, terms.guaranteed);
            let due = within && waited_s > boot_s;
            if !urgent && !due {
                continue;
            }
            let yards = yards.get_or_insert_with(|| self.yards(partition, patience));
            let fits = |free: &Amounts| terms.size.iter().zip(free).all(|(s, f)| *s <= f + 1e-6);
            let admits = |y: &Yard| terms.admits(&y.model, &y.zone, y.spot);
            if let Some(y) = yards.iter_mut().find(|y| fits(&y.free) && admits(y)) {
                // Room that was made for one task counts for its team: the guarantee is not claimed twice.
                if let Some(u) = used.get_mut(w.team) {
                    *u += mine;
                }
                y.free.iter_mut().zip(terms.size).for_each(|(f, s)| *f -= s);
                continue;
            }
            if looks > most {
                // The rest is tried with the next batch: beats and polls come first.
                break;
            }
            looks += yards.len();
            let mut best: Option<(f64, usize, Vec<usize>)> = None;
            for (at, y) in yards.iter().enumerate().filter(|(_, y)| admits(y)) {
                let mut victims: Vec<(f64, usize)> = y
                    .victims
                    .iter()
                    .enumerate()
                    .filter(|(_, v)| !v.taken)
                    .filter_map(|(i, v)| {
                        let lower = v.priority < w.priority;
                        // Higher priority would only take the room back: both would stop each other in turns.
                        let borrowed = within
                            && v.priority <= w.priority
                            && v.team != w.team
                            && used.get(v.team).is_some_and(|u| *u > guarantee(v.team));
                        // Of one priority, stopping one for the other gains nothing for users: last choice.
                        let lost = if lower { v.lost_s } else { v.lost_s + EQUAL_COST };
                        (lower || borrowed).then_some((lost, i))
                    })
                    .collect();
                if victims.is_empty() {
                    continue;
                }
                // Of equal victims one whose team has budget left for it goes first.
                let has_budget = |at: usize| {
                    let victim = y.victims.get(at);
                    victim.is_some_and(|v| self.has_disruption_budget(&v.task.job))
                };
                victims.sort_by(|a, b| {
                    let by_budget = || has_budget(b.1).cmp(&has_budget(a.1));
                    a.0.total_cmp(&b.0).then_with(by_budget)
                });
                let mut free = y.free;
                let mut cost = 0.0;
                let mut chosen = Vec::new();
                for (lost, i) in victims {
                    if fits(&free) {
                        break;
                    }
                    let Some(v) = y.victims.get(i) else { continue };
                    free.iter_mut().zip(v.size).for_each(|(f, s)| *f += s);
                    cost += 1.0 + lost;
                    chosen.push(i);
                }
                if fits(&free) && best.as_ref().is_none_or(|b| cost < b.0) {
                    best = Some((cost, at, chosen));
                }
            }
            let Some((_, at, chosen)) = best else {
                hopeless.insert(*j);
                if terms.service && w.priority >= Priority::Prod {
                    stuck.push(*j);
                }
                continue;
            };
            if let Some(u) = used.get_mut(w.team) {
                *u += mine;
            }
            let Some(y) = yards.get_mut(at) else { continue };
            y.free.iter_mut().zip(terms.size).for_each(|(f, s)| *f -= s);
            let mut gangs: BTreeSet<JobId> = BTreeSet::new();
            for i in chosen {
                let Some(v) = y.victims.get_mut(i) else { continue };
                if v.gang {
                    gangs.insert(v.task.job.clone());
                    stops.push((y.id.clone(), v.task.clone(), v.attempt));
                    continue;
                }
                v.taken = true;
                y.free.iter_mut().zip(v.size).for_each(|(f, s)| *f += s);
                if let Some(u) = used.get_mut(v.team) {
                    *u -= v.measure;
                }
                stops.push((y.id.clone(), v.task.clone(), v.attempt));
            }
            // With a gang's task go all others of the gang, wherever they are.
            for y in yards.iter_mut().filter(|_| !gangs.is_empty()) {
                for v in y.victims.iter_mut().filter(|v| !v.taken && gangs.contains(&v.task.job)) {
                    v.taken = true;
                    y.free.iter_mut().zip(v.size).for_each(|(f, s)| *f += s);
                    if let Some(u) = used.get_mut(v.team) {
                        *u -= v.measure;
                    }
                }
            }
        }
        self.evaluated += looks as u64;
        for (machine, task, attempt) in stops {
            self.log(Level::Info, format!("{machine}: stopping {task} to make room"));
            self.note_involuntary(&task, "preempted");
            self.stop_held(&machine, &task, attempt);
            if self.jobs.get(&task.job).is_some_and(|j| j.spec.shape == Shape::Gang) {
                self.stop_gang(&task.job);
            }
        }
        Preempted { yards, stuck }
    }

    /// Seconds for which production work waits before others are stopped for it. Where the class may wait
    /// for a machine to boot, nobody is stopped before that.
    pub(super) fn stop_patience_s(&self, id: &JobId, guaranteed: bool) -> f64 {
        let wait_s = self.wait_s(id);
        // The time for guaranteed work counts as well, for work that is.
        let wait_s = if guaranteed {
            wait_s.min(self.guarantee_s())
        } else {
            wait_s
        };
        (wait_s - self.longest_boot_s()).max(0.0)
    }

    fn longest_boot_s(&self) -> f64 {
        self.types.iter().map(|t| t.boot_s).fold(0.0, f64::max)
    }

    /// The machines of a partition on which room could be made, with all that could be stopped there.
    pub(super) fn yards(&self, partition: Partition, patience: u64) -> Vec<Yard> {
        let now = self.now.ms;
        let mut yards = Vec::new();
        for (id, m) in &self.machines {
            if m.partition != partition || !m.usable(now, patience) {
                continue;
            }
            let Some(t) = self.types.iter().find(|t| t.name == m.model) else {
                continue;
            };
            let mut free = [t.cpus, t.gpus, t.memory_gb];
            let mut victims = Vec::new();
            // Room that stops already under way will free counts as free.
            for h in m.held.iter().filter(|h| h.stop.is_none()) {
                free.iter_mut().zip(h.size).for_each(|(f, s)| *f -= s);
                let (Some(job), Some((team, _))) = (self.jobs.get(&h.task.job), self.settings.team(&h.team)) else {
                    continue;
                };
                let ran_s = h.running_since.map_or(0, |t| now.saturating_sub(t)) as f64 / 1000.0;
                let saves = job.spec.checkpoint_s > 0.0;
                let gang = job.spec.shape == Shape::Gang;
                let lost_s = match gang {
                    true => match self.gang_loss(&h.task.job, job) {
                        Some(lost_s) => lost_s,
                        None => continue,
                    },
                    false if saves => ran_s.min(job.spec.save_s),
                    false => ran_s,
                };
                victims.push(Victim {
                    task: h.task.clone(),
                    attempt: h.attempt,
                    team,
                    size: h.size,
                    measure: self.measure(team, &h.size),
                    priority: job.spec.priority,
                    lost_s,
                    gang,
                    taken: false,
                });
            }
            yards.push(Yard {
                id: id.clone(),
                model: m.model.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
                free,
                victims,
            });
        }
        yards
    }

    /// Moves replicas that could as well run in another zone, for replicas that could not.
    ///
    /// Spreading leaves the last replicas of a service only some zones, and those may be full of
    /// services that use less of the others than they could. A few at a time, for each is away for as
    /// long as it takes to fetch its image.
    pub(super) fn swap_replicas(&mut self, partition: Partition, stuck: &[usize], jobs: &[JobTerms], yards: Vec<Yard>) {
        const AT_ONCE: usize = 4;
        let now = self.now.ms;
        let settled = self.settings.worker_lease_ms();
        let lately = self
            .swapped
            .get(&partition)
            .is_some_and(|t| now.saturating_sub(*t) < 2 * self.settings.report_ms());
        if stuck.is_empty() || lately {
            return;
        }
        let mut soon: BTreeMap<MachineId, Amounts> = yards.into_iter().map(|y| (y.id, y.free)).collect();
        let fits = |size: &Amounts, free: &Amounts| size.iter().zip(free).all(|(s, f)| *s <= f + 1e-6);
        // Room that lower priority would yield counts: a replica that waits gets it at once. By kind, so that
        // what a job may not use is not looked at for each of its replicas.
        let mut could: BTreeMap<(&str, &str, bool), Vec<Room>> = BTreeMap::new();
        for (id, free) in &soon {
            let Some(m) = self.machines.get(id) else { continue };
            let mut free = *free;
            for h in &m.held {
                // A gang yields as a whole only.
                let yields = self
                    .jobs
                    .get(&h.task.job)
                    .is_some_and(|j| j.spec.priority < Priority::Prod && j.spec.shape != Shape::Gang);
                if yields && h.stop.is_none() {
                    free.iter_mut().zip(h.size).for_each(|(f, s)| *f += s);
                }
            }
            let kind = (m.model.as_str(), m.zone.as_str(), m.spot);
            could.entry(kind).or_default().push((id.clone(), free));
        }
        let mut moves: Vec<(MachineId, TaskId, Attempt)> = Vec::new();
        // Replicas of a job in a zone that could go nowhere else: room only shrinks, so the next one cannot
        // either. With hundreds of machines, asking for each anew took longer than a controller's lease.
        let mut rooted: BTreeSet<(&JobId, &str)> = BTreeSet::new();
        let mut budget = self.settings.search_evaluations();
        for j in stuck {
            if moves.len() >= AT_ONCE {
                break;
            }
            let Some(terms) = jobs.get(*j) else { continue };
            let mut found = None;
            'machines: for (id, free) in &soon {
                budget = budget.saturating_sub(1);
                let Some(m) = self.machines.get(id).filter(|_| budget > 0) else {
                    continue;
                };
                if !terms.admits(&m.model, &m.zone, m.spot) {
                    continue;
                }
                for h in m.held.iter().filter(|h| h.stop.is_none()) {
                    let old = h.running_since.is_some_and(|t| now.saturating_sub(t) > settled);
                    let mut with = *free;
                    with.iter_mut().zip(h.size).for_each(|(f, s)| *f += s);
                    if !old || !fits(&terms.size, &with) || moves.iter().any(|(_, t, _)| t.job == h.task.job) {
                        continue;
                    }
                    let Some((name, job)) = self.jobs.get_key_value(&h.task.job) else {
                        continue;
                    };
                    if job.spec.shape != Shape::Service || job.partition != partition || job.shunned.is_some() {
                        continue;
                    }
                    if rooted.contains(&(name, m.zone.as_str())) {
                        continue;
                    }
                    let team = self.settings.team(&job.spec.team).map_or(0, |(t, _)| t);
                    let Some(mut other) = self.terms(&h.task.job, team, f64::MAX) else {
                        continue;
                    };
                    if let Some(n) = other.in_zone.get_mut(&m.zone) {
                        *n = n.saturating_sub(1);
                    }
                    other.shunned = Some(m.zone.clone());
                    let mut to = None;
                    for ((model, zone, spot), machines) in &could {
                        if to.is_none() && other.admits(model, zone, *spot) {
                            budget = budget.saturating_sub(machines.len());
                            to = machines.iter().find(|(_, free)| fits(&h.size, free)).map(|(to, _)| to);
                        }
                    }
                    if let Some(to) = to {
                        found = Some((id.clone(), h.task.clone(), h.attempt, h.size, to.clone()));
                        break 'machines;
                    }
                    rooted.insert((name, m.zone.as_str()));
                }
            }
            let Some((id, task, attempt, size, to)) = found else {
                continue;
            };
            if let Some(free) = soon.get_mut(&id) {
                free.iter_mut().zip(size).for_each(|(f, s)| *f += s);
                free.iter_mut().zip(terms.size).for_each(|(f, s)| *f -= s);
            }
            if let Some((_, free)) = could.values_mut().flatten().find(|(other, _)| *other == to) {
                free.iter_mut().zip(size).for_each(|(f, s)| *f -= s);
            }
            moves.push((id, task, attempt));
        }
        self.evaluated += self.settings.search_evaluations().saturating_sub(budget) as u64;
        if budget == 0 {
            // The rest is tried again later: beats and polls come first.
            self.swapped.insert(partition, now);
        }
        if moves.is_empty() {
            return;
        }
        self.swapped.insert(partition, now);
        for (machine, task, attempt) in moves {
            if self.disruption.is_some() {
                self.move_by_permit(&machine, &task, attempt, 2 * settled);
                continue;
            }
            self.log(
                Level::Info,
                format!("{machine}: {task} moves to another zone, for a replica that may not"),
            );
            let zone = self.machines.get(&machine).map(|m| m.zone.clone()).unwrap_or_default();
            if let Some(job) = self.jobs.get_mut(&task.job) {
                job.shunned = Some((zone, now + 2 * settled));
            }
            self.stop_held(&machine, &task, attempt);
        }
    }

    /// Moves a replica for another one if its budget permits it, and keeps it away from the zone that it leaves.
    fn move_by_permit(&mut self, machine: &MachineId, task: &TaskId, attempt: Attempt, shunned_ms: u64) {
        if self.interrupt(machine, task, attempt, Cause::Spreading).is_err() {
            return;
        }
        let zone = self.machines.get(machine).map(|m| m.zone.clone()).unwrap_or_default();
        let until = self.now.ms + shunned_ms;
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.shunned = Some((zone, until));
        }
    }
}
