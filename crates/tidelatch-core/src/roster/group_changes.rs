//! Changes of machine groups: machines that are gone or go to other partitions, and machine groups that are split.

use super::groups::MachineGroup;
use super::records::{GroupRecord, entry_bytes};
use crate::calls::Purpose;
use crate::controller::Controller;
use crate::ids::{MachineId, Partition, Stamp};
use crate::jobs::bytes_of;
use crate::machine_view::Machine;
use crate::membership::{ROSTER_PREFIX, STEP_PREFIX};
use crate::messages::Level;
use crate::protocol::TxnAnswer;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// A partition that machines go to, and the partitions whose tasks may still be on them.
type Destination = (Partition, BTreeSet<Partition>);

/// A machine group's machines by where they are to stand.
struct Division {
    /// Those that stay in the machine group's partition.
    staying: GroupRecord,
    /// Those that go elsewhere.
    moving: BTreeMap<Destination, GroupRecord>,
}

/// The values of one change of a machine group.
struct GroupChange {
    /// New machine groups, by name.
    created: Vec<(String, GroupRecord)>,
    /// What is left in the machine group itself; none if it stays as it is, because it is taken apart in steps.
    rest: Option<GroupRecord>,
    /// Machines go to other partitions.
    hands_over: bool,
}

/// A machine group's machines in as many machine groups as hold them.
fn split(group: &GroupRecord, fill: usize) -> Vec<GroupRecord> {
    let empty = group.without_machines();
    let base = bytes_of(&empty);
    let mut pieces: Vec<(usize, GroupRecord)> = Vec::new();
    for (id, seen) in &group.m {
        let more = entry_bytes(id, seen);
        match pieces.last_mut().filter(|(bytes, _)| bytes + more <= fill) {
            Some((bytes, piece)) => {
                *bytes += more;
                piece.m.insert(id.clone(), *seen);
            }
            None => {
                let mut piece = empty.clone();
                piece.m.insert(id.clone(), *seen);
                pieces.push((base + more, piece));
            }
        }
    }
    pieces.into_iter().map(|(_, piece)| piece).collect()
}

/// The name of a new machine group. A machine stands in one machine group of a revision, so its name makes one that nobody
/// has used.
fn new_name(group: &str, stamp: Stamp, record: &GroupRecord, word: &str) -> String {
    let first = record.m.keys().next().map_or(group, MachineId::as_str);
    format!("{first}.{stamp}.{word}")
}

/// The store's key of a machine group.
fn group_key(name: &str) -> String {
    format!("{ROSTER_PREFIX}{name}")
}

impl Controller {
    /// Writes a machine group without the machines that are gone or go elsewhere.
    pub(super) fn send_group(&mut self, name: &str) {
        if !self.may_send_group(name) {
            return;
        }
        let Some(group) = self.roster.groups.get(name) else {
            return;
        };
        if self.acting(group.record.part).is_none() {
            return;
        }
        let (stamp, step) = (group.stamp, group.step);
        let division = self.divide_group(name, group);
        let staying = &division.staying;
        if staying.m.len() == group.record.m.len() && staying.also_holds == group.record.also_holds {
            self.roster.due.remove(name);
            return;
        }
        let change = self.plan_group_change(name, stamp, division);
        let reserve = if change.hands_over { 0.1 } else { 0.3 };
        if !self.state_writes.take(self.now.ms, 0.0, reserve) {
            return;
        }
        self.roster.due.remove(name);
        self.send_group_change(name, stamp, step, change);
    }

    /// Whether no earlier change of a machine group is unclear. Once the watch has told what has become of a refused
    /// one, the hand-overs in it are off.
    fn may_send_group(&mut self, name: &str) -> bool {
        let ledger = self.member.ledger;
        let Some(group) = self.roster.groups.get_mut(name) else {
            self.roster.due.remove(name);
            return false;
        };
        if group.sending {
            return false;
        }
        let Some(at) = group.settles_at else {
            return true;
        };
        if ledger < at {
            return false;
        }
        group.settles_at = None;
        for id in group.record.m.keys() {
            if let Some(m) = self.machines.get_mut(id).filter(|m| m.group == name) {
                m.moving = None;
            }
        }
        true
    }

    /// Sorts a machine group's machines by where they are to stand.
    fn divide_group(&self, name: &str, group: &MachineGroup) -> Division {
        let mut division = Division {
            staying: group.record.clone(),
            moving: BTreeMap::new(),
        };
        let empty = group.record.without_machines();
        for id in group.record.m.keys() {
            let machine = self.machines.get(id);
            let Some(m) = machine.filter(|m| m.group == name) else {
                // It has been entered in a later machine group, or has left that already: this one was being split.
                let later = |m: &Machine| self.roster.groups.get(&m.group).is_some_and(|r| r.stamp > group.stamp);
                if machine.is_none_or(later) {
                    division.staying.m.remove(id);
                }
                continue;
            };
            if m.gone {
                division.staying.m.remove(id);
            } else if let Some(to) = m.moving {
                self.divide_moving(&mut division, &empty, id, m, to);
            }
        }
        division.staying.also_holds = self.partitions_beside_owner(&division.staying);
        division
    }

    /// Puts a machine with those that go to the same destination. What a change cannot hold goes with the
    /// next one.
    fn divide_moving(
        &self,
        division: &mut Division,
        empty: &GroupRecord,
        id: &MachineId,
        machine: &Machine,
        to: Partition,
    ) {
        let mut also_holds = self.partitions_on(machine);
        also_holds.remove(&to);
        let target = (to, also_holds);
        if !division.moving.contains_key(&target) && division.moving.len() + 1 >= self.limits.ops {
            return;
        }
        let part = division.moving.entry(target.clone()).or_insert_with(|| GroupRecord {
            part: to,
            also_holds: target.1,
            ..empty.clone()
        });
        if part.m.is_empty() || bytes_of(part) + entry_bytes(id, &machine.last()) <= self.fill() {
            part.m.insert(id.clone(), machine.last());
            division.staying.m.remove(id);
        }
    }

    /// Makes one change of what is to be written of a machine group.
    ///
    /// A machine group of the version before may hold more than a value may hold by now. What is left of it stands
    /// in smaller ones, at once if a change can hold them all. Else some are entered in new machine groups first,
    /// beside the old one: whoever reads both goes by the later.
    fn plan_group_change(&mut self, name: &str, stamp: Stamp, division: Division) -> GroupChange {
        let Division { staying, moving } = division;
        let mut pieces = split(&staying, self.fill());
        if pieces.len() > 1 && moving.len() + pieces.len() > self.limits.ops {
            self.log(
                Level::Info,
                format!("machine group {name} is larger than may be written: taking it apart in steps"),
            );
            return self.plan_step(name, stamp, &staying);
        }
        let rest = if pieces.is_empty() {
            staying.without_machines()
        } else {
            pieces.remove(0)
        };
        let hands_over = !moving.is_empty();
        let moved = moving
            .into_iter()
            .map(|((to, _), record)| (new_name(name, stamp, &record, &to.to_string()), record));
        let split_off = pieces
            .into_iter()
            .map(|piece| (new_name(name, stamp, &piece, "s"), piece));
        GroupChange {
            created: moved.chain(split_off).collect(),
            rest: Some(rest),
            hands_over,
        }
    }

    /// One step of taking a machine group apart: new machine groups for as many of its machines as a change can hold.
    fn plan_step(&self, name: &str, stamp: Stamp, staying: &GroupRecord) -> GroupChange {
        let stays = |id: &MachineId| self.machines.get(id).is_none_or(|m| m.moving.is_none());
        let mut kept = staying.clone();
        kept.m.retain(|id, _| stays(id));
        let kept = if kept.m.is_empty() { staying } else { &kept };
        let pieces = split(kept, self.fill()).into_iter().take(self.limits.ops - 1);
        GroupChange {
            created: pieces
                .map(|piece| (new_name(name, stamp, &piece, "s"), piece))
                .collect(),
            rest: None,
            hands_over: false,
        }
    }

    /// Sends a change of a machine group, on condition that the machine group is as it was when the change was planned.
    fn send_group_change(&mut self, name: &str, stamp: Stamp, step: Stamp, change: GroupChange) {
        let in_steps = change.rest.is_none();
        let mut conditions = vec![self.epoch_condition(), json!({ "k": group_key(name), "stamp": stamp })];
        for (new, _) in &change.created {
            conditions.push(json!({ "k": group_key(new), "stamp": 0 }));
        }
        // New machine groups come first, so that whoever follows the changes sees no machine without one.
        let created = change.created.into_iter().map(|(new, record)| (new, Some(record)));
        let mut changes: Vec<(String, Option<GroupRecord>)> = created.collect();
        if let Some(rest) = change.rest {
            changes.push((name.to_owned(), Some(rest).filter(|r| !r.m.is_empty())));
        }
        let write = |(name, record): &(String, Option<GroupRecord>)| match record {
            Some(record) => json!({ "write": group_key(name), "value": record }),
            None => json!({ "delete": group_key(name) }),
        };
        let mut writes: Vec<Value> = changes.iter().map(write).collect();
        let step_key = format!("{STEP_PREFIX}{name}");
        if in_steps {
            // A step leaves the old machine group as it is. Without a key that each of them changes, one without an
            // answer could land after later ones, and take machines back from where they have gone since.
            conditions.push(json!({ "k": step_key, "stamp": step }));
            writes.push(json!({ "write": step_key, "value": true }));
        } else if step != Stamp(0) && !self.cloud.stale_keys.contains(&step_key) {
            self.cloud.stale_keys.push(step_key);
        }
        if let Some(group) = self.roster.groups.get_mut(name) {
            group.sending = true;
        }
        let group = name.to_owned();
        self.txn(conditions, writes, Purpose::MachineGroup { group, stamp, changes });
    }

    pub(crate) fn on_group(
        &mut self,
        name: String,
        stamp: Stamp,
        changes: Vec<(String, Option<GroupRecord>)>,
        result: Option<(u16, Vec<u8>)>,
    ) {
        let answer = |body: &[u8]| serde_json::from_slice::<TxnAnswer>(body).ok();
        if let Some((200, body)) = &result
            && let Some(answer) = answer(body)
        {
            let whole = changes.iter().any(|(key, _)| *key == name);
            for (key, record) in changes {
                let value = record.and_then(|r| serde_json::to_value(r).ok());
                self.apply_group(&key, value, Stamp(answer.ledger));
            }
            if let Some(group) = self.roster.groups.get_mut(&name).filter(|_| !whole) {
                // Some of its machines stand elsewhere now: the next step.
                group.sending = false;
                group.step = Stamp(answer.ledger);
                self.roster.due.insert(name, self.now.ms);
            }
            return;
        }
        let again = self.now.ms + self.settings.report_ms() / 4;
        let Some(group) = self.roster.groups.get_mut(&name).filter(|r| r.stamp == stamp) else {
            return;
        };
        group.sending = false;
        // Refused. If it was an earlier copy that landed, the watch brings that by then. Without a
        // definite answer a copy may still land: the machines stay out of use, and it is sent again.
        if let Some((409, body)) = &result {
            group.settles_at = Some(answer(body).map_or(0, |t| t.ledger));
        }
        self.roster.due.insert(name, again);
    }
}
