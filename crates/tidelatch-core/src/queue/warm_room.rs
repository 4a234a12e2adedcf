//! Room for production replicas on machines that hold their image already.
//!
//! A class may have to start sooner than a machine can fetch its image. Free room on a machine without the image
//! is of no use to such a replica then, and the machines that hold the image are mostly full of work of lower
//! priority, which could as well run elsewhere.

use super::Waiting;
use super::preemption::Search;
use crate::controller::Controller;
use crate::ids::{MachineId, Partition};
use crate::placement::{Amounts, JobTerms};
use crate::protocol::Priority;
use std::collections::BTreeSet;

/// Part of the time within which a class should start for which its replicas wait for such room. After that they
/// take any.
const HELD_BACK_PART: f64 = 0.5;

impl Controller {
    /// Stops work of lower priority on machines that hold the image of production replicas, where these would start
    /// too late anywhere else. The replicas for which room is being made are left out of this batch, and the
    /// machines are kept from lower work until they have it.
    pub(super) fn make_warm_room(
        &mut self,
        partition: Partition,
        waiting: &mut [Waiting],
        (jobs, ids): (&mut [JobTerms], &[MachineId]),
        used: &[Amounts],
    ) {
        let mut search = Search::new(self, partition, used);
        let mut kept: BTreeSet<MachineId> = BTreeSet::new();
        for (w, terms) in waiting.iter_mut().zip(jobs.iter()) {
            if self.needs_image_there(w, terms) {
                let held_back = search.hold_back(w, terms, &mut kept);
                let placeable = w.tasks.len().saturating_sub(held_back);
                w.tasks.truncate(placeable);
            }
        }
        let stops = search.into_stops();
        self.stop_preempted(stops);
        if kept.is_empty() {
            return;
        }
        let places = ids.iter().enumerate().filter(|(_, id)| kept.contains(*id));
        let kept: BTreeSet<usize> = places.map(|(place, _)| place).collect();
        for (_, terms) in waiting.iter().zip(jobs).filter(|(w, _)| w.priority < Priority::Prod) {
            terms.barred.extend(&kept);
        }
    }

    /// Whether a production replica would start too late on a machine that has to fetch its image first.
    fn needs_image_there(&self, w: &Waiting, terms: &JobTerms) -> bool {
        let early = terms.wait_left_s > (1.0 - HELD_BACK_PART) * terms.within_s;
        let fetch_s = self
            .types
            .iter()
            .map(|t| terms.image_gb / t.fetch_gb_per_s.max(1e-3))
            .fold(f64::MAX, f64::min);
        w.priority >= Priority::Prod && terms.service && early && fetch_s > terms.wait_left_s
    }
}
