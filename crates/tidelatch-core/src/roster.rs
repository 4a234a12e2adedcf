//! The stored roster: which machines there are, whose they are, and which of them may hold tasks.
//!
//! The state service takes few changes a second, and hundreds of machines come up together. So a value
//! does not stand for one machine. Machines of one kind that were rented together for one partition
//! share a *rack*; and those that come up at about the same time are entered in one *book* with their
//! addresses. A machine may hold tasks only once it stands in a rack and in a book: a take-over knows
//! by that which machines matter, and those that are still booting do not hold it up.
//!
//! A rack is created by the leader and changed by the partition's owner, each time on condition of its
//! revision; a machine that is handed over goes to a new rack in the same transaction. A book is never
//! changed, and deleted once none of its machines is left.

use crate::calls::{Asker, Purpose};
use crate::capacity::Kind;
use crate::controller::Controller;
use crate::ids::{MachineId, Partition, Stamp};
use crate::jobs::bytes_of;
use crate::membership::{BOOK_PREFIX, ROSTER_PREFIX, STEP_PREFIX};
use crate::messages::Level;
use crate::picture::Machine;
use crate::protocol::{Report, TxnAnswer};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// Machines of one kind in one partition, as stored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RackRecord {
    /// The partition whose owner uses them.
    pub part: Partition,
    /// Type.
    pub model: String,
    /// Zone.
    pub zone: String,
    /// Spot machines.
    pub spot: bool,
    /// Time of day of their rental.
    #[serde(default)]
    pub at: u64,
    /// Partitions other than `part` whose tasks may still be on them: each went to `part` while it ran those.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty", rename = "also")]
    pub also_holds: BTreeSet<Partition>,
    /// The machines, each with its session and sequence number when it came into the rack: nothing
    /// older counts.
    pub m: BTreeMap<MachineId, (u64, u64)>,
}

/// A machine that has come up, as stored in a book.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BookEntry {
    /// Where it takes commands.
    pub addr: String,
    /// Its session and sequence number: nothing older counts.
    pub seen: (u64, u64),
}

/// A rack as known here.
#[derive(Debug, Clone)]
struct Rack {
    stamp: Stamp,
    record: RackRecord,
    /// A change of it is under way.
    sending: bool,
    /// Revision of the key that each step of taking it apart writes.
    step: Stamp,
    /// A change was refused at this revision: once the watch has come so far, it is known why.
    settles_at: Option<u64>,
}

/// A first report that waits for its machine to be entered.
#[derive(Debug, Clone)]
struct Newcomer {
    machine: MachineId,
    entry: BookEntry,
    asker: Option<Asker>,
    since: u64,
}

/// A book on its way to the store. It is sent until there is a clear answer, always the same.
#[derive(Debug, Clone)]
pub(crate) struct Book {
    key: String,
    entries: BTreeMap<MachineId, BookEntry>,
}

/// Machines of one kind that were rented, and are not in the roster yet.
#[derive(Debug, Clone)]
pub(crate) struct Rented {
    pub(crate) machine: MachineId,
    pub(crate) partition: Partition,
    pub(crate) kind: Kind,
    /// It was found rather than rented: its name may have stood in the roster before.
    pub(crate) found: bool,
}

/// Racks, books, and the changes of them that are under way.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    racks: BTreeMap<String, Rack>,
    books: BTreeMap<String, Vec<MachineId>>,
    addresses: BTreeMap<MachineId, BookEntry>,
    listed: BTreeSet<String>,
    /// Racks with something to be written, and from when on.
    due: BTreeMap<String, u64>,
    newcomers: Vec<Newcomer>,
    newcomers_due: u64,
    /// Books without a clear answer, to be sent again.
    unsure: Vec<Book>,
    books_sent: u32,
    swept: u64,
    /// The leader's new racks: sent, and not clear yet.
    creating: Vec<(String, RackRecord)>,
    creating_sent: bool,
}

/// A rack's machines in as many racks as hold them.
fn split(rack: &RackRecord, empty: &RackRecord, fill: usize) -> Vec<RackRecord> {
    let base = bytes_of(empty);
    let mut pieces: Vec<(usize, RackRecord)> = Vec::new();
    for (id, seen) in &rack.m {
        let more = entry_bytes(id, seen);
        match pieces.last_mut().filter(|(bytes, _)| bytes + more <= fill) {
            Some((bytes, piece)) => {
                *bytes += more;
                piece.m.insert(id.clone(), *seen);
            }
            None => {
                let mut piece = empty.clone();
                piece.m.insert(id.clone(), *seen);
                pieces.push((base + more, piece));
            }
        }
    }
    pieces.into_iter().map(|(_, piece)| piece).collect()
}

/// Most machines in one stored value, whatever it may hold.
const SEATS: usize = 50;

/// What a machine's entry adds to a stored value.
fn entry_bytes(machine: &MachineId, entry: &impl Serialize) -> usize {
    bytes_of(machine) + bytes_of(entry) + 2
}

impl Controller {
    /// Bytes that a rack or a book is filled up to: what it says of its machines may grow by some digits.
    fn fill(&self) -> usize {
        self.limits.value * 3 / 4
    }

    /// The keys are being listed anew.
    pub(crate) fn roster_listing_begins(&mut self) {
        self.roster.listed.clear();
    }

    /// All keys have been listed as of some revision: racks that were not among them are gone.
    pub(crate) fn roster_listed(&mut self, ledger: u64) {
        let listed = std::mem::take(&mut self.roster.listed);
        let gone: Vec<String> = self
            .roster
            .racks
            .iter()
            .filter(|(name, r)| !listed.contains(*name) && r.stamp.0 <= ledger)
            .map(|(name, _)| name.clone())
            .collect();
        for name in gone {
            self.apply_rack(&name, None, Stamp(ledger + 1));
        }
    }

    /// A rack has a new value, or is gone.
    pub(crate) fn apply_rack(&mut self, name: &str, value: Option<Value>, stamp: Stamp) {
        self.roster.listed.insert(name.to_owned());
        if self.roster.racks.get(name).is_some_and(|r| r.stamp >= stamp) {
            return;
        }
        let mut record = value.and_then(|v| serde_json::from_value::<RackRecord>(v).ok());
        if let Some(record) = record.as_mut().filter(|_| !self.set.features.shared_machines) {
            // The version before shared machines passes over the field.
            record.also_holds.clear();
        }
        let old = self.roster.racks.remove(name);
        let here = |c: &Self, id: &MachineId| c.machines.get(id).is_some_and(|m| m.rack == name);
        for id in old.iter().flat_map(|r| r.record.m.keys()) {
            let stays = record.as_ref().is_some_and(|r| r.m.contains_key(id));
            if !stays && here(self, id) {
                self.leave(id);
            }
        }
        let Some(record) = record else {
            self.roster.due.remove(name);
            return;
        };
        for (id, seen) in &record.m {
            match self.machines.get(id) {
                Some(m) if m.rack == name => {
                    self.set_also_holds(id, &record.also_holds);
                    continue;
                }
                // Handed over at a later revision than this one.
                Some(m) if self.roster.racks.get(&m.rack).is_some_and(|r| r.stamp > stamp) => continue,
                // A rack that had become too large was split: nothing has changed for its machines.
                Some(m) if m.partition == record.part && m.moving.is_none() => {
                    if let Some(m) = self.machines.get_mut(id) {
                        m.rack = name.to_owned();
                    }
                    self.set_also_holds(id, &record.also_holds);
                    continue;
                }
                _ => {}
            }
            let carried = self.take_carried_tasks(id);
            let kind = if record.spot { " (spot)" } else { "" };
            self.log(
                Level::Debug,
                format!(
                    "{id}: {} in {}{kind}, partition {}",
                    record.model, record.zone, record.part
                ),
            );
            let book = self.roster.addresses.get(id);
            let floor = book.map_or(*seen, |b| b.seen.max(*seen));
            let addr = book.map_or(String::new(), |b| b.addr.clone());
            let mut machine = Machine::new(name, &record, addr, floor, self.now.ms);
            machine.carry(carried);
            self.machines.insert(id.clone(), machine);
        }
        // Whatever change of it was under way has landed, or cannot land any more; what is still to be
        // written is sent on top of this value.
        let open = |m: &Machine| m.rack == name && (m.gone || m.moving.is_some());
        if record.m.keys().any(|id| self.machines.get(id).is_some_and(open)) {
            self.roster.due.entry(name.to_owned()).or_insert(self.now.ms);
        }
        self.roster.racks.insert(
            name.to_owned(),
            Rack {
                stamp,
                record,
                sending: false,
                step: old.as_ref().map_or(Stamp(0), |r| r.step),
                settles_at: old.and_then(|r| r.settles_at).filter(|at| *at > stamp.0),
            },
        );
    }

    /// A rack is being taken apart in steps, or no longer.
    pub(crate) fn apply_step(&mut self, name: &str, stamp: Stamp) {
        if let Some(rack) = self.roster.racks.get_mut(name) {
            rack.step = stamp;
        }
    }

    /// A machine has left the roster.
    fn leave(&mut self, id: &MachineId) {
        let Some(partition) = self.machines.get(id).map(|m| m.partition) else {
            return;
        };
        self.release_all(id, "its roster entry is gone");
        self.machines.remove(id);
        // The cloud's list still shows it for a while, and a late report may come.
        self.cloud.note_deleted(id.clone(), self.now.ms);
        self.log(Level::Debug, format!("{id} left partition {partition}"));
    }

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
            self.roster.newcomers_due = now + self.set.batch_wait_ms();
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

    /// At the start of a tenure nothing of what was being entered for the partition counts any more.
    pub(crate) fn reset_roster(&mut self, partition: Partition) {
        let mut askers = Vec::new();
        let machines = &self.machines;
        self.roster.newcomers.retain_mut(|n| {
            let other = machines.get(&n.machine).is_some_and(|m| m.partition != partition);
            if !other {
                askers.extend(n.asker.take());
            }
            other
        });
        let now = self.now.ms;
        for (name, r) in self.roster.racks.iter_mut().filter(|(_, r)| r.record.part == partition) {
            r.sending = false;
            r.settles_at = None;
            // An earlier owner may have ended while it split this one.
            let here = |id: &MachineId| machines.get(id).is_some_and(|m| m.rack == *name);
            if !r.record.m.keys().all(here) {
                self.roster.due.entry(name.clone()).or_insert(now);
            }
        }
        for asker in askers {
            self.answer_newcomer(asker, None);
        }
    }

    fn answer_newcomer(&mut self, asker: Asker, machine: Option<(&MachineId, (u64, u64))>) {
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

    /// Marks a machine's rack as one to be written, from some time on.
    pub(crate) fn rack_due(&mut self, machine: &MachineId, at: u64) {
        if let Some(rack) = self.machines.get(machine).map(|m| m.rack.clone()) {
            let due = self.roster.due.entry(rack).or_insert(at);
            *due = (*due).min(at);
        }
    }

    /// Hands a machine to another partition, empty or with the tasks that run on it.
    pub(crate) fn hand_over(&mut self, id: &MachineId, to: Partition) {
        let acting = self
            .machines
            .get(id)
            .is_some_and(|m| self.acting(m.partition).is_some());
        if let Some(m) = self.machines.get_mut(id).filter(|_| acting) {
            m.moving = Some(to);
            self.rack_due(id, self.now.ms);
        }
    }

    /// Writes what is due: newcomers, racks that change, and books that can go.
    pub(crate) fn tick_roster(&mut self) {
        if !self.entitled() {
            return;
        }
        self.send_newcomers();
        let now = self.now.ms;
        let due: Vec<String> = self
            .roster
            .due
            .iter()
            .filter(|(_, at)| now >= **at)
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.send_rack(&name);
        }
        if self.is_leader() && now >= self.roster.swept + self.set.worker_lease_ms() {
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

    fn send_newcomers(&mut self) {
        let now = self.now.ms;
        // Nobody waits for longer than a worker's patience allows.
        let patience = self.set.report_ms();
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

    /// Writes a rack without the machines that are gone or go elsewhere.
    fn send_rack(&mut self, name: &str) {
        let ledger = self.member.ledger;
        let Some(rack) = self.roster.racks.get_mut(name) else {
            self.roster.due.remove(name);
            return;
        };
        if rack.sending {
            return;
        }
        if let Some(at) = rack.settles_at {
            if ledger < at {
                return;
            }
            rack.settles_at = None;
            // The watch has told what has become of the refused change: hand-overs in it are off.
            let ids: Vec<MachineId> = rack.record.m.keys().cloned().collect();
            for id in ids {
                if let Some(m) = self.machines.get_mut(&id).filter(|m| m.rack == name) {
                    m.moving = None;
                }
            }
        }
        let Some(rack) = self.roster.racks.get(name) else {
            return;
        };
        if self.acting(rack.record.part).is_none() {
            return;
        }
        let (stamp, step, mut rest) = (rack.stamp, rack.step, rack.record.clone());
        let (ops, fill) = (self.limits.ops, self.fill());
        let empty = RackRecord {
            m: BTreeMap::new(),
            ..rest.clone()
        };
        let mut moved: BTreeMap<(Partition, BTreeSet<Partition>), RackRecord> = BTreeMap::new();
        for id in rack.record.m.keys() {
            let machine = self.machines.get(id);
            let Some(m) = machine.filter(|m| m.rack == name) else {
                // It has been entered in a later rack, or has left that already: this one was being split.
                let later = |m: &Machine| self.roster.racks.get(&m.rack).is_some_and(|r| r.stamp > stamp);
                if machine.is_none_or(later) {
                    rest.m.remove(id);
                }
                continue;
            };
            if m.gone {
                rest.m.remove(id);
            } else if let Some(to) = m.moving {
                let mut also_holds = self.partitions_on(m);
                also_holds.remove(&to);
                // What a change cannot hold goes with the next one.
                let target = (to, also_holds);
                if !moved.contains_key(&target) && moved.len() + 1 >= ops {
                    continue;
                }
                let part = moved.entry(target.clone()).or_insert_with(|| RackRecord {
                    part: to,
                    also_holds: target.1,
                    ..empty.clone()
                });
                if part.m.is_empty() || bytes_of(part) + entry_bytes(id, &m.last()) <= fill {
                    part.m.insert(id.clone(), m.last());
                    rest.m.remove(id);
                }
            }
        }
        rest.also_holds = self.partitions_beside_owner(&rest);
        let empty = RackRecord {
            also_holds: rest.also_holds.clone(),
            ..empty
        };
        if rest.m.len() == rack.record.m.len() && rest.also_holds == rack.record.also_holds {
            self.roster.due.remove(name);
            return;
        }
        // A rack of the version before may hold more than a value may hold by now. What is left of it stands
        // in smaller ones, at once if a change can hold them all. Else some are entered in new racks first,
        // beside the old one: whoever reads both goes by the later.
        let mut pieces = split(&rest, &empty, fill);
        let in_steps = pieces.len() > 1 && moved.len() + pieces.len() > ops;
        if in_steps {
            moved.clear();
            let stays = |id: &MachineId| self.machines.get(id).is_none_or(|m| m.moving.is_none());
            let mut kept = rest.clone();
            kept.m.retain(|id, _| stays(id));
            let kept = if kept.m.is_empty() { &rest } else { &kept };
            pieces = split(kept, &empty, fill);
            pieces.truncate(ops - 1);
            self.log(
                Level::Info,
                format!("rack {name} is larger than may be written: taking it apart in steps"),
            );
        }
        let reserve = if moved.is_empty() { 0.3 } else { 0.1 };
        if !self.state_writes.take(self.now.ms, 0.0, reserve) {
            return;
        }
        self.roster.due.remove(name);
        // New racks come first, so that whoever follows the changes sees no machine without one.
        // A machine stands in one rack of this revision, so its name makes one that nobody has used.
        let key = |record: &RackRecord, word: &str| {
            let first = record.m.keys().next().map_or(name, MachineId::as_str);
            format!("{first}.{stamp}.{word}")
        };
        let mut changes: Vec<(String, Option<RackRecord>)> = moved
            .into_iter()
            .map(|((to, _), record)| (key(&record, &to.to_string()), Some(record)))
            .collect();
        let rest = match in_steps {
            true => None,
            false if pieces.is_empty() => Some(empty),
            false => Some(pieces.remove(0)),
        };
        changes.extend(pieces.into_iter().map(|piece| (key(&piece, "s"), Some(piece))));
        let mut conditions = vec![self.epoch_condition()];
        conditions.push(json!({ "k": format!("{ROSTER_PREFIX}{name}"), "stamp": stamp }));
        let step_key = format!("{STEP_PREFIX}{name}");
        for (key, _) in &changes {
            conditions.push(json!({ "k": format!("{ROSTER_PREFIX}{key}"), "stamp": 0 }));
        }
        if let Some(rest) = rest {
            changes.push((name.to_owned(), Some(rest).filter(|r| !r.m.is_empty())));
        }
        let then = changes.iter().map(|(key, record)| {
            let key = format!("{ROSTER_PREFIX}{key}");
            match record {
                Some(record) => json!({ "write": key, "value": record }),
                None => json!({ "delete": key }),
            }
        });
        let mut then: Vec<Value> = then.collect();
        if in_steps {
            // A step leaves the old rack as it is. Without a key that each of them changes, one without an
            // answer could land after later ones, and take machines back from where they have gone since.
            conditions.push(json!({ "k": step_key, "stamp": step }));
            then.push(json!({ "write": step_key, "value": true }));
        } else if step != Stamp(0) && !self.cloud.stale_keys.contains(&step_key) {
            self.cloud.stale_keys.push(step_key);
        }
        if let Some(rack) = self.roster.racks.get_mut(name) {
            rack.sending = true;
        }
        let rack = name.to_owned();
        self.txn(conditions, then, Purpose::Rack { rack, stamp, changes });
    }

    pub(crate) fn on_rack(
        &mut self,
        name: String,
        stamp: Stamp,
        changes: Vec<(String, Option<RackRecord>)>,
        result: Option<(u16, Vec<u8>)>,
    ) {
        let answer = |body: &[u8]| serde_json::from_slice::<TxnAnswer>(body).ok();
        if let Some((200, body)) = &result
            && let Some(answer) = answer(body)
        {
            let whole = changes.iter().any(|(key, _)| *key == name);
            for (key, record) in changes {
                let value = record.and_then(|r| serde_json::to_value(r).ok());
                self.apply_rack(&key, value, Stamp(answer.ledger));
            }
            if let Some(rack) = self.roster.racks.get_mut(&name).filter(|_| !whole) {
                // Some of its machines stand elsewhere now: the next step.
                rack.sending = false;
                rack.step = Stamp(answer.ledger);
                self.roster.due.insert(name, self.now.ms);
            }
            return;
        }
        let again = self.now.ms + self.set.report_ms() / 4;
        let Some(rack) = self.roster.racks.get_mut(&name).filter(|r| r.stamp == stamp) else {
            return;
        };
        rack.sending = false;
        // Refused. If it was an earlier copy that landed, the watch brings that by then. Without a
        // definite answer a copy may still land: the machines stay out of use, and it is sent again.
        if let Some((409, body)) = &result {
            rack.settles_at = Some(answer(body).map_or(0, |t| t.ledger));
        }
        self.roster.due.insert(name, again);
    }

    /// Enters rented machines in the roster. Only then may anybody use them.
    pub(crate) fn write_roster(&mut self) {
        if self.roster.creating_sent || !self.is_leader() {
            return;
        }
        if self.roster.creating.is_empty() {
            self.draw_racks();
        }
        if self.roster.creating.is_empty() || !self.state_writes.take(self.now.ms, 0.0, -0.2) {
            return;
        }
        let mut conditions = vec![self.leader_condition(), self.epoch_condition()];
        let mut changes = Vec::new();
        for (name, record) in &self.roster.creating {
            let key = format!("{ROSTER_PREFIX}{name}");
            conditions.push(json!({ "k": key, "stamp": 0 }));
            changes.push(json!({ "write": key, "value": record }));
        }
        self.roster.creating_sent = true;
        self.txn(conditions, changes, Purpose::RacksNew);
    }

    /// Puts what was rented into new racks, as many as one transaction takes.
    fn draw_racks(&mut self) {
        let (room, fill) = (self.limits.ops, self.fill());
        let rented = self.now.wall_ms;
        let mut racks: Vec<(String, RackRecord)> = Vec::new();
        let mut bytes: Vec<usize> = Vec::new();
        let ledger = self.member.ledger;
        for r in &self.cloud.unlisted {
            if self.machines.contains_key(&r.machine) {
                continue;
            }
            let more = entry_bytes(&r.machine, &(0, 0));
            let fits = |((_, rack), bytes): (&(String, RackRecord), &usize)| {
                let kind = (&rack.model, &rack.zone, rack.spot);
                let same = rack.part == r.partition && kind == (&r.kind.0, &r.kind.1, r.kind.2);
                same && rack.m.len() < SEATS && bytes + more <= fill
            };
            let at = match racks.iter().zip(&bytes).position(fits) {
                Some(at) => at,
                None if racks.len() >= room => continue,
                None => {
                    // A machine is rented once, so its name makes one for its first rack.
                    let name = match r.found {
                        false => r.machine.to_string(),
                        true => format!("{}.found.{ledger}", r.machine),
                    };
                    let record = RackRecord {
                        part: r.partition,
                        model: r.kind.0.clone(),
                        zone: r.kind.1.clone(),
                        spot: r.kind.2,
                        at: rented,
                        also_holds: BTreeSet::new(),
                        m: BTreeMap::new(),
                    };
                    bytes.push(bytes_of(&record));
                    racks.push((name, record));
                    racks.len() - 1
                }
            };
            if let Some(((_, rack), bytes)) = racks.get_mut(at).zip(bytes.get_mut(at)) {
                rack.m.insert(r.machine.clone(), (0, 0));
                *bytes += more;
            }
        }
        if racks.is_empty() {
            // All of them are in the roster by other ways.
            self.cloud.unlisted.clear();
        }
        self.roster.creating = racks;
    }

    pub(crate) fn on_racks_new(&mut self, result: Option<(u16, Vec<u8>)>) {
        self.roster.creating_sent = false;
        let (status, answer) = match result {
            Some((status, body)) => (status, serde_json::from_slice::<TxnAnswer>(&body).unwrap_or_default()),
            None => (0, TxnAnswer::default()),
        };
        if status == 400 {
            // Too much for one change: drawn anew, smaller. What cannot be cut is left to be returned.
            let creating = std::mem::take(&mut self.roster.creating);
            let single = creating.len() <= 1 && creating.iter().all(|(_, r)| r.m.len() <= 1);
            let dropped: BTreeSet<&MachineId> = creating.iter().flat_map(|(_, r)| r.m.keys()).collect();
            self.cloud.unlisted.retain(|r| !single || !dropped.contains(&r.machine));
        }
        let landed = status == 409 && answer.failed.iter().any(|k| k.starts_with(ROSTER_PREFIX));
        if status == 200 || landed {
            let racks = std::mem::take(&mut self.roster.creating);
            let mut listed = BTreeSet::new();
            for (name, record) in racks {
                listed.extend(record.m.keys().cloned());
                self.cloud.fresh_from.insert(record.part, answer.ledger);
                if status == 200 {
                    self.apply_rack(&name, serde_json::to_value(record).ok(), Stamp(answer.ledger));
                }
            }
            self.cloud.unlisted.retain(|r| !listed.contains(&r.machine));
            self.write_roster();
        }
    }

    /// A controller that does not lead has nothing to create.
    pub(crate) fn forget_new_racks(&mut self) {
        if !self.roster.creating_sent {
            self.roster.creating.clear();
        }
    }
}
