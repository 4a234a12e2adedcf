//! The record of a run: what was sent, answered and run, and which rules were broken by what could be seen.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

struct Inner {
    file: File,
    /// The machines that each task is on: from the moment it has its image until it exits, is killed or the machine is
    /// gone.
    on: BTreeMap<String, BTreeSet<String>>,
    /// When the user was told that a job is cancelled.
    told: BTreeMap<String, Instant>,
    late: BTreeSet<(String, String)>,
    broken: Vec<String>,
}

#[derive(Clone)]
pub struct Record {
    start: Instant,
    cancel: Duration,
    inner: Arc<Mutex<Inner>>,
}

fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or(task)
}

impl Record {
    pub fn new(path: &Path, cancel_s: f64) -> std::io::Result<Self> {
        let inner = Inner {
            file: File::create(path)?,
            on: BTreeMap::new(),
            told: BTreeMap::new(),
            late: BTreeSet::new(),
            broken: Vec::new(),
        };
        let record = Self {
            start: Instant::now(),
            cancel: Duration::from_secs_f64(cancel_s),
            inner: Arc::new(Mutex::new(inner)),
        };
        let checking = record.clone();
        std::thread::spawn(move || {
            loop {
                checking.check_cancelled();
                std::thread::sleep(Duration::from_millis(20));
            }
        });
        Ok(record)
    }

    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn log(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}", self.seconds(), text.as_ref());
        let mut inner = self.inner.lock().unwrap();
        let _ = writeln!(inner.file, "{line}");
    }

    pub fn broken(&self, rule: &str, text: &str) {
        self.log(format!("BROKEN {rule}: {text}"));
        self.inner.lock().unwrap().broken.push(format!("{rule}: {text}"));
    }

    pub fn broken_rules(&self) -> Vec<String> {
        self.inner.lock().unwrap().broken.clone()
    }

    /// A task has its image and is on a machine from now on.
    pub fn task_on(&self, task: &str, run: u64, machine: &str) {
        self.log(format!("task {task} run {run} is on {machine}"));
        let (elsewhere, told) = {
            let mut inner = self.inner.lock().unwrap();
            let machines = inner.on.entry(task.to_owned()).or_default();
            let elsewhere: Vec<String> = machines.iter().filter(|m| *m != machine).cloned().collect();
            machines.insert(machine.to_owned());
            (elsewhere, inner.told.get(job_of(task)).copied())
        };
        if !elsewhere.is_empty() {
            self.broken(
                "ran_twice",
                &format!("{task} starts on {machine} while it is on {}", elsewhere.join(", ")),
            );
        }
        if let Some(told) = told.filter(|told| told.elapsed() > self.cancel) {
            let s = told.elapsed().as_secs_f64();
            self.broken(
                "ran_cancelled",
                &format!("{task} starts on {machine} {s:.1} s after its user was told that the job is cancelled"),
            );
        }
    }

    pub fn task_off(&self, task: &str, run: u64, machine: &str, why: &str) {
        self.log(format!("task {task} run {run} is off {machine}: {why}"));
        let mut inner = self.inner.lock().unwrap();
        if let Some(machines) = inner.on.get_mut(task) {
            machines.remove(machine);
        }
    }

    pub fn machines_of(&self, task: &str) -> Vec<String> {
        let inner = self.inner.lock().unwrap();
        inner.on.get(task).map_or(Vec::new(), |m| m.iter().cloned().collect())
    }

    pub fn told_cancelled(&self, job: &str) {
        let mut inner = self.inner.lock().unwrap();
        inner.told.entry(job.to_owned()).or_insert_with(Instant::now);
    }

    fn check_cancelled(&self) {
        let mut found = Vec::new();
        {
            let mut inner = self.inner.lock().unwrap();
            for (task, machines) in &inner.on {
                let Some(told) = inner.told.get(job_of(task)).filter(|t| t.elapsed() > self.cancel) else {
                    continue;
                };
                for machine in machines {
                    let pair = (task.clone(), machine.clone());
                    if !inner.late.contains(&pair) {
                        found.push((pair, told.elapsed().as_secs_f64()));
                    }
                }
            }
            inner.late.extend(found.iter().map(|(pair, _)| pair.clone()));
        }
        for ((task, machine), s) in found {
            self.broken(
                "ran_cancelled",
                &format!("{task} is on {machine} {s:.1} s after its user was told that the job is cancelled"),
            );
        }
    }
}
