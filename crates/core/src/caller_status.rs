//! Status of a response to a caller, which promises no more than is known.
//!
//! Callers take some statuses as the promise that their request has not run and never will, and send even a request that
//! may run only once again. The pattern is a server that runs a request, fails and says so with one of these statuses:
//! whoever passes it on makes callers book twice. A status can therefore only be made from the status of an answer, which
//! must not be one of them because a server that answers has run the request, or from a refusal with its outcome.

use std::fmt;

use crate::refusal::{Outcome, Refusal};

/// Statuses that promise that the request has not run and never will: request timeout, misdirected request, too many
/// requests, service unavailable.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Smallest and largest status that HTTP defines.
const MIN_STATUS: u16 = 100;
const MAX_STATUS: u16 = 599;
/// Status in place of one that would promise too much (bad gateway).
const UNKNOWN_OUTCOME: u16 = 502;

/// HTTP status of a response to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerStatus(u16);

impl CallerStatus {
    /// Whether HTTP defines the class of `status`. A caller can't read any other status.
    pub fn is_defined(status: u16) -> bool {
        (MIN_STATUS..=MAX_STATUS).contains(&status)
    }

    /// Status of the answer of a server that has run the request; none if it promises that the request has not run, or is
    /// undefined.
    pub fn of_answer(status: u16) -> Option<Self> {
        (Self::is_defined(status) && !PROMISES.contains(&status)).then_some(Self(status))
    }

    /// The same, with 502 in place of a status that can't be passed on.
    pub fn of_answer_or_unknown(status: u16) -> Self {
        Self::of_answer(status).unwrap_or(Self(UNKNOWN_OUTCOME))
    }

    /// Status of the response with a refusal.
    pub fn of_refusal(refusal: &Refusal) -> Self {
        let status = refusal.reason.http_status();
        match refusal.outcome {
            Outcome::NotRun => Self(status),
            Outcome::Unknown => Self::of_answer_or_unknown(status),
        }
    }

    /// The number.
    pub fn as_u16(self) -> u16 {
        self.0
    }

    /// Whether the request succeeded (2xx).
    pub fn is_success(self) -> bool {
        (200..300).contains(&self.0)
    }

    /// Whether the server failed (5xx).
    pub fn is_server_error(self) -> bool {
        (500..600).contains(&self.0)
    }
}

impl fmt::Display for CallerStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
