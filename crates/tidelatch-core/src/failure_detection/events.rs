//! What the detector has found: said to the operators, and passed on.

use super::controller;
use crate::controller::Controller;
use crate::messages::Level;
use tidelatch_failure_detector::{Cleared, Event, MemberId, SuspicionLevel, Verdict};

/// A level as people read it.
fn phi(level: SuspicionLevel) -> f64 {
    f64::from(level.0) / 1000.0
}

fn reason(by: Cleared) -> &'static str {
    match by {
        Cleared::Heard => "it was heard",
        Cleared::Refuted => "another controller passed on its refutation",
        Cleared::NewLife => "it has begun a new life",
    }
}

fn evidence(verdict: Verdict) -> String {
    match verdict {
        Verdict::RegistrationEnded => "its lease in the state service has ended".to_owned(),
        Verdict::Superseded(life) => format!("life {} is registered in its place", life.0),
        Verdict::Released => "it has released its registration".to_owned(),
    }
}

/// The line for an event, and its weight; none: the event asks for something instead.
fn line(event: &Event) -> Option<(Level, String)> {
    let said = match event {
        Event::ProbeWanted { .. } => return None,
        Event::Suspected {
            member,
            suspicion,
            silent_ms,
        } => {
            let level = phi(suspicion.level);
            let text =
                format!("suspects {member}: not heard for {silent_ms} ms (phi {level:.1}), and nobody else hears it");
            (Level::Info, text)
        }
        Event::Cleared {
            member,
            by,
            suspected_for_ms,
        } => {
            let by = reason(*by);
            let text = format!("{member} is no longer suspected, after {suspected_for_ms} ms: {by}");
            (Level::Info, text)
        }
        Event::Confirmed {
            member,
            life: _,
            verdict,
            suspected_for_ms,
        } => {
            let evidence = evidence(*verdict);
            let text = format!("{member} is confirmed as gone, after {suspected_for_ms} ms of suspicion: {evidence}");
            (Level::Info, text)
        }
        Event::Returned { member, life } => (Level::Info, format!("{member} is back, life {}", life.0)),
        Event::RefutedOwn {
            suspected_by,
            refutation,
        } => (
            Level::Info,
            format!("suspected by {suspected_by}: refuted ({refutation})"),
        ),
        own => return own_health(own),
    };
    Some(said)
}

/// The line for what the detector finds of this controller itself, or of messages.
fn own_health(event: &Event) -> Option<(Level, String)> {
    match event {
        Event::Impaired { paused_ms: 0 } => {
            let text = "hears almost no controller any more: holds itself to be at fault, and suspects later";
            Some((Level::Info, text.to_owned()))
        }
        Event::Impaired { paused_ms } => {
            let text = format!("did not run for {paused_ms} ms: suspects others later");
            Some((Level::Debug, text))
        }
        Event::Recovered => Some((Level::Debug, "trusts its own observations again".to_owned())),
        Event::ClaimIgnored { from, about, reason } => {
            let text = format!("what {from} tells of {about} counts as no evidence: {reason}");
            Some((Level::Debug, text))
        }
        _ => None,
    }
}

/// Whether an event changes who is suspected or gone, and with it what is to be prepared.
fn changes_suspicion(event: &Event) -> bool {
    matches!(
        event,
        Event::Suspected { .. } | Event::Cleared { .. } | Event::Confirmed { .. } | Event::Returned { .. }
    )
}

impl Controller {
    pub(super) fn handle_detector_event(&mut self, event: &Event) {
        if let Some((level, text)) = line(event) {
            self.log(level, text);
        }
        if let Event::ProbeWanted { target, through } = event {
            self.request_probes(target, through);
        }
        if changes_suspicion(event) {
            self.plan_preparation();
        }
    }

    fn request_probes(&mut self, target: &MemberId, through: &[MemberId]) {
        let Some(detection) = self.detection.as_mut() else {
            return;
        };
        for helper in through {
            detection
                .probes_to_request
                .insert(controller(helper), controller(target));
        }
        let helpers: Vec<&str> = through.iter().map(MemberId::as_str).collect();
        let helpers = helpers.join(", ");
        self.log(
            Level::Debug,
            format!("{target} is silent: asking {helpers} to probe it"),
        );
    }
}
