//! Flap damping for a member that is suspected and cleared repeatedly.

use crate::config::{Policy, Timing};

/// Penalty points for one flap.
const POINTS_PER_FLAP: u64 = 1000;
/// Maximum number of flaps that the penalty represents. With `Policy::tolerated_flaps` at or above this value, flaps
/// never raise the number of heartbeats that it takes to clear a suspicion.
const MAX_FLAPS: u64 = 8;

/// A penalty that grows with each flap and halves after each half-life.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(crate) struct FlapPenalty {
    points: u64,
    updated_ms: u64,
}

impl FlapPenalty {
    /// Records a flap: a suspicion was cleared.
    pub(crate) fn record_flap(&mut self, now_ms: u64, timing: Timing, policy: &Policy) {
        let points = self.current_points(now_ms, timing, policy) + POINTS_PER_FLAP;
        self.points = points.min(POINTS_PER_FLAP * MAX_FLAPS);
        self.updated_ms = now_ms;
    }

    /// Number of heartbeats since the suspicion began that it takes to clear it now. They need not be consecutive.
    pub(crate) fn heartbeats_to_clear(&self, now_ms: u64, timing: Timing, policy: &Policy) -> u64 {
        let flaps = self.current_points(now_ms, timing, policy) / POINTS_PER_FLAP;
        1 + flaps.saturating_sub(u64::from(policy.tolerated_flaps))
    }

    /// Returns the current penalty points. They are halved once for each complete half-life since the last flap.
    fn current_points(&self, now_ms: u64, timing: Timing, policy: &Policy) -> u64 {
        let half_life_ms = policy
            .scale_permille(timing.lease_ms, policy.flap_half_life_permille)
            .max(1);
        let halvings = now_ms.saturating_sub(self.updated_ms) / half_life_ms;
        self.points.checked_shr(halvings.min(63) as u32).unwrap_or(0)
    }
}
