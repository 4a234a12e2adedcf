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
        let now = self.now.ms;
        let acting = self.tenures.iter().filter(|(_, t)| t.stage == Stage::Active);
        let mut digests = Vec::new();
        for (p, _) in acting {
            let late = self.late_machines(*p);
            let mut lanes = Vec::new();
            let mut idle = Vec::new();
            let mut yielding = Vec::new();
            let mut spare_room = Vec::new();
            let mut in_zones: BTreeMap<String, u32> = BTreeMap::new();
            let mut demand = 0.0;
            for (id, m) in self.machines.iter().filter(|(_, m)| m.partition == *p && !m.gone) {
                *in_zones.entry(m.zone.clone()).or_default() += 1;
                demand += m.held.iter().map(|h| h.size[1].max(h.size[0] / 100.0)).sum::<f64>();
                if let Some(lane) = self.lane(m).filter(|_| !late.contains(id)) {
                    lanes.push(lane);
                }
                if let Some(loss) = self.yielding(m) {
                    let machine = IdleMachine {
                        machine: id.clone(),
                        model: m.model.clone(),
                        zone: m.zone.clone(),
                        spot: m.spot,
                    };
                    yielding.push((loss, machine));
                }
                spare_room.extend(self.spare_room(id, m));
                let spare = m
                    .idle_since
                    .is_some_and(|t| now.saturating_sub(t) > self.settings.report_ms());
                if spare && !m.reserved && m.usable(now, 2 * self.settings.report_ms()) {
                    idle.push(IdleMachine {
                        machine: id.clone(),
                        model: m.model.clone(),
                        zone: m.zone.clone(),
                        spot: m.spot,
                    });
                }
            }
            let mut wishes: Vec<UnplacedTasks> = self
                .cloud
                .wishes
                .iter()
                .filter(|w| w.partition == *p)
                .cloned()
                .collect();
            let wants = wants(&wishes, &self.settings.platform.facts.zones);
            demand += wishes
                .iter()
                .map(|w| f64::from(w.count) * w.size[1].max(w.size[0] / 100.0))
                .sum::<f64>();
            let refused = |kind: &Kind| self.cloud.refused.get(kind).is_some_and(|t| now < *t);
            absorb(&mut wishes, &mut lanes, &self.types, &refused, self.guarantee_s());
            let mut needs = plan(&wishes, Vec::new(), &self.types, &refused, &in_zones);
            needs.extend(self.replacements_wanted(*p));
            yielding.sort_by(|a, b| a.0.total_cmp(&b.0));
            let unwanted = |room: &SpareRoom| {
                !wants
                    .iter()
                    .any(|want| want.takes(&room.machine) && want.fits(&room.free) > 0)
            };
            spare_room.retain(unwanted);
            digests.push(Digest {
                partition: *p,
                ledger: self.member.ledger,
                demand,
                needs,
                wants,
                idle,
                yielding: yielding.into_iter().map(|(_, i)| i).take(YIELDING).collect(),
                spare_room: largest_of_each_kind(spare_room),
            });
        }
        digests
    }
}
