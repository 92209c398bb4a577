//! Runs a request on an agent, and elsewhere only when that can do no harm.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use eelgrasswell_core::{
    id::{HostId, RequestId, Revision},
    refusal::{Outcome, Reason, Refusal},
    unit::{Cost, Millis, Tokens},
};
use eelgrasswell_manifest::manifest::VersionState;
use eelgrasswell_proto::v1::{BillRecord, ExecuteRequest, Failed, Finished, Head, Refused};
use serde_json::Value;
use tokio::time::{Instant, timeout, timeout_at};
use uuid::Uuid;

use super::{
    Chain,
    backends::Candidate,
    budget::{self, Held},
    choose::{self, Choice, Plan},
    claim::{self, Claim, Claimed},
    events::{self, Event, Events, Lost},
    failure::Failure,
    parse::{Call, SessionWish, Target},
    session::Pin,
};
use crate::{
    controller::{evidence::AnswerSample, links::Outstanding},
    invariant::{self, Promise},
    telemetry,
};

/// Largest answer that is collected before it is sent, so that its headers can tell the cost. Larger
/// ones are streamed and tell it in a trailer.
const MAX_WHOLE: usize = 64 << 10;
/// Time that an agent has beyond the deadline to say itself that the deadline has passed.
const DEADLINE_GRACE: Duration = Duration::from_millis(500);
/// Longest wait for a configuration that an agent has and this router has not.
const CATCH_UP: Duration = Duration::from_secs(1);

/// A request whose answer has begun or is complete.
pub struct Run {
    /// Status and headers of the answer.
    pub head: Head,
    /// Bytes of the answer so far.
    pub body: Vec<Bytes>,
    /// Last event when the answer is complete; otherwise more events come.
    pub finished: Option<Finished>,
    /// Events to come.
    pub events: Events,
    /// What is due when the answer ends.
    pub settlement: Settlement,
    /// Session id for the caller.
    pub session: Option<String>,
}

/// What is due when an answer ends: bill, budget, claim, evidence.
pub struct Settlement {
    chain: Chain,
    /// Id of the attempt.
    pub request_id: RequestId,
    /// Where it runs.
    pub choice: Choice,
    agent: HostId,
    customer: eelgrasswell_core::id::CustomerId,
    held: Held,
    claim: Option<Box<Claim>>,
    /// Estimate of the prompt's length; zero for a plain service.
    prompt: Tokens,
    first_token: Option<Millis>,
    _outstanding: Option<Outstanding>,
}

/// Id of the attempt of request `id` at `agent`.
pub fn attempt_id(id: Uuid, agent: &HostId) -> RequestId {
    RequestId::from(format!("{id}.{agent}").as_str())
}

/// Runs the request until its answer begins.
pub async fn start(
    chain: &Chain,
    call: Call,
    pin: Option<Pin>,
    plan: Plan,
    held: Held,
    claim: Option<Box<Claim>>,
) -> Result<Run, Failure> {
    chain.retries().note_request();
    let mut execution = Execution {
        chain,
        call,
        pin,
        plan,
        level: 0,
        held: Some(held),
        claim,
        tried: Vec::new(),
        may_have_run: false,
        last: None,
    };
    let result = execution.run().await;
    result.map_err(|failure| execution.close(failure))
}

struct Execution<'a> {
    chain: &'a Chain,
    call: Call,
    pin: Option<Pin>,
    plan: Plan,
    /// Index of the choice in use; rises with each escalation.
    level: usize,
    held: Option<Held>,
    claim: Option<Box<Claim>>,
    /// Agents that have been asked for the choice in use.
    tried: Vec<HostId>,
    /// Whether an earlier attempt may have run.
    may_have_run: bool,
    last: Option<Failure>,
}

/// An attempt whose answer has begun.
struct Begun {
    head: Head,
    body: Vec<Bytes>,
    finished: Option<Finished>,
    events: Events,
    first_token: Option<Millis>,
    outstanding: Option<Outstanding>,
}

/// An attempt that ended without an answer.
enum Ended {
    /// It did not run. `sent` tells whether the agent has seen it.
    NotRun { refusal: Refusal, revision: Revision, sent: bool },
    /// The backend server failed it.
    Failed(Failed),
    /// Nothing is known of it.
    Lost(Reason),
}

impl Execution<'_> {
    async fn run(&mut self) -> Result<Run, Failure> {
        loop {
            let Some(agent) = self.next_agent() else {
                let failure = self.last.take().unwrap_or_else(|| {
                    let service = &self.choice().service;
                    Failure::not_run(Reason::NoBackend, format!("no agent of {service} can run the request"))
                });
                self.escalate(failure).await?;
                continue;
            };
            let id = attempt_id(self.call.id, &agent.view.id);
            match self.attempt(&agent, &id).await {
                Ok(begun) => return Ok(self.answered(agent, id, begun)),
                Err(Ended::NotRun { refusal, revision, sent }) => {
                    self.after_refusal(&agent, &id, refusal, revision, sent).await?;
                }
                Err(Ended::Failed(failed)) => self.after_failure(&agent, &id, failed).await?,
                Err(Ended::Lost(reason)) => self.after_loss(&agent, &id, reason).await?,
            }
        }
    }

    fn choice(&self) -> &Choice {
        &self.plan.choices[self.level]
    }

    fn next_agent(&self) -> Option<Candidate> {
        match &self.claim {
            Some(claim) => Some(claim.agent.clone()),
            None => choose::agent(self.chain, &self.call, self.choice(), &self.tried),
        }
    }

    async fn attempt(&self, agent: &Candidate, id: &RequestId) -> Result<Begun, Ended> {
        let remaining = self.call.deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            let refusal = Refusal::not_run(Reason::Deadline);
            return Err(Ended::NotRun { refusal, revision: Revision(0), sent: false });
        }
        self.check_promises();
        let req = self.request(agent, id, remaining);
        let limit = self.call.deadline + DEADLINE_GRACE;
        let begun = timeout_at(limit, self.begin(agent, req)).await;
        begun.unwrap_or(Err(Ended::Lost(Reason::Deadline)))
    }

    /// Asserts that the choice is one that the customer may use and that may receive work.
    fn check_promises(&self) {
        let Choice { model, version, .. } = self.choice();
        if model.is_empty() {
            return;
        }
        let config = &self.call.config;
        let customer = config.manifest.customers.get(&self.call.customer);
        let found = || format!("customer {} version {version} of {model}", self.call.customer);
        invariant::check(Promise::Allowed, customer.is_some_and(|c| c.allows(model, version)), found);
        let state = config.version_state(model, version);
        let usable = match state {
            Some(VersionState::Open) => true,
            Some(VersionState::Closed) => self.plan.pinned,
            Some(VersionState::Withdrawn) | None => false,
        };
        invariant::check(Promise::Withdrawn, usable, found);
        let kept = self.pin.as_ref().is_none_or(|pin| pin.model == *model && pin.version == *version);
        invariant::check(Promise::Session, kept, found);
    }

    fn request(&self, agent: &Candidate, id: &RequestId, remaining: Duration) -> ExecuteRequest {
        let call = &self.call;
        let choice = self.choice();
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
                req.body = body_for(&call.body, target.name.as_str(), choice.model.as_str());
            }
            Target::Plain(target) => {
                req.service = target.service.to_string();
                req.idempotent = target.idempotent;
                req.claim_fence = self.claim.as_ref().map_or(0, |claim| claim.fence.0);
                invariant::check(Promise::AtMostOnce, target.idempotent || self.claims(agent, id), || {
                    format!("request {id} has no claim")
                });
            }
        }
        req
    }

    fn claims(&self, agent: &Candidate, id: &RequestId) -> bool {
        self.claim.as_ref().is_some_and(|claim| claim.request_id == *id && claim.agent.view.id == agent.view.id)
    }

    /// Sends the request and waits for its answer to begin, or for all of it when it is not a stream.
    async fn begin(&self, agent: &Candidate, req: ExecuteRequest) -> Result<Begun, Ended> {
        let sent_at = Instant::now();
        let streamed = req.stream;
        let outstanding = agent.start();
        let mut client = agent.client.clone();
        let backends = Arc::clone(&self.chain.backends);
        let mut events = Events::execute(backends, &mut client, agent.view.id.clone(), req).await?;
        let mut head = Head { status: 200, headers: Vec::new() };
        let mut body = Vec::new();
        let mut length = 0;
        let mut first_token = None;
        let finished = loop {
            match events.next().await? {
                Event::Head(first) => head = first,
                Event::Data(chunk) => {
                    first_token.get_or_insert_with(|| Millis::from(sent_at.elapsed()));
                    length += chunk.len();
                    body.push(chunk);
                    if streamed || length > MAX_WHOLE {
                        break None;
                    }
                }
                Event::Finished(finished) => break Some(finished),
                Event::Refused(refused) => return Err(refused.into()),
                Event::Failed(failed) => return Err(Ended::Failed(failed)),
            }
        };
        Ok(Begun { head, body, finished, events, first_token, outstanding })
    }

    fn answered(&mut self, agent: Candidate, request_id: RequestId, begun: Begun) -> Run {
        let Begun { head, body, finished, events, first_token, outstanding } = begun;
        let choice = self.choice().clone();
        if let Target::Model(target) = &self.call.target {
            self.chain.memory().note_cached(&agent.view.id, target.prefix, self.chain.router.clock.now());
        }
        let session = match &self.call.session {
            SessionWish::None => None,
            SessionWish::New => self.chain.router.sessions.issue(&self.call.customer, &choice.model, &choice.version),
            SessionWish::Id(id) => Some(id.clone()),
        };
        let settlement = Settlement {
            chain: self.chain.clone(),
            request_id,
            choice,
            agent: agent.view.id,
            customer: self.call.customer.clone(),
            held: self.held.take().expect("money is held while the request runs"),
            claim: self.claim.take(),
            prompt: match &self.call.target {
                Target::Model(target) => target.prompt,
                Target::Plain(_) => Tokens(0),
            },
            first_token,
            _outstanding: outstanding,
        };
        Run { head, body, finished, events, settlement, session }
    }

    /// Goes on after an attempt that did not run: at another agent, under the retry budget.
    async fn after_refusal(
        &mut self,
        agent: &Candidate,
        id: &RequestId,
        refusal: Refusal,
        revision: Revision,
        sent: bool,
    ) -> Result<(), Failure> {
        let reason = refusal.reason;
        let failure = Failure::from(refusal).at(id);
        self.chain.memory().note_refusal(&agent.view.id, self.chain.router.clock.now());
        self.tried.push(agent.view.id.clone());
        let again = goes_elsewhere(reason) && self.chain.take_retry(reason);
        if let Some(claim) = self.claim.take() {
            self.reclaim(claim, sent, again, failure).await?;
            return Ok(());
        }
        if !again {
            return Err(failure);
        }
        if revision > self.call.config.revision {
            self.catch_up(revision).await?;
        }
        self.last = Some(failure);
        Ok(())
    }

    /// Moves the claim of an attempt that did not run to another agent, or releases it.
    async fn reclaim(&mut self, claim: Box<Claim>, sent: bool, again: bool, failure: Failure) -> Result<(), Failure> {
        let customer = self.call.customer.clone();
        if sent && !claim.bar(self.chain, &customer).await {
            // The claim stays with the attempt until another one settles it.
            return Err(failure);
        }
        if again {
            let choice = self.choice().clone();
            match claim::retake(self.chain, &self.call, &choice, &self.tried, &claim).await? {
                Some(Claimed::Run(claim)) => {
                    self.claim = claim;
                    return Ok(());
                }
                Some(Claimed::Replay(_)) => {
                    let message = "another attempt with this key has finished";
                    return Err(Failure::unknown(Reason::ClaimPending, message));
                }
                None => {}
            }
        }
        claim.release(self.chain, &customer).await;
        Err(failure)
    }

    /// Decides anew by a configuration that is at least `revision`.
    async fn catch_up(&mut self, revision: Revision) -> Result<(), Failure> {
        let config = &self.chain.router.config;
        let _ = timeout(CATCH_UP, config.reached(revision)).await;
        self.call.config = config.current();
        let old_cost = self.choice().max_cost;
        self.plan = choose::plan(self.chain, &self.call, self.pin.as_ref())?;
        self.level = self.level.min(self.plan.choices.len() - 1);
        if self.choice().max_cost > old_cost {
            self.hold_anew(Some(Cost::ZERO)).await?;
        }
        Ok(())
    }

    /// Goes on after the backend server failed: on the next model, when there is one and the failed
    /// attempt costs nothing, so that the request is billed once.
    async fn after_failure(&mut self, agent: &Candidate, id: &RequestId, failed: Failed) -> Result<(), Failure> {
        let Choice { model, version, .. } = self.choice().clone();
        if !model.is_empty() {
            let sample = AnswerSample { error: true, first_token: None };
            self.chain.router.evidence.record(&model, &version, sample);
        }
        self.may_have_run = true;
        let reason = events::reason(&failed.reason);
        let failure = Failure::unknown(reason, format!("agent {} failed the request: {reason}", agent.view.id)).at(id);
        let spent = failed.bill.as_ref().map_or(Cost::ZERO, |bill| Cost(bill.cost_micros));
        if let Some(bill) = failed.bill {
            self.chain.router.bills.push(&agent.view.id, bill);
        }
        if let Some(held) = self.held.take_if(|_| spent > Cost::ZERO) {
            held.settle(spent);
            return Err(failure);
        }
        self.escalate(failure).await
    }

    /// Goes on after the connection was lost for good: elsewhere under the retry budget when the
    /// request is idempotent, since nothing of its answer was delivered.
    async fn after_loss(&mut self, agent: &Candidate, id: &RequestId, reason: Reason) -> Result<(), Failure> {
        let message = format!("the connection to agent {} was lost: {reason}", agent.view.id);
        if let Some(claim) = self.claim.take() {
            if claim.bar(self.chain, &self.call.customer).await {
                claim.release(self.chain, &self.call.customer).await;
                return Err(Failure::not_run(reason, message).at(id));
            }
            self.may_have_run = true;
            return Err(Failure::unknown(reason, message).at(id));
        }
        self.may_have_run = true;
        let failure = Failure::unknown(reason, message).at(id);
        if reason == Reason::Deadline || !self.chain.take_retry(reason) {
            return Err(failure);
        }
        self.tried.push(agent.view.id.clone());
        self.last = Some(failure);
        // The lost attempt may yet be billed, so its reservation stays spent.
        self.hold_anew(None).await
    }

    /// Goes on with the next choice, when there is one.
    async fn escalate(&mut self, failure: Failure) -> Result<(), Failure> {
        if self.claim.is_some() || self.level + 1 >= self.plan.choices.len() {
            return Err(failure);
        }
        self.level += 1;
        self.tried.clear();
        self.last = Some(failure);
        metrics::counter!(telemetry::RETRIES, "reason" => "escalation").increment(1);
        self.hold_anew(Some(Cost::ZERO)).await
    }

    /// Replaces the reservation by one for the choice in use; `spent` of the old one is kept, all of
    /// it when that is not known.
    async fn hold_anew(&mut self, spent: Option<Cost>) -> Result<(), Failure> {
        if let (Some(held), Some(spent)) = (self.held.take(), spent) {
            held.settle(spent);
        }
        let cost = self.choice().max_cost;
        self.held = Some(budget::amount(self.chain, &self.call, cost).await?);
        Ok(())
    }

    /// Settles the budget of a request that ends without an answer, and corrects the outcome when an
    /// earlier attempt may have run.
    fn close(&mut self, mut failure: Failure) -> Failure {
        if self.may_have_run {
            failure.refusal.outcome = Outcome::Unknown;
        }
        // A failed attempt without a bill costs nothing; a lost one may yet be billed, and keeps its
        // reservation.
        let lost = failure.refusal.outcome == Outcome::Unknown && failure.refusal.reason != Reason::BackendError;
        if let Some(held) = self.held.take_if(|_| !lost) {
            held.settle_unspent();
        }
        failure
    }
}

impl From<Refused> for Ended {
    fn from(refused: Refused) -> Self {
        if !refused.not_run {
            return Self::Failed(Failed { reason: refused.reason, bill: None });
        }
        let mut refusal = Refusal::not_run(events::reason(&refused.reason));
        if refused.retry_after_ms > 0 {
            refusal = refusal.retry_after(Millis(refused.retry_after_ms));
        }
        Self::NotRun { refusal, revision: Revision(refused.revision), sent: true }
    }
}

impl From<Lost> for Ended {
    fn from(lost: Lost) -> Self {
        match lost {
            Lost::NotSent => {
                let refusal = Refusal::not_run(Reason::NoBackend);
                Self::NotRun { refusal, revision: Revision(0), sent: false }
            }
            Lost::Gone(_) => Self::Lost(Reason::ConnectionLost),
        }
    }
}

/// Whether another agent may accept what one has refused for this reason.
fn goes_elsewhere(reason: Reason) -> bool {
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
            | Reason::VersionWithdrawn
    )
}

/// The body for the chosen model: unchanged, unless it names a class or asks for a session.
fn body_for(body: &Bytes, name: &str, model: &str) -> Bytes {
    const SESSION: &str = "session";
    let Ok(Value::Object(mut fields)) = serde_json::from_slice(body) else { return body.clone() };
    if name == model && !fields.contains_key(SESSION) {
        return body.clone();
    }
    fields.remove(SESSION);
    fields.insert("model".into(), model.into());
    Value::Object(fields).to_string().into()
}

impl Settlement {
    /// Settles a complete answer; returns its cost. `body` is kept with the claim.
    pub async fn finished(self, finished: Finished, status: u16, body: Option<Bytes>) -> Cost {
        let router = &self.chain.router;
        let Choice { model, version, .. } = &self.choice;
        let mut cost = self.choice.max_cost;
        if let Some(bill) = finished.bill {
            cost = Cost(bill.cost_micros);
            router.bills.push(&self.agent, bill);
        }
        self.held.settle(cost);
        if !model.is_empty() {
            let sample = AnswerSample { error: false, first_token: self.first_token };
            router.evidence.record(model, version, sample);
            router.quality.note_answer(&self.request_id, &self.customer, model, version);
        }
        if let Some(claim) = self.claim {
            claim.complete(&self.chain, &self.customer, status, body).await;
        }
        let kind = if model.is_empty() { "plain" } else { "model" };
        metrics::counter!(telemetry::ANSWERS, "kind" => kind).increment(1);
        cost
    }

    /// Settles an answer that the backend server broke off. Without a bill the reservation stays
    /// spent, since a bill may come from the agent.
    pub fn failed(self, bill: Option<BillRecord>) {
        let Choice { model, version, .. } = &self.choice;
        if !model.is_empty() {
            let sample = AnswerSample { error: true, first_token: self.first_token };
            self.chain.router.evidence.record(model, version, sample);
        }
        if let Some(bill) = bill {
            self.held.settle(Cost(bill.cost_micros));
            self.chain.router.bills.push(&self.agent, bill);
        }
    }

    /// Bills what was delivered of an answer whose agent cannot be reached any more, since its bill may
    /// have died with it. If it has not, the bill that comes first counts. The reservation stays spent.
    pub fn lost(self, delivered: Tokens) {
        let router = &self.chain.router;
        let Choice { model, version, .. } = &self.choice;
        let config = router.config.current();
        let Some(prices) = config.manifest.models.get(model).and_then(|model| model.versions.get(version)) else {
            return;
        };
        let bill = BillRecord {
            request_id: self.request_id.to_string(),
            customer: self.customer.to_string(),
            model: model.to_string(),
            version: version.to_string(),
            prompt_tokens: self.prompt.0,
            output_tokens: delivered.0,
            cost_micros: prices.cost(self.prompt, delivered).0,
            service: self.choice.service.to_string(),
            router_incarnation: router.incarnation.0,
        };
        router.bills.push(&self.agent, bill);
    }
}
