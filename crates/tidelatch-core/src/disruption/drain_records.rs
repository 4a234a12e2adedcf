//! Drain records in the state service, and the leader's selection of the machines to drain next.
//!
//! A drain has a *head*, `t/d/NAME`, and *parts*, `t/d/NAME/0` and so on. The parts list the machines that the drain
//! covers: those that were in the roster when the leader started it. The head names the machines that are being drained
//! at present. All controllers watch the keys, and the owners of those machines drain them. A machine that has left the
//! roster is finished. Each write is conditional on the leader record and the epoch, so no earlier leader can write
//! after a later one. Versions that do not know the keys ignore them.

use crate::calls::CallPurpose;
use crate::controller::Controller;
use crate::ids::{MachineId, Revision};
use crate::messages::Level;
use crate::protocol::TxnAnswer;
use crate::settings::DrainRule;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use tidelatch_disruption::{MachineName, MachineSet, MachineSetPart};

/// Key prefix of the drain records.
pub(crate) const DRAIN_PREFIX: &str = "t/d/";
/// Fraction of the write budget's burst that drain writes leave for other state service writes.
const WRITE_BUDGET_RESERVE: f64 = 0.3;
/// Number of times per report interval that the leader checks its drains.
const CHECKS_PER_REPORT_PERIOD: u64 = 2;

/// A machine that is being drained at present.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct ActiveMachine {
    /// The machine that is being drained.
    #[serde(rename = "m")]
    machine: MachineId,
    /// Whether a replacement is rented before tasks are evicted.
    #[serde(rename = "ahead")]
    replace_ahead: bool,
}

/// The value of a drain's head key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct DrainHead {
    /// Number of parts that list the covered machines.
    parts: u32,
    /// Machines that are being drained at present.
    active: Vec<ActiveMachine>,
    /// Whether all covered machines are gone.
    done: bool,
}

/// A drain as stored in the state service: its head with the head's revision, and its parts by number.
#[derive(Debug, Default)]
struct StoredDrain {
    head: Option<(DrainHead, Revision)>,
    parts: BTreeMap<u32, MachineSetPart>,
}

impl StoredDrain {
    /// The covered machines, or `None` if not all parts are known or one cannot be decoded.
    fn covered(&self) -> Option<MachineSet> {
        let (head, _) = self.head.as_ref()?;
        let mut covered = MachineSet::default();
        for part in 0..head.parts {
            covered.add_part(self.parts.get(&part)?).ok()?;
        }
        Some(covered)
    }
}

/// A drain that the leader is creating: all its parts are written before its head.
#[derive(Debug)]
struct PendingDrain {
    name: String,
    parts: Vec<MachineSetPart>,
    /// Number of parts that have been written.
    written: usize,
}

/// The kind of a drain write by the leader.
#[derive(Debug, Clone)]
pub(crate) enum DrainWrite {
    /// This number of parts of the drain that is being created.
    Parts(usize),
    /// The head of a drain.
    Head,
    /// The deletion of all or some keys of a drain that is no longer in the settings.
    Delete,
}

/// The drain of one machine, as the machine's owner needs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ActiveDrain {
    /// Name of the drain.
    pub(super) drain: String,
    /// Whether a replacement is rented before tasks are evicted.
    pub(super) replace_ahead: bool,
}

/// All drains, and the state of the leader's writes to them.
#[derive(Debug, Default)]
pub(crate) struct DrainRecords {
    /// The stored drains, by name.
    stored: BTreeMap<String, StoredDrain>,
    /// The machines that unfinished drains cover.
    covered_machines: Vec<MachineSet>,
    /// The drain that the leader is creating.
    pending_drain: Option<PendingDrain>,
    /// Whether a write is in progress.
    is_writing: bool,
    /// The revision of the last write. The leader does not write again before the watch has reached it.
    awaited_revision: u64,
    /// When the leader checks the drains next, in ms.
    next_check_ms: u64,
}

/// Splits a drain key without the prefix into the drain's name and the part number, which is `None` for a head key.
fn parse_key(key: &str) -> (&str, Option<u32>) {
    match key.split_once('/') {
        Some((name, part)) => (name, part.parse().ok()),
        None => (key, None),
    }
}

impl DrainRecords {
    /// The machines that are being drained at present, each with its drain.
    pub(super) fn active_drains(&self) -> BTreeMap<MachineId, ActiveDrain> {
        let mut active = BTreeMap::new();
        for (name, stored) in &self.stored {
            let machines = stored.head.iter().flat_map(|(head, _)| &head.active);
            for machine in machines {
                active.entry(machine.machine.clone()).or_insert_with(|| ActiveDrain {
                    drain: name.clone(),
                    replace_ahead: machine.replace_ahead,
                });
            }
        }
        active
    }

    /// Whether an unfinished drain covers a machine.
    pub(super) fn covers(&self, machine: &MachineId) -> bool {
        let name = MachineName::new(machine.as_str());
        self.covered_machines.iter().any(|covered| covered.contains(&name))
    }

    /// Applies the new value of a key without the prefix; `None` or an unreadable value removes the key's record.
    fn apply_key(&mut self, key: &str, value: Option<Value>, revision: Revision) {
        let (name, part) = parse_key(key);
        let drain = self.stored.entry(name.to_owned()).or_default();
        match part {
            None => {
                let head = value.and_then(|value| serde_json::from_value(value).ok());
                drain.head = head.map(|head| (head, revision));
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
        self.update_covered_machines();
    }

    /// Recomputes the machines that unfinished drains cover.
    fn update_covered_machines(&mut self) {
        let is_unfinished = |stored: &&StoredDrain| stored.head.as_ref().is_some_and(|(head, _)| !head.done);
        let covered = self
            .stored
            .values()
            .filter(is_unfinished)
            .filter_map(StoredDrain::covered);
        self.covered_machines = covered.collect();
    }

    /// The known keys of a drain, the head first.
    fn known_keys(&self, name: &str) -> Vec<String> {
        let Some(stored) = self.stored.get(name) else {
            return Vec::new();
        };
        let head = stored.head.iter().map(|_| format!("{DRAIN_PREFIX}{name}"));
        let parts = stored.parts.keys().map(|part| format!("{DRAIN_PREFIX}{name}/{part}"));
        head.chain(parts).collect()
    }

    /// The head of a drain and the head's revision, or `None` if no head is known.
    fn head(&self, name: &str) -> Option<&(DrainHead, Revision)> {
        self.stored.get(name)?.head.as_ref()
    }
}

impl Controller {
    /// The drain keys that this controller knows, without the prefix.
    pub(crate) fn known_drain_keys(&self) -> Vec<String> {
        let records = self.disruption.iter().map(|disruption| &disruption.drain_records);
        let keys = records.flat_map(|records| records.stored.keys().flat_map(|name| records.known_keys(name)));
        keys.filter_map(|key| key.strip_prefix(DRAIN_PREFIX).map(str::to_owned))
            .collect()
    }

    /// Applies the new value of a drain key, or its deletion.
    pub(crate) fn apply_drain_key(&mut self, key: &str, value: Option<Value>, revision: Revision) {
        if let Some(disruption) = &mut self.disruption {
            disruption.drain_records.apply_key(key, value, revision);
        }
    }

    /// Advances all drains as the leader, with at most one write: starts drains, deletes those that are no longer in
    /// the settings, and selects the machines to drain next.
    pub(crate) fn advance_drains_as_leader(&mut self) {
        let now = self.now.ms;
        let next_check_ms = now + self.settings.report_ms() / CHECKS_PER_REPORT_PERIOD;
        let revision = self.membership.revision;
        let Some(rules) = self.settings.operator.disruption.as_ref().map(|d| d.drains.clone()) else {
            return;
        };
        let Some(disruption) = &mut self.disruption else { return };
        let records = &mut disruption.drain_records;
        if records.is_writing || now < records.next_check_ms || revision < records.awaited_revision {
            return;
        }
        records.next_check_ms = next_check_ms;
        let is_head_stored =
            |pending: &PendingDrain| records.stored.get(&pending.name).is_some_and(|d| d.head.is_some());
        if records.pending_drain.as_ref().is_some_and(is_head_stored) {
            // The head was stored, but the reply to its write was lost.
            records.pending_drain = None;
        }
        // This only checks that at least the reserve is left; it takes no tokens.
        if !self.state_writes.try_take(now, 0.0, WRITE_BUDGET_RESERVE) {
            return;
        }
        let removed = records
            .stored
            .keys()
            .find(|name| !rules.iter().any(|rule| rule.name == **name));
        if let Some(name) = removed.cloned() {
            self.delete_drain(&name);
            return;
        }
        if self.write_pending_drain() {
            return;
        }
        for rule in &rules {
            let has_head = self
                .disruption
                .as_ref()
                .is_some_and(|d| d.drain_records.head(&rule.name).is_some());
            let written = if has_head {
                self.update_drain(rule)
            } else {
                self.begin_drain(rule)
            };
            if written {
                return;
            }
        }
    }

    /// Discards the drain that this controller was creating. Called when it is not the leader: another leader creates
    /// the drain instead.
    pub(crate) fn discard_pending_drain(&mut self) {
        if let Some(disruption) = &mut self.disruption {
            disruption.drain_records.pending_drain = None;
        }
    }

    /// Sends a transaction that changes drain keys. It is conditional on the leader record, the epoch and, if given,
    /// the revision of a key.
    fn write_drain(&mut self, expected: Option<(String, Revision)>, changes: Vec<Value>, write: DrainWrite) {
        let mut conditions = vec![self.leader_condition(), self.epoch_condition()];
        conditions.extend(expected.map(|(key, revision)| json!({ "k": key, "stamp": revision })));
        if let Some(disruption) = &mut self.disruption {
            disruption.drain_records.is_writing = true;
        }
        self.txn(conditions, changes, CallPurpose::WriteDrain { write });
    }

    /// Deletes the keys of a drain, as many as fit in one transaction.
    fn delete_drain(&mut self, name: &str) {
        let max_ops = self.write_limits.max_ops.max(1);
        let keys = self
            .disruption
            .as_ref()
            .map_or(Vec::new(), |d| d.drain_records.known_keys(name));
        let changes = keys.iter().take(max_ops).map(|key| json!({ "delete": key })).collect();
        self.log(
            Level::Info,
            format!("drain {name}: no longer in the settings, deleting its records"),
        );
        self.write_drain(None, changes, DrainWrite::Delete);
    }

    /// Starts a drain once its delay has passed. It covers the selected machines that are in the roster now. Returns
    /// whether anything was written.
    fn begin_drain(&mut self, rule: &DrainRule) -> bool {
        let started_ms = self.disruption.as_ref().map_or(self.now.ms, |d| d.started_ms);
        let ran_ms = self.now.ms.saturating_sub(started_ms);
        if (ran_ms as f64) < rule.delay_s * 1000.0 {
            return false;
        }
        let mut covered = MachineSet::default();
        let machines = self.machines.iter().filter(|(_, m)| !m.is_deleted && !m.retiring);
        for (id, _) in machines.filter(|(_, m)| rule.selects(&m.model, &m.zone, m.spot)) {
            covered.insert(&MachineName::new(id.as_str()));
        }
        let parts = covered.parts(self.max_record_bytes());
        self.log(
            Level::Info,
            format!(
                "drain {} begins: {} machines, in {} parts",
                rule.name,
                covered.len(),
                parts.len()
            ),
        );
        if let Some(disruption) = &mut self.disruption {
            disruption.drain_records.pending_drain = Some(PendingDrain {
                name: rule.name.clone(),
                parts,
                written: 0,
            });
        }
        self.write_pending_drain()
    }

    /// Writes the next parts of the drain that is being created, and its head after the last part. Returns false if no
    /// drain is being created.
    fn write_pending_drain(&mut self) -> bool {
        let max_ops = self.write_limits.max_ops.max(1);
        let Some(pending_drain) = self
            .disruption
            .as_ref()
            .and_then(|d| d.drain_records.pending_drain.as_ref())
        else {
            return false;
        };
        let key = format!("{DRAIN_PREFIX}{}", pending_drain.name);
        let next = pending_drain
            .parts
            .iter()
            .enumerate()
            .skip(pending_drain.written)
            .take(max_ops);
        let changes: Vec<Value> = next
            .map(|(number, part)| json!({ "write": format!("{key}/{number}"), "value": part }))
            .collect();
        if !changes.is_empty() {
            let count = changes.len();
            self.write_drain(None, changes, DrainWrite::Parts(count));
            return true;
        }
        let head = DrainHead {
            parts: u32::try_from(pending_drain.parts.len()).unwrap_or(u32::MAX),
            active: Vec::new(),
            done: pending_drain.parts.is_empty(),
        };
        let change = json!({ "write": key, "value": head });
        self.write_drain(Some((key, Revision(0))), vec![change], DrainWrite::Head);
        true
    }

    /// Writes the machines that a drain works on next. Returns false if nothing changes.
    fn update_drain(&mut self, rule: &DrainRule) -> bool {
        let Some(disruption) = &self.disruption else {
            return false;
        };
        let Some(stored) = disruption.drain_records.stored.get(&rule.name) else {
            return false;
        };
        let (Some((head, revision)), Some(covered)) = (stored.head.clone(), stored.covered()) else {
            return false;
        };
        if head.done {
            return false;
        }
        let is_covered = |id: &MachineId| covered.contains(&MachineName::new(id.as_str()));
        let remaining: Vec<&MachineId> = self
            .machines
            .iter()
            .filter(|(id, m)| !m.is_deleted && is_covered(id))
            .map(|(id, _)| id)
            .collect();
        let next = DrainHead {
            parts: head.parts,
            active: self.select_active_machines(rule, &head, &remaining),
            done: remaining.is_empty(),
        };
        if next == head {
            return false;
        }
        let text = if next.done {
            format!(
                "drain {}: finished, {} machines replaced or returned",
                rule.name,
                covered.len()
            )
        } else {
            let names: Vec<&str> = next.active.iter().map(|active| active.machine.as_str()).collect();
            format!(
                "drain {}: {} of {} machines left, now draining {}",
                rule.name,
                remaining.len(),
                covered.len(),
                names.join(", ")
            )
        };
        self.log(Level::Info, text);
        let key = format!("{DRAIN_PREFIX}{}", rule.name);
        let change = json!({ "write": key, "value": next });
        self.write_drain(Some((key, revision)), vec![change], DrainWrite::Head);
        true
    }

    /// Selects the active machines of a drain: those that are being drained already, and further ones up to the drain's
    /// limit.
    fn select_active_machines(
        &self,
        rule: &DrainRule,
        head: &DrainHead,
        remaining: &[&MachineId],
    ) -> Vec<ActiveMachine> {
        let already_draining = self
            .disruption
            .as_ref()
            .map_or_else(BTreeMap::new, |d| d.drain_records.active_drains());
        let mut active: Vec<ActiveMachine> = head
            .active
            .iter()
            .filter(|a| remaining.contains(&&a.machine))
            .cloned()
            .collect();
        let mut replace_ahead_count = active.iter().filter(|a| a.replace_ahead).count();
        let eligible = remaining
            .iter()
            .filter(|id| !already_draining.contains_key(**id) && self.owner_can_drain(id));
        for id in eligible {
            if active.len() >= rule.max_machines as usize {
                break;
            }
            let replace_ahead = replace_ahead_count < rule.surge as usize;
            replace_ahead_count += usize::from(replace_ahead);
            active.push(ActiveMachine {
                machine: (*id).clone(),
                replace_ahead,
            });
        }
        active
    }

    /// Whether the owner of a machine supports drains and is not suspected of having failed.
    fn owner_can_drain(&self, id: &MachineId) -> bool {
        let partition = self.machines.get(id).map(|m| m.partition);
        let owner = partition.and_then(|p| self.partition_owner(p)).map(|h| &h.owner);
        owner.is_some_and(|owner| (*owner == self.own_name || self.grants_permits(owner)) && !self.is_suspected(owner))
    }

    /// Handles the reply to a drain write, or `None` if there was no reply.
    pub(crate) fn handle_drain_write_result(&mut self, write: &DrainWrite, result: Option<(u16, Vec<u8>)>) {
        let Some(disruption) = &mut self.disruption else { return };
        let records = &mut disruption.drain_records;
        records.is_writing = false;
        let Some((200, body)) = result else {
            // The watch shows whether the write was applied. The leader repeats it, or makes the next one, at a later
            // check.
            return;
        };
        let revision = serde_json::from_slice::<TxnAnswer>(&body).map_or(0, |answer| answer.ledger);
        records.awaited_revision = revision;
        records.next_check_ms = 0;
        match write {
            DrainWrite::Parts(count) => {
                if let Some(pending_drain) = &mut records.pending_drain {
                    pending_drain.written += count;
                }
            }
            DrainWrite::Head => records.pending_drain = None,
            DrainWrite::Delete => {}
        }
    }
}
