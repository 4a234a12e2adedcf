//! Size limits of one transaction of the state service.

/// Size limits of one transaction: the lower of the state service's present limits and the future limits that the
/// settings announce (`facts.state.next`).
/// They are halved when the state service still refuses a transaction as too large.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WriteLimits {
    /// Maximum size of a value in bytes.
    pub(crate) value_bytes: usize,
    /// Maximum number of changes (writes and deletions) in a transaction.
    pub(crate) max_ops: usize,
}

impl WriteLimits {
    /// Limits below which a transaction cannot be split any further.
    const MINIMUM: Self = Self {
        value_bytes: 512,
        max_ops: 2,
    };

    /// Halves both limits, but not below the minimum.
    pub(crate) fn halve(&mut self) {
        self.value_bytes = (self.value_bytes / 2).max(Self::MINIMUM.value_bytes.min(self.value_bytes));
        self.max_ops = (self.max_ops / 2).max(Self::MINIMUM.max_ops);
    }
}
