//! Workers' reports: how they reach the controllers, and what the workers do with the answers.

use super::World;
use super::event::{Asked, Event, Report};
use super::gangs::begin_task_stop;
use super::network::Delivery;
use serde_json::Value;
use std::collections::VecDeque;
use tidelatch_core::{Input, Method};

/// Most copies of reports that are kept for the next epoch.
const KEPT_REPORTS: usize = 60;
/// Milliseconds that a worker waits for the answer to a report.
const REPORT_TIMEOUT_MS: u64 = 4000;

impl World {
    /// A worker sends a report to the controller that it reports to.
    pub(super) fn send_report(&mut self, name: &str) {
        let Some(w) = self.workers.get_mut(name) else { return };
        let body = w.report().to_string();
        let (node, beat) = (w.node, w.sequence);
        w.waiting = Some(beat);
        let to = format!("berth-{node}");
        let delivery = self.deliver(name, &to, "POST /agent/beat", &body);
        self.sent.beats += 1;
        self.keep_copy(&body);
        let up = self.nodes.get(node).is_some_and(|n| n.core.is_some());
        let report = Report {
            worker: name.to_owned(),
            beat,
            body,
        };
        if let Delivery::Copied(late) = delivery {
            let copy = Event::ReportArrives {
                node,
                report: report.clone(),
                answered: None,
            };
            self.schedule(late, copy);
        }
        if let Some(after) = delivery.request_delay().filter(|_| up) {
            let answered = delivery.answer_delay();
            self.schedule(after, Event::ReportArrives { node, report, answered });
        }
        // A refused connection shows at once, and so does a 503; silence after the time for an answer.
        let patience = if up && delivery != Delivery::Refused {
            REPORT_TIMEOUT_MS
        } else {
            2
        };
        let timeout = Event::ReportAnswered {
            worker: name.to_owned(),
            beat,
            result: None,
        };
        self.schedule(patience, timeout);
    }

    /// A report has come to a controller.
    pub(super) fn report_arrives(&mut self, node: usize, report: Report, answered: Option<u64>) {
        let id = self.new_request(Asked::Worker {
            worker: report.worker,
            beat: report.beat,
            answered,
        });
        let request = Input::Request {
            id,
            method: Method::Post,
            path: "/agent/beat".into(),
            body: report.body.into_bytes(),
        };
        self.feed_input(node, request);
    }

    /// The answer to a report, or the end of the time for it, has come to the worker.
    pub(super) fn report_answered(&mut self, name: &str, beat: u64, result: Option<(u16, String)>) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(name) else { return };
        if w.waiting != Some(beat) || w.hanging {
            return;
        }
        w.waiting = None;
        let mut started = Vec::new();
        match result {
            Some((200, body)) => {
                let body: Value = serde_json::from_str(&body).unwrap_or(Value::Null);
                let token = body["baton"].as_u64().unwrap_or(0);
                if token >= w.token && token > 0 {
                    w.token = token;
                    w.lease_start_ms = now;
                    let gangs = &mut self.gangs;
                    let jobs = &self.jobs;
                    let mut begin_save = |task: &str, attempt: u64, grace_s: f64| {
                        begin_task_stop(gangs, jobs, (task, attempt, grace_s), now)
                    };
                    for order in body["orders"].as_array().into_iter().flatten() {
                        started.extend(w.execute_order(order, now, &mut begin_save));
                    }
                }
            }
            Some((421, body)) => {
                let to = serde_json::from_str::<Value>(&body)
                    .ok()
                    .and_then(|v| v["dispatcher"].as_str()?.strip_prefix("berth-")?.parse().ok());
                w.node = to.unwrap_or((w.node + 1) % self.nodes.len());
            }
            _ => w.node = (w.node + 1) % self.nodes.len(),
        }
        self.started(name, &started);
    }

    /// From now on copies of the last reports are kept. Whenever an epoch begins, every controller gets those
    /// that were kept before it, and new ones are kept.
    pub fn keep_reports(&mut self) {
        self.kept = Some(VecDeque::new());
        self.kept_epoch = self.epoch();
    }

    fn keep_copy(&mut self, body: &str) {
        if let Some(kept) = &mut self.kept {
            kept.push_back(body.to_owned());
            while kept.len() > KEPT_REPORTS {
                kept.pop_front();
            }
        }
    }

    /// Delivers the kept reports once an epoch has begun.
    pub(super) fn deliver_kept(&mut self) {
        if self.kept.is_none() {
            return;
        }
        let epoch = self.epoch();
        if epoch <= self.kept_epoch {
            return;
        }
        self.kept_epoch = epoch;
        let bodies = self.kept.replace(VecDeque::new()).unwrap_or_default();
        self.note(&format!("epoch {epoch}: {} reports of before come again", bodies.len()));
        for body in bodies {
            for node in 0..self.nodes.len() {
                let report = Report {
                    worker: String::new(),
                    beat: 0,
                    body: body.clone(),
                };
                let arrival = Event::ReportArrives {
                    node,
                    report,
                    answered: None,
                };
                self.schedule(1, arrival);
            }
        }
    }
}
