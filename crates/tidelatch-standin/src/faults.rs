//! Faults for [`World::meddle`](crate::World::meddle), which can be combined: what becomes of messages on
//! networks and at services that fail. With one seed, all are the same every time.

use crate::world::{Delivery, Message};
use std::ops::Range;

/// Decides what becomes of messages.
pub type FaultInjector = Box<dyn FnMut(&Message<'_>) -> Delivery>;

/// Several faults at once: the first that does anything to a message decides.
pub fn all(mut injectors: Vec<FaultInjector>) -> FaultInjector {
    Box::new(move |l| {
        // Each is asked, so that none depends on what the others did.
        let deliveries: Vec<Delivery> = injectors.iter_mut().map(|m| m(l)).collect();
        deliveries
            .into_iter()
            .find(|f| *f != Delivery::Pass)
            .unwrap_or(Delivery::Pass)
    })
}

/// A fault for some time, in milliseconds since the beginning.
pub fn during(time: Range<u64>, mut injector: FaultInjector) -> FaultInjector {
    Box::new(move |l| {
        if time.contains(&l.at) {
            injector(l)
        } else {
            Delivery::Pass
        }
    })
}

/// A share of transactions gets no answer, and is carried out 2 to 12 s later.
pub fn late_writes(seed: u64, share: f64) -> FaultInjector {
    let mut rng = fastrand::Rng::with_seed(seed);
    Box::new(move |l| {
        if l.what == "POST /txn" && rng.f64() < share {
            Delivery::Late(rng.u64(2_000..12_000))
        } else {
            Delivery::Pass
        }
    })
}

/// A share of transactions is carried out at once, and its answer is lost.
pub fn lost_answers(seed: u64, share: f64) -> FaultInjector {
    let mut rng = fastrand::Rng::with_seed(seed);
    Box::new(move |l| {
        if l.what == "POST /txn" && rng.f64() < share {
            Delivery::AnswerLost
        } else {
            Delivery::Pass
        }
    })
}

/// A copy of a share of reports comes late: from 2 s to well over two leases.
pub fn late_copies(seed: u64, share: f64) -> FaultInjector {
    let mut rng = fastrand::Rng::with_seed(seed);
    Box::new(move |l| {
        if l.what == "POST /agent/beat" && rng.f64() < share {
            Delivery::Copied(rng.u64(2_000..45_000))
        } else {
            Delivery::Pass
        }
    })
}

/// A machine's reports arrive; answers and direct commands do not reach it. It still tells its state.
pub fn deaf(machine: &str) -> FaultInjector {
    let deaf = machine.to_owned();
    Box::new(move |l| {
        if l.from == deaf {
            Delivery::AnswerLost
        } else if l.to == deaf && l.what != "GET /status" {
            Delivery::Lost
        } else {
            Delivery::Pass
        }
    })
}

/// A machine's reports reach no controller; direct commands reach it, and are answered.
pub fn mute(machine: &str) -> FaultInjector {
    let mute = machine.to_owned();
    Box::new(move |l| if l.from == mute { Delivery::Lost } else { Delivery::Pass })
}

/// A controller is cut off from the state service and its peers, and has its workers and users still.
pub fn cut_off(node: usize) -> FaultInjector {
    let name = format!("berth-{node}");
    Box::new(move |l| {
        let out = l.from == name && (l.to == "state" || l.to.starts_with("berth-"));
        let back = l.to == name && l.from.starts_with("berth-");
        if out || back { Delivery::Lost } else { Delivery::Pass }
    })
}

/// The state service answers 503 to one controller alone.
pub fn refused(node: usize) -> FaultInjector {
    let name = format!("berth-{node}");
    Box::new(move |l| {
        if l.from == name && l.to == "state" {
            Delivery::Refused
        } else {
            Delivery::Pass
        }
    })
}

/// Which side of a split network the state service is on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StateServiceSide {
    /// Only the named controllers reach it.
    Named,
    /// All reach it: the cut is between the controllers alone.
    Both,
    /// Nobody reaches it.
    Neither,
}

/// The network splits: the named controllers reach each other, and so do the others.
pub fn split(named: &[usize], state: StateServiceSide) -> FaultInjector {
    let named: Vec<String> = named.iter().map(|node| format!("berth-{node}")).collect();
    Box::new(move |message| {
        let is_named = |name: &str| named.iter().any(|n| n == name);
        let between_controllers = message.from.starts_with("berth-") && message.to.starts_with("berth-");
        let parted = between_controllers && is_named(message.from) != is_named(message.to);
        let cut_from_state = message.to == "state"
            && match state {
                StateServiceSide::Named => !is_named(message.from),
                StateServiceSide::Both => false,
                StateServiceSide::Neither => true,
            };
        if parted || cut_from_state {
            Delivery::Lost
        } else {
            Delivery::Pass
        }
    })
}

/// Nothing that one controller sends reaches another; the other way is open.
pub fn one_way(from: usize, to: usize) -> FaultInjector {
    let (from, to) = (format!("berth-{from}"), format!("berth-{to}"));
    Box::new(move |message| {
        if message.from == from && message.to == to {
            Delivery::Lost
        } else if message.from == to && message.to == from {
            Delivery::AnswerLost
        } else {
            Delivery::Pass
        }
    })
}

/// Messages between controllers are delayed, lost, copied and overtaken.
pub fn rough_peer_network(seed: u64) -> FaultInjector {
    let mut random = fastrand::Rng::with_seed(seed);
    Box::new(move |message| {
        let between_controllers = message.from.starts_with("berth-") && message.to.starts_with("berth-");
        if !between_controllers {
            return Delivery::Pass;
        }
        match random.u32(0..10) {
            0 => Delivery::Lost,
            1 => Delivery::AnswerLost,
            2..=4 => Delivery::Slow(random.u64(50..1_200)),
            5 => Delivery::Late(random.u64(1_000..9_000)),
            6 => Delivery::Copied(random.u64(200..9_000)),
            _ => Delivery::Pass,
        }
    })
}
