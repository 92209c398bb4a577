//! Start of a router while the platform is unreachable: the router syncs with several peers and adopts
//! the highest revision among them, since any single peer may lag behind the revision in force.

use std::{net::SocketAddr, time::Duration};

use eelgrasswell_core::{
    hash::HashSet,
    id::{HostId, Revision},
};
use futures::future::join_all;
use tokio::time::sleep;

use super::exchange::{Updates, exchange};
use crate::{event, router::Router};

/// Number of peers with a configuration that must have replied, if that many are reachable.
const MIN_CONFIGURED_PEERS: usize = 3;
/// Maximum number of concurrent exchanges.
const BATCH_SIZE: usize = 8;
/// Delay between two rounds.
const ROUND_DELAY: Duration = Duration::from_millis(200);

/// Syncs with peers until enough of them have replied or the head has been read from the platform. Then
/// the highest configuration among the replies is put in force.
pub async fn sync_from_peers(router: &Router) {
    let mut configured_peers: HashSet<HostId> = HashSet::default();
    while router.config.is_holding_updates() {
        let mut contacted: HashSet<SocketAddr> = HashSet::default();
        // Replies name further peers, so a round continues until all known peers have been contacted.
        while let Some(batch) = next_batch(router, &contacted) {
            contacted.extend(&batch);
            let results = join_all(batch.into_iter().map(|peer| exchange(router, peer, Updates::default()))).await;
            // A peer at revision 0 has no configuration, because it is starting as well.
            let configured = results.into_iter().flatten().filter(|reported| reported.revision > Revision(0));
            configured_peers.extend(configured.map(|reported| reported.peer));
            // The platform may have become reachable in the meantime.
            if configured_peers.len() >= MIN_CONFIGURED_PEERS || !router.config.is_holding_updates() {
                break;
            }
        }
        if !configured_peers.is_empty() {
            event!(Info, "started_from_peers", peers = configured_peers.len());
            router.config.release_updates();
            return;
        }
        sleep(ROUND_DELAY).await;
    }
}

/// Up to `BATCH_SIZE` peers that are not in `contacted`. None if there are no further peers.
fn next_batch(router: &Router, contacted: &HashSet<SocketAddr>) -> Option<Vec<SocketAddr>> {
    let mut batch = router.members.peer_addresses();
    batch.retain(|address| !contacted.contains(address));
    batch.truncate(BATCH_SIZE);
    (!batch.is_empty()).then_some(batch)
}
