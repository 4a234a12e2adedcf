//! The typed messages of a controller: its inputs and outputs, and what controllers ask and answer one another.

use crate::cancellations::CancellationNotice;
use crate::capacity::room_for;
use crate::ids::{ControllerId, MachineId, Partition};
use tidelatch_disruption::{Permit, PermitMessage};
use tidelatch_failure_detector::Heartbeat;

/// Status of a call that was never sent: no connection came about, so nothing can have been executed.
pub const NOT_SENT: u16 = 0;

/// Status of a call for which no socket was free: nothing was tried, so it says nothing of the other side.
pub const NOT_TRIED: u16 = 1;

/// The time of an input.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Now {
    /// Steady milliseconds since some moment before the process began to act.
    pub ms: u64,
    /// Milliseconds of the time of day.
    pub wall_ms: u64,
}

/// HTTP method of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// Read.
    Get,
    /// Change.
    Post,
    /// Remove.
    Delete,
}

/// Where a call goes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Target {
    /// State service.
    State,
    /// Cloud.
    Cloud,
    /// A worker, by its address.
    Worker(String),
}

/// What a caller is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// When to come back.
    pub retry_after_s: Option<u32>,
    /// JSON body.
    pub body: String,
}

impl Answer {
    /// An answer with a body.
    pub fn new(status: u16, body: impl Into<String>) -> Self {
        Self {
            status,
            retry_after_s: None,
            body: body.into(),
        }
    }
    /// Not now; come back later.
    pub fn later(status: u16, seconds: u32, why: &str) -> Self {
        Self {
            status,
            retry_after_s: Some(seconds),
            body: serde_json::json!({ "error": why }).to_string(),
        }
    }
}

/// Machines that a partition would like to have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MachineRequest {
    /// Machine type.
    pub model: String,
    /// Zone; empty: any.
    pub zone: String,
    /// Spot machines.
    pub spot: bool,
    /// How many.
    pub count: u32,
    /// Production work.
    pub urgent: bool,
    /// Another zone would do as well.
    pub any_zone: bool,
}

/// Tasks that wait for room: what the leader needs to know to lend them what is idle elsewhere.
#[derive(Debug, Clone, PartialEq)]
pub struct WaitingTasks {
    /// Machine types that would do; empty: any.
    pub models: Vec<String>,
    /// Zones that would do; empty: any.
    pub zones: Vec<String>,
    /// May use spot machines.
    pub spot: bool,
    /// Production work.
    pub urgent: bool,
    /// What each task takes.
    pub size: [f64; 3],
    /// How many.
    pub count: u32,
}

impl WaitingTasks {
    /// Whether a machine would do.
    pub fn takes(&self, machine: &IdleMachine) -> bool {
        self.allows(&machine.model, &machine.zone, machine.spot)
    }

    /// Whether a kind of machine would do.
    pub fn allows(&self, model: &String, zone: &String, spot: bool) -> bool {
        let among = |list: &[String], name: &String| list.is_empty() || list.contains(name);
        (self.spot || !spot) && among(&self.models, model) && among(&self.zones, zone)
    }

    /// How many of the tasks fit into some room.
    pub fn fits(&self, room: &[f64; 3]) -> u32 {
        room_for(&self.size, room)
    }
}

/// A machine that runs tasks and has room that its partition has no use for.
#[derive(Debug, Clone, PartialEq)]
pub struct SpareRoom {
    /// The machine.
    pub machine: IdleMachine,
    /// Processors, accelerators and memory that are free on it.
    pub free: [f64; 3],
}

/// A machine with nothing on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdleMachine {
    /// The machine.
    pub machine: MachineId,
    /// Machine type.
    pub model: String,
    /// Zone.
    pub zone: String,
    /// Spot machine.
    pub spot: bool,
}

/// What a partition's owner tells the leader.
#[derive(Debug, Clone, PartialEq)]
pub struct Digest {
    /// The partition.
    pub partition: Partition,
    /// Revision of the store that it was made from.
    pub ledger: u64,
    /// Queued and running demand, in accelerators (or processors where none are used).
    pub demand: f64,
    /// Machines wanted.
    pub needs: Vec<MachineRequest>,
    /// Tasks that wait, even for what will be free in time.
    pub wants: Vec<WaitingTasks>,
    /// Machines with nothing on them.
    pub idle: Vec<IdleMachine>,
    /// Machines with nothing but work that yields to production, the least loss first.
    pub yielding: Vec<IdleMachine>,
    /// Machines in use with room that nothing of the partition's waits for.
    pub spare_room: Vec<SpareRoom>,
}

/// The leader hands a machine to another partition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// The machine.
    pub machine: MachineId,
    /// Its new partition.
    pub to: Partition,
    /// What is on it is stopped first.
    pub vacate: bool,
    /// It goes with the tasks that run on it.
    pub occupied: bool,
}

/// What a controller says of the permits to interrupt tasks that it wants, and has used, from another one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermitListing {
    /// The life of who asks.
    pub life: u64,
    /// What it wants and has used.
    pub message: PermitMessage,
}

/// What a controller permits in answer to a listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermitGrants {
    /// Number of the listing.
    pub sequence: u64,
    /// What it permits.
    pub permits: Vec<Permit>,
}

/// What one controller asks another.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerRequest {
    /// A worker's report for the machine's owner.
    Relay {
        /// The report as it came.
        report: Vec<u8>,
    },
    /// A user's question or withdrawal for a job's owner.
    Forward {
        /// The job.
        job: String,
        /// Withdraw, or else ask for its state.
        withdraw: bool,
    },
    /// A user's submission that the sender cannot store.
    Submit {
        /// The submission as it came.
        submission: Vec<u8>,
    },
    /// How the sender stands.
    Heartbeat {
        /// The sender.
        name: String,
        /// It holds its lease.
        entitled: bool,
        /// It asks for a grant to leave the membership as it is.
        wants_grant: bool,
        /// It relies, or may come to rely, on a grant of the other.
        relies: bool,
        /// Its partitions.
        digests: Vec<Digest>,
        /// Cancellations that the other may not know of.
        told: CancellationNotice,
        /// For the other's failure detector; none: the sender does not take part.
        liveness: Option<Heartbeat>,
        /// Permits that it wants and has used; none: it has nothing to say of any.
        permits: Option<Box<PermitListing>>,
    },
}

/// What one controller answers another.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerReply {
    /// To a relay or a forward.
    Answer(Answer),
    /// To a hello.
    Heartbeat {
        /// The answerer holds its lease.
        entitled: bool,
        /// The answerer grants to leave the membership as it is for a controller's lease.
        granted: bool,
        /// It relies, or may come to rely, on a grant of the other.
        relies: bool,
        /// Machines to hand over (from the leader only).
        moves: Vec<Move>,
        /// Kinds of machine that the cloud refused lately (from the leader only).
        refused: Vec<MachineRequest>,
        /// Cancellations that the asker may not know of.
        told: CancellationNotice,
        /// For the asker's failure detector; none: the answerer does not take part.
        liveness: Option<Heartbeat>,
        /// What it permits; none: it was asked for nothing.
        permits: Option<Box<PermitGrants>>,
    },
}

/// What happens to a controller.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A request of a user, worker or health check.
    Request {
        /// Number for the answer.
        id: u64,
        /// Method.
        method: Method,
        /// Path.
        path: String,
        /// Body.
        body: Vec<u8>,
    },
    /// A call ended: status and body, or no answer.
    Reply {
        /// The call.
        call: u64,
        /// What came back: status (or [`NOT_SENT`]) and body.
        result: Option<(u16, Vec<u8>)>,
    },
    /// A peer asks.
    PeerRequest {
        /// Number for the answer.
        id: u64,
        /// The question.
        request: PeerRequest,
    },
    /// A peer answered, or did not.
    PeerReply {
        /// The call.
        call: u64,
        /// The answer.
        result: Option<PeerReply>,
    },
}

/// Weight of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Level {
    /// Something that an operator should look at.
    Error,
    /// A decision that explains what follows.
    Info,
    /// Detail.
    Debug,
}

/// What a controller wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Answer a request.
    Answer {
        /// The request.
        id: u64,
        /// The answer.
        answer: Answer,
    },
    /// Make a call; its end comes back as [`Input::Reply`].
    Call {
        /// The call.
        id: u64,
        /// Where.
        target: Target,
        /// Method.
        method: Method,
        /// Path and query.
        path: String,
        /// JSON body, or nothing.
        body: String,
        /// Time after which it has no answer.
        timeout_ms: u64,
    },
    /// Ask a peer; its end comes back as [`Input::PeerReply`].
    Ask {
        /// The call.
        id: u64,
        /// Whom.
        to: ControllerId,
        /// What.
        request: PeerRequest,
        /// Time after which it has no answer.
        timeout_ms: u64,
    },
    /// Answer a peer.
    Tell {
        /// The request.
        id: u64,
        /// The answer.
        reply: PeerReply,
    },
    /// Open a connection to a worker ahead of calls to it, if there is room for it.
    Connect {
        /// The worker's address.
        address: String,
    },
    /// Say something to the operators.
    Log {
        /// Weight.
        level: Level,
        /// Text.
        text: String,
    },
}
