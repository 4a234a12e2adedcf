//! The stored roster: which machines there are, whose they are, and which of them may hold tasks.
//!
//! The state service takes few changes a second, and hundreds of machines come up together. So a value
//! does not stand for one machine. Machines of one kind that were rented together for one partition
//! share a *machine group*; and those that come up at about the same time are entered in one *boot batch* with their
//! addresses. A machine may hold tasks only once it stands in a machine group and in a boot batch: a take-over knows
//! by that which machines matter, and those that are still booting do not hold it up.
//!
//! A machine group is created by the leader and changed by the partition's owner, each time on condition of its
//! revision; a machine that is handed over goes to a new machine group in the same transaction. A boot batch is never
//! changed, and deleted once none of its machines is left.

mod boot_batches;
mod group_changes;
mod groups;
mod records;
mod rentals;

pub(crate) use boot_batches::BootBatch;
use boot_batches::BootedMachine;
use groups::MachineGroup;
pub use records::{BootEntry, GroupRecord};
pub(crate) use rentals::Rented;

use crate::controller::Controller;
use crate::ids::{MachineId, Partition};
use std::collections::{BTreeMap, BTreeSet};

/// Machine groups, boot batches, and the changes of them that are under way.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    groups: BTreeMap<String, MachineGroup>,
    boot_batches: BTreeMap<String, Vec<MachineId>>,
    addresses: BTreeMap<MachineId, BootEntry>,
    listed: BTreeSet<String>,
    /// Machine groups with something to be written, and from when on.
    due: BTreeMap<String, u64>,
    booted: Vec<BootedMachine>,
    booted_due: u64,
    /// Boot batches without a clear answer, to be sent again.
    unsure: Vec<BootBatch>,
    boot_batches_sent: u32,
    swept: u64,
    /// The leader's new machine groups: sent, and not clear yet.
    creating: Vec<(String, GroupRecord)>,
    creating_sent: bool,
}

impl Controller {
    /// Bytes that a machine group or a boot batch is filled up to: what it says of its machines may grow by some digits.
    pub(crate) fn fill(&self) -> usize {
        self.limits.value * 3 / 4
    }

    /// At the start of a tenure nothing of what was being entered for the partition counts any more.
    pub(crate) fn reset_roster(&mut self, partition: Partition) {
        let mut askers = Vec::new();
        let machines = &self.machines;
        self.roster.booted.retain_mut(|n| {
            let other = machines.get(&n.machine).is_some_and(|m| m.partition != partition);
            if !other {
                askers.extend(n.asker.take());
            }
            other
        });
        let now = self.now.ms;
        for (name, r) in self
            .roster
            .groups
            .iter_mut()
            .filter(|(_, r)| r.record.part == partition)
        {
            r.sending = false;
            r.settles_at = None;
            // An earlier owner may have ended while it split this one.
            let here = |id: &MachineId| machines.get(id).is_some_and(|m| m.group == *name);
            if !r.record.m.keys().all(here) {
                self.roster.due.entry(name.clone()).or_insert(now);
            }
        }
        for asker in askers {
            self.answer_first_report(asker, None);
        }
    }

    /// Writes what is due: machines that have booted, machine groups that change, and boot batches that can go.
    pub(crate) fn tick_roster(&mut self) {
        if !self.entitled() {
            return;
        }
        self.send_booted();
        let now = self.now.ms;
        let due: Vec<String> = self
            .roster
            .due
            .iter()
            .filter(|(_, at)| now >= **at)
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.send_group(&name);
        }
        self.sweep_boot_batches();
    }
}
