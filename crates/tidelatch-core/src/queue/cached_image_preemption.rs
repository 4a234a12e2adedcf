//! Preemption for production replicas on machines that already have their image.
//!
//! The jobs of a class may have to start sooner than a machine can fetch their image. Free room on a machine without
//! the image does not help such a replica, and the machines that have the image are mostly full of work of lower
//! priority that could run elsewhere.

use super::WaitingJob;
use super::preemption::PreemptionSearch;
use crate::controller::Controller;
use crate::ids::{MachineId, Partition};
use crate::placement::{Amounts, JobTerms};
use crate::protocol::Priority;
use std::collections::BTreeSet;

/// Fraction of the start objective of a class for which its replicas wait for room on a machine with their image.
/// After that they take any room.
const HOLD_BACK_FRACTION: f64 = 0.5;

impl Controller {
    /// Stops work of lower priority on machines that have the image of production replicas, if these would start too
    /// late anywhere else. The replicas for which room is being made are left out of this batch, and work of lower
    /// priority is excluded from those machines until the replicas have the room.
    pub(super) fn make_room_with_cached_image(
        &mut self,
        partition: Partition,
        waiting: &mut [WaitingJob],
        (jobs, ids): (&mut [JobTerms], &[MachineId]),
        used: &[Amounts],
    ) {
        let mut search = PreemptionSearch::new(self, partition, used);
        let mut reserved: BTreeSet<MachineId> = BTreeSet::new();
        for (w, terms) in waiting.iter_mut().zip(jobs.iter()) {
            if self.needs_cached_image(w, terms) {
                let waiting_for_stops = search.reserve_rooms_with_image(w, terms, &mut reserved);
                let placeable = w.tasks.len().saturating_sub(waiting_for_stops);
                w.tasks.truncate(placeable);
            }
        }
        let stops = search.into_stops();
        self.stop_preempted(stops);
        if reserved.is_empty() {
            return;
        }
        let reserved_indices = ids.iter().enumerate().filter(|(_, id)| reserved.contains(*id));
        let reserved: BTreeSet<usize> = reserved_indices.map(|(index, _)| index).collect();
        for (_, terms) in waiting.iter().zip(jobs).filter(|(w, _)| w.priority < Priority::Prod) {
            terms.excluded_machines.extend(&reserved);
        }
    }

    /// Whether a production replica would start too late on a machine that has to fetch its image first, and may still
    /// wait for a machine that has it.
    fn needs_cached_image(&self, w: &WaitingJob, terms: &JobTerms) -> bool {
        let can_still_wait = terms.start_time_left_s > (1.0 - HOLD_BACK_FRACTION) * terms.start_objective_s;
        let fetch_s = self
            .machine_types
            .iter()
            .map(|t| terms.image_gb / t.fetch_gb_per_s.max(1e-3))
            .fold(f64::MAX, f64::min);
        w.priority >= Priority::Prod && terms.is_service && can_still_wait && fetch_s > terms.start_time_left_s
    }
}
