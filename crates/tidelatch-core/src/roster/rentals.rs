//! New machine groups for the machines that the leader has rented.

use super::records::{GroupRecord, SEATS, entry_bytes};
use crate::calls::Purpose;
use crate::capacity::Kind;
use crate::controller::Controller;
use crate::ids::{MachineId, Partition, Stamp};
use crate::jobs::bytes_of;
use crate::membership::ROSTER_PREFIX;
use crate::protocol::TxnAnswer;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

/// Machines of one kind that were rented, and are not in the roster yet.
#[derive(Debug, Clone)]
pub(crate) struct Rented {
    pub(crate) machine: MachineId,
    pub(crate) partition: Partition,
    pub(crate) kind: Kind,
    /// It was found rather than rented: its name may have stood in the roster before.
    pub(crate) found: bool,
}

impl Controller {
    /// Enters rented machines in the roster. Only then may anybody use them.
    pub(crate) fn write_roster(&mut self) {
        if self.roster.creating_sent || !self.is_leader() {
            return;
        }
        if self.roster.creating.is_empty() {
            self.view_groups();
        }
        if self.roster.creating.is_empty() || !self.state_writes.take(self.now.ms, 0.0, -0.2) {
            return;
        }
        let mut conditions = vec![self.leader_condition(), self.epoch_condition()];
        let mut changes = Vec::new();
        for (name, record) in &self.roster.creating {
            let key = format!("{ROSTER_PREFIX}{name}");
            conditions.push(json!({ "k": key, "stamp": 0 }));
            changes.push(json!({ "write": key, "value": record }));
        }
        self.roster.creating_sent = true;
        self.txn(conditions, changes, Purpose::NewGroups);
    }

    /// Puts what was rented into new machine groups, as many as one transaction takes.
    fn view_groups(&mut self) {
        let (room, fill) = (self.limits.ops, self.fill());
        let rented = self.now.wall_ms;
        let mut groups: Vec<(String, GroupRecord)> = Vec::new();
        let mut bytes: Vec<usize> = Vec::new();
        let ledger = self.member.ledger;
        for r in &self.cloud.unlisted {
            if self.machines.contains_key(&r.machine) {
                continue;
            }
            let more = entry_bytes(&r.machine, &(0, 0));
            let fits = |((_, group), bytes): (&(String, GroupRecord), &usize)| {
                let kind = (&group.model, &group.zone, group.spot);
                let same = group.part == r.partition && kind == (&r.kind.0, &r.kind.1, r.kind.2);
                same && group.m.len() < SEATS && bytes + more <= fill
            };
            let at = match groups.iter().zip(&bytes).position(fits) {
                Some(at) => at,
                None if groups.len() >= room => continue,
                None => {
                    // A machine is rented once, so its name makes one for its first machine group.
                    let name = match r.found {
                        false => r.machine.to_string(),
                        true => format!("{}.found.{ledger}", r.machine),
                    };
                    let record = GroupRecord {
                        part: r.partition,
                        model: r.kind.0.clone(),
                        zone: r.kind.1.clone(),
                        spot: r.kind.2,
                        at: rented,
                        also_holds: BTreeSet::new(),
                        m: BTreeMap::new(),
                    };
                    bytes.push(bytes_of(&record));
                    groups.push((name, record));
                    groups.len() - 1
                }
            };
            if let Some(((_, group), bytes)) = groups.get_mut(at).zip(bytes.get_mut(at)) {
                group.m.insert(r.machine.clone(), (0, 0));
                *bytes += more;
            }
        }
        if groups.is_empty() {
            // All of them are in the roster by other ways.
            self.cloud.unlisted.clear();
        }
        self.roster.creating = groups;
    }

    pub(crate) fn on_new_groups(&mut self, result: Option<(u16, Vec<u8>)>) {
        self.roster.creating_sent = false;
        let (status, answer) = match result {
            Some((status, body)) => (status, serde_json::from_slice::<TxnAnswer>(&body).unwrap_or_default()),
            None => (0, TxnAnswer::default()),
        };
        if status == 400 {
            // Too much for one change: drawn anew, smaller. What cannot be cut is left to be returned.
            let creating = std::mem::take(&mut self.roster.creating);
            let single = creating.len() <= 1 && creating.iter().all(|(_, r)| r.m.len() <= 1);
            let dropped: BTreeSet<&MachineId> = creating.iter().flat_map(|(_, r)| r.m.keys()).collect();
            self.cloud.unlisted.retain(|r| !single || !dropped.contains(&r.machine));
        }
        let landed = status == 409 && answer.failed.iter().any(|k| k.starts_with(ROSTER_PREFIX));
        if status == 200 || landed {
            let groups = std::mem::take(&mut self.roster.creating);
            let mut listed = BTreeSet::new();
            for (name, record) in groups {
                listed.extend(record.m.keys().cloned());
                self.cloud.fresh_from.insert(record.part, answer.ledger);
                if status == 200 {
                    self.apply_group(&name, serde_json::to_value(record).ok(), Stamp(answer.ledger));
                }
            }
            self.cloud.unlisted.retain(|r| !listed.contains(&r.machine));
            self.write_roster();
        }
    }

    /// A controller that does not lead has nothing to create.
    pub(crate) fn forget_new_groups(&mut self) {
        if !self.roster.creating_sent {
            self.roster.creating.clear();
        }
    }
}
