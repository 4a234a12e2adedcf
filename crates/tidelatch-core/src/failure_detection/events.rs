//! Handling of the detector's events: log lines, probe requests and updates of the takeover preparations.

use super::controller_id;
use crate::controller::Controller;
use crate::messages::Level;
use tidelatch_failure_detector::{ClearReason, Event, MemberId, SuspicionLevel, Verdict};

/// The phi value of a suspicion level, which is stored in thousandths: the measure of the phi accrual failure detector
/// for how unlikely the lack of heartbeats is.
fn suspicion_phi(level: SuspicionLevel) -> f64 {
    f64::from(level.0) / 1000.0
}

fn describe_clearing(reason: ClearReason) -> &'static str {
    match reason {
        ClearReason::Heard => "a heartbeat from it arrived",
        ClearReason::Refuted => "another controller forwarded its refutation",
        ClearReason::NewIncarnation => "it has a new incarnation",
    }
}

fn describe_verdict(verdict: Verdict) -> String {
    match verdict {
        Verdict::RegistrationEnded => "its lease in the state service has ended".to_owned(),
        Verdict::Superseded(incarnation) => format!("incarnation {} is registered in its place", incarnation.0),
        Verdict::Released => "it has released its registration".to_owned(),
    }
}

/// The log level and text for an event; `None` for an event that requests an action instead.
fn log_line(event: &Event) -> Option<(Level, String)> {
    let level_and_text = match event {
        Event::ProbeWanted { .. } => return None,
        Event::Suspected {
            member,
            suspicion,
            since_heard_directly_ms: silence_ms,
        } => {
            let level = suspicion_phi(suspicion.level);
            let text = format!(
                "suspects {member}: no heartbeat for {silence_ms} ms (phi {level:.1}), and no other controller hears it"
            );
            (Level::Info, text)
        }
        Event::Cleared {
            member,
            reason,
            suspected_for_ms,
        } => {
            let reason = describe_clearing(*reason);
            let text = format!("{member} is no longer suspected, after {suspected_for_ms} ms: {reason}");
            (Level::Info, text)
        }
        Event::Confirmed {
            member,
            incarnation: _,
            verdict,
            suspected_for_ms,
        } => {
            let evidence = describe_verdict(*verdict);
            let text = format!("{member} is confirmed as gone, after {suspected_for_ms} ms of suspicion: {evidence}");
            (Level::Info, text)
        }
        Event::Returned { member, incarnation } => (Level::Info, format!("{member} is back, life {}", incarnation.0)),
        Event::SuspicionRefuted {
            suspected_by,
            refutation_count,
        } => (
            Level::Info,
            format!("suspected by {suspected_by}: refuted ({refutation_count})"),
        ),
        other_event => return remaining_log_line(other_event),
    };
    Some(level_and_text)
}

/// The log level and text for an event about this controller's own health or about an ignored message.
fn remaining_log_line(event: &Event) -> Option<(Level, String)> {
    match event {
        Event::Impaired { paused_ms: 0 } => {
            let text = "almost no heartbeats arrive: this controller is probably at fault and delays suspecting others";
            Some((Level::Info, text.to_owned()))
        }
        Event::Impaired { paused_ms } => {
            let text = format!("this process did not run for {paused_ms} ms: delays suspecting others");
            Some((Level::Debug, text))
        }
        Event::Recovered => Some((
            Level::Debug,
            "own observations are reliable again: no longer delays suspecting others".to_owned(),
        )),
        Event::ClaimIgnored { from, about, reason } => {
            let text = format!("claim from {from} about {about} counts as no evidence: {reason}");
            Some((Level::Debug, text))
        }
        _ => None,
    }
}

/// Whether an event changes which controllers are suspected or gone, and so which takeovers to prepare.
fn changes_suspicion(event: &Event) -> bool {
    matches!(
        event,
        Event::Suspected { .. } | Event::Cleared { .. } | Event::Confirmed { .. } | Event::Returned { .. }
    )
}

impl Controller {
    pub(super) fn handle_detector_event(&mut self, event: &Event) {
        if let Some((level, text)) = log_line(event) {
            self.log(level, text);
        }
        if let Event::ProbeWanted { target, helpers } = event {
            self.request_probes(target, helpers);
        }
        if changes_suspicion(event) {
            self.update_preparations();
        }
    }

    /// Asks the controllers `helpers` to probe `target`, with the next heartbeats to them.
    fn request_probes(&mut self, target: &MemberId, helpers: &[MemberId]) {
        let Some(detection) = self.detection.as_mut() else {
            return;
        };
        for prober in helpers {
            detection
                .probes_to_request
                .insert(controller_id(prober), controller_id(target));
        }
        let probers: Vec<&str> = helpers.iter().map(MemberId::as_str).collect();
        let probers = probers.join(", ");
        self.log(
            Level::Debug,
            format!("{target} is unresponsive: asking {probers} to probe it"),
        );
    }
}
