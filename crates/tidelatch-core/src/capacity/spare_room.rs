//! Hand-over of machines in use: a machine with free capacity goes, with the tasks on it, to a partition whose waiting
//! tasks fit on it.

use super::hand_over::{HandOver, HandOverMode};
use super::{MachineKind, PendingHandOver};
use crate::controller::Controller;
use crate::ids::{MachineId, Partition};
use crate::machine_view::Machine;
use crate::messages::{Digest, MachineSummary, SpareRoom, WaitingTasks};
use crate::protocol::MachineType;
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// Maximum number of machines of one kind that a digest offers for their spare room.
const SPARE_ROOM_PER_KIND: usize = 2;

/// The offers with the most free accelerators, then CPUs, of each kind of machine.
pub(super) fn largest_of_each_kind(mut offers: Vec<SpareRoom>) -> Vec<SpareRoom> {
    let free = |offer: &SpareRoom| (offer.free[1], offer.free[0]);
    offers.sort_by(|a, b| free(b).partial_cmp(&free(a)).unwrap_or(Ordering::Equal));
    let mut offered: BTreeMap<MachineKind, usize> = BTreeMap::new();
    offers.retain(|offer| {
        let machine = &offer.machine;
        let count = offered
            .entry((machine.model.clone(), machine.zone.clone(), machine.spot))
            .or_default();
        *count += 1;
        *count <= SPARE_ROOM_PER_KIND
    });
    offers
}

impl Controller {
    /// The free capacity of a machine in use, if the machine can be handed over with its tasks. It then becomes a
    /// shared machine, which holds tasks of other partitions than its own.
    pub(super) fn spare_room(&self, id: &MachineId, machine: &Machine) -> Option<SpareRoom> {
        if machine.held.is_empty()
            || machine.reserved
            || !self.can_hand_over_shared_machines()
            || !self.can_hand_over_with_tasks(machine)
        {
            return None;
        }
        let model = self.machine_types.iter().find(|t| t.name == machine.model)?;
        let mut free = [model.cpus, model.gpus, model.memory_gb];
        free.iter_mut()
            .zip(machine.used_resources())
            .for_each(|(f, used)| *f -= used);
        let machine = MachineSummary {
            machine: id.clone(),
            model: machine.model.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
        };
        Some(SpareRoom { machine, free })
    }

    /// The spare room that partitions offer, except on machines whose hand-over is pending.
    pub(super) fn spare_room_offered(&self, digests: &[Digest]) -> Vec<(Partition, SpareRoom)> {
        let is_moving = |room: &SpareRoom| {
            self.capacity
                .pending_hand_overs
                .iter()
                .any(|hand_over| hand_over.machine.machine == room.machine.machine)
        };
        let offers = digests
            .iter()
            .flat_map(|d| d.spare_room.iter().map(|room| (d.partition, room.clone())));
        offers.filter(|(_, room)| !is_moving(room)).collect()
    }

    /// Chooses a machine of another partition with spare room for waiting tasks, when the cloud refuses every kind of
    /// machine that they could use. Only one is chosen at a time for a partition: each hand-over costs a write to the
    /// roster, and the next round takes its result into account.
    pub(super) fn choose_spare_room(
        &self,
        to: Partition,
        tasks: &WaitingTasks,
        offers: &mut Vec<(Partition, SpareRoom)>,
    ) -> Option<HandOver> {
        let is_arriving = |hand_over: &PendingHandOver| hand_over.to == to && tasks.accepts_machine(&hand_over.machine);
        if self.capacity.pending_hand_overs.iter().any(is_arriving) || !self.all_kinds_refused(tasks) {
            return None;
        }
        let tasks_that_fit = |(from, room): &(Partition, SpareRoom)| {
            let is_allowed = *from != to && tasks.accepts_machine(&room.machine);
            if is_allowed { tasks.count_fitting(&room.free) } else { 0 }
        };
        let (at, _) = offers
            .iter()
            .enumerate()
            .filter(|(_, offer)| tasks_that_fit(offer) > 0)
            .max_by_key(|(_, offer)| tasks_that_fit(offer))?;
        let (from, room) = offers.swap_remove(at);
        Some(HandOver {
            from,
            machine: room.machine,
            to,
            mode: HandOverMode::Occupied,
        })
    }

    /// Whether the cloud has recently refused every kind of machine that the tasks could use.
    fn all_kinds_refused(&self, tasks: &WaitingTasks) -> bool {
        let is_large_enough = |t: &&MachineType| tasks.count_fitting(&[t.cpus, t.gpus, t.memory_gb]) > 0;
        let kinds = self.machine_types.iter().filter(is_large_enough).flat_map(|t| {
            let kinds_in_zone = |zone: &String| [false, true].map(|spot| (t.name.clone(), zone.clone(), spot));
            t.zones.iter().flat_map(kinds_in_zone).collect::<Vec<MachineKind>>()
        });
        let mut allowed = kinds
            .filter(|(model, zone, spot)| tasks.accepts_kind(model, zone, *spot))
            .peekable();
        allowed.peek().is_some() && allowed.all(|kind| self.capacity.is_refused(&kind, self.now.ms))
    }
}
