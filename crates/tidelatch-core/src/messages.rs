//! The typed messages of a controller: its inputs and outputs, and the requests and replies between controllers.

use crate::cancellations::CancellationNotice;
use crate::capacity::count_fitting_tasks;
use crate::ids::{ControllerId, MachineId, Partition};
use tidelatch_disruption::{Permit, PermitMessage};
use tidelatch_failure_detector::Heartbeat;

/// Status of a call that was never sent because no connection was established: nothing can have been executed.
pub const STATUS_NOT_CONNECTED: u16 = 0;

/// Status of a call for which no socket was free: nothing was sent, so it tells nothing about the other side.
pub const STATUS_NO_FREE_SOCKET: u16 = 1;

/// The time of an input.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Now {
    /// Monotonic time in milliseconds, from an arbitrary origin before the controller started.
    pub ms: u64,
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub wall_ms: u64,
}

/// HTTP method of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// Reads.
    Get,
    /// Changes something.
    Post,
    /// Deletes.
    Delete,
}

/// Destination of a call.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Target {
    /// The state service.
    State,
    /// The cloud provider's API.
    Cloud,
    /// The worker with this address.
    Worker(String),
}

/// Answer to an HTTP request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Value of the `Retry-After` header, in seconds.
    pub retry_after_s: Option<u32>,
    /// JSON body.
    pub body: String,
}

impl Answer {
    /// Creates an answer with a JSON body.
    pub fn new(status: u16, body: impl Into<String>) -> Self {
        Self {
            status,
            retry_after_s: None,
            body: body.into(),
        }
    }
    /// Creates an answer with an error message that asks the client to retry after some seconds.
    pub fn retry_later(status: u16, seconds: u32, why: &str) -> Self {
        Self {
            status,
            retry_after_s: Some(seconds),
            body: serde_json::json!({ "error": why }).to_string(),
        }
    }
}

/// Machines of one kind that a partition requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineRequest {
    /// Machine type.
    pub model: String,
    /// Zone; empty means any.
    pub zone: String,
    /// Whether spot machines are requested.
    pub spot: bool,
    /// Number of machines.
    pub count: u32,
    /// Whether they are for production work.
    pub urgent: bool,
    /// Whether machines in another zone are acceptable.
    pub any_zone: bool,
}

/// Queued tasks with the same requirements. The leader assigns them idle capacity of other partitions.
#[derive(Debug, Clone, PartialEq)]
pub struct WaitingTasks {
    /// Acceptable machine types; empty means any.
    pub models: Vec<String>,
    /// Acceptable zones; empty means any.
    pub zones: Vec<String>,
    /// Whether they may run on spot machines.
    pub spot: bool,
    /// Whether they are production work.
    pub urgent: bool,
    /// Resources that each task needs: CPUs, GPUs and memory in GB.
    pub task_resources: [f64; 3],
    /// Number of tasks.
    pub count: u32,
}

impl WaitingTasks {
    /// Whether the tasks may run on a machine.
    pub fn accepts_machine(&self, machine: &MachineSummary) -> bool {
        self.accepts_kind(&machine.model, &machine.zone, machine.spot)
    }

    /// Whether the tasks may run on machines of this type and zone, spot or not.
    pub fn accepts_kind(&self, model: &String, zone: &String, spot: bool) -> bool {
        let allows_name = |list: &[String], name: &String| list.is_empty() || list.contains(name);
        (self.spot || !spot) && allows_name(&self.models, model) && allows_name(&self.zones, zone)
    }

    /// Number of tasks of this size that fit into the free resources. May exceed `count`.
    pub fn count_fitting(&self, free: &[f64; 3]) -> u32 {
        count_fitting_tasks(&self.task_resources, free)
    }
}

/// A machine that runs tasks and has free resources that its partition does not need.
#[derive(Debug, Clone, PartialEq)]
pub struct SpareRoom {
    /// The machine.
    pub machine: MachineSummary,
    /// Free CPUs, GPUs and memory in GB.
    pub free: [f64; 3],
}

/// A machine that its partition offers to others: idle, with spare room, or one that can be vacated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineSummary {
    /// The machine.
    pub machine: MachineId,
    /// Machine type.
    pub model: String,
    /// Zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
}

/// Summary of a partition's demand and spare capacity, which its owner sends to the leader.
#[derive(Debug, Clone, PartialEq)]
pub struct Digest {
    /// The partition.
    pub partition: Partition,
    /// Revision of the state service that the digest reflects.
    pub revision: u64,
    /// Queued and running demand: for each task its GPUs, or its CPUs divided by 100 if that is more.
    pub demand: f64,
    /// Requested machines.
    pub machine_requests: Vec<MachineRequest>,
    /// Queued tasks, including those for which existing machines will have capacity so soon that no machine is
    /// requested for them.
    pub waiting_tasks: Vec<WaitingTasks>,
    /// Machines that run no tasks.
    pub idle: Vec<MachineSummary>,
    /// Machines whose tasks can all be preempted for production work, the least lost work first.
    pub vacatable_machines: Vec<MachineSummary>,
    /// Machines in use with free resources that no queued task of the partition needs.
    pub spare_room: Vec<SpareRoom>,
    /// Its machines keep many attempts that they may forget once the epoch is raised.
    pub needs_newer_epoch: bool,
}

/// Order of the leader to move a machine to another partition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineMove {
    /// The machine.
    pub machine: MachineId,
    /// The partition that it moves to.
    pub to: Partition,
    /// The tasks on the machine are stopped first.
    pub vacate: bool,
    /// The machine moves together with the tasks that run on it.
    pub occupied: bool,
}

/// The permits to interrupt tasks that a controller requests from another one, and those that it has used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermitListing {
    /// The requester's incarnation.
    pub incarnation: u64,
    /// The requested and the used permits.
    pub message: PermitMessage,
}

/// The permits that a controller grants in reply to a listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermitGrants {
    /// Sequence number of the listing.
    pub sequence: u64,
    /// The granted permits.
    pub permits: Vec<Permit>,
}

/// A request from one controller to another.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerRequest {
    /// Forwards a worker's report to the machine's owner.
    Relay {
        /// The report, as received.
        report: Vec<u8>,
    },
    /// Forwards a user's status request or cancellation to the job's owner.
    Forward {
        /// The job's id.
        job: String,
        /// True: cancel the job; false: return its status.
        cancel: bool,
    },
    /// Forwards a user's submission that the sender cannot store.
    Submit {
        /// The submission, as received.
        submission: Vec<u8>,
    },
    /// A heartbeat with the sender's state.
    Heartbeat {
        /// The sender's name.
        name: String,
        /// The sender is entitled to act.
        entitled: bool,
        /// The sender requests a grant, a promise not to change the membership.
        wants_grant: bool,
        /// The sender relies, or may come to rely, on a grant of the receiver.
        relies_on_grant: bool,
        /// Digests of the sender's partitions.
        digests: Vec<Digest>,
        /// Cancellations that the receiver may not know of.
        cancellations: CancellationNotice,
        /// Heartbeat for the receiver's failure detector; `None`: the sender runs no detector.
        detector_heartbeat: Option<Heartbeat>,
        /// Permits that the sender requests and has used; `None`: there are none to report.
        permits: Option<Box<PermitListing>>,
    },
}

/// A reply from one controller to another.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerReply {
    /// Reply to a forwarded report, request or submission.
    Answer(Answer),
    /// Reply to a heartbeat.
    Heartbeat {
        /// The replying controller is entitled to act.
        entitled: bool,
        /// The replying controller promises not to change the membership for the duration of a controller's lease.
        granted: bool,
        /// The replying controller relies, or may come to rely, on a grant of the requester.
        relies_on_grant: bool,
        /// Machines to move to other partitions (from the leader only).
        moves: Vec<MachineMove>,
        /// Kinds of machine that the cloud refused recently (from the leader only).
        refused: Vec<MachineRequest>,
        /// Cancellations that the requester may not know of.
        cancellations: CancellationNotice,
        /// Heartbeat for the requester's failure detector; `None`: the replying controller runs no detector.
        detector_heartbeat: Option<Heartbeat>,
        /// Granted permits; `None`: none were requested.
        permits: Option<Box<PermitGrants>>,
    },
}

/// An input of the controller's state machine.
#[derive(Debug, Clone)]
pub enum Input {
    /// A timer tick.
    Tick,
    /// An HTTP request of a user, worker or health check.
    Request {
        /// Number of the request, which its answer repeats.
        id: u64,
        /// Method.
        method: Method,
        /// Path.
        path: String,
        /// Body.
        body: Vec<u8>,
    },
    /// The result of a call to a service or worker.
    Reply {
        /// Number of the call.
        call: u64,
        /// Status (or [`STATUS_NOT_CONNECTED`] or [`STATUS_NO_FREE_SOCKET`]) and body; `None`: there was no reply
        /// before the timeout.
        result: Option<(u16, Vec<u8>)>,
    },
    /// A request from another controller.
    PeerRequest {
        /// Number of the request, which its reply repeats.
        id: u64,
        /// The request.
        request: PeerRequest,
    },
    /// The result of a request to another controller.
    PeerReply {
        /// Number of the call.
        call: u64,
        /// The reply; `None`: there was none before the timeout.
        result: Option<PeerReply>,
    },
}

/// Level of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Level {
    /// A problem that an operator should look into.
    Error,
    /// A decision or change of state that explains later behaviour.
    Info,
    /// A detail for debugging.
    Debug,
}

/// An output of the controller's state machine, for the caller to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Answers an HTTP request.
    Answer {
        /// Number of the request.
        id: u64,
        /// The answer.
        answer: Answer,
    },
    /// Makes a call to a service or worker; its result comes back as [`Input::Reply`].
    Call {
        /// Number of the call.
        id: u64,
        /// Destination.
        target: Target,
        /// Method.
        method: Method,
        /// Path and query.
        path: String,
        /// JSON body; may be empty.
        body: String,
        /// Timeout in milliseconds.
        timeout_ms: u64,
    },
    /// Sends a request to another controller; its result comes back as [`Input::PeerReply`].
    PeerRequest {
        /// Number of the call.
        id: u64,
        /// The receiver.
        to: ControllerId,
        /// The request.
        request: PeerRequest,
        /// Timeout in milliseconds.
        timeout_ms: u64,
    },
    /// Replies to a request of another controller.
    PeerReply {
        /// Number of the request.
        id: u64,
        /// The reply.
        reply: PeerReply,
    },
    /// Opens a connection to a worker ahead of calls to it, if a socket is free.
    Connect {
        /// The worker's address.
        address: String,
    },
    /// Writes a log line for the operators.
    Log {
        /// Level of the line.
        level: Level,
        /// Text of the line.
        text: String,
    },
}
