//! Serves the readiness check of the platform, and metrics.

use std::{convert::Infallible, net::SocketAddr};

use bytes::Bytes;
use eelgrasswell_core::unit::Millis;
use eelgrasswell_platform::{READINESS_PATH, objects::Kind};
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;

use super::{Gateway, State};
use crate::{event, router::bind, sync::lock};

/// Limit on the age of the configuration's last confirmation, below which the host is ready for new connections. It is
/// a share of the time within which a revoked key must stop working (`revoke_ms`).
const MAX_CONFIG_AGE_SHARE: f64 = 0.8;

/// Path at which the metrics are served.
const METRICS_PATH: &str = "/metrics";

/// Serves the readiness check on `listener`.
pub fn spawn(gateway: Gateway, listener: TcpListener) {
    serve(listener, move |path| match path {
        READINESS_PATH if gateway.is_ready() => (StatusCode::OK, "ready\n".into()),
        READINESS_PATH => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".into()),
        _ => (StatusCode::NOT_FOUND, String::new()),
    });
}

/// Serves metrics on `address`. If that fails, the gateway runs without them.
pub fn spawn_metrics(address: SocketAddr, metrics: PrometheusHandle) {
    tokio::spawn(async move {
        match bind(address, "metrics endpoint").await {
            Ok(listener) => serve(listener, move |path| match path {
                METRICS_PATH => (StatusCode::OK, metrics.render()),
                _ => (StatusCode::NOT_FOUND, String::new()),
            }),
            Err(err) => event!(Error, "metrics_unavailable", error = format!("{err:#}")),
        }
    });
}

/// Serves requests on `listener`; `answer` returns the status and body for a path.
fn serve(listener: TcpListener, answer: impl Fn(&str) -> (StatusCode, String) + Clone + Send + Sync + 'static) {
    tokio::spawn(async move {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(err) => {
                    event!(Warn, "accept_failed", error = err);
                    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                    continue;
                }
            };
            let answer = answer.clone();
            let service = service_fn(move |req: Request<Incoming>| {
                let (status, text) = answer(req.uri().path());
                let mut response = Response::new(Full::new(Bytes::from(text)));
                *response.status_mut() = status;
                async move { Ok::<_, Infallible>(response) }
            });
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
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
        let fresh = self.mirror.confirmation_age(Kind::Config, self.clock.now()).is_some_and(|age| age < limit);
        fresh && !lock(&self.pool).is_empty()
    }
}
