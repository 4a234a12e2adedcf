//! Calls in progress: the purpose of each, and the requesters that wait for its result.

use crate::disruption::DrainWrite;
use crate::ids::{ControllerId, Epoch, JobId, MachineId, Partition, Revision};
use crate::jobs::Purpose as JobPurpose;
use crate::protocol::Rental;
use crate::roster::{BootBatch, GroupRecord};

/// Whether the state service refused a transaction because its lease has ended, and not because it is malformed.
pub(crate) fn is_lost_lease(body: &[u8]) -> bool {
    String::from_utf8_lossy(body).contains("lease")
}

/// The requester that waits for an answer, with the number of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Requester {
    /// A user, worker or health check, over HTTP.
    Request(u64),
    /// Another controller that forwarded a request.
    Peer(u64),
}

/// Purpose of a call, with what is needed to handle its result. Times named `sent` are milliseconds.
#[derive(Debug, Clone)]
pub(crate) enum CallPurpose {
    /// Obtains a new lease.
    NewLease { sent: u64 },
    /// Extends the lease.
    ExtendLease { sent: u64, lease_id: u64 },
    /// Writes this controller's member record.
    MemberWrite { ack: u64 },
    /// Writes the leader's key.
    LeaderWrite,
    /// Writes a new epoch.
    EpochWrite,
    /// Reads a page of the shared keys.
    ListSharedKeys { cursor: String, first_revision: u64 },
    /// Waits for changes of the shared keys.
    WatchSharedKeys { number: u64 },
    /// Reads a page of the stored bitmaps of a partition that this controller takes over. `since` is the number of the
    /// epoch in which it became the owner.
    DoneBits { partition: Partition, since: u64 },
    /// Reads a page of records of a partition that this controller may have to take over.
    ReadAhead { partition: Partition, attempt: u64 },
    /// Reads the changes since such records were read, at the takeover. `since` as in `DoneBits`.
    DoneBitsChanges { partition: Partition, since: u64 },
    /// A call about a job.
    Job(JobPurpose),
    /// Reads the machine types from the cloud.
    ReadMachineTypes,
    /// Stores the machine types.
    WriteMachineTypes,
    /// Rents machines from the cloud.
    RentMachines { rental: Rental, partitions: Vec<Partition> },
    /// Stores new machine groups, as the leader.
    WriteNewMachineGroups,
    /// Changes a machine group, possibly into several groups.
    WriteMachineGroup {
        group: String,
        revision: Revision,
        changes: Vec<(String, Option<GroupRecord>)>,
    },
    /// Stores that machines have booted. Their first reports are answered once this is stored.
    WriteBootBatch {
        batch: BootBatch,
        requesters: Vec<(Requester, MachineId, (u64, u64))>,
    },
    /// Deletes machines in the cloud.
    DeleteMachines { machines: Vec<MachineId> },
    /// Lists the rented machines in the cloud.
    ListMachines,
    /// Changes the keys of a drain, as the leader.
    WriteDrain { write: DrainWrite },
    /// Confirms a machine by an empty list of commands, which tells its worker the new epoch.
    ConfirmMachine { machine: MachineId, sent: u64 },
    /// Asks a worker for its status, outside its reports.
    ReadWorkerStatus { machine: MachineId, sent: u64 },
    /// Sends commands to a worker directly, not as the answer to its report.
    SendCommands {
        machine: MachineId,
        number: u64,
        epoch: Epoch,
        session: u64,
    },
    /// Sends a heartbeat to another controller.
    Heartbeat {
        to: ControllerId,
        sent: u64,
        /// The range of cancellation numbers that the heartbeat carried.
        sent_cancellations: (u64, u64),
    },
    /// Forwards a worker's report to the machine's owner.
    Relay {
        requester: Requester,
        report: Box<crate::protocol::Report>,
    },
    /// Forwards a status request to the job's owner.
    ForwardStatus { requester: Requester, job: JobId },
    /// Forwards a cancellation to the job's owner.
    ForwardCancellation { requester: Requester },
    /// Forwards a submission that this controller cannot store.
    ForwardSubmission {
        requester: Requester,
        /// The job's id; `None` if the submission names none.
        job: Option<JobId>,
    },
}
