//! A router that sends requests to backend servers directly, on a platform that keeps configuration and membership.

mod attempt;
mod callers;
mod connections;
mod evidence;
mod exchange;
mod execute;
mod follow;
mod mirror;
pub mod net;
mod orders;
mod readiness;
mod relay;
mod reload;
mod request;
pub mod store;

use std::{
    path::PathBuf,
    sync::{Arc, Mutex, PoisonError, RwLock},
};

use eelgrasswell_core::{
    canary::Canary,
    fleet::Fleet,
    hash::HashMap,
    id::{Incarnation, ServiceName},
    pool::Pool,
    repeat::{Purpose, RepeatBudget},
    routing_config::RoutingConfig,
    unit::Millis,
};
use eelgrasswell_manifest::gateway::GatewaySettings;
use eyre::Result;
use metrics_exporter_prometheus::PrometheusHandle;

use self::{connections::Connections, evidence::Evidence, mirror::Mirror};
use crate::{
    callers::endpoint,
    clock::{self, BootClock},
    event,
    router::bind,
    shutdown::Shutdown,
    sync::lock,
    telemetry,
};

/// Routers that are assumed to share a limit before others were heard of.
const LEAST_ROUTERS: usize = 3;

/// What the parts of a gateway share. Cheap to clone.
#[derive(Clone)]
pub struct Gateway(Arc<State>);

/// State of a gateway, each part under its own lock.
pub struct State {
    /// Settings at the start; addresses stay as they are.
    settings: GatewaySettings,
    /// Settings as last read.
    reloaded: RwLock<Arc<GatewaySettings>>,
    incarnation: Incarnation,
    clock: BootClock,
    shutdown: Shutdown,
    site: RwLock<Option<Arc<RoutingConfig>>>,
    pool: Mutex<Pool>,
    canaries: Mutex<HashMap<ServiceName, Canary>>,
    sessions: Mutex<HashMap<u64, Millis>>,
    budgets: Mutex<HashMap<ServiceName, RepeatBudget>>,
    evidence: Evidence,
    mirror: Mirror,
    fleet: Mutex<Fleet>,
    peer_reports: Mutex<exchange::PeerReports>,
    connections: Connections,
}

impl std::ops::Deref for Gateway {
    type Target = State;

    fn deref(&self) -> &State {
        &self.0
    }
}

/// Runs a gateway until a graceful shutdown has finished.
pub async fn run(
    path: PathBuf,
    settings: GatewaySettings,
    metrics: PrometheusHandle,
    shutdown: Shutdown,
) -> Result<()> {
    let gateway = Gateway::new(settings, shutdown);
    reload::spawn(gateway.clone(), path)?;
    let settings = &gateway.settings;
    let callers = endpoint::bind(settings.callers)?;
    let ready = bind(settings.readiness, "readiness endpoint").await?;
    let inner = bind(settings.exchange, "exchange endpoint").await?;
    readiness::spawn(gateway.clone(), ready);
    readiness::spawn_metrics((settings.address, settings.metrics_port).into(), metrics);
    exchange::spawn(gateway.clone(), inner);
    mirror::spawn(&gateway);
    orders::spawn(gateway.clone());
    connections::spawn_purge(gateway.clone());
    event!(Info, "gateway_started", id = settings.id, incarnation = gateway.incarnation, callers = settings.callers);
    callers::serve(gateway.clone(), callers).await;
    event!(Info, "gateway_stopped", id = settings.id);
    Ok(())
}

impl Gateway {
    fn new(settings: GatewaySettings, shutdown: Shutdown) -> Self {
        Self(Arc::new(State {
            reloaded: RwLock::new(Arc::new(settings.clone())),
            settings,
            incarnation: clock::draw_incarnation(),
            clock: BootClock,
            shutdown,
            site: RwLock::default(),
            pool: Mutex::default(),
            canaries: Mutex::default(),
            sessions: Mutex::default(),
            budgets: Mutex::default(),
            evidence: Evidence::default(),
            mirror: Mirror::default(),
            fleet: Mutex::default(),
            peer_reports: Mutex::default(),
            connections: Connections::default(),
        }))
    }
}

impl State {
    /// Settings as last read.
    fn settings(&self) -> Arc<GatewaySettings> {
        Arc::clone(&self.reloaded.read().unwrap_or_else(PoisonError::into_inner))
    }

    fn set_settings(&self, settings: GatewaySettings) {
        *self.reloaded.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(settings);
    }

    /// Configuration in force; none before the first was read.
    fn site(&self) -> Option<Arc<RoutingConfig>> {
        self.site.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts `site` in force, unless it is older than the one that is.
    fn adopt(&self, site: RoutingConfig) {
        let mut current = self.site.write().unwrap_or_else(PoisonError::into_inner);
        if current.as_ref().is_some_and(|current| current.version >= site.version) {
            return;
        }
        event!(Info, "config_adopted", config = site.version);
        *current = Some(Arc::new(site));
    }

    /// Routers among which limits are shared, this one included.
    fn routers(&self) -> usize {
        lock(&self.fleet).limit_sharers(self.clock.now(), LEAST_ROUTERS)
    }

    /// Takes a repeat of a request for `service` from the budget.
    fn take_repeat(&self, service: &ServiceName, purpose: Purpose) -> bool {
        let (now, routers) = (self.clock.now(), self.routers());
        let taken = self.with_budget(service, |budget| budget.take(now, purpose, routers));
        let purpose = match (taken, purpose) {
            (false, _) => "denied",
            (true, Purpose::Escalation) => "escalation",
            (true, Purpose::Failure) => "failure",
        };
        metrics::counter!(telemetry::REPEATS, "purpose" => purpose).increment(1);
        taken
    }

    /// Counts a request of a caller for `service`.
    fn note_request(&self, service: &ServiceName) {
        let now = self.clock.now();
        self.with_budget(service, |budget| budget.note_request(now));
    }

    fn with_budget<T>(&self, service: &ServiceName, f: impl FnOnce(&mut RepeatBudget) -> T) -> T {
        let mut budgets = lock(&self.budgets);
        let budget =
            budgets.entry(service.clone()).or_insert_with(|| RepeatBudget::new(self.settings().bounds.repeats()));
        f(budget)
    }
}
