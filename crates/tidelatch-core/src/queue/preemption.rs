//! Preemption: stopping others to make room for tasks that found none.

use super::Waiting;
use super::victims::{CandidateMachine, StopOrder, Victim, add, fits, subtract};
use crate::controller::Controller;
use crate::disruption::BudgetLookup;
use crate::ids::{JobId, MachineId, Partition};
use crate::messages::Level;
use crate::placement::{Amounts, JobTerms};
use crate::protocol::{Priority, Shape};
use std::collections::BTreeSet;

/// What stopping a task of the same priority counts for, in seconds of lost work: more than any task
/// of lower priority loses.
const EQUAL_COST: f64 = 1e6;

/// What [`Controller::preempt`] has found out.
#[derive(Default)]
pub(super) struct Preempted {
    /// The machines as they will be after the stops, if they were looked at.
    pub(super) machines: Option<Vec<CandidateMachine>>,
    /// Replicas of production work for which no room can be made.
    pub(super) stuck: Vec<usize>,
}

/// A task for which others may be stopped.
struct Claim<'a> {
    terms: &'a JobTerms,
    priority: Priority,
    /// What it takes, in its team's measure.
    measure: f64,
    /// It stays within its team's guarantee.
    within_guarantee: bool,
    /// Only machines that hold the image are of use to it.
    image_there: bool,
}

/// Tasks on one machine that are to be stopped.
struct Choice {
    machine: usize,
    victims: Vec<usize>,
    cost: f64,
}

/// The machines, what teams use, and what has been chosen to be stopped.
pub(super) struct Search<'a> {
    controller: &'a Controller,
    partition: Partition,
    budgets: BudgetLookup<'a>,
    machines: Option<Vec<CandidateMachine>>,
    /// What each team uses and is guaranteed, in its measure.
    used: Vec<f64>,
    guarantees: Vec<f64>,
    looks: usize,
    stops: Vec<StopOrder>,
}

impl Controller {
    /// Stops work of lower priority, or work that another team runs beyond its guarantee, where that
    /// makes room for a task that found none.
    pub(super) fn preempt(
        &mut self,
        partition: Partition,
        unplaced: &[usize],
        waiting: &[Waiting],
        jobs: &[JobTerms],
        used: &[Amounts],
    ) -> Preempted {
        let most = self.settings.search_evaluations();
        let mut search = Search::new(self, partition, used);
        let mut stuck: Vec<usize> = Vec::new();
        // Jobs for which no room can be made: their other tasks need not be tried.
        let mut hopeless: BTreeSet<usize> = BTreeSet::new();
        for j in unplaced {
            let (Some(w), Some(terms)) = (waiting.get(*j), jobs.get(*j)) else {
                continue;
            };
            let Some(claim) = search.claim(w, terms).filter(|_| !hopeless.contains(j)) else {
                continue;
            };
            if search.take_free_room(&claim) {
                continue;
            }
            if search.looks > most {
                // The rest is tried with the next batch: beats and polls come first.
                break;
            }
            if let Some(choice) = search.cheapest(&claim) {
                search.carry_out(&claim, choice);
                continue;
            }
            hopeless.insert(*j);
            if terms.service && w.priority >= Priority::Prod {
                stuck.push(*j);
            }
        }
        let Search {
            looks, stops, machines, ..
        } = search;
        self.evaluated += looks as u64;
        self.stop_preempted(stops);
        Preempted { machines, stuck }
    }

    pub(super) fn stop_preempted(&mut self, stops: Vec<StopOrder>) {
        for (machine, task, attempt) in stops {
            self.log(Level::Info, format!("{machine}: stopping {task} to make room"));
            self.note_involuntary(&task, "preempted");
            self.stop_held(&machine, &task, attempt);
            if self.jobs.get(&task.job).is_some_and(|j| j.spec.shape == Shape::Gang) {
                self.stop_gang(&task.job);
            }
        }
    }

    /// Seconds for which production work waits before others are stopped for it. Where the class may wait
    /// for a machine to boot, nobody is stopped before that.
    pub(super) fn stop_patience_s(&self, id: &JobId, guaranteed: bool) -> f64 {
        let wait_s = self.wait_s(id);
        // The time for guaranteed work counts as well, for work that is.
        let wait_s = if guaranteed {
            wait_s.min(self.guarantee_s())
        } else {
            wait_s
        };
        (wait_s - self.longest_boot_s()).max(0.0)
    }

    fn longest_boot_s(&self) -> f64 {
        self.types.iter().map(|t| t.boot_s).fold(0.0, f64::max)
    }

    /// What each team is guaranteed, in its measure.
    fn guarantees(&self) -> Vec<f64> {
        let teams = self.settings.platform.facts.teams.iter();
        let by_gpus = |gpus: f64, most: f64| gpus > 0.0 || most > 0.0;
        teams
            .map(|t| if by_gpus(t.gpus, t.gpus_max) { t.gpus } else { t.cpus })
            .collect()
    }
}

impl<'a> Search<'a> {
    pub(super) fn new(controller: &'a Controller, partition: Partition, used: &[Amounts]) -> Self {
        let used = used
            .iter()
            .enumerate()
            .map(|(team, used)| controller.measure(team, used));
        Self {
            controller,
            partition,
            budgets: BudgetLookup::new(controller),
            machines: None,
            used: used.collect(),
            guarantees: controller.guarantees(),
            looks: 0,
            stops: Vec::new(),
        }
    }

    fn guarantee(&self, team: usize) -> f64 {
        self.guarantees.get(team).copied().unwrap_or(0.0)
    }

    /// The claim of a task that has waited for long enough; none: nobody is stopped for it yet.
    fn claim<'t>(&self, w: &Waiting, terms: &'t JobTerms) -> Option<Claim<'t>> {
        let controller = self.controller;
        let measure = controller.measure(w.team, &terms.size);
        let guarantee = self.guarantee(w.team);
        let within_guarantee = self
            .used
            .get(w.team)
            .is_some_and(|used| used + measure <= guarantee + 1e-6);
        let waited_s = controller.now.wall_ms.saturating_sub(w.at) as f64 / 1000.0;
        let patience_s = controller.stop_patience_s(&w.id, terms.guaranteed);
        let urgent = w.priority >= Priority::Prod && waited_s >= patience_s;
        let due = within_guarantee && waited_s > controller.longest_boot_s();
        (urgent || due).then_some(Claim {
            terms,
            priority: w.priority,
            measure,
            within_guarantee,
            image_there: false,
        })
    }

    fn machines(&mut self) -> &mut Vec<CandidateMachine> {
        let (controller, partition) = (self.controller, self.partition);
        let patience = 3 * controller.settings.report_ms();
        self.machines
            .get_or_insert_with(|| controller.candidate_machines(partition, patience))
    }

    /// Room that was made for one task counts for its team: the guarantee is not claimed twice.
    fn count_used(&mut self, claim: &Claim) {
        if let Some(used) = self.used.get_mut(claim.terms.team) {
            *used += claim.measure;
        }
    }

    /// Chooses places on machines that hold the image for the tasks of a job. How many of them wait for stops is
    /// returned, and the machines of those are noted.
    pub(super) fn hold_back(&mut self, w: &Waiting, terms: &JobTerms, kept: &mut BTreeSet<MachineId>) -> usize {
        let most = self.controller.settings.search_evaluations();
        // What is allowed depends on the places of the job's other tasks.
        let mut terms = terms.clone();
        let mut held_back = 0;
        for _ in &w.tasks {
            let Some(claim) = self.claim(w, &terms).filter(|_| self.looks <= most) else {
                break;
            };
            let claim = Claim {
                image_there: true,
                ..claim
            };
            let Some((machine, free_now)) = self.take_room(&claim) else {
                break;
            };
            *terms.in_zone.entry(machine.zone.clone()).or_default() += 1;
            if !free_now {
                held_back += 1;
                kept.insert(machine.id.clone());
            }
        }
        held_back
    }

    /// Takes room on a machine, free or to be made; says which machine, and whether the room is free now.
    fn take_room(&mut self, claim: &Claim) -> Option<(&CandidateMachine, bool)> {
        let size = &claim.terms.size;
        self.looks += self.machines().len();
        let machines = self.machines().iter_mut().enumerate();
        let fitting = machines.filter(|(_, m)| fits(size, &m.free) && claim.admits(m));
        let at = match fitting.max_by_key(|(_, m)| fits(size, &m.free_now)) {
            Some((at, machine)) => {
                subtract(&mut machine.free, size);
                self.count_used(claim);
                at
            }
            None => {
                let choice = self.cheapest(claim)?;
                let at = choice.machine;
                self.carry_out(claim, choice);
                at
            }
        };
        let machine = self.machines().get_mut(at)?;
        let free_now = fits(size, &machine.free_now);
        if free_now {
            subtract(&mut machine.free_now, size);
        }
        Some((machine, free_now))
    }

    /// The tasks that are to be stopped.
    pub(super) fn into_stops(self) -> Vec<StopOrder> {
        self.stops
    }

    /// Room that is free, or will be by stops that have been chosen.
    fn take_free_room(&mut self, claim: &Claim) -> bool {
        let mut machines = self.machines().iter_mut();
        let Some(machine) = machines.find(|m| fits(&claim.terms.size, &m.free) && claim.admits(m)) else {
            return false;
        };
        subtract(&mut machine.free, &claim.terms.size);
        self.count_used(claim);
        true
    }

    /// The tasks on one machine whose stop loses least.
    fn cheapest(&mut self, claim: &Claim) -> Option<Choice> {
        let count = self.machines().len();
        self.looks += count;
        let machines = self.machines.as_ref()?;
        let mut best: Option<Choice> = None;
        for (at, machine) in machines.iter().enumerate().filter(|(_, m)| claim.admits(m)) {
            let choice = self.choose(claim, at, machine);
            if let Some(choice) = choice.filter(|c| best.as_ref().is_none_or(|b| c.cost < b.cost)) {
                best = Some(choice);
            }
        }
        best
    }

    /// The tasks to be stopped on a machine; none: room cannot be made there.
    fn choose(&self, claim: &Claim, at: usize, machine: &CandidateMachine) -> Option<Choice> {
        let victims = self.victims(claim, machine);
        if victims.is_empty() {
            return None;
        }
        let mut free = machine.free;
        let mut choice = Choice {
            machine: at,
            victims: Vec::new(),
            cost: 0.0,
        };
        for (lost_s, i) in victims {
            if fits(&claim.terms.size, &free) {
                break;
            }
            let Some(victim) = machine.victims.get(i) else { continue };
            add(&mut free, &victim.size);
            choice.cost += 1.0 + lost_s;
            choice.victims.push(i);
        }
        fits(&claim.terms.size, &free).then_some(choice)
    }

    /// What may be stopped on a machine for a claim, what loses least first.
    fn victims(&self, claim: &Claim, machine: &CandidateMachine) -> Vec<(f64, usize)> {
        let victims = machine.victims.iter().enumerate().filter(|(_, v)| !v.taken);
        let mut victims: Vec<(f64, usize)> = victims.filter_map(|(i, v)| Some((self.lost_s(claim, v)?, i))).collect();
        // Of equal victims one whose team has budget left for it goes first.
        let has_budget = |at: usize| {
            let victim = machine.victims.get(at);
            victim.is_some_and(|v| self.budgets.permits(&v.task.job))
        };
        victims.sort_by(|a, b| {
            let by_budget = || has_budget(b.1).cmp(&has_budget(a.1));
            a.0.total_cmp(&b.0).then_with(by_budget)
        });
        victims
    }

    /// What stopping a task for a claim loses; none: it may not be stopped for that.
    fn lost_s(&self, claim: &Claim, victim: &Victim) -> Option<f64> {
        let lower = victim.priority < claim.priority;
        // Higher priority would only take the room back: both would stop each other in turns.
        let borrowed = claim.within_guarantee
            && victim.priority <= claim.priority
            && victim.team != claim.terms.team
            && self
                .used
                .get(victim.team)
                .is_some_and(|used| *used > self.guarantee(victim.team));
        // Of one priority, stopping one for the other gains nothing for users: last choice.
        let lost_s = if lower {
            victim.lost_s
        } else {
            victim.lost_s + EQUAL_COST
        };
        (lower || borrowed).then_some(lost_s)
    }

    fn carry_out(&mut self, claim: &Claim, choice: Choice) {
        self.count_used(claim);
        let Self {
            machines, used, stops, ..
        } = self;
        let Some(machines) = machines else { return };
        let Some(machine) = machines.get_mut(choice.machine) else {
            return;
        };
        subtract(&mut machine.free, &claim.terms.size);
        let mut count_less = |v: &Victim| {
            if let Some(used) = used.get_mut(v.team) {
                *used -= v.measure;
            }
        };
        let mut gangs: BTreeSet<JobId> = BTreeSet::new();
        for i in choice.victims {
            let Some(victim) = machine.victims.get_mut(i) else {
                continue;
            };
            stops.push((machine.id.clone(), victim.task.clone(), victim.attempt));
            if victim.gang {
                gangs.insert(victim.task.job.clone());
                continue;
            }
            victim.taken = true;
            add(&mut machine.free, &victim.size);
            count_less(victim);
        }
        // With a gang's task go all others of the gang, wherever they are.
        for machine in machines.iter_mut().filter(|_| !gangs.is_empty()) {
            machine.take_gangs(&gangs, &mut count_less);
        }
    }
}

impl Claim<'_> {
    fn admits(&self, machine: &CandidateMachine) -> bool {
        (!self.image_there || machine.images.contains(&self.terms.image))
            && self.terms.admits(&machine.model, &machine.zone, machine.spot)
    }
}
