//! Bills that this router holds and sends to the shard owners until they are durable.

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

/// Maximum number of bills held for one shard. At about 300 bytes per bill, all 16 shards need 12 MB.
/// Agents hold the bills that this router does not accept, and send them again.
const MAX_PENDING_BILLS: usize = 2_500;
/// Maximum number of bills in one call.
const MAX_BILLS_PER_CALL: usize = 500;
/// Maximum number of settled request ids stored for one agent. An agent that does not receive an id sends
/// its bill again.
const MAX_SETTLED_IDS: usize = 4_096;
/// First delay after a failed call. The delay doubles after each failure, up to [`MAX_RETRY_DELAY`].
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum delay after a failed call.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Shared handle on the bills.
#[derive(Clone)]
pub struct Bills {
    inner: Arc<Inner>,
}

struct Inner {
    shards: Shards,
    queues: Vec<Queue>,
    /// Request ids whose bills are durable, by the agent to report them to, oldest first.
    settled: Mutex<HashMap<HostId, VecDeque<String>>>,
    /// Number of bills held for all shards.
    held_count: watch::Sender<usize>,
}

/// Bills of one shard that are not durable yet.
#[derive(Default)]
struct Queue {
    /// Bills by request id.
    pending: Mutex<HashMap<String, PendingBill>>,
    /// Notified when a bill is added.
    added: Notify,
}

struct PendingBill {
    bill: BillRecord,
    /// Agents to notify once the bill is durable.
    agents: Vec<HostId>,
}

impl Bills {
    /// Creates the component without bills.
    pub fn open(shards: Shards) -> Self {
        let queues = (0..SHARD_COUNT).map(|_| Queue::default()).collect();
        let inner = Inner { shards, queues, settled: Mutex::default(), held_count: watch::Sender::new(0) };
        Self { inner: Arc::new(inner) }
    }

    /// Starts the tasks that send bills to the shard owners and retry until the bills are durable.
    pub fn spawn(&self) {
        for shard in (0..SHARD_COUNT).map(ShardId) {
            tokio::spawn(send_bills(Arc::clone(&self.inner), shard));
        }
    }

    /// Adds a bill of a request that ran at `agent`, received with the answer or in a heartbeat. The bill is
    /// dropped if `MAX_PENDING_BILLS` bills of its shard are held.
    pub fn push(&self, agent: &HostId, bill: BillRecord) {
        let queue = self.inner.queue(shard_of_bill(&bill.request_id));
        let mut pending = lock(&queue.pending);
        if let Some(known) = pending.get_mut(&bill.request_id) {
            if !known.agents.contains(agent) {
                known.agents.push(agent.clone());
            }
            return;
        }
        if pending.len() >= MAX_PENDING_BILLS {
            event!(Debug, "bill_not_taken", request = bill.request_id, agent = agent);
            return;
        }
        pending.insert(bill.request_id.clone(), PendingBill { bill, agents: vec![agent.clone()] });
        self.inner.held_count.send_modify(|held| *held += 1);
        queue.added.notify_one();
    }

    /// Takes the request ids of `agent` whose bills have become durable since the last call.
    pub fn take_settled(&self, agent: &HostId) -> Vec<String> {
        lock(&self.inner.settled).remove(agent).map(Vec::from).unwrap_or_default()
    }

    /// Waits until all bills are durable, but at most `limit`.
    pub async fn flush(&self, limit: Millis) {
        let mut held = self.inner.held_count.subscribe();
        if timeout(limit.into(), held.wait_for(|held| *held == 0)).await.is_err() {
            event!(Warn, "bills_not_flushed", held = *self.inner.held_count.borrow(), limit = limit);
        }
    }
}

impl Inner {
    fn queue(&self, shard: ShardId) -> &Queue {
        &self.queues[shard.0 as usize]
    }

    /// Removes durable bills from the queue and records their ids for the agents.
    fn mark_settled(&self, shard: ShardId, bills: &[BillRecord]) {
        let mut pending = lock(&self.queue(shard).pending);
        let mut settled = lock(&self.settled);
        for bill in bills {
            let Some(settled_bill) = pending.remove(&bill.request_id) else { continue };
            for agent in settled_bill.agents {
                let ids = settled.entry(agent).or_default();
                ids.push_back(bill.request_id.clone());
                if ids.len() > MAX_SETTLED_IDS {
                    ids.pop_front();
                }
            }
        }
        self.held_count.send_modify(|held| *held -= bills.len());
    }
}

/// Sends the bills of one shard. Bills that are added during a call are sent with the next one.
async fn send_bills(inner: Arc<Inner>, shard: ShardId) {
    let queue = inner.queue(shard);
    let mut retry_delay = MIN_RETRY_DELAY;
    loop {
        let bills: Vec<BillRecord> =
            lock(&queue.pending).values().take(MAX_BILLS_PER_CALL).map(|pending| pending.bill.clone()).collect();
        if bills.is_empty() {
            queue.added.notified().await;
            continue;
        }
        if inner.shards.record_shard_bills(shard, bills.clone()).await {
            inner.mark_settled(shard, &bills);
            retry_delay = MIN_RETRY_DELAY;
        } else {
            sleep(retry_delay).await;
            retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
