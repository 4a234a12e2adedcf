//! Status and cancellation requests of users: answered from memory, forwarded to the controller that owns the job's
//! partition, or answered by a read of the state service.

use super::{Ending, Job, JobRecord, Purpose, StatusOnlyRecord, StoredJobStatus};
use crate::calls::{CallPurpose, Requester};
use crate::controller::Controller;
use crate::ids::{ControllerId, JobId, Partition};
use crate::membership::JOB_PREFIX;
use crate::messages::{Answer, Method, PeerRequest, Target};
use crate::protocol::{StoredItem, TaskState};
use serde_json::json;

impl Controller {
    /// Reads whether a job exists: its requester gets the job's state, or `answer_if_absent` if there is no such job.
    pub(crate) fn check_existing_job(&mut self, requester: Requester, id: JobId, answer_if_absent: Answer) {
        self.read_job(
            &id.clone(),
            Purpose::CheckExisting {
                requester,
                id,
                answer_if_absent,
            },
        );
    }

    /// Reads a job's record from the state service. The read is sent whatever the request budget holds.
    pub(super) fn read_job(&mut self, id: &JobId, purpose: Purpose) {
        self.state_requests.take_unconditionally(self.now.ms, 1.0);
        // Users wait 2 s for the answer to a poll, so the read may take at most 1.5 s.
        let timeout_ms = (self.settings.lease_ms() / 4).min(1500);
        self.send_call(
            Target::State,
            Method::Get,
            format!("/store/{JOB_PREFIX}{id}"),
            String::new(),
            timeout_ms,
            CallPurpose::Job(purpose),
        );
    }

    /// Answers a status request. A request that has just come from a peer has `may_forward` unset and is not forwarded.
    pub(crate) fn on_status(&mut self, requester: Requester, id: &str, may_forward: bool) {
        let Some(id) = JobId::parse(id) else {
            // No job has an invalid id.
            self.send_answer(requester, Answer::new(404, r#"{"error":"no such job"}"#));
            return;
        };
        if self.ended_jobs.contains_key(&id) {
            self.answer_ended_job(requester, &id);
            return;
        }
        if let Some(job) = self.jobs.get(&id) {
            if self.active_tenure(job.partition).is_some() && job.ending.is_none() {
                let body = self.live_status_body(&id, job);
                self.send_answer(requester, Answer::new(200, body));
                return;
            }
            if let Some(owner) = self.reachable_owner(job.partition, may_forward) {
                let request = PeerRequest::Forward {
                    job: id.as_str().to_owned(),
                    cancel: false,
                };
                // After 500 ms without an answer, the state service is read instead.
                self.send_peer_request(owner, request, 500, CallPurpose::ForwardStatus { requester, job: id });
                return;
            }
        }
        self.read_status(requester, id);
    }

    /// The controller to which a request is forwarded: the owner of the partition, if that is another controller that
    /// can be reached and the request has not been forwarded before.
    fn reachable_owner(&self, partition: Partition, may_forward: bool) -> Option<ControllerId> {
        let owner = &self.partition_owner(partition)?.owner;
        (may_forward && *owner != self.own_name && self.is_reachable(owner)).then(|| owner.clone())
    }

    /// JSON body of the status answer for an unfinished job of this controller.
    fn live_status_body(&self, id: &JobId, job: &Job) -> String {
        let running: usize = job
            .placed
            .iter()
            .filter(|(index, machines)| {
                machines.iter().any(|m| {
                    self.machines
                        .get(m)
                        .is_some_and(|m| m.state_of(id, **index) == Some(TaskState::Running))
                })
            })
            .count();
        let status = if running > 0 { "running" } else { "queued" };
        json!({ "uid": id, "status": status, "done": job.done_count, "running": running }).to_string()
    }

    /// Handles a user's request to cancel a job: stores the end, or forwards the request to the owner.
    pub(crate) fn on_cancel_request(&mut self, requester: Requester, id: &str, may_forward: bool) {
        let Some(id) = JobId::parse(id) else {
            self.send_answer(requester, Answer::new(404, r#"{"error":"no such job"}"#));
            return;
        };
        if self.ended_jobs.contains_key(&id) {
            self.answer_ended_job(requester, &id);
            return;
        }
        let Some(partition) = self.jobs.get(&id).map(|j| j.partition) else {
            self.read_job(&id.clone(), Purpose::CancelRead { requester, id });
            return;
        };
        if self.active_tenure(partition).is_none() {
            match self.reachable_owner(partition, may_forward) {
                Some(owner) => {
                    let request = PeerRequest::Forward {
                        job: id.as_str().to_owned(),
                        cancel: true,
                    };
                    let timeout_ms = 4 * self.settings.report_ms() / 5;
                    self.send_peer_request(
                        owner,
                        request,
                        timeout_ms,
                        CallPurpose::ForwardCancellation { requester },
                    );
                }
                None => self.send_answer(
                    requester,
                    Answer::retry_later(503, 1, "the job's controller cannot be reached"),
                ),
            }
            return;
        }
        self.record_cancel_request(&id);
        self.stop_tasks_of_job(&id);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.requesters.push(requester);
            if job.ending.is_none() {
                self.store_job_end(&id, Ending::Cancelled);
            }
        }
    }

    /// Whether this controller can answer for a job without the read that has just returned: the job's end is known, or
    /// the controller has come to own the job since the read was sent.
    pub(super) fn can_answer_without_read(&self, id: &JobId) -> bool {
        let is_own = |j: &Job| j.ending.is_none() && self.active_tenure(j.partition).is_some();
        self.ended_jobs.contains_key(id) || self.jobs.get(id).is_some_and(is_own)
    }

    /// Applies the job record that a read returned and returns its status, or `None` if the body cannot be parsed.
    pub(super) fn apply_read_record(&mut self, id: &JobId, body: &[u8]) -> Option<StoredJobStatus> {
        let item: StoredItem = serde_json::from_slice(body).ok()?;
        match serde_json::from_value::<JobRecord>(item.value.clone()) {
            Ok(record) if self.is_readable_record(&record) => {
                let state = record.st;
                self.apply_job_record(id.clone(), record, item.stamp);
                Some(state)
            }
            // A job of a later version, whose record holds values that this version cannot parse, still counts as
            // existing.
            _ => serde_json::from_value::<StatusOnlyRecord>(item.value)
                .ok()
                .map(|r| r.st),
        }
    }

    /// Answers a status request with the result of a read.
    pub(super) fn answer_from_read(&mut self, requester: Requester, id: &JobId, result: Option<(u16, Vec<u8>)>) {
        let state = match result {
            Some((200, body)) => self.apply_read_record(id, &body),
            _ => None,
        };
        let answer = match state {
            None => Answer::retry_later(503, 1, "the state service does not answer"),
            Some(_) if self.ended_jobs.contains_key(id) => {
                self.answer_ended_job(requester, id);
                return;
            }
            // The record does not hold the job's progress, so no task counts as done here.
            Some(state) => Answer::new(
                200,
                json!({ "uid": id, "status": state.user_facing_name(), "done": 0, "running": 0 }).to_string(),
            ),
        };
        self.send_answer(requester, answer);
    }
}
