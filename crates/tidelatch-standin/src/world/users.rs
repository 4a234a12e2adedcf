//! The users: what they ask of the controllers, and the answers that they get.

use super::World;
use super::event::{Asked, Event};
use super::gangs::GANG_STEP_MS;
use crate::checker::Question;
use serde_json::Value;
use std::collections::BTreeMap;
use tidelatch_core::{Answer, Input, Method};

impl World {
    /// Submits a job to a controller.
    pub fn submit(&mut self, node: usize, body: &Value) -> u64 {
        let id = body["uid"].as_str().unwrap_or_default().to_owned();
        self.jobs.insert(id.clone(), body.clone());
        self.checker.submitted(body);
        self.note(&format!("a user submits {id} to berth-{node}"));
        if body["shape"] == "group" && !self.gangs_scheduled {
            self.gangs_scheduled = true;
            self.schedule(GANG_STEP_MS, Event::Gangs);
        }
        self.user(node, Method::Post, "/submissions", &body.to_string(), (id, "submit"))
    }

    /// Asks a controller about a job.
    pub fn poll(&mut self, node: usize, id: &str) -> u64 {
        self.user(
            node,
            Method::Get,
            &format!("/submissions/{id}"),
            "",
            (id.to_owned(), "poll"),
        )
    }

    /// Cancels a job.
    pub fn withdraw(&mut self, node: usize, id: &str) -> u64 {
        self.note(&format!("a user cancels {id} at berth-{node}"));
        let path = format!("/submissions/{id}/withdraw");
        self.user(node, Method::Post, &path, "", (id.to_owned(), "withdraw"))
    }

    /// Any request of a user.
    pub fn user(&mut self, node: usize, method: Method, path: &str, body: &str, about: (String, &'static str)) -> u64 {
        let id = self.new_request(Asked::User);
        let cancels = path
            .strip_prefix("/submissions/")
            .and_then(|p| p.strip_suffix("/withdraw"));
        if let Some(job) = cancels.filter(|_| method == Method::Post) {
            self.checker.asked(self.now, job, Question::Withdraw);
        } else if about.1 == "submit" {
            self.checker.asked(self.now, &about.0, Question::Submit);
        } else if about.1 == "poll" {
            self.checker.asked(self.now, &about.0, Question::Poll);
        }
        self.asked_about.insert(id, about);
        self.feed_input(
            node,
            Input::Request {
                id,
                method,
                path: path.to_owned(),
                body: body.as_bytes().to_vec(),
            },
        );
        id
    }

    /// Gives a number to a request that a controller is to answer.
    pub(super) fn new_request(&mut self, asked: Asked) -> u64 {
        let id = self.next_request;
        self.next_request += 1;
        self.asked.insert(id, asked);
        id
    }

    /// Status of a user's answer; 0: none yet.
    pub fn status(&self, request: u64) -> u16 {
        self.answers.get(&request).map_or(0, |(_, a)| a.status)
    }

    /// The `status` field of a user's answer.
    pub fn said(&self, request: u64) -> String {
        self.answers
            .get(&request)
            .and_then(|(_, a)| serde_json::from_str::<Value>(&a.body).ok())
            .and_then(|v| v["status"].as_str().map(str::to_owned))
            .unwrap_or_default()
    }

    /// Submits and waits until the job is accepted.
    pub fn accepted(&mut self, node: usize, body: &Value) {
        for _ in 0..20 {
            let request = self.submit(node, body);
            self.run(500);
            if matches!(self.status(request), 200 | 201) {
                return;
            }
            self.run(500);
        }
        panic!("not accepted:\n{}", self.trace());
    }

    /// Lets time pass while users ask about jobs, one controller after the other, and returns the
    /// jobs that nobody answered for.
    pub fn unanswered(&mut self, ms: u64, jobs: &[&str]) -> Vec<String> {
        let until = self.now + ms;
        let mut open: BTreeMap<String, Vec<u64>> = jobs.iter().map(|j| ((*j).to_owned(), Vec::new())).collect();
        let mut node = 0;
        while self.now < until {
            for (job, asked) in &mut open {
                let polled = self.poll(node, job);
                asked.push(polled);
                node = (node + 1) % self.nodes.len();
            }
            self.run(3000);
        }
        let answered = |r: &u64| self.status(*r) == 200;
        open.into_iter()
            .filter(|(_, asked)| !asked.iter().any(answered))
            .map(|(job, _)| job)
            .collect()
    }

    /// A user will cancel a job, at some controller, so many milliseconds after its last task has ended.
    /// The request is in [`World::cancelled_at_end`] from then on.
    pub fn cancel_at_end(&mut self, node: usize, job: &str, after: u64) {
        self.cancel_at_end.insert(job.to_owned(), (node, after));
    }

    /// A user whose job's last task has ended cancels it.
    pub(super) fn withdraw_at_end(&mut self, node: usize, job: String) {
        let request = self.withdraw(node, &job);
        self.cancelled_at_end.insert(job, request);
    }

    /// A user gets an answer; the checker judges it.
    pub(super) fn answer_user(&mut self, node: usize, id: u64, answer: Answer) {
        let Some((job, kind)) = self.asked_about.get(&id).cloned() else {
            return;
        };
        let said = serde_json::from_str::<Value>(&answer.body)
            .ok()
            .and_then(|v| v["status"].as_str().map(str::to_owned))
            .unwrap_or_default();
        self.note(&format!("berth-{node} answers {kind} {job}: {} {said}", answer.status));
        if kind != "health" {
            self.checker.answered(self.now, &job, answer.status, &said);
            self.record_breaches();
        }
        self.answers.insert(id, (self.now, answer));
    }

    /// A team's name.
    pub fn team(&self, at: usize) -> String {
        super::deployment::team_name(at as u32, &self.size)
    }
}
