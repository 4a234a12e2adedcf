//! The pure functions of placement and renting: on which machine each task is placed, and which machines are rented for
//! tasks that found none.

use std::collections::{BTreeMap, BTreeSet};
use tidelatch_core::capacity::{MachineTimeline, UnplacedTasks, assign_to_existing_machines, plan_machine_requests};
use tidelatch_core::ids::Partition;
use tidelatch_core::placement::{Amounts, Batch, JobTerms, MachineSlot};
use tidelatch_core::protocol::MachineType;
use tidelatch_core::protocol::Shape;
use tidelatch_core::protocol::parse_submission;
use tidelatch_core::queue::{EstimateCorrections, TeamUsage, choose_next_team, starvation_age_s, urgency};

/// A machine with free processors, memory and this number of free accelerators.
fn slot(zone: &str, spot: bool, free_gpus: f64) -> MachineSlot {
    MachineSlot {
        model: "m".into(),
        zone: zone.into(),
        spot,
        free: [24.0, free_gpus, 100.0],
        total: [24.0, 2.0, 100.0],
        images: BTreeSet::new(),
        fetch_s_per_gb: 1.0,
        boot_s: 30.0,
        recent_failures: 0.0,
        price: 7.0,
    }
}

/// An array whose tasks take one unit of each resource, may use spot machines and have no further constraints.
fn terms(rank: f64) -> JobTerms {
    JobTerms {
        size: [1.0, 1.0, 1.0],
        models: None,
        zone: None,
        one_zone: false,
        max_tasks_per_zone: None,
        cheap_zones: Vec::new(),
        max_tasks_outside_cheap_zones: 0,
        avoided_zone: None,
        spot: true,
        image: "i".into(),
        image_gb: 5.0,
        guaranteed: false,
        deadline_s: 0.0,
        estimate_s: 50.0,
        rank,
        is_service: false,
        is_gang: false,
        excluded_machines: Default::default(),
        start_objective_s: 0.0,
        cheapest_task_price: 0.0,
        start_time_left_s: 0.0,
        tasks_by_zone: BTreeMap::new(),
        team: 0,
    }
}

const UNLIMITED: Amounts = [f64::MAX; 3];

/// Places tasks, each given by the index of its job, within the team's limit. Returns the index of each task's machine.
fn place(slots: &mut [MachineSlot], jobs: &mut [JobTerms], tasks: &[usize], team_limit: Amounts) -> Vec<Option<usize>> {
    Batch::new(slots, jobs, &mut [team_limit], tasks).place(100)
}

#[test]
fn placement_keeps_to_spot_zone_and_team_constraints() {
    // Only jobs that allow spot machines get them; at most half of a spread job runs in one zone; the team's limit
    // holds; a job that must stay in one zone does.
    let mut no_spot = terms(1.0);
    no_spot.spot = false;
    assert_eq!(
        place(&mut [slot("a", true, 2.0)], &mut [no_spot], &[0], UNLIMITED),
        [None]
    );

    let mut spread = terms(1.0);
    spread.max_tasks_per_zone = Some(1);
    spread.tasks_by_zone.insert("a".into(), 1);
    let placed = place(
        &mut [slot("a", false, 2.0), slot("b", false, 2.0)],
        &mut [spread],
        &[0, 0],
        UNLIMITED,
    );
    assert_eq!(placed.iter().flatten().collect::<Vec<_>>(), [&1]);

    let placed = place(
        &mut [slot("a", false, 2.0)],
        &mut [terms(1.0)],
        &[0, 0],
        [f64::MAX, 1.0, f64::MAX],
    );
    assert_eq!(placed.iter().flatten().count(), 1);

    let mut one_zone = terms(1.0);
    one_zone.one_zone = true;
    let placed = place(
        &mut [slot("a", false, 1.0), slot("b", false, 1.0)],
        &mut [one_zone],
        &[0, 0],
        UNLIMITED,
    );
    assert_eq!(
        placed.iter().flatten().count(),
        1,
        "the second task would be in another zone"
    );
}

#[test]
fn a_machine_that_has_the_image_is_preferred_to_a_fuller_machine() {
    let mut with_image = slot("a", false, 2.0);
    with_image.images.insert("i".into());
    let placed = place(
        &mut [slot("a", false, 1.0), with_image],
        &mut [terms(1.0)],
        &[0],
        UNLIMITED,
    );
    assert_eq!(placed, [Some(1)]);
}

#[test]
fn a_placed_task_is_moved_for_a_task_that_fits_nowhere_else() {
    // The first task may run anywhere and prefers the machine that has its image; the second must run in zone a.
    let mut with_image = slot("a", false, 1.0);
    with_image.images.insert("i".into());
    let mut zone_bound = terms(1.0);
    zone_bound.zone = Some("a".into());
    let placed = place(
        &mut [with_image, slot("b", false, 1.0)],
        &mut [terms(2.0), zone_bound],
        &[0, 1],
        UNLIMITED,
    );
    assert_eq!(placed, [Some(1), Some(0)]);
}

#[test]
fn tasks_within_the_guarantee_are_placed_before_more_urgent_tasks_beyond_it() {
    // Regression: a task that preempts others for its team's guarantee must get the freed room. Otherwise the two
    // preempt each other in turns (2558 starts for 427 tasks on one simulated day).
    let mut slots = [slot("a", false, 1.0)];
    let mut jobs = [terms(1.9), terms(1.0)];
    let mut team_limits = [UNLIMITED];
    let choices = Batch::new(&mut slots, &mut jobs, &mut team_limits, &[0, 1])
        .guaranteed_first(vec![false, true])
        .place(10);
    assert_eq!(choices, [None, Some(0)]);
}

#[test]
fn the_team_with_the_lowest_usage_of_its_share_is_served_next() {
    let claims = [TeamUsage { used: 4.0, share: 4.0 }, TeamUsage { used: 6.0, share: 8.0 }];
    assert_eq!(choose_next_team(&claims, &[true, true]), Some(1));
    assert_eq!(choose_next_team(&claims, &[true, false]), Some(0));
    assert_eq!(choose_next_team(&claims, &[false, false]), None);
}

fn machine_type(name: &str, size: Amounts, price: f64) -> MachineType {
    MachineType {
        name: name.into(),
        cpus: size[0],
        gpus: size[1],
        memory_gb: size[2],
        cache_gb: 100.0,
        fetch_gb_per_s: 1.0,
        price,
        spot_price: price / 2.0,
        boot_s: 40.0,
        zones: vec!["a".into(), "b".into()],
    }
}

/// Unplaced tasks of a service, or of an array that may use spot machines and has a deadline.
fn unplaced_tasks(count: u32, service: bool) -> UnplacedTasks {
    let mut terms = terms(1.0);
    terms.spot = !service;
    terms.is_service = service;
    terms.estimate_s = if service { 0.0 } else { 50.0 };
    terms.deadline_s = if service { 0.0 } else { 155.0 };
    let mut unplaced = UnplacedTasks::new(Partition(0), &terms, service, if service { f64::MAX } else { 100.0 });
    unplaced.count = count;
    unplaced
}

/// A machine that is ready after a time, with the times at which its running tasks end and the resources they free.
fn timeline(ready_s: f64, free_gpus: f64, busy: Vec<(f64, Amounts)>) -> MachineTimeline {
    MachineTimeline {
        model: "m".into(),
        zone: "a".into(),
        spot: false,
        free: [24.0, free_gpus, 100.0],
        ready_s,
        busy,
    }
}

#[test]
fn a_booting_machine_is_used_even_if_a_busy_machine_is_free_sooner() {
    // Regression: a service may not wait for the end of an array. It was treated as if no machine were on its way for
    // it, and machines were rented over and over while the first ones booted.
    let types = [machine_type("m", [24.0, 2.0, 100.0], 7.0)];
    let mut unplaced = [unplaced_tasks(2, true)];
    let mut timelines = [
        timeline(0.0, 0.0, vec![(3.0, [1.0, 1.0, 1.0])]),
        timeline(39.0, 2.0, Vec::new()),
    ];
    assign_to_existing_machines(&mut unplaced, &mut timelines, &types, &|_| false, 10.0);
    assert_eq!(unplaced[0].count, 0);
}

#[test]
fn arrays_that_can_meet_their_deadline_do_not_wait_long_for_a_busy_machine() {
    let types = [machine_type("m", [24.0, 2.0, 100.0], 7.0)];
    let full_machine = || timeline(0.0, 0.0, vec![(60.0, [1.0, 1.0, 1.0])]);
    let mut unplaced = [unplaced_tasks(1, false)];
    assign_to_existing_machines(&mut unplaced, &mut [full_machine()], &types, &|_| false, f64::MAX);
    assert_eq!(unplaced[0].count, 1, "with a machine of its own it meets its deadline");
    let mut unplaced = [unplaced_tasks(1, false)];
    unplaced[0].slack_s = 10.0;
    unplaced[0].deadline_s = 300.0;
    assign_to_existing_machines(&mut unplaced, &mut [full_machine()], &types, &|_| false, f64::MAX);
    assert_eq!(
        unplaced[0].count, 0,
        "it would be late even with a new machine, so it waits and none is rented"
    );
}

#[test]
fn renting_assumes_full_machines_and_avoids_refused_machine_types() {
    let types = [
        machine_type("small", [12.0, 2.0, 72.0], 5.0),
        machine_type("large", [48.0, 4.0, 288.0], 13.0),
    ];
    let mut service = unplaced_tasks(1, true);
    service.size = [8.0, 1.0, 43.0];
    let machine_requests = plan_machine_requests(&[service.clone()], Vec::new(), &types, &|_| false, &BTreeMap::new());
    assert_eq!(machine_requests.len(), 1);
    assert_eq!(
        machine_requests[0].model, "large",
        "a quarter of a large machine costs less than a small machine"
    );
    let refused = |kind: &(String, String, bool)| kind.0 == "large";
    let machine_requests = plan_machine_requests(&[service], Vec::new(), &types, &refused, &BTreeMap::new());
    assert_eq!(machine_requests[0].model, "small");
    let machine_requests = plan_machine_requests(
        &[unplaced_tasks(3, false)],
        Vec::new(),
        &types,
        &|_| false,
        &BTreeMap::new(),
    );
    assert!(
        machine_requests.iter().all(|machine| machine.spot),
        "arrays that may use spot machines get them"
    );
}

#[test]
fn estimates_are_corrected_by_the_run_times_of_tasks_of_the_same_class() {
    let body = br#"{"uid":"job-1","consist":"c","crew":"t","shape":"sweep","precedence":"low","wagons":1,"vcpus":1,
        "accelerators":1,"ramGb":1,"stock":"i","sizeGb":1,"together":false,"spread":false,"standby":true,
        "runtimeS":50,"waypointS":0,"stowS":0}"#;
    let (_, spec) = parse_submission(body).expect("well formed");
    let mut corrections = EstimateCorrections::default();
    corrections.record_run_time(&spec, 100.0);
    assert_eq!(
        corrections.expected_run_s(&spec),
        50.0,
        "one task is too few for a correction"
    );
    (0..20).for_each(|_| corrections.record_run_time(&spec, 100.0));
    assert!((corrections.expected_run_s(&spec) - 100.0).abs() < 1e-6);
    (0..400).for_each(|_| corrections.record_run_time(&spec, 25.0));
    assert!(corrections.expected_run_s(&spec) < 30.0, "older tasks lose weight");
}

#[test]
fn a_service_leaves_zones_without_a_cheap_machine_type_to_services_that_can_run_only_there() {
    // Regression, seen in the scenario hanbit-railplan-grown: the first services took all machines of the scarce zones.
    // The last replicas of later services, which may run only there because of spreading, waited for minutes.
    let mut jobs = [terms(1.0)];
    jobs[0].is_service = true;
    jobs[0].max_tasks_per_zone = Some(2);
    jobs[0].cheap_zones = vec!["a".into()];
    jobs[0].max_tasks_outside_cheap_zones = 2;
    let mut slots = [slot("b", false, 2.0), slot("c", false, 2.0)];
    let chosen = place(&mut slots, &mut jobs, &[0, 0, 0, 0], UNLIMITED);
    assert_eq!(
        chosen.iter().flatten().count(),
        2,
        "two replicas wait for the cheap zone: {chosen:?}"
    );
    let mut slots = [slot("a", false, 2.0)];
    let chosen = place(&mut slots, &mut jobs, &[0, 0], UNLIMITED);
    assert_eq!(chosen.iter().flatten().count(), 2);
}

#[test]
fn if_not_all_jobs_can_meet_their_deadlines_small_jobs_come_first_and_none_starves() {
    // Regression: ordering by slack alone gave large jobs the room of several small ones, and all of them were late.
    let body = br#"{"uid":"job-000001","consist":"c","crew":"t","shape":"sweep","precedence":"low","wagons":4,
        "vcpus":1.0,"accelerators":1.0,"ramGb":1.0,"stock":"i","sizeGb":1.0,"models":null,"yard":null,
        "together":false,"spread":false,"standby":true,"runtimeS":50.0,"waypointS":0.0,"stowS":0.0,"dueS":155.0}"#;
    let (_, spec) = parse_submission(body).expect("a valid submission");
    let (small, large) = (0.8, 0.2);
    assert!(urgency(40.0, small, &spec) > urgency(30.0, large, &spec));
    assert!(urgency(5.0, small, &spec) > urgency(60.0, small, &spec));
    // Jobs that can still meet their deadline come before jobs that cannot, and those before jobs that are late in any
    // case.
    assert!(urgency(0.0, large, &spec) > urgency(-60.0, small, &spec));
    assert!(urgency(-60.0, large, &spec) > urgency(-500.0, small, &spec));
    // Even the largest job must begin within four minutes. It comes first early enough for a boot and an image fetch.
    assert_eq!(starvation_age_s(120.0, Shape::Array), 90.0);
    assert_eq!(starvation_age_s(500.0, Shape::Array), 180.0);
    assert_eq!(starvation_age_s(0.0, Shape::Array), 90.0);
    assert_eq!(starvation_age_s(5.0, Shape::Service), 90.0);
}

#[test]
fn assignment_to_existing_machines_respects_waiting_times_and_zone_limits() {
    // Each machine is examined once for each group of unplaced tasks. Zones that become full, and machines that become
    // free later than a task may wait, must still be skipped.
    let types = [machine_type("m", [24.0, 2.0, 100.0], 7.0)];
    let mut timelines = vec![
        timeline(0.0, 0.0, vec![(20.0, [1.0, 1.0, 1.0]), (500.0, [1.0, 1.0, 1.0])]),
        timeline(0.0, 2.0, Vec::new()),
        timeline(25.0, 2.0, Vec::new()),
    ];
    let mut unplaced = [unplaced_tasks(9, false)];
    assign_to_existing_machines(&mut unplaced, &mut timelines, &types, &|_| false, f64::MAX);
    // Two start at once, one as the first task ends, and two on the booting machine. Tasks placed here end too late to
    // make room for others.
    assert_eq!(unplaced[0].count, 4, "{timelines:?}");
    let mut spread = unplaced_tasks(4, true);
    spread.max_tasks_per_zone = Some(2);
    let mut unplaced = [spread];
    let mut timelines = vec![timeline(0.0, 2.0, Vec::new()), timeline(0.0, 2.0, Vec::new())];
    assign_to_existing_machines(&mut unplaced, &mut timelines, &types, &|_| false, f64::MAX);
    assert_eq!(unplaced[0].count, 2, "two tasks may run in the zone");
}

/// A gang whose tasks take eight processors each and must run in one zone.
fn gang(job_rank: f64) -> JobTerms {
    JobTerms {
        is_gang: true,
        one_zone: true,
        size: [8.0, 0.0, 1.0],
        rank: job_rank,
        ..terms(1.0)
    }
}

#[test]
fn a_gang_is_placed_whole_in_one_zone_or_not_at_all() {
    // Regression: a gang must not be placed because the room of all zones together, or room beyond the team's limit,
    // would be enough.
    let zones = ["a", "a", "b", "b", "b"];
    let mut slots: Vec<MachineSlot> = zones.iter().map(|zone| slot(zone, false, 0.0)).collect();
    slots[0].free[0] = 8.0;
    let placed = place(&mut slots.clone(), &mut [gang(1.0)], &[0; 7], UNLIMITED);
    let used: Vec<Option<&str>> = placed.iter().map(|p| p.and_then(|p| zones.get(p).copied())).collect();
    assert_eq!(used, [Some("b"); 7]);
    assert_eq!(
        place(&mut slots.clone(), &mut [gang(1.0)], &[0; 10], UNLIMITED),
        [None; 10]
    );
    let mut low_limit = UNLIMITED;
    low_limit[0] = 50.0;
    assert_eq!(
        place(&mut slots.clone(), &mut [gang(1.0)], &[0; 7], low_limit),
        [None; 7]
    );
    // Room that the gang cannot use is available to other jobs in the same batch.
    let both = place(
        &mut slots,
        &mut [gang(2.0), terms(1.0)],
        &[0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1],
        UNLIMITED,
    );
    assert_eq!(both[..10], [None; 10]);
}

#[test]
fn a_gang_avoids_machines_with_recent_failures_while_others_have_room() {
    let mut slots = vec![slot("a", false, 0.0), slot("a", false, 0.0)];
    slots[1].recent_failures = 1.0;
    assert_eq!(
        place(&mut slots, &mut [gang(1.0)], &[0, 0], UNLIMITED),
        [Some(0), Some(0)]
    );
}
