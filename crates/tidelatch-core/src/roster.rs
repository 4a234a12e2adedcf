//! The stored roster: all machines, the partition that each belongs to, and which of them may hold tasks.
//!
//! The state service accepts few writes per second, and hundreds of machines come up together. A stored record
//! therefore covers many machines. Machines of one kind that were rented together for one partition share a
//! *machine group*, and machines that come up at about the same time are recorded in one *boot batch* with their
//! addresses. A machine may hold tasks only once it is in a machine group and in a boot batch. A takeover
//! therefore knows which machines it must confirm, and does not wait for machines that are still booting.
//!
//! A machine group is created by the leader and changed by the partition's owner. Each write is conditional on the
//! group's revision. A machine that is handed over moves to a new machine group in the same transaction. Once a machine
//! group is empty its key is deleted, but not before no copy of the write that created it can be carried out if machines
//! have left it for other groups (`empty_groups`). A boot batch is never changed, and is deleted once none of its
//! machines is left.

mod boot_batches;
mod empty_groups;
mod group_changes;
mod groups;
mod records;
mod rentals;

pub(crate) use boot_batches::BootBatch;
use boot_batches::{BootedMachine, StoredBootBatch};
use groups::MachineGroup;
pub use records::{BootEntry, GroupRecord};
pub(crate) use rentals::RentedMachine;

use crate::controller::Controller;
use crate::ids::{MachineId, Partition, Revision};
use std::collections::{BTreeMap, BTreeSet};

/// Machine groups and boot batches as known to this controller, and the writes to them that are due or in flight.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    groups: BTreeMap<String, MachineGroup>,
    /// The stored boot batches, by name.
    boot_batches: BTreeMap<String, StoredBootBatch>,
    /// Boot entries of all machines in boot batches.
    boot_entries: BTreeMap<MachineId, BootEntry>,
    /// Machines that have left their machine groups by changes that are being applied, and may have entered others.
    departed_machines: BTreeSet<MachineId>,
    /// Machine groups that have to be written, and from when on, in milliseconds.
    due_writes: BTreeMap<String, u64>,
    /// Machines that have come up and are not in a boot batch yet.
    booted: Vec<BootedMachine>,
    /// When the next boot batch is due, in milliseconds.
    boot_batch_due_at: u64,
    /// Boot batches that were written without a definite answer, to be sent again.
    unconfirmed_boot_batches: Vec<BootBatch>,
    /// Number of boot batches that this incarnation has named; makes their names unique.
    boot_batch_count: u32,
    /// When boot batches and machine groups were last searched for ones that can be deleted, in milliseconds.
    last_sweep_at: u64,
    /// The leader's new machine groups, planned or sent, until the outcome of their write is known.
    new_groups: Vec<(String, GroupRecord)>,
    new_groups_in_flight: bool,
}

/// Names of the roster's records in the state service.
#[derive(Debug)]
pub(crate) struct RosterKeys {
    /// Machine groups.
    pub(crate) groups: Vec<String>,
    /// Machine groups that are being split in steps.
    pub(crate) split_steps: Vec<String>,
    /// Boot batches.
    pub(crate) boot_batches: Vec<String>,
}

impl Roster {
    /// The records that are known as of a revision up to `revision`.
    pub(crate) fn keys_up_to(&self, revision: Revision) -> RosterKeys {
        let groups = self.groups.iter().filter(|(_, g)| g.revision <= revision);
        let is_split = |g: &MachineGroup| g.step_revision != Revision(0) && g.step_revision <= revision;
        let split_steps = self.groups.iter().filter(|(_, g)| is_split(g));
        let boot_batches = self.boot_batches.iter().filter(|(_, b)| b.revision <= revision);
        RosterKeys {
            groups: groups.map(|(name, _)| name.clone()).collect(),
            split_steps: split_steps.map(|(name, _)| name.clone()).collect(),
            boot_batches: boot_batches.map(|(name, _)| name.clone()).collect(),
        }
    }
}

impl Controller {
    /// Maximum size in bytes of a machine group or boot batch when it is written: 3/4 of the limit on a value,
    /// because numbers that it holds about its machines, such as sessions and sequence numbers of reports, may grow by
    /// some digits.
    pub(crate) fn max_record_bytes(&self) -> usize {
        self.write_limits.value_bytes * 3 / 4
    }

    /// Discards what an earlier tenure had queued or in flight for a partition's roster, at the start of a tenure, and
    /// schedules writes for groups whose split is unfinished.
    pub(crate) fn reset_roster(&mut self, partition: Partition) {
        let mut requesters = Vec::new();
        let machines = &self.machines;
        self.roster.booted.retain_mut(|n| {
            let is_of_other_partition = machines.get(&n.machine).is_some_and(|m| m.partition != partition);
            if !is_of_other_partition {
                requesters.extend(n.requester.take());
            }
            is_of_other_partition
        });
        let now = self.now.ms;
        for (name, group) in self
            .roster
            .groups
            .iter_mut()
            .filter(|(_, group)| group.record.partition == partition)
        {
            group.write_in_flight = false;
            group.refused_at_revision = None;
            // An earlier owner may have ended while it was splitting this group.
            let is_in_group = |id: &MachineId| machines.get(id).is_some_and(|m| m.group == *name);
            if !group.record.machines.keys().all(is_in_group) {
                self.roster.due_writes.entry(name.clone()).or_insert(now);
            }
        }
        for requester in requesters {
            self.answer_first_report(requester, None);
        }
    }

    /// Sends the roster writes that are due: new boot batches and changed machine groups. Also marks records that can be
    /// deleted.
    pub(crate) fn tick_roster(&mut self) {
        if !self.is_entitled() {
            return;
        }
        self.send_boot_batches();
        let now = self.now.ms;
        let due: Vec<String> = self
            .roster
            .due_writes
            .iter()
            .filter(|(_, at)| now >= **at)
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.send_group_write(&name);
        }
        self.sweep_roster();
    }

    /// Marks boot batches and machine groups that can be deleted. Run by the leader once per worker lease.
    fn sweep_roster(&mut self) {
        let now = self.now.ms;
        if !self.is_leader() || now < self.roster.last_sweep_at + self.settings.worker_lease_ms() {
            return;
        }
        self.roster.last_sweep_at = now;
        self.mark_stale_boot_batches();
        self.mark_stale_groups();
    }

    /// Marks keys for deletion that are not marked yet.
    fn delete_later(&mut self, keys: Vec<String>) {
        for key in keys {
            if !self.capacity.stale_keys.contains(&key) {
                self.capacity.stale_keys.push(key);
            }
        }
    }
}
