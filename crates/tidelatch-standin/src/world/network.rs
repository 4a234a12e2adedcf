//! The network between all parts of a world: what becomes of each message.

use super::World;

/// What becomes of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// It arrives, and so does its answer.
    Pass,
    /// It never arrives.
    Lost,
    /// It arrives and is carried out; the answer is lost.
    AnswerLost,
    /// It arrives this many milliseconds late; nobody waits for the answer by then.
    Late(u64),
    /// It arrives this many milliseconds late, and is answered then.
    Slow(u64),
    /// It arrives and is carried out; the answer comes this many milliseconds late.
    AnswerLate(u64),
    /// It arrives, and so does its answer; a copy of it comes this many milliseconds late.
    Copied(u64),
    /// It is answered with 503 and not carried out. Where the state service does so, the sender's open
    /// watches wait as in an outage until a request of it gets through again.
    Refused,
}

/// A message on its way.
#[derive(Debug)]
pub struct Message<'a> {
    /// Time of sending.
    pub at: u64,
    /// Sender: a controller or a machine.
    pub from: &'a str,
    /// Receiver: `state`, `cloud`, a controller or a machine.
    pub to: &'a str,
    /// Method and path, or the kind of a peer's question.
    pub what: &'a str,
    /// Body.
    pub body: &'a str,
}

/// Decides what becomes of each message.
pub(super) type FaultInjector = Box<dyn FnMut(&Message<'_>) -> Delivery>;

/// Milliseconds that a message is under way when nothing delays it.
const TRANSIT_MS: u64 = 2;

impl Delivery {
    /// How long the answer is under way, if it is delivered.
    pub(super) fn answer_delay(self) -> Option<u64> {
        match self {
            Self::Pass | Self::Copied(_) | Self::Slow(_) => Some(TRANSIT_MS),
            Self::AnswerLate(ms) => Some(ms),
            Self::Lost | Self::AnswerLost | Self::Late(_) | Self::Refused => None,
        }
    }

    /// How long the message itself is under way, if it is delivered.
    pub(super) fn request_delay(self) -> Option<u64> {
        match self {
            Self::Pass | Self::AnswerLost | Self::AnswerLate(_) | Self::Copied(_) => Some(TRANSIT_MS),
            Self::Late(ms) | Self::Slow(ms) => Some(ms),
            Self::Lost | Self::Refused => None,
        }
    }
}

impl World {
    /// Decides the delivery of every message from now on.
    pub fn meddle(&mut self, injector: impl FnMut(&Message<'_>) -> Delivery + 'static) {
        self.injector = Box::new(injector);
    }

    /// Lets every message pass again.
    pub fn calm(&mut self) {
        self.injector = Box::new(|_| Delivery::Pass);
    }

    /// Asks what becomes of a message, and notes it in the trace unless it is delivered.
    pub(super) fn deliver(&mut self, from: &str, to: &str, what: &str, body: &str) -> Delivery {
        let message = Message {
            at: self.now,
            from,
            to,
            what,
            body,
        };
        let delivery = (self.injector)(&message);
        if !matches!(delivery, Delivery::Pass | Delivery::Copied(_) | Delivery::Slow(_)) && !what.starts_with("hello") {
            let path: String = what.chars().take(60).collect();
            self.note(&format!("({from} to {to}, {path}: {delivery:?})"));
        }
        delivery
    }
}
