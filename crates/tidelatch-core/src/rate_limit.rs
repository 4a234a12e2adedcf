//! Rate limits for requests to the state service and the cloud.

/// A token bucket with `rate` tokens per second and a capacity of `burst` tokens, usually one second's worth.
#[derive(Debug, Clone)]
pub(crate) struct TokenBucket {
    rate: f64,
    burst: f64,
    /// Tokens left. Negative after requests that had to be sent although no token was left.
    tokens: f64,
    refilled_ms: u64,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub(crate) fn new(rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst,
            tokens: burst,
            refilled_ms: 0,
        }
    }
    /// Adds the tokens for the time since the last refill. Times are in milliseconds.
    fn refill(&mut self, now: u64) {
        let elapsed_s = now.saturating_sub(self.refilled_ms) as f64 / 1000.0;
        self.refilled_ms = now;
        self.tokens = (self.tokens + elapsed_s * self.rate).min(self.burst);
    }
    /// Takes `n` tokens if at least the fraction `reserve` of the capacity would be left. Returns whether it did.
    pub(crate) fn try_take(&mut self, now: u64, n: f64, reserve: f64) -> bool {
        self.refill(now);
        if self.tokens - n < self.burst * reserve {
            return false;
        }
        self.tokens -= n;
        true
    }
    /// Number of whole tokens that can be taken now while at least the fraction `reserve` of the capacity is left.
    pub(crate) fn available(&mut self, now: u64, reserve: f64) -> usize {
        self.refill(now);
        (self.tokens - self.burst * reserve).max(0.0).floor() as usize
    }
    /// Takes `n` tokens for a request that must be sent, even if fewer are left.
    pub(crate) fn take_unconditionally(&mut self, now: u64, n: f64) {
        self.refill(now);
        self.tokens -= n;
    }
    /// Removes the tokens that are left. A negative number of tokens stays.
    pub(crate) fn remove_all(&mut self, now: u64) {
        self.refill(now);
        self.tokens = self.tokens.min(0.0);
    }
    /// Tokens per second.
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }
    /// Changes the rate and the capacity.
    pub(crate) fn set_rate(&mut self, rate: f64, burst: f64) {
        self.rate = rate;
        self.burst = burst;
    }
}
