//! What the arbiter's facts mean for a member: verdicts, and lives that follow others.

use crate::arbiter::{Arbiter, Registration, Verdict, verdict};
use crate::event::Event;
use crate::member::{Member, MemberState};
use crate::message::{Incarnation, Life, MemberId};

/// A time, on the caller's clock and in time that this member ran.
#[derive(Clone, Copy)]
pub(crate) struct Moment {
    pub(crate) now_ms: u64,
    pub(crate) active_ms: u64,
}

/// Takes what the arbiter says of a member: gives the verdict on a suspicion, if the facts allow it, and goes on with
/// the life that is registered in the place of one that is gone.
pub(crate) fn take_registration(
    name: &MemberId,
    member: &mut Member,
    arbiter: &impl Arbiter,
    at: Moment,
    lease_ms: u64,
    events: &mut Vec<Event>,
) {
    let registration = arbiter.registration(name);
    if let Registration::Present { life, observed_ms } = registration {
        if member.is_leftover(life, observed_ms, lease_ms) {
            return;
        }
        // It may be the confirmed life itself, if that had been heard before it ever registered.
        if member.is_confirmed() {
            adopt(name, member, life, at, events);
        }
    }
    let Some(suspicion) = member.suspicion() else { return };
    let granted_until_ms = arbiter.granted_until_ms(name);
    let Some(verdict) = verdict(&suspicion, registration, granted_until_ms, at.now_ms) else {
        return;
    };
    member.state = MemberState::Confirmed(verdict);
    events.push(Event::Confirmed {
        member: name.clone(),
        life: suspicion.life,
        verdict,
        suspected_for_ms: at.now_ms.saturating_sub(suspicion.since_ms),
    });
    if let Verdict::Superseded(life) = verdict {
        adopt(name, member, life, at, events);
    }
}

/// A registered life that has not been heard yet has a whole lease to send its first heartbeat.
fn adopt(name: &MemberId, member: &mut Member, life: Life, at: Moment, events: &mut Vec<Event>) {
    member.begin_life(Incarnation { life, refutation: 0 }, at.now_ms);
    member.await_first_heartbeat(at.active_ms);
    events.push(Event::Returned {
        member: name.clone(),
        life,
    });
}
