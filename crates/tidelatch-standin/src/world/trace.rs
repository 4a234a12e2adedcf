//! The human-readable trace: one line for each event, with its time in seconds.

use super::World;
use std::fmt::Write as _;

impl World {
    /// Appends a line to the trace.
    pub fn write_trace(&mut self, text: &str) {
        let (s, ms) = (self.now / 1000, self.now % 1000);
        let _ = writeln!(self.trace, "{s:4}.{ms:03}  {text}");
    }

    /// Returns the trace so far.
    pub fn trace(&self) -> &str {
        &self.trace
    }
}
