//! Anti-entropy between routers: configuration, shard owners, host list and live routers.

mod bootstrap;
mod exchange;
mod service;

use std::{iter, net::SocketAddr, time::Duration};

use eelgrasswell_core::id::Revision;
use futures::{StreamExt, stream};
use rand::seq::IndexedRandom;
use tokio::time::{MissedTickBehavior, interval, timeout};

use self::exchange::Parts;
pub use self::service::PeerService;
use crate::{event, router::Router, telemetry};

/// Time between two rounds of exchanges.
const ROUND: Duration = Duration::from_secs(1);
/// Random peers in one round.
const PEERS_PER_ROUND: usize = 2;
/// Exchanges that run at a time when all routers of a failure domain are told of something.
const CONCURRENCY: usize = 16;
/// Pause between two rounds of a router that catches up.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(50);

/// Starts the periodic exchange with random peers.
pub fn spawn(router: Router) {
    tokio::spawn(push_config(router.clone()));
    tokio::spawn(push_hosts(router.clone()));
    tokio::spawn(tell_leaving(router.clone()));
    tokio::spawn(async move {
        bootstrap::ask_peers(&router).await;
        exchange_rounds(&router).await;
    });
}

async fn exchange_rounds(router: &Router) {
    let mut ticks = interval(ROUND);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let addresses = router.members.peer_addresses();
        let picked: Vec<SocketAddr> = addresses.sample(&mut rand::rng(), PEERS_PER_ROUND).copied().collect();
        exchange_with(router, picked, Parts::default()).await;
    }
}

/// Passes each new configuration on to the routers of the failure domain when this router watches
/// for it. All failure domains have watchers of their own.
async fn push_config(router: Router) {
    let mut last = router.config.revision();
    loop {
        router.config.reached(Revision(last.0 + 1)).await;
        let current = router.config.revision();
        if router.members.is_watcher() {
            let domain = &router.settings.host.domain;
            let peers = router.members.live_routers().into_iter();
            let peers = peers.filter(|peer| peer.domain == *domain && peer.id != router.settings.host.id);
            let peers = peers.map(|peer| peer.address).collect();
            push(&router, peers, Parts { config_since: Some(last), ..Parts::default() });
        }
        last = current;
    }
}

/// Passes changes of the host list on when this router is a watcher. Of all watchers only one polls
/// at a time, so it tells those of the other failure domains too.
async fn push_hosts(router: Router) {
    let mut changes = router.members.changes();
    let mut last = router.members.host_changes();
    while changes.changed().await.is_ok() {
        let current = router.members.host_changes();
        if current > last && router.members.is_watcher() {
            let parts = Parts { hosts: router.members.hosts_since(last), ..Parts::default() };
            push(&router, router.members.push_targets(), parts);
        }
        last = current;
    }
}

/// Tells `peers` without waiting for them, so that a dead one does not delay the next push.
fn push(router: &Router, peers: Vec<SocketAddr>, parts: Parts) {
    let router = router.clone();
    tokio::spawn(async move { exchange_with(&router, peers, parts).await });
}

/// Tells all live routers at once that this one leaves, so that they stop choosing it.
async fn tell_leaving(router: Router) {
    router.members.left().await;
    let peers = router.members.live_routers().into_iter().map(|peer| peer.address).collect();
    exchange_with(&router, peers, Parts::default()).await;
}

/// Exchanges with peers until one has brought `revision`. For a router that an agent refused because
/// the agent's configuration is newer; the caller bounds the time.
pub async fn catch_up(router: &Router, revision: Revision) {
    while router.config.revision() < revision {
        let addresses = router.members.peer_addresses();
        let picked: Vec<SocketAddr> = addresses.sample(&mut rand::rng(), PEERS_PER_ROUND).copied().collect();
        tokio::select! {
            () = exchange_with(router, picked, Parts::default()) => {}
            () = router.config.reached(revision) => return,
        }
        let _ = timeout(CATCH_UP_PAUSE, router.config.reached(revision)).await;
    }
}

/// Exchanges with each of `peers` now, to learn which revision they hold.
pub async fn sync_with(router: &Router, peers: Vec<SocketAddr>) {
    exchange_with(router, peers, Parts::default()).await;
}

/// Exchanges with each of `peers`, which are told `parts` at once.
async fn exchange_with(router: &Router, peers: Vec<SocketAddr>, parts: Parts) {
    let exchanges = peers.into_iter().zip(iter::repeat(parts)).map(|(peer, parts)| async move {
        let result = exchange::exchange(router, peer, parts).await;
        let label = if result.is_ok() { "ok" } else { "error" };
        metrics::counter!(telemetry::EXCHANGES, "result" => label).increment(1);
        if let Err(err) = result {
            event!(Debug, "exchange_failed", peer = peer, error = format!("{err:#}"));
        }
    });
    stream::iter(exchanges).buffer_unordered(CONCURRENCY).collect::<()>().await;
}
