//! The process's monotonic clock, handed to decision logic as plain numbers.

use std::time::Instant;

use eelgrasswell_core::{id::Incarnation, unit::Millis};
use rustix::time::{ClockId, clock_gettime};

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

/// Clock that goes on while the host is suspended. Bounds that other hosts rely on are kept by it.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl BootClock {
    /// Time since the host has booted, plus one minute so that times before the start can be told.
    pub fn now(self) -> Millis {
        let now = clock_gettime(ClockId::Boottime);
        let millis = now.tv_sec * 1_000 + now.tv_nsec / 1_000_000;
        Millis(u64::try_from(millis).unwrap_or_default()) + Millis(60_000)
    }
}

/// Draws the incarnation number of this process; never zero.
pub fn random_incarnation() -> Incarnation {
    Incarnation(rand::random::<u64>().max(1))
}
