//! The simulated network between all parts of a deployment: decides the delivery of each message.

use super::World;

/// The delivery of a message and of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// The message arrives, and so does its answer.
    Pass,
    /// The message is lost.
    Lost,
    /// The message arrives and is executed; its answer is lost.
    AnswerLost,
    /// The message arrives after this many milliseconds; its answer is lost.
    Late(u64),
    /// The message arrives after this many milliseconds; its answer arrives as usual.
    Slow(u64),
    /// The message arrives and is executed; its answer arrives after this many milliseconds.
    AnswerLate(u64),
    /// The message arrives, and so does its answer; a duplicate of the message arrives after this many milliseconds.
    Copied(u64),
    /// The receiver answers 503 and does not execute the message. If the receiver is the state service, the sender's
    /// open watches wait as in an outage until the state service accepts a request of the sender again.
    Refused,
    /// The connection is reset: the message does not arrive, and the sender learns at once that there is no answer. If
    /// the receiver is the state service, the sender's open watches end as well.
    Reset,
}

/// A message that is about to be delivered.
#[derive(Debug)]
pub struct Message<'a> {
    /// Time of sending, in milliseconds.
    pub sent_ms: u64,
    /// Sender: a controller or a machine.
    pub from: &'a str,
    /// Receiver: `state`, `cloud`, a controller or a machine.
    pub to: &'a str,
    /// Method and path, or the kind of a peer request: `relay`, `forward`, `submit` or `hello`.
    pub request: &'a str,
    /// Body; empty for peer requests.
    pub body: &'a str,
}

/// Decides the delivery of each message.
pub(super) type FaultInjector = Box<dyn FnMut(&Message<'_>) -> Delivery>;

/// Milliseconds that a message is in transit when no fault delays it.
const TRANSIT_MS: u64 = 2;

impl Delivery {
    /// Returns the milliseconds that the answer is in transit; `None`: it is not delivered.
    pub(super) fn answer_delay(self) -> Option<u64> {
        match self {
            Self::Pass | Self::Copied(_) | Self::Slow(_) => Some(TRANSIT_MS),
            Self::AnswerLate(ms) => Some(ms),
            Self::Lost | Self::AnswerLost | Self::Late(_) | Self::Refused | Self::Reset => None,
        }
    }

    /// Returns the milliseconds that the message itself is in transit; `None`: it is not delivered.
    pub(super) fn request_delay(self) -> Option<u64> {
        match self {
            Self::Pass | Self::AnswerLost | Self::AnswerLate(_) | Self::Copied(_) => Some(TRANSIT_MS),
            Self::Late(ms) | Self::Slow(ms) => Some(ms),
            Self::Lost | Self::Refused | Self::Reset => None,
        }
    }
}

impl World {
    /// Installs a fault injector, which decides the delivery of every message from now on.
    pub fn set_fault_injector(&mut self, injector: impl FnMut(&Message<'_>) -> Delivery + 'static) {
        self.injector = Box::new(injector);
    }

    /// Removes the fault injector: all messages are delivered again.
    pub fn clear_fault_injector(&mut self) {
        self.injector = Box::new(|_| Delivery::Pass);
    }

    /// Asks the fault injector for the delivery of a message. Writes lost, late and refused messages to the trace,
    /// except heartbeats.
    pub(super) fn decide_delivery(&mut self, from: &str, to: &str, request: &str, body: &str) -> Delivery {
        let message = Message {
            sent_ms: self.now,
            from,
            to,
            request,
            body,
        };
        let delivery = (self.injector)(&message);
        if !matches!(delivery, Delivery::Pass | Delivery::Copied(_) | Delivery::Slow(_))
            && !request.starts_with("hello")
        {
            let path: String = request.chars().take(60).collect();
            self.write_trace(&format!("({from} to {to}, {path}: {delivery:?})"));
        }
        delivery
    }
}
