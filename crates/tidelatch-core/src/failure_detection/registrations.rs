//! The detector's arbiter: members' keys in the state service, as the watch has told of them.

use crate::ids::ControllerId;
use crate::membership::Membership;
use tidelatch_failure_detector::{Arbiter, Life, MemberId, Registration};

/// What this controller has read of members' keys, and the grants that it has given.
///
/// A key goes with its controller's lease, and a life that has lost its lease never registers again: it comes back as
/// another one. So a key that was seen to be gone stays gone, however long ago the answer was written.
pub(super) struct Registrations<'a> {
    membership: &'a Membership,
}

impl<'a> Registrations<'a> {
    pub(super) fn of(membership: &'a Membership) -> Self {
        Self { membership }
    }
}

impl Arbiter for Registrations<'_> {
    fn registration(&self, member: &MemberId) -> Registration {
        let observed_ms = self.membership.viewed_at;
        if !self.membership.has_read_members() {
            return Registration::Unreachable;
        }
        match self.membership.members.get(&ControllerId::new(member.as_str())) {
            Some(record) => Registration::Present {
                life: Life(record.inc.0),
                observed_ms,
            },
            None => Registration::Absent { observed_ms },
        }
    }

    /// Acting beyond its lease takes the grants of *all* other controllers: once this one's has ended, the set is
    /// incomplete.
    fn granted_until_ms(&self, _member: &MemberId) -> u64 {
        self.membership.grants_given_until()
    }
}
