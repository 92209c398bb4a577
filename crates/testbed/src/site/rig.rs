//! Runs gateways as separate processes against the stand-ins.

use std::{
    env, fs,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    sync::atomic::{AtomicU16, Ordering},
    time::Duration,
};

use eyre::{Result, WrapErr, ensure};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::{backend::FakeBackend, store::FakeStore};
use crate::{
    http::Http,
    process::{Process, Signal},
};

/// Time within which a gateway must become ready, and a condition must come to hold.
const PATIENCE: Duration = Duration::from_secs(20);
/// Interval at which conditions are looked at.
const POLL: Duration = Duration::from_millis(20);

/// What a rig consists of.
#[derive(Clone, Copy, Debug)]
pub struct RigPlan {
    /// Gateways.
    pub gateways: usize,
    /// Model engines of the service `chat`.
    pub engines: usize,
    /// Servers of the plain service `desk`.
    pub desks: usize,
}

impl Default for RigPlan {
    fn default() -> Self {
        Self { gateways: 1, engines: 2, desks: 2 }
    }
}

/// A store, backend servers and gateways.
pub struct Rig {
    /// The store.
    pub store: FakeStore,
    /// Servers of `chat`.
    pub engines: Vec<FakeBackend>,
    /// Servers of `desk`.
    pub desks: Vec<FakeBackend>,
    /// Gateways, in order.
    pub gateways: Vec<GatewayProcess>,
    dir: PathBuf,
}

/// A gateway process; it is killed when dropped.
pub struct GatewayProcess {
    /// The process.
    pub process: Process,
    /// Its address.
    pub ip: IpAddr,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address that tells readiness.
    pub readiness: SocketAddr,
    /// Its settings file.
    pub settings: PathBuf,
    log: PathBuf,
    start: Start,
}

#[derive(Clone, Debug)]
struct Start {
    name: String,
    arguments: Vec<String>,
}

impl Rig {
    /// Starts everything and waits until all gateways are ready.
    pub async fn start(plan: RigPlan) -> Result<Self> {
        let rig = Self::start_unready(plan).await?;
        rig.store.put("config", "main", config(1));
        for gateway in &rig.gateways {
            wait_until("a gateway is ready", async || gateway.is_ready().await).await?;
        }
        Ok(rig)
    }

    /// Starts everything but the configuration.
    pub async fn start_unready(plan: RigPlan) -> Result<Self> {
        static NEXT: AtomicU16 = AtomicU16::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let dir = env::temp_dir().join(format!("eelgrasswell-rig-{}-{number}", std::process::id()));
        fs::create_dir_all(&dir).wrap_err_with(|| format!("could not create {}", dir.display()))?;
        let store = FakeStore::bind(plan.gateways).await?;
        let engines = workers(&store, "chat", plan.engines).await?;
        let desks = workers(&store, "desk", plan.desks).await?;
        let ips: Vec<Ipv4Addr> = (0..plan.gateways).map(|n| Ipv4Addr::new(127, 0, 1, n as u8 + 1)).collect();
        let ports = ips.iter().map(|ip| free_ports(*ip)).collect::<Result<Vec<_>>>()?;
        let seeds: Vec<String> = ips.iter().zip(&ports).map(|(ip, ports)| format!("{ip}:{}", ports[2])).collect();
        let mut gateways = Vec::new();
        for (n, (ip, ports)) in ips.iter().zip(&ports).enumerate() {
            let name = format!("gateway-{n}");
            let settings = dir.join(format!("{name}.yaml"));
            let text = format!(
                "id: {name}\ndomain: north\naddress: {ip}\ncallers: {ip}:{}\nreadiness: {ip}:{}\n\
                 exchange: {ip}:{}\nmetrics_port: {}\nseeds: [{}]\nstore: {}\ncores: 1\nmemory_mb: 200\n\
                 log_level: debug\nbounds:\n  grace_s: 5\n  repeat_ratio: 2.0\n  repeat_slack: 100\n  session_s: 1\n",
                ports[0],
                ports[1],
                ports[2],
                ports[3],
                seeds.join(", "),
                store.address(n)
            );
            fs::write(&settings, text).wrap_err_with(|| format!("could not write {}", settings.display()))?;
            let log = dir.join(format!("{name}.log"));
            let start =
                Start { name, arguments: vec!["gateway".into(), "--settings".into(), settings.display().to_string()] };
            gateways.push(GatewayProcess {
                process: start.spawn(&log)?,
                ip: (*ip).into(),
                callers: (*ip, ports[0]).into(),
                readiness: (*ip, ports[1]).into(),
                settings,
                log,
                start,
            });
        }
        Ok(Self { store, engines, desks, gateways, dir })
    }

    /// A client of a customer.
    pub fn customer(&self, key: &str) -> Http {
        Http::open().with("host", "site.example").with("authorization", &format!("Bearer {key}"))
    }

    /// A client for streams by any model; `id` names the attempt.
    pub fn chat(&self, id: &str) -> Http {
        self.customer("key-a").with("x-attempt-id", id).with("x-model", "*").with("x-token-count", "100,50")
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        // Logs of a failed test are kept for whoever looks into it.
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

impl GatewayProcess {
    /// Whether the platform may send callers to it.
    pub async fn is_ready(&self) -> bool {
        Http::open().get(self.readiness, "/readyz").await.is_ok_and(|reply| reply.status == 200)
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        self.process.signal(signal)
    }

    /// Starts it again after its end.
    pub fn restart(&mut self) -> Result<()> {
        self.process = self.start.spawn(&self.log)?;
        Ok(())
    }

    /// Its log so far.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Start {
    fn spawn(&self, log: &std::path::Path) -> Result<Process> {
        let arguments: Vec<&str> = self.arguments.iter().map(String::as_str).collect();
        Process::spawn(&self.name, "eelgrasswelld", &arguments, log)
    }
}

/// Waits until `holds` is true.
pub async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) -> Result<()> {
    let limit = Instant::now() + PATIENCE;
    while !holds().await {
        ensure!(Instant::now() < limit, "waited in vain until {what}");
        sleep(POLL).await;
    }
    Ok(())
}

/// The configuration that a rig starts with, as version `version`.
pub fn config(version: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str, attempts: u32| {
        json!({
            "name": name, "hostname": "site.example", "path_prefix": format!("/{name}/"), "route_type": kind,
            "timeout_ms": 5_000, "target_latency_ms": 1_000, "priority": 0, "service": service,
            "max_attempts": attempts, "anonymous": false, "session_affinity": false, "stream_resume": false,
        })
    };
    let mut chat = route("chat", "streaming", "chat", 3);
    chat["sizes"] = json!(["small", "middle", "large"]);
    chat["stream_resume"] = json!(true);
    chat["session_affinity"] = json!(true);
    json!({
        "version": version,
        "routes": [chat, route("book", "unsafe", "desk", 1), route("read", "safe", "desk", 2)],
        "services": [
            {
                "name": "chat", "health_path": "/healthz", "max_connections": 100, "cold_per_s": 20.0,
                "engine": { "models": [
                    { "name": "small", "cost": 0.02 }, { "name": "middle", "cost": 0.1 }, { "name": "large", "cost": 0.3 },
                ] },
            },
            { "name": "desk", "health_path": "/healthz", "max_connections": 100 },
        ],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 100_000, "header_timeout_ms": 3_000, "idle_timeout_ms": 5_000,
        },
        "tenants": [
            { "name": "customer-a", "api_keys": ["key-a", "key-a2"] }, { "name": "customer-b", "api_keys": ["key-b"] },
        ],
    })
}

async fn workers(store: &FakeStore, service: &str, count: usize) -> Result<Vec<FakeBackend>> {
    let mut workers = Vec::new();
    for n in 0..count {
        let worker = FakeBackend::bind(&format!("{service}-{n}")).await?;
        store.put("servers", &worker.id, worker.store_entry(service, "v1", "ready"));
        workers.push(worker);
    }
    Ok(workers)
}

/// Four ports of `ip` that are free now.
fn free_ports(ip: Ipv4Addr) -> Result<Vec<u16>> {
    let listeners: Vec<TcpListener> = (0..4)
        .map(|_| TcpListener::bind((ip, 0)).wrap_err_with(|| format!("could not bind a port of {ip}")))
        .collect::<Result<_>>()?;
    listeners.iter().map(|listener| Ok(listener.local_addr()?.port())).collect()
}
