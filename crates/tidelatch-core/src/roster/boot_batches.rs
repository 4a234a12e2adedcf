//! Machines that have come up: their first reports, and the boot batches in which they are recorded.

use super::records::{BootEntry, MAX_MACHINES_PER_RECORD, entry_bytes};
use crate::calls::{CallPurpose, Requester};
use crate::controller::Controller;
use crate::ids::{MachineId, Revision};
use crate::membership::BOOT_BATCH_PREFIX;
use crate::protocol::{Report, TxnAnswer};
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// A machine that has sent its first report and is not in a boot batch yet.
#[derive(Debug, Clone)]
pub(super) struct BootedMachine {
    pub(super) machine: MachineId,
    pub(super) entry: BootEntry,
    /// Who waits for the answer to the first report; `None` once it has been answered.
    pub(super) requester: Option<Requester>,
    /// When the first report came, in milliseconds.
    pub(super) reported_at: u64,
}

/// A boot batch that is being written to the state service. The same write is repeated until there is a definite
/// answer.
#[derive(Debug, Clone)]
pub(crate) struct BootBatch {
    /// Name of the batch: its key without the prefix.
    name: String,
    entries: BTreeMap<MachineId, BootEntry>,
}

/// A boot batch as known to this controller.
#[derive(Debug)]
pub(super) struct StoredBootBatch {
    /// A revision at which it is known to be stored.
    pub(super) revision: Revision,
    pub(super) machines: Vec<MachineId>,
}

impl Controller {
    /// Applies a boot batch that was written, or deleted (`value` is none), as of a revision.
    pub(crate) fn apply_boot_batch(&mut self, name: &str, value: Option<Value>, revision: Revision) {
        let entries = value.and_then(|v| serde_json::from_value::<BTreeMap<MachineId, BootEntry>>(v).ok());
        let Some(entries) = entries else {
            let machines = self.roster.boot_batches.remove(name).map(|batch| batch.machines);
            for id in machines.unwrap_or_default() {
                self.roster.boot_entries.remove(&id);
            }
            return;
        };
        let machines = entries.keys().cloned().collect();
        let batch = StoredBootBatch { revision, machines };
        self.roster.boot_batches.insert(name.to_owned(), batch);
        for (id, entry) in entries {
            if let Some(m) = self.machines.get_mut(&id) {
                m.mark_up(&entry.address, entry.last_report);
            }
            self.roster.boot_entries.insert(id, entry);
        }
    }

    /// Queues a machine's first report for the next boot batch. The machine may hold tasks only once a boot batch
    /// records that it is up.
    pub(crate) fn queue_first_report(&mut self, requester: Requester, report: &Report) {
        let now = self.now.ms;
        if self.roster.booted.is_empty() {
            self.roster.boot_batch_due_at = now + self.settings.batch_wait_ms();
        }
        if let Some(m) = self.machines.get_mut(&report.machine) {
            m.is_boot_write_pending = true;
        }
        self.roster.booted.push(BootedMachine {
            machine: report.machine.clone(),
            entry: BootEntry {
                address: report.addr.clone(),
                last_report: (report.session, report.seq),
            },
            requester: Some(requester),
            reported_at: now,
        });
    }

    /// Answers a first report, with commands if the machine is recorded and has not reported since. `machine` is the
    /// recorded machine with the session and sequence number of the report; none if it was not recorded.
    pub(super) fn answer_first_report(&mut self, requester: Requester, machine: Option<(&MachineId, (u64, u64))>) {
        let Some(epoch) = self.epoch().filter(|_| self.is_entitled()) else {
            let later = crate::messages::Answer::retry_later(503, 1, "not entitled to act at present");
            self.send_answer(requester, later);
            return;
        };
        let commands = match machine {
            Some((id, first_report))
                if self
                    .machines
                    .get(id)
                    .is_some_and(|m| m.last_report_key() == first_report) =>
            {
                self.commands_for(id, Some(first_report))
            }
            _ => Vec::new(),
        };
        self.answer_with_commands(requester, epoch, commands);
    }

    /// Sends an unconfirmed boot batch again, and the next new boot batch if it is due.
    pub(super) fn send_boot_batches(&mut self) {
        let now = self.now.ms;
        // A first report is answered within a report interval, before the worker gives up on it.
        let max_wait_ms = self.settings.report_ms();
        let mut overdue = Vec::new();
        for n in &mut self.roster.booted {
            if now.saturating_sub(n.reported_at) > max_wait_ms {
                overdue.extend(n.requester.take());
            }
        }
        for requester in overdue {
            self.answer_first_report(requester, None);
        }
        let is_own = |c: &Self, id: &MachineId| {
            c.machines
                .get(id)
                .is_some_and(|m| c.active_tenure(m.partition).is_some())
        };
        if let Some(batch) = self.roster.unconfirmed_boot_batches.pop() {
            if self.state_writes.try_take(now, 0.0, 0.0) {
                if batch.entries.keys().any(|id| is_own(self, id)) {
                    self.send_boot_batch(batch, Vec::new());
                }
            } else {
                self.roster.unconfirmed_boot_batches.push(batch);
            }
        }
        if self.roster.booted.is_empty() || now < self.roster.boot_batch_due_at {
            return;
        }
        if !self.state_writes.try_take(now, 0.0, 0.0) {
            return;
        }
        let max_bytes = self.max_record_bytes();
        // 2 bytes for the braces around the entries.
        let mut bytes = 2;
        let fits = |n: &&BootedMachine| {
            bytes += entry_bytes(&n.machine, &n.entry);
            bytes <= max_bytes
        };
        let candidates = self.roster.booted.iter().take(MAX_MACHINES_PER_RECORD);
        let count = candidates.take_while(fits).count().max(1);
        let booted: Vec<BootedMachine> = self.roster.booted.drain(..count).collect();
        let mut entries = BTreeMap::new();
        let mut requesters = Vec::new();
        for n in booted {
            requesters.extend(n.requester.map(|r| (r, n.machine.clone(), n.entry.last_report)));
            if is_own(self, &n.machine) {
                entries.insert(n.machine, n.entry);
            } else if let Some(m) = self.machines.get_mut(&n.machine) {
                m.is_boot_write_pending = false;
            }
        }
        let Some(first) = entries.keys().next() else {
            for (requester, _, _) in requesters {
                self.answer_first_report(requester, None);
            }
            return;
        };
        // The incarnation and the batch's number in it make the name unique.
        let first = first.clone();
        let name = self.boot_batch_name(&first);
        self.send_boot_batch(BootBatch { name, entries }, requesters);
    }

    /// A unique name for a boot batch, from its first machine, this controller's incarnation and a counter.
    fn boot_batch_name(&mut self, first: &MachineId) -> String {
        self.roster.boot_batch_count += 1;
        let (incarnation, number) = (self.membership.incarnation.0, self.roster.boot_batch_count);
        format!("{first}.{incarnation:x}.{number}")
    }

    /// Replaces a boot batch that was too large with two of half its size. A late copy of the large batch's write is
    /// harmless, because it holds no other entries than the two halves.
    fn halve_boot_batch(&mut self, batch: BootBatch) {
        let half = batch.entries.len().div_ceil(2);
        let mut first = batch.entries;
        let second = match first.keys().nth(half).cloned() {
            Some(at) => first.split_off(&at),
            None => BTreeMap::new(),
        };
        if second.is_empty() {
            // A batch of one machine cannot be split. The machine's next report queues it again.
            for id in first.keys() {
                if let Some(m) = self.machines.get_mut(id) {
                    m.is_boot_write_pending = false;
                }
            }
            return;
        }
        for entries in [first, second] {
            let Some(id) = entries.keys().next().cloned() else {
                continue;
            };
            let name = self.boot_batch_name(&id);
            self.roster.unconfirmed_boot_batches.push(BootBatch { name, entries });
        }
    }

    /// Writes a boot batch, on condition that its key does not exist yet and the epoch is current.
    fn send_boot_batch(&mut self, batch: BootBatch, requesters: Vec<(Requester, MachineId, (u64, u64))>) {
        let key = format!("{BOOT_BATCH_PREFIX}{}", batch.name);
        let conditions = vec![json!({ "k": key, "stamp": 0 }), self.epoch_condition()];
        let changes = vec![json!({ "write": key, "value": batch.entries })];
        self.txn(conditions, changes, CallPurpose::WriteBootBatch { batch, requesters });
    }

    /// Handles the answer to the write of a boot batch.
    pub(crate) fn on_boot_batch_written(
        &mut self,
        batch: BootBatch,
        requesters: Vec<(Requester, MachineId, (u64, u64))>,
        result: Option<(u16, Vec<u8>)>,
    ) {
        let (status, answer) = match result {
            Some((status, body)) => (status, serde_json::from_slice::<TxnAnswer>(&body).unwrap_or_default()),
            None => (0, TxnAnswer::default()),
        };
        // If the batch's own key failed, an earlier copy of the write was applied. Otherwise the epoch has changed.
        let was_applied_earlier = status == 409 && answer.failed.iter().any(|k| k.starts_with(BOOT_BATCH_PREFIX));
        let is_stored = status == 200 || was_applied_earlier;
        if is_stored {
            let value = serde_json::to_value(&batch.entries).ok();
            self.apply_boot_batch(&batch.name, value, Revision(answer.ledger));
            self.run_batch();
        } else if status == 400 {
            self.halve_boot_batch(batch);
        } else {
            // The write may still be applied. Until its outcome is known, nothing is placed on these machines.
            self.roster.unconfirmed_boot_batches.push(batch);
        }
        for (requester, id, first_report) in requesters {
            self.answer_first_report(requester, Some((&id, first_report)).filter(|_| is_stored));
        }
    }

    /// Marks boot batches of which no machine is left for deletion. A late copy of a batch's write may create it again:
    /// it says no more than that machines have booted that no machine group lists, and is deleted again.
    pub(super) fn mark_stale_boot_batches(&mut self) {
        let machines = &self.machines;
        let stale = self
            .roster
            .boot_batches
            .iter()
            .filter(|(_, batch)| !batch.machines.iter().any(|id| machines.contains_key(id)));
        let keys: Vec<String> = stale.map(|(name, _)| format!("{BOOT_BATCH_PREFIX}{name}")).collect();
        self.delete_later(keys);
    }
}
