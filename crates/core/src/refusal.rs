//! Reasons why a request is refused or fails, and what is known about its execution.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::unit::Millis;

/// Refusal or failure of a request, as reported to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request was refused or failed.
    pub reason: Reason,
    /// What is known about its execution.
    pub outcome: Outcome,
    /// Time after which a retry makes sense; `None` if none is advised.
    pub retry_after: Option<Millis>,
}

impl Refusal {
    /// Refusal of a request that did not run: no byte of it has reached a backend server, and none will.
    pub fn not_run(reason: Reason) -> Self {
        Self { reason, outcome: Outcome::NotRun, retry_after: None }
    }

    /// Failure of a request that may have run.
    pub fn unknown(reason: Reason) -> Self {
        Self { reason, outcome: Outcome::Unknown, retry_after: None }
    }

    /// Sets the time after which a retry makes sense.
    pub fn retry_after(self, after: Millis) -> Self {
        Self { retry_after: Some(after), ..self }
    }
}

/// What is known about the execution of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No byte of the request has reached a backend server, and none will.
    NotRun,
    /// The request may have run, in part or completely.
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
        /// Reason of a refusal or failure. Its text is also the label of the counters.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Reason {
            $($(#[$doc])* $name,)*
        }

        impl Reason {
            /// All reasons.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Text of the reason in messages, counter labels and logs.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }

            /// HTTP status of the response to the caller if the request has not run.
            pub(crate) fn http_status(self) -> u16 {
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
    /// Requests with a part of this request's prompt crash the backend servers that answer them.
    CrashesServers = "crashes_servers", 503;
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
    /// The session id is forged, altered or belongs to another customer.
    SessionInvalid = "session_invalid", 403;
    /// The version that the session is pinned to was withdrawn.
    VersionWithdrawn = "version_withdrawn", 410;
    /// No version of the model is open to new work.
    NoVersion = "no_version", 503;
    /// A non-idempotent request came without an idempotency key.
    KeyMissing = "key_missing", 400;
    /// The idempotency key was already used for a different request.
    KeyReused = "key_reused", 422;
    /// A request with this idempotency key is running.
    ClaimPending = "claim_pending", 409;
    /// A claim cannot be made durable at present.
    ClaimsUnavailable = "claims_unavailable", 503;
    /// The customer's spend cap is used up.
    BudgetExhausted = "budget_exhausted", 402;
    /// No share of the customer's spend cap can be drawn at present.
    BudgetUnavailable = "budget_unavailable", 503;
    /// The deadline passed before the request could be sent anywhere, so the caller may retry.
    Expired = "expired", 503;
    /// The deadline cannot be met.
    Deadline = "deadline", 504;
    /// All backend servers that could serve the request are at their limits.
    Overloaded = "overloaded", 503;
    /// The backend server is in its cold start and at its limit.
    Cold = "cold", 503;
    /// The backend server's memory for tokens, or the gateway's memory for requests, is used up.
    MemoryFull = "memory_full", 503;
    /// The customer or the whole process has too many unread answer bytes in memory.
    SlowReader = "slow_reader", 503;
    /// The failure domain is out of service.
    DomainOut = "domain_out", 503;
    /// The backend server is being drained, or the process is about to stop.
    Leaving = "leaving", 503;
    /// The version is not loaded at the backend server.
    NotLoaded = "not_loaded", 503;
    /// No backend server can be reached.
    NoBackend = "no_backend", 503;
    /// The process has not yet read its configuration or the list of backend servers.
    NotReady = "not_ready", 503;
    /// The request id was barred from running.
    Barred = "barred", 409;
    /// The configuration of one of the two processes involved is too old.
    StaleConfig = "stale_config", 503;
    /// The backend server failed.
    BackendError = "backend_error", 502;
    /// The connection to the backend server or agent timed out or broke.
    ConnectionLost = "connection_lost", 502;
    /// The answer is no longer stored.
    AnswerGone = "answer_gone", 410;
    /// The caller disconnected.
    Cancelled = "cancelled", 499;
    /// An internal error.
    Internal = "internal", 500;
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Error for a text that is not the text of any [`Reason`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownReason;

impl fmt::Display for UnknownReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("unknown refusal reason")
    }
}

impl std::error::Error for UnknownReason {}
