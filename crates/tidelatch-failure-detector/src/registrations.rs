//! Applies the registrations to a member: confirmations, and incarnations that replace others.

use crate::arbiter::{Registration, RegistrationSource, Verdict, decide_verdict};
use crate::event::Event;
use crate::member::{Member, MemberState};
use crate::message::{Incarnation, IncarnationId, MemberId};

/// One point in time on two clocks: the caller's clock, and the running time of this member.
#[derive(Clone, Copy)]
pub(crate) struct Timestamps {
    pub(crate) now_ms: u64,
    pub(crate) active_ms: u64,
}

/// Applies what the store shows about a member. Confirms a suspected member as gone if the facts allow it, and
/// continues with the incarnation that is registered in place of one that is gone.
pub(crate) fn apply_registration(
    name: &MemberId,
    member: &mut Member,
    registrations: &impl RegistrationSource,
    time: Timestamps,
    lease_ms: u64,
    events: &mut Vec<Event>,
) {
    let registration = registrations.registration(name);
    if let Registration::Present {
        incarnation,
        observed_ms,
    } = registration
    {
        if member.is_stale_registration(incarnation, observed_ms, lease_ms) {
            return;
        }
        // The registered incarnation may be the confirmed one itself, if that one was heard before it ever registered.
        if member.is_confirmed() {
            adopt_incarnation(name, member, incarnation, time, events);
        }
    }
    let Some(suspicion) = member.suspicion() else { return };
    let granted_until_ms = registrations.granted_until_ms(name);
    let Some(verdict) = decide_verdict(&suspicion, registration, granted_until_ms, time.now_ms) else {
        return;
    };
    member.state = MemberState::Confirmed(verdict);
    events.push(Event::Confirmed {
        member: name.clone(),
        incarnation: suspicion.incarnation,
        verdict,
        suspected_for_ms: time.now_ms.saturating_sub(suspicion.since_ms),
    });
    if let Verdict::Superseded(incarnation) = verdict {
        adopt_incarnation(name, member, incarnation, time, events);
    }
}

/// Continues with a registered incarnation that has not been heard yet. It has one full lease to send its first
/// heartbeat.
fn adopt_incarnation(
    name: &MemberId,
    member: &mut Member,
    incarnation: IncarnationId,
    time: Timestamps,
    events: &mut Vec<Event>,
) {
    member.begin_incarnation(
        Incarnation {
            id: incarnation,
            refutation_count: 0,
        },
        time.now_ms,
    );
    member.await_first_heartbeat(time.active_ms);
    events.push(Event::Returned {
        member: name.clone(),
        incarnation,
    });
}
