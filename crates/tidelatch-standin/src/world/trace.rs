//! The trace: what has happened, one line each, for people to read.

use super::World;
use std::fmt::Write as _;

impl World {
    /// Writes a line into the trace.
    pub fn note(&mut self, text: &str) {
        let (s, ms) = (self.now / 1000, self.now % 1000);
        let _ = writeln!(self.trace, "{s:4}.{ms:03}  {text}");
    }

    /// The trace so far.
    pub fn trace(&self) -> &str {
        &self.trace
    }
}
