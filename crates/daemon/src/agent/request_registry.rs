//! Request ids that ran or are barred from running, and the fence of orders.

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

/// Time for which ids are kept. Claims are kept as long, so no older id can be asked for.
const KEEP: Millis = Millis(24 * 60 * 60 * 1_000);

/// Largest body kept with the id of a request that runs only once; claims keep no larger ones.
const MAX_BODY: usize = 4 << 10;
/// Most bytes of such bodies; the oldest go first.
const MAX_BODIES: usize = 4 << 20;

/// Most outcomes kept, as small ones take memory besides their bodies.
const MAX_OUTCOMES: usize = 8 << 10;

/// What became of a request id in this incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It waits for its turn; nothing of it has run.
    Waiting,
    /// It runs.
    Running,
    /// It ran to its end, whatever that was.
    Ended,
    /// It has not run and never will.
    Barred,
}

/// Shared record of ids and fences.
#[derive(Clone)]
pub struct RequestRegistry {
    clock: Clock,
    inner: Arc<Mutex<Inner>>,
}

#[derive(Default)]
struct Inner {
    ids: HashMap<RequestId, Fate>,
    /// Ids that ran or were barred, oldest first.
    old: VecDeque<(Millis, RequestId)>,
    /// Status and body of requests that run only once, oldest first.
    outcomes: VecDeque<(RequestId, Outcome)>,
    outcome_bytes: usize,
    order_fence: Fence,
}

/// Answer to a request that runs only once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Customer of the request.
    pub customer: CustomerId,
    /// HTTP status.
    pub status: u32,
    /// Whole body.
    pub body: Bytes,
}

impl RequestRegistry {
    /// Starts without ids.
    pub fn open(clock: Clock) -> Self {
        Self { clock, inner: Arc::default() }
    }

    /// Reserves an id for a request that is about to wait.
    pub fn reserve(&self, id: &RequestId) -> Result<(), Refusal> {
        let mut inner = self.lock();
        match inner.ids.get(id) {
            None => {
                inner.ids.insert(id.clone(), Fate::Waiting);
                Ok(())
            }
            Some(Fate::Barred) => Err(Refusal::not_run(Reason::Barred)),
            // This call runs nothing, but another with the same id has run or will.
            Some(Fate::Waiting | Fate::Running | Fate::Ended) => Err(Refusal::unknown(Reason::Barred)),
        }
    }

    /// Marks a waiting id as running; false when it was barred meanwhile.
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

    /// Forgets an id of which nothing has run, unless it is barred.
    pub fn release(&self, id: &RequestId) {
        let mut inner = self.lock();
        if matches!(inner.ids.get(id), Some(Fate::Waiting | Fate::Running)) {
            inner.ids.remove(id);
        }
    }

    /// Marks a running id as ended.
    pub fn end(&self, id: &RequestId) {
        let now = self.clock.now();
        self.lock().settle(id, Fate::Ended, now);
    }

    /// Keeps the answer to a request that runs only once for longer than answers are held, so that
    /// its outcome is known when its claim is asked for.
    pub fn keep(&self, id: &RequestId, outcome: Outcome) {
        if outcome.body.len() > MAX_BODY {
            return;
        }
        let mut inner = self.lock();
        inner.outcome_bytes += outcome.body.len();
        inner.outcomes.push_back((id.clone(), outcome));
        while inner.outcome_bytes > MAX_BODIES || inner.outcomes.len() > MAX_OUTCOMES {
            let Some((_, oldest)) = inner.outcomes.pop_front() else { return };
            inner.outcome_bytes -= oldest.body.len();
        }
    }

    /// The answer that was kept for `customer`.
    pub fn outcome(&self, id: &RequestId, customer: &CustomerId) -> Option<Outcome> {
        let inner = self.lock();
        let kept = inner.outcomes.iter().rev().find(|(kept, _)| kept == id).map(|(_, outcome)| outcome);
        kept.filter(|outcome| outcome.customer == *customer).cloned()
    }

    /// Bars an id from ever running, unless it runs or ran; the answer tells what became of it.
    pub fn bar(&self, id: &RequestId) -> Fate {
        let now = self.clock.now();
        let mut inner = self.lock();
        match inner.ids.get(id) {
            Some(fate @ (Fate::Running | Fate::Ended | Fate::Barred)) => *fate,
            None | Some(Fate::Waiting) => {
                inner.settle(id, Fate::Barred, now);
                Fate::Barred
            }
        }
    }

    /// Whether the id was seen in this incarnation.
    pub fn is_known(&self, id: &RequestId) -> bool {
        self.lock().ids.contains_key(id)
    }

    /// The highest fence of an order so far.
    pub fn order_fence(&self) -> Fence {
        self.lock().order_fence
    }

    /// Accepts the fence of an order, or gives the higher one that was seen before.
    pub fn accept_order(&self, fence: Fence) -> Result<(), Fence> {
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
    fn settle(&mut self, id: &RequestId, fate: Fate, now: Millis) {
        self.ids.insert(id.clone(), fate);
        self.old.push_back((now, id.clone()));
        while self.old.front().is_some_and(|(at, _)| now - *at > KEEP) {
            let (_, id) = self.old.pop_front().expect("the front was just seen");
            self.ids.remove(&id);
        }
    }
}
