//! Renting, returning, and finding what stands in no roster.

use super::{Kind, RENTAL};
use crate::calls::Purpose;
use crate::controller::Controller;
use crate::ids::{MachineId, Partition};
use crate::messages::{Level, Method};
use crate::protocol::{MachineList, MachineNames, Rental};
use crate::roster::Rented;
use std::collections::BTreeMap;

impl Controller {
    pub(super) fn send_rentals(&mut self, wanted: BTreeMap<Kind, Vec<(Partition, bool)>>) {
        if let Some((rental, split)) = self.cloud.retry.pop() {
            if self.cloud_budget(0.0) {
                self.rent(rental, split);
            } else {
                self.cloud.retry.push((rental, split));
            }
            return;
        }
        if self.cloud.renting > 0 || !self.cloud.unlisted.is_empty() {
            return;
        }
        let Some((_, leader_stamp)) = self.member.leader.clone() else {
            return;
        };
        let now = self.now.ms;
        let mut kinds: Vec<(Kind, Vec<(Partition, bool)>)> = wanted.into_iter().collect();
        kinds.sort_by_key(|(_, w)| std::cmp::Reverse(w.iter().filter(|(_, urgent)| *urgent).count()));
        for (kind, parts) in kinds {
            if self.cloud.refused.contains_key(&kind) || !self.cloud_budget(0.0) {
                continue;
            }
            for (n, chunk) in parts.chunks(RENTAL).enumerate() {
                let scarce = self.cloud.scarce.get(&kind);
                let scarce = scarce.is_some_and(|t| now.saturating_sub(*t) < 8 * self.settings.worker_lease_ms());
                if n > 0 && (scarce || !self.cloud_budget(0.0)) {
                    break;
                }
                let split: Vec<Partition> = chunk.iter().map(|(p, _)| *p).collect();
                self.cloud.rental_count += 1;
                // The revision at which this leader took its key is nobody else's.
                let rental = Rental {
                    request: format!("r-{leader_stamp}-{}", self.cloud.rental_count),
                    model: kind.0.clone(),
                    zone: kind.1.clone(),
                    spot: kind.2,
                    count: split.len() as u32,
                };
                self.rent(rental, split);
            }
        }
    }

    pub(super) fn rent(&mut self, rental: Rental, split: Vec<Partition>) {
        self.cloud.renting += 1;
        let body = serde_json::to_string(&rental).unwrap_or_default();
        self.cloud_call(Method::Post, "/hosts", body, Purpose::Rent { rental, split });
    }

    pub(crate) fn on_rent(&mut self, rental: Rental, split: Vec<Partition>, result: Option<(u16, Vec<u8>)>) {
        self.cloud.renting = self.cloud.renting.saturating_sub(1);
        let now = self.now.ms;
        let kind = (rental.model.clone(), rental.zone.clone(), rental.spot);
        let pause = self.settings.worker_lease_ms();
        match result {
            Some((200, body)) => {
                let names = serde_json::from_slice::<MachineNames>(&body).map_or(Vec::new(), |n| n.machines);
                self.log(
                    Level::Info,
                    format!(
                        "rented {} of {} {} in {}{}",
                        names.len(),
                        rental.count,
                        rental.model,
                        rental.zone,
                        if rental.spot { " (spot)" } else { "" }
                    ),
                );
                if names.len() < split.len() {
                    self.cloud.refused.insert(kind.clone(), now + pause);
                    self.cloud.scarce.insert(kind.clone(), now);
                }
                for (name, p) in names.into_iter().zip(split) {
                    self.cloud.unlisted.push(Rented {
                        machine: name,
                        partition: p,
                        kind: kind.clone(),
                        found: false,
                    });
                }
                self.write_roster();
            }
            Some((503, body)) if String::from_utf8_lossy(&body).contains("capacity") => {
                self.log(
                    Level::Info,
                    format!("the cloud has no {} in {} (spot: {})", kind.0, kind.1, kind.2),
                );
                self.cloud.scarce.insert(kind.clone(), now);
                self.cloud.refused.insert(kind, now + pause);
            }
            Some((400, body)) => {
                let text = String::from_utf8_lossy(&body).into_owned();
                self.log(Level::Error, format!("the cloud refused a rental as malformed: {text}"));
                self.cloud.refused.insert(kind, now + pause);
            }
            // 429, an outage, or no answer: the same request again, which rents nothing twice.
            _ => self.cloud.retry.push((rental, split)),
        }
    }

    /// Machines that report but are in nobody's roster: rentals that were carried out late.
    pub(super) fn adopt_strangers(&mut self) {
        let now = self.now.ms;
        let patience = 2 * self.settings.report_ms();
        let known: Vec<MachineId> = self
            .cloud
            .strangers
            .keys()
            .filter(|id| self.machines.contains_key(*id))
            .cloned()
            .collect();
        for id in known {
            self.cloud.strangers.remove(&id);
        }
        self.cloud
            .strangers
            .retain(|_, s| now.saturating_sub(s.seen) < 2 * patience);
        if self.cloud.renting > 0 || !self.cloud.unlisted.is_empty() {
            return;
        }
        let due: Vec<(MachineId, Kind)> = self
            .cloud
            .strangers
            .iter()
            .filter(|(_, s)| s.lives && now.saturating_sub(s.since) > patience)
            .map(|(id, s)| (id.clone(), s.kind.clone()))
            .collect();
        for (id, kind) in due {
            let to = self
                .cloud
                .digests
                .iter()
                .max_by(|a, b| a.1.0.demand.total_cmp(&b.1.0.demand))
                .map_or(Partition(0), |(p, _)| *p);
            self.log(Level::Info, format!("{id} reports but is in no roster: taking it in"));
            self.cloud.strangers.remove(&id);
            self.cloud.unlisted.push(Rented {
                machine: id,
                partition: to,
                kind,
                found: true,
            });
        }
    }

    /// Marks machines to be returned: idle ones, and faulty ones once they are empty.
    pub(super) fn retire(&mut self) {
        let now = self.now.ms;
        let acting = self.acting_partitions();
        let idle_per_boot = self.settings.operator.idle_per_boot;
        let mut log = Vec::new();
        let jobs = &self.jobs;
        for (id, m) in &mut self.machines {
            if !acting.contains(&m.partition) || m.retiring || m.gone || m.moving.is_some() || !m.up() {
                continue;
            }
            if !m.confirmed || !m.held.is_empty() || (m.reserved && !m.suspect) {
                continue;
            }
            if m.has_unstored_results(jobs) {
                continue;
            }
            let boot = self.types.iter().find(|t| t.name == m.model).map_or(60.0, |t| t.boot_s);
            // A spot machine that goes may have to be made up for by an ordinary one: the dearer that is,
            // the longer it is kept.
            let t = self.types.iter().find(|t| t.name == m.model);
            let dearer = match t {
                Some(t) if m.spot => (t.price / t.spot_price.max(1e-9)).clamp(1.0, 5.0),
                _ => 1.0,
            };
            let limit = (boot * idle_per_boot * dearer * 1000.0) as u64;
            let idle = m.idle_since.is_some_and(|t| now.saturating_sub(t) > limit);
            if idle || m.suspect || m.draining {
                m.retiring = true;
                log.push(format!(
                    "{id}: {}: returning it",
                    if m.suspect {
                        "faulty"
                    } else if m.draining {
                        "emptied"
                    } else {
                        "idle"
                    }
                ));
            }
        }
        for text in log {
            self.log(Level::Info, text);
        }
    }

    pub(super) fn send_deletes(&mut self) {
        if self.cloud.deleting {
            return;
        }
        let names: Vec<MachineId> = self
            .machines
            .iter()
            .filter(|(_, m)| m.retiring && !m.deleting && !m.gone && self.acting(m.partition).is_some())
            .map(|(id, _)| id.clone())
            .take(100)
            .collect();
        if names.is_empty() || !self.cloud_budget(0.0) {
            return;
        }
        for id in &names {
            if let Some(m) = self.machines.get_mut(id) {
                m.deleting = true;
            }
        }
        self.delete(names);
    }

    pub(super) fn delete(&mut self, machines: Vec<MachineId>) {
        self.cloud.deleting = true;
        let body = serde_json::to_string(&MachineNames {
            machines: machines.clone(),
        })
        .unwrap_or_default();
        self.cloud_call(Method::Post, "/hosts/delete", body, Purpose::Delete { machines });
    }

    pub(crate) fn on_delete(&mut self, machines: Vec<MachineId>, result: Option<(u16, Vec<u8>)>) {
        self.cloud.deleting = false;
        let done = matches!(result, Some((200, _)));
        for id in machines {
            let Some(m) = self.machines.get_mut(&id) else { continue };
            m.deleting = false;
            if done {
                // The answer says that the machine and all that was on it are gone.
                m.gone = true;
                self.cloud.deleted.insert(id.clone(), self.now.ms);
                self.release_all(&id, "the cloud has deleted it");
                // Several that go at about the same time cost one change.
                let soon = self.now.ms + self.settings.report_ms() / 2;
                self.group_due(&id, soon);
            }
        }
    }

    /// Looks for machines that are paid for but in no roster.
    pub(super) fn list_hosts(&mut self) {
        let now = self.now.ms;
        let every = (self.settings.platform.facts.cloud.list_lag_s * 2000.0) as u64 + self.settings.report_ms();
        // The pages of one list follow each other; a page is 500 machines at most.
        let between = self.cloud.hosts_since.is_empty();
        if (between && now < self.cloud.hosts_at + every) || !self.cloud_budget(0.3) {
            return;
        }
        self.cloud.hosts_at = now;
        self.cloud.hosts_asked = std::mem::take(&mut self.cloud.hosts_since);
        let path = format!("/hosts?since={}&most=500", self.cloud.hosts_asked);
        self.cloud_call(Method::Get, path, String::new(), Purpose::Hosts);
    }

    pub(crate) fn on_hosts(&mut self, result: Option<(u16, Vec<u8>)>) {
        let Some((200, body)) = result else { return };
        let Ok(list) = serde_json::from_slice::<MachineList>(&body) else {
            return;
        };
        // Guard: machines beyond the first page would be paid for without end.
        let last = list.machines.last().map(|m| m.id.as_str().to_owned());
        self.cloud.hosts_since = last
            .filter(|l| list.more && *l > self.cloud.hosts_asked)
            .unwrap_or_default();
        if !self.is_leader() || self.cloud.renting > 0 || !self.cloud.unlisted.is_empty() || self.cloud.deleting {
            return;
        }
        let old = 4.0 * self.settings.platform.facts.cloud.list_lag_s;
        let strays: Vec<MachineId> = list
            .machines
            .into_iter()
            .filter(|m| m.age_s > old && !self.machines.contains_key(&m.id) && !self.cloud.deleted.contains_key(&m.id))
            .map(|m| m.id)
            .take(100)
            .collect();
        if strays.is_empty() || !self.cloud_budget(0.0) {
            return;
        }
        self.log(
            Level::Info,
            format!("{} machines are in no roster: returning them", strays.len()),
        );
        for id in &strays {
            self.cloud.deleted.insert(id.clone(), self.now.ms);
        }
        self.delete(strays);
    }
}
