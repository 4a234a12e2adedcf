//! The partitions that this controller owns: taking them over and giving them up.

use super::PartitionOwner;
use crate::calls::CallPurpose;
use crate::controller::Controller;
use crate::failure_detection::RecordsReadAhead;
use crate::ids::{Epoch, JobId, Partition};
use crate::jobs::{BitmapPiece, bits_from_hex};
use crate::messages::{Level, Method, Target};
use crate::protocol::{StoreChanges, StoredItems};
use serde_json::Value;

/// Stage of the takeover of a partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// An earlier owner may still act for the partition.
    Waiting,
    /// The stored bitmaps of completed tasks are being read.
    Loading,
    /// This controller acts for the partition.
    Active,
}

/// One partition that this controller owns or is taking over.
#[derive(Debug)]
pub(crate) struct Tenure {
    /// The epoch in which this controller became the owner.
    pub(crate) since_epoch: Epoch,
    pub(crate) stage: Stage,
    /// When this controller began to act for the partition, in milliseconds.
    pub(crate) active_since_ms: u64,
    /// Number of attempts assigned in this tenure; forms the low bits of each attempt number.
    pub(crate) attempts_assigned: u64,
    /// A read of the stored bitmaps is in progress.
    pub(crate) is_read_pending: bool,
    /// Every machine that may hold tasks started before the takeover has reported in this tenure or is deleted.
    pub(crate) are_machines_accounted_for: bool,
    /// Keys and values of the bitmaps that have been read so far.
    bits: Vec<(String, Value)>,
    /// Records that were read before the takeover, kept until the changes since then have been read.
    read_ahead: Option<RecordsReadAhead>,
}

impl Controller {
    /// Whether this controller acts for a partition at the time `now`, which is at or after its last input.
    pub fn acts_for_partition_at(&self, now: u64, partition: Partition) -> bool {
        let active = |t: &Tenure| t.stage == Stage::Active;
        self.is_entitled_at(now) && self.tenures.get(&partition).is_some_and(active)
    }

    /// The owner of a partition in the latest known epoch.
    pub(crate) fn partition_owner(&self, partition: Partition) -> Option<&PartitionOwner> {
        self.membership.epoch.as_ref()?.0.partitions.get(partition.0 as usize)
    }

    /// The partition's tenure if this controller acts for the partition now.
    pub(crate) fn active_tenure(&self, partition: Partition) -> Option<&Tenure> {
        if !self.is_entitled() {
            return None;
        }
        self.tenures.get(&partition).filter(|t| t.stage == Stage::Active)
    }

    /// The partitions whose takeover by this controller is complete.
    pub(crate) fn active_partitions(&self) -> Vec<Partition> {
        let active = self.tenures.iter().filter(|(_, t)| t.stage == Stage::Active);
        active.map(|(p, _)| *p).collect()
    }

    /// Applies the latest epoch: gives up partitions that this controller no longer owns, and starts the takeover
    /// of those that it owns now.
    pub(super) fn apply_epoch(&mut self) {
        let Some((epoch, _)) = self.membership.epoch.clone() else {
            return;
        };
        let incarnation = self.membership.incarnation;
        for (i, assignment) in epoch.partitions.iter().enumerate() {
            let partition = Partition(i as u32);
            let is_own = assignment.owner == self.own_name && assignment.incarnation == incarnation;
            let owned_since = self.tenures.get(&partition).map(|t| t.since_epoch);
            if !is_own {
                if self.tenures.remove(&partition).is_some() {
                    self.reset_partition(partition);
                    let to = &assignment.owner;
                    self.log(
                        Level::Info,
                        format!("epoch {}: partition {partition} is now owned by {to}", epoch.number),
                    );
                }
            } else if owned_since != Some(assignment.since_epoch) {
                self.log(
                    Level::Info,
                    format!("epoch {}: taking over partition {partition}", epoch.number),
                );
                self.tenures.insert(
                    partition,
                    Tenure {
                        since_epoch: assignment.since_epoch,
                        stage: Stage::Waiting,
                        active_since_ms: 0,
                        attempts_assigned: 0,
                        is_read_pending: false,
                        are_machines_accounted_for: false,
                        bits: Vec::new(),
                        read_ahead: None,
                    },
                );
                self.reset_partition(partition);
            }
        }
        self.drop_superseded_permits();
        self.update_preparations();
    }

    /// Advances each takeover: starts loading once all earlier owners have acknowledged the epoch or are gone.
    pub(crate) fn advance_takeovers(&mut self) {
        let partitions: Vec<Partition> = self.tenures.keys().copied().collect();
        for partition in partitions {
            let Some(assignment) = self.partition_owner(partition).cloned() else {
                continue;
            };
            let Some(tenure) = self.tenures.get(&partition) else {
                continue;
            };
            if tenure.stage == Stage::Waiting {
                let may_load = assignment.wait_for.iter().all(|w| {
                    self.membership.members.get(&w.name).is_none_or(|m| {
                        m.incarnation != w.incarnation || m.acknowledged_epoch >= assignment.since_epoch.0
                    })
                });
                if may_load && let Some(t) = self.tenures.get_mut(&partition) {
                    t.stage = Stage::Loading;
                }
            }
            let needs_loading = self
                .tenures
                .get(&partition)
                .is_some_and(|t| t.stage == Stage::Loading && !t.is_read_pending);
            if needs_loading && self.is_entitled() && self.now.ms >= self.membership.no_request_before_ms {
                self.start_loading_done_bits(partition);
            }
        }
    }

    /// Loads the stored bitmaps of a partition: only the changes since they were read ahead, or else all of them.
    fn start_loading_done_bits(&mut self, partition: Partition) {
        let Some(read_ahead) = self.take_records_read_ahead(partition) else {
            self.load_done_bits(partition, String::new());
            return;
        };
        let Some(t) = self.tenures.get_mut(&partition) else {
            return;
        };
        let since_epoch = t.since_epoch.0;
        let path = format!(
            "/changes?prefix={}&since={}&waitMs=0",
            Self::done_bits_prefix(partition),
            read_ahead.revision
        );
        t.is_read_pending = true;
        t.read_ahead = Some(read_ahead);
        self.state_requests.take_unconditionally(self.now.ms, 1.0);
        let timeout = self.settings.lease_ms() / 4;
        let purpose = CallPurpose::DoneBitsChanges { partition, since_epoch };
        self.send_call(Target::State, Method::Get, path, String::new(), timeout, purpose);
    }

    /// Handles the changes since the bitmaps were read ahead. If the read failed, reads all bitmaps.
    pub(crate) fn on_done_bits_changes(
        &mut self,
        partition: Partition,
        since_epoch: u64,
        result: Option<(u16, Vec<u8>)>,
    ) {
        let Some(t) = self
            .tenures
            .get_mut(&partition)
            .filter(|t| t.since_epoch.0 == since_epoch)
        else {
            return;
        };
        t.is_read_pending = false;
        let changes = match result {
            Some((200, body)) => serde_json::from_slice::<StoreChanges>(&body).ok(),
            _ => None,
        };
        match (t.read_ahead.take(), changes) {
            (Some(read_ahead), Some(changes)) => {
                let bits = read_ahead.apply(changes);
                self.activate_partition(partition, bits);
            }
            _ => self.load_done_bits(partition, String::new()),
        }
    }

    /// Key prefix of a partition's stored bitmaps.
    fn done_bits_prefix(partition: Partition) -> String {
        format!("d/{partition}/")
    }

    /// Path of the request for a page of a partition's stored bitmaps that begins after the key `after`.
    pub(crate) fn done_bits_path(partition: Partition, after: &str) -> String {
        let mut path = format!("/store?prefix={}&most=200", Self::done_bits_prefix(partition));
        if !after.is_empty() {
            path.push_str(&format!("&since={after}"));
        }
        path
    }

    /// Requests a page of a partition's stored bitmaps; an empty cursor requests the first page.
    pub(super) fn load_done_bits(&mut self, partition: Partition, cursor: String) {
        let Some(t) = self.tenures.get_mut(&partition) else {
            return;
        };
        t.is_read_pending = true;
        let since_epoch = t.since_epoch.0;
        if cursor.is_empty() {
            t.bits.clear();
        }
        let path = Self::done_bits_path(partition, &cursor);
        self.state_requests.take_unconditionally(self.now.ms, 1.0);
        let timeout = self.settings.lease_ms() / 4;
        self.send_call(
            Target::State,
            Method::Get,
            path,
            String::new(),
            timeout,
            CallPurpose::DoneBits { partition, since_epoch },
        );
    }

    /// Handles a page of a partition's stored bitmaps.
    pub(crate) fn on_done_bits(&mut self, partition: Partition, since_epoch: u64, result: Option<(u16, Vec<u8>)>) {
        let Some(t) = self
            .tenures
            .get_mut(&partition)
            .filter(|t| t.since_epoch.0 == since_epoch)
        else {
            return;
        };
        t.is_read_pending = false;
        let page = match result {
            Some((200, body)) => serde_json::from_slice::<StoredItems>(&body).ok(),
            _ => None,
        };
        let Some(page) = page else {
            self.back_off();
            return;
        };
        let last = page.items.last().map(|i| i.k.clone());
        t.bits.extend(page.items.into_iter().map(|i| (i.k, i.value)));
        if page.more
            && let Some(last) = last
        {
            self.load_done_bits(partition, last);
            return;
        }
        let bits = std::mem::take(&mut t.bits);
        self.activate_partition(partition, bits);
    }

    /// Restores the jobs' progress from the stored bitmaps; this controller acts for the partition from now on.
    fn activate_partition(&mut self, partition: Partition, bits: Vec<(String, Value)>) {
        let now = self.now.ms;
        let Some(t) = self.tenures.get_mut(&partition) else {
            return;
        };
        t.stage = Stage::Active;
        t.active_since_ms = now;
        let since = t.since_epoch;
        let (chunk_bits, piece_bits) = (self.chunk_bits(), self.piece_bits());
        for (key, value) in bits {
            let mut parts = key.split('/').skip(2);
            let (Some(job), Some(piece)) = (parts.next(), parts.next()) else {
                continue;
            };
            let (Some(job), Some(piece)) = (JobId::parse(job), BitmapPiece::parse(piece)) else {
                continue;
            };
            let Some(hex) = value.as_str() else { continue };
            match self.jobs.get_mut(&job) {
                Some(job) => job.restore_done_bits(piece, &bits_from_hex(hex), chunk_bits, piece_bits),
                None => self.capacity.stale_keys.push(key),
            }
        }
        let (machines, jobs) = (
            self.machines.values().filter(|m| m.partition == partition).count(),
            self.jobs.values().filter(|j| j.partition == partition).count(),
        );
        self.log(
            Level::Info,
            format!("acting for partition {partition}: {jobs} unfinished jobs, {machines} machines in the roster"),
        );
        self.create_permit_ledger(partition, since);
        self.tick_drained_machines();
        self.confirm_machines(partition);
        self.store_ends_of_finished_jobs(partition);
        self.schedule_batch();
    }
}
