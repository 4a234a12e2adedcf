//! Limits on the size of one change of the state service.

/// What a change of the state service may hold: the tighter of what holds and what will, until it says that
/// this was still too much.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limits {
    /// Bytes in a value.
    pub(crate) value: usize,
    /// Puts and deletes in a transaction.
    pub(crate) ops: usize,
}

impl Limits {
    /// Below these there would be nothing left to cut.
    const LEAST: Self = Self { value: 512, ops: 2 };

    /// Cuts both limits in half, as far as the least of them.
    pub(crate) fn halve(&mut self) {
        self.value = (self.value / 2).max(Self::LEAST.value.min(self.value));
        self.ops = (self.ops / 2).max(Self::LEAST.ops);
    }
}
