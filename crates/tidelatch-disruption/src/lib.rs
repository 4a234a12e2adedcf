//! Disruption budgets, permits to interrupt tasks, and stepped drains of machines.
//!
//! A program that moves tasks for reasons of its own (it replaces machines, packs tasks closer together, hands machines
//! on) interrupts what users run. This package decides how much of that may happen at a time:
//!
//! * A [`Budget`] says how many units (replicas of a service, tasks of an array) may be unavailable at a time within a
//!   scope, which is a set of jobs. What failed by itself uses up the budget as well.
//! * A [`PermitLedger`] is held by the one controller that owns a team's jobs. It alone grants permits, and counts
//!   each as spent until the unit runs again, or until nobody can act on the permit any more.
//! * A [`PermitHolder`] is held by each controller that stops tasks. It asks the owners of the tasks' teams, and uses a
//!   permit only before its end, counted from when the request was *sent*, and only under the tenure that granted it.
//! * A [`MachineDrain`] takes one machine through the steps of a drain, and a [`MachineSet`] stores which machines a
//!   drain covers.
//!
//! The package does no I/O, reads no clock, starts no thread and draws no random number: times are passed in as
//! milliseconds of a steady clock. The same calls give the same results.
//!
//! # Example
//!
//! A service of four replicas, of which one may be away at a time:
//!
//! ```
//! use tidelatch_disruption::{
//!     Amount, Attempt, Budget, Census, ControllerName, Counting, Denial, JobCensus, JobName, MachineName,
//!     PermitLedger, PermitRequest, ScopeName, Tenure, Unit, UnitSet,
//! };
//!
//! let job = JobName::new("shop");
//! let scope = ScopeName::new("shop");
//! let mut census = Census::default();
//! census.add_scope(scope.clone(), Budget::MaxUnavailable(Amount::Count(1)));
//! let replicas = JobCensus::new(Counting::Replicas, 4, (0..4).collect::<UnitSet>(), [scope]);
//! census.add_job(job.clone(), replicas);
//!
//! let mut ledger = PermitLedger::new(Tenure(7), 0);
//! let request = |index| PermitRequest {
//!     unit: Unit::new(job.clone(), index),
//!     attempt: Attempt(1),
//!     machine: MachineName::new("m-1"),
//!     asker: ControllerName::new("a"),
//!     machine_tenure: Tenure(7),
//! };
//! let permits = ledger.request(0, 5_000, &[request(0)], &census)?;
//! assert_eq!(permits.len(), 1);
//! // The first replica may be stopped by now: the second one has to stay.
//! assert!(matches!(ledger.request(10, 5_000, &[request(1)], &census), Err(Denial::BudgetSpent { .. })));
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
pub use census::{Census, Counting, JobCensus, Usage};
pub use drain::{MachineDrain, Observation, Replacement, Step};
pub use holder::{PermitHolder, PermitMessage, UseError, WantedPermit};
pub use ids::{Attempt, ControllerName, JobName, MachineName, ScopeName, Tenure, Unit};
pub use interruption::Interruption;
pub use ledger::{Denial, LedgerView, Permit, PermitLedger, PermitRequest, SpentPermit, UnitState};
pub use machine_set::{MachineSet, MachineSetError, MachineSetPart};
pub use unit_set::UnitSet;
