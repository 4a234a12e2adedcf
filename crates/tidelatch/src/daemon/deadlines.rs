//! Deadlines of calls in progress.

use smol::channel::{Receiver, Sender};
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Deadlines of the calls in progress, in time order and by call. They are checked on each tick, because a timer
/// for each call would cost system calls.
#[derive(Default)]
pub(super) struct CallDeadlines {
    by_deadline: BTreeMap<(Instant, u64), Sender<()>>,
    by_call: HashMap<u64, Instant>,
}

impl CallDeadlines {
    /// Adds a call that times out after `timeout_ms`; the receiver gets a message once this deadline has passed.
    pub(super) fn add(&mut self, call: u64, timeout_ms: u64) -> Receiver<()> {
        let deadline = Instant::now() + Duration::from_millis(timeout_ms);
        let (expired, expiry) = smol::channel::bounded(1);
        self.by_deadline.insert((deadline, call), expired);
        self.by_call.insert(call, deadline);
        expiry
    }

    /// Removes the deadline of a call that has finished.
    pub(super) fn remove(&mut self, call: u64) {
        if let Some(deadline) = self.by_call.remove(&call) {
            self.by_deadline.remove(&(deadline, call));
        }
    }

    /// Notifies and removes all calls whose deadline has passed.
    pub(super) fn notify_expired(&mut self, now: Instant) {
        while let Some(((deadline, call), expired)) = self.by_deadline.pop_first() {
            if deadline > now {
                self.by_deadline.insert((deadline, call), expired);
                return;
            }
            self.by_call.remove(&call);
            let _ = expired.try_send(());
        }
    }
}

/// Waits until the deadline of a call has passed, then returns `None`.
pub(super) async fn wait_for_expiry<T>(expiry: Receiver<()>) -> Option<T> {
    // The only message on this channel is the expiry.
    let _ = expiry.recv().await;
    None
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_expire_at_their_deadline_and_not_before() {
        let mut deadlines = CallDeadlines::default();
        let now = Instant::now();
        let (short, long, finished) = (deadlines.add(1, 500), deadlines.add(2, 5000), deadlines.add(3, 500));
        deadlines.remove(3);
        deadlines.notify_expired(now + Duration::from_secs(2));
        assert!(short.try_recv().is_ok());
        assert!(long.try_recv().is_err() && !long.is_closed());
        assert!(finished.try_recv().is_err());
        assert_eq!(deadlines.by_call.len(), 1);
    }
}
