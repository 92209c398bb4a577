//! HTTP endpoint for operators: health, readiness and metrics.

use std::{convert::Infallible, time::Duration};

use bytes::Bytes;
use eelgrasswell_core::id::Revision;
use http_body_util::Full;
use hyper::{Method, Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{net::TcpListener, time::sleep};

use super::Agent;
use crate::event;

/// Number of requests that run on the backend server.
const RUNNING: &str = "eelgrasswell_agent_running";
/// Number of requests that wait for admission.
const QUEUED: &str = "eelgrasswell_agent_queued";
/// Current limit of running requests.
const LIMIT: &str = "eelgrasswell_agent_limit";
/// Memory used by answers, in bytes.
const HELD_BYTES: &str = "eelgrasswell_agent_held_bytes";
/// Number of bill records that no router has reported as durable.
const UNSETTLED_BILLS: &str = "eelgrasswell_agent_unsettled_bills";
/// Timeout for receiving the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves the endpoint until the task is aborted.
pub async fn serve(agent: Agent, listener: TcpListener) {
    loop {
        let socket = match listener.accept().await {
            Ok((socket, _)) => socket,
            Err(err) => {
                event!(Warn, "operator_connection_not_accepted", error = err);
                sleep(Duration::from_millis(100)).await;
                continue;
            }
        };
        let agent = agent.clone();
        tokio::spawn(async move {
            let service = service_fn(move |req| {
                let response = handle_request(&agent, &req);
                async { Ok::<_, Infallible>(response) }
            });
            let mut http = http1::Builder::new();
            http.timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT);
            let _ = http.serve_connection(TokioIo::new(socket), service).await;
        });
    }
}

fn handle_request(agent: &Agent, req: &Request<Incoming>) -> Response<Full<Bytes>> {
    if req.method() != Method::GET {
        return text(StatusCode::METHOD_NOT_ALLOWED, "only GET is served here\n");
    }
    match req.uri().path() {
        "/healthz" => text(StatusCode::OK, "ok\n"),
        "/readyz" if *agent.leaving.borrow() => text(StatusCode::SERVICE_UNAVAILABLE, "leaving\n"),
        "/readyz" if agent.config.revision() == Revision(0) => {
            text(StatusCode::SERVICE_UNAVAILABLE, "no configuration\n")
        }
        "/readyz" => text(StatusCode::OK, "ready\n"),
        "/metrics" => text(StatusCode::OK, render_metrics(agent)),
        _ => text(StatusCode::NOT_FOUND, "not found\n"),
    }
}

/// Sets the gauges to their current values and renders all metrics.
fn render_metrics(agent: &Agent) -> String {
    let load = agent.admission.load_report();
    metrics::gauge!(RUNNING).set(load.running);
    metrics::gauge!(QUEUED).set(load.queued);
    metrics::gauge!(LIMIT).set(load.limit);
    metrics::gauge!(HELD_BYTES).set(agent.answers.held_bytes() as f64);
    metrics::gauge!(UNSETTLED_BILLS).set(agent.bills.len() as f64);
    agent.metrics.render()
}

fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let response = Response::builder().status(status).header("content-type", "text/plain; charset=utf-8");
    response.body(Full::new(body.into())).expect("status and content type are valid")
}
