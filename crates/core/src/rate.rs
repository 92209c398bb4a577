//! Limit on the requests that a cold backend server gets within any second, kept by each router for its own share.

use std::collections::VecDeque;

use crate::unit::Millis;

/// Length of the sliding window. Sends of one second may arrive within less, so the window is longer.
const WINDOW: Millis = Millis(1_200);

/// Sends within the last window.
#[derive(Clone, Debug, Default)]
pub struct RecentSends {
    times: VecDeque<Millis>,
}

impl RecentSends {
    /// Notes a send.
    pub fn record(&mut self, now: Millis) {
        self.trim(now);
        self.times.push_back(now);
    }

    /// Sends within the window.
    pub fn count(&mut self, now: Millis) -> usize {
        self.trim(now);
        self.times.len()
    }

    fn trim(&mut self, now: Millis) {
        while self.times.front().is_some_and(|&at| at + WINDOW <= now) {
            self.times.pop_front();
        }
    }
}

/// Sends to one cold server that this router may make in a window, when `routers` share `per_second`.
pub fn cold_send_limit(per_second: f64, routers: usize) -> usize {
    (per_second / routers.max(1) as f64).floor().max(1.0) as usize
}
