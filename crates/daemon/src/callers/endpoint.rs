//! The callers' endpoint: accepts connections, serves requests on them, and shuts down gracefully. Connections in use
//! stay open until the grace period ends.

use std::{convert::Infallible, net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use bytes::Bytes;
use eyre::{Result, WrapErr};
use futures::future::BoxFuture;
use hyper::{
    Request, Response, StatusCode, Version,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
    service::service_fn,
};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto::Builder,
};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::{Notify, Semaphore, watch},
    time::{Instant, sleep, timeout},
};

use super::{
    Body,
    body::full,
    clients::{Activity, ConnectionTable},
};
use crate::event;

/// Pause after a failed accept. Without it, the loop would spin while the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Smallest read buffer that hyper allows.
const MIN_HEADER_BUFFER: usize = 8 << 10;
/// Maximum number of concurrent streams of one HTTP/2 connection.
const MAX_STREAMS: u32 = 256;
/// Maximum number of response bytes buffered for one HTTP/2 stream. It limits the memory that stalled readers take.
const SEND_BUFFER: usize = 32 << 10;
/// Size of the kernel's send buffer for one caller, in bytes. By default it may grow to megabytes. Linux doubles the
/// value to allow for its own overhead.
const KERNEL_BUFFER: u32 = 32 << 10;
/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Time that tasks get to drop their connections after these were aborted.
const ABORT_TIMEOUT: Duration = Duration::from_millis(350);

/// Handles one request.
pub type Handler = Arc<dyn Fn(Request<Incoming>) -> BoxFuture<'static, Response<Body>> + Send + Sync>;

/// An endpoint for callers.
pub struct Endpoint {
    /// Maximum number of connections that are served at the same time; further ones wait.
    pub max_connections: usize,
    /// Bounds on connections and their clients; none for `max_connections` alone.
    pub table: Option<Arc<ConnectionTable>>,
    /// Returns the limits for a new connection.
    pub limits: Box<dyn Fn() -> ConnectionLimits + Send + Sync>,
    /// Handles the requests.
    pub handler: Handler,
    /// Times of the graceful shutdown.
    pub shutdown: ShutdownTimes,
}

/// Limits of one connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Whether HTTP/2 is accepted in addition to HTTP/1.1.
    pub http2: bool,
    /// Time within which the head of the next request must have been received. It is also the longest idle time.
    pub head_timeout: Duration,
    /// Maximum size of a request's head, in bytes.
    pub max_head: usize,
    /// Maximum number of header fields of a request; none for the default of the HTTP library.
    pub max_fields: Option<usize>,
}

/// Times of a graceful shutdown, measured from its start.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownTimes {
    /// Time until which new connections and requests are still served.
    pub linger: Duration,
    /// Time after which connections that are still busy are aborted.
    pub grace: Duration,
}

/// Stage of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// No shutdown is in progress.
    Serving,
    /// New connections and requests are served, and responses ask callers to close their connections.
    Lingering,
    /// No connections are accepted, and idle ones are closed.
    Closing,
    /// All connections are aborted.
    Aborting,
}

/// Handle that aborts the HTTP/1.1 connection of a caller that does not read. While such a connection's buffers are
/// full, hyper does not poll the response body, so an error in the body would have no effect.
#[derive(Clone, Default)]
pub struct ConnectionAbort(Arc<Notify>);

impl ConnectionAbort {
    /// Aborts the connection.
    pub fn abort(&self) {
        self.0.notify_one();
    }
}

/// Binds the callers' endpoint.
pub fn bind(address: SocketAddr) -> Result<TcpListener> {
    let open = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        socket.set_send_buffer_size(KERNEL_BUFFER)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    open().wrap_err_with(|| format!("could not bind the callers' endpoint to {address}"))
}

impl Endpoint {
    /// Serves `listener` until `stop` completes and the connections have ended. Connections that are still open at the
    /// end of the grace period are aborted. Returns the time at which the shutdown began.
    pub async fn serve(self, listener: TcpListener, stop: impl Future<Output = ()>) -> Instant {
        let (stage, stage_rx) = watch::channel(Stage::Serving);
        let times = self.shutdown;
        let max_connections = self.max_connections.min(Semaphore::MAX_PERMITS);
        let slots = Arc::new(Semaphore::new(max_connections));
        let accepting = self.accept(listener, Arc::clone(&slots), stage_rx);
        let stopping = async {
            stop.await;
            let stopped_at = Instant::now();
            stage.send_replace(Stage::Lingering);
            sleep(times.linger).await;
            stage.send_replace(Stage::Closing);
            let remaining = times.grace.saturating_sub(stopped_at.elapsed());
            if timeout(remaining, stage.closed()).await.is_err() {
                event!(Warn, "connections_cut", count = max_connections - slots.available_permits());
                stage.send_replace(Stage::Aborting);
                // Tasks that are still running after this end with the process.
                let _ = timeout(ABORT_TIMEOUT, stage.closed()).await;
            }
            stopped_at
        };
        tokio::join!(accepting, stopping).1
    }

    /// Accepts connections until the closing stage.
    async fn accept(self, listener: TcpListener, slots: Arc<Semaphore>, stage: watch::Receiver<Stage>) {
        let mut closing = stage.clone();
        let mut closing = pin!(closing.wait_for(|stage| *stage >= Stage::Closing));
        loop {
            let slot = tokio::select! {
                slot = Arc::clone(&slots).acquire_owned() => slot.expect("the semaphore is never closed"),
                _ = &mut closing => return,
            };
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = &mut closing => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    let connection = Connection {
                        limits: (self.limits)(),
                        handler: Arc::clone(&self.handler),
                        stage: stage.clone(),
                    };
                    match &self.table {
                        Some(table) => {
                            let stream = table.admit(stream).await;
                            let activity = stream.activity();
                            if let Err(err) = stream.set_nodelay() {
                                event!(Debug, "caller_connection_failed", error = err);
                                continue;
                            }
                            tokio::spawn(async move {
                                connection.serve(stream, Some(activity)).await;
                                drop(slot);
                            });
                        }
                        None => {
                            tokio::spawn(async move {
                                connection.serve_unbounded(stream).await;
                                drop(slot);
                            });
                        }
                    }
                }
                Err(err) => {
                    event!(Warn, "accept_failed", error = err);
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }
}

/// One connection of a caller.
struct Connection {
    limits: ConnectionLimits,
    handler: Handler,
    stage: watch::Receiver<Stage>,
}

impl Connection {
    async fn serve_unbounded(self, stream: TcpStream) {
        // Events are small writes, and Nagle's algorithm would delay each of them by up to 40 ms.
        if let Err(err) = stream.set_nodelay(true) {
            event!(Debug, "caller_connection_failed", error = err);
            return;
        }
        self.serve(stream, None).await;
    }

    async fn serve(
        mut self,
        stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
        activity: Option<Arc<Activity>>,
    ) {
        let abort = ConnectionAbort::default();
        let builder = self.limits.builder();
        let (handler, stage, abort_handle) = (Arc::clone(&self.handler), self.stage.clone(), abort.clone());
        let service = service_fn(move |req: Request<Incoming>| {
            // Boxed because an idle connection, too, reserves space for the future of a request.
            let response: BoxFuture<_> = Box::pin(handle_request(
                Arc::clone(&handler),
                stage.clone(),
                abort_handle.clone(),
                activity.clone(),
                req,
            ));
            response
        });
        let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
        let mut closing = self.stage.clone();
        let mut closed = false;
        loop {
            let ended = tokio::select! {
                ended = connection.as_mut() => ended,
                () = abort.0.notified() => Err("aborted because the caller does not read".into()),
                _ = self.stage.wait_for(|stage| *stage == Stage::Aborting) => Err("aborted by the shutdown".into()),
                _ = closing.wait_for(|stage| *stage >= Stage::Closing), if !closed => {
                    closed = true;
                    connection.as_mut().graceful_shutdown();
                    continue;
                }
            };
            if let Err(err) = ended {
                event!(Debug, "caller_connection_failed", error = err);
            }
            return;
        }
    }
}

impl ConnectionLimits {
    fn builder(&self) -> Builder<TokioExecutor> {
        let mut builder = Builder::new(TokioExecutor::new());
        if !self.http2 {
            builder = builder.http1_only();
        }
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(self.head_timeout)
            .max_buf_size(self.max_head.max(MIN_HEADER_BUFFER));
        if let Some(max) = self.max_fields {
            builder.http1().max_headers(max);
        }
        builder
            .http2()
            .timer(TokioTimer::new())
            .max_concurrent_streams(MAX_STREAMS)
            .max_send_buf_size(SEND_BUFFER)
            .max_header_list_size(u32::try_from(self.max_head.saturating_mul(2)).unwrap_or(u32::MAX));
        builder
    }
}

async fn handle_request(
    handler: Handler,
    stage: watch::Receiver<Stage>,
    abort: ConnectionAbort,
    activity: Option<Arc<Activity>>,
    mut req: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let http1 = req.version() < Version::HTTP_2;
    if http1 {
        req.extensions_mut().insert(abort);
    }
    let request = match activity {
        Some(activity) => {
            let Some(request) = activity.begin_request() else { return Ok(sent_ahead()) };
            req.extensions_mut().insert(activity);
            Some(request)
        }
        None => None,
    };
    let mut response = handler(req).await;
    if let Some(request) = request {
        response = response.map(|body| request.track(body));
    }
    if http1 && *stage.borrow() != Stage::Serving {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// Response to a request that was sent ahead of too many unread responses. Its connection is closed.
fn sent_ahead() -> Response<Body> {
    let mut response = Response::new(full(Bytes::new()));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
