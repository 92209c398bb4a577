//! Claims a non-idempotent request before it runs, and replays the stored answer if it has already run.

use std::time::Duration;

use bytes::Bytes;
use eelgrasswell_core::{
    hash::sha256,
    id::{CustomerId, Fence, HostId, Incarnation, RequestId},
    refusal::Reason,
    retry,
    unit::Millis,
};
use eelgrasswell_proto::v1::{ResolveReply, ResolveRequest, resolve_reply::Fate};
use hyper::Response;
use tokio::time::{sleep, timeout};

use super::{
    Body, Chain, answer,
    backends::Candidate,
    choose::{self, Choice, Plan},
    execute::attempt_id,
    parse::{Call, Fetch, Target},
};
use crate::{
    callers::{body::full, failure::Failure},
    controller::shards::{ClaimCall, ClaimEnd, ClaimResult},
    event,
};

/// Maximum size of an answer body that is stored with a claim.
const MAX_STORED_BODY: usize = 4 << 10;
/// Timeout of `Agent.Resolve`, after which the agent counts as unreachable.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which a caller should retry while another attempt with the key is pending.
const PENDING_RETRY_AFTER: Millis = Millis(500);
/// Time after which a caller should retry while claims cannot be made durable.
const UNAVAILABLE_RETRY_AFTER: Millis = Millis(1_000);
/// Maximum number of consecutive claims that find another attempt pending.
const MAX_CLAIM_ROUNDS: u32 = 3;
/// Maximum number of retries of reporting the end of a claim. After that, a later request with the key determines the
/// outcome by `Agent.Resolve`.
const MAX_END_REPORTS: u32 = 10;

/// Result of claiming a request.
pub enum ClaimOutcome {
    /// The request may run. The claim is present if the request is not idempotent.
    Run(Option<Box<Claim>>),
    /// The request has already run; holds its answer.
    Replay(Response<Body>),
}

/// A claim granted for one attempt at one agent.
pub struct Claim {
    /// Fencing token that the agent checks.
    pub fence: Fence,
    /// Agent that may run the request.
    pub agent: Candidate,
    /// Id of the attempt.
    pub request_id: RequestId,
    /// Idempotency key of the request.
    key: String,
    /// SHA-256 of the request's method, path and body.
    digest: [u8; 32],
}

/// Claims the request if its route is not idempotent.
pub async fn claim_request(chain: &Chain, call: &Call, plan: &Plan) -> Result<ClaimOutcome, Failure> {
    let Target::Plain(target) = &call.target else { return Ok(ClaimOutcome::Run(None)) };
    if target.idempotent {
        return Ok(ClaimOutcome::Run(None));
    }
    let key = target.key.clone().unwrap_or_default();
    let method = call.method.as_str().as_bytes();
    let digest = sha256(&[method, b"\0", call.path.as_bytes(), b"\0", &call.body]);
    let choice = &plan.choices[0];
    let agent = choose::pick_agent(chain, call, choice, &[])
        .ok_or_else(|| Failure::not_run(Reason::NoBackend, format!("no agent of {} can be reached", choice.service)))?;
    request_claim(chain, call, agent, key, digest, None).await
}

/// Claims the request again for another agent, after the attempt of the claim `old` was barred. Returns `None` if there
/// is no other agent.
pub async fn claim_for_other_agent(
    chain: &Chain,
    call: &Call,
    choice: &Choice,
    tried: &[HostId],
    old: &Claim,
) -> Result<Option<ClaimOutcome>, Failure> {
    let Some(agent) = choose::pick_agent(chain, call, choice, tried) else { return Ok(None) };
    let barred = Some(old.request_id.clone());
    request_claim(chain, call, agent, old.key.clone(), old.digest, barred).await.map(Some)
}

/// Requests a claim for an attempt at `agent`. If another attempt holds the claim, resolves that one first: its answer
/// is replayed, or the claim is requested again once that attempt is barred. `barred` is an attempt already known to be
/// barred.
async fn request_claim(
    chain: &Chain,
    call: &Call,
    agent: Candidate,
    key: String,
    digest: [u8; 32],
    barred: Option<RequestId>,
) -> Result<ClaimOutcome, Failure> {
    let mut claim_call = ClaimCall {
        customer: call.customer.clone(),
        key,
        request_id: attempt_id(call.id, &agent.view.id),
        digest,
        agent: agent.view.id.clone(),
        agent_incarnation: agent.incarnation,
        barred,
    };
    for _ in 0..MAX_CLAIM_ROUNDS {
        match chain.backends.claim(&claim_call).await {
            ClaimResult::Granted(fence) => {
                let ClaimCall { key, request_id, .. } = claim_call;
                return Ok(ClaimOutcome::Run(Some(Box::new(Claim { fence, agent, request_id, key, digest }))));
            }
            ClaimResult::Pending { request_id, agent, agent_incarnation } => {
                let answer = resolve_pending(chain, &claim_call, &request_id, &agent, agent_incarnation).await?;
                let Some(answer) = answer else {
                    claim_call.barred = Some(request_id);
                    continue;
                };
                return Ok(ClaimOutcome::Replay(answer));
            }
            ClaimResult::Done { request_id, status, body: Some(body) } => {
                return Ok(ClaimOutcome::Replay(replay_response(&request_id, status, body)));
            }
            ClaimResult::Done { request_id, .. } => {
                let fetch = Fetch { customer: call.customer.clone(), request_id, offset: 0 };
                return answer::fetch(chain, fetch, None).await.map(ClaimOutcome::Replay);
            }
            ClaimResult::KeyReused => {
                return Err(Failure::not_run(Reason::KeyReused, "the key was used for another request"));
            }
            ClaimResult::Unavailable => {
                let mut failure = Failure::not_run(Reason::ClaimsUnavailable, "the request could not be claimed");
                failure.refusal = failure.refusal.retry_after(UNAVAILABLE_RETRY_AFTER);
                return Err(failure);
            }
        }
    }
    Err(pending_failure(&claim_call.request_id, "other attempts keep claiming the key"))
}

/// Resolves the outcome of the attempt that holds the claim. Returns its answer if it has finished, or `None` if it is
/// barred from running. Fails if it is running or its outcome is unknown.
async fn resolve_pending(
    chain: &Chain,
    call: &ClaimCall,
    request_id: &RequestId,
    agent: &HostId,
    incarnation: Incarnation,
) -> Result<Option<Response<Body>>, Failure> {
    let Some(reply) = query_agent(chain, &call.customer, request_id, agent, incarnation).await else {
        return Err(pending_failure(request_id, "the agent of the attempt that holds the key cannot be reached"));
    };
    match reply.fate() {
        Fate::Barred => Ok(None),
        Fate::Running => Err(pending_failure(request_id, "the request with this key is running")),
        Fate::Finished => {
            let status = u16::try_from(reply.status).unwrap_or_default();
            let end = ClaimEnd::Done { status, body: storable_body(&reply.body) };
            let (customer, key) = (call.customer.clone(), call.key.clone());
            report_end(chain.clone(), customer, key, request_id.clone(), end).await;
            Ok(Some(replay_response(request_id, status, reply.body)))
        }
        Fate::Unspecified | Fate::Unknown => {
            let message = "the outcome of the request with this key is unknown; it is not run again";
            Err(Failure::unknown(Reason::ConnectionLost, message).with_request_id(request_id))
        }
    }
}

/// Returns the fate of an attempt; the agent bars the attempt if it has not run. Returns `None` if the agent is
/// unreachable, or has restarted and has no record of the attempt.
pub async fn resolve(
    chain: &Chain,
    customer: &CustomerId,
    request_id: &RequestId,
    agent: &HostId,
    incarnation: Incarnation,
) -> Option<Fate> {
    let reply = query_agent(chain, customer, request_id, agent, incarnation).await?;
    (reply.agent_incarnation == incarnation.0).then(|| reply.fate())
}

/// Calls `Agent.Resolve`, which bars the attempt if it has not run. Returns `None` if the call fails or times out.
async fn query_agent(
    chain: &Chain,
    customer: &CustomerId,
    request_id: &RequestId,
    agent: &HostId,
    incarnation: Incarnation,
) -> Option<ResolveReply> {
    let mut client = chain.backends.client(agent)?;
    let req = ResolveRequest {
        request_id: request_id.to_string(),
        customer: customer.to_string(),
        agent_incarnation: incarnation.0,
    };
    match timeout(RESOLVE_TIMEOUT, client.resolve(req)).await {
        Ok(Ok(reply)) => Some(reply.into_inner()),
        Ok(Err(status)) => {
            event!(Warn, "resolve_failed", agent = agent, request = request_id, error = status);
            None
        }
        Err(_) => {
            event!(Warn, "resolve_timed_out", agent = agent, request = request_id);
            None
        }
    }
}

impl Claim {
    /// Asks the agent to bar the attempt. Returns true if the agent confirms that it will never run the attempt.
    pub async fn bar(&self, chain: &Chain, customer: &CustomerId) -> bool {
        let agent = &self.agent;
        let fate = resolve(chain, customer, &self.request_id, &agent.view.id, agent.incarnation).await;
        fate == Some(Fate::Barred)
    }

    /// Releases the claim of an attempt that has not run and never will.
    pub async fn release(self, chain: &Chain, customer: &CustomerId) {
        report_end(chain.clone(), customer.clone(), self.key, self.request_id, ClaimEnd::Released).await;
    }

    /// Completes the claim and stores the answer. `body` is `None` if the answer is too large to store.
    pub async fn complete(self, chain: &Chain, customer: &CustomerId, status: u16, body: Option<Bytes>) {
        let end = ClaimEnd::Done { status, body };
        report_end(chain.clone(), customer.clone(), self.key, self.request_id, end).await;
    }
}

/// Returns the body to store with a claim: the whole body, or `None` if it is too large.
pub fn storable_body(body: &Bytes) -> Option<Bytes> {
    (body.len() <= MAX_STORED_BODY).then(|| body.clone())
}

/// Reports the end of a claim. If the report does not become durable at once, it is retried in the background, so that
/// the caller gets its answer without delay.
async fn report_end(chain: Chain, customer: CustomerId, key: String, request_id: RequestId, end: ClaimEnd) {
    if chain.backends.complete(&customer, &key, &request_id, end.clone()).await {
        return;
    }
    tokio::spawn(async move {
        for attempt in 0..MAX_END_REPORTS {
            let pause = retry::backoff(attempt, &mut rand::rng());
            sleep(pause.into()).await;
            if chain.backends.complete(&customer, &key, &request_id, end.clone()).await {
                return;
            }
        }
        event!(Warn, "claim_end_not_durable", request = request_id);
    });
}

/// Builds the response that replays a stored answer.
fn replay_response(request_id: &RequestId, status: u16, body: Bytes) -> Response<Body> {
    Response::builder()
        .status(if (100..1000).contains(&status) { status } else { 502 })
        .header("x-request-id", request_id.as_str())
        .body(full(body))
        .expect("a status in range makes a valid response")
}

/// Failure of a request whose claim is held by another attempt. Its outcome is unknown, because that attempt may have
/// run.
fn pending_failure(request_id: &RequestId, message: &str) -> Failure {
    let mut failure = Failure::unknown(Reason::ClaimPending, message).with_request_id(request_id);
    failure.refusal = failure.refusal.retry_after(PENDING_RETRY_AFTER);
    failure
}
