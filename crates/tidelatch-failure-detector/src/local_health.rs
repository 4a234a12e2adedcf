//! Local health: how far this member can rely on its own observations.
//!
//! After Dadgar and others, "Lifeguard: local health awareness for more accurate failure detection" (2018): a member
//! that is slow itself, or hears from no other member any more, is more likely at fault than all the others at once.

/// The local-health score. 0 is healthy. At a score of `k`, a suspicion of another member takes `k + 1` times the usual
/// time without heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct LocalHealth {
    score: u8,
    max_score: u8,
    changed_ms: u64,
}

impl LocalHealth {
    pub(crate) fn new(max_score: u8) -> Self {
        Self {
            score: 0,
            max_score,
            changed_ms: 0,
        }
    }

    /// How many times the usual time without heartbeats it takes to suspect another member.
    pub(crate) fn silence_multiplier(&self) -> u64 {
        1 + u64::from(self.score)
    }

    /// Returns whether this member considers itself impaired.
    pub(crate) fn is_impaired(&self) -> bool {
        self.score > 0
    }

    /// Adds a point: this member did not run for more than one heartbeat interval, or more than half of the other
    /// members became unresponsive together.
    pub(crate) fn record_fault(&mut self, now_ms: u64) {
        self.score = self.score.saturating_add(1).min(self.max_score);
        self.changed_ms = now_ms;
    }

    /// Another member was heard: removes one point, at most one per interval since the last change.
    pub(crate) fn record_contact(&mut self, now_ms: u64, interval_ms: u64) {
        if self.score > 0 && now_ms >= self.changed_ms + interval_ms {
            self.score -= 1;
            self.changed_ms = now_ms;
        }
    }

    /// Returns whether the last change of the score is at least one interval ago, or the score has never changed.
    pub(crate) fn is_settled(&self, now_ms: u64, interval_ms: u64) -> bool {
        self.changed_ms == 0 || now_ms >= self.changed_ms + interval_ms
    }
}
