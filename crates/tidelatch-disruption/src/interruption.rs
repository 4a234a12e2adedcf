//! Decides whether to wait for a task to finish instead of interrupting it.

/// The cost of interrupting a task of an array or a gang. All times are in seconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InterruptionCost {
    /// Remaining run time of the task on its present machine.
    pub remaining_s: f64,
    /// Run time that would be lost and repeated: the time since the last checkpoint.
    pub lost_s: f64,
    /// Time to fetch the task's image on another machine.
    pub fetch_s: f64,
    /// Time left until the job's deadline. `None` if the job has no deadline.
    pub time_to_deadline_s: Option<f64>,
}

impl InterruptionCost {
    /// Returns whether to wait for the task. This is so if it finishes sooner than the work lost by an interruption
    /// could be repeated, or if it can meet the deadline only by staying on its machine.
    pub fn is_waiting_cheaper(&self) -> bool {
        let restart_cost_s = self.lost_s + self.fetch_s;
        let meets_deadline_only_here = self.time_to_deadline_s.is_some_and(|time_to_deadline_s| {
            let remaining_if_moved_s = self.remaining_s + restart_cost_s;
            self.remaining_s <= time_to_deadline_s && time_to_deadline_s < remaining_if_moved_s
        });
        self.remaining_s < restart_cost_s || meets_deadline_only_here
    }
}
