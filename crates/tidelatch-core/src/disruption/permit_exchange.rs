//! Exchange of permit requests and permits between controllers, in their heartbeats.

use super::{Disruption, controller_name, task_of_unit, tenure_of_epoch};
use crate::controller::Controller;
use crate::ids::{Attempt, ControllerId, MachineId, TaskId};
use crate::messages::{PermitGrants, PermitListing};
use std::collections::BTreeSet;
use tidelatch_disruption::{Permit, PermitRequest, WantedPermit};

impl Controller {
    /// Builds the list of permits that this controller wants from another one, and of those that it has used. Returns
    /// `None` if there is nothing to report.
    pub(crate) fn build_permit_listing(&mut self, to: &ControllerId) -> Option<Box<PermitListing>> {
        let granter = controller_name(to);
        let grants_permits = self.grants_permits(to);
        let incarnation = self.membership.incarnation.0;
        let holder = &mut self.disruption.as_mut()?.permit_holder;
        if !grants_permits || !holder.needs_message(&granter) {
            return None;
        }
        Some(Box::new(PermitListing {
            incarnation,
            message: holder.build_message(&granter),
        }))
    }

    /// Handles another controller's list of wanted and used permits. The reply grants the permits that the budgets
    /// allow.
    pub(crate) fn handle_permit_listing(
        &mut self,
        from: &ControllerId,
        listing: &PermitListing,
    ) -> Option<Box<PermitGrants>> {
        let registered_incarnation = self.membership.members.get(from).map(|member| member.incarnation.0);
        if registered_incarnation != Some(listing.incarnation) || !self.is_entitled() {
            return None;
        }
        let requester = controller_name(from);
        let message = &listing.message;
        let Disruption { ledgers, .. } = self.disruption.as_mut()?;
        // A permit that is missing from the message was returned unused, so the message goes to every ledger, even to
        // one whose permits it does not list.
        let mut has_changes = false;
        for ledger in ledgers.values_mut() {
            has_changes |= ledger.accept_message(&requester, listing.incarnation, message);
        }
        if !has_changes {
            return None;
        }
        self.settle_ledgers();
        let permits = message
            .wanted
            .iter()
            .filter_map(|wanted| self.grant_permit(from, wanted));
        Some(Box::new(PermitGrants {
            sequence: message.sequence,
            permits: permits.collect(),
        }))
    }

    /// Grants one permit to another controller if the budget allows it and both controllers agree on the task's attempt
    /// and machine.
    fn grant_permit(&mut self, from: &ControllerId, wanted: &WantedPermit) -> Option<Permit> {
        let task = task_of_unit(&wanted.unit)?;
        let partition = self.jobs.get(&task.job)?.partition;
        self.active_tenure(partition)?;
        let machine = MachineId::new(wanted.machine.as_str());
        let (epoch, _) = self.membership.epoch.as_ref()?;
        let owns_machine = epoch
            .partitions
            .iter()
            .any(|part| part.owner == *from && tenure_of_epoch(part.since_epoch) == wanted.machine_tenure);
        if !owns_machine || !self.attempt_runs(&machine, &task, Attempt(wanted.attempt.0)) {
            return None;
        }
        let census = self.census(&task.job)?;
        self.evaluated_candidates += census.unit_count();
        let request = PermitRequest {
            unit: wanted.unit.clone(),
            attempt: wanted.attempt,
            machine: wanted.machine.clone(),
            requester: controller_name(from),
            machine_tenure: wanted.machine_tenure,
        };
        let (now_ms, valid_for_ms) = (self.now.ms, self.permit_validity_ms());
        let ledger = self.disruption.as_mut()?.ledgers.get_mut(&partition)?;
        let granted = ledger.request(now_ms, valid_for_ms, &[request], &census).ok()?;
        ledger.mark_granted_by_message(&wanted.unit);
        granted.into_iter().next()
    }

    /// Stores the permits that another controller has granted in reply to a listing that was sent at `sent_ms`.
    pub(crate) fn handle_permit_grants(&mut self, from: &ControllerId, sent_ms: u64, grants: &PermitGrants) {
        if let Some(disruption) = &mut self.disruption {
            let granter = controller_name(from);
            disruption
                .permit_holder
                .accept_answer(&granter, grants.sequence, sent_ms, &grants.permits);
        }
    }

    /// Drops permit requests that have become obsolete: the attempt is gone, or its machine is no longer to be emptied.
    pub(super) fn drop_obsolete_permit_requests(&mut self) {
        let mut attempts_to_evict: BTreeSet<(TaskId, u64)> = BTreeSet::new();
        for (id, m) in self.machines.iter().filter(|(id, _)| self.eviction_cause(id).is_some()) {
            if self.active_tenure(m.partition).is_some() {
                attempts_to_evict.extend(m.held.iter().map(|h| (h.task.clone(), h.attempt.0)));
            }
            let _ = id;
        }
        let Some(disruption) = &mut self.disruption else { return };
        disruption.permit_holder.retain(|request| {
            let task = task_of_unit(&request.unit);
            task.is_some_and(|task| attempts_to_evict.contains(&(task, request.attempt.0)))
        });
    }
}
