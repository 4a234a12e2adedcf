//! Machines on which room could be made, and the tasks that could be stopped there.

use crate::controller::Controller;
use crate::ids::{Attempt, JobId, MachineId, Partition, TaskId};
use crate::jobs::Job;
use crate::machine_view::{Held, Machine};
use crate::placement::Amounts;
use crate::protocol::{Priority, Shape};
use std::collections::BTreeSet;

/// A task that might be stopped to make room.
pub(super) struct Victim {
    pub(super) task: TaskId,
    pub(super) attempt: Attempt,
    pub(super) team: usize,
    pub(super) size: Amounts,
    /// What it takes, in its team's measure.
    pub(super) measure: f64,
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

/// A machine on which room could be made.
pub(super) struct CandidateMachine {
    pub(super) id: MachineId,
    pub(super) model: String,
    pub(super) zone: String,
    pub(super) spot: bool,
    /// Room that is free or that stops under way will free.
    pub(super) free: Amounts,
    /// Room that is free now.
    pub(super) free_now: Amounts,
    /// Images that it holds.
    pub(super) images: BTreeSet<String>,
    pub(super) victims: Vec<Victim>,
}

impl CandidateMachine {
    /// All tasks of these gangs on it are chosen; what each of them leaves is handed to `left`.
    pub(super) fn take_gangs(&mut self, gangs: &BTreeSet<JobId>, mut left: impl FnMut(&Victim)) {
        let victims = self.victims.iter_mut();
        for victim in victims.filter(|v| !v.taken && gangs.contains(&v.task.job)) {
            victim.taken = true;
            add(&mut self.free, &victim.size);
            left(victim);
        }
    }
}

/// Adds amounts.
pub(super) fn add(amounts: &mut Amounts, more: &Amounts) {
    amounts.iter_mut().zip(more).for_each(|(a, m)| *a += m);
}

/// Takes amounts off.
pub(super) fn subtract(amounts: &mut Amounts, less: &Amounts) {
    amounts.iter_mut().zip(less).for_each(|(a, l)| *a -= l);
}

/// Whether a size fits into some room.
pub(super) fn fits(size: &Amounts, room: &Amounts) -> bool {
    size.iter().zip(room).all(|(s, r)| *s <= r + 1e-6)
}

impl Controller {
    /// The machines of a partition on which room could be made, with all that could be stopped there.
    pub(super) fn candidate_machines(&self, partition: Partition, patience: u64) -> Vec<CandidateMachine> {
        let usable = |m: &Machine| m.partition == partition && m.usable(self.now.ms, patience);
        let machines = self.machines.iter().filter(|(_, m)| usable(m));
        machines.filter_map(|(id, m)| self.candidate_machine(id, m)).collect()
    }

    fn candidate_machine(&self, id: &MachineId, m: &Machine) -> Option<CandidateMachine> {
        let t = self.types.iter().find(|t| t.name == m.model)?;
        let mut free = [t.cpus, t.gpus, t.memory_gb];
        let mut free_now = free;
        subtract(&mut free_now, &m.taken());
        let mut victims = Vec::new();
        // Room that stops already under way will free counts as free.
        for held in m.held.iter().filter(|h| h.stop.is_none()) {
            subtract(&mut free, &held.size);
            victims.extend(self.victim(held));
        }
        Some(CandidateMachine {
            id: id.clone(),
            model: m.model.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            free,
            free_now,
            images: self.images_held(m),
            victims,
        })
    }

    /// The images that a machine holds: those of tasks that have run there lately.
    fn images_held(&self, m: &Machine) -> BTreeSet<String> {
        let running = m.held.iter().filter(|h| h.running_since.is_some());
        let in_use = running
            .filter_map(|h| self.jobs.get(&h.task.job))
            .map(|j| j.spec.image.clone());
        m.images.iter().map(|(image, _)| image.clone()).chain(in_use).collect()
    }

    fn victim(&self, held: &Held) -> Option<Victim> {
        let job = self.jobs.get(&held.task.job)?;
        let (team, _) = self.settings.team(&held.team)?;
        Some(Victim {
            task: held.task.clone(),
            attempt: held.attempt,
            team,
            size: held.size,
            measure: self.measure(team, &held.size),
            priority: job.spec.priority,
            lost_s: self.lost_s(held, job)?,
            gang: job.spec.shape == Shape::Gang,
            taken: false,
        })
    }

    /// Seconds of work that are lost with a task; none if it cannot be stopped now.
    fn lost_s(&self, held: &Held, job: &Job) -> Option<f64> {
        if job.spec.shape == Shape::Gang {
            return self.gang_loss(&held.task.job, job);
        }
        let ran_s = held.running_since.map_or(0, |t| self.now.ms.saturating_sub(t)) as f64 / 1000.0;
        let saves = job.spec.checkpoint_s > 0.0;
        Some(if saves { ran_s.min(job.spec.save_s) } else { ran_s })
    }
}
