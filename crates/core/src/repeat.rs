//! Limits repeats, which are the sends after the first one of each request, so that they do not multiply the load of an
//! overloaded or failing service.
//!
//! The limit applies to all routers together. Each router enforces its own part of it without coordination: a ratio of
//! the requests that it receives itself, and an equal share of the fixed allowance.

use std::collections::VecDeque;

use crate::unit::Millis;

/// Share of the limit that the routers use. They count a send when it leaves, while the limit counts its arrival.
const LIMIT_USAGE: f64 = 0.8;
/// Share of the fixed allowance that is reserved for repeats after failures, which callers need more than escalations.
const RESERVED_FOR_FAILURES: f64 = 0.5;
/// Share of the repeats per request that second sends of slow requests may use together with the others. They get nothing
/// of the fixed allowance.
const USABLE_FOR_SLOW_ANSWERS: f64 = 0.75;

/// Limit on the repeats of a service over a sliding window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatLimit {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Fixed allowance: repeats allowed at any request rate, for all routers together.
    pub slack: f64,
    /// Length of the window.
    pub window: Millis,
}

/// Reason for a repeat, in ascending order of priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// The answer is slow, and the request is sent to another server as well.
    SlowAnswer,
    /// The request escalates to a larger model.
    Escalation,
    /// The previous send failed or was rejected.
    Failure,
}

/// Budget for the repeats of one service at this router.
#[derive(Debug)]
pub struct RepeatBudget {
    limit: RepeatLimit,
    requests: VecDeque<Millis>,
    repeats: VecDeque<Millis>,
}

impl RepeatBudget {
    /// Creates a budget without any requests or repeats.
    pub fn new(limit: RepeatLimit) -> Self {
        Self { limit, requests: VecDeque::new(), repeats: VecDeque::new() }
    }

    /// Records a request of a caller.
    pub fn record_request(&mut self, now: Millis) {
        self.drop_expired(now);
        self.requests.push_back(now);
    }

    /// Takes one repeat from this router's budget, as one of `routers`. Returns false if the budget is used up.
    pub fn try_acquire(&mut self, now: Millis, purpose: Purpose, routers: usize) -> bool {
        self.drop_expired(now);
        let slack = self.limit.slack * LIMIT_USAGE / routers.max(1) as f64;
        let by_ratio = self.requests.len() as f64 * self.limit.ratio * LIMIT_USAGE;
        let allowed = match purpose {
            Purpose::SlowAnswer => by_ratio * USABLE_FOR_SLOW_ANSWERS,
            Purpose::Escalation => by_ratio + slack * (1.0 - RESERVED_FOR_FAILURES),
            Purpose::Failure => by_ratio + slack,
        };
        if (self.repeats.len() + 1) as f64 > allowed {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    fn drop_expired(&mut self, now: Millis) {
        let oldest = now.saturating_sub(self.limit.window);
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|&at| at < oldest) {
                times.pop_front();
            }
        }
    }
}
