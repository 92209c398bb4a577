//! The callers' endpoint: accepts connections, serves requests, and stops without cutting any.

use std::{convert::Infallible, net::SocketAddr, pin::pin, time::Duration};

use eelgrasswell_core::unit::Millis;
use eyre::Result;
use hyper::{
    Request, Response,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
    server::conn::http1::Builder,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{Instant, sleep, timeout},
};

use super::{Body, Gateway, execute::Execution, refusal::Refusal, request};
use crate::{event, filter};

/// Pause after a failed accept; out of file descriptors, an immediate repetition would spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time beyond the idle time-out of the configuration at which an idle connection is closed, so that a request never
/// crosses the close.
const IDLE_MARGIN: Duration = Duration::from_secs(5);
/// Time after the signal to stop for which new connections and requests are still served: the platform needs it to
/// take the host out of rotation.
const LINGER: Duration = Duration::from_millis(2_800);
/// Time before the kill at which connections that are still busy are cut.
const KILL_MARGIN: Millis = Millis(700);

/// How far a stop has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Serving,
    /// Idle connections are closed.
    Closing,
    /// All connections are closed.
    Cut,
}

/// Binds the callers' endpoint.
pub fn bind(address: SocketAddr) -> Result<TcpListener> {
    filter::bind(address)
}

/// Serves callers until a graceful shutdown has finished.
pub async fn serve(gateway: Gateway, listener: TcpListener) {
    let (stage, stage_rx) = watch::channel(Stage::Serving);
    let mut shutdown = gateway.shutdown.clone();
    let grace = gateway.settings().bounds.grace().saturating_sub(KILL_MARGIN);
    let accepting = accept(gateway, listener, stage_rx);
    let stopping = async {
        shutdown.wait().await;
        let stopped_at = Instant::now();
        sleep(LINGER).await;
        stage.send_replace(Stage::Closing);
        let rest = Duration::from(grace).saturating_sub(stopped_at.elapsed());
        if timeout(rest, stage.closed()).await.is_err() {
            event!(Warn, "connections_cut", count = stage.receiver_count());
            stage.send_replace(Stage::Cut);
            let _ = timeout(Duration::from(KILL_MARGIN) / 2, stage.closed()).await;
        }
    };
    tokio::join!(accepting, stopping);
}

/// Accepts connections until they are to be closed.
async fn accept(gateway: Gateway, listener: TcpListener, mut stage: watch::Receiver<Stage>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stage.wait_for(|stage| *stage != Stage::Serving) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(gateway.clone(), stream, stage.clone()));
            }
            Err(err) => {
                event!(Warn, "accept_failed", error = err);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(gateway: Gateway, stream: TcpStream, mut stage: watch::Receiver<Stage>) {
    // Events are small writes; waiting for more would add up to 40 ms to each.
    if let Err(err) = stream.set_nodelay(true) {
        event!(Debug, "caller_connection_failed", error = err);
        return;
    }
    let limits = gateway.site().map(|site| site.limits).unwrap_or_default();
    let mut builder = Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from(limits.idle_timeout + limits.head_timeout) + IDLE_MARGIN)
        .max_buf_size((limits.head.0 as usize).max(16 << 10));
    let served = gateway.clone();
    let service = service_fn(move |req| {
        let gateway = served.clone();
        async move { Ok::<_, Infallible>(handle(gateway, req).await) }
    });
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let mut cut = stage.clone();
    let mut closing = false;
    loop {
        let ended = tokio::select! {
            ended = connection.as_mut() => Some(ended),
            _ = cut.wait_for(|stage| *stage == Stage::Cut) => None,
            _ = stage.wait_for(|stage| *stage != Stage::Serving), if !closing => {
                closing = true;
                connection.as_mut().graceful_shutdown();
                continue;
            }
        };
        if let Some(Err(err)) = ended {
            event!(Debug, "caller_connection_failed", error = err);
        }
        return;
    }
}

/// Answers one request.
async fn handle(gateway: Gateway, req: Request<Incoming>) -> Response<Body> {
    let arrived = Instant::now();
    let mut response = match request::read(&gateway, req, arrived).await {
        Ok(call) => {
            let id = call.id.clone();
            let run = Box::pin(Execution::new(gateway.clone(), call).start());
            run.await.unwrap_or_else(|refusal: Refusal| refusal.into_response(&id))
        }
        Err((id, refusal)) => refusal.into_response(&id),
    };
    if gateway.shutdown.requested() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
