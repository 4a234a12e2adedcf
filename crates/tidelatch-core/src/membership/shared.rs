//! What all controllers follow: reading the shared keys, and the watch that tells of their changes.

use super::records::{
    BOOT_BATCH_PREFIX, EPOCH_KEY, EpochRecord, JOB_PREFIX, LEADER_KEY, MEMBER_PREFIX, MemberRecord, ROSTER_PREFIX,
    SHARED, STEP_PREFIX, TYPES_KEY,
};
use crate::calls::Purpose;
use crate::controller::Controller;
use crate::disruption::DRAIN_PREFIX;
use crate::ids::{ControllerId, JobId, Stamp};
use crate::messages::{Level, Method, Target};
use crate::protocol::{Changes, Items, MachineTypes};
use serde_json::Value;

impl Controller {
    pub(super) fn list(&mut self, cursor: String, first_ledger: u64) {
        self.member.listing = true;
        self.state_reads.force(self.now.ms, 1.0);
        let mut path = format!("/store?prefix={SHARED}&most=500");
        if !cursor.is_empty() {
            path.push_str(&format!("&since={cursor}"));
        }
        let timeout = self.settings.lease_ms() / 4;
        self.call(
            Target::State,
            Method::Get,
            path,
            String::new(),
            timeout,
            Purpose::List { cursor, first_ledger },
        );
    }

    pub(super) fn watch(&mut self) {
        self.member.watching = true;
        self.member.watch_number += 1;
        let number = self.member.watch_number;
        self.state_reads.force(self.now.ms, 1.0);
        let wait = self.settings.lease_ms();
        self.call(
            Target::State,
            Method::Get,
            format!("/changes?prefix={SHARED}&since={}&waitMs={wait}", self.member.ledger),
            String::new(),
            wait + wait / 4,
            Purpose::Watch { number },
        );
    }

    /// How long to leave the state service alone after it failed to answer.
    pub(super) fn back_off(&mut self) {
        self.member.retry_at = self.now.ms + self.settings.report_ms() / 8;
    }

    pub(crate) fn on_list(&mut self, cursor: String, first_ledger: u64, result: Option<(u16, Vec<u8>)>) {
        self.member.listing = false;
        let page = match result {
            Some((200, body)) => serde_json::from_slice::<Items>(&body).ok(),
            _ => None,
        };
        let Some(page) = page else {
            self.back_off();
            return;
        };
        if cursor.is_empty() {
            // What is listed anew replaces what was known: keys that are gone must not stay.
            self.member.members.clear();
            self.member.own_stamp = Stamp(0);
            self.member.leader = None;
            self.roster_listing_begins();
            self.drain_listing_begins();
        }
        let ledger = if first_ledger == 0 { page.ledger } else { first_ledger };
        let last = page.items.last().map(|i| i.k.clone());
        for item in page.items {
            self.apply(&item.k, Some(item.value), item.stamp);
        }
        match last {
            Some(last) if page.more => self.list(last, ledger),
            _ => {
                self.member.listed = true;
                self.member.ledger = ledger;
                self.note_view();
                self.roster_listed(ledger);
                self.drains_listed();
                self.note_epoch();
                self.tick_membership();
            }
        }
    }

    pub(crate) fn on_watch(&mut self, number: u64, result: Option<(u16, Vec<u8>)>) {
        if number != self.member.watch_number {
            return;
        }
        self.member.watching = false;
        match result {
            Some((200, body)) => match serde_json::from_slice::<Changes>(&body) {
                Ok(changes) => {
                    self.member.watch_failures = 0;
                    for change in changes.news {
                        if let Some(key) = change.write {
                            self.apply(&key, Some(change.value), change.stamp);
                        } else if let Some(key) = change.delete {
                            self.apply(&key, None, change.stamp);
                        }
                    }
                    self.member.ledger = self.member.ledger.max(changes.ledger);
                    self.note_view();
                    self.watch();
                    self.note_epoch();
                    self.tick_membership();
                    self.tick_tenures();
                }
                Err(_) => self.back_off(),
            },
            Some((410, _)) => {
                self.member.listed = false;
                self.tick_membership();
            }
            _ => {
                // An answer has no size limit: one that is too long for this controller would be so
                // again. The keys themselves come in pages.
                self.member.watch_failures += 1;
                if self.member.watch_failures >= 2 {
                    self.member.watch_failures = 0;
                    self.member.listed = false;
                }
                self.back_off();
            }
        }
    }

    /// The shared keys are known as they are now, unless the answer has lain in this process's buffers.
    fn note_view(&mut self) {
        if !self.stale {
            self.member.viewed_at = self.now.ms;
        }
    }

    /// One shared key has a new value, or is gone.
    pub(super) fn apply(&mut self, key: &str, value: Option<Value>, stamp: Stamp) {
        if let Some(id) = key.strip_prefix(JOB_PREFIX) {
            if let Some(id) = JobId::parse(id) {
                self.apply_job(id, value, stamp);
            }
        } else if let Some(name) = key.strip_prefix(ROSTER_PREFIX) {
            self.apply_group(name, value, stamp);
        } else if let Some(name) = key.strip_prefix(STEP_PREFIX) {
            self.apply_step(name, value.map_or(Stamp(0), |_| stamp));
        } else if let Some(drain) = key.strip_prefix(DRAIN_PREFIX) {
            self.apply_drain(drain, value, stamp);
        } else if let Some(name) = key.strip_prefix(BOOT_BATCH_PREFIX) {
            self.apply_boot_batch(name, value);
        } else if let Some(name) = key.strip_prefix(MEMBER_PREFIX) {
            let name = ControllerId::new(name);
            if name == self.me {
                self.member.own_stamp = match value {
                    Some(_) => self.member.own_stamp.max(stamp),
                    // Gone at this revision; a later one is this controller's own write.
                    None if stamp >= self.member.own_stamp => Stamp(0),
                    None => self.member.own_stamp,
                };
            }
            let record = value.and_then(|v| serde_json::from_value::<MemberRecord>(v).ok());
            // A late copy of an earlier life's write may have replaced this life's key.
            if name == self.me && record.as_ref().map(|r| r.inc) != Some(self.member.inc) && !self.member.writing {
                self.member.written = None;
            }
            match record {
                Some(record) => {
                    self.member.members.insert(name, record);
                }
                None => {
                    self.log(Level::Info, format!("controller {name} has left"));
                    self.member.members.remove(&name);
                }
            }
        } else if key == LEADER_KEY {
            self.member.leader = value
                .and_then(|v| serde_json::from_value(v).ok())
                .map(|record| (record, stamp));
        } else if key == EPOCH_KEY {
            if let Some(record) = value.and_then(|v| serde_json::from_value::<EpochRecord>(v).ok())
                && self.member.epoch.as_ref().is_none_or(|(e, _)| e.n < record.n)
            {
                self.member.epoch = Some((record, stamp));
            }
        } else if key == TYPES_KEY
            && let Some(types) = value.and_then(|v| serde_json::from_value::<MachineTypes>(v).ok())
        {
            self.types = types.types;
        }
    }
}
