//! Drains under random faults that follow each other, chosen by seed: controllers crash, pause and are disconnected,
//! messages are lost, delayed and duplicated, and machines are lost.
//!
//! Guards against combinations of faults in which a budget is exceeded, or a drain does not end after the last fault.
//! `SEED` in the environment runs one seed only.

mod drain_support;

use drain_support::{Deployment, with_drain};
use fastrand::Rng;
use serde_json::json;
use std::ops::Range;
use tidelatch_standin::Delivery;
use tidelatch_standin::faults::{self, FaultInjector, StateServiceSide};

/// Faults that are injected in the run of a seed.
const FAULTS_PER_RUN: usize = 8;

/// Delays or duplicates direct commands by up to 20 s, or loses their answers, each with this probability.
fn delayed_commands(seed: u64, probability: f64) -> FaultInjector {
    let mut rng = Rng::with_seed(seed);
    Box::new(move |message| {
        if !message.request.starts_with("POST /commands") || rng.f64() >= probability {
            return Delivery::Pass;
        }
        match rng.u32(0..3) {
            0 => Delivery::AnswerLost,
            1 => Delivery::Copied(rng.u64(500..20_000)),
            _ => Delivery::Late(rng.u64(500..20_000)),
        }
    })
}

/// Chooses a fault of the network.
fn random_network_fault(rng: &mut Rng, controllers: usize) -> FaultInjector {
    let seed = rng.u64(..);
    let controller = rng.usize(..controllers);
    match rng.u32(0..8) {
        0 => faults::isolate_controller(controller),
        1 => faults::refuse_state_requests(controller),
        2 => faults::partition_controllers(&[controller, (controller + 1) % controllers], StateServiceSide::Both),
        3 => faults::cut_direction(controller, (controller + 1) % controllers),
        4 => faults::unreliable_peer_network(seed),
        5 => faults::lose_transaction_answers(seed, 0.4),
        6 => faults::combine(vec![
            faults::duplicate_reports(seed, 0.3),
            faults::delay_transactions(seed, 0.2),
        ]),
        _ => delayed_commands(seed, 0.5),
    }
}

/// Injects one fault, lets some time pass and ends the fault.
fn inject_random_fault(deployment: &mut Deployment, rng: &mut Rng) {
    let controllers = deployment.controllers;
    let controller = rng.usize(..controllers);
    let duration_ms = rng.u64(500..12_000);
    match rng.u32(0..10) {
        0 | 1 => {
            // Two controllers crash, the second up to 3 s after the first.
            let other = (controller + 1) % controllers;
            deployment.world.crash_controller(controller);
            deployment.run(rng.u64(0..3_000));
            deployment.world.crash_controller(other);
            deployment.run(duration_ms);
            deployment.world.start_controller(controller);
            deployment.world.start_controller(other);
        }
        2 | 3 => {
            deployment.world.pause(controller);
            deployment.run(duration_ms);
            deployment.world.resume(controller);
        }
        4 => {
            deployment.world.store.is_down = true;
            deployment.run(duration_ms / 2);
            deployment.world.store.is_down = false;
        }
        5 => {
            let machines: Vec<String> = deployment.world.workers.keys().cloned().collect();
            if let Some(machine) = rng.choice(machines) {
                deployment.lose_machine(&machine);
            }
            deployment.run(duration_ms);
        }
        _ => {
            let injector = random_network_fault(rng, controllers);
            deployment.world.set_fault_injector(injector);
            deployment.run(duration_ms);
            if rng.bool() {
                deployment.world.crash_controller(controller);
                deployment.run(rng.u64(100..3_000));
                deployment.world.start_controller(controller);
            }
            deployment.world.clear_fault_injector();
        }
    }
}

/// Runs a drain with the faults of a seed and checks that it ends within the budgets.
fn run_seed(seed: u64) {
    let mut rng = Rng::with_seed(seed);
    let controllers = rng.usize(3..6);
    let mut deployment = Deployment::start(controllers);
    let drain = json!({
        "name": "all",
        "surge": rng.u32(0..3),
        "max_machines": rng.u32(1..5),
        "patience_s": 30.0,
    });
    deployment.restart_all(&with_drain(&drain));
    deployment.run(rng.u64(5_000..20_000));
    deployment.submit_array(901, rng.u32(..controllers as u32), 4);
    for _ in 0..FAULTS_PER_RUN {
        inject_random_fault(&mut deployment, &mut rng);
        deployment.run(rng.u64(500..10_000));
    }
    deployment.assert_drain_ends("all", &format!("seed {seed}, {controllers} controllers, {drain}"));
}

/// Runs each seed of a range, or only the one in `SEED`.
fn run_seeds(seeds: Range<u64>) {
    let only: Option<u64> = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok());
    seeds
        .filter(|seed| only.is_none_or(|only| only == *seed))
        .for_each(run_seed);
}

// Several tests with 25 seeds each, so that they run in parallel.

#[test]
fn no_budget_is_exceeded_and_each_drain_ends_seeds_1_to_25() {
    run_seeds(1..26);
}

#[test]
fn no_budget_is_exceeded_and_each_drain_ends_seeds_26_to_50() {
    run_seeds(26..51);
}

#[test]
fn no_budget_is_exceeded_and_each_drain_ends_seeds_51_to_75() {
    run_seeds(51..76);
}

#[test]
fn no_budget_is_exceeded_and_each_drain_ends_seeds_76_to_100() {
    run_seeds(76..101);
}

#[test]
fn no_budget_is_exceeded_and_each_drain_ends_seeds_101_to_125() {
    run_seeds(101..126);
}

#[test]
fn no_budget_is_exceeded_and_each_drain_ends_seeds_126_to_150() {
    run_seeds(126..151);
}

#[test]
fn no_budget_is_exceeded_and_each_drain_ends_seeds_151_to_175() {
    run_seeds(151..176);
}

#[test]
fn no_budget_is_exceeded_and_each_drain_ends_seeds_176_to_200() {
    run_seeds(176..201);
}
