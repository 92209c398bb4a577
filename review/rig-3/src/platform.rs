//! What the platform does with a process that exceeds the memory of its machine: it kills it.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{gateway::Gateway, record::Record, world::Site};

/// Interval at which the memory is looked at.
const INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which it is written to the record.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);

/// Watches the memory of a gateway for `time`, and kills it once it exceeds the memory of its machine. Returns whether it did.
pub fn enforce_memory(gateway: &mut Gateway, site: Site, time: Duration, record: &Record) -> bool {
    let until = Instant::now() + time;
    let mut record_at = Instant::now();
    while Instant::now() < until {
        let memory = gateway.memory_kb();
        if memory > site.memory_mb << 10 {
            gateway.kill();
            record.line(format!("platform: the gateway holds {memory} KB of {} MB and is killed", site.memory_mb));
            return true;
        }
        if Instant::now() >= record_at {
            record.line(format!("platform: the gateway holds {memory} KB of {} MB", site.memory_mb));
            record_at += RECORD_INTERVAL;
        }
        thread::sleep(INTERVAL);
    }
    false
}
