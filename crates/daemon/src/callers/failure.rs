//! Error responses for callers.

use std::fmt::Display;

use eelgrasswell_core::{
    caller_status::CallerStatus,
    id::RequestId,
    refusal::{Outcome, Reason, Refusal},
    unit::Millis,
};
use hyper::{
    Response,
    header::{CONTENT_TYPE, RETRY_AFTER},
};
use serde::Serialize;

use super::body::{Body, full};
use crate::{event, telemetry};

/// Error that a caller gets in place of an answer.
#[derive(Clone, Debug)]
pub struct Failure {
    /// Reason, outcome, and time after which to retry.
    pub refusal: Refusal,
    /// Human-readable description of the error.
    pub message: String,
    /// Id of the last attempt; none if it is the id of the request.
    pub request_id: Option<RequestId>,
}

/// Body of an error response.
#[derive(Serialize)]
struct Envelope<'a> {
    error: Error<'a>,
}

#[derive(Serialize)]
struct Error<'a> {
    reason: &'a str,
    outcome: Outcome,
    message: &'a str,
    request_id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl Failure {
    /// A failure of a request that was not run: no byte of it reached a backend server.
    pub fn not_run(reason: Reason, message: impl Into<String>) -> Self {
        Self { refusal: Refusal::not_run(reason), message: message.into(), request_id: None }
    }

    /// A failure of a request that may have run.
    pub fn unknown(reason: Reason, message: impl Into<String>) -> Self {
        Self { refusal: Refusal::unknown(reason), message: message.into(), request_id: None }
    }

    /// Sets the id of the attempt.
    pub fn with_request_id(self, request_id: &RequestId) -> Self {
        Self { request_id: Some(request_id.clone()), ..self }
    }

    /// Replaces the message.
    pub fn with_message(self, message: String) -> Self {
        Self { message, ..self }
    }

    /// Sets the time after which a retry makes sense.
    pub fn retry_after(self, after: Millis) -> Self {
        Self { refusal: self.refusal.retry_after(after), ..self }
    }

    /// Makes the error response, and counts and logs the failure. `id` is used as the request id if no id of an attempt
    /// is set.
    pub fn into_response(self, id: &dyn Display) -> Response<Body> {
        let status = CallerStatus::of_refusal(&self.refusal);
        let Refusal { reason, outcome, retry_after } = self.refusal;
        metrics::counter!(
            telemetry::REFUSALS, "reason" => reason.as_str(), "outcome" => outcome.to_string()
        )
        .increment(1);
        let request_id = self.request_id.map_or_else(|| id.to_string(), |id| id.to_string());
        event!(
            Info,
            "refused",
            request = request_id,
            status = status,
            reason = reason,
            outcome = outcome,
            detail = self.message
        );
        let error = Error {
            reason: reason.as_str(),
            outcome,
            message: &self.message,
            request_id: &request_id,
            retry_after_ms: retry_after.map(|after| after.0),
        };
        let json = serde_json::to_vec(&Envelope { error }).expect("an error serialises to JSON");
        let mut response = Response::builder()
            .status(status.as_u16())
            .header(CONTENT_TYPE, "application/json")
            .header("x-request-id", request_id.as_str());
        if let Some(after) = retry_after {
            response = response.header(RETRY_AFTER, after.0.div_ceil(1_000));
        }
        response.body(full(json)).expect("an error makes a valid response")
    }
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        let message = format!("the request was refused: {}", refusal.reason);
        Self { refusal, message, request_id: None }
    }
}
