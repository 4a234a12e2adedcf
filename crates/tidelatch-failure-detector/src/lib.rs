//! A failure detector for small clusters whose members monitor each other.
//!
//! A member that stops sending heartbeats has either failed or become slow, and missing heartbeats alone cannot tell
//! which. This crate keeps two decisions apart:
//!
//! * **Suspicion** is an estimate. It is computed from the arrival times of heartbeats ([`estimator`]), is checked
//!   through other members before it is raised, can be refuted, and never entitles anyone to act.
//! * **Confirmation** is certain. A suspected member is [`Confirmed`](MemberState::Confirmed) as gone only once a
//!   [`RegistrationSource`], the store that all members register with, shows that its registration has ended, and
//!   every grant that lets it act without a registration has expired ([`arbiter`]). The evidence is recorded as a
//!   [`Verdict`].
//!
//! The crate does no I/O, reads no clock, starts no threads and uses no random numbers: the caller passes in times, in
//! milliseconds of a monotonic clock, and messages are passed in and returned as values. The same sequence of calls
//! gives the same results.
//!
//! # Example
//!
//! A stand-alone program with two members, and an in-memory table as the source of registrations:
//!
//! ```
//! use std::collections::BTreeMap;
//! use tidelatch_failure_detector::{
//!     Event, FailureDetector, HeartbeatTrigger, IncarnationId, MemberId, MemberState, Policy, Registration,
//!     RegistrationSource, Timing,
//! };
//!
//! /// The registrations as a store would list them, and the time of the listing.
//! struct Table {
//!     registered: BTreeMap<MemberId, IncarnationId>,
//!     listed_ms: u64,
//! }
//!
//! impl RegistrationSource for Table {
//!     fn registration(&self, member: &MemberId) -> Registration {
//!         match self.registered.get(member) {
//!             Some(incarnation) => Registration::Present { incarnation: *incarnation, observed_ms: self.listed_ms },
//!             None => Registration::Absent { observed_ms: self.listed_ms },
//!         }
//!     }
//!     fn granted_until_ms(&self, _member: &MemberId) -> u64 {
//!         0
//!     }
//! }
//!
//! let (a, b) = (MemberId::new("a"), MemberId::new("b"));
//! let timing = Timing { heartbeat_ms: 1_000, lease_ms: 8_000 };
//! let mut detector_a = FailureDetector::new(a.clone(), IncarnationId(1), [b.clone()], timing, Policy::default(), 0)?;
//! let mut detector_b = FailureDetector::new(b.clone(), IncarnationId(2), [a.clone()], timing, Policy::default(), 0)?;
//! let mut table = Table { registered: BTreeMap::from([(b.clone(), IncarnationId(2))]), listed_ms: 0 };
//!
//! // For one minute, `b` sends a heartbeat each second. Then it stops, and its registration ends one lease later.
//! let mut suspected_ms = None;
//! let mut confirmed_ms = None;
//! for now_ms in (0..90_000).step_by(100) {
//!     if now_ms <= 60_000 && now_ms % 1_000 == 0 {
//!         let heartbeat = detector_b.heartbeat(now_ms, None);
//!         detector_a.on_heartbeat(now_ms, HeartbeatTrigger::Scheduled, &heartbeat)?;
//!     }
//!     table.listed_ms = now_ms;
//!     if now_ms >= 68_000 {
//!         table.registered.remove(&b);
//!     }
//!     for event in detector_a.tick(now_ms, &table) {
//!         match event {
//!             Event::Suspected { .. } => suspected_ms = Some(now_ms),
//!             Event::Confirmed { .. } => confirmed_ms = Some(now_ms),
//!             _ => {}
//!         }
//!     }
//! }
//! assert!(suspected_ms.is_some_and(|at| at < 68_000), "suspected before its lease ended");
//! assert_eq!(confirmed_ms, Some(68_000), "confirmed only once the store shows that its lease has ended");
//! assert!(matches!(detector_a.state(&b), Some(MemberState::Confirmed(_))));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

#![warn(clippy::too_many_lines)]

pub mod arbiter;
mod arrivals;
mod config;
mod detector;
pub mod estimator;
mod event;
mod flapping;
mod local_health;
mod member;
mod message;
mod registrations;

pub use arbiter::{Registration, RegistrationSource, Verdict};
pub use arrivals::ArrivalWindow;
pub use config::{ConfigFault, ConfigFaults, Policy, Timing};
pub use detector::FailureDetector;
pub use estimator::{Estimator, SuspicionLevel};
pub use event::{ClearReason, Event};
pub use member::{MemberState, Suspicion};
pub use message::{
    Claim, ClaimRejection, Heartbeat, HeartbeatTrigger, Incarnation, IncarnationId, MemberId, Opinion, Rejection,
};
