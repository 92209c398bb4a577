//! The callers' endpoint: accepts connections and serves HTTP/1.1 and HTTP/2 on each.

use std::{convert::Infallible, future::Future, sync::Arc, time::Duration};

use eelgrasswell_manifest::settings::CallerLimits;
use eyre::Result;
use hyper::service::service_fn;
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto::Builder, graceful::GracefulShutdown},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
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
        let connection = serve_connection(&builder, chain.clone(), stream);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            if let Err(err) = connection.await {
                event!(Debug, "caller_connection_failed", error = err);
            }
            drop(slot);
        });
    }
    drop(listener);
    let drain = chain.router.settings.host.drain;
    if timeout(drain.into(), graceful.shutdown()).await.is_err() {
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
        .max_buf_size(header_bytes.saturating_mul(2).max(MIN_HEADER_BUFFER));
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
) -> impl hyper_util::server::graceful::GracefulConnection<Error = Box<dyn std::error::Error + Send + Sync>> + Send + 'static
{
    // Tokens are small writes; waiting for more would add up to 40 ms to each.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |req| {
        let chain = chain.clone();
        async move { Ok::<_, Infallible>(chain.handle(req).await) }
    });
    builder.serve_connection(TokioIo::new(stream), service).into_owned()
}
