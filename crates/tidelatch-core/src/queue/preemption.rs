//! Preemption: stopping tasks to make room for tasks that found none.

use super::WaitingJob;
use super::victims::{CandidateMachine, StopOrder, Victim, add, fits, subtract};
use crate::controller::Controller;
use crate::disruption::BudgetLookup;
use crate::ids::{JobId, MachineId, Partition};
use crate::messages::Level;
use crate::placement::{Amounts, JobTerms};
use crate::protocol::{Priority, Shape};
use std::collections::BTreeSet;

/// Cost of stopping a task of the same priority, in seconds of lost work: more than stopping any task of lower
/// priority costs.
const EQUAL_PRIORITY_COST_S: f64 = 1e6;

/// Result of [`Controller::preempt`].
#[derive(Default)]
pub(super) struct PreemptionResult {
    /// The candidate machines as they will be after the stops; `None` if no machine was examined.
    pub(super) machines: Option<Vec<CandidateMachine>>,
    /// Index of each production service with a replica for which no room can be made.
    pub(super) blocked_replicas: Vec<usize>,
}

/// A task for which other tasks may be stopped.
struct PreemptionRequest<'a> {
    terms: &'a JobTerms,
    priority: Priority,
    /// Its size in the unit in which its team is accounted.
    amount_in_team_unit: f64,
    /// Whether its team's usage stays within the guarantee with it.
    is_within_guarantee: bool,
    /// Whether only machines that already have its image are suitable.
    needs_cached_image: bool,
}

/// Tasks on one machine that are to be stopped. `victims` holds their indices on the machine, `cost` is in seconds of
/// lost work plus 1 for each stop.
struct StopChoice {
    machine_index: usize,
    victims: Vec<usize>,
    cost: f64,
}

/// State of a search: the candidate machines, the usage of the teams, and the stops chosen so far.
pub(super) struct PreemptionSearch<'a> {
    controller: &'a Controller,
    partition: Partition,
    budgets: BudgetLookup<'a>,
    machines: Option<Vec<CandidateMachine>>,
    /// Usage and guarantee of each team, in the unit in which the team is accounted.
    used: Vec<f64>,
    guarantees: Vec<f64>,
    evaluations: usize,
    stops: Vec<StopOrder>,
}

impl Controller {
    /// Stops work of lower priority, or work that another team runs beyond its guarantee, if that makes room for a
    /// task that found none. `unplaced` holds the job index of each such task.
    pub(super) fn preempt(
        &mut self,
        partition: Partition,
        unplaced: &[usize],
        waiting: &[WaitingJob],
        jobs: &[JobTerms],
        used: &[Amounts],
    ) -> PreemptionResult {
        let max_evaluations = self.settings.search_evaluations();
        let mut search = PreemptionSearch::new(self, partition, used);
        let mut blocked_replicas: Vec<usize> = Vec::new();
        // Jobs for which no room can be made: their other tasks are not tried.
        let mut unplaceable_jobs: BTreeSet<usize> = BTreeSet::new();
        for j in unplaced {
            let (Some(w), Some(terms)) = (waiting.get(*j), jobs.get(*j)) else {
                continue;
            };
            let Some(request) = search
                .preemption_request(w, terms)
                .filter(|_| !unplaceable_jobs.contains(j))
            else {
                continue;
            };
            if search.reserve_free_room(&request) {
                continue;
            }
            if search.evaluations > max_evaluations {
                // The rest is tried with the next batch, so that heartbeats and polls are not delayed.
                break;
            }
            if let Some(choice) = search.find_cheapest_choice(&request) {
                search.apply_choice(&request, choice);
                continue;
            }
            unplaceable_jobs.insert(*j);
            if terms.is_service && w.priority >= Priority::Prod {
                blocked_replicas.push(*j);
            }
        }
        let PreemptionSearch {
            evaluations,
            stops,
            machines,
            ..
        } = search;
        self.evaluated_candidates += evaluations as u64;
        self.stop_preempted(stops);
        PreemptionResult {
            machines,
            blocked_replicas,
        }
    }

    /// Stops the chosen tasks, and the whole gang if a task belongs to one.
    pub(super) fn stop_preempted(&mut self, stops: Vec<StopOrder>) {
        for (machine, task, attempt) in stops {
            self.log(Level::Info, format!("{machine}: stopping {task} to make room"));
            self.record_involuntary_interruption(&task, "preempted");
            self.request_stop(&machine, &task, attempt);
            if self.jobs.get(&task.job).is_some_and(|j| j.spec.shape == Shape::Gang) {
                self.stop_gang(&task.job);
            }
        }
    }

    /// Seconds for which production work waits before other work is stopped for it. If the class may wait long enough
    /// for a machine to boot, nothing is stopped before such a machine could be ready.
    pub(super) fn preemption_delay_s(&self, id: &JobId, guaranteed: bool) -> f64 {
        let start_objective_s = self.job_start_objective_s(id);
        // Work within the guarantee is also subject to the start objective of guaranteed work.
        let start_objective_s = if guaranteed {
            start_objective_s.min(self.guaranteed_start_limit_s())
        } else {
            start_objective_s
        };
        (start_objective_s - self.longest_boot_s()).max(0.0)
    }

    /// Boot time of the slowest machine type, in seconds.
    fn longest_boot_s(&self) -> f64 {
        self.machine_types.iter().map(|t| t.boot_s).fold(0.0, f64::max)
    }

    /// Guarantee of each team, in the unit in which the team is accounted.
    fn guarantees(&self) -> Vec<f64> {
        let teams = self.settings.platform.facts.teams.iter();
        let is_by_gpus = |gpus: f64, max_gpus: f64| gpus > 0.0 || max_gpus > 0.0;
        teams
            .map(|t| if is_by_gpus(t.gpus, t.gpus_max) { t.gpus } else { t.cpus })
            .collect()
    }
}

impl<'a> PreemptionSearch<'a> {
    pub(super) fn new(controller: &'a Controller, partition: Partition, used: &[Amounts]) -> Self {
        let used = used
            .iter()
            .enumerate()
            .map(|(team, used)| controller.amount_in_team_unit(team, used));
        Self {
            controller,
            partition,
            budgets: BudgetLookup::new(controller),
            machines: None,
            used: used.collect(),
            guarantees: controller.guarantees(),
            evaluations: 0,
            stops: Vec::new(),
        }
    }

    fn guarantee(&self, team: usize) -> f64 {
        self.guarantees.get(team).copied().unwrap_or(0.0)
    }

    /// The preemption request of a task that has waited long enough; `None` if nothing may be stopped for it yet.
    fn preemption_request<'t>(&self, w: &WaitingJob, terms: &'t JobTerms) -> Option<PreemptionRequest<'t>> {
        let controller = self.controller;
        let amount_in_team_unit = controller.amount_in_team_unit(w.team, &terms.size);
        let guarantee = self.guarantee(w.team);
        let is_within_guarantee = self
            .used
            .get(w.team)
            .is_some_and(|used| used + amount_in_team_unit <= guarantee + 1e-6);
        let waited_s = controller.now.wall_ms.saturating_sub(w.accepted_wall_ms) as f64 / 1000.0;
        let delay_s = controller.preemption_delay_s(&w.id, terms.guaranteed);
        let can_preempt_lower = w.priority >= Priority::Prod && waited_s >= delay_s;
        let can_reclaim_guarantee = is_within_guarantee && waited_s > controller.longest_boot_s();
        (can_preempt_lower || can_reclaim_guarantee).then_some(PreemptionRequest {
            terms,
            priority: w.priority,
            amount_in_team_unit,
            is_within_guarantee,
            needs_cached_image: false,
        })
    }

    fn machines(&mut self) -> &mut Vec<CandidateMachine> {
        let (controller, partition) = (self.controller, self.partition);
        let max_report_age_ms = 3 * controller.settings.report_ms();
        self.machines
            .get_or_insert_with(|| controller.candidate_machines(partition, max_report_age_ms))
    }

    /// Adds the task to its team's usage, so that the same guarantee is not claimed twice.
    fn add_usage(&mut self, request: &PreemptionRequest) {
        if let Some(used) = self.used.get_mut(request.terms.team) {
            *used += request.amount_in_team_unit;
        }
    }

    /// Reserves room on machines that have the image for the tasks of a job. Returns how many of them wait for stops,
    /// and adds the machines of those to `reserved`.
    pub(super) fn reserve_rooms_with_image(
        &mut self,
        w: &WaitingJob,
        terms: &JobTerms,
        reserved: &mut BTreeSet<MachineId>,
    ) -> usize {
        let max_evaluations = self.controller.settings.search_evaluations();
        // The allowed zones depend on where the other tasks of the job are placed.
        let mut terms = terms.clone();
        let mut waiting_for_stops = 0;
        for _ in &w.tasks {
            let Some(request) = self
                .preemption_request(w, &terms)
                .filter(|_| self.evaluations <= max_evaluations)
            else {
                break;
            };
            let request = PreemptionRequest {
                needs_cached_image: true,
                ..request
            };
            let Some((machine, is_free_now)) = self.reserve_room(&request) else {
                break;
            };
            *terms.tasks_by_zone.entry(machine.zone.clone()).or_default() += 1;
            if !is_free_now {
                waiting_for_stops += 1;
                reserved.insert(machine.id.clone());
            }
        }
        waiting_for_stops
    }

    /// Reserves room on a machine, free or to be freed by stops. Returns the machine and whether the room is free now.
    fn reserve_room(&mut self, request: &PreemptionRequest) -> Option<(&CandidateMachine, bool)> {
        let size = &request.terms.size;
        self.evaluations += self.machines().len();
        let machines = self.machines().iter_mut().enumerate();
        let fitting = machines.filter(|(_, m)| fits(size, &m.free) && request.admits(m));
        let machine_index = match fitting.max_by_key(|(_, m)| fits(size, &m.free_now)) {
            Some((machine_index, machine)) => {
                subtract(&mut machine.free, size);
                self.add_usage(request);
                machine_index
            }
            None => {
                let choice = self.find_cheapest_choice(request)?;
                let machine_index = choice.machine_index;
                self.apply_choice(request, choice);
                machine_index
            }
        };
        let machine = self.machines().get_mut(machine_index)?;
        let is_free_now = fits(size, &machine.free_now);
        if is_free_now {
            subtract(&mut machine.free_now, size);
        }
        Some((machine, is_free_now))
    }

    /// The tasks to stop.
    pub(super) fn into_stops(self) -> Vec<StopOrder> {
        self.stops
    }

    /// Reserves room that is free or that chosen stops will free. Returns whether there was any.
    fn reserve_free_room(&mut self, request: &PreemptionRequest) -> bool {
        let mut machines = self.machines().iter_mut();
        let Some(machine) = machines.find(|m| fits(&request.terms.size, &m.free) && request.admits(m)) else {
            return false;
        };
        subtract(&mut machine.free, &request.terms.size);
        self.add_usage(request);
        true
    }

    /// The tasks on one machine that lose the least work when stopped; `None` if room cannot be made on any machine.
    fn find_cheapest_choice(&mut self, request: &PreemptionRequest) -> Option<StopChoice> {
        let count = self.machines().len();
        self.evaluations += count;
        let machines = self.machines.as_ref()?;
        let mut best: Option<StopChoice> = None;
        for (machine_index, machine) in machines.iter().enumerate().filter(|(_, m)| request.admits(m)) {
            let choice = self.choose_on_machine(request, machine_index, machine);
            if let Some(choice) = choice.filter(|c| best.as_ref().is_none_or(|b| c.cost < b.cost)) {
                best = Some(choice);
            }
        }
        best
    }

    /// The tasks to stop on a machine; `None` if room cannot be made there.
    fn choose_on_machine(
        &self,
        request: &PreemptionRequest,
        machine_index: usize,
        machine: &CandidateMachine,
    ) -> Option<StopChoice> {
        let victims = self.list_victims(request, machine);
        if victims.is_empty() {
            return None;
        }
        let mut free = machine.free;
        let mut choice = StopChoice {
            machine_index,
            victims: Vec::new(),
            cost: 0.0,
        };
        for (cost_s, i) in victims {
            if fits(&request.terms.size, &free) {
                break;
            }
            let Some(victim) = machine.victims.get(i) else { continue };
            add(&mut free, &victim.size);
            choice.cost += 1.0 + cost_s;
            choice.victims.push(i);
        }
        fits(&request.terms.size, &free).then_some(choice)
    }

    /// Cost and index of each task on a machine that may be stopped for a request, the cheapest first.
    fn list_victims(&self, request: &PreemptionRequest, machine: &CandidateMachine) -> Vec<(f64, usize)> {
        let victims = machine.victims.iter().enumerate().filter(|(_, v)| !v.is_chosen);
        let mut victims: Vec<(f64, usize)> = victims
            .filter_map(|(i, v)| Some((self.stop_cost_s(request, v)?, i)))
            .collect();
        // Among victims of equal cost, one whose job's disruption budgets permit a stop comes first.
        let has_budget = |index: usize| {
            let victim = machine.victims.get(index);
            victim.is_some_and(|v| self.budgets.permits_interruption(&v.task.job))
        };
        victims.sort_by(|a, b| {
            let by_remaining_budget = || has_budget(b.1).cmp(&has_budget(a.1));
            a.0.total_cmp(&b.0).then_with(by_remaining_budget)
        });
        victims
    }

    /// Cost in seconds of stopping a task for a request; `None` if it may not be stopped for it.
    fn stop_cost_s(&self, request: &PreemptionRequest, victim: &Victim) -> Option<f64> {
        let is_lower_priority = victim.priority < request.priority;
        // Work of higher priority is never stopped to reclaim a guarantee: the stopped work would preempt in its turn
        // to take the room back, and the two would stop each other again and again.
        let exceeds_guarantee = request.is_within_guarantee
            && victim.priority <= request.priority
            && victim.team != request.terms.team
            && self
                .used
                .get(victim.team)
                .is_some_and(|used| *used > self.guarantee(victim.team));
        // Stopping a task for another one of the same priority gains nothing for users, so it is the last choice.
        let cost_s = if is_lower_priority {
            victim.lost_work_s
        } else {
            victim.lost_work_s + EQUAL_PRIORITY_COST_S
        };
        (is_lower_priority || exceeds_guarantee).then_some(cost_s)
    }

    /// Records a choice: its victims are stopped, their room becomes free, and the task takes its room.
    fn apply_choice(&mut self, request: &PreemptionRequest, choice: StopChoice) {
        self.add_usage(request);
        let Self {
            machines, used, stops, ..
        } = self;
        let Some(machines) = machines else { return };
        let Some(machine) = machines.get_mut(choice.machine_index) else {
            return;
        };
        subtract(&mut machine.free, &request.terms.size);
        let mut subtract_usage = |v: &Victim| {
            if let Some(used) = used.get_mut(v.team) {
                *used -= v.amount_in_team_unit;
            }
        };
        let mut gangs: BTreeSet<JobId> = BTreeSet::new();
        for i in choice.victims {
            let Some(victim) = machine.victims.get_mut(i) else {
                continue;
            };
            stops.push((machine.id.clone(), victim.task.clone(), victim.attempt));
            if victim.is_gang {
                gangs.insert(victim.task.job.clone());
                continue;
            }
            victim.is_chosen = true;
            add(&mut machine.free, &victim.size);
            subtract_usage(victim);
        }
        // Stopping a task of a gang stops all tasks of the gang on all machines.
        for machine in machines.iter_mut().filter(|_| !gangs.is_empty()) {
            machine.choose_gangs(&gangs, &mut subtract_usage);
        }
    }
}

impl PreemptionRequest<'_> {
    fn admits(&self, machine: &CandidateMachine) -> bool {
        (!self.needs_cached_image || machine.images.contains(&self.terms.image))
            && self.terms.admits(&machine.model, &machine.zone, machine.spot)
    }
}
