//! `GET /healthz`, `/readyz` and `/metrics`, which require no credential.

use eelgrasswell_core::id::Revision;
use hyper::StatusCode;
use serde_json::json;

use super::reply::{self, Reply};
use crate::router::Router;

/// Returns success, which shows that the process is alive.
pub(super) fn live() -> Reply {
    reply::json(StatusCode::OK, &json!({"live": true}))
}

/// Returns whether this router can serve callers: a configuration is in force and a link is live.
pub(super) fn ready(router: &Router) -> Reply {
    let config = router.config.current();
    let has_link = config.manifest.services.keys().any(|service| !router.links.candidates(service).is_empty());
    let missing: &[&str] = match (config.revision > Revision(0), has_link) {
        (true, true) => &[],
        (true, false) => &["link"],
        (false, _) => &["configuration", "link"],
    };
    let status = if missing.is_empty() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    reply::json(status, &json!({"ready": missing.is_empty(), "missing": missing}))
}

/// Returns all metrics of the process.
pub(super) fn metrics(router: &Router) -> Reply {
    reply::text(StatusCode::OK, router.metrics.render())
}
