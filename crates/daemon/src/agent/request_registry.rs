//! Registry of request ids that wait, run, have run or are barred from running, and of the fence of orders.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard},
};

use bytes::Bytes;
use eelgrasswell_core::{
    hash::HashMap,
    id::{CustomerId, Fence, RequestId},
    refusal::{Reason, Refusal},
    unit::Millis,
};

use crate::{
    clock::Clock,
    invariant::{self, Promise},
};

/// Retention of ids that ran or were barred. Claims are kept as long, so no older id is ever resolved.
const RETENTION: Millis = Millis(24 * 60 * 60 * 1_000);

/// Maximum size of the body kept for a request that runs at most once, in bytes; claims keep no larger ones.
const MAX_BODY_BYTES: usize = 4 << 10;
/// Maximum total size of such bodies, in bytes; the oldest are dropped first.
const MAX_TOTAL_BODY_BYTES: usize = 4 << 20;

/// Maximum number of outcomes kept, because small ones take memory besides their bodies.
const MAX_OUTCOMES: usize = 8 << 10;

/// State of a request id in this incarnation of the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// The request waits for admission; nothing of it has run.
    Waiting,
    /// The request is running.
    Running,
    /// The request ran and has ended, successfully or not.
    Ended,
    /// The request has not run and is barred from running.
    Barred,
}

/// Shared registry of request ids, outcomes and the fence of orders. Cheap to clone.
#[derive(Clone)]
pub struct RequestRegistry {
    clock: Clock,
    inner: Arc<Mutex<Inner>>,
}

#[derive(Default)]
struct Inner {
    ids: HashMap<RequestId, Fate>,
    /// Ids that ran or were barred, with the time of that, oldest first.
    expiry_queue: VecDeque<(Millis, RequestId)>,
    /// Outcomes of requests that run at most once, oldest first.
    outcomes: VecDeque<(RequestId, Outcome)>,
    /// Total size of the bodies in `outcomes`, in bytes.
    outcome_bytes: usize,
    /// Highest fence of an order so far.
    order_fence: Fence,
}

/// Answer to a request that runs at most once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Customer of the request.
    pub customer: CustomerId,
    /// HTTP status.
    pub status: u32,
    /// Complete body.
    pub body: Bytes,
}

impl RequestRegistry {
    /// Creates an empty registry.
    pub fn open(clock: Clock) -> Self {
        Self { clock, inner: Arc::default() }
    }

    /// Reserves an id for a request that is about to wait for admission. Refuses an id that is known already.
    pub fn reserve(&self, id: &RequestId) -> Result<(), Refusal> {
        let mut inner = self.lock();
        match inner.ids.get(id) {
            None => {
                inner.ids.insert(id.clone(), Fate::Waiting);
                Ok(())
            }
            Some(Fate::Barred) => Err(Refusal::not_run(Reason::Barred)),
            // This call runs nothing, but another call with the same id has run or will run.
            Some(Fate::Waiting | Fate::Running | Fate::Ended) => Err(Refusal::unknown(Reason::Barred)),
        }
    }

    /// Marks a waiting id as running. Returns false if it was barred in the meantime.
    pub fn start(&self, id: &RequestId) -> bool {
        let mut inner = self.lock();
        let fate = inner.ids.get(id).copied();
        if fate == Some(Fate::Barred) {
            return false;
        }
        invariant::check(Promise::AtMostOnce, fate == Some(Fate::Waiting), || {
            format!("request {id} starts while it is {fate:?}")
        });
        inner.ids.insert(id.clone(), Fate::Running);
        true
    }

    /// Removes an id of which nothing has run, unless it is barred. The id can then be reserved again.
    pub fn release(&self, id: &RequestId) {
        let mut inner = self.lock();
        if matches!(inner.ids.get(id), Some(Fate::Waiting | Fate::Running)) {
            inner.ids.remove(id);
        }
    }

    /// Marks a running id as ended.
    pub fn end(&self, id: &RequestId) {
        let now = self.clock.now();
        self.lock().set_final_fate(id, Fate::Ended, now);
    }

    /// Stores the answer to a request that runs at most once. It is kept for longer than other answers are held, so
    /// that a router can still resolve the outcome for the claim. Bodies above `MAX_BODY_BYTES` are not stored.
    pub fn store_outcome(&self, id: &RequestId, outcome: Outcome) {
        if outcome.body.len() > MAX_BODY_BYTES {
            return;
        }
        let mut inner = self.lock();
        inner.outcome_bytes += outcome.body.len();
        inner.outcomes.push_back((id.clone(), outcome));
        while inner.outcome_bytes > MAX_TOTAL_BODY_BYTES || inner.outcomes.len() > MAX_OUTCOMES {
            let Some((_, oldest)) = inner.outcomes.pop_front() else { return };
            inner.outcome_bytes -= oldest.body.len();
        }
    }

    /// Returns the stored outcome of the request, if it belongs to `customer`.
    pub fn outcome(&self, id: &RequestId, customer: &CustomerId) -> Option<Outcome> {
        let inner = self.lock();
        let stored = inner.outcomes.iter().rev().find(|(stored, _)| stored == id).map(|(_, outcome)| outcome);
        stored.filter(|outcome| outcome.customer == *customer).cloned()
    }

    /// Bars an id from ever running, unless it is running or has run. Returns the resulting state of the id.
    pub fn bar(&self, id: &RequestId) -> Fate {
        let now = self.clock.now();
        let mut inner = self.lock();
        match inner.ids.get(id) {
            Some(fate @ (Fate::Running | Fate::Ended | Fate::Barred)) => *fate,
            None | Some(Fate::Waiting) => {
                inner.set_final_fate(id, Fate::Barred, now);
                Fate::Barred
            }
        }
    }

    /// Whether this incarnation knows the id.
    pub fn is_known(&self, id: &RequestId) -> bool {
        self.lock().ids.contains_key(id)
    }

    /// Returns the highest fence of an order so far.
    pub fn order_fence(&self) -> Fence {
        self.lock().order_fence
    }

    /// Accepts the fence of an order. The error is the higher fence that was accepted before.
    pub fn accept_order_fence(&self, fence: Fence) -> Result<(), Fence> {
        let mut inner = self.lock();
        if fence < inner.order_fence {
            return Err(inner.order_fence);
        }
        inner.order_fence = fence;
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the lock panics")
    }
}

impl Inner {
    /// Sets a fate that does not change again, and removes ids whose retention has ended.
    fn set_final_fate(&mut self, id: &RequestId, fate: Fate, now: Millis) {
        self.ids.insert(id.clone(), fate);
        self.expiry_queue.push_back((now, id.clone()));
        while self.expiry_queue.front().is_some_and(|(at, _)| now - *at > RETENTION) {
            let (_, id) = self.expiry_queue.pop_front().expect("the loop condition checked the front");
            self.ids.remove(&id);
        }
    }
}
