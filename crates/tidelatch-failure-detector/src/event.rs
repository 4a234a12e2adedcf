//! What a detector finds.

use crate::arbiter::Verdict;
use crate::member::Suspicion;
use crate::message::{ClaimRejection, Life, MemberId};

/// Why a suspicion was cleared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Cleared {
    /// The member was heard itself.
    Heard,
    /// Another member passed on its refutation.
    Refuted,
    /// It has begun a new life.
    NewLife,
}

/// What has changed, or is to be done.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Event {
    /// A member is silent: these others are asked to probe it before it is suspected.
    ProbeWanted {
        /// The silent member.
        target: MemberId,
        /// Whom to ask.
        through: Vec<MemberId>,
    },
    /// A member is suspected.
    Suspected {
        /// The member.
        member: MemberId,
        /// The suspicion.
        suspicion: Suspicion,
        /// Time since it was last heard itself, pauses of this member's own left out.
        silent_ms: u64,
    },
    /// A suspicion has ended without a verdict.
    Cleared {
        /// The member.
        member: MemberId,
        /// Why.
        by: Cleared,
        /// How long it lasted.
        suspected_for_ms: u64,
    },
    /// A member is gone for certain.
    Confirmed {
        /// The member.
        member: MemberId,
        /// The life that is gone; none: it was never heard.
        life: Option<Life>,
        /// By what evidence.
        verdict: Verdict,
        /// How long it was suspected.
        suspected_for_ms: u64,
    },
    /// A member that was confirmed as gone is back in a new life.
    Returned {
        /// The member.
        member: MemberId,
        /// Its new life.
        life: Life,
    },
    /// Others suspect this member: its heartbeats carry a higher refutation from now on.
    RefutedOwn {
        /// Who suspects it.
        suspected_by: MemberId,
        /// The refutation.
        refutation: u64,
    },
    /// This member holds itself to be at fault, and suspects others less readily.
    Impaired {
        /// Time in which it did not run; 0: it hears almost nobody.
        paused_ms: u64,
    },
    /// This member trusts its own observations again.
    Recovered,
    /// A claim counts as no evidence.
    ClaimIgnored {
        /// Who sent it.
        from: MemberId,
        /// Whom it is about.
        about: MemberId,
        /// Why.
        reason: ClaimRejection,
    },
}
