//! Shard components of routers in one process, each on its own thread, which a test can pause.

use std::{
    fs,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use eelgrasswell_core::{
    id::Revision,
    unit::{Cost, Millis},
};
use eelgrasswell_daemon::{
    clock::{self, Clock},
    config::ConfigHandle,
    controller::{
        bills::Bills,
        budgets::Budgets,
        membership::{Gossip, Members},
        shards::Shards,
    },
    credential::AttachCredential,
    platform::Platform,
};
use eelgrasswell_manifest::{
    config::Config,
    manifest::{Budget, Customer, Manifest},
    settings::{self, CallerLimits, HostSettings, RouterSettings},
};
use eelgrasswell_proto::v1::{BillRecord, shard_server::ShardServer};
use tokio::{
    net::TcpListener,
    runtime::{Builder, Handle},
    sync::oneshot,
    task::JoinHandle,
    time::sleep,
};
use tokio_stream::wrappers::TcpListenerStream;

const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Spend cap of the customer `capped`.
pub const CAP: Cost = Cost(1_000_000);

/// Components of a router that tests use.
#[derive(Clone)]
pub struct RouterParts {
    pub shards: Shards,
    pub bills: Bills,
    pub budgets: Budgets,
    pub members: Members,
}

/// A running router.
pub struct Node {
    pub parts: RouterParts,
    handle: Handle,
    /// Ends the router's thread when it is dropped.
    _stop: oneshot::Sender<()>,
}

/// Guard that keeps a router's thread paused, like a stopped process.
pub struct Paused {
    /// Resumes the thread when it is dropped.
    _resume: std::sync::mpsc::Sender<()>,
}

impl Node {
    /// Starts a router with the host id `id` on a free port.
    pub async fn start(id: &str, platform: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        Self::start_at(id, platform, listener, address).await
    }

    /// Starts a router on `listener` that other routers reach at `address`, which may be that of a proxy.
    pub async fn start_at(id: &str, platform: SocketAddr, listener: TcpListener, address: SocketAddr) -> Self {
        let id = id.to_owned();
        let listener = listener.into_std().unwrap();
        let (ready, parts) = oneshot::channel();
        let (stop, stopped) = oneshot::channel::<()>();
        thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().unwrap();
            let handle = runtime.handle().clone();
            runtime.block_on(async {
                let parts = open(settings(&id, address, platform), TcpListener::from_std(listener).unwrap()).await;
                let _ = ready.send((parts, handle));
                let _ = stopped.await;
            });
        });
        let (parts, handle) = parts.await.unwrap();
        Self { parts, handle, _stop: stop }
    }

    /// Spawns a task on the router's thread.
    pub fn spawn<F: Future<Output: Send> + Send + 'static>(
        &self,
        task: impl FnOnce(RouterParts) -> F,
    ) -> JoinHandle<F::Output> {
        self.handle.spawn(task(self.parts.clone()))
    }

    /// Runs a task on the router's thread and waits for its result.
    pub async fn run<F: Future<Output: Send> + Send + 'static>(
        &self,
        task: impl FnOnce(RouterParts) -> F,
    ) -> F::Output {
        self.spawn(task).await.unwrap()
    }

    /// Pauses the router's thread until the returned guard is dropped.
    pub async fn pause(&self) -> Paused {
        let (resume, resumed) = std::sync::mpsc::channel::<()>();
        let (entered, paused) = oneshot::channel();
        self.handle.spawn(async move {
            let _ = entered.send(());
            let _ = resumed.recv();
        });
        paused.await.unwrap();
        Paused { _resume: resume }
    }

    /// Makes this router receive heartbeats of `other` for as long as `other` runs.
    pub fn receive_heartbeats_from(&self, other: &Self) {
        let (own_members, other_members) = (self.parts.members.clone(), other.parts.members.clone());
        let send_heartbeat =
            move || own_members.receive(Some(&other_members.own_info()), &Gossip::default(), Millis::ZERO);
        send_heartbeat();
        other.handle.spawn(async move {
            loop {
                sleep(HEARTBEAT_INTERVAL).await;
                send_heartbeat();
            }
        });
    }

    /// Ends the router without a graceful shutdown, like a crash.
    pub fn kill(self) {}
}

/// Returns a bill of the customer `open`.
pub fn bill(request_id: &str, cost: u64) -> BillRecord {
    BillRecord { request_id: request_id.into(), customer: "open".into(), cost_micros: cost, ..BillRecord::default() }
}

/// Opens the components of a router and serves its shards on `listener`.
async fn open(settings: RouterSettings, listener: TcpListener) -> RouterParts {
    let settings = Arc::new(settings);
    let secret = settings::read_secret(&settings.host.inner_credential).unwrap();
    let clock = Clock::start();
    let incarnation = clock::random_incarnation();
    let config = ConfigHandle::open(clock);
    config.adopt(Config { revision: Revision(1), manifest: manifest(), ..Config::default() });
    let members = Members::open(Arc::clone(&settings), incarnation, clock, AttachCredential::new(&secret).unwrap());
    let platform = Platform::open(settings.platform);
    let shards = Shards::open(Arc::clone(&settings), incarnation, clock, platform, members.clone(), config.clone());
    let bills = Bills::open(shards.clone());
    let budgets = Budgets::open(settings.host.id.clone(), incarnation, config, shards.clone());
    let server = tonic::transport::Server::builder().add_service(ShardServer::new(shards.service()));
    tokio::spawn(server.serve_with_incoming(TcpListenerStream::new(listener)));
    shards.spawn();
    bills.spawn();
    budgets.spawn();
    RouterParts { shards, bills, budgets, members }
}

/// Manifest with the customers `open`, without a budget, and `capped`, with the spend cap `CAP`.
fn manifest() -> Manifest {
    let customer = |budget| Customer {
        api_key_sha256: "".into(),
        weight: 1,
        priority: 1,
        models: Default::default(),
        services: Vec::new(),
        quality_targets: Default::default(),
        budget,
    };
    let budget = Budget { cap: CAP, period: "2026-12".into() };
    let customers = [("open".into(), customer(None)), ("capped".into(), customer(Some(budget)))];
    Manifest { customers: customers.into(), ..Manifest::default() }
}

fn settings(id: &str, inner: SocketAddr, platform: SocketAddr) -> RouterSettings {
    // Tests of one process run at the same time and use the same ids.
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let (process, number) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let credential = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("credential-{process}-{number}-{id}"));
    fs::write(&credential, "secret").unwrap();
    RouterSettings {
        host: HostSettings {
            id: id.into(),
            domain: "ba".into(),
            inner,
            inner_credential: credential.clone(),
            drain: Millis(5_000),
            log_level: "info".into(),
            fatal_invariants: true,
        },
        callers: inner,
        operators: inner,
        operator_credential: credential,
        platform,
        ratings: None,
        seeds: Vec::new(),
        limits: CallerLimits::default(),
    }
}
