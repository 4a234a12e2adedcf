//! Capacity planning: which waiting tasks can wait for existing machines, and which machines to request for the others.
//! All functions here are pure.

use crate::ids::Partition;
use crate::messages::{MachineRequest, WaitingTasks};
use crate::placement::{Amounts, JobTerms};
use crate::protocol::MachineType;
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BinaryHeap};

/// A kind of machine: its type, its zone, and whether it is a spot machine.
pub type MachineKind = (String, String, bool);

/// Tasks of one job for which placement found no machine.
#[derive(Debug, Clone)]
pub struct UnplacedTasks {
    /// The job's partition.
    pub partition: Partition,
    /// CPUs, accelerators and memory (GB) that each task takes.
    pub size: Amounts,
    /// Allowed machine types; none: any.
    pub models: Option<Vec<String>>,
    /// The only allowed zone; none: any.
    pub zone: Option<String>,
    /// All tasks of the job must run in one zone.
    pub one_zone: bool,
    /// Maximum number of the job's tasks in one zone; none: no limit.
    pub max_tasks_per_zone: Option<u32>,
    /// Number of the job's tasks in each zone.
    pub tasks_by_zone: BTreeMap<String, u32>,
    /// The tasks may run on spot machines.
    pub spot: bool,
    /// The job is a service.
    pub is_service: bool,
    /// The job is production work.
    pub is_prod: bool,
    /// Seconds until the tasks have to start to meet their deadline; `f64::MAX` without one.
    pub slack_s: f64,
    /// The job is within its team's guarantee, together with the team's earlier jobs.
    pub guaranteed: bool,
    /// Seconds from submission to deadline; 0: none.
    pub deadline_s: f64,
    /// Expected run time in seconds, the estimate corrected for its class; 0 for services.
    pub run_s: f64,
    /// Size of the image in GB.
    pub image_gb: f64,
    /// Number of tasks.
    pub count: u32,
}

impl UnplacedTasks {
    /// An entry with the requirements of a job and a count of 0.
    pub fn new(partition: Partition, terms: &JobTerms, is_prod: bool, slack_s: f64) -> Self {
        Self {
            partition,
            size: terms.size,
            models: terms.models.clone(),
            zone: terms.zone.clone(),
            one_zone: terms.one_zone,
            max_tasks_per_zone: terms.max_tasks_per_zone,
            tasks_by_zone: terms.tasks_by_zone.clone(),
            spot: terms.spot,
            is_service: terms.is_service,
            is_prod,
            slack_s,
            guaranteed: terms.guaranteed,
            deadline_s: terms.deadline_s,
            run_s: terms.estimate_s,
            image_gb: terms.image_gb,
            count: 0,
        }
    }

    /// The summary of the tasks that the leader gets in a digest. `zones` are all zones of the deployment.
    fn to_waiting_tasks(&self, zones: &[String]) -> WaitingTasks {
        let is_allowed = |z: &&String| {
            self.zone.as_ref().is_none_or(|x| x == *z)
                && (!self.one_zone || self.tasks_by_zone.iter().all(|(x, n)| *n == 0 || x == *z))
                && self
                    .max_tasks_per_zone
                    .is_none_or(|most| self.tasks_by_zone.get(*z).copied().unwrap_or(0) < most)
        };
        let allowed: Vec<String> = zones.iter().filter(is_allowed).cloned().collect();
        WaitingTasks {
            models: self.models.clone().unwrap_or_default(),
            zones: if allowed.len() == zones.len() {
                Vec::new()
            } else {
                allowed
            },
            spot: self.spot,
            urgent: self.is_prod,
            task_resources: self.size,
            count: self.count,
        }
    }

    /// Whether the next task may run on a kind of machine.
    fn allows(&self, model: &str, zone: &str, spot: bool) -> bool {
        (self.spot || !spot)
            && self.models.as_ref().is_none_or(|m| m.iter().any(|x| x == model))
            && self.zone.as_ref().is_none_or(|z| z == zone)
            && (!self.one_zone || self.tasks_by_zone.iter().all(|(z, n)| *n == 0 || z == zone))
            && self
                .max_tasks_per_zone
                .is_none_or(|most| self.tasks_by_zone.get(zone).copied().unwrap_or(0) < most)
    }
}

/// A machine that is expected, or that would be rented.
#[derive(Debug, Clone)]
pub struct PendingMachine {
    /// Machine type.
    pub model: String,
    /// Zone.
    pub zone: String,
    /// It is a spot machine.
    pub spot: bool,
    /// CPUs, accelerators and memory (GB) that are not assigned yet.
    pub free: Amounts,
}

/// A machine that is running or booting, with the times at which capacity on it becomes free.
#[derive(Debug, Clone)]
pub struct MachineTimeline {
    /// Machine type.
    pub model: String,
    /// Zone.
    pub zone: String,
    /// It is a spot machine.
    pub spot: bool,
    /// CPUs, accelerators and memory (GB) that are free now, or once it has booted.
    pub free: Amounts,
    /// Seconds until it is expected to have booted; 0: it is running.
    pub ready_s: f64,
    /// The tasks on it, sorted by end: seconds until each is expected to end, and its size. Services are left out,
    /// because their capacity does not become free.
    pub busy: Vec<(f64, Amounts)>,
}

impl MachineTimeline {
    /// The earliest time (in seconds from now) at which a task of a size could start, and how many of the tasks on the
    /// machine must have ended by then. None if it could never start.
    fn earliest_start(&self, size: &Amounts) -> Option<(f64, usize)> {
        let mut free = self.free;
        if count_fitting_tasks(size, &free) > 0 {
            return Some((self.ready_s, 0));
        }
        for (n, (at, ended)) in self.busy.iter().enumerate() {
            free.iter_mut().zip(ended).for_each(|(f, s)| *f += s);
            if count_fitting_tasks(size, &free) > 0 {
                return Some((at.max(self.ready_s), n + 1));
            }
        }
        None
    }

    /// Reserves capacity for a task that starts at `start_s`, once the first `ended` tasks have ended.
    fn reserve(&mut self, size: &Amounts, start_s: f64, ended: usize, run_s: f64) {
        for (_, size) in self.busy.drain(..ended) {
            self.free.iter_mut().zip(size).for_each(|(f, s)| *f += s);
        }
        self.free.iter_mut().zip(size).for_each(|(f, s)| *f -= s);
        let end_s = start_s + run_s;
        let at = self.busy.partition_point(|(t, _)| *t <= end_s);
        self.busy.insert(at, (end_s, *size));
    }
}

/// Assigns unplaced tasks to machines that are running or booting and can start them in time, and subtracts them from
/// `unplaced`. The tasks that are left need more machines.
///
/// A task may wait for others to end as long as a machine rented now would take to boot. A task that could not start in
/// time on such a machine may wait as long as it can still finish within one and a half deadlines, and at least half a
/// boot time. Services do not wait, and guaranteed work waits no longer than `patience_s`.
///
/// If the cloud refuses every kind of machine that a task could use, the task waits for capacity for half of its slack,
/// and at least half a boot time; `patience_s` does not apply then. For the tasks that are left after that, machines
/// are requested that other partitions might hand over or vacate.
pub fn assign_to_existing_machines(
    unplaced: &mut [UnplacedTasks],
    timelines: &mut [MachineTimeline],
    types: &[MachineType],
    refused: &dyn Fn(&MachineKind) -> bool,
    patience_s: f64,
) {
    let boot_s = types.iter().map(|t| t.boot_s).fold(f64::MAX, f64::min);
    if boot_s == f64::MAX {
        return;
    }
    unplaced.sort_by(|a, b| b.is_prod.cmp(&a.is_prod).then(a.slack_s.total_cmp(&b.slack_s)));
    for tasks in unplaced {
        // The tasks could not start in time on a machine rented now.
        let is_too_late_to_rent = tasks.slack_s < boot_s;
        // The latest start at which they finish within one and a half deadlines if they take half as long again as
        // estimated.
        let late_start_s = tasks.slack_s + 0.5 * tasks.deadline_s - 0.5 * tasks.run_s;
        let is_cloud_exhausted = all_kinds_refused(tasks, types, refused);
        let limit_s = if is_too_late_to_rent {
            late_start_s.max(0.5 * boot_s)
        } else if is_cloud_exhausted {
            (0.5 * tasks.slack_s).max(0.5 * boot_s)
        } else {
            boot_s
        };
        let limit_s = if tasks.guaranteed && !is_cloud_exhausted {
            limit_s.min(patience_s)
        } else {
            limit_s
        };
        let limit_s = if tasks.is_service { 0.0 } else { limit_s };
        // Capacity that is free now, or will be once its machine has booted, is always used: a machine rented
        // now would be no faster. Only the timeline that was used changes, so all timelines are examined once
        // per job: with hundreds of both, examining them once per task would take most of the processor time.
        let mut candidates: BinaryHeap<Reverse<StartOption>> = timelines
            .iter()
            .enumerate()
            .filter(|(_, t)| tasks.allows(&t.model, &t.zone, t.spot))
            .filter_map(|(index, t)| StartOption::of(t, index, &tasks.size, limit_s))
            .map(Reverse)
            .collect();
        while tasks.count > 0 {
            let Some(Reverse(StartOption {
                start_s,
                ended,
                timeline_index,
            })) = candidates.pop()
            else {
                break;
            };
            let Some(timeline) = timelines.get_mut(timeline_index) else {
                break;
            };
            // The set of allowed machines only shrinks, as zones reach their limits.
            if !tasks.allows(&timeline.model, &timeline.zone, timeline.spot) {
                continue;
            }
            let fetch_s = types
                .iter()
                .find(|t| t.name == timeline.model)
                .map_or(0.0, |t| tasks.image_gb / t.fetch_gb_per_s.max(1e-3));
            let run_s = if tasks.is_service {
                f64::MAX
            } else {
                tasks.run_s + fetch_s
            };
            timeline.reserve(&tasks.size, start_s, ended, run_s);
            candidates.extend(StartOption::of(timeline, timeline_index, &tasks.size, limit_s).map(Reverse));
            *tasks.tasks_by_zone.entry(timeline.zone.clone()).or_default() += 1;
            tasks.count -= 1;
        }
    }
}

/// Whether the cloud refuses every kind of machine that the tasks could use.
fn all_kinds_refused(tasks: &UnplacedTasks, types: &[MachineType], refused: &dyn Fn(&MachineKind) -> bool) -> bool {
    let is_large_enough = |t: &&MachineType| count_fitting_tasks(&tasks.size, &[t.cpus, t.gpus, t.memory_gb]) > 0;
    let is_available = |t: &MachineType| {
        t.zones.iter().any(|zone| {
            let kind = |spot| (t.name.clone(), zone.clone(), spot);
            [true, false]
                .into_iter()
                .any(|spot| tasks.allows(&t.name, zone, spot) && !refused(&kind(spot)))
        })
    };
    !types.iter().filter(is_large_enough).any(is_available)
}

/// A machine on which a task could start, and when. Ordered by start time, then by index.
#[derive(Debug, PartialEq)]
struct StartOption {
    /// Seconds from now.
    start_s: f64,
    /// Index of the machine's timeline.
    timeline_index: usize,
    /// Number of tasks on the machine that must have ended by then.
    ended: usize,
}

impl StartOption {
    /// The earliest start of a task on a machine. None if the task would have to wait there for others to end for
    /// longer than `limit_s`.
    fn of(timeline: &MachineTimeline, timeline_index: usize, size: &Amounts, limit_s: f64) -> Option<Self> {
        let (start_s, ended) = timeline.earliest_start(size)?;
        (ended == 0 || start_s <= limit_s).then_some(Self {
            start_s,
            timeline_index,
            ended,
        })
    }
}

impl Eq for StartOption {}

impl Ord for StartOption {
    fn cmp(&self, other: &Self) -> Ordering {
        self.start_s
            .total_cmp(&other.start_s)
            .then(self.timeline_index.cmp(&other.timeline_index))
    }
}

impl PartialOrd for StartOption {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// How many tasks of a size fit into free capacity; `u32::MAX` for tasks that take nothing.
pub(crate) fn count_fitting_tasks(size: &Amounts, free: &Amounts) -> u32 {
    size.iter()
        .zip(free)
        .filter(|(s, _)| **s > 0.0)
        .map(|(s, f)| ((f + 1e-6) / s).max(0.0) as u32)
        .min()
        .unwrap_or(u32::MAX)
}

/// Machines to request of one kind.
struct RequestedMachines {
    count: u32,
    /// They are for production work.
    is_prod: bool,
    /// A machine in another zone could be used as well.
    any_zone: bool,
}

/// A kind of machine that a task could use, and its cost.
struct Candidate {
    /// Price per task on a full machine.
    cost: f64,
    /// Load of its zone: the partition's machines and, with a higher weight, the job's tasks there.
    zone_load: u32,
    kind: MachineKind,
    /// CPUs, accelerators and memory (GB) of an empty machine.
    total: Amounts,
}

impl Candidate {
    /// Whether it is cheaper than another one, or equally cheap in a less loaded zone.
    fn is_better_than(&self, other: &Self) -> bool {
        self.cost < other.cost - COST_TOLERANCE
            || (self.cost < other.cost + COST_TOLERANCE && self.zone_load < other.zone_load)
    }
}

/// Costs that differ by less count as equal.
const COST_TOLERANCE: f64 = 1e-9;
/// Weight of one of the job's tasks in a zone's load, in machines.
const ZONE_LOAD_PER_TASK: u32 = 8;

/// The kind of machine that costs least for a task. If the cloud refuses all kinds that the task could use, the
/// cheapest one is returned anyway: another partition may have such a machine to hand over or to vacate.
fn cheapest_candidate(
    tasks: &UnplacedTasks,
    types: &[MachineType],
    refused: &dyn Fn(&MachineKind) -> bool,
    machines_per_zone: &BTreeMap<String, u32>,
) -> Option<Candidate> {
    let mut best: Option<Candidate> = None;
    let mut best_refused: Option<Candidate> = None;
    for candidate in types
        .iter()
        .flat_map(|t| candidates_of_type(tasks, t, machines_per_zone))
    {
        let best = if refused(&candidate.kind) {
            &mut best_refused
        } else {
            &mut best
        };
        if best.as_ref().is_none_or(|best| candidate.is_better_than(best)) {
            *best = Some(candidate);
        }
    }
    best.or(best_refused)
}

/// The kinds of one machine type that a task could use: by zone, each with the spot machine first.
fn candidates_of_type(
    tasks: &UnplacedTasks,
    t: &MachineType,
    machines_per_zone: &BTreeMap<String, u32>,
) -> Vec<Candidate> {
    let total = [t.cpus, t.gpus, t.memory_gb];
    // The cost assumes full machines: other jobs use the capacity that this one leaves free.
    let fit = count_fitting_tasks(&tasks.size, &total);
    if fit == 0 {
        return Vec::new();
    }
    // The time that a machine spends fetching the image is paid for too.
    let fetch_s = tasks.image_gb / t.fetch_gb_per_s.max(1e-3);
    let fetch_factor = if tasks.run_s > 0.0 {
        1.0 + fetch_s / tasks.run_s
    } else {
        1.0
    };
    let count = |zones: &BTreeMap<String, u32>, zone: &str| zones.get(zone).copied().unwrap_or(0);
    let kinds = t.zones.iter().flat_map(|zone| [(zone, true), (zone, false)]);
    let allowed = kinds.filter(|(zone, spot)| tasks.allows(&t.name, zone, *spot));
    let candidate = |(zone, spot): (&String, bool)| Candidate {
        // The price of the machine, divided among the tasks that fit on it.
        cost: if spot { t.spot_price } else { t.price } / f64::from(fit) * fetch_factor,
        zone_load: count(machines_per_zone, zone) + ZONE_LOAD_PER_TASK * count(&tasks.tasks_by_zone, zone),
        kind: (t.name.clone(), zone.clone(), spot),
        total,
    };
    allowed.map(candidate).collect()
}

/// Assigns tasks to expected machines, from index `from` on, until a task fits on none of them. Advances `from` past
/// the machines on which the tasks don't fit.
fn assign_to_pending(tasks: &mut UnplacedTasks, pending: &mut [PendingMachine], from: &mut usize) {
    while tasks.count > 0 {
        let found = pending
            .iter()
            .skip(*from)
            .position(|c| tasks.allows(&c.model, &c.zone, c.spot) && count_fitting_tasks(&tasks.size, &c.free) > 0);
        *from += found.unwrap_or(pending.len());
        let Some(c) = pending.get_mut(*from) else {
            *from = pending.len();
            return;
        };
        c.free.iter_mut().zip(tasks.size).for_each(|(f, s)| *f -= s);
        *tasks.tasks_by_zone.entry(c.zone.clone()).or_default() += 1;
        tasks.count -= 1;
    }
}

/// Plans the machines to request for tasks that don't fit on expected machines: for each task the kind with the lowest
/// cost per task on a full machine.
///
/// `pending` are the expected machines with free capacity. `machines_per_zone` is the number of the partition's
/// machines in each zone.
pub fn plan_machine_requests(
    unplaced: &[UnplacedTasks],
    mut pending: Vec<PendingMachine>,
    types: &[MachineType],
    refused: &dyn Fn(&MachineKind) -> bool,
    machines_per_zone: &BTreeMap<String, u32>,
) -> Vec<MachineRequest> {
    let mut requested_by_kind: BTreeMap<MachineKind, RequestedMachines> = BTreeMap::new();
    let mut machines_per_zone = machines_per_zone.clone();
    let mut order: Vec<&UnplacedTasks> = unplaced.iter().collect();
    order.sort_by(|a, b| b.is_prod.cmp(&a.is_prod).then(a.slack_s.total_cmp(&b.slack_s)));
    for tasks in order {
        let mut tasks = tasks.clone();
        // A machine on which one task of a job doesn't fit is skipped for the next ones: its free capacity and the
        // allowed zones only shrink.
        let mut first_pending = 0;
        loop {
            assign_to_pending(&mut tasks, &mut pending, &mut first_pending);
            if tasks.count == 0 {
                break;
            }
            let Some(candidate) = cheapest_candidate(&tasks, types, refused, &machines_per_zone) else {
                break;
            };
            let requested = requested_by_kind
                .entry(candidate.kind.clone())
                .or_insert(RequestedMachines {
                    count: 0,
                    is_prod: false,
                    any_zone: true,
                });
            requested.count += 1;
            requested.is_prod |= tasks.is_prod;
            requested.any_zone &=
                tasks.zone.is_none() && !tasks.one_zone && tasks.tasks_by_zone.values().all(|n| *n == 0);
            *machines_per_zone.entry(candidate.kind.1.clone()).or_default() += 1;
            pending.push(PendingMachine {
                model: candidate.kind.0,
                zone: candidate.kind.1,
                spot: candidate.kind.2,
                free: candidate.total,
            });
        }
    }
    let request = |((model, zone, spot), requested): (MachineKind, RequestedMachines)| MachineRequest {
        model,
        zone,
        spot,
        count: requested.count,
        urgent: requested.is_prod,
        any_zone: requested.any_zone,
    };
    requested_by_kind.into_iter().map(request).collect()
}

/// Maximum number of entries for waiting tasks in a digest.
const MAX_WAITING_ENTRIES_PER_DIGEST: usize = 40;

/// Merges waiting tasks with the same requirements, and sorts the result by production work first, then by descending
/// count.
pub(super) fn summarize_waiting_tasks(unplaced: &[UnplacedTasks], zones: &[String]) -> Vec<WaitingTasks> {
    let mut summary: Vec<WaitingTasks> = Vec::new();
    for tasks in unplaced.iter().filter(|w| w.count > 0) {
        let waiting = tasks.to_waiting_tasks(zones);
        let has_same_requirements = |w: &&mut WaitingTasks| {
            w.task_resources == waiting.task_resources
                && w.zones == waiting.zones
                && w.models == waiting.models
                && (w.spot, w.urgent) == (waiting.spot, waiting.urgent)
        };
        match summary.iter_mut().find(has_same_requirements) {
            Some(w) => w.count += waiting.count,
            None => summary.push(waiting),
        }
    }
    summary.sort_by(|a, b| b.urgent.cmp(&a.urgent).then(b.count.cmp(&a.count)));
    summary.truncate(MAX_WAITING_ENTRIES_PER_DIGEST);
    summary
}
