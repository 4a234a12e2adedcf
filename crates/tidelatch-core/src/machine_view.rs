//! This controller's view of the machines: which tasks may be on each, and the reports that prove it.
//!
//! A machine counts as holding a task from the moment the task is booked there. It stops counting only when the
//! task's exit is reported, when a periodic report that was sent after the worker received the start does not list
//! the task, when the machine begins a new session, or when the cloud has answered that the machine is deleted. The
//! expiry of an unresponsive worker's lease is never taken as evidence, because any entitled controller may have
//! answered the worker and thereby renewed it.

mod commands;
mod direct_starts;
mod machine;
mod report_routing;
mod reports;
mod shared_machines;
mod unresponsive_machines;

pub(crate) use machine::{HeldTask, HeldTaskState, Machine, MisdirectedWorker, StopRequest};

use crate::controller::Controller;
use crate::ids::{Attempt, MachineId, Partition, TaskId};
use crate::messages::Level;

impl Controller {
    /// Discards what is known about a partition's machines and jobs. Called when a tenure starts or ends.
    pub(crate) fn reset_partition(&mut self, partition: Partition) {
        let now = self.now.ms;
        let (settings, tenures) = (&self.settings, &self.tenures);
        // Tasks of the other partitions that this controller owns stay known if they are on one of these machines.
        let is_of_another_partition = |held: &HeldTask| {
            let owner = settings.partition_of_team(&held.team);
            owner.is_some_and(|p| p != partition && tenures.contains_key(&p))
        };
        // Jobs of partitions that this controller does not own stay in its view and are not reset below. If they kept
        // a placement on this machine, the next report of the task would look like a second copy on another machine,
        // and the task would be stopped.
        let mut removed_placements: Vec<(TaskId, MachineId)> = Vec::new();
        for (id, m) in self.machines.iter_mut().filter(|(_, m)| m.partition == partition) {
            m.is_confirmed = false;
            m.confirming = false;
            let dropped = m.held.iter().filter(|held| !is_of_another_partition(held));
            removed_placements.extend(dropped.map(|held| (held.task.clone(), id.clone())));
            m.held.retain(is_of_another_partition);
            m.only_others_since = None;
            m.ended.clear();
            // Older starts are fenced by the epoch of the next tenure: reports under an older epoch are not accepted.
            m.unanswered_starts.clear();
            m.pending_command = None;
            m.last_heard_at = None;
            m.heard_directly = None;
            m.failed_probes = 0;
            m.probing = false;
            m.known_since = now;
            m.idle_since = None;
            m.moving_to = None;
            m.retiring = false;
            m.draining = false;
            m.vacating_for = None;
            m.deleting = false;
            m.is_boot_write_pending = false;
            m.may_hold_older_tasks = m.is_up();
            m.missed_answers = 0;
            m.last_answered_at = None;
            m.direct_starts.clear();
        }
        for (task, machine) in removed_placements {
            self.remove_placement(&task, &machine);
        }
        self.reset_disruption(partition);
        self.reset_roster(partition);
        self.reset_jobs(partition);
        self.reset_shared_machines(partition);
    }

    /// Adds a task to those that a machine holds and to the placements of its job.
    pub(super) fn add_held_task(&mut self, machine: &MachineId, held: HeldTask) {
        if let Some(job) = self.jobs.get_mut(&held.task.job) {
            job.placed.entry(held.task.index).or_default().push(machine.clone());
        }
        if let Some(m) = self.machines.get_mut(machine) {
            m.idle_since = None;
            m.held.push(held);
        }
    }

    /// Books the start of a task on a machine. The task counts as held from now on; the command is sent with the
    /// answer to the next report or in a direct command.
    pub(crate) fn book_start(&mut self, machine: &MachineId, task: TaskId) {
        let demand = self
            .jobs
            .get(&task.job)
            .map(|j| (Self::task_resources(&j.spec), j.spec.team.clone(), j.partition));
        let Some((size, team, partition)) = demand else { return };
        let Some(attempt) = self.next_attempt(&task.job, partition) else {
            return;
        };
        self.machines_with_urgent_commands.insert(machine.clone());
        self.log(Level::Debug, format!("{machine}: {task} placed, attempt {attempt}"));
        self.add_held_task(
            machine,
            HeldTask {
                task,
                attempt,
                state: HeldTaskState::Booked,
                running_since: None,
                stop: None,
                size,
                team,
            },
        );
    }

    /// Removes a machine from the placements of a task.
    fn remove_placement(&mut self, task: &TaskId, machine: &MachineId) {
        if let Some(job) = self.jobs.get_mut(&task.job)
            && let Some(machines) = job.placed.get_mut(&task.index)
        {
            machines.retain(|m| m != machine);
            if machines.is_empty() {
                job.placed.remove(&task.index);
                job.first_unplaced_index = job.first_unplaced_index.min(task.index);
            }
        }
    }

    /// Releases one attempt that is proven to be gone from a machine.
    pub(super) fn release_attempt(&mut self, machine: &MachineId, task: &TaskId, attempt: Attempt) {
        if let Some(m) = self.machines.get_mut(machine) {
            m.held.retain(|h| h.task != *task || h.attempt != attempt);
            if m.held.iter().any(|h| h.task == *task) {
                return;
            }
        }
        self.remove_placement(task, machine);
        self.schedule_batch();
    }

    /// Releases all attempts on a machine that are proven to be gone, or that go on under another owner after the
    /// machine was handed over. `why` names the reason in the log.
    pub(crate) fn release_all_attempts(&mut self, machine: &MachineId, why: &str) {
        let held: Vec<(TaskId, Attempt)> = match self.machines.get(machine) {
            Some(m) => m.held.iter().map(|h| (h.task.clone(), h.attempt)).collect(),
            None => return,
        };
        if !held.is_empty() {
            self.log(Level::Info, format!("{machine}: {} tasks released: {why}", held.len()));
        }
        for (task, attempt) in held {
            self.release_attempt(machine, &task, attempt);
        }
    }
}
