//! The messages between members, and the reasons for rejecting them as evidence.

use std::fmt;

/// The name of a member.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(String);

impl MemberId {
    /// Creates the identifier of the member with this name.
    pub fn new(name: impl Into<String>) -> Self {
        Self(name.into())
    }

    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Identifier of one incarnation of a member: one run of it, from its registration until that
/// registration ends. The identifiers of different incarnations have no order, since they may be random numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IncarnationId(pub u64);

/// An incarnation of a member and its refutation count. Within one incarnation the higher refutation count is the newer
/// one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Incarnation {
    /// The incarnation's identifier.
    pub id: IncarnationId,
    /// How often the member has refuted a suspicion of this incarnation.
    pub refutation_count: u64,
}

/// One member's opinion of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Opinion {
    /// The member is not suspected.
    Alive,
    /// The member is suspected.
    Suspected,
}

/// What the sender of a heartbeat states about a third member, or about the receiver.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Claim {
    /// The member that the claim is about.
    pub member: MemberId,
    /// The latest incarnation that the sender has heard of.
    pub incarnation: Incarnation,
    /// The sender's opinion of the member.
    pub opinion: Opinion,
    /// Time since the sender last heard from the member directly.
    pub heard_ago_ms: u64,
}

/// A heartbeat, with what its sender knows about the other members.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Heartbeat {
    /// The sender.
    pub from: MemberId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// Sequence number, which grows with every heartbeat of an incarnation. It reveals duplicates and heartbeats that
    /// arrive after a newer one.
    pub sequence: u64,
    /// What the sender knows about other members.
    pub claims: Vec<Claim>,
    /// A member that the receiver is asked to contact at once, and to report on in its next heartbeat.
    pub probe: Option<MemberId>,
}

/// How a heartbeat was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum HeartbeatTrigger {
    /// On schedule, once per heartbeat interval. Its arrival time is added to the window of intervals.
    Scheduled,
    /// In answer to a message from the receiver. It shows that the sender is alive, but its arrival time says nothing
    /// about the intervals.
    Answer,
}

/// Why a heartbeat is rejected as evidence.
#[derive(Debug, Clone, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Rejection {
    /// Its sender is not a member.
    #[error("`{0}` is not a member")]
    UnknownSender(MemberId),
    /// It names its receiver as its sender.
    #[error("this member's own heartbeat came back")]
    OwnMessage,
    /// It carries no incarnation, because the sender's version does not support them.
    #[error("{0} sent no incarnation")]
    MissingIncarnation(MemberId),
    /// It carries more claims than there are members.
    #[error("{from} sent {claims} claims, at most {max_claims} are taken")]
    TooManyClaims {
        /// The sender.
        from: MemberId,
        /// Number of claims in the message.
        claims: usize,
        /// The maximum number of claims.
        max_claims: usize,
    },
    /// It was sent in an incarnation that has ended: another one followed, or it was confirmed as gone.
    #[error("{from} sent the heartbeat in incarnation {}, which has ended", .incarnation.0)]
    EndedIncarnation {
        /// The sender.
        from: MemberId,
        /// The incarnation that has ended.
        incarnation: IncarnationId,
    },
    /// It is a duplicate, or a newer heartbeat arrived before it.
    #[error("{from} sent heartbeat {sequence}, but heartbeat {newest} has come before")]
    OutdatedSequence {
        /// The sender.
        from: MemberId,
        /// The heartbeat's sequence number.
        sequence: u64,
        /// The highest sequence number received.
        newest: u64,
    },
}

/// Why one claim of a heartbeat is rejected as evidence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, thiserror::Error)]
pub enum ClaimRejection {
    /// It is about a name that is not a member.
    #[error("the claim is about an unknown member")]
    UnknownMember,
    /// It is about the member that sent it.
    #[error("the claim is about its own sender")]
    AboutSender,
    /// It is about another incarnation than the one known here.
    #[error("the claim is about another incarnation than the known one")]
    OtherIncarnation,
}
