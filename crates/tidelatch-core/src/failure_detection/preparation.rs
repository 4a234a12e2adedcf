//! Preparation of a takeover: the controller that would take over from a suspected one reads the stored bitmaps of its
//! partitions ahead and connects to its workers.
//!
//! Nothing is written, and the records that were read have no effect until the stored epoch makes this controller the
//! partition's owner. It then reads the changes since the first read and applies them, so the records are as fresh as
//! if all had been read at that time. When a suspicion is cleared, its preparations are dropped.

use crate::calls::CallPurpose;
use crate::controller::Controller;
use crate::ids::{ControllerId, Partition};
use crate::membership::{Stage, next_epoch};
use crate::messages::{Level, Method, Output, Target};
use crate::protocol::{StoreChanges, StoredItems};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Share of the request rate limit for the state service that reading ahead leaves to other requests.
const READ_SHARE_RESERVED_FOR_OTHERS: f64 = 0.5;
/// Connections opened per tick. More at once would delay the controller's other work.
const CONNECTIONS_PER_TICK: usize = 8;

/// Progress of reading a partition's records ahead.
#[derive(Debug, Clone, PartialEq, Eq)]
enum ReadProgress {
    /// The next page is to be requested; it begins after this key.
    Due(String),
    /// A page has been requested.
    InProgress,
    /// All pages have been read.
    Complete,
}

/// Preparation of the takeover of one partition.
#[derive(Debug)]
struct PreparedPartition {
    /// Number of this read, by which replies to earlier reads are recognized and ignored.
    read_number: u64,
    reading: ReadProgress,
    /// Revision of the first page; 0: no page has been read yet. The changes after it are read at the takeover.
    revision: u64,
    records: BTreeMap<String, Value>,
    /// Addresses of workers that are still to be connected to.
    addresses: Vec<String>,
    /// Number of workers to which a connection was requested.
    connections: usize,
    /// The completion of the preparation has been logged.
    is_completion_logged: bool,
}

impl PreparedPartition {
    /// Returns true if the preparation is complete and its completion has not been logged, and marks it as logged.
    fn take_completion(&mut self) -> bool {
        let complete = self.reading == ReadProgress::Complete && self.addresses.is_empty();
        complete && !std::mem::replace(&mut self.is_completion_logged, true)
    }
}

/// Preparations for the takeover of suspected controllers' partitions.
#[derive(Debug, Default)]
pub(crate) struct Preparation {
    partitions: BTreeMap<Partition, PreparedPartition>,
    /// Number of the last read that was started.
    last_read_number: u64,
}

/// Records that were read ahead, and the revision after which changes are still to be read.
#[derive(Debug)]
pub(crate) struct RecordsReadAhead {
    pub(crate) revision: u64,
    pub(crate) records: BTreeMap<String, Value>,
}

impl Controller {
    /// The partitions that this controller would take over if all suspected controllers were gone.
    fn partitions_to_prepare(&self) -> BTreeSet<Partition> {
        let Some((epoch, _)) = &self.membership.epoch else {
            return BTreeSet::new();
        };
        let mut members = self.members_for_partitions();
        members.retain(|name, _| !self.is_suspected(name));
        let names = self.settings.names();
        let next = next_epoch(&names, &members, Some(epoch), self.settings.partitions());
        let planned = next.map_or(Vec::new(), |next| next.partitions);
        let is_own = |owner: &ControllerId| *owner == self.own_name;
        // Handing a partition back from a live owner to its home controller needs no preparation.
        let at_risk = |owner: &ControllerId| !is_own(owner) && !members.contains_key(owner);
        (0..)
            .map(Partition)
            .zip(epoch.partitions.iter().zip(&planned))
            .filter(|(_, (current, planned))| at_risk(&current.owner) && is_own(&planned.owner))
            .map(|(partition, _)| partition)
            .collect()
    }

    /// After a change of the suspicions or of the epoch, starts the preparations that are needed now and drops those
    /// that are no longer needed.
    pub(crate) fn update_preparations(&mut self) {
        if !self.detection.as_ref().is_some_and(|d| d.prepares_takeovers) {
            return;
        }
        let to_prepare = self.partitions_to_prepare();
        let addresses: BTreeMap<Partition, Vec<String>> = to_prepare
            .iter()
            .map(|partition| (*partition, self.worker_addresses(*partition)))
            .collect();
        let being_taken_over: BTreeSet<Partition> = self
            .tenures
            .iter()
            .filter(|(_, tenure)| tenure.stage != Stage::Active)
            .map(|(partition, _)| *partition)
            .collect();
        let Some(detection) = self.detection.as_mut() else {
            return;
        };
        let preparation = &mut detection.preparation;
        let mut dropped = Vec::new();
        preparation.partitions.retain(|partition, _| {
            let is_needed = to_prepare.contains(partition) || being_taken_over.contains(partition);
            if !is_needed {
                dropped.push(*partition);
            }
            is_needed
        });
        let mut started = Vec::new();
        for (partition, addresses) in addresses {
            if preparation.partitions.contains_key(&partition) {
                continue;
            }
            preparation.last_read_number += 1;
            started.push(partition);
            let prepared = PreparedPartition {
                read_number: preparation.last_read_number,
                reading: ReadProgress::Due(String::new()),
                revision: 0,
                records: BTreeMap::new(),
                addresses,
                connections: 0,
                is_completion_logged: false,
            };
            preparation.partitions.insert(partition, prepared);
        }
        for partition in dropped {
            self.log(
                Level::Info,
                format!("partition {partition}: preparation to take over dropped"),
            );
        }
        for partition in started {
            self.log(Level::Info, format!("partition {partition}: preparing to take over"));
        }
    }

    /// Addresses of the partition's machines that are not gone, as far as they have the form `HOST:PORT`.
    fn worker_addresses(&self, partition: Partition) -> Vec<String> {
        let machines = self
            .machines
            .values()
            .filter(|m| m.partition == partition && !m.is_deleted);
        let addresses = machines.map(|m| m.addr.clone());
        addresses.filter(|address| address.contains(':')).collect()
    }

    /// Continues the preparations: opens connections and requests pages, within the limits on connections per tick and
    /// on the request rate.
    pub(super) fn continue_preparations(&mut self) {
        let Some(detection) = self.detection.as_mut() else {
            return;
        };
        let mut addresses_to_connect = Vec::new();
        let mut reads = Vec::new();
        for (partition, prepared) in &mut detection.preparation.partitions {
            let connections_left = CONNECTIONS_PER_TICK.saturating_sub(addresses_to_connect.len());
            let from = prepared.addresses.len().saturating_sub(connections_left);
            let addresses = prepared.addresses.split_off(from);
            prepared.connections += addresses.len();
            addresses_to_connect.extend(addresses);
            if let ReadProgress::Due(cursor) = &prepared.reading
                && self
                    .state_requests
                    .try_take(self.now.ms, 1.0, READ_SHARE_RESERVED_FOR_OTHERS)
            {
                reads.push((*partition, prepared.read_number, cursor.clone()));
                prepared.reading = ReadProgress::InProgress;
            }
        }
        let connections = addresses_to_connect
            .into_iter()
            .map(|address| Output::Connect { address });
        self.outputs.extend(connections);
        for (partition, read_number, cursor) in reads {
            self.read_ahead(partition, read_number, &cursor);
        }
        self.log_completed_preparations();
    }

    /// Requests a page of a partition's records.
    fn read_ahead(&mut self, partition: Partition, read_number: u64, cursor: &str) {
        let path = Self::done_bits_path(partition, cursor);
        let timeout = self.settings.lease_ms() / 4;
        let purpose = CallPurpose::ReadAhead { partition, read_number };
        self.send_call(Target::State, Method::Get, path, String::new(), timeout, purpose);
    }

    /// Handles a page of records that are read ahead.
    pub(crate) fn on_read_ahead(&mut self, partition: Partition, read_number: u64, result: Option<(u16, Vec<u8>)>) {
        let Some(detection) = self.detection.as_mut() else {
            return;
        };
        let prepared = detection.preparation.partitions.get_mut(&partition);
        let Some(prepared) = prepared.filter(|p| p.read_number == read_number) else {
            return;
        };
        let page = match result {
            Some((200, body)) => serde_json::from_slice::<StoredItems>(&body).ok(),
            _ => None,
        };
        let Some(page) = page else {
            // Start again: pages of different reads cannot be combined.
            prepared.records.clear();
            prepared.revision = 0;
            prepared.reading = ReadProgress::Due(String::new());
            return;
        };
        if prepared.revision == 0 {
            prepared.revision = page.ledger;
        }
        let last = page.items.last().map(|item| item.k.clone());
        let records = page.items.into_iter().map(|item| (item.k, item.value));
        prepared.records.extend(records);
        prepared.reading = match last {
            Some(last) if page.more => ReadProgress::Due(last),
            _ => ReadProgress::Complete,
        };
        self.log_completed_preparations();
    }

    /// Logs each preparation that has just been completed.
    fn log_completed_preparations(&mut self) {
        let Some(detection) = self.detection.as_mut() else {
            return;
        };
        let mut lines = Vec::new();
        for (partition, prepared) in &mut detection.preparation.partitions {
            if prepared.take_completion() {
                let (records, connections) = (prepared.records.len(), prepared.connections);
                lines.push(format!(
                    "partition {partition}: prepared to take over: {records} records, {connections} connections"
                ));
            }
        }
        for line in lines {
            self.log(Level::Info, line);
        }
    }

    /// Removes and returns the records that were read ahead for a partition; `None` if they are incomplete.
    pub(crate) fn take_records_read_ahead(&mut self, partition: Partition) -> Option<RecordsReadAhead> {
        let prepared = self.detection.as_mut()?.preparation.partitions.remove(&partition)?;
        (prepared.reading == ReadProgress::Complete).then_some(RecordsReadAhead {
            revision: prepared.revision,
            records: prepared.records,
        })
    }
}

impl RecordsReadAhead {
    /// Applies the changes since the records were read, and returns the current keys and values.
    pub(crate) fn apply(mut self, changes: StoreChanges) -> Vec<(String, Value)> {
        for change in changes.news {
            if let Some(key) = change.write {
                self.records.insert(key, change.value);
            } else if let Some(key) = change.delete {
                self.records.remove(&key);
            }
        }
        self.records.into_iter().collect()
    }
}
