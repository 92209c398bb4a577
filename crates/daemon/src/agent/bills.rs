//! Bill records that no router has reported as durable yet.

use std::sync::{Arc, Mutex, MutexGuard};

use eelgrasswell_core::{hash::HashMap, unit::Millis};
use eelgrasswell_proto::v1::BillRecord;
use tokio::sync::Notify;

use crate::{
    clock::Clock,
    invariant::{self, Promise},
};

/// Time before a record is offered to any router, so that the router of its request can settle it first, and
/// between two offers of the same record.
const OFFER_DELAY: Millis = Millis(5_000);
/// Maximum number of records in one heartbeat, so that it stays below 64 KB.
const MAX_RECORDS_PER_BEAT: usize = 256;

/// Shared table of unsettled records. Cheap to clone.
#[derive(Clone)]
pub struct UnsettledBills {
    clock: Clock,
    inner: Arc<Mutex<Inner>>,
    changed: Arc<Notify>,
}

#[derive(Default)]
struct Inner {
    /// Records by request id.
    records: HashMap<String, Entry>,
    /// Whether the process is leaving; records are then offered without delay.
    leaving: bool,
}

struct Entry {
    bill: BillRecord,
    /// Time of the next offer.
    offer_at: Millis,
}

impl UnsettledBills {
    /// Creates an empty table.
    pub fn open(clock: Clock) -> Self {
        Self { clock, inner: Arc::default(), changed: Arc::default() }
    }

    /// Stores a record until it is settled.
    pub fn record(&self, bill: &BillRecord) {
        let mut inner = self.lock();
        let delay = if inner.leaving { Millis::ZERO } else { OFFER_DELAY };
        let entry = Entry { bill: bill.clone(), offer_at: self.clock.now() + delay };
        let previous = inner.records.insert(bill.request_id.clone(), entry);
        invariant::check(Promise::Billed, previous.is_none(), || format!("request {} billed twice", bill.request_id));
    }

    /// Removes the records of these request ids, which a router reported as durable.
    pub fn settle(&self, request_ids: &[String]) {
        let mut inner = self.lock();
        for id in request_ids {
            inner.records.remove(id);
        }
        if inner.records.is_empty() {
            self.changed.notify_waiters();
        }
    }

    /// Returns the records that are due to be offered to a router, and schedules their next offer.
    pub fn offer_due(&self) -> Vec<BillRecord> {
        let now = self.clock.now();
        let mut inner = self.lock();
        let due = inner.records.values_mut().filter(|entry| entry.offer_at <= now).take(MAX_RECORDS_PER_BEAT);
        due.map(|entry| {
            entry.offer_at = now + OFFER_DELAY;
            entry.bill.clone()
        })
        .collect()
    }

    /// Whether any record is due to be offered.
    pub fn has_due(&self) -> bool {
        let now = self.clock.now();
        self.lock().records.values().any(|entry| entry.offer_at <= now)
    }

    /// Makes all records due immediately, present and future ones, because the process is leaving.
    pub fn offer_without_delay(&self) {
        let mut inner = self.lock();
        inner.leaving = true;
        inner.records.values_mut().for_each(|entry| entry.offer_at = Millis::ZERO);
    }

    /// Waits until all records are settled.
    pub async fn wait_until_settled(&self) {
        loop {
            let changed = self.changed.notified();
            if self.is_empty() {
                return;
            }
            changed.await;
        }
    }

    /// Number of unsettled records.
    pub fn len(&self) -> usize {
        self.lock().records.len()
    }

    /// Whether all records are settled.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the lock panics")
    }
}
