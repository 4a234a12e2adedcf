//! Events that wait for the core, and the order in which it gets them.

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

/// What has come in and waits for the core, by how soon it is needed.
#[derive(Default)]
pub(super) struct Inbox {
    /// Health checks, and the ends of calls: leases, watches and peers' promises hang on them.
    urgent: VecDeque<Event>,
    /// Reports and users' requests, each with the time of its coming, in turns.
    reports: VecDeque<(Instant, Event)>,
    users: VecDeque<(Instant, Event)>,
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
        match &event {
            Event::Request { path, .. } if path == REPORT_PATH => self.reports.push_back((now, event)),
            Event::Request { path, .. } if path != "/up" => self.users.push_back((now, event)),
            Event::Peer {
                request: PeerRequest::Relay { .. },
                ..
            } => self.reports.push_back((now, event)),
            _ => self.urgent.push_back(event),
        }
    }

    /// Takes the event that comes next.
    pub(super) fn pop(&mut self, now: Instant) -> Option<QueuedEvent> {
        if let Some(event) = self.urgent.pop_front() {
            return Some(QueuedEvent { event, expired: false });
        }
        self.reports_first = !self.reports_first;
        let (preferred, other) = if self.reports_first {
            (&mut self.reports, &mut self.users)
        } else {
            (&mut self.users, &mut self.reports)
        };
        let (at, event) = preferred.pop_front().or_else(|| other.pop_front())?;
        let waited = now.saturating_duration_since(at);
        let expired = match &event {
            Event::Request { method, .. } if *method == Method::Get => waited > POLL_PATIENCE,
            Event::Request { path, .. } if path == REPORT_PATH => waited > REPORT_PATIENCE,
            Event::Request { .. } => waited > SUBMIT_PATIENCE,
            _ => waited > REPORT_PATIENCE,
        };
        Some(QueuedEvent { event, expired })
    }
}

/// Answers who has given up by now, with no other work.
pub(super) fn reject_expired(event: Event) {
    let answer = Answer::later(503, 1, "overloaded");
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
                ("/submissions/job-000001", true),
                (REPORT_PATH, false),
                ("/submissions", false),
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
}
