//! Calls to the owner of a shard, wherever it is.

use std::{net::SocketAddr, time::Duration};

use eelgrasswell_core::id::ShardId;
use eelgrasswell_proto::v1::{self, ShardOwner, claim_reply, shard_client::ShardClient};
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tonic::{Status, service::interceptor::InterceptedService, transport::Channel};

use super::{Inner, log::read_lease};
use crate::credential::AttachCredential;

/// Client of the owner of a shard.
pub type Client = ShardClient<InterceptedService<Channel, AttachCredential>>;

/// Longest time for one attempt, unless the call as a whole has more than four times as long. An
/// owner answers within a batch; a longer silence is one of the connection.
const ATTEMPT_LIMIT: Duration = Duration::from_secs(1);
/// Attempts that fit into the time of a long call.
const ATTEMPTS: u32 = 4;
/// First pause between attempts; it doubles up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(25);
/// Longest pause between attempts.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);
/// Largest reply, in bytes; all bills of a customer in one shard must fit.
const MAX_REPLY: usize = 64 << 20;

/// Where the owner is.
pub enum Target {
    /// In this process.
    Local,
    /// At another router.
    Remote(Box<Client>),
}

/// Which owner a call goes to.
struct Found {
    fence: u64,
    /// None in this process.
    address: Option<SocketAddr>,
}

/// What a reply means for the caller's next step.
pub enum Verdict<'a> {
    /// It is the result.
    Done,
    /// The callee does not own the shard; perhaps it knows who does.
    NotOwner(Option<&'a ShardOwner>),
    /// The owner cannot serve it now.
    Unavailable,
}

/// A reply of the `Shard` service.
pub trait Reply {
    /// What the reply means.
    fn verdict(&self) -> Verdict<'_>;
}

/// A request of the `Shard` service.
pub trait Call: Clone + Send + Sync {
    /// Its reply.
    type Reply: Reply + Send;

    /// Serves it in this process.
    fn local(self, inner: &Inner) -> impl Future<Output = Result<Self::Reply, Status>> + Send;

    /// Sends it to another router.
    fn remote(self, client: Client) -> impl Future<Output = Result<Self::Reply, Status>> + Send;
}

impl Inner {
    /// Calls the owner of `shard` until it gives a result, at most for `limit`. Attempts may be
    /// repeated after a lost answer, so the call must be idempotent.
    pub async fn call<C: Call>(&self, shard: ShardId, limit: Duration, req: &C) -> Option<C::Reply> {
        let until = Instant::now() + limit;
        let mut pause = FIRST_PAUSE;
        loop {
            if let Ok(Some((target, owner))) = timeout_at(until, self.find(shard)).await {
                let left = until.saturating_duration_since(Instant::now()).min(ATTEMPT_LIMIT.max(limit / ATTEMPTS));
                let attempt = async {
                    match target {
                        Target::Local => req.clone().local(self).await,
                        Target::Remote(client) => req.clone().remote(*client).await,
                    }
                };
                let reply = timeout(left, attempt).await;
                match reply.as_ref().map(|reply| reply.as_ref().map(C::Reply::verdict)) {
                    Ok(Ok(Verdict::Done)) => return reply.ok()?.ok(),
                    Ok(Ok(Verdict::NotOwner(Some(known)))) if self.owners.learn(known) => pause = FIRST_PAUSE,
                    Ok(Ok(Verdict::Unavailable)) => {}
                    Ok(Ok(Verdict::NotOwner(_)) | Err(_)) => self.owners.suspect(shard, owner.fence),
                    Err(_) => {
                        self.owners.suspect(shard, owner.fence);
                        if let Some(address) = owner.address {
                            self.members.reconnect(address);
                        }
                    }
                }
            }
            if Instant::now() + pause >= until {
                return None;
            }
            sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    /// The owner; none while nobody is known to serve the shard.
    async fn find(&self, shard: ShardId) -> Option<(Target, Found)> {
        if let Some(handle) = self.handle(shard) {
            return Some((Target::Local, Found { fence: handle.fence.0, address: None }));
        }
        if self.owners.wants_read(shard)
            && let Ok(Some((_, lease))) = read_lease(&self.platform, shard).await
        {
            self.owners.learn_lease(shard, &lease);
        }
        let owner = self.owners.get(shard)?;
        if owner.incarnation == self.incarnation.0 {
            return None;
        }
        let address = owner.address.parse().ok()?;
        let (channel, present) = self.members.channel(address);
        let client = ShardClient::with_interceptor(channel, present).max_decoding_message_size(MAX_REPLY);
        Some((Target::Remote(Box::new(client)), Found { fence: owner.fence, address: Some(address) }))
    }
}

impl Call for v1::ClaimRequest {
    type Reply = v1::ClaimReply;

    async fn local(self, inner: &Inner) -> Result<Self::Reply, Status> {
        Ok(inner.serve_claim(self).await)
    }

    async fn remote(self, mut client: Client) -> Result<Self::Reply, Status> {
        Ok(client.claim(self).await?.into_inner())
    }
}

impl Call for v1::CompleteRequest {
    type Reply = v1::CompleteReply;

    async fn local(self, inner: &Inner) -> Result<Self::Reply, Status> {
        Ok(inner.serve_complete(self).await)
    }

    async fn remote(self, mut client: Client) -> Result<Self::Reply, Status> {
        Ok(client.complete(self).await?.into_inner())
    }
}

impl Call for v1::RecordBillsRequest {
    type Reply = v1::RecordBillsReply;

    async fn local(self, inner: &Inner) -> Result<Self::Reply, Status> {
        Ok(inner.serve_record_bills(self).await)
    }

    async fn remote(self, mut client: Client) -> Result<Self::Reply, Status> {
        Ok(client.record_bills(self).await?.into_inner())
    }
}

impl Call for v1::DrawRequest {
    type Reply = v1::DrawReply;

    async fn local(self, inner: &Inner) -> Result<Self::Reply, Status> {
        Ok(inner.serve_draw(self).await)
    }

    async fn remote(self, mut client: Client) -> Result<Self::Reply, Status> {
        Ok(client.draw(self).await?.into_inner())
    }
}

impl Call for v1::ReadBillsRequest {
    type Reply = v1::ReadBillsReply;

    async fn local(self, inner: &Inner) -> Result<Self::Reply, Status> {
        let reply = inner.serve_read_bills(self).await;
        reply.ok_or_else(|| Status::unavailable("could not read the bills of the shard"))
    }

    async fn remote(self, mut client: Client) -> Result<Self::Reply, Status> {
        Ok(client.read_bills(self).await?.into_inner())
    }
}

impl Reply for v1::ClaimReply {
    fn verdict(&self) -> Verdict<'_> {
        match &self.result {
            Some(claim_reply::Result::NotOwner(not_owner)) => Verdict::NotOwner(not_owner.known.as_ref()),
            Some(claim_reply::Result::Unavailable(_)) | None => Verdict::Unavailable,
            Some(_) => Verdict::Done,
        }
    }
}

impl Reply for v1::CompleteReply {
    fn verdict(&self) -> Verdict<'_> {
        verdict(self.not_owner.as_ref(), self.durable)
    }
}

impl Reply for v1::RecordBillsReply {
    fn verdict(&self) -> Verdict<'_> {
        verdict(self.not_owner.as_ref(), self.durable)
    }
}

impl Reply for v1::DrawReply {
    fn verdict(&self) -> Verdict<'_> {
        verdict(self.not_owner.as_ref(), !self.unavailable)
    }
}

impl Reply for v1::ReadBillsReply {
    fn verdict(&self) -> Verdict<'_> {
        verdict(self.not_owner.as_ref(), true)
    }
}

fn verdict(not_owner: Option<&v1::NotOwner>, done: bool) -> Verdict<'_> {
    match not_owner {
        Some(not_owner) => Verdict::NotOwner(not_owner.known.as_ref()),
        None if done => Verdict::Done,
        None => Verdict::Unavailable,
    }
}
