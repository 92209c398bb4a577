//! The process's monotonic clock, handed to decision logic as plain numbers.

use std::time::Instant;

use eelgrasswell_core::{id::Incarnation, unit::Millis};

/// Monotonic clock that starts near zero with the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Time since the start, plus one second so that zero can mean "never".
    pub fn now(&self) -> Millis {
        Millis::from(self.start.elapsed()) + Millis(1_000)
    }
}

/// Draws the incarnation number of this process; never zero.
pub fn draw_incarnation() -> Incarnation {
    Incarnation(rand::random::<u64>().max(1))
}
