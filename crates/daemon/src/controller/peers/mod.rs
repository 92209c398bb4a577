//! Anti-entropy between routers: configuration, shard owners, host list and live routers.

mod exchange;
mod service;
mod start;

use std::{net::SocketAddr, time::Duration};

use eelgrasswell_core::id::Revision;
use futures::{StreamExt, stream};
use rand::seq::IndexedRandom;
use tokio::time::{MissedTickBehavior, interval};

pub use self::service::PeerService;
use crate::{event, router::Router};

/// Time between two rounds of exchanges.
const ROUND: Duration = Duration::from_secs(1);
/// Random peers in one round.
const PEERS_PER_ROUND: usize = 2;
/// Exchanges that run at a time when all routers of a failure domain are told of something.
const CONCURRENCY: usize = 16;

/// Starts the periodic exchange with random peers.
pub fn spawn(router: Router) {
    tokio::spawn(push_config(router.clone()));
    tokio::spawn(tell_leaving(router.clone()));
    tokio::spawn(async move {
        start::ask_peers(&router).await;
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
        exchange_with(router, picked, None).await;
    }
}

/// Pushes each new configuration to the routers of the failure domain when this router watches for it.
async fn push_config(router: Router) {
    let mut last = router.config.revision();
    loop {
        router.config.reached(Revision(last.0 + 1)).await;
        if router.members.is_watcher() {
            let domain = &router.settings.host.domain;
            let peers = router.members.routers().into_iter();
            let peers = peers.filter(|peer| peer.domain == *domain && peer.id != router.settings.host.id);
            exchange_with(&router, peers.map(|peer| peer.address).collect(), Some(last)).await;
        }
        last = router.config.revision();
    }
}

/// Tells all live routers at once that this one leaves, so that they stop choosing it.
async fn tell_leaving(router: Router) {
    router.members.left().await;
    let peers = router.members.routers().into_iter().map(|peer| peer.address).collect();
    exchange_with(&router, peers, None).await;
}

/// Exchanges with each of `peers` now, to learn which revision they hold.
pub async fn ask(router: &Router, peers: Vec<SocketAddr>) {
    exchange_with(router, peers, None).await;
}

/// Exchanges with each of `peers`; they are sent what came after revision `since` at once.
async fn exchange_with(router: &Router, peers: Vec<SocketAddr>, since: Option<Revision>) {
    let exchanges = peers.into_iter().map(|peer| async move {
        if let Err(err) = exchange::exchange(router, peer, since).await {
            event!(Debug, "exchange_failed", peer = peer, error = format!("{err:#}"));
        }
    });
    stream::iter(exchanges).buffer_unordered(CONCURRENCY).collect::<()>().await;
}
