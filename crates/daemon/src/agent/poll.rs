//! Reads the engine's load report every second.

use std::time::Duration;

use tokio::time::{MissedTickBehavior, interval};

use super::Agent;
use crate::event;

const INTERVAL: Duration = Duration::from_secs(1);

/// Runs until the task is aborted.
pub async fn run(agent: Agent) {
    let mut ticks = interval(INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        match agent.backend.load().await {
            Ok(load) => agent.admission.engine_report(load.start_id, load.cold),
            Err(err) => event!(Debug, "load_not_read", error = format!("{err:#}")),
        }
    }
}
