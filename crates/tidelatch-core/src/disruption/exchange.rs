//! Wishes and permits between controllers, on their heartbeats.

use super::{Disruption, controller_name, task, tenure};
use crate::controller::Controller;
use crate::ids::{Attempt, ControllerId, MachineId, TaskId};
use crate::messages::{PermitGrants, PermitListing};
use std::collections::BTreeSet;
use tidelatch_disruption::{Permit, PermitRequest, WantedPermit};

impl Controller {
    /// What this controller wants and has used of another one's permits; none: there is nothing to say.
    pub(crate) fn permit_listing(&mut self, to: &ControllerId) -> Option<Box<PermitListing>> {
        let granter = controller_name(to);
        let known = self.grants_permits(to);
        let life = self.membership.incarnation.0;
        let holder = &mut self.disruption.as_mut()?.holder;
        if !known || !holder.needs_message(&granter) {
            return None;
        }
        Some(Box::new(PermitListing {
            incarnation: life,
            message: holder.message_for(&granter),
        }))
    }

    /// Another controller says what it wants and has used; what it may have is granted in the answer.
    pub(crate) fn on_permit_listing(
        &mut self,
        from: &ControllerId,
        listing: &PermitListing,
    ) -> Option<Box<PermitGrants>> {
        let registered = self.membership.members.get(from).map(|member| member.incarnation.0);
        if registered != Some(listing.incarnation) || !self.is_entitled() {
            return None;
        }
        let asker = controller_name(from);
        let message = &listing.message;
        let Disruption { ledgers, .. } = self.disruption.as_mut()?;
        // Each ledger has to hear what is not listed, so none is left out.
        let mut is_news = false;
        for ledger in ledgers.values_mut() {
            is_news |= ledger.take_message(&asker, listing.incarnation, message);
        }
        if !is_news {
            return None;
        }
        self.settle_ledgers();
        let permits = message.wanted.iter().filter_map(|wanted| self.grant(from, wanted));
        Some(Box::new(PermitGrants {
            sequence: message.sequence,
            permits: permits.collect(),
        }))
    }

    /// Grants one permit to another controller, if the budget allows and its view of the task is this one's.
    fn grant(&mut self, from: &ControllerId, wanted: &WantedPermit) -> Option<Permit> {
        let task = task(&wanted.unit)?;
        let partition = self.jobs.get(&task.job)?.partition;
        self.active_tenure(partition)?;
        let machine = MachineId::new(wanted.machine.as_str());
        let (epoch, _) = self.membership.epoch.as_ref()?;
        let owns_machine = epoch
            .partitions
            .iter()
            .any(|part| part.owner == *from && tenure(part.since_epoch) == wanted.machine_tenure);
        if !owns_machine || !self.attempt_runs(&machine, &task, Attempt(wanted.attempt.0)) {
            return None;
        }
        let census = self.census(&task.job)?;
        self.evaluated_candidates += census.units();
        let request = PermitRequest {
            unit: wanted.unit.clone(),
            attempt: wanted.attempt,
            machine: wanted.machine.clone(),
            asker: controller_name(from),
            machine_tenure: wanted.machine_tenure,
        };
        let (now_ms, valid_for_ms) = (self.now.ms, self.permit_ms());
        let ledger = self.disruption.as_mut()?.ledgers.get_mut(&partition)?;
        let granted = ledger.request(now_ms, valid_for_ms, &[request], &census).ok()?;
        ledger.note_answered(&wanted.unit);
        granted.into_iter().next()
    }

    /// Another controller has granted permits, in answer to a listing that was sent at `sent`.
    pub(crate) fn on_permit_grants(&mut self, from: &ControllerId, sent: u64, grants: &PermitGrants) {
        if let Some(disruption) = &mut self.disruption {
            let granter = controller_name(from);
            disruption
                .holder
                .take_answer(&granter, grants.sequence, sent, &grants.permits);
        }
    }

    /// Wishes end with what they were for: the attempt is gone, or its machine is not to be emptied any more.
    pub(super) fn prune_wishes(&mut self) {
        let mut wanted: BTreeSet<(TaskId, u64)> = BTreeSet::new();
        for (id, m) in self.machines.iter().filter(|(id, _)| self.eviction_cause(id).is_some()) {
            if self.active_tenure(m.partition).is_some() {
                wanted.extend(m.held.iter().map(|h| (h.task.clone(), h.attempt.0)));
            }
            let _ = id;
        }
        let Some(disruption) = &mut self.disruption else { return };
        disruption.holder.retain(|wish| {
            let task = task(&wish.unit);
            task.is_some_and(|task| wanted.contains(&(task, wish.attempt.0)))
        });
    }
}
