//! Submissions: checking them, putting them off, and storing their acceptance.

use crate::admission::Deferral;
use crate::calls::{Asker, Purpose as Call};
use crate::controller::Controller;
use crate::ids::{Epoch, JobId, Stamp};
use crate::jobs::{JobRecord, Purpose, Stored, bytes_of};
use crate::membership::JOB_PREFIX;
use crate::messages::{Answer, Level, NOT_SENT, NOT_TRIED};
use crate::protocol::{JobSpec, Malformed, Shape, TxnAnswer, parse_submission, submission_id};
use serde_json::json;

mod forwarding;

impl Controller {
    fn fits_some_type(&self, spec: &JobSpec) -> bool {
        self.types.iter().any(|t| {
            spec.models.as_ref().is_none_or(|m| m.contains(&t.name))
                && spec.zone.as_ref().is_none_or(|z| t.zones.contains(z))
                && t.cpus >= spec.cpus
                && t.gpus >= spec.gpus
                && t.memory_gb >= spec.memory_gb
        })
    }

    /// Takes a submission, of a user or of a peer that cannot store it itself: only the former may be passed on.
    pub(crate) fn on_submission(&mut self, asker: Asker, body: &[u8], may_forward: bool) {
        let id = submission_id(body);
        // A job that is known gets its state, whatever the body says.
        if let Some(id) = &id
            && (self.over.contains_key(id) || self.jobs.contains_key(id))
        {
            self.on_status(asker, id.as_str(), true);
            return;
        }
        let submission = may_forward.then(|| body.to_vec());
        if !self.entitled() || self.member.epoch.is_none() {
            let refusal = Answer::later(503, 1, "not entitled to act at present");
            self.pass_on(asker, id, submission, refusal);
            return;
        }
        let refusal = match parse_submission(body) {
            Err(fault) => Err(Answer::new(400, json!({ "error": fault.to_string() }).to_string())),
            Ok((id, spec)) => match self.never_runs(&spec).or_else(|| self.no_gangs(&spec)) {
                Some(answer) => Err(answer),
                None => Ok((id, spec)),
            },
        };
        let (id, spec) = match (refusal, id) {
            (Ok(job), _) => job,
            (Err(answer), Some(id)) if answer.status != 503 => {
                // Refused for good only if it has not been accepted before.
                self.known(asker, id, answer);
                return;
            }
            (Err(answer), _) => {
                self.answer(asker, answer);
                return;
            }
        };
        if let Some(answer) = self.put_off(&spec) {
            self.answer(asker, answer);
            return;
        }
        self.accept((asker, submission), id, spec, 0);
    }

    /// 429 or 503 for a submission that cannot be taken now.
    fn put_off(&mut self, spec: &JobSpec) -> Option<Answer> {
        if !self.state_reads.take(self.now.ms, 0.0, -0.5) {
            return Some(Answer::later(503, 1, "too many requests at present"));
        }
        let controllers = self.member.members.len();
        let admitted = self
            .admission
            .admit(self.now.ms, spec, &mut self.state_writes, controllers);
        let deferral = admitted.err()?;
        self.note_deferral(spec, deferral);
        Some(match deferral {
            Deferral::QueueFull { retry_after_s } => Answer::later(429, retry_after_s, "the team's queue is full"),
            Deferral::WriteRate { retry_after_s } => Answer::later(503, retry_after_s, "too many requests at present"),
        })
    }

    /// Tells the operators when a team's users begin to be put off.
    fn note_deferral(&mut self, spec: &JobSpec, deferral: Deferral) {
        let Some(text) = self.admission.news_of(self.now.ms, spec, deferral) else {
            return;
        };
        self.log(Level::Info, text);
    }

    /// 422 for what can never run, 503 while that cannot be told.
    fn never_runs(&self, spec: &JobSpec) -> Option<Answer> {
        let unfit = |why: &str| Some(Answer::new(422, json!({ "error": why }).to_string()));
        let Some((_, team)) = self.settings.team(&spec.team) else {
            return unfit("unknown team");
        };
        let tasks = match spec.shape {
            Shape::Service | Shape::Gang => f64::from(spec.tasks),
            Shape::Array => 1.0,
        };
        for (one, most) in [(spec.cpus, team.cpus_max), (spec.gpus, team.gpus_max)] {
            if most > 0.0 && one * tasks > most + 1e-9 {
                return unfit("more than the team's limit");
            }
        }
        if self.types.is_empty() {
            return Some(Answer::later(503, 1, "the machine types are not known yet"));
        }
        if !self.fits_some_type(spec) {
            return unfit("a task fits no allowed machine type");
        }
        // Half of the tasks, rounded up, is all of them for one task only.
        if spec.shape == Shape::Gang && spec.one_zone && spec.spread && spec.tasks > 1 {
            return unfit("a gang cannot be in one zone and spread over zones at the same time");
        }
        None
    }

    /// 400, 422 or 503 for a gang that cannot be accepted here, or not now.
    fn no_gangs(&self, spec: &JobSpec) -> Option<Answer> {
        if spec.shape != Shape::Gang {
            return None;
        }
        let error = |status: u16, why: &str| Some(Answer::new(status, json!({ "error": why }).to_string()));
        if !self.settings.features.gangs {
            return error(400, &Malformed::Field("shape").to_string());
        }
        if self.settings.gang_ms().is_none() {
            return error(422, "this deployment has no times set for gangs");
        }
        if !self.all_know_gangs() {
            let lease_s = (self.settings.lease_ms() / 1000).max(1) as u32;
            return Some(Answer::later(
                503,
                lease_s,
                "a controller that does not know gangs is still serving",
            ));
        }
        None
    }

    fn accept(&mut self, (asker, submission): (Asker, Option<Vec<u8>>), id: JobId, spec: JobSpec, tries: u32) {
        let Some(epoch) = self.epoch() else { return };
        let at = self.now.wall_ms;
        let key = format!("{JOB_PREFIX}{id}");
        let record = JobRecord {
            epoch,
            at,
            st: Stored::Queued,
            n: spec.tasks,
            team: spec.team.clone(),
            size: Self::size(&spec),
            ended: None,
            spec: Some(spec.clone()),
        };
        if bytes_of(&record) > self.settings.value_bytes() {
            let error = json!({ "error": "the description is longer than can be stored" });
            self.known(asker, id, Answer::new(422, error.to_string()));
            return;
        }
        self.admission.acceptance_sent(&spec);
        let conditions = vec![json!({ "k": key, "stamp": 0 }), self.epoch_condition()];
        self.txn(
            conditions,
            vec![json!({ "write": key, "value": record })],
            Call::Job(Purpose::Accept {
                asker,
                id,
                spec: Box::new(spec),
                epoch,
                at,
                tries,
                submission,
            }),
        );
    }

    pub(crate) fn on_accepted(
        &mut self,
        (asker, submission): (Asker, Option<Vec<u8>>),
        id: JobId,
        spec: JobSpec,
        under: (Epoch, u64),
        tries: u32,
        result: Option<(u16, Vec<u8>)>,
    ) {
        self.admission.acceptance_settled(&spec);
        match result {
            Some((200, body)) => {
                let stamp = serde_json::from_slice::<TxnAnswer>(&body).map_or(0, |t| t.ledger);
                let record = JobRecord {
                    epoch: under.0,
                    at: under.1,
                    st: Stored::Queued,
                    n: spec.tasks,
                    team: spec.team.clone(),
                    size: Self::size(&spec),
                    ended: None,
                    spec: Some(spec),
                };
                if let Some(spec) = &record.spec {
                    let text = format!(
                        "{id} accepted: {} tasks of {} for {}, {:.0} s each, image {} of {:.1} GB",
                        spec.tasks, spec.class, spec.team, spec.estimate_s, spec.image, spec.image_gb
                    );
                    self.log(Level::Debug, text);
                }
                self.record_job(id.clone(), record, Stamp(stamp));
                if self.over.contains_key(&id) || self.stale {
                    // Others may have told of its end since.
                    self.on_status(asker, id.as_str(), true);
                    return;
                }
                let body = json!({ "uid": id, "status": "queued" }).to_string();
                self.answer(asker, Answer::new(201, body));
            }
            Some((409, body)) => {
                let failed = serde_json::from_slice::<TxnAnswer>(&body).unwrap_or_default().failed;
                if failed.iter().any(|k| k.starts_with(JOB_PREFIX)) {
                    self.known(asker, id, Answer::later(503, 1, "try again"));
                } else if tries < 3 && self.epoch() > Some(under.0) && self.entitled() {
                    // The epoch has moved on, and the new one is known by now.
                    self.accept((asker, submission), id, spec, tries + 1);
                } else {
                    self.answer(asker, Answer::later(503, 1, "membership is changing"));
                }
            }
            None => {
                // It may have been carried out: only a read can tell.
                self.known(asker, id, Answer::later(503, 1, "the state service does not answer"));
            }
            Some((503 | NOT_SENT | NOT_TRIED, _)) => {
                let refusal = Answer::later(503, 1, "the state service does not answer");
                self.pass_on(asker, Some(id), submission, refusal);
            }
            Some(_) => self.answer(asker, Answer::later(503, 1, "the state service does not answer")),
        }
    }
}
