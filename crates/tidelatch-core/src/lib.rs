//! The decision logic of the tidelatch cluster scheduler, as a deterministic state machine.
//!
//! Nothing here reads a clock, opens a socket, starts a thread or draws a random number. A
//! [`Controller`] takes an [`Input`] with the time of its arrival and returns the [`Output`]s: messages to
//! send, data to store and answers. The daemon connects it to sockets and timers, and tests connect it to
//! simulated services.

#![warn(clippy::too_many_lines)]

mod admission;
mod calls;
mod cancellations;
pub mod capacity;
mod controller;
mod disruption;
mod failure_detection;
pub mod failures;
mod gangs;
pub mod ids;
pub mod jobs;
pub mod machine_view;
pub mod membership;
mod messages;
pub mod placement;
pub mod protocol;
pub mod queue;
mod rate_limit;
pub mod roster;
pub mod settings;
mod submissions;
mod write_limits;

pub use cancellations::CancellationNotice;
pub use controller::Controller;
pub use messages::{
    Answer, Digest, Input, Level, MachineMove, MachineRequest, MachineSummary, Method, Now, Output, PeerReply,
    PeerRequest, PermitGrants, PermitListing, STATUS_NO_FREE_SOCKET, STATUS_NOT_CONNECTED, SpareRoom, Target,
    WaitingTasks,
};
