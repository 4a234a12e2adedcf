//! Drawing one batch from the queues: by priority, and within one by turns of the teams.

use super::Waiting;
use super::ranking::{Claim, next_in_turn};
use crate::placement::JobTerms;
use crate::protocol::Priority;
use std::collections::{BTreeSet, VecDeque};

/// A task drawn for a batch.
pub(super) struct Drawn {
    pub(super) job: usize,
    pub(super) index: u32,
    /// Within its team's guarantee, with all that the team uses and what was drawn before.
    pub(super) guaranteed: bool,
}

/// Draws one batch: by priority, and within one by turns of the teams.
pub(super) fn draw(
    waiting: &[Waiting],
    next: &mut [usize],
    stuck: &BTreeSet<usize>,
    claims: &mut [Claim],
    jobs: &[JobTerms],
    most: usize,
) -> Vec<Drawn> {
    let mut batch = Vec::new();
    for priority in [Priority::Prod, Priority::Urgent, Priority::Normal, Priority::Low] {
        // Each team's jobs in their order, so that a draw does not go through all that waits.
        let mut queues: Vec<VecDeque<usize>> = vec![VecDeque::new(); claims.len()];
        let mut teams = vec![false; claims.len()];
        for (j, w) in waiting.iter().enumerate() {
            let left = next.get(j).is_some_and(|n| *n < w.tasks.len());
            if w.priority == priority
                && left
                && !stuck.contains(&j)
                && let Some((queue, ready)) = queues.get_mut(w.team).zip(teams.get_mut(w.team))
            {
                queue.push_back(j);
                *ready = true;
            }
        }
        while batch.len() < most {
            let Some(team) = next_in_turn(claims, &teams) else {
                break;
            };
            let Some(queue) = queues.get_mut(team) else { break };
            let Some(j) = queue.front().copied() else { break };
            let (Some(w), Some(n)) = (waiting.get(j), next.get_mut(j)) else {
                break;
            };
            // A gang enters a batch whole, even past its size.
            let whole = jobs.get(j).is_some_and(|t| t.gang);
            let taken = if whole { w.tasks.len() - *n } else { 1 };
            let first = *n;
            *n += taken;
            if *n >= w.tasks.len() {
                queue.pop_front();
                if let Some(ready) = teams.get_mut(team).filter(|_| queue.is_empty()) {
                    *ready = false;
                }
            }
            let Some((c, job)) = claims.get_mut(team).zip(jobs.get(j)) else {
                break;
            };
            for index in w.tasks.iter().skip(first).take(taken).copied() {
                c.used += if job.size[1] > 0.0 { job.size[1] } else { job.size[0] };
                batch.push(Drawn {
                    job: j,
                    index,
                    guaranteed: c.used <= c.share + 1e-6,
                });
            }
        }
    }
    batch
}
