//! Bounds on sends beyond the first of each request, so that repeats do not multiply the load of a service in trouble.
//!
//! The bound holds for all routers together. Each keeps to its own share without asking: a share of the requests that
//! it has seen itself, and an equal part of the fixed allowance.

use std::collections::VecDeque;

use crate::unit::Millis;

/// Part of the bound that is used. Routers count a send when it leaves, the bound counts it when it arrives.
const USED_SHARE: f64 = 0.8;
/// Part of the allowance that escalations leave to repeats after failures, which callers need more.
const KEPT_FOR_FAILURES: f64 = 0.5;

/// The bound, over a sliding window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatLimit {
    /// Sends beyond the first for each request.
    pub ratio: f64,
    /// Sends beyond the first at any request rate, for all routers together.
    pub slack: f64,
    /// Length of the window.
    pub window: Millis,
}

/// Why a request is sent once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A larger model is asked.
    Escalation,
    /// The send before has failed or was refused.
    Failure,
}

/// Requests and repeats of one service at this router.
#[derive(Debug)]
pub struct RepeatBudget {
    bound: RepeatLimit,
    requests: VecDeque<Millis>,
    repeats: VecDeque<Millis>,
}

impl RepeatBudget {
    /// Starts with no request seen.
    pub fn new(bound: RepeatLimit) -> Self {
        Self { bound, requests: VecDeque::new(), repeats: VecDeque::new() }
    }

    /// Notes a request of a caller.
    pub fn record_request(&mut self, now: Millis) {
        self.trim(now);
        self.requests.push_back(now);
    }

    /// Takes one repeat from the budget that this router has among `routers`; false when it is used up.
    pub fn try_acquire(&mut self, now: Millis, purpose: Purpose, routers: usize) -> bool {
        self.trim(now);
        let slack = self.bound.slack * USED_SHARE / routers.max(1) as f64;
        let slack = match purpose {
            Purpose::Escalation => slack * (1.0 - KEPT_FOR_FAILURES),
            Purpose::Failure => slack,
        };
        let allowed = self.requests.len() as f64 * self.bound.ratio * USED_SHARE + slack;
        if (self.repeats.len() + 1) as f64 > allowed {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    fn trim(&mut self, now: Millis) {
        let oldest = now.saturating_sub(self.bound.window);
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|&at| at < oldest) {
                times.pop_front();
            }
        }
    }
}
