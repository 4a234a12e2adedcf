//! The events of the simulation, and the requests that wait for an answer.

use tidelatch_core::{PeerReply, PeerRequest};

/// The origin of a call that a controller has made. The results of calls of an earlier incarnation are dropped.
#[derive(Debug, Clone, Copy)]
pub(super) struct Caller {
    /// The controller's number.
    pub(super) controller: usize,
    /// The incarnation of the controller that made the call.
    pub(super) incarnation: u64,
    /// The number that the controller gave the call.
    pub(super) call: u64,
}

/// A controller's request to the state service, the cloud or a worker.
#[derive(Debug, Clone)]
pub(super) struct ServiceRequest {
    /// Receiver: `state`, `cloud` or the name of a machine.
    pub(super) to: String,
    pub(super) method: &'static str,
    pub(super) path: String,
    pub(super) body: String,
}

/// An open watch: it waits for a change of a key with the prefix.
#[derive(Debug)]
pub(super) struct Watch {
    pub(super) prefix: String,
    /// The last revision that the watcher has seen.
    pub(super) since: u64,
    /// When the watch reached the state service, in milliseconds.
    pub(super) opened_ms: u64,
    /// When the watch ends without changes, in milliseconds.
    pub(super) until: u64,
}

/// A worker's report in transit.
#[derive(Debug, Clone)]
pub(super) struct Report {
    /// The worker that waits for the answer; empty for a copy, whose answer is dropped.
    pub(super) worker: String,
    /// Sequence number of the report.
    pub(super) sequence: u64,
    pub(super) body: String,
}

/// An event that is due at some time of the simulation.
pub(super) enum Event {
    /// The timer of a controller fires: the controller's number and incarnation.
    Tick(usize, u64),
    /// A request reaches a service or a worker.
    RequestArrives {
        from: Caller,
        request: ServiceRequest,
        /// Milliseconds that the answer is in transit; `None`: it is lost.
        answer_delay_ms: Option<u64>,
    },
    /// The answer to a request, or its timeout, reaches a controller.
    RequestAnswered { to: Caller, result: Option<(u16, String)> },
    /// An open watch is checked for changes.
    CheckWatch { from: Caller, watch: Watch },
    /// A request reaches another controller.
    PeerRequestArrives {
        from: Caller,
        to: usize,
        request: PeerRequest,
        answer_delay_ms: Option<u64>,
    },
    /// The answer to a peer request, or its timeout, reaches a controller.
    PeerRequestAnswered { to: Caller, result: Option<PeerReply> },
    /// A machine has booted.
    BootMachine(String),
    /// A worker advances its tasks and reports.
    StepWorker(String),
    /// All gangs advance by one step.
    StepGangs,
    /// A worker's report reaches a controller.
    ReportArrives {
        controller: usize,
        report: Report,
        answer_delay_ms: Option<u64>,
    },
    /// A user cancels a job whose last task has ended.
    CancelEndedJob { controller: usize, job: String },
    /// The answer to a report, or its timeout, reaches a worker.
    ReportAnswered {
        worker: String,
        sequence: u64,
        result: Option<(u16, String)>,
    },
}

/// The sender of a request that waits for a controller's answer.
pub(super) enum PendingRequest {
    /// A user.
    User,
    /// A worker that has sent a report.
    Worker {
        worker: String,
        sequence: u64,
        answer_delay_ms: Option<u64>,
    },
    /// Another controller.
    Peer { from: Caller, answer_delay_ms: Option<u64> },
}
