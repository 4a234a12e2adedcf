//! Model checks the permit protocol: explores all short histories of a granting owner, a requester, a successor of the
//! owner, late answers, late stop commands and pauses, by `pathfinding`'s breadth-first search. The crate's own types
//! are part of the model's state.
//!
//! A service of three replicas, of which one may be unavailable at a time, runs on a machine that the requester owns.
//! The requester stops each replica once. Owner 1 grants permits until a successor takes over with a higher fencing
//! token. At most [`MAX_FAULTS`] faults happen in a history of [`DEPTH`] intervals; in each interval each participant
//! that is not paused acts once.

use pathfinding::directed::bfs::bfs_reach;
use std::collections::BTreeMap;
use tidelatch_disruption::{
    Amount, Attempt, Budget, Census, ControllerName, JobCensus, JobName, MachineName, OutstandingPermit, Permit,
    PermitHolder, PermitLedger, PermitMessage, PermitRequest, ScopeName, Tenure, UnavailabilityRule, Unit, UnitSet,
    UnitState, UnitStateSource, WantedPermit,
};

const REPLICAS: u32 = 3;
const DEPTH: u64 = 16;
const MAX_FAULTS: u8 = 4;
const INTERVAL_MS: u64 = 1_000;
const VALID_MS: u64 = 3 * INTERVAL_MS;
/// Number of intervals within which a drain must end once no more faults happen.
const RECOVERY_INTERVALS: u64 = 40;
const FIRST_EPOCH: Tenure = Tenure(1);
const SECOND_EPOCH: Tenure = Tenure(2);

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Fault {
    None,
    /// The message of this interval is lost, and so there is no answer.
    MessageLost,
    /// The message arrives, but its answer only in a later interval.
    AnswerLate,
    /// A copy of an earlier message arrives after this interval's message.
    MessageCopied,
    /// The stop commands of this interval are not delivered. One of them is delayed, if none is yet.
    StopDelayed,
    /// The delayed stop command is carried out.
    StopArrives,
    /// The owner receives no report, so its view of the machine is not updated.
    ReportLost,
    /// The requester pauses, or resumes.
    Pause,
    /// A successor takes over the team.
    Takeover,
    /// A replica fails on its own.
    ReplicaFailure,
}

const FAULTS: [Fault; 10] = [
    Fault::None,
    Fault::MessageLost,
    Fault::AnswerLate,
    Fault::MessageCopied,
    Fault::StopDelayed,
    Fault::StopArrives,
    Fault::ReportLost,
    Fault::Pause,
    Fault::Takeover,
    Fault::ReplicaFailure,
];

/// A replica on the machine, or the slot of one that does not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Replica {
    attempt: u64,
    is_running: bool,
    /// It was stopped under a permit, and does not run again yet.
    is_stopped: bool,
}

/// A stop command in flight, with the fencing token that it carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Stop {
    replica: u32,
    attempt: u64,
    token: Tenure,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    interval: u64,
    faults_left: u8,
    replicas: [Replica; REPLICAS as usize],
    worker_token: Tenure,
    delayed_stop: Option<Stop>,
    /// The stored ownership epoch, which decides who owns the team.
    epoch: Tenure,
    ledger: PermitLedger,
    /// The last report of the machine that the current owner has received in its epoch.
    view: Option<[Replica; REPLICAS as usize]>,
    requester: PermitHolder,
    requester_epoch: Tenure,
    is_requester_paused: bool,
    /// Attempts that the requester keeps stopping until they are gone, with the ownership epoch that permitted each
    /// stop.
    stopping: BTreeMap<(u32, u64), Tenure>,
    late_answer: Option<(u64, u64, Vec<Permit>)>,
    earlier_message: Option<PermitMessage>,
    violation: Option<&'static str>,
}

fn unit(index: u32) -> Unit {
    Unit::new(JobName::new("job"), index)
}

fn owner(epoch: Tenure) -> ControllerName {
    ControllerName::new(if epoch == FIRST_EPOCH { "a" } else { "b" })
}

fn requester() -> ControllerName {
    ControllerName::new("x")
}

fn initial() -> State {
    let replica = Replica {
        attempt: 1,
        is_running: true,
        is_stopped: false,
    };
    State {
        interval: 0,
        faults_left: MAX_FAULTS,
        replicas: [replica; REPLICAS as usize],
        worker_token: FIRST_EPOCH,
        delayed_stop: None,
        epoch: FIRST_EPOCH,
        ledger: PermitLedger::new(FIRST_EPOCH, 0),
        view: Some([replica; REPLICAS as usize]),
        requester: PermitHolder::default(),
        requester_epoch: FIRST_EPOCH,
        is_requester_paused: false,
        stopping: BTreeMap::new(),
        late_answer: None,
        earlier_message: None,
        violation: None,
    }
}

/// The owner's view of the units, as the ledger reads it.
struct View<'a>(&'a State);

impl UnitStateSource for View<'_> {
    fn state(&self, unit: &Unit, permit: &OutstandingPermit) -> UnitState {
        let Some(view) = &self.0.view else {
            return UnitState::Stoppable;
        };
        let replica = view[unit.index() as usize];
        if replica.attempt == permit.attempt().0 && replica.is_running {
            // The requester owns the machine for the whole history.
            UnitState::Stoppable
        } else if replica.is_running {
            UnitState::Restarted
        } else {
            UnitState::Ended
        }
    }
    fn unavailability_rule(&self, _job: &JobName) -> Option<UnavailabilityRule> {
        Some(UnavailabilityRule::Replicas)
    }
    fn has_recovered(&self, _unit: &Unit) -> bool {
        false
    }
}

impl State {
    fn now_ms(&self) -> u64 {
        self.interval * INTERVAL_MS
    }

    fn census(&self) -> Census {
        let mut census = Census::default();
        let scope = ScopeName::new("job");
        census.add_scope(scope.clone(), Budget::MaxUnavailable(Amount::Count(1)));
        let runs = |index: &u32| self.view.is_some_and(|view| view[*index as usize].is_running);
        let running: UnitSet = (0..REPLICAS).filter(runs).collect();
        let job = JobCensus::new(UnavailabilityRule::Replicas, REPLICAS, running, [scope]);
        census.add_job(JobName::new("job"), job);
        census.set_unreported_machines(u32::from(self.view.is_none()));
        census
    }

    fn next(&self, fault: Fault) -> Option<Self> {
        let mut next = self.clone();
        next.interval += 1;
        if fault != Fault::None {
            next.faults_left = next.faults_left.checked_sub(1)?;
        }
        match fault {
            Fault::Takeover if next.epoch == FIRST_EPOCH => next.start_takeover(),
            Fault::StopArrives => next.stop_arrives()?,
            Fault::Pause => next.is_requester_paused = !next.is_requester_paused,
            Fault::ReplicaFailure => next.fail_replica(),
            Fault::Takeover => return None,
            _ => {}
        }
        next.step_owner(fault);
        if !next.is_requester_paused {
            next.step_requester(fault);
        }
        next.check_budget();
        Some(next)
    }

    fn start_takeover(&mut self) {
        self.epoch = SECOND_EPOCH;
        self.view = None;
        self.ledger = PermitLedger::new(SECOND_EPOCH, self.now_ms() + VALID_MS);
    }

    fn fail_replica(&mut self) {
        self.replicas[0].is_running = false;
    }

    fn stop_arrives(&mut self) -> Option<()> {
        let stop = self.delayed_stop.take()?;
        self.apply_stop(stop);
        Some(())
    }

    fn apply_stop(&mut self, stop: Stop) {
        let replica = &mut self.replicas[stop.replica as usize];
        let is_accepted = stop.token >= self.worker_token && replica.attempt == stop.attempt && replica.is_running;
        if is_accepted {
            self.worker_token = stop.token;
            replica.is_running = false;
            replica.is_stopped = true;
        }
    }

    /// The owner receives the machine's report, restarts replicas that do not run, and settles its ledger.
    fn step_owner(&mut self, fault: Fault) {
        // The answer to a report hands the owner's token to the worker.
        self.worker_token = self.worker_token.max(self.epoch);
        if fault != Fault::ReportLost {
            if let Some(view) = self.view {
                for (replica, seen) in self.replicas.iter_mut().zip(view) {
                    // A replica that the last report showed as not running has been restarted since, and runs by now.
                    if !seen.is_running && !replica.is_running {
                        *replica = Replica {
                            attempt: replica.attempt + 1,
                            is_running: true,
                            is_stopped: false,
                        };
                    }
                }
            }
            self.view = Some(self.replicas);
        }
        let mut ledger = self.ledger.clone();
        ledger.release_settled_permits(self.now_ms(), &View(self));
        self.ledger = ledger;
    }

    fn step_requester(&mut self, fault: Fault) {
        if self.requester_epoch != self.epoch {
            // The requester has read the new epoch, and cancels what an earlier owner permitted.
            self.requester_epoch = self.epoch;
            let current = self.epoch;
            self.requester
                .drop_superseded_requests(|_, _, tenure| tenure == current);
            self.stopping.retain(|_, tenure| *tenure == current);
        }
        let actual = self.replicas;
        let is_on_machine =
            |index: u32, attempt: u64| actual[index as usize].attempt == attempt && actual[index as usize].is_running;
        self.stopping
            .retain(|(index, attempt), _| is_on_machine(*index, *attempt));
        self.requester
            .retain(|wanted| is_on_machine(wanted.unit.index(), wanted.attempt.0));
        for index in 0..REPLICAS {
            if is_on_machine(index, 1) {
                let wanted = WantedPermit {
                    unit: unit(index),
                    attempt: Attempt(1),
                    machine: MachineName::new("m"),
                    machine_tenure: FIRST_EPOCH,
                };
                self.requester.request_stop(wanted, owner(self.epoch), self.epoch);
            }
        }
        self.exchange_messages(fault);
        self.use_permits();
        self.send_stops(fault);
    }

    fn exchange_messages(&mut self, fault: Fault) {
        if let Some((sequence, sent_ms, permits)) = self.late_answer.take() {
            self.requester
                .accept_answer(&owner(self.requester_epoch), sequence, sent_ms, &permits);
        }
        let message = self.requester.build_message(&owner(self.requester_epoch));
        if fault == Fault::MessageLost {
            return;
        }
        let sent_ms = self.now_ms();
        let permits = self.answer(&message);
        if fault == Fault::MessageCopied
            && let Some(earlier) = self.earlier_message.take()
        {
            self.answer(&earlier);
        }
        let sequence = message.sequence;
        self.earlier_message = Some(message);
        if fault == Fault::AnswerLate {
            self.late_answer = Some((sequence, sent_ms, permits));
        } else {
            self.requester
                .accept_answer(&owner(self.requester_epoch), sequence, sent_ms, &permits);
        }
    }

    fn answer(&mut self, message: &PermitMessage) -> Vec<Permit> {
        if !self.ledger.accept_message(&requester(), 1, message) {
            return Vec::new();
        }
        let census = self.census();
        let now_ms = self.now_ms();
        let mut permits = Vec::new();
        for wanted in &message.wanted {
            let request = PermitRequest {
                unit: wanted.unit.clone(),
                attempt: wanted.attempt,
                machine: wanted.machine.clone(),
                requester: requester(),
                machine_tenure: wanted.machine_tenure,
            };
            if let Ok(granted) = self.ledger.request(now_ms, VALID_MS, &[request], &census) {
                self.ledger.mark_granted_by_message(&wanted.unit);
                permits.extend(granted);
            }
        }
        permits
    }

    fn use_permits(&mut self) {
        for index in 0..REPLICAS {
            if let Ok(tenure) = self.requester.use_permit(self.now_ms(), &unit(index), Attempt(1)) {
                if tenure < self.ledger.tenure() && self.ledger.outstanding().next().is_some() {
                    self.violation = Some("a permit of an earlier owner was used after a later one had granted");
                }
                self.stopping.insert((index, 1), tenure);
            }
        }
    }

    fn send_stops(&mut self, fault: Fault) {
        for (index, attempt) in self.stopping.keys().copied().collect::<Vec<_>>() {
            let stop = Stop {
                replica: index,
                attempt,
                token: self.requester_epoch,
            };
            if fault == Fault::StopDelayed && self.delayed_stop.is_none() {
                self.delayed_stop = Some(stop);
            } else if fault != Fault::StopDelayed {
                self.apply_stop(stop);
            }
        }
    }

    fn check_budget(&mut self) {
        let stopped = self.replicas.iter().filter(|replica| replica.is_stopped).count();
        if stopped > 1 {
            self.violation = Some("more replicas were stopped than the budget allows");
        }
    }

    fn is_drain_complete(&self) -> bool {
        self.replicas
            .iter()
            .all(|replica| replica.attempt > 1 && replica.is_running)
    }
}

fn successors(state: &State) -> Vec<State> {
    if state.interval >= DEPTH || state.violation.is_some() {
        return Vec::new();
    }
    FAULTS.iter().filter_map(|fault| state.next(*fault)).collect()
}

#[test]
fn no_history_exceeds_the_budget_and_every_drain_completes() {
    let mut states = 0u64;
    for state in bfs_reach(initial(), successors) {
        states += 1;
        assert_eq!(state.violation, None, "{state:#?}");
        // From each state after the last fault, the drain must complete.
        if state.interval < DEPTH && state.faults_left > 0 {
            continue;
        }
        let mut recovery = State {
            is_requester_paused: false,
            ..state
        };
        for _ in 0..RECOVERY_INTERVALS {
            if recovery.is_drain_complete() {
                break;
            }
            recovery = recovery
                .next(Fault::None)
                .expect("an interval without a fault is always possible");
            assert_eq!(recovery.violation, None, "{recovery:#?}");
        }
        assert!(recovery.is_drain_complete(), "{recovery:#?}");
    }
    assert!(states > 100_000, "{states} states");
}
