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

/// Error reply to a request that failed.
#[derive(Clone, Debug, PartialEq)]
pub struct Failure {
    /// HTTP status.
    pub status: StatusCode,
    /// Machine-readable reason, which stays the same across releases.
    pub reason: &'static str,
    /// Human-readable message: what could not be done, and why.
    pub message: String,
    /// Current revision of the manifest, if the request conflicts with another change.
    pub manifest_revision: Option<Revision>,
    /// Problems of an invalid manifest.
    pub problems: Vec<Problem>,
}

impl Failure {
    /// Creates a failure without a manifest revision and problems.
    pub fn new(status: StatusCode, reason: &'static str, message: impl Into<String>) -> Self {
        Self { status, reason, message: message.into(), manifest_revision: None, problems: Vec::new() }
    }

    /// The request is malformed.
    pub fn bad_request(message: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, "bad_request", message)
    }

    /// The request names something that does not exist.
    pub fn not_found(message: impl Into<String>) -> Self {
        Self::new(StatusCode::NOT_FOUND, "not_found", message)
    }

    /// The request is not possible in the current state.
    pub fn wrong_state(message: impl Into<String>) -> Self {
        Self::new(StatusCode::UNPROCESSABLE_ENTITY, "wrong_state", message)
    }

    /// The manifest is invalid.
    pub fn invalid(problems: Vec<Problem>) -> Self {
        let message = format!("could not accept the manifest: {} problems", problems.len());
        Self { problems, ..Self::new(StatusCode::UNPROCESSABLE_ENTITY, "invalid_manifest", message) }
    }

    /// The manifest was changed since the expected revision.
    pub fn conflict(manifest_revision: Revision) -> Self {
        let message = format!("could not change the configuration: the manifest is at revision {manifest_revision}");
        Self { manifest_revision: Some(manifest_revision), ..Self::new(StatusCode::CONFLICT, "conflict", message) }
    }

    /// Converts the failure to the reply that is sent to the operator.
    pub fn to_reply(&self) -> Reply {
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

/// Creates a JSON reply.
pub fn json(status: StatusCode, body: &impl Serialize) -> Reply {
    let body = serde_json::to_vec(body).expect("replies serialise to JSON");
    with_content_type(status, "application/json", body)
}

/// Creates a plain text reply with the content type of Prometheus metrics.
pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    with_content_type(status, "text/plain; version=0.0.4; charset=utf-8", body)
}

fn with_content_type(status: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = status;
    reply.headers_mut().insert(header::CONTENT_TYPE, header::HeaderValue::from_static(content_type));
    reply
}
