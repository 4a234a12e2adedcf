//! The machines as this controller sees them: what may be on each, and the evidence for it.
//!
//! A task counts as held by a machine from the moment it is booked there. It stops to count only when
//! its exit is reported, when a later periodic report than the one that carried its start comes without it, when
//! the machine begins a new session, or when the cloud has answered that the machine is deleted. A
//! silent worker's lease is never taken as evidence: any entitled controller may have answered it.

mod commands;
mod machine;
mod report_routing;
mod reports;
mod shared_machines;
mod silence;

pub(crate) use machine::{Guest, Held, HeldState, Machine, Stop};

use crate::controller::Controller;
use crate::ids::{Attempt, MachineId, Partition, TaskId};
use crate::messages::Level;

impl Controller {
    /// At the start of a tenure nothing of the partition's machines and jobs is known any more.
    pub(crate) fn reset_partition(&mut self, partition: Partition) {
        let now = self.now.ms;
        let (settings, tenures) = (&self.settings, &self.tenures);
        // Tasks that another partition of this controller's has on one of these machines stay known.
        let of_another = |held: &Held| {
            let owner = settings.partition_of_team(&held.team);
            owner.is_some_and(|p| p != partition && tenures.contains_key(&p))
        };
        // Jobs of partitions that this controller does not own stay in its view, and are not reset below. A place that they
        // kept here would look like a second machine as soon as this one reports the task again, which would be stopped.
        let mut forgotten: Vec<(TaskId, MachineId)> = Vec::new();
        for (id, m) in self.machines.iter_mut().filter(|(_, m)| m.partition == partition) {
            m.confirmed = false;
            m.confirming = false;
            let dropped = m.held.iter().filter(|held| !of_another(held));
            forgotten.extend(dropped.map(|held| (held.task.clone(), id.clone())));
            m.held.retain(of_another);
            m.only_others_since = None;
            m.ended.clear();
            // Older starts are fenced by the token of this tenure, without which nothing counts.
            m.pins.clear();
            m.commanding = None;
            m.heard = None;
            m.heard_directly = None;
            m.probes_failed = 0;
            m.probing = false;
            m.known_since = now;
            m.idle_since = None;
            m.moving = None;
            m.retiring = false;
            m.draining = false;
            m.vacating = None;
            m.deleting = false;
            m.storing = false;
            m.may_hold = m.up();
            m.missed = 0;
            m.answered = None;
            m.directs.clear();
        }
        for (task, machine) in forgotten {
            self.forget_place(&task, &machine);
        }
        self.reset_disruption(partition);
        self.reset_roster(partition);
        self.reset_jobs(partition);
        self.reset_shared_machines(partition);
    }

    pub(super) fn hold(&mut self, machine: &MachineId, held: Held) {
        if let Some(job) = self.jobs.get_mut(&held.task.job) {
            job.placed.entry(held.task.index).or_default().push(machine.clone());
        }
        if let Some(m) = self.machines.get_mut(machine) {
            m.idle_since = None;
            m.held.push(held);
        }
    }

    /// Books a start on a machine: it counts from now on, and goes out with the answer to the next report.
    pub(crate) fn book_start(&mut self, machine: &MachineId, task: TaskId) {
        let of_job = self
            .jobs
            .get(&task.job)
            .map(|j| (Self::size(&j.spec), j.spec.team.clone(), j.partition));
        let Some((size, team, partition)) = of_job else { return };
        let Some(attempt) = self.next_attempt(&task.job, partition) else {
            return;
        };
        self.poked.insert(machine.clone());
        self.log(Level::Debug, format!("{machine}: {task} placed, attempt {attempt}"));
        self.hold(
            machine,
            Held {
                task,
                attempt,
                state: HeldState::Booked,
                running_since: None,
                stop: None,
                size,
                team,
            },
        );
    }

    /// A machine counts no longer as one that holds the task.
    fn forget_place(&mut self, task: &TaskId, machine: &MachineId) {
        if let Some(job) = self.jobs.get_mut(&task.job)
            && let Some(machines) = job.placed.get_mut(&task.index)
        {
            machines.retain(|m| m != machine);
            if machines.is_empty() {
                job.placed.remove(&task.index);
                job.cursor = job.cursor.min(task.index);
            }
        }
    }

    /// One attempt is proven gone from a machine.
    pub(super) fn release(&mut self, machine: &MachineId, task: &TaskId, attempt: Attempt) {
        if let Some(m) = self.machines.get_mut(machine) {
            m.held.retain(|h| h.task != *task || h.attempt != attempt);
            if m.held.iter().any(|h| h.task == *task) {
                return;
            }
        }
        self.forget_place(task, machine);
        self.want_batch();
    }

    /// Everything on a machine is proven gone.
    pub(crate) fn release_all(&mut self, machine: &MachineId, why: &str) {
        let held: Vec<(TaskId, Attempt)> = match self.machines.get(machine) {
            Some(m) => m.held.iter().map(|h| (h.task.clone(), h.attempt)).collect(),
            None => return,
        };
        if !held.is_empty() {
            self.log(Level::Info, format!("{machine}: {} tasks are gone: {why}", held.len()));
        }
        for (task, attempt) in held {
            self.release(machine, &task, attempt);
        }
    }
}
