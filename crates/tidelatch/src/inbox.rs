//! What has come in and waits for the core, in the order in which it is needed.
//!
//! Health checks, other controllers' questions and the ends of calls come first, for leases, watches and promises
//! hang on them. Workers' reports and users' requests follow in turns; of users' requests submissions and
//! cancellations go before polls, for users ask many times as often when something is wrong. What has waited for
//! longer than its sender does is refused unread.

use crate::daemon::Event;
use std::collections::VecDeque;
use std::time::{Duration, Instant};
use tidelatch_core::{Answer, Method, PeerReply, PeerRequest};

#[cfg(test)]
mod tests;

/// Path of workers' reports.
pub const REPORT: &str = "/agent/beat";
/// PROTOCOL's patience of those who ask: a poll, a report, a submission or cancellation.
const POLL_PATIENCE: Duration = Duration::from_secs(2);
const REPORT_PATIENCE: Duration = Duration::from_secs(4);
const SUBMIT_PATIENCE: Duration = Duration::from_secs(5);

/// An event and the time of its coming.
type Waiting = VecDeque<(Instant, Event)>;

/// What an event is, for the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    First,
    Report,
    Change,
    Poll,
}

impl Kind {
    fn of(event: &Event) -> Self {
        match event {
            Event::Request { path, .. } if path == REPORT => Self::Report,
            Event::Request { path, .. } if path == "/up" => Self::First,
            Event::Request {
                method: Method::Get, ..
            } => Self::Poll,
            Event::Request { .. } => Self::Change,
            Event::Peer {
                request: PeerRequest::Relay { .. },
                ..
            } => Self::Report,
            Event::Peer { .. } | Event::Reply { .. } | Event::PeerReply { .. } => Self::First,
        }
    }
}

/// All that waits.
#[derive(Default)]
pub struct Inbox {
    first: VecDeque<Event>,
    reports: Waiting,
    changes: Waiting,
    polls: Waiting,
    /// Whose turn it is of reports and users.
    turn: bool,
}

impl Inbox {
    /// Takes an event in.
    pub fn put(&mut self, event: Event, now: Instant) {
        match Kind::of(&event) {
            Kind::First => self.first.push_back(event),
            Kind::Report => self.reports.push_back((now, event)),
            Kind::Change => self.changes.push_back((now, event)),
            Kind::Poll => self.polls.push_back((now, event)),
        }
    }

    /// The next event, and whether its sender waits for an answer no longer.
    pub fn take(&mut self, now: Instant) -> Option<(Event, bool)> {
        if let Some(event) = self.first.pop_front() {
            return Some((event, false));
        }
        self.turn = !self.turn;
        let (at, event) = if self.turn {
            self.reports.pop_front().or_else(|| self.take_of_user())?
        } else {
            self.take_of_user().or_else(|| self.reports.pop_front())?
        };
        let patience = match Kind::of(&event) {
            Kind::Poll => POLL_PATIENCE,
            Kind::Report => REPORT_PATIENCE,
            Kind::First | Kind::Change => SUBMIT_PATIENCE,
        };
        Some((event, now.saturating_duration_since(at) > patience))
    }

    fn take_of_user(&mut self) -> Option<(Instant, Event)> {
        self.changes.pop_front().or_else(|| self.polls.pop_front())
    }
}

/// Answers at once, with no other work, when to come back.
pub fn refuse(event: Event) {
    let answer = Answer::later(503, 1, "overloaded");
    // Whoever asked may have gone away.
    match event {
        Event::Request { reply, .. } => drop(reply.try_send(answer)),
        Event::Peer { reply, .. } => drop(reply.try_send(PeerReply::Answer(answer))),
        Event::Reply { .. } | Event::PeerReply { .. } => {}
    }
}
