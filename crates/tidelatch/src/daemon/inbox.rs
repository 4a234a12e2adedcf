//! Priority queue of events for the core.
//!
//! Health checks, other controllers' requests and the results of calls come first, because leases, watches of the state
//! service, and the grants that controllers give each other depend on them. Workers' reports and users' requests follow
//! in alternation. Among users' requests, submissions and cancellations come before polls, because users poll many
//! times as often when something is wrong. An event that has waited for longer than its sender waits for an answer is
//! rejected without being processed.

use super::IncomingEvent;
use std::collections::VecDeque;
use std::time::{Duration, Instant};
use tidelatch_core::{Answer, Method, PeerReply, PeerRequest};

/// Path of workers' reports.
pub(super) const REPORT_PATH: &str = "/agent/beat";
/// Time that a user waits for the answer to a poll, as specified in PROTOCOL.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that a worker waits for the answer to a report, as specified in PROTOCOL.
const REPORT_TIMEOUT: Duration = Duration::from_secs(4);
/// Time that a user waits for the answer to a submission, as specified in PROTOCOL.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Events in order of arrival, each with its time of arrival.
type TimedEvents = VecDeque<(Instant, IncomingEvent)>;

/// Kind of an event, which determines its priority and its client's timeout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EventKind {
    /// A health check, a request of another controller, or the result of a call.
    Urgent,
    /// A worker's report, sent directly or relayed by another controller.
    Report,
    /// A submission, a cancellation, or any other POST or DELETE.
    SubmitOrCancel,
    /// A user's query.
    Poll,
}

impl EventKind {
    /// Classifies an event.
    fn of(event: &IncomingEvent) -> Self {
        match event {
            IncomingEvent::HttpRequest { path, .. } if path == REPORT_PATH => Self::Report,
            IncomingEvent::HttpRequest { path, .. } if path == "/up" => Self::Urgent,
            IncomingEvent::HttpRequest {
                method: Method::Get, ..
            } => Self::Poll,
            IncomingEvent::HttpRequest { .. } => Self::SubmitOrCancel,
            IncomingEvent::PeerRequest {
                request: PeerRequest::Relay { .. },
                ..
            } => Self::Report,
            IncomingEvent::PeerRequest { .. } | IncomingEvent::HttpResult { .. } | IncomingEvent::PeerResult { .. } => {
                Self::Urgent
            }
        }
    }

    /// Time that the sender waits for an answer. An event that has waited for longer is rejected without being
    /// processed, so that time is spent on clients that still wait. Urgent events are always processed.
    fn client_timeout(self) -> Duration {
        match self {
            Self::Poll => POLL_TIMEOUT,
            Self::Report => REPORT_TIMEOUT,
            Self::Urgent | Self::SubmitOrCancel => SUBMIT_TIMEOUT,
        }
    }
}

/// Events that wait for the core, in one queue for each kind.
#[derive(Default)]
pub(super) struct Inbox {
    urgent: VecDeque<IncomingEvent>,
    reports: TimedEvents,
    changes: TimedEvents,
    polls: TimedEvents,
    /// Whether reports come before users' requests; toggled with each event that is not urgent.
    reports_first: bool,
}

/// An event that was popped from the inbox.
pub(super) struct QueuedEvent {
    pub(super) event: IncomingEvent,
    /// The sender's timeout has passed: it no longer waits for an answer.
    pub(super) is_expired: bool,
}

impl Inbox {
    /// Adds an event that arrived at `now`.
    pub(super) fn push(&mut self, event: IncomingEvent, now: Instant) {
        match EventKind::of(&event) {
            EventKind::Urgent => self.urgent.push_back(event),
            EventKind::Report => self.reports.push_back((now, event)),
            EventKind::SubmitOrCancel => self.changes.push_back((now, event)),
            EventKind::Poll => self.polls.push_back((now, event)),
        }
    }

    /// Removes and returns the event with the highest priority.
    pub(super) fn pop(&mut self, now: Instant) -> Option<QueuedEvent> {
        if let Some(event) = self.urgent.pop_front() {
            return Some(QueuedEvent {
                event,
                is_expired: false,
            });
        }
        self.reports_first = !self.reports_first;
        let (arrived_at, event) = if self.reports_first {
            self.reports.pop_front().or_else(|| self.pop_user_request())?
        } else {
            self.pop_user_request().or_else(|| self.reports.pop_front())?
        };
        let waited = now.saturating_duration_since(arrived_at);
        let is_expired = waited > EventKind::of(&event).client_timeout();
        Some(QueuedEvent { event, is_expired })
    }

    /// Removes the next request of a user: changes before polls.
    fn pop_user_request(&mut self) -> Option<(Instant, IncomingEvent)> {
        self.changes.pop_front().or_else(|| self.polls.pop_front())
    }
}

/// Rejects an event whose sender no longer waits, without passing it to the core.
pub(super) fn reject_expired(event: IncomingEvent) {
    let answer = Answer::retry_later(503, 1, "overloaded");
    // The requester may have disconnected.
    match event {
        IncomingEvent::HttpRequest { answer_sender, .. } => drop(answer_sender.try_send(answer)),
        IncomingEvent::PeerRequest { reply_sender, .. } => drop(reply_sender.try_send(PeerReply::Answer(answer))),
        IncomingEvent::HttpResult { .. } | IncomingEvent::PeerResult { .. } => {}
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use smol::channel::Receiver;

    fn request(method: Method, path: &str) -> (IncomingEvent, Receiver<Answer>) {
        let (answer_sender, answer) = smol::channel::bounded(1);
        let event = IncomingEvent::HttpRequest {
            method,
            path: path.to_owned(),
            body: Vec::new(),
            answer_sender,
        };
        (event, answer)
    }

    fn path(event: &IncomingEvent) -> &str {
        match event {
            IncomingEvent::HttpRequest { path, .. } => path,
            IncomingEvent::HttpResult { .. } => "reply",
            _ => "peer",
        }
    }

    #[test]
    fn health_checks_and_replies_come_first_and_expired_requests_are_rejected() {
        // Guards against `/up` and the results of lease calls being queued behind a thousand reports when all clients
        // reconnect at once, and against time being spent on answers that nobody reads.
        let mut inbox = Inbox::default();
        let arrived = Instant::now();
        let (poll, poll_answer) = request(Method::Get, "/submissions/job-000001");
        inbox.push(poll, arrived);
        for _ in 0..2 {
            inbox.push(request(Method::Post, REPORT_PATH).0, arrived);
        }
        inbox.push(request(Method::Post, "/submissions").0, arrived);
        inbox.push(request(Method::Get, "/up").0, arrived);
        inbox.push(IncomingEvent::HttpResult { call: 1, result: None }, arrived);
        let now = arrived + Duration::from_secs(3);
        let popped: Vec<QueuedEvent> = std::iter::from_fn(|| inbox.pop(now)).collect();
        let order: Vec<(&str, bool)> = popped.iter().map(|q| (path(&q.event), q.is_expired)).collect();
        // After 3 s a poll has expired, a report and a submission have not; reports and users' requests alternate.
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
        for queued in popped {
            if queued.is_expired {
                reject_expired(queued.event);
            }
        }
        let answer = poll_answer.try_recv().expect("an answer at once");
        assert_eq!((answer.status, answer.retry_after_s), (503, Some(1)));
    }

    #[test]
    fn submissions_and_cancellations_come_before_any_number_of_polls() {
        // Guards against users who poll ten times as often delaying submissions, cancellations and reports.
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
        let popped: Vec<QueuedEvent> = std::iter::from_fn(|| inbox.pop(now)).collect();
        let order: Vec<&str> = popped.iter().map(|q| path(&q.event)).collect();
        let first = ["/up", REPORT_PATH, "/submissions", CANCEL, "/submissions/job-000001"];
        assert_eq!(order[..5], first);
        assert_eq!(popped.len(), 104);
        assert!(popped.iter().all(|q| !q.is_expired));
    }
}
