//! Property tests on random networks with delays, losses, duplicates, crashes and pauses, with fixed seeds.

mod support;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use support::{Cluster, LEASE_MS, heartbeat};
use tidelatch_failure_detector::{Event, HeartbeatTrigger, MemberState, Policy};

/// Number of cases per property.
const CASES: u32 = 64;

/// A runner that generates the same cases in every run.
fn runner() -> TestRunner {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// A fault of a member, its network links or the store, or the end of one.
#[derive(Debug, Clone, Copy)]
enum Fault {
    Crash,
    Restart,
    RestartUnregistered(u64),
    Pause,
    Resume,
    CutTo(usize),
    HealTo(usize),
    StoreDown,
    StoreUp,
    Duplicate(u64),
}

fn any_fault_history(size: usize) -> impl Strategy<Value = Vec<(u64, usize, Fault)>> {
    let fault = prop_oneof![
        Just(Fault::Crash),
        Just(Fault::Restart),
        (0u64..20_000).prop_map(Fault::RestartUnregistered),
        Just(Fault::Pause),
        Just(Fault::Resume),
        (0..size).prop_map(Fault::CutTo),
        (0..size).prop_map(Fault::HealTo),
        Just(Fault::StoreDown),
        Just(Fault::StoreUp),
        (1u64..50).prop_map(Fault::Duplicate),
    ];
    prop::collection::vec((100u64..6_000, 0..size, fault), 1..40)
}

fn apply(cluster: &mut Cluster, member: usize, fault: Fault) {
    match fault {
        Fault::Crash => cluster.crash(member),
        Fault::Restart => cluster.restart(member),
        Fault::RestartUnregistered(after_ms) => cluster.restart_unregistered(member, after_ms),
        Fault::Pause => cluster.pause_if_running(member),
        Fault::Resume => cluster.resume_if_paused(member),
        Fault::CutTo(other) => cluster.cut_one_way(member, other),
        Fault::HealTo(other) => cluster.heal(member, other),
        Fault::StoreDown => cluster.store.reachable = false,
        Fault::StoreUp => cluster.store.reachable = true,
        Fault::Duplicate(sequence) => {
            let other = (member + 1) % cluster.detectors.len();
            let name = support::name_of(member).as_str().to_owned();
            let duplicate = heartbeat(&name, cluster.incarnation(member), sequence);
            let now_ms = cluster.now_ms;
            let _ = cluster.detectors[other].on_heartbeat(now_ms, HeartbeatTrigger::Scheduled, &duplicate);
        }
    }
}

/// Runs a cluster through a history of faults.
fn run_history(history: Vec<(u64, usize, Fault)>) -> Cluster {
    let mut cluster = Cluster::new(4, Policy::default());
    cluster.run(10_000);
    for (after_ms, member, fault) in history {
        apply(&mut cluster, member, fault);
        cluster.run(after_ms);
    }
    cluster
}

#[test]
fn member_is_confirmed_only_after_it_lost_its_registration() {
    let property = |history: Vec<(u64, usize, Fault)>| {
        let cluster = run_history(history);
        prop_assert!(
            cluster.false_confirmations().is_empty(),
            "{:?}",
            cluster.false_confirmations()
        );
        Ok(())
    };
    runner()
        .run(&any_fault_history(4), property)
        .expect("the property holds");
}

#[test]
fn after_recovery_running_members_are_alive_and_crashed_members_are_confirmed() {
    let property = |history: Vec<(u64, usize, Fault)>| {
        let mut cluster = run_history(history);
        cluster.heal_all();
        cluster.crash(3);
        cluster.run(12 * LEASE_MS);
        for observer in 0..3 {
            for other in (0..3).filter(|other| *other != observer) {
                prop_assert_eq!(cluster.state(observer, other), Some(MemberState::Alive));
            }
            let crashed_state = cluster.state(observer, 3);
            prop_assert!(
                matches!(crashed_state, Some(MemberState::Confirmed(_))),
                "{:?}",
                crashed_state
            );
        }
        Ok(())
    };
    runner()
        .run(&any_fault_history(4), property)
        .expect("the property holds");
}

#[test]
fn delays_of_up_to_half_a_heartbeat_raise_no_suspicion() {
    let property = |(size, seed): (usize, u64)| {
        let mut cluster = Cluster::new(size, Policy::default());
        cluster.delay_up_to(500, seed);
        cluster.run(300_000);
        prop_assert_eq!(cluster.count_events(|e| matches!(e, Event::Suspected { .. })), 0);
        Ok(())
    };
    runner()
        .run(&(3usize..8, any::<u64>()), property)
        .expect("the property holds");
}
