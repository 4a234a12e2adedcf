//! This controller's view of the machine groups: their stored values, and which of them have to be written.

use super::records::GroupRecord;
use crate::controller::Controller;
use crate::ids::{MachineId, Partition, Revision};
use crate::machine_view::Machine;
use crate::membership::STEP_PREFIX;
use crate::messages::Level;
use serde_json::Value;

/// A machine group as known to this controller.
#[derive(Debug, Clone)]
pub(super) struct MachineGroup {
    /// Revision of its stored value.
    pub(super) revision: Revision,
    pub(super) record: GroupRecord,
    /// A write of it is in flight.
    pub(super) write_in_flight: bool,
    /// Revision of the key that each step of splitting it writes; 0: it is not being split in steps.
    pub(super) step_revision: Revision,
    /// The revision at which a write of it was refused. Once the watch has reached this revision, the reason is known.
    pub(super) refused_at_revision: Option<u64>,
}

impl Controller {
    /// Applies a machine group's new value, or its deletion (`value` is none), as of a revision. A revision that is
    /// not newer than the known one is ignored. Machines that leave the group are removed by
    /// `remove_departed_machines`, once all changes up to a revision have been applied.
    pub(crate) fn apply_group(&mut self, name: &str, value: Option<Value>, revision: Revision) {
        if self.roster.groups.get(name).is_some_and(|g| g.revision >= revision) {
            return;
        }
        let mut record = value.and_then(|v| serde_json::from_value::<GroupRecord>(v).ok());
        if let Some(record) = record.as_mut().filter(|_| !self.settings.features.shared_machines) {
            // The version without shared machines ignores this field.
            record.also_holds.clear();
        }
        let old = self.roster.groups.remove(name);
        if let Some(old) = &old {
            self.mark_stale_step_key(name, old);
            self.note_departed_machines(name, old, record.as_ref());
        }
        let Some(record) = record else {
            self.roster.due_writes.remove(name);
            return;
        };
        for (id, group_report) in &record.machines {
            self.place_machine_in_group(id, name, &record, (revision, *group_report));
        }
        // A write of the group that was in flight has either produced this value or can no longer be applied, because
        // its revision has changed. Changes that are still to be written are applied to this value.
        let has_unwritten_change = |m: &Machine| m.group == name && (m.is_deleted || m.moving_to.is_some());
        if record
            .machines
            .keys()
            .any(|id| self.machines.get(id).is_some_and(has_unwritten_change))
        {
            self.roster.due_writes.entry(name.to_owned()).or_insert(self.now.ms);
        }
        self.roster.groups.insert(
            name.to_owned(),
            MachineGroup {
                revision,
                record,
                write_in_flight: false,
                step_revision: old.as_ref().map_or(Revision(0), |group| group.step_revision),
                refused_at_revision: old
                    .and_then(|group| group.refused_at_revision)
                    .filter(|at| *at > revision.0),
            },
        );
    }

    /// Notes the machines of a machine group that its new value `record` does not list any more.
    fn note_departed_machines(&mut self, name: &str, old: &MachineGroup, record: Option<&GroupRecord>) {
        for id in old.record.machines.keys() {
            let is_kept = record.is_some_and(|r| r.machines.contains_key(id));
            let is_in_group = self.machines.get(id).is_some_and(|m| m.group == name);
            if !is_kept && is_in_group {
                self.roster.departed_machines.insert(id.clone());
            }
        }
    }

    /// Removes machines that have left their machine group for no other one from the view of the machines.
    ///
    /// A machine that is handed over leaves one group and enters another at the same revision, but nothing tells which
    /// of the two is applied first. So this is decided only once all groups up to a revision have been applied.
    pub(crate) fn remove_departed_machines(&mut self) {
        for id in std::mem::take(&mut self.roster.departed_machines) {
            let group = self.machines.get(&id).and_then(|m| self.roster.groups.get(&m.group));
            if !group.is_some_and(|group| group.record.machines.contains_key(&id)) {
                self.remove_machine(&id);
            }
        }
    }

    /// Applies that a machine group lists a machine. The last parameter holds the group's revision, and the machine's last
    /// report when it came into the group.
    fn place_machine_in_group(
        &mut self,
        id: &MachineId,
        name: &str,
        record: &GroupRecord,
        (revision, group_report): (Revision, (u64, u64)),
    ) {
        match self.machines.get(id) {
            Some(m) if m.group == name => self.set_also_holds(id, &record.also_holds),
            // The machine's group was written at a later revision: the machine was handed over after this one.
            Some(m) if self.roster.groups.get(&m.group).is_some_and(|g| g.revision > revision) => {}
            // A machine group that had become too large was split. Nothing else has changed for its machines.
            Some(m) if m.partition == record.partition && m.moving_to.is_none() => {
                if let Some(m) = self.machines.get_mut(id) {
                    m.group = name.to_owned();
                }
                self.set_also_holds(id, &record.also_holds);
            }
            _ => self.add_machine(id, name, record, group_report),
        }
    }

    /// Adds a machine that was not known, or that comes from another partition, to the view of the machines.
    fn add_machine(&mut self, id: &MachineId, group: &str, record: &GroupRecord, group_report: (u64, u64)) {
        let retained_tasks = self.take_retained_tasks(id);
        let kind = if record.spot { " (spot)" } else { "" };
        self.log(
            Level::Debug,
            format!(
                "{id}: added to the roster, {} in zone {}{kind}, partition {}",
                record.model, record.zone, record.partition
            ),
        );
        let entry = self.roster.boot_entries.get(id);
        let last_report = entry.map_or(group_report, |e| e.last_report.max(group_report));
        let addr = entry.map_or(String::new(), |e| e.address.clone());
        let mut machine = Machine::new(group, record, addr, last_report, self.now.ms);
        machine.restore_tasks(retained_tasks);
        self.machines.insert(id.clone(), machine);
    }

    /// Marks the step key of a machine group for deletion, as the owner of the group, after the group has changed. Before
    /// that, a copy of a split step could be carried out without the key.
    fn mark_stale_step_key(&mut self, name: &str, changed: &MachineGroup) {
        if changed.step_revision != Revision(0) && self.active_tenure(changed.record.partition).is_some() {
            self.delete_later(vec![format!("{STEP_PREFIX}{name}")]);
        }
    }

    /// Applies that a machine group's step key was written or deleted at a revision. Without the key the group is not
    /// being split in steps.
    pub(crate) fn apply_split_step(&mut self, name: &str, exists: bool, revision: Revision) {
        if let Some(group) = self.roster.groups.get_mut(name).filter(|g| g.step_revision <= revision) {
            group.step_revision = if exists { revision } else { Revision(0) };
        }
    }

    /// Whether a machine's group was last changed before the epoch was: all its machines were in it then.
    pub(crate) fn is_group_older_than_epoch(&self, id: &MachineId) -> bool {
        let group = self.machines.get(id).and_then(|m| self.roster.groups.get(&m.group));
        let epoch = self.membership.epoch.as_ref().map(|(_, revision)| *revision);
        group.is_some_and(|group| Some(group.revision) < epoch)
    }

    /// Removes a machine that is no longer in the roster from the view of the machines.
    fn remove_machine(&mut self, id: &MachineId) {
        let Some(partition) = self.machines.get(id).map(|m| m.partition) else {
            return;
        };
        self.release_all_attempts(id, "its roster entry is gone");
        self.machines.remove(id);
        // The cloud's list may still show the machine for a while, and a delayed report of it may arrive.
        self.capacity.note_deleted(id.clone(), self.now.ms);
        self.log(Level::Debug, format!("{id}: removed from partition {partition}"));
    }

    /// Schedules a write of a machine's group for `at` (in milliseconds), or earlier if one is due before.
    pub(crate) fn schedule_group_write(&mut self, machine: &MachineId, at: u64) {
        if let Some(group) = self.machines.get(machine).map(|m| m.group.clone()) {
            let due = self.roster.due_writes.entry(group).or_insert(at);
            *due = (*due).min(at);
        }
    }

    /// Hands a machine over to another partition, empty or with the tasks that run on it: schedules the write of its
    /// group.
    pub(crate) fn hand_over(&mut self, id: &MachineId, to: Partition) {
        let is_acting = self
            .machines
            .get(id)
            .is_some_and(|m| self.active_tenure(m.partition).is_some());
        if let Some(m) = self.machines.get_mut(id).filter(|_| is_acting) {
            m.moving_to = Some(to);
            self.schedule_group_write(id, self.now.ms);
        }
    }
}
