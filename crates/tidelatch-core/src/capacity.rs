//! Capacity management: renting machines, handing them over between partitions, and returning them.
//!
//! Each partition owner sends the leader a digest of the machines that its queues need beyond the ones it
//! has, and of its idle machines. The leader hands idle machines over to the partitions that need them and
//! rents the remainder from the cloud. An owner returns machines that stay idle and deletes machines that
//! are lost.

mod boot_times;
mod digests;
mod hand_over;
mod heartbeats;
mod planning;
mod renting;
mod spare_room;

pub use boot_times::{BootTimes, BootingMachine};
pub(crate) use planning::count_fitting_tasks;
use planning::summarize_waiting_tasks;
pub use planning::{
    MachineKind, MachineTimeline, PendingMachine, UnplacedTasks, assign_to_existing_machines, plan_machine_requests,
};

use crate::calls::CallPurpose;
use crate::controller::Controller;
use crate::ids::{ControllerId, Epoch, MachineId, Partition};
use crate::membership::TYPES_KEY;
use crate::messages::{Digest, MachineMove, MachineSummary, Method, Target};
use crate::protocol::{MachineTypes, Rental, Report};
use crate::rate_limit::TokenBucket;
use crate::roster::RentedMachine;
use crate::settings::Settings;
use serde_json::json;
use std::collections::BTreeMap;

/// Maximum number of machines in one rental request.
const MAX_MACHINES_PER_RENTAL: usize = 50;
/// Maximum number of machines that a digest offers to be vacated.
const MAX_VACATABLE_MACHINES_PER_DIGEST: usize = 4;

/// A machine that sends reports but is not in the roster.
#[derive(Debug, Clone)]
struct UnregisteredMachine {
    kind: MachineKind,
    /// When this controller first received a report from it, in milliseconds.
    first_seen_at: u64,
    /// When this controller last received a report from it, in milliseconds.
    last_seen_at: u64,
    /// Session and sequence number of the first report received here.
    first_report: (u64, u64),
    /// A report after the first one carried the current epoch, so the worker has received an answer and is
    /// running. Delayed copies of a deleted machine's reports carry the epoch of the time when they were sent.
    is_alive: bool,
}

/// A hand-over that the leader has requested from a machine's owner and that has not arrived yet.
#[derive(Debug, Clone)]
struct PendingHandOver {
    machine: MachineSummary,
    to: Partition,
    /// When the leader requested it, in milliseconds.
    requested_at: u64,
}

/// Capacity state of this controller: cloud requests in flight, the leader's allocation state and machine types.
#[derive(Debug)]
pub(crate) struct CapacityState {
    /// Tasks that found no machine in the last placement batches.
    pub(crate) unplaced_tasks: Vec<UnplacedTasks>,
    /// Keys in the state service that are no longer needed and are to be deleted.
    pub(crate) stale_keys: Vec<String>,
    /// A write of the machine types to the state service is in flight.
    pub(crate) types_write_in_flight: bool,
    /// When the machine types were last received from the cloud, in milliseconds; 0: never.
    types_received_at: u64,
    /// When the machine types were last requested, in milliseconds; 0: never.
    types_requested_at: u64,
    /// When the machine types were last written to the state service, in milliseconds; 0: never.
    types_written_at: u64,
    /// This controller's share of the cloud's request rate.
    request_budget: TokenBucket,
    /// Kinds that the cloud ran out of, and when, in milliseconds. Only one request at a time is sent for these.
    exhausted_at: BTreeMap<MachineKind, u64>,
    /// Kinds that the cloud has refused, and until when, in milliseconds, they are not requested again.
    refused_until: BTreeMap<MachineKind, u64>,
    /// The last digest of each partition and when it was received, in milliseconds. Used by the leader.
    digests: BTreeMap<Partition, (Digest, u64)>,
    rentals_in_flight: u32,
    /// Rentals requested so far; numbers the request ids.
    rental_count: u64,
    /// Rentals without a definite answer. The same request is sent again, with the partitions that its machines are
    /// for.
    rentals_to_retry: Vec<(Rental, Vec<Partition>)>,
    /// Machines that were rented and are not in the roster yet.
    pub(crate) pending_registration: Vec<RentedMachine>,
    /// The state service revision that a partition's digest must have been computed from, at least, to be used.
    pub(crate) min_digest_revision: BTreeMap<Partition, u64>,
    pending_hand_overs: Vec<PendingHandOver>,
    /// Moves to send to each controller with its next heartbeat.
    moves_to_send: BTreeMap<ControllerId, Vec<MachineMove>>,
    unregistered: BTreeMap<MachineId, UnregisteredMachine>,
    /// Recent boot times by machine type.
    pub(crate) boot_times: BootTimes,
    /// Deleted machines, and when their deletion was noted, in milliseconds.
    deleted_at: BTreeMap<MachineId, u64>,
    deletion_in_flight: bool,
    /// When the next round of capacity management is due, in milliseconds.
    next_round_at: u64,
    /// When a page of the cloud's machine list was last requested, in milliseconds.
    list_requested_at: u64,
    /// Cursor of the next page of the cloud's machine list: the last machine of the page received last. Empty: the next
    /// page is the first.
    next_list_cursor: String,
    /// Cursor of the page that was requested last.
    requested_list_cursor: String,
}

impl CapacityState {
    pub(crate) fn new(settings: &Settings) -> Self {
        let rate = settings.platform.facts.cloud.rps / f64::from(settings.partitions());
        Self {
            unplaced_tasks: Vec::new(),
            stale_keys: Vec::new(),
            types_write_in_flight: false,
            types_received_at: 0,
            types_requested_at: 0,
            types_written_at: 0,
            request_budget: TokenBucket::new(rate, rate.max(1.0)),
            exhausted_at: BTreeMap::new(),
            refused_until: BTreeMap::new(),
            digests: BTreeMap::new(),
            rentals_in_flight: 0,
            rental_count: 0,
            rentals_to_retry: Vec::new(),
            pending_registration: Vec::new(),
            min_digest_revision: BTreeMap::new(),
            pending_hand_overs: Vec::new(),
            moves_to_send: BTreeMap::new(),
            unregistered: BTreeMap::new(),
            boot_times: BootTimes::default(),
            deleted_at: BTreeMap::new(),
            deletion_in_flight: false,
            next_round_at: 0,
            list_requested_at: 0,
            next_list_cursor: String::new(),
            requested_list_cursor: String::new(),
        }
    }

    /// Whether the cloud has recently refused to rent a kind of machine.
    pub(crate) fn is_refused(&self, kind: &MachineKind, now: u64) -> bool {
        self.refused_until.get(kind).is_some_and(|t| now < *t)
    }

    /// Records that a machine is known to be gone. After that it is ignored in the cloud's list and in late reports.
    pub(crate) fn note_deleted(&mut self, id: MachineId, now: u64) {
        self.deleted_at.insert(id, now);
    }

    /// Records a report from a machine that is not in the roster.
    pub(crate) fn record_unregistered_machine(&mut self, report: &Report, epoch: Epoch, now: u64) {
        if self.deleted_at.contains_key(&report.machine) {
            return;
        }
        let key = (report.session, report.seq);
        let machine = self
            .unregistered
            .entry(report.machine.clone())
            .or_insert_with(|| UnregisteredMachine {
                kind: (report.model.clone(), report.zone.clone(), report.spot),
                first_seen_at: now,
                last_seen_at: now,
                first_report: key,
                is_alive: false,
            });
        machine.last_seen_at = now;
        machine.is_alive |= report.epoch == epoch && key > machine.first_report;
    }
}

impl Controller {
    /// Takes one cloud request from this controller's budget if at least `reserve` (a fraction of the burst) is left
    /// after it. The leader makes most of the cloud requests and gets the largest part of the budget: 0.6 of the
    /// cloud's request rate, while all others together get 0.35. A controller that is alone gets 0.9.
    fn take_cloud_budget(&mut self, reserve: f64) -> bool {
        let rps = self.settings.platform.facts.cloud.rps;
        let others = f64::from(self.settings.partitions().saturating_sub(1));
        let fraction = if others == 0.0 {
            0.9
        } else if self.is_leader() {
            0.6
        } else {
            0.35 / others
        };
        self.capacity
            .request_budget
            .set_rate(rps * fraction, (rps * fraction * 2.0).max(1.0));
        self.capacity.request_budget.try_take(self.now.ms, 1.0, reserve)
    }

    /// Sends a request to the cloud.
    fn send_cloud_request(&mut self, method: Method, path: impl Into<String>, body: String, purpose: CallPurpose) {
        let timeout_ms = 2 * self.settings.report_ms();
        self.send_call(Target::Cloud, method, path, body, timeout_ms, purpose);
    }

    /// Runs a round of capacity management, if one is due and this controller may act. There are five rounds in a
    /// report interval.
    pub(crate) fn tick_capacity(&mut self) {
        let now = self.now.ms;
        self.request_machine_types();
        if now < self.capacity.next_round_at || !self.is_entitled() {
            return;
        }
        self.capacity.next_round_at = now + self.settings.report_ms() / 5;
        self.detect_faulty_machines();
        self.mark_retiring_machines();
        self.send_deletions();
        let keep_ms = 4 * self.settings.worker_lease_ms();
        self.capacity.deleted_at.retain(|_, t| now.saturating_sub(*t) < keep_ms);
        if self.is_leader() {
            for digest in self.own_digests() {
                self.capacity.digests.insert(digest.partition, (digest, now));
            }
            self.allocate_machines();
            let own_name = self.own_name.clone();
            let moves = self.capacity.moves_to_send.remove(&own_name).unwrap_or_default();
            self.execute_moves(moves);
            self.adopt_unregistered_machines();
            self.send_new_groups();
            self.advance_drains_as_leader();
            self.request_machine_list();
        } else {
            self.capacity.digests.clear();
            self.capacity.pending_registration.clear();
            self.drop_unsent_groups();
            self.discard_pending_drain();
            self.capacity.rentals_to_retry.clear();
            self.capacity.unregistered.clear();
        }
    }

    /// Requests the machine types from the cloud: each report interval until they are known; after that only the
    /// leader does, every two worker leases.
    fn request_machine_types(&mut self) {
        let now = self.now.ms;
        let is_leader = self.is_leader();
        let interval_ms = if self.machine_types.is_empty() {
            self.settings.report_ms()
        } else if is_leader {
            2 * self.settings.worker_lease_ms()
        } else {
            return;
        };
        if self.capacity.types_requested_at != 0 && now < self.capacity.types_requested_at + interval_ms {
            return;
        }
        if !self.take_cloud_budget(0.0) {
            return;
        }
        self.capacity.types_requested_at = now.max(1);
        self.send_cloud_request(
            Method::Get,
            "/machine_types",
            String::new(),
            CallPurpose::ReadMachineTypes,
        );
    }

    /// Handles the cloud's answer to a request for the machine types.
    pub(crate) fn on_machine_types(&mut self, result: Option<(u16, Vec<u8>)>) {
        let Some((200, body)) = result else { return };
        let Ok(types) = serde_json::from_slice::<MachineTypes>(&body) else {
            return;
        };
        let now = self.now.ms;
        self.capacity.types_received_at = now;
        let is_first = self.machine_types.is_empty();
        self.machine_types = types.types.clone();
        if is_first {
            self.schedule_batch();
        }
        // The types are stored so that a controller that starts while the cloud is down knows them.
        let is_due = self.capacity.types_written_at == 0
            || now > self.capacity.types_written_at + 4 * self.settings.worker_lease_ms();
        // Types that are too large to store are skipped: every controller requests them from the cloud anyway, and the
        // stored copy only bridges an outage of the cloud.
        let fits = crate::jobs::bytes_of(&types) <= self.settings.value_bytes();
        if self.is_leader() && is_due && fits && !self.capacity.types_write_in_flight {
            self.capacity.types_write_in_flight = true;
            self.capacity.types_written_at = now.max(1);
            let condition = self.leader_condition();
            self.txn(
                vec![condition],
                vec![json!({ "write": TYPES_KEY, "value": types })],
                CallPurpose::WriteMachineTypes,
            );
        }
    }

    /// Seconds within which guaranteed work should start: the shortest of the guarantee objectives; `f64::MAX` without
    /// one.
    pub(crate) fn guaranteed_start_limit_s(&self) -> f64 {
        let objectives = &self.settings.platform.facts.objectives;
        objectives
            .iter()
            .filter(|o| o.kind == "guarantee")
            .filter_map(|o| o.within_s)
            .fold(f64::MAX, f64::min)
    }
}
