//! The memory that clients hold: requests and answers draw on one budget, and clients without progress are
//! disconnected when it is used up.

use std::{
    fs,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use eelgrasswell_core::{
    byte_budget::{ByteBudget, Grant, HolderId, Use},
    crash_evidence::PartId,
    hash::HashMap,
    refusal::Reason,
    unit::{Bytes as Size, Millis},
};
use eelgrasswell_manifest::gateway::GatewaySettings;
use eyre::Report;
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Uri,
    body::{Body as HttpBody, Frame, Incoming, SizeHint},
};
use tokio::{
    net::TcpListener,
    sync::Notify,
    time::{Instant, timeout_at},
};

use crate::{
    callers::{
        Body,
        clients::{Activity, Bounds, CONNECTION_SIZE, ConnectionTable, count_closed, max_connections},
        failure::Failure,
    },
    clock::BootClock,
    event,
    sync::lock,
    telemetry,
};

/// Share of the memory beyond the process's own that clients may hold. The rest is for the allocator's overhead, copies of
/// growing buffers, the log, and state that grows with the fleet.
const CLIENT_SHARE: f64 = 0.6;
/// Smallest budget: one body and one answer of legal size.
const MIN_BUDGET: Size = Size(8 << 20);
/// Time that bytes are waited for that other holders have to release.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(300);
/// `Retry-After` of a request for which there is no memory.
pub const RETRY_AFTER: Millis = Millis(400);
/// Memory that a request needs besides its head and body, in bytes: its state and the read buffer of the connection to a server.
const REQUEST_SIZE: usize = 40 << 10;
/// Memory that a header field needs besides its text, in bytes.
const FIELD_SIZE: usize = 80;
/// Steps in which the buffer of a body grows, in bytes. Large buffers grow by a quarter of their size.
const GROWTH_STEP: usize = 16 << 10;
/// Bytes of a buffered answer that are handed to the connection at a time. What it has taken is no longer seen as unread.
const SLICE: usize = 16 << 10;
/// Part of the budget's size, as its divisor, that bounds the number of idle connections of callers. Their memory is not
/// counted; it comes out of what `CLIENT_SHARE` leaves.
const CONNECTIONS_DIVISOR: u64 = 4;
/// Number of file descriptors if neither the settings nor the system say.
const DEFAULT_FDS: u64 = 1_024;

/// Handle to the budget. Cheap to clone.
#[derive(Clone)]
pub struct Memory(Arc<Shared>);

struct Shared {
    budget: Mutex<ByteBudget>,
    /// Connections to close when a holder is evicted.
    connections: Mutex<HashMap<HolderId, Arc<Activity>>>,
    released: Notify,
}

/// Bytes that are held for one client. They are released when this is dropped.
pub struct Share {
    memory: Memory,
    id: HolderId,
    purpose: Use,
}

/// The budget has no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

impl Memory {
    /// Opens the budget: the memory limit in the settings minus the process's present size.
    pub fn open(settings: &GatewaySettings) -> Self {
        let own = resident_memory();
        let left = settings.memory().0.saturating_sub(own.0);
        let budget = Size((left as f64 * CLIENT_SHARE) as u64).max(MIN_BUDGET);
        event!(Info, "memory_budget", limit = settings.memory(), own = own, budget = budget);
        Self(Arc::new(Shared {
            budget: Mutex::new(ByteBudget::new(budget)),
            connections: Mutex::default(),
            released: Notify::new(),
        }))
    }

    /// A share without bytes, for the client of `connection`.
    pub fn share(&self, purpose: Use, connection: Arc<Activity>) -> Share {
        let id = lock(&self.0.budget).open(now(), purpose);
        lock(&self.0.connections).insert(id, connection);
        Share { memory: self.clone(), id, purpose }
    }

    /// Number of connections that callers may keep open, apart from the limit on file descriptors.
    pub fn max_connections(&self) -> usize {
        (lock(&self.0.budget).limit().0 / CONNECTIONS_DIVISOR / CONNECTION_SIZE.0) as usize
    }

    /// Evicts the holders in `grant`. Returns whether the bytes were granted, or fails if they will not be.
    fn settle(&self, grant: Grant, purpose: Use) -> Result<bool, Full> {
        match grant {
            Grant::Granted => Ok(true),
            Grant::Denied => {
                metrics::counter!(telemetry::MEMORY_DENIED, "use" => purpose.as_str()).increment(1);
                Err(Full)
            }
            Grant::Evict(holders) => {
                let connections = lock(&self.0.connections);
                for connection in holders.iter().filter_map(|id| connections.get(id)) {
                    count_closed(CALLERS, "memory");
                    connection.close();
                }
                if !holders.is_empty() {
                    event!(Info, "memory_full", wanted_for = purpose.as_str(), evicted = holders.len());
                }
                Ok(false)
            }
        }
    }
}

impl Share {
    /// Waits until `bytes` would be granted. Nothing is counted.
    async fn admit(&self, bytes: usize) -> Result<(), Full> {
        self.wait_for(|budget| budget.check(now(), Some(self.id), Size(bytes as u64))).await
    }

    /// Makes room for `more` bytes in `buf`, whose capacity is counted for this share. The buffer is expected to grow to
    /// `largest` bytes at most.
    pub async fn reserve(&self, buf: &mut Vec<u8>, more: usize, largest: usize) -> Result<(), Full> {
        let size = buf.len() + more;
        if size > buf.capacity() {
            let step = GROWTH_STEP.max(buf.len() / 4);
            let capacity = (buf.len() + step).min(largest).max(size);
            self.grow(capacity - buf.capacity()).await?;
            buf.reserve_exact(capacity - buf.len());
        }
        Ok(())
    }

    /// Counts the parts of a prompt.
    pub async fn count_parts(&self, count: usize) -> Result<(), Failure> {
        let grown = self.grow(count * size_of::<PartId>()).await;
        grown.map_err(|Full| full("the gateway's memory has no room for the parts of the prompt"))
    }

    /// Counts `bytes` more.
    async fn grow(&self, bytes: usize) -> Result<(), Full> {
        self.wait_for(|budget| budget.grow(now(), self.id, Size(bytes as u64))).await
    }

    /// Records that the client has sent or read something.
    pub fn record_progress(&self) {
        lock(&self.memory.0.budget).record_progress(now(), self.id);
    }

    /// Sets whether the gateway waits for the client. If not, its bytes are never evicted.
    pub fn set_waiting(&self, waits_for_client: bool) {
        lock(&self.memory.0.budget).set_waiting(now(), self.id, waits_for_client);
    }

    async fn wait_for(&self, ask: impl Fn(&mut ByteBudget) -> Grant) -> Result<(), Full> {
        let limit = Instant::now() + RELEASE_TIMEOUT;
        loop {
            let released = self.memory.0.released.notified();
            let (grant, held) = {
                let mut budget = lock(&self.memory.0.budget);
                (ask(&mut budget), budget.held_for(self.purpose))
            };
            metrics::gauge!(telemetry::MEMORY_HELD, "use" => self.purpose.as_str()).set(held.0 as f64);
            if self.memory.settle(grant, self.purpose)? {
                return Ok(());
            }
            if timeout_at(limit, released).await.is_err() {
                return Err(Full);
            }
        }
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        let mut budget = lock(&self.memory.0.budget);
        budget.close(self.id);
        let held = budget.held_for(self.purpose);
        drop(budget);
        metrics::gauge!(telemetry::MEMORY_HELD, "use" => self.purpose.as_str()).set(held.0 as f64);
        lock(&self.memory.0.connections).remove(&self.id);
        self.memory.0.released.notify_waiters();
    }
}

/// Memory that the head of a request needs.
pub fn head_size(uri: &Uri, headers: &HeaderMap) -> usize {
    let fields: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len() + FIELD_SIZE).sum();
    uri.path().len() + uri.query().map_or(0, str::len) + fields
}

/// Limits on the body of a request.
pub struct BodyLimits {
    /// Size of the request's head, in bytes.
    pub head: usize,
    /// Largest body.
    pub size: Size,
    /// Time by which the body must be complete. The failure then has the reason `Expired`.
    pub deadline: Instant,
    /// Time within which some bytes must come.
    pub idle: Duration,
}

/// Reads the body of a request into one buffer that is counted for `share`, with the request itself.
pub async fn read_body(mut body: Incoming, limits: BodyLimits, share: &Share) -> Result<Bytes, Failure> {
    let request = share.grow(REQUEST_SIZE + limits.head).await;
    request.map_err(|Full| full("the gateway's memory has no room for the request"))?;
    if body.is_end_stream() {
        share.set_waiting(false);
        return Ok(Bytes::new());
    }
    let limit = limits.size.0 as usize;
    let announced = body.size_hint().lower();
    if announced > limits.size.0 {
        return Err(too_large(limits.size));
    }
    let announced = usize::try_from(announced).unwrap_or(limit);
    share.admit(announced).await.map_err(|Full| full("the gateway's memory has no room for the body"))?;
    let mut buf = Vec::new();
    loop {
        let idle_at = Instant::now() + limits.idle;
        let frame = timeout_at(limits.deadline.min(idle_at), body.frame()).await;
        let frame = frame.map_err(|_| Failure::not_run(Reason::Expired, "the body came too slowly"))?;
        let data = match frame {
            None => break,
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(err)) => {
                return Err(Failure::not_run(Reason::BadRequest, format!("could not read the body: {err}")));
            }
        };
        let size = buf.len() + data.len();
        if size > limit {
            return Err(too_large(limits.size));
        }
        if size > buf.capacity() {
            // A body of known size never needs more, but a buffer for all of it may be far more than ever comes.
            let largest = if announced > 0 { announced } else { limit };
            let grown = share.reserve(&mut buf, data.len(), largest).await;
            grown.map_err(|Full| full("the gateway's memory has no room for the rest of the body"))?;
        } else {
            share.record_progress();
        }
        buf.extend_from_slice(&data);
    }
    share.set_waiting(false);
    Ok(buf.into())
}

fn too_large(limit: Size) -> Failure {
    Failure::not_run(Reason::TooLarge, format!("the body is larger than {limit}"))
}

fn full(message: &str) -> Failure {
    Failure::not_run(Reason::MemoryFull, message).retry_after(RETRY_AFTER)
}

/// A whole answer for a caller. It is handed over in slices, so that a caller that does not read is seen.
pub struct BufferedAnswer {
    bytes: Bytes,
    share: Share,
}

impl BufferedAnswer {
    /// An answer whose bytes are counted for `share`.
    pub fn new(bytes: impl Into<Bytes>, share: Share) -> Self {
        share.set_waiting(true);
        Self { bytes: bytes.into(), share }
    }

    /// The body of the response.
    pub fn into_body(self) -> Body {
        Body::new(self)
    }

    /// The next slice; none after the end.
    pub fn next_slice(&mut self) -> Option<Bytes> {
        self.share.record_progress();
        match self.bytes.len() {
            0 => None,
            // The connection may keep the last slice after the share is released, and must not keep the whole buffer with it.
            1..=SLICE => Some(Bytes::copy_from_slice(&std::mem::take(&mut self.bytes))),
            _ => Some(self.bytes.split_to(SLICE)),
        }
    }
}

impl HttpBody for BufferedAnswer {
    type Data = Bytes;
    type Error = Report;

    fn poll_frame(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Report>>> {
        Poll::Ready(self.next_slice().map(|slice| Ok(Frame::data(slice))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.len() as u64)
    }
}

/// Opens the table of connections of `listener`. `share` is its share of the file descriptors.
pub fn open_table(
    settings: &GatewaySettings,
    name: &'static str,
    listener: &TcpListener,
    share: f64,
    max: usize,
) -> Arc<ConnectionTable> {
    let clients = &settings.clients;
    let max_fds = settings.max_fds.unwrap_or_else(system_max_fds);
    let bounds = Bounds {
        listener: name,
        max_connections: max_connections(max_fds, share).min(max),
        read_idle: (name != CALLERS).then(|| clients.body_idle()),
        write_idle: clients.response_idle(),
        max_pipelined: clients.max_pipelined,
    };
    event!(Info, "connections_bounded", listener = name, max = bounds.max_connections);
    ConnectionTable::open(bounds, listener)
}

/// Name of the callers' listener. Its connections may be idle between requests for a time that the configuration sets.
pub const CALLERS: &str = "callers";

fn now() -> Millis {
    BootClock.now()
}

/// Resident memory of the process; zero if it can't be read.
fn resident_memory() -> Size {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
    Size(line.split_whitespace().next().and_then(|kb| kb.parse::<u64>().ok()).unwrap_or_default() << 10)
}

/// Number of file descriptors that the system allows the process.
fn system_max_fds() -> u64 {
    let limits = fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files")).unwrap_or_default();
    line.split_whitespace().next().and_then(|soft| soft.parse().ok()).unwrap_or(DEFAULT_FDS)
}
