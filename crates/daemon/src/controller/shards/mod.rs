//! Leased shards: the shards that this router owns, and calls to the owners of all shards.
//!
//! `lease_manager` acquires, renews and releases the lease of a shard; `takeover` recovers the state of
//! the shard; `writer` serialises its changes and appends them to `log`; `snapshot` stores the state and
//! compacts the log. `serve` executes calls at the owner, `calls` sends calls to the owner, `owner_table`
//! stores the known owners, and `reconcile` reclaims the budget shares of dead routers.

mod calls;
mod convert;
mod keys;
mod lease_manager;
mod log;
mod owner_table;
mod reconcile;
mod serve;
mod service;
mod snapshot;
mod takeover;
mod writer;

use std::{
    sync::{
        Arc, Mutex, PoisonError, RwLock,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use eelgrasswell_core::{
    claim::MAX_ANSWER_BODY_BYTES,
    hash::{HashMap, stable_hash},
    id::{CustomerId, Fence, HostId, Incarnation, RequestId, ShardId},
    ledger::base_request_id,
    unit::{Cost, Millis},
};
use eelgrasswell_manifest::settings::RouterSettings;
use eelgrasswell_proto::v1::{self, BillRecord, claim_reply};
use futures::future;
use tokio::{sync::watch, task::JoinHandle, time::timeout};

pub use service::ShardService;

use self::{lease_manager::LeaseManager, owner_table::OwnerTable, writer::WriterHandle};
use super::membership::Members;
use crate::{clock::Clock, config::ConfigHandle, event, platform::Platform};

/// Number of shards. Keys map to shards by hash, so all routers must use the same number, and it can
/// never change.
pub const SHARD_COUNT: u32 = 16;

/// Timeout for a claim to become durable. The caller of the request waits during this time.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for the end of a claim to become durable. Long enough for another router to take the shard
/// over.
const COMPLETE_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for one attempt to record bills. The holder of the bills retries after a timeout.
const RECORD_BILLS_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for a draw.
const DRAW_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout for reading the bills of one shard.
const READ_BILLS_TIMEOUT: Duration = Duration::from_secs(10);

/// Shared handle on the shards.
#[derive(Clone)]
pub struct Shards {
    inner: Arc<Inner>,
}

struct Inner {
    settings: Arc<RouterSettings>,
    incarnation: Incarnation,
    clock: Clock,
    platform: Platform,
    members: Members,
    config: ConfigHandle,
    owners: OwnerTable,
    /// Handles on the writers of the shards that this router owns.
    owned: RwLock<HashMap<ShardId, WriterHandle>>,
    /// Set to true when the router has to release its shards.
    releasing: watch::Sender<bool>,
    /// Tasks of the lease managers.
    lease_tasks: Mutex<Vec<JoinHandle<()>>>,
    /// Number of draw ids generated; makes them unique.
    draw_counter: AtomicU64,
}

/// Request for a claim. A non-idempotent request may run only after its claim is granted.
#[derive(Clone, Debug)]
pub struct ClaimCall {
    /// Customer that sent the request.
    pub customer: CustomerId,
    /// Idempotency key chosen by the caller.
    pub key: String,
    /// Request id of this attempt.
    pub request_id: RequestId,
    /// SHA-256 of method, path and body.
    pub digest: [u8; 32],
    /// Agent on which the request is to run.
    pub agent: HostId,
    /// Incarnation of that agent.
    pub agent_incarnation: Incarnation,
    /// Earlier attempt that was barred from running by its agent, if any.
    pub barred: Option<RequestId>,
}

/// Result of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The claim is granted: the request may run once, with this fencing token.
    Granted(Fence),
    /// Another attempt holds the claim.
    Pending {
        /// Request id of that attempt.
        request_id: RequestId,
        /// Agent on which that attempt was to run.
        agent: HostId,
        /// Incarnation of that agent.
        agent_incarnation: Incarnation,
    },
    /// The request has run.
    Done {
        /// Request id of the attempt that ran.
        request_id: RequestId,
        /// HTTP status of its answer.
        status: u16,
        /// Body of its answer; `None` if it was too large to store.
        body: Option<bytes::Bytes>,
    },
    /// The key was used for a request with another digest.
    KeyReused,
    /// The claim could not be made durable, or its result is unknown.
    Unavailable,
}

/// Outcome with which a claim ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEnd {
    /// The request ran.
    Done {
        /// HTTP status of its answer.
        status: u16,
        /// Body of its answer; `None` if it is too large to store.
        body: Option<bytes::Bytes>,
    },
    /// The request was refused without having run, and its request id is barred.
    Released,
}

/// Result of a draw from a customer's spend cap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Share granted by this draw.
    pub granted: Cost,
    /// Spend cap of the customer.
    pub cap: Cost,
    /// Sum of all shares of all routers that are granted and not returned.
    pub committed: Cost,
}

impl Shards {
    /// Creates the component; it owns no shards yet.
    pub fn open(
        settings: Arc<RouterSettings>,
        incarnation: Incarnation,
        clock: Clock,
        platform: Platform,
        members: Members,
        config: ConfigHandle,
    ) -> Self {
        let inner = Inner {
            settings,
            incarnation,
            clock,
            platform,
            members,
            config,
            owners: OwnerTable::open(),
            owned: RwLock::default(),
            releasing: watch::Sender::new(false),
            lease_tasks: Mutex::default(),
            draw_counter: AtomicU64::new(0),
        };
        Self { inner: Arc::new(inner) }
    }

    /// Starts the tasks that acquire, renew and release leases, and the task that reclaims the shares of
    /// dead routers.
    pub fn spawn(&self) {
        let mut lease_tasks = self.inner.lease_tasks.lock().unwrap_or_else(PoisonError::into_inner);
        for shard in shards() {
            let manager = LeaseManager::new(Arc::clone(&self.inner), shard, self.inner.releasing.subscribe());
            lease_tasks.push(tokio::spawn(manager.run()));
        }
        tokio::spawn(reconcile::run(self.clone(), self.inner.releasing.subscribe()));
    }

    /// The gRPC service that other routers call.
    pub fn service(&self) -> ShardService {
        ShardService::new(Arc::clone(&self.inner))
    }

    /// Claims a non-idempotent request. A granted claim is durable. After `Unavailable`, the claim may
    /// have been granted nonetheless: the next claim of the key then returns `Pending`.
    pub async fn claim(&self, call: &ClaimCall) -> ClaimResult {
        let req = v1::ClaimRequest {
            customer: call.customer.to_string(),
            key: call.key.clone(),
            request_id: call.request_id.to_string(),
            digest: call.digest.to_vec().into(),
            agent: call.agent.to_string(),
            agent_incarnation: call.agent_incarnation.0,
            barred_request_id: call.barred.as_ref().map(ToString::to_string).unwrap_or_default(),
        };
        let shard = shard_of_claim(&req.customer, &req.key);
        let reply = self.inner.call(shard, CLAIM_TIMEOUT, &req);
        match reply.await.and_then(|reply| reply.result) {
            Some(claim_reply::Result::Granted(granted)) => ClaimResult::Granted(Fence(granted.fence)),
            Some(claim_reply::Result::Pending(pending)) => ClaimResult::Pending {
                request_id: pending.request_id.as_str().into(),
                agent: pending.agent.as_str().into(),
                agent_incarnation: Incarnation(pending.agent_incarnation),
            },
            Some(claim_reply::Result::Done(done)) => ClaimResult::Done {
                request_id: done.request_id.as_str().into(),
                status: u16::try_from(done.status).unwrap_or_default(),
                body: done.body_kept.then_some(done.body),
            },
            Some(claim_reply::Result::KeyReused(_)) => ClaimResult::KeyReused,
            Some(claim_reply::Result::NotOwner(_) | claim_reply::Result::Unavailable(_)) | None => {
                ClaimResult::Unavailable
            }
        }
    }

    /// Ends a claim. Returns true once the end is durable.
    pub async fn complete(&self, customer: &CustomerId, key: &str, request_id: &RequestId, end: ClaimEnd) -> bool {
        let mut req = v1::CompleteRequest {
            customer: customer.to_string(),
            key: key.to_owned(),
            request_id: request_id.to_string(),
            ..v1::CompleteRequest::default()
        };
        match end {
            ClaimEnd::Released => req.release = true,
            ClaimEnd::Done { status, body } => {
                let body = body.filter(|body| body.len() <= MAX_ANSWER_BODY_BYTES);
                req.status = status.into();
                req.body_kept = body.is_some();
                req.body = body.unwrap_or_default();
            }
        }
        let shard = shard_of_claim(&req.customer, &req.key);
        let reply = self.inner.call(shard, COMPLETE_TIMEOUT, &req);
        reply.await.is_some_and(|reply| reply.durable)
    }

    /// Records bills. Returns true once all of them are durable. The call is idempotent.
    pub async fn record_bills(&self, bills: &[BillRecord]) -> bool {
        let mut by_shard: HashMap<ShardId, Vec<BillRecord>> = HashMap::default();
        for bill in bills {
            by_shard.entry(shard_of_bill(&bill.request_id)).or_default().push(bill.clone());
        }
        let calls = by_shard.into_iter().map(|(shard, bills)| self.record_shard_bills(shard, bills));
        future::join_all(calls).await.into_iter().all(|durable| durable)
    }

    /// Records bills that all belong to `shard` (see [`shard_of_bill`]). Returns true once they are durable.
    pub(super) async fn record_shard_bills(&self, shard: ShardId, bills: Vec<BillRecord>) -> bool {
        let req = v1::RecordBillsRequest { shard: shard.0, bills };
        let reply = self.inner.call(shard, RECORD_BILLS_TIMEOUT, &req);
        reply.await.is_some_and(|reply| reply.durable)
    }

    /// Draws a share of `amount` from the customer's spend cap and returns the unspent part `returned` of
    /// earlier shares. `None` if the customer has no budget or no result was received from the owner. In
    /// the latter case the owner may have granted the share and credited the returned part nonetheless.
    pub async fn draw(&self, customer: &CustomerId, amount: Cost, returned: Cost) -> Option<Grant> {
        let config = self.inner.config.current();
        let period = config.manifest.customers.get(customer)?.budget.as_ref()?.period.clone();
        let id = self.new_draw_id();
        self.draw_with_id(&id, customer, &period, amount, returned).await
    }

    /// Sum of the shares of the customer's spend cap that are granted and not returned. `None` if the
    /// customer has no budget or no result was received from the owner.
    pub async fn committed(&self, customer: &CustomerId) -> Option<Cost> {
        let config = self.inner.config.current();
        let period = config.manifest.customers.get(customer)?.budget.as_ref()?.period.clone();
        let read = self.draw_with_id("", customer, &period, Cost::ZERO, Cost::ZERO).await?;
        Some(read.committed)
    }

    /// Returns a new, unique id for a draw.
    pub(super) fn new_draw_id(&self) -> String {
        format!("{}-{}", self.inner.incarnation, self.inner.draw_counter.fetch_add(1, Ordering::Relaxed))
    }

    /// Draws like [`Self::draw`], with the given id. A draw that is retried with the same id is granted
    /// only once.
    pub(super) async fn draw_with_id(
        &self,
        id: &str,
        customer: &CustomerId,
        period: &str,
        amount: Cost,
        returned: Cost,
    ) -> Option<Grant> {
        let req = v1::DrawRequest {
            customer: customer.to_string(),
            amount_micros: amount.0,
            router: self.inner.settings.host.id.to_string(),
            router_incarnation: self.inner.incarnation.0,
            returned_micros: returned.0,
            draw_id: id.to_owned(),
            period: period.to_owned(),
        };
        let reply = self.inner.call(shard_of_key(&req.customer), DRAW_TIMEOUT, &req);
        let reply = reply.await?;
        Some(Grant {
            granted: Cost(reply.granted_micros),
            cap: Cost(reply.cap_micros),
            committed: Cost(reply.committed_micros),
        })
    }

    /// Reads all bills of a customer; `None` if those of a shard could not be read.
    pub async fn read_bills(&self, customer: &CustomerId) -> Option<Vec<BillRecord>> {
        let reads = future::join_all(shards().map(|shard| self.read_shard_bills(shard, customer))).await;
        let bills: Option<Vec<_>> = reads.into_iter().collect();
        Some(bills?.concat())
    }

    async fn read_shard_bills(&self, shard: ShardId, customer: &CustomerId) -> Option<Vec<BillRecord>> {
        let req = v1::ReadBillsRequest { customer: customer.to_string(), shard: shard.0 };
        let reply = self.inner.call(shard, READ_BILLS_TIMEOUT, &req);
        Some(reply.await?.bills)
    }

    /// The shard of a single key, such as the rollout evidence of a model or the budget of a customer.
    pub fn shard_of(&self, key: &str) -> ShardId {
        shard_of_key(key)
    }

    /// Whether this router currently owns the shard, as far as it knows.
    pub fn owns(&self, shard: ShardId) -> bool {
        self.inner.writer_handle(shard).is_some()
    }

    /// The owner of a shard, as last recorded; it may be out of date.
    pub fn owner(&self, shard: ShardId) -> Option<v1::ShardOwner> {
        self.inner.owners.get(shard)
    }

    /// All recorded owners, for `Peer.Sync`.
    pub fn owners(&self) -> Vec<v1::ShardOwner> {
        self.inner.owners.all()
    }

    /// Records owners reported by a peer. For each shard, the owner with the highest fence is kept.
    pub fn record_owners(&self, owners: &[v1::ShardOwner]) {
        for owner in owners {
            self.inner.owners.record(owner);
        }
    }

    /// Releases all shards for a graceful shutdown, waiting at most `limit`.
    pub async fn release(&self, limit: Millis) {
        self.inner.releasing.send_replace(true);
        let lease_tasks = std::mem::take(&mut *self.inner.lease_tasks.lock().unwrap_or_else(PoisonError::into_inner));
        if timeout(limit.into(), future::join_all(lease_tasks)).await.is_err() {
            event!(Warn, "shards_not_released", limit = limit);
        }
    }
}

impl Inner {
    /// Handle on the writer of the shard, if this router owns the shard and has completed the takeover.
    fn writer_handle(&self, shard: ShardId) -> Option<WriterHandle> {
        self.owned.read().unwrap_or_else(PoisonError::into_inner).get(&shard).cloned()
    }

    /// Registers the shard as owned by this router until the returned guard is dropped.
    fn register_owned(self: &Arc<Self>, shard: ShardId, handle: WriterHandle) -> OwnedShardGuard {
        self.owned.write().unwrap_or_else(PoisonError::into_inner).insert(shard, handle);
        OwnedShardGuard { inner: Arc::clone(self), shard }
    }
}

/// Guard that removes a shard from the owned shards when it is dropped.
struct OwnedShardGuard {
    inner: Arc<Inner>,
    shard: ShardId,
}

impl Drop for OwnedShardGuard {
    fn drop(&mut self) {
        self.inner.owned.write().unwrap_or_else(PoisonError::into_inner).remove(&self.shard);
    }
}

/// The shard of a claim.
fn shard_of_claim(customer: &str, key: &str) -> ShardId {
    shard_of_hash(stable_hash(&["claim", customer, key]))
}

/// The shard of a bill, which is the same for all attempts of a request. The bills of one customer are
/// distributed over all shards, because a few customers are large.
pub(super) fn shard_of_bill(request_id: &str) -> ShardId {
    shard_of_hash(stable_hash(&["bill", base_request_id(request_id)]))
}

fn shard_of_key(key: &str) -> ShardId {
    shard_of_hash(stable_hash(&["key", key]))
}

fn shard_of_hash(hash: u64) -> ShardId {
    ShardId(u32::try_from(hash % u64::from(SHARD_COUNT)).expect("the remainder is small"))
}

/// All shards.
fn shards() -> impl Iterator<Item = ShardId> {
    (0..SHARD_COUNT).map(ShardId)
}
