//! The cases.

use crate::json::Json;
use crate::machines::Fleet;
use crate::platform::{Controllers, Users, job, wait};
use crate::record::Record;
use crate::site::site;
use crate::store::Store;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Latest end of a case.
const LIMIT_S: f64 = 112.0;

struct Deployment {
    controllers: Controllers,
    users: Users,
    fleet: Fleet,
    store: Arc<Mutex<Store>>,
    record: Record,
}

type Outcome = Result<(), String>;

fn deploy(root: PathBuf, record: &Record, machines: usize) -> Result<Deployment, String> {
    let io = |e: std::io::Error| e.to_string();
    let (state, store) = Store::start().map_err(io)?;
    let (cloud, fleet) = Fleet::start(record, &[(site().zones[0], machines)]).map_err(io)?;
    let controllers = Controllers::start(root, record, state, cloud).map_err(io)?;
    let named = controllers
        .addresses
        .iter()
        .enumerate()
        .map(|(n, a)| (format!("berth-{n}"), *a));
    fleet.set_nodes(named.collect());
    let users = Users {
        nodes: controllers.addresses.clone(),
        fleet: fleet.clone(),
        record: record.clone(),
    };
    if !controllers.healthy(20.0) {
        return Err("the controllers are not healthy".to_owned());
    }
    Ok(Deployment {
        controllers,
        users,
        fleet,
        store,
        record: record.clone(),
    })
}

/// The site whose figures a case has.
pub fn site_of(case: &str) -> &'static str {
    match case {
        "cloud" | "flood" => "hanbit-railplan",
        _ => "frostmark-yards",
    }
}

pub fn play(case: &str, root: PathBuf, record: &Record, trouble: bool) -> Outcome {
    let machines = match case {
        "handed" | "flood" => 1,
        "1" | "2" => 2,
        _ => 3,
    };
    let play = match case {
        "1" => returned,
        "2" => roster,
        "3" => restart,
        "handed" => handed,
        "cloud" => cloud_outage,
        "flood" => flood,
        _ => return Err(format!("no case {case}")),
    };
    let mut deployment = deploy(root, record, machines)?;
    let outcome = play(&mut deployment, trouble);
    deployment.controllers.stop();
    outcome
}

fn id(job: &Json) -> String {
    job.get("uid").str().to_owned()
}

fn first_task(job: &Json) -> String {
    format!("{}/0", id(job))
}

impl Deployment {
    fn fail(&self, what: &str) -> Outcome {
        Err(format!("{what}, after {:.0} s", self.record.seconds()))
    }

    fn submit(&self, job: &Json) -> Outcome {
        if self.users.submit(job) {
            Ok(())
        } else {
            self.fail(&format!("{} was not accepted", id(job)))
        }
    }

    /// Waits until a task is on a machine other than `not`, and returns the machine.
    fn placed(&self, task: &str, not: &str, within_s: f64) -> Result<String, String> {
        let find = || self.record.machines_of(task).into_iter().find(|m| m != not);
        if !wait(within_s, || find().is_some()) {
            return Err(format!("{task} was not started, after {:.0} s", self.record.seconds()));
        }
        Ok(find().unwrap_or_default())
    }

    /// Runs a short task, so that a machine is up and idle. What is started there next goes by direct command.
    fn warm_up(&self) -> Outcome {
        let short = job(900, 0, "sweep", 1, [20.0, 1.0, 54.0], 1.0);
        self.submit(&short)?;
        self.placed(&first_task(&short), "", 60.0)?;
        let task = first_task(&short);
        if !wait(10.0, || self.record.machines_of(&task).is_empty()) {
            return self.fail("the first task did not end");
        }
        sleep(Duration::from_millis(1500));
        Ok(())
    }

    /// Cancels jobs at the same moment, and waits until their users are told.
    fn cancel_now(&self, jobs: &[Json]) -> Outcome {
        let users: Vec<_> = jobs
            .iter()
            .map(|job| {
                let users = Users {
                    nodes: self.users.nodes.clone(),
                    fleet: self.fleet.clone(),
                    record: self.record.clone(),
                };
                let id = id(job);
                spawn(move || users.cancel(&id, 0))
            })
            .collect();
        for user in users {
            if !user.join().unwrap_or(false) {
                return self.fail("a job could not be cancelled");
            }
        }
        Ok(())
    }

    fn left(&self) -> f64 {
        (LIMIT_S - self.record.seconds()).max(0.0)
    }
}

/// A machine goes to another team's controller and back, which forgets what direct commands started there. Then the
/// controller ends, and the network repeats one of them.
fn returned(d: &mut Deployment, trouble: bool) -> Outcome {
    let replay = job(1, 0, "sweep", 1, [10.0, 1.0, 54.0], 600.0);
    let watch = job(2, 0, "standing", 1, [16.0, 2.0, 86.0], 0.0);
    d.warm_up()?;
    d.submit(&replay)?;
    let task = first_task(&replay);
    let first = d.placed(&task, "", 60.0)?;
    let run = *d.fleet.runs(&first, &task).first().ok_or("no attempt")?;
    // Production work of the same team stops it there, and it goes on elsewhere.
    d.submit(&watch)?;
    let on = d.placed(&first_task(&watch), "", 30.0)?;
    let second = d.placed(&task, &first, 60.0)?;
    if on != first {
        return d.fail("the service did not take the first machine");
    }
    d.users.cancel(&id(&watch), 0);
    // Short work of another team takes the first machine, then short work of the first team again.
    let mut number = 10;
    for crew in [1, 0] {
        let mut borrowed = false;
        while !borrowed && d.left() > 15.0 {
            number += 1;
            let short = job(number, crew, "sweep", 1, [20.0, 1.0, 54.0], 1.0);
            d.submit(&short)?;
            borrowed = d.placed(&first_task(&short), "", 30.0)? == first;
            wait(10.0, || d.record.machines_of(&first_task(&short)).is_empty());
        }
    }
    let forgotten = wait(15.0f64.min(d.left()), || {
        d.fleet.with(&first, |m| !m.lists(&task, run)).unwrap_or(false)
    });
    d.record.log(format!(
        "{first} lists {task} run {run}: {}; it runs on {second}",
        !forgotten
    ));
    if trouble {
        d.controllers.kill(0);
        sleep(Duration::from_millis(300));
        d.fleet
            .repeat_start(&first, &task, run)
            .ok_or("the start was not sent by direct command")?;
        sleep(Duration::from_millis(5700));
        d.controllers.spawn(0).map_err(|e| e.to_string())?;
    }
    sleep(Duration::from_secs(4));
    Ok(())
}

/// Jobs are cancelled, their machines hang, and the controller of their team ends and returns.
fn restart(d: &mut Deployment, trouble: bool) -> Outcome {
    let jobs: Vec<Json> = (1..=3)
        .map(|n| job(n, 0, "sweep", 1, [16.0, 2.0, 86.0], 600.0))
        .collect();
    for job in &jobs {
        d.submit(job)?;
    }
    let mut machines = Vec::new();
    for job in &jobs {
        machines.push(d.placed(&first_task(job), "", 60.0)?);
    }
    sleep(Duration::from_secs(3));
    if trouble {
        machines.iter().for_each(|m| d.fleet.hang(m, 75.0));
    }
    let cancelled = Instant::now();
    d.cancel_now(&jobs)?;
    let at = |s: f64| sleep(Duration::from_secs_f64(s).saturating_sub(cancelled.elapsed()));
    if trouble {
        at(12.0);
        d.controllers.kill(0);
        at(18.0);
        d.controllers.spawn(0).map_err(|e| e.to_string())?;
    }
    at(site().cancel_s + 15.0);
    Ok(())
}

/// Not a case of its own, but a variant of case 1: a job is cancelled and its machine goes to another team's controller. Long after, the first controller ends, and the
/// network repeats its command.
fn handed(d: &mut Deployment, trouble: bool) -> Outcome {
    d.warm_up()?;
    let replay = job(1, 0, "sweep", 1, [10.0, 1.0, 54.0], 600.0);
    d.submit(&replay)?;
    let task = first_task(&replay);
    let machine = d.placed(&task, "", 60.0)?;
    let run = *d.fleet.runs(&machine, &task).first().ok_or("no attempt")?;
    sleep(Duration::from_secs(1));
    if !d.users.cancel(&id(&replay), 0) {
        return d.fail("the job could not be cancelled");
    }
    let told = Instant::now();
    let watch = job(2, 1, "standing", 1, [8.0, 1.0, 43.0], 0.0);
    d.submit(&watch)?;
    d.placed(&first_task(&watch), "", 30.0)?;
    let until = Duration::from_secs_f64(site().cancel_s + 2.0);
    sleep(until.saturating_sub(told.elapsed()));
    if trouble {
        d.controllers.kill(0);
        sleep(Duration::from_millis(300));
        d.fleet
            .repeat_start(&machine, &task, run)
            .ok_or("the start was not sent by direct command")?;
        sleep(Duration::from_millis(5700));
        d.controllers.spawn(0).map_err(|e| e.to_string())?;
    }
    sleep(Duration::from_secs(4));
    Ok(())
}

/// Jobs are cancelled, their machines hang, and the cloud's interface is down for a while.
fn cloud_outage(d: &mut Deployment, trouble: bool) -> Outcome {
    let jobs: Vec<Json> = (1..=3)
        .map(|n| job(n, 0, "sweep", 1, [40.0, 4.0, 200.0], 600.0))
        .collect();
    for job in &jobs {
        d.submit(job)?;
    }
    let mut machines = Vec::new();
    for job in &jobs {
        machines.push(d.placed(&first_task(job), "", 60.0)?);
    }
    sleep(Duration::from_secs(3));
    if trouble {
        machines.iter().for_each(|m| d.fleet.hang(m, 75.0));
    }
    let cancelled = Instant::now();
    d.cancel_now(&jobs)?;
    let at = |s: f64| sleep(Duration::from_secs_f64(s).saturating_sub(cancelled.elapsed()));
    if trouble {
        at(22.0);
        d.fleet.set_down(true);
        at(52.0);
        d.fleet.set_down(false);
    }
    at(site().cancel_s + 10.0);
    Ok(())
}

/// Not a case: a guest's array of short, small tasks beside a service. The reports of the machine become longer than a
/// request body may be.
fn flood(d: &mut Deployment, trouble: bool) -> Outcome {
    let watch = job(2, 0, "standing", 1, [8.0, 1.0, 43.0], 0.0);
    d.submit(&watch)?;
    d.placed(&first_task(&watch), "", 60.0)?;
    let mut census = job(1, 0, "sweep", 20_000, [0.25, 0.0, 1.35], 4.0);
    if let Json::Obj(fields) = &mut census {
        for (name, value) in fields.iter_mut() {
            match name.as_str() {
                "crew" => *value = Json::text(site().guests.unwrap_or("")),
                "consist" => *value = Json::text("wagon-census"),
                "precedence" => *value = Json::text("low"),
                _ => {}
            }
        }
    }
    if trouble {
        d.submit(&census)?;
    }
    sleep(Duration::from_secs(70));
    Ok(())
}

/// All controllers end after a machine was lent to another team's controller, and the network repeats the transaction
/// that entered the machine in the roster when it was rented.
fn roster(d: &mut Deployment, trouble: bool) -> Outcome {
    d.warm_up()?;
    // The idle machine is lent to the controller of another team, whose long task runs there from now on.
    let long = job(1, 1, "sweep", 1, [8.0, 1.0, 43.0], 600.0);
    d.submit(&long)?;
    let task = first_task(&long);
    let lent = d.placed(&task, "", 30.0)?;
    // The same controller gets a second machine, which is idle after a short task.
    let short = job(2, 1, "sweep", 1, [20.0, 1.0, 54.0], 1.0);
    d.submit(&short)?;
    d.placed(&first_task(&short), &lent, 60.0)?;
    wait(10.0, || d.record.machines_of(&first_task(&short)).is_empty());
    sleep(Duration::from_secs(2));
    if trouble {
        d.fleet.deafen(&lent, 16.0);
        (0..3).for_each(|node| d.controllers.kill(node));
        sleep(Duration::from_millis(300));
        let text = format!("\"write\":\"t/m/{lent}\"");
        let repeated = d.store.lock().unwrap().repeat_txn(&text);
        let (body, (status, answer)) = repeated.ok_or("there is no such transaction")?;
        d.record.log(format!(
            "network: delivers again to the state service: POST /txn {body}: {status} {answer}"
        ));
        sleep(Duration::from_millis(5700));
        for node in 0..3 {
            d.controllers.spawn(node).map_err(|e| e.to_string())?;
        }
    }
    sleep(Duration::from_secs(12));
    Ok(())
}
