//! One request: its turn, the call of the backend server, the answer and the bill.

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

/// Longest silence of a stream: ten times the slowest first token that users accept.
const STREAM_SILENCE: Duration = Duration::from_secs(11);
/// Longest silence before an answer in one piece, which takes as long as all its tokens.
const WHOLE_SILENCE: Duration = Duration::from_secs(120);
/// Tokens over which the time per token is averaged.
const SAMPLE_TOKENS: u64 = 8;
/// Time after which fewer tokens will do, so that a cold engine shows within its first few tokens.
const SAMPLE_TIME: Duration = Duration::from_millis(250);

/// Runs a request that passed the checks and whose id is reserved.
pub async fn run(
    agent: Agent,
    mut req: ExecuteRequest,
    checked: CheckedRequest,
    deadline: Option<Millis>,
    answer: AnswerWriter,
) {
    let id = RequestId::from(&*req.request_id);
    let turn = wait_turn(&agent, &req, &checked, &answer, deadline).await;
    let turn = turn.and_then(|permit| Ok((permit, agent.start_now(&req, &id)?)));
    let (permit, checked) = match turn {
        Ok(turn) => turn,
        Err(refusal) => return refuse(&agent, &id, answer, &refusal),
    };
    answer.start(checked.once);
    let (meter, body) = (TokenMeter::new(req.stream), mem::take(&mut req.body));
    let mut attempt = Attempt { agent: &agent, req: &req, checked: &checked, body, permit, answer, meter };
    let ended = attempt.call(deadline).await;
    attempt.conclude(&id, ended).await;
}

/// Counts and logs a refusal.
pub fn record_refusal(request_id: &str, refusal: &Refusal) {
    let (reason, outcome) = (refusal.reason.as_str(), refusal.outcome.to_string());
    event!(Debug, "request_refused", request_id = request_id, reason = reason, outcome = outcome);
    metrics::counter!(telemetry::REFUSALS, "reason" => reason, "outcome" => outcome).increment(1);
}

async fn wait_turn(
    agent: &Agent,
    req: &ExecuteRequest,
    checked: &CheckedRequest,
    answer: &AnswerWriter,
    deadline: Option<Millis>,
) -> Result<Permit, Refusal> {
    let ask = AdmissionRequest {
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
        permit = agent.admission.enter(ask) => permit,
        reason = answer.cancelled() => Err(Refusal::not_run(reason)),
        () = until(agent, deadline) => Err(Refusal::not_run(Reason::Deadline)),
        _ = leaving.wait_for(|leaving| *leaving) => Err(Refusal::not_run(Reason::Leaving)),
    }
}

fn refuse(agent: &Agent, id: &RequestId, answer: AnswerWriter, refusal: &Refusal) {
    record_refusal(id.as_str(), refusal);
    answer.end(answers::refused(refusal, agent.config.revision().0));
    // Last, because the id may come again from now on.
    agent.requests.release(id);
}

async fn until(agent: &Agent, deadline: Option<Millis>) {
    match deadline {
        Some(deadline) => sleep((deadline - agent.clock.now()).into()).await,
        None => std::future::pending().await,
    }
}

impl Agent {
    /// Checks once more, as the configuration may have changed while the request waited, and marks
    /// the request as running.
    fn start_now(&self, req: &ExecuteRequest, id: &RequestId) -> Result<CheckedRequest, Refusal> {
        let checked = self.check_start(req)?;
        if !self.requests.start(id) {
            return Err(Refusal::not_run(Reason::Barred));
        }
        Ok(checked)
    }
}

/// A request from the call of the backend server on.
struct Attempt<'a> {
    agent: &'a Agent,
    req: &'a ExecuteRequest,
    checked: &'a CheckedRequest,
    /// Body of the request; taken when it is sent, as it may be large and the answer may take long.
    body: Bytes,
    permit: Permit,
    answer: AnswerWriter,
    meter: TokenMeter,
}

/// How a call ended that did not give a whole answer.
enum CallFailure {
    /// Nothing was sent.
    NotSent(Reason),
    /// The backend server failed.
    Backend(Reason),
    /// The agent cut it.
    Cut(Reason),
}

impl Attempt<'_> {
    /// Calls the backend server and passes its answer on; gives the status.
    async fn call(&mut self, deadline: Option<Millis>) -> Result<u16, CallFailure> {
        // A request that runs only once goes on to its end, so that its outcome is known.
        let deadline = deadline.filter(|_| !self.checked.once);
        let agent = self.agent;
        tokio::select! {
            ended = self.exchange() => ended,
            () = until(agent, deadline) => Err(CallFailure::Cut(Reason::Deadline)),
        }
    }

    async fn exchange(&mut self) -> Result<u16, CallFailure> {
        let started = Instant::now();
        let silence = if self.req.stream { STREAM_SILENCE } else { WHOLE_SILENCE };
        let call = timeout(silence, self.agent.backend.call(self.req, mem::take(&mut self.body)));
        let response = tokio::select! {
            response = call => response.map_err(|_| CallFailure::Backend(Reason::ConnectionLost))?,
            reason = self.answer.cancelled() => return Err(CallFailure::Cut(reason)),
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
        self.answer.head(Head { status: status.into(), headers: backend::answer_headers(&response) });
        self.pass_on(response).await?;
        if self.is_model() && status < 400 && !self.meter.is_complete() {
            return Err(CallFailure::Backend(Reason::BackendError));
        }
        if !self.req.stream {
            let units = if self.is_model() { self.meter.delivered().0.max(1) } else { 1 };
            self.permit.observe(SampleKind::Call, micros(started) / units);
        }
        Ok(status)
    }

    async fn pass_on(&mut self, response: Response<Incoming>) -> Result<(), CallFailure> {
        let (is_model, stream) = (self.is_model(), self.req.stream);
        let Self { permit, answer, meter, .. } = self;
        let mut body = response.into_body();
        let mut timer = TokenTimer::default();
        let mut cancelled = pin!(answer.cancelled());
        loop {
            let frame = tokio::select! {
                frame = timeout(STREAM_SILENCE, body.frame()) => frame,
                reason = &mut cancelled => return Err(CallFailure::Cut(reason)),
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
            let pushed = Instant::now();
            answer.push(&bytes).await.map_err(CallFailure::Cut)?;
            timer.exclude(pushed.elapsed());
        }
    }

    async fn conclude(mut self, id: &RequestId, ended: Result<u16, CallFailure>) {
        match ended {
            Ok(status) => {
                self.permit.ending = if status < 500 { RunOutcome::Success } else { RunOutcome::Failure };
                self.finish(id, status);
            }
            Err(CallFailure::NotSent(reason)) => {
                self.permit.ending = RunOutcome::Failure;
                let empty = self.answer.length() == 0;
                invariant::check(Promise::NotRun, empty, || format!("request {id} has an answer"));
                refuse(self.agent, id, self.answer, &Refusal::not_run(reason));
            }
            Err(CallFailure::Backend(reason)) => {
                self.permit.ending = RunOutcome::Failure;
                self.fail(id, reason);
            }
            Err(CallFailure::Cut(reason)) => {
                // The place is given back once the engine has stopped, as it may still be working.
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
        if self.checked.once {
            let customer = CustomerId::from(&*self.req.customer);
            if let Some((status, body)) = self.agent.answers.whole(id, &customer) {
                self.agent.requests.keep(id, Outcome { customer, status, body });
            }
        }
        self.agent.requests.end(id);
    }

    fn fail(self, id: &RequestId, reason: Reason) {
        // A model's answer is billed for what was delivered; a failure call of a service is not.
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

    /// The record of this request; `charged` tells whether this attempt costs anything.
    fn bill(&self, charged: bool) -> BillRecord {
        let usage = self.meter.usage();
        let output = self.meter.delivered();
        // An answer without tokens, such as an error of the engine, costs nothing.
        let input = usage.map_or(if output > Tokens::ZERO { self.req.prompt_tokens } else { 0 }, |usage| usage.input);
        let free = !charged;
        let own = if free { Cost::ZERO } else { self.checked.price.cost(Tokens(input), output) };
        BillRecord {
            request_id: self.req.request_id.clone(),
            customer: self.req.customer.clone(),
            model: self.req.model.clone(),
            version: self.req.version.clone(),
            service: self.agent.settings.service.to_string(),
            prompt_tokens: input,
            output_tokens: output.0,
            cost_micros: (own + Cost(self.req.prior_cost_micros)).0,
            router_incarnation: self.req.router_incarnation,
        }
    }

    fn is_model(&self) -> bool {
        matches!(self.checked.price, Price::Tokens(_))
    }
}

/// Time per token of a stream, measured in short runs of tokens.
#[derive(Default)]
struct TokenTimer {
    /// Begin of the run and tokens delivered before it; none before the first token, which takes
    /// longer, in proportion to the prompt.
    run: Option<(Instant, u64)>,
}

impl TokenTimer {
    /// Microseconds per token when a run is complete.
    fn sample(&mut self, delivered: u64) -> Option<u64> {
        if delivered == 0 {
            return None;
        }
        let (since, before) = *self.run.get_or_insert_with(|| (Instant::now(), delivered));
        let tokens = delivered - before;
        let complete = tokens >= SAMPLE_TOKENS || (tokens > 0 && since.elapsed() >= SAMPLE_TIME);
        complete.then(|| {
            self.run = Some((Instant::now(), delivered));
            micros(since) / tokens
        })
    }

    /// Leaves out time that a slow reader took.
    fn exclude(&mut self, time: Duration) {
        self.run.iter_mut().for_each(|(since, _)| *since += time);
    }
}

fn micros(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_micros()).unwrap_or(u64::MAX)
}
