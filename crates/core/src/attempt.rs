//! How often a request may be sent. A request that is not idempotent runs at most once, so it is sent again only while it
//! is proved that no earlier send has run.

use crate::refusal::Outcome;

/// Bounds on the sends of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptLimits {
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Most sends that may run.
    pub max_runs: u32,
    /// Most sends, refused ones included.
    pub max_sends: u32,
}

/// Sends of one request so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    sends: u32,
    runs: u32,
}

impl Attempts {
    /// Takes in a send that has run, or may have.
    pub fn record_run(&mut self) {
        self.sends += 1;
        self.runs += 1;
    }

    /// Takes in a send of which it is proved that it has not run and never will.
    pub fn record_not_run(&mut self) {
        self.sends += 1;
    }

    /// Sends so far, refused ones included.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Whether the request has run, or may have.
    pub fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// What is known of the request while it has no answer.
    pub fn outcome(&self) -> Outcome {
        if self.may_have_run() { Outcome::Unknown } else { Outcome::NotRun }
    }

    /// Whether the request may be sent once more.
    pub fn allows_another(&self, limits: AttemptLimits) -> bool {
        let may_run_again = self.runs == 0 || limits.idempotent;
        may_run_again && self.runs < limits.max_runs && self.sends < limits.max_sends
    }
}
