//! Cancellations that meet an outage: whoever feeds the workers then has to know of them. The gap: the state
//! service refuses one controller alone, another confirms cancellations, and then it is down for all for longer
//! than a cancellation has, while workers go on reporting to the first.

use std::cell::Cell;
use std::rc::Rc;
use tidelatch_core::settings::Features;
use tidelatch_standin::{CANCEL_MS, Delivery, World, job};

/// What becomes of the controller that confirmed, once the outage has begun.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Confirmer {
    Lives,
    Freezes,
    /// It ends, and is back within some milliseconds, knowing nothing.
    Ends(u64),
    EndsForGood,
    /// So do both that are not refused: whoever is left has grants only of those who know nothing.
    BothEnd(u64),
}

/// Greetings that are lost from shortly before the cancellations until the confirmer's fate.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Greetings {
    Pass,
    /// Those to and from the refused controller.
    LostToRefused,
    LostToAll,
}

/// One spacing of the two troubles.
#[derive(Debug, Clone, Copy)]
struct Gap {
    /// The refusal begins so long before the outage.
    refused_ms: u64,
    /// The cancellations are asked for so long before the outage.
    asked_ms: u64,
    outage_ms: u64,
    confirmer: Confirmer,
    greetings: Greetings,
    /// Workers are reached by the refused controller only, also for direct commands.
    captive: bool,
}

/// Plays the gap: job 1 is of the refused controller's team, job 2 of the confirming one's.
fn play(gap: Gap, features: Features) -> World {
    let mut world = World::new();
    for node in 0..3 {
        world.crash(node);
        world.version(node, features);
        world.start(node);
    }
    world.run_ms = 300_000;
    world.run(3000);
    for team in 0..3 {
        world.accepted(0, &job(team + 1, team, "sweep", 3));
    }
    let all_run = |w: &World| (1..=3).all(|j| w.running(&format!("job-00000{j}")) == 3);
    assert!(world.run_until(40_000, all_run), "{}", world.trace());
    let refused = world.owner_of_team(0);
    let confirming = world.owner_of_team(1);
    assert_ne!(refused, confirming);
    let name = format!("berth-{refused}");
    world.note(&format!("the state service refuses {name}"));
    for w in world.workers.values_mut() {
        w.node = refused;
    }
    let captive = gap.captive;
    let silent = Rc::new(Cell::new(false));
    let lost = silent.clone();
    world.meddle(move |l| {
        let worker = |who: &str| who.starts_with("n-");
        let elsewhere = captive && ((worker(l.from) && l.to != name) || (worker(l.to) && l.from != name));
        let unheard = match gap.greetings {
            Greetings::Pass => false,
            Greetings::LostToRefused => l.from == name || l.to == name,
            Greetings::LostToAll => true,
        };
        let greeting = l.what == "hello" && lost.get() && unheard;
        if elsewhere || greeting {
            Delivery::Lost
        } else if l.from == name && l.to == "state" {
            Delivery::Refused
        } else {
            Delivery::Pass
        }
    });
    world.run(gap.refused_ms.saturating_sub(gap.asked_ms));
    silent.set(true);
    let owner = world.owner_of_team(0);
    world.withdraw(confirming, "job-000002");
    if owner != refused {
        // By then the refused controller's teams are in other hands.
        world.withdraw(owner, "job-000001");
    }
    world.run(gap.asked_ms);
    world.note("the state service is down");
    world.store.down = true;
    world.run(20);
    silent.set(gap.greetings == Greetings::LostToRefused && gap.confirmer == Confirmer::Lives);
    match gap.confirmer {
        Confirmer::Lives => {}
        Confirmer::Freezes => world.freeze(confirming),
        Confirmer::Ends(away) => {
            world.crash(confirming);
            world.run(away);
            world.start(confirming);
        }
        Confirmer::EndsForGood => world.crash(confirming),
        Confirmer::BothEnd(away) => {
            let others: Vec<usize> = (0..3).filter(|n| *n != refused).collect();
            others.iter().for_each(|n| world.crash(*n));
            world.run(away);
            others.iter().for_each(|n| world.start(*n));
        }
    }
    world.run(gap.outage_ms);
    world.note("the state service is back");
    world.store.down = false;
    world.calm();
    if gap.confirmer == Confirmer::Freezes {
        world.thaw(confirming);
    }
    if gap.confirmer == Confirmer::EndsForGood {
        world.start(confirming);
    }
    world.run(CANCEL_MS);
    for node in 0..3 {
        world.withdraw(node, "job-000002");
        world.poll(node, "job-000002");
        world.poll(node, "job-000001");
    }
    world.run(3000);
    world
}

fn sweep() -> Vec<Gap> {
    let mut all = Vec::new();
    // From a moment to well past a controller's lease, which is 7.2 s here.
    for refused_ms in [200, 2000, 9000, 16_000] {
        for asked_ms in [5, 150] {
            for outage_ms in [CANCEL_MS - 1500, CANCEL_MS + 1500, 58_500] {
                for confirmer in [
                    Confirmer::Lives,
                    Confirmer::Freezes,
                    Confirmer::Ends(300),
                    Confirmer::Ends(6000),
                    Confirmer::EndsForGood,
                    Confirmer::BothEnd(300),
                ] {
                    for captive in [true, false] {
                        for greetings in [Greetings::Pass, Greetings::LostToRefused, Greetings::LostToAll] {
                            let long = outage_ms == 58_500 && asked_ms == 5;
                            if (greetings == Greetings::Pass && confirmer == Confirmer::Lives) || (captive && long) {
                                all.push(Gap {
                                    refused_ms,
                                    asked_ms,
                                    outage_ms,
                                    confirmer,
                                    greetings,
                                    captive,
                                });
                            }
                        }
                    }
                }
            }
        }
    }
    all
}

#[test]
fn cancelled_tasks_are_gone_in_time_whoever_is_refused_before_an_outage() {
    // Guard: greetings and grants carry the ends known, and nobody is told of one that only one controller
    // knows. Without that the controller that confirmed could end, and the refused one would feed the tasks.
    for gap in sweep() {
        let world = play(gap, Features::default());
        assert!(
            world.broken.is_empty(),
            "{gap:?}: {:?}\n{}",
            world.broken,
            world.trace()
        );
    }
}

#[test]
fn the_version_before_breaks_the_rule_in_the_gap() {
    // That the sweep can tell: played by controllers that tell each other nothing, tasks stay.
    let before = Features {
        cancellations: false,
        ..Features::default()
    };
    let broke = |gap: &Gap| play(*gap, before).broken.iter().any(|b| b.starts_with("ran_cancelled"));
    let shows = |confirmer: Confirmer| sweep().iter().filter(|g| g.confirmer == confirmer).any(broke);
    assert!(shows(Confirmer::Ends(300)), "the confirmer's end does not show");
    assert!(shows(Confirmer::BothEnd(300)), "the end of both others does not show");
}

#[test]
fn an_end_that_was_read_from_the_watch_is_told_on_before_its_reader_ends() {
    // Guard: who answers from the watch has confirmed as well. Its writer may never learn that the change
    // went through, and ends; the reader may end after it has answered.
    for (reader_ends, captive) in [(false, true), (true, true), (true, false)] {
        let mut world = World::new();
        world.run_ms = 300_000;
        world.run(3000);
        for team in 0..3 {
            world.accepted(0, &job(team + 1, team, "sweep", 3));
        }
        let all_run = |w: &World| (1..=3).all(|j| w.running(&format!("job-00000{j}")) == 3);
        assert!(world.run_until(40_000, all_run), "{}", world.trace());
        let (refused, writer) = (world.owner_of_team(0), world.owner_of_team(1));
        let reader = 3 - refused - writer;
        let (old, from) = (format!("berth-{refused}"), format!("berth-{writer}"));
        world.workers.values_mut().for_each(|w| w.node = refused);
        world.meddle(move |l| {
            let worker = |who: &str| who.starts_with("n-");
            let elsewhere = captive && ((worker(l.from) && l.to != old) || (worker(l.to) && l.from != old));
            // The writer does not reach its peers just then, and gets no answer.
            let end = l.from == from && l.what == "POST /txn" && l.body.contains("withdrawn");
            if elsewhere || (l.from == from && l.what == "hello") {
                Delivery::Lost
            } else if end {
                Delivery::AnswerLost
            } else if l.from == old && l.to == "state" {
                Delivery::Refused
            } else {
                Delivery::Pass
            }
        });
        world.withdraw(writer, "job-000002");
        world.run(10);
        let poll = world.poll(reader, "job-000002");
        world.run(30);
        world.note("the state service is down");
        world.store.down = true;
        let ends = if reader_ends { reader } else { writer };
        world.crash(ends);
        world.run(300);
        world.start(ends);
        world.run(58_500);
        world.store.down = false;
        world.calm();
        world.run(10_000);
        assert_eq!(world.said(poll), "withdrawn", "{}", world.trace());
        assert!(world.broken.is_empty(), "{:?}\n{}", world.broken, world.trace());
    }
}

#[test]
fn machines_that_hang_with_cancelled_tasks_are_deleted_in_time() {
    // Guard: a worker that hangs ends nothing, and its silence is no evidence. Whoever owns its machine by then
    // knows since when the job has been cancelled, and deletes the machine while the cloud still has time.
    let cases = [
        (1, None, 1),
        (2, None, 1),
        (1, Some(20), 1),
        (2, Some(20), 1),
        (2, Some(10_000), 1),
        (1, Some(20), 3),
        (2, Some(20), 3),
    ];
    for (hanging, crash_ms, ends) in cases {
        let mut world = World::new();
        world.run_ms = 300_000;
        world.run(3000);
        world.accepted(0, &job(1, 0, "sweep", 4));
        assert!(
            world.run_until(30_000, |w| w.running("job-000001") == 4),
            "{}",
            world.trace()
        );
        let owner = world.owner_of_team(0);
        let machines = world.machines_of("job-000001");
        assert_eq!(machines.len(), 2);
        for m in machines.iter().take(hanging) {
            world.note(&format!("{m} hangs"));
            world.workers.get_mut(m).expect("a worker").hanging = true;
        }
        let cancel = world.withdraw(owner, "job-000001");
        world.run(20);
        assert_eq!(world.said(cancel), "withdrawn", "{}", world.trace());
        if let Some(ms) = crash_ms {
            world.run(ms);
            world.crash(owner);
        }
        if ends == 3 {
            // All of them: whoever owns the machines next knows of it by the store only.
            (0..3).for_each(|n| world.crash(n));
            world.run(6000);
            (0..3).for_each(|n| world.start(n));
        }
        world.run(CANCEL_MS + 5000);
        assert!(world.broken.is_empty(), "{:?}\n{}", world.broken, world.trace());
        assert!(world.cloud.deleted.contains(&machines[0]), "{}", world.trace());
    }
}

#[test]
fn a_worker_that_reports_elsewhere_is_told_to_stop_before_its_report_is_passed_on() {
    // Guard: whoever answers a report stops what is cancelled. Its owner may be slow, or not ready, and the
    // machine may hear nothing after this one answer. Found by drawn days: a direct start that was carried out
    // late, after the end of its owner.
    let mut world = World::new();
    world.run_ms = 300_000;
    world.run(3000);
    world.accepted(0, &job(1, 0, "sweep", 1));
    let runs = world.run_until(30_000, |w| w.running("job-000001") == 1);
    assert!(runs, "{}", world.trace());
    let owner = world.owner_of_team(0);
    let elsewhere = (owner + 1) % 3;
    let machine = world
        .machines_of("job-000001")
        .first()
        .cloned()
        .expect("the job runs on a machine");
    world.workers.get_mut(&machine).expect("a worker").node = elsewhere;
    let answered = Rc::new(Cell::new(0));
    let (name, count) = (machine.clone(), answered.clone());
    // Reports passed on are lost, and so are direct commands; one report of the machine is answered.
    world.meddle(move |l| {
        if l.what == "relay" || (l.to == name && l.what.starts_with("POST /commands")) {
            return Delivery::Lost;
        }
        if l.from == name {
            count.set(count.get() + 1);
            return if count.get() > 1 {
                Delivery::AnswerLost
            } else {
                Delivery::Pass
            };
        }
        Delivery::Pass
    });
    let cancel = world.withdraw(owner, "job-000001");
    world.run(20);
    assert_eq!(world.said(cancel), "withdrawn", "{}", world.trace());
    while answered.get() == 0 {
        world.run(1);
    }
    world.run(50);
    assert!(world.machines_of("job-000001").is_empty(), "{}", world.trace());
    assert!(world.broken.is_empty(), "{:?}\n{}", world.broken, world.trace());
}
