//! Request ids that ran or are barred from running, and the fence of orders.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard},
};

use eelgrasswell_core::{
    hash::HashMap,
    id::{Fence, RequestId},
    refusal::{Reason, Refusal},
    unit::Millis,
};

use crate::{
    clock::Clock,
    invariant::{self, Promise},
};

/// Time for which ids are kept. Claims are kept as long, so no older id can be asked for.
const KEEP: Millis = Millis(24 * 60 * 60 * 1_000);

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
pub struct Fences {
    clock: Clock,
    inner: Arc<Mutex<Inner>>,
}

#[derive(Default)]
struct Inner {
    ids: HashMap<RequestId, Fate>,
    /// Ids that ran or were barred, oldest first.
    old: VecDeque<(Millis, RequestId)>,
    order_fence: Fence,
}

impl Fences {
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
