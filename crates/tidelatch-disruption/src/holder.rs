//! Permits, on the side of the controller that stops units: it asks the owners of their teams.

use crate::ids::{Attempt, ControllerName, MachineName, Tenure, Unit};
use crate::ledger::Permit;
use std::collections::BTreeMap;

/// Steady clocks drift apart by up to this part of a time, four times over; a timer step comes on top.
const DRIFT_DIVISOR: u64 = 500;
const TIMER_STEP_MS: u64 = 20;

/// A unit that a controller wants to stop, or is stopping.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct WantedPermit {
    /// The unit.
    pub unit: Unit,
    /// Its attempt.
    pub attempt: Attempt,
    /// The machine that it is on.
    pub machine: MachineName,
    /// With what token the asker's ownership of the machine began.
    pub machine_tenure: Tenure,
}

/// All that a controller wants of, and has used from, one owner.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct PermitMessage {
    /// Higher than in each earlier message of the same life.
    pub sequence: u64,
    /// Permits that are asked for, or are held and not used.
    pub wanted: Vec<WantedPermit>,
    /// Permits that were used.
    pub used: Vec<WantedPermit>,
}

/// How far a wish has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Progress {
    Asked,
    Granted {
        expires_ms: u64,
    },
    /// The message with this number was the first to say so; 0: none has yet.
    Used {
        told_with: u64,
    },
}

/// A unit that this controller wants to stop.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Wish {
    wanted: WantedPermit,
    granter: ControllerName,
    /// The granter's ownership of the unit's team when the wish came up.
    tenure: Tenure,
    /// The first message that named it.
    first_sequence: Option<u64>,
    progress: Progress,
    /// The attempt is gone, or no concern of this controller's any more. Kept until its owner knows that the permit
    /// was used.
    over: bool,
}

/// Why a permit may not be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum UseError {
    /// None was granted.
    #[error("no permit was granted")]
    NotGranted,
    /// It has run out.
    #[error("the permit ran out")]
    Expired,
}

/// The permits that one controller wants and holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct PermitHolder {
    sequence: u64,
    wishes: BTreeMap<(Unit, Attempt), Wish>,
    /// Owners that may remember something of this holder's, each with the first message since that listed nothing.
    reminded: BTreeMap<ControllerName, Option<u64>>,
}

impl PermitHolder {
    /// A unit is to be stopped once its owner permits it.
    pub fn want(&mut self, wanted: WantedPermit, granter: ControllerName, tenure: Tenure) {
        let key = (wanted.unit.clone(), wanted.attempt);
        self.wishes.entry(key).or_insert(Wish {
            wanted,
            granter,
            tenure,
            first_sequence: None,
            progress: Progress::Asked,
            over: false,
        });
    }

    /// Whether an owner is to get a message: something is wished for, or it may not know that nothing is any more.
    pub fn needs_message(&self, granter: &ControllerName) -> bool {
        self.reminded.contains_key(granter) || self.wishes.values().any(|wish| wish.granter == *granter)
    }

    /// The next message for an owner.
    pub fn message_for(&mut self, granter: &ControllerName) -> PermitMessage {
        self.sequence += 1;
        let sequence = self.sequence;
        let mut message = PermitMessage {
            sequence,
            ..PermitMessage::default()
        };
        for wish in self.wishes.values_mut().filter(|wish| wish.granter == *granter) {
            wish.first_sequence.get_or_insert(sequence);
            match &mut wish.progress {
                Progress::Used { told_with } => {
                    if *told_with == 0 {
                        *told_with = sequence;
                    }
                    message.used.push(wish.wanted.clone());
                }
                Progress::Asked | Progress::Granted { .. } => message.wanted.push(wish.wanted.clone()),
            }
        }
        if message.wanted.is_empty() && message.used.is_empty() {
            if let Some(first_empty) = self.reminded.get_mut(granter) {
                first_empty.get_or_insert(sequence);
            }
        } else {
            self.reminded.insert(granter.clone(), None);
        }
        message
    }

    /// An owner has answered the message with this sequence number, which was sent at `sent_ms`.
    ///
    /// A permit counts from the sending, and only for a wish that the message named.
    pub fn take_answer(&mut self, granter: &ControllerName, sequence: u64, sent_ms: u64, permits: &[Permit]) {
        for permit in permits {
            let key = (permit.unit.clone(), permit.attempt);
            let Some(wish) = self.wishes.get_mut(&key) else {
                continue;
            };
            let named = wish.first_sequence.is_some_and(|first| first <= sequence);
            let same = wish.granter == *granter && wish.tenure == permit.tenure;
            if !named || !same || wish.over || matches!(wish.progress, Progress::Used { .. }) {
                continue;
            }
            let safe_ms = permit.valid_for_ms - permit.valid_for_ms / DRIFT_DIVISOR;
            let expires_ms = sent_ms + safe_ms.saturating_sub(TIMER_STEP_MS);
            wish.progress = Progress::Granted { expires_ms };
        }
        self.wishes.retain(|_, wish| {
            let known = matches!(wish.progress, Progress::Used { told_with } if told_with > 0 && told_with <= sequence);
            !(wish.over && wish.granter == *granter && known)
        });
        let knows = |first_empty: &Option<u64>| first_empty.is_some_and(|first| first <= sequence);
        if self.reminded.get(granter).is_some_and(knows) {
            self.reminded.remove(granter);
        }
    }

    /// Uses a permit: the unit may be stopped at once, and not again.
    ///
    /// # Errors
    ///
    /// There is none that may be used now.
    pub fn use_permit(&mut self, now_ms: u64, unit: &Unit, attempt: Attempt) -> Result<Tenure, UseError> {
        let wish = self
            .wishes
            .get_mut(&(unit.clone(), attempt))
            .ok_or(UseError::NotGranted)?;
        match wish.progress {
            Progress::Granted { expires_ms } if now_ms < expires_ms => {
                wish.progress = Progress::Used { told_with: 0 };
                Ok(wish.tenure)
            }
            Progress::Granted { .. } => {
                // It is asked for anew.
                wish.progress = Progress::Asked;
                Err(UseError::Expired)
            }
            Progress::Asked | Progress::Used { .. } => Err(UseError::NotGranted),
        }
    }

    /// Keeps only the wishes for which `keep` holds. Of the others those that were used are named until their owner
    /// knows.
    pub fn retain(&mut self, keep: impl Fn(&WantedPermit) -> bool) {
        for wish in self.wishes.values_mut() {
            wish.over |= !keep(&wish.wanted);
        }
        self.wishes
            .retain(|_, wish| !wish.over || matches!(wish.progress, Progress::Used { .. }));
    }

    /// Drops all wishes that an owner of a later tenure cannot know of. Whoever stops units by such a permit has to
    /// take that back.
    pub fn drop_superseded(&mut self, is_current: impl Fn(&ControllerName, &Unit, Tenure) -> bool) {
        self.wishes
            .retain(|(unit, _), wish| is_current(&wish.granter, unit, wish.tenure));
    }

    /// Whether a unit's stop is wished for.
    pub fn wants(&self, unit: &Unit, attempt: Attempt) -> bool {
        self.wishes.get(&(unit.clone(), attempt)).is_some_and(|wish| !wish.over)
    }
}
