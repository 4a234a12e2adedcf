//! Cancellations shortly before an outage of the state service: a controller that gives tasks to workers in the outage
//! has to know of them. In most tests the state service first refuses one controller alone, another controller confirms
//! cancellations, and then the state service is down for all, for about `cancel_s` or longer, while workers go on
//! reporting to the refused controller.

use std::cell::Cell;
use std::rc::Rc;
use tidelatch_core::settings::Features;
use tidelatch_standin::{CANCEL_MS, Delivery, World, job};

/// What happens to the controller that confirmed the cancellations once the outage has begun.
#[derive(Debug, Clone, Copy, PartialEq)]
enum ConfirmerFate {
    Survives,
    Freezes,
    /// It crashes and is restarted after so many milliseconds, with nothing in memory.
    Restarts(u64),
    /// It crashes and is restarted only after the outage.
    RestartsAfterOutage,
    /// Both controllers that are not refused crash and are restarted after so many milliseconds. The refused one then
    /// has grants only of controllers that know nothing.
    BothOthersRestart(u64),
}

/// Which hello messages between controllers are lost, from shortly before the cancellations until the fate of the
/// confirming controller. If it survives, those of `LostToRefused` stay lost in the outage.
#[derive(Debug, Clone, Copy, PartialEq)]
enum HelloLoss {
    Nothing,
    /// Hello messages to and from the refused controller are lost.
    LostToRefused,
    LostToAll,
}

/// One combination of times and faults around the refusal and the outage.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    /// Time from the beginning of the refusal to the outage. It is longer if `cancelled_ms` requires it.
    refused_ms: u64,
    /// Time from the cancellations to the outage.
    cancelled_ms: u64,
    outage_ms: u64,
    confirmer: ConfirmerFate,
    hello_loss: HelloLoss,
    /// Workers reach, and are reached by, the refused controller only. This includes direct commands.
    only_refused_reachable: bool,
}

/// Runs a scenario. Job 1 is of the refused controller's team, job 2 of the confirming controller's.
fn run_scenario(scenario: Scenario, features: Features) -> World {
    let mut world = World::new();
    for controller in 0..3 {
        world.crash_controller(controller);
        world.set_features(controller, features);
        world.start_controller(controller);
    }
    world.run_ms = 300_000;
    world.run_for(3000);
    for team in 0..3 {
        world.submit_until_accepted(0, &job(team + 1, team, "sweep", 3));
    }
    let all_run = |w: &World| (1..=3).all(|j| w.running_tasks(&format!("job-00000{j}")) == 3);
    assert!(world.run_until(40_000, all_run), "{}", world.trace());
    let refused = world.owner_of_team(0);
    let confirming = world.owner_of_team(1);
    assert_ne!(refused, confirming);
    let name = format!("berth-{refused}");
    world.write_trace(&format!("the state service refuses {name}"));
    for w in world.workers.values_mut() {
        w.controller = refused;
    }
    let only_refused_reachable = scenario.only_refused_reachable;
    let loses_hellos = Rc::new(Cell::new(false));
    let hellos_are_lost = loses_hellos.clone();
    world.set_fault_injector(move |l| {
        let worker = |who: &str| who.starts_with("n-");
        let elsewhere =
            only_refused_reachable && ((worker(l.from) && l.to != name) || (worker(l.to) && l.from != name));
        let is_affected = match scenario.hello_loss {
            HelloLoss::Nothing => false,
            HelloLoss::LostToRefused => l.from == name || l.to == name,
            HelloLoss::LostToAll => true,
        };
        let is_lost_hello = l.request == "hello" && hellos_are_lost.get() && is_affected;
        if elsewhere || is_lost_hello {
            Delivery::Lost
        } else if l.from == name && l.to == "state" {
            Delivery::Refused
        } else {
            Delivery::Pass
        }
    });
    world.run_for(scenario.refused_ms.saturating_sub(scenario.cancelled_ms));
    loses_hellos.set(true);
    let owner = world.owner_of_team(0);
    world.cancel(confirming, "job-000002");
    if owner != refused {
        // By then another controller owns the team of the refused one.
        world.cancel(owner, "job-000001");
    }
    world.run_for(scenario.cancelled_ms);
    world.write_trace("the state service is down");
    world.store.is_down = true;
    world.run_for(20);
    loses_hellos.set(scenario.hello_loss == HelloLoss::LostToRefused && scenario.confirmer == ConfirmerFate::Survives);
    match scenario.confirmer {
        ConfirmerFate::Survives => {}
        ConfirmerFate::Freezes => world.pause(confirming),
        ConfirmerFate::Restarts(away_ms) => {
            world.crash_controller(confirming);
            world.run_for(away_ms);
            world.start_controller(confirming);
        }
        ConfirmerFate::RestartsAfterOutage => world.crash_controller(confirming),
        ConfirmerFate::BothOthersRestart(away_ms) => {
            let others: Vec<usize> = (0..3).filter(|n| *n != refused).collect();
            others.iter().for_each(|n| world.crash_controller(*n));
            world.run_for(away_ms);
            others.iter().for_each(|n| world.start_controller(*n));
        }
    }
    world.run_for(scenario.outage_ms);
    world.write_trace("the state service is back");
    world.store.is_down = false;
    world.clear_fault_injector();
    if scenario.confirmer == ConfirmerFate::Freezes {
        world.resume(confirming);
    }
    if scenario.confirmer == ConfirmerFate::RestartsAfterOutage {
        world.start_controller(confirming);
    }
    world.run_for(CANCEL_MS);
    for controller in 0..3 {
        world.cancel(controller, "job-000002");
        world.poll(controller, "job-000002");
        world.poll(controller, "job-000001");
    }
    world.run_for(3000);
    world
}

/// All combinations that are tested.
fn all_scenarios() -> Vec<Scenario> {
    let mut all = Vec::new();
    // From a moment to well over a controller's lease, which is 7.2 s here.
    for refused_ms in [200, 2000, 9000, 16_000] {
        for cancelled_ms in [5, 150] {
            for outage_ms in [CANCEL_MS - 1500, CANCEL_MS + 1500, 58_500] {
                for confirmer in [
                    ConfirmerFate::Survives,
                    ConfirmerFate::Freezes,
                    ConfirmerFate::Restarts(300),
                    ConfirmerFate::Restarts(6000),
                    ConfirmerFate::RestartsAfterOutage,
                    ConfirmerFate::BothOthersRestart(300),
                ] {
                    for only_refused_reachable in [true, false] {
                        for hello_loss in [HelloLoss::Nothing, HelloLoss::LostToRefused, HelloLoss::LostToAll] {
                            let is_long = outage_ms == 58_500 && cancelled_ms == 5;
                            if (hello_loss == HelloLoss::Nothing && confirmer == ConfirmerFate::Survives)
                                || (only_refused_reachable && is_long)
                            {
                                all.push(Scenario {
                                    refused_ms,
                                    cancelled_ms,
                                    outage_ms,
                                    confirmer,
                                    hello_loss,
                                    only_refused_reachable,
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
fn cancelled_tasks_are_gone_in_time_when_one_controller_is_refused_before_an_outage() {
    // Guards against cancelled tasks that keep running: the controller that confirmed the cancellation ends, and the
    // refused one, which does not know of it, goes on giving the tasks to the workers. Hello messages and grants carry
    // the known ends of jobs, and no user is told of an end that only one controller knows.
    for scenario in all_scenarios() {
        let world = run_scenario(scenario, Features::default());
        assert!(
            world.breaches.is_empty(),
            "{scenario:?}: {:?}\n{}",
            world.breaches,
            world.trace()
        );
    }
}

#[test]
fn controllers_that_do_not_exchange_cancellations_break_the_rule() {
    // Checks that the scenarios above can find the failure: with controllers that tell each other of no cancellations,
    // as the version without that exchange did, cancelled tasks stay.
    let before = Features {
        cancellations: false,
        ..Features::default()
    };
    let breaks_rule = |scenario: &Scenario| {
        run_scenario(*scenario, before)
            .breaches
            .iter()
            .any(|b| b.starts_with("ran_cancelled"))
    };
    let finds_breach = |confirmer: ConfirmerFate| {
        all_scenarios()
            .iter()
            .filter(|s| s.confirmer == confirmer)
            .any(breaks_rule)
    };
    assert!(
        finds_breach(ConfirmerFate::Restarts(300)),
        "no scenario breaks the rule when the confirming controller restarts"
    );
    assert!(
        finds_breach(ConfirmerFate::BothOthersRestart(300)),
        "no scenario breaks the rule when both other controllers restart"
    );
}

#[test]
fn an_end_read_from_a_watch_is_passed_on_before_its_reader_crashes() {
    // Guards against a confirmed cancellation that is lost. A controller that answers a user from its watch has
    // confirmed the end as well. The writer of the end may never learn that its change was carried out, and crash, and
    // the reader may crash after it has answered.
    for (reader_crashes, only_refused_reachable) in [(false, true), (true, true), (true, false)] {
        let mut world = World::new();
        world.run_ms = 300_000;
        world.run_for(3000);
        for team in 0..3 {
            world.submit_until_accepted(0, &job(team + 1, team, "sweep", 3));
        }
        let all_run = |w: &World| (1..=3).all(|j| w.running_tasks(&format!("job-00000{j}")) == 3);
        assert!(world.run_until(40_000, all_run), "{}", world.trace());
        let (refused, writer) = (world.owner_of_team(0), world.owner_of_team(1));
        let reader = 3 - refused - writer;
        let (refused_name, writer_name) = (format!("berth-{refused}"), format!("berth-{writer}"));
        world.workers.values_mut().for_each(|w| w.controller = refused);
        world.set_fault_injector(move |l| {
            let worker = |who: &str| who.starts_with("n-");
            let elsewhere = only_refused_reachable
                && ((worker(l.from) && l.to != refused_name) || (worker(l.to) && l.from != refused_name));
            // The writer's hello messages to its peers are lost, and it gets no answer to its transaction.
            let is_end = l.from == writer_name && l.request == "POST /txn" && l.body.contains("withdrawn");
            if elsewhere || (l.from == writer_name && l.request == "hello") {
                Delivery::Lost
            } else if is_end {
                Delivery::AnswerLost
            } else if l.from == refused_name && l.to == "state" {
                Delivery::Refused
            } else {
                Delivery::Pass
            }
        });
        world.cancel(writer, "job-000002");
        world.run_for(10);
        let poll = world.poll(reader, "job-000002");
        world.run_for(30);
        world.write_trace("the state service is down");
        world.store.is_down = true;
        let crashed = if reader_crashes { reader } else { writer };
        world.crash_controller(crashed);
        world.run_for(300);
        world.start_controller(crashed);
        world.run_for(58_500);
        world.store.is_down = false;
        world.clear_fault_injector();
        world.run_for(10_000);
        assert_eq!(world.job_status(poll), "withdrawn", "{}", world.trace());
        assert!(world.breaches.is_empty(), "{:?}\n{}", world.breaches, world.trace());
    }
}

#[test]
fn hanging_machines_with_cancelled_tasks_are_deleted_in_time() {
    // Guards against cancelled tasks that stay on hanging machines. A worker that hangs ends no task, and its silence
    // is no evidence that they are gone. Whichever controller owns the machine by then knows since when the job has
    // been cancelled, and deletes the machine while the cloud still has time to do so.
    let cases = [
        (1, None, 1),
        (2, None, 1),
        (1, Some(20), 1),
        (2, Some(20), 1),
        (2, Some(10_000), 1),
        (1, Some(20), 3),
        (2, Some(20), 3),
    ];
    for (hanging, crash_ms, max_crashes) in cases {
        let mut world = World::new();
        world.run_ms = 300_000;
        world.run_for(3000);
        world.submit_until_accepted(0, &job(1, 0, "sweep", 4));
        assert!(
            world.run_until(30_000, |w| w.running_tasks("job-000001") == 4),
            "{}",
            world.trace()
        );
        let owner = world.owner_of_team(0);
        let machines = world.machines_of("job-000001");
        assert_eq!(machines.len(), 2);
        for m in machines.iter().take(hanging) {
            world.write_trace(&format!("{m} hangs"));
            world.workers.get_mut(m).expect("a worker").is_hanging = true;
        }
        let cancellation = world.cancel(owner, "job-000001");
        world.run_for(20);
        assert_eq!(world.job_status(cancellation), "withdrawn", "{}", world.trace());
        if let Some(ms) = crash_ms {
            world.run_for(ms);
            world.crash_controller(owner);
        }
        if max_crashes == 3 {
            // All controllers crash: the next owner of the machines learns of the cancellation from the state service
            // only.
            (0..3).for_each(|n| world.crash_controller(n));
            world.run_for(6000);
            (0..3).for_each(|n| world.start_controller(n));
        }
        world.run_for(CANCEL_MS + 5000);
        assert!(world.breaches.is_empty(), "{:?}\n{}", world.breaches, world.trace());
        assert!(world.cloud.deleted.contains(&machines[0]), "{}", world.trace());
    }
}

#[test]
fn a_report_to_another_controller_is_answered_with_stops_before_it_is_passed_on() {
    // Guards against a cancelled task that keeps running because its worker reports to another controller than the
    // owner of its machine. The controller that answers a report stops cancelled tasks itself: the owner may be slow
    // or not ready, and the machine may hear nothing after this one answer. In random simulations a direct
    // start was carried out late, after the controller that owned the machine had ended.
    let mut world = World::new();
    world.run_ms = 300_000;
    world.run_for(3000);
    world.submit_until_accepted(0, &job(1, 0, "sweep", 1));
    let runs = world.run_until(30_000, |w| w.running_tasks("job-000001") == 1);
    assert!(runs, "{}", world.trace());
    let owner = world.owner_of_team(0);
    let elsewhere = (owner + 1) % 3;
    let machine = world
        .machines_of("job-000001")
        .first()
        .cloned()
        .expect("the job runs on a machine");
    world.workers.get_mut(&machine).expect("a worker").controller = elsewhere;
    let answered = Rc::new(Cell::new(0));
    let (name, count) = (machine.clone(), answered.clone());
    // Reports that are passed on and direct commands are lost. One report of the machine is answered.
    world.set_fault_injector(move |l| {
        if l.request == "relay" || (l.to == name && l.request.starts_with("POST /commands")) {
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
    let cancellation = world.cancel(owner, "job-000001");
    world.run_for(20);
    assert_eq!(world.job_status(cancellation), "withdrawn", "{}", world.trace());
    while answered.get() == 0 {
        world.run_for(1);
    }
    world.run_for(50);
    assert!(world.machines_of("job-000001").is_empty(), "{}", world.trace());
    assert!(world.breaches.is_empty(), "{:?}\n{}", world.breaches, world.trace());
}

/// Starts three jobs on a machine each, which then hang, and cancels the jobs. Returns the owner of the jobs.
fn cancel_jobs_on_hanging_machines() -> (World, usize) {
    let mut world = World::new();
    world.run_ms = 600_000;
    world.run_for(3000);
    let ids = ["job-000001", "job-000002", "job-000003"];
    for (number, id) in (1..).zip(ids) {
        let mut whole_machine = job(number, 0, "sweep", 1);
        whole_machine["vcpus"] = 24.0.into();
        world.submit_until_accepted(0, &whole_machine);
        let runs = world.run_until(30_000, |w| w.running_tasks(id) == 1);
        assert!(runs, "{}", world.trace());
    }
    let owner = world.owner_of_team(0);
    for worker in world.workers.values_mut() {
        worker.is_hanging = true;
    }
    let cancellations = ids.map(|id| world.cancel(owner, id));
    world.run_for(100);
    for cancellation in cancellations {
        assert_eq!(world.job_status(cancellation), "withdrawn", "{}", world.trace());
    }
    (world, owner)
}

/// Cancels three jobs whose machines hang, crashes their owner 8 s later, before it gives up the machines, and restarts
/// it after 6 s.
/// The answers to the restarted controller's listing of the shared keys are `listing_delay_ms` late.
fn restart_owner_of_hanging_machines(listing_delay_ms: u64) -> World {
    let (mut world, owner) = cancel_jobs_on_hanging_machines();
    world.run_for(7900);
    assert!(!world.trace().contains("giving it up"), "{}", world.trace());
    world.crash_controller(owner);
    world.run_for(6000);
    let name = format!("berth-{owner}");
    world.set_fault_injector(move |message| {
        let is_listing = message.from == name && message.request.starts_with("GET /store?");
        if is_listing && listing_delay_ms > 0 {
            return Delivery::AnswerLate(listing_delay_ms);
        }
        Delivery::Pass
    });
    world.start_controller(owner);
    world.run_for(CANCEL_MS);
    world
}

#[test]
fn a_restarted_controller_counts_the_time_of_a_cancellation_from_the_cancellation() {
    // Guards against machines that hang with cancelled tasks and are deleted too late, because a controller that has
    // been restarted counts the time that is left from its own start.
    let world = restart_owner_of_hanging_machines(0);
    assert!(world.breaches.is_empty(), "{:?}\n{}", world.breaches, world.trace());
}

#[test]
fn a_restarted_controller_that_hears_of_a_cancellation_before_it_reads_it_counts_from_the_cancellation() {
    // Guards against the same with a slow state service: the peers tell the restarted controller of the cancellation,
    // without its time, before it reads the job's stored end.
    let world = restart_owner_of_hanging_machines(1000);
    assert!(world.breaches.is_empty(), "{:?}\n{}", world.breaches, world.trace());
}

#[test]
fn hanging_machines_with_cancelled_tasks_are_deleted_in_time_despite_an_outage_of_the_cloud() {
    // Guards against machines that hang with cancelled tasks and whose deletion is first requested while the cloud's
    // interface is down, too late for a second request after that. The operators' cloud is down for up to 30 s where
    // `cancel_s` is 48: for 30/48 of `cancel_s`, whenever that begins.
    let outage_ms = CANCEL_MS * 30 / 48;
    for begin_ms in (1000..CANCEL_MS).step_by(2000) {
        let (mut world, _) = cancel_jobs_on_hanging_machines();
        world.run_for(begin_ms - 100);
        world.cloud.is_down = true;
        world.run_for(outage_ms);
        world.cloud.is_down = false;
        world.run_for(CANCEL_MS);
        assert!(
            world.breaches.is_empty(),
            "{begin_ms}: {:?}\n{}",
            world.breaches,
            world.trace()
        );
    }
}
