//! Attempts that direct commands have started, and that their machines have to keep listing.
//!
//! The network may deliver a direct command again at any time later. While the worker lists the attempt, in whatever
//! state, a repeated start has no effect; once the attempt is forgotten, it would start the task again. Only a newer
//! epoch or a newer session of the worker makes the worker refuse the command. No length of time does.
//!
//! A report has at most 64 KiB, so a machine may keep only so many attempts. Starts beyond that go out with answers to
//! its reports, which workers drop when they are late. Before that, the owner asks the leader for a new epoch
//! ([`Controller::needs_newer_epoch`]), after which the machine may forget them.

use super::Machine;
use crate::controller::Controller;
use crate::ids::{Attempt, Epoch, Partition, TaskId};
use crate::protocol::Report;
use std::collections::{BTreeMap, BTreeSet};

/// Number of kept attempts from which a machine's further starts wait for its reports, except those of production
/// work. At about 75 bytes each they take a quarter of a report.
const MAX_KEPT_ATTEMPTS: usize = 200;
/// The same for starts of production work.
const MAX_KEPT_ATTEMPTS_WITH_PRODUCTION: usize = 250;
/// Number of kept attempts of one machine from which a newer epoch is needed.
const KEPT_ATTEMPTS_PER_MACHINE: usize = MAX_KEPT_ATTEMPTS / 2;
/// Number of kept attempts of all machines of a partition from which a newer epoch is needed: they are sent and read with
/// each report.
const KEPT_ATTEMPTS_PER_PARTITION: usize = 4000;
/// Number of attempts on a machine, ended or not, up to which it is handed over with its tasks: its next owner has to
/// keep all of them. At about 75 bytes each they take half of a report.
const MAX_ATTEMPTS_HANDED_OVER: usize = 400;

/// The attempts that a machine has to keep listing, each with the epoch that its start carried or, for one found at a
/// hand-over, an epoch that its start cannot exceed.
#[derive(Debug, Clone, Default)]
pub(super) struct DirectStarts(BTreeMap<(TaskId, Attempt), Epoch>);

impl DirectStarts {
    /// Records that an attempt is started by a direct command under an epoch.
    pub(super) fn record(&mut self, start: (TaskId, Attempt), epoch: Epoch) {
        self.0.insert(start, epoch);
    }

    /// Records that the direct command for an attempt was not executed and cannot be any more.
    pub(super) fn remove(&mut self, start: &(TaskId, Attempt)) {
        self.0.remove(start);
    }

    /// Applies that the worker has seen an epoch: it refuses commands under older ones.
    pub(super) fn fence(&mut self, seen: Epoch) {
        self.0.retain(|_, epoch| *epoch >= seen);
    }

    /// Applies that the worker has begun a new session: it refuses commands of earlier ones.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }

    /// Whether a repeated command may still start the attempt once it is forgotten.
    pub(super) fn contains(&self, start: &(TaskId, Attempt)) -> bool {
        self.0.contains_key(start)
    }

    /// Whether another attempt may be started by a direct command.
    pub(super) fn has_room(&self, is_production: bool) -> bool {
        let limit = if is_production {
            MAX_KEPT_ATTEMPTS_WITH_PRODUCTION
        } else {
            MAX_KEPT_ATTEMPTS
        };
        self.0.len() < limit
    }
}

impl Machine {
    /// Whether it lists few enough attempts to be handed over with them.
    pub(super) fn lists_few_attempts(&self) -> bool {
        self.held.len() + self.ended.len() <= MAX_ATTEMPTS_HANDED_OVER
    }
}

impl Controller {
    /// Keeps the attempts that the first report in this tenure lists, unless all of them were started under an older
    /// epoch than its worker has seen.
    ///
    /// Another partition's owner may have started them by direct commands before it handed the machine over. It did so
    /// under the epoch that was current at the hand-over, or an older one. A machine group that has not changed since
    /// the epoch was written has received no machines since.
    pub(super) fn keep_starts_of_previous_owner(&mut self, report: &Report, listed: &BTreeSet<(TaskId, Attempt)>) {
        let has_seen_present_epoch = self.epoch().is_some_and(|epoch| report.epoch >= epoch);
        if has_seen_present_epoch && self.is_group_older_than_epoch(&report.machine) {
            return;
        }
        if let Some(m) = self.machines.get_mut(&report.machine) {
            for start in listed {
                m.direct_starts.record(start.clone(), report.epoch);
            }
        }
    }

    /// Whether a partition's machines keep so many attempts that a newer epoch is needed, after which they may forget
    /// those that have ended.
    pub(crate) fn needs_newer_epoch(&self, partition: Partition) -> bool {
        let machines = self.machines.values().filter(|m| m.partition == partition);
        let mut kept_by_all = 0;
        for kept in machines.map(|m| m.direct_starts.0.len()) {
            kept_by_all += kept;
            if kept >= KEPT_ATTEMPTS_PER_MACHINE || kept_by_all >= KEPT_ATTEMPTS_PER_PARTITION {
                return true;
            }
        }
        false
    }
}
