//! The start of a router while the platform is down: it asks several peers and takes the highest
//! revision among them, since any single peer may lag behind what was in force.

use std::{net::SocketAddr, time::Duration};

use eelgrasswell_core::{
    hash::HashSet,
    id::{HostId, Revision},
};
use futures::future::join_all;
use tokio::time::sleep;

use super::exchange::{Parts, exchange};
use crate::{event, router::Router};

/// Peers with a configuration that must have answered, when so many can be reached.
const PEERS_TO_ASK: usize = 3;
/// Peers asked at a time.
const BATCH: usize = 8;
/// Pause between two rounds.
const PAUSE: Duration = Duration::from_millis(200);

/// Asks peers until enough of them have answered or the platform has; then the highest
/// configuration among the answers is in force.
pub async fn ask_peers(router: &Router) {
    let mut holders: HashSet<HostId> = HashSet::default();
    while router.config.is_holding() {
        let mut asked: HashSet<SocketAddr> = HashSet::default();
        // Answers name further peers, so a round goes on until no known peer is left.
        while let Some(batch) = next_batch(router, &asked) {
            asked.extend(&batch);
            let answers = join_all(batch.into_iter().map(|peer| exchange(router, peer, Parts::default()))).await;
            // A peer without a configuration is starting as well.
            let holding = answers.into_iter().flatten().filter(|answer| answer.revision > Revision(0));
            holders.extend(holding.map(|answer| answer.peer));
            // The platform may have answered meanwhile.
            if holders.len() >= PEERS_TO_ASK || !router.config.is_holding() {
                break;
            }
        }
        if !holders.is_empty() {
            event!(Info, "started_from_peers", peers = holders.len());
            router.config.release();
            return;
        }
        sleep(PAUSE).await;
    }
}

fn next_batch(router: &Router, asked: &HashSet<SocketAddr>) -> Option<Vec<SocketAddr>> {
    let mut batch = router.members.peer_addresses();
    batch.retain(|address| !asked.contains(address));
    batch.truncate(BATCH);
    (!batch.is_empty()).then_some(batch)
}
