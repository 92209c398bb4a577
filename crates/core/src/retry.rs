//! Retry budget and backoff times.

use rand::{Rng, RngExt};

use crate::unit::Millis;

/// Retries allowed per request. A higher ratio would multiply the load of an overloaded pool.
const RETRY_RATIO: f64 = 0.1;
/// Minimum rate of retries per second, so that a router with few requests can retry too.
const MIN_RETRIES_PER_SECOND: f64 = 5.0;
/// Maximum number of retries that the budget can accumulate.
const MAX_TOKENS: f64 = 100.0;
/// Maximum wait before the first retry.
const BACKOFF_BASE: Millis = Millis(20);
/// Maximum wait before any retry.
const BACKOFF_MAX: Millis = Millis(1_000);

/// Token bucket that limits retries to a ratio of the requests plus a minimum rate.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    refilled_at: Millis,
}

impl RetryBudget {
    /// Creates a budget with one second's worth of the minimum rate.
    pub fn new(now: Millis) -> Self {
        Self { tokens: MIN_RETRIES_PER_SECOND, refilled_at: now }
    }

    /// Records the first send of a request.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + RETRY_RATIO).min(MAX_TOKENS);
    }

    /// Takes one retry from the budget. Returns false if the budget is used up.
    pub fn try_acquire(&mut self, now: Millis) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Adds tokens at the minimum rate for the time since the last refill, up to one second's worth: idle time must
    /// not accumulate into a burst of retries.
    fn refill(&mut self, now: Millis) {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        if self.tokens < MIN_RETRIES_PER_SECOND {
            let added = elapsed.0 as f64 / 1_000.0 * MIN_RETRIES_PER_SECOND;
            self.tokens = (self.tokens + added).min(MIN_RETRIES_PER_SECOND);
        }
    }
}

/// Wait before retry number `attempt`, counted from 0: exponential backoff with full jitter.
pub fn backoff(attempt: u32, rng: &mut impl Rng) -> Millis {
    let limit = BACKOFF_BASE.0.saturating_mul(1 << attempt.min(16)).min(BACKOFF_MAX.0);
    Millis(rng.random_range(0..=limit))
}
