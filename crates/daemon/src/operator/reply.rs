//! Replies to operators: JSON bodies and typed errors.

use std::fmt;

use bytes::Bytes;
use eelgrasswell_core::id::Revision;
use eelgrasswell_manifest::check::Problem;
use http_body_util::Full;
use hyper::{Response, StatusCode, header};
use serde::Serialize;
use serde_json::json;

/// A response to an operator.
pub type Reply = Response<Full<Bytes>>;

/// A request that gets no result.
#[derive(Clone, Debug, PartialEq)]
pub struct Failure {
    /// HTTP status.
    pub status: StatusCode,
    /// Stable name of the error.
    pub reason: &'static str,
    /// What could not be done, and why.
    pub message: String,
    /// Current revision of the manifest, for a lost race.
    pub manifest_revision: Option<Revision>,
    /// What is wrong in a manifest.
    pub problems: Vec<Problem>,
}

impl Failure {
    /// A failure without further fields.
    pub fn new(status: StatusCode, reason: &'static str, message: impl Into<String>) -> Self {
        Self { status, reason, message: message.into(), manifest_revision: None, problems: Vec::new() }
    }

    /// The request itself is wrong.
    pub fn bad_request(message: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, "bad_request", message)
    }

    /// The request names something that does not exist.
    pub fn not_found(message: impl Into<String>) -> Self {
        Self::new(StatusCode::NOT_FOUND, "not_found", message)
    }

    /// The request does not fit the present state.
    pub fn wrong_state(message: impl Into<String>) -> Self {
        Self::new(StatusCode::UNPROCESSABLE_ENTITY, "wrong_state", message)
    }

    /// The manifest has problems.
    pub fn invalid(problems: Vec<Problem>) -> Self {
        let message = format!("could not accept the manifest: {} problems", problems.len());
        Self { problems, ..Self::new(StatusCode::UNPROCESSABLE_ENTITY, "invalid_manifest", message) }
    }

    /// Another change came first.
    pub fn conflict(manifest_revision: Revision) -> Self {
        let message = format!("could not change the configuration: the manifest is at revision {manifest_revision}");
        Self { manifest_revision: Some(manifest_revision), ..Self::new(StatusCode::CONFLICT, "conflict", message) }
    }

    /// The reply that an operator gets.
    pub fn reply(&self) -> Reply {
        let mut error = json!({"reason": self.reason, "message": self.message});
        if let Some(revision) = self.manifest_revision {
            error["manifest_revision"] = revision.0.into();
        }
        if !self.problems.is_empty() {
            error["problems"] = json!(self.problems);
        }
        json(self.status, &json!({"error": error}))
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Failure {}

/// A JSON reply.
pub fn json(status: StatusCode, body: &impl Serialize) -> Reply {
    let body = serde_json::to_vec(body).expect("replies serialise to JSON");
    with_type(status, "application/json", body)
}

/// A plain text reply in the format of the metrics.
pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    with_type(status, "text/plain; version=0.0.4; charset=utf-8", body)
}

fn with_type(status: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = status;
    reply.headers_mut().insert(header::CONTENT_TYPE, header::HeaderValue::from_static(content_type));
    reply
}
