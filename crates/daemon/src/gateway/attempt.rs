//! One send of a request to one backend server, up to the head of the answer.

use std::{fmt, sync::Arc, time::Duration};

use bytes::Bytes;
use eelgrasswell_core::{
    backend::Backend,
    canary::VersionRule,
    id::{BackendId, ModelName, RequestId},
    pool::{Cost, Outcome, Requirements, SendId, Unavailable},
    unit::Millis,
};
use eelgrasswell_platform::{
    request::{self, RouterFields},
    response::{self, ResponseMeta},
};
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, Response, StatusCode, body::Incoming};
use tokio::time::{Instant, timeout, timeout_at};

use super::{
    Gateway, State,
    evidence::{Sample, SampleOutcome},
    net::{Conn, SendError},
    request::Call,
};
use crate::{event, sync::lock};

/// Longest time to connect to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time that the rest of an unwanted answer is read, to keep its connection.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Prompt tokens that load a backend server as much as one small request.
const PROMPT_TOKENS_PER_COST: f64 = 7_000.0;
/// Answer tokens that load a backend server as much as one small request.
const OUTPUT_TOKENS_PER_COST: f64 = 500.0;
/// Load of any request to a model, however short.
const LEAST_MODEL_COST: Cost = 0.1;
/// A dearer model takes more of a server's time, though less than its price tells.
const PRICE_TO_COST: f64 = 0.6;

/// Rank of the least urgent requests.
const MAX_URGENCY: u32 = 9;

/// How one send is to be done.
pub struct Attempt<'a> {
    /// The request.
    pub call: &'a Call,
    /// Model in place of a free choice.
    pub model: Option<&'a ModelName>,
    /// Id of the last event that the caller has.
    pub resume_after: Option<&'a str>,
    /// Versions that it may run on.
    pub rule: &'a VersionRule,
    /// Servers that it has been sent to.
    pub tried: &'a [BackendId],
    /// When to stop waiting for the head of the answer.
    pub limit: Instant,
    /// Time after which the server gets no further requests until it answers.
    pub overdue_after: Millis,
}

/// An answer whose head has come.
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Header fields as the server sent them.
    pub headers: HeaderMap,
    /// What they say.
    pub meta: ResponseMeta,
    /// The body to come.
    pub body: Incoming,
    /// Where it comes from.
    pub place: Place,
}

/// A request's place at a backend server; given back when dropped.
pub struct Place {
    gateway: Gateway,
    /// The server.
    pub backend: Arc<Backend>,
    send: SendId,
    cost: Cost,
    id: RequestId,
    conn: Option<Conn>,
}

/// A send that ended without an answer.
#[derive(Debug)]
pub enum Ended {
    /// No server could be chosen.
    Unavailable(Unavailable),
    /// The request did not run.
    NotRun { backend: Arc<Backend>, why: String },
    /// The request may have run.
    Lost { backend: Arc<Backend>, why: String },
}

impl fmt::Display for Ended {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(why) => write!(f, "no server: {why:?}"),
            Self::NotRun { backend, why } => write!(f, "not run at {}: {why}", backend.id),
            Self::Lost { backend, why } => write!(f, "lost at {}: {why}", backend.id),
        }
    }
}

impl Attempt<'_> {
    /// Chooses a server, sends the request and waits for the head of the answer.
    pub async fn run(&self, gateway: &Gateway) -> Result<Answer, Ended> {
        let mut place = self.choose(gateway).map_err(Ended::Unavailable)?;
        let backend = Arc::clone(&place.backend);
        let started = Instant::now();
        let conn = match self.connect(gateway, &backend).await {
            Ok(conn) => conn,
            Err(why) => {
                gateway.note(&backend, Outcome::Unreachable);
                return Err(Ended::NotRun { backend, why });
            }
        };
        // A server that has begun to drain while the connection was opened gets nothing new.
        if !lock(&gateway.pool).is_available(&backend) {
            return Err(Ended::NotRun { backend, why: "it takes no new work".into() });
        }
        let conn = place.conn.insert(conn);
        let sent = timeout_at(self.limit, conn.send(self.request(&backend))).await;
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(SendError::NotSent(why))) => {
                gateway.note(&backend, Outcome::Unreachable);
                return Err(Ended::NotRun { backend, why });
            }
            Ok(Err(SendError::Lost(why))) => return Err(self.lost(gateway, backend, None, why)),
            Err(_) => {
                return Err(self.lost(gateway, backend, Some(SampleOutcome::Silent), "it is silent".into()));
            }
        };
        self.judge(gateway, place, response, started)
    }

    fn choose(&self, gateway: &Gateway) -> Result<Place, Unavailable> {
        let call = self.call;
        let service = call.site.service(&call.service);
        let per_second = service.map_or(0.0, |service| service.cold_per_second);
        let cost = self.cost();
        let requirements = Requirements {
            service: &call.service,
            affinity: call.subject.filter(|_| call.route.affinity),
            cost,
            overdue_after: self.overdue_after,
            version: self.rule.only.as_ref(),
            excluded_version: self.rule.barred.as_ref(),
            tried: self.tried,
            domain: &gateway.settings.domain,
            cold_per_second: gateway.settings().bounds.cold_limit(per_second),
            routers: gateway.routers(),
        };
        let now = gateway.clock.now();
        let mut rng = rand::rng();
        let mut pool = lock(&gateway.pool);
        let chosen = match pool.choose(now, &requirements, &mut rng) {
            Err(Unavailable::AllTried) if !self.rule.strict => {
                pool.choose(now, &Requirements { version: None, excluded_version: None, ..requirements }, &mut rng)
            }
            chosen => chosen,
        };
        let (backend, send) = chosen?;
        Ok(Place { gateway: gateway.clone(), backend, send, cost, id: call.id.clone(), conn: None })
    }

    /// Load that the request puts on a server.
    fn cost(&self) -> Cost {
        let call = self.call;
        let Some(service) = call.site.service(&call.service).filter(|service| !service.models.is_empty()) else {
            return 1.0;
        };
        let price = self.model.map_or(1.0, |model| service.relative_price(model));
        let output = call.meta.expected_output.unwrap_or(call.meta.max_output).0.min(call.meta.max_output.0);
        let tokens = call.meta.prompt.0 as f64 / PROMPT_TOKENS_PER_COST + output as f64 / OUTPUT_TOKENS_PER_COST;
        price.powf(PRICE_TO_COST) * tokens.max(LEAST_MODEL_COST)
    }

    async fn connect(&self, gateway: &Gateway, backend: &Backend) -> Result<Conn, String> {
        let idempotent = self.call.route.kind.is_idempotent();
        while let Some(mut conn) = gateway.connections.take(backend, &self.call.id, idempotent) {
            if conn.ready().await {
                return Ok(conn);
            }
        }
        let limit = CONNECT_TIMEOUT.min(self.limit.saturating_duration_since(Instant::now()));
        let opened = Conn::open(backend.address, limit).await;
        let mut conn = opened.map_err(|err| format!("could not connect to {}: {err}", backend.address))?;
        if conn.ready().await { Ok(conn) } else { Err(format!("{} closed the connection", backend.address)) }
    }

    /// Rank among the requests of a server: that of the customer, or else of the route.
    fn urgency(&self) -> u8 {
        let customer = self.call.customer.as_ref().and_then(|customer| customer.priority);
        customer.unwrap_or(self.call.route.priority).min(MAX_URGENCY) as u8
    }

    fn request(&self, backend: &Backend) -> Request<Full<Bytes>> {
        let call = self.call;
        let fields = RouterFields {
            backend: &backend.id,
            remaining: Millis::from(call.remaining()),
            customer: call.customer(),
            model: self.model,
            resume_after: self.resume_after,
            urgency: Some(self.urgency()),
        };
        let mut req = Request::new(Full::new(call.body.clone()));
        *req.method_mut() = call.method.clone();
        *req.uri_mut() = call.uri.clone();
        *req.headers_mut() = request::backend_headers(&call.headers, &fields);
        req
    }

    fn judge(
        &self,
        gateway: &Gateway,
        place: Place,
        response: Response<Incoming>,
        started: Instant,
    ) -> Result<Answer, Ended> {
        let (head, body) = response.into_parts();
        let meta = response::parse(head.status, &head.headers);
        let backend = Arc::clone(&place.backend);
        lock(&gateway.pool).record_response(&backend, place.send);
        if let Some(remaining) = meta.cold_remaining.filter(|cold| *cold > Millis::ZERO) {
            lock(&gateway.pool).record_cold(gateway.clock.now(), &backend, remaining);
        }
        let foreign = meta.id.as_deref().is_some_and(|id| id != self.call.id.as_str());
        if foreign {
            let why = "an answer to another request came".into();
            return Err(self.lost(gateway, backend, Some(SampleOutcome::Failed), why));
        }
        if meta.replaced {
            lock(&gateway.pool).remove_replaced(&backend);
            return Err(Ended::NotRun { backend, why: "another server has its address".into() });
        }
        let status = head.status;
        if meta.not_run {
            gateway.note(&backend, Outcome::Refused);
            tokio::spawn(Answer { status, headers: head.headers, meta, body, place }.drain());
            return Err(Ended::NotRun { backend, why: format!("it refused with {status}") });
        }
        if status.is_success() && (!meta.sealed || meta.encoded) {
            let why = "the answer is not sealed".into();
            return Err(self.lost(gateway, backend, Some(SampleOutcome::Failed), why));
        }
        if status.is_server_error() {
            self.failed(gateway, &backend);
        } else {
            let elapsed = Millis::from(started.elapsed());
            let slowness = gateway.evidence.note(self.sample(&backend, SampleOutcome::Answered(elapsed)));
            gateway.note(&backend, Outcome::Answered { slowness });
        }
        Ok(Answer { status, headers: head.headers, meta, body, place })
    }

    /// Ends a send that may have run; `outcome` is what that tells of the version.
    fn lost(&self, gateway: &Gateway, backend: Arc<Backend>, outcome: Option<SampleOutcome>, why: String) -> Ended {
        if let Some(outcome) = outcome {
            gateway.evidence.note(self.sample(&backend, outcome));
        }
        gateway.note(&backend, Outcome::Unreachable);
        Ended::Lost { backend, why }
    }

    fn failed(&self, gateway: &Gateway, backend: &Backend) {
        gateway.evidence.note(self.sample(backend, SampleOutcome::Failed));
        gateway.note(backend, Outcome::Failed);
    }

    fn sample<'b>(&'b self, backend: &'b Backend, outcome: SampleOutcome) -> Sample<'b> {
        static NO_MODEL: std::sync::LazyLock<ModelName> = std::sync::LazyLock::new(ModelName::default);
        Sample {
            service: &backend.service,
            version: &backend.version,
            model: self.model.unwrap_or(&NO_MODEL),
            prompt: self.call.meta.prompt.0,
            outcome,
        }
    }
}

impl State {
    /// Takes in how a send to `backend` ended.
    pub fn note(&self, backend: &Backend, outcome: Outcome) {
        lock(&self.pool).record_outcome(self.clock.now(), backend, outcome);
    }
}

impl Answer {
    /// Ends the answer after its last byte; the connection is kept for the next request.
    pub fn finish(self) {
        self.place.keep(&self.meta);
    }

    /// Reads an unwanted answer to its end, for a short while, to keep its connection.
    pub async fn drain(mut self) {
        let rest = async {
            while let Some(frame) = self.body.frame().await {
                if frame.is_err() {
                    return false;
                }
            }
            true
        };
        match timeout(DRAIN_TIMEOUT, rest).await {
            Ok(true) => self.finish(),
            Ok(false) | Err(_) => event!(Debug, "answer_dropped", request = self.place.id),
        }
    }
}

impl Place {
    fn keep(mut self, meta: &ResponseMeta) {
        if let Some(conn) = self.conn.take().filter(|_| !meta.closes_connection) {
            self.gateway.connections.put(&self.backend, &self.id, conn, meta.idle_timeout);
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        lock(&self.gateway.pool).release(&self.backend, self.send, self.cost);
    }
}
