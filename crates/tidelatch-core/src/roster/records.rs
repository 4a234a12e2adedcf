//! The stored values of machine groups and boot batches.

use crate::ids::{MachineId, Partition};
use crate::jobs::bytes_of;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Machines of one kind in one partition, as stored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// The partition whose owner uses them.
    pub part: Partition,
    /// Type.
    pub model: String,
    /// Zone.
    pub zone: String,
    /// Spot machines.
    pub spot: bool,
    /// Time of day of their rental.
    #[serde(default)]
    pub at: u64,
    /// Partitions other than `part` whose tasks may still be on them: each went to `part` while it ran those.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty", rename = "also")]
    pub also_holds: BTreeSet<Partition>,
    /// The machines, each with its session and sequence number when it came into the machine group: nothing
    /// older counts.
    pub m: BTreeMap<MachineId, (u64, u64)>,
}

impl GroupRecord {
    /// The same machine group with no machines in it.
    pub(super) fn without_machines(&self) -> Self {
        Self {
            m: BTreeMap::new(),
            ..self.clone()
        }
    }
}

/// A machine that has come up, as stored in a boot batch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BootEntry {
    /// Where it takes commands.
    pub addr: String,
    /// Its session and sequence number: nothing older counts.
    pub seen: (u64, u64),
}

/// Most machines in one stored value, whatever it may hold.
pub(super) const SEATS: usize = 50;

/// What a machine's entry adds to a stored value.
pub(super) fn entry_bytes(machine: &MachineId, entry: &impl Serialize) -> usize {
    bytes_of(machine) + bytes_of(entry) + 2
}
