//! Taking the lead: the leader's key, and when this controller may change the membership at all.

use super::records::{LEADER_KEY, LeaderRecord};
use crate::calls::Purpose;
use crate::controller::Controller;
use crate::ids::{ControllerId, Stamp};
use crate::messages::Level;
use crate::protocol::TxnAnswer;
use serde_json::{Value, json};

impl Controller {
    /// Whether this controller's grants, forgotten ones included, let it change the membership.
    pub(super) fn may_change_membership(&self) -> bool {
        let now = self.now.ms;
        let (until, revision) = self.member.settle;
        if now < until && self.member.ledger < revision {
            return false;
        }
        let siblings = &self.settings.platform.siblings;
        let clear = |name: &str| self.member.cleared.contains(&ControllerId::new(name));
        let fresh = now < self.member.fresh_until && !siblings.iter().all(|s| clear(&s.host_name));
        now >= self.member.grants_given_until && !fresh
    }

    pub(crate) fn is_leader(&self) -> bool {
        self.entitled()
            && self
                .member
                .leader
                .as_ref()
                .is_some_and(|(l, _)| l.name == self.me && l.inc == self.member.inc)
    }

    pub(crate) fn leader_condition(&self) -> Value {
        let stamp = self.member.leader.as_ref().map_or(Stamp(0), |(_, s)| *s);
        json!({ "k": LEADER_KEY, "stamp": stamp })
    }

    pub(super) fn seek_leadership(&mut self) {
        let Some(permit) = self.member.permit else { return };
        if self.member.taking || !self.entitled() || !self.member.watching || !self.may_change_membership() {
            return;
        }
        // Whoever leads must itself be a member that the others see.
        if self.member.members.get(&self.me).map(|m| m.inc) != Some(self.member.inc) {
            return;
        }
        let stamp = match &self.member.leader {
            None => Stamp(0),
            // The process that held this key under this name has ended: this one runs in its place.
            Some((l, stamp)) if l.name == self.me && l.inc != self.member.inc => *stamp,
            Some(_) => return,
        };
        self.member.taking = true;
        let record = LeaderRecord {
            name: self.me.clone(),
            inc: self.member.inc,
        };
        self.txn(
            vec![json!({ "k": LEADER_KEY, "stamp": stamp })],
            vec![json!({ "write": LEADER_KEY, "value": record, "permit": permit })],
            Purpose::LeaderTake,
        );
    }

    pub(crate) fn on_leader_take(&mut self, result: Option<(u16, Vec<u8>)>) {
        self.member.taking = false;
        self.settle(&result);
        if let Some((200, _)) = result {
            self.log(Level::Info, "taken the lead");
            self.member.leader_since = self.now.ms;
        }
    }

    /// Waits for the watch to tell what has come of a try, for a quarter of the lease at most.
    pub(super) fn settle(&mut self, result: &Option<(u16, Vec<u8>)>) {
        let answer = result
            .as_ref()
            .and_then(|(_, body)| serde_json::from_slice::<TxnAnswer>(body).ok());
        let revision = answer.map_or(u64::MAX, |a| a.ledger);
        self.member.settle = (self.now.ms + self.settings.lease_ms() / 4, revision);
    }
}
