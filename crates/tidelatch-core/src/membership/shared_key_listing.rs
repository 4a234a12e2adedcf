//! Listing of the shared keys: at the start, and whenever the watch cannot go on from the last known revision.
//!
//! A list is read in pages, which may be of different revisions: a key may change, and a machine may move from one
//! machine group to another, between two of them. So nothing is applied page by page. All pages are collected, and so
//! are the changes since the revision of the first page. Together they are the state of all keys at one revision,
//! which is then applied in one step. Ends of jobs are the exception: they are final, and are applied at once.

use super::records::{
    BOOT_BATCH_PREFIX, JOB_PREFIX, LEADER_KEY, MEMBER_PREFIX, ROSTER_PREFIX, SHARED_PREFIX, STEP_PREFIX,
};
use crate::calls::CallPurpose;
use crate::controller::Controller;
use crate::disruption::DRAIN_PREFIX;
use crate::ids::{JobId, Revision};
use crate::messages::{Level, Method, Target};
use crate::protocol::{StoreChanges, StoredItems};
use serde_json::Value;
use std::collections::BTreeMap;

/// The value of a listed key, and the revision of its last change.
#[derive(Debug)]
struct ListedKey {
    value: Value,
    revision: Revision,
}

/// The shared keys as collected from the pages of a list.
#[derive(Debug)]
pub(crate) struct SharedKeyListing {
    /// Revision of the first page.
    first_revision: u64,
    keys: BTreeMap<String, ListedKey>,
}

impl SharedKeyListing {
    /// Applies changes since the first page to the collected keys.
    fn apply_changes(&mut self, changes: StoreChanges) {
        for change in changes.news {
            let revision = change.stamp;
            if let Some(key) = change.write {
                let value = change.value;
                let is_older = self.keys.get(&key).is_some_and(|listed| listed.revision > revision);
                if !is_older {
                    self.keys.insert(key, ListedKey { value, revision });
                }
            } else if let Some(key) = change.delete
                && self.keys.get(&key).is_some_and(|listed| listed.revision <= revision)
            {
                self.keys.remove(&key);
            }
        }
    }
}

impl Controller {
    /// Requests a page of the shared keys, after the key `cursor`; an empty cursor starts a new listing.
    pub(super) fn list_shared_keys(&mut self, cursor: String) {
        self.membership.is_listing_keys = true;
        if cursor.is_empty() {
            self.membership.listing = None;
        }
        let mut path = format!("/store?prefix={SHARED_PREFIX}&most=500");
        if !cursor.is_empty() {
            path.push_str(&format!("&since={cursor}"));
        }
        self.read_shared_keys(path, CallPurpose::ListSharedKeys);
    }

    /// Requests the changes since the first page of the listing, after its last page.
    fn read_changes_since_listing(&mut self, first_revision: u64) {
        self.membership.is_listing_keys = true;
        let path = format!("/changes?prefix={SHARED_PREFIX}&since={first_revision}&waitMs=0");
        self.read_shared_keys(path, CallPurpose::ChangesSinceListing);
    }

    fn read_shared_keys(&mut self, path: String, purpose: CallPurpose) {
        self.state_requests.take_unconditionally(self.now.ms, 1.0);
        let timeout = self.settings.lease_ms() / 4;
        self.send_call(Target::State, Method::Get, path, String::new(), timeout, purpose);
    }

    /// Handles a page of the shared keys. Without one the listing starts again later.
    pub(crate) fn on_shared_keys(&mut self, result: Option<(u16, Vec<u8>)>) {
        self.membership.is_listing_keys = false;
        let page = match result {
            Some((200, body)) => serde_json::from_slice::<StoredItems>(&body).ok(),
            _ => None,
        };
        let Some(page) = page else {
            self.back_off();
            return;
        };
        let is_only_page = self.membership.listing.is_none() && !page.more;
        let mut listing = self.membership.listing.take().unwrap_or(SharedKeyListing {
            first_revision: page.ledger,
            keys: BTreeMap::new(),
        });
        let last = page.items.last().map(|item| item.k.clone());
        for item in page.items {
            if !self.is_settled_by_job_record(&item.k, &item.value, item.stamp) {
                let (value, revision) = (item.value, item.stamp);
                listing.keys.insert(item.k, ListedKey { value, revision });
            }
        }
        let first_revision = listing.first_revision;
        match last {
            Some(last) if page.more => {
                self.membership.listing = Some(listing);
                self.list_shared_keys(last);
            }
            _ if is_only_page => self.apply_listing(listing, first_revision),
            _ => {
                self.membership.listing = Some(listing);
                self.read_changes_since_listing(first_revision);
            }
        }
    }

    /// Whether a listed key is the record of a job of which nothing remains to be applied: one that is known at this
    /// revision, or one that has ended, which is applied here. Keeps the many jobs that are over out of the listing.
    fn is_settled_by_job_record(&mut self, key: &str, value: &Value, revision: Revision) -> bool {
        let Some(id) = key.strip_prefix(JOB_PREFIX).and_then(JobId::parse) else {
            return false;
        };
        self.apply_job_end(&id, value, revision);
        self.ended_jobs.contains_key(&id) || self.jobs.get(&id).is_some_and(|job| job.revision >= revision)
    }

    /// Handles the changes since the first page of a listing. Without them the listing starts again later.
    pub(crate) fn on_changes_since_listing(&mut self, result: Option<(u16, Vec<u8>)>) {
        self.membership.is_listing_keys = false;
        let changes = match result {
            Some((200, body)) => serde_json::from_slice::<StoreChanges>(&body).ok(),
            _ => None,
        };
        let (Some(mut listing), Some(changes)) = (self.membership.listing.take(), changes) else {
            self.back_off();
            return;
        };
        let revision = changes.ledger.max(listing.first_revision);
        listing.apply_changes(changes);
        self.apply_listing(listing, revision);
    }

    /// Applies the state of all shared keys at a revision.
    ///
    /// Keys are applied in the order of their revisions, as a watch would have delivered their last changes, and then
    /// the deletions. Machines that stand in no machine group any more are removed last.
    fn apply_listing(&mut self, listing: SharedKeyListing, revision: u64) {
        let deleted = self.known_keys_not_listed(&listing, revision);
        let mut keys: Vec<(String, ListedKey)> = listing.keys.into_iter().collect();
        keys.sort_by_key(|(_, listed)| listed.revision);
        self.log(
            Level::Debug,
            format!(
                "shared keys listed as of revision {revision}: {} keys, {} deleted",
                keys.len(),
                deleted.len()
            ),
        );
        for (key, listed) in keys {
            self.apply_shared_key(&key, Some(listed.value), listed.revision);
        }
        for key in deleted {
            self.apply_shared_key(&key, None, Revision(revision));
        }
        self.membership.has_listed_keys = true;
        self.membership.revision = self.membership.revision.max(revision);
        self.record_shared_keys_current();
        self.finish_shared_key_changes();
        self.tick_membership();
    }

    /// The keys that this controller knows at a revision up to `revision` and that a list as of that revision does not
    /// contain: they have been deleted. Job records and the epoch are never deleted.
    fn known_keys_not_listed(&self, listing: &SharedKeyListing, revision: u64) -> Vec<String> {
        let members = self
            .membership
            .members
            .keys()
            .map(|name| format!("{MEMBER_PREFIX}{name}"));
        let leader = self.membership.leader.iter().map(|_| LEADER_KEY.to_owned());
        let roster = self.roster.keys_up_to(Revision(revision));
        let groups = roster.groups.iter().map(|name| format!("{ROSTER_PREFIX}{name}"));
        let steps = roster.split_steps.iter().map(|name| format!("{STEP_PREFIX}{name}"));
        let boot_batches = roster
            .boot_batches
            .iter()
            .map(|name| format!("{BOOT_BATCH_PREFIX}{name}"));
        let drains = self
            .known_drain_keys()
            .into_iter()
            .map(|key| format!("{DRAIN_PREFIX}{key}"));
        members
            .chain(leader)
            .chain(groups)
            .chain(steps)
            .chain(boot_batches)
            .chain(drains)
            .filter(|key| !listing.keys.contains_key(key))
            .collect()
    }
}
