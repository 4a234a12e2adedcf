//! Calls in progress: the purpose of each, and the requesters that wait for its result.

use crate::disruption::DrainWrite;
use crate::ids::{ControllerId, Epoch, JobId, MachineId, Partition, Revision};
use crate::jobs::Purpose as JobPurpose;
use crate::protocol::Rental;
use crate::roster::{BootBatch, GroupRecord};

/// Whether the state service refused a transaction because the controller's lease, which the transaction names, has
/// ended, and not because the transaction is malformed. The error text then contains the word "lease".
pub(crate) fn is_lost_lease_error(body: &[u8]) -> bool {
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
    MemberWrite,
    /// Writes the leader record, to become the leader.
    LeaderWrite,
    /// Writes the leader record again, as the leader.
    LeaderRewrite,
    /// Writes a new epoch.
    EpochWrite,
    /// Reads a page of the shared keys.
    ListSharedKeys,
    /// Reads the changes of the shared keys since the first page of a listing.
    ChangesSinceListing,
    /// Waits for changes of the shared keys.
    WatchSharedKeys { number: u64 },
    /// Reads a page of the stored bitmaps of completed tasks of a partition that this controller takes over.
    /// `since_epoch` is the number of the epoch in which it became the owner.
    DoneBits { partition: Partition, since_epoch: u64 },
    /// Reads ahead a page of the stored bitmaps of completed tasks of a partition that this controller may have to take
    /// over. `read_number` is the number of the read, of which each page is a part.
    ReadAhead { partition: Partition, read_number: u64 },
    /// Reads the changes since the bitmaps were read ahead, at the takeover. `since_epoch` as in `DoneBits`.
    DoneBitsChanges { partition: Partition, since_epoch: u64 },
    /// A call about a job.
    Job(JobPurpose),
    /// Reads the machine types from the cloud.
    ReadMachineTypes,
    /// Stores the machine types.
    WriteMachineTypes,
    /// Rents machines from the cloud. `partitions` holds, for each machine, the partition that it is for.
    RentMachines { rental: Rental, partitions: Vec<Partition> },
    /// Stores new machine groups, as the leader.
    WriteNewMachineGroups,
    /// Changes a machine group or splits it into several. `changes` holds the groups to write by name; `None` deletes
    /// the group.
    WriteMachineGroup {
        group: String,
        revision: Revision,
        changes: Vec<(String, Option<GroupRecord>)>,
    },
    /// Stores that machines have booted. Their first reports are answered once this is stored. Each requester is given
    /// with its machine, and with the session and sequence number of the machine's first report.
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
    /// Asks a machine which tasks it holds, with an empty list of commands, which tells its worker the new epoch.
    ConfirmMachine { machine: MachineId, sent: u64 },
    /// Asks a worker for its status, outside its reports.
    ReadWorkerStatus { machine: MachineId, sent: u64 },
    /// Sends commands to a worker directly, not as the answer to its report. `number` is the number of this direct
    /// command call.
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
