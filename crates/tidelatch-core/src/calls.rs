//! Calls that are under way: why each was made, and who waits for its outcome.

use crate::disruption::DrainWrite;
use crate::ids::{ControllerId, Epoch, JobId, MachineId, Partition, Stamp};
use crate::jobs::Purpose as JobPurpose;
use crate::protocol::Rental;
use crate::roster::{BootBatch, GroupRecord};

/// Whether a refusal of a change says that its lease has ended, rather than that it is malformed.
pub(crate) fn is_lost_lease(body: &[u8]) -> bool {
    String::from_utf8_lossy(body).contains("lease")
}

/// Who waits for an answer: a connection, or a peer that passed the question on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Asker {
    Request(u64),
    Peer(u64),
}

/// Why a call was made.
#[derive(Debug, Clone)]
pub(crate) enum Purpose {
    LeaseNew {
        sent: u64,
    },
    LeaseExtend {
        sent: u64,
        permit: u64,
    },
    MemberWrite {
        ack: u64,
    },
    LeaderTake,
    EpochWrite,
    List {
        cursor: String,
        first_ledger: u64,
    },
    Watch {
        number: u64,
    },
    Bits {
        partition: Partition,
        since: u64,
    },
    /// Records of a partition that this controller may have to take over.
    ReadAhead {
        partition: Partition,
        attempt: u64,
    },
    /// What has changed since such records were read.
    BitsSince {
        partition: Partition,
        since: u64,
    },
    Job(JobPurpose),
    Types,
    TypesWrite,
    Rent {
        rental: Rental,
        split: Vec<Partition>,
    },
    /// New machine groups of the leader's.
    NewGroups,
    /// A machine group that changes, with what comes of it.
    MachineGroup {
        group: String,
        stamp: Stamp,
        changes: Vec<(String, Option<GroupRecord>)>,
    },
    /// Machines that have come up, and the first reports that wait for that to be stored.
    BootBatch {
        batch: BootBatch,
        askers: Vec<(Asker, MachineId, (u64, u64))>,
    },
    Delete {
        machines: Vec<MachineId>,
    },
    Hosts,
    /// A change of a drain's keys by the leader.
    Drain {
        write: DrainWrite,
    },
    Confirm {
        machine: MachineId,
        sent: u64,
    },
    Probe {
        machine: MachineId,
        sent: u64,
    },
    Direct {
        machine: MachineId,
        number: u64,
        epoch: Epoch,
        session: u64,
    },
    Heartbeat {
        to: ControllerId,
        sent: u64,
        /// The span of cancellations that it told of.
        told: (u64, u64),
    },
    Relay {
        asker: Asker,
        report: Box<crate::protocol::Report>,
    },
    ForwardStatus {
        asker: Asker,
        job: JobId,
    },
    ForwardWithdraw {
        asker: Asker,
    },
    /// A submission that this controller cannot store.
    ForwardSubmission {
        asker: Asker,
        /// None: it names no job.
        job: Option<JobId>,
    },
}
