//! Polls the platform's host list, and drops dead routers and idle channels.

use std::time::Duration;

use eelgrasswell_core::{membership, unit::Millis};
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::Members;
use crate::{event, platform::Platform};

/// Interval between two checks for dead routers and idle channels.
const TICK_INTERVAL: Duration = Duration::from_millis(500);
/// Mean interval between two polls by all watchers of the fleet together. Each watcher polls once in
/// this time multiplied by the number of watchers, so the load on the platform does not grow with the
/// fleet.
const FLEET_POLL_INTERVAL: Millis = Millis(1_000);

/// Polls and drops until the process ends.
pub async fn run(members: Members, platform: Platform) {
    let clock = members.inner.clock;
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut next_poll = clock.now();
    let mut reachable = true;
    loop {
        ticks.tick().await;
        drop_expired(&members);
        let now = clock.now();
        if now < next_poll || !should_poll(&members) {
            continue;
        }
        let start = Instant::now();
        let result = platform.hosts().await;
        next_poll = clock.now() + poll_delay(&members);
        if let Err(err) = &result
            && reachable
        {
            event!(Warn, "hosts_not_read", error = format!("{err:#}"));
        }
        reachable = result.is_ok();
        let Ok(hosts) = result else { continue };
        let read_at = clock.now().saturating_sub(start.elapsed().into());
        if members.write().hosts.replace(hosts, read_at) {
            members.notify_change();
        }
    }
}

/// Whether this router polls. Watchers do; a router without live peers elects itself as a watcher, so
/// it polls as well.
fn should_poll(members: &Members) -> bool {
    members.is_watcher()
}

/// Delay until the next poll. It is random around the mean, so that watchers do not keep polling at the
/// same time.
fn poll_delay(members: &Members) -> Millis {
    let watchers = membership::watcher_count(&members.router_nodes()).max(1) as u64;
    let mean = FLEET_POLL_INTERVAL.0 * watchers;
    Millis(mean / 2 + rand::random_range(0..=mean))
}

fn drop_expired(members: &Members) {
    let now = members.inner.clock.now();
    members.inner.channels.drop_idle(now);
    let mut guard = members.write();
    let state = &mut *guard;
    let changed = state.routers.tick(&state.hosts, now);
    drop(guard);
    if changed {
        members.notify_change();
    }
}
