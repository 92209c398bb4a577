//! Polls the platform's host list and drops what has expired.

use std::time::Duration;

use eelgrasswell_core::{membership, unit::Millis};
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::Members;
use crate::{event, platform::Platform};

/// Time between two checks for dead routers and idle channels.
const TICK: Duration = Duration::from_millis(500);
/// Time between two polls of the whole fleet. Each watcher polls once in this time multiplied by the
/// number of watchers, so the load on the platform does not grow with the fleet.
const FLEET_POLL_INTERVAL: Millis = Millis(1_000);

/// Runs until the process ends.
pub async fn run(members: Members, platform: Platform) {
    let clock = members.inner.clock;
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut next_poll = clock.now();
    let mut reachable = true;
    loop {
        ticks.tick().await;
        tick(&members);
        let now = clock.now();
        if now < next_poll || !should_poll(&members) {
            continue;
        }
        let start = Instant::now();
        let result = platform.hosts().await;
        next_poll = clock.now() + pause(&members);
        if let Err(err) = &result
            && reachable
        {
            event!(Warn, "hosts_not_read", error = format!("{err:#}"));
        }
        reachable = result.is_ok();
        let Ok(hosts) = result else { continue };
        let read_at = clock.now().saturating_sub(start.elapsed().into());
        if members.write().hosts.observe(hosts, read_at) {
            members.note_change();
        }
    }
}

/// A router without live peers considers itself elected, so it polls as well.
fn should_poll(members: &Members) -> bool {
    members.is_watcher()
}

/// Time until the next poll, drawn at random around the mean so that watchers do not stay in step.
fn pause(members: &Members) -> Millis {
    let watchers = membership::watcher_count(&members.router_nodes()).max(1) as u64;
    let mean = FLEET_POLL_INTERVAL.0 * watchers;
    Millis(mean / 2 + rand::random_range(0..=mean))
}

fn tick(members: &Members) {
    let now = members.inner.clock.now();
    members.inner.channels.drop_idle(now);
    let mut guard = members.write();
    let state = &mut *guard;
    let changed = state.routers.tick(&state.hosts, now);
    drop(guard);
    if changed {
        members.note_change();
    }
}
