//! Submissions: validation, deferral, and storing of the acceptance.

use crate::admission::Deferral;
use crate::calls::{CallPurpose, Requester};
use crate::controller::Controller;
use crate::ids::{Epoch, JobId, Revision};
use crate::jobs::{JobRecord, Purpose, StoredJobStatus, bytes_of};
use crate::membership::JOB_PREFIX;
use crate::messages::{Answer, Level, STATUS_NO_FREE_SOCKET, STATUS_NOT_CONNECTED};
use crate::protocol::{JobSpec, Malformed, Shape, TxnAnswer, parse_submission, submission_id};
use serde_json::json;

mod forwarding;

impl Controller {
    /// Whether a task of the job fits an empty machine of some type that the job allows.
    fn fits_allowed_machine_type(&self, spec: &JobSpec) -> bool {
        self.machine_types.iter().any(|t| {
            spec.models.as_ref().is_none_or(|m| m.contains(&t.name))
                && spec.zone.as_ref().is_none_or(|z| t.zones.contains(z))
                && t.cpus >= spec.cpus
                && t.gpus >= spec.gpus
                && t.memory_gb >= spec.memory_gb
        })
    }

    /// Handles a submission of a user, or of a peer that cannot store it itself. Only a user's submission may be
    /// forwarded, so `may_forward` is false for a peer's.
    pub(crate) fn on_submission(&mut self, requester: Requester, body: &[u8], may_forward: bool) {
        let id = submission_id(body);
        // A submission of a known job is answered with the job's state, whatever the rest of the body says.
        if let Some(id) = &id
            && (self.ended_jobs.contains_key(id) || self.jobs.contains_key(id))
        {
            self.on_status(requester, id.as_str(), true);
            return;
        }
        let submission = may_forward.then(|| body.to_vec());
        if !self.is_entitled() || self.membership.epoch.is_none() {
            let refusal = Answer::retry_later(503, 1, "not entitled to act at present");
            self.forward_submission(requester, id, submission, refusal);
            return;
        }
        let refusal = match parse_submission(body) {
            Err(fault) => Err(Answer::new(400, json!({ "error": fault.to_string() }).to_string())),
            Ok((id, spec)) => match self.reject_unrunnable_job(&spec).or_else(|| self.reject_gang(&spec)) {
                Some(answer) => Err(answer),
                None => Ok((id, spec)),
            },
        };
        let (id, spec) = match (refusal, id) {
            (Ok(job), _) => job,
            (Err(answer), Some(id)) if answer.status != 503 => {
                // A submission is rejected for good only if its job has not been accepted before.
                self.check_existing_job(requester, id, answer);
                return;
            }
            (Err(answer), _) => {
                self.send_answer(requester, answer);
                return;
            }
        };
        if let Some(answer) = self.defer_submission(&spec) {
            self.send_answer(requester, answer);
            return;
        }
        self.store_acceptance((requester, submission), id, spec, 0);
    }

    /// Returns 429 or 503 for a submission that cannot be accepted now.
    fn defer_submission(&mut self, spec: &JobSpec) -> Option<Answer> {
        // The reserve is negative: a submission may overdraw the request budget by half of its burst.
        if !self.state_requests.try_take(self.now.ms, 0.0, -0.5) {
            return Some(Answer::retry_later(503, 1, "too many requests at present"));
        }
        let controllers = self.membership.members.len();
        let admitted = self
            .admission
            .admit(self.now.ms, spec, &mut self.state_writes, controllers);
        let deferral = admitted.err()?;
        self.log_deferral(spec, deferral);
        Some(match deferral {
            Deferral::QueueFull { retry_after_s } => {
                Answer::retry_later(429, retry_after_s, "the team's queue is full")
            }
            Deferral::WriteRate { retry_after_s } => {
                Answer::retry_later(503, retry_after_s, "too many requests at present")
            }
        })
    }

    /// Logs that submissions of a team are deferred, at most once per averaging window of the rate of job ends.
    fn log_deferral(&mut self, spec: &JobSpec, deferral: Deferral) {
        let Some(text) = self.admission.deferral_log_line(self.now.ms, spec, deferral) else {
            return;
        };
        self.log(Level::Info, text);
    }

    /// Returns 422 for a job that can never run, or 503 while the machine types are not known.
    fn reject_unrunnable_job(&self, spec: &JobSpec) -> Option<Answer> {
        let unprocessable = |reason: &str| Some(Answer::new(422, json!({ "error": reason }).to_string()));
        let Some((_, team)) = self.settings.team(&spec.team) else {
            return unprocessable("unknown team");
        };
        let tasks = match spec.shape {
            Shape::Service | Shape::Gang => f64::from(spec.tasks),
            Shape::Array => 1.0,
        };
        for (per_task, limit) in [(spec.cpus, team.cpus_max), (spec.gpus, team.gpus_max)] {
            if limit > 0.0 && per_task * tasks > limit + 1e-9 {
                return unprocessable("more than the team's limit");
            }
        }
        if self.machine_types.is_empty() {
            return Some(Answer::retry_later(503, 1, "the machine types are not known yet"));
        }
        if !self.fits_allowed_machine_type(spec) {
            return unprocessable("a task fits no allowed machine type");
        }
        // A spread gang may have half of its tasks, rounded up, in one zone, so only a spread gang of one task
        // fits in one zone.
        if spec.shape == Shape::Gang && spec.one_zone && spec.spread && spec.tasks > 1 {
            return unprocessable("a gang cannot be in one zone and spread over zones at the same time");
        }
        None
    }

    /// Returns 400 or 422 for a gang that this deployment does not accept, or 503 for one that it does not accept yet.
    fn reject_gang(&self, spec: &JobSpec) -> Option<Answer> {
        if spec.shape != Shape::Gang {
            return None;
        }
        let error = |status: u16, reason: &str| Some(Answer::new(status, json!({ "error": reason }).to_string()));
        if !self.settings.features.gangs {
            return error(400, &Malformed::Field("shape").to_string());
        }
        if self.settings.gang_ms().is_none() {
            return error(422, "this deployment has no times set for gangs");
        }
        if !self.all_members_support_gangs() {
            let lease_s = (self.settings.lease_ms() / 1000).max(1) as u32;
            return Some(Answer::retry_later(
                503,
                lease_s,
                "a controller that does not know gangs is still serving",
            ));
        }
        None
    }

    /// Sends the write that stores a job's acceptance. `retries` counts the earlier attempts; there are at most three.
    fn store_acceptance(
        &mut self,
        (requester, submission): (Requester, Option<Vec<u8>>),
        id: JobId,
        spec: JobSpec,
        retries: u32,
    ) {
        let Some(epoch) = self.epoch() else { return };
        let at = self.now.wall_ms;
        let key = format!("{JOB_PREFIX}{id}");
        let record = JobRecord {
            epoch,
            at,
            st: StoredJobStatus::Queued,
            n: spec.tasks,
            team: spec.team.clone(),
            size: Self::task_resources(&spec),
            ended: None,
            spec: Some(spec.clone()),
        };
        if bytes_of(&record) > self.settings.value_bytes() {
            let error = json!({ "error": "the description is longer than can be stored" });
            self.check_existing_job(requester, id, Answer::new(422, error.to_string()));
            return;
        }
        self.admission.begin_acceptance(&spec);
        let conditions = vec![json!({ "k": key, "stamp": 0 }), self.epoch_condition()];
        self.txn(
            conditions,
            vec![json!({ "write": key, "value": record })],
            CallPurpose::Job(Purpose::Accept {
                requester,
                id,
                spec: Box::new(spec),
                epoch,
                at,
                retries,
                submission,
            }),
        );
    }

    /// Handles the answer to the write of an acceptance. `acceptance` is the epoch and the wall clock time that it
    /// holds.
    pub(crate) fn on_accept_reply(
        &mut self,
        (requester, submission): (Requester, Option<Vec<u8>>),
        id: JobId,
        spec: JobSpec,
        acceptance: (Epoch, u64),
        retries: u32,
        result: Option<(u16, Vec<u8>)>,
    ) {
        self.admission.finish_acceptance(&spec);
        match result {
            Some((200, body)) => {
                let revision = serde_json::from_slice::<TxnAnswer>(&body).map_or(0, |t| t.ledger);
                let record = JobRecord {
                    epoch: acceptance.0,
                    at: acceptance.1,
                    st: StoredJobStatus::Queued,
                    n: spec.tasks,
                    team: spec.team.clone(),
                    size: Self::task_resources(&spec),
                    ended: None,
                    spec: Some(spec),
                };
                if let Some(spec) = &record.spec {
                    let text = format!(
                        "{id} accepted: {} tasks of class {} for team {}, estimate {:.0} s each, image {} of {:.1} GB",
                        spec.tasks, spec.class, spec.team, spec.estimate_s, spec.image, spec.image_gb
                    );
                    self.log(Level::Debug, text);
                }
                self.apply_job_record(id.clone(), record, Revision(revision));
                if self.ended_jobs.contains_key(&id) || self.is_reply_stale {
                    // Another controller may have told a user of the job's end since.
                    self.on_status(requester, id.as_str(), true);
                    return;
                }
                let body = json!({ "uid": id, "status": "queued" }).to_string();
                self.send_answer(requester, Answer::new(201, body));
            }
            Some((409, body)) => {
                let failed = serde_json::from_slice::<TxnAnswer>(&body).unwrap_or_default().failed;
                if failed.iter().any(|k| k.starts_with(JOB_PREFIX)) {
                    self.check_existing_job(requester, id, Answer::retry_later(503, 1, "try again"));
                } else if retries < 3 && self.epoch() > Some(acceptance.0) && self.is_entitled() {
                    // The epoch has changed, and this controller knows the new one by now.
                    self.store_acceptance((requester, submission), id, spec, retries + 1);
                } else {
                    self.send_answer(requester, Answer::retry_later(503, 1, "membership is changing"));
                }
            }
            None => {
                // The write may have been applied: only a read can tell.
                self.check_existing_job(
                    requester,
                    id,
                    Answer::retry_later(503, 1, "the state service does not answer"),
                );
            }
            Some((503 | STATUS_NOT_CONNECTED | STATUS_NO_FREE_SOCKET, _)) => {
                let refusal = Answer::retry_later(503, 1, "the state service does not answer");
                self.forward_submission(requester, Some(id), submission, refusal);
            }
            Some(_) => self.send_answer(
                requester,
                Answer::retry_later(503, 1, "the state service does not answer"),
            ),
        }
    }
}
