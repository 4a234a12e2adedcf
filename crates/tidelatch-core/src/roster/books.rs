//! Machines that have come up: their first reports, and the books that they are entered in.

use super::records::{BookEntry, SEATS, entry_bytes};
use crate::calls::{Asker, Purpose};
use crate::controller::Controller;
use crate::ids::MachineId;
use crate::membership::BOOK_PREFIX;
use crate::protocol::{Report, TxnAnswer};
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// A first report that waits for its machine to be entered.
#[derive(Debug, Clone)]
pub(super) struct Newcomer {
    pub(super) machine: MachineId,
    pub(super) entry: BookEntry,
    pub(super) asker: Option<Asker>,
    pub(super) since: u64,
}

/// A book on its way to the store. It is sent until there is a clear answer, always the same.
#[derive(Debug, Clone)]
pub(crate) struct Book {
    key: String,
    entries: BTreeMap<MachineId, BookEntry>,
}

impl Controller {
    /// A book was written, or deleted.
    pub(crate) fn apply_book(&mut self, name: &str, value: Option<Value>) {
        let entries = value.and_then(|v| serde_json::from_value::<BTreeMap<MachineId, BookEntry>>(v).ok());
        let Some(entries) = entries else {
            for id in self.roster.books.remove(name).unwrap_or_default() {
                self.roster.addresses.remove(&id);
            }
            return;
        };
        self.roster
            .books
            .insert(name.to_owned(), entries.keys().cloned().collect());
        for (id, entry) in entries {
            if let Some(m) = self.machines.get_mut(&id) {
                m.come_up(&entry.addr, entry.seen);
            }
            self.roster.addresses.insert(id, entry);
        }
    }

    /// A machine's first report: it may hold tasks only once a book says that it is up.
    pub(crate) fn store_first_beat(&mut self, asker: Asker, report: &Report) {
        let now = self.now.ms;
        if self.roster.newcomers.is_empty() {
            self.roster.newcomers_due = now + self.settings.batch_wait_ms();
        }
        if let Some(m) = self.machines.get_mut(&report.machine) {
            m.storing = true;
        }
        self.roster.newcomers.push(Newcomer {
            machine: report.machine.clone(),
            entry: BookEntry {
                addr: report.addr.clone(),
                seen: (report.session, report.seq),
            },
            asker: Some(asker),
            since: now,
        });
    }

    pub(super) fn answer_newcomer(&mut self, asker: Asker, machine: Option<(&MachineId, (u64, u64))>) {
        let Some(epoch) = self.epoch().filter(|_| self.entitled()) else {
            let later = crate::messages::Answer::later(503, 1, "not entitled to act at present");
            self.answer(asker, later);
            return;
        };
        let commands = match machine {
            Some((id, beat)) if self.machines.get(id).is_some_and(|m| m.last() == beat) => {
                self.orders_for(id, Some(beat))
            }
            _ => Vec::new(),
        };
        self.answer_orders(asker, epoch, commands);
    }

    pub(super) fn send_newcomers(&mut self) {
        let now = self.now.ms;
        // Nobody waits for longer than a worker's patience allows.
        let patience = self.settings.report_ms();
        let mut late = Vec::new();
        for n in &mut self.roster.newcomers {
            if now.saturating_sub(n.since) > patience {
                late.extend(n.asker.take());
            }
        }
        for asker in late {
            self.answer_newcomer(asker, None);
        }
        let mine = |c: &Self, id: &MachineId| c.machines.get(id).is_some_and(|m| c.acting(m.partition).is_some());
        if let Some(book) = self.roster.unsure.pop() {
            if self.state_writes.take(now, 0.0, 0.0) {
                if book.entries.keys().any(|id| mine(self, id)) {
                    self.send_book(book, Vec::new());
                }
            } else {
                self.roster.unsure.push(book);
            }
        }
        if self.roster.newcomers.is_empty() || now < self.roster.newcomers_due {
            return;
        }
        if !self.state_writes.take(now, 0.0, 0.0) {
            return;
        }
        let fill = self.fill();
        let mut bytes = 2;
        let fits = |n: &&Newcomer| {
            bytes += entry_bytes(&n.machine, &n.entry);
            bytes <= fill
        };
        let n = self.roster.newcomers.iter().take(SEATS).take_while(fits).count().max(1);
        let batch: Vec<Newcomer> = self.roster.newcomers.drain(..n).collect();
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
                self.answer_newcomer(asker, None);
            }
            return;
        };
        // The epoch, and the number of a process's life, make the name one of its own.
        let first = first.clone();
        let key = self.book_key(&first);
        self.send_book(Book { key, entries }, askers);
    }

    fn book_key(&mut self, first: &MachineId) -> String {
        self.roster.books_sent += 1;
        let (life, number) = (self.member.inc.0, self.roster.books_sent);
        format!("{first}.{life:x}.{number}")
    }

    /// A book was too large: two of half its size take its place. Should an earlier copy of it land all the
    /// same, it says no more than they do.
    fn halve_book(&mut self, book: Book) {
        let half = book.entries.len().div_ceil(2);
        let mut first = book.entries;
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
            let key = self.book_key(&id);
            self.roster.unsure.push(Book { key, entries });
        }
    }

    fn send_book(&mut self, book: Book, askers: Vec<(Asker, MachineId, (u64, u64))>) {
        let key = format!("{BOOK_PREFIX}{}", book.key);
        let conditions = vec![json!({ "k": key, "stamp": 0 }), self.epoch_condition()];
        let changes = vec![json!({ "write": key, "value": book.entries })];
        self.txn(conditions, changes, Purpose::Book { book, askers });
    }

    pub(crate) fn on_book(
        &mut self,
        book: Book,
        askers: Vec<(Asker, MachineId, (u64, u64))>,
        result: Option<(u16, Vec<u8>)>,
    ) {
        let refused = matches!(&result, Some((400, _)));
        let stored = match result {
            Some((200, _)) => true,
            Some((409, body)) => {
                let failed = serde_json::from_slice::<TxnAnswer>(&body).unwrap_or_default().failed;
                // An earlier copy has landed; or else the epoch has moved on.
                failed.iter().any(|k| k.starts_with(BOOK_PREFIX))
            }
            _ => false,
        };
        if stored {
            let value = serde_json::to_value(&book.entries).ok();
            self.apply_book(&book.key, value);
            self.run_batch();
        } else if refused {
            self.halve_book(book);
        } else {
            // It may yet land. Until it is clear, nothing is placed on these machines.
            self.roster.unsure.push(book);
        }
        for (asker, id, beat) in askers {
            self.answer_newcomer(asker, Some((&id, beat)).filter(|_| stored));
        }
    }

    /// Marks the books that no machine is left of to be deleted, once in a while.
    pub(super) fn sweep_books(&mut self) {
        let now = self.now.ms;
        if !self.is_leader() || now < self.roster.swept + self.settings.worker_lease_ms() {
            return;
        }
        self.roster.swept = now;
        let machines = &self.machines;
        let done = self
            .roster
            .books
            .iter()
            .filter(|(_, ids)| !ids.iter().any(|id| machines.contains_key(id)));
        let keys: Vec<String> = done.map(|(name, _)| format!("{BOOK_PREFIX}{name}")).collect();
        for key in keys {
            if !self.cloud.stale_keys.contains(&key) {
                self.cloud.stale_keys.push(key);
            }
        }
    }
}
