//! Partitions in this controller's hands: taking them over and giving them up.

use super::PartitionOwner;
use crate::calls::Purpose;
use crate::controller::Controller;
use crate::failure_detection::RecordsReadAhead;
use crate::ids::{Epoch, JobId, Partition};
use crate::jobs::{Piece, bits_from_hex};
use crate::messages::{Level, Method, Target};
use crate::protocol::{Changes, Items};
use serde_json::Value;

/// How far a take-over has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// An earlier owner may still act.
    Waiting,
    /// The stored bitmaps are being read.
    Loading,
    /// The owner acts.
    Active,
}

/// One partition in this controller's hands.
#[derive(Debug)]
pub(crate) struct Tenure {
    pub(crate) since: Epoch,
    pub(crate) stage: Stage,
    pub(crate) active_at: u64,
    pub(crate) next_attempt: u64,
    pub(crate) loading: bool,
    pub(crate) settled: bool,
    bits: Vec<(String, Value)>,
    /// Records that were read before the take-over, until the changes since then are known.
    read_ahead: Option<RecordsReadAhead>,
}

impl Controller {
    /// Whether this controller acts for a partition at some time after its last step.
    pub fn acts_at(&self, now: u64, partition: Partition) -> bool {
        let active = |t: &Tenure| t.stage == Stage::Active;
        self.entitled_at(now) && self.tenures.get(&partition).is_some_and(active)
    }

    pub(crate) fn holding(&self, partition: Partition) -> Option<&PartitionOwner> {
        self.member.epoch.as_ref()?.0.parts.get(partition.0 as usize)
    }

    /// The tenure over a partition if this controller acts for it now.
    pub(crate) fn acting(&self, partition: Partition) -> Option<&Tenure> {
        if !self.entitled() {
            return None;
        }
        self.tenures.get(&partition).filter(|t| t.stage == Stage::Active)
    }

    /// The partitions that this controller has taken over.
    pub(crate) fn acting_partitions(&self) -> Vec<Partition> {
        let active = self.tenures.iter().filter(|(_, t)| t.stage == Stage::Active);
        active.map(|(p, _)| *p).collect()
    }

    /// Takes note of the epoch: gives up what is no longer owned, begins what is.
    pub(super) fn note_epoch(&mut self) {
        let Some((epoch, _)) = self.member.epoch.clone() else {
            return;
        };
        let inc = self.member.inc;
        for (i, holding) in epoch.parts.iter().enumerate() {
            let partition = Partition(i as u32);
            let mine = holding.owner == self.me && holding.inc == inc;
            let known = self.tenures.get(&partition).map(|t| t.since);
            if !mine {
                if self.tenures.remove(&partition).is_some() {
                    self.reset_partition(partition);
                    let to = &holding.owner;
                    self.log(
                        Level::Info,
                        format!("epoch {}: partition {partition} goes to {to}", epoch.n),
                    );
                }
            } else if known != Some(holding.since) {
                self.log(
                    Level::Info,
                    format!("epoch {}: taking over partition {partition}", epoch.n),
                );
                self.tenures.insert(
                    partition,
                    Tenure {
                        since: holding.since,
                        stage: Stage::Waiting,
                        active_at: 0,
                        next_attempt: 0,
                        loading: false,
                        settled: false,
                        bits: Vec::new(),
                        read_ahead: None,
                    },
                );
                self.reset_partition(partition);
            }
        }
        self.drop_superseded_permits();
        self.plan_preparation();
    }

    pub(crate) fn tick_tenures(&mut self) {
        let partitions: Vec<Partition> = self.tenures.keys().copied().collect();
        for partition in partitions {
            let Some(holding) = self.holding(partition).cloned() else {
                continue;
            };
            let Some(tenure) = self.tenures.get(&partition) else {
                continue;
            };
            if tenure.stage == Stage::Waiting {
                let cleared = holding.wait.iter().all(|w| {
                    self.member
                        .members
                        .get(&w.name)
                        .is_none_or(|m| m.inc != w.inc || m.ack >= holding.since.0)
                });
                if cleared && let Some(t) = self.tenures.get_mut(&partition) {
                    t.stage = Stage::Loading;
                }
            }
            let load = self
                .tenures
                .get(&partition)
                .is_some_and(|t| t.stage == Stage::Loading && !t.loading);
            if load && self.entitled() && self.now.ms >= self.member.retry_at {
                self.begin_loading(partition);
            }
        }
    }

    /// Loads the stored bitmaps of a partition: what has changed since they were read ahead, or all of them.
    fn begin_loading(&mut self, partition: Partition) {
        let Some(read_ahead) = self.take_prepared(partition) else {
            self.load_bits(partition, String::new());
            return;
        };
        let Some(t) = self.tenures.get_mut(&partition) else {
            return;
        };
        let since = t.since.0;
        let path = format!(
            "/changes?prefix={}&since={}&waitMs=0",
            Self::bits_prefix(partition),
            read_ahead.revision
        );
        t.loading = true;
        t.read_ahead = Some(read_ahead);
        self.state_reads.force(self.now.ms, 1.0);
        let timeout = self.settings.lease_ms() / 4;
        let purpose = Purpose::BitsSince { partition, since };
        self.call(Target::State, Method::Get, path, String::new(), timeout, purpose);
    }

    /// The changes since the bitmaps were read ahead have come. If not, all are read now.
    pub(crate) fn on_bits_since(&mut self, partition: Partition, since: u64, result: Option<(u16, Vec<u8>)>) {
        let Some(t) = self.tenures.get_mut(&partition).filter(|t| t.since.0 == since) else {
            return;
        };
        t.loading = false;
        let changes = match result {
            Some((200, body)) => serde_json::from_slice::<Changes>(&body).ok(),
            _ => None,
        };
        match (t.read_ahead.take(), changes) {
            (Some(read_ahead), Some(changes)) => {
                let bits = read_ahead.apply(changes);
                self.begin_acting(partition, bits);
            }
            _ => self.load_bits(partition, String::new()),
        }
    }

    fn bits_prefix(partition: Partition) -> String {
        format!("d/{partition}/")
    }

    /// Path of a page of a partition's stored bitmaps, after a key.
    pub(crate) fn bits_path(partition: Partition, after: &str) -> String {
        let mut path = format!("/store?prefix={}&most=200", Self::bits_prefix(partition));
        if !after.is_empty() {
            path.push_str(&format!("&since={after}"));
        }
        path
    }

    pub(super) fn load_bits(&mut self, partition: Partition, cursor: String) {
        let Some(t) = self.tenures.get_mut(&partition) else {
            return;
        };
        t.loading = true;
        let since = t.since.0;
        if cursor.is_empty() {
            t.bits.clear();
        }
        let path = Self::bits_path(partition, &cursor);
        self.state_reads.force(self.now.ms, 1.0);
        let timeout = self.settings.lease_ms() / 4;
        self.call(
            Target::State,
            Method::Get,
            path,
            String::new(),
            timeout,
            Purpose::Bits { partition, since },
        );
    }

    pub(crate) fn on_bits(&mut self, partition: Partition, since: u64, result: Option<(u16, Vec<u8>)>) {
        let Some(t) = self.tenures.get_mut(&partition).filter(|t| t.since.0 == since) else {
            return;
        };
        t.loading = false;
        let page = match result {
            Some((200, body)) => serde_json::from_slice::<Items>(&body).ok(),
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
            self.load_bits(partition, last);
            return;
        }
        let bits = std::mem::take(&mut t.bits);
        self.begin_acting(partition, bits);
    }

    /// The stored bitmaps are known: this controller acts for the partition from now on.
    fn begin_acting(&mut self, partition: Partition, bits: Vec<(String, Value)>) {
        let now = self.now.ms;
        let Some(t) = self.tenures.get_mut(&partition) else {
            return;
        };
        t.stage = Stage::Active;
        t.active_at = now;
        let since = t.since;
        let (chunk_bits, piece_bits) = (self.chunk_bits(), self.piece_bits());
        for (key, value) in bits {
            let mut parts = key.split('/').skip(2);
            let (Some(job), Some(chunk)) = (parts.next(), parts.next()) else {
                continue;
            };
            let (Some(job), Some(piece)) = (JobId::parse(job), Piece::parse(chunk)) else {
                continue;
            };
            let Some(hex) = value.as_str() else { continue };
            match self.jobs.get_mut(&job) {
                Some(job) => job.restore(piece, &bits_from_hex(hex), chunk_bits, piece_bits),
                None => self.cloud.stale_keys.push(key),
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
        self.open_ledger(partition, since);
        self.tick_drained_machines();
        self.confirm_machines(partition);
        self.complete_finished(partition);
        self.want_batch();
    }
}
