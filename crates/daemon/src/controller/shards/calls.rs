//! Calls to the owner of a shard, in this process or at another router.

use std::{net::SocketAddr, time::Duration};

use eelgrasswell_core::id::ShardId;
use eelgrasswell_proto::v1::{self, ShardOwner, claim_reply, shard_client::ShardClient};
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tonic::{Status, service::interceptor::InterceptedService, transport::Channel};

use super::{Inner, log::read_lease};
use crate::credential::AttachCredential;

/// Client of another router's `Shard` service.
pub type Client = ShardClient<InterceptedService<Channel, AttachCredential>>;

/// Timeout of one attempt, unless the call as a whole has more than four times as long. An owner replies
/// once its next batch is written; if the reply takes longer than this, the connection is probably unresponsive.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);
/// Minimum number of attempts that fit into the time limit of a long call.
const LONG_CALL_ATTEMPTS: u32 = 4;
/// First delay between attempts. The delay doubles after each attempt, up to [`MAX_RETRY_DELAY`].
const MIN_RETRY_DELAY: Duration = Duration::from_millis(25);
/// Maximum delay between attempts.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Maximum size of a reply, in bytes. All bills of a customer in one shard must fit.
const MAX_REPLY_BYTES: usize = 64 << 20;

/// Where a call is sent.
pub enum Target {
    /// This process owns the shard.
    Local,
    /// Another router owns the shard.
    Remote(Box<Client>),
}

/// The owner that an attempt calls.
struct CalledOwner {
    fence: u64,
    /// Inner address of the router; `None` for this process.
    address: Option<SocketAddr>,
}

/// Meaning of a reply for the caller's next step.
pub enum ReplyStatus<'a> {
    /// The reply is the result of the call.
    Done,
    /// The called router does not own the shard. Contains the owner that it knows of, if any.
    NotOwner(Option<&'a ShardOwner>),
    /// The owner cannot serve the call at the moment.
    Unavailable,
}

/// A reply of the `Shard` service.
pub trait Reply {
    /// Meaning of the reply for the caller's next step.
    fn status(&self) -> ReplyStatus<'_>;
}

/// A request of the `Shard` service.
pub trait Call: Clone + Send + Sync {
    /// Type of the reply.
    type Reply: Reply + Send;

    /// Serves the request in this process.
    fn call_locally(self, inner: &Inner) -> impl Future<Output = Result<Self::Reply, Status>> + Send;

    /// Sends the request to another router.
    fn call_remote(self, client: Client) -> impl Future<Output = Result<Self::Reply, Status>> + Send;
}

impl Inner {
    /// Calls the owner of `shard` until it returns a result; `None` if that takes longer than `limit`.
    /// The call must be idempotent, because an attempt is retried after its reply was lost.
    pub async fn call<C: Call>(&self, shard: ShardId, limit: Duration, req: &C) -> Option<C::Reply> {
        let deadline = Instant::now() + limit;
        let mut retry_delay = MIN_RETRY_DELAY;
        loop {
            if let Ok(Some((target, owner))) = timeout_at(deadline, self.find_owner(shard)).await {
                let attempt_timeout = deadline
                    .saturating_duration_since(Instant::now())
                    .min(ATTEMPT_TIMEOUT.max(limit / LONG_CALL_ATTEMPTS));
                let attempt = async {
                    match target {
                        Target::Local => req.clone().call_locally(self).await,
                        Target::Remote(client) => req.clone().call_remote(*client).await,
                    }
                };
                let reply = timeout(attempt_timeout, attempt).await;
                match reply.as_ref().map(|reply| reply.as_ref().map(C::Reply::status)) {
                    Ok(Ok(ReplyStatus::Done)) => return reply.ok()?.ok(),
                    Ok(Ok(ReplyStatus::NotOwner(Some(known)))) if self.owners.record(known) => {
                        retry_delay = MIN_RETRY_DELAY;
                    }
                    Ok(Ok(ReplyStatus::Unavailable)) => {}
                    Ok(Ok(ReplyStatus::NotOwner(_)) | Err(_)) => self.owners.mark_suspect(shard, owner.fence),
                    Err(_) => {
                        self.owners.mark_suspect(shard, owner.fence);
                        if let Some(address) = owner.address {
                            self.members.reconnect(address);
                        }
                    }
                }
            }
            if Instant::now() + retry_delay >= deadline {
                return None;
            }
            sleep(retry_delay).await;
            retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
        }
    }

    /// Determines where to call the owner. Reads the lease first if the recorded owner is unknown or
    /// suspect. `None` while no router is known to serve the shard.
    async fn find_owner(&self, shard: ShardId) -> Option<(Target, CalledOwner)> {
        if let Some(handle) = self.writer_handle(shard) {
            return Some((Target::Local, CalledOwner { fence: handle.fence.0, address: None }));
        }
        if self.owners.start_lease_read_if_due(shard)
            && let Ok(Some((_, lease))) = read_lease(&self.platform, shard).await
        {
            self.owners.record_lease(shard, &lease);
        }
        let owner = self.owners.get(shard)?;
        if owner.incarnation == self.incarnation.0 {
            return None;
        }
        let address = owner.address.parse().ok()?;
        let (channel, credential) = self.members.channel(address);
        let client = ShardClient::with_interceptor(channel, credential).max_decoding_message_size(MAX_REPLY_BYTES);
        Some((Target::Remote(Box::new(client)), CalledOwner { fence: owner.fence, address: Some(address) }))
    }
}

impl Call for v1::ClaimRequest {
    type Reply = v1::ClaimReply;

    async fn call_locally(self, inner: &Inner) -> Result<Self::Reply, Status> {
        Ok(inner.serve_claim(self).await)
    }

    async fn call_remote(self, mut client: Client) -> Result<Self::Reply, Status> {
        Ok(client.claim(self).await?.into_inner())
    }
}

impl Call for v1::CompleteRequest {
    type Reply = v1::CompleteReply;

    async fn call_locally(self, inner: &Inner) -> Result<Self::Reply, Status> {
        Ok(inner.serve_complete(self).await)
    }

    async fn call_remote(self, mut client: Client) -> Result<Self::Reply, Status> {
        Ok(client.complete(self).await?.into_inner())
    }
}

impl Call for v1::RecordBillsRequest {
    type Reply = v1::RecordBillsReply;

    async fn call_locally(self, inner: &Inner) -> Result<Self::Reply, Status> {
        Ok(inner.serve_record_bills(self).await)
    }

    async fn call_remote(self, mut client: Client) -> Result<Self::Reply, Status> {
        Ok(client.record_bills(self).await?.into_inner())
    }
}

impl Call for v1::DrawRequest {
    type Reply = v1::DrawReply;

    async fn call_locally(self, inner: &Inner) -> Result<Self::Reply, Status> {
        Ok(inner.serve_draw(self).await)
    }

    async fn call_remote(self, mut client: Client) -> Result<Self::Reply, Status> {
        Ok(client.draw(self).await?.into_inner())
    }
}

impl Call for v1::ReadBillsRequest {
    type Reply = v1::ReadBillsReply;

    async fn call_locally(self, inner: &Inner) -> Result<Self::Reply, Status> {
        let reply = inner.serve_read_bills(self).await;
        reply.ok_or_else(|| Status::unavailable("could not read the bills of the shard"))
    }

    async fn call_remote(self, mut client: Client) -> Result<Self::Reply, Status> {
        Ok(client.read_bills(self).await?.into_inner())
    }
}

impl Reply for v1::ClaimReply {
    fn status(&self) -> ReplyStatus<'_> {
        match &self.result {
            Some(claim_reply::Result::NotOwner(not_owner)) => ReplyStatus::NotOwner(not_owner.known.as_ref()),
            Some(claim_reply::Result::Unavailable(_)) | None => ReplyStatus::Unavailable,
            Some(_) => ReplyStatus::Done,
        }
    }
}

impl Reply for v1::CompleteReply {
    fn status(&self) -> ReplyStatus<'_> {
        status_of(self.not_owner.as_ref(), self.durable)
    }
}

impl Reply for v1::RecordBillsReply {
    fn status(&self) -> ReplyStatus<'_> {
        status_of(self.not_owner.as_ref(), self.durable)
    }
}

impl Reply for v1::DrawReply {
    fn status(&self) -> ReplyStatus<'_> {
        status_of(self.not_owner.as_ref(), !self.unavailable)
    }
}

impl Reply for v1::ReadBillsReply {
    fn status(&self) -> ReplyStatus<'_> {
        status_of(self.not_owner.as_ref(), true)
    }
}

/// Status of a reply that names the owner in `not_owner`, or has the result if `done`.
fn status_of(not_owner: Option<&v1::NotOwner>, done: bool) -> ReplyStatus<'_> {
    match not_owner {
        Some(not_owner) => ReplyStatus::NotOwner(not_owner.known.as_ref()),
        None if done => ReplyStatus::Done,
        None => ReplyStatus::Unavailable,
    }
}
