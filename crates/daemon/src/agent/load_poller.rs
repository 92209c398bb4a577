//! Reads the engine's load report ten times a second.

use std::time::Duration;

use tokio::time::{MissedTickBehavior, interval};

use super::Agent;
use crate::event;

/// Time between two reads. A backend server that turns cold without notice takes new work above its cold
/// limit until the next one: 12 requests at each of four servers with 1 s, 2 with 100 ms.
const INTERVAL: Duration = Duration::from_millis(100);

/// Runs until the task is aborted.
pub async fn run(agent: Agent) {
    let mut ticks = interval(INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        agent.answers.set_crowded(agent.admission.report().queued > 0);
        match agent.backend.load().await {
            Ok(load) => agent.admission.engine_report(load.start_id, load.cold),
            Err(err) => event!(Debug, "load_not_read", error = format!("{err:#}")),
        }
    }
}
