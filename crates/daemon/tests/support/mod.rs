//! Routers' shard parts in one process, each on a thread of its own that a test can pause.

use std::{fs, net::SocketAddr, path::Path, sync::Arc, thread, time::Duration};

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
    credential::Present,
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

const BEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Spend cap of the customer `capped`.
pub const CAP: Cost = Cost(1_000_000);

/// The parts of a router that this file's tests drive.
#[derive(Clone)]
pub struct Parts {
    pub shards: Shards,
    pub bills: Bills,
    pub budgets: Budgets,
    pub members: Members,
}

/// A running router.
pub struct Node {
    pub parts: Parts,
    handle: Handle,
    /// Ends the router's thread when it is dropped.
    _stop: oneshot::Sender<()>,
}

/// Keeps a router from running anything while it lives, like a stopped process.
pub struct Paused {
    _hold: std::sync::mpsc::Sender<()>,
}

impl Node {
    /// Starts a router called `id`.
    pub async fn start(id: &str, platform: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        Self::start_at(id, platform, listener, address).await
    }

    /// Starts a router that others reach at `address`.
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

    /// Runs a task on the router's thread.
    pub fn spawn<F: Future<Output: Send> + Send + 'static>(
        &self,
        task: impl FnOnce(Parts) -> F,
    ) -> JoinHandle<F::Output> {
        self.handle.spawn(task(self.parts.clone()))
    }

    /// Runs a task on the router's thread and waits for its result.
    pub async fn run<F: Future<Output: Send> + Send + 'static>(&self, task: impl FnOnce(Parts) -> F) -> F::Output {
        self.spawn(task).await.unwrap()
    }

    /// Stops the router's thread from running until the result is dropped.
    pub async fn pause(&self) -> Paused {
        let (hold, held) = std::sync::mpsc::channel::<()>();
        let (entered, paused) = oneshot::channel();
        self.handle.spawn(async move {
            let _ = entered.send(());
            let _ = held.recv();
        });
        paused.await.unwrap();
        Paused { _hold: hold }
    }

    /// Lets this router hear the heartbeats of `other` for as long as that one runs.
    pub fn receive_heartbeats_from(&self, other: &Self) {
        let (own, other_members) = (self.parts.members.clone(), other.parts.members.clone());
        let beat = move || own.receive(Some(&other_members.own_info()), &Gossip::default(), Millis::ZERO);
        beat();
        other.handle.spawn(async move {
            loop {
                sleep(BEAT_INTERVAL).await;
                beat();
            }
        });
    }

    /// Ends the router without any notice, as a crash does.
    pub fn kill(self) {}
}

/// A bill of the customer `open`.
pub fn bill(request_id: &str, cost: u64) -> BillRecord {
    BillRecord { request_id: request_id.into(), customer: "open".into(), cost_micros: cost, ..BillRecord::default() }
}

async fn open(settings: RouterSettings, listener: TcpListener) -> Parts {
    let settings = Arc::new(settings);
    let secret = settings::read_secret(&settings.host.inner_credential).unwrap();
    let clock = Clock::start();
    let incarnation = clock::draw_incarnation();
    let config = ConfigHandle::open(clock);
    config.adopt(Config { revision: Revision(1), manifest: manifest(), ..Config::default() });
    let members = Members::open(Arc::clone(&settings), incarnation, clock, Present::new(&secret).unwrap());
    let platform = Platform::open(settings.platform);
    let shards = Shards::open(Arc::clone(&settings), incarnation, clock, platform, members.clone(), config.clone());
    let bills = Bills::open(shards.clone());
    let budgets = Budgets::open(settings.host.id.clone(), incarnation, config, shards.clone());
    let server = tonic::transport::Server::builder().add_service(ShardServer::new(shards.service()));
    tokio::spawn(server.serve_with_incoming(TcpListenerStream::new(listener)));
    shards.spawn();
    bills.spawn();
    budgets.spawn();
    Parts { shards, bills, budgets, members }
}

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
    let credential = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("credential-{}-{id}", std::process::id()));
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
