//! Room under a team's own limit: its work of lower priority is stopped for its production work.

use super::victims::{CandidateMachine, StopOrder, Victim, add, subtract};
use crate::capacity::UnplacedTasks;
use crate::controller::Controller;
use crate::ids::{JobId, Partition};
use crate::messages::Level;
use crate::placement::{Amounts, JobTerms};
use crate::protocol::{Priority, Shape};
use std::collections::{BTreeMap, BTreeSet};

/// Amounts below this are rounding errors.
const ROUNDING: f64 = 1e-6;

/// A production job whose next task has no room under its team's limit.
pub(super) struct OverLimit {
    pub(super) id: JobId,
    pub(super) team: usize,
    /// When it was submitted.
    pub(super) at: u64,
    /// Seconds until it has to be started to be in time.
    pub(super) slack_s: f64,
    /// What each of its tasks takes.
    pub(super) size: Amounts,
    /// Tasks that wait.
    pub(super) count: u32,
}

/// A victim's place: that of its machine, and its own there.
type Place = (usize, usize);

/// A task that might be stopped, or a whole gang.
struct Candidate {
    place: Place,
    cost: f64,
    frees: Amounts,
    /// The job, if it is a gang.
    gang: Option<JobId>,
}

/// Tasks to be stopped so that one task of production work can start on a machine.
struct Plan {
    machine: usize,
    cost: f64,
    victims: Vec<Place>,
}

/// The machines and what could be stopped there, with the room that is left under the teams' limits.
struct Search<'a> {
    machines: &'a mut Vec<CandidateMachine>,
    left: Vec<Amounts>,
    looks: usize,
}

impl Controller {
    /// Stops a team's work of lower priority for its production work that has no room under the limit.
    ///
    /// Nothing is stopped before there is a machine for the production task: one with room, or the one that
    /// the stopped tasks leave. Where there is none, one is wished for, and the stops wait until it is there.
    pub(super) fn yield_under_limits(
        &mut self,
        partition: Partition,
        over_limit: &[OverLimit],
        room: &[Amounts],
        machines: &mut Option<Vec<CandidateMachine>>,
    ) -> Vec<UnplacedTasks> {
        // A machine that has not reported counts as full of each team: no team is known to be at its limit.
        if over_limit.is_empty() || self.unconfirmed(partition) > 0 {
            return Vec::new();
        }
        let patience = 3 * self.settings.report_ms();
        let mut search = Search {
            machines: machines.get_or_insert_with(|| self.candidate_machines(partition, patience)),
            left: self.with_room_to_come(room, partition, patience),
            looks: 0,
        };
        let mut wishes = Vec::new();
        let mut stops = Vec::new();
        for job in over_limit {
            if !search.may_yield(job.team, &job.size) {
                continue;
            }
            if search.looks > self.settings.search_evaluations() {
                // The rest is tried with the next batch: beats and polls come first.
                break;
            }
            let Some(mut terms) = self.terms(&job.id, job.team, job.slack_s) else {
                continue;
            };
            let waited_s = self.now.wall_ms.saturating_sub(job.at) as f64 / 1000.0;
            let due = waited_s >= self.stop_patience_s(&job.id, terms.guaranteed);
            for waiting in (1..=job.count).rev() {
                let Some(plan) = search.plan(&terms) else {
                    wishes.extend(search.wish(partition, &terms, job, waiting));
                    break;
                };
                if !due {
                    break;
                }
                stops.extend(search.carry_out(&plan, &mut terms));
            }
        }
        self.evaluated += search.looks as u64;
        for (machine, task, attempt) in stops {
            let text = format!("{machine}: stopping {task} for production work of its team, which is at its limit");
            self.log(Level::Info, text);
            self.note_involuntary(&task, "preempted under its team's limit");
            self.stop_held(&machine, &task, attempt);
            if self.jobs.get(&task.job).is_some_and(|j| j.spec.shape == Shape::Gang) {
                self.stop_gang(&task.job);
            }
        }
        wishes
    }

    /// The room left under the teams' limits, with what stops under way will free. A stop on a machine that
    /// is silent does not count: it may take as long as the machine does.
    fn with_room_to_come(&self, room: &[Amounts], partition: Partition, patience: u64) -> Vec<Amounts> {
        let mut left = room.to_vec();
        let now = self.now.ms;
        let heard = |heard: Option<u64>| heard.is_some_and(|t| now.saturating_sub(t) <= patience);
        let machines = self.machines.values();
        for m in machines.filter(|m| m.partition == partition && heard(m.heard)) {
            for h in m.held.iter().filter(|h| h.stop.is_some()) {
                // A replica that is moved takes its room again.
                let job = self.jobs.get(&h.task.job);
                let yields = job.is_none_or(|j| j.ending.is_some() || j.spec.priority < Priority::Prod);
                let team = self.settings.team(&h.team).and_then(|(team, _)| left.get_mut(team));
                if let Some(left) = team.filter(|_| yields) {
                    add(left, &h.size);
                }
            }
        }
        left
    }
}

impl Search<'_> {
    /// Whether a team's work of lower priority could make room under the limit for one task.
    fn may_yield(&self, team: usize, size: &Amounts) -> bool {
        let Some(mut room) = self.left.get(team).copied() else {
            return false;
        };
        let victims = self.machines.iter().flat_map(|y| &y.victims);
        for v in victims.filter(|v| yields_to(v, team)) {
            add(&mut room, &v.size);
        }
        is_met(&missing(size, &room))
    }

    /// The plan that loses least for one task, if there is any.
    fn plan(&mut self, terms: &JobTerms) -> Option<Plan> {
        let limit = missing(&terms.size, self.left.get(terms.team)?);
        let own = self.own_work(terms.team);
        let mut best: Option<Plan> = None;
        let mut with_room = false;
        for (machine, y) in self.machines.iter().enumerate() {
            if !terms.admits(&y.model, &y.zone, y.spot) {
                continue;
            }
            let space = missing(&terms.size, &y.free);
            // One machine with room is as good as another: the stops are the same.
            if is_met(&space) && std::mem::replace(&mut with_room, true) {
                continue;
            }
            self.looks += 1 + y.victims.len();
            for own_first in [false, true] {
                let here = here(machine, y, terms.team, own_first);
                let plan = combine(machine, &here, &space, &own, &limit);
                if let Some(plan) = plan.filter(|p| best.as_ref().is_none_or(|b| p.cost < b.cost)) {
                    best = Some(plan);
                }
            }
        }
        best
    }

    /// A team's work of lower priority, wherever it is, what loses least first; each gang once.
    fn own_work(&self, team: usize) -> Vec<Candidate> {
        let mut own: Vec<Candidate> = Vec::new();
        let mut gangs: BTreeMap<JobId, usize> = BTreeMap::new();
        for (machine, y) in self.machines.iter().enumerate() {
            for (i, v) in y.victims.iter().enumerate().filter(|(_, v)| yields_to(v, team)) {
                let of_gang = gangs.get(&v.task.job).and_then(|at| own.get_mut(*at));
                if let Some(gang) = of_gang.filter(|_| v.gang) {
                    add(&mut gang.frees, &v.size);
                    continue;
                }
                if v.gang {
                    gangs.insert(v.task.job.clone(), own.len());
                }
                own.push(candidate((machine, i), v));
            }
        }
        own.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        own
    }

    /// Boot batches a plan: its victims' room is to come, and the task takes its own.
    fn carry_out(&mut self, plan: &Plan, terms: &mut JobTerms) -> Vec<StopOrder> {
        let mut gangs: BTreeSet<JobId> = BTreeSet::new();
        let mut stops = Vec::new();
        for (machine, i) in &plan.victims {
            let Some(y) = self.machines.get_mut(*machine) else {
                continue;
            };
            let Some(v) = y.victims.get_mut(*i) else { continue };
            stops.push((y.id.clone(), v.task.clone(), v.attempt));
            if v.gang {
                gangs.insert(v.task.job.clone());
                continue;
            }
            v.taken = true;
            add(&mut y.free, &v.size);
            if let Some(left) = self.left.get_mut(v.team) {
                add(left, &v.size);
            }
        }
        // With a gang's task go all others of the gang, wherever they are.
        let Self { machines, left, .. } = self;
        for y in machines.iter_mut().filter(|_| !gangs.is_empty()) {
            y.take_gangs(&gangs, |v| {
                if let Some(left) = left.get_mut(v.team) {
                    add(left, &v.size);
                }
            });
        }
        if let Some(y) = self.machines.get_mut(plan.machine) {
            subtract(&mut y.free, &terms.size);
            *terms.in_zone.entry(y.zone.clone()).or_default() += 1;
        }
        if let Some(left) = self.left.get_mut(terms.team) {
            subtract(left, &terms.size);
        }
        stops
    }

    /// A wish for machines for the tasks that could have room under the limit, but have no machine.
    fn wish(&mut self, partition: Partition, terms: &JobTerms, job: &OverLimit, waiting: u32) -> Option<UnplacedTasks> {
        let mut wish = UnplacedTasks::new(partition, terms, true, job.slack_s);
        while wish.count < waiting && self.may_yield(job.team, &job.size) {
            wish.count += 1;
            subtract(self.left.get_mut(job.team)?, &job.size);
        }
        Some(wish).filter(|w| w.count > 0)
    }
}

/// Whether a task may be stopped for production work of its own team.
fn yields_to(victim: &Victim, team: usize) -> bool {
    !victim.taken && victim.team == team && victim.priority < Priority::Prod
}

fn candidate(place: Place, victim: &Victim) -> Candidate {
    Candidate {
        place,
        cost: 1.0 + victim.lost_s,
        frees: victim.size,
        gang: victim.gang.then(|| victim.task.job.clone()),
    }
}

/// What could be stopped on a machine, what loses least first, or the team's own work before others'.
fn here(machine: usize, candidates: &CandidateMachine, team: usize, own_first: bool) -> Vec<Candidate> {
    let victims = candidates.victims.iter().enumerate();
    let lower = victims.filter(|(_, v)| !v.taken && v.priority < Priority::Prod);
    let mut here: Vec<(bool, Candidate)> = lower
        .map(|(i, v)| (own_first && v.team != team, candidate((machine, i), v)))
        .collect();
    here.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.cost.total_cmp(&b.1.cost)));
    here.into_iter().map(|(_, c)| c).collect()
}

/// A plan for one machine: room on it first; what that leaves missing under the limit, from anywhere.
fn combine(machine: usize, here: &[Candidate], space: &Amounts, own: &[Candidate], limit: &Amounts) -> Option<Plan> {
    let for_space = pick(here.iter(), space)?;
    let mut limit = *limit;
    let is_chosen = |c: &Candidate| {
        let chosen = for_space.iter();
        let mut same = chosen.filter(|s| s.place == c.place || (s.gang.is_some() && s.gang == c.gang));
        same.next().is_some()
    };
    for c in own.iter().filter(|c| is_chosen(c)) {
        subtract(&mut limit, &c.frees);
    }
    let for_limit = pick(own.iter().filter(|c| !is_chosen(c)), &limit)?;
    let victims = for_space.iter().chain(&for_limit);
    Some(Plan {
        machine,
        cost: victims.clone().map(|c| c.cost).sum(),
        victims: victims.map(|c| c.place).collect(),
    })
}

/// The first candidates that free what is needed, and no more of them than that takes.
fn pick<'a>(candidates: impl Iterator<Item = &'a Candidate>, need: &Amounts) -> Option<Vec<&'a Candidate>> {
    let mut open = *need;
    let mut chosen: Vec<&Candidate> = Vec::new();
    for c in candidates {
        if is_met(&open) {
            break;
        }
        let helps = open
            .iter()
            .zip(c.frees)
            .any(|(open, frees)| *open > ROUNDING && frees > 0.0);
        if helps {
            subtract(&mut open, &c.frees);
            chosen.push(c);
        }
    }
    if !is_met(&open) {
        return None;
    }
    // The last ones may free what the first ones were chosen for.
    chosen.sort_by(|a, b| b.cost.total_cmp(&a.cost));
    chosen.retain(|c| {
        let mut without = open;
        add(&mut without, &c.frees);
        let spare = is_met(&without);
        if spare {
            open = without;
        }
        !spare
    });
    Some(chosen)
}

/// What an amount is short of another; below 0 where it is not.
fn missing(size: &Amounts, room: &Amounts) -> Amounts {
    let mut missing = *size;
    subtract(&mut missing, room);
    missing
}

fn is_met(need: &Amounts) -> bool {
    need.iter().all(|n| *n <= ROUNDING)
}
