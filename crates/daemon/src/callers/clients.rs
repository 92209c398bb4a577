//! Bounds on the connections of one listener: their number, the time for which a client may take nothing of what is written,
//! and the number of requests that it sends ahead meanwhile.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use eelgrasswell_core::{
    hash::HashMap,
    unit::{Bytes as Size, Millis},
};
use eyre::Report;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    sync::{Notify, OwnedSemaphorePermit, Semaphore, futures::OwnedNotified},
    time::{sleep, timeout},
};

use super::Body;
use crate::{clock::BootClock, event, sync::lock, telemetry};

/// Pause after a failed accept. Without it, the loop would spin while the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Interval at which connections are checked for progress.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which a client may take nothing of a response before its connection can be closed in favour of a new one.
const EVICTABLE_AFTER: Millis = Millis(1_000);
/// Interval at which a new connection looks again for one that can be closed in its favour.
const EVICT_INTERVAL: Duration = Duration::from_millis(100);
/// Size of the kernel's receive buffer of a connection, in bytes. By default it may grow to megabytes. Linux doubles the value to
/// allow for its own overhead.
const RECEIVE_BUFFER: usize = 64 << 10;

/// Bounds on the connections of one listener.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Name of the listener in metrics and logs.
    pub listener: &'static str,
    /// Maximum number of connections.
    pub max_connections: usize,
    /// Time for which a connection without a request may receive nothing; none if its protocol has a time of its own.
    pub read_idle: Option<Millis>,
    /// Time for which the client may take nothing of what is written.
    pub write_idle: Millis,
    /// Maximum number of requests that are begun while the client does not take earlier responses.
    pub max_pipelined: u32,
}

/// The open connections of one listener.
pub struct ConnectionTable {
    bounds: Bounds,
    slots: Arc<Semaphore>,
    open: Mutex<HashMap<u64, Arc<Activity>>>,
    next: AtomicU64,
}

/// What happens on a connection.
pub struct Activity {
    /// Time of the last byte that was received or taken, in milliseconds.
    progress_at: AtomicU64,
    /// Whether bytes wait to be taken by the client.
    write_blocked: AtomicBool,
    /// Number of requests in progress, from the end of the head to the end of the response.
    requests: AtomicU32,
    /// Number of requests begun since the client last took all that was written.
    pipelined: AtomicU32,
    /// Whether a request was answered.
    has_served: AtomicBool,
    listener: &'static str,
    max_pipelined: u32,
    closed: Arc<Notify>,
}

/// A connection whose progress is recorded, and that can be closed from outside.
pub struct GuardedStream {
    stream: TcpStream,
    activity: Arc<Activity>,
    closed: Pin<Box<OwnedNotified>>,
    _entry: Entry,
}

/// Removes the connection from the table when it is dropped.
struct Entry {
    table: Arc<ConnectionTable>,
    id: u64,
    _slot: OwnedSemaphorePermit,
}

impl ConnectionTable {
    /// Creates the table for `listener` and bounds the kernel's buffers of its connections.
    pub fn open(bounds: Bounds, listener: &TcpListener) -> Arc<Self> {
        if let Err(err) = SockRef::from(listener).set_recv_buffer_size(RECEIVE_BUFFER) {
            event!(Warn, "receive_buffer_not_set", listener = bounds.listener, error = err);
        }
        let slots = Arc::new(Semaphore::new(bounds.max_connections.clamp(1, Semaphore::MAX_PERMITS)));
        let table = Arc::new(Self { bounds, slots, open: Mutex::default(), next: AtomicU64::new(0) });
        tokio::spawn(check_progress(Arc::clone(&table)));
        table
    }

    /// Accepts a connection and admits it.
    pub async fn accept(self: &Arc<Self>, listener: &TcpListener) -> GuardedStream {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => return self.admit(stream).await,
                Err(err) => {
                    event!(Warn, "accept_failed", error = err);
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Admits a new connection. If there are too many, this closes another one, and waits until it is closed.
    pub async fn admit(self: &Arc<Self>, stream: TcpStream) -> GuardedStream {
        let slot = loop {
            if let Ok(slot) = Arc::clone(&self.slots).try_acquire_owned() {
                break slot;
            }
            self.evict();
            if let Ok(slot) = timeout(EVICT_INTERVAL, Arc::clone(&self.slots).acquire_owned()).await {
                break slot.expect("the semaphore is never closed");
            }
        };
        let activity = Arc::new(Activity {
            progress_at: AtomicU64::new(now()),
            write_blocked: AtomicBool::new(false),
            requests: AtomicU32::new(0),
            pipelined: AtomicU32::new(0),
            has_served: AtomicBool::new(false),
            listener: self.bounds.listener,
            max_pipelined: self.bounds.max_pipelined,
            closed: Arc::default(),
        });
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let mut open = lock(&self.open);
        open.insert(id, Arc::clone(&activity));
        self.report(open.len());
        drop(open);
        let closed = Box::pin(Arc::clone(&activity.closed).notified_owned());
        GuardedStream { stream, activity, closed, _entry: Entry { table: Arc::clone(self), id, _slot: slot } }
    }

    /// Closes the connection that a new one may replace: the one without progress for the longest time, first among those
    /// that have never sent a whole request. Requests in progress go on unless their client does not read.
    fn evict(&self) {
        let now = now();
        let open = lock(&self.open);
        let candidates = open.values().filter(|activity| activity.may_give_way(now));
        let oldest = candidates.min_by_key(|activity| {
            (activity.has_served.load(Ordering::Relaxed), activity.progress_at.load(Ordering::Relaxed))
        });
        if let Some(activity) = oldest {
            self.close(activity, "too_many", now);
        }
    }

    fn close(&self, activity: &Activity, reason: &'static str, now: u64) {
        let (listener, idle) = (self.bounds.listener, Millis(now).saturating_sub(activity.last_progress()));
        count_closed(listener, reason);
        event!(
            Debug,
            "client_closed",
            listener = listener,
            reason = reason,
            idle = idle,
            max = self.bounds.max_connections
        );
        activity.close();
    }

    fn report(&self, open: usize) {
        metrics::gauge!(telemetry::CONNECTIONS, "listener" => self.bounds.listener).set(open as f64);
    }
}

/// Closes connections whose clients make no progress.
async fn check_progress(table: Arc<ConnectionTable>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = now();
        for activity in lock(&table.open).values() {
            let idle = Millis(now).saturating_sub(activity.last_progress());
            if activity.write_blocked.load(Ordering::Relaxed) {
                if idle >= table.bounds.write_idle {
                    table.close(activity, "not_read", now);
                }
            } else if table.bounds.read_idle.is_some_and(|limit| idle >= limit) {
                table.close(activity, "silent", now);
            }
        }
    }
}

impl Activity {
    /// Closes the connection.
    pub fn close(&self) {
        self.closed.notify_one();
    }

    /// Records that the head of a request was received, until the result is dropped. None if the client has sent too many
    /// requests ahead; it is then disconnected.
    pub fn begin_request(self: &Arc<Self>) -> Option<RequestInProgress> {
        if !self.write_blocked.load(Ordering::Relaxed) {
            self.pipelined.store(0, Ordering::Relaxed);
        } else if self.pipelined.fetch_add(1, Ordering::Relaxed) >= self.max_pipelined {
            count_closed(self.listener, "sent_ahead");
            event!(Debug, "client_closed", listener = self.listener, reason = "sent_ahead", max = self.max_pipelined);
            self.close();
            return None;
        }
        self.requests.fetch_add(1, Ordering::Relaxed);
        Some(RequestInProgress(Arc::clone(self)))
    }

    fn last_progress(&self) -> Millis {
        Millis(self.progress_at.load(Ordering::Relaxed))
    }

    fn may_give_way(&self, now: u64) -> bool {
        let unread = self.write_blocked.load(Ordering::Relaxed)
            && Millis(now).saturating_sub(self.last_progress()) >= EVICTABLE_AFTER;
        unread || self.requests.load(Ordering::Relaxed) == 0
    }

    fn record_progress(&self) {
        self.progress_at.store(now(), Ordering::Relaxed);
    }
}

/// A request in progress on a connection.
pub struct RequestInProgress(Arc<Activity>);

impl RequestInProgress {
    /// The body of the response, with whose end the request ends.
    pub fn track(self, body: Body) -> Body {
        Body::new(TrackedBody { body, _request: self })
    }
}

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        self.0.has_served.store(true, Ordering::Relaxed);
        self.0.requests.fetch_sub(1, Ordering::Relaxed);
    }
}

struct TrackedBody {
    body: Body,
    _request: RequestInProgress,
}

impl HttpBody for TrackedBody {
    type Data = Bytes;
    type Error = Report;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Report>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let mut open = lock(&self.table.open);
        open.remove(&self.id);
        self.table.report(open.len());
    }
}

impl GuardedStream {
    /// What happens on the connection.
    pub fn activity(&self) -> Arc<Activity> {
        Arc::clone(&self.activity)
    }

    /// Sends small writes at once.
    pub fn set_nodelay(&self) -> io::Result<()> {
        self.stream.set_nodelay(true)
    }

    fn poll_closed(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        match self.closed.as_mut().poll(cx) {
            Poll::Ready(()) => {
                // Later calls must fail, too.
                self.closed = Box::pin(Arc::clone(&self.activity.closed).notified_owned());
                self.activity.close();
                Err(io::ErrorKind::ConnectionAborted.into())
            }
            Poll::Pending => Ok(()),
        }
    }

    fn record_write<T>(&self, result: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        let blocked = result.is_pending();
        let was_blocked = self.activity.write_blocked.swap(blocked, Ordering::Relaxed);
        if !blocked || !was_blocked {
            self.activity.record_progress();
        }
        result
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        self.poll_closed(cx)?;
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if !self.activity.write_blocked.load(Ordering::Relaxed) {
            self.activity.record_progress();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_closed(cx)?;
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record_write(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_closed(cx)?;
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl tonic::transport::server::Connected for GuardedStream {
    type ConnectInfo = ();

    fn connect_info(&self) {}
}

/// Counts a connection that the process closes.
pub fn count_closed(listener: &'static str, reason: &'static str) {
    metrics::counter!(telemetry::CLIENTS_CLOSED, "listener" => listener, "reason" => reason).increment(1);
}

/// Present time in milliseconds.
fn now() -> u64 {
    BootClock.now().0
}

/// Maximum number of connections: `share` of `max_fds`, at least one.
pub fn max_connections(max_fds: u64, share: f64) -> usize {
    ((max_fds as f64 * share) as usize).max(1)
}

/// Memory that an idle connection needs: its state and the first buffers.
pub const CONNECTION_SIZE: Size = Size(16 << 10);
