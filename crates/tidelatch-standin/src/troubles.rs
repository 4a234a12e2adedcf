//! Troubles for [`World::meddle`](crate::World::meddle), to be put together: what becomes of messages on
//! networks and at services that the operators' page describes. With one seed, all are the same every time.

use crate::world::{Fate, Letter};
use std::ops::Range;

/// Decides the fate of messages.
pub type Meddler = Box<dyn FnMut(&Letter<'_>) -> Fate>;

/// Several troubles at once: the first that does anything to a message decides.
pub fn all(mut meddlers: Vec<Meddler>) -> Meddler {
    Box::new(move |l| {
        // Each is asked, so that none depends on what the others did.
        let fates: Vec<Fate> = meddlers.iter_mut().map(|m| m(l)).collect();
        fates.into_iter().find(|f| *f != Fate::Pass).unwrap_or(Fate::Pass)
    })
}

/// A trouble for some time, in milliseconds since the beginning.
pub fn during(time: Range<u64>, mut meddler: Meddler) -> Meddler {
    Box::new(move |l| if time.contains(&l.at) { meddler(l) } else { Fate::Pass })
}

/// A share of transactions gets no answer, and is carried out 2 to 12 s later.
pub fn late_writes(seed: u64, share: f64) -> Meddler {
    let mut rng = fastrand::Rng::with_seed(seed);
    Box::new(move |l| {
        if l.what == "POST /txn" && rng.f64() < share {
            Fate::Late(rng.u64(2_000..12_000))
        } else {
            Fate::Pass
        }
    })
}

/// A share of transactions is carried out at once, and its answer is lost.
pub fn lost_answers(seed: u64, share: f64) -> Meddler {
    let mut rng = fastrand::Rng::with_seed(seed);
    Box::new(move |l| {
        if l.what == "POST /txn" && rng.f64() < share {
            Fate::AnswerLost
        } else {
            Fate::Pass
        }
    })
}

/// A copy of a share of reports comes late: from 2 s to well over two leases.
pub fn late_copies(seed: u64, share: f64) -> Meddler {
    let mut rng = fastrand::Rng::with_seed(seed);
    Box::new(move |l| {
        if l.what == "POST /agent/beat" && rng.f64() < share {
            Fate::Copied(rng.u64(2_000..45_000))
        } else {
            Fate::Pass
        }
    })
}

/// A machine's reports arrive; answers and direct commands do not reach it. It still tells its state.
pub fn deaf(machine: &str) -> Meddler {
    let deaf = machine.to_owned();
    Box::new(move |l| {
        if l.from == deaf {
            Fate::AnswerLost
        } else if l.to == deaf && l.what != "GET /status" {
            Fate::Lost
        } else {
            Fate::Pass
        }
    })
}

/// A machine's reports reach no controller; direct commands reach it, and are answered.
pub fn mute(machine: &str) -> Meddler {
    let mute = machine.to_owned();
    Box::new(move |l| if l.from == mute { Fate::Lost } else { Fate::Pass })
}

/// A controller is cut off from the state service and its peers, and has its workers and users still.
pub fn cut_off(node: usize) -> Meddler {
    let name = format!("berth-{node}");
    Box::new(move |l| {
        let out = l.from == name && (l.to == "state" || l.to.starts_with("berth-"));
        let back = l.to == name && l.from.starts_with("berth-");
        if out || back { Fate::Lost } else { Fate::Pass }
    })
}

/// The state service answers 503 to one controller alone.
pub fn refused(node: usize) -> Meddler {
    let name = format!("berth-{node}");
    Box::new(move |l| {
        if l.from == name && l.to == "state" {
            Fate::Refused
        } else {
            Fate::Pass
        }
    })
}
