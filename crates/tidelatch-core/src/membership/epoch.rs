//! The epoch: the leader assigns an owner to each partition and stores the assignment.

use super::records::{EPOCH_KEY, EpochRecord, LeaderRecord, MemberRecord, PartitionOwner};
use crate::calls::CallPurpose;
use crate::controller::Controller;
use crate::ids::{ControllerId, Epoch, Incarnation, Revision};
use crate::messages::Level;
use crate::settings::SHARED_MACHINES_LEVEL;
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Age of the epoch, in worker leases, from which the leader raises it to let machines forget ended attempts.
const MIN_EPOCH_AGE_LEASES: u64 = 10;

/// The earlier owners that a partition's new owner must wait for: the previous owner, and those that the previous
/// owner was still waiting for, as far as they are members. Each must acknowledge the new epoch or lose its
/// membership before the new owner acts.
fn owners_to_wait_for(
    previous_owner: Option<&PartitionOwner>,
    members: &BTreeMap<ControllerId, MemberRecord>,
    (owner, incarnation): (&ControllerId, Incarnation),
) -> Vec<LeaderRecord> {
    let mut wait = Vec::new();
    if let Some(previous) = previous_owner {
        wait.extend(previous.wait_for.iter().cloned());
        wait.push(LeaderRecord {
            name: previous.owner.clone(),
            incarnation: previous.incarnation,
        });
    }
    wait.retain(|w| members.get(&w.name).is_some_and(|m| m.incarnation == w.incarnation));
    wait.retain(|w| w.name != *owner || w.incarnation != incarnation);
    wait
}

/// Computes the next epoch. `names` are the controllers of the deployment; the one at a partition's index is the
/// partition's home controller. Each partition goes to its home controller if that is a member, else stays with its
/// present owner if that is a member, else goes to the member with the fewest partitions. `None`: no owner changes.
pub fn next_epoch(
    names: &[String],
    members: &BTreeMap<ControllerId, MemberRecord>,
    old: Option<&EpochRecord>,
    partitions: u32,
) -> Option<EpochRecord> {
    if members.is_empty() {
        return None;
    }
    let n = Epoch(old.map_or(0, |e| e.number.0) + 1);
    let mut load: BTreeMap<&str, usize> = BTreeMap::new();
    let mut owners: Vec<Option<String>> = Vec::new();
    for p in 0..partitions as usize {
        let home = names
            .get(p)
            .filter(|name| members.contains_key(&ControllerId::new(name.as_str())));
        let current = old
            .and_then(|e| e.partitions.get(p))
            .filter(|p| members.get(&p.owner).is_some_and(|m| m.incarnation == p.incarnation))
            .and_then(|p| names.iter().find(|name| name.as_str() == p.owner.as_str()));
        let owner = home.or(current);
        if let Some(name) = owner {
            *load.entry(name.as_str()).or_default() += 1;
        }
        owners.push(owner.cloned());
    }
    let mut assignments = Vec::new();
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
        let incarnation = members.get(&owner)?.incarnation;
        let previous_owner = old.and_then(|e| e.partitions.get(p));
        match previous_owner {
            Some(previous) if previous.owner == owner && previous.incarnation == incarnation => {
                assignments.push(previous.clone())
            }
            _ => {
                changed = true;
                let wait_for = owners_to_wait_for(previous_owner, members, (&owner, incarnation));
                assignments.push(PartitionOwner {
                    owner,
                    incarnation,
                    since_epoch: n,
                    wait_for,
                });
            }
        }
    }
    changed.then_some(EpochRecord {
        number: n,
        partitions: assignments,
    })
}

impl Controller {
    /// The latest known epoch.
    pub(crate) fn epoch(&self) -> Option<Epoch> {
        self.membership.epoch.as_ref().map(|(e, _)| e.number)
    }

    /// The transaction condition that the stored epoch is still the one that this controller knows.
    pub(crate) fn epoch_condition(&self) -> Value {
        let revision = self.membership.epoch.as_ref().map_or(Revision(0), |(_, s)| *s);
        json!({ "k": EPOCH_KEY, "stamp": revision })
    }

    /// As the leader, raises the epoch if the members require other partition owners.
    pub(super) fn raise_epoch(&mut self) {
        if !self.is_leader()
            || self.membership.is_writing_epoch
            || !self.membership.is_watching
            || !self.may_change_membership()
        {
            return;
        }
        let names = self.settings.names();
        // When the cluster starts for the first time, the leader waits a quarter of the lease for the others to join.
        let is_first_epoch = self.membership.epoch.is_none();
        let has_waited = self.now.ms.saturating_sub(self.membership.leader_since_ms) >= self.settings.lease_ms() / 4;
        if is_first_epoch && !has_waited && self.membership.members.len() < names.len() {
            return;
        }
        let old = self.membership.epoch.as_ref().map(|(e, _)| e);
        let members = self.members_for_partitions();
        if let Some(next) = next_epoch(&names, &members, old, self.settings.partitions()) {
            self.write_epoch(next, "membership changed");
        } else if let Some(old) = old
            && self.is_newer_epoch_due()
        {
            let next = EpochRecord {
                number: Epoch(old.number.0 + 1),
                partitions: old.partitions.clone(),
            };
            self.write_epoch(next, "machines list many attempts");
        }
    }

    /// Writes a new epoch, as the leader. `reason` names the reason in the log.
    fn write_epoch(&mut self, next: EpochRecord, reason: &str) {
        self.membership.is_writing_epoch = true;
        let conditions = vec![self.leader_condition(), self.epoch_condition()];
        let change = json!({ "write": EPOCH_KEY, "value": next });
        self.log(Level::Info, format!("{reason}: raising the epoch to {}", next.number));
        self.txn(conditions, vec![change], CallPurpose::EpochWrite);
    }

    /// Whether an owner of a partition needs a newer epoch with the same owners, and the present one is old enough.
    /// Each change of the epoch makes the state service refuse the writes that are in flight, which are then repeated.
    fn is_newer_epoch_due(&self) -> bool {
        let min_age_ms = MIN_EPOCH_AGE_LEASES * self.settings.worker_lease_ms();
        let age_ms = self.now.ms.saturating_sub(self.membership.epoch_known_since_ms);
        age_ms >= min_age_ms && self.any_partition_needs_newer_epoch()
    }

    /// The members that may own partitions. While a machine may hold tasks of a partition that does not own the
    /// machine, these are only the members whose version supports such machines: others would start those tasks a
    /// second time.
    pub(crate) fn members_for_partitions(&self) -> BTreeMap<ControllerId, MemberRecord> {
        let mut members = self.membership.members.clone();
        if self.has_shared_machines() {
            members.retain(|_, member| member.feature_level >= SHARED_MACHINES_LEVEL);
        }
        members
    }

    /// Handles the reply to the write of a new epoch.
    pub(crate) fn on_epoch_write(&mut self, result: Option<(u16, Vec<u8>)>) {
        self.membership.is_writing_epoch = false;
        self.await_change_outcome(&result);
        if let Some((status, _)) = result
            && status != 200
        {
            self.log(Level::Debug, format!("write of the new epoch failed: status {status}"));
        }
    }
}
