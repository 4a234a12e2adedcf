//! Machine groups as known here: what the store says of them, and which of them are to be written.

use super::records::GroupRecord;
use crate::controller::Controller;
use crate::ids::{MachineId, Partition, Stamp};
use crate::machine_view::Machine;
use crate::messages::Level;
use serde_json::Value;

/// A machine group as known here.
#[derive(Debug, Clone)]
pub(super) struct MachineGroup {
    pub(super) stamp: Stamp,
    pub(super) record: GroupRecord,
    /// A change of it is under way.
    pub(super) sending: bool,
    /// Revision of the key that each step of taking it apart writes.
    pub(super) step: Stamp,
    /// A change was refused at this revision: once the watch has come so far, it is known why.
    pub(super) settles_at: Option<u64>,
}

impl Controller {
    /// The keys are being listed anew.
    pub(crate) fn roster_listing_begins(&mut self) {
        self.roster.listed.clear();
    }

    /// All keys have been listed as of some revision: machine groups that were not among them are gone.
    pub(crate) fn roster_listed(&mut self, ledger: u64) {
        let listed = std::mem::take(&mut self.roster.listed);
        let gone: Vec<String> = self
            .roster
            .groups
            .iter()
            .filter(|(name, r)| !listed.contains(*name) && r.stamp.0 <= ledger)
            .map(|(name, _)| name.clone())
            .collect();
        for name in gone {
            self.apply_group(&name, None, Stamp(ledger + 1));
        }
    }

    /// A machine group has a new value, or is gone.
    pub(crate) fn apply_group(&mut self, name: &str, value: Option<Value>, stamp: Stamp) {
        self.roster.listed.insert(name.to_owned());
        if self.roster.groups.get(name).is_some_and(|r| r.stamp >= stamp) {
            return;
        }
        let mut record = value.and_then(|v| serde_json::from_value::<GroupRecord>(v).ok());
        if let Some(record) = record.as_mut().filter(|_| !self.settings.features.shared_machines) {
            // The version before shared machines passes over the field.
            record.also_holds.clear();
        }
        let old = self.roster.groups.remove(name);
        let here = |c: &Self, id: &MachineId| c.machines.get(id).is_some_and(|m| m.group == name);
        for id in old.iter().flat_map(|r| r.record.m.keys()) {
            let stays = record.as_ref().is_some_and(|r| r.m.contains_key(id));
            if !stays && here(self, id) {
                self.leave(id);
            }
        }
        let Some(record) = record else {
            self.roster.due.remove(name);
            return;
        };
        for (id, seen) in &record.m {
            match self.machines.get(id) {
                Some(m) if m.group == name => {
                    self.set_also_holds(id, &record.also_holds);
                    continue;
                }
                // Handed over at a later revision than this one.
                Some(m) if self.roster.groups.get(&m.group).is_some_and(|r| r.stamp > stamp) => continue,
                // A machine group that had become too large was split: nothing has changed for its machines.
                Some(m) if m.partition == record.part && m.moving.is_none() => {
                    if let Some(m) = self.machines.get_mut(id) {
                        m.group = name.to_owned();
                    }
                    self.set_also_holds(id, &record.also_holds);
                    continue;
                }
                _ => {}
            }
            self.enter_machine(id, name, &record, *seen);
        }
        // Whatever change of it was under way has landed, or cannot land any more; what is still to be
        // written is sent on top of this value.
        let open = |m: &Machine| m.group == name && (m.gone || m.moving.is_some());
        if record.m.keys().any(|id| self.machines.get(id).is_some_and(open)) {
            self.roster.due.entry(name.to_owned()).or_insert(self.now.ms);
        }
        self.roster.groups.insert(
            name.to_owned(),
            MachineGroup {
                stamp,
                record,
                sending: false,
                step: old.as_ref().map_or(Stamp(0), |r| r.step),
                settles_at: old.and_then(|r| r.settles_at).filter(|at| *at > stamp.0),
            },
        );
    }

    /// Enters a machine that was not known, or comes from another partition, in the view of the machines.
    fn enter_machine(&mut self, id: &MachineId, group: &str, record: &GroupRecord, seen: (u64, u64)) {
        let carried = self.take_carried_tasks(id);
        let kind = if record.spot { " (spot)" } else { "" };
        self.log(
            Level::Debug,
            format!(
                "{id}: {} in {}{kind}, partition {}",
                record.model, record.zone, record.part
            ),
        );
        let batch = self.roster.addresses.get(id);
        let floor = batch.map_or(seen, |b| b.seen.max(seen));
        let addr = batch.map_or(String::new(), |b| b.addr.clone());
        let mut machine = Machine::new(group, record, addr, floor, self.now.ms);
        machine.carry(carried);
        self.machines.insert(id.clone(), machine);
    }

    /// A machine group is being taken apart in steps, or no longer.
    pub(crate) fn apply_step(&mut self, name: &str, stamp: Stamp) {
        if let Some(group) = self.roster.groups.get_mut(name) {
            group.step = stamp;
        }
    }

    /// A machine has left the roster.
    fn leave(&mut self, id: &MachineId) {
        let Some(partition) = self.machines.get(id).map(|m| m.partition) else {
            return;
        };
        self.release_all(id, "its roster entry is gone");
        self.machines.remove(id);
        // The cloud's list still shows it for a while, and a late report may come.
        self.cloud.note_deleted(id.clone(), self.now.ms);
        self.log(Level::Debug, format!("{id} left partition {partition}"));
    }

    /// Marks a machine's machine group as one to be written, from some time on.
    pub(crate) fn group_due(&mut self, machine: &MachineId, at: u64) {
        if let Some(group) = self.machines.get(machine).map(|m| m.group.clone()) {
            let due = self.roster.due.entry(group).or_insert(at);
            *due = (*due).min(at);
        }
    }

    /// Hands a machine to another partition, empty or with the tasks that run on it.
    pub(crate) fn hand_over(&mut self, id: &MachineId, to: Partition) {
        let acting = self
            .machines
            .get(id)
            .is_some_and(|m| self.acting(m.partition).is_some());
        if let Some(m) = self.machines.get_mut(id).filter(|_| acting) {
            m.moving = Some(to);
            self.group_due(id, self.now.ms);
        }
    }
}
