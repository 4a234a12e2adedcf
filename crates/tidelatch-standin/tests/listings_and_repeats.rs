//! Seeded runs in which controllers keep losing the state service and list the shared keys anew, page by page, while
//! machines change hands, owners come and go, and direct commands and transactions are delivered again at any age.
//!
//! Guards against states that a listing shows and that never were, and against whatever takes a message for too old to
//! come. The checker of the simulation checks all rules.

use serde_json::json;
use tidelatch_standin::support::assert_no_breaches;
use tidelatch_standin::{Delivery, Message, World, job};

/// Seeds of the runs.
const SEEDS: std::ops::Range<u64> = 1..31;
/// Simulated time of each run in milliseconds.
const RUN_MS: u64 = 360_000;
/// Share of the direct commands that are delivered again.
const REPEATED_COMMANDS: f64 = 0.2;
/// Share of the transactions that are delivered again, and of those that are carried out late.
const REPEATED_TRANSACTIONS: f64 = 0.05;

/// A network on which one controller at a time loses the state service now and then, pages of lists come late, and
/// messages are delivered again up to five minutes later.
fn unreliable_network(seed: u64) -> impl FnMut(&Message<'_>) -> Delivery + 'static {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut cut_controller = String::new();
    let mut cut = 0..0;
    let mut next_cut_ms = 20_000;
    move |message| {
        if message.sent_ms >= next_cut_ms {
            cut_controller = format!("berth-{}", random.usize(0..3));
            cut = message.sent_ms..message.sent_ms + random.u64(300..5_000);
            next_cut_ms = cut.end + random.u64(3_000..15_000);
        }
        if message.to == "state" && message.from == cut_controller && cut.contains(&message.sent_ms) {
            return Delivery::Reset;
        }
        let share = random.f64();
        if message.request == "POST /commands" && share < REPEATED_COMMANDS {
            return Delivery::Copied(random.u64(500..300_000));
        }
        if message.request == "POST /txn" && share < REPEATED_TRANSACTIONS {
            return Delivery::Copied(random.u64(500..300_000));
        }
        if message.request == "POST /txn" && share < 2.0 * REPEATED_TRANSACTIONS {
            return Delivery::Late(random.u64(100..8_000));
        }
        if message.request.starts_with("GET /store?") {
            return Delivery::Slow(random.u64(2..300));
        }
        Delivery::Pass
    }
}

/// Submits a job of a random team and shape.
fn submit_random_job(world: &mut World, random: &mut fastrand::Rng, number: u32) {
    let shape = if random.u32(0..4) == 0 { "standing" } else { "sweep" };
    let mut submission = job(number, random.u32(0..3), shape, random.u32(1..4));
    if random.u32(0..3) == 0 {
        submission["precedence"] = json!("low");
    }
    world.submit(random.usize(0..3), &submission);
}

/// Plays one run.
fn play(seed: u64) -> World {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut world = World::new();
    world.cloud.max_machines = random.usize(2..6);
    world.cloud.boot_ms = 1500;
    world.run_ms = random.u64(5_000..60_000);
    world.has_uneven_run_times = true;
    world.store.max_page_keys = Some(random.usize(1..5));
    world.run_for(3000);
    world.set_fault_injector(unreliable_network(seed));
    let mut number = 0;
    while world.now < RUN_MS {
        world.run_for(random.u64(200..4_000));
        match random.u32(0..20) {
            0..=7 => {
                number += 1;
                submit_random_job(&mut world, &mut random, number);
            }
            8..=13 if number > 0 => {
                let cancelled = random.u32(1..=number);
                world.cancel(random.usize(0..3), &format!("job-{cancelled:06}"));
            }
            14 => {
                let controller = random.usize(0..3);
                world.crash_controller(controller);
                world.run_for(random.u64(100..9_000));
                world.start_controller(controller);
            }
            15 => {
                let controller = random.usize(0..3);
                world.pause(controller);
                world.run_for(random.u64(500..6_000));
                world.store.compacted_revision = world.store.revision();
                world.resume(controller);
            }
            _ => {}
        }
    }
    world.clear_fault_injector();
    // The last repeats arrive.
    world.run_for(120_000);
    world
}

#[test]
fn listings_between_changes_and_repeats_at_any_age_break_no_rule() {
    for seed in SEEDS {
        let world = play(seed);
        println!(
            "seed {seed}: {} hand-overs with tasks, {} epochs, {} breaches",
            world.trace().matches(" tasks on it").count(),
            world.epoch(),
            world.breaches.len()
        );
        assert_no_breaches(&world);
    }
}
