//! One exchange with a peer, and what both sides do with the messages.

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

/// Longest time that an exchange takes.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Bound of the time that a request is on the way, which its receiver cannot measure.
pub const TRANSIT: Millis = Millis(100);

/// What a peer answered.
pub struct Answer {
    /// The peer; empty when it did not say.
    pub peer: HostId,
    /// The revision that it holds.
    pub revision: Revision,
}

/// What a peer is told beyond digests.
#[derive(Clone, Debug, Default)]
pub struct Parts {
    /// Send the changes to the configuration after this revision.
    pub config_since: Option<Revision>,
    /// Parts of the host list.
    pub hosts: Vec<HostSection>,
    /// Shard owners.
    pub owners: Vec<ShardOwner>,
}

/// What a message says, request or reply.
pub struct Incoming<'a> {
    pub from: Option<&'a RouterInfo>,
    pub gossip: &'a Gossip,
    pub update: Option<&'a ConfigUpdate>,
    pub revision: Revision,
    pub confirmed_ago: Millis,
    pub owners: &'a [ShardOwner],
    /// Longest time that the message can have been on the way.
    pub delay: Millis,
}

/// Exchanges with the router at `address`. It is told `parts` at once, and what it turns out to lack
/// afterwards.
pub async fn exchange(router: &Router, address: SocketAddr, parts: Parts) -> Result<Answer> {
    let reply = call(router, address, parts).await?;
    if let Some(lacking) = lacking(router, &reply) {
        return call(router, address, lacking).await.map(|reply| answer(&reply));
    }
    Ok(answer(&reply))
}

async fn call(router: &Router, address: SocketAddr, parts: Parts) -> Result<SyncReply> {
    let (channel, present) = router.members.channel(address);
    let mut client = PeerClient::with_interceptor(channel, present);
    let start = Instant::now();
    let reply = timeout(TIMEOUT, client.sync(request(router, parts))).await;
    let Ok(reply) = reply else {
        // The connection may be silent.
        router.members.reconnect(address);
        bail!("timed out syncing with {address}");
    };
    let reply = reply.wrap_err_with(|| format!("could not sync with {address}"))?.into_inner();
    receive(router, &incoming(&reply, &gossip_of(&reply), start.elapsed().into()));
    Ok(reply)
}

/// What the peer lacks, or may have that this router lacks, by its reply; none when both are equal.
fn lacking(router: &Router, reply: &SyncReply) -> Option<Parts> {
    let their_revision = Revision(reply.revision);
    let config_since = (their_revision < router.config.revision()).then_some(their_revision);
    // Without a word on its sections everything would seem to be missing there.
    let differs = !reply.hosts.is_empty() && reply.hosts_digest != router.members.gossip().hosts_digest;
    let hosts = if differs { router.members.hosts_newer_than(&reply.hosts) } else { Vec::new() };
    let owners = router.shards.owners();
    let owners = if owners_digest(&owners) == reply.owners_digest { Vec::new() } else { owners };
    let nothing = config_since.is_none() && hosts.is_empty() && owners.is_empty();
    (!nothing).then_some(Parts { config_since, hosts, owners })
}

fn request(router: &Router, parts: Parts) -> SyncRequest {
    let gossip = router.members.gossip();
    SyncRequest {
        from: Some(router.members.own_info()),
        revision: router.config.known_revision().0,
        confirmed_ms_ago: router.config.confirmed_ago().0,
        update: parts.config_since.and_then(|since| router.config.update_since(since)),
        owners: parts.owners,
        routers_digest: gossip.routers_digest,
        heard: gossip.heartbeat_ages,
        hosts: parts.hosts,
        hosts_digest: gossip.hosts_digest,
        owners_digest: owners_digest(&router.shards.owners()),
    }
}

/// Digest of shard owners in any order.
pub fn owners_digest(owners: &[ShardOwner]) -> u64 {
    let digests = owners.iter().map(|owner| {
        let numbers = [owner.shard.into(), owner.incarnation, owner.fence].map(|n: u64| n.to_string());
        stable_hash(&[&owner.owner, &owner.address, &numbers[0], &numbers[1], &numbers[2]])
    });
    digests.fold(0, u64::wrapping_add)
}

fn answer(reply: &SyncReply) -> Answer {
    Answer {
        peer: reply.from.as_ref().map_or_else(HostId::default, |from| from.id.as_str().into()),
        revision: Revision(reply.revision),
    }
}

fn gossip_of(reply: &SyncReply) -> Gossip {
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

/// Takes in what another router says.
pub fn receive(router: &Router, message: &Incoming<'_>) {
    router.members.receive(message.from, message.gossip, message.delay);
    if let Some(from) = message.from {
        router.config.reported.record(&from.id.as_str().into(), message.revision);
    }
    router.shards.learn_owners(message.owners);
    if let Some(update) = message.update
        && let Err(err) = router.config.apply(update)
    {
        let peer = message.from.map_or("", |from| from.id.as_str());
        event!(Warn, "update_not_applied", peer = peer, error = format!("{err:#}"));
    }
    router.config.confirm(message.revision, message.confirmed_ago + message.delay);
}
