//! Moves of replicas that could run in another zone, to make room for replicas that could not.

use super::victims::{CandidateMachine, StopOrder, add, fits, subtract};
use crate::controller::Controller;
use crate::disruption::InterruptionCause;
use crate::ids::{Attempt, JobId, MachineId, Partition, TaskId};
use crate::machine_view::{HeldTask, Machine};
use crate::messages::Level;
use crate::placement::{Amounts, JobTerms};
use crate::protocol::{Priority, Shape};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of replicas that are moved at a time.
const MAX_MOVES_AT_ONCE: usize = 4;

/// A machine and the room on it.
type MachineRoom = (MachineId, Amounts);

/// A replica to move: its machine and attempt, its size, and a machine with room for it.
struct ReplicaMove {
    stop: StopOrder,
    size: Amounts,
    destination: MachineId,
}

/// State of a search: the room on each machine after the moves chosen so far.
struct ReplicaMoveSearch<'a> {
    controller: &'a Controller,
    partition: Partition,
    /// Room on each machine, including what pending stops will free.
    free: BTreeMap<MachineId, Amounts>,
    /// Room on each machine including what preemption of lower priority would free, since preemption gives a waiting
    /// replica that room at once. Grouped by type, zone and spot, so that machines a job may not use are not examined
    /// for each of its replicas.
    destinations: BTreeMap<(&'a str, &'a str, bool), Vec<MachineRoom>>,
    moves: Vec<StopOrder>,
    /// Jobs and zones whose replicas have no destination. Room only shrinks during a search, so their next replica has
    /// none either. Without this, a search among hundreds of machines could take longer than a controller's lease.
    immovable_replicas: BTreeSet<(&'a JobId, &'a str)>,
    evaluations_left: usize,
}

impl Controller {
    /// Moves replicas that could run in another zone to make room for replicas that could not.
    ///
    /// The limit on a service's replicas in one zone (`max_tasks_per_zone`) leaves only some zones for the last
    /// replicas of a service, and those may be full of services that could use other zones. Only a few replicas are
    /// moved at a time, because each is unavailable while its image is fetched.
    pub(super) fn move_replicas_for_blocked(
        &mut self,
        partition: Partition,
        blocked_replicas: &[usize],
        jobs: &[JobTerms],
        machines: Vec<CandidateMachine>,
    ) {
        let now = self.now.ms;
        let has_moved_recently = self
            .last_replica_moves_ms
            .get(&partition)
            .is_some_and(|t| now.saturating_sub(*t) < 2 * self.settings.report_ms());
        if blocked_replicas.is_empty() || has_moved_recently {
            return;
        }
        let max_evaluations = self.settings.search_evaluations();
        let mut search = ReplicaMoveSearch::new(self, partition, machines);
        for terms in blocked_replicas.iter().filter_map(|j| jobs.get(*j)) {
            if search.moves.len() >= MAX_MOVES_AT_ONCE {
                break;
            }
            if let Some(found) = search.find_move(terms) {
                search.apply_move(terms, found);
            }
        }
        let (moves, evaluations_left) = (search.moves, search.evaluations_left);
        self.evaluated_candidates += max_evaluations.saturating_sub(evaluations_left) as u64;
        // If the search budget is used up, the rest is tried again later, so that heartbeats and polls are not
        // delayed.
        if evaluations_left == 0 || !moves.is_empty() {
            self.last_replica_moves_ms.insert(partition, now);
        }
        for (machine, task, attempt) in moves {
            self.move_replica(&machine, &task, attempt);
        }
    }

    /// Moves a replica to make room for another one if its disruption budget permits it, and keeps its job out of the
    /// zone that it leaves for some time.
    fn move_replica(&mut self, machine: &MachineId, task: &TaskId, attempt: Attempt) {
        if self.disruption.is_some() {
            if self
                .interrupt(machine, task, attempt, InterruptionCause::Spreading)
                .is_err()
            {
                return;
            }
        } else {
            self.log(
                Level::Info,
                format!("{machine}: moving {task} to another zone so that a replica that cannot run elsewhere fits"),
            );
            self.request_stop(machine, task, attempt);
        }
        let zone = self.machines.get(machine).map(|m| m.zone.clone()).unwrap_or_default();
        let until = self.now.ms + 2 * self.settings.worker_lease_ms();
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.avoided_zone = Some((zone, until));
        }
    }
}

impl<'a> ReplicaMoveSearch<'a> {
    fn new(controller: &'a Controller, partition: Partition, machines: Vec<CandidateMachine>) -> Self {
        let free: BTreeMap<MachineId, Amounts> = machines.into_iter().map(|m| (m.id, m.free)).collect();
        let mut destinations: BTreeMap<(&str, &str, bool), Vec<MachineRoom>> = BTreeMap::new();
        for (id, free) in &free {
            let Some(m) = controller.machines.get(id) else { continue };
            let kind = (m.model.as_str(), m.zone.as_str(), m.spot);
            let room = room_after_preemption(controller, m, free);
            destinations.entry(kind).or_default().push((id.clone(), room));
        }
        Self {
            controller,
            partition,
            free,
            destinations,
            moves: Vec::new(),
            immovable_replicas: BTreeSet::new(),
            evaluations_left: controller.settings.search_evaluations(),
        }
    }

    /// Finds a replica whose move makes room for a replica of the given job.
    fn find_move(&mut self, terms: &JobTerms) -> Option<ReplicaMove> {
        let controller = self.controller;
        let machines: Vec<MachineRoom> = self.free.iter().map(|(id, free)| (id.clone(), *free)).collect();
        for (id, free) in machines {
            self.evaluations_left = self.evaluations_left.saturating_sub(1);
            let Some((id, m)) = controller
                .machines
                .get_key_value(&id)
                .filter(|_| self.evaluations_left > 0)
            else {
                continue;
            };
            if !terms.admits(&m.model, &m.zone, m.spot) {
                continue;
            }
            for held in m.held.iter().filter(|h| h.stop.is_none()) {
                let mut room = free;
                add(&mut room, &held.size);
                if !self.can_be_chosen(held) || !fits(&terms.size, &room) {
                    continue;
                }
                if let Some(destination) = self.find_destination(m, held) {
                    return Some(ReplicaMove {
                        stop: (id.clone(), held.task.clone(), held.attempt),
                        size: held.size,
                        destination,
                    });
                }
            }
        }
        None
    }

    /// Whether a task has run for longer than a worker lease and no task of its job has been chosen yet.
    fn can_be_chosen(&self, held: &HeldTask) -> bool {
        let now = self.controller.now.ms;
        let min_run_ms = self.controller.settings.worker_lease_ms();
        let has_run_long_enough = held.running_since.is_some_and(|t| now.saturating_sub(t) > min_run_ms);
        has_run_long_enough && !self.moves.iter().any(|(_, task, _)| task.job == held.task.job)
    }

    /// Finds a machine in another zone that a replica could move to.
    fn find_destination(&mut self, m: &'a Machine, held: &HeldTask) -> Option<MachineId> {
        let controller = self.controller;
        let (job_id, job) = controller.jobs.get_key_value(&held.task.job)?;
        let is_movable =
            job.spec.shape == Shape::Service && job.partition == self.partition && job.avoided_zone.is_none();
        if !is_movable || self.immovable_replicas.contains(&(job_id, m.zone.as_str())) {
            return None;
        }
        let team = controller.settings.team(&job.spec.team).map_or(0, |(t, _)| t);
        let mut terms = controller.job_terms(&held.task.job, team, f64::MAX)?;
        if let Some(n) = terms.tasks_by_zone.get_mut(&m.zone) {
            *n = n.saturating_sub(1);
        }
        terms.avoided_zone = Some(m.zone.clone());
        let mut to = None;
        for ((model, zone, spot), machines) in &self.destinations {
            if to.is_none() && terms.admits(model, zone, *spot) {
                self.evaluations_left = self.evaluations_left.saturating_sub(machines.len());
                to = machines
                    .iter()
                    .find(|(_, free)| fits(&held.size, free))
                    .map(|(to, _)| to);
            }
        }
        if to.is_none() {
            self.immovable_replicas.insert((job_id, m.zone.as_str()));
        }
        to.cloned()
    }

    /// Applies a move to the search state: the waiting replica takes the room that the moved one leaves.
    fn apply_move(&mut self, terms: &JobTerms, found: ReplicaMove) {
        if let Some(free) = self.free.get_mut(&found.stop.0) {
            add(free, &found.size);
            subtract(free, &terms.size);
        }
        let mut machine_rooms = self.destinations.values_mut().flatten();
        if let Some((_, free)) = machine_rooms.find(|(id, _)| *id == found.destination) {
            subtract(free, &found.size);
        }
        self.moves.push(found.stop);
    }
}

/// Room on a machine including what preemption of lower priority would free. Tasks of gangs are left out, because a
/// gang is only stopped as a whole.
fn room_after_preemption(controller: &Controller, m: &Machine, free: &Amounts) -> Amounts {
    let mut room = *free;
    for held in m.held.iter().filter(|h| h.stop.is_none()) {
        let job = controller.jobs.get(&held.task.job);
        if job.is_some_and(|j| j.spec.priority < Priority::Prod && j.spec.shape != Shape::Gang) {
            add(&mut room, &held.size);
        }
    }
    room
}
