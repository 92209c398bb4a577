//! The callers' endpoint: accepts connections and serves HTTP/1.1 and HTTP/2 on each.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use eelgrasswell_manifest::settings::CallerLimits;
use eyre::{Result, WrapErr};
use futures::future::BoxFuture;
use hyper::{Request, Version, body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto::Builder, graceful::GracefulShutdown},
};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::{Notify, Semaphore},
    time::{sleep, timeout},
};

use super::Chain;
use crate::event;

/// Time within which a caller must send the head of a request; also the longest idle time of an
/// HTTP/1.1 connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause after a failed accept; out of file descriptors, an immediate repetition would spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
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

/// Cuts off the HTTP/1.1 connection of a caller that does not read. While it is full, hyper does not
/// ask for more of the answer, so an error in the answer would not reach it.
#[derive(Clone, Default)]
pub struct Cut(Arc<Notify>);

impl Cut {
    /// Closes the connection.
    pub fn now(&self) {
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

/// Serves `chain` on `listener` until `stop` is ready and the running requests have finished, at
/// most for the drain time of the settings.
pub async fn run(chain: Chain, listener: TcpListener, stop: impl Future<Output = ()>) -> Result<()> {
    let limits = &chain.router.settings.limits;
    let slots = Arc::new(Semaphore::new(limits.max_connections as usize));
    let builder = Arc::new(builder(limits));
    let graceful = GracefulShutdown::new();
    tokio::pin!(stop);
    loop {
        let slot = tokio::select! {
            slot = Arc::clone(&slots).acquire_owned() => slot.expect("the semaphore is never closed"),
            () = &mut stop => break,
        };
        let stream = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(err) => {
                    event!(Warn, "accept_failed", error = err);
                    sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            },
            () = &mut stop => break,
        };
        let cut = Cut::default();
        let connection = serve_connection(&builder, chain.clone(), stream, cut.clone());
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            let ended = tokio::select! {
                ended = connection => ended,
                () = cut.0.notified() => Err("cut off".into()),
            };
            if let Err(err) = ended {
                event!(Debug, "caller_connection_failed", error = err);
            }
            drop(slot);
        });
    }
    drop(listener);
    let drain = chain.router.settings.host.drain;
    let finished = async {
        graceful.shutdown().await;
        chain.idle().await;
    };
    if timeout(drain.into(), finished).await.is_err() {
        event!(Warn, "drain_limit_reached", limit = drain);
    }
    Ok(())
}

fn builder(limits: &CallerLimits) -> Builder<TokioExecutor> {
    let header_bytes = limits.max_headers.0 as usize;
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(header_bytes.max(MIN_HEADER_BUFFER));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .max_send_buf_size(SEND_BUFFER)
        .max_header_list_size(u32::try_from(header_bytes.saturating_mul(2)).unwrap_or(u32::MAX));
    builder
}

fn serve_connection(
    builder: &Builder<TokioExecutor>,
    chain: Chain,
    stream: TcpStream,
    cut: Cut,
) -> impl hyper_util::server::graceful::GracefulConnection<Error = Box<dyn std::error::Error + Send + Sync>> + Send + 'static
{
    // Tokens are small writes; waiting for more would add up to 40 ms to each.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |mut req: Request<Incoming>| {
        let chain = chain.clone();
        if req.version() < Version::HTTP_2 {
            req.extensions_mut().insert(cut.clone());
        }
        // Boxed, since a connection keeps room for the future of a request while it is idle, too.
        let answer: BoxFuture<_> = Box::pin(async move { Ok::<_, Infallible>(chain.handle(req).await) });
        answer
    });
    builder.serve_connection(TokioIo::new(stream), service).into_owned()
}
