//! Reads a caller's request: route, customer, freshness of the configuration, and body.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use eelgrasswell_core::{
    hash::stable_hash,
    id::{CustomerId, ModelName, RequestId, ServiceName},
    refusal::Reason,
    routing_config::{Caller, Customer, Route, RoutingConfig},
    unit::Millis,
};
use eelgrasswell_platform::{
    objects::Kind,
    request::{self, ModelSelection, RequestMeta},
};
use hyper::{HeaderMap, Method, Request, Uri, body::Incoming, header::HOST};
use tokio::time::{Instant, sleep};
use uuid::Uuid;

use super::State;
use crate::callers::{body, failure::Failure, headers};

/// Share of the time within which a withdrawn key must stop working, above which a proof of the configuration is too
/// old to serve keyed requests. The rest covers the clock's granularity.
const FRESH_SHARE: f64 = 0.92;

/// Longest time that a request waits for a configuration, or for the proof that it is current.
const START_WAIT: Millis = Millis(500);
/// Interval at which a waiting request looks again.
const START_POLL: Duration = Duration::from_millis(10);

/// Time after which a caller of a process that has just started should come back. A retry reaches another host.
const NOT_READY_PAUSE: Millis = Millis(50);
/// Time after which a caller should come back when the configuration is not proved to be current.
const STALE_PAUSE: Millis = Millis(250);

/// A request that may be run.
pub struct Call {
    /// Id of the caller's attempt.
    pub id: RequestId,
    /// What the header fields say.
    pub meta: RequestMeta,
    /// Header fields of the caller that may be passed on.
    pub headers: HeaderMap,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Body as the caller sent it.
    pub body: Bytes,
    /// Configuration that the request is decided by.
    pub site: Arc<RoutingConfig>,
    /// Its route.
    pub route: Arc<Route>,
    /// Service that it goes to.
    pub service: ServiceName,
    /// Customer of its key.
    pub customer: Option<Arc<Customer>>,
    /// When it was received.
    pub arrived: Instant,
    /// When the caller, or the operator's limit, stops waiting.
    pub deadline: Instant,
    /// Hash of its session, or of its id when it belongs to none.
    pub session: u64,
    /// Hash of the prompt part that requests on one subject share.
    pub subject: Option<u64>,
}

impl Call {
    /// Time that is left.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Customer of the request.
    pub fn customer(&self) -> Option<&CustomerId> {
        self.customer.as_ref().map(|customer| &customer.id)
    }

    /// Models that may answer the request; none for a plain service.
    pub fn models(&self) -> &[ModelName] {
        match &self.meta.model {
            ModelSelection::Any => &self.route.models,
            ModelSelection::None | ModelSelection::Named(_) => &[],
        }
    }
}

/// Reads `req`, which arrived at `arrived`. The id is told with a refusal, too.
pub async fn read(state: &State, req: Request<Incoming>, arrived: Instant) -> Result<Call, (RequestId, Failure)> {
    let (head, body) = req.into_parts();
    let meta = request::parse(&head.headers);
    let id = meta.id.clone().unwrap_or_else(|| RequestId::from(Uuid::now_v7().to_string().as_str()));
    let refuse = |failure| (id.clone(), failure);
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok()).or_else(|| head.uri.host());
    let patience = meta.deadline.map_or(START_WAIT, |deadline| START_WAIT.min(Millis(deadline.0 / 4)));
    let until = arrived + Duration::from(patience);
    let (site, route, caller) = loop {
        match authorise(state, host.unwrap_or_default(), head.uri.path(), &meta) {
            Ok(found) => break found,
            // A process that has just started, or lost the store for a moment, knows more within milliseconds; a
            // caller that is sent away uses up one of its few retries.
            Err(failure) if is_passing(&failure) && Instant::now() < until => sleep(START_POLL).await,
            Err(failure) => return Err(refuse(failure)),
        }
    };
    let wait = meta.deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout));
    let deadline = arrived + Duration::from(wait);
    let body = body::read(body, site.limits.body, deadline, Reason::Expired).await.map_err(refuse)?;
    let session = meta.session.as_deref().unwrap_or(id.as_str());
    let session = stable_hash(&[session]);
    let service = route.target(session).clone();
    let subject = subject(&meta);
    let customer = match caller {
        Caller::Customer(customer) => Some(customer),
        Caller::Anonymous | Caller::Unknown => None,
    };
    Ok(Call {
        id,
        meta,
        headers: headers::end_to_end(&head.headers),
        method: head.method,
        uri: path_only(&head.uri),
        body,
        site,
        route,
        service,
        customer,
        arrived,
        deadline,
        session,
        subject,
    })
}

/// Finds the route and the customer. A configuration that may be out of date refuses nobody for good.
fn authorise(
    state: &State,
    host: &str,
    path: &str,
    meta: &RequestMeta,
) -> Result<(Arc<RoutingConfig>, Arc<Route>, Caller), Failure> {
    let site = state.site().filter(|_| state.mirror.is_complete()).ok_or_else(not_ready)?;
    let age = state.mirror.age(Kind::Config, state.clock.now());
    let limit = Millis((state.settings().bounds.revoke_ms as f64 * FRESH_SHARE) as u64);
    let fresh = age.is_some_and(|age| age < limit);
    let unless_stale = |reason, message: &str| {
        if fresh { Failure::not_run(reason, message) } else { stale(age) }
    };
    let no_route = || unless_stale(Reason::NotFound, "no route fits the host and path");
    let route = site.route(host, path).ok_or_else(no_route)?;
    let route = Arc::clone(route);
    match site.identify_caller(&route, meta.key.as_deref()) {
        Caller::Unknown => Err(unless_stale(Reason::Unauthenticated, "the key is unknown or missing")),
        Caller::Customer(_) if !fresh => Err(stale(age)),
        caller => Ok((site, route, caller)),
    }
}

fn not_ready() -> Failure {
    Failure::not_run(Reason::NotReady, "the gateway has not read its configuration yet").retry_after(NOT_READY_PAUSE)
}

fn stale(age: Option<Millis>) -> Failure {
    let message = match age {
        Some(age) => format!("the configuration was last confirmed {age} ago"),
        None => "the configuration was never confirmed".into(),
    };
    Failure::not_run(Reason::StaleConfig, message).retry_after(STALE_PAUSE)
}

/// Whether the reason for a failure may be gone within milliseconds.
fn is_passing(failure: &Failure) -> bool {
    matches!(failure.refusal.reason, Reason::NotReady | Reason::StaleConfig)
}

/// Hash of the last part of the prompt that others share: the one before the request's own.
fn subject(meta: &RequestMeta) -> Option<u64> {
    let shared = meta.prompt_parts.len().checked_sub(2)?;
    Some(stable_hash(&[meta.prompt_parts[shared].id.as_str()]))
}

/// The path and query, without a host that the caller may have put before them.
fn path_only(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_default()
}
