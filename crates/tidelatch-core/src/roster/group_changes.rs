//! Writes of changed machine groups: removal of deleted machines, hand-overs to other partitions, and splits of groups
//! that are too large.

use super::groups::MachineGroup;
use super::records::{GroupRecord, entry_bytes};
use crate::calls::CallPurpose;
use crate::controller::Controller;
use crate::ids::{MachineId, Partition, Revision};
use crate::jobs::bytes_of;
use crate::machine_view::Machine;
use crate::membership::{ROSTER_PREFIX, STEP_PREFIX};
use crate::messages::Level;
use crate::protocol::TxnAnswer;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// The partition that machines are handed over to, and the other partitions whose tasks may still be on them.
type Destination = (Partition, BTreeSet<Partition>);

/// The machines of a machine group, divided by their destination.
struct Division {
    /// Machines that stay in the group's partition.
    staying: GroupRecord,
    /// Machines that are handed over to other partitions.
    moving: BTreeMap<Destination, GroupRecord>,
}

/// The values that one write of a changed machine group stores.
struct GroupChange {
    /// New machine groups, by name.
    created: Vec<(String, GroupRecord)>,
    /// The group's own new value. None if the group keeps its value, because it is being split in steps.
    remaining: Option<GroupRecord>,
    /// Machines are handed over to other partitions.
    has_hand_overs: bool,
}

/// Splits a machine group into groups of at most `max_bytes` each. A group of one machine may be larger.
fn split_group(group: &GroupRecord, max_bytes: usize) -> Vec<GroupRecord> {
    let empty = group.without_machines();
    let empty_bytes = bytes_of(&empty);
    let mut pieces: Vec<(usize, GroupRecord)> = Vec::new();
    for (id, last_report) in &group.machines {
        let added_bytes = entry_bytes(id, last_report);
        match pieces.last_mut().filter(|(bytes, _)| bytes + added_bytes <= max_bytes) {
            Some((bytes, piece)) => {
                *bytes += added_bytes;
                piece.machines.insert(id.clone(), *last_report);
            }
            None => {
                let mut piece = empty.clone();
                piece.machines.insert(id.clone(), *last_report);
                pieces.push((empty_bytes + added_bytes, piece));
            }
        }
    }
    pieces.into_iter().map(|(_, piece)| piece).collect()
}

/// A unique name for a new machine group: its first machine, the revision of the group that it comes from, and a
/// suffix: `s` for a split, the number of the destination for a hand-over. A machine is in only one machine group at a
/// revision, so no other group has this name.
fn new_group_name(group: &str, revision: Revision, record: &GroupRecord, suffix: &str) -> String {
    let first = record.machines.keys().next().map_or(group, MachineId::as_str);
    format!("{first}.{revision}.{suffix}")
}

/// The state service key of a machine group.
fn group_key(name: &str) -> String {
    format!("{ROSTER_PREFIX}{name}")
}

impl Controller {
    /// Writes a machine group without the machines that have been deleted or are handed over.
    pub(super) fn send_group_write(&mut self, name: &str) {
        if !self.is_ready_to_write(name) {
            return;
        }
        let Some(group) = self.roster.groups.get(name) else {
            return;
        };
        if self.active_tenure(group.record.partition).is_none() {
            return;
        }
        let (revision, step_revision) = (group.revision, group.step_revision);
        let division = self.divide_group(name, group);
        let staying = &division.staying;
        if staying.machines.len() == group.record.machines.len() && staying.also_holds == group.record.also_holds {
            self.roster.due_writes.remove(name);
            return;
        }
        let change = self.plan_group_change(name, revision, division);
        // Hand-overs may use more of the write budget than other changes: they leave a tenth of the burst.
        let reserve = if change.has_hand_overs { 0.1 } else { 0.3 };
        if !self.state_writes.try_take(self.now.ms, 0.0, reserve) {
            return;
        }
        self.roster.due_writes.remove(name);
        self.send_group_change(name, revision, step_revision, change);
    }

    /// Whether the outcome of all earlier writes of a machine group is known, so that it can be written again. Once the
    /// watch has reached the revision at which a write was refused, the hand-overs in that write are cancelled.
    fn is_ready_to_write(&mut self, name: &str) -> bool {
        let revision = self.membership.revision;
        let Some(group) = self.roster.groups.get_mut(name) else {
            self.roster.due_writes.remove(name);
            return false;
        };
        if group.write_in_flight {
            return false;
        }
        let Some(refused_at_revision) = group.refused_at_revision else {
            return true;
        };
        if revision < refused_at_revision {
            return false;
        }
        group.refused_at_revision = None;
        for id in group.record.machines.keys() {
            if let Some(m) = self.machines.get_mut(id).filter(|m| m.group == name) {
                m.moving_to = None;
            }
        }
        true
    }

    /// Divides a machine group's machines by destination, leaving out machines that have been deleted.
    fn divide_group(&self, name: &str, group: &MachineGroup) -> Division {
        let mut division = Division {
            staying: group.record.clone(),
            moving: BTreeMap::new(),
        };
        let empty = group.record.without_machines();
        for id in group.record.machines.keys() {
            let machine = self.machines.get(id);
            let Some(m) = machine.filter(|m| m.group == name) else {
                // The machine is in a machine group with a later revision, or has already left that one, because this
                // group was being split.
                let is_in_later_group = |m: &Machine| {
                    self.roster
                        .groups
                        .get(&m.group)
                        .is_some_and(|g| g.revision > group.revision)
                };
                if machine.is_none_or(is_in_later_group) {
                    division.staying.machines.remove(id);
                    division.staying.has_former_machines = true;
                }
                continue;
            };
            if m.is_deleted {
                division.staying.machines.remove(id);
            } else if let Some(to) = m.moving_to {
                self.add_moving_machine(&mut division, &empty, id, m, to);
            }
        }
        division.staying.also_holds = self.partitions_beside_owner(&division.staying);
        division
    }

    /// Adds a machine to those with the same destination. Machines for which a write has no room are left for the next
    /// one.
    fn add_moving_machine(
        &self,
        division: &mut Division,
        empty: &GroupRecord,
        id: &MachineId,
        machine: &Machine,
        to: Partition,
    ) {
        let mut also_holds = self.partitions_on(machine);
        also_holds.remove(&to);
        let destination = (to, also_holds);
        if !division.moving.contains_key(&destination) && division.moving.len() + 1 >= self.write_limits.max_ops {
            return;
        }
        let record = division
            .moving
            .entry(destination.clone())
            .or_insert_with(|| GroupRecord {
                partition: to,
                also_holds: destination.1,
                ..empty.clone()
            });
        if record.machines.is_empty()
            || bytes_of(record) + entry_bytes(id, &machine.last_report_key()) <= self.max_record_bytes()
        {
            record.machines.insert(id.clone(), machine.last_report_key());
            division.staying.machines.remove(id);
            division.staying.has_former_machines = true;
        }
    }

    /// Plans one write for a divided machine group.
    ///
    /// A machine group written by the version without gangs may hold more than a value may hold now. Its remaining
    /// machines are split into smaller groups, in one write if a transaction can hold them all. Otherwise some of them
    /// are written to new machine groups first, while the old group keeps its value: a machine that is in both belongs
    /// to the group with the later revision.
    fn plan_group_change(&mut self, name: &str, revision: Revision, division: Division) -> GroupChange {
        let Division { staying, moving } = division;
        let mut pieces = split_group(&staying, self.max_record_bytes());
        if pieces.len() > 1 && moving.len() + pieces.len() > self.write_limits.max_ops {
            self.log(
                Level::Info,
                format!("machine group {name}: larger than a value may be, splitting it in steps"),
            );
            return self.plan_split_step(name, revision, &staying);
        }
        let mut remaining = if pieces.is_empty() {
            staying.without_machines()
        } else {
            pieces.remove(0)
        };
        remaining.has_former_machines = staying.has_former_machines || !pieces.is_empty();
        let has_hand_overs = !moving.is_empty();
        let moved = moving
            .into_iter()
            .map(|((to, _), record)| (new_group_name(name, revision, &record, &to.to_string()), record));
        let split_off = pieces
            .into_iter()
            .map(|piece| (new_group_name(name, revision, &piece, "s"), piece));
        GroupChange {
            created: moved.chain(split_off).collect(),
            remaining: Some(remaining),
            has_hand_overs,
        }
    }

    /// Plans one step of splitting a machine group: new machine groups for as many of its machines as a transaction can
    /// hold. Machines that are being handed over are left out as long as there are others.
    fn plan_split_step(&self, name: &str, revision: Revision, staying: &GroupRecord) -> GroupChange {
        let is_staying = |id: &MachineId| self.machines.get(id).is_none_or(|m| m.moving_to.is_none());
        let mut not_moving = staying.clone();
        not_moving.machines.retain(|id, _| is_staying(id));
        let to_split = if not_moving.machines.is_empty() {
            staying
        } else {
            &not_moving
        };
        let pieces = split_group(to_split, self.max_record_bytes())
            .into_iter()
            .take(self.write_limits.max_ops - 1);
        GroupChange {
            created: pieces
                .map(|piece| (new_group_name(name, revision, &piece, "s"), piece))
                .collect(),
            remaining: None,
            has_hand_overs: false,
        }
    }

    /// Sends the write of a changed machine group, on condition that the group still has the revision for which the
    /// write was planned and the epoch is current.
    fn send_group_change(&mut self, name: &str, revision: Revision, step_revision: Revision, change: GroupChange) {
        let is_split_step = change.remaining.is_none();
        let mut conditions = vec![
            self.epoch_condition(),
            json!({ "k": group_key(name), "stamp": revision }),
        ];
        for (new_name, _) in &change.created {
            conditions.push(json!({ "k": group_key(new_name), "stamp": 0 }));
        }
        // New machine groups are written first, so that a controller that follows the watch never sees a machine
        // without a group.
        let created = change
            .created
            .into_iter()
            .map(|(new_name, record)| (new_name, Some(record)));
        let mut changes: Vec<(String, Option<GroupRecord>)> = created.collect();
        if let Some(remaining) = change.remaining {
            let is_kept = |r: &GroupRecord| !r.machines.is_empty() || r.has_former_machines;
            changes.push((name.to_owned(), Some(remaining).filter(is_kept)));
        }
        let write = |(name, record): &(String, Option<GroupRecord>)| match record {
            Some(record) => json!({ "write": group_key(name), "value": record }),
            None => json!({ "delete": group_key(name) }),
        };
        let mut writes: Vec<Value> = changes.iter().map(write).collect();
        let step_key = format!("{STEP_PREFIX}{name}");
        if is_split_step {
            // A split step does not change the old machine group. Each step therefore writes the step key, on
            // condition of its revision. Otherwise a step without an answer could be applied after later ones, and
            // put machines back into groups that they have left since.
            conditions.push(json!({ "k": step_key, "stamp": step_revision }));
            writes.push(json!({ "write": step_key, "value": true }));
            self.capacity.stale_keys.retain(|key| *key != step_key);
        }
        if let Some(group) = self.roster.groups.get_mut(name) {
            group.write_in_flight = true;
        }
        let group = name.to_owned();
        self.txn(
            conditions,
            writes,
            CallPurpose::WriteMachineGroup {
                group,
                revision,
                changes,
            },
        );
    }

    /// Handles the answer to the write of a changed machine group.
    pub(crate) fn on_group_written(
        &mut self,
        name: String,
        revision: Revision,
        changes: Vec<(String, Option<GroupRecord>)>,
        result: Option<(u16, Vec<u8>)>,
    ) {
        let answer = |body: &[u8]| serde_json::from_slice::<TxnAnswer>(body).ok();
        if let Some((200, body)) = &result
            && let Some(answer) = answer(body)
        {
            let is_complete = changes.iter().any(|(key, _)| *key == name);
            for (key, record) in changes {
                let value = record.and_then(|r| serde_json::to_value(r).ok());
                self.apply_group(&key, value, Revision(answer.ledger));
            }
            self.remove_departed_machines();
            if let Some(group) = self.roster.groups.get_mut(&name).filter(|_| !is_complete) {
                // Some of its machines are in other groups now: the next step is due.
                group.write_in_flight = false;
                group.step_revision = Revision(answer.ledger);
                self.roster.due_writes.insert(name, self.now.ms);
            }
            return;
        }
        let retry_at = self.now.ms + self.settings.report_ms() / 4;
        let Some(group) = self.roster.groups.get_mut(&name).filter(|g| g.revision == revision) else {
            return;
        };
        group.write_in_flight = false;
        // A refusal (409) may mean that an earlier copy of this write was applied. The watch shows that by the time it
        // reaches the revision of the refusal. Without a definite answer a copy may still be applied: the machines stay
        // out of use, and the write is sent again.
        if let Some((409, body)) = &result {
            group.refused_at_revision = Some(answer(body).map_or(0, |t| t.ledger));
        }
        self.roster.due_writes.insert(name, retry_at);
    }
}
