//! Renting and returning machines, and finding machines that are paid for but not in the roster.

use super::{MAX_MACHINES_PER_RENTAL, MachineKind};
use crate::calls::CallPurpose;
use crate::controller::Controller;
use crate::ids::{MachineId, Partition};
use crate::messages::{Level, Method};
use crate::protocol::{MachineList, MachineNames, Rental};
use crate::roster::RentedMachine;
use std::collections::BTreeMap;

impl Controller {
    /// Sends rental requests for the wanted machines, kinds with the most production work first. A rental without a
    /// definite answer is retried before anything else is rented.
    ///
    /// `wanted` holds, for each machine of a kind, the partition that it is for and whether it is for production work.
    pub(super) fn send_rentals(&mut self, wanted: BTreeMap<MachineKind, Vec<(Partition, bool)>>) {
        if let Some((rental, partitions)) = self.capacity.rentals_to_retry.pop() {
            if self.take_cloud_budget(0.0) {
                self.rent(rental, partitions);
            } else {
                self.capacity.rentals_to_retry.push((rental, partitions));
            }
            return;
        }
        if self.capacity.rentals_in_flight > 0 || !self.capacity.pending_registration.is_empty() {
            return;
        }
        let Some((_, leader_revision)) = self.membership.leader.clone() else {
            return;
        };
        let now = self.now.ms;
        let mut kinds: Vec<(MachineKind, Vec<(Partition, bool)>)> = wanted.into_iter().collect();
        kinds.sort_by_key(|(_, machines)| std::cmp::Reverse(machines.iter().filter(|(_, is_prod)| *is_prod).count()));
        for (kind, machines) in kinds {
            if self.capacity.refused_until.contains_key(&kind) || !self.take_cloud_budget(0.0) {
                continue;
            }
            for (n, chunk) in machines.chunks(MAX_MACHINES_PER_RENTAL).enumerate() {
                // A kind counts as exhausted for 8 worker leases after the cloud ran out of it.
                let exhausted_at = self.capacity.exhausted_at.get(&kind);
                let is_exhausted =
                    exhausted_at.is_some_and(|t| now.saturating_sub(*t) < 8 * self.settings.worker_lease_ms());
                if n > 0 && (is_exhausted || !self.take_cloud_budget(0.0)) {
                    break;
                }
                let partitions: Vec<Partition> = chunk.iter().map(|(p, _)| *p).collect();
                self.capacity.rental_count += 1;
                // The revision at which this leader wrote the leader key is unique to it, so the request id is unique
                // too.
                let rental = Rental {
                    request: format!("r-{leader_revision}-{}", self.capacity.rental_count),
                    model: kind.0.clone(),
                    zone: kind.1.clone(),
                    spot: kind.2,
                    count: partitions.len() as u32,
                };
                self.rent(rental, partitions);
            }
        }
    }

    /// Sends one rental request. `partitions` holds, for each machine, the partition that it is for.
    pub(super) fn rent(&mut self, rental: Rental, partitions: Vec<Partition>) {
        self.capacity.rentals_in_flight += 1;
        let body = serde_json::to_string(&rental).unwrap_or_default();
        self.send_cloud_request(
            Method::Post,
            "/hosts",
            body,
            CallPurpose::RentMachines { rental, partitions },
        );
    }

    /// Handles the cloud's answer to a rental request.
    pub(crate) fn on_rental_answer(
        &mut self,
        rental: Rental,
        partitions: Vec<Partition>,
        result: Option<(u16, Vec<u8>)>,
    ) {
        self.capacity.rentals_in_flight = self.capacity.rentals_in_flight.saturating_sub(1);
        let now = self.now.ms;
        let kind = (rental.model.clone(), rental.zone.clone(), rental.spot);
        let pause_ms = self.settings.worker_lease_ms();
        match result {
            Some((200, body)) => {
                let names = serde_json::from_slice::<MachineNames>(&body).map_or(Vec::new(), |n| n.machines);
                self.log(
                    Level::Info,
                    format!(
                        "cloud: rented {} of {} {} machines in zone {}{}",
                        names.len(),
                        rental.count,
                        rental.model,
                        rental.zone,
                        if rental.spot { " (spot)" } else { "" }
                    ),
                );
                if names.len() < partitions.len() {
                    self.capacity.refused_until.insert(kind.clone(), now + pause_ms);
                    self.capacity.exhausted_at.insert(kind.clone(), now);
                }
                for (name, partition) in names.into_iter().zip(partitions) {
                    self.capacity.pending_registration.push(RentedMachine {
                        machine: name,
                        partition,
                        kind: kind.clone(),
                        is_adopted: false,
                    });
                }
                self.send_new_groups();
            }
            Some((503, body)) if String::from_utf8_lossy(&body).contains("capacity") => {
                self.log(
                    Level::Info,
                    format!(
                        "cloud: no capacity for {} in zone {} (spot: {})",
                        kind.0, kind.1, kind.2
                    ),
                );
                self.capacity.exhausted_at.insert(kind.clone(), now);
                self.capacity.refused_until.insert(kind, now + pause_ms);
            }
            Some((400, body)) => {
                let text = String::from_utf8_lossy(&body).into_owned();
                self.log(Level::Error, format!("cloud: rental rejected as malformed: {text}"));
                self.capacity.refused_until.insert(kind, now + pause_ms);
            }
            // 429, an outage, or no answer: the same request is sent again. Its id makes it idempotent.
            _ => self.capacity.rentals_to_retry.push((rental, partitions)),
        }
    }

    /// Adds machines to the roster that send reports but are not in it. They come from rentals that the cloud carried
    /// out late, and go to the partition with the most demand.
    pub(super) fn adopt_unregistered_machines(&mut self) {
        let now = self.now.ms;
        let min_age_ms = 2 * self.settings.report_ms();
        let registered: Vec<MachineId> = self
            .capacity
            .unregistered
            .keys()
            .filter(|id| self.machines.contains_key(*id))
            .cloned()
            .collect();
        for id in registered {
            self.capacity.unregistered.remove(&id);
        }
        self.capacity
            .unregistered
            .retain(|_, m| now.saturating_sub(m.last_seen_at) < 2 * min_age_ms);
        if self.capacity.rentals_in_flight > 0 || !self.capacity.pending_registration.is_empty() {
            return;
        }
        let to_adopt: Vec<(MachineId, MachineKind)> = self
            .capacity
            .unregistered
            .iter()
            .filter(|(_, m)| m.is_alive && now.saturating_sub(m.first_seen_at) > min_age_ms)
            .map(|(id, m)| (id.clone(), m.kind.clone()))
            .collect();
        for (id, kind) in to_adopt {
            let partition = self
                .capacity
                .digests
                .iter()
                .max_by(|a, b| a.1.0.demand.total_cmp(&b.1.0.demand))
                .map_or(Partition(0), |(p, _)| *p);
            self.log(
                Level::Info,
                format!("{id}: reports but is not in the roster, taking it in"),
            );
            self.capacity.unregistered.remove(&id);
            self.capacity.pending_registration.push(RentedMachine {
                machine: id,
                partition,
                kind,
                is_adopted: true,
            });
        }
    }

    /// Marks the empty machines that are to be returned to the cloud: those that have been idle for too long, and those
    /// that are faulty or drained.
    pub(super) fn mark_retiring_machines(&mut self) {
        let now = self.now.ms;
        let acting = self.active_partitions();
        let idle_per_boot = self.settings.operator.idle_per_boot;
        let mut log_lines = Vec::new();
        let jobs = &self.jobs;
        for (id, m) in &mut self.machines {
            if !acting.contains(&m.partition) || m.retiring || m.is_deleted || m.moving_to.is_some() || !m.is_up() {
                continue;
            }
            if !m.is_confirmed || !m.held.is_empty() || (m.reserved && !m.is_faulty) {
                continue;
            }
            if m.has_unstored_results(jobs) {
                continue;
            }
            // A machine type that is not known counts as taking 60 s to boot.
            let boot_s = self
                .machine_types
                .iter()
                .find(|t| t.name == m.model)
                .map_or(60.0, |t| t.boot_s);
            // If a spot machine is returned, an on-demand machine may have to replace it. The more that one costs by
            // comparison, the longer the spot machine is kept, up to five times as long.
            let t = self.machine_types.iter().find(|t| t.name == m.model);
            let price_ratio = match t {
                Some(t) if m.spot => (t.price / t.spot_price.max(1e-9)).clamp(1.0, 5.0),
                _ => 1.0,
            };
            let idle_limit_ms = (boot_s * idle_per_boot * price_ratio * 1000.0) as u64;
            let is_idle_too_long = m.idle_since.is_some_and(|t| now.saturating_sub(t) > idle_limit_ms);
            if is_idle_too_long || m.is_faulty || m.draining {
                m.retiring = true;
                log_lines.push(format!(
                    "{id}: {}, returning it to the cloud",
                    if m.is_faulty {
                        "faulty"
                    } else if m.draining {
                        "emptied"
                    } else {
                        "idle"
                    }
                ));
            }
        }
        for text in log_lines {
            self.log(Level::Info, text);
        }
    }

    /// Sends a deletion request for the machines that are marked to be returned, at most 100 at a time.
    pub(super) fn send_deletions(&mut self) {
        if self.capacity.deletion_in_flight {
            return;
        }
        let names: Vec<MachineId> = self
            .machines
            .iter()
            .filter(|(_, m)| m.retiring && !m.deleting && !m.is_deleted && self.active_tenure(m.partition).is_some())
            .map(|(id, _)| id.clone())
            .take(100)
            .collect();
        if names.is_empty() || !self.take_cloud_budget(0.0) {
            return;
        }
        for id in &names {
            if let Some(m) = self.machines.get_mut(id) {
                m.deleting = true;
            }
        }
        self.delete(names);
    }

    /// Sends a deletion request for the given machines.
    pub(super) fn delete(&mut self, machines: Vec<MachineId>) {
        self.capacity.deletion_in_flight = true;
        let body = serde_json::to_string(&MachineNames {
            machines: machines.clone(),
        })
        .unwrap_or_default();
        self.send_cloud_request(
            Method::Post,
            "/hosts/delete",
            body,
            CallPurpose::DeleteMachines { machines },
        );
    }

    /// Handles the cloud's answer to a deletion request.
    pub(crate) fn on_deletion_answer(&mut self, machines: Vec<MachineId>, result: Option<(u16, Vec<u8>)>) {
        self.capacity.deletion_in_flight = false;
        let is_deleted = matches!(result, Some((200, _)));
        for id in machines {
            let Some(m) = self.machines.get_mut(&id) else { continue };
            m.deleting = false;
            if is_deleted {
                // The answer confirms that the machine and all tasks on it are gone.
                m.is_deleted = true;
                self.capacity.deleted_at.insert(id.clone(), self.now.ms);
                self.release_all_attempts(&id, "the cloud has deleted it");
                // The delay lets several machines that are deleted at about the same time share one roster write.
                let write_at = self.now.ms + self.settings.report_ms() / 2;
                self.schedule_group_write(&id, write_at);
            }
        }
    }

    /// Requests the next page of the cloud's machine list, to find machines that are paid for but not in the roster. A
    /// new listing begins at the earliest one report interval plus twice `list_lag_s` after the last request;
    /// `list_lag_s` is the time by which the list may lag behind.
    pub(super) fn request_machine_list(&mut self) {
        let now = self.now.ms;
        let interval_ms = (self.settings.platform.facts.cloud.list_lag_s * 2000.0) as u64 + self.settings.report_ms();
        // The pages of one listing are requested one after the other without that pause; a page holds at most 500
        // machines.
        let is_listing_complete = self.capacity.next_list_cursor.is_empty();
        if (is_listing_complete && now < self.capacity.list_requested_at + interval_ms) || !self.take_cloud_budget(0.3)
        {
            return;
        }
        self.capacity.list_requested_at = now;
        self.capacity.requested_list_cursor = std::mem::take(&mut self.capacity.next_list_cursor);
        let path = format!("/hosts?since={}&most=500", self.capacity.requested_list_cursor);
        self.send_cloud_request(Method::Get, path, String::new(), CallPurpose::ListMachines);
    }

    /// Handles a page of the cloud's machine list: deletes the machines that are not in the roster.
    pub(crate) fn on_machine_list(&mut self, result: Option<(u16, Vec<u8>)>) {
        let Some((200, body)) = result else { return };
        let Ok(list) = serde_json::from_slice::<MachineList>(&body) else {
            return;
        };
        // Without the further pages, machines beyond the first page would never be found and would be paid for
        // indefinitely.
        let last_id = list.machines.last().map(|m| m.id.as_str().to_owned());
        self.capacity.next_list_cursor = last_id
            .filter(|l| list.more && *l > self.capacity.requested_list_cursor)
            .unwrap_or_default();
        // While a rental, a registration or a deletion is pending, the list may hold machines whose entry in the roster
        // is still to come or that are about to go.
        if !self.is_leader()
            || self.capacity.rentals_in_flight > 0
            || !self.capacity.pending_registration.is_empty()
            || self.capacity.deletion_in_flight
        {
            return;
        }
        let min_age_s = 4.0 * self.settings.platform.facts.cloud.list_lag_s;
        let unregistered: Vec<MachineId> = list
            .machines
            .into_iter()
            .filter(|m| {
                m.age_s > min_age_s
                    && !self.machines.contains_key(&m.id)
                    && !self.capacity.deleted_at.contains_key(&m.id)
            })
            .map(|m| m.id)
            .take(100)
            .collect();
        if unregistered.is_empty() || !self.take_cloud_budget(0.0) {
            return;
        }
        self.log(
            Level::Info,
            format!(
                "{} machines are not in the roster, returning them to the cloud",
                unregistered.len()
            ),
        );
        for id in &unregistered {
            self.capacity.deleted_at.insert(id.clone(), self.now.ms);
        }
        self.delete(unregistered);
    }
}
