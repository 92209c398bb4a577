//! Pool of idle connections to backend servers.

use std::{
    net::SocketAddr,
    sync::Mutex,
    time::{Duration, Instant},
};

use bytes::Bytes;
use eelgrasswell_core::{
    backend::Backend,
    hash::HashMap,
    id::{BackendId, RequestId},
    not_run::{NotRun, Received, UnnamedRefusals, Unsent},
    unit::Millis,
};
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming};
use tokio::time::sleep;

use super::{
    Gateway,
    net::{Conn, SendError},
};
use crate::sync::lock;

/// Time for which an idle connection is kept if the server states no idle timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Margin before the end of the server's idle timeout. Within it a connection is no longer used, so that no request is
/// sent while the server closes it.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);
/// Idle time after which a connection is not used for a request that may run only once: after a reset, it would be
/// unknown whether the request ran.
const MAX_IDLE_FOR_NON_IDEMPOTENT: Duration = Duration::from_millis(1_500);
/// Maximum number of idle connections that are kept for one server.
const MAX_IDLE_PER_SERVER: usize = 64;
/// Interval at which expired connections are closed.
const PURGE_INTERVAL: Duration = Duration::from_secs(1);

/// Idle connections by server id and address.
#[derive(Default)]
pub struct IdleConnections {
    idle: Mutex<HashMap<(BackendId, SocketAddr), Vec<Idle>>>,
    unnamed_refusals: Mutex<UnnamedRefusals>,
}

/// A connection to a backend server.
pub struct BackendConn {
    /// The connection.
    pub conn: Conn,
    /// Responses that were received on it.
    pub received: Received,
}

/// Why a request got no response.
pub enum Unanswered {
    /// No byte of it was sent.
    NotSent { proof: NotRun, why: String },
    /// It may have arrived.
    Lost(String),
}

impl From<Conn> for BackendConn {
    fn from(conn: Conn) -> Self {
        Self { conn, received: Received::default() }
    }
}

impl BackendConn {
    /// Sends the request of the attempt `unsent` and waits for the head of the response.
    pub async fn send(&mut self, unsent: Unsent, req: Request<Full<Bytes>>) -> Result<Response<Incoming>, Unanswered> {
        self.conn.send(req).await.map_err(|err| match err {
            SendError::NotSent(why) => Unanswered::NotSent { proof: unsent.give_up(), why },
            SendError::Lost(why) => Unanswered::Lost(why),
        })
    }
}

struct Idle {
    conn: BackendConn,
    since: Instant,
    idle_timeout: Duration,
    /// Id of the last request on the connection. A repeat of that request must not use the connection, since a late
    /// second answer to the first send could be taken for the repeat's.
    last_request: RequestId,
}

impl IdleConnections {
    /// Removes and returns the most recently used connection to `backend` that may carry the request `id`.
    pub fn acquire(&self, backend: &Backend, id: &RequestId, idempotent: bool) -> Option<BackendConn> {
        let mut idle = lock(&self.idle);
        let entries = idle.get_mut(&key(backend))?;
        entries.retain(Idle::is_usable);
        let can_carry = |entry: &Idle| {
            entry.last_request != *id
                && entry.conn.received.allow(id)
                && (idempotent || entry.since.elapsed() < MAX_IDLE_FOR_NON_IDEMPOTENT)
        };
        let index = entries.iter().rposition(can_carry)?;
        Some(entries.remove(index).conn)
    }

    /// Returns a connection to the pool after a complete answer to the request `id`. `stated_timeout` is the idle
    /// timeout that the server stated.
    pub fn release(&self, backend: &Backend, id: &RequestId, conn: BackendConn, stated_timeout: Option<Millis>) {
        let idle_timeout = match stated_timeout {
            Some(timeout) => Duration::from(timeout).saturating_sub(IDLE_MARGIN),
            None => DEFAULT_IDLE_TIMEOUT,
        };
        if idle_timeout.is_zero() || conn.conn.is_closed() || conn.received.is_full() {
            return;
        }
        let mut idle = lock(&self.idle);
        let entries = idle.entry(key(backend)).or_default();
        if entries.len() < MAX_IDLE_PER_SERVER {
            entries.push(Idle { conn, since: Instant::now(), idle_timeout, last_request: id.clone() });
        }
    }

    /// Records a refusal of `backend` that names no request. Returns whether the server was not known for them.
    pub fn record_unnamed_refusal(&self, now: Millis, backend: &Backend) -> bool {
        lock(&self.unnamed_refusals).record(now, backend.server())
    }

    /// Whether a request that may run once should be sent to `backend` on a new connection: on any other one, a refusal could
    /// not be attributed, since the server does not name requests in refusals.
    pub fn prefers_new(&self, now: Millis, backend: &Backend) -> bool {
        lock(&self.unnamed_refusals).contains(now, backend.server())
    }

    fn purge(&self) {
        lock(&self.idle).retain(|_, entries| {
            entries.retain(Idle::is_usable);
            !entries.is_empty()
        });
    }
}

impl Idle {
    fn is_usable(&self) -> bool {
        self.since.elapsed() < self.idle_timeout && !self.conn.conn.is_closed()
    }
}

/// Starts a task that closes expired connections.
pub fn spawn_purge(gateway: Gateway) {
    tokio::spawn(async move {
        loop {
            sleep(PURGE_INTERVAL).await;
            gateway.connections.purge();
        }
    });
}

fn key(backend: &Backend) -> (BackendId, SocketAddr) {
    (backend.id.clone(), backend.address)
}
