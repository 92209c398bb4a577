//! The agent process. All requests to a backend server go through its agent.

pub mod admission;
pub mod answers;
pub mod backend;
pub mod bills;
pub mod checks;
pub mod execution;
pub mod health;
pub mod link;
pub mod load_poller;
pub mod loaded;
pub mod meter;
pub mod request_registry;
pub mod service;

use std::{sync::Arc, time::Duration};

use eelgrasswell_core::id::Incarnation;
use eelgrasswell_manifest::settings::{self, AgentSettings, Secret};
use eelgrasswell_proto::v1::agent_server::AgentServer;
use eyre::{Result, WrapErr};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::{sync::watch, time::timeout};
use tonic::{
    service::interceptor::InterceptedService,
    transport::{Server, server::TcpIncoming},
};

use self::{
    admission::AdmissionHandle, answers::Answers, backend::Backend, bills::UnsettledBills, loaded::LoadedVersions,
    request_registry::RequestRegistry, service::AgentService,
};
use crate::{
    clock::{self, Clock},
    config::ConfigHandle,
    credential::RequireCredential,
    event,
    invariant::{self, Promise},
    router::bind,
    shutdown::Shutdown,
};

/// Maximum size of a message at the inner endpoint, in bytes: the largest request body plus its headers.
const MAX_MESSAGE_BYTES: usize = 8 << 20;
/// Interval of HTTP/2 pings and timeout of their acknowledgements. The readers of an unresponsive connection keep their
/// answers in memory for at most twice this time.
const KEEPALIVE: Duration = Duration::from_secs(5);
/// Time limit for sending the last events of finished streams at shutdown.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// State shared by all tasks of an agent. Cheap to clone.
#[derive(Clone)]
pub struct Agent {
    /// Settings of the agent.
    pub settings: Arc<AgentSettings>,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Clock of the process.
    pub clock: Clock,
    /// Handle on the configuration in force.
    pub config: ConfigHandle,
    /// Credential that callers must present.
    pub secret: Secret,
    /// Renders the metrics.
    pub metrics: PrometheusHandle,
    /// Admission to the backend server.
    pub admission: AdmissionHandle,
    /// Client of the backend server.
    pub backend: Backend,
    /// Answers of running requests, and finished answers that are still held.
    pub answers: Answers,
    /// Bill records that no router has reported as durable.
    pub bills: UnsettledBills,
    /// Known request ids, and the fence of orders.
    pub requests: RequestRegistry,
    /// Versions that the backend server has loaded.
    pub loaded: LoadedVersions,
    /// True once the process refuses new work because it is stopping or its host is leaving.
    pub leaving: Arc<watch::Sender<bool>>,
    /// True once nothing is left to hand over on links, so that they and the inner endpoint close.
    pub closing: Arc<watch::Sender<bool>>,
}

impl Agent {
    /// Creates the agent from its settings. Fails if the inner credential cannot be read.
    pub async fn open(settings: AgentSettings, metrics: PrometheusHandle) -> Result<Self> {
        invariant::set_fatal(settings.host.fatal_invariants);
        let secret = settings::read_secret(&settings.host.inner_credential)?;
        let clock = Clock::start();
        let config = ConfigHandle::open(clock);
        Ok(Self {
            incarnation: clock::random_incarnation(),
            clock,
            admission: AdmissionHandle::open(
                settings.service.clone(),
                settings.host.domain.clone(),
                clock,
                config.clone(),
            ),
            config,
            secret,
            metrics,
            backend: Backend::open(settings.backend),
            answers: Answers::open(settings.answers.clone(), clock),
            bills: UnsettledBills::open(clock),
            requests: RequestRegistry::open(clock),
            loaded: LoadedVersions::open(&settings.loaded),
            settings: Arc::new(settings),
            leaving: Arc::new(watch::Sender::new(false)),
            closing: Arc::new(watch::Sender::new(false)),
        })
    }

    /// Serves routers and operators until a graceful shutdown is complete.
    pub async fn serve(self, mut shutdown: Shutdown) -> Result<()> {
        let inner = bind(self.settings.host.inner, "inner endpoint").await?;
        let operators = bind(self.settings.operators, "operators' endpoint").await?;
        let inner_address = inner.local_addr().wrap_err("could not read the address of the inner endpoint")?;
        let operators_address =
            operators.local_addr().wrap_err("could not read the address of the operators' endpoint")?;
        let service = AgentServer::new(AgentService::new(self.clone()))
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        let mut closing = self.closing.subscribe();
        let server = Server::builder()
            .http2_keepalive_interval(Some(KEEPALIVE))
            .http2_keepalive_timeout(Some(KEEPALIVE))
            .add_service(InterceptedService::new(service, RequireCredential::new(self.secret.clone())))
            .serve_with_incoming_shutdown(TcpIncoming::from(inner).with_nodelay(Some(true)), async move {
                let _ = closing.wait_for(|closing| *closing).await;
            });
        let server = tokio::spawn(server);
        let tasks = [
            tokio::spawn(health::serve(self.clone(), operators)),
            tokio::spawn(load_poller::run(self.clone())),
            tokio::spawn(self.admission.clone().follow_config()),
            tokio::spawn(self.answers.clone().sweep()),
        ];
        event!(
            Info,
            "agent_started",
            id = self.settings.host.id,
            incarnation = self.incarnation,
            inner = inner_address,
            operators = operators_address,
            backend = self.settings.backend
        );
        shutdown.wait().await;
        self.drain().await;
        self.closing.send_replace(true);
        if timeout(FLUSH_TIMEOUT, server).await.is_err() {
            event!(Warn, "streams_not_flushed", id = self.settings.host.id);
        }
        tasks.iter().for_each(tokio::task::JoinHandle::abort);
        event!(Info, "agent_stopped", id = self.settings.host.id);
        Ok(())
    }

    /// Refuses new work, then waits until the running requests have ended and the bills are settled.
    async fn drain(&self) {
        let limit = Duration::from(self.settings.host.drain);
        self.leaving.send_replace(true);
        self.bills.offer_without_delay();
        let id = &self.settings.host.id;
        event!(Info, "agent_leaving", id = id, running = self.answers.unfinished_count());
        if timeout(limit, self.answers.wait_until_idle()).await.is_err() {
            event!(Warn, "readers_left", id = id, after_ms = limit.as_millis());
        }
        let remaining = self.answers.unfinished_count();
        invariant::check(Promise::Graceful, remaining == 0, || {
            format!("{remaining} requests cut off after {} ms", limit.as_millis())
        });
        if timeout(limit, self.bills.wait_until_settled()).await.is_err() {
            event!(Error, "bills_not_handed_over", id = id, bills = self.bills.len());
        }
    }
}
