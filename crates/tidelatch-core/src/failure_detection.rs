//! Controllers that watch each other: the failure detector, and what its suspicions permit.
//!
//! A suspicion entitles to nothing. Who owns a partition is decided in the state service alone, with or without the
//! detector ([`crate::membership`]). What a suspicion leads to is reversible and writes nothing: other controllers are
//! asked whether they hear the suspected one, the leader gives it no machines, and whoever would take over from it
//! reads ahead and connects to its workers ([`preparation`]).

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
use tidelatch_failure_detector::{Channel, Event, FailureDetector, Heartbeat, Life, MemberId, MemberState};

/// The failure detector of this controller, and the probes that are under way.
pub(crate) struct FailureDetection {
    detector: FailureDetector,
    prepares: bool,
    preparation: Preparation,
    /// Controllers to be asked for a probe, each with its target.
    probes_to_request: BTreeMap<ControllerId, ControllerId>,
    /// Controllers that are to be contacted at once.
    contacts_due: BTreeSet<ControllerId>,
    /// Targets that others have asked this controller to probe, with those who wait for the outcome.
    probing_for: BTreeMap<ControllerId, BTreeSet<ControllerId>>,
}

fn member(controller: &ControllerId) -> MemberId {
    MemberId::new(controller.as_str())
}

fn controller(member: &MemberId) -> ControllerId {
    ControllerId::new(member.as_str())
}

impl FailureDetection {
    /// The detector, if the settings ask for it and are in order.
    pub(crate) fn new(settings: &Settings, incarnation: Incarnation, now_ms: u64) -> Option<Self> {
        let chosen = settings.operator.failure_detection.as_ref()?;
        let siblings = settings.platform.siblings.iter();
        let detector = FailureDetector::new(
            MemberId::new(settings.platform.host_name.as_str()),
            Life(incarnation.0),
            siblings.map(|sibling| MemberId::new(sibling.host_name.as_str())),
            settings.detection_timing(),
            chosen.policy(),
            now_ms,
        );
        Some(Self {
            detector: detector.ok()?,
            prepares: chosen.prepare,
            preparation: Preparation::default(),
            probes_to_request: BTreeMap::new(),
            contacts_due: BTreeSet::new(),
            probing_for: BTreeMap::new(),
        })
    }

    fn suspects(&self, name: &ControllerId) -> bool {
        matches!(self.detector.state(&member(name)), Some(MemberState::Suspected(_)))
    }

    /// The heartbeat for another controller, with the probe that it is asked for.
    fn heartbeat(&mut self, to: &ControllerId, now_ms: u64) -> Heartbeat {
        self.contacts_due.remove(to);
        let probe = self.probes_to_request.remove(to);
        self.detector.heartbeat(now_ms, probe.as_ref().map(member))
    }

    /// Another controller asks for a probe.
    fn take_probe_request(&mut self, from: &ControllerId, target: &MemberId) {
        let known = self.detector.state(target).is_some() && *target != member(from);
        if known {
            let target = controller(target);
            self.contacts_due.insert(target.clone());
            self.probing_for.entry(target).or_default().insert(from.clone());
        }
    }

    /// A controller was heard: those who asked for a probe of it are told with the next heartbeats, at once.
    fn report_probe(&mut self, heard: &ControllerId) {
        let waiting = self.probing_for.remove(heard).unwrap_or_default();
        self.contacts_due.extend(waiting);
    }
}

impl Controller {
    /// Whether a controller is suspected now. This decides about no right.
    pub(crate) fn suspects(&self, name: &ControllerId) -> bool {
        self.detection.as_ref().is_some_and(|d| d.suspects(name))
    }

    /// The heartbeat to be sent to another controller, if the detector is on.
    pub(crate) fn liveness_for(&mut self, to: &ControllerId) -> Option<Heartbeat> {
        let now_ms = self.now.ms;
        Some(self.detection.as_mut()?.heartbeat(to, now_ms))
    }

    /// Whether another controller is to be contacted out of its turn, for a probe.
    pub(crate) fn contact_due(&self, to: &ControllerId) -> bool {
        let due = |d: &FailureDetection| d.contacts_due.contains(to) || d.probes_to_request.contains_key(to);
        self.detection.as_ref().is_some_and(due)
    }

    /// Another controller's heartbeat has arrived.
    pub(crate) fn on_liveness(&mut self, from: &ControllerId, channel: Channel, heartbeat: Option<Heartbeat>) {
        let now_ms = self.now.ms;
        let Some(detection) = self.detection.as_mut() else {
            return;
        };
        let Some(mut heartbeat) = heartbeat else {
            // Its version has no detector, or it is turned off there.
            let events = detection.detector.on_contact(now_ms, &member(from), channel);
            self.handle_detector_events(events);
            return;
        };
        // Replies carry no name: they come from whoever was asked.
        heartbeat.from = member(from);
        match detection.detector.on_heartbeat(now_ms, channel, &heartbeat) {
            Ok(events) => {
                detection.report_probe(from);
                if let Some(target) = &heartbeat.probe {
                    detection.take_probe_request(from, target);
                }
                self.handle_detector_events(events);
            }
            Err(rejection) => self.log(
                Level::Debug,
                format!("heartbeat of {from} counts as no evidence: {rejection}"),
            ),
        }
    }

    /// This controller has begun another life.
    pub(crate) fn detect_as(&mut self, incarnation: Incarnation) {
        if let Some(detection) = &mut self.detection {
            detection.detector.begin_life(Life(incarnation.0));
        }
    }

    pub(crate) fn tick_failure_detection(&mut self) {
        let now_ms = self.now.ms;
        let Some(detection) = self.detection.as_mut() else {
            return;
        };
        let registrations = Registrations::of(&self.member);
        let events = detection.detector.tick(now_ms, &registrations);
        self.handle_detector_events(events);
        self.tick_preparation();
    }

    fn handle_detector_events(&mut self, events: Vec<Event>) {
        for event in events {
            self.handle_detector_event(&event);
        }
    }
}
