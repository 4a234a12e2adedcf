//! Estimates for `tidelatch check` of how many machines a controller's resource limits can serve. Each machine has one
//! worker.

use crate::admission::SocketBudget;
use tidelatch_core::settings::MachineLimits;

/// Number of machines in the largest fleet that the measurements in `docs/design.md` cover.
const LARGEST_FLEET_MACHINES: usize = 4_000;
/// Memory of a controller that manages no machines.
const BASE_MEMORY_MB: f64 = 10.0;
/// Additional memory for each thousand machines when only one controller is running.
const MEMORY_MB_PER_1000_MACHINES: f64 = 11.0;

/// Returns lines that state how many workers the sockets allow, and the sockets and memory that the largest fleet needs
/// if they exceed the limits.
pub fn describe_capacity(limits: &MachineLimits) -> Vec<String> {
    let workers = SocketBudget::from_sockets(limits.sockets).max_incoming_workers;
    let mut lines = vec![format!(
        "sockets: {workers} workers can report to this controller when it is the only one running"
    )];
    if workers < LARGEST_FLEET_MACHINES {
        let needed_sockets = SocketBudget::min_sockets_for(LARGEST_FLEET_MACHINES);
        lines.push(format!(
            "sockets: {LARGEST_FLEET_MACHINES} workers would need {needed_sockets}"
        ));
    }
    let needed_mb = BASE_MEMORY_MB + MEMORY_MB_PER_1000_MACHINES * LARGEST_FLEET_MACHINES as f64 / 1000.0;
    if limits.ram_mb < needed_mb {
        lines.push(format!(
            "memory: {LARGEST_FLEET_MACHINES} workers would need {needed_mb} MB"
        ));
    }
    lines
}
