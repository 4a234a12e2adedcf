//! Compound faults around placement: jobs keep to their zones, and none waits beside room.

mod compound_fault_support;

use compound_fault_support::{assert_no_breaches, leader, stored, uid, unreached, with_jobs};
use serde_json::{Value, json};
use tidelatch_standin::faults;
use tidelatch_standin::{Worker, World, job};

#[test]
fn jobs_bound_to_one_zone_that_lose_machines_go_on_there_or_move_whole() {
    // Guard: a job whose tasks belong together counts those that may still be on a lost machine, and a machine's
    // zone is looked at for each start.
    for how in ["hang", "taken", "cut"] {
        for share in [1, 2] {
            for (room, change) in [(true, false), (false, false), (true, true), (false, true)] {
                let case = (how, share, room, change);
                let mut array = job(1, 0, "sweep", 3);
                array["together"] = json!(true);
                let mut bound = job(2, 1, "sweep", 3);
                bound["yard"] = json!("b");
                let mut service = job(3, 2, "standing", 3);
                service["together"] = json!(true);
                let mut world = with_jobs(60_000, &[array, bound, service]);
                let zone_of = |w: &World, j: u32| {
                    let machine = w.machines_of(&format!("job-00000{j}"))[0].clone();
                    w.workers[&machine].zone.clone()
                };
                // Each team has a machine with room in the other zone, too.
                for team in 0..3 {
                    let here = zone_of(&world, team + 1);
                    let mut other = job(team + 4, team, "standing", 1);
                    other["yard"] = json!(if here == "a" { "b" } else { "a" });
                    world.accepted(0, &other);
                }
                let others = |w: &World| (4..7).all(|j| w.running(&format!("job-00000{j}")) == 1);
                assert!(world.run_until(30_000, others), "{case:?}\n{}", world.trace());
                let lost: Vec<String> = (1..=3)
                    .flat_map(|j| world.machines_of(&format!("job-00000{j}")).into_iter().take(share))
                    .collect();
                if !room {
                    // Nothing more is to be had where they are.
                    let zone = world.workers[&lost[0]].zone.clone();
                    world.cloud.most_in_zone.insert(zone, 0);
                }
                world.note(&format!("{how}: {lost:?}"));
                for name in &lost {
                    match how {
                        "hang" => world.workers.get_mut(name).expect("a worker").hanging = true,
                        "taken" => {
                            world.workers.remove(name);
                            world.cloud.machines.remove(name);
                        }
                        _ => {}
                    }
                }
                if how == "cut" {
                    world.meddle(unreached(&lost));
                }
                if change {
                    let ends = leader(&world).expect("a leader");
                    world.crash(ends);
                    world.run(300);
                    world.start(ends);
                }
                world.run(45_000);
                world.calm();
                for name in &lost {
                    if let Some(w) = world.workers.get_mut(name) {
                        w.hanging = false;
                    }
                }
                world.cloud.most_in_zone.clear();
                let over = |w: &World| ["job-000001", "job-000002"].iter().all(|id| stored(w, id) == "done");
                let well = |w: &World| over(w) && w.running("job-000003") == 3;
                assert!(world.run_until(200_000, well), "{case:?}\n{}", world.trace());
                assert_no_breaches(&world, case);
            }
        }
    }
}

#[test]
fn once_faults_are_over_no_job_waits_where_there_is_room_and_none_is_unanswered() {
    // Guard: whatever a trouble leaves behind (a machine in doubt, a reservation, a job that rests) is looked at
    // again in time.
    for seed in 0..8u64 {
        let jobs: Vec<Value> = (0..12)
            .map(|i| {
                let mut body = job(i + 1, i % 3, if i < 3 { "standing" } else { "sweep" }, 1 + i % 4);
                body["together"] = json!(i == 7);
                body
            })
            .collect();
        let mut world = World::new();
        world.run_ms = 9000;
        world.cloud.most = 8;
        world.run(3000);
        for (i, body) in jobs.iter().enumerate() {
            world.accepted(i % 3, body);
        }
        world.run(6000);
        let busy: Vec<String> = world.workers.keys().cloned().collect();
        let from = world.now;
        let mut injectors = vec![
            faults::late_writes(seed, 0.1),
            faults::late_copies(seed, 0.2),
            faults::lost_answers(seed + 100, 0.1),
        ];
        for (i, m) in busy.iter().enumerate() {
            match (seed + i as u64) % 5 {
                0 => injectors.push(faults::mute(m)),
                1 => injectors.push(faults::deaf(m)),
                2 => injectors.push(unreached(std::slice::from_ref(m))),
                _ => {}
            }
        }
        let node = seed as usize % 3;
        injectors.push(faults::during(from + 20_000..from + 40_000, faults::cut_off(node)));
        world.meddle(faults::during(from..from + 60_000, faults::all(injectors)));
        world.run(10_000);
        world.crash((node + 1) % 3);
        world.run(500);
        world.start((node + 1) % 3);
        world.run(52_000);
        world.calm();
        // How long each job has waited though it need not.
        let mut since = vec![None; jobs.len()];
        let over = world.now + 200_000;
        let mut at = 0;
        let mut polls = vec![Vec::new(); jobs.len()];
        while world.now < over {
            for (i, body) in jobs.iter().enumerate() {
                let id = uid(body);
                if at % 6 == 0 {
                    let asked = world.poll((at / 6 + i) % 3, id);
                    polls[i].push((world.now, asked));
                }
                let used: usize = jobs
                    .iter()
                    .filter(|j| j["crew"] == body["crew"])
                    .map(|j| on(&world, uid(j)))
                    .sum();
                let waits = on(&world, id) == 0 && !world.checker().all_done(id);
                let room = world.workers.values().any(|w| !w.hanging && tasks_on(w) < 2);
                if waits && room && used < 4 {
                    let began: u64 = *since[i].get_or_insert(world.now);
                    assert!(world.now - began < 90_000, "{seed}: {id} waits\n{}", world.trace());
                } else {
                    since[i] = None;
                }
            }
            world.run(500);
            at += 1;
        }
        for (i, asked) in polls.iter().enumerate() {
            let mut last = asked[0].0;
            for (at, _) in asked.iter().filter(|(_, r)| world.status(*r) == 200) {
                assert!(at - last < 75_000, "{seed}: {}\n{}", uid(&jobs[i]), world.trace());
                last = *at;
            }
            assert!(over - last < 75_000, "{seed}: {}\n{}", uid(&jobs[i]), world.trace());
        }
        for body in &jobs[3..] {
            assert_eq!(stored(&world, uid(body)), "done", "{seed}\n{}", world.trace());
        }
        assert_no_breaches(&world, seed);
    }
}

/// Tasks on a machine, in whatever state but ended.
fn tasks_on(worker: &Worker) -> usize {
    worker.tasks.values().filter(|a| a.state != "ended").count()
}

/// Tasks of a job that are on machines.
fn on(world: &World, id: &str) -> usize {
    let prefix = format!("{id}/");
    let tasks = world.workers.values().flat_map(|w| &w.tasks);
    tasks
        .filter(|((task, _), a)| task.starts_with(&prefix) && a.state != "ended")
        .count()
}

#[test]
fn a_job_does_not_wait_while_there_is_room_on_a_machine_that_another_team_uses() {
    // The page: "no job is left waiting for 90 s while a machine that fits has room and its team is under its
    // limit". The cloud has no more machines, and each of two teams has one task on a machine with room for two.
    for shape in ["standing", "sweep"] {
        for change in [false, true] {
            let case = (shape, change);
            let mut world = World::new();
            world.run_ms = 600_000;
            world.cloud.most = 2;
            world.run(3000);
            world.accepted(0, &job(1, 0, shape, 1));
            let first = world.run_until(30_000, |w| w.running("job-000001") == 1);
            assert!(first, "{case:?}\n{}", world.trace());
            world.accepted(0, &job(2, 1, shape, 1));
            let second = world.run_until(30_000, |w| w.running("job-000002") == 1);
            assert!(second, "{case:?}\n{}", world.trace());
            if change {
                let owner = world.owner_of_team(2);
                world.crash(owner);
                world.run(300);
                world.start(owner);
            }
            world.accepted(0, &job(3, 2, shape, 1));
            let third = world.run_until(90_000, |w| w.running("job-000003") == 1);
            assert!(third, "{case:?}\n{}", world.trace());
            assert_no_breaches(&world, case);
        }
    }
}
