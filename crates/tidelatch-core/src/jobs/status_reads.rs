//! Fresh reads of the store for questions about jobs that neither the watch nor an owner answers.
//!
//! There is one read under way for each job at most, however many ask. An answer must not be older than what any
//! controller has told a user before the question came, so whoever asks while a read is under way waits for the
//! next one, which all of them share. Only a final state is told to them at once, for it never changes.

use super::Purpose;
use crate::calls::Asker;
use crate::controller::Controller;
use crate::ids::JobId;
use crate::messages::Answer;
use serde_json::json;
use std::collections::BTreeMap;

/// Part of the budget of requests to the state service that questions leave to leases, acceptances and
/// cancellations.
const BUDGET_KEPT: f64 = 0.25;
/// Reads under way at a time, as a part of the requests a second that this controller may send.
const READS_PER_RATE: f64 = 0.25;

/// One read that is under way.
#[derive(Debug)]
struct OpenRead {
    /// Those who had asked when it was sent.
    askers: Vec<Asker>,
    /// Those who have asked since.
    later: Vec<Asker>,
}

/// All reads that are under way.
#[derive(Debug, Default)]
pub(crate) struct StatusReads {
    open: BTreeMap<JobId, OpenRead>,
}

impl Controller {
    /// Answers a question about a job by a read that is sent after the question came.
    pub(crate) fn read_status(&mut self, asker: Asker, id: JobId) {
        match self.status_reads.open.get_mut(&id) {
            Some(read) => read.later.push(asker),
            None => self.begin_status_read(id, vec![asker]),
        }
    }

    fn begin_status_read(&mut self, id: JobId, askers: Vec<Asker>) {
        if askers.is_empty() {
            return;
        }
        let most = (self.state_rate() * READS_PER_RATE).max(1.0) as usize;
        let open = self.status_reads.open.len();
        if open >= most || !self.state_reads.take(self.now.ms, 0.0, BUDGET_KEPT) {
            self.answer_all(askers, &Answer::later(503, 1, "too many requests at present"));
            return;
        }
        let read = OpenRead {
            askers,
            later: Vec::new(),
        };
        self.status_reads.open.insert(id.clone(), read);
        self.read_job(&id.clone(), Purpose::Status { id });
    }

    /// Requests a second that this controller may send to the state service.
    fn state_rate(&self) -> f64 {
        self.settings.platform.facts.state.rps / f64::from(self.settings.partitions())
    }

    /// A read has come back, or was given up.
    pub(super) fn on_status_read(&mut self, id: JobId, result: Option<(u16, Vec<u8>)>) {
        let Some(OpenRead { mut askers, later }) = self.status_reads.open.remove(&id) else {
            return;
        };
        let missing = matches!(result, Some((404, _)));
        // By now this controller may know more: it may have accepted the job, or read its end; a 404 may be from
        // before the watch told of the job.
        if self.knows(&id) || (missing && self.jobs.contains_key(&id)) {
            askers.extend(later);
            askers.into_iter().for_each(|a| self.on_status(a, id.as_str(), true));
            return;
        }
        // What lay in this process's buffers while it stood still is asked anew.
        if self.stale {
            askers.extend(later);
            self.begin_status_read(id, askers);
            return;
        }
        if missing {
            self.answer_all(askers, &Answer::new(404, r#"{"error":"no such job"}"#));
            self.begin_status_read(id, later);
            return;
        }
        let state = result
            .filter(|(status, _)| *status == 200)
            .and_then(|(_, body)| self.learn_read(&id, &body));
        match state {
            None => {
                askers.extend(later);
                self.answer_all(askers, &Answer::later(503, 1, "the state service does not answer"));
            }
            Some(_) if self.over.contains_key(&id) => {
                askers.extend(later);
                askers.into_iter().for_each(|a| self.tell_over(a, &id));
            }
            Some(state) => {
                let body = json!({ "uid": id, "status": state.word(), "done": 0, "running": 0 });
                self.answer_all(askers, &Answer::new(200, body.to_string()));
                self.begin_status_read(id, later);
            }
        }
    }

    fn answer_all(&mut self, askers: Vec<Asker>, answer: &Answer) {
        askers.into_iter().for_each(|a| self.answer(a, answer.clone()));
    }
}
