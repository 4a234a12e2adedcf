//! Placement and renting as pure functions: what goes where, and what is rented for the rest.

use std::collections::{BTreeMap, BTreeSet};
use tidelatch_core::capacity::{MachineTimeline, UnplacedTasks, assign_to_existing_machines, plan_machine_requests};
use tidelatch_core::ids::Partition;
use tidelatch_core::placement::{Amounts, Batch, JobTerms, MachineSlot};
use tidelatch_core::protocol::MachineType;
use tidelatch_core::protocol::Shape;
use tidelatch_core::protocol::parse_submission;
use tidelatch_core::queue::{EstimateCorrections, TeamUsage, choose_next_team, starvation_age_s, urgency};

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

const ANY: Amounts = [f64::MAX; 3];

fn place(slots: &mut [MachineSlot], jobs: &mut [JobTerms], tasks: &[usize], room: Amounts) -> Vec<Option<usize>> {
    Batch::new(slots, jobs, &mut [room], tasks).place(100)
}

#[test]
fn the_hard_filters_hold() {
    // Spot machines only for those who may, no more than half a spread job in a zone, the team's
    // limit, one zone for those that must stay together.
    let mut no_spot = terms(1.0);
    no_spot.spot = false;
    assert_eq!(place(&mut [slot("a", true, 2.0)], &mut [no_spot], &[0], ANY), [None]);

    let mut spread = terms(1.0);
    spread.max_tasks_per_zone = Some(1);
    spread.tasks_by_zone.insert("a".into(), 1);
    let placed = place(
        &mut [slot("a", false, 2.0), slot("b", false, 2.0)],
        &mut [spread],
        &[0, 0],
        ANY,
    );
    assert_eq!(placed.iter().flatten().collect::<Vec<_>>(), [&1]);

    let placed = place(
        &mut [slot("a", false, 2.0)],
        &mut [terms(1.0)],
        &[0, 0],
        [f64::MAX, 1.0, f64::MAX],
    );
    assert_eq!(placed.iter().flatten().count(), 1);

    let mut together = terms(1.0);
    together.one_zone = true;
    let placed = place(
        &mut [slot("a", false, 1.0), slot("b", false, 1.0)],
        &mut [together],
        &[0, 0],
        ANY,
    );
    assert_eq!(
        placed.iter().flatten().count(),
        1,
        "the second would be in another zone"
    );
}

#[test]
fn an_image_that_is_there_is_worth_more_than_a_fuller_machine() {
    let mut warm = slot("a", false, 2.0);
    warm.images.insert("i".into());
    let placed = place(&mut [slot("a", false, 1.0), warm], &mut [terms(1.0)], &[0], ANY);
    assert_eq!(placed, [Some(1)]);
}

#[test]
fn a_placed_task_makes_room_for_one_that_fits_nowhere_else() {
    // The first task may go anywhere and prefers the warm machine; the second must have zone a.
    let mut warm = slot("a", false, 1.0);
    warm.images.insert("i".into());
    let mut bound = terms(1.0);
    bound.zone = Some("a".into());
    let placed = place(
        &mut [warm, slot("b", false, 1.0)],
        &mut [terms(2.0), bound],
        &[0, 1],
        ANY,
    );
    assert_eq!(placed, [Some(1), Some(0)]);
}

#[test]
fn guaranteed_tasks_come_before_more_urgent_borrowers() {
    // Guard: whoever stops others for its guarantee gets the room, or both would stop each other in
    // turns (2558 starts for 427 tasks on one simulated day).
    let mut slots = [slot("a", false, 1.0)];
    let mut jobs = [terms(1.9), terms(1.0)];
    let mut room = [ANY];
    let choices = Batch::new(&mut slots, &mut jobs, &mut room, &[0, 1])
        .guaranteed_first(vec![false, true])
        .place(10);
    assert_eq!(choices, [None, Some(0)]);
}

#[test]
fn teams_are_served_in_turn_by_shares() {
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

fn wish(count: u32, service: bool) -> UnplacedTasks {
    let mut terms = terms(1.0);
    terms.spot = !service;
    terms.is_service = service;
    terms.estimate_s = if service { 0.0 } else { 50.0 };
    terms.deadline_s = if service { 0.0 } else { 155.0 };
    let mut wish = UnplacedTasks::new(Partition(0), &terms, service, if service { f64::MAX } else { 100.0 });
    wish.count = count;
    wish
}

fn lane(ready_s: f64, free_gpus: f64, busy: Vec<(f64, Amounts)>) -> MachineTimeline {
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
fn a_booting_machine_counts_even_if_a_busy_one_is_free_sooner() {
    // Guard: a service that may not wait for an array's end was taken for one that nothing waits
    // for, and machines were rented over and over while the first ones booted.
    let types = [machine_type("m", [24.0, 2.0, 100.0], 7.0)];
    let mut wishes = [wish(2, true)];
    let mut lanes = [
        lane(0.0, 0.0, vec![(3.0, [1.0, 1.0, 1.0])]),
        lane(39.0, 2.0, Vec::new()),
    ];
    assign_to_existing_machines(&mut wishes, &mut lanes, &types, &|_| false, 10.0);
    assert_eq!(wishes[0].count, 0);
}

#[test]
fn arrays_that_can_be_in_time_do_not_wait_for_long() {
    let types = [machine_type("m", [24.0, 2.0, 100.0], 7.0)];
    let full = || lane(0.0, 0.0, vec![(60.0, [1.0, 1.0, 1.0])]);
    let mut wishes = [wish(1, false)];
    assign_to_existing_machines(&mut wishes, &mut [full()], &types, &|_| false, f64::MAX);
    assert_eq!(wishes[0].count, 1, "a machine of its own makes it in time");
    let mut wishes = [wish(1, false)];
    wishes[0].slack_s = 10.0;
    wishes[0].deadline_s = 300.0;
    assign_to_existing_machines(&mut wishes, &mut [full()], &types, &|_| false, f64::MAX);
    assert_eq!(
        wishes[0].count, 0,
        "too late for a boot: it waits instead of costing a machine"
    );
}

#[test]
fn renting_counts_on_full_machines_and_avoids_what_was_refused() {
    let types = [
        machine_type("small", [12.0, 2.0, 72.0], 5.0),
        machine_type("large", [48.0, 4.0, 288.0], 13.0),
    ];
    let mut services = wish(1, true);
    services.size = [8.0, 1.0, 43.0];
    let needs = plan_machine_requests(&[services.clone()], Vec::new(), &types, &|_| false, &BTreeMap::new());
    assert_eq!(needs.len(), 1);
    assert_eq!(
        needs[0].model, "large",
        "four share a large one for less than one pays for a small one"
    );
    let refused = |kind: &(String, String, bool)| kind.0 == "large";
    let needs = plan_machine_requests(&[services], Vec::new(), &types, &refused, &BTreeMap::new());
    assert_eq!(needs[0].model, "small");
    let needs = plan_machine_requests(&[wish(3, false)], Vec::new(), &types, &|_| false, &BTreeMap::new());
    assert!(
        needs.iter().all(|n| n.spot),
        "arrays that may use spot machines get them"
    );
}

#[test]
fn estimates_are_corrected_by_what_tasks_of_their_class_took() {
    let body = br#"{"uid":"job-1","consist":"c","crew":"t","shape":"sweep","precedence":"low","wagons":1,"vcpus":1,
        "accelerators":1,"ramGb":1,"stock":"i","sizeGb":1,"together":false,"spread":false,"standby":true,
        "runtimeS":50,"waypointS":0,"stowS":0}"#;
    let (_, spec) = parse_submission(body).expect("well formed");
    let mut learned = EstimateCorrections::default();
    learned.record_run_time(&spec, 100.0);
    assert_eq!(learned.expected_run_s(&spec), 50.0, "one task tells nothing");
    (0..20).for_each(|_| learned.record_run_time(&spec, 100.0));
    assert!((learned.expected_run_s(&spec) - 100.0).abs() < 1e-6);
    (0..400).for_each(|_| learned.record_run_time(&spec, 25.0));
    assert!(learned.expected_run_s(&spec) < 30.0, "older tasks fade");
}

#[test]
fn a_service_leaves_zones_without_a_cheap_kind_to_those_that_may_run_nowhere_else() {
    // Guard: from hanbit-railplan-grown. The first services took all machines of the scarce zones, and
    // the last replicas of later ones, which spreading lets run only there, waited for minutes.
    let mut jobs = [terms(1.0)];
    jobs[0].is_service = true;
    jobs[0].max_tasks_per_zone = Some(2);
    jobs[0].cheap_zones = vec!["a".into()];
    jobs[0].max_tasks_outside_cheap_zones = 2;
    let mut slots = [slot("b", false, 2.0), slot("c", false, 2.0)];
    let chosen = place(&mut slots, &mut jobs, &[0, 0, 0, 0], ANY);
    assert_eq!(
        chosen.iter().flatten().count(),
        2,
        "two wait for the cheap zone: {chosen:?}"
    );
    let mut slots = [slot("a", false, 2.0)];
    let chosen = place(&mut slots, &mut jobs, &[0, 0], ANY);
    assert_eq!(chosen.iter().flatten().count(), 2);
}

#[test]
fn when_not_all_can_be_in_time_the_small_come_first_and_nobody_waits_for_ever() {
    // Guard: order by slack alone gave large jobs the room of several small ones, all late in the end.
    let body = br#"{"uid":"job-000001","consist":"c","crew":"t","shape":"sweep","precedence":"low","wagons":4,
        "vcpus":1.0,"accelerators":1.0,"ramGb":1.0,"stock":"i","sizeGb":1.0,"models":null,"yard":null,
        "together":false,"spread":false,"standby":true,"runtimeS":50.0,"waypointS":0.0,"stowS":0.0,"dueS":155.0}"#;
    let (_, spec) = parse_submission(body).expect("a submission");
    let (small, large) = (0.8, 0.2);
    assert!(urgency(40.0, small, &spec) > urgency(30.0, large, &spec));
    assert!(urgency(5.0, small, &spec) > urgency(60.0, small, &spec));
    // What can still be in time is before what cannot, and that before what is late in any case.
    assert!(urgency(0.0, large, &spec) > urgency(-60.0, small, &spec));
    assert!(urgency(-60.0, large, &spec) > urgency(-500.0, small, &spec));
    // Even the largest begins within four minutes: the time left then is for a boot and a fetch.
    assert_eq!(starvation_age_s(120.0, Shape::Array), 90.0);
    assert_eq!(starvation_age_s(500.0, Shape::Array), 180.0);
    assert_eq!(starvation_age_s(0.0, Shape::Array), 90.0);
    assert_eq!(starvation_age_s(5.0, Shape::Service), 90.0);
}

#[test]
fn what_is_taken_off_wishes_does_not_depend_on_how_lanes_are_looked_at() {
    // Guard: lanes are looked at once for each wish. Zones that fill up, and lanes that come free later
    // than a task may wait, must still be left out.
    let types = [machine_type("m", [24.0, 2.0, 100.0], 7.0)];
    let mut lanes = vec![
        lane(0.0, 0.0, vec![(20.0, [1.0, 1.0, 1.0]), (500.0, [1.0, 1.0, 1.0])]),
        lane(0.0, 2.0, Vec::new()),
        lane(25.0, 2.0, Vec::new()),
    ];
    let mut wishes = [wish(9, false)];
    assign_to_existing_machines(&mut wishes, &mut lanes, &types, &|_| false, f64::MAX);
    // Two at once, one as the first task ends, two on the booting machine; what is placed ends late.
    assert_eq!(wishes[0].count, 4, "{lanes:?}");
    let mut spread = wish(4, true);
    spread.most_per_zone = Some(2);
    let mut wishes = [spread];
    let mut lanes = vec![lane(0.0, 2.0, Vec::new()), lane(0.0, 2.0, Vec::new())];
    assign_to_existing_machines(&mut wishes, &mut lanes, &types, &|_| false, f64::MAX);
    assert_eq!(wishes[0].count, 2, "the zone takes two");
}

fn gang(tasks: f64) -> JobTerms {
    JobTerms {
        is_gang: true,
        one_zone: true,
        size: [8.0, 0.0, 1.0],
        rank: tasks,
        ..terms(1.0)
    }
}

#[test]
fn a_gang_is_placed_whole_in_one_zone_or_not_at_all() {
    // Guard: the sum of all room is no room for a gang, neither over zones nor over a limit.
    let zones = ["a", "a", "b", "b", "b"];
    let mut slots: Vec<MachineSlot> = zones.iter().map(|z| slot(z, false, 0.0)).collect();
    slots[0].free[0] = 8.0;
    let placed = place(&mut slots.clone(), &mut [gang(1.0)], &[0; 7], ANY);
    let used: Vec<Option<&str>> = placed.iter().map(|p| p.and_then(|p| zones.get(p).copied())).collect();
    assert_eq!(used, [Some("b"); 7]);
    assert_eq!(place(&mut slots.clone(), &mut [gang(1.0)], &[0; 10], ANY), [None; 10]);
    let mut tight = ANY;
    tight[0] = 50.0;
    assert_eq!(place(&mut slots.clone(), &mut [gang(1.0)], &[0; 7], tight), [None; 7]);
    // What it cannot use goes to others at once.
    let both = place(
        &mut slots,
        &mut [gang(2.0), terms(1.0)],
        &[0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1],
        ANY,
    );
    assert_eq!(both[..10], [None; 10]);
}

#[test]
fn a_gang_keeps_off_machines_that_fail_while_others_have_room() {
    let mut slots = vec![slot("a", false, 0.0), slot("a", false, 0.0)];
    slots[1].recent_failures = 1.0;
    assert_eq!(place(&mut slots, &mut [gang(1.0)], &[0, 0], ANY), [Some(0), Some(0)]);
}
