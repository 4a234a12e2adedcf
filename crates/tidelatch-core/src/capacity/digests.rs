//! Digests: what a partition's owner reports that the partition needs and has to spare.

use super::spare_room::largest_of_each_kind;
use super::{BootingMachine, Kind, Lane, UnplacedTasks, YIELDING, absorb, plan, wants};
use crate::controller::Controller;
use crate::ids::{MachineId, Partition};
use crate::machine_view::Machine;
use crate::membership::Stage;
use crate::messages::{Digest, IdleMachine, SpareRoom};
use crate::placement::Amounts;
use crate::protocol::{Priority, Shape};
use std::collections::{BTreeMap, BTreeSet};

impl Controller {
    /// What would be lost, in seconds of work, if a machine were vacated for production work; none if
    /// something on it does not yield.
    pub(super) fn yielding(&self, m: &Machine) -> Option<f64> {
        if m.spot || m.held.is_empty() || !m.usable(self.now.ms, 2 * self.settings.report_ms()) {
            return None;
        }
        let mut loss = 0.0;
        for h in &m.held {
            let job = self.jobs.get(&h.task.job)?;
            // A gang yields as a whole only, and its other tasks are on other machines.
            if job.spec.priority >= Priority::Prod || h.stop.is_some() || job.spec.shape == Shape::Gang {
                return None;
            }
            let ran_s = h
                .running_since
                .map_or(0.0, |t| self.now.ms.saturating_sub(t) as f64 / 1000.0);
            loss += if job.spec.checkpoint_s > 0.0 {
                ran_s.min(job.spec.save_s)
            } else {
                ran_s
            };
        }
        Some(loss)
    }

    /// A machine as the planning sees it: none for those that take no more tasks.
    pub(super) fn lane(&self, m: &Machine) -> Option<Lane> {
        let now = self.now.ms;
        let t = self.types.iter().find(|t| t.name == m.model)?;
        let up = m.usable(now, 3 * self.settings.report_ms());
        let booting = m.is_booting() && m.moving.is_none() && !m.cordoned;
        if m.reserved || (!up && !booting) {
            return None;
        }
        let mut free = [t.cpus, t.gpus, t.memory_gb];
        free.iter_mut().zip(m.taken()).for_each(|(f, u)| *f -= u);
        let mut busy: Vec<(f64, Amounts)> = m
            .held
            .iter()
            .filter_map(|h| {
                let job = self.jobs.get(&h.task.job)?;
                if job.spec.shape == Shape::Service {
                    return None;
                }
                let ran_s = h.running_since.map_or(0.0, |t| now.saturating_sub(t) as f64 / 1000.0);
                // Whoever has run for longer than expected is expected to need a part of that again.
                let left_s = (self.estimates.run_s(&job.spec) - ran_s).max(0.3 * ran_s);
                Some((if h.stop.is_some() { 0.0 } else { left_s }, h.size))
            })
            .collect();
        busy.sort_by(|a, b| a.0.total_cmp(&b.0));
        let age_s = now.saturating_sub(m.known_since) as f64 / 1000.0;
        let ready_s = if booting {
            (t.boot_s - age_s).max(0.1 * t.boot_s)
        } else {
            0.0
        };
        Some(Lane {
            model: m.model.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            free,
            ready_s,
            busy,
        })
    }

    /// The machines of a partition that are so late that others are to be rented in their place.
    fn late_machines(&self, partition: Partition) -> BTreeSet<MachineId> {
        let booting: Vec<BootingMachine> = self
            .machines
            .iter()
            .filter(|(_, m)| m.partition == partition && m.is_booting())
            .map(|(id, m)| BootingMachine {
                id: id.clone(),
                model: m.model.clone(),
                since: m.known_since,
            })
            .collect();
        let grace_ms = 2 * self.settings.report_ms();
        self.cloud
            .boot_times
            .discounted(&booting, &self.types, self.now.ms, grace_ms)
    }

    /// What this controller's partitions need and have to spare.
    pub(super) fn own_digests(&self) -> Vec<Digest> {
        let acting = self.tenures.iter().filter(|(_, t)| t.stage == Stage::Active);
        acting.map(|(p, _)| self.digest(*p)).collect()
    }

    fn digest(&self, partition: Partition) -> Digest {
        let now = self.now.ms;
        let mut supply = self.supply(partition);
        let own = |w: &&UnplacedTasks| w.partition == partition;
        let mut wishes: Vec<UnplacedTasks> = self.cloud.wishes.iter().filter(own).cloned().collect();
        let wants = wants(&wishes, &self.settings.platform.facts.zones);
        let waiting: f64 = wishes.iter().map(|w| f64::from(w.count) * demand_of(&w.size)).sum();
        let refused = |kind: &Kind| self.cloud.is_refused(kind, now);
        absorb(
            &mut wishes,
            &mut supply.lanes,
            &self.types,
            &refused,
            self.guarantee_s(),
        );
        let mut needs = plan(&wishes, Vec::new(), &self.types, &refused, &supply.in_zones);
        needs.extend(self.replacements_wanted(partition));
        supply.yielding.sort_by(|a, b| a.0.total_cmp(&b.0));
        let unwanted = |room: &SpareRoom| {
            !wants
                .iter()
                .any(|want| want.takes(&room.machine) && want.fits(&room.free) > 0)
        };
        supply.spare_room.retain(unwanted);
        Digest {
            partition,
            ledger: self.member.ledger,
            demand: supply.running + waiting,
            needs,
            wants,
            idle: supply.idle,
            yielding: supply.yielding.into_iter().map(|(_, i)| i).take(YIELDING).collect(),
            spare_room: largest_of_each_kind(supply.spare_room),
        }
    }

    fn supply(&self, partition: Partition) -> Supply {
        let late = self.late_machines(partition);
        let mut supply = Supply::default();
        let own = |(_, m): &(&MachineId, &Machine)| m.partition == partition && !m.gone;
        for (id, m) in self.machines.iter().filter(own) {
            *supply.in_zones.entry(m.zone.clone()).or_default() += 1;
            supply.running += m.held.iter().map(|h| demand_of(&h.size)).sum::<f64>();
            if let Some(lane) = self.lane(m).filter(|_| !late.contains(id)) {
                supply.lanes.push(lane);
            }
            if let Some(loss) = self.yielding(m) {
                supply.yielding.push((loss, idle_machine(id, m)));
            }
            supply.spare_room.extend(self.spare_room(id, m));
            if self.is_spare(m) {
                supply.idle.push(idle_machine(id, m));
            }
        }
        supply
    }

    /// Whether a machine has been idle for long enough to be lent.
    fn is_spare(&self, m: &Machine) -> bool {
        let report_ms = self.settings.report_ms();
        let idle_ms = m.idle_since.map_or(0, |t| self.now.ms.saturating_sub(t));
        idle_ms > report_ms && !m.reserved && m.usable(self.now.ms, 2 * report_ms)
    }
}

/// What a partition's machines hold and could take.
#[derive(Default)]
struct Supply {
    lanes: Vec<Lane>,
    idle: Vec<IdleMachine>,
    /// Machines that could be vacated, with the seconds of work lost by that.
    yielding: Vec<(f64, IdleMachine)>,
    spare_room: Vec<SpareRoom>,
    /// Machines in each zone.
    in_zones: BTreeMap<String, u32>,
    /// Demand of what runs.
    running: f64,
}

/// Share of demand of a task: accelerators, or processors in hundreds where they are more.
fn demand_of(size: &Amounts) -> f64 {
    size[1].max(size[0] / 100.0)
}

fn idle_machine(id: &MachineId, m: &Machine) -> IdleMachine {
    IdleMachine {
        machine: id.clone(),
        model: m.model.clone(),
        zone: m.zone.clone(),
        spot: m.spot,
    }
}
