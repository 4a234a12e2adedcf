//! The simulated services on 127.0.0.1, for tests of real controller processes: state service, cloud and workers as
//! HTTP servers, proxies whose connections can be cut, and the controllers as child processes.
//!
//! Everything here uses threads, blocking calls and real time. Tests must not depend on the speed of the machine: they
//! wait for conditions, and check the order and the number of events.

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

/// Interval between a worker's reports, in milliseconds.
pub const REPORT_MS: u64 = 500;
/// Length of a worker's lease, in milliseconds.
pub const WORKER_LEASE_MS: u64 = 10_000;
/// Length of a controller's lease in the state service, in milliseconds: 0.4 of a worker's lease.
pub const CONTROLLER_LEASE_MS: u64 = WORKER_LEASE_MS * 2 / 5;

/// Measures the time since the beginning of a test.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// Starts a clock at 0.
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// Returns the milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.0.elapsed().as_millis() as u64
    }
}

/// Waits until a condition holds, checking it every 20 ms. Returns false if it does not hold within the time.
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

/// Locks a mutex, also after a thread has panicked while holding it.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
