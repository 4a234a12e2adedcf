//! How far this member trusts its own observations.
//!
//! After Dadgar and others, "Lifeguard: local health awareness for more accurate failure detection" (2018): a member
//! that is slow itself, or hears nobody any more, is more likely at fault than all the others at once.

/// A score: 0 is healthy; each point asks for as much silence once more before others are suspected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct LocalHealth {
    score: u8,
    most: u8,
    changed_ms: u64,
}

impl LocalHealth {
    pub(crate) fn new(most: u8) -> Self {
        Self {
            score: 0,
            most,
            changed_ms: 0,
        }
    }

    /// How many times the usual silence it takes to suspect another member.
    pub(crate) fn factor(&self) -> u64 {
        1 + u64::from(self.score)
    }

    /// Whether this member holds itself to be at fault.
    pub(crate) fn is_impaired(&self) -> bool {
        self.score > 0
    }

    /// Something speaks against this member: it did not run for a while, or hears almost nobody.
    pub(crate) fn worsen(&mut self, now_ms: u64) {
        self.score = self.score.saturating_add(1).min(self.most);
        self.changed_ms = now_ms;
    }

    /// Another member was heard: one point less for each interval without trouble.
    pub(crate) fn improve(&mut self, now_ms: u64, interval_ms: u64) {
        if self.score > 0 && now_ms >= self.changed_ms + interval_ms {
            self.score -= 1;
            self.changed_ms = now_ms;
        }
    }

    /// Whether the score last changed an interval ago or longer.
    pub(crate) fn settled(&self, now_ms: u64, interval_ms: u64) -> bool {
        self.changed_ms == 0 || now_ms >= self.changed_ms + interval_ms
    }
}
