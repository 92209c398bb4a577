//! The agent: the only way to its backend server.

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

/// Largest message that the inner endpoint takes: the largest request body plus its headers.
const MAX_MESSAGE: usize = 8 << 20;
/// Time between pings and for their answers; a connection that goes silent must not hold its
/// readers' answers for longer than twice this.
const KEEPALIVE: Duration = Duration::from_secs(5);
/// Time for the last events of finished streams to leave the process.
const FLUSH: Duration = Duration::from_secs(2);

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
    /// Admission to the backend server.
    pub admission: AdmissionHandle,
    /// Client of the backend server.
    pub backend: Backend,
    /// Running and held answers.
    pub answers: Answers,
    /// Bills that are not settled.
    pub bills: UnsettledBills,
    /// Request ids that ran or are barred, and fences of orders.
    pub requests: RequestRegistry,
    /// Versions that the backend server has loaded.
    pub loaded: LoadedVersions,
    /// True once the process refuses new work because it stops.
    pub leaving: Arc<watch::Sender<bool>>,
    /// True once links have nothing left to hand over.
    pub closing: Arc<watch::Sender<bool>>,
}

impl Agent {
    /// Opens all parts.
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

    /// Serves until a graceful shutdown has finished.
    pub async fn serve(self, mut shutdown: Shutdown) -> Result<()> {
        let inner = bind(self.settings.host.inner, "inner endpoint").await?;
        let operators = bind(self.settings.operators, "operators' endpoint").await?;
        let inner_address = inner.local_addr().wrap_err("could not read the address of the inner endpoint")?;
        let operators_address = operators.local_addr().wrap_err("could not read the address of the operators")?;
        let service = AgentServer::new(AgentService::new(self.clone()))
            .max_decoding_message_size(MAX_MESSAGE)
            .max_encoding_message_size(MAX_MESSAGE);
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
        if timeout(FLUSH, server).await.is_err() {
            event!(Warn, "streams_not_flushed", id = self.settings.host.id);
        }
        tasks.iter().for_each(tokio::task::JoinHandle::abort);
        event!(Info, "agent_stopped", id = self.settings.host.id);
        Ok(())
    }

    /// Refuses new work, waits for running requests and hands over the bills.
    async fn drain(&self) {
        let limit = Duration::from(self.settings.host.drain);
        self.leaving.send_replace(true);
        self.bills.offer_all();
        let id = &self.settings.host.id;
        event!(Info, "agent_leaving", id = id, running = self.answers.unfinished());
        if timeout(limit, self.answers.idle()).await.is_err() {
            event!(Warn, "readers_left", id = id, after_ms = limit.as_millis());
        }
        let cut = self.answers.unfinished();
        invariant::check(Promise::Graceful, cut == 0, || format!("{cut} requests cut after {} ms", limit.as_millis()));
        if timeout(limit, self.bills.settled_all()).await.is_err() {
            event!(Error, "bills_not_handed_over", id = id, bills = self.bills.len());
        }
    }
}
