//! Explores all short histories of a granter, an asker, a successor of the granter, late grants, late stops and pauses,
//! with the package's own states in the model, by `pathfinding`'s breadth-first search.
//!
//! A service of three replicas, of which one may be away, runs on a machine of the asker's. The asker stops each
//! replica once. Owner 1 grants, until a successor takes over with a higher fencing token. At most [`MOST_FAULTS`]
//! faults happen in a history of [`DEPTH`] intervals; in each interval each part that is not paused acts once.

use pathfinding::directed::bfs::bfs_reach;
use std::collections::BTreeMap;
use tidelatch_disruption::{
    Amount, Attempt, Budget, Census, ControllerName, Counting, JobCensus, JobName, LedgerView, MachineName, Permit,
    PermitHolder, PermitLedger, PermitMessage, PermitRequest, ScopeName, SpentPermit, Tenure, Unit, UnitSet, UnitState,
    WantedPermit,
};

const REPLICAS: u32 = 3;
const DEPTH: u64 = 16;
const MOST_FAULTS: u8 = 4;
const INTERVAL_MS: u64 = 1_000;
const VALID_MS: u64 = 3 * INTERVAL_MS;
/// Intervals in which a drain ends once there are no faults any more.
const FAIR_INTERVALS: u64 = 40;
const FIRST: Tenure = Tenure(1);
const SECOND: Tenure = Tenure(2);

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Fault {
    None,
    /// The message of this interval and its answer are lost.
    MessageLost,
    /// The message arrives, and its answer only in a later interval.
    AnswerLate,
    /// A copy of an earlier message arrives after this one.
    MessageCopied,
    /// The stops of this interval are held up, and arrive by the next such fault or at the end.
    StopHeldUp,
    /// The stop that was held up is carried out.
    StopArrives,
    /// The owner's view of the machine stays as old as it is.
    ReportLost,
    /// The asker stands still, or goes on.
    Pause,
    /// A successor takes the team over.
    TakeOver,
    /// A replica dies by itself.
    Death,
}

const FAULTS: [Fault; 10] = [
    Fault::None,
    Fault::MessageLost,
    Fault::AnswerLate,
    Fault::MessageCopied,
    Fault::StopHeldUp,
    Fault::StopArrives,
    Fault::ReportLost,
    Fault::Pause,
    Fault::TakeOver,
    Fault::Death,
];

/// A replica on the machine, or the place of one that is away.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Replica {
    attempt: u64,
    runs: bool,
    /// It was stopped by a permit, and does not run again yet.
    stopped: bool,
}

/// A stop on its way, with the token that it carries.
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
    held_up: Option<Stop>,
    /// The stored epoch: who owns the team.
    epoch: Tenure,
    ledger: PermitLedger,
    /// What the present owner has seen of the machine in its tenure.
    view: Option<[Replica; REPLICAS as usize]>,
    asker: PermitHolder,
    asker_epoch: Tenure,
    asker_paused: bool,
    /// Stops that the asker goes on with until the attempt is gone, and the tenure that permitted them.
    stopping: BTreeMap<(u32, u64), Tenure>,
    late_answer: Option<(u64, u64, Vec<Permit>)>,
    earlier_message: Option<PermitMessage>,
    broken: Option<&'static str>,
}

fn unit(index: u32) -> Unit {
    Unit::new(JobName::new("job"), index)
}

fn owner(epoch: Tenure) -> ControllerName {
    ControllerName::new(if epoch == FIRST { "a" } else { "b" })
}

fn asker() -> ControllerName {
    ControllerName::new("x")
}

fn initial() -> State {
    let replica = Replica {
        attempt: 1,
        runs: true,
        stopped: false,
    };
    State {
        interval: 0,
        faults_left: MOST_FAULTS,
        replicas: [replica; REPLICAS as usize],
        worker_token: FIRST,
        held_up: None,
        epoch: FIRST,
        ledger: PermitLedger::new(FIRST, 0),
        view: Some([replica; REPLICAS as usize]),
        asker: PermitHolder::default(),
        asker_epoch: FIRST,
        asker_paused: false,
        stopping: BTreeMap::new(),
        late_answer: None,
        earlier_message: None,
        broken: None,
    }
}

/// What the owner knows, as the ledger asks it.
struct View<'a>(&'a State);

impl LedgerView for View<'_> {
    fn state(&self, unit: &Unit, permit: &SpentPermit) -> UnitState {
        let Some(view) = &self.0.view else {
            return UnitState::Stoppable;
        };
        let replica = view[unit.index() as usize];
        if replica.attempt == permit.attempt().0 && replica.runs {
            // The asker's ownership of the machine lasts through all of this model.
            UnitState::Stoppable
        } else if replica.runs {
            UnitState::RunsAnew
        } else {
            UnitState::Gone
        }
    }
    fn counting(&self, _job: &JobName) -> Option<Counting> {
        Some(Counting::Replicas)
    }
    fn is_made_up_for(&self, _unit: &Unit) -> bool {
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
        let runs = |index: &u32| self.view.is_some_and(|view| view[*index as usize].runs);
        let running: UnitSet = (0..REPLICAS).filter(runs).collect();
        let job = JobCensus::new(Counting::Replicas, REPLICAS, running, [scope]);
        census.add_job(JobName::new("job"), job);
        census.set_unaccounted(u32::from(self.view.is_none()));
        census
    }

    fn next(&self, fault: Fault) -> Option<Self> {
        let mut next = self.clone();
        next.interval += 1;
        if fault != Fault::None {
            next.faults_left = next.faults_left.checked_sub(1)?;
        }
        match fault {
            Fault::TakeOver if next.epoch == FIRST => next.take_over(),
            Fault::StopArrives => next.stop_arrives()?,
            Fault::Pause => next.asker_paused = !next.asker_paused,
            Fault::Death => next.death(),
            Fault::TakeOver => return None,
            _ => {}
        }
        next.owner_acts(fault);
        if !next.asker_paused {
            next.asker_acts(fault);
        }
        next.check();
        Some(next)
    }

    fn take_over(&mut self) {
        self.epoch = SECOND;
        self.view = None;
        self.ledger = PermitLedger::new(SECOND, self.now_ms() + VALID_MS);
    }

    fn death(&mut self) {
        self.replicas[0].runs = false;
    }

    fn stop_arrives(&mut self) -> Option<()> {
        let stop = self.held_up.take()?;
        self.carry_out(stop);
        Some(())
    }

    fn carry_out(&mut self, stop: Stop) {
        let replica = &mut self.replicas[stop.replica as usize];
        let fits = stop.token >= self.worker_token && replica.attempt == stop.attempt && replica.runs;
        if fits {
            self.worker_token = stop.token;
            replica.runs = false;
            replica.stopped = true;
        }
    }

    /// The owner hears the machine, starts what is away anew, and settles its ledger.
    fn owner_acts(&mut self, fault: Fault) {
        // Whoever answers a report hands the worker the token.
        self.worker_token = self.worker_token.max(self.epoch);
        if fault != Fault::ReportLost {
            if let Some(view) = self.view {
                for (replica, seen) in self.replicas.iter_mut().zip(view) {
                    // What was seen to be away has been started since, and runs by now.
                    if !seen.runs && !replica.runs {
                        *replica = Replica {
                            attempt: replica.attempt + 1,
                            runs: true,
                            stopped: false,
                        };
                    }
                }
            }
            self.view = Some(self.replicas);
        }
        let mut ledger = self.ledger.clone();
        ledger.settle(self.now_ms(), &View(self));
        self.ledger = ledger;
    }

    fn asker_acts(&mut self, fault: Fault) {
        if self.asker_epoch != self.epoch {
            // It has read the new epoch, and takes back what an earlier owner permitted.
            self.asker_epoch = self.epoch;
            let current = self.epoch;
            self.asker.drop_superseded(|_, _, tenure| tenure == current);
            self.stopping.retain(|_, tenure| *tenure == current);
        }
        let on_machine = self.replicas;
        let held =
            |index: u32, attempt: u64| on_machine[index as usize].attempt == attempt && on_machine[index as usize].runs;
        self.stopping.retain(|(index, attempt), _| held(*index, *attempt));
        self.asker.retain(|wanted| held(wanted.unit.index(), wanted.attempt.0));
        for index in 0..REPLICAS {
            if held(index, 1) {
                let wanted = WantedPermit {
                    unit: unit(index),
                    attempt: Attempt(1),
                    machine: MachineName::new("m"),
                    machine_tenure: FIRST,
                };
                self.asker.want(wanted, owner(self.epoch), self.epoch);
            }
        }
        self.exchange(fault);
        self.use_permits();
        self.send_stops(fault);
    }

    fn exchange(&mut self, fault: Fault) {
        if let Some((sequence, sent_ms, permits)) = self.late_answer.take() {
            self.asker
                .take_answer(&owner(self.asker_epoch), sequence, sent_ms, &permits);
        }
        let message = self.asker.message_for(&owner(self.asker_epoch));
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
            self.asker
                .take_answer(&owner(self.asker_epoch), sequence, sent_ms, &permits);
        }
    }

    fn answer(&mut self, message: &PermitMessage) -> Vec<Permit> {
        if !self.ledger.take_message(&asker(), 1, message) {
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
                asker: asker(),
                machine_tenure: wanted.machine_tenure,
            };
            if let Ok(granted) = self.ledger.request(now_ms, VALID_MS, &[request], &census) {
                self.ledger.note_answered(&wanted.unit);
                permits.extend(granted);
            }
        }
        permits
    }

    fn use_permits(&mut self) {
        for index in 0..REPLICAS {
            if let Ok(tenure) = self.asker.use_permit(self.now_ms(), &unit(index), Attempt(1)) {
                if tenure < self.ledger.tenure() && self.ledger.outstanding().next().is_some() {
                    self.broken = Some("a permit of an earlier owner was used after a later one had granted");
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
                token: self.asker_epoch,
            };
            if fault == Fault::StopHeldUp && self.held_up.is_none() {
                self.held_up = Some(stop);
            } else if fault != Fault::StopHeldUp {
                self.carry_out(stop);
            }
        }
    }

    fn check(&mut self) {
        let stopped = self.replicas.iter().filter(|replica| replica.stopped).count();
        if stopped > 1 {
            self.broken = Some("more replicas were stopped than the budget allows");
        }
    }

    fn is_drained(&self) -> bool {
        self.replicas.iter().all(|replica| replica.attempt > 1 && replica.runs)
    }
}

fn successors(state: &State) -> Vec<State> {
    if state.interval >= DEPTH || state.broken.is_some() {
        return Vec::new();
    }
    FAULTS.iter().filter_map(|fault| state.next(*fault)).collect()
}

#[test]
fn no_history_exceeds_the_budget_and_every_drain_ends() {
    let mut states = 0u64;
    for state in bfs_reach(initial(), successors) {
        states += 1;
        assert_eq!(state.broken, None, "{state:#?}");
        // From each state at the end of the faults the drain comes to its end.
        if state.interval < DEPTH && state.faults_left > 0 {
            continue;
        }
        let mut fair = State {
            asker_paused: false,
            ..state
        };
        for _ in 0..FAIR_INTERVALS {
            if fair.is_drained() {
                break;
            }
            fair = fair.next(Fault::None).expect("nothing is used up");
            assert_eq!(fair.broken, None, "{fair:#?}");
        }
        assert!(fair.is_drained(), "{fair:#?}");
    }
    assert!(states > 100_000, "{states} states");
}
