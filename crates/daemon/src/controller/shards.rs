//! Leased shards: the shards that this router owns, and calls to the owners of all shards.

use std::sync::Arc;

use eelgrasswell_core::{
    id::{CustomerId, Fence, HostId, Incarnation, RequestId, ShardId},
    unit::{Cost, Millis},
};
use eelgrasswell_manifest::settings::RouterSettings;
use eelgrasswell_proto::v1::{self, BillRecord, shard_server::Shard};
use tonic::{Request, Response, Status};

use super::membership::Members;
use crate::{clock::Clock, platform::Platform};

/// Shared handle on the shards.
#[derive(Clone)]
pub struct Shards {
    _settings: Arc<RouterSettings>,
    _incarnation: Incarnation,
    _clock: Clock,
    _platform: Platform,
    _members: Members,
}

/// A claim that a non-idempotent request needs before it runs.
#[derive(Clone, Debug)]
pub struct ClaimCall {
    /// The customer.
    pub customer: CustomerId,
    /// Idempotency key that the caller chose.
    pub key: String,
    /// Id of this attempt.
    pub request_id: RequestId,
    /// SHA-256 of method, path and body.
    pub digest: [u8; 32],
    /// Agent that shall run it.
    pub agent: HostId,
    /// Incarnation of that agent.
    pub agent_incarnation: Incarnation,
    /// Earlier attempt that its agent has barred from running, if any.
    pub barred: Option<RequestId>,
}

/// Answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The request may run once, with this fence.
    Granted(Fence),
    /// Another attempt holds the claim.
    Pending {
        /// Id of that attempt.
        request_id: RequestId,
        /// Agent that it was meant for.
        agent: HostId,
        /// Incarnation of that agent.
        agent_incarnation: Incarnation,
    },
    /// The request has run.
    Done {
        /// Id of the attempt that ran.
        request_id: RequestId,
        /// HTTP status of its answer.
        status: u16,
        /// Body of its answer; none when it was too large to keep.
        body: Option<bytes::Bytes>,
    },
    /// The key was used for a request with another digest.
    KeyReused,
    /// Nothing can be made durable now.
    Unavailable,
}

/// How a claim ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEnd {
    /// The request ran.
    Done {
        /// HTTP status of its answer.
        status: u16,
        /// Body of its answer; none when it is too large to keep.
        body: Option<bytes::Bytes>,
    },
    /// The request was refused as not run and its id is barred.
    Released,
}

/// Share of a spend cap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Share granted by this draw.
    pub granted: Cost,
    /// The cap.
    pub cap: Cost,
    /// Sum of all shares granted and not returned.
    pub committed: Cost,
}

impl Shards {
    /// Starts without shards.
    pub fn open(
        settings: Arc<RouterSettings>,
        incarnation: Incarnation,
        clock: Clock,
        platform: Platform,
        members: Members,
    ) -> Self {
        Self { _settings: settings, _incarnation: incarnation, _clock: clock, _platform: platform, _members: members }
    }

    /// Starts to seek, renew and write leases.
    pub fn spawn(&self) {}

    /// The service that other routers call.
    pub fn service(&self) -> ShardService {
        ShardService { _shards: self.clone() }
    }

    /// Claims a non-idempotent request. The claim is durable when it is granted.
    pub async fn claim(&self, _call: &ClaimCall) -> ClaimResult {
        ClaimResult::Unavailable
    }

    /// Ends a claim; true once that is durable.
    pub async fn complete(&self, _customer: &CustomerId, _key: &str, _request_id: &RequestId, _end: ClaimEnd) -> bool {
        false
    }

    /// Records bills; true once all of them are durable. Repeating it does no harm.
    pub async fn record_bills(&self, _bills: &[BillRecord]) -> bool {
        false
    }

    /// Draws a share of the customer's cap; none when the owner cannot be reached.
    pub async fn draw(&self, _customer: &CustomerId, _amount: Cost, _returned: Cost) -> Option<Grant> {
        None
    }

    /// All bills of a customer; none when a shard cannot be read.
    pub async fn read_bills(&self, _customer: &CustomerId) -> Option<Vec<BillRecord>> {
        None
    }

    /// The shard of a model's rollout evidence, a customer's budget, or any other single key.
    pub fn shard_of(&self, _key: &str) -> ShardId {
        ShardId(0)
    }

    /// Whether this router owns the shard now, as far as it knows.
    pub fn owns(&self, _shard: ShardId) -> bool {
        false
    }

    /// The owner of a shard, as far as this router has heard.
    pub fn owner(&self, _shard: ShardId) -> Option<v1::ShardOwner> {
        None
    }

    /// All owners that this router has heard of, for `Peer.Sync`.
    pub fn owners(&self) -> Vec<v1::ShardOwner> {
        Vec::new()
    }

    /// Takes in owners that a peer has heard of; the highest fence wins.
    pub fn learn_owners(&self, _owners: &[v1::ShardOwner]) {}

    /// Hands all shards over for a graceful shutdown, within `limit`.
    pub async fn release(&self, _limit: Millis) {}
}

/// Serves the `Shard` calls of other routers.
pub struct ShardService {
    _shards: Shards,
}

#[tonic::async_trait]
impl Shard for ShardService {
    async fn claim(&self, _req: Request<v1::ClaimRequest>) -> Result<Response<v1::ClaimReply>, Status> {
        Err(Status::unavailable("no shard is owned"))
    }

    async fn complete(&self, _req: Request<v1::CompleteRequest>) -> Result<Response<v1::CompleteReply>, Status> {
        Err(Status::unavailable("no shard is owned"))
    }

    async fn record_bills(
        &self,
        _req: Request<v1::RecordBillsRequest>,
    ) -> Result<Response<v1::RecordBillsReply>, Status> {
        Err(Status::unavailable("no shard is owned"))
    }

    async fn draw(&self, _req: Request<v1::DrawRequest>) -> Result<Response<v1::DrawReply>, Status> {
        Err(Status::unavailable("no shard is owned"))
    }

    async fn read_bills(&self, _req: Request<v1::ReadBillsRequest>) -> Result<Response<v1::ReadBillsReply>, Status> {
        Err(Status::unavailable("no shard is owned"))
    }
}
