//! What happens at some time of the simulation, and the requests that wait for an answer.

use tidelatch_core::{PeerReply, PeerRequest};

/// A call that a controller has made. A call of an earlier life is of no interest to the next one.
#[derive(Debug, Clone, Copy)]
pub(super) struct Caller {
    /// The controller's number.
    pub(super) node: usize,
    /// The life of the controller that made the call.
    pub(super) life: u64,
    /// The controller's own number of the call.
    pub(super) call: u64,
}

/// A request of a controller to the state service, the cloud or a worker.
#[derive(Debug, Clone)]
pub(super) struct ServiceRequest {
    /// Receiver: `state`, `cloud` or a machine.
    pub(super) to: String,
    pub(super) method: &'static str,
    pub(super) path: String,
    pub(super) body: String,
}

/// A change that an open watch waits for.
#[derive(Debug)]
pub(super) struct Watch {
    pub(super) prefix: String,
    /// The last revision that the watcher has seen.
    pub(super) since: u64,
    /// When the watch ends without news.
    pub(super) until: u64,
}

/// A worker's report on its way.
#[derive(Debug, Clone)]
pub(super) struct Report {
    /// The worker that waits for the answer; empty if nobody does.
    pub(super) worker: String,
    /// Sequence number of the report.
    pub(super) beat: u64,
    pub(super) body: String,
}

/// Something that is due.
pub(super) enum Event {
    /// A controller's timer, in one of its lives.
    Tick(usize, u64),
    /// A request reaches a service or a worker.
    RequestArrives {
        from: Caller,
        request: ServiceRequest,
        /// Milliseconds that the answer takes, if it is delivered.
        answered: Option<u64>,
    },
    /// An answer, or the end of the time for it, reaches a controller.
    RequestAnswered { to: Caller, result: Option<(u16, String)> },
    /// An open watch looks for news.
    Watch { from: Caller, watch: Watch },
    /// A request reaches another controller.
    PeerRequestArrives {
        from: Caller,
        to: usize,
        request: PeerRequest,
        answered: Option<u64>,
    },
    /// A peer's answer, or the end of the time for it, reaches a controller.
    PeerRequestAnswered { to: Caller, result: Option<PeerReply> },
    /// A machine has booted.
    Boot(String),
    /// A worker goes on with its tasks.
    Work(String),
    /// The gangs go on.
    Gangs,
    /// A worker's report reaches a controller.
    ReportArrives {
        node: usize,
        report: Report,
        answered: Option<u64>,
    },
    /// A user cancels a job.
    Withdraw { node: usize, job: String },
    /// The answer to a report, or the end of the time for it, reaches a worker.
    ReportAnswered {
        worker: String,
        beat: u64,
        result: Option<(u16, String)>,
    },
}

/// Who waits for a controller's answer to a request.
pub(super) enum Asked {
    /// A user.
    User,
    /// A worker that has reported.
    Worker {
        worker: String,
        beat: u64,
        answered: Option<u64>,
    },
    /// Another controller.
    Peer { from: Caller, answered: Option<u64> },
}
