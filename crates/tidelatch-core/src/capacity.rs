//! Renting, lending and returning machines.
//!
//! Every owner says what its queues would need beyond the machines it has, and which of its machines
//! are idle. The leader lends idle machines to those who need them, rents the rest, and shares both
//! out. An owner returns what stays idle and deletes what is lost.

mod boot_times;
mod digests;
mod hand_over;
mod heartbeats;
mod planning;
mod renting;
mod spare_room;

pub use boot_times::{BootTimes, BootingMachine};
pub(crate) use planning::room_for;
use planning::wants;
pub use planning::{Coming, Kind, Lane, UnplacedTasks, absorb, plan};

use crate::calls::Purpose;
use crate::controller::Controller;
use crate::ids::{ControllerId, Epoch, MachineId, Partition};
use crate::membership::TYPES_KEY;
use crate::messages::{Digest, IdleMachine, Method, Move, Target};
use crate::protocol::{MachineTypes, Rental, Report};
use crate::rate_limit::TokenBucket;
use crate::roster::Rented;
use crate::settings::Settings;
use serde_json::json;
use std::collections::BTreeMap;

/// Most machines in one rental.
const RENTAL: usize = 50;
/// Most machines that a digest offers to vacate.
const YIELDING: usize = 4;

/// A machine that reports but is in nobody's roster.
#[derive(Debug, Clone)]
struct Stranger {
    kind: Kind,
    since: u64,
    seen: u64,
    /// Its first report here.
    first: (u64, u64),
    /// A later report carried the present token: it has taken an answer, so it lives. Late copies of a
    /// deleted machine's reports carry the token of their time.
    lives: bool,
}

/// A machine that the leader has asked an owner to hand over.
#[derive(Debug, Clone)]
struct Lent {
    machine: IdleMachine,
    to: Partition,
    at: u64,
}

/// The cloud as this controller sees it, and what is under way there.
#[derive(Debug)]
pub(crate) struct Cloud {
    pub(crate) wishes: Vec<UnplacedTasks>,
    pub(crate) stale_keys: Vec<String>,
    pub(crate) types_writing: bool,
    types_at: u64,
    types_asked: u64,
    types_written: u64,
    budget: TokenBucket,
    /// Kinds of which the cloud had no more, and when: one request at a time is enough for those.
    scarce: BTreeMap<Kind, u64>,
    /// Kinds refused by the cloud, until when.
    refused: BTreeMap<Kind, u64>,
    digests: BTreeMap<Partition, (Digest, u64)>,
    renting: u32,
    rental_count: u64,
    /// Rentals that got no clear answer: the same request is sent again.
    retry: Vec<(Rental, Vec<Partition>)>,
    /// Rented, and not in the roster yet.
    pub(crate) unlisted: Vec<Rented>,
    /// The revision that a partition's digest must know before it counts.
    pub(crate) fresh_from: BTreeMap<Partition, u64>,
    lent: Vec<Lent>,
    moves: BTreeMap<ControllerId, Vec<Move>>,
    strangers: BTreeMap<MachineId, Stranger>,
    /// How long machines took to boot lately.
    pub(crate) boot_times: BootTimes,
    deleted: BTreeMap<MachineId, u64>,
    deleting: bool,
    due: u64,
    hosts_at: u64,
    /// Last machine of the page of the cloud's list that came last; empty: the next one is the first.
    hosts_since: String,
    /// Where the page that was asked for last began.
    hosts_asked: String,
}

impl Cloud {
    pub(crate) fn new(settings: &Settings) -> Self {
        let rate = settings.platform.facts.cloud.rps / f64::from(settings.partitions());
        Self {
            wishes: Vec::new(),
            stale_keys: Vec::new(),
            types_writing: false,
            types_at: 0,
            types_asked: 0,
            types_written: 0,
            budget: TokenBucket::new(rate, rate.max(1.0)),
            scarce: BTreeMap::new(),
            refused: BTreeMap::new(),
            digests: BTreeMap::new(),
            renting: 0,
            rental_count: 0,
            retry: Vec::new(),
            unlisted: Vec::new(),
            fresh_from: BTreeMap::new(),
            lent: Vec::new(),
            moves: BTreeMap::new(),
            strangers: BTreeMap::new(),
            boot_times: BootTimes::default(),
            deleted: BTreeMap::new(),
            deleting: false,
            due: 0,
            hosts_at: 0,
            hosts_since: String::new(),
            hosts_asked: String::new(),
        }
    }

    /// Whether the cloud has refused a kind lately.
    pub(crate) fn is_refused(&self, kind: &Kind, now: u64) -> bool {
        self.refused.get(kind).is_some_and(|t| now < *t)
    }

    /// A machine is known to be gone: that it is still listed, or reports late, means nothing.
    pub(crate) fn note_deleted(&mut self, id: MachineId, now: u64) {
        self.deleted.insert(id, now);
    }

    /// A report came from a machine that is not in the roster.
    pub(crate) fn note_stranger(&mut self, report: &Report, epoch: Epoch, now: u64) {
        if self.deleted.contains_key(&report.machine) {
            return;
        }
        let key = (report.session, report.seq);
        let stranger = self
            .strangers
            .entry(report.machine.clone())
            .or_insert_with(|| Stranger {
                kind: (report.model.clone(), report.zone.clone(), report.spot),
                since: now,
                seen: now,
                first: key,
                lives: false,
            });
        stranger.seen = now;
        stranger.lives |= report.epoch == epoch && key > stranger.first;
    }
}

impl Controller {
    /// The leader, whose cloud calls are more, gets most of the budget.
    fn cloud_budget(&mut self, reserve: f64) -> bool {
        let rps = self.settings.platform.facts.cloud.rps;
        let others = f64::from(self.settings.partitions().saturating_sub(1));
        let part = if others == 0.0 {
            0.9
        } else if self.is_leader() {
            0.6
        } else {
            0.35 / others
        };
        self.cloud.budget.set_rate(rps * part, (rps * part * 2.0).max(1.0));
        self.cloud.budget.take(self.now.ms, 1.0, reserve)
    }

    fn cloud_call(&mut self, method: Method, path: impl Into<String>, body: String, purpose: Purpose) {
        let timeout = 2 * self.settings.report_ms();
        self.call(Target::Cloud, method, path, body, timeout, purpose);
    }

    pub(crate) fn tick_capacity(&mut self) {
        let now = self.now.ms;
        self.want_types();
        if now < self.cloud.due || !self.entitled() {
            return;
        }
        self.cloud.due = now + self.settings.report_ms() / 5;
        self.judge_machines();
        self.retire();
        self.send_deletes();
        let keep = 4 * self.settings.worker_lease_ms();
        self.cloud.deleted.retain(|_, t| now.saturating_sub(*t) < keep);
        if self.is_leader() {
            for digest in self.own_digests() {
                self.cloud.digests.insert(digest.partition, (digest, now));
            }
            self.share_out();
            let me = self.me.clone();
            let moves = self.cloud.moves.remove(&me).unwrap_or_default();
            self.carry_out(moves);
            self.adopt_strangers();
            self.write_roster();
            self.lead_drains();
            self.list_hosts();
        } else {
            self.cloud.digests.clear();
            self.cloud.unlisted.clear();
            self.forget_new_groups();
            self.forget_beginning();
            self.cloud.retry.clear();
            self.cloud.strangers.clear();
        }
    }

    fn want_types(&mut self) {
        let now = self.now.ms;
        let lead = self.is_leader();
        let every = if self.types.is_empty() {
            self.settings.report_ms()
        } else if lead {
            2 * self.settings.worker_lease_ms()
        } else {
            return;
        };
        if self.cloud.types_asked != 0 && now < self.cloud.types_asked + every {
            return;
        }
        if !self.cloud_budget(0.0) {
            return;
        }
        self.cloud.types_asked = now.max(1);
        self.cloud_call(Method::Get, "/machine_types", String::new(), Purpose::Types);
    }

    pub(crate) fn on_types(&mut self, result: Option<(u16, Vec<u8>)>) {
        let Some((200, body)) = result else { return };
        let Ok(types) = serde_json::from_slice::<MachineTypes>(&body) else {
            return;
        };
        let now = self.now.ms;
        self.cloud.types_at = now;
        let first = self.types.is_empty();
        self.types = types.types.clone();
        if first {
            self.want_batch();
        }
        // Stored, so that a controller that starts while the cloud is down knows them.
        let due = self.cloud.types_written == 0 || now > self.cloud.types_written + 4 * self.settings.worker_lease_ms();
        // They are asked for anew by everybody; stored, they only bridge an outage of the cloud.
        let fits = crate::jobs::bytes_of(&types) <= self.settings.value_bytes();
        if self.is_leader() && due && fits && !self.cloud.types_writing {
            self.cloud.types_writing = true;
            self.cloud.types_written = now.max(1);
            let condition = self.leader_condition();
            self.txn(
                vec![condition],
                vec![json!({ "write": TYPES_KEY, "value": types })],
                Purpose::TypesWrite,
            );
        }
    }

    /// Time within which guaranteed work should start, by the objectives.
    pub(crate) fn guarantee_s(&self) -> f64 {
        let objectives = &self.settings.platform.facts.objectives;
        objectives
            .iter()
            .filter(|o| o.kind == "guarantee")
            .filter_map(|o| o.within_s)
            .fold(f64::MAX, f64::min)
    }
}
