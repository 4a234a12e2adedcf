//! Who may act: the lease, the epoch, the leader, and which controller owns which partition.
//!
//! All that is shared lies under one prefix, `t/`, and is followed by one watch. Its changes come in
//! the order of their revisions, so that whoever has seen an epoch has seen every acceptance and
//! every roster entry that was written before it. Each such write carries the epoch's revision as a
//! condition: none of an older epoch can land after it.

mod entitlement;
mod epoch;
mod leadership;
mod lease_trouble;
mod records;
mod registration;
mod shared;
mod tenure;

pub use epoch::next_epoch;
pub use records::{
    BOOT_BATCH_PREFIX, EpochRecord, JOB_PREFIX, LeaderRecord, MemberRecord, PartitionOwner, ROSTER_PREFIX, SHARED,
    STEP_PREFIX, TYPES_KEY,
};
pub(crate) use tenure::{Stage, Tenure};

use crate::calls::Purpose;
use crate::controller::Controller;
use crate::ids::{ControllerId, Incarnation, Stamp};
use crate::messages::{Method, Target};
use lease_trouble::LeaseTrouble;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// A peer's grant not to change the membership.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Grant {
    /// When it ends, on this clock.
    until: u64,
    /// Its giver has not read the store in its life.
    unread: bool,
}

/// How a peer stands.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Peer {
    pub(crate) heard: Option<u64>,
    pub(crate) reachable: bool,
    pub(crate) entitled: bool,
    pub(crate) asked: u64,
    pub(crate) asking: bool,
    /// The question that is out asks for a grant.
    pub(crate) asked_grant: bool,
}

/// A controller's standing and its view of the others.
#[derive(Debug)]
pub(crate) struct Membership {
    pub(crate) inc: Incarnation,
    permit: Option<u64>,
    leasing: bool,
    extending: bool,
    extended_at: u64,
    entitled_until: u64,
    /// When the last extension that was granted, or the lease itself, was asked for.
    lease_since: u64,
    /// What went wrong since then.
    trouble: LeaseTrouble,
    written: Option<MemberRecord>,
    writing: bool,
    /// Revision of this controller's own key, as far as known: a late copy of an earlier life's write
    /// of it fails by that.
    own_stamp: Stamp,
    write_from: u64,
    listed: bool,
    listing: bool,
    watching: bool,
    /// Number of the watch that counts: an older one may hang for long after a cut has ended.
    watch_number: u64,
    watch_failures: u32,
    extend_failed: bool,
    /// The last call about a lease failed: the state service does not serve this controller.
    unserved: bool,
    /// Peers' grants not to change the membership.
    grants: BTreeMap<ControllerId, Grant>,
    /// This controller's own grants: it neither takes the lead nor raises an epoch before.
    grants_given_until: u64,
    /// A process that has just started may have forgotten grants: it leads only once every peer
    /// has said that it relies on none, or the longest would be over.
    fresh_until: u64,
    cleared: BTreeSet<ControllerId>,
    retry_at: u64,
    pub(crate) ledger: u64,
    /// When the shared keys were last read, or their watch last answered.
    pub(crate) viewed_at: u64,
    pub(crate) members: BTreeMap<ControllerId, MemberRecord>,
    pub(crate) leader: Option<(LeaderRecord, Stamp)>,
    taking: bool,
    pub(crate) leader_since: u64,
    pub(crate) epoch: Option<(EpochRecord, Stamp)>,
    epoch_writing: bool,
    /// After a try to lead or to raise the epoch: no other before this, or before the watch has come
    /// to this revision. A controller whose watch hangs must not burn the budget of changes.
    settle: (u64, u64),
    pub(crate) peers: BTreeMap<ControllerId, Peer>,
    was_entitled: bool,
}

impl Membership {
    /// Whether the members' keys have been read in this life of the process.
    pub(crate) fn has_read_members(&self) -> bool {
        self.listed && self.viewed_at > 0
    }

    /// When the last grant ends that this controller has given.
    pub(crate) fn grants_given_until(&self) -> u64 {
        self.grants_given_until
    }

    pub(crate) fn new(inc: Incarnation, fresh_until: u64) -> Self {
        Self {
            inc,
            permit: None,
            leasing: false,
            extending: false,
            extended_at: 0,
            entitled_until: 0,
            lease_since: 0,
            trouble: LeaseTrouble::default(),
            written: None,
            writing: false,
            own_stamp: Stamp(0),
            write_from: 0,
            listed: false,
            listing: false,
            watching: false,
            watch_number: 0,
            watch_failures: 0,
            extend_failed: false,
            unserved: false,
            grants: BTreeMap::new(),
            grants_given_until: 0,
            fresh_until,
            cleared: BTreeSet::new(),
            retry_at: 0,
            ledger: 0,
            viewed_at: 0,
            members: BTreeMap::new(),
            leader: None,
            taking: false,
            leader_since: 0,
            epoch: None,
            epoch_writing: false,
            settle: (0, 0),
            peers: BTreeMap::new(),
            was_entitled: false,
        }
    }
}

impl Controller {
    /// Sends a transaction; `writes` is what it costs of the budget of changes.
    pub(crate) fn txn(&mut self, conditions: Vec<Value>, changes: Vec<Value>, purpose: Purpose) {
        self.state_reads.force(self.now.ms, 1.0);
        self.state_writes.force(self.now.ms, changes.len() as f64);
        let timeout = self.settings.lease_ms() / 4;
        let body = json!({ "if": conditions, "then": changes }).to_string();
        self.call(Target::State, Method::Post, "/txn", body, timeout, purpose);
    }

    pub(crate) fn tick_membership(&mut self) {
        let now = self.now.ms;
        let quarter = self.settings.lease_ms() / 4;
        match self.member.permit {
            None if !self.member.leasing && now >= self.member.retry_at => {
                self.member.leasing = true;
                let body = json!({ "ttlMs": self.settings.lease_ms() }).to_string();
                self.state_reads.force(now, 1.0);
                self.call(
                    Target::State,
                    Method::Post,
                    "/leases",
                    body,
                    quarter,
                    Purpose::LeaseNew { sent: now },
                );
            }
            Some(permit) if !self.member.extending && now >= self.member.extended_at + quarter => {
                self.member.extending = true;
                self.member.extended_at = now;
                self.state_reads.force(now, 1.0);
                self.call(
                    Target::State,
                    Method::Post,
                    format!("/leases/{permit}/extend"),
                    "{}".into(),
                    quarter,
                    Purpose::LeaseExtend { sent: now, permit },
                );
            }
            _ => {}
        }
        if !self.member.listed && !self.member.listing && now >= self.member.retry_at {
            self.list(String::new(), 0);
        }
        if self.member.listed && !self.member.watching && now >= self.member.retry_at {
            self.watch();
        }
        self.log_lapse();
        self.write_member();
        self.seek_leadership();
        self.lead_epoch();
        self.tick_failure_detection();
        self.say_hello();
    }
}
