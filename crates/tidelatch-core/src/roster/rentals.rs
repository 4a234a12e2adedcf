//! Creation of machine groups for machines that the leader has rented or adopted.

use super::records::{GroupRecord, MAX_MACHINES_PER_RECORD, entry_bytes};
use crate::calls::CallPurpose;
use crate::capacity::MachineKind;
use crate::controller::Controller;
use crate::ids::{MachineId, Partition, Revision};
use crate::jobs::bytes_of;
use crate::membership::ROSTER_PREFIX;
use crate::protocol::TxnAnswer;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

/// A machine that was rented or adopted, and is not in the roster yet.
#[derive(Debug, Clone)]
pub(crate) struct RentedMachine {
    pub(crate) machine: MachineId,
    pub(crate) partition: Partition,
    pub(crate) kind: MachineKind,
    /// It reported without being in the roster and was adopted, so its name may have been in the roster before.
    pub(crate) is_adopted: bool,
}

impl Controller {
    /// Writes machine groups for rented machines to the roster. A machine may be used only after that.
    pub(crate) fn send_new_groups(&mut self) {
        if self.roster.new_groups_in_flight || !self.is_leader() {
            return;
        }
        if self.roster.new_groups.is_empty() {
            self.plan_new_groups();
        }
        // The reserve is negative: the write may overdraw the write budget by a fifth of its burst.
        if self.roster.new_groups.is_empty() || !self.state_writes.try_take(self.now.ms, 0.0, -0.2) {
            return;
        }
        let mut conditions = vec![self.leader_condition(), self.epoch_condition()];
        let mut changes = Vec::new();
        for (name, record) in &self.roster.new_groups {
            let key = format!("{ROSTER_PREFIX}{name}");
            conditions.push(json!({ "k": key, "stamp": 0 }));
            changes.push(json!({ "write": key, "value": record }));
        }
        self.roster.new_groups_in_flight = true;
        self.txn(conditions, changes, CallPurpose::WriteNewMachineGroups);
    }

    /// Assigns rented machines to new machine groups, as many as fit in one transaction.
    fn plan_new_groups(&mut self) {
        let (max_groups, max_bytes) = (self.write_limits.max_ops, self.max_record_bytes());
        let wall_ms = self.now.wall_ms;
        let mut groups: Vec<(String, GroupRecord)> = Vec::new();
        let mut bytes: Vec<usize> = Vec::new();
        let revision = self.membership.revision;
        for rented in &self.capacity.pending_registration {
            if self.machines.contains_key(&rented.machine) {
                continue;
            }
            let added_bytes = entry_bytes(&rented.machine, &(0, 0));
            let fits = |((_, group), bytes): (&(String, GroupRecord), &usize)| {
                let kind = (&group.model, &group.zone, group.spot);
                let is_same_kind =
                    group.partition == rented.partition && kind == (&rented.kind.0, &rented.kind.1, rented.kind.2);
                is_same_kind && group.machines.len() < MAX_MACHINES_PER_RECORD && bytes + added_bytes <= max_bytes
            };
            let at = match groups.iter().zip(&bytes).position(fits) {
                Some(at) => at,
                None if groups.len() >= max_groups => continue,
                None => {
                    // A machine is rented only once, so its name is unique as the name of its first machine group.
                    let name = match rented.is_adopted {
                        false => rented.machine.to_string(),
                        true => format!("{}.found.{revision}", rented.machine),
                    };
                    let record = GroupRecord {
                        partition: rented.partition,
                        model: rented.kind.0.clone(),
                        zone: rented.kind.1.clone(),
                        spot: rented.kind.2,
                        rented_at_ms: wall_ms,
                        also_holds: BTreeSet::new(),
                        has_former_machines: false,
                        machines: BTreeMap::new(),
                    };
                    bytes.push(bytes_of(&record));
                    groups.push((name, record));
                    groups.len() - 1
                }
            };
            if let Some(((_, group), bytes)) = groups.get_mut(at).zip(bytes.get_mut(at)) {
                group.machines.insert(rented.machine.clone(), (0, 0));
                *bytes += added_bytes;
            }
        }
        if groups.is_empty() {
            // All of them are in the roster already.
            self.capacity.pending_registration.clear();
        }
        self.roster.new_groups = groups;
    }

    /// Handles the answer to the write of new machine groups.
    pub(crate) fn on_new_groups_written(&mut self, result: Option<(u16, Vec<u8>)>) {
        self.roster.new_groups_in_flight = false;
        let (status, answer) = match result {
            Some((status, body)) => (status, serde_json::from_slice::<TxnAnswer>(&body).unwrap_or_default()),
            None => (0, TxnAnswer::default()),
        };
        if status == 400 {
            // The transaction was too large: smaller groups are planned. A group of one machine cannot become
            // smaller, so its machine is dropped and later returned to the cloud as one that is not in the roster.
            let rejected = std::mem::take(&mut self.roster.new_groups);
            let is_single = rejected.len() <= 1 && rejected.iter().all(|(_, r)| r.machines.len() <= 1);
            let dropped: BTreeSet<&MachineId> = rejected.iter().flat_map(|(_, r)| r.machines.keys()).collect();
            self.capacity
                .pending_registration
                .retain(|r| !is_single || !dropped.contains(&r.machine));
        }
        // An earlier copy of the write was applied if one of the new keys exists already.
        let was_applied_earlier = status == 409 && answer.failed.iter().any(|k| k.starts_with(ROSTER_PREFIX));
        if status == 200 || was_applied_earlier {
            let groups = std::mem::take(&mut self.roster.new_groups);
            let mut registered = BTreeSet::new();
            for (name, record) in groups {
                registered.extend(record.machines.keys().cloned());
                self.capacity
                    .min_digest_revision
                    .insert(record.partition, answer.ledger);
                if status == 200 {
                    self.apply_group(&name, serde_json::to_value(record).ok(), Revision(answer.ledger));
                }
            }
            self.remove_departed_machines();
            self.capacity
                .pending_registration
                .retain(|r| !registered.contains(&r.machine));
            self.send_new_groups();
        }
    }

    /// Drops planned machine groups that have not been sent. Called on a controller that is not the leader.
    pub(crate) fn drop_unsent_groups(&mut self) {
        if !self.roster.new_groups_in_flight {
            self.roster.new_groups.clear();
        }
    }
}
