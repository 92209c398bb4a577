//! The gateway: a router that sends requests directly to backend servers. The platform stores its configuration and
//! the list of backend servers.

mod admission;
mod announcements;
mod answer_body;
mod attempt;
mod callers;
mod connections;
mod crashes;
mod derived;
mod drill;
mod duties;
mod exchange;
mod execute;
mod follow;
mod memory;
mod mirror;
pub mod net;
mod orders;
mod readiness;
mod relay;
mod reload;
mod request;
mod response_stats;
mod second_send;
mod server_pace;
mod session_use;
mod socket;
pub mod store;
pub mod store_era;
mod sync;

use std::{
    path::PathBuf,
    sync::{Arc, Mutex, PoisonError, RwLock},
};

use eelgrasswell_core::{
    canary::Canary,
    confirmation::Confirmed,
    crash_evidence::CrashEvidence,
    fleet::Fleet,
    hash::HashMap,
    id::{Incarnation, ServiceName},
    pool::Pool,
    repeat::{Purpose, RepeatBudget},
    routing_config::RoutingConfig,
    session_uses::SessionUses,
    unit::Millis,
};
use eelgrasswell_manifest::gateway::GatewaySettings;
use eyre::Result;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::sync::Notify;

use self::{
    connections::IdleConnections, duties::Duties, memory::Memory, mirror::Mirror, response_stats::ResponseStats,
    second_send::SecondSends, store_era::StoreEra,
};
use crate::{
    callers::endpoint,
    clock::{self, BootClock},
    event,
    router::bind,
    shutdown::Shutdown,
    sync::lock,
    telemetry,
};

/// Minimum number of routers that are assumed to share a limit, even while fewer are known.
const MIN_ROUTERS: usize = 3;

/// Handle to the state that the parts of a gateway share. Cheap to clone.
#[derive(Clone)]
pub struct Gateway(Arc<State>);

/// State of a gateway, each part under its own lock.
pub struct State {
    /// Settings at startup. The addresses in use come from here, since a reload does not change them.
    settings: GatewaySettings,
    /// Settings as last read from the file.
    reloaded: RwLock<Arc<GatewaySettings>>,
    incarnation: Incarnation,
    clock: BootClock,
    shutdown: Shutdown,
    config: RwLock<Option<Confirmed<Arc<RoutingConfig>>>>,
    pool: Mutex<Pool>,
    canaries: Mutex<HashMap<ServiceName, Canary>>,
    sessions: Mutex<SessionUses>,
    repeat_budgets: Mutex<HashMap<ServiceName, RepeatBudget>>,
    response_stats: ResponseStats,
    second_sends: SecondSends,
    mirror: Mirror,
    store_era: StoreEra,
    recalls: drill::Recalls,
    fleet: Mutex<Fleet>,
    peer_reports: Mutex<exchange::PeerReports>,
    /// None if the settings have no section for it.
    admission: Option<admission::Admission>,
    crash_evidence: Mutex<CrashEvidence>,
    connections: IdleConnections,
    duties: Duties,
    memory: Memory,
    /// Notified when a version on trial has failed a request, which the other gateways must learn at once.
    trial_failures: Notify,
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
    readiness::spawn_metrics(gateway.clone(), metrics);
    exchange::spawn(gateway.clone(), inner);
    sync::spawn(&gateway);
    drill::spawn(gateway.clone());
    admission::spawn(gateway.clone());
    orders::spawn(gateway.clone());
    session_use::spawn_renewal(gateway.clone());
    connections::spawn_purge(gateway.clone());
    duties::spawn(&gateway);
    event!(Info, "gateway_started", id = settings.id, incarnation = gateway.incarnation, callers = settings.callers);
    callers::serve(gateway.clone(), callers).await;
    gateway.duties.flush(&gateway).await;
    event!(Info, "gateway_stopped", id = settings.id);
    Ok(())
}

impl Gateway {
    fn new(settings: GatewaySettings, shutdown: Shutdown) -> Self {
        let incarnation = clock::random_incarnation();
        Self(Arc::new(State {
            duties: Duties::open(&settings, incarnation, BootClock),
            admission: settings.admission.as_ref().map(admission::Admission::open),
            reloaded: RwLock::new(Arc::new(settings.clone())),
            incarnation,
            clock: BootClock,
            shutdown,
            config: RwLock::default(),
            pool: Mutex::default(),
            canaries: Mutex::default(),
            sessions: Mutex::default(),
            repeat_budgets: Mutex::default(),
            response_stats: ResponseStats::default(),
            second_sends: SecondSends::open(),
            mirror: Mirror::default(),
            store_era: StoreEra::open(BootClock),
            recalls: drill::Recalls::default(),
            fleet: Mutex::default(),
            peer_reports: Mutex::default(),
            crash_evidence: Mutex::default(),
            connections: IdleConnections::default(),
            memory: Memory::open(&settings),
            settings,
            trial_failures: Notify::new(),
        }))
    }
}

impl State {
    /// Settings as last read from the file.
    fn settings(&self) -> Arc<GatewaySettings> {
        Arc::clone(&self.reloaded.read().unwrap_or_else(PoisonError::into_inner))
    }

    fn set_settings(&self, settings: GatewaySettings) {
        *self.reloaded.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(settings);
    }

    /// Routing configuration in force; none until the first one has been read.
    fn config(&self) -> Option<Arc<RoutingConfig>> {
        self.confirmed_config().map(|config| Arc::clone(config.value()))
    }

    /// The same, with its last confirmation.
    fn confirmed_config(&self) -> Option<Confirmed<Arc<RoutingConfig>>> {
        self.config.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Time since the configuration in force was last confirmed to be current; none before the first confirmation.
    fn config_age(&self) -> Option<Millis> {
        self.confirmed_config()?.age(self.clock.now())
    }

    /// Number of routers among which limits are divided, including this one.
    fn router_count(&self) -> usize {
        lock(&self.fleet).limit_sharers(self.clock.now(), MIN_ROUTERS)
    }

    /// Acquires one repeat of a request for `service` from the repeat budget; false if the budget is used up.
    fn try_acquire_repeat(&self, service: &ServiceName, purpose: Purpose) -> bool {
        let (now, routers) = (self.clock.now(), self.router_count());
        let acquired = self.with_repeat_budget(service, |budget| budget.try_acquire(now, purpose, routers));
        let purpose = match (acquired, purpose) {
            (false, _) => "denied",
            (true, Purpose::SlowAnswer) => "slow_answer",
            (true, Purpose::Escalation) => "escalation",
            (true, Purpose::Failure) => "failure",
        };
        metrics::counter!(telemetry::REPEATS, "purpose" => purpose).increment(1);
        acquired
    }

    /// Counts a caller's request for `service` in the repeat budget.
    fn record_request(&self, service: &ServiceName) {
        let now = self.clock.now();
        self.with_repeat_budget(service, |budget| budget.record_request(now));
    }

    fn with_repeat_budget<T>(&self, service: &ServiceName, f: impl FnOnce(&mut RepeatBudget) -> T) -> T {
        let mut budgets = lock(&self.repeat_budgets);
        let budget =
            budgets.entry(service.clone()).or_insert_with(|| RepeatBudget::new(self.settings().bounds.repeat_limit()));
        f(budget)
    }
}
