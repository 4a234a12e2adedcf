//! What members tell each other, and why a message may count as no evidence.

use std::fmt;

/// A member's name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(String);

impl MemberId {
    /// A member by its name.
    pub fn new(name: impl Into<String>) -> Self {
        Self(name.into())
    }

    /// The name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One run of a member, from its registration with the arbiter to the end of that. Numbers of different lives have
/// no order: they may be drawn at random.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Life(pub u64);

/// A life and how often it has refuted a suspicion. Within one life the larger refutation is the newer one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Incarnation {
    /// The life.
    pub life: Life,
    /// How often the member has answered a suspicion of this life.
    pub refutation: u64,
}

/// What one member holds of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Opinion {
    /// No suspicion.
    Alive,
    /// It is suspected.
    Suspected,
}

/// What the sender of a heartbeat tells of a third member, or of the receiver.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Claim {
    /// Whom it is about.
    pub member: MemberId,
    /// The incarnation that the sender has heard of last.
    pub incarnation: Incarnation,
    /// What the sender holds of it.
    pub opinion: Opinion,
    /// Time since the sender last heard the member itself.
    pub heard_ago_ms: u64,
}

/// A sign of life, with what its sender knows of the others.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Heartbeat {
    /// The sender.
    pub from: MemberId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Grows with every heartbeat of a life: duplicates and messages that were overtaken show by it.
    pub sequence: u64,
    /// What it knows of others.
    pub claims: Vec<Claim>,
    /// The receiver is asked to contact this member at once, and to tell of it in its next heartbeat.
    pub probe: Option<MemberId>,
}

/// How a heartbeat came.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Channel {
    /// By itself, one in each heartbeat interval: its time of arrival goes into the distribution.
    Scheduled,
    /// As the answer to a message of the receiver's: a sign of life whose time says nothing of the intervals.
    Answer,
}

/// Why a heartbeat counts as no evidence.
#[derive(Debug, Clone, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Rejection {
    /// Its sender is no member.
    #[error("`{0}` is no member")]
    UnknownSender(MemberId),
    /// It claims to come from its receiver.
    #[error("a heartbeat of this member's own came back")]
    OwnMessage,
    /// It carries no life: the sender's version does not take part.
    #[error("{0} tells no life")]
    NoLife(MemberId),
    /// It carries more claims than there are members.
    #[error("{from} sent {claims} claims, {most} at most are taken")]
    Oversized {
        /// The sender.
        from: MemberId,
        /// Claims in the message.
        claims: usize,
        /// Most that are taken.
        most: usize,
    },
    /// It was sent in a life that has been followed by another.
    #[error("{from} sent it in life {life:?}, which is over")]
    EarlierLife {
        /// The sender.
        from: MemberId,
        /// The life.
        life: Life,
    },
    /// It is a duplicate, or was overtaken by a later one.
    #[error("{from} sent number {sequence}, number {newest} has come before")]
    Overtaken {
        /// The sender.
        from: MemberId,
        /// Its number.
        sequence: u64,
        /// The largest number seen.
        newest: u64,
    },
}

/// Why one claim of a heartbeat counts as no evidence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, thiserror::Error)]
pub enum ClaimRejection {
    /// It is about no member.
    #[error("it is about no member")]
    UnknownMember,
    /// It is about the member that sent it.
    #[error("it is about its sender")]
    AboutSender,
    /// It is about another life than the one that is known here.
    #[error("it is about another life")]
    OtherLife,
}
