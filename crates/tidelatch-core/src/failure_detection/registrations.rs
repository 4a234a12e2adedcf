//! What the state service says about a member, which the detector needs to confirm a suspicion: the member records, as
//! delivered by the watch.

use crate::ids::ControllerId;
use crate::membership::Membership;
use tidelatch_failure_detector::{IncarnationId, MemberId, Registration, RegistrationSource};

/// The member records that this controller has read, and the grants that it has given.
///
/// A member record is deleted when its controller's lease ends, and an incarnation that has lost its lease never
/// registers again: the controller returns as a new incarnation. So a record that was seen to be deleted stays
/// deleted, however old the reply that showed it is.
pub(super) struct Registrations<'a> {
    membership: &'a Membership,
}

impl<'a> Registrations<'a> {
    pub(super) fn of(membership: &'a Membership) -> Self {
        Self { membership }
    }
}

impl RegistrationSource for Registrations<'_> {
    fn registration(&self, member: &MemberId) -> Registration {
        let observed_ms = self.membership.shared_keys_current_at_ms;
        if !self.membership.has_read_members() {
            return Registration::Unknown;
        }
        match self.membership.members.get(&ControllerId::new(member.as_str())) {
            Some(record) => Registration::Present {
                incarnation: IncarnationId(record.incarnation.0),
                observed_ms,
            },
            None => Registration::Absent { observed_ms },
        }
    }

    /// A controller may act beyond its lease only with unexpired grants of *all* other controllers. Once this
    /// controller's grant has expired, the set is incomplete.
    fn granted_until_ms(&self, _member: &MemberId) -> u64 {
        self.membership.given_grants_until_ms()
    }
}
