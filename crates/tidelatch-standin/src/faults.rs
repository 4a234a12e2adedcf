//! Fault injectors for [`World::set_fault_injector`](crate::World::set_fault_injector): network faults and failing
//! services. They can be combined. The random ones are deterministic for a given seed.

use crate::world::{Delivery, Message};
use std::ops::Range;

/// Decides the delivery of each message.
pub type FaultInjector = Box<dyn FnMut(&Message<'_>) -> Delivery>;

/// Combines several injectors: the first one that does not pass a message decides its delivery.
pub fn combine(mut injectors: Vec<FaultInjector>) -> FaultInjector {
    Box::new(move |message| {
        // Every injector sees every message, so that its random sequence does not depend on the other injectors.
        let deliveries: Vec<Delivery> = injectors.iter_mut().map(|injector| injector(message)).collect();
        deliveries
            .into_iter()
            .find(|delivery| *delivery != Delivery::Pass)
            .unwrap_or(Delivery::Pass)
    })
}

/// Limits an injector to a time range, in milliseconds since the beginning of the simulation.
pub fn limit_to(time: Range<u64>, mut injector: FaultInjector) -> FaultInjector {
    Box::new(move |message| {
        if time.contains(&message.sent_ms) {
            injector(message)
        } else {
            Delivery::Pass
        }
    })
}

/// Delays a share (0 to 1) of the transactions: they get no answer and are carried out 2 to 12 s later.
pub fn delay_transactions(seed: u64, share: f64) -> FaultInjector {
    let mut random = fastrand::Rng::with_seed(seed);
    Box::new(move |message| {
        if message.request == "POST /txn" && random.f64() < share {
            Delivery::Late(random.u64(2_000..12_000))
        } else {
            Delivery::Pass
        }
    })
}

/// Loses the answers to a share (0 to 1) of the transactions, which are carried out at once.
pub fn lose_transaction_answers(seed: u64, share: f64) -> FaultInjector {
    let mut random = fastrand::Rng::with_seed(seed);
    Box::new(move |message| {
        if message.request == "POST /txn" && random.f64() < share {
            Delivery::AnswerLost
        } else {
            Delivery::Pass
        }
    })
}

/// Duplicates a share (0 to 1) of the reports: the copy arrives 2 to 45 s late. 45 s is well over two worker leases of
/// 18 s.
pub fn duplicate_reports(seed: u64, share: f64) -> FaultInjector {
    let mut random = fastrand::Rng::with_seed(seed);
    Box::new(move |message| {
        if message.request == "POST /agent/beat" && random.f64() < share {
            Delivery::Copied(random.u64(2_000..45_000))
        } else {
            Delivery::Pass
        }
    })
}

/// Loses the answers to a machine's reports and the direct commands to it. Its reports arrive, and it still answers
/// status requests.
pub fn lose_messages_to_machine(machine: &str) -> FaultInjector {
    let machine = machine.to_owned();
    Box::new(move |message| {
        if message.from == machine {
            Delivery::AnswerLost
        } else if message.to == machine && message.request != "GET /status" {
            Delivery::Lost
        } else {
            Delivery::Pass
        }
    })
}

/// Loses all reports of a machine. Direct commands reach it and are answered.
pub fn lose_reports_of_machine(machine: &str) -> FaultInjector {
    let machine = machine.to_owned();
    Box::new(move |message| {
        if message.from == machine {
            Delivery::Lost
        } else {
            Delivery::Pass
        }
    })
}

/// Isolates a controller from the state service and from its peers, in both directions. Its workers and users still
/// reach it.
pub fn isolate_controller(controller: usize) -> FaultInjector {
    let name = format!("berth-{controller}");
    Box::new(move |message| {
        let is_outgoing = message.from == name && (message.to == "state" || message.to.starts_with("berth-"));
        let is_from_peer = message.to == name && message.from.starts_with("berth-");
        if is_outgoing || is_from_peer {
            Delivery::Lost
        } else {
            Delivery::Pass
        }
    })
}

/// Makes the state service answer 503 to one controller, and only to this one.
pub fn refuse_state_requests(controller: usize) -> FaultInjector {
    let name = format!("berth-{controller}");
    Box::new(move |message| {
        if message.from == name && message.to == "state" {
            Delivery::Refused
        } else {
            Delivery::Pass
        }
    })
}

/// The side of a network partition that the state service is on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StateServiceSide {
    /// Only the named controllers reach the state service.
    Named,
    /// All controllers reach it: only the links between controllers are cut.
    Both,
    /// No controller reaches it.
    Neither,
}

/// Partitions the network: the named controllers reach each other, and so do the others, but no named controller
/// reaches one of the others.
pub fn partition_controllers(named: &[usize], state: StateServiceSide) -> FaultInjector {
    let named: Vec<String> = named.iter().map(|controller| format!("berth-{controller}")).collect();
    Box::new(move |message| {
        let is_named = |name: &str| named.iter().any(|n| n == name);
        let between_controllers = message.from.starts_with("berth-") && message.to.starts_with("berth-");
        let crosses_split = between_controllers && is_named(message.from) != is_named(message.to);
        let cut_from_state = message.to == "state"
            && match state {
                StateServiceSide::Named => !is_named(message.from),
                StateServiceSide::Both => false,
                StateServiceSide::Neither => true,
            };
        if crosses_split || cut_from_state {
            Delivery::Lost
        } else {
            Delivery::Pass
        }
    })
}

/// Cuts the network from one controller to another. Messages in the other direction arrive, but their answers are lost.
pub fn cut_direction(from: usize, to: usize) -> FaultInjector {
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

/// Delays, loses, duplicates and reorders messages between controllers.
pub fn unreliable_peer_network(seed: u64) -> FaultInjector {
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
