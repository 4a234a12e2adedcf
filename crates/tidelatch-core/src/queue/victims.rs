//! Preemption victims: machines on which room could be made, and the tasks that could be stopped there.

use crate::controller::Controller;
use crate::ids::{Attempt, JobId, MachineId, Partition, TaskId};
use crate::jobs::Job;
use crate::machine_view::{HeldTask, Machine};
use crate::placement::Amounts;
use crate::protocol::{Priority, Shape};
use std::collections::BTreeSet;

/// A task that may be stopped to make room.
pub(super) struct Victim {
    pub(super) task: TaskId,
    pub(super) attempt: Attempt,
    /// Index of its team.
    pub(super) team: usize,
    pub(super) size: Amounts,
    /// Its size in the unit in which its team is accounted.
    pub(super) amount_in_team_unit: f64,
    pub(super) priority: Priority,
    /// Seconds of work lost when it is stopped; for a task of a gang, those of the whole gang.
    pub(super) lost_work_s: f64,
    /// Whether it belongs to a gang and is only stopped with all others of it.
    pub(super) is_gang: bool,
    /// Whether it has been chosen to be stopped.
    pub(super) is_chosen: bool,
}

/// A task to stop: its machine, id and attempt.
pub(super) type StopOrder = (MachineId, TaskId, Attempt);

/// A machine on which room could be made.
pub(super) struct CandidateMachine {
    pub(super) id: MachineId,
    pub(super) model: String,
    pub(super) zone: String,
    pub(super) spot: bool,
    /// Room that is free or that pending stops will free.
    pub(super) free: Amounts,
    /// Room that is free now.
    pub(super) free_now: Amounts,
    /// Images that it has.
    pub(super) images: BTreeSet<String>,
    pub(super) victims: Vec<Victim>,
}

impl CandidateMachine {
    /// Chooses all tasks of the given gangs on this machine and calls `on_chosen` for each.
    pub(super) fn choose_gangs(&mut self, gangs: &BTreeSet<JobId>, mut on_chosen: impl FnMut(&Victim)) {
        let victims = self.victims.iter_mut();
        for victim in victims.filter(|v| !v.is_chosen && gangs.contains(&v.task.job)) {
            victim.is_chosen = true;
            add(&mut self.free, &victim.size);
            on_chosen(victim);
        }
    }
}

/// Adds amounts.
pub(super) fn add(amounts: &mut Amounts, more: &Amounts) {
    amounts.iter_mut().zip(more).for_each(|(a, m)| *a += m);
}

/// Subtracts amounts.
pub(super) fn subtract(amounts: &mut Amounts, less: &Amounts) {
    amounts.iter_mut().zip(less).for_each(|(a, l)| *a -= l);
}

/// Whether a size fits into some room, with a tolerance for rounding errors.
pub(super) fn fits(size: &Amounts, room: &Amounts) -> bool {
    size.iter().zip(room).all(|(s, r)| *s <= r + 1e-6)
}

impl Controller {
    /// The usable machines of a partition with the tasks that could be stopped there. `max_report_age_ms` is the
    /// maximum age of a machine's last report.
    pub(super) fn candidate_machines(&self, partition: Partition, max_report_age_ms: u64) -> Vec<CandidateMachine> {
        let is_usable = |m: &Machine| m.partition == partition && m.is_usable(self.now.ms, max_report_age_ms);
        let machines = self.machines.iter().filter(|(_, m)| is_usable(m));
        machines.filter_map(|(id, m)| self.candidate_machine(id, m)).collect()
    }

    fn candidate_machine(&self, id: &MachineId, m: &Machine) -> Option<CandidateMachine> {
        let t = self.machine_types.iter().find(|t| t.name == m.model)?;
        let mut free = [t.cpus, t.gpus, t.memory_gb];
        let mut free_now = free;
        subtract(&mut free_now, &m.used_resources());
        let mut victims = Vec::new();
        // Room that pending stops will free counts as free.
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

    /// Images that a machine has: those of tasks that run there or ran there recently.
    fn images_held(&self, m: &Machine) -> BTreeSet<String> {
        let running = m.held.iter().filter(|h| h.running_since.is_some());
        let in_use = running
            .filter_map(|h| self.jobs.get(&h.task.job))
            .map(|j| j.spec.image.clone());
        m.images.iter().map(|(image, _)| image.clone()).chain(in_use).collect()
    }

    /// The task as a victim; `None` if it cannot be stopped now, or its job or team is unknown.
    fn victim(&self, held: &HeldTask) -> Option<Victim> {
        let job = self.jobs.get(&held.task.job)?;
        let (team, _) = self.settings.team(&held.team)?;
        Some(Victim {
            task: held.task.clone(),
            attempt: held.attempt,
            team,
            size: held.size,
            amount_in_team_unit: self.amount_in_team_unit(team, &held.size),
            priority: job.spec.priority,
            lost_work_s: self.lost_work_s(held, job)?,
            is_gang: job.spec.shape == Shape::Gang,
            is_chosen: false,
        })
    }

    /// Seconds of work lost when a task is stopped; `None` if it cannot be stopped now. A task with checkpoints saves
    /// its work when it is stopped: it loses at most the time that saving takes.
    fn lost_work_s(&self, held: &HeldTask, job: &Job) -> Option<f64> {
        if job.spec.shape == Shape::Gang {
            return self.gang_stop_cost_s(&held.task.job, job);
        }
        let ran_s = held.running_since.map_or(0, |t| self.now.ms.saturating_sub(t)) as f64 / 1000.0;
        let has_checkpoints = job.spec.checkpoint_s > 0.0;
        Some(if has_checkpoints {
            ran_s.min(job.spec.save_s)
        } else {
            ran_s
        })
    }
}
