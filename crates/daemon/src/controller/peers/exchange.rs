//! One exchange with a peer, and what both sides do with the messages.

use std::{net::SocketAddr, time::Duration};

use eelgrasswell_core::{
    id::{HostId, Revision},
    unit::Millis,
};
use eelgrasswell_proto::v1::{ConfigUpdate, RouterInfo, ShardOwner, SyncReply, SyncRequest, peer_client::PeerClient};
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

/// What a peer is told at once, before it has said what it lacks.
#[derive(Clone, Copy, Debug)]
pub struct News {
    /// Changes to the configuration after this revision.
    pub config_since: Revision,
    /// Changes to the host list after this number.
    pub hosts_since: u64,
}

impl News {
    /// Nothing, given the state of `router`.
    pub fn none(router: &Router) -> Self {
        Self { config_since: router.config.revision(), hosts_since: router.members.host_changes() }
    }
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

/// Exchanges with the router at `address`. It is sent `news` at once, and the configuration that it
/// turns out to lack afterwards.
pub async fn exchange(router: &Router, address: SocketAddr, news: News) -> Result<Answer> {
    let answer = call(router, address, news).await?;
    if answer.revision < router.config.revision() {
        return call(router, address, News { config_since: answer.revision, ..News::none(router) }).await;
    }
    Ok(answer)
}

async fn call(router: &Router, address: SocketAddr, news: News) -> Result<Answer> {
    let (channel, present) = router.members.channel(address);
    let mut client = PeerClient::with_interceptor(channel, present);
    let start = Instant::now();
    let reply = timeout(TIMEOUT, client.sync(request(router, news))).await;
    let Ok(reply) = reply else {
        // The connection may be silent.
        router.members.reconnect(address);
        bail!("timed out syncing with {address}");
    };
    let reply = reply.wrap_err_with(|| format!("could not sync with {address}"))?.into_inner();
    let answer = Answer {
        peer: reply.from.as_ref().map_or_else(HostId::default, |from| from.id.as_str().into()),
        revision: Revision(reply.revision),
    };
    receive(router, &incoming(&reply, &gossip_of(&reply), start.elapsed().into()));
    Ok(answer)
}

fn request(router: &Router, news: News) -> SyncRequest {
    let gossip = router.members.gossip(news.hosts_since);
    SyncRequest {
        from: Some(router.members.own_info()),
        revision: router.config.known_revision().0,
        confirmed_ms_ago: router.config.confirmed_ago().0,
        update: router.config.update_since(news.config_since),
        owners: router.shards.owners(),
        routers_digest: gossip.routers_digest,
        heard: gossip.heard,
        hosts: gossip.hosts,
    }
}

fn gossip_of(reply: &SyncReply) -> Gossip {
    Gossip {
        routers_digest: reply.routers_digest,
        heard: reply.heard.clone(),
        routers: reply.routers.clone(),
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
    router.shards.learn_owners(message.owners);
    if let Some(update) = message.update
        && let Err(err) = router.config.apply(update)
    {
        let peer = message.from.map_or("", |from| from.id.as_str());
        event!(Warn, "update_not_applied", peer = peer, error = format!("{err:#}"));
    }
    router.config.confirm(message.revision, message.confirmed_ago + message.delay);
}
