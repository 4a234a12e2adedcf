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
    /// The machines, each with the session and sequence number of its last report when it came into the machine group.
    /// Older reports are ignored.
    #[serde(rename = "m")]
    pub machines: BTreeMap<MachineId, (u64, u64)>,
}

impl GroupRecord {
    /// A copy of the machine group without its machines.
    pub(super) fn without_machines(&self) -> Self {
        Self {
            machines: BTreeMap::new(),
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
