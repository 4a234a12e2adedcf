//! Moving replicas that could as well run in another zone, for replicas that could not.

use super::victims::{CandidateMachine, StopOrder, add, fits, subtract};
use crate::controller::Controller;
use crate::disruption::Cause;
use crate::ids::{Attempt, JobId, MachineId, Partition, TaskId};
use crate::machine_view::{Held, Machine};
use crate::messages::Level;
use crate::placement::{Amounts, JobTerms};
use crate::protocol::{Priority, Shape};
use std::collections::{BTreeMap, BTreeSet};

/// Replicas that are moved at a time.
const AT_ONCE: usize = 4;

/// A machine, and room on it.
type Room = (MachineId, Amounts);

/// A replica that is to move: its place, what it takes, and a machine that has room for it.
struct ReplicaMove {
    stop: StopOrder,
    size: Amounts,
    to: MachineId,
}

/// The rooms as they are after the moves that have been chosen.
struct Search<'a> {
    controller: &'a Controller,
    partition: Partition,
    /// Room on each machine, with what stops under way will free.
    free: BTreeMap<MachineId, Amounts>,
    /// The same, with what lower priority would yield: a replica that waits gets that at once. By kind, so that what
    /// a job may not use is not looked at for each of its replicas.
    destinations: BTreeMap<(&'a str, &'a str, bool), Vec<Room>>,
    moves: Vec<StopOrder>,
    /// Replicas of a job in a zone that could go nowhere else: room only shrinks, so the next one cannot
    /// either. With hundreds of machines, asking for each anew took longer than a controller's lease.
    rooted: BTreeSet<(&'a JobId, &'a str)>,
    budget: usize,
}

impl Controller {
    /// Moves replicas that could as well run in another zone, for replicas that could not.
    ///
    /// Spreading leaves the last replicas of a service only some zones, and those may be full of
    /// services that use less of the others than they could. A few at a time, for each is away for as
    /// long as it takes to fetch its image.
    pub(super) fn swap_replicas(
        &mut self,
        partition: Partition,
        stuck: &[usize],
        jobs: &[JobTerms],
        machines: Vec<CandidateMachine>,
    ) {
        let now = self.now.ms;
        let lately = self
            .swapped
            .get(&partition)
            .is_some_and(|t| now.saturating_sub(*t) < 2 * self.settings.report_ms());
        if stuck.is_empty() || lately {
            return;
        }
        let most = self.settings.search_evaluations();
        let mut search = Search::new(self, partition, machines);
        for terms in stuck.iter().filter_map(|j| jobs.get(*j)) {
            if search.moves.len() >= AT_ONCE {
                break;
            }
            if let Some(found) = search.find(terms) {
                search.book(terms, found);
            }
        }
        let (moves, budget) = (search.moves, search.budget);
        self.evaluated += most.saturating_sub(budget) as u64;
        // Without budget the rest is tried again later: beats and polls come first.
        if budget == 0 || !moves.is_empty() {
            self.swapped.insert(partition, now);
        }
        for (machine, task, attempt) in moves {
            self.move_replica(&machine, &task, attempt);
        }
    }

    /// Moves a replica for another one, if its budget permits it, and keeps it away from the zone that it leaves.
    fn move_replica(&mut self, machine: &MachineId, task: &TaskId, attempt: Attempt) {
        if self.disruption.is_some() {
            if self.interrupt(machine, task, attempt, Cause::Spreading).is_err() {
                return;
            }
        } else {
            self.log(
                Level::Info,
                format!("{machine}: {task} moves to another zone, for a replica that may not"),
            );
            self.stop_held(machine, task, attempt);
        }
        let zone = self.machines.get(machine).map(|m| m.zone.clone()).unwrap_or_default();
        let until = self.now.ms + 2 * self.settings.worker_lease_ms();
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.shunned = Some((zone, until));
        }
    }
}

impl<'a> Search<'a> {
    fn new(controller: &'a Controller, partition: Partition, machines: Vec<CandidateMachine>) -> Self {
        let free: BTreeMap<MachineId, Amounts> = machines.into_iter().map(|m| (m.id, m.free)).collect();
        let mut destinations: BTreeMap<(&str, &str, bool), Vec<Room>> = BTreeMap::new();
        for (id, free) in &free {
            let Some(m) = controller.machines.get(id) else { continue };
            let kind = (m.model.as_str(), m.zone.as_str(), m.spot);
            let room = room_with_yielding(controller, m, free);
            destinations.entry(kind).or_default().push((id.clone(), room));
        }
        Self {
            controller,
            partition,
            free,
            destinations,
            moves: Vec::new(),
            rooted: BTreeSet::new(),
            budget: controller.settings.search_evaluations(),
        }
    }

    /// A replica that can make room for one of a job by moving.
    fn find(&mut self, terms: &JobTerms) -> Option<ReplicaMove> {
        let controller = self.controller;
        let machines: Vec<Room> = self.free.iter().map(|(id, free)| (id.clone(), *free)).collect();
        for (id, free) in machines {
            self.budget = self.budget.saturating_sub(1);
            let Some((id, m)) = controller.machines.get_key_value(&id).filter(|_| self.budget > 0) else {
                continue;
            };
            if !terms.admits(&m.model, &m.zone, m.spot) {
                continue;
            }
            for held in m.held.iter().filter(|h| h.stop.is_none()) {
                let mut with = free;
                add(&mut with, &held.size);
                if !self.is_settled(held) || !fits(&terms.size, &with) {
                    continue;
                }
                if let Some(to) = self.destination(m, held) {
                    return Some(ReplicaMove {
                        stop: (id.clone(), held.task.clone(), held.attempt),
                        size: held.size,
                        to,
                    });
                }
            }
        }
        None
    }

    /// Whether a task has run for some time, and none of its job has been chosen.
    fn is_settled(&self, held: &Held) -> bool {
        let now = self.controller.now.ms;
        let settled = self.controller.settings.worker_lease_ms();
        let old = held.running_since.is_some_and(|t| now.saturating_sub(t) > settled);
        old && !self.moves.iter().any(|(_, task, _)| task.job == held.task.job)
    }

    /// A machine in another zone that a replica could move to.
    fn destination(&mut self, m: &'a Machine, held: &Held) -> Option<MachineId> {
        let controller = self.controller;
        let (name, job) = controller.jobs.get_key_value(&held.task.job)?;
        let movable = job.spec.shape == Shape::Service && job.partition == self.partition && job.shunned.is_none();
        if !movable || self.rooted.contains(&(name, m.zone.as_str())) {
            return None;
        }
        let team = controller.settings.team(&job.spec.team).map_or(0, |(t, _)| t);
        let mut terms = controller.terms(&held.task.job, team, f64::MAX)?;
        if let Some(n) = terms.in_zone.get_mut(&m.zone) {
            *n = n.saturating_sub(1);
        }
        terms.shunned = Some(m.zone.clone());
        let mut to = None;
        for ((model, zone, spot), machines) in &self.destinations {
            if to.is_none() && terms.admits(model, zone, *spot) {
                self.budget = self.budget.saturating_sub(machines.len());
                to = machines
                    .iter()
                    .find(|(_, free)| fits(&held.size, free))
                    .map(|(to, _)| to);
            }
        }
        if to.is_none() {
            self.rooted.insert((name, m.zone.as_str()));
        }
        to.cloned()
    }

    /// A move has been chosen: the waiting replica takes the place that is left.
    fn book(&mut self, terms: &JobTerms, found: ReplicaMove) {
        if let Some(free) = self.free.get_mut(&found.stop.0) {
            add(free, &found.size);
            subtract(free, &terms.size);
        }
        let mut rooms = self.destinations.values_mut().flatten();
        if let Some((_, free)) = rooms.find(|(id, _)| *id == found.to) {
            subtract(free, &found.size);
        }
        self.moves.push(found.stop);
    }
}

/// Room on a machine with what lower priority would yield. A gang yields as a whole only.
fn room_with_yielding(controller: &Controller, m: &Machine, free: &Amounts) -> Amounts {
    let mut room = *free;
    for held in m.held.iter().filter(|h| h.stop.is_none()) {
        let job = controller.jobs.get(&held.task.job);
        if job.is_some_and(|j| j.spec.priority < Priority::Prod && j.spec.shape != Shape::Gang) {
            add(&mut room, &held.size);
        }
    }
    room
}
