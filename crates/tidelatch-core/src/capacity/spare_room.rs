//! Machines in use with room for what waits elsewhere, which change hands with their tasks.

use super::hand_over::{HandOver, How};
use super::{Kind, Lent};
use crate::controller::Controller;
use crate::ids::{MachineId, Partition};
use crate::machine_view::Machine;
use crate::messages::{Digest, IdleMachine, SpareRoom, WaitingTasks};
use crate::protocol::MachineType;
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// Most machines of one kind that a digest offers for their spare room.
const SPARE_ROOM_PER_KIND: usize = 2;

/// The machines with the most free room of each kind.
pub(super) fn largest_of_each_kind(mut offers: Vec<SpareRoom>) -> Vec<SpareRoom> {
    let room = |offer: &SpareRoom| (offer.free[1], offer.free[0]);
    offers.sort_by(|a, b| room(b).partial_cmp(&room(a)).unwrap_or(Ordering::Equal));
    let mut taken: BTreeMap<Kind, usize> = BTreeMap::new();
    offers.retain(|offer| {
        let machine = &offer.machine;
        let count = taken
            .entry((machine.model.clone(), machine.zone.clone(), machine.spot))
            .or_default();
        *count += 1;
        *count <= SPARE_ROOM_PER_KIND
    });
    offers
}

impl Controller {
    /// What a machine in use has free, if it could change hands with its tasks.
    pub(super) fn spare_room(&self, id: &MachineId, machine: &Machine) -> Option<SpareRoom> {
        if machine.held.is_empty() || machine.reserved || !self.may_share_machines() || !self.may_go_occupied(machine) {
            return None;
        }
        let model = self.types.iter().find(|t| t.name == machine.model)?;
        let mut free = [model.cpus, model.gpus, model.memory_gb];
        free.iter_mut().zip(machine.taken()).for_each(|(f, used)| *f -= used);
        let machine = IdleMachine {
            machine: id.clone(),
            model: machine.model.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
        };
        Some(SpareRoom { machine, free })
    }

    /// The spare room that partitions offer, of machines that are not on their way already.
    pub(super) fn spare_room_offered(&self, digests: &[Digest]) -> Vec<(Partition, SpareRoom)> {
        let moving = |room: &SpareRoom| {
            self.cloud
                .lent
                .iter()
                .any(|l| l.machine.machine == room.machine.machine)
        };
        let offers = digests
            .iter()
            .flat_map(|d| d.spare_room.iter().map(|room| (d.partition, room.clone())));
        offers.filter(|(_, room)| !moving(room)).collect()
    }

    /// Where the cloud has no more machines, work that waits gets a machine of another partition with room for it.
    /// One at a time for a partition: each costs a change of the roster, and the next round sees what came of it.
    pub(super) fn take_spare_room(
        &self,
        to: Partition,
        want: &WaitingTasks,
        offers: &mut Vec<(Partition, SpareRoom)>,
    ) -> Option<HandOver> {
        let under_way = |l: &Lent| l.to == to && want.takes(&l.machine);
        if self.cloud.lent.iter().any(under_way) || !self.all_kinds_refused(want) {
            return None;
        }
        let fit = |(from, room): &(Partition, SpareRoom)| {
            let takes = *from != to && want.takes(&room.machine);
            if takes { want.fits(&room.free) } else { 0 }
        };
        let (at, _) = offers
            .iter()
            .enumerate()
            .filter(|(_, offer)| fit(offer) > 0)
            .max_by_key(|(_, offer)| fit(offer))?;
        let (from, room) = offers.swap_remove(at);
        Some(HandOver {
            from,
            machine: room.machine,
            to,
            how: How::Occupied,
        })
    }

    /// Whether the cloud has lately refused every kind of machine that would do.
    fn all_kinds_refused(&self, want: &WaitingTasks) -> bool {
        let fits = |t: &&MachineType| want.fits(&[t.cpus, t.gpus, t.memory_gb]) > 0;
        let kinds = self.types.iter().filter(fits).flat_map(|t| {
            let of_zone = |zone: &String| [false, true].map(|spot| (t.name.clone(), zone.clone(), spot));
            t.zones.iter().flat_map(of_zone).collect::<Vec<Kind>>()
        });
        let mut allowed = kinds
            .filter(|(model, zone, spot)| want.allows(model, zone, *spot))
            .peekable();
        allowed.peek().is_some() && allowed.all(|kind| self.cloud.is_refused(&kind, self.now.ms))
    }
}
