//! The operators' endpoint: manifest, status, commands, bills, metrics and health.

pub mod bills;
pub mod commands;
pub mod health;
pub mod manifest;
pub mod reply;
pub mod status;

use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use compact_str::CompactString;
use eelgrasswell_core::id::Revision;
use eelgrasswell_manifest::{
    check::MAX_BYTES,
    config::Config,
    settings::{self, Secret},
};
use eyre::Result;
use http_body_util::{BodyExt, Limited};
use hyper::{
    Method, Request, StatusCode,
    body::{Body, Incoming},
    header::AUTHORIZATION,
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::json;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time::timeout,
};

use self::reply::{Failure, Reply};
use crate::{
    controller::config::{self, Commit},
    credential, event,
    router::Router,
};

/// Maximum number of concurrent connections. Operators, scrapers and health checks need a handful; the limit prevents a
/// faulty client from exhausting the router's memory.
const MAX_CONNECTIONS: usize = 128;

/// Timeout for receiving the headers of a request, and again for its body.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum lifetime of a connection, so that a peer that stops reading cannot hold a connection slot forever.
const MAX_CONNECTION_TIME: Duration = Duration::from_secs(300);

/// Delay after a failed accept, which is mostly caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Serves the operators' endpoint until the task is aborted.
pub async fn serve(router: Router, listener: TcpListener) -> Result<()> {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let permit = Arc::clone(&permits).acquire_owned().await?;
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(err) => {
                event!(Warn, "operator_accept_failed", error = err);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let router = router.clone();
        tokio::spawn(async move {
            match timeout(MAX_CONNECTION_TIME, serve_connection(router, stream)).await {
                Ok(Ok(())) => {}
                Ok(Err(err)) => event!(Debug, "operator_connection_failed", peer = peer, error = err),
                Err(_) => event!(Debug, "operator_connection_expired", peer = peer),
            }
            drop(permit);
        });
    }
}

async fn serve_connection(router: Router, stream: TcpStream) -> hyper::Result<()> {
    let service = service_fn(|req| {
        let router = router.clone();
        async move { Ok::<_, Infallible>(handle_request(&router, req).await) }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(READ_TIMEOUT);
    builder.serve_connection(TokioIo::new(stream), service).await
}

/// Handles one request and logs it if it is a command.
async fn handle_request(router: &Router, req: Request<Incoming>) -> Reply {
    let method = req.method().clone();
    let path: CompactString = req.uri().path().into();
    let reply = dispatch(router, req).await.unwrap_or_else(|failure| failure.to_reply());
    if method != Method::GET {
        event!(Info, "operator_command", method = method, path = path, status = reply.status().as_u16());
    }
    reply
}

/// Calls the handler of a request. All paths except health and metrics require the operators' credential.
async fn dispatch(router: &Router, req: Request<Incoming>) -> Result<Reply, Failure> {
    let path: CompactString = req.uri().path().into();
    let segments: Vec<&str> = path.split('/').skip(1).collect();
    if req.method() == Method::GET {
        match segments.as_slice() {
            ["healthz"] => return Ok(health::live()),
            ["readyz"] => return Ok(health::ready(router)),
            ["metrics"] => return Ok(health::metrics(router)),
            _ => {}
        }
    }
    authenticate(router, &req)?;
    let method = req.method().clone();
    match (method.as_str(), segments.as_slice()) {
        ("GET", ["v1", "manifest"]) => Ok(manifest::show(router)),
        ("PUT", ["v1", "manifest"]) => manifest::replace(router, req).await,
        ("GET", ["v1", "status"]) => Ok(status::show(router).await),
        ("GET", ["v1", "hosts"]) => Ok(status::hosts(router)),
        ("GET", ["v1", "bills", customer]) => bills::show(router, customer).await,
        ("POST", ["v1", "domains", domain, action]) => commands::change_domain(router, &req, domain, action).await,
        ("POST", ["v1", "hosts", host, "drain"]) => commands::drain_host(router, &req, host).await,
        ("POST", ["v1", "rollouts", model, version, action]) => {
            commands::change_rollout(router, &req, model, version, action).await
        }
        _ => Err(Failure::not_found(format!("could not find {method} {path}"))),
    }
}

/// Checks the credential of a request. Reads the operators' credential from its file for each request, so that it can
/// be replaced without a restart.
fn authenticate(router: &Router, req: &Request<Incoming>) -> Result<(), Failure> {
    let secret: Secret = settings::read_secret(&router.settings.operator_credential).map_err(|err| {
        event!(Error, "operator_credential_unreadable", error = format!("{err:#}"));
        Failure::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "credential_unreadable",
            "could not read the operators' credential of this router",
        )
    })?;
    let header = req.headers().get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let credential = header.and_then(|value| value.strip_prefix("Bearer ")).unwrap_or_default();
    if credential::equal_in_constant_time(credential.as_bytes(), secret.expose().as_bytes()) {
        return Ok(());
    }
    Err(Failure::new(StatusCode::UNAUTHORIZED, "unauthorized", "the operators' credential is missing or wrong"))
}

/// Query parameters of a request that changes the configuration.
#[derive(Debug)]
struct Change {
    /// Manifest revision that the change is based on.
    expected: Option<Revision>,
    /// Submission id, which makes a repeated request idempotent.
    submission: String,
}

impl Change {
    /// Parses the query parameters. Generates a random submission id if the request has none.
    fn from_request<B: Body>(req: &Request<B>) -> Result<Self, Failure> {
        let mut change = Self { expected: None, submission: uuid::Uuid::new_v4().to_string() };
        for pair in req.uri().query().unwrap_or_default().split('&').filter(|pair| !pair.is_empty()) {
            let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
            match key {
                "expected" => {
                    let revision = value.parse();
                    change.expected = Some(revision.map_err(|_| {
                        Failure::bad_request(format!("could not parse expected={value:?}: expected a whole number"))
                    })?);
                }
                "submission" => {
                    // The id becomes part of an object key on the platform.
                    let is_plain = value.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-');
                    if !is_plain || !(1..=64).contains(&value.len()) {
                        return Err(Failure::bad_request(format!(
                            "could not use submission={value:?}: expected 1 to 64 letters, digits or hyphens"
                        )));
                    }
                    change.submission = value.into();
                }
                _ => return Err(Failure::bad_request(format!("could not use the unknown parameter {key:?}"))),
            }
        }
        Ok(change)
    }

    /// Commits `edit`. A `Failure` returned by `edit` is sent to the operator unchanged.
    async fn commit(
        &self,
        router: &Router,
        edit: &(dyn Fn(&mut Config) -> Result<(), Failure> + Sync),
    ) -> Result<Reply, Failure> {
        let edit = |config: &mut Config| Ok(edit(config)?);
        match config::commit(router, &self.submission, self.expected, &edit).await {
            Ok(Commit::Done { revision, manifest_revision }) => Ok(reply::json(
                StatusCode::OK,
                &json!({"revision": revision, "manifest_revision": manifest_revision, "submission": self.submission}),
            )),
            Ok(Commit::Conflict { manifest_revision }) => Err(Failure::conflict(manifest_revision)),
            Err(err) => Err(match err.downcast_ref::<Failure>() {
                Some(failure) => failure.clone(),
                None => Failure::new(StatusCode::SERVICE_UNAVAILABLE, "platform_unavailable", format!("{err:#}")),
            }),
        }
    }
}

/// Reads a whole request body, which may be at most as large as a manifest.
async fn read_body(req: Request<Incoming>) -> Result<Bytes, Failure> {
    let body = Limited::new(req.into_body(), MAX_BYTES).collect();
    match timeout(READ_TIMEOUT, body).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(err)) if err.is::<http_body_util::LengthLimitError>() => Err(Failure::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            "too_large",
            format!("could not read the request body: it has more than {MAX_BYTES} bytes"),
        )),
        Ok(Err(err)) => Err(Failure::bad_request(format!("could not read the request body: {err}"))),
        Err(_) => Err(Failure::new(
            StatusCode::REQUEST_TIMEOUT,
            "timeout",
            format!("could not read the request body within {} s", READ_TIMEOUT.as_secs()),
        )),
    }
}
