//! Anti-entropy between routers: they exchange the configuration, shard owners, the host list and live
//! routers.

mod bootstrap;
mod exchange;
mod service;

use std::{iter, net::SocketAddr, time::Duration};

use eelgrasswell_core::id::Revision;
use futures::{StreamExt, stream};
use rand::seq::IndexedRandom;
use tokio::time::{MissedTickBehavior, interval, timeout};

use self::exchange::Updates;
pub use self::service::PeerService;
use crate::{event, router::Router, telemetry};

/// Interval between two rounds of exchanges.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Number of random peers in one round.
const PEERS_PER_ROUND: usize = 2;
/// Maximum number of concurrent exchanges when changes are pushed to all routers of a failure domain.
const MAX_CONCURRENT_EXCHANGES: usize = 16;
/// Delay between two rounds of a router that catches up.
const CATCH_UP_DELAY: Duration = Duration::from_millis(50);

/// Starts the tasks that exchange state with random peers every round and push changes to peers.
pub fn spawn(router: Router) {
    tokio::spawn(push_config(router.clone()));
    tokio::spawn(push_hosts(router.clone()));
    tokio::spawn(announce_leaving(router.clone()));
    tokio::spawn(async move {
        bootstrap::sync_from_peers(&router).await;
        exchange_rounds(&router).await;
    });
}

async fn exchange_rounds(router: &Router) {
    let mut ticks = interval(ROUND_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let addresses = router.members.peer_addresses();
        let picked: Vec<SocketAddr> = addresses.sample(&mut rand::rng(), PEERS_PER_ROUND).copied().collect();
        exchange_with(router, picked, Updates::default()).await;
    }
}

/// Pushes each new configuration to the routers of the same failure domain while this router is a
/// watcher. Each failure domain has its own watchers.
async fn push_config(router: Router) {
    let mut last = router.config.revision();
    loop {
        router.config.wait_for_revision(Revision(last.0 + 1)).await;
        let current = router.config.revision();
        if router.members.is_watcher() {
            let domain = &router.settings.host.domain;
            let peers = router.members.live_routers().into_iter();
            let peers = peers.filter(|peer| peer.domain == *domain && peer.id != router.settings.host.id);
            let peers = peers.map(|peer| peer.address).collect();
            push(&router, peers, Updates { config_since: Some(last), ..Updates::default() });
        }
        last = current;
    }
}

/// Pushes changes of the host list while this router is a watcher. The watchers of all failure domains
/// share the polls of the platform, so the one that reads a change pushes it to the watchers of the
/// other failure domains as well.
async fn push_hosts(router: Router) {
    let mut changes = router.members.changes();
    let mut last = router.members.last_host_change();
    while changes.changed().await.is_ok() {
        let current = router.members.last_host_change();
        if current > last && router.members.is_watcher() {
            let updates = Updates { hosts: router.members.hosts_since(last), ..Updates::default() };
            push(&router, router.members.push_targets(), updates);
        }
        last = current;
    }
}

/// Sends `updates` to `peers` in the background, so that a dead peer does not delay the next push.
fn push(router: &Router, peers: Vec<SocketAddr>, updates: Updates) {
    let router = router.clone();
    tokio::spawn(async move { exchange_with(&router, peers, updates).await });
}

/// Notifies all live routers as soon as this router announces that it is leaving, so that they stop
/// selecting it.
async fn announce_leaving(router: Router) {
    router.members.leaving_announced().await;
    let peers = router.members.live_routers().into_iter().map(|peer| peer.address).collect();
    exchange_with(&router, peers, Updates::default()).await;
}

/// Exchanges with random peers until this router has `revision` in force. Used when an agent has
/// refused a request because the agent's configuration is newer. The caller sets the timeout.
pub async fn catch_up(router: &Router, revision: Revision) {
    while router.config.revision() < revision {
        let addresses = router.members.peer_addresses();
        let picked: Vec<SocketAddr> = addresses.sample(&mut rand::rng(), PEERS_PER_ROUND).copied().collect();
        tokio::select! {
            () = exchange_with(router, picked, Updates::default()) => {}
            () = router.config.wait_for_revision(revision) => return,
        }
        let _ = timeout(CATCH_UP_DELAY, router.config.wait_for_revision(revision)).await;
    }
}

/// Exchanges with each of `peers` now, so that their revisions are recorded.
pub async fn sync_with(router: &Router, peers: Vec<SocketAddr>) {
    exchange_with(router, peers, Updates::default()).await;
}

/// Exchanges with each of `peers`, with `updates` in the first request to each.
async fn exchange_with(router: &Router, peers: Vec<SocketAddr>, updates: Updates) {
    let exchanges = peers.into_iter().zip(iter::repeat(updates)).map(|(peer, updates)| async move {
        let result = exchange::exchange(router, peer, updates).await;
        let label = if result.is_ok() { "ok" } else { "error" };
        metrics::counter!(telemetry::EXCHANGES, "result" => label).increment(1);
        if let Err(err) = result {
            event!(Debug, "exchange_failed", peer = peer, error = format!("{err:#}"));
        }
    });
    stream::iter(exchanges).buffer_unordered(MAX_CONCURRENT_EXCHANGES).collect::<()>().await;
}
