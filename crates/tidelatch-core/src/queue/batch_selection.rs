//! Selection of one batch of tasks from the queues: by priority, then by fair share among the teams.

use super::WaitingJob;
use super::ranking::{TeamUsage, choose_next_team};
use crate::placement::JobTerms;
use crate::protocol::Priority;
use std::collections::{BTreeSet, VecDeque};

/// A task selected for a batch.
pub(super) struct SelectedTask {
    /// Index of its job among the waiting jobs.
    pub(super) job: usize,
    /// Index of the task in its job.
    pub(super) index: u32,
    /// Whether it is within its team's guarantee, counting all that the team uses and the tasks selected before it.
    pub(super) guaranteed: bool,
}

/// Selects at most `batch_size` tasks by priority, and within a priority in turn from the team that uses least for its
/// share. A gang is selected as a whole, even beyond the batch size.
///
/// `next_tasks` holds for each job the position of its first unselected task and is advanced. `unplaceable_jobs` are
/// skipped. `team_usages` is charged with the selected tasks.
pub(super) fn select_batch(
    waiting: &[WaitingJob],
    next_tasks: &mut [usize],
    unplaceable_jobs: &BTreeSet<usize>,
    team_usages: &mut [TeamUsage],
    jobs: &[JobTerms],
    batch_size: usize,
) -> Vec<SelectedTask> {
    let mut batch = Vec::new();
    for priority in [Priority::Prod, Priority::Urgent, Priority::Normal, Priority::Low] {
        // One queue per team, so that a selection does not scan all waiting jobs.
        let mut queues: Vec<VecDeque<usize>> = vec![VecDeque::new(); team_usages.len()];
        let mut ready_teams = vec![false; team_usages.len()];
        for (job_index, w) in waiting.iter().enumerate() {
            let has_tasks_left = next_tasks
                .get(job_index)
                .is_some_and(|next_task| *next_task < w.tasks.len());
            if w.priority == priority
                && has_tasks_left
                && !unplaceable_jobs.contains(&job_index)
                && let Some((queue, is_ready)) = queues.get_mut(w.team).zip(ready_teams.get_mut(w.team))
            {
                queue.push_back(job_index);
                *is_ready = true;
            }
        }
        while batch.len() < batch_size {
            let Some(team) = choose_next_team(team_usages, &ready_teams) else {
                break;
            };
            let Some(queue) = queues.get_mut(team) else { break };
            let Some(job_index) = queue.front().copied() else { break };
            let (Some(w), Some(next_task)) = (waiting.get(job_index), next_tasks.get_mut(job_index)) else {
                break;
            };
            // A gang is selected as a whole, even beyond the batch size.
            let is_gang = jobs.get(job_index).is_some_and(|t| t.is_gang);
            let count = if is_gang { w.tasks.len() - *next_task } else { 1 };
            let first_task = *next_task;
            *next_task += count;
            if *next_task >= w.tasks.len() {
                queue.pop_front();
                if let Some(is_ready) = ready_teams.get_mut(team).filter(|_| queue.is_empty()) {
                    *is_ready = false;
                }
            }
            let Some((usage, job)) = team_usages.get_mut(team).zip(jobs.get(job_index)) else {
                break;
            };
            for index in w.tasks.iter().skip(first_task).take(count).copied() {
                // A task is charged in accelerators if it takes any, else in CPUs, whatever the unit of the team's
                // share.
                usage.used += if job.size[1] > 0.0 { job.size[1] } else { job.size[0] };
                batch.push(SelectedTask {
                    job: job_index,
                    index,
                    guaranteed: usage.used <= usage.share + 1e-6,
                });
            }
        }
    }
    batch
}
