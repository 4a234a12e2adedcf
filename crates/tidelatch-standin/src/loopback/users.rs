//! Simulates users on 127.0.0.1: they submit jobs and poll all controllers for the status of each job.

use super::http::request;
use super::{Recorder, Services, lock, wait_until};
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Timeout of a user's request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two rounds of polls.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time within which a submission must be accepted.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(60);

/// The users of a deployment.
pub struct Users {
    controllers: Vec<SocketAddr>,
    jobs: Arc<Mutex<BTreeSet<String>>>,
    done: Arc<Mutex<BTreeSet<String>>>,
    stop: Arc<AtomicBool>,
    pollers: Vec<JoinHandle<()>>,
}

impl Users {
    /// Starts users that poll each controller for the status of all jobs, in a thread for each controller.
    pub fn start(controllers: &[SocketAddr], services: &Services) -> Self {
        let mut users = Self {
            controllers: controllers.to_vec(),
            jobs: Arc::default(),
            done: Arc::default(),
            stop: Arc::default(),
            pollers: Vec::new(),
        };
        for controller in controllers {
            let poller = users.start_poller(*controller, services.recorder());
            users.pollers.push(poller);
        }
        users
    }

    fn start_poller(&self, controller: SocketAddr, recorder: Arc<Mutex<Recorder>>) -> JoinHandle<()> {
        let (jobs, done, stop) = (self.jobs.clone(), self.done.clone(), self.stop.clone());
        thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let polled_jobs: Vec<String> = lock(&jobs).iter().cloned().collect();
                for job in polled_jobs {
                    let answer = request(controller, "GET", &format!("/submissions/{job}"), "", REQUEST_TIMEOUT);
                    if let Some(status) = parse_status(answer) {
                        lock(&recorder).record_status_answer(&job, &status);
                        if status == "done" {
                            lock(&done).insert(job);
                        }
                    }
                }
                thread::sleep(POLL_INTERVAL);
            }
        })
    }

    /// Submits a job to one controller after the other until one accepts it. Returns false if none does within 60 s.
    pub fn submit(&self, services: &Services, job: &Value) -> bool {
        services.register_job(job);
        let body = job.to_string();
        let accepted = wait_until(ACCEPT_TIMEOUT, || {
            self.controllers.iter().any(|controller| {
                let answer = request(*controller, "POST", "/submissions", &body, REQUEST_TIMEOUT);
                matches!(answer, Ok((200 | 201, _)))
            })
        });
        let id = job["uid"].as_str().unwrap_or_default().to_owned();
        lock(&self.jobs).insert(id);
        accepted
    }

    /// Returns whether a controller has reported the job as done.
    pub fn is_done(&self, job: &str) -> bool {
        lock(&self.done).contains(job)
    }
}

fn parse_status(answer: std::io::Result<(u16, String)>) -> Option<String> {
    let (200, body) = answer.ok()? else { return None };
    let body: Value = serde_json::from_str(&body).ok()?;
    Some(body["status"].as_str()?.to_owned())
}

impl Drop for Users {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for poller in self.pollers.drain(..) {
            let _ = poller.join();
        }
    }
}
