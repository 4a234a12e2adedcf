//! The time limits of calls that are under way.

use smol::channel::{Receiver, Sender};
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Calls that are under way, and when each has no answer. They are looked at with each tick: a timer for
/// each call costs system calls.
#[derive(Default)]
pub(super) struct CallDeadlines {
    by_time: BTreeMap<(Instant, u64), Sender<()>>,
    by_call: HashMap<u64, Instant>,
}

impl CallDeadlines {
    /// Begins the time limit of a call; the receiver gets a message once it is over.
    pub(super) fn start(&mut self, call: u64, timeout_ms: u64) -> Receiver<()> {
        let at = Instant::now() + Duration::from_millis(timeout_ms);
        let (expired, expiry) = smol::channel::bounded(1);
        self.by_time.insert((at, call), expired);
        self.by_call.insert(call, at);
        expiry
    }

    pub(super) fn finish(&mut self, call: u64) {
        if let Some(at) = self.by_call.remove(&call) {
            self.by_time.remove(&(at, call));
        }
    }

    pub(super) fn expire(&mut self, now: Instant) {
        while let Some(((at, call), expired)) = self.by_time.pop_first() {
            if at > now {
                self.by_time.insert((at, call), expired);
                return;
            }
            self.by_call.remove(&call);
            let _ = expired.try_send(());
        }
    }
}

/// Ends without a result once the time limit of a call is over.
pub(super) async fn timed_out<T>(expiry: Receiver<()>) -> Option<T> {
    // Nothing is sent but the end of its time.
    let _ = expiry.recv().await;
    None
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_end_when_their_time_is_over_and_not_before() {
        let mut deadlines = CallDeadlines::default();
        let now = Instant::now();
        let (short, long, ended) = (
            deadlines.start(1, 500),
            deadlines.start(2, 5000),
            deadlines.start(3, 500),
        );
        deadlines.finish(3);
        deadlines.expire(now + Duration::from_secs(2));
        assert!(short.try_recv().is_ok());
        assert!(long.try_recv().is_err() && !long.is_closed());
        assert!(ended.try_recv().is_err());
        assert_eq!(deadlines.by_call.len(), 1);
    }
}
