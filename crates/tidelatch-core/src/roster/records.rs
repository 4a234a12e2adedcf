//! The values of machine groups and boot batches as stored in the state service.

use crate::ids::{MachineId, Partition};
use crate::jobs::bytes_of;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The stored value of a machine group: machines of one kind in one partition.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// The partition that the machines belong to.
    #[serde(rename = "part")]
    pub partition: Partition,
    /// Machine type.
    pub model: String,
    /// Zone.
    pub zone: String,
    /// They are spot machines.
    pub spot: bool,
    /// When the machines were rented: wall clock time in milliseconds.
    #[serde(default, rename = "at")]
    pub rented_at_ms: u64,
    /// Partitions other than `part` whose tasks may still be on the machines, because a machine was handed over to
    /// `part` while it ran them.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty", rename = "also")]
    pub also_holds: BTreeSet<Partition>,
    /// Machines have left the group that may still exist: they were handed over or split off. When the group becomes
    /// empty, its key is kept for a while, so that no copy of the write that created the group is carried out. Versions
    /// before this field drop it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not", rename = "left")]
    pub has_former_machines: bool,
    /// The machines, each with the session and sequence number of its last report when it came into the machine group.
    /// Older reports are ignored.
    #[serde(rename = "m")]
    pub machines: BTreeMap<MachineId, (u64, u64)>,
}

impl GroupRecord {
    /// A new machine group of the same kind and partition, without machines.
    pub(super) fn without_machines(&self) -> Self {
        Self {
            machines: BTreeMap::new(),
            has_former_machines: false,
            ..self.clone()
        }
    }
}

/// A machine that has come up: its entry in a stored boot batch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BootEntry {
    /// Address at which it takes commands.
    #[serde(rename = "addr")]
    pub address: String,
    /// Session and sequence number of its first report. Older reports are ignored.
    #[serde(rename = "seen")]
    pub last_report: (u64, u64),
}

/// Maximum number of machines in one stored record, even if its size limit would allow more.
pub(super) const MAX_MACHINES_PER_RECORD: usize = 50;

/// Number of bytes that a machine's entry adds to a stored record, with its colon and comma.
pub(super) fn entry_bytes(machine: &MachineId, entry: &impl Serialize) -> usize {
    bytes_of(machine) + bytes_of(entry) + 2
}
