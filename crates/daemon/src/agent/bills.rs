//! Bill records until a router reports them as durable.

use std::sync::{Arc, Mutex, MutexGuard};

use eelgrasswell_core::{hash::HashMap, unit::Millis};
use eelgrasswell_proto::v1::BillRecord;
use tokio::sync::Notify;

use crate::{
    clock::Clock,
    invariant::{self, Promise},
};

/// Time for the router of the request to settle a record before another router gets it, and
/// before it is offered again.
const SETTLE_TIME: Millis = Millis(5_000);
/// Most records in one heartbeat, so that it stays below 64 KB.
const PER_BEAT: usize = 256;

/// Shared table of unsettled records.
#[derive(Clone)]
pub struct UnsettledBills {
    clock: Clock,
    inner: Arc<Mutex<Inner>>,
    changed: Arc<Notify>,
}

#[derive(Default)]
struct Inner {
    unsettled: HashMap<String, Unsettled>,
    /// Set when the process leaves: records are offered at once.
    leaving: bool,
}

struct Unsettled {
    bill: BillRecord,
    offer_at: Millis,
}

impl UnsettledBills {
    /// Starts without records.
    pub fn open(clock: Clock) -> Self {
        Self { clock, inner: Arc::default(), changed: Arc::default() }
    }

    /// Keeps a record until it is settled.
    pub fn record(&self, bill: &BillRecord) {
        let mut inner = self.lock();
        let wait = if inner.leaving { Millis::ZERO } else { SETTLE_TIME };
        let entry = Unsettled { bill: bill.clone(), offer_at: self.clock.now() + wait };
        let earlier = inner.unsettled.insert(bill.request_id.clone(), entry);
        invariant::check(Promise::Billed, earlier.is_none(), || format!("request {} billed twice", bill.request_id));
    }

    /// Drops records that are durable.
    pub fn settle(&self, ids: &[String]) {
        let mut inner = self.lock();
        for id in ids {
            inner.unsettled.remove(id);
        }
        if inner.unsettled.is_empty() {
            self.changed.notify_waiters();
        }
    }

    /// Records to offer to a router now. Each is offered again only after a while.
    pub fn take_overdue(&self) -> Vec<BillRecord> {
        let now = self.clock.now();
        let mut inner = self.lock();
        let overdue = inner.unsettled.values_mut().filter(|entry| entry.offer_at <= now).take(PER_BEAT);
        overdue
            .map(|entry| {
                entry.offer_at = now + SETTLE_TIME;
                entry.bill.clone()
            })
            .collect()
    }

    /// Whether a record is due to be offered.
    pub fn has_overdue(&self) -> bool {
        let now = self.clock.now();
        self.lock().unsettled.values().any(|entry| entry.offer_at <= now)
    }

    /// Offers all records at once from now on, because the process leaves.
    pub fn offer_all(&self) {
        let mut inner = self.lock();
        inner.leaving = true;
        inner.unsettled.values_mut().for_each(|entry| entry.offer_at = Millis::ZERO);
    }

    /// Waits until no record is left.
    pub async fn settled_all(&self) {
        loop {
            let changed = self.changed.notified();
            if self.is_empty() {
                return;
            }
            changed.await;
        }
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.lock().unsettled.len()
    }

    /// Whether all records are settled.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the lock panics")
    }
}
