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

impl Controller {
    pub(super) fn handle_detector_event(&mut self, event: Event) {
        match event {
            Event::ProbeWanted { target, through } => self.request_probes(&target, &through),
            Event::Suspected {
                member,
                suspicion,
                silent_ms,
            } => {
                let level = phi(suspicion.level);
                self.log(
                    Level::Info,
                    format!(
                        "suspects {member}: not heard for {silent_ms} ms (phi {level:.1}), and nobody else hears it"
                    ),
                );
                self.plan_preparation();
            }
            Event::Cleared {
                member,
                by,
                suspected_for_ms,
            } => {
                let by = reason(by);
                self.log(
                    Level::Info,
                    format!("{member} is no longer suspected, after {suspected_for_ms} ms: {by}"),
                );
                self.plan_preparation();
            }
            Event::Confirmed {
                member,
                life: _,
                verdict,
                suspected_for_ms,
            } => {
                let evidence = evidence(verdict);
                self.log(
                    Level::Info,
                    format!("{member} is confirmed as gone, after {suspected_for_ms} ms of suspicion: {evidence}"),
                );
                self.plan_preparation();
            }
            Event::Returned { member, life } => {
                self.log(Level::Info, format!("{member} is back, life {}", life.0));
                self.plan_preparation();
            }
            Event::RefutedOwn {
                suspected_by,
                refutation,
            } => self.log(
                Level::Info,
                format!("suspected by {suspected_by}: refuted ({refutation})"),
            ),
            Event::Impaired { paused_ms: 0 } => self.log(
                Level::Info,
                "hears almost no controller any more: holds itself to be at fault, and suspects later",
            ),
            Event::Impaired { paused_ms } => self.log(
                Level::Debug,
                format!("did not run for {paused_ms} ms: suspects others later"),
            ),
            Event::Recovered => self.log(Level::Debug, "trusts its own observations again"),
            Event::ClaimIgnored { from, about, reason } => self.log(
                Level::Debug,
                format!("what {from} tells of {about} counts as no evidence: {reason}"),
            ),
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
