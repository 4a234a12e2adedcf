//! The wire as `PROTOCOL` has it. Wire words stay in the renames of the modules below this one.

mod cloud;
mod state_service;
mod submissions;
mod workers;

pub use cloud::{ListedMachine, MachineList, MachineNames, MachineType, MachineTypes, Rental};
pub use state_service::{Change, Changes, Granted, Item, Items, TxnAnswer};
pub use submissions::{JobSpec, Malformed, Priority, Shape, parse_submission, submission_id};
pub use workers::{Command, Orders, Report, ReportedTask, TaskState};
