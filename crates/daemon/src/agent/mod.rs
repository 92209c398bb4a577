//! The agent: the only way to its backend server.

use std::sync::Arc;

use eelgrasswell_core::id::Incarnation;
use eelgrasswell_manifest::settings::{self, AgentSettings, Secret};
use eyre::Result;
use metrics_exporter_prometheus::PrometheusHandle;

use crate::{
    clock::{self, Clock},
    config::ConfigHandle,
    event, invariant,
    shutdown::Shutdown,
};

/// What the parts of an agent share. Cheap to clone.
#[derive(Clone)]
pub struct Agent {
    /// Settings of the process.
    pub settings: Arc<AgentSettings>,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Clock of the process.
    pub clock: Clock,
    /// Configuration in force.
    pub config: ConfigHandle,
    /// Credential that callers must present.
    pub secret: Secret,
    /// Renders the metrics.
    pub metrics: PrometheusHandle,
}

impl Agent {
    /// Opens all parts.
    pub async fn open(settings: AgentSettings, metrics: PrometheusHandle) -> Result<Self> {
        invariant::set_fatal(settings.host.fatal_invariants);
        let secret = settings::read_secret(&settings.host.inner_credential)?;
        let clock = Clock::start();
        Ok(Self {
            settings: Arc::new(settings),
            incarnation: clock::draw_incarnation(),
            clock,
            config: ConfigHandle::open(clock),
            secret,
            metrics,
        })
    }

    /// Serves until a graceful shutdown has finished.
    pub async fn serve(self, mut shutdown: Shutdown) -> Result<()> {
        event!(Info, "agent_started", id = self.settings.host.id, incarnation = self.incarnation);
        shutdown.wait().await;
        event!(Info, "agent_stopped", id = self.settings.host.id);
        Ok(())
    }
}
