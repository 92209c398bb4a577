//! A small HTTP client for tests and experiments.

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
use tokio::time::timeout;

/// Longest time that a call of a test may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// HTTP client with headers that go with every call.
#[derive(Clone, Debug)]
pub struct Http {
    client: Client<HttpConnector, Full<Bytes>>,
    headers: Vec<(String, String)>,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Trailers of the answer.
    pub trailers: HeaderMap,
    /// Body of the answer.
    pub body: Bytes,
}

impl Http {
    /// Opens a client without extra headers.
    pub fn open() -> Self {
        Self { client: Client::builder(TokioExecutor::new()).build_http(), headers: Vec::new() }
    }

    /// The same client with one more header for every call.
    pub fn with(&self, name: &str, value: &str) -> Self {
        let mut client = self.clone();
        client.headers.push((name.to_owned(), value.to_owned()));
        client
    }

    /// Sends a call and reads the whole answer.
    pub async fn call(&self, method: Method, address: SocketAddr, path: &str, body: impl Into<Bytes>) -> Result<Reply> {
        let what = format!("{method} http://{address}{path}");
        let exchange = async {
            let response = self.send(method, address, path, body.into()).await?;
            let (parts, body) = response.into_parts();
            let body = body.collect().await?;
            let trailers = body.trailers().cloned().unwrap_or_default();
            eyre::Ok(Reply { status: parts.status, headers: parts.headers, trailers, body: body.to_bytes() })
        };
        timeout(CALL_TIMEOUT, exchange)
            .await
            .wrap_err_with(|| format!("could not finish {what} in time"))?
            .wrap_err(what)
    }

    /// Sends a call and returns the answer with its body still to be read.
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
        let req = req.body(Full::new(body)).wrap_err("could not build the call")?;
        Ok(self.client.request(req).await?)
    }

    /// `GET` of a path.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<Reply> {
        self.call(Method::GET, address, path, Bytes::new()).await
    }

    /// `POST` of a JSON value.
    pub async fn post_json(&self, address: SocketAddr, path: &str, value: &Value) -> Result<Reply> {
        self.with("content-type", "application/json").call(Method::POST, address, path, value.to_string()).await
    }

    /// `PUT` of a JSON value.
    pub async fn put_json(&self, address: SocketAddr, path: &str, value: &Value) -> Result<Reply> {
        self.with("content-type", "application/json").call(Method::PUT, address, path, value.to_string()).await
    }
}

impl Reply {
    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The body as JSON.
    pub fn json(&self) -> Result<Value> {
        serde_json::from_slice(&self.body).wrap_err_with(|| format!("could not parse as JSON: {}", self.text()))
    }

    /// A header or trailer as text; empty when missing.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).or_else(|| self.trailers.get(name));
        value.and_then(|value| value.to_str().ok()).unwrap_or_default()
    }
}
