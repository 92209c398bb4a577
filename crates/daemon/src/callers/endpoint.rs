//! The callers' endpoint: accepts connections, serves requests on them, and stops without cutting any that is in use.

use std::{convert::Infallible, net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use eyre::{Result, WrapErr};
use futures::future::BoxFuture;
use hyper::{
    Request, Response, Version,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
    service::service_fn,
};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto::Builder,
};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::{Notify, Semaphore, watch},
    time::{Instant, sleep, timeout},
};

use super::Body;
use crate::event;

/// Pause after a failed accept; out of file descriptors, an immediate repetition would spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Smallest read buffer that hyper allows.
const MIN_HEADER_BUFFER: usize = 8 << 10;
/// Concurrent streams of one HTTP/2 connection.
const MAX_STREAMS: u32 = 256;
/// Most answer bytes buffered for one HTTP/2 stream, so that stalled readers cost little memory.
const SEND_BUFFER: usize = 32 << 10;
/// Unread bytes of an answer that the kernel takes for one caller; by itself it takes megabytes. Linux
/// counts its own overhead and so doubles the value.
const KERNEL_BUFFER: u32 = 32 << 10;
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Time in which connections that were cut are given up by their tasks.
const CUT_TIME: Duration = Duration::from_millis(350);

/// Answers one request.
pub type Handler = Arc<dyn Fn(Request<Incoming>) -> BoxFuture<'static, Response<Body>> + Send + Sync>;

/// An endpoint that is ready to serve.
pub struct Endpoint {
    /// Connections that are served at once; further ones wait.
    pub max_connections: usize,
    /// Limits of a new connection.
    pub limits: Box<dyn Fn() -> ConnectionLimits + Send + Sync>,
    /// Answers the requests.
    pub handler: Handler,
    /// How it stops.
    pub shutdown: ShutdownTimes,
}

/// Limits of one connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Whether HTTP/2 is spoken, beside HTTP/1.1.
    pub http2: bool,
    /// Time within which the head of the next request must have come; also the longest idle time.
    pub head_timeout: Duration,
    /// Most bytes of a request's head.
    pub max_head: usize,
}

/// Times of a graceful stop, from its beginning.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownTimes {
    /// Until then new connections and requests are served as before.
    pub linger: Duration,
    /// From then on connections that are still busy are cut.
    pub grace: Duration,
}

/// How far a stop has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    Serving,
    /// Answers ask callers to close their connections.
    Lingering,
    /// Idle connections are closed.
    Closing,
    /// All connections are closed.
    Cut,
}

/// Cuts off the HTTP/1.1 connection of a caller that does not read. While it is full, hyper does not
/// ask for more of the answer, so an error in the answer would not reach it.
#[derive(Clone, Default)]
pub struct ConnectionAbort(Arc<Notify>);

impl ConnectionAbort {
    /// Closes the connection.
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
    /// Serves `listener` until `stop` is ready and the connections have ended, at most for the grace time. Returns
    /// when the stop began.
    pub async fn serve(self, listener: TcpListener, stop: impl Future<Output = ()>) -> Instant {
        let (stage, stage_rx) = watch::channel(Stage::Serving);
        let times = self.shutdown;
        let most = self.max_connections.min(Semaphore::MAX_PERMITS);
        let slots = Arc::new(Semaphore::new(most));
        let accepting = self.accept(listener, Arc::clone(&slots), stage_rx);
        let stopping = async {
            stop.await;
            let stopped_at = Instant::now();
            stage.send_replace(Stage::Lingering);
            sleep(times.linger).await;
            stage.send_replace(Stage::Closing);
            let rest = times.grace.saturating_sub(stopped_at.elapsed());
            if timeout(rest, stage.closed()).await.is_err() {
                event!(Warn, "connections_cut", count = most - slots.available_permits());
                stage.send_replace(Stage::Cut);
                // What is left after this ends with the process.
                let _ = timeout(CUT_TIME, stage.closed()).await;
            }
            stopped_at
        };
        tokio::join!(accepting, stopping).1
    }

    /// Accepts connections until they are to be closed.
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
                    tokio::spawn(async move {
                        connection.serve(stream).await;
                        drop(slot);
                    });
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
    async fn serve(mut self, stream: TcpStream) {
        // Events are small writes; waiting for more would add up to 40 ms to each.
        if let Err(err) = stream.set_nodelay(true) {
            event!(Debug, "caller_connection_failed", error = err);
            return;
        }
        let cut = ConnectionAbort::default();
        let builder = self.limits.builder();
        let (handler, stage, own_cut) = (Arc::clone(&self.handler), self.stage.clone(), cut.clone());
        let service = service_fn(move |req: Request<Incoming>| {
            // Boxed, since a connection keeps room for the future of a request while it is idle, too.
            let answer: BoxFuture<_> = Box::pin(answer(Arc::clone(&handler), stage.clone(), own_cut.clone(), req));
            answer
        });
        let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
        let mut closing = self.stage.clone();
        let mut closed = false;
        loop {
            let ended = tokio::select! {
                ended = connection.as_mut() => ended,
                () = cut.0.notified() => Err("cut off".into()),
                _ = self.stage.wait_for(|stage| *stage == Stage::Cut) => Err("cut off by the stop".into()),
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
        builder
            .http2()
            .timer(TokioTimer::new())
            .max_concurrent_streams(MAX_STREAMS)
            .max_send_buf_size(SEND_BUFFER)
            .max_header_list_size(u32::try_from(self.max_head.saturating_mul(2)).unwrap_or(u32::MAX));
        builder
    }
}

async fn answer(
    handler: Handler,
    stage: watch::Receiver<Stage>,
    cut: ConnectionAbort,
    mut req: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let http1 = req.version() < Version::HTTP_2;
    if http1 {
        req.extensions_mut().insert(cut);
    }
    let mut response = handler(req).await;
    if http1 && *stage.borrow() != Stage::Serving {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}
