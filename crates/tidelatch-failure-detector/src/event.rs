//! The events that a detector returns.

use crate::arbiter::Verdict;
use crate::member::Suspicion;
use crate::message::{ClaimRejection, IncarnationId, MemberId};

/// Why a suspicion was cleared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ClearReason {
    /// The member itself was heard.
    Heard,
    /// Another member passed on its refutation.
    Refuted,
    /// It has started a new incarnation.
    NewIncarnation,
}

/// A change of state, or an action for the caller.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Event {
    /// A member is unresponsive: the caller asks other members to probe it before it is suspected.
    ProbeWanted {
        /// The unresponsive member.
        target: MemberId,
        /// The members to ask.
        helpers: Vec<MemberId>,
    },
    /// A member is suspected.
    Suspected {
        /// The member.
        member: MemberId,
        /// The suspicion.
        suspicion: Suspicion,
        /// Time since it was last heard directly, without pauses of this member. For a member that was never heard, the
        /// time since the detector was created.
        since_heard_directly_ms: u64,
    },
    /// A suspicion was cleared, and the member was not confirmed as gone.
    Cleared {
        /// The member.
        member: MemberId,
        /// Why.
        reason: ClearReason,
        /// How long the suspicion lasted.
        suspected_for_ms: u64,
    },
    /// A member is confirmed as gone.
    Confirmed {
        /// The member.
        member: MemberId,
        /// The incarnation that is gone. `None` if the member was never heard.
        incarnation: Option<IncarnationId>,
        /// The evidence.
        verdict: Verdict,
        /// How long it was suspected before.
        suspected_for_ms: u64,
    },
    /// A member that was confirmed as gone has returned in a new incarnation.
    Returned {
        /// The member.
        member: MemberId,
        /// Its new incarnation.
        incarnation: IncarnationId,
    },
    /// Another member suspects this one: this member's heartbeats carry a higher refutation count from now on.
    SuspicionRefuted {
        /// The member that suspects this one.
        suspected_by: MemberId,
        /// The new refutation count.
        refutation_count: u64,
    },
    /// This member considers itself impaired, and requires more evidence before it suspects others.
    Impaired {
        /// How long it did not run. 0 if the reason is that more than half of the other members became unresponsive
        /// together.
        paused_ms: u64,
    },
    /// This member itself is no longer impaired.
    Recovered,
    /// A claim was rejected as evidence, and is ignored.
    ClaimIgnored {
        /// The member that sent the claim.
        from: MemberId,
        /// The member that the claim is about.
        about: MemberId,
        /// Why.
        reason: ClaimRejection,
    },
}
