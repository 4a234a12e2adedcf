//! The shared keys of the state service, and what is stored of members, the leader and the epoch.

use crate::ids::{ControllerId, Epoch, Incarnation};
use serde::{Deserialize, Serialize};

/// Prefix of all that every controller follows.
pub const SHARED: &str = "t/";
pub(super) const EPOCH_KEY: &str = "t/c/epoch";
pub(super) const LEADER_KEY: &str = "t/c/leader";
pub(super) const MEMBER_PREFIX: &str = "t/c/member/";
/// Key of the machine types as last seen.
pub const TYPES_KEY: &str = "t/y";
/// Prefix of job records.
pub const JOB_PREFIX: &str = "t/j/";
/// Prefix of the roster's machine groups.
pub const ROSTER_PREFIX: &str = "t/m/";
/// Prefix of the keys by which the steps exclude each other in which a machine group is taken apart. The version before
/// gangs passes over them.
pub const STEP_PREFIX: &str = "t/s/";
/// Prefix of the roster's boot batches: machines that have come up.
pub const BOOT_BATCH_PREFIX: &str = "t/u/";

/// A controller's own key, which lives as long as its lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The life of the controller.
    pub inc: Incarnation,
    /// The newest epoch that it has taken note of.
    pub ack: u64,
    /// What its program knows: nothing is stored or asked between controllers that one of them does not
    /// know. Absent: the version before gangs.
    #[serde(default, skip_serializing_if = "is_nothing")]
    pub knows: u32,
}

fn is_nothing(level: &u32) -> bool {
    *level == 0
}

/// The leader's key, which lives as long as its lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Its name.
    pub name: ControllerId,
    /// Its life.
    pub inc: Incarnation,
}

/// Who owns a partition.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionOwner {
    /// The owner.
    pub owner: ControllerId,
    /// Its life.
    pub inc: Incarnation,
    /// The epoch with which it began.
    pub since: Epoch,
    /// Earlier owners that were alive when they lost the partition. The owner does nothing for it
    /// before each of them has acknowledged `since` or its lease has ended.
    #[serde(default)]
    pub wait: Vec<LeaderRecord>,
}

/// The epoch and the owners of all partitions under it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochRecord {
    /// The epoch: the fencing token.
    pub n: Epoch,
    /// Owners, by partition.
    pub parts: Vec<PartitionOwner>,
}
