//! Runs one request: waits for admission, calls the backend server, relays the answer and records the bill.

use std::{
    mem,
    pin::pin,
    time::{Duration, Instant},
};

use bytes::Bytes;
use eelgrasswell_core::{
    admission::{RunOutcome, SampleKind},
    id::{CustomerId, RequestId},
    refusal::{self, Reason, Refusal},
    unit::{Cost, Millis, Tokens},
};
use eelgrasswell_proto::v1::{BillRecord, ExecuteRequest, Failed, Finished, Head, execute_event::Event};
use http_body_util::BodyExt;
use hyper::{Response, body::Incoming};
use tokio::time::{sleep, timeout};

use super::{
    Agent,
    admission::{AdmissionRequest, Permit},
    answers::{self, AnswerWriter},
    backend::{self, CallError},
    checks::{CheckedRequest, Price},
    meter::TokenMeter,
    request_registry::Outcome,
};
use crate::{
    event,
    invariant::{self, Promise},
    telemetry,
};

/// Timeout for the head of a streamed answer, and for each further part of any answer: ten times the slowest first
/// token that users accept.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(11);
/// Timeout for the head of an answer that is not streamed, because it takes as long as all tokens of the answer.
const UNSTREAMED_TIMEOUT: Duration = Duration::from_secs(120);
/// Number of tokens over which the time per token is averaged.
const SAMPLE_TOKENS: u64 = 8;
/// Time after which a sample of fewer tokens is complete, so that a cold engine is detected within its first few
/// tokens.
const MAX_SAMPLE_TIME: Duration = Duration::from_millis(250);

/// Runs a request that passed the checks and whose id is reserved. Ends `answer` in every case.
pub async fn run(
    agent: Agent,
    mut req: ExecuteRequest,
    checked: CheckedRequest,
    deadline: Option<Millis>,
    answer: AnswerWriter,
) {
    let id = RequestId::from(&*req.request_id);
    let admitted = wait_for_permit(&agent, &req, &checked, &answer, deadline).await;
    let started = admitted.and_then(|permit| Ok((permit, agent.start_request(&req, &id)?)));
    let (permit, checked) = match started {
        Ok(started) => started,
        Err(refusal) => return refuse(&agent, &id, answer, &refusal),
    };
    answer.start(checked.at_most_once);
    let (meter, body) = (TokenMeter::new(req.stream), mem::take(&mut req.body));
    let mut attempt = Attempt { agent: &agent, req: &req, checked: &checked, body, permit, answer, meter };
    let result = attempt.call(deadline).await;
    attempt.conclude(&id, result).await;
}

/// Counts and logs a refusal.
pub fn record_refusal(request_id: &str, refusal: &Refusal) {
    let (reason, outcome) = (refusal.reason.as_str(), refusal.outcome.to_string());
    event!(Debug, "request_refused", request_id = request_id, reason = reason, outcome = outcome);
    metrics::counter!(telemetry::REFUSALS, "reason" => reason, "outcome" => outcome).increment(1);
}

/// Waits for admission to the backend server, until the request is cancelled, its deadline passes or the process starts
/// to leave.
async fn wait_for_permit(
    agent: &Agent,
    req: &ExecuteRequest,
    checked: &CheckedRequest,
    answer: &AnswerWriter,
    deadline: Option<Millis>,
) -> Result<Permit, Refusal> {
    let request = AdmissionRequest {
        customer: CustomerId::from(&*req.customer),
        weight: checked.weight,
        priority: req.priority,
        tokens: Tokens(req.prompt_tokens.saturating_add(req.max_output_tokens)),
        output: Tokens(req.max_output_tokens),
        deadline,
    };
    let mut leaving = agent.leaving.subscribe();
    tokio::select! {
        biased;
        permit = agent.admission.acquire(request) => permit,
        reason = answer.cancelled() => Err(Refusal::not_run(reason)),
        () = wait_until(agent, deadline) => Err(Refusal::not_run(Reason::Deadline)),
        _ = leaving.wait_for(|leaving| *leaving) => Err(Refusal::not_run(Reason::Leaving)),
    }
}

fn refuse(agent: &Agent, id: &RequestId, answer: AnswerWriter, refusal: &Refusal) {
    record_refusal(id.as_str(), refusal);
    answer.end(answers::refused(refusal, agent.config.revision().0));
    // Must be last, because the id can be reserved again from now on.
    agent.requests.release(id);
}

/// Waits until the deadline; forever if there is none.
async fn wait_until(agent: &Agent, deadline: Option<Millis>) {
    match deadline {
        Some(deadline) => sleep((deadline - agent.clock.now()).into()).await,
        None => std::future::pending().await,
    }
}

impl Agent {
    /// Checks the request again, because the configuration may have changed while the request waited, and marks it as
    /// running.
    fn start_request(&self, req: &ExecuteRequest, id: &RequestId) -> Result<CheckedRequest, Refusal> {
        let checked = self.check_start(req)?;
        if !self.requests.start(id) {
            return Err(Refusal::not_run(Reason::Barred));
        }
        Ok(checked)
    }
}

/// An admitted request and its call of the backend server.
struct Attempt<'a> {
    agent: &'a Agent,
    req: &'a ExecuteRequest,
    checked: &'a CheckedRequest,
    /// Body of the request. It is moved out when it is sent, because it may be large and the answer may take long.
    body: Bytes,
    permit: Permit,
    answer: AnswerWriter,
    meter: TokenMeter,
}

/// Why a call did not produce a complete answer.
enum CallFailure {
    /// Nothing was sent to the backend server.
    NotSent(Reason),
    /// The backend server failed.
    Backend(Reason),
    /// The agent aborted the call.
    Aborted(Reason),
}

impl Attempt<'_> {
    /// Calls the backend server and relays its answer until the deadline. Returns the HTTP status.
    async fn call(&mut self, deadline: Option<Millis>) -> Result<u16, CallFailure> {
        // A request that runs at most once has no deadline from here on, so that its outcome becomes known.
        let deadline = deadline.filter(|_| !self.checked.at_most_once);
        let agent = self.agent;
        tokio::select! {
            result = self.exchange() => result,
            () = wait_until(agent, deadline) => Err(CallFailure::Aborted(Reason::Deadline)),
        }
    }

    /// Sends the request and relays the whole answer. Returns the HTTP status.
    async fn exchange(&mut self) -> Result<u16, CallFailure> {
        let started = Instant::now();
        let head_timeout = if self.req.stream { STREAM_IDLE_TIMEOUT } else { UNSTREAMED_TIMEOUT };
        let call = timeout(head_timeout, self.agent.backend.call(self.req, mem::take(&mut self.body)));
        let response = tokio::select! {
            response = call => response.map_err(|_| CallFailure::Backend(Reason::ConnectionLost))?,
            reason = self.answer.cancelled() => return Err(CallFailure::Aborted(reason)),
        };
        let response = response.map_err(|err| match err {
            CallError::NotSent(reason) => CallFailure::NotSent(reason),
            CallError::Lost(detail) => {
                event!(Warn, "backend_call_lost", request_id = self.req.request_id, error = detail);
                CallFailure::Backend(Reason::ConnectionLost)
            }
        })?;
        let status = response.status().as_u16();
        if self.is_model() && status >= 500 {
            return Err(CallFailure::Backend(Reason::BackendError));
        }
        self.answer.set_head(Head { status: status.into(), headers: backend::answer_headers(&response) });
        self.relay_body(response).await?;
        if self.is_model() && status < 400 && !self.meter.is_complete() {
            return Err(CallFailure::Backend(Reason::BackendError));
        }
        if !self.req.stream {
            let units = if self.is_model() { self.meter.delivered().0.max(1) } else { 1 };
            self.permit.observe(SampleKind::Call, elapsed_micros(started) / units);
        }
        Ok(status)
    }

    /// Appends the body of the response to the answer, while it counts tokens and measures the time per token.
    async fn relay_body(&mut self, response: Response<Incoming>) -> Result<(), CallFailure> {
        let (is_model, stream) = (self.is_model(), self.req.stream);
        let Self { permit, answer, meter, .. } = self;
        let mut body = response.into_body();
        let mut timer = TokenTimer::default();
        let mut cancelled = pin!(answer.cancelled());
        loop {
            let frame = tokio::select! {
                frame = timeout(STREAM_IDLE_TIMEOUT, body.frame()) => frame,
                reason = &mut cancelled => return Err(CallFailure::Aborted(reason)),
            };
            let Some(frame) = frame.map_err(|_| CallFailure::Backend(Reason::ConnectionLost))? else { return Ok(()) };
            let frame = frame.map_err(|_| CallFailure::Backend(Reason::ConnectionLost))?;
            let Ok(bytes) = frame.into_data() else { continue };
            if is_model {
                meter.feed(&bytes);
            }
            if let Some(micros) = timer.sample(meter.delivered().0).filter(|_| stream) {
                permit.observe(SampleKind::Token, micros);
            }
            let push_started = Instant::now();
            answer.push(&bytes).await.map_err(CallFailure::Aborted)?;
            timer.exclude(push_started.elapsed());
        }
    }

    /// Ends the answer, records the bill and sets the outcome for the admission.
    async fn conclude(mut self, id: &RequestId, result: Result<u16, CallFailure>) {
        match result {
            Ok(status) => {
                self.permit.outcome = if status < 500 { RunOutcome::Success } else { RunOutcome::Failure };
                self.finish(id, status);
            }
            Err(CallFailure::NotSent(reason)) => {
                self.permit.outcome = RunOutcome::Failure;
                let is_empty = self.answer.length() == 0;
                invariant::check(Promise::NotRun, is_empty, || format!("request {id} has an answer"));
                refuse(self.agent, id, self.answer, &Refusal::not_run(reason));
            }
            Err(CallFailure::Backend(reason)) => {
                self.permit.outcome = RunOutcome::Failure;
                self.fail(id, reason);
            }
            Err(CallFailure::Aborted(reason)) => {
                // The permit is released only after the cancel call, because the engine may still be working on the
                // request until then.
                if self.is_model() {
                    self.agent.backend.cancel(id.as_str()).await;
                }
                self.fail(id, reason);
            }
        }
    }

    fn finish(self, id: &RequestId, status: u16) {
        let bill = self.bill(status < 500);
        let length = self.answer.length();
        self.agent.bills.record(&bill);
        let kind = if self.is_model() { "model" } else { "service" };
        metrics::counter!(telemetry::ANSWERS, "kind" => kind).increment(1);
        self.answer.end(Event::Finished(Finished { bill: Some(bill), length }));
        if self.checked.at_most_once {
            let customer = CustomerId::from(&*self.req.customer);
            if let Some((status, body)) = self.agent.answers.finished_response(id, &customer) {
                self.agent.requests.store_outcome(id, Outcome { customer, status, body });
            }
        }
        self.agent.requests.end(id);
    }

    fn fail(self, id: &RequestId, reason: Reason) {
        // A model's answer is billed for the delivered tokens; a failed call of a plain service is free.
        let delivered = self.is_model() && self.answer.length() > 0;
        let bill = (delivered || self.req.prior_cost_micros > 0).then(|| self.bill(delivered));
        if let Some(bill) = &bill {
            self.agent.bills.record(bill);
        }
        event!(Info, "request_failed", request_id = id, reason = reason);
        let labels = [("reason", reason.to_string()), ("outcome", refusal::Outcome::Unknown.to_string())];
        metrics::counter!(telemetry::REFUSALS, &labels).increment(1);
        self.answer.end(Event::Failed(Failed { reason: reason.to_string(), bill }));
        self.agent.requests.end(id);
    }

    /// Creates the bill record of this request. If `charged` is false, this attempt is free.
    fn bill(&self, charged: bool) -> BillRecord {
        let usage = self.meter.usage();
        let output = self.meter.delivered();
        // An answer without tokens, such as an error of the engine, is free.
        let input = usage.map_or(if output > Tokens::ZERO { self.req.prompt_tokens } else { 0 }, |usage| usage.input);
        let is_free = !charged;
        let attempt_cost = if is_free { Cost::ZERO } else { self.checked.price.cost(Tokens(input), output) };
        BillRecord {
            request_id: self.req.request_id.clone(),
            customer: self.req.customer.clone(),
            model: self.req.model.clone(),
            version: self.req.version.clone(),
            service: self.agent.settings.service.to_string(),
            prompt_tokens: input,
            output_tokens: output.0,
            cost_micros: (attempt_cost + Cost(self.req.prior_cost_micros)).0,
            router_incarnation: self.req.router_incarnation,
        }
    }

    fn is_model(&self) -> bool {
        matches!(self.checked.price, Price::Tokens(_))
    }
}

/// Measures the time per token of a stream, in samples of a few tokens.
#[derive(Default)]
struct TokenTimer {
    /// Start of the current sample and number of tokens delivered before it. `None` before the first token, which is
    /// not measured because it takes longer, in proportion to the prompt.
    current: Option<(Instant, u64)>,
}

impl TokenTimer {
    /// Updates the number of delivered tokens. Returns the microseconds per token if that completes a sample.
    fn sample(&mut self, delivered: u64) -> Option<u64> {
        if delivered == 0 {
            return None;
        }
        let (since, before) = *self.current.get_or_insert_with(|| (Instant::now(), delivered));
        let tokens = delivered - before;
        let is_complete = tokens >= SAMPLE_TOKENS || (tokens > 0 && since.elapsed() >= MAX_SAMPLE_TIME);
        is_complete.then(|| {
            self.current = Some((Instant::now(), delivered));
            elapsed_micros(since) / tokens
        })
    }

    /// Excludes time spent waiting for a slow reader.
    fn exclude(&mut self, time: Duration) {
        self.current.iter_mut().for_each(|(since, _)| *since += time);
    }
}

fn elapsed_micros(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_micros()).unwrap_or(u64::MAX)
}
