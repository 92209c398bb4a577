//! Polls the engine's load report ten times a second.

use std::time::Duration;

use tokio::time::{MissedTickBehavior, interval};

use super::Agent;
use crate::event;

/// Interval between two polls. A backend server that turns cold receives new work above its cold limit
/// until the next poll: 12 requests at each of four servers with 1 s, 2 with 100 ms.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Polls until the task is aborted.
pub async fn run(agent: Agent) {
    let mut ticks = interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        agent.answers.set_requests_queued(agent.admission.load_report().queued > 0);
        match agent.backend.load().await {
            Ok(load) => agent.admission.record_engine_report(load.start_id, load.cold),
            Err(err) => event!(Debug, "load_not_read", error = format!("{err:#}")),
        }
    }
}
