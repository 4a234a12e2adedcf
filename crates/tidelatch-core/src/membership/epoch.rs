//! The epoch: who owns each partition, as the leader decides and stores it.

use super::records::{EPOCH_KEY, EpochRecord, LeaderRecord, MemberRecord, PartitionOwner};
use crate::calls::Purpose;
use crate::controller::Controller;
use crate::ids::{ControllerId, Epoch, Incarnation, Stamp};
use crate::messages::Level;
use crate::settings::SHARED_MACHINES_LEVEL;
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// The earlier owners that a partition's new owner waits for: a live one, and those that it was itself still waiting
/// for, must be heard from (or be gone) before the new one acts.
fn predecessors(
    before: Option<&PartitionOwner>,
    members: &BTreeMap<ControllerId, MemberRecord>,
    (owner, inc): (&ControllerId, Incarnation),
) -> Vec<LeaderRecord> {
    let mut wait = Vec::new();
    if let Some(h) = before {
        wait.extend(h.wait.iter().cloned());
        wait.push(LeaderRecord {
            name: h.owner.clone(),
            inc: h.inc,
        });
    }
    wait.retain(|w| members.get(&w.name).is_some_and(|m| m.inc == w.inc));
    wait.retain(|w| w.name != *owner || w.inc != inc);
    wait
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
                let wait = predecessors(before, members, (&owner, inc));
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
    pub(crate) fn epoch(&self) -> Option<Epoch> {
        self.member.epoch.as_ref().map(|(e, _)| e.n)
    }

    pub(crate) fn epoch_condition(&self) -> Value {
        let stamp = self.member.epoch.as_ref().map_or(Stamp(0), |(_, s)| *s);
        json!({ "k": EPOCH_KEY, "stamp": stamp })
    }

    pub(super) fn lead_epoch(&mut self) {
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
