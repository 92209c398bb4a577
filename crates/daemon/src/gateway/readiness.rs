//! Serves the readiness check of the platform, and metrics.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use eelgrasswell_core::unit::Millis;
use eelgrasswell_platform::READINESS_PATH;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;

use super::{Gateway, State, memory};
use crate::{callers::clients::ConnectionTable, event, router::bind, sync::lock};

/// Limit on the age of the configuration's last confirmation, below which the host is ready for new connections. It is
/// a share of the time within which a revoked key must stop working (`revoke_ms`).
const MAX_CONFIG_AGE_SHARE: f64 = 0.8;

/// Path at which the metrics are served.
const METRICS_PATH: &str = "/metrics";

/// Time within which the head of a request must have been received, and for which a connection may be idle.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of the buffers of a connection, in bytes: two heads of legal size.
const MAX_HEAD: usize = 32 << 10;

/// Serves the readiness check on `listener`.
pub fn spawn(gateway: Gateway, listener: TcpListener) {
    let table = table(&gateway, "readiness", &listener);
    serve(listener, table, move |path| match path {
        READINESS_PATH if gateway.is_ready() => (StatusCode::OK, "ready\n".into()),
        READINESS_PATH => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".into()),
        _ => (StatusCode::NOT_FOUND, String::new()),
    });
}

/// Serves metrics on their port. If that fails, the gateway runs without them.
pub fn spawn_metrics(gateway: Gateway, metrics: PrometheusHandle) {
    tokio::spawn(async move {
        let address: SocketAddr = (gateway.settings.address, gateway.settings.metrics_port).into();
        match bind(address, "metrics endpoint").await {
            Ok(listener) => {
                let table = table(&gateway, "metrics", &listener);
                serve(listener, table, move |path| match path {
                    METRICS_PATH => (StatusCode::OK, metrics.render()),
                    _ => (StatusCode::NOT_FOUND, String::new()),
                });
            }
            Err(err) => event!(Error, "metrics_unavailable", error = format!("{err:#}")),
        }
    });
}

fn table(gateway: &Gateway, name: &'static str, listener: &TcpListener) -> Arc<ConnectionTable> {
    let share = gateway.settings.clients.readiness_share;
    memory::open_table(&gateway.settings, name, listener, share, usize::MAX)
}

/// Serves requests on `listener`; `answer` returns the status and body for a path.
fn serve(
    listener: TcpListener,
    table: Arc<ConnectionTable>,
    answer: impl Fn(&str) -> (StatusCode, String) + Clone + Send + Sync + 'static,
) {
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT).max_buf_size(MAX_HEAD);
    tokio::spawn(async move {
        loop {
            let stream = table.accept(&listener).await;
            let activity = stream.activity();
            let answer = answer.clone();
            let service = service_fn(move |req: Request<Incoming>| {
                // Responses are small, or their number is bounded by that of the connections, so a request ends at once.
                let (status, text) = match activity.begin_request() {
                    Some(_) => answer(req.uri().path()),
                    None => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
                };
                let mut response = Response::new(Full::new(Bytes::from(text)));
                *response.status_mut() = status;
                async move { Ok::<_, Infallible>(response) }
            });
            tokio::spawn(builder.serve_connection(TokioIo::new(stream), service));
        }
    });
}

impl State {
    /// Whether the platform may send callers to this host.
    fn is_ready(&self) -> bool {
        if self.shutdown.requested() || !self.mirror.is_complete() || self.config().is_none() {
            return false;
        }
        let limit = Millis((self.settings().bounds.revoke_ms as f64 * MAX_CONFIG_AGE_SHARE) as u64);
        let fresh = self.config_age().is_some_and(|age| age < limit);
        fresh && !lock(&self.pool).is_empty()
    }
}
