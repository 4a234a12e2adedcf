//! Messages on the wire, as the protocol document `PROTOCOL` defines them. Types and fields are named by the terms of
//! this code base; serde attributes keep the protocol's own words.

mod cloud;
mod state_service;
mod submissions;
mod workers;

pub use cloud::{ListedMachine, MachineList, MachineNames, MachineType, MachineTypes, Rental};
pub use state_service::{Granted, StoreChange, StoreChanges, StoredItem, StoredItems, TxnAnswer};
pub use submissions::{JobSpec, Malformed, Priority, Shape, parse_submission, submission_id};
pub use workers::{Command, Orders, Report, ReportedTask, TaskState};
