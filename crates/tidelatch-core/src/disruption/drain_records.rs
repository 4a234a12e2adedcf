//! Drains as the state service holds them, and how the leader parcels them out.
//!
//! A drain has a *head*, `t/d/NAME`, and *parts*, `t/d/NAME/0` and so on, with the machines that it covers: those that were
//! in the roster when the leader began it. The head names the machines that are drained at present. All controllers
//! follow the keys; the owners of those machines drain them, and a machine that has left the roster is done. Each write
//! carries the leader's key and the epoch as conditions, so no earlier leader can write after a later one. Versions
//! that do not know the keys pass over them.

use crate::calls::CallPurpose;
use crate::controller::Controller;
use crate::ids::{MachineId, Revision};
use crate::messages::Level;
use crate::protocol::TxnAnswer;
use crate::settings::DrainRule;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use tidelatch_disruption::{MachineName, MachineSet, MachineSetPart};

/// Prefix of the drains' keys.
pub(crate) const DRAIN_PREFIX: &str = "t/d/";
/// Part of the budget of changes that is left to others.
const WRITE_RESERVE: f64 = 0.3;
/// Report periods after which a drain is looked at again.
const LOOKS_PER_REPORT: u64 = 2;

/// A machine that is drained at present.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct ActiveMachine {
    /// The machine.
    m: MachineId,
    /// A replacement is rented ahead of the evictions.
    ahead: bool,
}

/// The head of a drain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct DrainHead {
    /// Number of parts with the machines that are covered.
    parts: u32,
    /// Machines that are drained at present.
    active: Vec<ActiveMachine>,
    /// All machines that were covered are gone.
    done: bool,
}

/// A drain as stored.
#[derive(Debug, Default)]
struct StoredDrain {
    head: Option<(DrainHead, Revision)>,
    parts: BTreeMap<u32, MachineSetPart>,
}

impl StoredDrain {
    /// The machines that are covered; none: not all parts are known, or one cannot be read.
    fn targets(&self) -> Option<MachineSet> {
        let (head, _) = self.head.as_ref()?;
        let mut targets = MachineSet::default();
        for part in 0..head.parts {
            targets.add_part(self.parts.get(&part)?).ok()?;
        }
        Some(targets)
    }
}

/// A drain that the leader begins: its parts are written before its head.
#[derive(Debug)]
struct Beginning {
    name: String,
    parts: Vec<MachineSetPart>,
    written: usize,
}

/// What the leader has written.
#[derive(Debug, Clone)]
pub(crate) enum DrainWrite {
    /// So many parts of the drain that begins.
    Parts(usize),
    /// The head of a drain.
    Head,
    /// A drain that is not in the settings any more has been deleted, in part at least.
    Delete,
}

/// A machine's drain, for its owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ActiveDrain {
    pub(super) drain: String,
    pub(super) replace_ahead: bool,
}

/// All drains, and the leader's write that is under way.
#[derive(Debug, Default)]
pub(crate) struct DrainRecords {
    stored: BTreeMap<String, StoredDrain>,
    /// The machines that running drains cover.
    covered: Vec<MachineSet>,
    /// Keys that were named while the shared keys were listed.
    listed: BTreeSet<String>,
    beginning: Option<Beginning>,
    writing: bool,
    /// No other write before the watch has come to this revision.
    settles_at: u64,
    due: u64,
}

/// Parts the key of a drain, below the prefix, into its name and the number of a part; none: it is a head.
fn parse_key(key: &str) -> (&str, Option<u32>) {
    match key.split_once('/') {
        Some((name, part)) => (name, part.parse().ok()),
        None => (key, None),
    }
}

impl DrainRecords {
    /// The machines that are drained at present.
    pub(super) fn active(&self) -> BTreeMap<MachineId, ActiveDrain> {
        let mut active = BTreeMap::new();
        for (name, stored) in &self.stored {
            let machines = stored.head.iter().flat_map(|(head, _)| &head.active);
            for machine in machines {
                active.entry(machine.m.clone()).or_insert_with(|| ActiveDrain {
                    drain: name.clone(),
                    replace_ahead: machine.ahead,
                });
            }
        }
        active
    }

    /// Whether a running drain covers a machine.
    pub(super) fn covers(&self, machine: &MachineId) -> bool {
        let name = MachineName::new(machine.as_str());
        self.covered.iter().any(|covered| covered.contains(&name))
    }

    fn apply(&mut self, key: &str, value: Option<Value>, stamp: Revision) {
        self.listed.insert(key.to_owned());
        let (name, part) = parse_key(key);
        let drain = self.stored.entry(name.to_owned()).or_default();
        match part {
            None => {
                let head = value.and_then(|value| serde_json::from_value(value).ok());
                drain.head = head.map(|head| (head, stamp));
            }
            Some(part) => match value.and_then(|value| serde_json::from_value(value).ok()) {
                Some(value) => {
                    drain.parts.insert(part, value);
                }
                None => {
                    drain.parts.remove(&part);
                }
            },
        }
        if drain.head.is_none() && drain.parts.is_empty() {
            self.stored.remove(name);
        }
        self.note_covered();
    }

    fn note_covered(&mut self) {
        let running = |stored: &&StoredDrain| stored.head.as_ref().is_some_and(|(head, _)| !head.done);
        let targets = self.stored.values().filter(running).filter_map(StoredDrain::targets);
        self.covered = targets.collect();
    }

    /// The keys of a drain that are known, the head first.
    fn keys(&self, name: &str) -> Vec<String> {
        let Some(stored) = self.stored.get(name) else {
            return Vec::new();
        };
        let head = stored.head.iter().map(|_| format!("{DRAIN_PREFIX}{name}"));
        let parts = stored.parts.keys().map(|part| format!("{DRAIN_PREFIX}{name}/{part}"));
        head.chain(parts).collect()
    }

    fn head(&self, name: &str) -> Option<&(DrainHead, Revision)> {
        self.stored.get(name)?.head.as_ref()
    }
}

impl Controller {
    /// The shared keys are being listed anew.
    pub(crate) fn drain_listing_begins(&mut self) {
        if let Some(disruption) = &mut self.disruption {
            disruption.records.listed.clear();
        }
    }

    /// All shared keys have been listed: drains that were not among them are gone.
    pub(crate) fn drains_listed(&mut self) {
        let Some(disruption) = &mut self.disruption else { return };
        let records = &mut disruption.records;
        let listed = std::mem::take(&mut records.listed);
        let names: Vec<String> = records.stored.keys().cloned().collect();
        let known = names.iter().flat_map(|name| records.keys(name));
        let gone: Vec<String> = known
            .filter_map(|key| key.strip_prefix(DRAIN_PREFIX).map(str::to_owned))
            .filter(|key| !listed.contains(key))
            .collect();
        for key in gone {
            records.apply(&key, None, Revision(0));
        }
    }

    /// A drain's key has a new value, or is gone.
    pub(crate) fn apply_drain(&mut self, key: &str, value: Option<Value>, stamp: Revision) {
        if let Some(disruption) = &mut self.disruption {
            disruption.records.apply(key, value, stamp);
        }
    }

    /// The leader's round: begins drains, gives up those that are not in the settings any more, and names the machines
    /// that are drained next.
    pub(crate) fn lead_drains(&mut self) {
        let now = self.now.ms;
        let again = now + self.settings.report_ms() / LOOKS_PER_REPORT;
        let ledger = self.membership.revision;
        let Some(rules) = self.settings.operator.disruption.as_ref().map(|d| d.drains.clone()) else {
            return;
        };
        let Some(disruption) = &mut self.disruption else { return };
        let records = &mut disruption.records;
        if records.writing || now < records.due || ledger < records.settles_at {
            return;
        }
        records.due = again;
        let is_begun = |beginning: &Beginning| records.stored.get(&beginning.name).is_some_and(|d| d.head.is_some());
        if records.beginning.as_ref().is_some_and(is_begun) {
            // The answer to the write of its head was lost.
            records.beginning = None;
        }
        if !self.state_writes.try_take(now, 0.0, WRITE_RESERVE) {
            return;
        }
        let withdrawn = records
            .stored
            .keys()
            .find(|name| !rules.iter().any(|rule| rule.name == **name));
        if let Some(name) = withdrawn.cloned() {
            self.delete_drain(&name);
            return;
        }
        if self.write_beginning() {
            return;
        }
        for rule in &rules {
            let begun = self
                .disruption
                .as_ref()
                .is_some_and(|d| d.records.head(&rule.name).is_some());
            let written = if begun {
                self.update_drain(rule)
            } else {
                self.begin_drain(rule)
            };
            if written {
                return;
            }
        }
    }

    /// This controller does not lead: what it was about to begin is another leader's concern.
    pub(crate) fn forget_beginning(&mut self) {
        if let Some(disruption) = &mut self.disruption {
            disruption.records.beginning = None;
        }
    }

    fn write_drain(&mut self, stamp: Option<(String, Revision)>, changes: Vec<Value>, write: DrainWrite) {
        let mut conditions = vec![self.leader_condition(), self.epoch_condition()];
        conditions.extend(stamp.map(|(key, stamp)| json!({ "k": key, "stamp": stamp })));
        if let Some(disruption) = &mut self.disruption {
            disruption.records.writing = true;
        }
        self.txn(conditions, changes, CallPurpose::WriteDrain { write });
    }

    fn delete_drain(&mut self, name: &str) {
        let most = self.write_limits.max_ops.max(1);
        let keys = self.disruption.as_ref().map_or(Vec::new(), |d| d.records.keys(name));
        let changes = keys.iter().take(most).map(|key| json!({ "delete": key })).collect();
        self.log(
            Level::Info,
            format!("drain {name} is not in the settings any more: given up"),
        );
        self.write_drain(None, changes, DrainWrite::Delete);
    }

    /// Decides which machines a drain covers: those that are in the roster now.
    fn begin_drain(&mut self, rule: &DrainRule) -> bool {
        let started_ms = self.disruption.as_ref().map_or(self.now.ms, |d| d.started_ms);
        let ran_ms = self.now.ms.saturating_sub(started_ms);
        if (ran_ms as f64) < rule.delay_s * 1000.0 {
            return false;
        }
        let mut targets = MachineSet::default();
        let machines = self.machines.iter().filter(|(_, m)| !m.is_deleted && !m.retiring);
        for (id, _) in machines.filter(|(_, m)| rule.selects(&m.model, &m.zone, m.spot)) {
            targets.insert(&MachineName::new(id.as_str()));
        }
        let parts = targets.parts(self.max_record_bytes());
        self.log(
            Level::Info,
            format!(
                "drain {} begins: {} machines, in {} parts",
                rule.name,
                targets.len(),
                parts.len()
            ),
        );
        if let Some(disruption) = &mut self.disruption {
            disruption.records.beginning = Some(Beginning {
                name: rule.name.clone(),
                parts,
                written: 0,
            });
        }
        self.write_beginning()
    }

    /// Writes the next parts of the drain that begins, and its head after the last; false: none begins.
    fn write_beginning(&mut self) -> bool {
        let most = self.write_limits.max_ops.max(1);
        let Some(beginning) = self.disruption.as_ref().and_then(|d| d.records.beginning.as_ref()) else {
            return false;
        };
        let key = format!("{DRAIN_PREFIX}{}", beginning.name);
        let next = beginning.parts.iter().enumerate().skip(beginning.written).take(most);
        let changes: Vec<Value> = next
            .map(|(number, part)| json!({ "write": format!("{key}/{number}"), "value": part }))
            .collect();
        if !changes.is_empty() {
            let count = changes.len();
            self.write_drain(None, changes, DrainWrite::Parts(count));
            return true;
        }
        let head = DrainHead {
            parts: u32::try_from(beginning.parts.len()).unwrap_or(u32::MAX),
            active: Vec::new(),
            done: beginning.parts.is_empty(),
        };
        let change = json!({ "write": key, "value": head });
        self.write_drain(Some((key, Revision(0))), vec![change], DrainWrite::Head);
        true
    }

    /// Names the machines that a drain takes next; false: nothing changes.
    fn update_drain(&mut self, rule: &DrainRule) -> bool {
        let Some(disruption) = &self.disruption else {
            return false;
        };
        let Some(stored) = disruption.records.stored.get(&rule.name) else {
            return false;
        };
        let (Some((head, stamp)), Some(targets)) = (stored.head.clone(), stored.targets()) else {
            return false;
        };
        if head.done {
            return false;
        }
        let covered = |id: &MachineId| targets.contains(&MachineName::new(id.as_str()));
        let left: Vec<&MachineId> = self
            .machines
            .iter()
            .filter(|(id, m)| !m.is_deleted && covered(id))
            .map(|(id, _)| id)
            .collect();
        let next = DrainHead {
            parts: head.parts,
            active: self.next_active(rule, &head, &left),
            done: left.is_empty(),
        };
        if next == head {
            return false;
        }
        let text = if next.done {
            format!(
                "drain {} is done: {} machines replaced or returned",
                rule.name,
                targets.len()
            )
        } else {
            let names: Vec<&str> = next.active.iter().map(|active| active.m.as_str()).collect();
            format!(
                "drain {}: {} of {} machines left, now {}",
                rule.name,
                left.len(),
                targets.len(),
                names.join(", ")
            )
        };
        self.log(Level::Info, text);
        let key = format!("{DRAIN_PREFIX}{}", rule.name);
        let change = json!({ "write": key, "value": next });
        self.write_drain(Some((key, stamp)), vec![change], DrainWrite::Head);
        true
    }

    /// The machines that are drained already, and as many more as may be at a time.
    fn next_active(&self, rule: &DrainRule, head: &DrainHead, left: &[&MachineId]) -> Vec<ActiveMachine> {
        let elsewhere = self
            .disruption
            .as_ref()
            .map_or_else(BTreeMap::new, |d| d.records.active());
        let mut active: Vec<ActiveMachine> = head.active.iter().filter(|a| left.contains(&&a.m)).cloned().collect();
        let mut ahead = active.iter().filter(|a| a.ahead).count();
        let free = left
            .iter()
            .filter(|id| !elsewhere.contains_key(**id) && self.may_drain(id));
        for id in free {
            if active.len() >= rule.max_machines as usize {
                break;
            }
            let replace_ahead = ahead < rule.surge as usize;
            ahead += usize::from(replace_ahead);
            active.push(ActiveMachine {
                m: (*id).clone(),
                ahead: replace_ahead,
            });
        }
        active
    }

    /// Whether the owner of a machine drains machines, and is not suspected to be gone.
    fn may_drain(&self, id: &MachineId) -> bool {
        let partition = self.machines.get(id).map(|m| m.partition);
        let owner = partition.and_then(|p| self.partition_owner(p)).map(|h| &h.owner);
        owner.is_some_and(|owner| (*owner == self.own_name || self.grants_permits(owner)) && !self.is_suspected(owner))
    }

    /// A write of the leader's has an answer, or none.
    pub(crate) fn on_drain_write(&mut self, write: &DrainWrite, result: Option<(u16, Vec<u8>)>) {
        let Some(disruption) = &mut self.disruption else { return };
        let records = &mut disruption.records;
        records.writing = false;
        let Some((200, body)) = result else {
            // What has come of it is told by the watch; the same or the next is written in a while.
            return;
        };
        let revision = serde_json::from_slice::<TxnAnswer>(&body).map_or(0, |answer| answer.ledger);
        records.settles_at = revision;
        records.due = 0;
        match write {
            DrainWrite::Parts(count) => {
                if let Some(beginning) = &mut records.beginning {
                    beginning.written += count;
                }
            }
            DrainWrite::Head => records.beginning = None,
            DrainWrite::Delete => {}
        }
    }
}
