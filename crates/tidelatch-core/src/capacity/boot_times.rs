//! Recent boot times by machine type, and detection of machines that boot late.
//!
//! A machine that has not come up when most machines of its type would have is *late*: it may never come up.
//! Its capacity then no longer counts as expected capacity, so that a replacement is rented. While all
//! machines boot slowly, a replacement would be as slow, so only as many late machines are replaced at a time as
//! make up a fraction of the booting ones, and the observed boot times raise the limit after which a machine is
//! late.

use crate::ids::MachineId;
use crate::protocol::MachineType;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Number of recent boot times kept for each machine type.
const MAX_BOOT_TIMES_PER_TYPE: usize = 16;
/// The fastest and the slowest usual boot time, as multiples of the type's nominal boot time.
const USUAL_BOOT_TIME_MULTIPLES: (f64, f64) = (0.6, 1.5);
/// The quantile of recent boot times after which a machine is late.
const LATE_QUANTILE: f64 = 0.9;
/// Fraction of a type's booting machines that is replaced at a time, at least one machine, while no machine that was
/// rented later has come up. Each time the replacements have become late as well, as many again are replaced.
const REPLACED_FRACTION: f64 = 0.25;
/// Multiple of the lateness limit after which a machine is deleted if a machine rented later has come up first.
const GIVE_UP_MULTIPLE_IF_OVERTAKEN: f64 = 2.0;
/// Multiple of the lateness limit after which a machine is deleted if no machine rented later has come up.
const GIVE_UP_MULTIPLE: f64 = 3.0;

/// A machine that has not come up yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BootingMachine {
    /// Machine name.
    pub id: MachineId,
    /// Machine type.
    pub model: String,
    /// When it was rented, in milliseconds.
    pub rented_at_ms: u64,
}

/// Observed boots of one machine type.
#[derive(Debug, Clone, Default)]
struct TypeBoots {
    /// Boot times in seconds, the latest last.
    recent_s: VecDeque<f64>,
    /// The latest rental time, in milliseconds, among the machines that have come up.
    newest_rented_at: u64,
}

/// Recent boot times of all machine types.
#[derive(Debug, Clone, Default)]
pub struct BootTimes {
    by_type: BTreeMap<String, TypeBoots>,
}

impl BootTimes {
    /// Records the boot of a machine that was rented at `since` and has come up at `now`, both in milliseconds.
    pub fn record_boot(&mut self, machine_type: &MachineType, since: u64, now: u64) {
        let boots = self.by_type.entry(machine_type.name.clone()).or_default();
        boots.newest_rented_at = boots.newest_rented_at.max(since);
        boots.recent_s.push_back(now.saturating_sub(since) as f64 / 1000.0);
        if boots.recent_s.len() > MAX_BOOT_TIMES_PER_TYPE {
            boots.recent_s.pop_front();
        }
    }

    /// Seconds from the rental after which a machine of a type counts as late.
    ///
    /// Until enough boots have been observed, evenly spread usual boot times stand in for the missing ones. Boots
    /// that are faster than usual don't lower the limit, because a period of fast boots ends without notice.
    pub fn late_after_s(&self, machine_type: &MachineType) -> f64 {
        let mut boots = usual_boot_times_s(machine_type);
        if let Some(observed) = self.by_type.get(&machine_type.name) {
            boots.drain(..observed.recent_s.len().min(MAX_BOOT_TIMES_PER_TYPE));
            boots.extend(&observed.recent_s);
        }
        boots.sort_by(f64::total_cmp);
        let rank = (LATE_QUANTILE * boots.len() as f64).ceil() as usize;
        let observed_s = boots.get(rank.saturating_sub(1)).copied().unwrap_or_default();
        observed_s.max(USUAL_BOOT_TIME_MULTIPLES.1 * machine_type.boot_s)
    }

    /// Seconds from the rental after which a machine that was rented at `since` (in milliseconds) is deleted.
    pub fn give_up_after_s(&self, machine_type: &MachineType, since: u64) -> f64 {
        let multiple = if self.is_overtaken(&machine_type.name, since) {
            GIVE_UP_MULTIPLE_IF_OVERTAKEN
        } else {
            GIVE_UP_MULTIPLE
        };
        multiple * self.late_after_s(machine_type)
    }

    /// The late machines whose capacity does not count as expected capacity, so that replacements are rented.
    /// `grace_ms` is the time allowed from the end of a boot until the machine's first report arrives.
    pub fn late_machines_to_replace(
        &self,
        booting: &[BootingMachine],
        types: &[MachineType],
        now: u64,
        grace_ms: u64,
    ) -> BTreeSet<MachineId> {
        let mut to_replace = BTreeSet::new();
        for machine_type in types {
            let booting_of_type: Vec<&BootingMachine> =
                booting.iter().filter(|m| m.model == machine_type.name).collect();
            let limit_ms = (self.late_after_s(machine_type) * 1000.0) as u64 + grace_ms;
            let late = booting_of_type
                .iter()
                .copied()
                .filter(|m| now.saturating_sub(m.rented_at_ms) > limit_ms);
            let (overtaken, mut others): (Vec<&BootingMachine>, Vec<&BootingMachine>) =
                late.partition(|m| self.is_overtaken(&machine_type.name, m.rented_at_ms));
            others.sort_by_key(|m| m.rented_at_ms);
            let oldest_ms = others.first().map_or(0, |m| now.saturating_sub(m.rented_at_ms));
            let replacement_rounds = (oldest_ms / limit_ms.max(1)) as usize;
            let max_replaced =
                replacement_rounds * ((REPLACED_FRACTION * booting_of_type.len() as f64) as usize).max(1);
            let replaced = overtaken.into_iter().chain(others.into_iter().take(max_replaced));
            to_replace.extend(replaced.map(|m| m.id.clone()));
        }
        to_replace
    }

    /// Whether a machine of the type that was rented later than `since` has come up.
    fn is_overtaken(&self, model: &str, since: u64) -> bool {
        self.by_type
            .get(model)
            .is_some_and(|boots| boots.newest_rented_at > since)
    }
}

/// A full set of boot times in seconds, spread evenly over the usual range of a machine type.
fn usual_boot_times_s(machine_type: &MachineType) -> Vec<f64> {
    let (fastest, slowest) = USUAL_BOOT_TIME_MULTIPLES;
    let step = (slowest - fastest) / (MAX_BOOT_TIMES_PER_TYPE - 1) as f64;
    (0..MAX_BOOT_TIMES_PER_TYPE)
        .map(|n| machine_type.boot_s * (fastest + step * n as f64))
        .collect()
}
