//! Quality estimates of models, from the rating service.

use std::net::SocketAddr;

use eelgrasswell_core::id::{ClassName, CustomerId, ModelName, RequestId, VersionName};

use super::evidence::Evidence;
use crate::{clock::Clock, config::ConfigHandle};

/// Shared handle on the quality estimates.
#[derive(Clone)]
pub struct Quality {
    config: ConfigHandle,
}

impl Quality {
    /// Starts from the priors of the manifest.
    pub fn open(_ratings: Option<SocketAddr>, _clock: Clock, config: ConfigHandle, _evidence: Evidence) -> Self {
        Self { config }
    }

    /// Starts reading ratings.
    pub fn spawn(&self) {}

    /// Candidate models of the class for this request, the preferred one first and stronger ones,
    /// to escalate to, after it. Only models that the customer may use.
    pub fn rank(&self, customer: &CustomerId, class: &ClassName, _request: &RequestId) -> Vec<ModelName> {
        let config = self.config.current();
        let manifest = &config.manifest;
        let (Some(customer), Some(class)) = (manifest.customers.get(customer), manifest.classes.get(class)) else {
            return Vec::new();
        };
        class.candidates.iter().filter(|model| customer.models.contains_key(*model)).cloned().collect()
    }

    /// Notes which version answered a request, so that a rating that comes later can be attributed.
    pub fn note_answer(&self, _request: &RequestId, _class: &ClassName, _model: &ModelName, _version: &VersionName) {}
}
