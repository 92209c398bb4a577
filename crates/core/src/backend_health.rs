//! Health of a backend server, from the results of the requests that one router has sent to it.
//!
//! The pattern is a server that fails, slows down or stops responding. It gets fewer requests and is tried again after a pause,
//! so that it is used again soon after it has recovered.

use crate::unit::Millis;

/// Time for which a server is avoided after the first failure to reach it; doubles with each further failure in a row.
const DOWN_BASE: Millis = Millis(400);
/// Longest time for which a server is avoided after failures to reach it.
const DOWN_MAX: Millis = Millis(3_000);
/// Weight of the newest sample in the moving averages of the failure rate and the slowness of a server.
const AVERAGE_WEIGHT: f64 = 0.12;
/// Average failure rate above which a server is suspect: it gets only probes while healthy servers are available.
const SUSPECT_FAILURE_RATE: f64 = 0.25;
/// Interval at which a suspect server gets one request, as a probe of whether it has recovered.
const PROBE_INTERVAL: Millis = Millis(1_500);

/// Result of a send, as far as it concerns the health of the server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The server responded.
    Answered {
        /// Time to the start of the response, as a multiple of the expected time for the request.
        slowness: f64,
    },
    /// The server responded with a failure.
    Failed,
    /// The server rejected the request without running it.
    Refused,
    /// The server has not responded for this multiple of the expected time, and the request was given up.
    Slow {
        /// Time waited, as a multiple of the expected time for the request.
        slowness: f64,
    },
    /// The server could not be reached, or broke off the connection.
    Unreachable,
}

/// Health of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    /// Time until which the server is avoided after failures to reach it.
    down_until: Millis,
    /// Number of failures to reach the server since its last successful answer.
    consecutive_failures: u32,
    /// Moving average of failures, from 0 to 1.
    failure_rate: f64,
    /// Moving average of the time to the start of a response, as a multiple of the expected time.
    slowness: Option<f64>,
    /// Time of the last request to the server while it was suspect.
    last_probe: Millis,
}

impl Health {
    /// Whether the server may get a request, as one in use or as a probe.
    pub fn is_usable(&self, now: Millis) -> bool {
        let is_suspect = self.failure_rate > SUSPECT_FAILURE_RATE;
        now >= self.down_until && (!is_suspect || now >= self.last_probe + PROBE_INTERVAL)
    }

    /// Whether the server gets more than probes.
    pub fn is_sound(&self, now: Millis) -> bool {
        now >= self.down_until && self.failure_rate <= SUSPECT_FAILURE_RATE
    }

    /// Records that a request is sent to the server.
    pub fn record_probe(&mut self, now: Millis) {
        if self.failure_rate > SUSPECT_FAILURE_RATE {
            self.last_probe = now;
        }
    }

    /// Records the result of a send.
    pub fn record_outcome(&mut self, now: Millis, outcome: Outcome) {
        let failure = match outcome {
            Outcome::Answered { slowness } => {
                self.consecutive_failures = 0;
                self.down_until = Millis::ZERO;
                self.record_slowness(slowness);
                0.0
            }
            Outcome::Slow { slowness } => {
                self.slowness.get_or_insert(1.0);
                return self.record_slowness(slowness);
            }
            Outcome::Refused => return,
            Outcome::Failed => 1.0,
            Outcome::Unreachable => {
                let pause = DOWN_BASE.0 << self.consecutive_failures.min(8);
                self.consecutive_failures += 1;
                self.down_until = now + Millis(pause).min(DOWN_MAX);
                1.0
            }
        };
        self.failure_rate += AVERAGE_WEIGHT * (failure - self.failure_rate);
    }

    /// Moving average of the time to the start of a response, as a multiple of the expected time; none before the first one.
    pub fn slowness(&self) -> Option<f64> {
        self.slowness
    }

    fn record_slowness(&mut self, slowness: f64) {
        let average = self.slowness.unwrap_or(slowness);
        self.slowness = Some(average + AVERAGE_WEIGHT * (slowness - average));
    }
}
