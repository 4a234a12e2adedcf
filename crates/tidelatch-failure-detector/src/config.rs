//! The settings of a detector, and the checks on them.

use crate::estimator::Estimator;
use std::fmt;

/// Times of the deployment, from which all others follow by ratios.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Timing {
    /// Interval between two heartbeats of a member.
    pub heartbeat_ms: u64,
    /// Time after which the registration of a silent member ends.
    pub lease_ms: u64,
}

/// What is suspected, and when. Ratios are in thousandths, so that equal policies compare as equal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Policy {
    /// How silence becomes a level.
    pub estimator: Estimator,
    /// Level from which on a member is suspected, in thousandths of a phi.
    pub threshold_milliphi: u32,
    /// Heartbeat intervals that are kept for each member.
    pub window: usize,
    /// Least standard deviation that is assumed, in thousandths of the heartbeat interval.
    pub least_deviation_permille: u32,
    /// Pause that is forgiven on top of the usual interval, in thousandths of the heartbeat interval.
    pub acceptable_pause_permille: u32,
    /// How long answers through other members are waited for, in thousandths of the heartbeat interval.
    pub probe_wait_permille: u32,
    /// Members that are asked to probe a silent one.
    pub probes: usize,
    /// Most points of the local-health score; each asks for as much silence once more.
    pub local_health_most: u8,
    /// Time in which the penalty for flapping halves, in thousandths of the lease.
    pub flap_half_life_permille: u32,
    /// Flaps that are forgiven before a suspicion takes more than one heartbeat to clear.
    pub flaps_forgiven: u32,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            estimator: Estimator::PhiNormal,
            threshold_milliphi: 6_000,
            window: 64,
            least_deviation_permille: 250,
            acceptable_pause_permille: 500,
            probe_wait_permille: 750,
            probes: 2,
            local_health_most: 3,
            flap_half_life_permille: 8_000,
            flaps_forgiven: 2,
        }
    }
}

/// One impossible setting.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {fault}")]
pub struct ConfigFault {
    /// The field.
    pub field: &'static str,
    /// What is wrong with it.
    pub fault: &'static str,
}

/// All that is wrong with the settings of a detector.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct ConfigFaults(pub Vec<ConfigFault>);

impl fmt::Display for ConfigFaults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let faults: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        f.write_str(&faults.join("; "))
    }
}

/// Largest window that is kept for a member.
const MOST_WINDOW: usize = 4_096;

impl Policy {
    /// All that is impossible, by itself or with these times.
    ///
    /// # Errors
    ///
    /// The impossible fields, each with its fault.
    pub fn check(&self, timing: Timing) -> Result<(), ConfigFaults> {
        let checks = [
            ("heartbeat_ms", timing.heartbeat_ms > 0, "must be above 0"),
            (
                "lease_ms",
                timing.lease_ms > timing.heartbeat_ms.saturating_mul(2),
                "must be more than two heartbeat intervals",
            ),
            ("threshold_milliphi", self.threshold_milliphi > 0, "must be above 0"),
            (
                "window",
                (2..=MOST_WINDOW).contains(&self.window),
                "must lie between 2 and 4096",
            ),
            (
                "least_deviation_permille",
                self.least_deviation_permille > 0,
                "must be above 0",
            ),
            (
                "probe_wait_permille",
                self.scaled(timing.heartbeat_ms, self.probe_wait_permille) < timing.lease_ms,
                "answers to probes must come within a lease",
            ),
            (
                "acceptable_pause_permille",
                self.scaled(timing.heartbeat_ms, self.acceptable_pause_permille) < timing.lease_ms,
                "a pause of a whole lease cannot be forgiven",
            ),
            (
                "flap_half_life_permille",
                self.flap_half_life_permille > 0,
                "must be above 0",
            ),
        ];
        let faults: Vec<ConfigFault> = checks
            .into_iter()
            .filter(|(_, in_order, _)| !in_order)
            .map(|(field, _, fault)| ConfigFault { field, fault })
            .collect();
        if faults.is_empty() {
            Ok(())
        } else {
            Err(ConfigFaults(faults))
        }
    }

    /// A time, multiplied by thousandths.
    pub(crate) fn scaled(&self, ms: u64, permille: u32) -> u64 {
        ms.saturating_mul(u64::from(permille)) / 1000
    }
}
