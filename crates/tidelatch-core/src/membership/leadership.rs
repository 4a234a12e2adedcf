//! Leader election through the leader record, and the conditions under which this controller may change the membership.

use super::records::{LEADER_KEY, LeaderRecord};
use crate::calls::CallPurpose;
use crate::controller::Controller;
use crate::ids::{ControllerId, Revision};
use crate::messages::Level;
use crate::protocol::TxnAnswer;
use serde_json::{Value, json};

impl Controller {
    /// Whether this controller may change the membership: all grants that it gave, including those that an earlier
    /// incarnation may have given, have expired or are not relied on, and no earlier attempt is pending.
    pub(super) fn may_change_membership(&self) -> bool {
        let now = self.now.ms;
        let (until, revision) = self.membership.next_membership_change;
        if now < until && self.membership.revision < revision {
            return false;
        }
        let siblings = &self.settings.platform.siblings;
        let relies_on_none = |name: &str| {
            self.membership
                .peers_relying_on_no_grant
                .contains(&ControllerId::new(name))
        };
        let may_have_earlier_grants =
            now < self.membership.earlier_grants_until_ms && !siblings.iter().all(|s| relies_on_none(&s.host_name));
        now >= self.membership.given_grants_until_ms && !may_have_earlier_grants
    }

    /// Whether this controller is the leader and entitled to act.
    pub(crate) fn is_leader(&self) -> bool {
        self.is_entitled()
            && self
                .membership
                .leader
                .as_ref()
                .is_some_and(|(l, _)| l.name == self.own_name && l.incarnation == self.membership.incarnation)
    }

    /// The transaction condition that the stored leader is still the one that this controller knows.
    pub(crate) fn leader_condition(&self) -> Value {
        let revision = self.membership.leader.as_ref().map_or(Revision(0), |(_, s)| *s);
        json!({ "k": LEADER_KEY, "stamp": revision })
    }

    /// Tries to become leader if there is none, or if an earlier incarnation of this controller was the leader.
    pub(super) fn take_leadership(&mut self) {
        let Some(lease_id) = self.membership.lease_id else {
            return;
        };
        if self.membership.is_taking_leadership
            || !self.is_entitled()
            || !self.membership.is_watching
            || !self.may_change_membership()
        {
            return;
        }
        // A leader must be registered as a member, so that the other controllers see it.
        if self.membership.members.get(&self.own_name).map(|m| m.incarnation) != Some(self.membership.incarnation) {
            return;
        }
        let revision = match &self.membership.leader {
            None => Revision(0),
            // The stored leader is an earlier incarnation of this controller and has ended.
            Some((leader, revision))
                if leader.name == self.own_name && leader.incarnation != self.membership.incarnation =>
            {
                *revision
            }
            Some(_) => return,
        };
        self.membership.is_taking_leadership = true;
        let record = LeaderRecord {
            name: self.own_name.clone(),
            incarnation: self.membership.incarnation,
        };
        self.txn(
            vec![json!({ "k": LEADER_KEY, "stamp": revision })],
            vec![json!({ "write": LEADER_KEY, "value": record, "permit": lease_id })],
            CallPurpose::LeaderWrite,
        );
    }

    /// As the leader, writes the leader record again with the same value. From then on no transaction that this leader
    /// has sent before can be carried out any more.
    pub(crate) fn rewrite_leader_record(&mut self) {
        let (Some(lease_id), Some((record, _))) = (self.membership.lease_id, &self.membership.leader) else {
            return;
        };
        if self.membership.is_rewriting_leader || !self.is_leader() {
            return;
        }
        let change = json!({ "write": LEADER_KEY, "value": record, "permit": lease_id });
        self.membership.is_rewriting_leader = true;
        let conditions = vec![self.leader_condition()];
        self.txn(conditions, vec![change], CallPurpose::LeaderRewrite);
    }

    /// Handles the reply to the repeated write of the leader record. The watch shows whether it was carried out.
    pub(crate) fn on_leader_rewrite(&mut self) {
        self.membership.is_rewriting_leader = false;
    }

    /// Handles the reply to the write of the leader record.
    pub(crate) fn on_leader_write(&mut self, result: Option<(u16, Vec<u8>)>) {
        self.membership.is_taking_leadership = false;
        self.await_change_outcome(&result);
        if let Some((200, _)) = result {
            self.log(Level::Info, "became leader");
            self.membership.leader_since_ms = self.now.ms;
        }
    }

    /// Delays the next attempt to change the membership until the watch has shown the outcome of this one, for at
    /// most a quarter of the lease.
    pub(super) fn await_change_outcome(&mut self, result: &Option<(u16, Vec<u8>)>) {
        let answer = result
            .as_ref()
            .and_then(|(_, body)| serde_json::from_slice::<TxnAnswer>(body).ok());
        // Without an answer the revision is unknown, and only the time limit ends the wait.
        let revision = answer.map_or(u64::MAX, |a| a.ledger);
        self.membership.next_membership_change = (self.now.ms + self.settings.lease_ms() / 4, revision);
    }
}
