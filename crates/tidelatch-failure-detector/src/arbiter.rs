//! Who decides that a member is gone, and by what evidence.
//!
//! A verdict rests on fencing alone. Three guards stand between a suspicion and a verdict: the registration of the
//! suspected life has ended, this was seen after the suspicion began, and every grant to the member has run out.

use crate::member::Suspicion;
use crate::message::{Life, MemberId};

/// What a store says of a member's registration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Registration {
    /// The store cannot be reached, or has not been read yet.
    Unreachable,
    /// The member is registered.
    Present {
        /// The life that is registered.
        life: Life,
        /// When this was seen, on the caller's clock.
        observed_ms: u64,
    },
    /// The member is not registered: its lease has ended.
    Absent {
        /// When this was seen, on the caller's clock.
        observed_ms: u64,
    },
    /// The member has written that it gives up its registration.
    Released {
        /// The life that gave it up.
        life: Life,
    },
}

/// Gives the facts that verdicts rest on: the state service of a deployment, or whatever an embedding program has in
/// its place. What it says may be old, but it never goes back: after a life was said to be absent, or another to be
/// present, an older answer must not follow.
pub trait Arbiter {
    /// What is known of a member's registration.
    fn registration(&self, member: &MemberId) -> Registration;

    /// When the last grant ends by which the member may act without a registration, on the caller's clock; 0 if there
    /// is none.
    fn granted_until_ms(&self, member: &MemberId) -> u64;
}

/// Why a member is confirmed as gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// Its registration has ended.
    RegistrationEnded,
    /// Another life has registered in its place.
    Superseded(Life),
    /// It gave up its registration itself.
    Released,
}

/// The verdict on a suspected member, if the evidence is certain.
pub fn verdict(
    suspicion: &Suspicion,
    registration: Registration,
    granted_until_ms: u64,
    now_ms: u64,
) -> Option<Verdict> {
    if now_ms < granted_until_ms {
        return None;
    }
    match registration {
        Registration::Absent { observed_ms } if observed_ms > suspicion.since_ms => Some(Verdict::RegistrationEnded),
        Registration::Present { life, observed_ms }
            if suspicion.life.is_some_and(|suspected| suspected != life) && observed_ms > suspicion.since_ms =>
        {
            Some(Verdict::Superseded(life))
        }
        Registration::Released { life } if suspicion.life == Some(life) => Some(Verdict::Released),
        _ => None,
    }
}
