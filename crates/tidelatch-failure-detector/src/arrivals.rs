//! The intervals between the heartbeats of one member: a bounded window.

use std::collections::VecDeque;

/// The last intervals between heartbeats, and the time of the last one.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ArrivalWindow {
    intervals_ms: VecDeque<u64>,
    capacity: usize,
    last_ms: Option<u64>,
}

impl ArrivalWindow {
    /// An empty window for so many intervals.
    pub fn new(capacity: usize) -> Self {
        Self {
            intervals_ms: VecDeque::new(),
            capacity,
            last_ms: None,
        }
    }

    /// A heartbeat has arrived.
    pub fn record(&mut self, now_ms: u64) {
        if let Some(last_ms) = self.last_ms {
            if self.intervals_ms.len() == self.capacity {
                self.intervals_ms.pop_front();
            }
            self.intervals_ms.push_back(now_ms.saturating_sub(last_ms));
        }
        self.last_ms = Some(now_ms);
    }

    /// The next heartbeat begins a new series: the gap before it says nothing of the usual intervals.
    pub fn interrupt(&mut self) {
        self.last_ms = None;
    }

    /// Number of intervals in the window.
    pub fn len(&self) -> usize {
        self.intervals_ms.len()
    }

    /// Whether there is no interval yet.
    pub fn is_empty(&self) -> bool {
        self.intervals_ms.is_empty()
    }

    /// Mean of the intervals.
    pub fn mean_ms(&self) -> Option<f64> {
        if self.is_empty() {
            return None;
        }
        let sum: f64 = self.intervals_ms.iter().map(|ms| *ms as f64).sum();
        Some(sum / self.len() as f64)
    }

    /// Standard deviation of the intervals.
    pub fn deviation_ms(&self) -> Option<f64> {
        let mean = self.mean_ms()?;
        let squares: f64 = self.intervals_ms.iter().map(|ms| (*ms as f64 - mean).powi(2)).sum();
        Some(libm::sqrt(squares / self.len() as f64))
    }
}
