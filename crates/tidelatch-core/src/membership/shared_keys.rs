//! The shared keys, which all controllers follow: the watch that delivers their changes, and how each is applied.

use super::records::{
    BOOT_BATCH_PREFIX, EPOCH_KEY, EpochRecord, JOB_PREFIX, LEADER_KEY, MEMBER_PREFIX, MemberRecord, ROSTER_PREFIX,
    SHARED_PREFIX, STEP_PREFIX, TYPES_KEY,
};
use crate::calls::CallPurpose;
use crate::controller::Controller;
use crate::disruption::DRAIN_PREFIX;
use crate::ids::{ControllerId, JobId, Revision};
use crate::messages::{Level, Method, Target};
use crate::protocol::{MachineTypes, StoreChanges};
use serde_json::Value;

impl Controller {
    /// Requests the next changes of the shared keys as a long poll, whose wait is as long as the lease.
    pub(super) fn watch_shared_keys(&mut self) {
        self.membership.is_watching = true;
        self.membership.watch_number += 1;
        let number = self.membership.watch_number;
        self.state_requests.take_unconditionally(self.now.ms, 1.0);
        let wait = self.settings.lease_ms();
        self.send_call(
            Target::State,
            Method::Get,
            format!(
                "/changes?prefix={SHARED_PREFIX}&since={}&waitMs={wait}",
                self.membership.revision
            ),
            String::new(),
            wait + wait / 4,
            CallPurpose::WatchSharedKeys { number },
        );
    }

    /// Delays the next request to the state service after one has failed.
    pub(super) fn back_off(&mut self) {
        self.membership.no_request_before_ms = self.now.ms + self.settings.report_ms() / 8;
    }

    /// Handles the reply to a watch: applies the changes and sends the next watch.
    pub(crate) fn on_watch(&mut self, number: u64, result: Option<(u16, Vec<u8>)>) {
        if number != self.membership.watch_number {
            return;
        }
        self.membership.is_watching = false;
        match result {
            Some((200, body)) => match serde_json::from_slice::<StoreChanges>(&body) {
                Ok(changes) => {
                    self.membership.watch_failures = 0;
                    for change in changes.news {
                        if let Some(key) = change.write {
                            self.apply_shared_key(&key, Some(change.value), change.stamp);
                        } else if let Some(key) = change.delete {
                            self.apply_shared_key(&key, None, change.stamp);
                        }
                    }
                    self.membership.revision = self.membership.revision.max(changes.ledger);
                    self.record_shared_keys_current();
                    self.watch_shared_keys();
                    self.finish_shared_key_changes();
                    self.tick_membership();
                    self.advance_takeovers();
                }
                Err(_) => self.back_off(),
            },
            // The state service no longer has the changes since the requested revision.
            Some((410, _)) => {
                self.membership.has_listed_keys = false;
                self.tick_membership();
            }
            _ => {
                // The size of a reply is not limited, and one that is too large for this controller would be too
                // large again. So after the second failure the keys are listed anew, in pages.
                self.membership.watch_failures += 1;
                if self.membership.watch_failures >= 2 {
                    self.membership.watch_failures = 0;
                    self.membership.has_listed_keys = false;
                }
                self.back_off();
            }
        }
    }

    /// Records that the shared keys are up to date, unless the reply waited in this process's buffers.
    pub(super) fn record_shared_keys_current(&mut self) {
        if !self.is_reply_stale {
            self.membership.shared_keys_current_at_ms = self.now.ms;
        }
    }

    /// Applies what follows from changes of shared keys, once all changes up to a revision have been applied.
    pub(super) fn finish_shared_key_changes(&mut self) {
        self.remove_departed_machines();
        self.apply_epoch();
    }

    /// Applies the new value of a shared key, or its deletion (`None`).
    pub(super) fn apply_shared_key(&mut self, key: &str, value: Option<Value>, revision: Revision) {
        if let Some(id) = key.strip_prefix(JOB_PREFIX) {
            if let Some(id) = JobId::parse(id) {
                self.on_job_record_changed(id, value, revision);
            }
        } else if let Some(name) = key.strip_prefix(ROSTER_PREFIX) {
            self.apply_group(name, value, revision);
        } else if let Some(name) = key.strip_prefix(STEP_PREFIX) {
            self.apply_split_step(name, value.is_some(), revision);
        } else if let Some(drain) = key.strip_prefix(DRAIN_PREFIX) {
            self.apply_drain_key(drain, value, revision);
        } else if let Some(name) = key.strip_prefix(BOOT_BATCH_PREFIX) {
            self.apply_boot_batch(name, value, revision);
        } else if let Some(name) = key.strip_prefix(MEMBER_PREFIX) {
            self.apply_member_record(ControllerId::new(name), value, revision);
        } else if key == LEADER_KEY {
            self.membership.leader = value
                .and_then(|v| serde_json::from_value(v).ok())
                .map(|record| (record, revision));
        } else if key == EPOCH_KEY {
            self.apply_epoch_record(value, revision);
        } else if key == TYPES_KEY
            && let Some(types) = value.and_then(|v| serde_json::from_value::<MachineTypes>(v).ok())
        {
            self.machine_types = types.types;
        }
    }

    /// Applies a controller's member record, or its deletion (`None`).
    fn apply_member_record(&mut self, name: ControllerId, value: Option<Value>, revision: Revision) {
        let exists = value.is_some();
        let record = value.and_then(|v| serde_json::from_value::<MemberRecord>(v).ok());
        if name == self.own_name {
            self.apply_own_member_record(record.as_ref(), exists, revision);
        }
        match record {
            Some(record) => {
                self.membership.members.insert(name, record);
            }
            None => {
                self.log(Level::Info, format!("controller {name} has left the membership"));
                self.membership.members.remove(&name);
            }
        }
    }

    /// Applies this controller's own member record: its revision, and whether it has to be written again.
    fn apply_own_member_record(&mut self, record: Option<&MemberRecord>, exists: bool, revision: Revision) {
        let membership = &mut self.membership;
        if exists {
            membership.own_revision = membership.own_revision.max(revision);
        } else if revision >= membership.own_revision {
            // A greater known revision comes from this controller's own later write.
            membership.own_revision = Revision(0);
        }
        // A delayed duplicate of an earlier incarnation's write may have replaced the present record.
        let is_present_record = record.is_some_and(|r| r.incarnation == membership.incarnation);
        if !is_present_record && !membership.is_writing_record {
            membership.written_record = None;
        }
    }

    /// Applies the epoch record if it is newer than the known one.
    fn apply_epoch_record(&mut self, value: Option<Value>, revision: Revision) {
        let Some(record) = value.and_then(|v| serde_json::from_value::<EpochRecord>(v).ok()) else {
            return;
        };
        let known = self.membership.epoch.as_ref().map(|(epoch, _)| epoch.number);
        if known.is_none_or(|known| known < record.number) {
            self.membership.epoch = Some((record, revision));
            self.membership.epoch_known_since_ms = self.now.ms;
        }
    }
}
