//! Reads a caller's request: finds its route and customer, checks that the configuration is recent enough, and reads
//! the body.

use std::{fmt, sync::Arc, time::Duration};

use bytes::Bytes;
use eelgrasswell_core::{
    byte_budget::Use,
    crash_evidence::PartId,
    hash::stable_hash,
    id::{CustomerId, ModelName, RequestId, ServiceName},
    pool::SharedPrefix,
    refusal::Reason,
    routing_config::{Caller, Customer, Route, RoutingConfig},
    unit::{Millis, Tokens},
};
use eelgrasswell_platform::request::{self, ModelSelection, RequestMeta};
use hyper::{HeaderMap, Method, Request, Uri, body::Incoming, header::HOST};
use tokio::time::{Instant, sleep};
use uuid::Uuid;

use super::{
    State,
    memory::{self, BodyLimits, Share},
};
use crate::callers::{clients::Activity, failure::Failure, headers};

/// Limit on the age of the configuration's last confirmation, below which requests with a key are served. It is a share
/// of the time within which a revoked key must stop working (`revoke_ms`). The rest covers the clock's granularity.
const MAX_CONFIG_AGE_SHARE: f64 = 0.92;

/// Longest time that a request waits for a configuration, or for the confirmation that it is current.
const MAX_CONFIG_WAIT: Millis = Millis(500);
/// Interval at which a waiting request checks the configuration again.
const CONFIG_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// `Retry-After` of a process that has not read its configuration yet. It is short because a retry reaches another
/// host.
const NOT_READY_RETRY_AFTER: Millis = Millis(50);
/// `Retry-After` while the configuration is not confirmed to be current.
const STALE_RETRY_AFTER: Millis = Millis(250);

/// Urgency of the least urgent requests; 0 is the most urgent.
const MAX_URGENCY: u32 = 9;

/// Hash of a session, as logs show it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionDigest(pub u64);

impl fmt::Display for SessionDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A request that has been read and authorised.
pub struct Call {
    /// Id of the caller's attempt, or a new one if the caller sent none.
    pub id: RequestId,
    /// Values of the header fields that the router evaluates.
    pub meta: RequestMeta,
    /// End-to-end header fields of the caller.
    pub headers: HeaderMap,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Body as the caller sent it.
    pub body: Bytes,
    /// Memory that the request holds.
    pub _share: Share,
    /// Connection of the caller.
    pub connection: Arc<Activity>,
    /// Configuration that was in force when the request was authorised; it applies until the request ends.
    pub config: Arc<RoutingConfig>,
    /// Route that the host and path match.
    pub route: Arc<Route>,
    /// Service that the route selects for the session.
    pub service: ServiceName,
    /// Customer that the key belongs to; none for an anonymous request.
    pub customer: Option<Arc<Customer>>,
    /// When the request was received.
    pub arrived: Instant,
    /// End of the caller's deadline or of the route's timeout, whichever is earlier.
    pub deadline: Instant,
    /// Hash of the session, or of the request id if there is no session.
    pub session: u64,
    /// Prompt parts that requests on the same subject share; none if the prompt has no such parts.
    pub shared_prefix: Option<SharedPrefix>,
    /// Parts of the prompt that other requests may share.
    pub shared_parts: Arc<[PartId]>,
}

impl Call {
    /// Time left until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Id of the customer.
    pub fn customer(&self) -> Option<&CustomerId> {
        self.customer.as_ref().map(|customer| &customer.id)
    }

    /// Urgency among the requests of a service: the customer's priority, or the route's if the customer has none.
    pub fn urgency(&self) -> u8 {
        let customer = self.customer.as_ref().and_then(|customer| customer.priority);
        customer.unwrap_or(self.route.priority).min(MAX_URGENCY) as u8
    }

    /// Models among which the router chooses; empty if the caller names the model or the service has no models.
    pub fn models(&self) -> &[ModelName] {
        match &self.meta.model {
            ModelSelection::Any => &self.route.models,
            ModelSelection::None | ModelSelection::Named(_) => &[],
        }
    }
}

/// Reads `req`, which was received at `arrived`. A failure comes with the request's id, which belongs in its response.
pub async fn read(state: &State, req: Request<Incoming>, arrived: Instant) -> Result<Call, (RequestId, Failure)> {
    let (mut head, body) = req.into_parts();
    let connection = head.extensions.remove::<Arc<Activity>>().expect("the callers' endpoint has a table");
    let mut meta = request::parse(&head.headers);
    let id = meta.id.clone().unwrap_or_else(|| RequestId::from(Uuid::now_v7().to_string().as_str()));
    let refuse = |failure| (id.clone(), failure);
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok()).or_else(|| head.uri.host());
    let max_wait = meta.deadline.map_or(MAX_CONFIG_WAIT, |deadline| MAX_CONFIG_WAIT.min(Millis(deadline.0 / 4)));
    let give_up_at = arrived + Duration::from(max_wait);
    let (config, route, caller) = loop {
        match authorise(state, host.unwrap_or_default(), head.uri.path(), &meta) {
            Ok(authorised) => break authorised,
            // A process that has just started, or that briefly lost its connection to the store, usually gets the
            // configuration within milliseconds. Rejecting the request would cost the caller one of its few retries.
            Err(failure) if is_transient(&failure) && Instant::now() < give_up_at => sleep(CONFIG_POLL_INTERVAL).await,
            Err(failure) => return Err(refuse(failure)),
        }
    };
    let wait = meta.deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout));
    let deadline = arrived + Duration::from(wait);
    let share = state.memory.share(Use::Request, Arc::clone(&connection));
    let idle = state.settings().clients.body_idle().into();
    let head_size = memory::head_size(&head.uri, &head.headers);
    let limits = BodyLimits { head: head_size, size: config.limits.body, deadline, idle };
    let body = memory::read_body(body, limits, &share).await.map_err(refuse)?;
    let session = meta.session.as_deref().unwrap_or(id.as_str());
    let session = stable_hash(&[session]);
    let service = route.target(session).clone();
    meta.model = known_model(&config, &service, meta.model);
    let (shared_prefix, shared_parts) = shared_parts(&head.headers, &share).await.map_err(refuse)?;
    let customer = match caller {
        Caller::Customer(customer) => Some(customer),
        Caller::Anonymous | Caller::Unknown => None,
    };
    Ok(Call {
        id,
        meta,
        headers: headers::end_to_end(&head.headers),
        method: head.method,
        uri: origin_form(&head.uri),
        body,
        _share: share,
        connection,
        config,
        route,
        service,
        customer,
        arrived,
        deadline,
        session,
        shared_prefix,
        shared_parts,
    })
}

/// Finds the route and the caller. While the configuration may be stale, a missing route or an unknown key is reported
/// as `StaleConfig`, since the final refusals would be wrong if a newer configuration has that route or key.
fn authorise(
    state: &State,
    host: &str,
    path: &str,
    meta: &RequestMeta,
) -> Result<(Arc<RoutingConfig>, Arc<Route>, Caller), Failure> {
    let confirmed = state.confirmed_config().filter(|_| state.mirror.is_complete()).ok_or_else(not_ready)?;
    let (config, age) = (Arc::clone(confirmed.value()), confirmed.age(state.clock.now()));
    let limit = Millis((state.settings().bounds.revoke_ms as f64 * MAX_CONFIG_AGE_SHARE) as u64);
    let fresh = age.is_some_and(|age| age < limit);
    let unless_stale = |reason, message: &str| {
        if fresh { Failure::not_run(reason, message) } else { stale(age) }
    };
    let no_route = || unless_stale(Reason::NotFound, "no route fits the host and path");
    let route = config.route(host, path).ok_or_else(no_route)?;
    let route = Arc::clone(route);
    match config.identify_caller(&route, meta.key.as_deref()) {
        Caller::Unknown => Err(unless_stale(Reason::Unauthenticated, "the key is unknown or missing")),
        Caller::Customer(_) if !fresh => Err(stale(age)),
        caller => Ok((config, route, caller)),
    }
}

fn not_ready() -> Failure {
    Failure::not_run(Reason::NotReady, "the gateway has not read its configuration yet")
        .retry_after(NOT_READY_RETRY_AFTER)
}

fn stale(age: Option<Millis>) -> Failure {
    let message = match age {
        Some(age) => format!("the configuration was last confirmed {age} ago"),
        None => "the configuration was never confirmed".into(),
    };
    Failure::not_run(Reason::StaleConfig, message).retry_after(STALE_RETRY_AFTER)
}

/// Whether the cause of a failure may disappear within milliseconds.
fn is_transient(failure: &Failure) -> bool {
    matches!(failure.refusal.reason, Reason::NotReady | Reason::StaleConfig)
}

/// The caller's selection, unless it names a model that the service doesn't have. Such a name stays in the caller's field, by
/// which servers judge it. Nothing else may depend on it: statistics by model would keep an entry for each name that callers
/// think of.
fn known_model(config: &RoutingConfig, service: &ServiceName, selected: ModelSelection) -> ModelSelection {
    match selected {
        ModelSelection::Named(model) if !config.has_model(service, &model) => ModelSelection::None,
        selected => selected,
    }
}

/// All prompt parts but the last one, which belongs to this request alone, and the prefix that they make; none if there is no
/// such part. They are collected only here, once the whole request is there, and counted for `share`: a client that stops
/// half-way holds no more than its head.
async fn shared_parts(headers: &HeaderMap, share: &Share) -> Result<(Option<SharedPrefix>, Arc<[PartId]>), Failure> {
    let count = request::prompt_parts(headers).count().saturating_sub(1);
    share.count_parts(count).await?;
    let shared = || request::prompt_parts(headers).take(count);
    let prefix = shared().last().map(|last| SharedPrefix {
        hash: stable_hash(&[last.id]),
        tokens: Tokens(shared().map(|part| part.tokens.0).fold(0, u64::saturating_add)),
    });
    Ok((prefix, shared().map(|part| PartId::of(part.id)).collect()))
}

/// The path and query (origin form), without the scheme and host of an absolute URI.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_default()
}
