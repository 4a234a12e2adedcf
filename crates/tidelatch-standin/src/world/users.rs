//! Simulates the users: their requests to the controllers, and the answers that they receive.

use super::World;
use super::event::{Event, PendingRequest};
use super::gangs::GANG_STEP_INTERVAL_MS;
use crate::checker::UserRequest;
use serde_json::Value;
use std::collections::BTreeMap;
use tidelatch_core::{Answer, Input, Method};

impl World {
    /// Submits a job to a controller. Returns the request number.
    pub fn submit(&mut self, controller: usize, body: &Value) -> u64 {
        let id = body["uid"].as_str().unwrap_or_default().to_owned();
        self.jobs.insert(id.clone(), body.clone());
        self.checker.record_submission(body);
        self.write_trace(&format!("a user submits {id} to berth-{controller}"));
        if body["shape"] == "group" && !self.gangs_scheduled {
            self.gangs_scheduled = true;
            self.schedule(GANG_STEP_INTERVAL_MS, Event::StepGangs);
        }
        self.send_user_request(
            controller,
            Method::Post,
            "/submissions",
            &body.to_string(),
            (id, "submit"),
        )
    }

    /// Queries the status of a job at a controller. Returns the request number.
    pub fn poll(&mut self, controller: usize, id: &str) -> u64 {
        self.send_user_request(
            controller,
            Method::Get,
            &format!("/submissions/{id}"),
            "",
            (id.to_owned(), "poll"),
        )
    }

    /// Sends a cancellation request for a job to a controller. Returns the request number.
    pub fn cancel(&mut self, controller: usize, id: &str) -> u64 {
        self.write_trace(&format!("a user cancels {id} at berth-{controller}"));
        let path = format!("/submissions/{id}/withdraw");
        self.send_user_request(controller, Method::Post, &path, "", (id.to_owned(), "withdraw"))
    }

    /// Sends any user request to a controller. `about` is the job and the kind of request, for the trace and the
    /// checker. The checker ignores the answer to a request of the kind `health`. Returns the request number.
    pub fn send_user_request(
        &mut self,
        controller: usize,
        method: Method,
        path: &str,
        body: &str,
        about: (String, &'static str),
    ) -> u64 {
        let id = self.new_request(PendingRequest::User);
        let cancels = path
            .strip_prefix("/submissions/")
            .and_then(|p| p.strip_suffix("/withdraw"));
        if let Some(job) = cancels.filter(|_| method == Method::Post) {
            self.checker.record_request(self.now, job, UserRequest::Cancel);
        } else if about.1 == "submit" {
            self.checker.record_request(self.now, &about.0, UserRequest::Submit);
        } else if about.1 == "poll" {
            self.checker.record_request(self.now, &about.0, UserRequest::Query);
        }
        self.request_subjects.insert(id, about);
        self.deliver_input(
            controller,
            Input::Request {
                id,
                method,
                path: path.to_owned(),
                body: body.as_bytes().to_vec(),
            },
        );
        id
    }

    /// Assigns a number to a request and registers its sender, who waits for the answer.
    pub(super) fn new_request(&mut self, sender: PendingRequest) -> u64 {
        let id = self.next_request;
        self.next_request += 1;
        self.pending_requests.insert(id, sender);
        id
    }

    /// Returns the HTTP status of the answer to a request; 0: there is no answer yet.
    pub fn http_status(&self, request: u64) -> u16 {
        self.answers.get(&request).map_or(0, |(_, a)| a.status)
    }

    /// Returns the `status` field of the answer to a request, or an empty string.
    pub fn job_status(&self, request: u64) -> String {
        self.answers
            .get(&request)
            .and_then(|(_, a)| serde_json::from_str::<Value>(&a.body).ok())
            .and_then(|v| v["status"].as_str().map(str::to_owned))
            .unwrap_or_default()
    }

    /// Submits a job repeatedly until it is accepted.
    ///
    /// # Panics
    ///
    /// If 20 submissions were not accepted.
    pub fn submit_until_accepted(&mut self, controller: usize, body: &Value) {
        for _ in 0..20 {
            let request = self.submit(controller, body);
            self.run_for(500);
            if matches!(self.http_status(request), 200 | 201) {
                return;
            }
            self.run_for(500);
        }
        panic!("not accepted:\n{}", self.trace());
    }

    /// Runs the simulation for `ms` milliseconds while users poll the jobs at one controller after the other. Returns
    /// the jobs for which no poll was answered with 200.
    pub fn poll_unanswered(&mut self, ms: u64, jobs: &[&str]) -> Vec<String> {
        let until = self.now + ms;
        let mut polls_by_job: BTreeMap<String, Vec<u64>> = jobs.iter().map(|j| ((*j).to_owned(), Vec::new())).collect();
        let mut controller = 0;
        while self.now < until {
            for (job, polls) in &mut polls_by_job {
                let polled = self.poll(controller, job);
                polls.push(polled);
                controller = (controller + 1) % self.controllers.len();
            }
            self.run_for(3000);
        }
        let answered = |r: &u64| self.http_status(*r) == 200;
        polls_by_job
            .into_iter()
            .filter(|(_, polls)| !polls.iter().any(answered))
            .map(|(job, _)| job)
            .collect()
    }

    /// Makes a user cancel a job at a controller, this many milliseconds after the job's last task has ended. The
    /// request number is then in [`World::cancellation_requests_at_end`].
    pub fn cancel_after_last_task(&mut self, controller: usize, job: &str, after: u64) {
        self.cancel_after_last_task.insert(job.to_owned(), (controller, after));
    }

    /// Sends the cancellation of a job whose last task has ended.
    pub(super) fn cancel_ended_job(&mut self, controller: usize, job: String) {
        let request = self.cancel(controller, &job);
        self.cancellation_requests_at_end.insert(job, request);
    }

    /// Delivers an answer to a user and reports it to the checker. Answers to requests of the kind `health` are
    /// not checked.
    pub(super) fn answer_user(&mut self, controller: usize, id: u64, answer: Answer) {
        let Some((job, kind)) = self.request_subjects.get(&id).cloned() else {
            return;
        };
        let status_word = serde_json::from_str::<Value>(&answer.body)
            .ok()
            .and_then(|v| v["status"].as_str().map(str::to_owned))
            .unwrap_or_default();
        self.write_trace(&format!(
            "berth-{controller} answers {kind} {job}: {} {status_word}",
            answer.status
        ));
        if kind != "health" {
            self.checker.record_answer(self.now, &job, answer.status, &status_word);
            self.record_breaches();
        }
        self.answers.insert(id, (self.now, answer));
    }

    /// Returns the name of a team.
    pub fn team_name(&self, at: usize) -> String {
        super::deployment::team_name(at as u32, &self.size)
    }
}
