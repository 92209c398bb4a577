//! Keys that authenticate session ids, kept at the platform.

use eelgrasswell_core::{
    id::{CustomerId, ModelName, VersionName},
    refusal::Refusal,
};

use crate::{clock::Clock, platform::Platform};

/// Shared handle on the session keys.
#[derive(Clone)]
pub struct Sessions {
    _platform: Platform,
    _clock: Clock,
}

impl Sessions {
    /// Starts without keys.
    pub fn open(platform: Platform, clock: Clock) -> Self {
        Self { _platform: platform, _clock: clock }
    }

    /// Starts reading and refreshing the keys.
    pub fn spawn(&self) {}

    /// Issues a session id that pins `version` of `model`; none while no key is known.
    pub fn issue(&self, _customer: &CustomerId, _model: &ModelName, _version: &VersionName) -> Option<String> {
        None
    }

    /// The model and version that the session id of `customer` pins.
    pub fn verify(&self, _customer: &CustomerId, _session: &str) -> Result<(ModelName, VersionName), Refusal> {
        Err(Refusal::not_run(eelgrasswell_core::refusal::Reason::SessionInvalid))
    }
}
