//! Renting, lending and returning machines.
//!
//! Every owner says what its queues would need beyond the machines it has, and which of its machines
//! are idle. The leader lends idle machines to those who need them, rents the rest, and shares both
//! out. An owner returns what stays idle and deletes what is lost.

use crate::controller::{
    Bucket, Controller, Digest, Idle, Level, Method, Move, Need, PeerReply, PeerRequest, Purpose, Target, Want,
};
use crate::ids::{ControllerId, Epoch, MachineId, Partition};
use crate::membership::{Stage, TYPES_KEY};
use crate::picture::Machine;
use crate::placement::{Amounts, JobTerms};
use crate::protocol::{MachineList, MachineNames, MachineType, MachineTypes, Priority, Rental, Report, Shape};
use crate::roster::Rented;
use crate::settings::Settings;
use serde_json::json;
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BinaryHeap};

/// Tasks of one job that found no machine.
#[derive(Debug, Clone)]
pub struct Wish {
    /// The job's partition.
    pub partition: Partition,
    /// What each takes.
    pub size: Amounts,
    /// Allowed types.
    pub models: Option<Vec<String>>,
    /// The only allowed zone.
    pub zone: Option<String>,
    /// All in one zone.
    pub one_zone: bool,
    /// Most in one zone.
    pub most_per_zone: Option<u32>,
    /// Tasks now in each zone.
    pub in_zone: BTreeMap<String, u32>,
    /// May use spot machines.
    pub spot: bool,
    /// A service.
    pub service: bool,
    /// Production work.
    pub urgent: bool,
    /// Seconds until it has to be started to be in time.
    pub slack_s: f64,
    /// Within its team's guarantee, together with the team's earlier jobs.
    pub guaranteed: bool,
    /// Seconds from submission to deadline; 0: none.
    pub deadline_s: f64,
    /// Estimated run time; 0 for services.
    pub run_s: f64,
    /// Size of the image.
    pub image_gb: f64,
    /// How many.
    pub count: u32,
}

impl Wish {
    /// A wish for none yet, in a job's terms.
    pub fn new(partition: Partition, terms: &JobTerms, urgent: bool, slack_s: f64) -> Self {
        Self {
            partition,
            size: terms.size,
            models: terms.models.clone(),
            zone: terms.zone.clone(),
            one_zone: terms.one_zone,
            most_per_zone: terms.most_per_zone,
            in_zone: terms.in_zone.clone(),
            spot: terms.spot,
            service: terms.service,
            urgent,
            slack_s,
            guaranteed: terms.guaranteed,
            deadline_s: terms.deadline_s,
            run_s: terms.estimate_s,
            image_gb: terms.image_gb,
            count: 0,
        }
    }

    /// The same as the leader sees it.
    fn want(&self, zones: &[String]) -> Want {
        let open = |z: &&String| {
            self.zone.as_ref().is_none_or(|x| x == *z)
                && (!self.one_zone || self.in_zone.iter().all(|(x, n)| *n == 0 || x == *z))
                && self
                    .most_per_zone
                    .is_none_or(|most| self.in_zone.get(*z).copied().unwrap_or(0) < most)
        };
        let allowed: Vec<String> = zones.iter().filter(open).cloned().collect();
        Want {
            models: self.models.clone().unwrap_or_default(),
            zones: if allowed.len() == zones.len() {
                Vec::new()
            } else {
                allowed
            },
            spot: self.spot,
            urgent: self.urgent,
            size: self.size,
            count: self.count,
        }
    }

    fn allows(&self, model: &str, zone: &str, spot: bool) -> bool {
        (self.spot || !spot)
            && self.models.as_ref().is_none_or(|m| m.iter().any(|x| x == model))
            && self.zone.as_ref().is_none_or(|z| z == zone)
            && (!self.one_zone || self.in_zone.iter().all(|(z, n)| *n == 0 || z == zone))
            && self
                .most_per_zone
                .is_none_or(|most| self.in_zone.get(zone).copied().unwrap_or(0) < most)
    }
}

/// A machine that is on its way, or that would be rented.
#[derive(Debug, Clone)]
pub struct Coming {
    /// Type.
    pub model: String,
    /// Zone.
    pub zone: String,
    /// Spot machine.
    pub spot: bool,
    /// Room left.
    pub free: Amounts,
}

/// A machine that is there or on its way, with the times at which room becomes free on it.
#[derive(Debug, Clone)]
pub struct Lane {
    /// Type.
    pub model: String,
    /// Zone.
    pub zone: String,
    /// Spot machine.
    pub spot: bool,
    /// Room now (or once it has booted).
    pub free: Amounts,
    /// Seconds until it has booted; 0: it is up.
    pub ready_s: f64,
    /// What is on it: seconds until it is expected to end, and its size. Services are left out, for
    /// their room does not become free.
    pub busy: Vec<(f64, Amounts)>,
}

impl Lane {
    /// The earliest time at which a task of some size could start, and how many of the tasks now on
    /// the machine must have ended by then.
    fn earliest(&self, size: &Amounts) -> Option<(f64, usize)> {
        let mut free = self.free;
        if room_for(size, &free) > 0 {
            return Some((self.ready_s, 0));
        }
        for (n, (at, ended)) in self.busy.iter().enumerate() {
            free.iter_mut().zip(ended).for_each(|(f, s)| *f += s);
            if room_for(size, &free) > 0 {
                return Some((at.max(self.ready_s), n + 1));
            }
        }
        None
    }

    fn take(&mut self, size: &Amounts, start: f64, ended: usize, run_s: f64) {
        for (_, size) in self.busy.drain(..ended) {
            self.free.iter_mut().zip(size).for_each(|(f, s)| *f += s);
        }
        self.free.iter_mut().zip(size).for_each(|(f, s)| *f -= s);
        let end = start + run_s;
        let at = self.busy.partition_point(|(t, _)| *t <= end);
        self.busy.insert(at, (end, *size));
    }
}

/// Takes off the wishes what machines that are there or on their way will do in time. What is left
/// needs machines of its own.
///
/// A task may wait for room as long as it will still be in time, and in any case as long as a machine
/// rented now would take to boot. Services and guaranteed work wait no longer than `patience_s`.
///
/// Where the cloud refuses every kind that would do, tasks wait for room for half of their slack: what
/// is left after that asks for machines that other partitions might lend or vacate.
pub fn absorb(
    wishes: &mut [Wish],
    lanes: &mut [Lane],
    types: &[MachineType],
    refused: &dyn Fn(&Kind) -> bool,
    patience_s: f64,
) {
    let boot_s = types.iter().map(|t| t.boot_s).fold(f64::MAX, f64::min);
    if boot_s == f64::MAX {
        return;
    }
    wishes.sort_by(|a, b| b.urgent.cmp(&a.urgent).then(a.slack_s.total_cmp(&b.slack_s)));
    for wish in wishes {
        // What a machine rented now could not finish in time either need not cost one.
        let hopeless = wish.slack_s < boot_s;
        let late = wish.slack_s + 0.5 * wish.deadline_s - 0.5 * wish.run_s;
        let none = all_refused(wish, types, refused);
        let limit = if hopeless {
            late.max(0.5 * boot_s)
        } else if none {
            (0.5 * wish.slack_s).max(0.5 * boot_s)
        } else {
            boot_s
        };
        let limit = if wish.guaranteed && !none {
            limit.min(patience_s)
        } else {
            limit
        };
        let limit = if wish.service { 0.0 } else { limit };
        // Room that is free, or will be once its machine has booted, is always taken: a machine rented
        // now would be no faster. Only the lane that was taken changes, so the lanes are looked at once
        // for each wish and not for each task: with hundreds of both, that was most of the processor time.
        let mut open: BinaryHeap<Reverse<Opening>> = lanes
            .iter()
            .enumerate()
            .filter(|(_, l)| wish.allows(&l.model, &l.zone, l.spot))
            .filter_map(|(lane, l)| Opening::of(l, lane, &wish.size, limit))
            .map(Reverse)
            .collect();
        while wish.count > 0 {
            let Some(Reverse(Opening {
                start_s,
                ended,
                lane: at,
            })) = open.pop()
            else {
                break;
            };
            let Some(lane) = lanes.get_mut(at) else { break };
            // What is allowed only shrinks, as zones fill up.
            if !wish.allows(&lane.model, &lane.zone, lane.spot) {
                continue;
            }
            let fetch_s = types
                .iter()
                .find(|t| t.name == lane.model)
                .map_or(0.0, |t| wish.image_gb / t.fetch_gb_per_s.max(1e-3));
            let run_s = if wish.service { f64::MAX } else { wish.run_s + fetch_s };
            lane.take(&wish.size, start_s, ended, run_s);
            open.extend(Opening::of(lane, at, &wish.size, limit).map(Reverse));
            *wish.in_zone.entry(lane.zone.clone()).or_default() += 1;
            wish.count -= 1;
        }
    }
}

/// Where and when a task could start.
#[derive(Debug, PartialEq)]
struct Opening {
    start_s: f64,
    lane: usize,
    /// Tasks now on the machine that must have ended by then.
    ended: usize,
}

impl Opening {
    fn of(lane: &Lane, at: usize, size: &Amounts, limit: f64) -> Option<Self> {
        let (start_s, ended) = lane.earliest(size)?;
        (ended == 0 || start_s <= limit).then_some(Self {
            start_s,
            lane: at,
            ended,
        })
    }
}

impl Eq for Opening {}

impl Ord for Opening {
    fn cmp(&self, other: &Self) -> Ordering {
        self.start_s.total_cmp(&other.start_s).then(self.lane.cmp(&other.lane))
    }
}

impl PartialOrd for Opening {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Whether the cloud refuses every kind of machine that would do.
fn all_refused(wish: &Wish, types: &[MachineType], refused: &dyn Fn(&Kind) -> bool) -> bool {
    let fits = |t: &&MachineType| room_for(&wish.size, &[t.cpus, t.gpus, t.memory_gb]) > 0;
    let to_be_had = |t: &MachineType| {
        t.zones.iter().any(|zone| {
            let kind = |spot| (t.name.clone(), zone.clone(), spot);
            [true, false]
                .into_iter()
                .any(|spot| wish.allows(&t.name, zone, spot) && !refused(&kind(spot)))
        })
    };
    !types.iter().filter(fits).any(to_be_had)
}

/// Kind of machine: type, zone, spot.
pub type Kind = (String, String, bool);

pub(crate) fn room_for(size: &Amounts, free: &Amounts) -> u32 {
    size.iter()
        .zip(free)
        .filter(|(s, _)| **s > 0.0)
        .map(|(s, f)| ((f + 1e-6) / s).max(0.0) as u32)
        .min()
        .unwrap_or(u32::MAX)
}

/// The machines to rent for what finds no room on those that are coming: for each task the kind that
/// costs least for it, counting how many of its like fit on one.
pub fn plan(
    wishes: &[Wish],
    mut coming: Vec<Coming>,
    types: &[MachineType],
    refused: &dyn Fn(&Kind) -> bool,
    in_zones: &BTreeMap<String, u32>,
) -> Vec<Need> {
    let mut needs: BTreeMap<Kind, (u32, bool, bool)> = BTreeMap::new();
    let mut in_zones = in_zones.clone();
    let mut order: Vec<&Wish> = wishes.iter().collect();
    order.sort_by(|a, b| b.urgent.cmp(&a.urgent).then(a.slack_s.total_cmp(&b.slack_s)));
    for wish in order {
        let mut wish = wish.clone();
        // What has no room for one task of a job has none for the next: room and zones only fill up.
        let mut from = 0;
        while wish.count > 0 {
            let found = coming
                .iter()
                .skip(from)
                .position(|c| wish.allows(&c.model, &c.zone, c.spot) && room_for(&wish.size, &c.free) > 0);
            from += found.unwrap_or(coming.len());
            if let Some(c) = coming.get_mut(from) {
                c.free.iter_mut().zip(wish.size).for_each(|(f, s)| *f -= s);
                *wish.in_zone.entry(c.zone.clone()).or_default() += 1;
                wish.count -= 1;
                continue;
            }
            from = coming.len();
            let mut best: Option<(f64, u32, Kind, Amounts)> = None;
            // Where the cloud refuses all that would do, the cheapest is named all the same: another
            // partition may have one to lend or to vacate.
            let mut any: Option<(f64, u32, Kind, Amounts)> = None;
            for t in types {
                let total = [t.cpus, t.gpus, t.memory_gb];
                // Full machines are assumed: what this job leaves free, the next one takes.
                let fit = room_for(&wish.size, &total);
                if fit == 0 {
                    continue;
                }
                // Time spent fetching is paid for too.
                let fetch_s = wish.image_gb / t.fetch_gb_per_s.max(1e-3);
                let overhead = if wish.run_s > 0.0 {
                    1.0 + fetch_s / wish.run_s
                } else {
                    1.0
                };
                for zone in &t.zones {
                    for spot in [true, false] {
                        let kind = (t.name.clone(), zone.clone(), spot);
                        if !wish.allows(&t.name, zone, spot) {
                            continue;
                        }
                        let price = if spot { t.spot_price } else { t.price };
                        let cost = price / f64::from(fit) * overhead;
                        let crowd =
                            in_zones.get(zone).copied().unwrap_or(0) + 8 * wish.in_zone.get(zone).copied().unwrap_or(0);
                        let best = if refused(&kind) { &mut any } else { &mut best };
                        let better = best
                            .as_ref()
                            .is_none_or(|(c, n, _, _)| cost < c - 1e-9 || (cost < c + 1e-9 && crowd < *n));
                        if better {
                            *best = Some((cost, crowd, kind, total));
                        }
                    }
                }
            }
            let Some((_, _, kind, total)) = best.or(any) else { break };
            let need = needs.entry(kind.clone()).or_insert((0, false, true));
            need.0 += 1;
            need.1 |= wish.urgent;
            need.2 &= wish.zone.is_none() && !wish.one_zone && wish.in_zone.values().all(|n| *n == 0);
            *in_zones.entry(kind.1.clone()).or_default() += 1;
            coming.push(Coming {
                model: kind.0,
                zone: kind.1,
                spot: kind.2,
                free: total,
            });
        }
    }
    needs
        .into_iter()
        .map(|((model, zone, spot), (count, urgent, any_zone))| Need {
            model,
            zone,
            spot,
            count,
            urgent,
            any_zone,
        })
        .collect()
}

/// Most machines in one rental.
const RENTAL: usize = 50;
/// Most machines that a digest offers to vacate.
const YIELDING: usize = 4;
/// Most kinds of waiting tasks in a digest.
const WANTS: usize = 40;

/// Puts together what waits in the same terms, production work and the most first.
fn wants(wishes: &[Wish], zones: &[String]) -> Vec<Want> {
    let mut wants: Vec<Want> = Vec::new();
    for wish in wishes.iter().filter(|w| w.count > 0) {
        let want = wish.want(zones);
        let same = |w: &&mut Want| {
            w.size == want.size
                && w.zones == want.zones
                && w.models == want.models
                && (w.spot, w.urgent) == (want.spot, want.urgent)
        };
        match wants.iter_mut().find(same) {
            Some(w) => w.count += want.count,
            None => wants.push(want),
        }
    }
    wants.sort_by(|a, b| b.urgent.cmp(&a.urgent).then(b.count.cmp(&a.count)));
    wants.truncate(WANTS);
    wants
}

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
    machine: Idle,
    to: Partition,
    at: u64,
}

/// The cloud as this controller sees it, and what is under way there.
#[derive(Debug)]
pub(crate) struct Cloud {
    pub(crate) wishes: Vec<Wish>,
    pub(crate) stale_keys: Vec<String>,
    pub(crate) types_writing: bool,
    types_at: u64,
    types_asked: u64,
    types_written: u64,
    budget: Bucket,
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
    pub(crate) fn new(set: &Settings) -> Self {
        let rate = set.platform.facts.cloud.rps / f64::from(set.partitions());
        Self {
            wishes: Vec::new(),
            stale_keys: Vec::new(),
            types_writing: false,
            types_at: 0,
            types_asked: 0,
            types_written: 0,
            budget: Bucket::new(rate, rate.max(1.0)),
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
        let rps = self.set.platform.facts.cloud.rps;
        let others = f64::from(self.set.partitions().saturating_sub(1));
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
        let timeout = 2 * self.set.report_ms();
        self.call(Target::Cloud, method, path, body, timeout, purpose);
    }

    pub(crate) fn tick_capacity(&mut self) {
        let now = self.now.ms;
        self.want_types();
        if now < self.cloud.due || !self.entitled() {
            return;
        }
        self.cloud.due = now + self.set.report_ms() / 5;
        self.retire();
        self.send_deletes();
        let keep = 4 * self.set.worker_lease_ms();
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
            self.list_hosts();
        } else {
            self.cloud.digests.clear();
            self.cloud.unlisted.clear();
            self.forget_new_racks();
            self.cloud.retry.clear();
            self.cloud.strangers.clear();
        }
    }

    fn want_types(&mut self) {
        let now = self.now.ms;
        let lead = self.is_leader();
        let every = if self.types.is_empty() {
            self.set.report_ms()
        } else if lead {
            2 * self.set.worker_lease_ms()
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
        let due = self.cloud.types_written == 0 || now > self.cloud.types_written + 4 * self.set.worker_lease_ms();
        if self.is_leader() && due && !self.cloud.types_writing {
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
        let objectives = &self.set.platform.facts.objectives;
        objectives
            .iter()
            .filter(|o| o.kind == "guarantee")
            .filter_map(|o| o.within_s)
            .fold(f64::MAX, f64::min)
    }

    /// What would be lost, in seconds of work, if a machine were vacated for production work; none if
    /// something on it does not yield.
    fn yielding(&self, m: &Machine) -> Option<f64> {
        if m.spot || m.held.is_empty() || !m.usable(self.now.ms, 2 * self.set.report_ms()) {
            return None;
        }
        let mut loss = 0.0;
        for h in &m.held {
            let job = self.jobs.get(&h.task.job)?;
            if job.spec.priority >= Priority::Prod || h.stop.is_some() {
                return None;
            }
            let ran_s = h
                .running_since
                .map_or(0.0, |t| self.now.ms.saturating_sub(t) as f64 / 1000.0);
            loss += if job.spec.checkpoint_s > 0.0 {
                ran_s.min(job.spec.save_s)
            } else {
                ran_s
            };
        }
        Some(loss)
    }

    /// A machine as the planning sees it: none for those that take no more tasks.
    fn lane(&self, m: &Machine) -> Option<Lane> {
        let now = self.now.ms;
        let t = self.types.iter().find(|t| t.name == m.model)?;
        let up = m.usable(now, 3 * self.set.report_ms());
        let booting = !m.up() && !m.retiring && m.moving.is_none();
        if !up && !booting {
            return None;
        }
        let mut free = [t.cpus, t.gpus, t.memory_gb];
        free.iter_mut().zip(m.taken()).for_each(|(f, u)| *f -= u);
        let mut busy: Vec<(f64, Amounts)> = m
            .held
            .iter()
            .filter_map(|h| {
                let job = self.jobs.get(&h.task.job)?;
                if job.spec.shape == Shape::Service {
                    return None;
                }
                let ran_s = h.running_since.map_or(0.0, |t| now.saturating_sub(t) as f64 / 1000.0);
                // Whoever has run for longer than expected is expected to need a part of that again.
                let left_s = (self.learned.run_s(&job.spec) - ran_s).max(0.3 * ran_s);
                Some((if h.stop.is_some() { 0.0 } else { left_s }, h.size))
            })
            .collect();
        busy.sort_by(|a, b| a.0.total_cmp(&b.0));
        let age_s = now.saturating_sub(m.known_since) as f64 / 1000.0;
        let ready_s = if booting {
            (t.boot_s - age_s).max(0.1 * t.boot_s)
        } else {
            0.0
        };
        Some(Lane {
            model: m.model.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            free,
            ready_s,
            busy,
        })
    }

    /// What this controller's partitions need and have to spare.
    fn own_digests(&self) -> Vec<Digest> {
        let now = self.now.ms;
        let acting = self.tenures.iter().filter(|(_, t)| t.stage == Stage::Active);
        let mut digests = Vec::new();
        for (p, _) in acting {
            let mut lanes = Vec::new();
            let mut idle = Vec::new();
            let mut yielding = Vec::new();
            let mut in_zones: BTreeMap<String, u32> = BTreeMap::new();
            let mut demand = 0.0;
            for (id, m) in self.machines.iter().filter(|(_, m)| m.partition == *p && !m.gone) {
                *in_zones.entry(m.zone.clone()).or_default() += 1;
                demand += m.held.iter().map(|h| h.size[1].max(h.size[0] / 100.0)).sum::<f64>();
                if let Some(lane) = self.lane(m) {
                    lanes.push(lane);
                }
                if let Some(loss) = self.yielding(m) {
                    let machine = Idle {
                        machine: id.clone(),
                        model: m.model.clone(),
                        zone: m.zone.clone(),
                        spot: m.spot,
                    };
                    yielding.push((loss, machine));
                }
                let spare = m
                    .idle_since
                    .is_some_and(|t| now.saturating_sub(t) > self.set.report_ms());
                if spare && m.usable(now, 2 * self.set.report_ms()) {
                    idle.push(Idle {
                        machine: id.clone(),
                        model: m.model.clone(),
                        zone: m.zone.clone(),
                        spot: m.spot,
                    });
                }
            }
            let mut wishes: Vec<Wish> = self
                .cloud
                .wishes
                .iter()
                .filter(|w| w.partition == *p)
                .cloned()
                .collect();
            let wants = wants(&wishes, &self.set.platform.facts.zones);
            demand += wishes
                .iter()
                .map(|w| f64::from(w.count) * w.size[1].max(w.size[0] / 100.0))
                .sum::<f64>();
            let refused = |kind: &Kind| self.cloud.refused.get(kind).is_some_and(|t| now < *t);
            absorb(&mut wishes, &mut lanes, &self.types, &refused, self.guarantee_s());
            let needs = plan(&wishes, Vec::new(), &self.types, &refused, &in_zones);
            yielding.sort_by(|a, b| a.0.total_cmp(&b.0));
            digests.push(Digest {
                partition: *p,
                ledger: self.member.ledger,
                demand,
                needs,
                wants,
                idle,
                yielding: yielding.into_iter().map(|(_, i)| i).take(YIELDING).collect(),
            });
        }
        digests
    }

    pub(crate) fn say_hello(&mut self) {
        let now = self.now.ms;
        let every = 2 * self.set.report_ms() / 5;
        let leader = self.member.leader.as_ref().map(|(l, _)| l.name.clone());
        let wants_grant = self.wants_grants();
        let names: Vec<String> = self.set.platform.siblings.iter().map(|s| s.host_name.clone()).collect();
        for name in names {
            let to = ControllerId::new(name);
            let peer = self.member.peers.entry(to.clone()).or_default();
            if peer.asking || (peer.asked != 0 && now < peer.asked + every) {
                continue;
            }
            peer.asking = true;
            peer.asked = now.max(1);
            peer.asked_grant = wants_grant;
            let digests = if leader.as_ref() == Some(&to) && self.entitled() {
                self.own_digests()
            } else {
                Vec::new()
            };
            let request = PeerRequest::Hello {
                name: self.me.as_str().to_owned(),
                entitled: self.entitled(),
                wants_grant,
                relies: self.relies_on(&to),
                digests,
            };
            let timeout = self.set.report_ms() / 2;
            self.ask(to.clone(), request, timeout, Purpose::Hello { to, sent: now });
        }
    }

    pub(crate) fn on_hello(&mut self, id: u64, from: ControllerId, stands: (bool, bool, bool), digests: Vec<Digest>) {
        let now = self.now.ms;
        let (entitled, wants_grant, relies) = stands;
        let granted = wants_grant && self.promise();
        self.note_reliance(&from, relies || granted);
        let lead = self.is_leader();
        if let Some(peer) = self.member.peers.get_mut(&from) {
            peer.entitled = entitled;
            peer.heard = Some(now);
        }
        let mut moves = Vec::new();
        let mut refused = Vec::new();
        if lead {
            for digest in digests {
                // Only the owner speaks for a partition.
                if self.holding(digest.partition).is_some_and(|h| h.owner == from) {
                    self.cloud.digests.insert(digest.partition, (digest, now));
                }
            }
            moves = self.cloud.moves.remove(&from).unwrap_or_default();
            refused = self
                .cloud
                .refused
                .iter()
                .filter(|(_, t)| now < **t)
                .map(|((model, zone, spot), _)| Need {
                    model: model.clone(),
                    zone: zone.clone(),
                    spot: *spot,
                    count: 0,
                    urgent: false,
                    any_zone: false,
                })
                .collect();
        }
        let entitled = self.entitled();
        let relies = self.relies_on(&from);
        self.out.push(crate::controller::Output::Tell {
            id,
            reply: PeerReply::Hello {
                entitled,
                granted,
                relies,
                moves,
                refused,
            },
        });
    }

    pub(crate) fn on_moves(&mut self, from: &ControllerId, moves: Vec<Move>, refused: Vec<Need>) {
        let leads = self.member.leader.as_ref().is_some_and(|(l, _)| l.name == *from);
        if !leads || self.is_leader() {
            return;
        }
        let until = self.now.ms + self.set.report_ms();
        self.cloud.refused = refused
            .into_iter()
            .map(|n| ((n.model, n.zone, n.spot), until))
            .collect();
        self.carry_out(moves);
    }

    /// Hands over machines as the leader asks, if they are still empty, or still yield.
    fn carry_out(&mut self, moves: Vec<Move>) {
        for mv in moves {
            let now = self.now.ms;
            let patience = 2 * self.set.report_ms();
            let Some(m) = self.machines.get(&mv.machine) else {
                continue;
            };
            if m.partition == mv.to || !m.usable(now, patience) || self.acting(m.partition).is_none() {
                continue;
            }
            if m.clean() {
                self.log(Level::Info, format!("{} goes to partition {}", mv.machine, mv.to));
                self.hand_over(&mv.machine, mv.to);
            } else if mv.vacate && self.yielding(m).is_some() {
                self.vacate(&mv.machine, mv.to);
            }
        }
    }

    /// Stops what is on a machine, to hand it over once that is gone.
    fn vacate(&mut self, id: &MachineId, to: Partition) {
        let now = self.now.ms;
        let Some(m) = self.machines.get_mut(id) else { return };
        m.vacating = Some((to, now));
        let held: Vec<_> = m.held.iter().map(|h| (h.task.clone(), h.attempt)).collect();
        self.log(
            Level::Info,
            format!(
                "{id}: stopping {} tasks: it goes to partition {to} for production work",
                held.len()
            ),
        );
        for (task, attempt) in held {
            self.stop_held(id, &task, attempt);
        }
    }

    /// Hands over what has been vacated; gives up what does not become empty.
    pub(crate) fn finish_vacating(&mut self) {
        if !self.entitled() {
            return;
        }
        let now = self.now.ms;
        let patience = 2 * self.set.report_ms();
        let mut ready = Vec::new();
        for (id, m) in &mut self.machines {
            let Some((to, since)) = m.vacating else { continue };
            if m.clean() {
                m.vacating = None;
                ready.push((id.clone(), to));
            } else if now.saturating_sub(since) > patience {
                m.vacating = None;
            }
        }
        for (id, to) in ready {
            self.log(Level::Info, format!("{id} goes to partition {to}"));
            self.hand_over(&id, to);
        }
    }

    /// The leader's round: lends what is idle, then rents.
    fn share_out(&mut self) {
        let now = self.now.ms;
        let recent = 2 * self.set.report_ms();
        self.cloud.refused.retain(|_, t| now < *t);
        // What was lent has arrived once the watch says so; until then it counts for whom it goes to.
        let ledger = self.member.ledger;
        let mut lent = std::mem::take(&mut self.cloud.lent);
        lent.retain(|l| {
            let here = self.machines.get(&l.machine.machine).map(|m| m.partition);
            if here == Some(l.to) {
                let from = self.cloud.fresh_from.entry(l.to).or_default();
                *from = (*from).max(ledger);
            }
            here.is_some() && here != Some(l.to) && now.saturating_sub(l.at) < 2 * recent
        });
        self.cloud.lent = lent;
        let fresh: Vec<Digest> = self
            .cloud
            .digests
            .values()
            .filter(|(d, at)| {
                now.saturating_sub(*at) < recent
                    && d.ledger >= self.cloud.fresh_from.get(&d.partition).copied().unwrap_or(0)
            })
            .map(|(d, _)| d.clone())
            .collect();
        // On its way already: for each partition, by kind.
        let mut coming: Vec<(Partition, Idle)> = self.cloud.lent.iter().map(|l| (l.to, l.machine.clone())).collect();
        let moving = |i: &Idle| self.cloud.lent.iter().any(|l| l.machine.machine == i.machine);
        let offers = |list: &dyn Fn(&Digest) -> Vec<Idle>| -> Vec<(Partition, Idle)> {
            let of = |d: &Digest| list(d).into_iter().map(|i| (d.partition, i)).collect::<Vec<_>>();
            fresh.iter().flat_map(of).filter(|(_, i)| !moving(i)).collect()
        };
        let mut idle = offers(&|d| {
            let spare = |i: &&Idle| !d.wants.iter().any(|w| w.takes(i));
            d.idle.iter().filter(spare).cloned().collect()
        });
        let mut yielding = offers(&|d| d.yielding.clone());
        let mut moves: Vec<(Partition, Idle, Partition, bool)> = Vec::new();
        let mut wanted: BTreeMap<Kind, Vec<(Partition, bool)>> = BTreeMap::new();
        // Shares by demand: whoever has most demand to its name is served first where kinds run out.
        let mut order: Vec<&Digest> = fresh.iter().collect();
        order.sort_by(|a, b| {
            let urgent = |d: &Digest| d.wants.iter().any(|n| n.urgent);
            urgent(b).cmp(&urgent(a)).then(b.demand.total_cmp(&a.demand))
        });
        // What waits gets what is idle elsewhere, even where room of its own will be free in time.
        for d in &order {
            for want in &d.wants {
                let mut left = want.count;
                let fit = |i: &Idle| {
                    let t = self.types.iter().find(|t| t.name == i.model)?;
                    Some(room_for(&want.size, &[t.cpus, t.gpus, t.memory_gb])).filter(|n| *n > 0)
                };
                while left > 0 {
                    let at = coming
                        .iter()
                        .position(|(p, i)| *p == d.partition && want.takes(i) && fit(i).is_some());
                    if let Some(at) = at {
                        let (_, i) = coming.swap_remove(at);
                        left = left.saturating_sub(fit(&i).unwrap_or(1));
                        continue;
                    }
                    let at = idle
                        .iter()
                        .position(|(p, i)| *p != d.partition && want.takes(i) && fit(i).is_some());
                    let Some(at) = at else { break };
                    let (from, i) = idle.swap_remove(at);
                    left = left.saturating_sub(fit(&i).unwrap_or(1));
                    moves.push((from, i, d.partition, false));
                }
            }
        }
        let mut arriving: Vec<(Partition, Idle)> = self.cloud.lent.iter().map(|l| (l.to, l.machine.clone())).collect();
        arriving.extend(moves.iter().map(|(_, i, to, _)| (*to, i.clone())));
        for d in order {
            for need in &d.needs {
                for _ in 0..need.count {
                    let kind = (need.model.clone(), need.zone.clone(), need.spot);
                    // What was lent is there sooner than what would be rented.
                    let same = |i: &Idle| {
                        i.model == need.model && (need.any_zone || i.zone == need.zone) && (need.spot || !i.spot)
                    };
                    if let Some(at) = arriving.iter().position(|(to, i)| *to == d.partition && same(i)) {
                        arriving.swap_remove(at);
                        continue;
                    }
                    // Production work gets machines that others can do without, and they what is rented.
                    let found = yielding.iter().position(|(p, i)| {
                        *p != d.partition
                            && i.model == need.model
                            && (need.any_zone || i.zone == need.zone)
                            && (need.spot || !i.spot)
                    });
                    if let Some(at) = found.filter(|_| need.urgent) {
                        let (from, i) = yielding.remove(at);
                        moves.push((from, i, d.partition, true));
                    }
                    wanted.entry(kind).or_default().push((d.partition, need.urgent));
                }
            }
        }
        for (from, machine, to, vacate) in moves {
            let Some(owner) = self.holding(from).map(|h| h.owner.clone()) else {
                continue;
            };
            self.cloud.moves.entry(owner).or_default().push(Move {
                machine: machine.machine.clone(),
                to,
                vacate,
            });
            self.cloud.lent.push(Lent { machine, to, at: now });
        }
        self.send_rentals(wanted);
    }

    fn send_rentals(&mut self, wanted: BTreeMap<Kind, Vec<(Partition, bool)>>) {
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
                let scarce = scarce.is_some_and(|t| now.saturating_sub(*t) < 8 * self.set.worker_lease_ms());
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

    fn rent(&mut self, rental: Rental, split: Vec<Partition>) {
        self.cloud.renting += 1;
        let body = serde_json::to_string(&rental).unwrap_or_default();
        self.cloud_call(Method::Post, "/hosts", body, Purpose::Rent { rental, split });
    }

    pub(crate) fn on_rent(&mut self, rental: Rental, split: Vec<Partition>, result: Option<(u16, Vec<u8>)>) {
        self.cloud.renting = self.cloud.renting.saturating_sub(1);
        let now = self.now.ms;
        let kind = (rental.model.clone(), rental.zone.clone(), rental.spot);
        let pause = self.set.worker_lease_ms();
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
    fn adopt_strangers(&mut self) {
        let now = self.now.ms;
        let patience = 2 * self.set.report_ms();
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
    fn retire(&mut self) {
        let now = self.now.ms;
        let acting = self.acting_partitions();
        let idle_per_boot = self.set.operator.idle_per_boot;
        let mut log = Vec::new();
        for (id, m) in &mut self.machines {
            if !acting.contains(&m.partition) || m.retiring || m.gone || m.moving.is_some() || !m.up() {
                continue;
            }
            if !m.confirmed || !m.held.is_empty() {
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

    fn send_deletes(&mut self) {
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

    fn delete(&mut self, machines: Vec<MachineId>) {
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
                let soon = self.now.ms + self.set.report_ms() / 2;
                self.rack_due(&id, soon);
            }
        }
    }

    /// Looks for machines that are paid for but in no roster.
    fn list_hosts(&mut self) {
        let now = self.now.ms;
        let every = (self.set.platform.facts.cloud.list_lag_s * 2000.0) as u64 + self.set.report_ms();
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
        let old = 4.0 * self.set.platform.facts.cloud.list_lag_s;
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
