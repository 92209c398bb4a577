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

/// The backend server is on the same host, so that a connection takes microseconds or fails.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Limit on calls that are not requests of customers: load, orders, cancel.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);
/// Loading a version may take long.
const ORDER_TIMEOUT: Duration = Duration::from_secs(60);
/// Idle connections are closed before common servers close them, because a request on a connection
/// that the server is closing fails with an unknown outcome.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Bytes of an unread answer that the kernel takes from the backend server. By itself it takes
/// several megabytes for each connection, so that an engine would run far ahead of a slow reader.
const RECV_BUFFER: usize = 64 << 10;
/// Largest answer to a control call.
const MAX_CONTROL_BODY: usize = 64 << 10;

/// Headers that belong to one connection or that the agent sets itself.
const OWN_HEADERS: &[&str] = &[
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

/// Handle on the backend server. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Backend {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Load report of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct EngineLoad {
    /// Changes when the engine restarts.
    pub start_id: u64,
    /// Whether the engine says that it is cold.
    pub cold: bool,
}

/// Order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct EngineOrder {
    /// `load` or `unload`.
    pub action: &'static str,
    /// The model.
    pub model: String,
    /// The version.
    pub version: String,
    /// Fencing number.
    pub fence: u64,
}

/// Why a call gave no answer.
#[derive(Debug)]
pub enum CallError {
    /// No byte reached the backend server.
    NotSent(Reason),
    /// The backend server may have received it.
    Lost(String),
}

impl Backend {
    /// Opens a client; connects on the first call.
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

    /// Sends a request with `body` and waits for the head of the answer.
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
            if !OWN_HEADERS.iter().any(|own| name.eq_ignore_ascii_case(own)) {
                builder = builder.header(name, value);
            }
        }
        let http = builder.body(Full::new(body)).map_err(|_| CallError::NotSent(Reason::BadRequest))?;
        self.client.request(http).await.map_err(|err| {
            if err.is_connect() { CallError::NotSent(Reason::NoBackend) } else { CallError::Lost(err.to_string()) }
        })
    }

    /// Asks the engine to stop a request; errors do not matter, as the connection is closed too.
    pub async fn cancel(&self, request_id: &str) {
        let _ = self.control(Method::POST, &format!("/cancel/{request_id}"), Bytes::new(), CONTROL_TIMEOUT).await;
    }

    /// Reads the load report.
    pub async fn load(&self) -> Result<EngineLoad> {
        let (status, body) = self.control(Method::GET, "/load", Bytes::new(), CONTROL_TIMEOUT).await?;
        ensure!(status.is_success(), "could not read the load of backend server {}: status {status}", self.address);
        serde_json::from_slice(&body).wrap_err_with(|| format!("could not parse the load of {}", self.address))
    }

    /// Gives an order; false when the engine refused its fence.
    pub async fn order(&self, order: &EngineOrder) -> Result<bool> {
        let body = serde_json::to_vec(order).wrap_err("could not write an order")?;
        let (status, _) = self.control(Method::POST, "/orders", body.into(), ORDER_TIMEOUT).await?;
        if status == StatusCode::CONFLICT {
            return Ok(false);
        }
        ensure!(status.is_success(), "could not order backend server {}: status {status}", self.address);
        Ok(true)
    }

    async fn control(&self, method: Method, path: &str, body: Bytes, limit: Duration) -> Result<(StatusCode, Bytes)> {
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

/// Headers of an answer that are passed on to the caller.
pub fn answer_headers(response: &Response<Incoming>) -> Vec<Header> {
    let own = |name: &str| OWN_HEADERS.contains(&name);
    let headers = response.headers().iter().filter(|(name, _)| !own(name.as_str()));
    headers
        .filter_map(|(name, value)| Some(Header { name: name.to_string(), value: value.to_str().ok()?.to_owned() }))
        .collect()
}
