//! Who may act: the lease, the epoch, the leader, and which controller owns which partition.
//!
//! All that is shared lies under one prefix, `t/`, and is followed by one watch. Its changes come in
//! the order of their revisions, so that whoever has seen an epoch has seen every acceptance and
//! every roster entry that was written before it. Each such write carries the epoch's revision as a
//! condition: none of an older epoch can land after it.

mod entitlement;
mod lease_trouble;
mod shared;
mod tenure;

pub(crate) use tenure::{Stage, Tenure};

use crate::calls::{Purpose, is_lost_lease};
use crate::controller::Controller;
use crate::ids::{ControllerId, Epoch, Incarnation, Stamp};
use crate::messages::{Level, Method, Target};
use crate::protocol::TxnAnswer;
use crate::settings::SHARED_MACHINES_LEVEL;
use lease_trouble::LeaseTrouble;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// Prefix of all that every controller follows.
pub const SHARED: &str = "t/";
const EPOCH_KEY: &str = "t/c/epoch";
const LEADER_KEY: &str = "t/c/leader";
const MEMBER_PREFIX: &str = "t/c/member/";
/// Key of the machine types as last seen.
pub const TYPES_KEY: &str = "t/y";
/// Prefix of job records.
pub const JOB_PREFIX: &str = "t/j/";
/// Prefix of the roster's machine groups.
pub const ROSTER_PREFIX: &str = "t/m/";
/// Prefix of the keys by which the steps exclude each other in which a machine group is taken apart. The version before
/// gangs passes over them.
pub const STEP_PREFIX: &str = "t/s/";
/// Prefix of the roster's boot batches: machines that have come up.
pub const BOOT_BATCH_PREFIX: &str = "t/u/";

/// A controller's own key, which lives as long as its lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The life of the controller.
    pub inc: Incarnation,
    /// The newest epoch that it has taken note of.
    pub ack: u64,
    /// What its program knows: nothing is stored or asked between controllers that one of them does not
    /// know. Absent: the version before gangs.
    #[serde(default, skip_serializing_if = "is_nothing")]
    pub knows: u32,
}

fn is_nothing(level: &u32) -> bool {
    *level == 0
}

/// The leader's key, which lives as long as its lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Its name.
    pub name: ControllerId,
    /// Its life.
    pub inc: Incarnation,
}

/// Who owns a partition.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionOwner {
    /// The owner.
    pub owner: ControllerId,
    /// Its life.
    pub inc: Incarnation,
    /// The epoch with which it began.
    pub since: Epoch,
    /// Earlier owners that were alive when they lost the partition. The owner does nothing for it
    /// before each of them has acknowledged `since` or its lease has ended.
    #[serde(default)]
    pub wait: Vec<LeaderRecord>,
}

/// The epoch and all holdings under it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochRecord {
    /// The epoch: the fencing token.
    pub n: Epoch,
    /// Holdings, by partition.
    pub parts: Vec<PartitionOwner>,
}

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

/// Chooses owners afresh: each partition goes to its home controller while that lives, else stays
/// where it is, else goes to the live controller with the fewest. `None`: nothing changes.
pub fn next_epoch(
    names: &[String],
    members: &BTreeMap<ControllerId, MemberRecord>,
    old: Option<&EpochRecord>,
    partitions: u32,
) -> Option<EpochRecord> {
    if members.is_empty() {
        return None;
    }
    let n = Epoch(old.map_or(0, |e| e.n.0) + 1);
    let mut load: BTreeMap<&str, usize> = BTreeMap::new();
    let mut owners: Vec<Option<String>> = Vec::new();
    for p in 0..partitions as usize {
        let home = names
            .get(p)
            .filter(|name| members.contains_key(&ControllerId::new(name.as_str())));
        let current = old
            .and_then(|e| e.parts.get(p))
            .filter(|h| members.get(&h.owner).is_some_and(|m| m.inc == h.inc))
            .and_then(|h| names.iter().find(|name| name.as_str() == h.owner.as_str()));
        let owner = home.or(current);
        if let Some(name) = owner {
            *load.entry(name.as_str()).or_default() += 1;
        }
        owners.push(owner.cloned());
    }
    let mut parts = Vec::new();
    let mut changed = false;
    for p in 0..partitions as usize {
        let owner = match owners.get(p).cloned().flatten() {
            Some(name) => name,
            None => {
                let name = names
                    .iter()
                    .filter(|name| members.contains_key(&ControllerId::new(name.as_str())))
                    .min_by_key(|name| load.get(name.as_str()).copied().unwrap_or(0))?;
                *load.entry(name.as_str()).or_default() += 1;
                name.clone()
            }
        };
        let owner = ControllerId::new(owner);
        let inc = members.get(&owner)?.inc;
        let before = old.and_then(|e| e.parts.get(p));
        match before {
            Some(h) if h.owner == owner && h.inc == inc => parts.push(h.clone()),
            _ => {
                changed = true;
                // A live earlier owner, and those that it was itself still waiting for, must be
                // heard from (or be gone) before the new one acts.
                let mut wait = Vec::new();
                if let Some(h) = before {
                    wait.extend(h.wait.iter().cloned());
                    wait.push(LeaderRecord {
                        name: h.owner.clone(),
                        inc: h.inc,
                    });
                }
                wait.retain(|w| members.get(&w.name).is_some_and(|m| m.inc == w.inc));
                wait.retain(|w| w.name != owner || w.inc != inc);
                parts.push(PartitionOwner {
                    owner,
                    inc,
                    since: n,
                    wait,
                });
            }
        }
    }
    changed.then_some(EpochRecord { n, parts })
}

impl Controller {
    /// Whether this controller's grants, forgotten ones included, let it change the membership.
    fn may_change_membership(&self) -> bool {
        let now = self.now.ms;
        let (until, revision) = self.member.settle;
        if now < until && self.member.ledger < revision {
            return false;
        }
        let siblings = &self.settings.platform.siblings;
        let clear = |name: &str| self.member.cleared.contains(&ControllerId::new(name));
        let fresh = now < self.member.fresh_until && !siblings.iter().all(|s| clear(&s.host_name));
        now >= self.member.grants_given_until && !fresh
    }

    pub(crate) fn epoch(&self) -> Option<Epoch> {
        self.member.epoch.as_ref().map(|(e, _)| e.n)
    }

    pub(crate) fn is_leader(&self) -> bool {
        self.entitled()
            && self
                .member
                .leader
                .as_ref()
                .is_some_and(|(l, _)| l.name == self.me && l.inc == self.member.inc)
    }

    pub(crate) fn epoch_condition(&self) -> Value {
        let stamp = self.member.epoch.as_ref().map_or(Stamp(0), |(_, s)| *s);
        json!({ "k": EPOCH_KEY, "stamp": stamp })
    }

    pub(crate) fn leader_condition(&self) -> Value {
        let stamp = self.member.leader.as_ref().map_or(Stamp(0), |(_, s)| *s);
        json!({ "k": LEADER_KEY, "stamp": stamp })
    }

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

    fn write_member(&mut self) {
        let Some(permit) = self.member.permit else { return };
        if self.member.writing || !self.entitled() || !self.member.listed || self.now.ms < self.member.write_from {
            return;
        }
        let record = MemberRecord {
            inc: self.member.inc,
            ack: self.epoch().map_or(0, |e| e.0),
            knows: self.settings.level(),
        };
        if self.member.written.as_ref() == Some(&record) {
            return;
        }
        self.member.writing = true;
        let key = format!("{MEMBER_PREFIX}{}", self.me);
        let ack = record.ack;
        self.txn(
            vec![json!({ "k": key, "stamp": self.member.own_stamp })],
            vec![json!({ "write": key, "value": record, "permit": permit })],
            Purpose::MemberWrite { ack },
        );
        self.member.written = Some(record);
    }

    pub(crate) fn on_member_write(&mut self, _ack: u64, result: Option<(u16, Vec<u8>)>) {
        self.member.writing = false;
        match result {
            Some((200, body)) => {
                let stamp = serde_json::from_slice::<TxnAnswer>(&body).map_or(0, |a| a.ledger);
                self.member.own_stamp = self.member.own_stamp.max(Stamp(stamp));
            }
            Some((400, body)) if is_lost_lease(&body) => self.lose_lease(),
            _ => {
                // The watch tells what stands there now.
                self.member.written = None;
                self.member.write_from = self.now.ms + self.settings.report_ms() / 16;
            }
        }
    }

    fn seek_leadership(&mut self) {
        let Some(permit) = self.member.permit else { return };
        if self.member.taking || !self.entitled() || !self.member.watching || !self.may_change_membership() {
            return;
        }
        // Whoever leads must itself be a member that the others see.
        if self.member.members.get(&self.me).map(|m| m.inc) != Some(self.member.inc) {
            return;
        }
        let stamp = match &self.member.leader {
            None => Stamp(0),
            // The process that held this key under this name has ended: this one runs in its place.
            Some((l, stamp)) if l.name == self.me && l.inc != self.member.inc => *stamp,
            Some(_) => return,
        };
        self.member.taking = true;
        let record = LeaderRecord {
            name: self.me.clone(),
            inc: self.member.inc,
        };
        self.txn(
            vec![json!({ "k": LEADER_KEY, "stamp": stamp })],
            vec![json!({ "write": LEADER_KEY, "value": record, "permit": permit })],
            Purpose::LeaderTake,
        );
    }

    pub(crate) fn on_leader_take(&mut self, result: Option<(u16, Vec<u8>)>) {
        self.member.taking = false;
        self.settle(&result);
        if let Some((200, _)) = result {
            self.log(Level::Info, "taken the lead");
            self.member.leader_since = self.now.ms;
        }
    }

    /// Waits for the watch to tell what has come of a try, for a quarter of the lease at most.
    fn settle(&mut self, result: &Option<(u16, Vec<u8>)>) {
        let answer = result
            .as_ref()
            .and_then(|(_, body)| serde_json::from_slice::<TxnAnswer>(body).ok());
        let revision = answer.map_or(u64::MAX, |a| a.ledger);
        self.member.settle = (self.now.ms + self.settings.lease_ms() / 4, revision);
    }

    fn lead_epoch(&mut self) {
        if !self.is_leader() || self.member.epoch_writing || !self.member.watching || !self.may_change_membership() {
            return;
        }
        let names = self.settings.names();
        // At the very first start the others get a moment to come up.
        let first = self.member.epoch.is_none();
        let waited = self.now.ms.saturating_sub(self.member.leader_since) >= self.settings.lease_ms() / 4;
        if first && !waited && self.member.members.len() < names.len() {
            return;
        }
        let old = self.member.epoch.as_ref().map(|(e, _)| e);
        let members = self.members_for_partitions();
        let Some(next) = next_epoch(&names, &members, old, self.settings.partitions()) else {
            return;
        };
        self.member.epoch_writing = true;
        let conditions = vec![self.leader_condition(), self.epoch_condition()];
        let change = json!({ "write": EPOCH_KEY, "value": next });
        self.log(
            Level::Info,
            format!("membership changed: raising the epoch to {}", next.n),
        );
        self.txn(conditions, vec![change], Purpose::EpochWrite);
    }

    /// The members that may own partitions: while a machine may hold tasks of a partition that does not own it,
    /// only those that know such machines, for others would start those tasks a second time.
    pub(crate) fn members_for_partitions(&self) -> BTreeMap<ControllerId, MemberRecord> {
        let mut members = self.member.members.clone();
        if self.any_shared_machine() {
            members.retain(|_, member| member.knows >= SHARED_MACHINES_LEVEL);
        }
        members
    }

    pub(crate) fn on_epoch_write(&mut self, result: Option<(u16, Vec<u8>)>) {
        self.member.epoch_writing = false;
        self.settle(&result);
        if let Some((status, _)) = result
            && status != 200
        {
            self.log(Level::Debug, format!("epoch not raised: {status}"));
        }
    }
}
