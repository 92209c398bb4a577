//! Verifies the session id of a request. A session is pinned to one version of a model.

use eelgrasswell_core::{
    id::{ModelName, VersionName},
    refusal::Reason,
};
use eelgrasswell_manifest::manifest::VersionState;

use super::{
    Chain,
    parse::{Call, SessionRequest, Target},
};
use crate::{callers::failure::Failure, controller::sessions};

/// Model and version that a session is pinned to.
pub struct VersionPin {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: VersionName,
}

/// Verifies the request's session id and returns the version that it pins. Returns `None` for a request without a
/// session and for a new session.
pub fn verify_session(chain: &Chain, call: &Call) -> Result<Option<VersionPin>, Failure> {
    let session = match &call.session {
        SessionRequest::None => return Ok(None),
        SessionRequest::New if !chain.router.sessions.is_ready() => return Err(sessions::keys_unavailable().into()),
        SessionRequest::New => return Ok(None),
        SessionRequest::Id(session) => session,
    };
    let (model, version) = chain.router.sessions.verify(&call.customer, session)?;
    let pin = VersionPin { model, version };
    check_pin(call, &pin)?;
    Ok(Some(pin))
}

/// Fails if the pinned version may not serve the request under the request's configuration.
pub fn check_pin(call: &Call, pin: &VersionPin) -> Result<(), Failure> {
    let Target::Model(target) = &call.target else { return Ok(()) };
    let manifest = &call.config.manifest;
    let in_class = || manifest.classes.get(target.name.as_str()).is_some_and(|c| c.candidates.contains(&pin.model));
    if target.name != pin.model.as_str() && !in_class() {
        let message = format!("the session pins model {}, the request names {}", pin.model, target.name);
        return Err(Failure::not_run(Reason::SessionInvalid, message));
    }
    let allowed = manifest.customers.get(&call.customer).is_some_and(|c| c.allows(&pin.model, &pin.version));
    if !allowed {
        let message = format!("version {} of model {} is not allowed", pin.version, pin.model);
        return Err(Failure::not_run(Reason::NotAllowed, message));
    }
    match call.config.version_state(&pin.model, &pin.version) {
        Some(VersionState::Open | VersionState::Closed) => Ok(()),
        Some(VersionState::Withdrawn) | None => {
            let message = format!("version {} of model {} was withdrawn", pin.version, pin.model);
            Err(Failure::not_run(Reason::VersionWithdrawn, message))
        }
    }
}
