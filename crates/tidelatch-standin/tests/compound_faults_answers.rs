//! Compound faults around answers: users are told nothing older than what was told before, however late reads and
//! writes come.

mod compound_fault_support;

use compound_fault_support::{
    assert_no_breaches, cancel, gone_in_time, leader, said_everywhere, stored, uid, with_jobs,
};
use serde_json::json;
use tidelatch_core::Method;
use tidelatch_standin::faults;
use tidelatch_standin::{CANCEL_MS, Delivery, World, job};

#[test]
fn transactions_that_are_carried_out_after_newer_ones_change_nothing_that_was_told() {
    // Guard: each transaction is on condition of the revisions that it was made from: the record's own, the
    // epoch's, its machine group's. What has no answer counts as open until a read or a repetition tells.
    for seed in 0..24 {
        let mut world = World::new();
        world.run_ms = 7000;
        world.run(3000);
        let late = faults::late_writes(seed, if seed % 2 == 0 { 0.15 } else { 0.4 });
        world.meddle(faults::during(0..70_000, late));
        let mut jobs = vec![job(1, 0, "standing", 2)];
        jobs.extend((2..8).map(|i| job(i, i % 3, "sweep", 1 + i % 3)));
        for (i, body) in jobs.iter().enumerate() {
            // Asked again and again, at different nodes, as the load balancer would have it.
            for again in 0..30 {
                let asked = world.submit((i + again) % 3, body);
                world.run(700);
                if matches!(world.status(asked), 200 | 201) {
                    break;
                }
            }
            if i == 3 {
                let owner = world.owner_of_team(1);
                world.crash(owner);
                world.run(400);
                world.start(owner);
            }
            if i == 5 {
                world.withdraw(i % 3, "job-000003");
            }
            world.withdraw(i % 3, "job-000005");
            world.run(2500);
        }
        world.run(70_000);
        cancel(&mut world, &[0, 1, 2], "job-000005");
        let ids: Vec<&str> = jobs.iter().map(uid).collect();
        assert!(world.unanswered(75_000, &ids).is_empty(), "{seed}\n{}", world.trace());
        for id in &ids[1..] {
            let word = stored(&world, id);
            assert!(word == "done" || word == "withdrawn", "{seed} {id}\n{}", world.trace());
            assert_eq!(said_everywhere(&mut world, id), [word.as_str(); 3], "{seed} {id}");
        }
        assert_eq!(world.running("job-000001"), 2, "{seed}\n{}", world.trace());
        // No machine is paid for that is in no machine group, and none is in a machine group that is gone.
        let mut roster = world.roster();
        roster.sort();
        let rented: Vec<String> = world.cloud.machines.keys().cloned().collect();
        assert_eq!(roster, rented, "{seed}\n{}", world.trace());
        assert_no_breaches(&world, seed);
    }
}

#[test]
fn users_cancel_and_ask_at_all_nodes_while_the_state_service_is_slow_or_refuses() {
    // Guard: nobody is told of an end that is not stored, nor of one that only one controller knows; a question
    // that is passed on is answered once, and grants carry the cancellations.
    for slow in [0, 150, 900, 1800] {
        for alone in [300, 4000, 9000] {
            let case = (slow, alone);
            let jobs = [job(1, 0, "sweep", 4), job(2, 1, "sweep", 4), job(3, 2, "sweep", 4)];
            let mut world = with_jobs(300_000, &jobs);
            let refused = leader(&world).expect("a leader");
            let name = format!("berth-{refused}");
            let from = world.now + 3000;
            let mut n = 0;
            world.meddle(move |l| {
                n += 1;
                if l.to != "state" {
                    Delivery::Pass
                } else if l.from == name && l.at >= from {
                    Delivery::Refused
                } else if slow > 0 && n % 3 != 0 {
                    Delivery::Slow(slow)
                } else {
                    Delivery::Pass
                }
            });
            let ask = |world: &mut World, ms: u64| {
                let until = world.now + ms;
                let mut i = 0;
                while world.now < until {
                    world.poll(i % 3, "job-000001");
                    world.withdraw((i + 1) % 3, "job-000001");
                    world.poll((i + 2) % 3, "job-000002");
                    world.submit(i % 3, &jobs[2]);
                    world.run(170);
                    i += 1;
                }
            };
            world.run(2950);
            ask(&mut world, 50 + alone);
            world.note("the state service is down");
            world.store.down = true;
            world.withdraw(refused, "job-000002");
            ask(&mut world, 300);
            world.run(CANCEL_MS + 7000);
            world.store.down = false;
            world.calm();
            ask(&mut world, 2000);
            assert_eq!(cancel(&mut world, &[0, 1, 2], "job-000001"), "withdrawn", "{case:?}");
            world.run(CANCEL_MS + 2000);
            gone_in_time(&world, "job-000001", case);
            assert_eq!(said_everywhere(&mut world, "job-000001"), ["withdrawn"; 3], "{case:?}");
            assert_eq!(world.running("job-000003"), 4, "{case:?}\n{}", world.trace());
            assert_no_breaches(&world, case);
        }
    }
}

#[test]
fn a_late_read_that_found_no_job_is_not_told_once_the_job_is_known() {
    // Guard: by the time at which a read
    // comes back, this very controller may have accepted the job, and told its user.
    for late in [20, 150, 900] {
        for question in ["poll", "withdraw", "odd"] {
            let case = (late, question);
            let mut world = World::new();
            world.run(4000);
            let node = world.owner_of_team(0);
            world.meddle(move |l| {
                if l.what.starts_with("GET /store/t/j/") {
                    Delivery::AnswerLate(late)
                } else {
                    Delivery::Pass
                }
            });
            let body = job(1, 0, "sweep", 1);
            match question {
                "poll" => world.poll(node, "job-000001"),
                "withdraw" => world.withdraw(node, "job-000001"),
                _ => {
                    let odd = json!({ "uid": "job-000001" }).to_string();
                    let about = ("job-000001".to_owned(), "submit");
                    world.user(node, Method::Post, "/submissions", &odd, about)
                }
            };
            // The same user's submission, or its repetition, on another connection.
            world.run(3);
            let accepted = world.submit(node, &body);
            world.run(1500);
            assert_eq!(world.status(accepted), 201, "{case:?}\n{}", world.trace());
            assert_no_breaches(&world, case);
        }
    }
}

#[test]
fn a_late_answer_of_a_jobs_owner_is_not_passed_on_once_its_end_is_known() {
    // Guard: by the time at which the owner's answer
    // arrives, this controller may have read the job's end from the watch, and told users of it.
    for late in [3, 5, 20, 100, 300, 450] {
        for submits in [false, true] {
            for node in 1..3 {
                for ends in [false, true] {
                    let case = (late, submits, node, ends);
                    let body = job(1, 0, "sweep", 2);
                    let mut world = with_jobs(if ends { 4000 } else { 300_000 }, std::slice::from_ref(&body));
                    let asks = (world.owner_of_team(0) + node) % 3;
                    let mut answers = 0;
                    world.meddle(move |l| {
                        answers += u64::from(l.what == "forward");
                        // The first question's answer is late; the others' are not.
                        if l.what == "forward" && answers % 2 == 1 {
                            Delivery::AnswerLate(late)
                        } else {
                            Delivery::Pass
                        }
                    });
                    if ends {
                        // Asked every few milliseconds round the end of its last task.
                        while !world.checker().all_done("job-000001") {
                            world.run(1);
                        }
                    }
                    let first = if submits {
                        world.submit(asks, &body)
                    } else {
                        world.poll(asks, "job-000001")
                    };
                    if !ends {
                        world.withdraw(asks, "job-000001");
                    }
                    for _ in 0..60 {
                        world.poll(asks, "job-000001");
                        world.run(10);
                    }
                    assert!(matches!(world.status(first), 200 | 503), "{case:?}\n{}", world.trace());
                    assert_no_breaches(&world, case);
                }
            }
        }
    }
}

#[test]
fn an_answer_that_lay_in_the_buffers_of_a_controller_that_stood_still_is_not_passed_on() {
    // Guard: an answer of another controller, or of the state service, is as old as it is. What is
    // lay in the buffers while this controller stood still tells nothing. Less than a quarter of a report cannot be
    // told from a slow network or a busy processor.
    for still_ms in [1000, 1900, 4000] {
        for cancel_first in [true, false] {
            for node in 1..3 {
                let case = (still_ms, node, cancel_first);
                let mut world = with_jobs(300_000, &[job(1, 0, "sweep", 2)]);
                let owner = world.owner_of_team(0);
                let asks = (owner + node) % 3;
                if cancel_first {
                    world.poll(asks, "job-000001");
                } else {
                    world.submit(asks, &job(1, 0, "sweep", 2));
                }
                world.run(1);
                // The question has been passed on; its answer comes while nobody reads it.
                world.freeze(asks);
                world.run(20);
                let told = world.withdraw(owner, "job-000001");
                world.run(50);
                assert_eq!(world.said(told), "withdrawn", "{case:?}\n{}", world.trace());
                world.run(still_ms);
                world.thaw(asks);
                world.run(2000);
                assert_no_breaches(&world, case);
            }
        }
    }
}
