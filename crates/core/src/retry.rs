//! Retry budget and backoff.

use rand::{Rng, RngExt};

use crate::unit::Millis;

/// Share of requests that may be retried. Higher shares multiply the load of an overloaded pool.
const RETRY_SHARE: f64 = 0.1;
/// Retries per second that are allowed at any request rate, so that a quiet router can retry too.
const FLOOR_PER_SECOND: f64 = 5.0;
/// Most retries that can be saved up.
const MAX_SAVED: f64 = 100.0;
/// Longest wait before the first repetition.
const BACKOFF_BASE: Millis = Millis(20);
/// Longest wait before any repetition.
const BACKOFF_MAX: Millis = Millis(1_000);

/// Token bucket that bounds retries to a share of the requests plus a floor.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    refilled_at: Millis,
}

impl RetryBudget {
    /// Starts with one second's worth of the floor.
    pub fn new(now: Millis) -> Self {
        Self { tokens: FLOOR_PER_SECOND, refilled_at: now }
    }

    /// Notes a first attempt.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + RETRY_SHARE).min(MAX_SAVED);
    }

    /// Takes one retry from the budget; false when it is used up.
    pub fn try_acquire(&mut self, now: Millis) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Adds the floor's share of the time passed. It stops at one second's worth: idle time must not
    /// add up to a burst of retries.
    fn refill(&mut self, now: Millis) {
        let passed = now.saturating_sub(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        if self.tokens < FLOOR_PER_SECOND {
            let earned = passed.0 as f64 / 1_000.0 * FLOOR_PER_SECOND;
            self.tokens = (self.tokens + earned).min(FLOOR_PER_SECOND);
        }
    }
}

/// Wait before repetition number `attempt` (from 0): exponential with full jitter.
pub fn backoff(attempt: u32, rng: &mut impl Rng) -> Millis {
    let limit = BACKOFF_BASE.0.saturating_mul(1 << attempt.min(16)).min(BACKOFF_MAX.0);
    Millis(rng.random_range(0..=limit))
}
