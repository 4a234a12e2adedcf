//! Drains under several faults at once, chosen by seed: controllers end, pause and are cut off, messages are lost, late and
//! copied, machines are lost. No budget is exceeded, and each drain ends once the faults have.

mod drain_support;

use drain_support::{Deployment, with_drain};
use fastrand::Rng;
use serde_json::json;
use std::ops::Range;
use tidelatch_standin::Delivery;
use tidelatch_standin::faults::{self, FaultInjector, StateServiceSide};

/// Faults in a history.
const FAULTS: usize = 8;

/// A share of direct commands is carried out up to 20 s late, or carried out without an answer.
fn late_commands(seed: u64, share: f64) -> FaultInjector {
    let mut rng = Rng::with_seed(seed);
    Box::new(move |message| {
        if !message.what.starts_with("POST /commands") || rng.f64() >= share {
            return Delivery::Pass;
        }
        match rng.u32(0..3) {
            0 => Delivery::AnswerLost,
            1 => Delivery::Copied(rng.u64(500..20_000)),
            _ => Delivery::Late(rng.u64(500..20_000)),
        }
    })
}

/// A fault in the network for a while.
fn network_fault(rng: &mut Rng, controllers: usize) -> FaultInjector {
    let seed = rng.u64(..);
    let node = rng.usize(..controllers);
    match rng.u32(0..8) {
        0 => faults::cut_off(node),
        1 => faults::refused(node),
        2 => faults::split(&[node, (node + 1) % controllers], StateServiceSide::Both),
        3 => faults::one_way(node, (node + 1) % controllers),
        4 => faults::rough_peer_network(seed),
        5 => faults::lost_answers(seed, 0.4),
        6 => faults::all(vec![faults::late_copies(seed, 0.3), faults::late_writes(seed, 0.2)]),
        _ => late_commands(seed, 0.5),
    }
}

/// One fault, and some time with it.
fn play_fault(deployment: &mut Deployment, rng: &mut Rng) {
    let controllers = deployment.controllers;
    let node = rng.usize(..controllers);
    let time_ms = rng.u64(500..12_000);
    match rng.u32(0..10) {
        0 | 1 => {
            // Two of them end, the second a moment later.
            let other = (node + 1) % controllers;
            deployment.world.crash(node);
            deployment.run(rng.u64(0..3_000));
            deployment.world.crash(other);
            deployment.run(time_ms);
            deployment.world.start(node);
            deployment.world.start(other);
        }
        2 | 3 => {
            deployment.world.freeze(node);
            deployment.run(time_ms);
            deployment.world.thaw(node);
        }
        4 => {
            deployment.world.store.down = true;
            deployment.run(time_ms / 2);
            deployment.world.store.down = false;
        }
        5 => {
            let machines: Vec<String> = deployment.world.workers.keys().cloned().collect();
            if let Some(machine) = rng.choice(machines) {
                deployment.lose_machine(&machine);
            }
            deployment.run(time_ms);
        }
        _ => {
            let injector = network_fault(rng, controllers);
            deployment.world.meddle(injector);
            deployment.run(time_ms);
            if rng.bool() {
                deployment.world.crash(node);
                deployment.run(rng.u64(100..3_000));
                deployment.world.start(node);
            }
            deployment.world.calm();
        }
    }
}

fn play(seed: u64) {
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
    for _ in 0..FAULTS {
        play_fault(&mut deployment, &mut rng);
        deployment.run(rng.u64(500..10_000));
    }
    deployment.assert_ends("all", &format!("seed {seed}, {controllers} controllers, {drain}"));
}

fn play_all(seeds: Range<u64>) {
    let only: Option<u64> = std::env::var("SEED").ok().and_then(|seed| seed.parse().ok());
    seeds
        .filter(|seed| only.is_none_or(|only| only == *seed))
        .for_each(play);
}

// Several tests, so that they run beside each other.

#[test]
fn no_budget_is_exceeded_and_each_drain_ends_seeds_1_to_25() {
    play_all(1..26);
}

#[test]
fn no_budget_is_exceeded_and_each_drain_ends_seeds_26_to_50() {
    play_all(26..51);
}

#[test]
fn no_budget_is_exceeded_and_each_drain_ends_seeds_51_to_75() {
    play_all(51..76);
}

#[test]
fn no_budget_is_exceeded_and_each_drain_ends_seeds_76_to_100() {
    play_all(76..101);
}

#[test]
fn no_budget_is_exceeded_and_each_drain_ends_seeds_101_to_125() {
    play_all(101..126);
}

#[test]
fn no_budget_is_exceeded_and_each_drain_ends_seeds_126_to_150() {
    play_all(126..151);
}

#[test]
fn no_budget_is_exceeded_and_each_drain_ends_seeds_151_to_175() {
    play_all(151..176);
}

#[test]
fn no_budget_is_exceeded_and_each_drain_ends_seeds_176_to_200() {
    play_all(176..201);
}
