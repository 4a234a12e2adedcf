//! Boot times by machine type, and the machines that are late by them.
//!
//! A machine that has not come up when most of its type would have is *late*: it may never come up. Its
//! room then no longer counts as room to come, so that a replacement is rented. During a period in which
//! all machines boot slowly, a replacement would be as slow: only a part of the late machines is replaced
//! at a time, and the boot times that are observed raise the limit.

use crate::ids::MachineId;
use crate::protocol::MachineType;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Boot times that are kept for each type.
const RECENT_BOOTS: usize = 16;
/// The fastest and the slowest usual boot, as ratios to the nominal boot time.
const USUAL_BOOTS: (f64, f64) = (0.6, 1.5);
/// The quantile of recent boot times after which a machine is late.
const LATE_QUANTILE: f64 = 0.9;
/// Part of the booting machines of a type that is replaced at a time without evidence of others that were
/// faster, one machine at least: as many again whenever replacements have become late as well.
const REPLACED_PART: f64 = 0.25;
/// Multiples of the limit for late machines after which one is deleted: if a machine rented later has come
/// up before it, and if none has.
const GIVE_UP_OVERTAKEN: f64 = 2.0;
const GIVE_UP: f64 = 3.0;

/// A machine that has not come up yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BootingMachine {
    /// Name.
    pub id: MachineId,
    /// Type.
    pub model: String,
    /// When it was rented, in milliseconds.
    pub since: u64,
}

/// The boots of one machine type.
#[derive(Debug, Clone, Default)]
struct TypeBoots {
    /// Boot times in seconds, the latest last.
    recent: VecDeque<f64>,
    /// When the machine was rented that was rented last among those that have come up.
    newest_up: u64,
}

/// Recent boot times of all machine types.
#[derive(Debug, Clone, Default)]
pub struct BootTimes {
    by_type: BTreeMap<String, TypeBoots>,
}

impl BootTimes {
    /// Notes that a machine has come up that was rented at `since`.
    pub fn note(&mut self, machine_type: &MachineType, since: u64, now: u64) {
        let boots = self.by_type.entry(machine_type.name.clone()).or_default();
        boots.newest_up = boots.newest_up.max(since);
        boots.recent.push_back(now.saturating_sub(since) as f64 / 1000.0);
        if boots.recent.len() > RECENT_BOOTS {
            boots.recent.pop_front();
        }
    }

    /// Seconds after which a machine of a type is late.
    ///
    /// Until enough boots have been observed, usual ones take the place of the missing ones. Boots that
    /// are faster than usual don't lower the limit: such times end without notice.
    pub fn late_after_s(&self, machine_type: &MachineType) -> f64 {
        let mut boots = usual_boots(machine_type);
        if let Some(observed) = self.by_type.get(&machine_type.name) {
            boots.drain(..observed.recent.len().min(RECENT_BOOTS));
            boots.extend(&observed.recent);
        }
        boots.sort_by(f64::total_cmp);
        let rank = (LATE_QUANTILE * boots.len() as f64).ceil() as usize;
        let observed_s = boots.get(rank.saturating_sub(1)).copied().unwrap_or_default();
        observed_s.max(USUAL_BOOTS.1 * machine_type.boot_s)
    }

    /// Seconds after which a machine of a type that was rented at `since` is deleted.
    pub fn give_up_after_s(&self, machine_type: &MachineType, since: u64) -> f64 {
        let limits = if self.is_overtaken(&machine_type.name, since) {
            GIVE_UP_OVERTAKEN
        } else {
            GIVE_UP
        };
        limits * self.late_after_s(machine_type)
    }

    /// The late machines whose room does not count as room to come; `grace_ms` is the time from the end of
    /// a boot until the machine is heard.
    pub fn discounted(
        &self,
        booting: &[BootingMachine],
        types: &[MachineType],
        now: u64,
        grace_ms: u64,
    ) -> BTreeSet<MachineId> {
        let mut discounted = BTreeSet::new();
        for machine_type in types {
            let of_type: Vec<&BootingMachine> = booting.iter().filter(|m| m.model == machine_type.name).collect();
            let limit_ms = (self.late_after_s(machine_type) * 1000.0) as u64 + grace_ms;
            let late = of_type
                .iter()
                .copied()
                .filter(|m| now.saturating_sub(m.since) > limit_ms);
            let (overtaken, mut others): (Vec<&BootingMachine>, Vec<&BootingMachine>) =
                late.partition(|m| self.is_overtaken(&machine_type.name, m.since));
            others.sort_by_key(|m| m.since);
            let oldest_ms = others.first().map_or(0, |m| now.saturating_sub(m.since));
            let rounds = (oldest_ms / limit_ms.max(1)) as usize;
            let most = rounds * ((REPLACED_PART * of_type.len() as f64) as usize).max(1);
            let chosen = overtaken.into_iter().chain(others.into_iter().take(most));
            discounted.extend(chosen.map(|m| m.id.clone()));
        }
        discounted
    }

    /// Whether a machine of the type that was rented later than `since` has come up.
    fn is_overtaken(&self, model: &str, since: u64) -> bool {
        self.by_type.get(model).is_some_and(|boots| boots.newest_up > since)
    }
}

/// As many boot times as are kept, spread evenly over the usual range.
fn usual_boots(machine_type: &MachineType) -> Vec<f64> {
    let (fastest, slowest) = USUAL_BOOTS;
    let step = (slowest - fastest) / (RECENT_BOOTS - 1) as f64;
    (0..RECENT_BOOTS)
        .map(|n| machine_type.boot_s * (fastest + step * n as f64))
        .collect()
}
