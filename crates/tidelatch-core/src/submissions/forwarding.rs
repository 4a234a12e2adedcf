//! Submissions that this controller cannot store, passed on to one that can.
//!
//! The state service may refuse one controller alone while it serves the others. That one stays entitled until its
//! lease ends, and the load balancer goes on sending users to it until two health checks have failed after that. Any
//! entitled controller may accept any job, so a peer is asked to. Storing it there is safe whatever became of the try
//! here: an acceptance is written only if the job has no record yet.

use crate::calls::{Asker, Purpose as Call};
use crate::controller::Controller;
use crate::ids::JobId;
use crate::messages::{Answer, PeerReply, PeerRequest};

impl Controller {
    /// Asks a peer to store a submission; without one, the user is refused. `submission` is none if it came from a
    /// peer: it is passed on once.
    pub(super) fn pass_on(&mut self, asker: Asker, job: Option<JobId>, submission: Option<Vec<u8>>, refusal: Answer) {
        let Some((submission, peer)) = submission.zip(self.entitled_peer()) else {
            self.answer(asker, refusal);
            return;
        };
        // Users wait 5 s for an answer, as workers wait 4 s for theirs.
        let timeout = 4 * self.settings.report_ms() / 5;
        self.ask(
            peer,
            PeerRequest::Submit { submission },
            timeout,
            Call::ForwardSubmission { asker, job },
        );
    }

    /// A peer has answered a submission that was passed on to it, or has not.
    pub(crate) fn on_passed_on(&mut self, asker: Asker, job: Option<JobId>, result: Option<PeerReply>) {
        // The job's end may have come by the watch since.
        if let Some(job) = job.filter(|job| self.over.contains_key(job)) {
            self.tell_over(asker, &job);
            return;
        }
        let answer = match result {
            // An answer that lay in this process's buffers may be older than what others have told since.
            Some(PeerReply::Answer(answer)) if !self.stale => answer,
            _ => Answer::later(503, 1, "no other controller can store it"),
        };
        self.answer(asker, answer);
    }
}
