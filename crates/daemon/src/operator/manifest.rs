//! `GET` and `PUT /v1/manifest`.

use std::str;

use eelgrasswell_manifest::{
    check::{self, Path, Problem},
    config::{Config, RolloutKey, RolloutPhase},
    manifest::Manifest,
};
use hyper::{Request, StatusCode, body::Incoming};
use serde_json::json;
use tokio::task;

use super::{
    Change,
    reply::{self, Failure, Reply},
};
use crate::router::Router;

/// Returns the manifest in force with its revisions and the state of the rollouts.
pub(super) fn show(router: &Router) -> Reply {
    let config = router.config.current();
    reply::json(
        StatusCode::OK,
        &json!({
            "revision": config.revision,
            "manifest_revision": config.manifest_revision,
            "manifest": config.manifest,
            "rollouts": config.rollouts,
        }),
    )
}

/// Replaces the manifest. The body is YAML or JSON; the query parameter `expected` is required.
pub(super) async fn replace(router: &Router, req: Request<Incoming>) -> Result<Reply, Failure> {
    let change = Change::from_request(&req)?;
    if change.expected.is_none() {
        let message = "could not replace the manifest: the parameter expected (revision of the manifest) is missing";
        return Err(Failure::bad_request(message));
    }
    let body = super::read_body(req).await?;
    // Parsed on a blocking thread, because a large manifest would delay the other requests of a worker thread.
    let parsed = task::spawn_blocking(move || parse(&body)).await;
    let manifest = parsed.map_err(|err| {
        let message = format!("could not check the manifest: {err}");
        Failure::new(StatusCode::INTERNAL_SERVER_ERROR, "internal", message)
    })??;
    change.commit(router, &|config| replace_in_config(config, &manifest)).await
}

fn parse(body: &[u8]) -> Result<Manifest, Failure> {
    let text = str::from_utf8(body).map_err(|err| Failure::bad_request(format!("could not read the body: {err}")))?;
    check::parse(text).map_err(|invalid| Failure::invalid(invalid.problems))
}

/// Replaces the manifest in `config`. Fails if a stopped rollout would leave a model without an open version, because
/// every request for the model would be refused. After an error, `config` is unchanged.
pub fn replace_in_config(config: &mut Config, manifest: &Manifest) -> Result<(), Failure> {
    let new = Config { manifest: manifest.clone(), ..config.clone() };
    let problems: Vec<_> = manifest
        .models
        .iter()
        .filter(|(name, model)| {
            let key = RolloutKey { model: (*name).clone(), version: model.current.clone() };
            let is_stopped = new.rollouts.get(&key).is_some_and(|status| status.phase == RolloutPhase::Stopped);
            is_stopped && new.version_weights(name).is_empty()
        })
        .map(|(name, model)| Problem {
            path: Path::from_segments(&["models", name.as_str(), "current"]),
            line: 0,
            expected: format!("a version whose rollout was not stopped, not {:?}", model.current.as_str()),
        })
        .collect();
    if !problems.is_empty() {
        return Err(Failure::invalid(problems));
    }
    *config = new;
    Ok(())
}
