//! Users' questions about jobs and their cancellations: answered here, passed on to the owner, or read anew.

use super::{Ending, Job, JobRecord, Purpose, Stored, StoredState};
use crate::calls::{Asker, Purpose as Call};
use crate::controller::Controller;
use crate::ids::{ControllerId, JobId, Partition};
use crate::membership::JOB_PREFIX;
use crate::messages::{Answer, Method, PeerRequest, Target};
use crate::protocol::{Item, TaskState};
use serde_json::json;

impl Controller {
    pub(crate) fn known(&mut self, asker: Asker, id: JobId, absent: Answer) {
        self.read_job(&id.clone(), Purpose::Known { asker, id, absent });
    }

    pub(super) fn read_job(&mut self, id: &JobId, purpose: Purpose) {
        self.state_reads.force(self.now.ms, 1.0);
        // Users wait 2 s for a poll.
        let timeout = (self.settings.lease_ms() / 4).min(1500);
        self.call(
            Target::State,
            Method::Get,
            format!("/store/{JOB_PREFIX}{id}"),
            String::new(),
            timeout,
            Call::Job(purpose),
        );
    }

    pub(crate) fn on_status(&mut self, asker: Asker, id: &str, may_forward: bool) {
        let Some(id) = JobId::parse(id) else {
            // No job can have such an id.
            self.answer(asker, Answer::new(404, r#"{"error":"no such job"}"#));
            return;
        };
        if self.over.contains_key(&id) {
            self.tell_over(asker, &id);
            return;
        }
        if let Some(job) = self.jobs.get(&id) {
            if self.acting(job.partition).is_some() && job.ending.is_none() {
                let body = self.live_body(&id, job);
                self.answer(asker, Answer::new(200, body));
                return;
            }
            if let Some(owner) = self.owner_elsewhere(job.partition, may_forward) {
                let request = PeerRequest::Forward {
                    job: id.as_str().to_owned(),
                    withdraw: false,
                };
                self.ask(owner, request, 500, Call::ForwardStatus { asker, job: id });
                return;
            }
        }
        self.read_status(asker, id);
    }

    /// Whom to pass a question on to: the owner of a partition, if that is another controller within
    /// reach and the question has not been passed on before.
    fn owner_elsewhere(&self, partition: Partition, may_forward: bool) -> Option<ControllerId> {
        let owner = &self.holding(partition)?.owner;
        (may_forward && *owner != self.me && self.reachable(owner)).then(|| owner.clone())
    }

    fn live_body(&self, id: &JobId, job: &Job) -> String {
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

    pub(crate) fn on_withdraw(&mut self, asker: Asker, id: &str, may_forward: bool) {
        let Some(id) = JobId::parse(id) else {
            self.answer(asker, Answer::new(404, r#"{"error":"no such job"}"#));
            return;
        };
        if self.over.contains_key(&id) {
            self.tell_over(asker, &id);
            return;
        }
        let Some(partition) = self.jobs.get(&id).map(|j| j.partition) else {
            self.read_job(&id.clone(), Purpose::WithdrawRead { asker, id });
            return;
        };
        if self.acting(partition).is_none() {
            match self.owner_elsewhere(partition, may_forward) {
                Some(owner) => {
                    let request = PeerRequest::Forward {
                        job: id.as_str().to_owned(),
                        withdraw: true,
                    };
                    let timeout = 4 * self.settings.report_ms() / 5;
                    self.ask(owner, request, timeout, Call::ForwardWithdraw { asker });
                }
                None => self.answer(asker, Answer::later(503, 1, "the job's controller cannot be reached")),
            }
            return;
        }
        self.note_asked(&id);
        self.stop_called_off(&id);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.askers.push(asker);
            if job.ending.is_none() {
                self.end_job(&id, Ending::Withdrawn);
            }
        }
    }

    /// Whether this controller can answer for a job without the read that has just come back: its end is known,
    /// or it is this controller's own and was not when the read was sent.
    pub(super) fn knows(&self, id: &JobId) -> bool {
        let own = |j: &Job| j.ending.is_none() && self.acting(j.partition).is_some();
        self.over.contains_key(id) || self.jobs.get(id).is_some_and(own)
    }

    pub(super) fn learn_read(&mut self, id: &JobId, body: &[u8]) -> Option<Stored> {
        let item: Item = serde_json::from_slice(body).ok()?;
        match serde_json::from_value::<JobRecord>(item.value.clone()) {
            Ok(record) if self.readable(&record) => {
                let state = record.st;
                self.record_job(id.clone(), record, item.stamp);
                Some(state)
            }
            // Guard: a later version's job, with words that this one does not know, stays known.
            _ => serde_json::from_value::<StoredState>(item.value).ok().map(|r| r.st),
        }
    }

    pub(super) fn answer_read(&mut self, asker: Asker, id: &JobId, result: Option<(u16, Vec<u8>)>) {
        let state = match result {
            Some((200, body)) => self.learn_read(id, &body),
            _ => None,
        };
        let answer = match state {
            None => Answer::later(503, 1, "the state service does not answer"),
            Some(_) if self.over.contains_key(id) => {
                self.tell_over(asker, id);
                return;
            }
            Some(state) => Answer::new(
                200,
                json!({ "uid": id, "status": state.word(), "done": 0, "running": 0 }).to_string(),
            ),
        };
        self.answer(asker, answer);
    }
}
