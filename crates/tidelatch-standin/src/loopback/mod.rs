//! The stand-ins on 127.0.0.1, for tests of real controller processes: state service, cloud and workers as HTTP
//! servers, a proxy that can be cut, and the controllers themselves as child processes.
//!
//! Everything here runs on threads and blocks; times are real. Tests must not depend on how fast that is: they wait for
//! conditions, and judge orders and counts.

mod controllers;
mod http;
mod proxy;
mod recorder;
mod services;
mod users;
mod workers;

pub use controllers::{Controllers, Process};
pub use proxy::Proxy;
pub use recorder::{Breach, Recorder};
pub use services::Services;
pub use users::Users;
pub use workers::ReplicaEvent;

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Workers' report period, in milliseconds.
pub const REPORT_MS: u64 = 500;
/// Workers' lease. A controller's is 0.4 of it.
pub const WORKER_LEASE_MS: u64 = 10_000;
/// A controller's lease in the state service.
pub const CONTROLLER_LEASE_MS: u64 = WORKER_LEASE_MS * 2 / 5;

/// Time since the beginning of a test.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// A clock that begins now.
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// Milliseconds since the beginning.
    pub fn now_ms(&self) -> u64 {
        self.0.elapsed().as_millis() as u64
    }
}

/// Waits until something holds; false if it does not within the time.
pub fn wait_until(within: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + within;
    while Instant::now() < deadline {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    holds()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
