//! Client of the platform's store.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use eelgrasswell_core::unit::Millis;
use eelgrasswell_platform::{
    objects::{Kind, Object},
    store::{self, Changes, StoreError},
};
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use tokio::time::timeout;

use super::net::{Conn, error_chain};
use crate::telemetry;

/// Timeout for connecting to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Time allowed for a response, in addition to the time that a watch waits.
const RESPONSE_TIMEOUT: Millis = Millis(900);
/// The same for watches of the configuration, which detect an unreachable store.
const CONFIG_WATCH_TIMEOUT: Millis = Millis(500);

/// A client with one connection to the store, which is opened again after it was lost. It makes one call at a time.
pub struct StoreClient {
    address: SocketAddr,
    conn: Option<Conn>,
}

/// Why a call failed.
#[derive(Debug)]
pub enum CallError {
    /// No response was received.
    Lost(String),
    /// The store rejected the call, or its response could not be read.
    Refused(StoreError),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Lost(error) => write!(f, "no answer: {error}"),
            Self::Refused(error) => write!(f, "refused: {error}"),
        }
    }
}

impl std::error::Error for CallError {}

impl From<StoreError> for CallError {
    fn from(err: StoreError) -> Self {
        Self::Refused(err)
    }
}

impl StoreClient {
    /// A client of the store at `address`. It connects on the first call.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, conn: None }
    }

    /// Reads all objects of a kind, page by page. Returns them with the store's revision of the first page.
    pub async fn list(&mut self, kind: Kind) -> Result<(Vec<Object>, u64), CallError> {
        let mut objects = Vec::new();
        let mut revision = None;
        loop {
            let after = objects.last().map(|object: &Object| object.metadata.name.clone());
            let (status, body) =
                self.call("list", store::list_request(kind, after.as_deref()), RESPONSE_TIMEOUT).await?;
            let page = store::parse_page(status, &body)?;
            // A watch from the revision of the first page also returns changes that were made between two pages.
            let first = *revision.get_or_insert(page.revision);
            let more = page.has_more && !page.items.is_empty();
            objects.extend(page.items);
            if !more {
                return Ok((objects, first));
            }
        }
    }

    /// Waits up to `wait` for changes of a kind after `revision`.
    pub async fn watch(&mut self, kind: Kind, revision: u64, wait: Millis) -> Result<Changes, CallError> {
        let limit = if kind == Kind::Config { CONFIG_WATCH_TIMEOUT } else { RESPONSE_TIMEOUT };
        let (status, body) = self.call("watch", store::watch_request(kind, revision, wait), wait + limit).await?;
        Ok(store::parse_changes(status, &body)?)
    }

    /// Replaces the status of an object if it still has the revision of `object`.
    pub async fn put_status(
        &mut self,
        kind: Kind,
        object: &Object,
        value: &serde_json::Value,
    ) -> Result<Object, CallError> {
        let req = store::put_status_request(kind, &object.metadata.name, object.metadata.revision, value);
        let (status, body) = self.call("put_status", req, RESPONSE_TIMEOUT).await?;
        Ok(store::parse_object(status, &body)?)
    }

    async fn call(
        &mut self,
        name: &'static str,
        req: Request<Full<Bytes>>,
        limit: Millis,
    ) -> Result<(StatusCode, Bytes), CallError> {
        // The connection is reused only after a complete response, so that a late response is not taken for that of a
        // later call.
        let mut received = 0;
        let result = match self.acquire_conn().await {
            Ok(conn) => timeout(limit.into(), send_request(conn, req, &mut received))
                .await
                .unwrap_or_else(|_| Err("timed out".into())),
            Err(err) => Err(format!("could not connect to {}: {err}", self.address)),
        };
        let result = result.map_err(|error| format!("{error} after {received} bytes"));
        let label = if result.is_ok() { "answered" } else { "lost" };
        metrics::counter!(telemetry::PLATFORM_CALLS, "kind" => name, "result" => label).increment(1);
        let (conn, status, body) = result.map_err(CallError::Lost)?;
        self.conn = Some(conn);
        Ok((status, body))
    }

    /// Returns the open connection, or a new one if it was closed.
    async fn acquire_conn(&mut self) -> std::io::Result<Conn> {
        if let Some(mut conn) = self.conn.take()
            && !conn.is_closed()
            && conn.ready().await
        {
            return Ok(conn);
        }
        Conn::open(self.address, CONNECT_TIMEOUT).await
    }
}

/// Sends a request and reads the response. `received` is the number of bytes of the body so far, also after a failure.
async fn send_request(
    mut conn: Conn,
    req: Request<Full<Bytes>>,
    received: &mut usize,
) -> Result<(Conn, StatusCode, Bytes), String> {
    let answer = conn.send(req).await.map_err(|err| err.to_string())?;
    let (head, mut body) = answer.into_parts();
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|err| error_chain(&err))?;
        if let Ok(data) = frame.into_data() {
            *received += data.len();
            buf.extend_from_slice(&data);
        }
    }
    Ok((conn, head.status, buf.freeze()))
}
