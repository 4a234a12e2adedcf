//! Estimators that convert the time without heartbeats to a suspicion level.
//!
//! Levels are on the scale of phi (Hayashibara and others, "The phi accrual failure detector", 2004): at a level of
//! `p`, a gap this long between heartbeats is expected once in `10^p` intervals, if the estimator's assumption holds.

use crate::arrivals::ArrivalWindow;
use crate::config::{Policy, Timing};

/// How the suspicion level is computed from the time without heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Estimator {
    /// A fixed timeout: half of the lease without heartbeats reaches the threshold. It does not adapt to the observed
    /// intervals.
    FixedTimeout,
    /// Assumes normally distributed intervals, as in the original phi detector.
    PhiNormal,
    /// Assumes exponentially distributed intervals, of which only the mean counts.
    PhiExponential,
}

/// A suspicion level, in thousandths of a phi.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SuspicionLevel(pub u32);

/// Levels are capped at this value, because a floating-point probability cannot represent higher ones.
const MAX_PHI: f64 = 300.0;

/// The fraction of the lease that [`Estimator::FixedTimeout`] waits for.
const FIXED_TIMEOUT_LEASE_FRACTION: f64 = 0.5;

impl SuspicionLevel {
    fn from_phi(phi: f64) -> Self {
        Self((phi.clamp(0.0, MAX_PHI) * 1000.0) as u32)
    }
}

impl Estimator {
    /// Returns the suspicion level after `silence_ms` without a heartbeat. If the window has no intervals, the
    /// heartbeat interval is used as their mean.
    pub fn level(self, window: &ArrivalWindow, silence_ms: u64, timing: Timing, policy: &Policy) -> SuspicionLevel {
        let silence = silence_ms as f64;
        let heartbeat = timing.heartbeat_ms as f64;
        let pause = heartbeat * f64::from(policy.acceptable_pause_permille) / 1000.0;
        // The mean is at least the heartbeat interval, so that a member which sends more often than required is not
        // suspected as soon as it returns to the regular rate.
        let mean = window.mean_ms().unwrap_or(heartbeat).max(heartbeat) + pause;
        let phi = match self {
            Self::FixedTimeout => {
                let timeout = timing.lease_ms as f64 * FIXED_TIMEOUT_LEASE_FRACTION;
                f64::from(policy.threshold_milliphi) / 1000.0 * silence / timeout
            }
            Self::PhiNormal => {
                let min_deviation = heartbeat * f64::from(policy.min_deviation_permille) / 1000.0;
                let deviation = window.deviation_ms().unwrap_or(min_deviation).max(min_deviation);
                phi_from_normal_tail((silence - mean) / deviation)
            }
            Self::PhiExponential => silence / mean * core::f64::consts::LOG10_E,
        };
        SuspicionLevel::from_phi(phi)
    }
}

/// Returns the negative decimal logarithm of the normal distribution's upper tail.
fn phi_from_normal_tail(deviations: f64) -> f64 {
    let tail = 0.5 * libm::erfc(deviations / core::f64::consts::SQRT_2);
    if tail > 0.0 { -libm::log10(tail) } else { MAX_PHI }
}
