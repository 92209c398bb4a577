//! Bills that this router holds until they are durable.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use eelgrasswell_core::{
    hash::HashMap,
    id::{HostId, ShardId},
    unit::Millis,
};
use eelgrasswell_proto::v1::BillRecord;
use tokio::{
    sync::{Notify, watch},
    time::{sleep, timeout},
};

use super::shards::{SHARD_COUNT, Shards, shard_of_bill};
use crate::event;

/// Most bills held for one shard, at about 300 bytes each: 12 MB for all 16. Agents hold what this
/// router does not take in, and offer it again.
const MAX_PENDING: usize = 2_500;
/// Most bills sent in one call.
const MAX_SENT: usize = 500;
/// Most settled ids kept for one agent. An agent that misses one offers its bill again.
const MAX_SETTLED: usize = 4_096;
/// First pause after a failed call; it doubles up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after a failed call.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// Shared handle on the bills.
#[derive(Clone)]
pub struct Bills {
    inner: Arc<Inner>,
}

struct Inner {
    shards: Shards,
    queues: Vec<Queue>,
    settled: Mutex<HashMap<HostId, VecDeque<String>>>,
    /// Number of bills held.
    held: watch::Sender<usize>,
}

/// Bills of one shard.
#[derive(Default)]
struct Queue {
    pending: Mutex<HashMap<String, Pending>>,
    added: Notify,
}

struct Pending {
    bill: BillRecord,
    /// Agents to tell once the bill is durable.
    agents: Vec<HostId>,
}

impl Bills {
    /// Starts without bills.
    pub fn open(shards: Shards) -> Self {
        let queues = (0..SHARD_COUNT).map(|_| Queue::default()).collect();
        let inner = Inner { shards, queues, settled: Mutex::default(), held: watch::Sender::new(0) };
        Self { inner: Arc::new(inner) }
    }

    /// Starts sending bills to the shard owners, again and again until they are durable.
    pub fn spawn(&self) {
        for shard in (0..SHARD_COUNT).map(ShardId) {
            tokio::spawn(send(Arc::clone(&self.inner), shard));
        }
    }

    /// Takes in a bill of a request that ran at `agent`, from its answer or from a heartbeat.
    pub fn push(&self, agent: &HostId, bill: BillRecord) {
        let queue = self.inner.queue(shard_of_bill(&bill.request_id));
        let mut pending = lock(&queue.pending);
        if let Some(known) = pending.get_mut(&bill.request_id) {
            if !known.agents.contains(agent) {
                known.agents.push(agent.clone());
            }
            return;
        }
        if pending.len() >= MAX_PENDING {
            event!(Debug, "bill_not_taken", request = bill.request_id, agent = agent);
            return;
        }
        pending.insert(bill.request_id.clone(), Pending { bill, agents: vec![agent.clone()] });
        self.inner.held.send_modify(|held| *held += 1);
        queue.added.notify_one();
    }

    /// Request ids of `agent` whose bills have become durable since the last call.
    pub fn take_settled(&self, agent: &HostId) -> Vec<String> {
        lock(&self.inner.settled).remove(agent).map(Vec::from).unwrap_or_default()
    }

    /// Waits until all bills are durable, at most `limit`.
    pub async fn flush(&self, limit: Millis) {
        let mut held = self.inner.held.subscribe();
        if timeout(limit.into(), held.wait_for(|held| *held == 0)).await.is_err() {
            event!(Warn, "bills_not_flushed", held = *self.inner.held.borrow(), limit = limit);
        }
    }
}

impl Inner {
    fn queue(&self, shard: ShardId) -> &Queue {
        &self.queues[shard.0 as usize]
    }

    fn settle(&self, shard: ShardId, bills: &[BillRecord]) {
        let mut pending = lock(&self.queue(shard).pending);
        let mut settled = lock(&self.settled);
        for bill in bills {
            let Some(done) = pending.remove(&bill.request_id) else { continue };
            for agent in done.agents {
                let ids = settled.entry(agent).or_default();
                ids.push_back(bill.request_id.clone());
                if ids.len() > MAX_SETTLED {
                    ids.pop_front();
                }
            }
        }
        self.held.send_modify(|held| *held -= bills.len());
    }
}

/// Sends the bills of one shard. Bills that come meanwhile go with the next call.
async fn send(inner: Arc<Inner>, shard: ShardId) {
    let queue = inner.queue(shard);
    let mut pause = FIRST_PAUSE;
    loop {
        let bills: Vec<BillRecord> =
            lock(&queue.pending).values().take(MAX_SENT).map(|pending| pending.bill.clone()).collect();
        if bills.is_empty() {
            queue.added.notified().await;
            continue;
        }
        if inner.shards.record_in_shard(shard, bills.clone()).await {
            inner.settle(shard, &bills);
            pause = FIRST_PAUSE;
        } else {
            sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
