//! Forwarding of submissions that this controller cannot store to a controller that can.
//!
//! The state service may refuse one controller while it serves the others. The refused controller stays entitled to act
//! until its lease ends, and the load balancer sends users to it until two health checks after that have failed. Any
//! entitled controller may accept any job, so a peer is asked to do it. That is safe whatever the outcome of the write
//! by this controller: an acceptance is written only if the job has no record yet.

use crate::calls::{CallPurpose, Requester};
use crate::controller::Controller;
use crate::ids::JobId;
use crate::messages::{Answer, PeerReply, PeerRequest};

impl Controller {
    /// Asks an entitled peer to store a submission, or answers with `refusal` if there is none. `submission` is `None`
    /// if it came from a peer, because a submission is forwarded only once.
    pub(super) fn forward_submission(
        &mut self,
        requester: Requester,
        job: Option<JobId>,
        submission: Option<Vec<u8>>,
        refusal: Answer,
    ) {
        let Some((submission, peer)) = submission.zip(self.next_entitled_peer()) else {
            self.send_answer(requester, refusal);
            return;
        };
        // Users wait 5 s for the answer to a submission, workers 4 s for the answer to a report.
        let timeout_ms = 4 * self.settings.report_ms() / 5;
        self.send_peer_request(
            peer,
            PeerRequest::Submit { submission },
            timeout_ms,
            CallPurpose::ForwardSubmission { requester, job },
        );
    }

    /// Handles a peer's answer to a forwarded submission; `None` if there was no answer.
    pub(crate) fn on_forwarded_submission_reply(
        &mut self,
        requester: Requester,
        job: Option<JobId>,
        result: Option<PeerReply>,
    ) {
        // The watch may have reported the job's end since.
        if let Some(job) = job.filter(|job| self.ended_jobs.contains_key(job)) {
            self.answer_ended_job(requester, &job);
            return;
        }
        let answer = match result {
            // An answer that stayed in buffers while this process was paused may be older than what other controllers
            // have told users since.
            Some(PeerReply::Answer(answer)) if !self.is_reply_stale => answer,
            _ => Answer::retry_later(503, 1, "no other controller can store it"),
        };
        self.send_answer(requester, answer);
    }
}
