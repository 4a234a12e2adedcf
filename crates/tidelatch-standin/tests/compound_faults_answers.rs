//! Compound faults around answers to users: no user is told an older state than was told before, however late reads and
//! writes are carried out or answered.

mod compound_fault_support;

use compound_fault_support::{
    assert_gone_in_time, assert_no_breaches, cancel, job_id, leader, states_at_all_controllers, stored_state,
    with_running_jobs,
};
use serde_json::json;
use tidelatch_core::Method;
use tidelatch_standin::faults;
use tidelatch_standin::{CANCEL_MS, Delivery, World, job};

#[test]
fn transactions_carried_out_late_change_nothing_that_users_were_told() {
    // Guards against old transactions that undo newer ones because they are carried out late. Each transaction is
    // conditional on the revisions that it was made from: of the record, of the epoch, of its machine group. One
    // without an answer counts as open until a read or a repetition tells its outcome.
    for seed in 0..24 {
        let mut world = World::new();
        world.run_ms = 7000;
        world.run_for(3000);
        let late_writes = faults::delay_transactions(seed, if seed % 2 == 0 { 0.15 } else { 0.4 });
        world.set_fault_injector(faults::limit_to(0..70_000, late_writes));
        let mut jobs = vec![job(1, 0, "standing", 2)];
        jobs.extend((2..8).map(|i| job(i, i % 3, "sweep", 1 + i % 3)));
        for (i, body) in jobs.iter().enumerate() {
            // The submission is repeated at different controllers, as the load balancer would send it.
            for again in 0..30 {
                let asked = world.submit((i + again) % 3, body);
                world.run_for(700);
                if matches!(world.http_status(asked), 200 | 201) {
                    break;
                }
            }
            if i == 3 {
                let owner = world.owner_of_team(1);
                world.crash_controller(owner);
                world.run_for(400);
                world.start_controller(owner);
            }
            if i == 5 {
                world.cancel(i % 3, "job-000003");
            }
            world.cancel(i % 3, "job-000005");
            world.run_for(2500);
        }
        world.run_for(70_000);
        cancel(&mut world, &[0, 1, 2], "job-000005");
        let ids: Vec<&str> = jobs.iter().map(job_id).collect();
        assert!(
            world.poll_unanswered(75_000, &ids).is_empty(),
            "{seed}\n{}",
            world.trace()
        );
        for id in &ids[1..] {
            let state = stored_state(&world, id);
            assert!(
                state == "done" || state == "withdrawn",
                "{seed} {id}\n{}",
                world.trace()
            );
            assert_eq!(
                states_at_all_controllers(&mut world, id),
                [state.as_str(); 3],
                "{seed} {id}"
            );
        }
        assert_eq!(world.running_tasks("job-000001"), 2, "{seed}\n{}", world.trace());
        // Every rented machine is in a machine group, and every machine in a machine group is rented.
        let mut roster = world.roster();
        roster.sort();
        let rented: Vec<String> = world.cloud.machines.keys().cloned().collect();
        assert_eq!(roster, rented, "{seed}\n{}", world.trace());
        assert_no_breaches(&world, seed);
    }
}

#[test]
fn users_cancel_and_poll_at_all_controllers_while_the_state_service_is_slow_or_refuses() {
    // Guards against contradicting answers and cancelled tasks that stay, when the state service is slow, refuses one
    // controller and is then down. No user is told of an end that is not stored, nor of one that only one controller
    // knows. A request that is passed on is answered once, and grants carry the cancellations.
    for slow_ms in [0, 150, 900, 1800] {
        for refused_ms in [300, 4000, 9000] {
            let case = (slow_ms, refused_ms);
            let jobs = [job(1, 0, "sweep", 4), job(2, 1, "sweep", 4), job(3, 2, "sweep", 4)];
            let mut world = with_running_jobs(300_000, &jobs);
            let refused = leader(&world).expect("a leader");
            let name = format!("berth-{refused}");
            let from = world.now + 3000;
            let mut n = 0;
            world.set_fault_injector(move |l| {
                n += 1;
                if l.to != "state" {
                    Delivery::Pass
                } else if l.from == name && l.sent_ms >= from {
                    Delivery::Refused
                } else if slow_ms > 0 && n % 3 != 0 {
                    Delivery::Slow(slow_ms)
                } else {
                    Delivery::Pass
                }
            });
            let send_requests = |world: &mut World, ms: u64| {
                let until = world.now + ms;
                let mut i = 0;
                while world.now < until {
                    world.poll(i % 3, "job-000001");
                    world.cancel((i + 1) % 3, "job-000001");
                    world.poll((i + 2) % 3, "job-000002");
                    world.submit(i % 3, &jobs[2]);
                    world.run_for(170);
                    i += 1;
                }
            };
            world.run_for(2950);
            send_requests(&mut world, 50 + refused_ms);
            world.write_trace("the state service is down");
            world.store.is_down = true;
            world.cancel(refused, "job-000002");
            send_requests(&mut world, 300);
            world.run_for(CANCEL_MS + 7000);
            world.store.is_down = false;
            world.clear_fault_injector();
            send_requests(&mut world, 2000);
            assert_eq!(cancel(&mut world, &[0, 1, 2], "job-000001"), "withdrawn", "{case:?}");
            world.run_for(CANCEL_MS + 2000);
            assert_gone_in_time(&world, "job-000001", case);
            assert_eq!(
                states_at_all_controllers(&mut world, "job-000001"),
                ["withdrawn"; 3],
                "{case:?}"
            );
            assert_eq!(world.running_tasks("job-000003"), 4, "{case:?}\n{}", world.trace());
            assert_no_breaches(&world, case);
        }
    }
}

#[test]
fn a_late_read_without_a_job_is_not_answered_once_the_job_is_known() {
    // Guards against a user who is told that an accepted job does not exist. By the time a slow read comes back
    // without the job, the same controller may have accepted the job and told its user.
    for late_ms in [20, 150, 900] {
        for request in ["poll", "withdraw", "odd"] {
            let case = (late_ms, request);
            let mut world = World::new();
            world.run_for(4000);
            let controller = world.owner_of_team(0);
            world.set_fault_injector(move |l| {
                if l.request.starts_with("GET /store/t/j/") {
                    Delivery::AnswerLate(late_ms)
                } else {
                    Delivery::Pass
                }
            });
            let body = job(1, 0, "sweep", 1);
            match request {
                "poll" => world.poll(controller, "job-000001"),
                "withdraw" => world.cancel(controller, "job-000001"),
                _ => {
                    let invalid = json!({ "uid": "job-000001" }).to_string();
                    let about = ("job-000001".to_owned(), "submit");
                    world.send_user_request(controller, Method::Post, "/submissions", &invalid, about)
                }
            };
            // The same user's submission, or its repetition, arrives on another connection.
            world.run_for(3);
            let accepted = world.submit(controller, &body);
            world.run_for(1500);
            assert_eq!(world.http_status(accepted), 201, "{case:?}\n{}", world.trace());
            assert_no_breaches(&world, case);
        }
    }
}

#[test]
fn a_late_answer_of_the_owner_is_not_passed_on_once_the_end_of_the_job_is_known() {
    // Guards against a user who is told an older state after others were told a job's end. By the time the slow answer
    // of the owner arrives, the controller that passed the request on may have read the job's end from its watch and
    // told users of it.
    for late_ms in [3, 5, 20, 100, 300, 450] {
        for submits in [false, true] {
            for controller in 1..3 {
                for task_ends in [false, true] {
                    let case = (late_ms, submits, controller, task_ends);
                    let body = job(1, 0, "sweep", 2);
                    let mut world =
                        with_running_jobs(if task_ends { 4000 } else { 300_000 }, std::slice::from_ref(&body));
                    let asked_controller = (world.owner_of_team(0) + controller) % 3;
                    let mut forwards = 0;
                    world.set_fault_injector(move |l| {
                        forwards += u64::from(l.request == "forward");
                        // Every other answer is late, the first one included.
                        if l.request == "forward" && forwards % 2 == 1 {
                            Delivery::AnswerLate(late_ms)
                        } else {
                            Delivery::Pass
                        }
                    });
                    if task_ends {
                        // The requests begin at the end of the last task, and are repeated every 10 ms.
                        while !world.checker().is_job_done("job-000001") {
                            world.run_for(1);
                        }
                    }
                    let first = if submits {
                        world.submit(asked_controller, &body)
                    } else {
                        world.poll(asked_controller, "job-000001")
                    };
                    if !task_ends {
                        world.cancel(asked_controller, "job-000001");
                    }
                    for _ in 0..60 {
                        world.poll(asked_controller, "job-000001");
                        world.run_for(10);
                    }
                    assert!(
                        matches!(world.http_status(first), 200 | 503),
                        "{case:?}\n{}",
                        world.trace()
                    );
                    assert_no_breaches(&world, case);
                }
            }
        }
    }
}

#[test]
fn an_answer_that_waited_in_the_buffers_of_a_paused_controller_is_not_passed_on() {
    // Guards against a user who is told an older state, because an answer of another controller, or of the state
    // service, waited in the buffers while this controller was paused. Such an answer is as old as the time at which
    // it was sent, and tells nothing. A pause of less than a quarter of a report interval cannot be told from a slow
    // network or a busy processor.
    for paused_ms in [1000, 1900, 4000] {
        for polls in [true, false] {
            for controller in 1..3 {
                let case = (paused_ms, controller, polls);
                let mut world = with_running_jobs(300_000, &[job(1, 0, "sweep", 2)]);
                let owner = world.owner_of_team(0);
                let asked_controller = (owner + controller) % 3;
                if polls {
                    world.poll(asked_controller, "job-000001");
                } else {
                    world.submit(asked_controller, &job(1, 0, "sweep", 2));
                }
                world.run_for(1);
                // The request has been passed on. Its answer arrives while the controller is paused.
                world.pause(asked_controller);
                world.run_for(20);
                let cancellation = world.cancel(owner, "job-000001");
                world.run_for(50);
                assert_eq!(
                    world.job_status(cancellation),
                    "withdrawn",
                    "{case:?}\n{}",
                    world.trace()
                );
                world.run_for(paused_ms);
                world.resume(asked_controller);
                world.run_for(2000);
                assert_no_breaches(&world, case);
            }
        }
    }
}
