//! Digests: summaries of the machines that a partition needs and of those it can give up, which its owner sends to
//! the leader.

use super::spare_room::largest_of_each_kind;
use super::{
    BootingMachine, MAX_VACATABLE_MACHINES_PER_DIGEST, MachineKind, MachineTimeline, UnplacedTasks,
    assign_to_existing_machines, plan_machine_requests, summarize_waiting_tasks,
};
use crate::controller::Controller;
use crate::ids::{MachineId, Partition};
use crate::machine_view::Machine;
use crate::membership::Stage;
use crate::messages::{Digest, MachineSummary, SpareRoom};
use crate::placement::Amounts;
use crate::protocol::{Priority, Shape};
use std::collections::{BTreeMap, BTreeSet};

impl Controller {
    /// Seconds of work that would be lost if a machine were vacated for production work. None if the machine
    /// is a spot machine, empty or not usable, or if it holds a task that must not be preempted, is already being
    /// stopped, or belongs to a gang or to an unknown job.
    pub(super) fn preemption_loss_s(&self, m: &Machine) -> Option<f64> {
        if m.spot || m.held.is_empty() || !m.is_usable(self.now.ms, 2 * self.settings.report_ms()) {
            return None;
        }
        let mut loss_s = 0.0;
        for h in &m.held {
            let job = self.jobs.get(&h.task.job)?;
            // A gang can only be preempted as a whole, and its other tasks are on other machines.
            if job.spec.priority >= Priority::Prod || h.stop.is_some() || job.spec.shape == Shape::Gang {
                return None;
            }
            let ran_s = h
                .running_since
                .map_or(0.0, |t| self.now.ms.saturating_sub(t) as f64 / 1000.0);
            // A task with checkpoints saves its work when it is stopped: it loses at most the time that saving takes.
            loss_s += if job.spec.checkpoint_s > 0.0 {
                ran_s.min(job.spec.save_s)
            } else {
                ran_s
            };
        }
        Some(loss_s)
    }

    /// The timeline of free capacity on a machine, for planning. None for a machine that takes no more tasks.
    pub(super) fn machine_timeline(&self, m: &Machine) -> Option<MachineTimeline> {
        let now = self.now.ms;
        let t = self.machine_types.iter().find(|t| t.name == m.model)?;
        let is_usable = m.is_usable(now, 3 * self.settings.report_ms());
        let is_booting = m.is_booting() && m.moving_to.is_none() && !m.cordoned;
        if m.reserved || (!is_usable && !is_booting) {
            return None;
        }
        let mut free = [t.cpus, t.gpus, t.memory_gb];
        free.iter_mut().zip(m.used_resources()).for_each(|(f, u)| *f -= u);
        let mut busy: Vec<(f64, Amounts)> = m
            .held
            .iter()
            .filter_map(|h| {
                let job = self.jobs.get(&h.task.job)?;
                if job.spec.shape == Shape::Service {
                    return None;
                }
                let ran_s = h.running_since.map_or(0.0, |t| now.saturating_sub(t) as f64 / 1000.0);
                // A task that has run for longer than estimated is expected to need 0.3 times its run time so far
                // again.
                let left_s = (self.estimates.expected_run_s(&job.spec) - ran_s).max(0.3 * ran_s);
                Some((if h.stop.is_some() { 0.0 } else { left_s }, h.size))
            })
            .collect();
        busy.sort_by(|a, b| a.0.total_cmp(&b.0));
        let age_s = now.saturating_sub(m.known_since) as f64 / 1000.0;
        // A machine that has taken longer to boot than its type usually does is expected to need a tenth of that time
        // more.
        let ready_s = if is_booting {
            (t.boot_s - age_s).max(0.1 * t.boot_s)
        } else {
            0.0
        };
        Some(MachineTimeline {
            model: m.model.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            free,
            ready_s,
            busy,
        })
    }

    /// The booting machines of a partition that are so late that replacements are rented for them.
    fn late_machines(&self, partition: Partition) -> BTreeSet<MachineId> {
        let booting: Vec<BootingMachine> = self
            .machines
            .iter()
            .filter(|(_, m)| m.partition == partition && m.is_booting())
            .map(|(id, m)| BootingMachine {
                id: id.clone(),
                model: m.model.clone(),
                rented_at_ms: m.known_since,
            })
            .collect();
        let grace_ms = 2 * self.settings.report_ms();
        self.capacity
            .boot_times
            .late_machines_to_replace(&booting, &self.machine_types, self.now.ms, grace_ms)
    }

    /// Digests of the partitions that this controller is active for.
    pub(super) fn own_digests(&self) -> Vec<Digest> {
        let active = self.tenures.iter().filter(|(_, t)| t.stage == Stage::Active);
        active.map(|(p, _)| self.digest(*p)).collect()
    }

    /// Computes a partition's digest: demand, machines needed, waiting tasks, and machines on offer.
    fn digest(&self, partition: Partition) -> Digest {
        let now = self.now.ms;
        let mut supply = self.supply(partition);
        let own = |w: &&UnplacedTasks| w.partition == partition;
        let mut unplaced: Vec<UnplacedTasks> = self.capacity.unplaced_tasks.iter().filter(own).cloned().collect();
        let waiting_tasks = summarize_waiting_tasks(&unplaced, &self.settings.platform.facts.zones);
        let waiting_demand: f64 = unplaced.iter().map(|w| f64::from(w.count) * task_demand(&w.size)).sum();
        let refused = |kind: &MachineKind| self.capacity.is_refused(kind, now);
        assign_to_existing_machines(
            &mut unplaced,
            &mut supply.timelines,
            &self.machine_types,
            &refused,
            self.guaranteed_start_limit_s(),
        );
        let mut machine_requests = plan_machine_requests(
            &unplaced,
            Vec::new(),
            &self.machine_types,
            &refused,
            &supply.machines_per_zone,
        );
        machine_requests.extend(self.replacement_requests(partition));
        supply.vacatable.sort_by(|a, b| a.0.total_cmp(&b.0));
        let has_no_local_use = |room: &SpareRoom| {
            !waiting_tasks
                .iter()
                .any(|tasks| tasks.accepts_machine(&room.machine) && tasks.count_fitting(&room.free) > 0)
        };
        supply.spare_room.retain(has_no_local_use);
        Digest {
            partition,
            revision: self.membership.revision,
            demand: supply.running_demand + waiting_demand,
            machine_requests,
            waiting_tasks,
            idle: supply.idle,
            vacatable_machines: supply
                .vacatable
                .into_iter()
                .map(|(_, i)| i)
                .take(MAX_VACATABLE_MACHINES_PER_DIGEST)
                .collect(),
            spare_room: largest_of_each_kind(supply.spare_room),
            needs_newer_epoch: self.needs_newer_epoch(partition),
        }
    }

    /// Collects what a partition's machines run and what capacity they can offer.
    fn supply(&self, partition: Partition) -> Supply {
        let late = self.late_machines(partition);
        let mut supply = Supply::default();
        let own = |(_, m): &(&MachineId, &Machine)| m.partition == partition && !m.is_deleted;
        for (id, m) in self.machines.iter().filter(own) {
            *supply.machines_per_zone.entry(m.zone.clone()).or_default() += 1;
            supply.running_demand += m.held.iter().map(|h| task_demand(&h.size)).sum::<f64>();
            if let Some(timeline) = self.machine_timeline(m).filter(|_| !late.contains(id)) {
                supply.timelines.push(timeline);
            }
            if let Some(loss_s) = self.preemption_loss_s(m) {
                supply.vacatable.push((loss_s, idle_machine(id, m)));
            }
            supply.spare_room.extend(self.spare_room(id, m));
            if self.can_be_handed_over(m) {
                supply.idle.push(idle_machine(id, m));
            }
        }
        supply
    }

    /// Whether a machine has been idle for more than one report interval, so that it can go to another partition
    /// without tasks.
    fn can_be_handed_over(&self, m: &Machine) -> bool {
        let report_ms = self.settings.report_ms();
        let idle_ms = m.idle_since.map_or(0, |t| self.now.ms.saturating_sub(t));
        idle_ms > report_ms && !m.reserved && m.is_usable(self.now.ms, 2 * report_ms)
    }
}

/// What a partition's machines run and what capacity they can offer.
#[derive(Default)]
struct Supply {
    /// Timelines of free capacity of the machines that take tasks, without late ones.
    timelines: Vec<MachineTimeline>,
    /// Machines that run nothing.
    idle: Vec<MachineSummary>,
    /// Machines that can be vacated for production work, each with the seconds of work that would be lost.
    vacatable: Vec<(f64, MachineSummary)>,
    /// Machines in use with free capacity that can be handed over with their tasks.
    spare_room: Vec<SpareRoom>,
    /// Number of machines in each zone.
    machines_per_zone: BTreeMap<String, u32>,
    /// Demand of the tasks that the machines hold.
    running_demand: f64,
}

/// A task's contribution to a partition's demand: its accelerators, or its CPUs divided by 100 if that is more. 100
/// CPUs count as much as one accelerator.
fn task_demand(size: &Amounts) -> f64 {
    size[1].max(size[0] / 100.0)
}

fn idle_machine(id: &MachineId, m: &Machine) -> MachineSummary {
    MachineSummary {
        machine: id.clone(),
        model: m.model.clone(),
        zone: m.zone.clone(),
        spot: m.spot,
    }
}
