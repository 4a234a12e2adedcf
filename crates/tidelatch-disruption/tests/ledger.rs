//! Tests of permits: when they are granted, how long they stay outstanding, and how they are returned.

use std::collections::{BTreeMap, BTreeSet};
use tidelatch_disruption::{
    Amount, Attempt, Budget, Census, ControllerName, Denial, JobCensus, JobName, MachineName, OutstandingPermit,
    PermitHolder, PermitLedger, PermitRequest, ScopeName, Tenure, UnavailabilityRule, Unit, UnitSet, UnitState,
    UnitStateSource, UseError, WantedPermit,
};

const VALID_MS: u64 = 5_000;
const TENURE: Tenure = Tenure(7);

fn unit(index: u32) -> Unit {
    Unit::new(JobName::new("job"), index)
}

fn requester() -> ControllerName {
    ControllerName::new("x")
}

fn granter() -> ControllerName {
    ControllerName::new("a")
}

fn request(index: u32) -> PermitRequest {
    PermitRequest {
        unit: unit(index),
        attempt: Attempt(1),
        machine: MachineName::new("m"),
        requester: requester(),
        machine_tenure: Tenure(3),
    }
}

fn wanted(index: u32) -> WantedPermit {
    WantedPermit {
        unit: unit(index),
        attempt: Attempt(1),
        machine: MachineName::new("m"),
        machine_tenure: Tenure(3),
    }
}

fn census(
    unavailability_rule: UnavailabilityRule,
    size: u32,
    running: impl IntoIterator<Item = u32>,
    budget: Budget,
) -> Census {
    let mut census = Census::default();
    let scope = ScopeName::new("scope");
    census.add_scope(scope.clone(), budget);
    let job = JobCensus::new(unavailability_rule, size, running.into_iter().collect(), [scope]);
    census.add_job(JobName::new("job"), job);
    census
}

fn replicas(running: impl IntoIterator<Item = u32>, most: u32) -> Census {
    census(
        UnavailabilityRule::Replicas,
        6,
        running,
        Budget::MaxUnavailable(Amount::Count(most)),
    )
}

/// A ledger view whose unit states a test sets.
struct TestView {
    unavailability_rule: Option<UnavailabilityRule>,
    states: BTreeMap<u32, UnitState>,
    recovered: BTreeSet<u32>,
}

impl TestView {
    fn of(unavailability_rule: UnavailabilityRule, states: impl IntoIterator<Item = (u32, UnitState)>) -> Self {
        Self {
            unavailability_rule: Some(unavailability_rule),
            states: states.into_iter().collect(),
            recovered: BTreeSet::new(),
        }
    }
}

impl UnitStateSource for TestView {
    fn state(&self, unit: &Unit, _permit: &OutstandingPermit) -> UnitState {
        self.states.get(&unit.index()).copied().unwrap_or(UnitState::Stoppable)
    }
    fn unavailability_rule(&self, _job: &JobName) -> Option<UnavailabilityRule> {
        self.unavailability_rule
    }
    fn has_recovered(&self, unit: &Unit) -> bool {
        self.recovered.contains(&unit.index())
    }
}

fn outstanding(ledger: &PermitLedger) -> Vec<u32> {
    ledger.outstanding().map(|(unit, _)| unit.index()).collect()
}

#[test]
fn units_that_failed_on_their_own_use_up_the_budget() {
    let mut ledger = PermitLedger::new(TENURE, 0);
    let refused = ledger.request(0, VALID_MS, &[request(0)], &replicas(0..4, 2));
    assert!(
        matches!(
            refused,
            Err(Denial::BudgetExhausted {
                unavailable: 3,
                allowance: 2,
                ..
            })
        ),
        "{refused:?}"
    );
    assert!(ledger.request(0, VALID_MS, &[request(0)], &replicas(0..5, 2)).is_ok());
    // The outstanding permit counts although the replica still runs.
    assert!(ledger.request(0, VALID_MS, &[request(1)], &replicas(0..5, 2)).is_err());
    // Once the replica is seen to be stopped, it counts once, not twice.
    assert!(ledger.request(0, VALID_MS, &[request(1)], &replicas(1..6, 2)).is_ok());
}

#[test]
fn new_owner_grants_no_permit_until_earlier_permits_expired_and_all_machines_reported() {
    let mut ledger = PermitLedger::new(TENURE, 1_000);
    let mut census = replicas(0..6, 2);
    let early = ledger.request(999, VALID_MS, &[request(0)], &census);
    assert_eq!(early, Err(Denial::EarlierOwnerPermits { wait_ms: 1 }));
    census.set_unreported_machines(1);
    let unknown = ledger.request(1_000, VALID_MS, &[request(0)], &census);
    assert_eq!(unknown, Err(Denial::UnreportedMachines { machines: 1 }));
    census.set_unreported_machines(0);
    assert!(ledger.request(1_000, VALID_MS, &[request(0)], &census).is_ok());
}

#[test]
fn request_for_several_units_is_granted_for_all_or_none() {
    let budget = Budget::MaxUnavailable(Amount::Percent(50));
    let mut ledger = PermitLedger::new(TENURE, 0);
    let tasks = census(UnavailabilityRule::Tasks, 6, 0..6, budget);
    let four_requests: Vec<PermitRequest> = (0..4).map(request).collect();
    assert!(ledger.request(0, VALID_MS, &four_requests, &tasks).is_err());
    assert_eq!(outstanding(&ledger), []);
    let three_requests: Vec<PermitRequest> = (0..3).map(request).collect();
    assert_eq!(
        ledger
            .request(0, VALID_MS, &three_requests, &tasks)
            .map(|permits| permits.len()),
        Ok(3)
    );
    assert_eq!(outstanding(&ledger), [0, 1, 2]);
}

#[test]
fn permit_stays_outstanding_until_its_holder_can_no_longer_stop_the_unit() {
    let mut ledger = PermitLedger::new(TENURE, 0);
    let all = replicas(0..6, 1);
    ledger
        .request(0, VALID_MS, &[request(0)], &all)
        .expect("the budget allows one more unit");
    ledger.release_settled_permits(
        10 * VALID_MS,
        &TestView::of(UnavailabilityRule::Replicas, [(0, UnitState::Stoppable)]),
    );
    assert_eq!(
        outstanding(&ledger),
        [0],
        "its holder is unresponsive, but still owns the machine"
    );
    ledger.release_settled_permits(
        VALID_MS,
        &TestView::of(UnavailabilityRule::Replicas, [(0, UnitState::RunningFenced)]),
    );
    assert_eq!(outstanding(&ledger), [0], "the permit has not expired");
    ledger.release_settled_permits(
        VALID_MS + 1,
        &TestView::of(UnavailabilityRule::Replicas, [(0, UnitState::RunningFenced)]),
    );
    assert_eq!(outstanding(&ledger), []);
}

#[test]
fn array_tasks_count_as_interrupted_until_they_run_again() {
    let quarter = Budget::MaxUnavailable(Amount::PercentOrOne(25));
    let mut ledger = PermitLedger::new(TENURE, 0);
    let running = |tasks: std::ops::Range<u32>| census(UnavailabilityRule::Tasks, 100, tasks, quarter);
    ledger
        .request(0, VALID_MS, &[request(0)], &running(0..4))
        .expect("one of four tasks may be interrupted");
    let mut view = TestView::of(UnavailabilityRule::Tasks, [(0, UnitState::Ended)]);
    ledger.release_settled_permits(10, &view);
    assert_eq!(
        (outstanding(&ledger), ledger.interrupted_count(&JobName::new("job"))),
        (vec![], 1)
    );
    assert!(ledger.request(10, VALID_MS, &[request(1)], &running(1..4)).is_err());
    view.recovered.insert(0);
    ledger.release_settled_permits(20, &view);
    assert!(ledger.request(20, VALID_MS, &[request(1)], &running(0..4)).is_ok());
    // A job that has ended releases its outstanding permits.
    let over = TestView {
        unavailability_rule: None,
        ..TestView::of(UnavailabilityRule::Tasks, [(1, UnitState::Finished)])
    };
    ledger.release_settled_permits(30, &over);
    assert_eq!(outstanding(&ledger), []);
}

#[test]
fn tasks_an_earlier_owner_may_have_interrupted_count_until_they_run() {
    let mut ledger = PermitLedger::new(TENURE, 0);
    ledger.count_as_interrupted(JobName::new("job"), &(4..6).collect::<UnitSet>());
    let quarter = Budget::MaxUnavailable(Amount::PercentOrOne(25));
    let tasks = census(UnavailabilityRule::Tasks, 6, 0..4, quarter);
    assert!(ledger.request(0, VALID_MS, &[request(0)], &tasks).is_err());
    let mut view = TestView::of(UnavailabilityRule::Tasks, []);
    view.recovered.extend([4, 5]);
    ledger.release_settled_permits(0, &view);
    assert!(ledger.request(0, VALID_MS, &[request(0)], &tasks).is_ok());
}

/// Sends the holder's message to the ledger and the answer back. Returns the number of permits granted.
fn exchange(ledger: &mut PermitLedger, holder: &mut PermitHolder, now_ms: u64, census: &Census) -> usize {
    let message = holder.build_message(&granter());
    if !ledger.accept_message(&requester(), 1, &message) {
        return 0;
    }
    let mut permits = Vec::new();
    for wanted in &message.wanted {
        let request = PermitRequest {
            unit: wanted.unit.clone(),
            attempt: wanted.attempt,
            machine: wanted.machine.clone(),
            requester: requester(),
            machine_tenure: wanted.machine_tenure,
        };
        if let Ok(granted) = ledger.request(now_ms, VALID_MS, &[request], census) {
            ledger.mark_granted_by_message(&wanted.unit);
            permits.extend(granted);
        }
    }
    holder.accept_answer(&granter(), message.sequence, now_ms, &permits);
    permits.len()
}

#[test]
fn permits_missing_from_a_later_message_are_returned() {
    let (mut ledger, mut holder) = (PermitLedger::new(TENURE, 0), PermitHolder::default());
    let all = replicas(0..6, 1);
    holder.request_stop(wanted(0), granter(), TENURE);
    assert_eq!(exchange(&mut ledger, &mut holder, 0, &all), 1);
    holder.retain(|_| false);
    assert!(
        holder.needs_message(&granter()),
        "otherwise the owner would count the permit forever"
    );
    exchange(&mut ledger, &mut holder, 100, &all);
    assert_eq!(outstanding(&ledger), []);
    assert!(!holder.needs_message(&granter()));
}

#[test]
fn used_permit_is_listed_until_its_owner_has_learned_of_it() {
    let (mut ledger, mut holder) = (PermitLedger::new(TENURE, 0), PermitHolder::default());
    let all = replicas(0..6, 1);
    holder.request_stop(wanted(0), granter(), TENURE);
    exchange(&mut ledger, &mut holder, 0, &all);
    assert_eq!(holder.use_permit(10, &unit(0), Attempt(1)), Ok(TENURE));
    // The holder drops the stop request before the owner has learned that the permit was used. If the next message did
    // not list it, the owner would take the permit as returned.
    holder.retain(|_| false);
    exchange(&mut ledger, &mut holder, 100, &all);
    assert_eq!(outstanding(&ledger), [0]);
    exchange(&mut ledger, &mut holder, 200, &all);
    assert_eq!(
        outstanding(&ledger),
        [0],
        "from now on only the unit's state releases the permit"
    );
    assert!(!holder.needs_message(&granter()));
}

#[test]
fn late_messages_and_late_answers_are_ignored() {
    let (mut ledger, mut holder) = (PermitLedger::new(TENURE, 0), PermitHolder::default());
    let all = replicas(0..6, 1);
    holder.request_stop(wanted(0), granter(), TENURE);
    let first = holder.build_message(&granter());
    assert!(ledger.accept_message(&requester(), 1, &first));
    let permits = ledger
        .request(0, VALID_MS, &[request(0)], &all)
        .expect("the budget allows one more unit");
    ledger.mark_granted_by_message(&unit(0));
    // While the answer is in flight, the stop request is dropped and then made again.
    holder.retain(|_| false);
    let second = holder.build_message(&granter());
    assert!(ledger.accept_message(&requester(), 1, &second));
    assert_eq!(outstanding(&ledger), []);
    holder.request_stop(wanted(0), granter(), TENURE);
    holder.build_message(&granter());
    holder.accept_answer(&granter(), first.sequence, 0, &permits);
    assert_eq!(holder.use_permit(10, &unit(0), Attempt(1)), Err(UseError::NotGranted));
    // A copy of the first message arrives late.
    assert!(!ledger.accept_message(&requester(), 1, &first));
}

#[test]
fn permit_expires_at_its_holder_before_it_expires_at_its_owner() {
    let (mut ledger, mut holder) = (PermitLedger::new(TENURE, 0), PermitHolder::default());
    holder.request_stop(wanted(0), granter(), TENURE);
    exchange(&mut ledger, &mut holder, 0, &replicas(0..6, 1));
    let mut late = holder.clone();
    assert_eq!(
        late.use_permit(VALID_MS - 20, &unit(0), Attempt(1)),
        Err(UseError::Expired)
    );
    assert!(
        late.has_stop_request(&unit(0), Attempt(1)),
        "the permit is requested again"
    );
    assert!(holder.use_permit(VALID_MS - 100, &unit(0), Attempt(1)).is_ok());
    assert_eq!(
        holder.use_permit(VALID_MS - 100, &unit(0), Attempt(1)),
        Err(UseError::NotGranted)
    );
}

#[test]
fn permits_of_an_earlier_ownership_epoch_are_rejected_and_dropped() {
    let (mut ledger, mut holder) = (PermitLedger::new(TENURE, 0), PermitHolder::default());
    holder.request_stop(wanted(0), granter(), Tenure(8));
    exchange(&mut ledger, &mut holder, 0, &replicas(0..6, 1));
    assert_eq!(
        holder.use_permit(10, &unit(0), Attempt(1)),
        Err(UseError::NotGranted),
        "granted under ownership epoch 7"
    );
    holder.drop_superseded_requests(|_, _, tenure| tenure != Tenure(8));
    assert!(!holder.has_stop_request(&unit(0), Attempt(1)));
}
