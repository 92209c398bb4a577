//! Limits how often a request is sent. A request that is not idempotent runs at most once, so it is sent again only
//! while it is certain that no earlier send has run.

use crate::{
    not_run::NotRun,
    refusal::{Outcome, Reason, Refusal},
};

/// Limits on the sends of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptLimits {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Maximum number of sends that may run.
    pub max_runs: u32,
    /// Maximum number of sends, including rejected ones.
    pub max_sends: u32,
}

/// Counts the sends of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    sends: u32,
    runs: u32,
}

impl Attempts {
    /// Records a send that has run or may have run.
    pub fn record_run(&mut self) {
        self.sends += 1;
        self.runs += 1;
    }

    /// Records a send that certainly has not run and never will.
    pub fn record_not_run(&mut self, _: &NotRun) {
        self.sends += 1;
    }

    /// Number of sends so far, including rejected ones.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Whether the request has run or may have run.
    pub fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// Outcome to report for a request that has no response.
    pub fn outcome(&self) -> Outcome {
        if self.may_have_run() { Outcome::Unknown } else { Outcome::NotRun }
    }

    /// Refusal of a request that gets no answer: for the reason `refused` if it certainly has not run, otherwise a failure
    /// for the reason `lost` with an unknown outcome.
    pub fn refuse(&self, refused: Reason, lost: Reason) -> Refusal {
        match self.outcome() {
            Outcome::NotRun => Refusal::not_run(refused),
            Outcome::Unknown => Refusal::unknown(lost),
        }
    }

    /// Whether the request may be sent once more.
    pub fn allows_another(&self, limits: AttemptLimits) -> bool {
        let may_run_again = self.runs == 0 || limits.idempotent;
        may_run_again && self.runs < limits.max_runs && self.sends < limits.max_sends
    }
}
