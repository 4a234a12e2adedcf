//! Delivers workers' reports to the controllers, and applies the answers at the workers.

use super::World;
use super::event::{Event, PendingRequest, Report};
use super::gangs::begin_task_stop;
use super::network::Delivery;
use serde_json::Value;
use std::collections::VecDeque;
use tidelatch_core::{Input, Method};

/// Maximum number of report copies that are kept for the next epoch.
const MAX_KEPT_REPORTS: usize = 60;
/// Milliseconds that a worker waits for the answer to a report.
const REPORT_TIMEOUT_MS: u64 = 4000;

impl World {
    /// Sends a worker's report to the controller that it reports to.
    pub(super) fn send_report(&mut self, name: &str) {
        let Some(w) = self.workers.get_mut(name) else { return };
        let body = w.report().to_string();
        let (controller, sequence) = (w.controller, w.sequence);
        w.unanswered_sequence = Some(sequence);
        let to = format!("berth-{controller}");
        let delivery = self.decide_delivery(name, &to, "POST /agent/beat", &body);
        self.message_counts.reports += 1;
        self.keep_report_copy(&body);
        let up = self
            .controllers
            .get(controller)
            .is_some_and(|process| process.core.is_some());
        let report = Report {
            worker: name.to_owned(),
            sequence,
            body,
        };
        if let Delivery::Copied(late) = delivery {
            let copy = Event::ReportArrives {
                controller,
                report: report.clone(),
                answer_delay_ms: None,
            };
            self.schedule(late, copy);
        }
        if let Some(after) = delivery.request_delay().filter(|_| up) {
            let answer_delay_ms = delivery.answer_delay();
            self.schedule(
                after,
                Event::ReportArrives {
                    controller,
                    report,
                    answer_delay_ms,
                },
            );
        }
        // The worker notices a refused connection or a 503 at once, and a missing answer only after the timeout.
        let answer_wait_ms = if up && !matches!(delivery, Delivery::Refused | Delivery::Reset) {
            REPORT_TIMEOUT_MS
        } else {
            2
        };
        let timeout = Event::ReportAnswered {
            worker: name.to_owned(),
            sequence,
            result: None,
        };
        self.schedule(answer_wait_ms, timeout);
    }

    /// Passes a report to a controller.
    pub(super) fn receive_report(&mut self, controller: usize, report: Report, answer_delay_ms: Option<u64>) {
        let id = self.new_request(PendingRequest::Worker {
            worker: report.worker,
            sequence: report.sequence,
            answer_delay_ms,
        });
        let request = Input::Request {
            id,
            method: Method::Post,
            path: "/agent/beat".into(),
            body: report.body.into_bytes(),
        };
        self.deliver_input(controller, request);
    }

    /// Applies the answer to a report, or its timeout, at the worker. After status 421 the worker reports to the
    /// controller that the answer names; after any other failure, to the next controller.
    pub(super) fn receive_report_answer(&mut self, name: &str, sequence: u64, result: Option<(u16, String)>) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(name) else { return };
        if w.unanswered_sequence != Some(sequence) || w.is_hanging {
            return;
        }
        w.unanswered_sequence = None;
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
                w.controller = to.unwrap_or((w.controller + 1) % self.controllers.len());
            }
            _ => w.controller = (w.controller + 1) % self.controllers.len(),
        }
        self.record_starts(name, &started);
    }

    /// From now on keeps copies of the last reports. Whenever a new epoch begins, all controllers receive the copies
    /// kept during the previous one again, and new copies are kept.
    pub fn replay_reports_in_next_epoch(&mut self) {
        self.kept_reports = Some(VecDeque::new());
        self.kept_epoch = self.epoch();
    }

    /// Keeps a copy of a report if copies are kept, and drops the oldest ones beyond the maximum.
    fn keep_report_copy(&mut self, body: &str) {
        if let Some(kept) = &mut self.kept_reports {
            kept.push_back(body.to_owned());
            while kept.len() > MAX_KEPT_REPORTS {
                kept.pop_front();
            }
        }
    }

    /// Delivers the kept copies to all controllers if a new epoch has begun.
    pub(super) fn deliver_kept_reports(&mut self) {
        if self.kept_reports.is_none() {
            return;
        }
        let epoch = self.epoch();
        if epoch <= self.kept_epoch {
            return;
        }
        self.kept_epoch = epoch;
        let bodies = self.kept_reports.replace(VecDeque::new()).unwrap_or_default();
        self.write_trace(&format!("epoch {epoch}: {} reports of before come again", bodies.len()));
        for body in bodies {
            for controller in 0..self.controllers.len() {
                let report = Report {
                    worker: String::new(),
                    sequence: 0,
                    body: body.clone(),
                };
                let arrival = Event::ReportArrives {
                    controller,
                    report,
                    answer_delay_ms: None,
                };
                self.schedule(1, arrival);
            }
        }
    }
}
