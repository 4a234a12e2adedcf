//! Size limits of one transaction of the state service.

/// Size limits of one transaction: the lower of the present and the announced future limits of the state service.
/// They are halved when the state service still refuses a transaction as too large.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WriteLimits {
    /// Maximum size of a value in bytes.
    pub(crate) value: usize,
    /// Maximum number of puts and deletes in a transaction.
    pub(crate) ops: usize,
}

impl WriteLimits {
    /// Limits below which a transaction cannot be split any further.
    const MINIMUM: Self = Self { value: 512, ops: 2 };

    /// Halves both limits, but not below the minimum.
    pub(crate) fn halve(&mut self) {
        self.value = (self.value / 2).max(Self::MINIMUM.value.min(self.value));
        self.ops = (self.ops / 2).max(Self::MINIMUM.ops);
    }
}
