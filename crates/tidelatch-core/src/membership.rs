//! Cluster membership: the controller's lease, the epoch, the leader, and the owner of each partition.
//!
//! All shared keys in the state service have the prefix `t/`, and each controller follows them with one
//! watch. The watch delivers changes in the order of their revisions, so a controller that has seen an
//! epoch has also seen every job acceptance and every roster entry that was written before it. Each of
//! these writes is conditional on the epoch's revision, so the state service rejects a write that was
//! made under an older epoch.

mod entitlement;
mod epoch;
mod leadership;
mod lease_failures;
mod records;
mod registration;
mod shared_key_listing;
mod shared_keys;
mod tenure;

pub use epoch::next_epoch;
pub use records::{
    BOOT_BATCH_PREFIX, EpochRecord, JOB_PREFIX, LeaderRecord, MemberRecord, PartitionOwner, ROSTER_PREFIX,
    SHARED_PREFIX, STEP_PREFIX, TYPES_KEY,
};
pub(crate) use tenure::{Stage, Tenure};

use crate::calls::CallPurpose;
use crate::controller::Controller;
use crate::ids::{ControllerId, Incarnation, Revision};
use crate::messages::{Method, Target};
use lease_failures::LeaseFailures;
use serde_json::{Value, json};
use shared_key_listing::SharedKeyListing;
use std::collections::{BTreeMap, BTreeSet};

/// A peer's promise not to change the membership until the grant expires.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Grant {
    /// When the grant expires, on this controller's monotonic clock.
    valid_until_ms: u64,
    /// The peer that gave the grant has not read the state service since it started.
    granter_has_not_read_state: bool,
}

/// What this controller knows about a peer from its heartbeats.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PeerStatus {
    /// When the peer's last heartbeat or answer arrived, in milliseconds.
    pub(crate) last_heard_ms: Option<u64>,
    /// The last heartbeat to the peer was answered.
    pub(crate) is_reachable: bool,
    /// The peer was entitled to act when it was last heard from.
    pub(crate) is_entitled: bool,
    /// When the last scheduled heartbeat was sent to the peer, in milliseconds; 0: send one with the next tick.
    pub(crate) last_heartbeat_sent_ms: u64,
    /// A heartbeat to the peer awaits its answer.
    pub(crate) awaits_answer: bool,
    /// The heartbeat that awaits its answer requests a grant.
    pub(crate) awaits_grant: bool,
}

/// This controller's lease and registration, and its view of the other members.
#[derive(Debug)]
pub(crate) struct Membership {
    /// Incarnation of this controller.
    pub(crate) incarnation: Incarnation,
    /// Lease of this controller in the state service, if it has one.
    lease_id: Option<u64>,
    is_requesting_lease: bool,
    is_extending_lease: bool,
    /// When the last extension was sent. After a failure it is set back, so that the next one is sent early.
    last_extension_ms: u64,
    /// When the entitlement by the lease ends; grants of peers may prolong it.
    entitled_by_lease_until_ms: u64,
    /// When the last successful extension, or the lease itself, was requested.
    lease_requested_ms: u64,
    /// Failed lease requests and pauses of this process since then.
    lease_failures: LeaseFailures,
    /// The member record that this controller last sent; `None`: it must be written again.
    written_record: Option<MemberRecord>,
    is_writing_record: bool,
    /// Last known revision of this controller's own key. Writes of the key are conditional on it, so a
    /// delayed duplicate of a write by an earlier incarnation fails.
    own_revision: Revision,
    next_record_write_ms: u64,
    has_listed_keys: bool,
    is_listing_keys: bool,
    /// The listing that is in progress, from its first page on.
    listing: Option<SharedKeyListing>,
    is_watching: bool,
    /// Number of the current watch. Replies to older ones are ignored: an older watch may hang long after
    /// a network partition has ended.
    watch_number: u64,
    /// Failures of the watch since its last success or since the last fallback to a new listing.
    watch_failures: u32,
    /// The last request to extend the lease failed. A failed request for a new lease does not set this.
    has_extension_failed: bool,
    /// The last request to obtain or extend the lease failed: the state service does not serve this controller.
    has_lease_call_failed: bool,
    /// Grants from peers, each a promise not to change the membership.
    received_grants: BTreeMap<ControllerId, Grant>,
    /// When the last grant that this controller has given expires. It neither becomes leader nor raises
    /// the epoch before that.
    given_grants_until_ms: u64,
    /// When the longest grant that an earlier incarnation of this process may have given expires. Until
    /// then this controller becomes leader only if every peer has said that it relies on no grant.
    earlier_grants_until_ms: u64,
    /// Peers whose last heartbeat or answer said that they rely on no grant of this controller.
    peers_relying_on_no_grant: BTreeSet<ControllerId>,
    /// No new lease, listing or watch is requested before this time, after a failed request.
    no_request_before_ms: u64,
    /// Revision of the state service up to which the shared keys are known.
    pub(crate) revision: u64,
    /// When the shared keys were last listed, or their watch last answered.
    pub(crate) shared_keys_current_at_ms: u64,
    pub(crate) members: BTreeMap<ControllerId, MemberRecord>,
    /// The leader record, with the revision of its key.
    pub(crate) leader: Option<(LeaderRecord, Revision)>,
    is_taking_leadership: bool,
    /// The leader record is being written again with the same value.
    is_rewriting_leader: bool,
    /// When this controller last became the leader.
    pub(crate) leader_since_ms: u64,
    /// The epoch record, with the revision of its key.
    pub(crate) epoch: Option<(EpochRecord, Revision)>,
    /// When this controller learned of the epoch, in milliseconds.
    epoch_known_since_ms: u64,
    is_writing_epoch: bool,
    /// After an attempt to become leader or to raise the epoch, the next attempt waits until this time or
    /// until the watch has reached this revision. Without the wait, a controller whose watch hangs would
    /// use up its budget of writes. Time in milliseconds, and revision.
    next_membership_change: (u64, u64),
    pub(crate) peers: BTreeMap<ControllerId, PeerStatus>,
    /// This controller has held a lease at some time since the process started.
    has_been_entitled: bool,
}

impl Membership {
    /// Whether the members' keys have been read since this process started.
    pub(crate) fn has_read_members(&self) -> bool {
        self.has_listed_keys && self.shared_keys_current_at_ms > 0
    }

    /// When the last grant that this controller has given expires.
    pub(crate) fn given_grants_until_ms(&self) -> u64 {
        self.given_grants_until_ms
    }

    /// Creates the state of a controller that has just started.
    pub(crate) fn new(incarnation: Incarnation, earlier_grants_until_ms: u64) -> Self {
        Self {
            incarnation,
            lease_id: None,
            is_requesting_lease: false,
            is_extending_lease: false,
            last_extension_ms: 0,
            entitled_by_lease_until_ms: 0,
            lease_requested_ms: 0,
            lease_failures: LeaseFailures::default(),
            written_record: None,
            is_writing_record: false,
            own_revision: Revision(0),
            next_record_write_ms: 0,
            has_listed_keys: false,
            is_listing_keys: false,
            listing: None,
            is_watching: false,
            watch_number: 0,
            watch_failures: 0,
            has_extension_failed: false,
            has_lease_call_failed: false,
            received_grants: BTreeMap::new(),
            given_grants_until_ms: 0,
            earlier_grants_until_ms,
            peers_relying_on_no_grant: BTreeSet::new(),
            no_request_before_ms: 0,
            revision: 0,
            shared_keys_current_at_ms: 0,
            members: BTreeMap::new(),
            leader: None,
            is_taking_leadership: false,
            is_rewriting_leader: false,
            leader_since_ms: 0,
            epoch: None,
            epoch_known_since_ms: 0,
            is_writing_epoch: false,
            next_membership_change: (0, 0),
            peers: BTreeMap::new(),
            has_been_entitled: false,
        }
    }
}

impl Controller {
    /// Sends a transaction to the state service. It counts as one request and, for each change, as one write
    /// against the rate limits, and is sent even if these are used up.
    pub(crate) fn txn(&mut self, conditions: Vec<Value>, changes: Vec<Value>, purpose: CallPurpose) {
        self.state_requests.take_unconditionally(self.now.ms, 1.0);
        self.state_writes
            .take_unconditionally(self.now.ms, changes.len() as f64);
        let timeout = self.settings.lease_ms() / 4;
        let body = json!({ "if": conditions, "then": changes }).to_string();
        self.send_call(Target::State, Method::Post, "/txn", body, timeout, purpose);
    }

    /// Obtains or extends the lease, follows the shared keys, and advances registration, leadership and heartbeats.
    pub(crate) fn tick_membership(&mut self) {
        let now = self.now.ms;
        let quarter_lease_ms = self.settings.lease_ms() / 4;
        match self.membership.lease_id {
            None if !self.membership.is_requesting_lease && now >= self.membership.no_request_before_ms => {
                self.membership.is_requesting_lease = true;
                let body = json!({ "ttlMs": self.settings.lease_ms() }).to_string();
                self.state_requests.take_unconditionally(now, 1.0);
                self.send_call(
                    Target::State,
                    Method::Post,
                    "/leases",
                    body,
                    quarter_lease_ms,
                    CallPurpose::NewLease { sent: now },
                );
            }
            Some(lease_id)
                if !self.membership.is_extending_lease
                    && now >= self.membership.last_extension_ms + quarter_lease_ms =>
            {
                self.membership.is_extending_lease = true;
                self.membership.last_extension_ms = now;
                self.state_requests.take_unconditionally(now, 1.0);
                self.send_call(
                    Target::State,
                    Method::Post,
                    format!("/leases/{lease_id}/extend"),
                    "{}".into(),
                    quarter_lease_ms,
                    CallPurpose::ExtendLease { sent: now, lease_id },
                );
            }
            _ => {}
        }
        if !self.membership.has_listed_keys
            && !self.membership.is_listing_keys
            && now >= self.membership.no_request_before_ms
        {
            self.list_shared_keys(String::new());
        }
        if self.membership.has_listed_keys
            && !self.membership.is_watching
            && now >= self.membership.no_request_before_ms
        {
            self.watch_shared_keys();
        }
        self.log_entitlement_loss();
        self.write_member_record();
        self.take_leadership();
        self.raise_epoch();
        self.tick_failure_detection();
        self.send_due_heartbeats();
    }
}
