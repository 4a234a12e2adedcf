//! Test-only stand-ins for everything round a controller: state service, cloud, workers, network and
//! users, all in one deterministic world.
//!
//! The world is written from the protocol's text alone. It checks the rules as it goes: a broken one
//! is listed in [`World::broken`]. What happens is written down in a trace that people can read.

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
pub use interruptions::{Excess, Interruption, InterruptionRecorder};
pub use state::Store;
pub use worker::Worker;
pub use world::{CANCEL_MS, Delivery, Message, Sent, Size, World, gang, job};
