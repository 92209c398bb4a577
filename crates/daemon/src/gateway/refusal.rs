//! Answers that the gateway gives itself.

use std::fmt;

use bytes::Bytes;
use eelgrasswell_core::{id::RequestId, unit::Millis};
use eelgrasswell_platform::answer;
use http_body_util::{BodyExt, Full};
use hyper::{Response, StatusCode, header::CONTENT_TYPE};
use serde_json::json;

use super::Body;
use crate::{event, telemetry};

/// Why the gateway answers a request itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No configuration or no list of backend servers has been read yet.
    NotReady,
    /// It is not proved that the key is still valid; the proof is so old.
    StaleConfig(Option<Millis>),
    /// No route fits.
    NoRoute,
    /// The key is unknown or missing.
    UnknownKey,
    /// The body is larger than allowed.
    TooLarge,
    /// The body could not be read.
    UnreadableBody,
    /// No backend server can take the request.
    NoBackend(&'static str),
    /// The deadline has passed, or would pass before an answer.
    DeadlineNotRun,
    /// The deadline has passed and the request may have run.
    DeadlineRun,
    /// The request may have run, and no answer came.
    Lost(String),
}

impl Refusal {
    /// Status of the answer. Only `503` says that the request has not run.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::NotReady | Self::StaleConfig(_) | Self::NoBackend(_) | Self::DeadlineNotRun => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::UnreadableBody => StatusCode::BAD_REQUEST,
            Self::DeadlineRun => StatusCode::GATEWAY_TIMEOUT,
            Self::Lost(_) => StatusCode::BAD_GATEWAY,
        }
    }

    /// Short name for logs and metrics.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::NotReady => "not_ready",
            Self::StaleConfig(_) => "stale_config",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::TooLarge => "too_large",
            Self::UnreadableBody => "unreadable_body",
            Self::NoBackend(_) => "no_backend",
            Self::DeadlineNotRun => "deadline_not_run",
            Self::DeadlineRun => "deadline",
            Self::Lost(_) => "lost",
        }
    }

    /// When a caller should come back. A retry reaches another host, so what concerns this host alone takes no time.
    fn retry_after(&self) -> Option<Millis> {
        match self {
            Self::NotReady => Some(Millis(50)),
            Self::StaleConfig(_) => Some(Millis(250)),
            Self::NoBackend(_) => Some(Millis(400)),
            _ => None,
        }
    }

    /// The answer to request `id`.
    pub fn into_response(self, id: &RequestId) -> Response<Body> {
        let status = self.status();
        metrics::counter!(telemetry::REFUSALS, "reason" => self.reason(), "outcome" => outcome(status)).increment(1);
        event!(Info, "refused", request = id, status = status.as_u16(), reason = self.reason(), detail = self);
        let body =
            json!({ "error": { "reason": self.reason(), "outcome": outcome(status), "message": self.to_string() } });
        let body = Full::new(Bytes::from(body.to_string())).map_err(|never| match never {}).boxed_unsync();
        let mut response = Response::new(body);
        *response.status_mut() = status;
        response.headers_mut().insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static("application/json"));
        if let Some(wait) = self.retry_after() {
            answer::set_retry_after(response.headers_mut(), wait);
        }
        response
    }
}

fn outcome(status: StatusCode) -> &'static str {
    if matches!(status, StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT) { "unknown" } else { "not_run" }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotReady => f.write_str("the gateway has not read its configuration yet"),
            Self::StaleConfig(Some(age)) => write!(f, "the configuration was last confirmed {age} ago"),
            Self::StaleConfig(None) => f.write_str("the configuration was never confirmed"),
            Self::NoRoute => f.write_str("no route fits the host and path"),
            Self::UnknownKey => f.write_str("the key is unknown or missing"),
            Self::TooLarge => f.write_str("the body is too large"),
            Self::UnreadableBody => f.write_str("could not read the body"),
            Self::NoBackend(why) => write!(f, "no backend server can take the request: {why}"),
            Self::DeadlineNotRun => f.write_str("the deadline passed before the request could run"),
            Self::DeadlineRun => f.write_str("the deadline passed before an answer came"),
            Self::Lost(why) => write!(f, "the backend server gave no answer: {why}"),
        }
    }
}
