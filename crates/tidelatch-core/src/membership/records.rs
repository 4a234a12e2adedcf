//! The shared keys in the state service, and the stored records of members, the leader and the epoch.

use crate::ids::{ControllerId, Epoch, Incarnation};
use serde::{Deserialize, Serialize};

/// Prefix of the shared keys, which every controller watches.
pub const SHARED_PREFIX: &str = "t/";
/// Key of the epoch record.
pub(super) const EPOCH_KEY: &str = "t/c/epoch";
/// Key of the leader record.
pub(super) const LEADER_KEY: &str = "t/c/leader";
/// Prefix of the member records.
pub(super) const MEMBER_PREFIX: &str = "t/c/member/";
/// Key of the machine types that the cloud last listed.
pub const TYPES_KEY: &str = "t/y";
/// Prefix of job records.
pub const JOB_PREFIX: &str = "t/j/";
/// Prefix of the roster's machine groups.
pub const ROSTER_PREFIX: &str = "t/m/";
/// Prefix of the keys that ensure mutual exclusion between the steps of splitting up a machine group. Controllers of
/// feature level 0 ignore them.
pub const STEP_PREFIX: &str = "t/s/";
/// Prefix of the roster's boot batches: machines that have booted.
pub const BOOT_BATCH_PREFIX: &str = "t/u/";

/// A controller's member record. The state service deletes it when the controller's lease ends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The incarnation of the controller.
    #[serde(rename = "inc")]
    pub incarnation: Incarnation,
    /// The newest epoch that the controller has applied.
    #[serde(rename = "ack")]
    pub acknowledged_epoch: u64,
    /// Feature level of the controller's version. Controllers store and send each other only what every member's
    /// version supports. Absent: level 0, a version without gangs.
    #[serde(default, skip_serializing_if = "is_zero", rename = "knows")]
    pub feature_level: u32,
}

fn is_zero(level: &u32) -> bool {
    *level == 0
}

/// The leader record. The state service deletes it when the leader's lease ends. The same type
/// names an earlier owner of a partition, whether or not it was the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Name of the controller.
    pub name: ControllerId,
    /// Its incarnation.
    #[serde(rename = "inc")]
    pub incarnation: Incarnation,
}

/// Who owns a partition.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionOwner {
    /// Name of the owner.
    pub owner: ControllerId,
    /// Its incarnation.
    #[serde(rename = "inc")]
    pub incarnation: Incarnation,
    /// The epoch in which it became the owner.
    #[serde(rename = "since")]
    pub since_epoch: Epoch,
    /// Earlier owners that were members when they lost the partition. The owner does not act for the partition
    /// until each of them has acknowledged the epoch `since_epoch` or lost its lease.
    #[serde(default, rename = "wait")]
    pub wait_for: Vec<LeaderRecord>,
}

/// The epoch and the owners of all partitions under it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochRecord {
    /// Number of the epoch, which serves as the fencing token.
    #[serde(rename = "n")]
    pub number: Epoch,
    /// Owners, indexed by partition number.
    #[serde(rename = "parts")]
    pub partitions: Vec<PartitionOwner>,
}
