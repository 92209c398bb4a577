//! Client of the backend server.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use eelgrasswell_core::refusal::Reason;
use eelgrasswell_proto::v1::{ExecuteRequest, Header};
use eyre::{Result, WrapErr, ensure};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

/// Timeout for opening a connection. The backend server is on the same host, so a connection takes microseconds or
/// fails.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of control calls, which are not requests of customers: load report and cancel.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of orders; loading a version may take long.
const ORDER_TIMEOUT: Duration = Duration::from_secs(60);
/// Time after which an idle connection is closed. It is shorter than in common servers, because a request on a
/// connection that the server is closing fails with an unknown outcome.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Receive buffer of a connection, in bytes. By default the kernel buffers several megabytes of an unread answer per
/// connection, so an engine would run far ahead of a slow reader.
const RECV_BUFFER: usize = 64 << 10;
/// Maximum size of the response to a control call, in bytes.
const MAX_CONTROL_BODY: usize = 64 << 10;

/// Headers that are not forwarded, because they belong to one connection or the agent sets them itself.
const NOT_FORWARDED_HEADERS: &[&str] = &[
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-priority",
    "x-request-id",
    "x-version",
];

/// Client of the backend server. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Backend {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Load report of an engine. Missing fields have their default values.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct EngineLoad {
    /// Changes when the engine restarts.
    pub start_id: u64,
    /// Whether the engine reports to be cold.
    pub cold: bool,
}

/// Order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct EngineOrder {
    /// `load` or `unload`.
    pub action: &'static str,
    /// Name of the model.
    pub model: String,
    /// Name of the version.
    pub version: String,
    /// Fencing token of the order.
    pub fence: u64,
}

/// Why a call got no response.
#[derive(Debug)]
pub enum CallError {
    /// No byte reached the backend server.
    NotSent(Reason),
    /// The connection failed after the backend server may have received the call.
    Lost(String),
}

impl Backend {
    /// Creates a client, which connects on the first call.
    pub fn open(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_recv_buffer_size(Some(RECV_BUFFER));
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .build(connector);
        Self { address, client }
    }

    /// Sends a request with `body` and waits for the status and headers of the response.
    pub async fn call(&self, req: &ExecuteRequest, body: Bytes) -> Result<Response<Incoming>, CallError> {
        let path = if req.path.is_empty() { "/v1/chat/completions" } else { &req.path };
        let method = if req.method.is_empty() { "POST" } else { &req.method };
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("x-request-id", &req.request_id)
            .header("x-priority", req.priority);
        if !req.version.is_empty() {
            builder = builder.header("x-version", &req.version);
        }
        for Header { name, value } in &req.headers {
            if !NOT_FORWARDED_HEADERS.iter().any(|excluded| name.eq_ignore_ascii_case(excluded)) {
                builder = builder.header(name, value);
            }
        }
        let http = builder.body(Full::new(body)).map_err(|_| CallError::NotSent(Reason::BadRequest))?;
        self.client.request(http).await.map_err(|err| {
            if err.is_connect() { CallError::NotSent(Reason::NoBackend) } else { CallError::Lost(err.to_string()) }
        })
    }

    /// Tells the engine to cancel a request. Errors are ignored, because the connection is closed as well.
    pub async fn cancel(&self, request_id: &str) {
        let _ = self.control_call(Method::POST, &format!("/cancel/{request_id}"), Bytes::new(), CONTROL_TIMEOUT).await;
    }

    /// Reads the engine's load report.
    pub async fn load(&self) -> Result<EngineLoad> {
        let (status, body) = self.control_call(Method::GET, "/load", Bytes::new(), CONTROL_TIMEOUT).await?;
        ensure!(
            status.is_success(),
            "could not read the load report of backend server {}: status {status}",
            self.address
        );
        serde_json::from_slice(&body)
            .wrap_err_with(|| format!("could not parse the load report of backend server {}", self.address))
    }

    /// Sends an order. Returns false if the engine refused its fence.
    pub async fn order(&self, order: &EngineOrder) -> Result<bool> {
        let body = serde_json::to_vec(order).wrap_err("could not write an order")?;
        let (status, _) = self.control_call(Method::POST, "/orders", body.into(), ORDER_TIMEOUT).await?;
        if status == StatusCode::CONFLICT {
            return Ok(false);
        }
        ensure!(status.is_success(), "could not order backend server {}: status {status}", self.address);
        Ok(true)
    }

    async fn control_call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<(StatusCode, Bytes)> {
        let uri = format!("http://{}{path}", self.address);
        let req = Request::builder().method(method).uri(&uri).body(Full::new(body));
        let req = req.wrap_err_with(|| format!("could not build a call of {uri}"))?;
        let exchange = async {
            let response = self.client.request(req).await.wrap_err_with(|| format!("could not call {uri}"))?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_CONTROL_BODY).collect().await;
            let body = body.map_err(|err| eyre::eyre!("could not read the answer of {uri}: {err}"))?;
            Ok((status, body.to_bytes()))
        };
        timeout(limit, exchange).await.wrap_err_with(|| format!("could not call {uri}: timed out"))?
    }
}

/// Returns the headers of a response that are forwarded to the caller.
pub fn answer_headers(response: &Response<Incoming>) -> Vec<Header> {
    let is_forwarded = |name: &str| !NOT_FORWARDED_HEADERS.contains(&name);
    let headers = response.headers().iter().filter(|(name, _)| is_forwarded(name.as_str()));
    headers
        .filter_map(|(name, value)| Some(Header { name: name.to_string(), value: value.to_str().ok()?.to_owned() }))
        .collect()
}
