//! Idle connections to backend servers, kept for the next request.

use std::{
    net::SocketAddr,
    sync::Mutex,
    time::{Duration, Instant},
};

use eelgrasswell_core::{
    backend::Backend,
    hash::HashMap,
    id::{BackendId, RequestId},
    unit::Millis,
};
use tokio::time::sleep;

use super::{Gateway, net::Conn};
use crate::sync::lock;

/// Time for which an idle connection is kept when the server states none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time before the server's own limit at which an idle connection is no longer used; a request must not cross the
/// server's close.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);
/// Idle time above which a connection is not used for a request that may run only once, since nothing tells whether a
/// reset on it came before the request ran.
const MAX_IDLE_FOR_NON_IDEMPOTENT: Duration = Duration::from_millis(1_500);
/// Most idle connections kept for one server.
const MAX_IDLE_PER_SERVER: usize = 64;
/// Interval at which connections that are too old are closed.
const PURGE_INTERVAL: Duration = Duration::from_secs(1);

/// Idle connections by server.
#[derive(Default)]
pub struct IdleConnections {
    idle: Mutex<HashMap<(BackendId, SocketAddr), Vec<Idle>>>,
}

struct Idle {
    conn: Conn,
    since: Instant,
    idle_timeout: Duration,
    /// Last request on the connection. A late second answer to it must not pass for that of a repeat.
    last_request: RequestId,
}

impl IdleConnections {
    /// Takes the connection to `backend` that was used last and may carry the request `id`.
    pub fn acquire(&self, backend: &Backend, id: &RequestId, idempotent: bool) -> Option<Conn> {
        let mut idle = lock(&self.idle);
        let entries = idle.get_mut(&key(backend))?;
        entries.retain(Idle::is_usable);
        let can_carry = |entry: &Idle| {
            entry.last_request != *id && (idempotent || entry.since.elapsed() < MAX_IDLE_FOR_NON_IDEMPOTENT)
        };
        let index = entries.iter().rposition(can_carry)?;
        Some(entries.remove(index).conn)
    }

    /// Keeps a connection after a complete answer to the request `id`.
    pub fn release(&self, backend: &Backend, id: &RequestId, conn: Conn, stated_timeout: Option<Millis>) {
        let idle_timeout = match stated_timeout {
            Some(timeout) => Duration::from(timeout).saturating_sub(IDLE_MARGIN),
            None => DEFAULT_IDLE_TIMEOUT,
        };
        if idle_timeout.is_zero() || conn.is_closed() {
            return;
        }
        let mut idle = lock(&self.idle);
        let entries = idle.entry(key(backend)).or_default();
        if entries.len() < MAX_IDLE_PER_SERVER {
            entries.push(Idle { conn, since: Instant::now(), idle_timeout, last_request: id.clone() });
        }
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
        self.since.elapsed() < self.idle_timeout && !self.conn.is_closed()
    }
}

/// Closes connections that are too old, now and then.
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
