//! Rate limits of the requests to the state service and the cloud.

/// A budget of requests: so many a second, with bursts of one second's worth.
#[derive(Debug, Clone)]
pub(crate) struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: u64,
}

impl TokenBucket {
    pub(crate) fn new(rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst,
            level: burst,
            at: 0,
        }
    }
    fn fill(&mut self, now: u64) {
        let passed = now.saturating_sub(self.at) as f64 / 1000.0;
        self.at = now;
        self.level = (self.level + passed * self.rate).min(self.burst);
    }
    /// Takes `n` if at least `reserve` (a part of the burst) would be left.
    pub(crate) fn take(&mut self, now: u64, n: f64, reserve: f64) -> bool {
        self.fill(now);
        if self.level - n < self.burst * reserve {
            return false;
        }
        self.level -= n;
        true
    }
    /// Whole units that may be taken now while at least `reserve` (a part of the burst) is left; 0 when none.
    pub(crate) fn spare(&mut self, now: u64, reserve: f64) -> usize {
        self.fill(now);
        (self.level - self.burst * reserve).max(0.0).floor() as usize
    }
    /// Takes `n` whatever is left: for what must go out.
    pub(crate) fn force(&mut self, now: u64, n: f64) {
        self.fill(now);
        self.level -= n;
    }
    /// There is nothing left for now.
    pub(crate) fn empty(&mut self, now: u64) {
        self.fill(now);
        self.level = self.level.min(0.0);
    }
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }
    pub(crate) fn set_rate(&mut self, rate: f64, burst: f64) {
        self.rate = rate;
        self.burst = burst;
    }
}
