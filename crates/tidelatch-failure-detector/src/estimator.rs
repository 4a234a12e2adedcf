//! How the silence of a member becomes a level of suspicion.
//!
//! Levels are on the scale of phi (Hayashibara and others, "The phi accrual failure detector", 2004): at a level of
//! `p`, a silence this long is expected once in `10^p` intervals, if the estimator's assumption holds.

use crate::arrivals::ArrivalWindow;
use crate::config::{Policy, Timing};

/// How silence is judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Estimator {
    /// By a fixed time: half of the lease reaches the threshold. It does not adapt.
    FixedTimeout,
    /// Intervals are taken as normally distributed, as in the original phi detector.
    PhiNormal,
    /// Intervals are taken as exponentially distributed: only their mean counts.
    PhiExponential,
}

/// A level of suspicion, in thousandths of a phi.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SuspicionLevel(pub u32);

/// Levels beyond this are cut off: a floating-point probability has no room for them.
const MOST_PHI: f64 = 300.0;

/// The part of the lease that [`Estimator::FixedTimeout`] waits for.
const TIMEOUT_PER_LEASE: f64 = 0.5;

impl SuspicionLevel {
    fn from_phi(phi: f64) -> Self {
        Self((phi.clamp(0.0, MOST_PHI) * 1000.0) as u32)
    }
}

impl Estimator {
    /// The level for a silence. Without any interval in the window, the heartbeat interval stands for their mean.
    pub fn level(self, window: &ArrivalWindow, silence_ms: u64, timing: Timing, policy: &Policy) -> SuspicionLevel {
        let silence = silence_ms as f64;
        let heartbeat = timing.heartbeat_ms as f64;
        let pause = heartbeat * f64::from(policy.acceptable_pause_permille) / 1000.0;
        // A member that sends more often than it has to does not make its usual pace a fault.
        let mean = window.mean_ms().unwrap_or(heartbeat).max(heartbeat) + pause;
        let phi = match self {
            Self::FixedTimeout => {
                let timeout = timing.lease_ms as f64 * TIMEOUT_PER_LEASE;
                f64::from(policy.threshold_milliphi) / 1000.0 * silence / timeout
            }
            Self::PhiNormal => {
                let least = heartbeat * f64::from(policy.least_deviation_permille) / 1000.0;
                let deviation = window.deviation_ms().unwrap_or(least).max(least);
                phi_of_normal((silence - mean) / deviation)
            }
            Self::PhiExponential => silence / mean * core::f64::consts::LOG10_E,
        };
        SuspicionLevel::from_phi(phi)
    }
}

/// Minus the decimal logarithm of the normal distribution's upper tail.
fn phi_of_normal(deviations: f64) -> f64 {
    let tail = 0.5 * libm::erfc(deviations / core::f64::consts::SQRT_2);
    if tail > 0.0 { -libm::log10(tail) } else { MOST_PHI }
}
