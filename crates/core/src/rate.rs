//! Limit on the requests that a cold backend server gets within any second. Each router enforces its own share.

use std::collections::VecDeque;

use crate::unit::Millis;

/// Length of the sliding window. It is longer than a second because the sends of one second may arrive at the server
/// within a shorter time.
const WINDOW: Millis = Millis(1_200);

/// Times of the sends within the last `WINDOW`.
#[derive(Clone, Debug, Default)]
pub struct RecentSends {
    times: VecDeque<Millis>,
}

impl RecentSends {
    /// Records a send.
    pub fn record(&mut self, now: Millis) {
        self.drop_expired(now);
        self.times.push_back(now);
    }

    /// Number of sends within the window.
    pub fn count(&mut self, now: Millis) -> usize {
        self.drop_expired(now);
        self.times.len()
    }

    fn drop_expired(&mut self, now: Millis) {
        while self.times.front().is_some_and(|&at| at + WINDOW <= now) {
            self.times.pop_front();
        }
    }
}

/// Number of sends to one cold server that this router may make in a window, as one of `routers` that share a limit of
/// `per_second`. At least 1.
pub fn cold_send_limit(per_second: f64, routers: usize) -> usize {
    (per_second / routers.max(1) as f64).floor().max(1.0) as usize
}
