//! Requests counted by customer and window of time, for reports of usage.
//!
//! The load: every router counts its own requests, each window is reported once for all of them, and routers, links and the
//! reporting router fail in the middle of a window. Counts are keyed by the incarnation of the router that counted, so the
//! larger of two counts is always the newer one, and a late, lost, repeated or reordered message changes nothing. Every
//! router keeps its counts until the report of the window can no longer be sent, so that the next reporting router gets
//! them again.

use std::collections::BTreeMap;

use crate::{
    hash::HashMap,
    id::{CustomerId, Incarnation},
    unit::Millis,
};

/// Maximum number of routers whose counts are kept.
const MAX_REPORTERS: usize = 256;
/// Maximum number of windows kept for one router; the oldest are dropped first.
const MAX_WINDOWS: usize = 64;
/// Maximum number of customers in one window of one router.
const MAX_CUSTOMERS: usize = 4_096;

/// Number of reports of a router that another one may lack before they are passed on to it. The last ones are usually on
/// their way.
const MAX_BEHIND: u64 = 3;

/// Number of a window: window k begins k times the length of a window after the start of 1970.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WindowId(pub u64);

impl WindowId {
    /// Later than any window.
    pub const MAX: Self = Self(u64::MAX);

    /// The window that contains `wall`, a time since the start of 1970. `length` is the length of all windows.
    pub fn at(wall: Millis, length: Millis) -> Self {
        Self(wall.0 / length.0.max(1))
    }

    /// The next window.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }

    /// The window before this one.
    pub fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }

    /// End of the window, as time since the start of 1970.
    pub fn end(self, length: Millis) -> Millis {
        Millis(self.next().0.saturating_mul(length.0))
    }
}

impl std::fmt::Display for WindowId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// Number of requests by customer.
pub type Counts = BTreeMap<CustomerId, u64>;

/// Report of the usage in one window by all routers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// The window.
    pub window: WindowId,
    /// Requests of each customer.
    pub counts: Counts,
    /// Whether the report was sent, or was abandoned.
    pub done: bool,
}

/// What one router has counted, as far as it is known.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReporterUsage {
    /// Number of the report; a later one of the same router has a larger number.
    pub sequence: u64,
    /// All windows up to this one had ended for the router when it made the report.
    pub complete_through: WindowId,
    /// Counts by window.
    pub windows: BTreeMap<WindowId, Counts>,
}

impl ReporterUsage {
    fn merge(&mut self, other: &Self) {
        self.sequence = self.sequence.max(other.sequence);
        self.complete_through = self.complete_through.max(other.complete_through);
        for (window, counts) in &other.windows {
            let known = self.windows.entry(*window).or_default();
            for (customer, count) in counts {
                add_customer(known, customer, |known| (*known).max(*count));
            }
        }
        while self.windows.len() > MAX_WINDOWS {
            self.windows.pop_first();
        }
    }

    /// A copy without the windows up to `settled`.
    fn after(&self, settled: WindowId) -> Self {
        Self { windows: self.windows.range(settled.next()..).map(|(w, c)| (*w, c.clone())).collect(), ..self.clone() }
    }
}

/// Counts of all routers that this router knows.
#[derive(Debug, Default)]
pub struct UsageTable {
    reporters: HashMap<Incarnation, Known>,
}

#[derive(Debug, Default)]
struct Known {
    usage: ReporterUsage,
    /// Time at which the last report arrived that had a new number.
    heard: Millis,
}

impl UsageTable {
    /// Counts a request of `customer` in `window` for the router `own`.
    pub fn record(&mut self, own: Incarnation, window: WindowId, customer: &CustomerId) {
        let usage = &mut self.reporters.entry(own).or_default().usage;
        add_customer(usage.windows.entry(window).or_default(), customer, |count| count.saturating_add(1));
        while usage.windows.len() > MAX_WINDOWS {
            usage.windows.pop_first();
        }
    }

    /// Makes a new report of the router `own`, for which the windows up to `complete_through` have ended.
    pub fn advance(&mut self, now: Millis, own: Incarnation, complete_through: WindowId) {
        let known = self.reporters.entry(own).or_default();
        known.usage.sequence += 1;
        known.usage.complete_through = known.usage.complete_through.max(complete_through);
        known.heard = now;
    }

    /// Merges a report of the router `reporter`; false if it is left out because too many routers are known.
    pub fn merge(&mut self, now: Millis, reporter: Incarnation, usage: &ReporterUsage) -> bool {
        if self.reporters.len() >= MAX_REPORTERS && !self.reporters.contains_key(&reporter) {
            return false;
        }
        let known = self.reporters.entry(reporter).or_default();
        if usage.sequence > known.usage.sequence || known.heard == Millis::ZERO {
            known.heard = now;
        }
        known.usage.merge(usage);
        true
    }

    /// Reports for a router that knows those with the numbers `heard`: the own one, and those of other routers that have
    /// not reached it for `delay` or for several reports. Windows up to `settled` are left out.
    pub fn reports_for(
        &self,
        now: Millis,
        own: Incarnation,
        heard: &HashMap<Incarnation, u64>,
        delay: Millis,
        settled: WindowId,
    ) -> Vec<(Incarnation, ReporterUsage)> {
        let is_needed = |id: &Incarnation, known: &Known| {
            let behind = known.usage.sequence.saturating_sub(heard.get(id).copied().unwrap_or_default());
            *id == own || behind > MAX_BEHIND || (behind > 0 && now.saturating_sub(known.heard) >= delay)
        };
        let needed = self.reporters.iter().filter(|(id, known)| is_needed(id, known));
        needed.map(|(id, known)| (*id, known.usage.after(settled))).collect()
    }

    /// Numbers of the last reports of all routers.
    pub fn sequences(&self) -> impl Iterator<Item = (Incarnation, u64)> {
        self.reporters.iter().map(|(id, known)| (*id, known.usage.sequence))
    }

    /// Whether the router has reported after the end of `window`.
    pub fn is_complete(&self, reporter: Incarnation, window: WindowId) -> bool {
        self.reporters.get(&reporter).is_some_and(|known| known.usage.complete_through >= window)
    }

    /// Requests of all routers in `window`.
    pub fn total(&self, window: WindowId) -> Counts {
        let mut total = Counts::new();
        for counts in self.reporters.values().filter_map(|known| known.usage.windows.get(&window)) {
            for (customer, count) in counts {
                add_customer(&mut total, customer, |sum| sum.saturating_add(*count));
            }
        }
        total
    }

    /// Removes windows before `oldest`, and the other routers that have no later ones and were not heard of since
    /// `heard_after`.
    pub fn expire(&mut self, own: Incarnation, oldest: WindowId, heard_after: Millis) {
        self.reporters.retain(|id, known| {
            known.usage.windows = known.usage.windows.split_off(&oldest);
            *id == own || !known.usage.windows.is_empty() || known.heard > heard_after
        });
    }

    /// Number of routers with counts.
    pub fn reporters(&self) -> usize {
        self.reporters.len()
    }
}

fn add_customer(counts: &mut Counts, customer: &CustomerId, change: impl FnOnce(&u64) -> u64) {
    if let Some(count) = counts.get_mut(customer) {
        *count = change(count);
    } else if counts.len() < MAX_CUSTOMERS {
        counts.insert(customer.clone(), change(&0));
    }
}
