//! Failure detection between controllers, and the reactions to a suspicion.
//!
//! A suspicion gives no controller any right to act. Only the state service decides who owns a partition, with or
//! without the detector ([`crate::membership`]). Every reaction to a suspicion is reversible and writes nothing to the
//! state service: other controllers are asked to probe the suspected one, the leader gives it no machines, and the
//! controller that would take over from it reads its records ahead and connects to its workers ([`preparation`]).

mod events;
mod preparation;
mod registrations;

pub(crate) use preparation::{Preparation, RecordsReadAhead};

use crate::controller::Controller;
use crate::ids::{ControllerId, Incarnation};
use crate::messages::Level;
use crate::settings::Settings;
use registrations::Registrations;
use std::collections::{BTreeMap, BTreeSet};
use tidelatch_failure_detector::{
    Event, FailureDetector, Heartbeat, HeartbeatTrigger, IncarnationId, MemberId, MemberState,
};

/// The failure detector of this controller, and the probes in progress.
pub(crate) struct FailureDetection {
    detector: FailureDetector,
    /// Prepares takeovers from suspected controllers.
    prepares_takeovers: bool,
    preparation: Preparation,
    /// Controllers that the next heartbeat asks for a probe, each with the target of the probe.
    probes_to_request: BTreeMap<ControllerId, ControllerId>,
    /// Controllers to send a heartbeat to with the next tick, without waiting for the interval to pass.
    contacts_due: BTreeSet<ControllerId>,
    /// Targets that other controllers have asked this one to probe, each with the requesters.
    probe_requesters: BTreeMap<ControllerId, BTreeSet<ControllerId>>,
}

fn member_id(controller: &ControllerId) -> MemberId {
    MemberId::new(controller.as_str())
}

fn controller_id(member: &MemberId) -> ControllerId {
    ControllerId::new(member.as_str())
}

impl FailureDetection {
    /// Creates the detector; `None` if the settings do not enable it or are invalid.
    pub(crate) fn new(settings: &Settings, incarnation: Incarnation, now_ms: u64) -> Option<Self> {
        let options = settings.operator.failure_detection.as_ref()?;
        let siblings = settings.platform.siblings.iter();
        let detector = FailureDetector::new(
            MemberId::new(settings.platform.host_name.as_str()),
            IncarnationId(incarnation.0),
            siblings.map(|sibling| MemberId::new(sibling.host_name.as_str())),
            settings.detection_timing(),
            options.policy(),
            now_ms,
        );
        Some(Self {
            detector: detector.ok()?,
            prepares_takeovers: options.prepare,
            preparation: Preparation::default(),
            probes_to_request: BTreeMap::new(),
            contacts_due: BTreeSet::new(),
            probe_requesters: BTreeMap::new(),
        })
    }

    fn is_suspected(&self, name: &ControllerId) -> bool {
        matches!(self.detector.state(&member_id(name)), Some(MemberState::Suspected(_)))
    }

    /// Builds the heartbeat for another controller, including the probe that is requested from it.
    fn heartbeat(&mut self, to: &ControllerId, now_ms: u64) -> Heartbeat {
        self.contacts_due.remove(to);
        let probe = self.probes_to_request.remove(to);
        self.detector.heartbeat(now_ms, probe.as_ref().map(member_id))
    }

    /// Records another controller's request to probe `target`.
    fn accept_probe_request(&mut self, from: &ControllerId, target: &MemberId) {
        let is_valid_target = self.detector.state(target).is_some() && *target != member_id(from);
        if is_valid_target {
            let target = controller_id(target);
            self.contacts_due.insert(target.clone());
            self.probe_requesters.entry(target).or_default().insert(from.clone());
        }
    }

    /// After a heartbeat from a probed controller, schedules an early heartbeat to each requester of the probe,
    /// which reports the outcome.
    fn schedule_probe_reports(&mut self, target: &ControllerId) {
        let requesters = self.probe_requesters.remove(target).unwrap_or_default();
        self.contacts_due.extend(requesters);
    }
}

impl Controller {
    /// Whether a controller is suspected now. A suspicion gives no right to act.
    pub(crate) fn is_suspected(&self, name: &ControllerId) -> bool {
        self.detection.as_ref().is_some_and(|d| d.is_suspected(name))
    }

    /// Builds the detector's heartbeat for another controller; `None` if the detector is disabled.
    pub(crate) fn build_detector_heartbeat(&mut self, to: &ControllerId) -> Option<Heartbeat> {
        let now_ms = self.now.ms;
        Some(self.detection.as_mut()?.heartbeat(to, now_ms))
    }

    /// Whether a probe requires a heartbeat to another controller before the interval has passed.
    pub(crate) fn is_contact_due(&self, to: &ControllerId) -> bool {
        let due = |d: &FailureDetection| d.contacts_due.contains(to) || d.probes_to_request.contains_key(to);
        self.detection.as_ref().is_some_and(due)
    }

    /// Passes another controller's heartbeat to the detector or, if that controller runs no detector, the mere fact
    /// that it sent something.
    pub(crate) fn on_peer_heartbeat(
        &mut self,
        from: &ControllerId,
        trigger: HeartbeatTrigger,
        heartbeat: Option<Heartbeat>,
    ) {
        let now_ms = self.now.ms;
        let Some(detection) = self.detection.as_mut() else {
            return;
        };
        let Some(mut heartbeat) = heartbeat else {
            // The sender's version has no detector, or the detector is disabled there.
            let events = detection.detector.on_contact(now_ms, &member_id(from), trigger);
            self.handle_detector_events(events);
            return;
        };
        // Replies carry no sender name: they come from the controller that the request was sent to.
        heartbeat.from = member_id(from);
        match detection.detector.on_heartbeat(now_ms, trigger, &heartbeat) {
            Ok(events) => {
                detection.schedule_probe_reports(from);
                if let Some(target) = &heartbeat.probe {
                    detection.accept_probe_request(from, target);
                }
                self.handle_detector_events(events);
            }
            Err(rejection) => self.log(
                Level::Debug,
                format!("heartbeat from {from} counts as no evidence: {rejection}"),
            ),
        }
    }

    /// Tells the detector this controller's new incarnation.
    pub(crate) fn set_detector_incarnation(&mut self, incarnation: Incarnation) {
        if let Some(detection) = &mut self.detection {
            detection.detector.begin_incarnation(IncarnationId(incarnation.0));
        }
    }

    /// Advances the detector and the preparations of takeovers.
    pub(crate) fn tick_failure_detection(&mut self) {
        let now_ms = self.now.ms;
        let Some(detection) = self.detection.as_mut() else {
            return;
        };
        let registrations = Registrations::of(&self.membership);
        let events = detection.detector.tick(now_ms, &registrations);
        self.handle_detector_events(events);
        self.continue_preparations();
    }

    fn handle_detector_events(&mut self, events: Vec<Event>) {
        for event in events {
            self.handle_detector_event(&event);
        }
    }
}
