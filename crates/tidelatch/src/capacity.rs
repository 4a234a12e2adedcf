//! What a controller's limits are enough for, as `tidelatch check` says it.

use crate::admission::SocketBudget;
use tidelatch_core::settings::MachineLimits;

/// Machines of the largest fleet that is measured (`docs/design.md`).
const LARGEST_FLEET: usize = 4_000;
/// Memory of a controller without any machine, as measured.
const BASE_MB: f64 = 10.0;
/// Memory for each thousand machines, when a controller stands alone, as measured.
const MB_PER_THOUSAND: f64 = 11.0;

/// Lines about the sockets and the memory: what they are enough for, and what the largest fleet needs.
pub fn describe(limits: &MachineLimits) -> Vec<String> {
    let workers = SocketBudget::of(limits.sockets).workers;
    let mut lines = vec![format!(
        "sockets: {workers} workers can report to this controller when it stands alone"
    )];
    if workers < LARGEST_FLEET {
        let needed = SocketBudget::needed_for(LARGEST_FLEET);
        lines.push(format!("sockets: {LARGEST_FLEET} workers would need {needed}"));
    }
    let needed_mb = BASE_MB + MB_PER_THOUSAND * LARGEST_FLEET as f64 / 1000.0;
    if limits.ram_mb < needed_mb {
        lines.push(format!("memory: {LARGEST_FLEET} workers would need {needed_mb} MB"));
    }
    lines
}
