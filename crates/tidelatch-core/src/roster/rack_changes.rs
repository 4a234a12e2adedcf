//! Changes of racks: machines that are gone or go to other partitions, and racks that are split.

use super::racks::Rack;
use super::records::{RackRecord, entry_bytes};
use crate::calls::Purpose;
use crate::controller::Controller;
use crate::ids::{MachineId, Partition, Stamp};
use crate::jobs::bytes_of;
use crate::membership::{ROSTER_PREFIX, STEP_PREFIX};
use crate::messages::Level;
use crate::picture::Machine;
use crate::protocol::TxnAnswer;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// A partition that machines go to, and the partitions whose tasks may still be on them.
type Destination = (Partition, BTreeSet<Partition>);

/// A rack's machines by where they are to stand.
struct Division {
    /// Those that stay in the rack's partition.
    staying: RackRecord,
    /// Those that go elsewhere.
    moving: BTreeMap<Destination, RackRecord>,
}

/// The values of one change of a rack.
struct RackChange {
    /// New racks, by name.
    created: Vec<(String, RackRecord)>,
    /// What is left in the rack itself; none if it stays as it is, because it is taken apart in steps.
    rest: Option<RackRecord>,
    /// Machines go to other partitions.
    hands_over: bool,
}

/// A rack's machines in as many racks as hold them.
fn split(rack: &RackRecord, fill: usize) -> Vec<RackRecord> {
    let empty = rack.without_machines();
    let base = bytes_of(&empty);
    let mut pieces: Vec<(usize, RackRecord)> = Vec::new();
    for (id, seen) in &rack.m {
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

/// The name of a new rack. A machine stands in one rack of a revision, so its name makes one that nobody
/// has used.
fn new_name(rack: &str, stamp: Stamp, record: &RackRecord, word: &str) -> String {
    let first = record.m.keys().next().map_or(rack, MachineId::as_str);
    format!("{first}.{stamp}.{word}")
}

/// The store's key of a rack.
fn rack_key(name: &str) -> String {
    format!("{ROSTER_PREFIX}{name}")
}

impl Controller {
    /// Writes a rack without the machines that are gone or go elsewhere.
    pub(super) fn send_rack(&mut self, name: &str) {
        if !self.may_send_rack(name) {
            return;
        }
        let Some(rack) = self.roster.racks.get(name) else {
            return;
        };
        if self.acting(rack.record.part).is_none() {
            return;
        }
        let (stamp, step) = (rack.stamp, rack.step);
        let division = self.divide_rack(name, rack);
        let staying = &division.staying;
        if staying.m.len() == rack.record.m.len() && staying.also_holds == rack.record.also_holds {
            self.roster.due.remove(name);
            return;
        }
        let change = self.plan_rack_change(name, stamp, division);
        let reserve = if change.hands_over { 0.1 } else { 0.3 };
        if !self.state_writes.take(self.now.ms, 0.0, reserve) {
            return;
        }
        self.roster.due.remove(name);
        self.send_rack_change(name, stamp, step, change);
    }

    /// Whether no earlier change of a rack is unclear. Once the watch has told what has become of a refused
    /// one, the hand-overs in it are off.
    fn may_send_rack(&mut self, name: &str) -> bool {
        let ledger = self.member.ledger;
        let Some(rack) = self.roster.racks.get_mut(name) else {
            self.roster.due.remove(name);
            return false;
        };
        if rack.sending {
            return false;
        }
        let Some(at) = rack.settles_at else {
            return true;
        };
        if ledger < at {
            return false;
        }
        rack.settles_at = None;
        for id in rack.record.m.keys() {
            if let Some(m) = self.machines.get_mut(id).filter(|m| m.rack == name) {
                m.moving = None;
            }
        }
        true
    }

    /// Sorts a rack's machines by where they are to stand.
    fn divide_rack(&self, name: &str, rack: &Rack) -> Division {
        let mut division = Division {
            staying: rack.record.clone(),
            moving: BTreeMap::new(),
        };
        let empty = rack.record.without_machines();
        for id in rack.record.m.keys() {
            let machine = self.machines.get(id);
            let Some(m) = machine.filter(|m| m.rack == name) else {
                // It has been entered in a later rack, or has left that already: this one was being split.
                let later = |m: &Machine| self.roster.racks.get(&m.rack).is_some_and(|r| r.stamp > rack.stamp);
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
        empty: &RackRecord,
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
        let part = division.moving.entry(target.clone()).or_insert_with(|| RackRecord {
            part: to,
            also_holds: target.1,
            ..empty.clone()
        });
        if part.m.is_empty() || bytes_of(part) + entry_bytes(id, &machine.last()) <= self.fill() {
            part.m.insert(id.clone(), machine.last());
            division.staying.m.remove(id);
        }
    }

    /// Makes one change of what is to be written of a rack.
    ///
    /// A rack of the version before may hold more than a value may hold by now. What is left of it stands
    /// in smaller ones, at once if a change can hold them all. Else some are entered in new racks first,
    /// beside the old one: whoever reads both goes by the later.
    fn plan_rack_change(&mut self, name: &str, stamp: Stamp, division: Division) -> RackChange {
        let Division { staying, moving } = division;
        let mut pieces = split(&staying, self.fill());
        if pieces.len() > 1 && moving.len() + pieces.len() > self.limits.ops {
            self.log(
                Level::Info,
                format!("rack {name} is larger than may be written: taking it apart in steps"),
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
        RackChange {
            created: moved.chain(split_off).collect(),
            rest: Some(rest),
            hands_over,
        }
    }

    /// One step of taking a rack apart: new racks for as many of its machines as a change can hold.
    fn plan_step(&self, name: &str, stamp: Stamp, staying: &RackRecord) -> RackChange {
        let stays = |id: &MachineId| self.machines.get(id).is_none_or(|m| m.moving.is_none());
        let mut kept = staying.clone();
        kept.m.retain(|id, _| stays(id));
        let kept = if kept.m.is_empty() { staying } else { &kept };
        let pieces = split(kept, self.fill()).into_iter().take(self.limits.ops - 1);
        RackChange {
            created: pieces
                .map(|piece| (new_name(name, stamp, &piece, "s"), piece))
                .collect(),
            rest: None,
            hands_over: false,
        }
    }

    /// Sends a change of a rack, on condition that the rack is as it was when the change was planned.
    fn send_rack_change(&mut self, name: &str, stamp: Stamp, step: Stamp, change: RackChange) {
        let in_steps = change.rest.is_none();
        let mut conditions = vec![self.epoch_condition(), json!({ "k": rack_key(name), "stamp": stamp })];
        for (new, _) in &change.created {
            conditions.push(json!({ "k": rack_key(new), "stamp": 0 }));
        }
        // New racks come first, so that whoever follows the changes sees no machine without one.
        let created = change.created.into_iter().map(|(new, record)| (new, Some(record)));
        let mut changes: Vec<(String, Option<RackRecord>)> = created.collect();
        if let Some(rest) = change.rest {
            changes.push((name.to_owned(), Some(rest).filter(|r| !r.m.is_empty())));
        }
        let write = |(name, record): &(String, Option<RackRecord>)| match record {
            Some(record) => json!({ "write": rack_key(name), "value": record }),
            None => json!({ "delete": rack_key(name) }),
        };
        let mut writes: Vec<Value> = changes.iter().map(write).collect();
        let step_key = format!("{STEP_PREFIX}{name}");
        if in_steps {
            // A step leaves the old rack as it is. Without a key that each of them changes, one without an
            // answer could land after later ones, and take machines back from where they have gone since.
            conditions.push(json!({ "k": step_key, "stamp": step }));
            writes.push(json!({ "write": step_key, "value": true }));
        } else if step != Stamp(0) && !self.cloud.stale_keys.contains(&step_key) {
            self.cloud.stale_keys.push(step_key);
        }
        if let Some(rack) = self.roster.racks.get_mut(name) {
            rack.sending = true;
        }
        let rack = name.to_owned();
        self.txn(conditions, writes, Purpose::Rack { rack, stamp, changes });
    }

    pub(crate) fn on_rack(
        &mut self,
        name: String,
        stamp: Stamp,
        changes: Vec<(String, Option<RackRecord>)>,
        result: Option<(u16, Vec<u8>)>,
    ) {
        let answer = |body: &[u8]| serde_json::from_slice::<TxnAnswer>(body).ok();
        if let Some((200, body)) = &result
            && let Some(answer) = answer(body)
        {
            let whole = changes.iter().any(|(key, _)| *key == name);
            for (key, record) in changes {
                let value = record.and_then(|r| serde_json::to_value(r).ok());
                self.apply_rack(&key, value, Stamp(answer.ledger));
            }
            if let Some(rack) = self.roster.racks.get_mut(&name).filter(|_| !whole) {
                // Some of its machines stand elsewhere now: the next step.
                rack.sending = false;
                rack.step = Stamp(answer.ledger);
                self.roster.due.insert(name, self.now.ms);
            }
            return;
        }
        let again = self.now.ms + self.settings.report_ms() / 4;
        let Some(rack) = self.roster.racks.get_mut(&name).filter(|r| r.stamp == stamp) else {
            return;
        };
        rack.sending = false;
        // Refused. If it was an earlier copy that landed, the watch brings that by then. Without a
        // definite answer a copy may still land: the machines stay out of use, and it is sent again.
        if let Some((409, body)) = &result {
            rack.settles_at = Some(answer(body).map_or(0, |t| t.ledger));
        }
        self.roster.due.insert(name, again);
    }
}
