//! Monotonic clocks. The decision logic receives their times as plain numbers.

use std::time::Instant;

use eelgrasswell_core::{id::Incarnation, unit::Millis};
use rustix::time::{ClockId, clock_gettime};

/// Monotonic clock of the process, which starts near zero.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the time since the start plus one second, so that zero can mean "never".
    pub fn now(&self) -> Millis {
        Millis::from(self.start.elapsed()) + Millis(1_000)
    }
}

/// Clock that also runs while the host is suspended. It is used for time limits that other hosts rely on.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl BootClock {
    /// Returns the time since the host booted plus one minute, so that times before the boot can be expressed.
    pub fn now(self) -> Millis {
        let now = clock_gettime(ClockId::Boottime);
        let millis = now.tv_sec * 1_000 + now.tv_nsec / 1_000_000;
        Millis(u64::try_from(millis).unwrap_or_default()) + Millis(60_000)
    }
}

/// Returns a random incarnation number for this process; never zero.
pub fn random_incarnation() -> Incarnation {
    Incarnation(rand::random::<u64>().max(1))
}
