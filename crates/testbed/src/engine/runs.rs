//! The stand-in's record of the requests that reached it.

use serde::{Deserialize, Serialize};

/// Body of the reply to `GET /runs`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runs {
    /// Requests in order of arrival.
    pub runs: Vec<Run>,
}

/// One request that reached the stand-in.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Header `x-request-id`.
    pub request_id: String,
    /// Path and query.
    pub path: String,
    /// HTTP method.
    pub method: String,
    /// Header `idempotency-key`.
    pub idempotency_key: String,
    /// Header `x-version`.
    pub version: String,
    /// Size of the request body, in bytes.
    pub bytes: u64,
    /// Time of arrival, in milliseconds since the start of the stand-in.
    pub at_ms: u64,
    /// Number of running requests when this one arrived, including it.
    pub running: u32,
    /// Whether the engine was cold when this one arrived.
    pub cold: bool,
    /// Number of tokens generated so far.
    pub tokens: u64,
    /// Whether the complete answer was generated.
    pub finished: bool,
    /// Whether the request was cancelled or its answer dropped before it finished.
    pub cancelled: bool,
}
