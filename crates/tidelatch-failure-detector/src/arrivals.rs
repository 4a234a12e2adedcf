//! A bounded window of the intervals between one member's heartbeats.

use std::collections::VecDeque;

/// The most recent intervals between heartbeats, and the arrival time of the last heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ArrivalWindow {
    intervals_ms: VecDeque<u64>,
    capacity: usize,
    last_arrival_ms: Option<u64>,
}

impl ArrivalWindow {
    /// Creates an empty window that keeps up to `capacity` intervals.
    pub fn new(capacity: usize) -> Self {
        Self {
            intervals_ms: VecDeque::new(),
            capacity,
            last_arrival_ms: None,
        }
    }

    /// Records the arrival of a heartbeat.
    pub fn record(&mut self, now_ms: u64) {
        if let Some(last_arrival_ms) = self.last_arrival_ms {
            if self.intervals_ms.len() == self.capacity {
                self.intervals_ms.pop_front();
            }
            self.intervals_ms.push_back(now_ms.saturating_sub(last_arrival_ms));
        }
        self.last_arrival_ms = Some(now_ms);
    }

    /// Starts a new series with the next heartbeat: the gap before that heartbeat is not a regular interval and is not
    /// recorded.
    pub fn start_new_series(&mut self) {
        self.last_arrival_ms = None;
    }

    /// Number of intervals in the window.
    pub fn len(&self) -> usize {
        self.intervals_ms.len()
    }

    /// Returns whether the window has no interval yet.
    pub fn is_empty(&self) -> bool {
        self.intervals_ms.is_empty()
    }

    /// Mean of the intervals, or `None` if there are none.
    pub fn mean_ms(&self) -> Option<f64> {
        if self.is_empty() {
            return None;
        }
        let sum: f64 = self.intervals_ms.iter().map(|ms| *ms as f64).sum();
        Some(sum / self.len() as f64)
    }

    /// Standard deviation of the intervals, or `None` if there are none.
    pub fn deviation_ms(&self) -> Option<f64> {
        let mean = self.mean_ms()?;
        let squares: f64 = self.intervals_ms.iter().map(|ms| (*ms as f64 - mean).powi(2)).sum();
        Some(libm::sqrt(squares / self.len() as f64))
    }
}
