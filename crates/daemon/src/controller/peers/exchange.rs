//! An exchange with one peer, and how either side handles the messages.

use std::{net::SocketAddr, time::Duration};

use eelgrasswell_core::{
    hash::stable_hash,
    id::{HostId, Revision},
    unit::Millis,
};
use eelgrasswell_proto::v1::{
    ConfigUpdate, HostSection, RouterInfo, ShardOwner, SyncReply, SyncRequest, peer_client::PeerClient,
};
use eyre::{Result, WrapErr, bail};
use tokio::time::{Instant, timeout};

use crate::{controller::membership::Gossip, event, router::Router};

/// Timeout of one call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Upper bound of the time that a request is in transit, which its receiver cannot measure.
pub const MAX_TRANSIT: Millis = Millis(100);

/// Revision that a peer has reported.
pub struct PeerRevision {
    /// Host of the peer; empty if the reply does not name it.
    pub peer: HostId,
    /// Revision that the peer has in force.
    pub revision: Revision,
}

/// Data that a request contains in addition to digests.
#[derive(Clone, Debug, Default)]
pub struct Updates {
    /// If set, the request contains the configuration changes after this revision.
    pub config_since: Option<Revision>,
    /// Sections of the host list.
    pub hosts: Vec<HostSection>,
    /// Shard owners.
    pub owners: Vec<ShardOwner>,
}

/// Content of a received message, request or reply.
pub struct Incoming<'a> {
    pub from: Option<&'a RouterInfo>,
    pub gossip: &'a Gossip,
    pub update: Option<&'a ConfigUpdate>,
    pub revision: Revision,
    pub confirmed_ago: Millis,
    pub owners: &'a [ShardOwner],
    /// Maximum time that the message can have been in transit.
    pub delay: Millis,
}

/// Exchanges state with the router at `address`: sends it `updates`, and then in a second call what its
/// reply shows to be missing there.
pub async fn exchange(router: &Router, address: SocketAddr, updates: Updates) -> Result<PeerRevision> {
    let reply = sync(router, address, updates).await?;
    if let Some(missing) = missing_at_peer(router, &reply) {
        return sync(router, address, missing).await.map(|reply| peer_revision(&reply));
    }
    Ok(peer_revision(&reply))
}

/// Calls `Sync` at the router at `address` and applies the reply.
async fn sync(router: &Router, address: SocketAddr, updates: Updates) -> Result<SyncReply> {
    let (channel, credential) = router.members.channel(address);
    let mut client = PeerClient::with_interceptor(channel, credential);
    let start = Instant::now();
    let reply = timeout(CALL_TIMEOUT, client.sync(sync_request(router, updates))).await;
    let Ok(reply) = reply else {
        // The connection may be stalled.
        router.members.reconnect(address);
        bail!("could not sync with {address}: timed out");
    };
    let reply = reply.wrap_err_with(|| format!("could not sync with {address}"))?.into_inner();
    apply_message(router, &incoming(&reply, &gossip_from(&reply), start.elapsed().into()));
    Ok(reply)
}

/// Updates that the peer lacks according to its reply, together with digests of the host list sections,
/// so that the peer can reply with what this router lacks. None if there is nothing to exchange.
fn missing_at_peer(router: &Router, reply: &SyncReply) -> Option<Updates> {
    let peer_revision = Revision(reply.revision);
    let config_since = (peer_revision < router.config.revision()).then_some(peer_revision);
    // A reply without sections is not compared: all sections would seem to be missing at the peer.
    let hosts_differ = !reply.hosts.is_empty() && reply.hosts_digest != router.members.gossip().hosts_digest;
    let hosts = if hosts_differ { router.members.hosts_newer_than(&reply.hosts) } else { Vec::new() };
    let owners = router.shards.owners();
    let owners = if owners_digest(&owners) == reply.owners_digest { Vec::new() } else { owners };
    let nothing_missing = config_since.is_none() && hosts.is_empty() && owners.is_empty();
    (!nothing_missing).then_some(Updates { config_since, hosts, owners })
}

fn sync_request(router: &Router, updates: Updates) -> SyncRequest {
    let gossip = router.members.gossip();
    SyncRequest {
        from: Some(router.members.own_info()),
        revision: router.config.known_revision().0,
        confirmed_ms_ago: router.config.confirmation_age().0,
        update: updates.config_since.and_then(|since| router.config.update_since(since)),
        owners: updates.owners,
        routers_digest: gossip.routers_digest,
        heard: gossip.heartbeat_ages,
        hosts: updates.hosts,
        hosts_digest: gossip.hosts_digest,
        owners_digest: owners_digest(&router.shards.owners()),
    }
}

/// Digest of shard owners. It does not depend on their order.
pub fn owners_digest(owners: &[ShardOwner]) -> u64 {
    let digests = owners.iter().map(|owner| {
        let numbers = [owner.shard.into(), owner.incarnation, owner.fence].map(|n: u64| n.to_string());
        stable_hash(&[&owner.owner, &owner.address, &numbers[0], &numbers[1], &numbers[2]])
    });
    digests.fold(0, u64::wrapping_add)
}

fn peer_revision(reply: &SyncReply) -> PeerRevision {
    PeerRevision {
        peer: reply.from.as_ref().map_or_else(HostId::default, |from| from.id.as_str().into()),
        revision: Revision(reply.revision),
    }
}

fn gossip_from(reply: &SyncReply) -> Gossip {
    Gossip {
        routers_digest: reply.routers_digest,
        heartbeat_ages: reply.heard.clone(),
        routers: reply.routers.clone(),
        hosts_digest: reply.hosts_digest,
        hosts: reply.hosts.clone(),
    }
}

fn incoming<'a>(reply: &'a SyncReply, gossip: &'a Gossip, delay: Millis) -> Incoming<'a> {
    Incoming {
        from: reply.from.as_ref(),
        gossip,
        update: reply.update.as_ref(),
        revision: Revision(reply.revision),
        confirmed_ago: Millis(reply.confirmed_ms_ago),
        owners: &reply.owners,
        delay,
    }
}

/// Applies the content of a message from another router to this router's state.
pub fn apply_message(router: &Router, message: &Incoming<'_>) {
    router.members.receive(message.from, message.gossip, message.delay);
    if let Some(from) = message.from {
        router.config.reported_revisions.record(&from.id.as_str().into(), message.revision);
    }
    router.shards.record_owners(message.owners);
    if let Some(update) = message.update
        && let Err(err) = router.config.apply(update)
    {
        let peer = message.from.map_or("", |from| from.id.as_str());
        event!(Warn, "update_not_applied", peer = peer, error = format!("{err:#}"));
    }
    router.config.record_confirmation(message.revision, message.confirmed_ago + message.delay);
}
