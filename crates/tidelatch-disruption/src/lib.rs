//! Disruption budgets, permits to interrupt tasks, and stepped drains of machines.
//!
//! A scheduler that moves tasks for its own reasons (it replaces machines, packs tasks more densely, hands machines
//! over to another owner) interrupts its users' workloads. This crate limits how much of that may happen at a time:
//!
//! * A [`Budget`] states how many units (replicas of a service, tasks of an array or a gang) may be unavailable at a
//!   time within a scope, which is a set of jobs. Units that failed on their own also use up the budget.
//! * A [`PermitLedger`] is kept by the one controller that owns a team's jobs. Only the ledger grants permits. It
//!   counts each permit against the budget until the unit runs again, or until no controller can act on the permit any
//!   more.
//! * A [`PermitHolder`] is kept by each controller that stops tasks. It requests permits from the controllers that own
//!   the tasks' teams. It uses a permit only before the permit expires, counted from when the request was *sent*, and
//!   only while the controller that granted it still owns the team under the same fencing token.
//! * A [`MachineDrain`] takes one machine through the steps of a drain, and a [`MachineSet`] stores which machines a
//!   drain covers.
//!
//! The crate does no I/O, reads no clock, starts no threads and uses no random numbers: the caller passes in times, in
//! milliseconds of a monotonic clock. The same sequence of calls gives the same results.
//!
//! # Example
//!
//! A service of four replicas, of which at most one may be unavailable at a time:
//!
//! ```
//! use tidelatch_disruption::{
//!     Amount, Attempt, Budget, Census, ControllerName, Denial, JobCensus, JobName, MachineName,
//!     PermitLedger, PermitRequest, ScopeName, Tenure, UnavailabilityRule, Unit,
//!     UnitSet,
//! };
//!
//! let job = JobName::new("shop");
//! let scope = ScopeName::new("shop");
//! let mut census = Census::default();
//! census.add_scope(scope.clone(), Budget::MaxUnavailable(Amount::Count(1)));
//! let replicas = JobCensus::new(UnavailabilityRule::Replicas, 4, (0..4).collect::<UnitSet>(), [scope]);
//! census.add_job(job.clone(), replicas);
//!
//! let mut ledger = PermitLedger::new(Tenure(7), 0);
//! let request = |index| PermitRequest {
//!     unit: Unit::new(job.clone(), index),
//!     attempt: Attempt(1),
//!     machine: MachineName::new("m-1"),
//!     requester: ControllerName::new("a"),
//!     machine_tenure: Tenure(7),
//! };
//! let permits = ledger.request(0, 5_000, &[request(0)], &census)?;
//! assert_eq!(permits.len(), 1);
//! // The first replica may already be stopped, so the second one has to keep running.
//! assert!(matches!(ledger.request(10, 5_000, &[request(1)], &census), Err(Denial::BudgetExhausted { .. })));
//! # Ok::<(), Denial>(())
//! ```

#![warn(clippy::too_many_lines)]

mod budget;
mod census;
mod drain;
mod holder;
mod ids;
mod interruption;
mod ledger;
mod machine_set;
mod unit_set;

pub use budget::{Amount, AmountError, Budget};
pub use census::{Census, JobCensus, UnavailabilityRule, Usage};
pub use drain::{MachineDrain, Observation, Replacement, Step};
pub use holder::{PermitHolder, PermitMessage, UseError, WantedPermit};
pub use ids::{Attempt, ControllerName, JobName, MachineName, ScopeName, Tenure, Unit};
pub use interruption::InterruptionCost;
pub use ledger::{Denial, OutstandingPermit, Permit, PermitLedger, PermitRequest, UnitState, UnitStateSource};
pub use machine_set::{MachineSet, MachineSetError, MachineSetPart};
pub use unit_set::UnitSet;
