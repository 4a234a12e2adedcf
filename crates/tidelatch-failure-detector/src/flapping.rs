//! Damping for a member that is suspected and cleared again and again.

use crate::config::{Policy, Timing};

/// One flap, in the units of the penalty.
const FLAP: u64 = 1000;
/// Most flaps that the penalty counts.
const MOST_FLAPS: u64 = 8;

/// A penalty that grows with each flap and halves with time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(crate) struct FlapPenalty {
    amount: u64,
    updated_ms: u64,
}

impl FlapPenalty {
    /// A suspicion was cleared.
    pub(crate) fn count(&mut self, now_ms: u64, timing: Timing, policy: &Policy) {
        let amount = self.current(now_ms, timing, policy) + FLAP;
        self.amount = amount.min(FLAP * MOST_FLAPS);
        self.updated_ms = now_ms;
    }

    /// Heartbeats in a row that it takes to clear a suspicion now.
    pub(crate) fn heartbeats_to_clear(&self, now_ms: u64, timing: Timing, policy: &Policy) -> u64 {
        let flaps = self.current(now_ms, timing, policy) / FLAP;
        1 + flaps.saturating_sub(u64::from(policy.flaps_forgiven))
    }

    /// The penalty by now: it halves with each half-life that has passed whole.
    fn current(&self, now_ms: u64, timing: Timing, policy: &Policy) -> u64 {
        let half_life_ms = policy.scaled(timing.lease_ms, policy.flap_half_life_permille).max(1);
        let halvings = now_ms.saturating_sub(self.updated_ms) / half_life_ms;
        self.amount.checked_shr(halvings.min(63) as u32).unwrap_or(0)
    }
}
