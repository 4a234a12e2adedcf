//! Controllers that suspect each other: what a suspicion leads to, and what it never does. The rules are checked with
//! every event: no two controllers ever act for a partition.

use tidelatch_core::settings::{FailureDetection, Operator};
use tidelatch_standin::faults::{self, StateServiceSide};
use tidelatch_standin::support::{assert_no_breaches, assert_trace, is_done};
use tidelatch_standin::{Size, World, job};

/// A controller's lease in the stand-in's deployment.
const LEASE_MS: u64 = 7_200;

fn detecting() -> Operator {
    Operator {
        failure_detection: Some(FailureDetection::default()),
        ..Operator::default()
    }
}

/// A deployment with a service and an array of each team, which run.
fn busy_world(controllers: usize, operator: &Operator) -> World {
    let size = Size {
        controllers,
        teams: controllers as u32,
        limit: 20.0,
        write_rps: 200.0,
        ..Size::default()
    };
    let mut world = World::sized(operator, size);
    world.cloud.most = 60;
    world.run(5_000);
    for team in 0..controllers as u32 {
        world.accepted(0, &job(team, team, "standing", 2));
        world.accepted(0, &job(100 + team, team, "sweep", 6));
    }
    let started = |w: &World| (0..controllers).all(|team| w.running(&format!("job-{team:06}")) == 2);
    assert!(world.run_until(60_000, started), "{}", world.trace());
    world
}

/// All that was accepted runs, or is done, once the faults are over.
fn assert_recovers(world: &mut World, controllers: usize) {
    world.calm();
    let recovered = |w: &World| {
        (0..controllers)
            .all(|team| w.running(&format!("job-{team:06}")) == 2 && is_done(w, &format!("job-{:06}", 100 + team)))
    };
    assert!(world.run_until(150_000, recovered), "{}", world.trace());
    assert_no_breaches(world);
}

fn lines(world: &World, text: &str) -> usize {
    world.trace().lines().filter(|line| line.contains(text)).count()
}

fn time_of(world: &World, text: &str) -> f64 {
    let line = world.trace().lines().find(|line| line.contains(text));
    let time = line.and_then(|line| line.split_whitespace().next());
    time.and_then(|time| time.parse().ok())
        .unwrap_or_else(|| panic!("no line with `{text}`:\n{}", world.trace()))
}

/// What the controllers did, without what they say of suspicions.
fn decisions(world: &World) -> Vec<&str> {
    const OF_DETECTION: [&str; 6] = [
        "suspect",
        "prepar",
        "confirmed as gone",
        "is back, life",
        "at fault",
        "refuted",
    ];
    let of_detection = |line: &&str| OF_DETECTION.iter().any(|word| line.contains(word));
    world.trace().lines().filter(|line| !of_detection(line)).collect()
}

#[test]
fn a_dead_controller_is_suspected_then_confirmed_and_its_heir_is_prepared() {
    let mut world = busy_world(3, &detecting());
    let owner = world.owner_of_team(1);
    world.crash(owner);
    world.run(20_000);
    let crashed = time_of(&world, &format!("berth-{owner} crashes"));
    let suspected = time_of(&world, &format!("suspects berth-{owner}"));
    let prepared = time_of(&world, "prepared to take over");
    let confirmed = time_of(&world, &format!("berth-{owner} is confirmed as gone"));
    let lease_s = LEASE_MS as f64 / 1000.0;
    assert!(crashed < suspected && suspected < prepared && prepared < confirmed);
    assert!(suspected < crashed + lease_s / 1.5, "{}", suspected - crashed);
    assert!(confirmed < crashed + lease_s + 1.0, "{}", confirmed - crashed);
    assert!(world.sent.connections_ahead > 0);
    assert_recovers(&mut world, 3);
    assert_trace(&world, "suspected_then_confirmed");
}

#[test]
fn records_that_change_after_they_were_read_ahead_are_as_fresh_as_if_read_at_the_take_over() {
    let play = |operator: &Operator| {
        let mut world = busy_world(3, operator);
        world.uneven = true;
        let owner = world.owner_of_team(1);
        world.accepted(owner, &job(201, 1, "sweep", 40));
        world.run(6_000);
        // Its siblings suspect the owner, which goes on with its work and stores what is done, and then ends.
        let others: Vec<usize> = (0..3).filter(|node| *node != owner).collect();
        world.meddle(faults::split(&others, StateServiceSide::Both));
        world.run(10_000);
        world.crash(owner);
        world.run(500);
        world.calm();
        assert!(
            world.run_until(150_000, |w| is_done(w, "job-000201")),
            "{}",
            world.trace()
        );
        assert_no_breaches(&world);
        world
    };
    let (with, without) = (play(&detecting()), play(&Operator::default()));
    let prepared = with.trace().lines().find(|line| line.contains("prepared to take over"));
    assert!(
        prepared.is_some_and(|line| !line.contains(" 0 records")),
        "{prepared:?}"
    );
    // Guard: with old records, tasks that are done would be started again.
    assert_eq!(with.checker().start_orders(), without.checker().start_orders());
    assert_recovers_from(with);
}

fn assert_recovers_from(mut world: World) {
    assert_recovers(&mut world, 3);
}

#[test]
fn pauses_round_the_lease_end_nothing_that_was_not_fenced() {
    for pause_ms in [LEASE_MS - 300, LEASE_MS, LEASE_MS + 300, 3 * LEASE_MS] {
        for again in [1, 3] {
            let mut world = busy_world(3, &detecting());
            for _ in 0..again {
                // The leader, which owns a partition too.
                let leader = world.leader().expect("there is a leader");
                world.freeze(leader);
                world.run(pause_ms);
                world.thaw(leader);
                world.run(4_000);
            }
            assert_recovers(&mut world, 3);
            assert!(lines(&world, "suspects berth-") > 0, "{}", world.trace());
        }
    }
}

#[test]
fn leader_and_owner_pause_together_and_in_the_middle_of_an_election() {
    for pause_ms in [LEASE_MS - 300, LEASE_MS + 300, 2 * LEASE_MS] {
        let mut world = busy_world(4, &detecting());
        let leader = world.leader().expect("there is a leader");
        let owner = (leader + 1) % 4;
        world.freeze(leader);
        world.run(500);
        world.freeze(owner);
        world.run(pause_ms);
        // The other two are in the middle of a take-over by now, or have done with it.
        world.thaw(owner);
        world.run(200);
        let next = world.leader().unwrap_or(leader);
        world.freeze(next);
        world.run(2_000);
        world.thaw(next);
        world.thaw(leader);
        assert_recovers(&mut world, 4);
    }
}

#[test]
fn a_leader_that_pauses_beyond_its_lease_comes_back_with_nothing_of_before() {
    let mut world = busy_world(3, &detecting());
    let leader = world.leader().expect("there is a leader");
    world.freeze(leader);
    world.run(LEASE_MS + 300);
    // Requests that lie in its buffers until it goes on.
    world.submit(leader, &job(301, 0, "sweep", 2));
    world.withdraw(leader, "job-000100");
    world.run(2_000);
    world.thaw(leader);
    world.run(20_000);
    assert_no_breaches(&world);
    assert_trace(&world, "suspected_while_paused_beyond_its_lease");
}

/// A deployment whose few machines all run a team's long array.
fn world_without_free_machines() -> World {
    let size = Size {
        limit: 20.0,
        ..Size::default()
    };
    let mut world = World::sized(&detecting(), size);
    world.cloud.most = 4;
    world.run_ms = 60_000;
    world.run(3_000);
    world.accepted(0, &job(101, 1, "sweep", 8));
    let full = |w: &World| w.running("job-000101") == 8;
    assert!(world.run_until(30_000, full), "{}", world.trace());
    world
}

#[test]
fn an_owner_that_pauses_while_machines_change_hands_loses_and_doubles_none() {
    // Production work of one partition gets machines that another one vacates; that owner pauses at every step.
    let mut handed_over = 0;
    for paused_after_ms in (200..3_600).step_by(200) {
        let mut world = world_without_free_machines();
        world.accepted(0, &job(1, 0, "standing", 4));
        world.run(paused_after_ms);
        let owner = world.owner_of_team(1);
        world.freeze(owner);
        world.run(LEASE_MS + 300);
        world.thaw(owner);
        let recovered = |w: &World| w.running("job-000001") == 4 && is_done(w, "job-000101");
        assert!(world.run_until(240_000, recovered), "{}", world.trace());
        assert_no_breaches(&world);
        let mut roster = world.roster();
        let machines = roster.len();
        roster.sort();
        roster.dedup();
        assert_eq!(
            roster.len(),
            machines,
            "a machine stands in two groups: {}",
            world.trace()
        );
        handed_over += lines(&world, "goes to partition");
    }
    assert!(handed_over > 0, "no machine changed hands");
}

#[test]
fn a_slow_controller_is_suspected_by_nobody_for_long_and_loses_nothing() {
    // It runs for a tenth of a second in each second, as at a full share of its processor.
    let mut world = busy_world(4, &detecting());
    let epoch = world.epoch();
    for _ in 0..60 {
        world.freeze(3);
        world.run(900);
        world.thaw(3);
        world.run(100);
    }
    assert_eq!(world.epoch(), epoch, "{}", world.trace());
    assert_eq!(lines(&world, "is confirmed as gone"), 0);
    assert!(lines(&world, "suspects berth-3") <= 3, "{}", world.trace());
    assert_recovers(&mut world, 4);
}

#[test]
fn a_suspicion_that_is_refuted_leaves_no_trace_in_decisions() {
    let play = |operator: &Operator| {
        let mut world = busy_world(3, operator);
        for node in [0, 1, 2] {
            world.freeze(node);
            // Its last extension may have been a quarter of the lease ago.
            world.run(LEASE_MS * 2 / 3);
            world.thaw(node);
            world.run(10_000);
        }
        world.run(30_000);
        assert_no_breaches(&world);
        world
    };
    let (with, without) = (play(&detecting()), play(&Operator::default()));
    assert!(lines(&with, "is no longer suspected") >= 6, "{}", with.trace());
    assert_eq!(lines(&with, "is confirmed as gone"), 0);
    assert!(lines(&with, "preparation to take over dropped") >= 1);
    assert_trace(&with, "suspicions_that_are_refuted");
    assert_eq!(decisions(&with), decisions(&without));
}

#[test]
fn an_even_split_lets_at_most_one_side_act() {
    for (controllers, named) in [(4, vec![0, 1]), (6, vec![0, 1, 2])] {
        for state in [
            StateServiceSide::Named,
            StateServiceSide::Both,
            StateServiceSide::Neither,
        ] {
            let mut world = busy_world(controllers, &detecting());
            let epoch = world.epoch();
            world.note(&format!("split, state service: {state:?}"));
            world.meddle(faults::split(&named, state));
            world.run(3 * LEASE_MS);
            match state {
                // Guard: a suspicion, and a majority, take nothing over.
                StateServiceSide::Both | StateServiceSide::Neither => {
                    assert_eq!(world.epoch(), epoch, "{}", world.trace());
                    assert_eq!(lines(&world, "is confirmed as gone"), 0);
                }
                StateServiceSide::Named => {
                    assert!(world.epoch() > epoch);
                    assert!(
                        named.contains(&world.owner_of_team(controllers - 1)),
                        "{}",
                        world.trace()
                    );
                }
            }
            assert!(lines(&world, "suspects berth-") > 0, "{}", world.trace());
            if controllers == 4 {
                let state = format!("{state:?}").to_lowercase();
                assert_trace(&world, &format!("even_split_state_service_{state}"));
            }
            assert_recovers(&mut world, controllers);
        }
    }
}

#[test]
fn a_split_that_heals_at_any_step_of_a_take_over_costs_nothing_that_was_accepted() {
    // From before the suspicion until the new owners act.
    for healed_after_ms in (1_000..=11_000).step_by(1_000) {
        let mut world = busy_world(4, &detecting());
        world.meddle(faults::split(&[0, 1], StateServiceSide::Named));
        world.run(healed_after_ms);
        world.calm();
        assert_recovers(&mut world, 4);
    }
}

#[test]
fn a_controller_that_one_sibling_does_not_hear_is_not_suspected() {
    let mut world = busy_world(4, &detecting());
    world.meddle(faults::one_way(3, 0));
    world.run(60_000);
    assert_eq!(lines(&world, "suspects berth-"), 0, "{}", world.trace());
    assert_trace(&world, "not_heard_by_one_sibling");
    assert_recovers(&mut world, 4);
}

#[test]
fn delayed_lost_copied_and_overtaken_heartbeats_confirm_nobody() {
    for seed in 1..=5 {
        let mut world = busy_world(4, &detecting());
        let epoch = world.epoch();
        world.meddle(faults::rough_peer_network(seed));
        world.run(120_000);
        assert_eq!(
            lines(&world, "is confirmed as gone"),
            0,
            "seed {seed}: {}",
            world.trace()
        );
        assert_eq!(world.epoch(), epoch);
        assert_recovers(&mut world, 4);
    }
}

#[test]
fn controllers_that_detect_and_others_that_do_not_work_together() {
    let mut world = busy_world(3, &Operator::default());
    for node in [0, 2] {
        world.operator(node, &detecting());
        world.crash(node);
        world.run(1_000);
        world.start(node);
        world.run(10_000);
    }
    // Only two of them tell of themselves: the third is heard by nobody's detector, and blamed for nothing.
    assert_eq!(lines(&world, "suspects berth-1"), 0, "{}", world.trace());
    world.crash(2);
    world.run(15_000);
    assert_eq!(lines(&world, "suspects berth-2"), 1, "{}", world.trace());
    world.start(2);
    assert_recovers(&mut world, 3);
}
