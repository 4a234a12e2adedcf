//! Machines that have come up: their first reports, and the boot batches that they are entered in.

use super::records::{BootEntry, SEATS, entry_bytes};
use crate::calls::{Asker, Purpose};
use crate::controller::Controller;
use crate::ids::MachineId;
use crate::membership::BOOT_BATCH_PREFIX;
use crate::protocol::{Report, TxnAnswer};
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// A first report that waits for its machine to be entered.
#[derive(Debug, Clone)]
pub(super) struct BootedMachine {
    pub(super) machine: MachineId,
    pub(super) entry: BootEntry,
    pub(super) asker: Option<Asker>,
    pub(super) since: u64,
}

/// A boot batch on its way to the store. It is sent until there is a clear answer, always the same.
#[derive(Debug, Clone)]
pub(crate) struct BootBatch {
    key: String,
    entries: BTreeMap<MachineId, BootEntry>,
}

impl Controller {
    /// A boot batch was written, or deleted.
    pub(crate) fn apply_boot_batch(&mut self, name: &str, value: Option<Value>) {
        let entries = value.and_then(|v| serde_json::from_value::<BTreeMap<MachineId, BootEntry>>(v).ok());
        let Some(entries) = entries else {
            for id in self.roster.boot_batches.remove(name).unwrap_or_default() {
                self.roster.addresses.remove(&id);
            }
            return;
        };
        self.roster
            .boot_batches
            .insert(name.to_owned(), entries.keys().cloned().collect());
        for (id, entry) in entries {
            if let Some(m) = self.machines.get_mut(&id) {
                m.come_up(&entry.addr, entry.seen);
            }
            self.roster.addresses.insert(id, entry);
        }
    }

    /// A machine's first report: it may hold tasks only once a boot batch says that it is up.
    pub(crate) fn store_first_report(&mut self, asker: Asker, report: &Report) {
        let now = self.now.ms;
        if self.roster.booted.is_empty() {
            self.roster.booted_due = now + self.settings.batch_wait_ms();
        }
        if let Some(m) = self.machines.get_mut(&report.machine) {
            m.storing = true;
        }
        self.roster.booted.push(BootedMachine {
            machine: report.machine.clone(),
            entry: BootEntry {
                addr: report.addr.clone(),
                seen: (report.session, report.seq),
            },
            asker: Some(asker),
            since: now,
        });
    }

    pub(super) fn answer_first_report(&mut self, asker: Asker, machine: Option<(&MachineId, (u64, u64))>) {
        let Some(epoch) = self.epoch().filter(|_| self.entitled()) else {
            let later = crate::messages::Answer::later(503, 1, "not entitled to act at present");
            self.answer(asker, later);
            return;
        };
        let commands = match machine {
            Some((id, seen)) if self.machines.get(id).is_some_and(|m| m.last() == seen) => {
                self.orders_for(id, Some(seen))
            }
            _ => Vec::new(),
        };
        self.answer_orders(asker, epoch, commands);
    }

    pub(super) fn send_booted(&mut self) {
        let now = self.now.ms;
        // Nobody waits for longer than a worker's patience allows.
        let patience = self.settings.report_ms();
        let mut late = Vec::new();
        for n in &mut self.roster.booted {
            if now.saturating_sub(n.since) > patience {
                late.extend(n.asker.take());
            }
        }
        for asker in late {
            self.answer_first_report(asker, None);
        }
        let mine = |c: &Self, id: &MachineId| c.machines.get(id).is_some_and(|m| c.acting(m.partition).is_some());
        if let Some(batch) = self.roster.unsure.pop() {
            if self.state_writes.take(now, 0.0, 0.0) {
                if batch.entries.keys().any(|id| mine(self, id)) {
                    self.send_boot_batch(batch, Vec::new());
                }
            } else {
                self.roster.unsure.push(batch);
            }
        }
        if self.roster.booted.is_empty() || now < self.roster.booted_due {
            return;
        }
        if !self.state_writes.take(now, 0.0, 0.0) {
            return;
        }
        let fill = self.fill();
        let mut bytes = 2;
        let fits = |n: &&BootedMachine| {
            bytes += entry_bytes(&n.machine, &n.entry);
            bytes <= fill
        };
        let n = self.roster.booted.iter().take(SEATS).take_while(fits).count().max(1);
        let batch: Vec<BootedMachine> = self.roster.booted.drain(..n).collect();
        let mut entries = BTreeMap::new();
        let mut askers = Vec::new();
        for n in batch {
            askers.extend(n.asker.map(|a| (a, n.machine.clone(), n.entry.seen)));
            if mine(self, &n.machine) {
                entries.insert(n.machine, n.entry);
            } else if let Some(m) = self.machines.get_mut(&n.machine) {
                m.storing = false;
            }
        }
        let Some(first) = entries.keys().next() else {
            for (asker, _, _) in askers {
                self.answer_first_report(asker, None);
            }
            return;
        };
        // The epoch, and the number of a process's life, make the name one of its own.
        let first = first.clone();
        let key = self.boot_batch_key(&first);
        self.send_boot_batch(BootBatch { key, entries }, askers);
    }

    fn boot_batch_key(&mut self, first: &MachineId) -> String {
        self.roster.boot_batches_sent += 1;
        let (life, number) = (self.member.inc.0, self.roster.boot_batches_sent);
        format!("{first}.{life:x}.{number}")
    }

    /// A boot batch was too large: two of half its size take its place. Should an earlier copy of it land all the
    /// same, it says no more than they do.
    fn halve_boot_batch(&mut self, batch: BootBatch) {
        let half = batch.entries.len().div_ceil(2);
        let mut first = batch.entries;
        let second = match first.keys().nth(half).cloned() {
            Some(at) => first.split_off(&at),
            None => BTreeMap::new(),
        };
        if second.is_empty() {
            // Nothing is left to cut: its machine asks again with its next report.
            for id in first.keys() {
                if let Some(m) = self.machines.get_mut(id) {
                    m.storing = false;
                }
            }
            return;
        }
        for entries in [first, second] {
            let Some(id) = entries.keys().next().cloned() else {
                continue;
            };
            let key = self.boot_batch_key(&id);
            self.roster.unsure.push(BootBatch { key, entries });
        }
    }

    fn send_boot_batch(&mut self, batch: BootBatch, askers: Vec<(Asker, MachineId, (u64, u64))>) {
        let key = format!("{BOOT_BATCH_PREFIX}{}", batch.key);
        let conditions = vec![json!({ "k": key, "stamp": 0 }), self.epoch_condition()];
        let changes = vec![json!({ "write": key, "value": batch.entries })];
        self.txn(conditions, changes, Purpose::BootBatch { batch, askers });
    }

    pub(crate) fn on_boot_batch(
        &mut self,
        batch: BootBatch,
        askers: Vec<(Asker, MachineId, (u64, u64))>,
        result: Option<(u16, Vec<u8>)>,
    ) {
        let refused = matches!(&result, Some((400, _)));
        let stored = match result {
            Some((200, _)) => true,
            Some((409, body)) => {
                let failed = serde_json::from_slice::<TxnAnswer>(&body).unwrap_or_default().failed;
                // An earlier copy has landed; or else the epoch has moved on.
                failed.iter().any(|k| k.starts_with(BOOT_BATCH_PREFIX))
            }
            _ => false,
        };
        if stored {
            let value = serde_json::to_value(&batch.entries).ok();
            self.apply_boot_batch(&batch.key, value);
            self.run_batch();
        } else if refused {
            self.halve_boot_batch(batch);
        } else {
            // It may yet land. Until it is clear, nothing is placed on these machines.
            self.roster.unsure.push(batch);
        }
        for (asker, id, seen) in askers {
            self.answer_first_report(asker, Some((&id, seen)).filter(|_| stored));
        }
    }

    /// Marks the boot batches that no machine is left of to be deleted, once in a while.
    pub(super) fn sweep_boot_batches(&mut self) {
        let now = self.now.ms;
        if !self.is_leader() || now < self.roster.swept + self.settings.worker_lease_ms() {
            return;
        }
        self.roster.swept = now;
        let machines = &self.machines;
        let done = self
            .roster
            .boot_batches
            .iter()
            .filter(|(_, ids)| !ids.iter().any(|id| machines.contains_key(id)));
        let keys: Vec<String> = done.map(|(name, _)| format!("{BOOT_BATCH_PREFIX}{name}")).collect();
        for key in keys {
            if !self.cloud.stale_keys.contains(&key) {
                self.cloud.stale_keys.push(key);
            }
        }
    }
}
