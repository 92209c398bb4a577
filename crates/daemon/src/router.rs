//! The router: its shared components, and its inner, callers' and operators' endpoints.

use std::sync::Arc;

use eelgrasswell_core::id::Incarnation;
use eelgrasswell_manifest::settings::{self, RouterSettings};
use eelgrasswell_proto::v1::{peer_server::PeerServer, shard_server::ShardServer};
use eyre::{Result, WrapErr};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::service::interceptor::InterceptedService;

use crate::{
    callers::endpoint,
    clock::{self, Clock},
    config::ConfigHandle,
    controller::{
        answer_counters::AnswerCounters, bills::Bills, budgets::Budgets, config, links::Links, membership::Members,
        peers, quality::Quality, rollout, sessions::Sessions, shards::Shards,
    },
    credential::{AttachCredential, RequireCredential},
    event, filter, invariant, operator,
    platform::Platform,
    shutdown::Shutdown,
};

/// Components shared by the filters and controllers of a router. Cheap to clone.
#[derive(Clone)]
pub struct Router {
    /// Settings of the process.
    pub settings: Arc<RouterSettings>,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Clock of the process.
    pub clock: Clock,
    /// Configuration in force.
    pub config: ConfigHandle,
    /// The platform's object API.
    pub platform: Platform,
    /// Membership: the live routers and the host list.
    pub members: Members,
    /// Agents that this router is linked to.
    pub links: Links,
    /// Leased shards. Serves those that this router owns and calls the owners of the others.
    pub shards: Shards,
    /// Bills that are not yet durable.
    pub bills: Bills,
    /// This router's shares of the customers' spend caps.
    pub budgets: Budgets,
    /// Session keys.
    pub sessions: Sessions,
    /// Counters of versions in rollout.
    pub answer_counters: AnswerCounters,
    /// Quality estimates of models.
    pub quality: Quality,
    /// Renders the metrics.
    pub metrics: PrometheusHandle,
}

impl Router {
    /// Creates all components of the router without starting the controllers; `serve` starts them.
    pub async fn open(settings: RouterSettings, metrics: PrometheusHandle) -> Result<Self> {
        invariant::set_fatal(settings.host.fatal_invariants);
        let settings = Arc::new(settings);
        let secret = settings::read_secret(&settings.host.inner_credential)?;
        let credential = AttachCredential::new(&secret)?;
        let clock = Clock::start();
        let incarnation = clock::random_incarnation();
        let config = ConfigHandle::open(clock);
        let platform = Platform::open(settings.platform);
        let members = Members::open(Arc::clone(&settings), incarnation, clock, credential.clone());
        let shards =
            Shards::open(Arc::clone(&settings), incarnation, clock, platform.clone(), members.clone(), config.clone());
        let bills = Bills::open(shards.clone());
        let links =
            Links::open(Arc::clone(&settings), incarnation, clock, config.clone(), members.clone(), bills.clone());
        let budgets = Budgets::open(settings.host.id.clone(), incarnation, config.clone(), shards.clone());
        let sessions = Sessions::open(platform.clone(), clock);
        let answer_counters = AnswerCounters::open(
            settings.host.id.clone(),
            incarnation,
            config.clone(),
            shards.clone(),
            members.clone(),
        );
        let quality = Quality::open(settings.ratings, config.clone(), answer_counters.clone(), links.clone());
        Ok(Self {
            settings,
            incarnation,
            clock,
            config,
            platform,
            members,
            links,
            shards,
            bills,
            budgets,
            sessions,
            answer_counters,
            quality,
            metrics,
        })
    }

    /// Binds the endpoints, starts the controllers and serves until a graceful shutdown has finished.
    pub async fn serve(self, mut shutdown: Shutdown) -> Result<()> {
        let secret = settings::read_secret(&self.settings.host.inner_credential)?;
        let inner = bind(self.settings.host.inner, "inner endpoint").await?;
        let callers = endpoint::bind(self.settings.callers)?;
        let operators = bind(self.settings.operators, "operators' endpoint").await?;
        self.spawn_controllers();
        let require = RequireCredential::new(secret);
        let inner_server = tonic::transport::Server::builder()
            .add_service(InterceptedService::new(
                PeerServer::new(peers::PeerService::new(self.clone())),
                require.clone(),
            ))
            .add_service(InterceptedService::new(ShardServer::new(self.shards.service()), require))
            .serve_with_incoming(TcpListenerStream::new(inner));
        tokio::spawn(inner_server);
        let operators = tokio::spawn(operator::serve(self.clone(), operators));
        let callers = tokio::spawn(filter::serve(self.clone(), callers, shutdown.clone()));
        event!(Info, "router_started", id = self.settings.host.id, incarnation = self.incarnation);
        shutdown.wait().await;
        self.members.announce_leaving();
        callers.await.wrap_err("could not finish the callers' endpoint")?;
        self.bills.flush(self.settings.host.drain).await;
        self.budgets.release(self.settings.host.drain).await;
        self.shards.release(self.settings.host.drain).await;
        operators.abort();
        event!(Info, "router_stopped", id = self.settings.host.id);
        Ok(())
    }

    fn spawn_controllers(&self) {
        config::spawn(self.clone());
        peers::spawn(self.clone());
        self.members.spawn(self.platform.clone());
        self.links.spawn();
        self.shards.spawn();
        self.bills.spawn();
        self.budgets.spawn();
        self.sessions.spawn();
        self.answer_counters.spawn();
        self.quality.spawn();
        rollout::spawn(self.clone());
    }
}

/// Binds a TCP listener to `address`. `what` names the listener in the error.
pub async fn bind(address: std::net::SocketAddr, what: &str) -> Result<TcpListener> {
    TcpListener::bind(address).await.wrap_err_with(|| format!("could not bind the {what} to {address}"))
}
