//! Runs a request: chooses the model and decides whether the request is sent again after a failure.

mod failures;

use std::{sync::Arc, time::Duration};

use eelgrasswell_core::{
    attempt::{AttemptLimits, Attempts},
    backend::Backend,
    byte_budget::Use,
    caller_status::CallerStatus,
    escalation::EscalationSteps,
    id::{BackendId, ModelName},
    latency,
    repeat::Purpose,
    unit::Millis,
};
use eelgrasswell_platform::request::ModelSelection;
use hyper::{HeaderMap, Response, StatusCode, header::CONTENT_LENGTH};
use tokio::time::{Instant, sleep, timeout_at};

use self::failures::lost_failure;
use super::{
    Gateway,
    admission::Permit,
    attempt::{Answer, Attempt, SendFailure, SendGuard},
    memory::{BufferedAnswer, Share},
    relay::{Relay, StreamHead},
    request::{Call, SessionDigest},
    second_send::{self, Other},
    session_use::SessionUse,
};
use crate::{
    callers::{Body, failure::Failure, headers},
    event, telemetry,
};

/// Maximum number of sends of one request, including those that a backend server refused.
const MAX_SENDS: u32 = 5;
/// A request is sent again only if more than this time is left until its deadline.
const MIN_REPEAT_TIME: Duration = Duration::from_millis(60);
/// Pause before a request is tried again for which all servers were cold, and before the next attempt to resume a stream for
/// which no server was available.
const COLD_RETRY_INTERVAL: Duration = Duration::from_millis(40);
/// Maximum size of an answer that is buffered whole before it is passed on, in bytes.
const MAX_BUFFERED_BYTES: usize = 1 << 20;

/// A request in progress.
pub struct Execution {
    /// The gateway.
    pub gateway: Gateway,
    /// The request.
    pub call: Arc<Call>,
    escalation_steps: EscalationSteps,
    /// Index of the model in use among `escalation_steps`.
    step: usize,
    /// Servers that the request was sent to. Cleared on escalation and when all servers have been tried.
    tried: Vec<BackendId>,
    attempts: Attempts,
    /// Whether a send has failed.
    has_failed: bool,
    /// Whether the request has got a second send because of a slow answer.
    second_sent: bool,
    /// Whether the request was counted for its customer.
    is_counted: bool,
    /// Admission of the request; none if requests are not held back.
    permit: Option<Permit>,
    /// Use of the session until the answer's body holds it.
    session: Option<SessionUse>,
}

impl Execution {
    /// Prepares to run `call` and counts it in the repeat budget.
    pub fn new(gateway: Gateway, call: Call) -> Self {
        gateway.record_request(&call.service);
        let session = SessionUse::begin(&gateway, &call);
        let escalation_steps = EscalationSteps::new(call.models());
        Self {
            gateway,
            call: Arc::new(call),
            escalation_steps,
            step: 0,
            tried: Vec::new(),
            attempts: Attempts::default(),
            has_failed: false,
            second_sent: false,
            is_counted: false,
            permit: None,
            session: Some(session),
        }
    }

    /// Runs the request until the answer for the caller begins.
    pub async fn start(mut self) -> Result<Response<Body>, Failure> {
        if let Some(admission) = &self.gateway.admission {
            self.permit = Some(admission.admit(&self.call, self.expected_latency()).await?);
        }
        let answer = loop {
            match self.attempt(None).await {
                Ok(answer) if answer.status.is_server_error() && self.try_acquire_repeat(Purpose::Failure) => {
                    self.log_repeat(&answer);
                    tokio::spawn(answer.drain());
                }
                Ok(answer) => break answer,
                Err(failure) => self.handle_failure(failure).await?,
            }
        };
        if !answer.status.is_server_error() && self.should_escalate(&answer) {
            return self.escalate(answer).await;
        }
        self.respond(answer).await
    }

    /// Sends the request to the larger model. The smaller model's answer is kept until the larger model's answer
    /// begins, and is passed on if the larger model fails.
    async fn escalate(mut self, smaller: Answer) -> Result<Response<Body>, Failure> {
        event!(Info, "escalated", request = self.call.id, confidence = smaller.meta.confidence.unwrap_or(0));
        self.step += 1;
        self.tried.clear();
        loop {
            match self.attempt(None).await {
                Ok(answer) if !answer.status.is_server_error() => {
                    tokio::spawn(smaller.drain());
                    return self.respond(answer).await;
                }
                Ok(answer) => {
                    let error = format!("failed at {} with {}", answer.guard.backend.id, answer.status);
                    event!(Info, "send_ended", request = self.call.id, error = error);
                    break;
                }
                Err(failure) => {
                    event!(Info, "send_ended", request = self.call.id, error = failure);
                    if !matches!(failure, SendFailure::NotRun { .. }) || !self.try_acquire_repeat(Purpose::Escalation) {
                        break;
                    }
                }
            }
        }
        self.step -= 1;
        self.respond(smaller).await
    }

    /// Resumes a stream that began with `head` at another server after the event `last_id`; none if no server can resume it.
    /// With `repeat_acquired`, the repeat for the first send has already been acquired from the budget.
    pub async fn resume(&mut self, head: &StreamHead, last_id: Option<&str>, repeat_acquired: bool) -> Option<Answer> {
        let mut repeat_acquired = repeat_acquired;
        while std::mem::take(&mut repeat_acquired) || self.try_acquire_repeat(Purpose::Failure) {
            match self.attempt(last_id).await {
                Ok(answer) if head.is_continued_by(&answer) => return Some(answer),
                Ok(answer) => {
                    event!(Info, "resume_failed", request = self.call.id, status = answer.status.as_u16());
                    tokio::spawn(answer.drain());
                }
                Err(failure) => {
                    event!(Info, "resume_failed", request = self.call.id, error = failure);
                    match failure {
                        SendFailure::Blocked(_) => return None,
                        // Nothing was sent, so the repeat is still there.
                        SendFailure::Unavailable(_) if self.call.remaining() > MIN_REPEAT_TIME => {
                            sleep(COLD_RETRY_INTERVAL).await;
                            repeat_acquired = true;
                        }
                        SendFailure::Unavailable(_) => return None,
                        SendFailure::NotRun { .. } | SendFailure::Failed { .. } | SendFailure::Lost { .. } => {}
                    }
                }
            }
        }
        None
    }

    /// Counts the pace of the answer of `backend`, in milliseconds per byte, for its version.
    pub fn record_pace(&self, backend: &Backend, pace: f64) {
        let model = self.model().unwrap_or_default();
        let on_trial = self.gateway.is_on_trial(&backend.service, &backend.version);
        self.gateway.response_stats.record_pace(&backend.service, &backend.version, &model, pace, on_trial);
    }

    /// Whether the request may be sent again. If so, this acquires the repeat from the budget.
    pub fn try_acquire_repeat(&self, purpose: Purpose) -> bool {
        self.attempts.allows_another(self.limits())
            && self.call.remaining() > MIN_REPEAT_TIME
            && self.gateway.try_acquire_repeat(&self.call.service, purpose)
    }

    fn limits(&self) -> AttemptLimits {
        let route = &self.call.route;
        AttemptLimits { idempotent: route.kind.is_idempotent(), max_runs: route.max_attempts, max_sends: MAX_SENDS }
    }

    /// Logs that the failed answer is not passed on because the request is repeated.
    fn log_repeat(&self, failed: &Answer) {
        event!(
            Info,
            "repeated",
            request = self.call.id,
            reason = "failed",
            status = failed.status.as_u16(),
            backend = failed.guard.backend.id
        );
    }

    fn log_answer(&self, answer: &Answer) {
        let call = &self.call;
        let backend = &answer.guard.backend;
        let elapsed = Millis::from(call.arrived.elapsed());
        let kind = if call.route.kind.is_stream() { "stream" } else { "plain" };
        metrics::histogram!(telemetry::FIRST_BYTE, "kind" => kind).record(elapsed.0 as f64 / 1_000.0);
        metrics::counter!(telemetry::ANSWERS, "kind" => kind).increment(1);
        event!(
            Info,
            "answered",
            request = call.id,
            session = SessionDigest(call.session),
            route = call.route.name,
            status = answer.status.as_u16(),
            after = elapsed,
            backend = backend.id,
            version = backend.version,
            model = self.model().unwrap_or_default(),
            confidence = answer.meta.confidence.map_or_else(|| "none".into(), |confidence| confidence.to_string()),
            sends = self.attempts.sends(),
            config = call.config.version,
            config_age = self.gateway.config_age().unwrap_or_default()
        );
    }

    async fn attempt(&mut self, resume_after: Option<&str>) -> Result<Answer, SendFailure> {
        let model = self.model();
        let rule = self.gateway.version_rule(&self.call);
        let attempt = Attempt {
            call: &self.call,
            model: model.as_ref(),
            resume_after,
            rule: &rule,
            tried: &self.tried,
            head_deadline: self.head_deadline(),
            overdue_after: self.overdue_after(),
            has_failed: self.has_failed,
            spare_only: false,
        };
        let sends = second_send::run(self, attempt).await;
        if let Some(other) = sends.other {
            self.record_other(other);
        }
        self.record_send(&sends.result);
        sends.result
    }

    /// Records the send of a pair that did not give the result.
    fn record_other(&mut self, other: Other) {
        self.second_sent = true;
        match other {
            Other::Cancelled(backend) => {
                self.attempts.record_run();
                self.tried.push(backend.id.clone());
            }
            Other::Ended(result) => {
                self.record_send(&result);
                match *result {
                    Ok(answer) => drop(tokio::spawn(answer.drain())),
                    Err(failure) => event!(Info, "send_ended", request = self.call.id, error = failure),
                }
            }
        }
    }

    fn record_send(&mut self, result: &Result<Answer, SendFailure>) {
        if matches!(result, Ok(_) | Err(SendFailure::Failed { .. })) {
            self.record_usage();
        }
        if let Ok(Answer { guard: SendGuard { backend, .. }, .. }) | Err(SendFailure::Failed { backend, .. }) = result {
            self.gateway.record_run(&self.call, &backend.version);
        }
        match result {
            Ok(answer) => {
                self.attempts.record_run();
                self.has_failed |= answer.status.is_server_error();
                self.tried.push(answer.guard.backend.id.clone());
            }
            Err(SendFailure::Failed { backend, .. } | SendFailure::Lost { backend, .. }) => {
                self.attempts.record_run();
                self.has_failed = true;
                self.tried.push(backend.id.clone());
            }
            Err(SendFailure::NotRun { backend, proof, .. }) => {
                self.attempts.record_not_run(proof);
                self.tried.push(backend.id.clone());
            }
            Err(SendFailure::Unavailable(_) | SendFailure::Blocked(_)) => {}
        }
    }

    /// Whether the request may be sent to another server while a send waits for its answer.
    pub fn allows_second_send(&self) -> bool {
        !self.second_sent && self.after_another_run().allows_another(self.limits())
    }

    /// Acquires the repeat for a second send from the budget.
    pub fn try_acquire_second_send(&self) -> bool {
        self.call.remaining() > MIN_REPEAT_TIME
            && self.gateway.try_acquire_repeat(&self.call.service, Purpose::SlowAnswer)
    }

    /// Deadline for the head of an answer to a second send.
    pub fn second_head_deadline(&self) -> Instant {
        self.head_deadline_after(self.after_another_run())
    }

    /// Whether no send of the request has ended yet.
    pub fn is_first_send(&self) -> bool {
        self.attempts.sends() == 0
    }

    fn after_another_run(&self) -> Attempts {
        let mut attempts = self.attempts;
        attempts.record_run();
        attempts
    }

    /// Counts the request for its customer, once, when a server has begun to answer it.
    fn record_usage(&mut self) {
        if let Some(customer) = self.call.customer().filter(|_| !self.is_counted) {
            self.gateway.duties.record_request(customer);
            self.is_counted = true;
        }
    }

    /// Model in use; none for a plain service.
    pub fn model(&self) -> Option<ModelName> {
        match &self.call.meta.model {
            ModelSelection::Any => self.escalation_steps.model(self.step).cloned(),
            ModelSelection::Named(model) => Some(model.clone()),
            ModelSelection::None => None,
        }
    }

    /// Deadline for the head of an answer: the request's own deadline if the request could not be repeated after the
    /// loss of this send, otherwise an earlier time that leaves time for another server.
    fn head_deadline(&self) -> Instant {
        self.head_deadline_after(self.attempts)
    }

    fn head_deadline_after(&self, attempts: Attempts) -> Instant {
        let mut after_loss = attempts;
        after_loss.record_run();
        let may_repeat = after_loss.allows_another(self.limits());
        if !may_repeat {
            return self.call.deadline;
        }
        let remaining = Millis::from(self.call.remaining());
        Instant::now()
            + Duration::from(latency::attempt_timeout(self.call.route.objective, self.expected_latency(), remaining))
    }

    /// Expected time to the first byte of an answer of the model in use.
    pub fn expected_latency(&self) -> Option<Millis> {
        self.expected_latency_of(&self.model().unwrap_or_default())
    }

    /// Expected time to the first byte of an answer of `model` to this request.
    fn expected_latency_of(&self, model: &ModelName) -> Option<Millis> {
        self.gateway.response_stats.expected_latency(&self.call.service, model, self.call.meta.prompt.0)
    }

    /// Time after which a server that has not answered this request gets no other requests.
    fn overdue_after(&self) -> Millis {
        latency::overdue_after(self.call.route.objective, self.expected_latency())
    }

    fn should_escalate(&self, answer: &Answer) -> bool {
        let call = &self.call;
        let until_objective = call.route.objective.saturating_sub(Millis::from(call.arrived.elapsed()));
        let time_left = until_objective.min(Millis::from(call.remaining()));
        let larger_latency =
            self.escalation_steps.model(self.step + 1).and_then(|larger| self.expected_latency_of(larger));
        self.escalation_steps.should_escalate(self.step, answer.meta.confidence, larger_latency, time_left)
            && self.try_acquire_repeat(Purpose::Escalation)
    }

    /// Makes the response for the caller. A stream is relayed; any other answer is buffered first, so that a broken one
    /// can be repeated.
    async fn respond(mut self, answer: Answer) -> Result<Response<Body>, Failure> {
        self.log_answer(&answer);
        if let Some(permit) = &mut self.permit {
            permit.record_answer();
        }
        let mut answer = answer;
        loop {
            let (status, headers) = (answer.status, headers::end_to_end(&answer.headers));
            if self.call.route.kind.is_stream() && StreamHead::begins_stream(&answer) {
                let session = self.session.take();
                return Ok(response(status, headers, Relay::new(self, answer).into_body(), session));
            }
            let buffered = {
                let share = self.gateway.memory.share(Use::Answer, Arc::clone(&self.call.connection));
                share.set_waiting(false);
                timeout_at(self.call.deadline, buffer_answer(answer, self.call.deadline, share)).await
            };
            let why = match buffered {
                Ok(Ok(body)) => return Ok(response(status, headers, body, self.session.take())),
                Ok(Err(why)) => why,
                Err(_) => return Err(self.deadline_failure()),
            };
            event!(Info, "answer_broken", request = self.call.id, error = why);
            loop {
                if !self.try_acquire_repeat(Purpose::Failure) {
                    return Err(lost_failure(&why));
                }
                match self.attempt(None).await {
                    Ok(next) => {
                        answer = next;
                        break;
                    }
                    Err(failure) => self.handle_failure(failure).await?,
                }
            }
        }
    }
}

fn response(status: CallerStatus, headers: HeaderMap, body: Body, session: Option<SessionUse>) -> Response<Body> {
    let body = match session {
        Some(session) => session.hold_by(body),
        None => body,
    };
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status.as_u16()).expect("the status came in an answer");
    *response.headers_mut() = headers;
    response.headers_mut().remove(CONTENT_LENGTH);
    response
}

/// Buffers an answer whole. If it exceeds `MAX_BUFFERED_BYTES`, what was read so far is passed on and the rest is
/// relayed as it arrives. The same applies if `share` has no room for more.
async fn buffer_answer(mut answer: Answer, deadline: Instant, share: Share) -> Result<Body, String> {
    let mut buf = Vec::new();
    while let Some(frame) = answer.body.frame().await {
        let frame = frame.map_err(|err| err.to_string())?;
        let mut is_counted = true;
        if let Ok(data) = frame.into_data() {
            is_counted = share.reserve(&mut buf, data.len(), MAX_BUFFERED_BYTES).await.is_ok();
            buf.extend_from_slice(&data);
        }
        if buf.len() > MAX_BUFFERED_BYTES || !is_counted {
            return Ok(Relay::plain(BufferedAnswer::new(buf, share), answer, deadline).into_body());
        }
    }
    answer.finish();
    Ok(BufferedAnswer::new(buf, share).into_body())
}
