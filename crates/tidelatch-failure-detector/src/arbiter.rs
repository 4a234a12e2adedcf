//! Decides whether a suspected member is confirmed as gone, and on what evidence.
//!
//! A confirmation rests on fencing alone, never on missing heartbeats. Three conditions must hold before a suspicion
//! becomes a confirmation: the registration of the suspected incarnation has ended, this was observed after the
//! suspicion began, and every grant to the member has expired. If the suspected incarnation has itself released its
//! registration, it does not matter when this was observed.

use crate::member::Suspicion;
use crate::message::{IncarnationId, MemberId};

/// What the store shows about a member's registration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Registration {
    /// The store cannot be reached, or has not been read yet.
    Unknown,
    /// The member is registered.
    Present {
        /// The registered incarnation.
        incarnation: IncarnationId,
        /// When the store was observed, on the caller's clock.
        observed_ms: u64,
    },
    /// The member is not registered, so its lease has ended.
    Absent {
        /// When the store was observed, on the caller's clock.
        observed_ms: u64,
    },
    /// The member itself has recorded that it gives up its registration.
    Released {
        /// The incarnation that gave it up.
        incarnation: IncarnationId,
    },
}

/// The source of the facts that confirmations rest on: a deployment's state service, or its equivalent in an embedding
/// program.
///
/// Answers may be outdated, but must never go backwards: once an answer has shown that an incarnation is absent, or
/// that another one is present, no older answer may follow.
pub trait RegistrationSource {
    /// Returns what is known about a member's registration.
    fn registration(&self, member: &MemberId) -> Registration;

    /// Returns when the last grant that lets the member act without a registration expires, on the caller's clock.
    /// Returns 0 if there is none.
    fn granted_until_ms(&self, member: &MemberId) -> u64;
}

/// The evidence on which a member was confirmed as gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// Its registration has ended.
    RegistrationEnded,
    /// Another incarnation has registered in its place.
    Superseded(IncarnationId),
    /// It gave up its registration itself.
    Released,
}

/// Returns the verdict on a suspected member, or `None` if the evidence is not certain.
pub fn decide_verdict(
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
        Registration::Present {
            incarnation,
            observed_ms,
        } if suspicion.incarnation.is_some_and(|suspected| suspected != incarnation)
            && observed_ms > suspicion.since_ms =>
        {
            Some(Verdict::Superseded(incarnation))
        }
        Registration::Released { incarnation } if suspicion.incarnation == Some(incarnation) => Some(Verdict::Released),
        _ => None,
    }
}
