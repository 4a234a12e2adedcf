//! What machines would do for what waits: pure functions over wishes and lanes.

use crate::ids::Partition;
use crate::messages::{MachineRequest, WaitingTasks};
use crate::placement::{Amounts, JobTerms};
use crate::protocol::MachineType;
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BinaryHeap};

/// Kind of machine: type, zone, spot.
pub type Kind = (String, String, bool);

/// Tasks of one job that found no machine.
#[derive(Debug, Clone)]
pub struct UnplacedTasks {
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

impl UnplacedTasks {
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
    fn want(&self, zones: &[String]) -> WaitingTasks {
        let open = |z: &&String| {
            self.zone.as_ref().is_none_or(|x| x == *z)
                && (!self.one_zone || self.in_zone.iter().all(|(x, n)| *n == 0 || x == *z))
                && self
                    .most_per_zone
                    .is_none_or(|most| self.in_zone.get(*z).copied().unwrap_or(0) < most)
        };
        let allowed: Vec<String> = zones.iter().filter(open).cloned().collect();
        WaitingTasks {
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
    wishes: &mut [UnplacedTasks],
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

/// Whether the cloud refuses every kind of machine that would do.
fn all_refused(wish: &UnplacedTasks, types: &[MachineType], refused: &dyn Fn(&Kind) -> bool) -> bool {
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

pub(crate) fn room_for(size: &Amounts, free: &Amounts) -> u32 {
    size.iter()
        .zip(free)
        .filter(|(s, _)| **s > 0.0)
        .map(|(s, f)| ((f + 1e-6) / s).max(0.0) as u32)
        .min()
        .unwrap_or(u32::MAX)
}

/// Machines of one kind that are to be rented.
struct Need {
    count: u32,
    urgent: bool,
    any_zone: bool,
}

/// A kind that would do for a task, and what it costs.
struct Offer {
    /// Price of a task on a full machine.
    cost: f64,
    /// How many machines and tasks of the job its zone has already.
    crowd: u32,
    kind: Kind,
    total: Amounts,
}

impl Offer {
    /// Cheaper than another one, or as cheap in an emptier zone.
    fn is_better_than(&self, other: &Self) -> bool {
        self.cost < other.cost - COST_SLACK || (self.cost < other.cost + COST_SLACK && self.crowd < other.crowd)
    }
}

/// Costs that differ by less are the same.
const COST_SLACK: f64 = 1e-9;
/// A task of the job in a zone weighs as much as this many machines there.
const TASK_CROWD: u32 = 8;

/// The kind that costs least for a task. Where the cloud refuses all that would do, the cheapest is named all the
/// same: another partition may have one to lend or to vacate.
fn best_offer(
    wish: &UnplacedTasks,
    types: &[MachineType],
    refused: &dyn Fn(&Kind) -> bool,
    in_zones: &BTreeMap<String, u32>,
) -> Option<Offer> {
    let mut best: Option<Offer> = None;
    let mut best_refused: Option<Offer> = None;
    for offer in types.iter().flat_map(|t| offers_of_type(wish, t, in_zones)) {
        let best = if refused(&offer.kind) {
            &mut best_refused
        } else {
            &mut best
        };
        if best.as_ref().is_none_or(|best| offer.is_better_than(best)) {
            *best = Some(offer);
        }
    }
    best.or(best_refused)
}

/// What a machine type offers to a task, by zone and for spot machines first.
fn offers_of_type(wish: &UnplacedTasks, t: &MachineType, in_zones: &BTreeMap<String, u32>) -> Vec<Offer> {
    let total = [t.cpus, t.gpus, t.memory_gb];
    // Full machines are assumed: what this job leaves free, the next one takes.
    let fit = room_for(&wish.size, &total);
    if fit == 0 {
        return Vec::new();
    }
    // Time spent fetching is paid for too.
    let fetch_s = wish.image_gb / t.fetch_gb_per_s.max(1e-3);
    let overhead = if wish.run_s > 0.0 {
        1.0 + fetch_s / wish.run_s
    } else {
        1.0
    };
    let count = |zones: &BTreeMap<String, u32>, zone: &str| zones.get(zone).copied().unwrap_or(0);
    let kinds = t.zones.iter().flat_map(|zone| [(zone, true), (zone, false)]);
    let allowed = kinds.filter(|(zone, spot)| wish.allows(&t.name, zone, *spot));
    let offer = |(zone, spot): (&String, bool)| Offer {
        cost: if spot { t.spot_price } else { t.price } / f64::from(fit) * overhead,
        crowd: count(in_zones, zone) + TASK_CROWD * count(&wish.in_zone, zone),
        kind: (t.name.clone(), zone.clone(), spot),
        total,
    };
    allowed.map(offer).collect()
}

/// Places tasks on machines that are coming, until one finds no room.
fn fill_coming(wish: &mut UnplacedTasks, coming: &mut [Coming], from: &mut usize) {
    while wish.count > 0 {
        let found = coming
            .iter()
            .skip(*from)
            .position(|c| wish.allows(&c.model, &c.zone, c.spot) && room_for(&wish.size, &c.free) > 0);
        *from += found.unwrap_or(coming.len());
        let Some(c) = coming.get_mut(*from) else {
            *from = coming.len();
            return;
        };
        c.free.iter_mut().zip(wish.size).for_each(|(f, s)| *f -= s);
        *wish.in_zone.entry(c.zone.clone()).or_default() += 1;
        wish.count -= 1;
    }
}

/// The machines to rent for what finds no room on those that are coming: for each task the kind that
/// costs least for it, counting how many of its like fit on one.
pub fn plan(
    wishes: &[UnplacedTasks],
    mut coming: Vec<Coming>,
    types: &[MachineType],
    refused: &dyn Fn(&Kind) -> bool,
    in_zones: &BTreeMap<String, u32>,
) -> Vec<MachineRequest> {
    let mut needs: BTreeMap<Kind, Need> = BTreeMap::new();
    let mut in_zones = in_zones.clone();
    let mut order: Vec<&UnplacedTasks> = wishes.iter().collect();
    order.sort_by(|a, b| b.urgent.cmp(&a.urgent).then(a.slack_s.total_cmp(&b.slack_s)));
    for wish in order {
        let mut wish = wish.clone();
        // What has no room for one task of a job has none for the next: room and zones only fill up.
        let mut from = 0;
        loop {
            fill_coming(&mut wish, &mut coming, &mut from);
            if wish.count == 0 {
                break;
            }
            let Some(offer) = best_offer(&wish, types, refused, &in_zones) else {
                break;
            };
            let need = needs.entry(offer.kind.clone()).or_insert(Need {
                count: 0,
                urgent: false,
                any_zone: true,
            });
            need.count += 1;
            need.urgent |= wish.urgent;
            need.any_zone &= wish.zone.is_none() && !wish.one_zone && wish.in_zone.values().all(|n| *n == 0);
            *in_zones.entry(offer.kind.1.clone()).or_default() += 1;
            coming.push(Coming {
                model: offer.kind.0,
                zone: offer.kind.1,
                spot: offer.kind.2,
                free: offer.total,
            });
        }
    }
    let request = |((model, zone, spot), need): (Kind, Need)| MachineRequest {
        model,
        zone,
        spot,
        count: need.count,
        urgent: need.urgent,
        any_zone: need.any_zone,
    };
    needs.into_iter().map(request).collect()
}

/// Most kinds of waiting tasks in a digest.
const WANTS: usize = 40;

/// Puts together what waits in the same terms, production work and the most first.
pub(super) fn wants(wishes: &[UnplacedTasks], zones: &[String]) -> Vec<WaitingTasks> {
    let mut wants: Vec<WaitingTasks> = Vec::new();
    for wish in wishes.iter().filter(|w| w.count > 0) {
        let want = wish.want(zones);
        let same = |w: &&mut WaitingTasks| {
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
