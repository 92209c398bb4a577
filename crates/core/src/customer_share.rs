//! How many requests of each customer have arrived and were admitted lately, and which customers exceed their usual share.
//!
//! The load: one customer sends several times its usual load while capacity is scarce. Its requests would fill the wait
//! queue and displace those of the others. What counts is the share, not the rate: when half of the gateways are lost, the
//! load of all customers doubles at the others, and nobody exceeds its share.

use crate::{hash::HashMap, id::CustomerId, unit::Millis};

/// Number of seconds for which arrivals and admissions count.
const WINDOW_SECONDS: usize = 10;
/// Interval at which the usual shares are updated from the window.
const LEARN_INTERVAL: Millis = Millis(10_000);
/// Weight of one window in the usual share: the mean over about five minutes.
const LEARN_WEIGHT: f64 = 1.0 / 30.0;
/// Minimum number of arrivals in a window from which shares are learned. Fewer say little.
const MIN_LEARNED: u32 = 20;
/// Largest multiple of the usual share that is learned from one window, so that a customer does not make its excess usual
/// within minutes.
const MAX_LEARNED: f64 = 2.0;
/// Share that each customer may reach in any case when shares are learned.
const MIN_SHARE: f64 = 0.01;
/// Multiple of its usual number of requests, in proportion to the others' present load, from which a customer's further
/// requests are excess.
const EXCESS_FACTOR: f64 = 1.5;
/// Number of admitted requests in the window up to which no request is excess.
const EXCESS_FLOOR: u32 = 20;
/// Time without a request after which a customer is forgotten.
const EXPIRY: Millis = Millis(600_000);
/// Maximum number of customers. Those beyond it count together.
const MAX_CUSTOMERS: usize = 1_024;

/// Recent requests of all customers.
#[derive(Debug, Default)]
pub struct CustomerShares {
    customers: HashMap<CustomerId, Entry>,
    others: Entry,
    arrivals: Window,
    last_learned: Option<Millis>,
    has_learned: bool,
}

#[derive(Debug, Default)]
struct Entry {
    arrivals: Window,
    admitted: Window,
    /// Usual share of the arrivals, from 0 to 1.
    usual: f64,
    last_arrival: Millis,
}

/// Counts of the last `WINDOW_SECONDS` seconds.
#[derive(Debug, Default)]
struct Window {
    counts: [u32; WINDOW_SECONDS],
    newest: u64,
}

impl CustomerShares {
    /// Records a request of `customer`.
    pub fn record_arrival(&mut self, now: Millis, customer: &CustomerId) {
        self.arrivals.add(now);
        let entry = self.entry(customer);
        entry.arrivals.add(now);
        entry.last_arrival = now;
    }

    /// Records that a request of `customer` was admitted.
    pub fn record_admission(&mut self, now: Millis, customer: &CustomerId) {
        self.entry(customer).admitted.add(now);
    }

    /// Number of requests of `customer` that were admitted within the window.
    pub fn admitted(&self, now: Millis, customer: &CustomerId) -> u32 {
        self.get(customer).admitted.sum(now)
    }

    /// Whether a further request of `customer` exceeds its usual share.
    pub fn is_excess(&self, now: Millis, customer: &CustomerId) -> bool {
        if !self.has_learned {
            return false;
        }
        let entry = self.get(customer);
        let admitted = entry.admitted.sum(now);
        let others = self.arrivals.sum(now).saturating_sub(entry.arrivals.sum(now));
        let expected = entry.usual / (1.0 - entry.usual).max(f64::MIN_POSITIVE) * f64::from(others);
        admitted >= EXCESS_FLOOR && f64::from(admitted) >= expected * EXCESS_FACTOR
    }

    /// Updates the usual shares if it is time, and forgets customers without requests.
    pub fn learn(&mut self, now: Millis) {
        let last = *self.last_learned.get_or_insert(now);
        if now.saturating_sub(last) < LEARN_INTERVAL {
            return;
        }
        self.last_learned = Some(now);
        self.customers.retain(|_, entry| now.saturating_sub(entry.last_arrival) < EXPIRY);
        let total = self.arrivals.sum(now);
        if total < MIN_LEARNED {
            return;
        }
        let is_first = !self.has_learned;
        for entry in self.customers.values_mut().chain([&mut self.others]) {
            let share = f64::from(entry.arrivals.sum(now)) / f64::from(total);
            let learned = share.min((entry.usual * MAX_LEARNED).max(MIN_SHARE));
            entry.usual = if is_first { share } else { entry.usual + LEARN_WEIGHT * (learned - entry.usual) };
        }
        self.has_learned = true;
    }

    /// Number of customers that are counted apart.
    pub fn len(&self) -> usize {
        self.customers.len()
    }

    /// Whether no customer is counted.
    pub fn is_empty(&self) -> bool {
        self.customers.is_empty()
    }

    fn entry(&mut self, customer: &CustomerId) -> &mut Entry {
        let has_space = self.customers.len() < MAX_CUSTOMERS;
        if has_space && !self.customers.contains_key(customer) {
            self.customers.insert(customer.clone(), Entry::default());
        }
        self.customers.get_mut(customer).unwrap_or(&mut self.others)
    }

    fn get(&self, customer: &CustomerId) -> &Entry {
        self.customers.get(customer).unwrap_or(&self.others)
    }
}

impl Window {
    fn add(&mut self, now: Millis) {
        let second = now.0 / 1_000;
        if second.saturating_sub(self.newest) >= WINDOW_SECONDS as u64 {
            self.counts = [0; WINDOW_SECONDS];
        } else {
            for passed in self.newest + 1..=second {
                self.counts[passed as usize % WINDOW_SECONDS] = 0;
            }
        }
        self.newest = self.newest.max(second);
        let count = &mut self.counts[second as usize % WINDOW_SECONDS];
        *count = count.saturating_add(1);
    }

    fn sum(&self, now: Millis) -> u32 {
        let second = now.0 / 1_000;
        let passed = second.saturating_sub(self.newest).min(WINDOW_SECONDS as u64);
        let is_recent = |age: u64| age + passed < WINDOW_SECONDS as u64 && age <= self.newest;
        let recent = (0..WINDOW_SECONDS as u64).filter(|&age| is_recent(age));
        recent.map(|age| self.counts[(self.newest - age) as usize % WINDOW_SECONDS]).sum()
    }
}
