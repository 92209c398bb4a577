//! Runs a request on an agent. Retries it on another agent only when that is safe: when the request did not run, or
//! when it is idempotent.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use eelgrasswell_core::{
    attempt::{AttemptLimits, Attempts},
    id::{HostId, Incarnation, RequestId, Revision},
    not_run::{Named, NotRun, Received, Unsent},
    refusal::{Outcome, Reason, Refusal},
    unit::{Cost, Millis, Tokens},
};
use eelgrasswell_manifest::manifest::VersionState;
use eelgrasswell_proto::v1::{ExecuteRequest, Failed, Finished, Head, Refused, resolve_reply::Fate};
use serde_json::Value;
use tokio::{
    runtime::Handle,
    time::{Instant, timeout, timeout_at},
};
use uuid::Uuid;

use super::{
    Chain,
    backends::Candidate,
    budget::{self, BudgetReservation},
    choose::{self, Choice, Plan},
    claim::{self, Claim, ClaimOutcome},
    events::{self, AttemptEvent, AttemptEvents, StreamError},
    parse::{Call, ModelCall, SessionRequest, Target},
    session::VersionPin,
    settlement::{FIRST_SERVER_ERROR, Settlement},
};
use crate::{
    callers::failure::Failure,
    controller::{answer_counters::AnswerSample, links::OutstandingGuard, peers},
    invariant::{self, Promise},
    telemetry,
};

/// Maximum size of an answer that is buffered whole, so that its cost can be sent in a header. Larger answers are
/// streamed and carry their cost in a trailer.
const MAX_BUFFERED_ANSWER: usize = 64 << 10;
/// Time after the deadline that an agent has to report the missed deadline itself.
const DEADLINE_GRACE: Duration = Duration::from_millis(500);
/// Longest wait for a newer configuration, when an agent already has one that this router lacks.
const CONFIG_WAIT_LIMIT: Duration = Duration::from_secs(1);

/// A request whose answer has started or is complete.
pub struct StartedAnswer {
    /// Status and headers of the answer.
    pub head: Head,
    /// Bytes of the answer received so far.
    pub body: Vec<Bytes>,
    /// Final event of a complete answer; `None` while more events follow.
    pub finished: Option<Finished>,
    /// Remaining events of the answer.
    pub events: AttemptEvents,
    /// Settles bill, answer counters, budget and claim when the answer ends.
    pub settlement: Settlement,
    /// Session id to return to the caller.
    pub session: Option<String>,
}

/// Returns the id of the attempt to run request `id` at `agent`.
pub fn attempt_id(id: Uuid, agent: &HostId) -> RequestId {
    RequestId::from(format!("{id}.{agent}").as_str())
}

/// Runs the request until its answer starts, with retries and escalation. A failure settles the reservation.
pub async fn execute(
    chain: &Chain,
    call: Call,
    pin: Option<VersionPin>,
    plan: Plan,
    reservation: BudgetReservation,
    claim: Option<Box<Claim>>,
) -> Result<StartedAnswer, Failure> {
    chain.retries().record_request();
    let mut execution = Execution {
        chain,
        call,
        pin,
        plan,
        choice_index: 0,
        reservation: Some(reservation),
        claim,
        in_flight: None,
        tried_agents: Vec::new(),
        attempts: Attempts::default(),
        last_failure: None,
    };
    let result = execution.run().await;
    result.map_err(|failure| execution.finalize_failure(failure))
}

/// State of a request from its first attempt until its answer starts.
struct Execution<'a> {
    chain: &'a Chain,
    call: Call,
    pin: Option<VersionPin>,
    plan: Plan,
    /// Index of the current choice in the plan; each escalation increments it.
    choice_index: usize,
    reservation: Option<BudgetReservation>,
    claim: Option<Box<Claim>>,
    /// Attempt that may be running at an agent.
    in_flight: Option<InFlight>,
    /// Agents already tried for the current choice.
    tried_agents: Vec<HostId>,
    /// Number of attempts so far, and how many of them may have run.
    attempts: Attempts,
    /// Failure of the last attempt, returned when no agent is left to try.
    last_failure: Option<Failure>,
}

/// Identifies an attempt at an agent.
struct InFlight {
    agent: HostId,
    incarnation: Incarnation,
    request_id: RequestId,
}

/// An attempt whose answer has started.
struct StartedAttempt {
    head: Head,
    body: Vec<Bytes>,
    finished: Option<Finished>,
    events: AttemptEvents,
    first_token: Option<Millis>,
    outstanding: Option<OutstandingGuard>,
}

/// Reason why an attempt ended without an answer.
enum AttemptError {
    /// The attempt did not run. `revision` is that of the agent's configuration, 0 if unknown. `sent` is whether the
    /// agent received the attempt.
    NotRun { refusal: Refusal, revision: Revision, sent: bool, proof: NotRun },
    /// The backend server failed.
    Failed(Failed),
    /// The outcome of the attempt is unknown.
    Lost(Reason),
}

impl Execution<'_> {
    async fn run(&mut self) -> Result<StartedAnswer, Failure> {
        loop {
            let Some(agent) = self.next_agent() else {
                let failure = self.last_failure.take().unwrap_or_else(|| {
                    let service = &self.current_choice().service;
                    Failure::not_run(Reason::NoBackend, format!("no agent of {service} can run the request"))
                });
                self.escalate(failure).await?;
                continue;
            };
            let id = attempt_id(self.call.id, &agent.view.id);
            let result = self.attempt(&agent, &id).await;
            self.in_flight = None;
            match result {
                Ok(started) => return Ok(self.start_answer(agent, id, started)),
                Err(AttemptError::NotRun { refusal, revision, sent, proof }) => {
                    self.attempts.record_not_run(&proof);
                    self.after_refusal(&agent, &id, refusal, revision, sent).await?;
                }
                Err(AttemptError::Failed(failed)) => self.after_failure(&agent, &id, failed).await?,
                Err(AttemptError::Lost(reason)) => self.after_loss(&agent, &id, reason).await?,
            }
        }
    }

    fn current_choice(&self) -> &Choice {
        &self.plan.choices[self.choice_index]
    }

    fn next_agent(&self) -> Option<Candidate> {
        match &self.claim {
            Some(claim) => Some(claim.agent.clone()),
            None => choose::pick_agent(self.chain, &self.call, self.current_choice(), &self.tried_agents),
        }
    }

    async fn attempt(&mut self, agent: &Candidate, id: &RequestId) -> Result<StartedAttempt, AttemptError> {
        let remaining = self.call.deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            let refusal = Refusal::not_run(Reason::Deadline);
            let proof = Unsent::begin().give_up();
            return Err(AttemptError::NotRun { refusal, revision: Revision(0), sent: false, proof });
        }
        self.check_invariants();
        let req = self.execute_request(agent, id, remaining);
        self.in_flight =
            Some(InFlight { agent: agent.view.id.clone(), incarnation: agent.incarnation, request_id: id.clone() });
        let limit = self.call.deadline + DEADLINE_GRACE;
        let started = timeout_at(limit, self.start_attempt(agent, req)).await;
        started.unwrap_or(Err(AttemptError::Lost(Reason::Deadline)))
    }

    /// Checks the invariants that the customer may use the chosen version, that it may receive work, and that it is the
    /// one that the session pins.
    fn check_invariants(&self) {
        let Choice { model, version, .. } = self.current_choice();
        if model.is_empty() {
            return;
        }
        let config = &self.call.config;
        let customer = config.manifest.customers.get(&self.call.customer);
        let detail = || format!("customer {} version {version} of {model}", self.call.customer);
        invariant::check(Promise::Allowed, customer.is_some_and(|c| c.allows(model, version)), detail);
        let state = config.version_state(model, version);
        let usable = match state {
            Some(VersionState::Open) => true,
            Some(VersionState::Closed) => self.plan.pinned,
            Some(VersionState::Withdrawn) | None => false,
        };
        invariant::check(Promise::Withdrawn, usable, detail);
        let same_version = self.pin.as_ref().is_none_or(|pin| pin.model == *model && pin.version == *version);
        invariant::check(Promise::Session, same_version, detail);
    }

    /// Builds the message that sends the request to `agent`.
    fn execute_request(&self, agent: &Candidate, id: &RequestId, remaining: Duration) -> ExecuteRequest {
        let call = &self.call;
        let choice = self.current_choice();
        let config = &call.config;
        let mut req = ExecuteRequest {
            request_id: id.to_string(),
            customer: call.customer.to_string(),
            revision: config.revision.0,
            method: call.method.to_string(),
            path: call.path.clone(),
            headers: call.headers.clone(),
            body: call.body.clone(),
            priority: config.manifest.customers.get(&call.customer).map_or(u32::MAX, |c| c.priority),
            deadline_ms: Millis::from(remaining).0.max(1),
            router: self.chain.router.settings.host.id.to_string(),
            router_incarnation: self.chain.router.incarnation.0,
            pinned: self.plan.pinned,
            ..ExecuteRequest::default()
        };
        match &call.target {
            Target::Model(target) => {
                req.model = choice.model.to_string();
                req.version = choice.version.to_string();
                req.prompt_tokens = target.prompt.0;
                req.max_output_tokens = target.max_output.0;
                req.stream = target.stream;
                req.prefix_hash = target.prefix;
                req.idempotent = true;
                req.body = body_for_model(&call.body, target, choice.model.as_str());
            }
            Target::Plain(target) => {
                req.service = target.service.to_string();
                req.idempotent = target.idempotent;
                req.claim_fence = self.claim.as_ref().map_or(0, |claim| claim.fence.0);
                invariant::check(Promise::AtMostOnce, target.idempotent || self.holds_claim(agent, id), || {
                    format!("request {id} has no claim")
                });
            }
        }
        req
    }

    /// Whether the current claim was granted for the attempt `id` at `agent`.
    fn holds_claim(&self, agent: &Candidate, id: &RequestId) -> bool {
        self.claim.as_ref().is_some_and(|claim| claim.request_id == *id && claim.agent.view.id == agent.view.id)
    }

    /// Sends the request and waits for the first data of a streamed answer, or for the complete answer otherwise. An
    /// answer larger than `MAX_BUFFERED_ANSWER` counts as started at that size. A streamed answer with a server error
    /// is awaited like one that is not streamed, since the request can still escalate.
    async fn start_attempt(&self, agent: &Candidate, req: ExecuteRequest) -> Result<StartedAttempt, AttemptError> {
        let sent_at = Instant::now();
        let streamed = req.stream;
        let outstanding = agent.track_outstanding();
        let mut client = agent.client.clone();
        let backends = Arc::clone(&self.chain.backends);
        let mut events = AttemptEvents::execute(backends, &mut client, agent.view.id.clone(), req).await?;
        let mut head = Head { status: 200, headers: Vec::new() };
        let mut body = Vec::new();
        let mut length = 0;
        let mut first_token = None;
        let finished = loop {
            match events.next().await? {
                AttemptEvent::Head(first) => head = first,
                AttemptEvent::Data(chunk) => {
                    first_token.get_or_insert_with(|| Millis::from(sent_at.elapsed()));
                    length += chunk.len();
                    body.push(chunk);
                    let error = head.status >= u32::from(FIRST_SERVER_ERROR);
                    if (streamed && !error) || length > MAX_BUFFERED_ANSWER {
                        break None;
                    }
                }
                AttemptEvent::Finished(finished)
                    if head.status >= u32::from(FIRST_SERVER_ERROR) && self.can_escalate() =>
                {
                    let reason = Reason::BackendError.as_str().to_owned();
                    return Err(AttemptError::Failed(Failed { reason, bill: finished.bill }));
                }
                AttemptEvent::Finished(finished) => break Some(finished),
                AttemptEvent::Refused(refused) => {
                    invariant::check(Promise::NotRun, !refused.not_run || body.is_empty(), || {
                        format!("agent {} refused as not run after {length} bytes", agent.view.id)
                    });
                    return Err(refused.into());
                }
                AttemptEvent::Failed(failed) => return Err(AttemptError::Failed(failed)),
            }
        };
        Ok(StartedAttempt { head, body, finished, events, first_token, outstanding })
    }

    /// Assembles the started answer and its settlement. Takes the reservation and the claim.
    fn start_answer(&mut self, agent: Candidate, request_id: RequestId, started: StartedAttempt) -> StartedAnswer {
        let StartedAttempt { head, body, finished, events, first_token, outstanding } = started;
        let choice = self.current_choice().clone();
        if let Target::Model(target) = &self.call.target {
            self.chain.selection_history().record_cached(&agent.view.id, target.prefix, self.chain.router.clock.now());
        }
        let session = match &self.call.session {
            SessionRequest::None => None,
            SessionRequest::New => {
                self.chain.router.sessions.issue(&self.call.customer, &choice.model, &choice.version)
            }
            SessionRequest::Id(id) => Some(id.clone()),
        };
        let settlement = Settlement {
            chain: self.chain.clone(),
            request_id,
            choice,
            agent: agent.view.id,
            customer: self.call.customer.clone(),
            reservation: self.reservation.take().expect("a running request has a budget reservation"),
            claim: self.claim.take(),
            prompt: match &self.call.target {
                Target::Model(target) => target.prompt,
                Target::Plain(_) => Tokens(0),
            },
            first_token,
            _outstanding: outstanding,
        };
        StartedAnswer { head, body, finished, events, settlement, session }
    }

    /// Handles an attempt that did not run: `Ok` to try another agent, if the reason and the retry budget allow it.
    async fn after_refusal(
        &mut self,
        agent: &Candidate,
        id: &RequestId,
        refusal: Refusal,
        revision: Revision,
        sent: bool,
    ) -> Result<(), Failure> {
        let reason = refusal.reason;
        let failure = Failure::from(refusal).with_request_id(id);
        self.chain.selection_history().record_refusal(&agent.view.id, self.chain.router.clock.now());
        self.tried_agents.push(agent.view.id.clone());
        let retry = may_retry_elsewhere(reason) && self.chain.try_acquire_retry(reason);
        if retry && revision > self.call.config.revision {
            self.replan(revision).await?;
        }
        if let Some(claim) = self.claim.take() {
            return self.move_or_release_claim(claim, sent, retry, failure).await;
        }
        if !retry {
            return Err(failure);
        }
        self.last_failure = Some(failure);
        Ok(())
    }

    /// Moves the claim of an attempt that did not run to another agent, or releases it and returns `failure`. An
    /// attempt that was sent must first be barred at its agent.
    async fn move_or_release_claim(
        &mut self,
        claim: Box<Claim>,
        sent: bool,
        retry: bool,
        failure: Failure,
    ) -> Result<(), Failure> {
        let customer = self.call.customer.clone();
        if sent && !claim.bar(self.chain, &customer).await {
            // The attempt keeps the claim until a later attempt with the same key resolves it.
            return Err(failure);
        }
        if retry {
            let choice = self.current_choice().clone();
            match claim::claim_for_other_agent(self.chain, &self.call, &choice, &self.tried_agents, &claim).await? {
                Some(ClaimOutcome::Run(claim)) => {
                    self.claim = claim;
                    return Ok(());
                }
                Some(ClaimOutcome::Replay(_)) => {
                    let message = "another attempt with this key has finished";
                    return Err(Failure::unknown(Reason::ClaimPending, message));
                }
                None => {}
            }
        }
        claim.release(self.chain, &customer).await;
        Err(failure)
    }

    /// Waits for configuration `revision`, up to `CONFIG_WAIT_LIMIT`, then plans again with the current configuration.
    async fn replan(&mut self, revision: Revision) -> Result<(), Failure> {
        let router = &self.chain.router;
        let _ = timeout(CONFIG_WAIT_LIMIT, peers::catch_up(router, revision)).await;
        self.call.config = router.config.current();
        let old_cost = self.current_choice().max_cost;
        self.plan = choose::plan(self.chain, &self.call, self.pin.as_ref())?;
        self.choice_index = self.choice_index.min(self.plan.choices.len() - 1);
        if self.current_choice().max_cost > old_cost {
            self.replace_reservation().await?;
        }
        Ok(())
    }

    /// Handles a failure of the backend server: escalates to the next model if there is one. An attempt that cost
    /// something is not followed by another, so that the request is billed only once.
    async fn after_failure(&mut self, agent: &Candidate, id: &RequestId, failed: Failed) -> Result<(), Failure> {
        let Choice { model, version, .. } = self.current_choice().clone();
        if !model.is_empty() {
            let sample = AnswerSample { error: true, first_token: None };
            self.chain.router.answer_counters.record(&model, &version, sample);
        }
        self.attempts.record_run();
        let reason = events::parse_reason(&failed.reason);
        let failure = Failure::unknown(reason, format!("agent {} failed the request: {reason}", agent.view.id))
            .with_request_id(id);
        let spent = failed.bill.as_ref().map_or(Cost::ZERO, |bill| Cost(bill.cost_micros));
        if let Some(bill) = failed.bill {
            self.chain.router.bills.push(&agent.view.id, bill);
        }
        if let Some(reservation) = self.reservation.take_if(|_| spent > Cost::ZERO) {
            reservation.settle(spent);
            return Err(failure);
        }
        self.escalate(failure).await
    }

    /// Handles the permanent loss of the connection. Asks the agent on a new connection to bar the attempt; if the
    /// agent does, the attempt did not run. Otherwise the request is retried on another agent only when it is
    /// idempotent, the agent is unreachable or has restarted, and the retry budget allows it. No part of the answer was
    /// delivered to the caller.
    async fn after_loss(&mut self, agent: &Candidate, id: &RequestId, reason: Reason) -> Result<(), Failure> {
        let customer = &self.call.customer;
        let fate = claim::resolve(self.chain, customer, id, &agent.view.id, agent.incarnation).await;
        let message = format!("the connection to agent {} was lost: {reason}", agent.view.id);
        if fate == Some(Fate::Barred) {
            if let Some(claim) = self.claim.take() {
                claim.release(self.chain, customer).await;
                return Err(Failure::not_run(reason, message).with_request_id(id));
            }
            return self.after_refusal(agent, id, Refusal::not_run(reason), Revision(0), false).await;
        }
        self.attempts.record_run();
        // The lost attempt may still be billed, so its whole reservation counts as spent.
        self.reservation = None;
        let failure = Failure::unknown(reason, message).with_request_id(id);
        let may_retry =
            fate.is_none() && reason != Reason::Deadline && self.attempts.allows_another(self.attempt_limits());
        if !may_retry || !self.chain.try_acquire_retry(reason) {
            return Err(failure);
        }
        self.tried_agents.push(agent.view.id.clone());
        self.last_failure = Some(failure);
        self.replace_reservation().await
    }

    /// Returns the limits on attempts. The number of attempts is unlimited here; the retry budget bounds it.
    fn attempt_limits(&self) -> AttemptLimits {
        let idempotent = match &self.call.target {
            Target::Model(_) => true,
            Target::Plain(target) => target.idempotent,
        };
        AttemptLimits { idempotent, max_runs: u32::MAX, max_sends: u32::MAX }
    }

    /// Whether another choice remains. A claimed request does not escalate.
    fn can_escalate(&self) -> bool {
        self.claim.is_none() && self.choice_index + 1 < self.plan.choices.len()
    }

    /// Switches to the next choice, or returns `failure` if none remains.
    async fn escalate(&mut self, failure: Failure) -> Result<(), Failure> {
        if !self.can_escalate() {
            return Err(failure);
        }
        self.choice_index += 1;
        self.tried_agents.clear();
        self.last_failure = Some(failure);
        metrics::counter!(telemetry::RETRIES, "reason" => "escalation").increment(1);
        self.replace_reservation().await
    }

    /// Releases the reservation and reserves the maximum cost of the current choice.
    async fn replace_reservation(&mut self) -> Result<(), Failure> {
        if let Some(reservation) = self.reservation.take() {
            reservation.release();
        }
        let cost = self.current_choice().max_cost;
        self.reservation = Some(budget::reserve_amount(self.chain, &self.call, cost).await?);
        Ok(())
    }

    /// Releases the reservation of a request that ends without an answer. Sets the outcome to unknown if an earlier
    /// attempt may have run.
    fn finalize_failure(&mut self, mut failure: Failure) -> Failure {
        if self.attempts.may_have_run() {
            failure.refusal.outcome = Outcome::Unknown;
        }
        if let Some(reservation) = self.reservation.take() {
            reservation.release();
        }
        failure
    }
}

impl Drop for Execution<'_> {
    /// Handles a caller that disconnects before its answer starts; only then is the reservation still present here.
    /// Asks the agent to bar the attempt, so that a queued request does not run without a caller. The reservation is
    /// released only if the attempt did not run.
    fn drop(&mut self) {
        let Some(reservation) = self.reservation.take() else { return };
        let Some(InFlight { agent, incarnation, request_id }) = self.in_flight.take() else {
            return reservation.release();
        };
        metrics::counter!(telemetry::REFUSALS, "reason" => Reason::Cancelled.as_str(), "outcome" => "unknown")
            .increment(1);
        let (chain, customer) = (self.chain.clone(), self.call.customer.clone());
        // The runtime may already be shutting down.
        let Ok(runtime) = Handle::try_current() else { return };
        runtime.spawn(async move {
            let fate = claim::resolve(&chain, &customer, &request_id, &agent, incarnation).await;
            if fate == Some(Fate::Barred) {
                reservation.release();
            }
        });
    }
}

impl From<Refused> for AttemptError {
    fn from(refused: Refused) -> Self {
        // Each call has a stream of its own, so the refusal is the first response there.
        let proof = Received::default().record_refusal(&RequestId::default(), Named::Nothing);
        let Some(proof) = proof.filter(|_| refused.not_run) else {
            return Self::Failed(Failed { reason: refused.reason, bill: None });
        };
        let mut refusal = Refusal::not_run(events::parse_reason(&refused.reason));
        if refused.retry_after_ms > 0 {
            refusal = refusal.retry_after(Millis(refused.retry_after_ms));
        }
        Self::NotRun { refusal, revision: Revision(refused.revision), sent: true, proof }
    }
}

impl From<StreamError> for AttemptError {
    fn from(err: StreamError) -> Self {
        match err {
            StreamError::NotSent => {
                let refusal = Refusal::not_run(Reason::NoBackend);
                let proof = Unsent::begin().give_up();
                Self::NotRun { refusal, revision: Revision(0), sent: false, proof }
            }
            StreamError::AnswerUnavailable(_) => Self::Lost(Reason::ConnectionLost),
        }
    }
}

/// Whether another agent may accept a request that one agent refused for this reason.
fn may_retry_elsewhere(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::Overloaded
            | Reason::Cold
            | Reason::MemoryFull
            | Reason::SlowReader
            | Reason::DomainOut
            | Reason::Leaving
            | Reason::NotLoaded
            | Reason::NoBackend
            | Reason::StaleConfig
            | Reason::ConnectionLost
            | Reason::VersionWithdrawn
    )
}

/// Returns the body to send to the chosen model: unchanged, unless it names a class or contains a session, in which
/// case the model's name is inserted and the session removed.
fn body_for_model(body: &Bytes, target: &ModelCall, model: &str) -> Bytes {
    if target.name == model && !target.session_in_body {
        return body.clone();
    }
    let Ok(Value::Object(mut fields)) = serde_json::from_slice(body) else { return body.clone() };
    fields.remove("session");
    fields.insert("model".into(), model.into());
    Value::Object(fields).to_string().into()
}
