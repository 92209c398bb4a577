//! HTTP client for tests and experiments.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use eyre::{Result, WrapErr};
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, body::Incoming};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::Value;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// HTTP client with headers that it sends with every call.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    headers: Vec<(String, String)>,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status of the response.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// Trailers of the response.
    pub trailers: HeaderMap,
    /// Body of the response.
    pub body: Bytes,
}

impl HttpClient {
    /// Creates a client that sends no additional headers.
    pub fn without_headers() -> Self {
        Self { client: Client::builder(TokioExecutor::new()).build_http(), headers: Vec::new() }
    }

    /// Returns a copy of the client that also sends this header with every call.
    pub fn with(&self, name: &str, value: &str) -> Self {
        let mut client = self.clone();
        client.headers.push((name.to_owned(), value.to_owned()));
        client
    }

    /// Sends a request and reads the complete response.
    pub async fn call(&self, method: Method, address: SocketAddr, path: &str, body: impl Into<Bytes>) -> Result<Reply> {
        let description = format!("{method} http://{address}{path}");
        let exchange = async {
            let response = self.send(method, address, path, body.into()).await?;
            let (parts, body) = response.into_parts();
            let body = body.collect().await?;
            let trailers = body.trailers().cloned().unwrap_or_default();
            eyre::Ok(Reply { status: parts.status, headers: parts.headers, trailers, body: body.to_bytes() })
        };
        timeout(CALL_TIMEOUT, exchange)
            .await
            .wrap_err_with(|| format!("could not finish {description} in time"))?
            .wrap_err(description)
    }

    /// Sends a request and returns the response with its body unread.
    pub async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Incoming>> {
        let mut req = Request::builder().method(method).uri(format!("http://{address}{path}")).header("te", "trailers");
        for (name, value) in &self.headers {
            req = req.header(name, value);
        }
        let req = req.body(Full::new(body)).wrap_err("could not build the request")?;
        Ok(self.client.request(req).await?)
    }

    /// Sends a `GET` request.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<Reply> {
        self.call(Method::GET, address, path, Bytes::new()).await
    }

    /// Sends a `POST` request with a JSON body.
    pub async fn post_json(&self, address: SocketAddr, path: &str, value: &Value) -> Result<Reply> {
        self.with("content-type", "application/json").call(Method::POST, address, path, value.to_string()).await
    }

    /// Sends a `PUT` request with a JSON body.
    pub async fn put_json(&self, address: SocketAddr, path: &str, value: &Value) -> Result<Reply> {
        self.with("content-type", "application/json").call(Method::PUT, address, path, value.to_string()).await
    }
}

/// Sends `parts` over a new connection and returns the bytes received until the peer closes it or `limit` has passed.
/// Write and read errors end the exchange but are not returned, because the peer may close the connection before it has
/// read everything.
pub async fn send_raw(address: SocketAddr, parts: impl IntoIterator<Item = Bytes>, limit: Duration) -> Result<Vec<u8>> {
    let stream = TcpStream::connect(address).await.wrap_err_with(|| format!("could not connect to {address}"))?;
    let (mut rx, mut tx) = stream.into_split();
    let mut answer = Vec::new();
    let write = async {
        for part in parts {
            if tx.write_all(&part).await.is_err() {
                break;
            }
        }
        // Keeps the connection open for the response.
        std::future::pending::<()>().await;
    };
    let read = async {
        let mut buf = [0; 4 << 10];
        while let Ok(len @ 1..) = rx.read(&mut buf).await {
            answer.extend_from_slice(&buf[..len]);
        }
    };
    tokio::select! {
        () = write => {}
        () = read => {}
        () = sleep(limit) => {}
    }
    Ok(answer)
}

/// Sends a gRPC call with an empty message and this `authorization`, and returns its status code.
pub async fn grpc_status(address: SocketAddr, path: &str, authorization: Option<&str>) -> Result<u32> {
    const EMPTY_MESSAGE: &[u8] = &[0; 5];
    let client = Client::builder(TokioExecutor::new()).http2_only(true).build_http();
    let mut req = Request::post(format!("http://{address}{path}"))
        .header("content-type", "application/grpc")
        .header("te", "trailers");
    if let Some(authorization) = authorization {
        req = req.header("authorization", authorization);
    }
    let response = client.request(req.body(Full::new(Bytes::from_static(EMPTY_MESSAGE)))?).await?;
    let (head, body) = response.into_parts();
    let trailers = match head.headers.get("grpc-status") {
        Some(_) => head.headers,
        None => body.collect().await?.trailers().cloned().unwrap_or_default(),
    };
    let status = trailers.get("grpc-status").ok_or_else(|| eyre::eyre!("{path} returned no gRPC status"))?;
    Ok(status.to_str()?.parse()?)
}

impl Reply {
    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Parses the body as JSON.
    pub fn json(&self) -> Result<Value> {
        serde_json::from_slice(&self.body).wrap_err_with(|| format!("could not parse as JSON: {}", self.text()))
    }

    /// Returns a header or trailer as text, or an empty text if it is missing.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).or_else(|| self.trailers.get(name));
        value.and_then(|value| value.to_str().ok()).unwrap_or_default()
    }
}
