//! Deletion of machine groups that have become empty.
//!
//! The leader creates a machine group on condition that its key does not exist, that the leader record has not changed,
//! and that the epoch is current. If machines have left a group for others, a copy of that write would take them back.
//! The key of such a group is therefore kept without machines until the leader record or the epoch has changed: after
//! that no copy of the write can be carried out.

use super::groups::MachineGroup;
use crate::controller::Controller;
use crate::ids::Revision;
use crate::membership::ROSTER_PREFIX;

/// Number of empty machine groups from which the leader rewrites its record, so that they can be deleted.
const MAX_EMPTY_GROUPS: usize = 64;

impl Controller {
    /// Marks empty machine groups for deletion that cannot be created again.
    pub(super) fn mark_stale_groups(&mut self) {
        let fenced_up_to = self.latest_leader_or_epoch_change();
        let is_empty = |(_, group): &(&String, &MachineGroup)| group.record.machines.is_empty();
        let empty = self.roster.groups.iter().filter(is_empty);
        let (stale, kept): (Vec<_>, Vec<_>) = empty.partition(|(_, group)| group.revision < fenced_up_to);
        let kept_count = kept.len();
        let keys: Vec<String> = stale.iter().map(|(name, _)| format!("{ROSTER_PREFIX}{name}")).collect();
        self.delete_later(keys);
        if kept_count >= MAX_EMPTY_GROUPS {
            self.rewrite_leader_record();
        }
    }

    /// The later of the revisions of the leader record and of the epoch.
    fn latest_leader_or_epoch_change(&self) -> Revision {
        let leader = self.membership.leader.as_ref().map(|(_, revision)| *revision);
        let epoch = self.membership.epoch.as_ref().map(|(_, revision)| *revision);
        leader.max(epoch).unwrap_or(Revision(0))
    }
}
