//! Reads a request within the size limits and parses it into a call to run or an answer to fetch.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use compact_str::CompactString;
use eelgrasswell_core::{
    hash::stable_hash,
    id::{CustomerId, RequestId, ServiceName},
    refusal::Reason,
    unit::{Cost, Millis, Tokens},
};
use eelgrasswell_manifest::{config::Config, manifest::ServiceKind};
use eelgrasswell_proto::v1;
use hyper::{HeaderMap, Method, Request, body::Incoming, header::HeaderName, http::request::Parts};
use serde::Deserialize;
use tokio::time::Instant;
use uuid::Uuid;

use super::{Chain, authenticate::Caller};
use crate::callers::{body, failure::Failure, headers};

/// Bytes of the request body that are estimated as one token.
const BYTES_PER_TOKEN: u64 = 4;
/// Output limit of a request that sets none.
const DEFAULT_MAX_OUTPUT: Tokens = Tokens(1_024);
/// Longest deadline of a request; a caller's larger value is reduced to it.
const MAX_DEADLINE: Millis = Millis(3_600_000);
/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 128;
/// Number of characters of each leading message that go into the prefix hash.
const PREFIX_CHARS: usize = 1_024;
/// Header fields that only concern this router and are not forwarded to the backend server.
const NOT_FORWARDED: [&str; 6] = ["authorization", "content-length", "expect", "host", "x-deadline-ms", "x-session"];

/// A parsed request.
pub enum ParsedRequest {
    /// A request to run.
    Call(Call),
    /// A request to fetch an existing answer.
    Fetch(Fetch),
}

/// A request to run.
pub struct Call {
    /// Id of the request. The id of an attempt appends the host id of the agent.
    pub id: Uuid,
    /// Customer of the request.
    pub customer: CustomerId,
    /// Configuration that applies to the request.
    pub config: Arc<Config>,
    /// Model or plain service that the request names.
    pub target: Target,
    /// HTTP method.
    pub method: Method,
    /// Path and query for the backend server.
    pub path: String,
    /// Header fields for the backend server.
    pub headers: Vec<v1::Header>,
    /// Unmodified request body.
    pub body: Bytes,
    /// Deadline of the request.
    pub deadline: Instant,
    /// Session that the caller requests.
    pub session: SessionRequest,
}

/// Target of a request.
pub enum Target {
    /// A model, or a class of requests with several candidate models.
    Model(ModelCall),
    /// A plain service.
    Plain(PlainCall),
}

/// Details of a request to a model.
pub struct ModelCall {
    /// Name of a model or of a class.
    pub name: CompactString,
    /// Whether the answer is a stream of server-sent events.
    pub stream: bool,
    /// Estimated length of the prompt.
    pub prompt: Tokens,
    /// Maximum number of output tokens.
    pub max_output: Tokens,
    /// Hash of the leading messages of the prompt, used to route to an agent that has the prefix cached.
    pub prefix: u64,
    /// Whether the body has a field `session`, which engines do not support.
    pub session_in_body: bool,
}

/// Details of a request to a plain service.
pub struct PlainCall {
    /// The service.
    pub service: ServiceName,
    /// Whether the call may safely be repeated.
    pub idempotent: bool,
    /// Idempotency key; always present when the route is not idempotent.
    pub key: Option<String>,
    /// Price of the call.
    pub price: Cost,
}

/// Session that a caller requests.
pub enum SessionRequest {
    /// No session.
    None,
    /// A new session.
    New,
    /// An existing session, by id.
    Id(String),
}

/// A request for an answer that an agent retains.
pub struct Fetch {
    /// Customer that requests the answer.
    pub customer: CustomerId,
    /// Id of the attempt that produced the answer.
    pub request_id: RequestId,
    /// Offset of the first byte to return.
    pub offset: u64,
}

#[derive(Deserialize)]
struct ChatBody {
    model: CompactString,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    session: Option<String>,
    #[serde(default)]
    messages: Vec<Message>,
}

#[derive(Deserialize)]
struct Message {
    #[serde(default)]
    role: CompactString,
    #[serde(default)]
    content: serde_json::Value,
}

/// Reads and parses a request. Fails with outcome "not run" if the request exceeds a size limit, its body does not
/// arrive before the deadline, or it is invalid.
pub async fn parse_request(
    chain: &Chain,
    id: Uuid,
    caller: Caller,
    req: Request<Incoming>,
) -> Result<ParsedRequest, Failure> {
    let limits = &chain.router.settings.limits;
    let (head, body) = req.into_parts();
    let header_bytes: usize = head.headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    if header_bytes as u64 > limits.max_headers.0 {
        return Err(Failure::not_run(Reason::TooLarge, format!("the headers are larger than {}", limits.max_headers)));
    }
    if let Some(request_id) = head.uri.path().strip_prefix("/v1/answers/") {
        return parse_fetch(caller, &head, request_id).map(ParsedRequest::Fetch);
    }
    let deadline = parse_deadline(&head.headers, limits.default_deadline)?;
    let body = body::read(body, limits.max_body, deadline, Reason::Deadline).await?;
    let path = head.uri.path();
    if path == "/v1/chat/completions" {
        return parse_model_call(id, caller, &head, body, deadline).map(ParsedRequest::Call);
    }
    let Some(service_path) = path.strip_prefix("/services/") else {
        return Err(Failure::not_run(Reason::NotFound, format!("no such path: {path}")));
    };
    parse_plain_call(id, caller, &head, service_path, body, deadline).map(ParsedRequest::Call)
}

fn parse_fetch(caller: Caller, head: &Parts, request_id: &str) -> Result<Fetch, Failure> {
    if head.method != Method::GET {
        return Err(Failure::not_run(Reason::NotFound, "answers are fetched with GET"));
    }
    let query = head.uri.query().unwrap_or_default();
    let offset = query.split('&').find_map(|pair| pair.strip_prefix("offset=")).unwrap_or("0");
    let offset = offset.parse().map_err(|_| bad_request(format!("could not parse offset {offset:?}")))?;
    Ok(Fetch { customer: caller.customer, request_id: request_id.into(), offset })
}

fn parse_deadline(headers: &HeaderMap, default: Millis) -> Result<Instant, Failure> {
    let timeout = match header_text(headers, "x-deadline-ms")? {
        Some(value) => value.parse().map_err(|_| bad_request(format!("could not parse x-deadline-ms {value:?}")))?,
        None => default,
    };
    Ok(Instant::now() + Duration::from(timeout.min(MAX_DEADLINE)))
}

fn parse_model_call(id: Uuid, caller: Caller, head: &Parts, body: Bytes, deadline: Instant) -> Result<Call, Failure> {
    if head.method != Method::POST {
        return Err(Failure::not_run(Reason::NotFound, "completions are asked for with POST"));
    }
    let chat: ChatBody =
        serde_json::from_slice(&body).map_err(|err| bad_request(format!("could not parse the body: {err}")))?;
    let max_output = chat.max_completion_tokens.or(chat.max_tokens).map_or(DEFAULT_MAX_OUTPUT, Tokens);
    let prefix = prefix_hash(&caller.customer, &chat.messages);
    let session_in_body = chat.session.is_some();
    let requested = header_text(&head.headers, "x-session")?.map(str::to_owned).or(chat.session);
    let session = match requested {
        None => SessionRequest::None,
        Some(requested) if requested == "new" => SessionRequest::New,
        Some(session) => SessionRequest::Id(session),
    };
    let target = Target::Model(ModelCall {
        name: chat.model,
        stream: chat.stream,
        prompt: Tokens((body.len() as u64).div_ceil(BYTES_PER_TOKEN)),
        max_output,
        prefix,
        session_in_body,
    });
    Ok(Call {
        id,
        customer: caller.customer,
        config: caller.config,
        target,
        method: Method::POST,
        path: "/v1/chat/completions".into(),
        headers: forwarded_headers(&head.headers)?,
        body,
        deadline,
        session,
    })
}

/// Returns a hash of the customer and the first two messages. For most callers these messages are the instructions and
/// the start of the conversation, which do not change from turn to turn.
fn prefix_hash(customer: &CustomerId, messages: &[Message]) -> u64 {
    let mut parts = vec![customer.to_string()];
    for message in messages.iter().take(2) {
        let content = message.content.as_str().map_or_else(|| message.content.to_string(), str::to_owned);
        parts.push(message.role.to_string());
        parts.push(content.chars().take(PREFIX_CHARS).collect());
    }
    let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
    stable_hash(&parts)
}

fn parse_plain_call(
    id: Uuid,
    caller: Caller,
    head: &Parts,
    service_path: &str,
    body: Bytes,
    deadline: Instant,
) -> Result<Call, Failure> {
    let (service, path) = service_path.split_at(service_path.find('/').unwrap_or(service_path.len()));
    let path = if path.is_empty() { "/" } else { path };
    let service = ServiceName::from(service);
    let manifest = &caller.config.manifest;
    let spec = manifest.services.get(&service).filter(|spec| spec.kind == ServiceKind::Plain);
    let spec = spec.ok_or_else(|| Failure::not_run(Reason::NotFound, format!("no such service: {service}")))?;
    let allowed = manifest.customers.get(&caller.customer).is_some_and(|c| c.services.contains(&service));
    if !allowed {
        return Err(Failure::not_run(Reason::NotAllowed, format!("service {service} is not allowed")));
    }
    let route = spec.route(head.method.as_str(), path).ok_or_else(|| {
        Failure::not_run(Reason::NotFound, format!("service {service} has no route {} {path}", head.method))
    })?;
    let key = header_text(&head.headers, "idempotency-key")?.map(str::to_owned);
    if !route.idempotent && key.as_deref().unwrap_or_default().is_empty() {
        return Err(Failure::not_run(Reason::KeyMissing, "this route needs the header idempotency-key"));
    }
    if key.as_ref().is_some_and(|key| key.len() > MAX_KEY_BYTES) {
        return Err(bad_request(format!("the idempotency key is longer than {MAX_KEY_BYTES} bytes")));
    }
    let target = PlainCall { service, idempotent: route.idempotent, key, price: spec.call_price };
    let path = match head.uri.query() {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    };
    Ok(Call {
        id,
        customer: caller.customer,
        config: Arc::clone(&caller.config),
        target: Target::Plain(target),
        method: head.method.clone(),
        path,
        headers: forwarded_headers(&head.headers)?,
        body,
        deadline,
        session: SessionRequest::None,
    })
}

/// Returns the header fields to forward to the backend server, without hop-by-hop fields and those in `NOT_FORWARDED`.
fn forwarded_headers(headers: &HeaderMap) -> Result<Vec<v1::Header>, Failure> {
    let mut forwarded = Vec::new();
    for (name, value) in &headers::end_to_end(headers) {
        if NOT_FORWARDED.contains(&name.as_str()) {
            continue;
        }
        forwarded.push(v1::Header {
            name: name.as_str().to_owned(),
            value: require_printable(name, value.to_str().ok())?.into(),
        });
    }
    Ok(forwarded)
}

/// Returns the value of the header `name`, if present.
fn header_text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, Failure> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    require_printable(&HeaderName::from_static(name), value.to_str().ok()).map(Some)
}

/// Fails if the value of the header `name` is not printable text.
fn require_printable<'a>(name: &HeaderName, value: Option<&'a str>) -> Result<&'a str, Failure> {
    value.ok_or_else(|| bad_request(format!("the header {name} holds unprintable characters")))
}

fn bad_request(message: String) -> Failure {
    Failure::not_run(Reason::BadRequest, message)
}
