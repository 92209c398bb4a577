//! Leased shards: the shards that this router owns, and calls to the owners of all shards.
//!
//! `keeper` keeps a shard's lease, `takeover` reads its state, `writer` serialises changes into
//! `log`, `snapshot` compacts it, `serve` answers calls, `calls` finds the owner, and `reconcile`
//! takes back the shares of dead routers.

mod calls;
mod convert;
mod keeper;
mod keys;
mod log;
mod reconcile;
mod serve;
mod service;
mod snapshot;
mod table;
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

use self::{keeper::Keeper, table::OwnerTable, writer::Handle};
use super::membership::Members;
use crate::{clock::Clock, config::ConfigHandle, event, platform::Platform};

/// Number of shards. Keys map to shards by hash, so it is the same in the whole fleet for good.
pub const SHARD_COUNT: u32 = 16;

/// Time for a claim to become durable. The caller waits meanwhile.
const CLAIM_LIMIT: Duration = Duration::from_secs(2);
/// Time for the end of a claim to become durable. It spans a takeover.
const COMPLETE_LIMIT: Duration = Duration::from_secs(10);
/// Time for one attempt to record bills; their holder tries again.
const BILLS_LIMIT: Duration = Duration::from_secs(5);
/// Time for a draw.
const DRAW_LIMIT: Duration = Duration::from_secs(3);
/// Time for reading the bills of one shard.
const READ_LIMIT: Duration = Duration::from_secs(10);

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
    /// Handles on the shards that this router owns.
    owned: RwLock<HashMap<ShardId, Handle>>,
    releasing: watch::Sender<bool>,
    keepers: Mutex<Vec<JoinHandle<()>>>,
    draws: AtomicU64,
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
            keepers: Mutex::default(),
            draws: AtomicU64::new(0),
        };
        Self { inner: Arc::new(inner) }
    }

    /// Starts to seek, renew and write leases.
    pub fn spawn(&self) {
        let mut keepers = self.inner.keepers.lock().unwrap_or_else(PoisonError::into_inner);
        for shard in shards() {
            let keeper = Keeper::new(Arc::clone(&self.inner), shard, self.inner.releasing.subscribe());
            keepers.push(tokio::spawn(keeper.run()));
        }
        tokio::spawn(reconcile::run(self.clone(), self.inner.releasing.subscribe()));
    }

    /// The service that other routers call.
    pub fn service(&self) -> ShardService {
        ShardService::new(Arc::clone(&self.inner))
    }

    /// Claims a non-idempotent request. The claim is durable when it is granted. After
    /// `Unavailable` it may be held nonetheless: the next claim of the key then finds it pending.
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
        let reply = self.inner.call(shard, CLAIM_LIMIT, &req);
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

    /// Ends a claim; true once that is durable.
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
        let reply = self.inner.call(shard, COMPLETE_LIMIT, &req);
        reply.await.is_some_and(|reply| reply.durable)
    }

    /// Records bills; true once all of them are durable. Repeating it does no harm.
    pub async fn record_bills(&self, bills: &[BillRecord]) -> bool {
        let mut by_shard: HashMap<ShardId, Vec<BillRecord>> = HashMap::default();
        for bill in bills {
            by_shard.entry(shard_of_bill(&bill.request_id)).or_default().push(bill.clone());
        }
        let calls = by_shard.into_iter().map(|(shard, bills)| self.record_in_shard(shard, bills));
        future::join_all(calls).await.into_iter().all(|durable| durable)
    }

    /// Records bills that all belong to `shard`; see [`shard_of_bill`].
    pub(super) async fn record_in_shard(&self, shard: ShardId, bills: Vec<BillRecord>) -> bool {
        let req = v1::RecordBillsRequest { shard: shard.0, bills };
        let reply = self.inner.call(shard, BILLS_LIMIT, &req);
        reply.await.is_some_and(|reply| reply.durable)
    }

    /// Draws a share of the customer's cap; none when the owner cannot be reached. The share may
    /// have been granted nonetheless, and what is returned may be counted as such.
    pub async fn draw(&self, customer: &CustomerId, amount: Cost, returned: Cost) -> Option<Grant> {
        let config = self.inner.config.current();
        let period = config.manifest.customers.get(customer)?.budget.as_ref()?.period.clone();
        let id = self.draw_id();
        self.draw_as(&id, customer, &period, amount, returned).await
    }

    /// Sum of the shares of the customer's cap that are granted; none when the owner cannot be reached.
    pub async fn committed(&self, customer: &CustomerId) -> Option<Cost> {
        let config = self.inner.config.current();
        let period = config.manifest.customers.get(customer)?.budget.as_ref()?.period.clone();
        let read = self.draw_as("", customer, &period, Cost::ZERO, Cost::ZERO).await?;
        Some(read.committed)
    }

    /// An id for a draw that no other draw has.
    pub(super) fn draw_id(&self) -> String {
        format!("{}-{}", self.inner.incarnation, self.inner.draws.fetch_add(1, Ordering::Relaxed))
    }

    /// Draws with an id; a draw that is repeated with its id is granted once.
    pub(super) async fn draw_as(
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
        let reply = self.inner.call(shard_of_key(&req.customer), DRAW_LIMIT, &req);
        let reply = reply.await?;
        Some(Grant {
            granted: Cost(reply.granted_micros),
            cap: Cost(reply.cap_micros),
            committed: Cost(reply.committed_micros),
        })
    }

    /// All bills of a customer; none when a shard cannot be read.
    pub async fn read_bills(&self, customer: &CustomerId) -> Option<Vec<BillRecord>> {
        let reads = future::join_all(shards().map(|shard| self.read_shard_bills(shard, customer))).await;
        let bills: Option<Vec<_>> = reads.into_iter().collect();
        Some(bills?.concat())
    }

    async fn read_shard_bills(&self, shard: ShardId, customer: &CustomerId) -> Option<Vec<BillRecord>> {
        let req = v1::ReadBillsRequest { customer: customer.to_string(), shard: shard.0 };
        let reply = self.inner.call(shard, READ_LIMIT, &req);
        Some(reply.await?.bills)
    }

    /// The shard of a model's rollout evidence, a customer's budget, or any other single key.
    pub fn shard_of(&self, key: &str) -> ShardId {
        shard_of_key(key)
    }

    /// Whether this router owns the shard now, as far as it knows.
    pub fn owns(&self, shard: ShardId) -> bool {
        self.inner.handle(shard).is_some()
    }

    /// The owner of a shard, as far as this router has heard.
    pub fn owner(&self, shard: ShardId) -> Option<v1::ShardOwner> {
        self.inner.owners.get(shard)
    }

    /// All owners that this router has heard of, for `Peer.Sync`.
    pub fn owners(&self) -> Vec<v1::ShardOwner> {
        self.inner.owners.all()
    }

    /// Takes in owners that a peer has heard of; the highest fence wins.
    pub fn record_owners(&self, owners: &[v1::ShardOwner]) {
        for owner in owners {
            self.inner.owners.learn(owner);
        }
    }

    /// Hands all shards over for a graceful shutdown, within `limit`.
    pub async fn release(&self, limit: Millis) {
        self.inner.releasing.send_replace(true);
        let keepers = std::mem::take(&mut *self.inner.keepers.lock().unwrap_or_else(PoisonError::into_inner));
        if timeout(limit.into(), future::join_all(keepers)).await.is_err() {
            event!(Warn, "shards_not_released", limit = limit);
        }
    }
}

impl Inner {
    /// The owner of the shard in this process, if it has taken it over.
    fn handle(&self, shard: ShardId) -> Option<Handle> {
        self.owned.read().unwrap_or_else(PoisonError::into_inner).get(&shard).cloned()
    }

    /// Makes the shard known as owned here until the guard is dropped.
    fn publish(self: &Arc<Self>, shard: ShardId, handle: Handle) -> Published {
        self.owned.write().unwrap_or_else(PoisonError::into_inner).insert(shard, handle);
        Published { inner: Arc::clone(self), shard }
    }
}

/// Withdraws a shard from those owned here when it is dropped.
struct Published {
    inner: Arc<Inner>,
    shard: ShardId,
}

impl Drop for Published {
    fn drop(&mut self) {
        self.inner.owned.write().unwrap_or_else(PoisonError::into_inner).remove(&self.shard);
    }
}

/// The shard of a claim.
fn shard_of_claim(customer: &str, key: &str) -> ShardId {
    shard_of_hash(stable_hash(&["claim", customer, key]))
}

/// The shard of a bill, the same for all attempts of a request. Bills of one customer are spread, since
/// a few customers are large.
pub(super) fn shard_of_bill(request_id: &str) -> ShardId {
    shard_of_hash(stable_hash(&["bill", base_request_id(request_id)]))
}

fn shard_of_key(key: &str) -> ShardId {
    shard_of_hash(stable_hash(&["key", key]))
}

fn shard_of_hash(hash: u64) -> ShardId {
    ShardId(u32::try_from(hash % u64::from(SHARD_COUNT)).expect("the remainder is small"))
}

fn shards() -> impl Iterator<Item = ShardId> {
    (0..SHARD_COUNT).map(ShardId)
}
