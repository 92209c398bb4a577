//! The stand-in's own record of what ran.

use serde::{Deserialize, Serialize};

/// Body of the answer to `GET /runs`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runs {
    /// In order of arrival.
    pub runs: Vec<Run>,
}

/// One request that reached the stand-in.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Header `x-request-id`.
    pub request_id: String,
    /// Path with query.
    pub path: String,
    /// HTTP method.
    pub method: String,
    /// Header `idempotency-key`.
    pub idempotency_key: String,
    /// Header `x-version`.
    pub version: String,
    /// Bytes of the request body.
    pub bytes: u64,
    /// Milliseconds since the start of the stand-in.
    pub at_ms: u64,
    /// Requests that ran when this one arrived, with this one.
    pub running: u32,
    /// Whether the engine was cold when this one arrived.
    pub cold: bool,
    /// Tokens written to the connection so far.
    pub tokens: u64,
    /// Whether the whole answer was written.
    pub finished: bool,
    /// Whether the request was cancelled.
    pub cancelled: bool,
}
