//! Reads of the state service for status requests that neither the watch nor the owner of the job can answer.
//!
//! At most one read per job is in flight, however many users poll it. An answer must not be older than what any
//! controller has told a user before the request came. A request that comes while a read is in flight therefore
//! waits for the next read, which all such requests share. Only a final state, which never changes, answers them at
//! once.

use super::Purpose;
use crate::calls::Requester;
use crate::controller::Controller;
use crate::ids::JobId;
use crate::messages::Answer;
use serde_json::json;
use std::collections::BTreeMap;

/// Share of the request budget for the state service that status reads leave to leases, acceptances and cancellations.
const RESERVED_BUDGET_SHARE: f64 = 0.25;
/// Limit on status reads in flight, as a share of the requests per second that this controller may send.
const MAX_READS_IN_FLIGHT_PER_RPS: f64 = 0.25;

/// One read in flight.
#[derive(Debug)]
struct OpenRead {
    /// Requests that came before the read was sent; it answers them.
    requesters: Vec<Requester>,
    /// Requests that have come since; the next read answers them.
    next_requesters: Vec<Requester>,
}

/// All status reads in flight, by job.
#[derive(Debug, Default)]
pub(crate) struct StatusReads {
    in_flight: BTreeMap<JobId, OpenRead>,
}

impl Controller {
    /// Answers a status request by a read that is sent after the request came.
    pub(crate) fn read_status(&mut self, requester: Requester, id: JobId) {
        match self.status_reads.in_flight.get_mut(&id) {
            Some(read) => read.next_requesters.push(requester),
            None => self.begin_status_read(id, vec![requester]),
        }
    }

    /// Sends a read for the given requests, or refuses them if too many reads are in flight or the budget is spent.
    fn begin_status_read(&mut self, id: JobId, requesters: Vec<Requester>) {
        if requesters.is_empty() {
            return;
        }
        let max_in_flight = (self.state_requests_per_s() * MAX_READS_IN_FLIGHT_PER_RPS).max(1.0) as usize;
        let in_flight = self.status_reads.in_flight.len();
        if in_flight >= max_in_flight || !self.state_requests.try_take(self.now.ms, 0.0, RESERVED_BUDGET_SHARE) {
            self.answer_all(requesters, &Answer::retry_later(503, 1, "too many requests at present"));
            return;
        }
        let read = OpenRead {
            requesters,
            next_requesters: Vec::new(),
        };
        self.status_reads.in_flight.insert(id.clone(), read);
        self.read_job(&id.clone(), Purpose::Status { id });
    }

    /// Requests per second that this controller may send to the state service.
    fn state_requests_per_s(&self) -> f64 {
        self.settings.platform.facts.state.rps / f64::from(self.settings.partitions())
    }

    /// Handles the result of a read; `None` if it had no answer.
    pub(super) fn on_status_read(&mut self, id: JobId, result: Option<(u16, Vec<u8>)>) {
        let Some(OpenRead {
            mut requesters,
            next_requesters,
        }) = self.status_reads.in_flight.remove(&id)
        else {
            return;
        };
        let is_missing = matches!(result, Some((404, _)));
        // This controller may know more by now: it may have accepted the job, or read its end. A 404 may predate
        // the job, which the watch has reported since.
        if self.can_answer_without_read(&id) || (is_missing && self.jobs.contains_key(&id)) {
            requesters.extend(next_requesters);
            requesters
                .into_iter()
                .for_each(|requester| self.on_status(requester, id.as_str(), true));
            return;
        }
        // An answer that stayed in buffers while this process was paused may be outdated, so the read is repeated.
        if self.is_reply_stale {
            requesters.extend(next_requesters);
            self.begin_status_read(id, requesters);
            return;
        }
        if is_missing {
            self.answer_all(requesters, &Answer::new(404, r#"{"error":"no such job"}"#));
            self.begin_status_read(id, next_requesters);
            return;
        }
        let state = result
            .filter(|(status, _)| *status == 200)
            .and_then(|(_, body)| self.apply_read_record(&id, &body));
        match state {
            None => {
                requesters.extend(next_requesters);
                self.answer_all(
                    requesters,
                    &Answer::retry_later(503, 1, "the state service does not answer"),
                );
            }
            Some(_) if self.ended_jobs.contains_key(&id) => {
                requesters.extend(next_requesters);
                requesters
                    .into_iter()
                    .for_each(|requester| self.answer_ended_job(requester, &id));
            }
            Some(state) => {
                // The record does not hold the job's progress, so no task counts as done here.
                let body = json!({ "uid": id, "status": state.user_facing_name(), "done": 0, "running": 0 });
                self.answer_all(requesters, &Answer::new(200, body.to_string()));
                self.begin_status_read(id, next_requesters);
            }
        }
    }

    /// Sends the same answer to all requesters.
    fn answer_all(&mut self, requesters: Vec<Requester>, answer: &Answer) {
        requesters
            .into_iter()
            .for_each(|requester| self.send_answer(requester, answer.clone()));
    }
}
