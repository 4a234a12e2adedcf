//! Test doubles for everything that a controller talks to: the state service, the cloud, the workers, the network and
//! the users, all in one deterministic simulation, the [`World`].
//!
//! The world is implemented from the protocol specification only, not from the controllers' code. It checks the
//! protocol's rules while it runs and lists each broken rule in [`World::breaches`]. It writes a human-readable trace
//! of all events. The module [`loopback`] offers the same services on 127.0.0.1 for real controller processes.

#![warn(clippy::too_many_lines)]

pub mod checker;
mod cloud;
pub mod faults;
mod gang;
mod interruptions;
pub mod loopback;
mod state;
pub mod support;
mod worker;
mod world;

pub use checker::Checker;
pub use cloud::Cloud;
pub use interruptions::{BudgetViolation, Interruption, InterruptionRecorder};
pub use state::Store;
pub use worker::Worker;
pub use world::{CANCEL_MS, Delivery, DeploymentSize, Message, MessageCounts, World, gang, job};
