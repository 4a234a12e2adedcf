//! Preemption under a team's limit: work of lower priority of the team is stopped to make room for its production
//! work.

use super::victims::{CandidateMachine, StopOrder, Victim, add, subtract};
use crate::capacity::UnplacedTasks;
use crate::controller::Controller;
use crate::ids::{JobId, Partition};
use crate::messages::Level;
use crate::placement::{Amounts, JobTerms};
use crate::protocol::{Priority, Shape};
use std::collections::{BTreeMap, BTreeSet};

/// Amounts below this are rounding errors.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// A production job whose next task has no room under its team's limit.
pub(super) struct JobBlockedByLimit {
    pub(super) id: JobId,
    /// Index of its team.
    pub(super) team: usize,
    /// Time of acceptance, wall clock, in milliseconds.
    pub(super) accepted_wall_ms: u64,
    /// Seconds until it must start to meet its deadline; `f64::MAX` without one.
    pub(super) slack_s: f64,
    /// Size of each of its tasks.
    pub(super) size: Amounts,
    /// Number of waiting tasks.
    pub(super) count: u32,
}

/// Identifies a victim: index of its machine among the candidate machines, and its own index there.
type VictimIndex = (usize, usize);

/// A task that may be stopped, or a whole gang.
struct StopCandidate {
    victim: VictimIndex,
    /// Seconds of lost work, plus 1 for each stop.
    cost: f64,
    /// Amounts that its stop frees.
    frees: Amounts,
    /// The job, if it is a gang.
    gang: Option<JobId>,
}

/// Tasks to stop so that one production task can start on a machine.
struct StopPlan {
    machine_index: usize,
    cost: f64,
    victims: Vec<VictimIndex>,
}

/// State of a search: the candidate machines, the room left under each team's limit, and the number of evaluations so
/// far.
struct LimitPreemptionSearch<'a> {
    machines: &'a mut Vec<CandidateMachine>,
    room_left: Vec<Amounts>,
    evaluations: usize,
}

impl Controller {
    /// Stops a team's work of lower priority to make room for its production work that is blocked by the team's limit.
    ///
    /// Nothing is stopped before there is a machine for the production task: one that has room, or the one on which
    /// the tasks are stopped. Without such a machine, one is requested, and the stops wait until it is available.
    /// Returns the tasks for which machines are to be requested.
    pub(super) fn preempt_under_limits(
        &mut self,
        partition: Partition,
        blocked_jobs: &[JobBlockedByLimit],
        room: &[Amounts],
        machines: &mut Option<Vec<CandidateMachine>>,
    ) -> Vec<UnplacedTasks> {
        // A machine that has not reported counts as full for each team, so it is unknown whether a team has reached
        // its limit.
        if blocked_jobs.is_empty() || self.count_unconfirmed_machines(partition) > 0 {
            return Vec::new();
        }
        let max_report_age_ms = 3 * self.settings.report_ms();
        let mut search = LimitPreemptionSearch {
            machines: machines.get_or_insert_with(|| self.candidate_machines(partition, max_report_age_ms)),
            room_left: self.room_with_pending_stops(room, partition, max_report_age_ms),
            evaluations: 0,
        };
        let mut unplaced_under_limits = Vec::new();
        let mut stops = Vec::new();
        for job in blocked_jobs {
            if !search.can_free_room(job.team, &job.size) {
                continue;
            }
            if search.evaluations > self.settings.search_evaluations() {
                // The rest is tried with the next batch, so that heartbeats and polls are not delayed.
                break;
            }
            let Some(mut terms) = self.job_terms(&job.id, job.team, job.slack_s) else {
                continue;
            };
            let waited_s = self.now.wall_ms.saturating_sub(job.accepted_wall_ms) as f64 / 1000.0;
            let has_waited_long_enough = waited_s >= self.preemption_delay_s(&job.id, terms.guaranteed);
            for waiting in (1..=job.count).rev() {
                let Some(plan) = search.find_cheapest_plan(&terms) else {
                    unplaced_under_limits.extend(search.unplaced_tasks(partition, &terms, job, waiting));
                    break;
                };
                if !has_waited_long_enough {
                    break;
                }
                stops.extend(search.apply_plan(&plan, &mut terms));
            }
        }
        self.evaluated_candidates += search.evaluations as u64;
        for (machine, task, attempt) in stops {
            let text = format!("{machine}: stopping {task} for production work of its team, which is at its limit");
            self.log(Level::Info, text);
            self.record_involuntary_interruption(&task, "preempted under its team's limit");
            self.request_stop(&machine, &task, attempt);
            if self.jobs.get(&task.job).is_some_and(|j| j.spec.shape == Shape::Gang) {
                self.stop_gang(&task.job);
            }
        }
        unplaced_under_limits
    }

    /// The room left under the teams' limits plus what pending stops will free. A stop on an unresponsive machine does
    /// not count, because it may take until the machine responds again.
    fn room_with_pending_stops(&self, room: &[Amounts], partition: Partition, max_report_age_ms: u64) -> Vec<Amounts> {
        let mut room_left = room.to_vec();
        let now = self.now.ms;
        let is_responsive = |heard: Option<u64>| heard.is_some_and(|t| now.saturating_sub(t) <= max_report_age_ms);
        let machines = self.machines.values();
        for m in machines.filter(|m| m.partition == partition && is_responsive(m.last_heard_at)) {
            for h in m.held.iter().filter(|h| h.stop.is_some()) {
                // A replica that is being moved uses its room again elsewhere.
                let job = self.jobs.get(&h.task.job);
                let will_free_room = job.is_none_or(|j| j.ending.is_some() || j.spec.priority < Priority::Prod);
                let team = self
                    .settings
                    .team(&h.team)
                    .and_then(|(team, _)| room_left.get_mut(team));
                if let Some(room_left) = team.filter(|_| will_free_room) {
                    add(room_left, &h.size);
                }
            }
        }
        room_left
    }
}

impl LimitPreemptionSearch<'_> {
    /// Whether stopping the team's work of lower priority could make room for one task under the limit.
    fn can_free_room(&self, team: usize, size: &Amounts) -> bool {
        let Some(mut room) = self.room_left.get(team).copied() else {
            return false;
        };
        let victims = self.machines.iter().flat_map(|machine| &machine.victims);
        for v in victims.filter(|v| can_be_stopped_for(v, team)) {
            add(&mut room, &v.size);
        }
        is_covered(&shortfall(size, &room))
    }

    /// The plan that loses the least work for one task, if there is any.
    fn find_cheapest_plan(&mut self, terms: &JobTerms) -> Option<StopPlan> {
        let limit_shortfall = shortfall(&terms.size, self.room_left.get(terms.team)?);
        let own_candidates = self.list_own_candidates(terms.team);
        let mut best: Option<StopPlan> = None;
        let mut has_machine_with_room = false;
        for (machine_index, machine) in self.machines.iter().enumerate() {
            if !terms.admits(&machine.model, &machine.zone, machine.spot) {
                continue;
            }
            let machine_shortfall = shortfall(&terms.size, &machine.free);
            // Machines with room are equivalent because the stops are the same, so only the first one is examined.
            if is_covered(&machine_shortfall) && std::mem::replace(&mut has_machine_with_room, true) {
                continue;
            }
            self.evaluations += 1 + machine.victims.len();
            for own_first in [false, true] {
                let local_candidates = candidates_on_machine(machine_index, machine, terms.team, own_first);
                let plan = plan_on_machine(
                    machine_index,
                    &local_candidates,
                    &machine_shortfall,
                    &own_candidates,
                    &limit_shortfall,
                );
                if let Some(plan) = plan.filter(|p| best.as_ref().is_none_or(|b| p.cost < b.cost)) {
                    best = Some(plan);
                }
            }
        }
        best
    }

    /// A team's work of lower priority on all machines, the least lost work first; each gang once.
    fn list_own_candidates(&self, team: usize) -> Vec<StopCandidate> {
        let mut own: Vec<StopCandidate> = Vec::new();
        let mut gangs: BTreeMap<JobId, usize> = BTreeMap::new();
        for (machine_index, machine) in self.machines.iter().enumerate() {
            for (i, v) in machine
                .victims
                .iter()
                .enumerate()
                .filter(|(_, v)| can_be_stopped_for(v, team))
            {
                let of_gang = gangs.get(&v.task.job).and_then(|index| own.get_mut(*index));
                if let Some(gang) = of_gang.filter(|_| v.is_gang) {
                    add(&mut gang.frees, &v.size);
                    continue;
                }
                if v.is_gang {
                    gangs.insert(v.task.job.clone(), own.len());
                }
                own.push(stop_candidate((machine_index, i), v));
            }
        }
        own.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        own
    }

    /// Applies a plan to the search state: the room of its victims becomes free, and the task takes its room.
    fn apply_plan(&mut self, plan: &StopPlan, terms: &mut JobTerms) -> Vec<StopOrder> {
        let mut gangs: BTreeSet<JobId> = BTreeSet::new();
        let mut stops = Vec::new();
        for (machine_index, i) in &plan.victims {
            let Some(machine) = self.machines.get_mut(*machine_index) else {
                continue;
            };
            let Some(v) = machine.victims.get_mut(*i) else { continue };
            stops.push((machine.id.clone(), v.task.clone(), v.attempt));
            if v.is_gang {
                gangs.insert(v.task.job.clone());
                continue;
            }
            v.is_chosen = true;
            add(&mut machine.free, &v.size);
            if let Some(room_left) = self.room_left.get_mut(v.team) {
                add(room_left, &v.size);
            }
        }
        // Stopping a task of a gang stops all tasks of the gang on all machines.
        let Self {
            machines, room_left, ..
        } = self;
        for machine in machines.iter_mut().filter(|_| !gangs.is_empty()) {
            machine.choose_gangs(&gangs, |v| {
                if let Some(room_left) = room_left.get_mut(v.team) {
                    add(room_left, &v.size);
                }
            });
        }
        if let Some(machine) = self.machines.get_mut(plan.machine_index) {
            subtract(&mut machine.free, &terms.size);
            *terms.tasks_by_zone.entry(machine.zone.clone()).or_default() += 1;
        }
        if let Some(room_left) = self.room_left.get_mut(terms.team) {
            subtract(room_left, &terms.size);
        }
        stops
    }

    /// The tasks that could get room under the limit but have no machine. Takes the room under
    /// the limit for them.
    fn unplaced_tasks(
        &mut self,
        partition: Partition,
        terms: &JobTerms,
        job: &JobBlockedByLimit,
        waiting: u32,
    ) -> Option<UnplacedTasks> {
        let mut tasks = UnplacedTasks::new(partition, terms, true, job.slack_s);
        while tasks.count < waiting && self.can_free_room(job.team, &job.size) {
            tasks.count += 1;
            subtract(self.room_left.get_mut(job.team)?, &job.size);
        }
        Some(tasks).filter(|tasks| tasks.count > 0)
    }
}

/// Whether a task may be stopped for production work of its own team.
fn can_be_stopped_for(victim: &Victim, team: usize) -> bool {
    !victim.is_chosen && victim.team == team && victim.priority < Priority::Prod
}

fn stop_candidate(index: VictimIndex, victim: &Victim) -> StopCandidate {
    StopCandidate {
        victim: index,
        cost: 1.0 + victim.lost_work_s,
        frees: victim.size,
        gang: victim.is_gang.then(|| victim.task.job.clone()),
    }
}

/// Tasks that may be stopped on a machine, the least lost work first; with `own_first`, the team's own tasks before
/// those of other teams.
fn candidates_on_machine(
    machine_index: usize,
    candidates: &CandidateMachine,
    team: usize,
    own_first: bool,
) -> Vec<StopCandidate> {
    let victims = candidates.victims.iter().enumerate();
    let lower_priority = victims.filter(|(_, v)| !v.is_chosen && v.priority < Priority::Prod);
    let mut local_candidates: Vec<(bool, StopCandidate)> = lower_priority
        .map(|(i, v)| (own_first && v.team != team, stop_candidate((machine_index, i), v)))
        .collect();
    local_candidates.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.cost.total_cmp(&b.1.cost)));
    local_candidates.into_iter().map(|(_, c)| c).collect()
}

/// The plan for one machine: first frees room on it, then frees what is still missing under the limit on any machine.
fn plan_on_machine(
    machine_index: usize,
    local_candidates: &[StopCandidate],
    machine_shortfall: &Amounts,
    own_candidates: &[StopCandidate],
    limit_shortfall: &Amounts,
) -> Option<StopPlan> {
    let for_machine = select_candidates(local_candidates.iter(), machine_shortfall)?;
    let mut limit_shortfall = *limit_shortfall;
    let is_chosen = |c: &StopCandidate| {
        let chosen = for_machine.iter();
        let mut matching = chosen.filter(|s| s.victim == c.victim || (s.gang.is_some() && s.gang == c.gang));
        matching.next().is_some()
    };
    for c in own_candidates.iter().filter(|c| is_chosen(c)) {
        subtract(&mut limit_shortfall, &c.frees);
    }
    let for_limit = select_candidates(own_candidates.iter().filter(|c| !is_chosen(c)), &limit_shortfall)?;
    let victims = for_machine.iter().chain(&for_limit);
    Some(StopPlan {
        machine_index,
        cost: victims.clone().map(|c| c.cost).sum(),
        victims: victims.map(|c| c.victim).collect(),
    })
}

/// The first candidates that together free what is needed, without those that turn out to be unnecessary.
fn select_candidates<'a>(
    candidates: impl Iterator<Item = &'a StopCandidate>,
    need: &Amounts,
) -> Option<Vec<&'a StopCandidate>> {
    let mut uncovered = *need;
    let mut chosen: Vec<&StopCandidate> = Vec::new();
    for c in candidates {
        if is_covered(&uncovered) {
            break;
        }
        let reduces_need = uncovered
            .iter()
            .zip(c.frees)
            .any(|(uncovered, frees)| *uncovered > ROUNDING_TOLERANCE && frees > 0.0);
        if reduces_need {
            subtract(&mut uncovered, &c.frees);
            chosen.push(c);
        }
    }
    if !is_covered(&uncovered) {
        return None;
    }
    // Later candidates may free enough to make earlier ones unnecessary.
    chosen.sort_by(|a, b| b.cost.total_cmp(&a.cost));
    chosen.retain(|c| {
        let mut uncovered_without = uncovered;
        add(&mut uncovered_without, &c.frees);
        let is_unneeded = is_covered(&uncovered_without);
        if is_unneeded {
            uncovered = uncovered_without;
        }
        !is_unneeded
    });
    Some(chosen)
}

/// How much of a size exceeds some room; below 0 where there is room to spare.
fn shortfall(size: &Amounts, room: &Amounts) -> Amounts {
    let mut shortfall = *size;
    subtract(&mut shortfall, room);
    shortfall
}

fn is_covered(need: &Amounts) -> bool {
    need.iter().all(|n| *n <= ROUNDING_TOLERANCE)
}
