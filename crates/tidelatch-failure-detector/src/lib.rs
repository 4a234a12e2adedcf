//! A failure detector for small clusters whose members watch each other.
//!
//! A member that falls silent is either dead or slow, and silence alone cannot tell which. This package keeps the two
//! questions apart:
//!
//! * **Suspicion** is an estimate. It comes from the times at which heartbeats arrive ([`estimator`]), is checked
//!   through other members before it is raised, can be refuted, and grants no right of any kind.
//! * **A verdict** is a fact. A suspected member is [`Confirmed`](MemberState::Confirmed) only once an [`Arbiter`],
//!   a store that all members register with, shows that its registration has ended, and every grant that was given
//!   to it has run out ([`arbiter`]).
//!
//! The package does no I/O, reads no clock, starts no thread and draws no random number: times are passed in as
//! milliseconds of a steady clock, messages are passed in and handed out as values. The same calls give the same
//! results.
//!
//! # Example
//!
//! A program of its own with two members, and a table in memory as the arbiter:
//!
//! ```
//! use std::collections::BTreeMap;
//! use tidelatch_failure_detector::{
//!     Arbiter, Channel, Event, FailureDetector, Life, MemberId, MemberState, Policy, Registration, Timing,
//! };
//!
//! /// Registrations, as a store would list them, and the time of the listing.
//! struct Table {
//!     registered: BTreeMap<MemberId, Life>,
//!     listed_ms: u64,
//! }
//!
//! impl Arbiter for Table {
//!     fn registration(&self, member: &MemberId) -> Registration {
//!         match self.registered.get(member) {
//!             Some(life) => Registration::Present { life: *life, observed_ms: self.listed_ms },
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
//! let mut at_a = FailureDetector::new(a.clone(), Life(1), [b.clone()], timing, Policy::default(), 0)?;
//! let mut at_b = FailureDetector::new(b.clone(), Life(2), [a.clone()], timing, Policy::default(), 0)?;
//! let mut table = Table { registered: BTreeMap::from([(b.clone(), Life(2))]), listed_ms: 0 };
//!
//! // For a minute, `b` sends a heartbeat each second; then it is silent, and its registration ends after a lease.
//! let mut suspected_ms = None;
//! let mut confirmed_ms = None;
//! for now_ms in (0..90_000).step_by(100) {
//!     if now_ms <= 60_000 && now_ms % 1_000 == 0 {
//!         let heartbeat = at_b.heartbeat(now_ms, None);
//!         at_a.on_heartbeat(now_ms, Channel::Scheduled, &heartbeat)?;
//!     }
//!     table.listed_ms = now_ms;
//!     if now_ms >= 68_000 {
//!         table.registered.remove(&b);
//!     }
//!     for event in at_a.tick(now_ms, &table) {
//!         match event {
//!             Event::Suspected { .. } => suspected_ms = Some(now_ms),
//!             Event::Confirmed { .. } => confirmed_ms = Some(now_ms),
//!             _ => {}
//!         }
//!     }
//! }
//! assert!(suspected_ms.is_some_and(|at| at < 68_000), "suspected before its lease ended");
//! assert_eq!(confirmed_ms, Some(68_000), "confirmed only once the store shows that its lease has ended");
//! assert!(matches!(at_a.state(&b), Some(MemberState::Confirmed(_))));
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

pub use arbiter::{Arbiter, Registration, Verdict};
pub use arrivals::ArrivalWindow;
pub use config::{ConfigFault, ConfigFaults, Policy, Timing};
pub use detector::FailureDetector;
pub use estimator::{Estimator, SuspicionLevel};
pub use event::{Cleared, Event};
pub use member::{MemberState, Suspicion};
pub use message::{Channel, Claim, ClaimRejection, Heartbeat, Incarnation, Life, MemberId, Opinion, Rejection};
