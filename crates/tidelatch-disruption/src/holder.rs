//! Permits, on the side of the controller that stops units: it requests them from the controllers that own the units'
//! teams.

use crate::ids::{Attempt, ControllerName, MachineName, Tenure, Unit};
use crate::ledger::Permit;
use std::collections::BTreeMap;

/// The holder shortens a permit's validity by this fraction (1/500), which is four times the assumed drift between two
/// monotonic clocks, and by one timer step in addition.
const CLOCK_DRIFT_DIVISOR: u64 = 500;
/// One step of the timer, which is subtracted from the validity of each permit.
const TIMER_STEP_MS: u64 = 20;

/// A unit that a controller wants to stop, or is stopping.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct WantedPermit {
    /// The unit.
    pub unit: Unit,
    /// The attempt to stop.
    pub attempt: Attempt,
    /// The machine that the attempt is on.
    pub machine: MachineName,
    /// The fencing token with which the requester's ownership of the machine began.
    pub machine_tenure: Tenure,
}

/// All permits that a controller wants from one owner or has used from it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct PermitMessage {
    /// Sequence number, higher than in each earlier message of the same incarnation of the sender.
    pub sequence: u64,
    /// Permits that the sender requests, or holds without having used them.
    pub wanted: Vec<WantedPermit>,
    /// Permits that the sender has used.
    pub used: Vec<WantedPermit>,
}

/// Progress of a stop request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Progress {
    /// The permit has been requested and not granted yet.
    Requested,
    /// The permit may be used before this time.
    Granted { expires_ms: u64 },
    /// The permit has been used. `first_reported_sequence` is the sequence number of the first message that reported
    /// this, or 0 if no message has yet.
    Used { first_reported_sequence: u64 },
}

/// A request of this controller to stop a unit.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct StopRequest {
    wanted: WantedPermit,
    granter: ControllerName,
    /// The ownership epoch of the unit's team when the request was created.
    tenure: Tenure,
    /// Sequence number of the first message that listed this request.
    first_listed_sequence: Option<u64>,
    progress: Progress,
    /// The attempt is gone, or this controller no longer has to stop it. If the permit was used, the request is kept
    /// until the owner has learned of the use.
    is_obsolete: bool,
}

/// Why a permit may not be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum UseError {
    /// No permit was granted, or it has been used already.
    #[error("no permit was granted")]
    NotGranted,
    /// The permit has expired.
    #[error("the permit has expired")]
    Expired,
}

/// The permits that one controller has requested and holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct PermitHolder {
    sequence: u64,
    stop_requests: BTreeMap<(Unit, Attempt), StopRequest>,
    /// Owners that may still hold state of this holder, each with the sequence number of the first empty message since.
    /// An owner is removed once it has answered an empty message.
    owners_to_clear: BTreeMap<ControllerName, Option<u64>>,
}

impl PermitHolder {
    /// Adds a request to stop a unit once the owner of its team permits it. If there is one for the attempt already,
    /// nothing changes.
    pub fn request_stop(&mut self, wanted: WantedPermit, granter: ControllerName, tenure: Tenure) {
        let key = (wanted.unit.clone(), wanted.attempt);
        self.stop_requests.entry(key).or_insert(StopRequest {
            wanted,
            granter,
            tenure,
            first_listed_sequence: None,
            progress: Progress::Requested,
            is_obsolete: false,
        });
    }

    /// Returns whether an owner has to be sent a message: there are stop requests to it, or it may not know yet that
    /// there are none left.
    pub fn needs_message(&self, granter: &ControllerName) -> bool {
        self.owners_to_clear.contains_key(granter)
            || self.stop_requests.values().any(|request| request.granter == *granter)
    }

    /// Builds the next message to an owner.
    pub fn build_message(&mut self, granter: &ControllerName) -> PermitMessage {
        self.sequence += 1;
        let sequence = self.sequence;
        let mut message = PermitMessage {
            sequence,
            ..PermitMessage::default()
        };
        for request in self
            .stop_requests
            .values_mut()
            .filter(|request| request.granter == *granter)
        {
            request.first_listed_sequence.get_or_insert(sequence);
            match &mut request.progress {
                Progress::Used {
                    first_reported_sequence,
                } => {
                    if *first_reported_sequence == 0 {
                        *first_reported_sequence = sequence;
                    }
                    message.used.push(request.wanted.clone());
                }
                Progress::Requested | Progress::Granted { .. } => message.wanted.push(request.wanted.clone()),
            }
        }
        if message.wanted.is_empty() && message.used.is_empty() {
            if let Some(first_empty) = self.owners_to_clear.get_mut(granter) {
                first_empty.get_or_insert(sequence);
            }
        } else {
            self.owners_to_clear.insert(granter.clone(), None);
        }
        message
    }

    /// Handles the answer to the message with this sequence number, which was sent at `sent_ms`.
    ///
    /// A permit's validity is counted from the time of sending. A permit is accepted only for a stop request that the
    /// message listed.
    pub fn accept_answer(&mut self, granter: &ControllerName, sequence: u64, sent_ms: u64, permits: &[Permit]) {
        for permit in permits {
            let key = (permit.unit.clone(), permit.attempt);
            let Some(request) = self.stop_requests.get_mut(&key) else {
                continue;
            };
            let was_listed = request.first_listed_sequence.is_some_and(|first| first <= sequence);
            let is_same_grant = request.granter == *granter && request.tenure == permit.tenure;
            if !was_listed || !is_same_grant || request.is_obsolete || matches!(request.progress, Progress::Used { .. })
            {
                continue;
            }
            let usable_ms = permit.valid_for_ms - permit.valid_for_ms / CLOCK_DRIFT_DIVISOR;
            let expires_ms = sent_ms + usable_ms.saturating_sub(TIMER_STEP_MS);
            request.progress = Progress::Granted { expires_ms };
        }
        self.stop_requests.retain(|_, request| {
            let is_use_known =
                matches!(request.progress, Progress::Used { first_reported_sequence: n } if n > 0 && n <= sequence);
            !(request.is_obsolete && request.granter == *granter && is_use_known)
        });
        let has_acknowledged = |first_empty: &Option<u64>| first_empty.is_some_and(|first| first <= sequence);
        if self.owners_to_clear.get(granter).is_some_and(has_acknowledged) {
            self.owners_to_clear.remove(granter);
        }
    }

    /// Uses a permit: the unit may be stopped at once, and the permit cannot be used again. Returns the ownership epoch
    /// that granted the permit.
    ///
    /// # Errors
    ///
    /// There is no permit that can be used now.
    pub fn use_permit(&mut self, now_ms: u64, unit: &Unit, attempt: Attempt) -> Result<Tenure, UseError> {
        let request = self
            .stop_requests
            .get_mut(&(unit.clone(), attempt))
            .ok_or(UseError::NotGranted)?;
        match request.progress {
            Progress::Granted { expires_ms } if now_ms < expires_ms => {
                request.progress = Progress::Used {
                    first_reported_sequence: 0,
                };
                Ok(request.tenure)
            }
            Progress::Granted { .. } => {
                // The next message requests the permit again.
                request.progress = Progress::Requested;
                Err(UseError::Expired)
            }
            Progress::Requested | Progress::Used { .. } => Err(UseError::NotGranted),
        }
    }

    /// Keeps only the stop requests for which `keep` returns true. Of the others, those whose permit was used stay
    /// listed in messages until the owner has learned of the use.
    pub fn retain(&mut self, keep: impl Fn(&WantedPermit) -> bool) {
        for request in self.stop_requests.values_mut() {
            request.is_obsolete |= !keep(&request.wanted);
        }
        self.stop_requests
            .retain(|_, request| !request.is_obsolete || matches!(request.progress, Progress::Used { .. }));
    }

    /// Drops all stop requests whose ownership epoch is no longer current: a later owner cannot know of them. The
    /// caller has to cancel the stops that it began under such a permit.
    pub fn drop_superseded_requests(&mut self, is_current: impl Fn(&ControllerName, &Unit, Tenure) -> bool) {
        self.stop_requests
            .retain(|(unit, _), request| is_current(&request.granter, unit, request.tenure));
    }

    /// Returns whether there is a stop request for an attempt of a unit that is not obsolete.
    pub fn has_stop_request(&self, unit: &Unit, attempt: Attempt) -> bool {
        self.stop_requests
            .get(&(unit.clone(), attempt))
            .is_some_and(|request| !request.is_obsolete)
    }
}
