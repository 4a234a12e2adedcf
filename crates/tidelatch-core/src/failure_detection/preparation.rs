//! What whoever would take over from a suspected controller does ahead: it reads the stored bitmaps of its partitions
//! and connects to its workers.
//!
//! Nothing is written, and nothing that was read decides anything before the partition is owned by the stored epoch.
//! Then the changes since the reading are read on top of it, so that the records are as fresh as if all had been read
//! only then. A suspicion that is cleared drops it all.

use crate::calls::Purpose;
use crate::controller::Controller;
use crate::ids::{ControllerId, Partition};
use crate::membership::{Stage, next_epoch};
use crate::messages::{Level, Method, Output, Target};
use crate::protocol::{Changes, Items};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Part of the state service's requests that reading ahead leaves to all else.
const READS_LEFT_TO_OTHERS: f64 = 0.5;
/// Connections that are opened with each tick: more at once would keep the processor from what is due.
const CONNECTIONS_PER_TICK: usize = 8;

/// How far the reading of a partition's records has come.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Reading {
    /// The next page begins after this key.
    Due(String),
    /// A page is under way.
    UnderWay,
    /// All pages have been read.
    Complete,
}

/// What was prepared for one partition.
#[derive(Debug)]
struct PreparedPartition {
    /// Tells the answers to this reading from those to earlier ones.
    attempt: u64,
    reading: Reading,
    /// Revision before which nothing was read: changes after it are read at the take-over.
    revision: u64,
    records: BTreeMap<String, Value>,
    /// Addresses of workers that are still to be connected to.
    addresses: Vec<String>,
    connections: usize,
    /// It has been said that all is prepared.
    announced: bool,
}

impl PreparedPartition {
    /// Whether there is nothing left to read or to connect to, for the first time.
    fn is_newly_complete(&mut self) -> bool {
        let complete = self.reading == Reading::Complete && self.addresses.is_empty();
        complete && !std::mem::replace(&mut self.announced, true)
    }
}

/// What was prepared for the partitions of suspected controllers.
#[derive(Debug, Default)]
pub(crate) struct Preparation {
    partitions: BTreeMap<Partition, PreparedPartition>,
    attempts: u64,
}

/// Records that were read ahead, and the revision from which on changes are to be read.
#[derive(Debug)]
pub(crate) struct RecordsReadAhead {
    pub(crate) revision: u64,
    pub(crate) records: BTreeMap<String, Value>,
}

impl Controller {
    /// The partitions that this controller would take over if all suspected ones were gone.
    fn partitions_at_stake(&self) -> BTreeSet<Partition> {
        let Some((epoch, _)) = &self.member.epoch else {
            return BTreeSet::new();
        };
        let mut members = self.members_for_partitions();
        members.retain(|name, _| !self.suspects(name));
        let names = self.settings.names();
        let next = next_epoch(&names, &members, Some(epoch), self.settings.partitions());
        let planned = next.map_or(Vec::new(), |next| next.parts);
        let mine = |owner: &ControllerId| *owner == self.me;
        // A live owner may have to give a partition back to its home controller: that is no loss to prepare for.
        let at_risk = |owner: &ControllerId| !mine(owner) && !members.contains_key(owner);
        (0..)
            .map(Partition)
            .zip(epoch.parts.iter().zip(&planned))
            .filter(|(_, (now, then))| at_risk(&now.owner) && mine(&then.owner))
            .map(|(partition, _)| partition)
            .collect()
    }

    /// Suspicions or the epoch have changed: begins what is at stake now, and drops what is not any more.
    pub(crate) fn plan_preparation(&mut self) {
        if !self.detection.as_ref().is_some_and(|d| d.prepares) {
            return;
        }
        let at_stake = self.partitions_at_stake();
        let addresses: BTreeMap<Partition, Vec<String>> = at_stake
            .iter()
            .map(|partition| (*partition, self.worker_addresses(*partition)))
            .collect();
        let beginning: BTreeSet<Partition> = self
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
            let kept = at_stake.contains(partition) || beginning.contains(partition);
            if !kept {
                dropped.push(*partition);
            }
            kept
        });
        let mut begun = Vec::new();
        for (partition, addresses) in addresses {
            if preparation.partitions.contains_key(&partition) {
                continue;
            }
            preparation.attempts += 1;
            begun.push(partition);
            let prepared = PreparedPartition {
                attempt: preparation.attempts,
                reading: Reading::Due(String::new()),
                revision: 0,
                records: BTreeMap::new(),
                addresses,
                connections: 0,
                announced: false,
            };
            preparation.partitions.insert(partition, prepared);
        }
        for partition in dropped {
            self.log(
                Level::Info,
                format!("partition {partition}: preparation to take over dropped"),
            );
        }
        for partition in begun {
            self.log(Level::Info, format!("partition {partition}: preparing to take over"));
        }
    }

    fn worker_addresses(&self, partition: Partition) -> Vec<String> {
        let machines = self.machines.values().filter(|m| m.partition == partition && !m.gone);
        let addresses = machines.map(|m| m.addr.clone());
        addresses.filter(|address| address.contains(':')).collect()
    }

    /// Goes on with preparations, within what others leave of the budgets.
    pub(super) fn tick_preparation(&mut self) {
        let Some(detection) = self.detection.as_mut() else {
            return;
        };
        let mut connect = Vec::new();
        let mut read = Vec::new();
        for (partition, prepared) in &mut detection.preparation.partitions {
            let room = CONNECTIONS_PER_TICK.saturating_sub(connect.len());
            let from = prepared.addresses.len().saturating_sub(room);
            let addresses = prepared.addresses.split_off(from);
            prepared.connections += addresses.len();
            connect.extend(addresses);
            if let Reading::Due(cursor) = &prepared.reading
                && self.state_reads.take(self.now.ms, 1.0, READS_LEFT_TO_OTHERS)
            {
                read.push((*partition, prepared.attempt, cursor.clone()));
                prepared.reading = Reading::UnderWay;
            }
        }
        let connections = connect.into_iter().map(|address| Output::Connect { address });
        self.out.extend(connections);
        for (partition, attempt, cursor) in read {
            self.read_ahead(partition, attempt, &cursor);
        }
        self.announce_prepared();
    }

    fn read_ahead(&mut self, partition: Partition, attempt: u64, cursor: &str) {
        let path = Self::bits_path(partition, cursor);
        let timeout = self.settings.lease_ms() / 4;
        let purpose = Purpose::ReadAhead { partition, attempt };
        self.call(Target::State, Method::Get, path, String::new(), timeout, purpose);
    }

    pub(crate) fn on_read_ahead(&mut self, partition: Partition, attempt: u64, result: Option<(u16, Vec<u8>)>) {
        let Some(detection) = self.detection.as_mut() else {
            return;
        };
        let prepared = detection.preparation.partitions.get_mut(&partition);
        let Some(prepared) = prepared.filter(|p| p.attempt == attempt) else {
            return;
        };
        let page = match result {
            Some((200, body)) => serde_json::from_slice::<Items>(&body).ok(),
            _ => None,
        };
        let Some(page) = page else {
            // From the beginning: pages of different readings do not fit together.
            prepared.records.clear();
            prepared.revision = 0;
            prepared.reading = Reading::Due(String::new());
            return;
        };
        if prepared.revision == 0 {
            prepared.revision = page.ledger;
        }
        let last = page.items.last().map(|item| item.k.clone());
        let records = page.items.into_iter().map(|item| (item.k, item.value));
        prepared.records.extend(records);
        prepared.reading = match last {
            Some(last) if page.more => Reading::Due(last),
            _ => Reading::Complete,
        };
        self.announce_prepared();
    }

    fn announce_prepared(&mut self) {
        let Some(detection) = self.detection.as_mut() else {
            return;
        };
        let mut lines = Vec::new();
        for (partition, prepared) in &mut detection.preparation.partitions {
            if prepared.is_newly_complete() {
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

    /// The records that were read ahead for a partition, for its new owner.
    pub(crate) fn take_prepared(&mut self, partition: Partition) -> Option<RecordsReadAhead> {
        let prepared = self.detection.as_mut()?.preparation.partitions.remove(&partition)?;
        (prepared.reading == Reading::Complete).then_some(RecordsReadAhead {
            revision: prepared.revision,
            records: prepared.records,
        })
    }
}

impl RecordsReadAhead {
    /// Brings the records up to date.
    pub(crate) fn apply(mut self, changes: Changes) -> Vec<(String, Value)> {
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
