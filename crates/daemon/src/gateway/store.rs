//! Client of the platform's store.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use eelgrasswell_core::{
    duty_lease::{Lease, Stored},
    outage::CallEnd,
    transfer::Transfer,
    unit::Millis,
};
use eelgrasswell_platform::{
    duties,
    objects::{Kind, MalformedObject, Object},
    store::{self, Changes, StoreError},
};
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use tokio::time::timeout;

use super::net::{Conn, error_chain};
use crate::{clock::BootClock, telemetry};

/// Timeout for connecting to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Time within which a response must begin, in addition to the time that a watch waits.
const RESPONSE_TIMEOUT: Millis = Millis(900);
/// The same for watches of the configuration, which detect an unreachable store.
const CONFIG_WATCH_TIMEOUT: Millis = Millis(500);

/// A client with one connection to the store, which is opened again after it was lost. It makes one call at a time.
pub struct StoreClient {
    address: SocketAddr,
    conn: Option<Conn>,
}

/// All objects of a kind.
#[derive(Debug, Default)]
pub struct List {
    /// Objects with a readable name.
    pub objects: Vec<Object>,
    /// What is wrong with malformed objects.
    pub malformed: Vec<MalformedObject>,
    /// Revision of the store at the first page.
    pub revision: u64,
}

/// A complete response of the store.
struct Response {
    status: StatusCode,
    body: Bytes,
    /// Time at which the response began, which is when the store had read the objects.
    began_at: Millis,
}

/// Why a call failed.
#[derive(Debug)]
pub enum CallError {
    /// No response was received.
    Lost(String),
    /// The store ended the connection before it had responded completely.
    Cut(String),
    /// The store rejected the call, or its response could not be read.
    Refused(StoreError),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Lost(error) => write!(f, "no answer: {error}"),
            Self::Cut(error) => write!(f, "cut off: {error}"),
            Self::Refused(error) => write!(f, "refused: {error}"),
        }
    }
}

impl std::error::Error for CallError {}

impl CallError {
    /// How the call ended.
    pub fn end(&self) -> CallEnd {
        match self {
            Self::Cut(_) => CallEnd::Cut,
            Self::Lost(_) | Self::Refused(_) => CallEnd::Failed,
        }
    }
}

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

    /// Reads all objects of a kind, page by page.
    pub async fn list(&mut self, kind: Kind) -> Result<List, CallError> {
        let mut list = List::default();
        let mut after: Option<CompactString> = None;
        loop {
            let response = self.call("list", store::list_request(kind, after.as_deref()), RESPONSE_TIMEOUT).await?;
            let page = store::parse_page(response.status, &response.body)?;
            if after.is_none() {
                // A watch from the revision of the first page also returns changes that were made between two pages.
                list.revision = page.revision;
            }
            list.malformed.extend(page.malformed);
            after = page.items.last().map(|object| object.metadata.name.clone());
            list.objects.extend(page.items);
            if !page.has_more {
                return Ok(list);
            }
            if after.is_none() {
                return Err(StoreError::Malformed("a page that others follow has no readable name".into()).into());
            }
        }
    }

    /// Waits up to `wait` for changes of a kind after `revision`. Also returns the time at which the response began.
    pub async fn watch(&mut self, kind: Kind, revision: u64, wait: Millis) -> Result<(Changes, Millis), CallError> {
        let limit = if kind == Kind::Config { CONFIG_WATCH_TIMEOUT } else { RESPONSE_TIMEOUT };
        let response = self.call("watch", store::watch_request(kind, revision, wait), wait + limit).await?;
        Ok((store::parse_changes(response.status, &response.body)?, response.began_at))
    }

    /// Replaces the status of an object if it still has the revision of `object`.
    pub async fn put_status(
        &mut self,
        kind: Kind,
        object: &Object,
        value: &serde_json::Value,
    ) -> Result<(), CallError> {
        let req = store::put_status_request(kind, &object.metadata.name, object.metadata.revision, value);
        let response = self.call("put_status", req, RESPONSE_TIMEOUT).await?;
        Ok(store::parse_written(response.status, &response.body)?)
    }

    /// Reads the lease on the duties within `limit`; none if it does not exist.
    pub async fn read_lease(&mut self, limit: Millis) -> Result<Option<Stored>, CallError> {
        let response = self.call("read_lease", duties::read_request(), limit).await?;
        Ok(duties::parse_read(response.status, &response.body)?)
    }

    /// Creates the lease on the duties if it does not exist, and returns its revision.
    pub async fn create_lease(&mut self, lease: &Lease, limit: Millis) -> Result<u64, CallError> {
        let response = self.call("create_lease", duties::create_request(lease), limit).await?;
        Ok(duties::parse_written(response.status, &response.body)?)
    }

    /// Replaces the lease on the duties if it still has the revision of `stored`, and returns its new revision.
    pub async fn replace_lease(&mut self, stored: &Stored, limit: Millis) -> Result<u64, CallError> {
        let response = self.call("replace_lease", duties::replace_request(stored), limit).await?;
        Ok(duties::parse_written(response.status, &response.body)?)
    }

    async fn call(
        &mut self,
        name: &'static str,
        req: Request<Full<Bytes>>,
        limit: Millis,
    ) -> Result<Response, CallError> {
        // The connection is reused only after a complete response, so that a late response is not taken for that of a
        // later call.
        let result = match self.acquire_conn().await {
            Ok(conn) => send_request(conn, req, limit).await,
            Err(err) => Err(CallError::Lost(format!("could not connect to {}: {err}", self.address))),
        };
        let label = if result.is_ok() { "answered" } else { "lost" };
        metrics::counter!(telemetry::PLATFORM_CALLS, "kind" => name, "result" => label).increment(1);
        let (conn, response) = result?;
        self.conn = Some(conn);
        Ok(response)
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

/// Sends a request and reads the response, which must begin within `limit` and then make progress.
async fn send_request(mut conn: Conn, req: Request<Full<Bytes>>, limit: Millis) -> Result<(Conn, Response), CallError> {
    let clock = BootClock;
    let mut transfer = Transfer::start(clock.now(), limit);
    let answer = timeout(limit.into(), conn.send(req)).await.map_err(|_| CallError::Lost("timed out".into()))?;
    let (head, mut body) = answer.map_err(|err| CallError::Cut(err.to_string()))?.into_parts();
    let began_at = clock.now();
    let mut buf = BytesMut::new();
    loop {
        let rest = transfer.deadline().saturating_sub(clock.now());
        let part = |error: String| format!("{error} after {} bytes", transfer.received());
        let frame = timeout(rest.into(), body.frame()).await;
        let frame = frame.map_err(|_| CallError::Lost(part("timed out".into())))?;
        let Some(frame) = frame else { break };
        if let Ok(data) = frame.map_err(|err| CallError::Cut(part(error_chain(&err))))?.into_data() {
            transfer.record(clock.now(), eelgrasswell_core::unit::Bytes(data.len() as u64));
            buf.extend_from_slice(&data);
        }
        if transfer.is_overlong() {
            return Err(CallError::Lost(format!("the response is too long after {} bytes", transfer.received())));
        }
    }
    Ok((conn, Response { status: head.status, body: buf.freeze(), began_at }))
}
