//! Reasons for which a request is refused or fails, and what is known of its outcome.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::unit::Millis;

/// Answer to a request that did not get its result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: Reason,
    /// What is known about its execution.
    pub outcome: Outcome,
    /// When another attempt makes sense, if it does.
    pub retry_after: Option<Millis>,
}

impl Refusal {
    /// A refusal of a request of which no byte reached a backend server.
    pub fn not_run(reason: Reason) -> Self {
        Self { reason, outcome: Outcome::NotRun, retry_after: None }
    }

    /// A failure of a request that may have run.
    pub fn unknown(reason: Reason) -> Self {
        Self { reason, outcome: Outcome::Unknown, retry_after: None }
    }

    /// Adds the time after which another attempt makes sense.
    pub fn retry_after(self, after: Millis) -> Self {
        Self { retry_after: Some(after), ..self }
    }
}

/// What is known about the execution of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No byte of it reached a backend server, and none will.
    NotRun,
    /// It may have run, in part or whole.
    Unknown,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        })
    }
}

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $text:literal, $status:literal;)*) => {
        /// Reason for a refusal or failure; its text is the label of the counters.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Reason {
            $($(#[$doc])* $name,)*
        }

        impl Reason {
            /// All reasons.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// The reason as it stands in messages, counters and logs.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }

            /// The HTTP status that a caller gets.
            pub fn http_status(self) -> u16 {
                match self {
                    $(Self::$name => $status,)*
                }
            }
        }

        impl FromStr for Reason {
            type Err = UnknownReason;

            fn from_str(s: &str) -> Result<Self, UnknownReason> {
                match s {
                    $($text => Ok(Self::$name),)*
                    _ => Err(UnknownReason),
                }
            }
        }
    };
}

reasons! {
    /// The API key belongs to no customer.
    Unauthenticated = "unauthenticated", 401;
    /// The request could not be parsed.
    BadRequest = "bad_request", 400;
    /// The body or the headers are larger than the limit.
    TooLarge = "too_large", 413;
    /// No such model, class, service or path.
    NotFound = "not_found", 404;
    /// The customer may not use the model, version or service.
    NotAllowed = "not_allowed", 403;
    /// The session id is forged, altered, or of another customer.
    SessionInvalid = "session_invalid", 403;
    /// The version that the session is pinned to was withdrawn.
    VersionWithdrawn = "version_withdrawn", 410;
    /// No version of the model is open to new work.
    NoVersion = "no_version", 503;
    /// A non-idempotent request came without an idempotency key.
    KeyMissing = "key_missing", 400;
    /// The idempotency key was used for another request.
    KeyReused = "key_reused", 422;
    /// The request with this key is running.
    ClaimPending = "claim_pending", 409;
    /// A claim cannot be made durable now.
    ClaimsUnavailable = "claims_unavailable", 503;
    /// The customer's spend cap is used up.
    BudgetExhausted = "budget_exhausted", 402;
    /// The customer's share of the spend cap cannot be drawn now.
    BudgetUnavailable = "budget_unavailable", 503;
    /// The deadline has passed before the request could be sent anywhere, so that a caller may try again.
    Expired = "expired", 503;
    /// The deadline cannot be met.
    Deadline = "deadline", 504;
    /// All backend servers that could serve it are at their limits.
    Overloaded = "overloaded", 503;
    /// The backend server is in its cold start and at its limit.
    Cold = "cold", 503;
    /// The backend server's memory for tokens is used up.
    MemoryFull = "memory_full", 503;
    /// Too many unread answer bytes are held for the customer or the process.
    SlowReader = "slow_reader", 503;
    /// The failure domain is out of service.
    DomainOut = "domain_out", 503;
    /// The backend server or the process is leaving.
    Leaving = "leaving", 503;
    /// The version is not loaded at the backend server.
    NotLoaded = "not_loaded", 503;
    /// No backend server can be reached.
    NoBackend = "no_backend", 503;
    /// The process has not read its configuration, or the list of backend servers, yet.
    NotReady = "not_ready", 503;
    /// The request id was barred from running.
    Barred = "barred", 409;
    /// The configuration of one side is too old.
    StaleConfig = "stale_config", 503;
    /// The backend server failed.
    BackendError = "backend_error", 502;
    /// The connection to the backend server or agent went silent or broke.
    ConnectionLost = "connection_lost", 502;
    /// The answer is no longer held.
    AnswerGone = "answer_gone", 410;
    /// The caller went away.
    Cancelled = "cancelled", 499;
    /// An internal error.
    Internal = "internal", 500;
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The text names no reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownReason;

impl fmt::Display for UnknownReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("unknown refusal reason")
    }
}

impl std::error::Error for UnknownReason {}
