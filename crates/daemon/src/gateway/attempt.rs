//! One send of a request to one backend server, up to the head of the answer.
//!
//! The reasons in `SendFailure::Lost` also reach callers, as part of the failure's message.

mod ends;

use std::{fmt, sync::Arc, time::Duration};

use bytes::Bytes;
use eelgrasswell_core::{
    backend::Backend,
    backend_health::Outcome,
    caller_status::CallerStatus,
    canary::VersionRule,
    crash_evidence::{Block, PartId},
    id::{BackendId, ModelName, RequestId},
    not_run::{Named, NotRun, Received, Unsent},
    pool::{Cost, Requirements, SendId, Unavailable},
    unit::Millis,
};
use eelgrasswell_platform::{
    request::{self, RouterFields},
    response::{self, ResponseMeta},
};
use http_body_util::Full;
use hyper::{HeaderMap, Request, Response, StatusCode};
use tokio::time::{Instant, timeout_at};

use self::ends::drain;
use super::{
    Gateway, State,
    answer_body::AnswerBody,
    connections::{BackendConn, Unanswered},
    net::Conn,
    request::Call,
    response_stats::{Sample, SampleOutcome},
};
use crate::{event, sync::lock, telemetry};

/// Timeout for connecting to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Prompt tokens that load a backend server as much as one small request.
const PROMPT_TOKENS_PER_COST: f64 = 7_000.0;
/// Answer tokens that load a backend server as much as one small request.
const OUTPUT_TOKENS_PER_COST: f64 = 500.0;
/// Minimum load assumed for the tokens of a request to a model, before the factor for the model's price.
const MIN_MODEL_COST: Cost = 0.1;
/// Exponent that turns a model's relative price into its relative load. A more expensive model takes more of a server's
/// time, but less than in proportion to its price.
const PRICE_EXPONENT: f64 = 0.6;

/// Parameters of one send.
#[derive(Clone, Copy)]
pub struct Attempt<'a> {
    /// The request.
    pub call: &'a Call,
    /// Model to run the request on; none for a plain service.
    pub model: Option<&'a ModelName>,
    /// Id of the last event that the caller has received, if a stream is resumed.
    pub resume_after: Option<&'a str>,
    /// Versions that the request may run on.
    pub rule: &'a VersionRule,
    /// Servers that the request has been sent to already.
    pub tried: &'a [BackendId],
    /// Deadline for the head of the answer.
    pub head_deadline: Instant,
    /// Time after which the server gets no further requests until it answers this one.
    pub overdue_after: Millis,
    /// Whether an earlier send of the request failed.
    pub has_failed: bool,
    /// Whether only servers with spare capacity are considered, and only the versions that the rule allows.
    pub spare_only: bool,
}

/// A backend server's answer whose head has been received.
pub struct Answer {
    /// HTTP status, as callers get it.
    pub status: CallerStatus,
    /// Header fields as the server sent them.
    pub headers: HeaderMap,
    /// Values of the header fields that the router evaluates.
    pub meta: ResponseMeta,
    /// The body, which has not been read yet.
    pub body: AnswerBody,
    /// The send that the answer belongs to.
    pub guard: SendGuard,
}

/// A request that counts as load of a backend server until this is dropped.
pub struct SendGuard {
    gateway: Gateway,
    /// The backend server.
    pub backend: Arc<Backend>,
    send: SendId,
    cost: Cost,
    id: RequestId,
    shared_parts: Arc<[PartId]>,
    /// When the answer began.
    answered_at: Option<Instant>,
    conn: Option<BackendConn>,
}

/// A send that ended without an answer.
#[derive(Debug)]
pub enum SendFailure {
    /// No backend server could be chosen.
    Unavailable(Unavailable),
    /// The request was not sent because a part of its prompt crashes servers.
    Blocked(Block),
    /// The request did not run.
    NotRun { backend: Arc<Backend>, why: String, proof: NotRun },
    /// The server has run the request and failed, with a status that would promise callers that it was not run.
    Failed { backend: Arc<Backend>, status: StatusCode },
    /// The request may have run.
    Lost { backend: Arc<Backend>, why: String },
}

impl fmt::Display for SendFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(why) => write!(f, "no server: {why:?}"),
            Self::Blocked(block) => write!(f, "not sent: a part of the prompt crashed {} servers", block.servers),
            Self::NotRun { backend, why, .. } => write!(f, "not run at {}: {why}", backend.id),
            Self::Failed { backend, status } => write!(f, "failed at {} with {status}", backend.id),
            Self::Lost { backend, why } => write!(f, "lost at {}: {why}", backend.id),
        }
    }
}

impl Attempt<'_> {
    /// Chooses a server and counts the send there.
    pub fn choose(&self, gateway: &Gateway) -> Result<SendGuard, SendFailure> {
        match gateway.find_block(&self.call.id, &self.call.shared_parts) {
            Some(block) => Err(SendFailure::Blocked(block)),
            None => self.choose_backend(gateway).map_err(SendFailure::Unavailable),
        }
    }

    /// Sends the request to the server that `choose` chose and waits for the head of the answer. If the future is dropped,
    /// the connection is closed and the load is taken off the server.
    pub async fn send(&self, gateway: &Gateway, mut guard: SendGuard) -> Result<Answer, SendFailure> {
        let backend = Arc::clone(&guard.backend);
        let unsent = Unsent::begin();
        let started = Instant::now();
        let conn = match self.connect(gateway, &backend).await {
            Ok(conn) => conn,
            Err(why) => {
                gateway.record_outcome(&backend, Outcome::Unreachable);
                return Err(SendFailure::NotRun { backend, why, proof: unsent.give_up() });
            }
        };
        // The server may have started to drain while the connection was opened.
        if !lock(&gateway.pool).is_available(gateway.clock.now(), &backend) {
            let why = "it accepts no new requests".into();
            return Err(SendFailure::NotRun { backend, why, proof: unsent.give_up() });
        }
        let conn = guard.conn.insert(conn);
        let req = self.backend_request(gateway, &backend, conn.received.clone());
        let result = timeout_at(self.head_deadline, conn.send(unsent, req)).await;
        let response = match result {
            Ok(Ok(response)) => response,
            Ok(Err(Unanswered::NotSent { proof, why })) => {
                gateway.record_outcome(&backend, Outcome::Unreachable);
                return Err(SendFailure::NotRun { backend, why, proof });
            }
            Ok(Err(Unanswered::Lost(why))) => {
                gateway.record_crash(&backend, &self.call.id, &self.call.shared_parts, Millis::ZERO);
                return Err(self.fail_as_lost(gateway, backend, None, why));
            }
            Err(_) => {
                return Err(self.fail_as_lost(gateway, backend, Some(SampleOutcome::TimedOut), "it is silent".into()));
            }
        };
        let (head, incoming) = response.into_parts();
        let body = AnswerBody::new(incoming, &head.headers, conn.conn.socket());
        self.classify_response(gateway, guard, Response::from_parts(head, body), started)
    }

    /// Chooses a server and counts the send there. If all servers that the version rule allows have been tried and the
    /// rule is not strict, servers with any version are considered.
    fn choose_backend(&self, gateway: &Gateway) -> Result<SendGuard, Unavailable> {
        let call = self.call;
        let service = call.config.service(&call.service);
        let cold_per_second = service.map_or(0.0, |service| service.cold_per_second);
        let cost = self.cost();
        let requirements = Requirements {
            service: &call.service,
            shared_prefix: call.shared_prefix.filter(|_| call.route.affinity),
            cost,
            overdue_after: self.overdue_after,
            version: self.rule.only.as_ref(),
            excluded_version: self.rule.excluded.as_ref(),
            fills_servers: self.rule.on_trial && self.model.is_none(),
            avoids_full: gateway.admission.is_some() && self.model.is_none() && !call.route.affinity,
            tried: self.tried,
            domain: &gateway.settings.domain,
            cold_per_second: gateway.settings().bounds.cold_limit(cold_per_second),
            routers: gateway.router_count(),
        };
        let now = gateway.clock.now();
        let mut rng = rand::rng();
        let mut pool = lock(&gateway.pool);
        let first_choice = if self.spare_only {
            pool.choose_spare(now, &requirements, &mut rng)
        } else {
            pool.choose(now, &requirements, &mut rng)
        };
        let chosen = match first_choice {
            Err(Unavailable::AllTried | Unavailable::Paused { .. }) if !self.rule.strict && !self.spare_only => {
                let any_version =
                    Requirements { version: None, excluded_version: None, fills_servers: false, ..requirements };
                pool.choose(now, &any_version, &mut rng)
            }
            chosen => chosen,
        };
        let (backend, send) = chosen?;
        Ok(SendGuard {
            gateway: gateway.clone(),
            backend,
            send,
            cost,
            id: call.id.clone(),
            shared_parts: Arc::clone(&call.shared_parts),
            answered_at: None,
            conn: None,
        })
    }

    /// Load that the request puts on a server, in units of one small request.
    fn cost(&self) -> Cost {
        let call = self.call;
        let Some(service) = call.config.service(&call.service).filter(|service| !service.models.is_empty()) else {
            return 1.0;
        };
        let price = self.model.map_or(1.0, |model| service.relative_price(model));
        let output = call.meta.expected_output.unwrap_or(call.meta.max_output).0.min(call.meta.max_output.0);
        let tokens = call.meta.prompt.0 as f64 / PROMPT_TOKENS_PER_COST + output as f64 / OUTPUT_TOKENS_PER_COST;
        price.powf(PRICE_EXPONENT) * tokens.max(MIN_MODEL_COST)
    }

    /// Takes an idle connection, or opens one if there is none or a new one is preferred.
    async fn connect(&self, gateway: &Gateway, backend: &Backend) -> Result<BackendConn, String> {
        let idempotent = self.call.route.kind.is_idempotent();
        if !idempotent && gateway.connections.prefers_new(gateway.clock.now(), backend) {
            let opened = self.open(backend).await;
            return match opened {
                Ok(conn) => Ok(conn),
                Err(why) => self.acquire_idle(gateway, backend).await.ok_or(why),
            };
        }
        match self.acquire_idle(gateway, backend).await {
            Some(conn) => Ok(conn),
            None => self.open(backend).await,
        }
    }

    async fn acquire_idle(&self, gateway: &Gateway, backend: &Backend) -> Option<BackendConn> {
        let idempotent = self.call.route.kind.is_idempotent();
        while let Some(mut conn) = gateway.connections.acquire(backend, &self.call.id, idempotent) {
            if conn.conn.ready().await {
                return Some(conn);
            }
        }
        None
    }

    async fn open(&self, backend: &Backend) -> Result<BackendConn, String> {
        let limit = CONNECT_TIMEOUT.min(self.head_deadline.saturating_duration_since(Instant::now()));
        let opened = Conn::open(backend.address, limit).await;
        let mut conn = opened.map_err(|err| format!("could not connect to {}: {err}", backend.address))?;
        if conn.ready().await {
            Ok(conn.into())
        } else {
            Err(format!("the connection to {} is unusable", backend.address))
        }
    }

    /// The request to `backend`, on a connection on which `received` has come before.
    fn backend_request(&self, gateway: &Gateway, backend: &Arc<Backend>, received: Received) -> Request<Full<Bytes>> {
        let call = self.call;
        let fields = RouterFields {
            backend: &backend.id,
            remaining: Millis::from(call.remaining()),
            customer: call.customer(),
            model: self.model,
            resume_after: self.resume_after,
            urgency: Some(call.urgency()),
        };
        let mut req = Request::new(Full::new(call.body.clone()));
        *req.method_mut() = call.method.clone();
        *req.uri_mut() = call.uri.clone();
        *req.headers_mut() = request::backend_headers(&call.headers, &fields);
        let (gateway, backend, id) = (gateway.clone(), Arc::clone(backend), call.id.clone());
        hyper::ext::on_informational(&mut req, move |interim| {
            if response::is_leaving(interim.headers()) {
                let named = Named::by_id(response::request_id(interim.headers()), &id);
                gateway.record_interim_departure(&backend, &id, received.attribute(&id, named));
            }
        });
        req
    }

    /// Decides from the head of the response whether the send succeeded, and records its outcome.
    fn classify_response(
        &self,
        gateway: &Gateway,
        mut guard: SendGuard,
        response: Response<AnswerBody>,
        started: Instant,
    ) -> Result<Answer, SendFailure> {
        let (head, body) = response.into_parts();
        guard.answered_at = Some(Instant::now());
        let meta = response::parse(head.status, &head.headers);
        let backend = Arc::clone(&guard.backend);
        lock(&gateway.pool).record_response(&backend, guard.send);
        let named = Named::by_id(meta.id.as_deref(), &self.call.id);
        gateway.record_announcements(&backend, &self.call.id, &meta, guard.attribute(named));
        if named == Named::OtherRequest {
            let why = "an answer to another request came".into();
            return Err(self.fail_as_lost(gateway, backend, Some(SampleOutcome::Failed), why));
        }
        let status = head.status;
        if meta.not_run {
            if named == Named::Nothing && !meta.replaced {
                gateway.record_unnamed_refusal(&backend, &self.call.id);
            }
            let Some(proof) = guard.record_refusal(named) else {
                event!(
                    Warn,
                    "refusal_doubted",
                    request = self.call.id,
                    backend = backend.id,
                    status = status.as_u16(),
                    idempotent = self.call.route.kind.is_idempotent()
                );
                metrics::counter!(telemetry::REFUSALS_DOUBTED).increment(1);
                let why = "its refusal may belong to another request".into();
                return Err(self.fail_as_lost(gateway, backend, None, why));
            };
            if meta.replaced {
                gateway.record_replaced(&backend, &self.call.id, &proof);
                let why = "another server answers at its address".into();
                return Err(SendFailure::NotRun { backend, why, proof });
            }
            gateway.record_outcome(&backend, Outcome::Refused);
            tokio::spawn(drain(body, guard, meta));
            return Err(SendFailure::NotRun { backend, why: format!("it refused with {status}"), proof });
        }
        guard.record_response();
        if status.is_success() && (!meta.sealed || meta.encoded) {
            let why = "the answer is not sealed".into();
            return Err(self.fail_as_lost(gateway, backend, Some(SampleOutcome::Failed), why));
        }
        if !CallerStatus::is_defined(status.as_u16()) {
            event!(Warn, "undefined_status", request = self.call.id, backend = backend.id, status = status.as_u16());
            let why = format!("its status, {}, is undefined", status.as_u16());
            return Err(self.fail_as_lost(gateway, backend, Some(SampleOutcome::Failed), why));
        }
        let Some(status) = CallerStatus::of_answer(status.as_u16()) else {
            event!(
                Warn,
                "promise_not_passed_on",
                request = self.call.id,
                backend = backend.id,
                version = backend.version,
                status = status.as_u16(),
                idempotent = self.call.route.kind.is_idempotent(),
                after = Millis::from(started.elapsed()),
                config = self.call.config.version
            );
            metrics::counter!(telemetry::PROMISES_NOT_PASSED_ON).increment(1);
            self.record_failure(gateway, &backend);
            tokio::spawn(drain(body, guard, meta));
            return Err(SendFailure::Failed { backend, status });
        };
        if status.is_server_error() {
            self.record_failure(gateway, &backend);
        } else {
            let elapsed = Millis::from(started.elapsed());
            let slowness = gateway.response_stats.record(self.sample(&backend, SampleOutcome::Answered(elapsed)));
            gateway.record_outcome(&backend, Outcome::Answered { slowness });
            gateway.record_start_pace(&backend, slowness);
        }
        Ok(Answer { status, headers: head.headers, meta, body, guard })
    }

    /// Records the failure of a send that may have run. `outcome` is counted for the server's version; none if the
    /// failure says nothing about the version.
    fn fail_as_lost(
        &self,
        gateway: &Gateway,
        backend: Arc<Backend>,
        outcome: Option<SampleOutcome>,
        why: String,
    ) -> SendFailure {
        if let Some(outcome) = outcome {
            gateway.response_stats.record(self.sample(&backend, outcome));
        }
        gateway.record_outcome(&backend, Outcome::Unreachable);
        SendFailure::Lost { backend, why }
    }

    fn record_failure(&self, gateway: &Gateway, backend: &Backend) {
        gateway.response_stats.record(self.sample(backend, SampleOutcome::Failed));
        if gateway.is_on_trial(&backend.service, &backend.version) {
            gateway.trial_failures.notify_one();
        }
        gateway.record_outcome(backend, Outcome::Failed);
    }

    fn sample<'b>(&'b self, backend: &'b Backend, outcome: SampleOutcome) -> Sample<'b> {
        static NO_MODEL: std::sync::LazyLock<ModelName> = std::sync::LazyLock::new(ModelName::default);
        Sample {
            service: &backend.service,
            kind: self.call.route.kind.into(),
            version: &backend.version,
            model: self.model.unwrap_or(&NO_MODEL),
            prompt: self.call.meta.prompt.0,
            has_failed: self.has_failed,
            outcome,
        }
    }
}

impl State {
    /// Records how a send to `backend` ended.
    pub fn record_outcome(&self, backend: &Backend, outcome: Outcome) {
        lock(&self.pool).record_outcome(self.clock.now(), backend, outcome);
    }
}
