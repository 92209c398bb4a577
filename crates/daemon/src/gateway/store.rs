//! Client of the platform's store.

use std::{fmt, net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use eelgrasswell_core::{
    duty_lease::{Lease, Stored},
    id::Era,
    outage::CallEnd,
    place::Place,
    transfer::Transfer,
    unit::Millis,
};
use eelgrasswell_platform::{
    duties,
    objects::{Kind, MalformedObject, Object},
    store::{self, Changes, StoreError},
};
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode, http::response};
use tokio::time::timeout;

use super::{
    net::{Conn, error_chain},
    store_era::StoreEra,
};
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
    era: StoreEra,
    conn: Option<Conn>,
}

/// All objects of a kind.
#[derive(Debug, Default)]
pub struct List {
    /// Objects with a readable name.
    pub objects: Vec<Object>,
    /// What is wrong with malformed objects.
    pub malformed: Vec<MalformedObject>,
    /// Place of the store at the first page.
    pub place: Place,
}

/// A complete response of the store.
struct Response {
    status: StatusCode,
    body: Bytes,
    era: Era,
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
    /// The response is from before the store came back from an older copy. It tells nothing about the store now.
    Late,
    /// The store came back from an older copy since the place that the call refers to, which must be read anew. A write may have
    /// been executed all the same, where the revision was given out again.
    EraRisen,
    /// The write was not sent, since the store came back from an older copy since the place of its condition.
    NotSent,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Lost(error) => write!(f, "no answer: {error}"),
            Self::Cut(error) => write!(f, "cut off: {error}"),
            Self::Refused(error) => write!(f, "refused: {error}"),
            Self::Late => f.write_str("the response is from before the store came back from an older copy"),
            Self::EraRisen => f.write_str("the store came back from an older copy"),
            Self::NotSent => f.write_str("not sent: the store came back from an older copy"),
        }
    }
}

impl std::error::Error for CallError {}

impl CallError {
    /// How the call ended.
    pub fn end(&self) -> CallEnd {
        match self {
            Self::Cut(_) => CallEnd::Cut,
            Self::Lost(_) | Self::Refused(_) | Self::Late | Self::EraRisen | Self::NotSent => CallEnd::Failed,
        }
    }

    /// Whether the store has responded, and the objects must be read by a list before the next watch.
    pub fn needs_list(&self) -> bool {
        matches!(self, Self::Refused(StoreError::HistoryGone) | Self::Late | Self::EraRisen)
    }
}

impl From<StoreError> for CallError {
    fn from(err: StoreError) -> Self {
        Self::Refused(err)
    }
}

impl StoreClient {
    /// A client of the store at `address`, whose responses tell `era`. It connects on the first call.
    pub fn new(address: SocketAddr, era: StoreEra) -> Self {
        Self { address, era, conn: None }
    }

    /// Reads all objects of a kind, page by page.
    pub async fn list(&mut self, kind: Kind) -> Result<List, CallError> {
        let mut list = List::default();
        let mut after: Option<CompactString> = None;
        loop {
            let response = self.call("list", store::list_request(kind, after.as_deref()), RESPONSE_TIMEOUT).await?;
            let page = store::parse_page(response.status, &response.body, response.era)?;
            if after.is_none() {
                // A watch from the place of the first page also returns changes that were made between two pages.
                list.place = page.place;
            }
            if page.place.era() != list.place.era() {
                return Err(CallError::EraRisen);
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

    /// Waits up to `wait` for changes of a kind after `place`. Also returns the time at which the response began.
    pub async fn watch(&mut self, kind: Kind, place: Place, wait: Millis) -> Result<(Changes, Millis), CallError> {
        let limit = if kind == Kind::Config { CONFIG_WATCH_TIMEOUT } else { RESPONSE_TIMEOUT };
        let response = self.call("watch", store::watch_request(kind, place, wait), wait + limit).await?;
        let changes = store::parse_changes(response.status, &response.body, response.era)?;
        // In another era the revision is that of another change.
        if response.era != place.era() {
            return Err(CallError::EraRisen);
        }
        Ok((changes, response.began_at))
    }

    /// Replaces the status of an object if it has not changed since the place of `object`.
    pub async fn put_status(
        &mut self,
        kind: Kind,
        object: &Object,
        value: &serde_json::Value,
    ) -> Result<(), CallError> {
        let place = object.metadata.place;
        self.check_condition(place)?;
        let req = store::put_status_request(kind, &object.metadata.name, place, value);
        let response = self.call("put_status", req, RESPONSE_TIMEOUT).await?;
        Ok(store::parse_written(response.status)?)
    }

    /// Reads the lease on the duties within `limit`; none if it does not exist.
    pub async fn read_lease(&mut self, limit: Millis) -> Result<Option<Stored>, CallError> {
        let response = self.call("read_lease", duties::read_request(), limit).await?;
        Ok(duties::parse_read(response.status, &response.body)?)
    }

    /// Creates the lease of `era` on the duties if it does not exist, and returns its place.
    pub async fn create_lease(&mut self, era: Era, lease: &Lease, limit: Millis) -> Result<Place, CallError> {
        let response = self.call("create_lease", duties::create_request(era, lease), limit).await?;
        let place = duties::parse_written(response.status, &response.body, response.era)?;
        if place.era() == era { Ok(place) } else { Err(CallError::EraRisen) }
    }

    /// Replaces the lease on the duties if it has not changed since the place of `stored`, and returns its new place.
    pub async fn replace_lease(&mut self, stored: &Stored, limit: Millis) -> Result<Place, CallError> {
        self.check_condition(stored.place)?;
        let response = self.call("replace_lease", duties::replace_request(stored), limit).await?;
        let place = duties::parse_written(response.status, &response.body, response.era)?;
        if place.era() == stored.place.era() { Ok(place) } else { Err(CallError::EraRisen) }
    }

    /// Fails if the store came back from an older copy since `place`. Its revision may have been given out again, so that a
    /// write under this condition could replace something else.
    fn check_condition(&self, place: Place) -> Result<(), CallError> {
        if place.era() == self.era.current() { Ok(()) } else { Err(CallError::NotSent) }
    }

    async fn call(
        &mut self,
        name: &'static str,
        req: Request<Full<Bytes>>,
        limit: Millis,
    ) -> Result<Response, CallError> {
        let sent_in = self.era.current();
        // The connection is reused only after a complete response, so that a late response is not taken for that of a
        // later call.
        let result = match self.acquire_conn().await {
            Ok(conn) => send_request(conn, req, limit).await,
            Err(err) => Err(CallError::Lost(format!("could not connect to {}: {err}", self.address))),
        };
        let label = if result.is_ok() { "answered" } else { "lost" };
        metrics::counter!(telemetry::PLATFORM_CALLS, "kind" => name, "result" => label).increment(1);
        let (conn, head, body, began_at) = result?;
        self.conn = Some(conn);
        let header = store::response_era(&head.headers);
        let era = self.era.record_response(header, sent_in).ok_or(CallError::Late)?;
        Ok(Response { status: head.status, body, era, began_at })
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

/// Sends a request and reads the response, which must begin within `limit` and then make progress. Returns its head and body,
/// and the time at which it began.
async fn send_request(
    mut conn: Conn,
    req: Request<Full<Bytes>>,
    limit: Millis,
) -> Result<(Conn, response::Parts, Bytes, Millis), CallError> {
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
    Ok((conn, head, buf.freeze(), began_at))
}
