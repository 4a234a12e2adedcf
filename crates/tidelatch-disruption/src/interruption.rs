//! Whether a task that ends by itself is better waited for than interrupted.

/// What interrupting a task of an array or a gang would cost. All times are in seconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Interruption {
    /// Run time that the task has left where it is.
    pub remaining_s: f64,
    /// Run time that would be lost and had to be repeated: what has run since the last checkpoint.
    pub lost_s: f64,
    /// Time to fetch the task's image on another machine.
    pub fetch_s: f64,
    /// Time left until the job's deadline; none: it has no deadline.
    pub slack_s: Option<f64>,
}

impl Interruption {
    /// Whether the task is better waited for: it ends sooner than an interruption would be made up for, or only by
    /// staying can it end in time.
    pub fn is_worth_waiting(&self) -> bool {
        let repeated_s = self.lost_s + self.fetch_s;
        let in_time_only_here = self.slack_s.is_some_and(|slack_s| {
            let moved_s = self.remaining_s + repeated_s;
            self.remaining_s <= slack_s && slack_s < moved_s
        });
        self.remaining_s < repeated_s || in_time_only_here
    }
}
