//! The settings of a detector and their validation.

use crate::estimator::Estimator;
use std::fmt;

/// The deployment's times. All other times are ratios of these.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Timing {
    /// Interval between two heartbeats of a member.
    pub heartbeat_ms: u64,
    /// Time after which the registration of an unresponsive member ends.
    pub lease_ms: u64,
}

/// Settings that decide when a member is suspected. Ratios are integers in thousandths, so that equal policies compare
/// as equal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Policy {
    /// How the time without heartbeats is converted to a suspicion level.
    pub estimator: Estimator,
    /// Suspicion level from which on a member is suspected, in thousandths of a phi.
    pub threshold_milliphi: u32,
    /// Number of heartbeat intervals that are kept per member.
    pub window_intervals: usize,
    /// Minimum standard deviation that is assumed, in thousandths of the heartbeat interval.
    pub min_deviation_permille: u32,
    /// Pause that is tolerated in addition to the usual interval, in thousandths of the heartbeat interval.
    pub acceptable_pause_permille: u32,
    /// How long to wait for answers to probes through other members, in thousandths of the heartbeat interval.
    pub probe_wait_permille: u32,
    /// Number of members that are asked to probe an unresponsive one.
    pub probe_helpers: usize,
    /// Maximum of the local-health score. At a score of `k`, a suspicion takes `k + 1` times the usual time without
    /// heartbeats.
    pub max_local_health_score: u8,
    /// Half-life of the flapping penalty, in thousandths of the lease.
    pub flap_half_life_permille: u32,
    /// Number of flaps (suspicions that were cleared) that are tolerated before it takes more than one heartbeat to
    /// clear a suspicion.
    pub tolerated_flaps: u32,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            estimator: Estimator::PhiNormal,
            threshold_milliphi: 6_000,
            window_intervals: 64,
            min_deviation_permille: 250,
            acceptable_pause_permille: 500,
            probe_wait_permille: 750,
            probe_helpers: 2,
            max_local_health_score: 3,
            flap_half_life_permille: 8_000,
            tolerated_flaps: 2,
        }
    }
}

/// One invalid setting.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {message}")]
pub struct ConfigFault {
    /// Name under which the setting is reported. It may differ from the name of the field, as `window` does from
    /// [`Policy::window_intervals`].
    pub field: &'static str,
    /// Description of the fault.
    pub message: &'static str,
}

/// All faults in the settings of a detector.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct ConfigFaults(pub Vec<ConfigFault>);

impl fmt::Display for ConfigFaults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let faults: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        f.write_str(&faults.join("; "))
    }
}

/// Maximum of [`Policy::window_intervals`].
const MAX_WINDOW_INTERVALS: usize = 4_096;

impl Policy {
    /// Validates these settings, each by itself and together with the given times.
    ///
    /// # Errors
    ///
    /// Returns every invalid field with a description of its fault.
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
                (2..=MAX_WINDOW_INTERVALS).contains(&self.window_intervals),
                "must lie between 2 and 4096",
            ),
            (
                "least_deviation_permille",
                self.min_deviation_permille > 0,
                "must be above 0",
            ),
            (
                "probe_wait_permille",
                self.scale_permille(timing.heartbeat_ms, self.probe_wait_permille) < timing.lease_ms,
                "the wait for probe answers must be shorter than a lease",
            ),
            (
                "acceptable_pause_permille",
                self.scale_permille(timing.heartbeat_ms, self.acceptable_pause_permille) < timing.lease_ms,
                "the acceptable pause must be shorter than a lease",
            ),
            (
                "flap_half_life_permille",
                self.flap_half_life_permille > 0,
                "must be above 0",
            ),
        ];
        let faults: Vec<ConfigFault> = checks
            .into_iter()
            .filter(|(_, is_valid, _)| !is_valid)
            .map(|(field, _, message)| ConfigFault { field, message })
            .collect();
        if faults.is_empty() {
            Ok(())
        } else {
            Err(ConfigFaults(faults))
        }
    }

    /// Multiplies a time by a ratio in thousandths.
    pub(crate) fn scale_permille(&self, ms: u64, permille: u32) -> u64 {
        ms.saturating_mul(u64::from(permille)) / 1000
    }
}
