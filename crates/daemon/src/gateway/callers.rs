//! Serves callers' requests on the endpoint code that gateways share with the routers that use agents.

use std::{sync::Arc, time::Duration};

use eelgrasswell_core::{refusal::Reason, unit::Millis};
use eelgrasswell_platform::response;
use hyper::{
    Request, Response,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
};
use tokio::{net::TcpListener, sync::Semaphore, time::Instant};

use super::{Gateway, execute::Execution, memory, request};
use crate::callers::{
    Body,
    endpoint::{ConnectionLimits, Endpoint, ShutdownTimes},
};

/// Time that an idle connection stays open beyond the configured idle timeout, so that a caller does not send a request
/// while the connection is being closed.
const IDLE_MARGIN: Duration = Duration::from_secs(5);
/// Time after the signal to stop during which new connections and requests are still served. The platform needs it to
/// take the host out of rotation.
const LINGER: Duration = Duration::from_millis(2_800);
/// Largest share of the grace period in which new requests are served. The rest is for those that came last.
const MAX_LINGER_SHARE: f64 = 0.4;
/// Time before the platform kills the process at which connections that are still busy are closed.
const KILL_MARGIN: Millis = Millis(700);

/// Serves callers until a graceful shutdown has finished.
pub async fn serve(gateway: Gateway, listener: TcpListener) {
    let grace: Duration = gateway.settings().bounds.grace_period().saturating_sub(KILL_MARGIN).into();
    let linger = LINGER.min(grace.mul_f64(MAX_LINGER_SHARE));
    let mut shutdown = gateway.shutdown.clone();
    let settings = &gateway.settings;
    let (share, max) = (settings.clients.callers_share, gateway.memory.max_connections());
    let table = memory::open_table(settings, memory::CALLERS, &listener, share, max);
    let (limited, served) = (gateway.clone(), gateway);
    let endpoint = Endpoint {
        max_connections: Semaphore::MAX_PERMITS,
        table: Some(table),
        limits: Box::new(move || connection_limits(&limited)),
        handler: Arc::new(move |req| Box::pin(handle(served.clone(), req))),
        shutdown: ShutdownTimes { linger, grace },
    };
    endpoint.serve(listener, async move { shutdown.wait().await }).await;
}

fn connection_limits(gateway: &Gateway) -> ConnectionLimits {
    let limits = gateway.config().map(|config| config.limits).unwrap_or_default();
    ConnectionLimits {
        http2: false,
        head_timeout: Duration::from(limits.idle_timeout + limits.head_timeout) + IDLE_MARGIN,
        max_head: limits.head.0 as usize,
        max_fields: Some(gateway.settings().clients.max_header_fields),
    }
}

/// Handles one request: reads and runs it, or responds with the failure.
async fn handle(gateway: Gateway, req: Request<Incoming>) -> Response<Body> {
    let arrived = Instant::now();
    let (id, failure) = match request::read(&gateway, req, arrived).await {
        Ok(call) => {
            let id = call.id.clone();
            match Box::pin(Execution::new(gateway, call).start()).await {
                Ok(response) => return response,
                Err(failure) => (id, failure),
            }
        }
        Err(refused) => refused,
    };
    let retry_after = failure.refusal.retry_after;
    let closes = failure.refusal.reason == Reason::MemoryFull;
    let mut response = failure.into_response(&id);
    if let Some(wait) = retry_after {
        response::set_retry_after(response.headers_mut(), wait);
    }
    if closes {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
