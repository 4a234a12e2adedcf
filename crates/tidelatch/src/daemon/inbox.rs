//! Events that wait for the core, and the order in which it gets them.
//!
//! Health checks, other controllers' questions and the ends of calls come first, for leases, watches and grants
//! hang on them. Workers' reports and users' requests follow in turns; of users' requests submissions and
//! cancellations go before polls, for users ask many times as often when something is wrong. What has waited for
//! longer than its sender does is refused unread.

use super::Event;
use std::collections::VecDeque;
use std::time::{Duration, Instant};
use tidelatch_core::{Answer, Method, PeerReply, PeerRequest};

/// Path of workers' reports.
pub(super) const REPORT_PATH: &str = "/agent/beat";
/// PROTOCOL's patience of those who ask: a poll, a report, a submission. What has waited for longer is
/// refused without being looked at, so that time goes to those who still wait.
const POLL_PATIENCE: Duration = Duration::from_secs(2);
const REPORT_PATIENCE: Duration = Duration::from_secs(4);
const SUBMIT_PATIENCE: Duration = Duration::from_secs(5);

/// Events, each with the time of its coming.
type WaitingEvents = VecDeque<(Instant, Event)>;

/// What an event is, for the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EventKind {
    Urgent,
    Report,
    /// A submission or a cancellation.
    Change,
    Poll,
}

impl EventKind {
    fn of(event: &Event) -> Self {
        match event {
            Event::Request { path, .. } if path == REPORT_PATH => Self::Report,
            Event::Request { path, .. } if path == "/up" => Self::Urgent,
            Event::Request {
                method: Method::Get, ..
            } => Self::Poll,
            Event::Request { .. } => Self::Change,
            Event::Peer {
                request: PeerRequest::Relay { .. },
                ..
            } => Self::Report,
            Event::Peer { .. } | Event::Reply { .. } | Event::PeerReply { .. } => Self::Urgent,
        }
    }

    /// How long the sender waits for an answer.
    fn patience(self) -> Duration {
        match self {
            Self::Poll => POLL_PATIENCE,
            Self::Report => REPORT_PATIENCE,
            Self::Urgent | Self::Change => SUBMIT_PATIENCE,
        }
    }
}

/// What has come in and waits for the core, by how soon it is needed.
#[derive(Default)]
pub(super) struct Inbox {
    urgent: VecDeque<Event>,
    reports: WaitingEvents,
    changes: WaitingEvents,
    polls: WaitingEvents,
    /// Whose turn it is of reports and users' requests.
    reports_first: bool,
}

/// An event that has left the inbox.
pub(super) struct QueuedEvent {
    pub(super) event: Event,
    /// Its sender waits for an answer no longer.
    pub(super) expired: bool,
}

impl Inbox {
    /// Takes in an event.
    pub(super) fn push(&mut self, event: Event, now: Instant) {
        match EventKind::of(&event) {
            EventKind::Urgent => self.urgent.push_back(event),
            EventKind::Report => self.reports.push_back((now, event)),
            EventKind::Change => self.changes.push_back((now, event)),
            EventKind::Poll => self.polls.push_back((now, event)),
        }
    }

    /// Takes the event that comes next.
    pub(super) fn pop(&mut self, now: Instant) -> Option<QueuedEvent> {
        if let Some(event) = self.urgent.pop_front() {
            return Some(QueuedEvent { event, expired: false });
        }
        self.reports_first = !self.reports_first;
        let (at, event) = if self.reports_first {
            self.reports.pop_front().or_else(|| self.pop_of_user())?
        } else {
            self.pop_of_user().or_else(|| self.reports.pop_front())?
        };
        let waited = now.saturating_duration_since(at);
        let expired = waited > EventKind::of(&event).patience();
        Some(QueuedEvent { event, expired })
    }

    fn pop_of_user(&mut self) -> Option<(Instant, Event)> {
        self.changes.pop_front().or_else(|| self.polls.pop_front())
    }
}

/// Answers who has given up by now, with no other work.
pub(super) fn reject_expired(event: Event) {
    let answer = Answer::retry_later(503, 1, "overloaded");
    // Whoever asked may have gone away.
    match event {
        Event::Request { reply, .. } => drop(reply.try_send(answer)),
        Event::Peer { reply, .. } => drop(reply.try_send(PeerReply::Answer(answer))),
        Event::Reply { .. } | Event::PeerReply { .. } => {}
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use smol::channel::Receiver;

    fn request(method: Method, path: &str) -> (Event, Receiver<Answer>) {
        let (reply, answer) = smol::channel::bounded(1);
        let event = Event::Request {
            method,
            path: path.to_owned(),
            body: Vec::new(),
            reply,
        };
        (event, answer)
    }

    fn path(event: &Event) -> &str {
        match event {
            Event::Request { path, .. } => path,
            Event::Reply { .. } => "reply",
            _ => "peer",
        }
    }

    #[test]
    fn health_checks_and_replies_overtake_and_who_waits_no_longer_is_refused() {
        // Guard: when everyone comes back at once, `/up` and the ends of lease calls must not stand behind
        // a thousand reports, and time must not go into answers that nobody reads.
        let mut inbox = Inbox::default();
        let then = Instant::now();
        let (poll, polled) = request(Method::Get, "/submissions/job-000001");
        inbox.push(poll, then);
        for _ in 0..2 {
            inbox.push(request(Method::Post, REPORT_PATH).0, then);
        }
        inbox.push(request(Method::Post, "/submissions").0, then);
        inbox.push(request(Method::Get, "/up").0, then);
        inbox.push(Event::Reply { call: 1, result: None }, then);
        let now = then + Duration::from_secs(3);
        let taken: Vec<QueuedEvent> = std::iter::from_fn(|| inbox.pop(now)).collect();
        let order: Vec<(&str, bool)> = taken.iter().map(|q| (path(&q.event), q.expired)).collect();
        // After 3 s a poll is late, a report and a submission are not; reports and users take turns.
        assert_eq!(
            order,
            [
                ("/up", false),
                ("reply", false),
                (REPORT_PATH, false),
                ("/submissions", false),
                (REPORT_PATH, false),
                ("/submissions/job-000001", true),
            ]
        );
        for queued in taken {
            if queued.expired {
                reject_expired(queued.event);
            }
        }
        let answer = polled.try_recv().expect("an answer at once");
        assert_eq!((answer.status, answer.retry_after_s), (503, Some(1)));
    }

    #[test]
    fn submissions_and_cancellations_go_before_any_number_of_polls() {
        // Guard: users who ask ten times as often must not delay what their jobs wait for.
        const CANCEL: &str = "/submissions/job-000001/withdraw";
        let mut inbox = Inbox::default();
        let now = Instant::now();
        for _ in 0..100 {
            inbox.push(request(Method::Get, "/submissions/job-000001").0, now);
        }
        for (method, path) in [
            (Method::Post, REPORT_PATH),
            (Method::Post, "/submissions"),
            (Method::Post, CANCEL),
            (Method::Get, "/up"),
        ] {
            inbox.push(request(method, path).0, now);
        }
        let taken: Vec<QueuedEvent> = std::iter::from_fn(|| inbox.pop(now)).collect();
        let order: Vec<&str> = taken.iter().map(|q| path(&q.event)).collect();
        let first = ["/up", REPORT_PATH, "/submissions", CANCEL, "/submissions/job-000001"];
        assert_eq!(order[..5], first);
        assert_eq!(taken.len(), 104);
        assert!(taken.iter().all(|q| !q.expired));
    }
}
