//! What happens in each case.

use crate::http::Gate;
use crate::world::{job, Facts, Model, World};
use std::path::Path;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;

pub fn run(case: &str, folder: &Path) {
    match case {
        "shared-machine" => shared_machine(folder),
        "old-start" => old_start(folder),
        "hang-in-outage" => hang_in_outage(folder),
        "held-start" => held_start(folder),
        "gang-burst" => gang_burst(folder),
        // Played during the review, and not made a case.
        "never-up" => never_up(folder),
        "cloud-and-takeover" => cloud_and_takeover(folder),
        "random" => random_troubles(folder),
        _ => {
            eprintln!("no such case: {case}");
            std::process::exit(2)
        }
    }
}

fn rack_cooler(yards: &[&'static str]) -> Vec<Model> {
    vec![Model {
        label: "rack-cooler",
        size: [24.0, 2.0, 144.0],
        yards: yards.to_vec(),
        startup_s: 35.0,
    }]
}

fn ms(ms: u64) {
    sleep(Duration::from_millis(ms));
}

/// A controller loses the state service for some seconds, less than its lease, while a machine on which one of its
/// tasks runs goes from the second controller to the third.
fn shared_machine(folder: &Path) {
    let mut w = World::start(folder, Facts::frostmark(), rack_cooler(&["quay"]), &[("quay", 2)], 1500);
    let Some(leader) = w.leader() else {
        w.cannot_run("no leader")
    };
    let y = (0..3).find(|i| *i != leader).unwrap_or(0);
    let others: Vec<usize> = (0..3).filter(|i| *i != y).collect();
    let (x, z) = (others[0], others[1]);
    w.shared.log(&format!(
        "leader berth-{leader}; the job of berth-{y}, then one of berth-{x}, then one of berth-{z}"
    ));
    w.submit(&job("job-000001", y, "sweep", "normal", 3, 1.0, "img-01"));
    if !w.wait("three tasks on two machines", 30, || {
        w.running().values().map(Vec::len).sum::<usize>() == 3
    }) {
        w.cannot_run("the first job does not run");
    }
    let running = w.running();
    let Some((m1, full)) = running.iter().find(|(_, t)| t.len() == 2) else {
        w.cannot_run("no full machine")
    };
    let Some((m2, single)) = running.iter().find(|(_, t)| t.len() == 1) else {
        w.cannot_run("no half machine")
    };
    w.shared
        .log(&format!("{m1} runs {}, {m2} runs {}", full.join(" "), single[0]));
    w.submit(&job("job-000002", x, "sweep", "normal", 1, 1.0, "img-01"));
    let second = "job-000002/0".to_owned();
    if !w.wait("the second job on the shared machine", 30, || {
        w.running()[m2].contains(&second)
    }) {
        w.cannot_run("the second job does not run");
    }
    ms(4000);
    w.finish(m2, &second);
    ms(3500);
    w.submit(&job("job-000003", z, "sweep", "normal", 1, 1.0, "img-01"));
    ms(500);
    if w.trouble {
        w.shared.log(&format!("berth-{y} loses the state service"));
        w.doors[y].set(Gate::Reset);
    }
    let cut = std::time::Instant::now();
    let moved = w.wait("the machine goes on", 4, || w.partition_of(m2) == Some(z as u64));
    w.shared.log(&format!("{m2} is of partition {:?}", w.partition_of(m2)));
    ms(4000u64.saturating_sub(cut.elapsed().as_millis() as u64).max(500));
    if w.trouble {
        w.doors[y].set(Gate::Open);
        w.shared.log(&format!("berth-{y} has the state service again"));
    }
    if !moved
        && !w.wait("the machine goes on, later", 15, || {
            w.partition_of(m2) == Some(z as u64)
        })
    {
        w.cannot_run("the machine was not handed on");
    }
    ms(4000);
    w.finish(m1, &full[0]);
    ms(15_000);
    w.finish_case();
}

/// The answer to one direct start is held up for two seconds. Then a service of another team waits although the machine
/// has room for it.
fn held_start(folder: &Path) {
    let mut w = World::start(folder, Facts::frostmark(), rack_cooler(&["quay"]), &[("quay", 1)], 1500);
    w.shared.run_ms.lock().unwrap().insert("job-000001".into(), 500);
    w.submit(&job("job-000001", 0, "sweep", "low", 1, 1.0, "img-01"));
    if !w.wait("the first job", 30, || w.running().values().any(|t| !t.is_empty())) {
        w.cannot_run("the first job does not run");
    }
    if w.trouble {
        *w.shared.hold_start_ms.lock().unwrap() = Some(2000);
    }
    w.submit(&job("job-000002", 0, "sweep", "low", 1, 1.0, "img-01"));
    let second = "job-000002/0".to_owned();
    let runs = |w: &World, task: &str| w.running().values().any(|t| t.iter().any(|t| t == task));
    if !w.wait("the second job", 30, || runs(&w, &second)) {
        w.cannot_run("the second job does not run");
    }
    if !w.wait("no command is held up", 20, || {
        w.shared.held.load(Ordering::SeqCst) == 0
    }) {
        w.cannot_run("the command is still held up");
    }
    if w.trouble && w.shared.hold_start_ms.lock().unwrap().is_some() {
        w.cannot_run("no direct start was sent");
    }
    w.submit(&job("job-000003", 1, "standing", "prod", 1, 1.0, "img-01"));
    let third = "job-000003/0".to_owned();
    if !w.wait("the service on the machine", 90, || runs(&w, &third)) {
        w.user(0, "GET", "/submissions/job-000003", "", 2);
        w.shared.breach(
            "waits_beside_room",
            "job-000003 has waited for 90 s while the only machine had room for it",
        );
    }
    w.finish_case();
}

struct Random(u64);

impl Random {
    fn next(&mut self, below: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % below.max(1)
    }
}

/// Users, and troubles at random: `SEED` and `KINDS` (a list with commas) in the environment.
fn random_troubles(folder: &Path) {
    let seed: u64 = std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(1);
    let rooms = std::env::var("ROOMS").ok().and_then(|s| s.parse().ok()).unwrap_or(3);
    let kinds: Vec<String> = std::env::var("KINDS")
        .unwrap_or_default()
        .split(',')
        .map(str::to_owned)
        .collect();
    let mut r = Random(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1);
    (0..5).for_each(|_| {
        r.next(9);
    });
    let mut facts = Facts::frostmark();
    facts.gang = Some((35.0, 5.0));
    facts.gpus = (2.0, 4.0);
    let mut w = World::start(
        folder,
        facts,
        rack_cooler(&["annex", "quay"]),
        &[("annex", rooms), ("quay", rooms)],
        1500,
    );
    let s = w.shared.clone();
    std::thread::spawn(move || loop {
        s.check_cancelled();
        std::thread::sleep(Duration::from_millis(200));
    });
    // Users: submit, poll at all nodes, cancel.
    let user_seed = r.next(1 << 40);
    let s = w.shared.clone();
    for u in 0..6u64 {
        let s = s.clone();
        std::thread::spawn(move || {
            let mut r = Random(user_seed ^ (u + 1).wrapping_mul(0xABCD_EF12_3456_7891) | 1);
            (0..5).for_each(|_| {
                r.next(9);
            });
            let mut n = 0u64;
            loop {
                n += 1;
                let id = format!("job-{:06}", u * 1000 + n);
                let team = r.next(6) as usize;
                let kind = r.next(10);
                let (shape, pre, tasks) = match kind {
                    0..=1 => ("standing", "prod", 1 + r.next(3) as u32),
                    2..=3 => ("group", "normal", 2 + r.next(2) as u32),
                    4..=6 => ("sweep", "low", 1 + r.next(5) as u32),
                    _ => ("sweep", "normal", 1 + r.next(3) as u32),
                };
                let image = format!("img-{:02}", r.next(3));
                let mut body = job(&id, team, shape, pre, tasks, 1.0, &image);
                if r.next(4) == 0 {
                    body = body.replace("\"spread\":false", "\"spread\":true");
                } else if r.next(4) == 0 {
                    body = body.replace("\"together\":false", "\"together\":true");
                }
                s.jobs
                    .lock()
                    .unwrap()
                    .insert(id.clone(), crate::json::Json::parse(&body).unwrap());
                if shape != "standing" {
                    s.run_ms.lock().unwrap().insert(id.clone(), 1000 + r.next(25_000));
                }
                let call = |node: u64, method: &str, path: &str, body: &str, wait: u64, what: &str| {
                    let to = s.nodes.lock().unwrap()[(node % 3) as usize];
                    let sent = std::time::Instant::now();
                    let a = crate::http::call(to, method, path, body, Duration::from_secs(wait));
                    let text = a.as_ref().map_or("none".to_owned(), |(s, b)| format!("{s} {b}"));
                    s.log(&format!("user {u} -> berth-{}: {what} {id}: {text}", node % 3));
                    s.check_answer(&id, sent, what, &a);
                    a
                };
                let mut ok = false;
                for _ in 0..30 {
                    match call(r.next(3), "POST", "/submissions", &body, 5, "submit") {
                        Some((200 | 201, _)) => {
                            ok = true;
                            break;
                        }
                        Some((400 | 422, _)) => break,
                        _ => ms(1000),
                    }
                }
                if !ok {
                    continue;
                }
                (0..3).for_each(|i| {
                    call(i, "GET", &format!("/submissions/{id}"), "", 2, "poll");
                });
                let life = if shape == "standing" {
                    5 + r.next(40)
                } else if r.next(3) == 0 {
                    r.next(15)
                } else {
                    90
                };
                let began = std::time::Instant::now();
                let mut over = false;
                while began.elapsed().as_secs() < life && !over {
                    ms(1000 + r.next(1500));
                    if r.next(6) == 0 {
                        call(r.next(3), "POST", "/submissions", &body, 5, "submit");
                    }
                    let a = call(r.next(3), "GET", &format!("/submissions/{id}"), "", 2, "poll");
                    over = a.is_some_and(|(_, b)| b.contains("\"done\",") || b.contains("\"status\":\"done\""));
                }
                if !over {
                    for _ in 0..60 {
                        if let Some((200, _)) = call(
                            r.next(3),
                            "POST",
                            &format!("/submissions/{id}/withdraw"),
                            "",
                            5,
                            "cancel",
                        ) {
                            break;
                        }
                        ms(1000);
                    }
                }
                (0..3).for_each(|i| {
                    call(i, "GET", &format!("/submissions/{id}"), "", 2, "poll");
                });
            }
        });
    }
    let began = std::time::Instant::now();
    ms(8000);
    let mut faults = 0;
    while began.elapsed().as_secs() < 85 {
        ms(1000 + r.next(4000));
        let kind = kinds[r.next(kinds.len() as u64) as usize].clone();
        let node = r.next(3) as usize;
        let names: Vec<String> = w.running().keys().cloned().collect();
        faults += 1;
        w.shared.log(&format!("FAULT {faults}: {kind} berth-{node}"));
        match kind.as_str() {
            "reset" => {
                w.doors[node].set(Gate::Reset);
                ms(500 + r.next(4000));
                w.doors[node].set(Gate::Open);
            }
            "resetlong" => {
                w.doors[node].set(Gate::Reset);
                ms(5000 + r.next(10_000));
                w.doors[node].set(Gate::Open);
            }
            "refuse" => {
                w.shared.state.set_refused(node, true);
                ms(1000 + r.next(14_000));
                w.shared.state.set_refused(node, false);
            }
            "down" => {
                w.shared.state.set_down(true);
                ms(1000 + r.next(25_000));
                w.shared.state.set_down(false);
            }
            "kill" => {
                w.kill(node);
                ms(if r.next(2) == 0 { 200 } else { 6000 });
                w.spawn(node);
            }
            "killall" => {
                (0..3).for_each(|i| w.kill(i));
                ms(r.next(8000));
                for i in 0..3 {
                    w.spawn(i);
                    ms(r.next(500));
                }
            }
            "stop" => {
                w.signal(node, "STOP");
                ms(1000 + r.next(12_000));
                w.signal(node, "CONT");
            }
            "hang" => {
                if let Some(n) = names.get(r.next(names.len() as u64) as usize).cloned() {
                    let hang = 2000 + r.next(25_000);
                    if let Some(x) = w.shared.workers.lock().unwrap().get_mut(&n) {
                        x.hangs = true;
                    }
                    w.shared.log(&format!("{n} hangs for {hang} ms"));
                    let s = w.shared.clone();
                    std::thread::spawn(move || {
                        ms(hang);
                        if let Some(x) = s.workers.lock().unwrap().get_mut(&n) {
                            x.hangs = false;
                        }
                    });
                }
            }
            "hold" => *w.shared.hold_start_ms.lock().unwrap() = Some(2000 + r.next(14_000)),
            "late" => {
                w.shared.state.set_late(200, 100);
                ms(3000 + r.next(8000));
                w.shared.state.set_late(0, 0);
            }
            "old" => {
                let old = w.shared.old_reports.lock().unwrap();
                let nodes = w.shared.nodes.lock().unwrap().clone();
                for _ in 0..10 {
                    let body = old[r.next(old.len() as u64) as usize].clone();
                    let to = nodes[r.next(3) as usize];
                    std::thread::spawn(move || {
                        crate::http::call(to, "POST", "/agent/beat", &body, Duration::from_secs(4))
                    });
                }
            }
            "slow" => {
                w.shared.state.set_slow(200 + r.next(1200));
                ms(4000 + r.next(15_000));
                w.shared.state.set_slow(0);
            }
            "lose" => {
                if let Some(n) = names.get(r.next(names.len() as u64) as usize) {
                    w.shared.log(&format!("{n} stops with all that is on it"));
                    w.shared.workers.lock().unwrap().remove(n);
                }
            }
            _ => {}
        }
    }
    w.finish_case();
}

/// A machine hangs as its job is cancelled, the state service is out for longer than `cancel_s`, and the job's
/// controller ends and is back six seconds later.
fn hang_in_outage(folder: &Path) {
    let mut w = World::start(folder, Facts::frostmark(), rack_cooler(&["quay"]), &[("quay", 3)], 1500);
    w.submit(&job("job-000001", 0, "standing", "prod", 1, 1.0, "img-01"));
    let task = "job-000001/0".to_owned();
    if !w.wait("the service", 30, || w.running().values().any(|t| t.contains(&task))) {
        w.cannot_run("the service does not run");
    }
    ms(6000);
    let running = w.running();
    let Some((machine, _)) = running.iter().find(|(_, t)| t.contains(&task)) else {
        w.cannot_run("no machine")
    };
    if w.trouble {
        w.shared.log(&format!("{machine} hangs"));
        if let Some(m) = w.shared.workers.lock().unwrap().get_mut(machine) {
            m.hangs = true;
        }
        let (shared, name) = (w.shared.clone(), machine.clone());
        std::thread::spawn(move || {
            ms(39_000);
            if let Some(m) = shared.workers.lock().unwrap().get_mut(&name) {
                m.hangs = false;
                shared.log(&format!("{name} goes on"));
            }
        });
    }
    let mut told = false;
    for node in 0..30 {
        let sent = std::time::Instant::now();
        let answer = w.user(node % 3, "POST", "/submissions/job-000001/withdraw", "", 5);
        w.shared.check_answer("job-000001", sent, "cancel", &answer);
        if answer.is_some_and(|(s, _)| s == 200) {
            told = true;
            break;
        }
        ms(1000);
    }
    if !told {
        w.cannot_run("the cancellation was not confirmed");
    }
    ms(1000);
    if w.trouble {
        w.shared.log("the state service is out");
        w.shared.state.set_down(true);
        let shared = w.shared.clone();
        std::thread::spawn(move || {
            ms(39_000);
            shared.state.set_down(false);
            shared.log("the state service is back");
        });
        ms(1000);
        w.kill(0);
        ms(6000);
        w.spawn(0);
    }
    let until = std::time::Instant::now() + Duration::from_secs(40);
    while std::time::Instant::now() < until && w.shared.broken.lock().unwrap().is_empty() {
        w.shared.check_cancelled();
        ms(200);
    }
    w.finish_case();
}

/// The machine rented for a job never comes up; the job waits for its replacement beside a machine with room.
fn never_up(folder: &Path) {
    let mut w = World::start(folder, Facts::frostmark(), rack_cooler(&["quay"]), &[("quay", 6)], 1500);
    w.submit(&job("job-000001", 0, "sweep", "normal", 1, 1.0, "img-01"));
    let runs = |w: &World, task: &str| w.running().values().any(|t| t.iter().any(|t| t == task));
    if !w.wait("the first job", 30, || runs(&w, "job-000001/0")) {
        w.cannot_run("the first job does not run");
    }
    {
        let mut cloud = w.shared.cloud.lock().unwrap();
        cloud.boot_ms = 35_000;
        cloud.never_up = usize::from(w.trouble);
    }
    w.submit(&job("job-000002", 1, "sweep", "normal", 1, 1.0, "img-01"));
    if !w.wait("the second job on a machine", 90, || runs(&w, "job-000002/0")) {
        w.user(0, "GET", "/submissions/job-000002", "", 2);
        w.shared.breach(
            "waits_beside_room",
            "job-000002 has waited for 90 s while a machine had room for it",
        );
    }
    w.finish_case();
}

/// Gangs of one team come several times as often for a second, and then wait for more room than there is. A job of
/// another team waits beside the room that none of them can use.
fn gang_burst(folder: &Path) {
    let mut facts = Facts::frostmark();
    facts.gang = Some((35.0, 5.0));
    let mut w = World::start(folder, facts, rack_cooler(&["quay"]), &[("quay", 1)], 1500);
    w.submit(&job("job-000001", 0, "sweep", "normal", 1, 1.0, "img-01"));
    let runs = |w: &World, task: &str| w.running().values().any(|t| t.iter().any(|t| t == task));
    if !w.wait("the first job", 30, || runs(&w, "job-000001/0")) {
        w.cannot_run("the first job does not run");
    }
    if w.trouble {
        for n in 0..4 {
            w.submit(&job(&format!("job-00001{n}"), 0, "group", "normal", 2, 1.0, "img-01"));
        }
        ms(1000);
    }
    w.submit(&job("job-000002", 1, "sweep", "normal", 1, 1.0, "img-01"));
    if !w.wait("the second job on the machine", 90, || runs(&w, "job-000002/0")) {
        w.user(0, "GET", "/submissions/job-000002", "", 2);
        w.shared.breach(
            "waits_beside_room",
            "job-000002 has waited for 90 s while a machine had room for it",
        );
    }
    w.finish_case();
}

/// A controller ends, and the network repeats a start that it sent more than three workers' leases before. The job of
/// that start was cancelled long ago.
fn old_start(folder: &Path) {
    let mut w = World::start(folder, Facts::frostmark(), rack_cooler(&["quay"]), &[("quay", 3)], 1500);
    let runs = |w: &World, task: &str| w.running().values().any(|t| t.iter().any(|t| t == task));
    w.submit(&job("job-000001", 0, "sweep", "normal", 1, 1.0, "img-01"));
    if !w.wait("the first job", 30, || runs(&w, "job-000001/0")) {
        w.cannot_run("the first job does not run");
    }
    w.submit(&job("job-000002", 0, "sweep", "normal", 1, 1.0, "img-01"));
    if !w.wait("the second job", 30, || runs(&w, "job-000002/0")) {
        w.cannot_run("the second job does not run");
    }
    let old = w
        .shared
        .old_starts
        .lock()
        .unwrap()
        .iter()
        .find(|(_, b)| b.contains("job-000002/0"))
        .cloned();
    let Some((machine, body)) = old else {
        w.cannot_run("the second job was not started by a direct command")
    };
    let mut told = false;
    for node in 0..20 {
        let sent = std::time::Instant::now();
        let answer = w.user(node % 3, "POST", "/submissions/job-000002/withdraw", "", 5);
        w.shared.check_answer("job-000002", sent, "cancel", &answer);
        told = answer.is_some_and(|(s, _)| s == 200);
        if told {
            break;
        }
        ms(1000);
    }
    if !told {
        w.cannot_run("the cancellation was not confirmed");
    }
    let is_listed = |w: &World| {
        let workers = w.shared.workers.lock().unwrap();
        workers
            .get(&machine)
            .is_some_and(|m| m.tasks.keys().any(|(t, _)| t == "job-000002/0"))
    };
    if !w.wait("the attempt is forgotten", 75, || !is_listed(&w)) {
        w.cannot_run("the attempt is still listed");
    }
    w.shared.log(&format!("{machine} has been told to forget the attempt"));
    ms(1000);
    if w.trouble {
        w.kill(0);
        ms(300);
        if !w.repeat_start(&machine, &body) {
            w.cannot_run("the repeat was not carried out");
        }
    }
    let until = std::time::Instant::now() + Duration::from_secs(10);
    while std::time::Instant::now() < until && w.shared.broken.lock().unwrap().is_empty() {
        w.shared.check_cancelled();
        ms(20);
    }
    w.finish_case();
}

/// An entry that is played and not a case: a machine hangs as its job is cancelled, the controller ends and is back
/// after 4 s, and from 20 s to 50 s after the cancellation the cloud is down.
fn cloud_and_takeover(folder: &Path) {
    let mut w = World::start(
        folder,
        Facts::hanbit(),
        rack_cooler(&["daejeon"]),
        &[("daejeon", 3)],
        1500,
    );
    w.submit(&job("job-000001", 0, "standing", "prod", 1, 1.0, "img-01"));
    let task = "job-000001/0".to_owned();
    if !w.wait("the service", 30, || w.running().values().any(|t| t.contains(&task))) {
        w.cannot_run("the service does not run");
    }
    ms(6000);
    let running = w.running();
    let Some((machine, _)) = running.iter().find(|(_, t)| t.contains(&task)) else {
        w.cannot_run("no machine")
    };
    if w.trouble {
        if let Some(m) = w.shared.workers.lock().unwrap().get_mut(machine) {
            m.hangs = true;
        }
    }
    let sent = std::time::Instant::now();
    let answer = w.user(0, "POST", "/submissions/job-000001/withdraw", "", 5);
    w.shared.check_answer("job-000001", sent, "cancel", &answer);
    let crash = w.trouble && std::env::var("CRASH").map_or(true, |c| c != "0");
    let told = std::time::Instant::now();
    let mut stage = 0;
    while told.elapsed().as_secs() < 56 && w.shared.broken.lock().unwrap().is_empty() {
        w.shared.check_cancelled();
        ms(100);
        let s = told.elapsed().as_secs();
        match stage {
            0 if s >= 5 => {
                stage = 1;
                if crash {
                    w.kill(0);
                }
            }
            1 if s >= 9 => {
                stage = 2;
                if crash {
                    w.spawn(0);
                }
            }
            2 if s >= 20 => {
                stage = 3;
                if w.trouble {
                    w.shared.cloud.lock().unwrap().down = true;
                    w.shared.log("the cloud is down");
                }
            }
            3 if s >= 50 => {
                stage = 4;
                w.shared.cloud.lock().unwrap().down = false;
                w.shared.log("the cloud is back");
            }
            _ => {}
        }
    }
    w.finish_case();
}
