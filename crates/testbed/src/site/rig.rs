//! Test rig that runs gateways as separate processes against the stand-ins.

use std::{
    env, fs,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    sync::atomic::{AtomicU16, Ordering},
    time::Duration,
};

use eyre::{Result, WrapErr, ensure};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::{backend::FakeBackend, store::FakeStore};
use crate::{
    fault_link::{FaultLink, LinkMode},
    http::HttpClient,
    process::{Process, Signal},
};

/// Time within which a gateway must become ready, or another condition must become true.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which conditions are checked.
const POLL: Duration = Duration::from_millis(20);

/// Size of a rig.
#[derive(Clone, Copy, Debug)]
pub struct RigPlan {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of model engines of the service `chat`.
    pub engines: usize,
    /// Number of servers of the plain service `desk`.
    pub desks: usize,
    /// Delay of each 16 KiB between the store and a gateway, which makes their link narrow; none for a direct connection.
    pub store_delay: Option<Duration>,
    /// Memory limit in the settings of the gateways, in MB.
    pub memory_mb: u64,
    /// Number of cores in the settings of the gateways.
    pub cores: usize,
    /// Further lines of the gateways' settings, each with a line break at its end.
    pub settings: &'static str,
}

impl Default for RigPlan {
    fn default() -> Self {
        Self { gateways: 1, engines: 2, desks: 2, store_delay: None, memory_mb: 200, cores: 1, settings: "" }
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
    /// Links between the gateways and the store, in order; empty if they connect directly.
    pub store_links: Vec<FaultLink>,
    dir: PathBuf,
    keeps_logs: bool,
}

/// A gateway process. It is killed when this is dropped.
pub struct GatewayProcess {
    /// The process.
    pub process: Process,
    /// IP address of all its endpoints.
    pub ip: IpAddr,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the readiness check.
    pub readiness: SocketAddr,
    /// Address for other gateways.
    pub exchange: SocketAddr,
    /// Address of the metrics.
    pub metrics: SocketAddr,
    /// Path of the settings file.
    pub settings: PathBuf,
    log: PathBuf,
    command: StartCommand,
}

/// Command by which a gateway is started and restarted.
#[derive(Clone, Debug)]
struct StartCommand {
    name: String,
    arguments: Vec<String>,
}

impl Rig {
    /// Starts the stand-ins and gateways and waits until all gateways are ready.
    pub async fn start(plan: RigPlan) -> Result<Self> {
        Self::start_with(plan, "").await
    }

    /// Like `start`, with additional lines in the settings of all gateways.
    pub async fn start_with(plan: RigPlan, settings: &str) -> Result<Self> {
        let rig = Self::start_unready_with(plan, settings).await?;
        rig.store.put("config", "main", config(1));
        for gateway in &rig.gateways {
            let ready = wait_until("a gateway is ready", async || gateway.is_ready().await).await;
            ready.wrap_err_with(|| format!("the gateway's log ends with:\n{}", gateway.log_end()))?;
        }
        Ok(rig)
    }

    /// Starts the stand-ins and gateways without a configuration in the store, so that the gateways are not ready.
    pub async fn start_unready(plan: RigPlan) -> Result<Self> {
        Self::start_unready_with(plan, "").await
    }

    async fn start_unready_with(plan: RigPlan, added_settings: &str) -> Result<Self> {
        static NEXT: AtomicU16 = AtomicU16::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let dir = env::temp_dir().join(format!("eelgrasswell-rig-{}-{number}", std::process::id()));
        fs::create_dir_all(&dir).wrap_err_with(|| format!("could not create {}", dir.display()))?;
        let store = FakeStore::bind(plan.gateways).await?;
        let store_links = match plan.store_delay {
            Some(delay) => open_store_links(&store, plan.gateways, delay).await?,
            None => Vec::new(),
        };
        let engines = start_backends(&store, "chat", plan.engines).await?;
        let desks = start_backends(&store, "desk", plan.desks).await?;
        let ips: Vec<Ipv4Addr> = (0..plan.gateways).map(|n| loopback_address(number, n)).collect();
        let ports = ips.iter().map(|ip| free_ports(*ip)).collect::<Result<Vec<_>>>()?;
        let seeds: Vec<String> = ips.iter().zip(&ports).map(|(ip, ports)| format!("{ip}:{}", ports[2])).collect();
        let mut gateways = Vec::new();
        for (n, (ip, ports)) in ips.iter().zip(&ports).enumerate() {
            let name = format!("gateway-{n}");
            let settings = dir.join(format!("{name}.yaml"));
            let text = format!(
                "id: {name}\ndomain: north\naddress: {ip}\ncallers: {ip}:{}\nreadiness: {ip}:{}\n\
                 exchange: {ip}:{}\nmetrics_port: {}\nseeds: [{}]\nstore: {}\ncores: {}\nmemory_mb: {}\n{}\
                 log_level: debug\nbounds:\n  grace_s: 5\n  repeat_ratio: 2.0\n  repeat_slack: 100\n  session_s: 1\n",
                ports[0],
                ports[1],
                ports[2],
                ports[3],
                seeds.join(", "),
                store_links.get(n).map_or_else(|| store.address(n), FaultLink::address),
                plan.cores,
                plan.memory_mb,
                plan.settings
            );
            fs::write(&settings, text + added_settings)
                .wrap_err_with(|| format!("could not write {}", settings.display()))?;
            let log = dir.join(format!("{name}.log"));
            let command = StartCommand {
                name,
                arguments: vec!["gateway".into(), "--settings".into(), settings.display().to_string()],
            };
            gateways.push(GatewayProcess {
                process: command.spawn(&log)?,
                ip: (*ip).into(),
                callers: (*ip, ports[0]).into(),
                readiness: (*ip, ports[1]).into(),
                exchange: (*ip, ports[2]).into(),
                metrics: (*ip, ports[3]).into(),
                settings,
                log,
                command,
            });
        }
        Ok(Self { store, engines, desks, gateways, store_links, dir, keeps_logs: false })
    }

    /// A client with the API key of a customer.
    pub fn customer(&self, key: &str) -> HttpClient {
        HttpClient::without_headers().with("host", "site.example").with("authorization", &format!("Bearer {key}"))
    }

    /// A client for streams for which the router chooses the model; `id` is the id of the attempt.
    pub fn chat(&self, id: &str) -> HttpClient {
        self.customer("key-a").with("x-attempt-id", id).with("x-model", "*").with("x-token-count", "100,50")
    }
}

impl Rig {
    /// Keeps the logs when the rig ends, and returns their folder.
    pub fn keep_logs(&mut self) -> &Path {
        self.keeps_logs = true;
        &self.dir
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        // The logs of a failed test are kept for diagnosis.
        if !std::thread::panicking() && !self.keeps_logs {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

impl GatewayProcess {
    /// Whether the gateway reports that it is ready for callers.
    pub async fn is_ready(&self) -> bool {
        HttpClient::without_headers().get(self.readiness, "/readyz").await.is_ok_and(|reply| reply.status == 200)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        self.process.signal(signal)
    }

    /// Starts the process again after it has ended.
    pub fn restart(&mut self) -> Result<()> {
        self.process = self.command.spawn(&self.log)?;
        Ok(())
    }

    /// The last lines of the log.
    fn log_end(&self) -> String {
        const LINES: usize = 20;
        let log = self.log();
        let lines: Vec<&str> = log.lines().collect();
        lines[lines.len().saturating_sub(LINES)..].join("\n")
    }

    /// The log so far; empty if it can't be read.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl StartCommand {
    fn spawn(&self, log: &std::path::Path) -> Result<Process> {
        let arguments: Vec<&str> = self.arguments.iter().map(String::as_str).collect();
        Process::spawn(&self.name, "eelgrasswelld", &arguments, log)
    }
}

/// Waits until `condition` is true; fails after `CONDITION_TIMEOUT`. `description` completes the error message
/// "timed out waiting until".
pub async fn wait_until(description: &str, mut condition: impl AsyncFnMut() -> bool) -> Result<()> {
    let limit = Instant::now() + CONDITION_TIMEOUT;
    while !condition().await {
        ensure!(Instant::now() < limit, "timed out waiting until {description}");
        sleep(POLL).await;
    }
    Ok(())
}

/// The configuration that a rig starts with, with the version `version`.
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

async fn open_store_links(store: &FakeStore, gateways: usize, delay: Duration) -> Result<Vec<FaultLink>> {
    let mut links = Vec::new();
    for gateway in 0..gateways {
        let link = FaultLink::open((Ipv4Addr::LOCALHOST, 0).into(), store.address(gateway)).await?;
        link.set_mode(LinkMode::Slow(delay));
        links.push(link);
    }
    Ok(links)
}

/// Starts `count` backend servers of `service` and enters them in the store.
async fn start_backends(store: &FakeStore, service: &str, count: usize) -> Result<Vec<FakeBackend>> {
    let mut backends = Vec::new();
    for n in 0..count {
        let backend = FakeBackend::bind(&format!("{service}-{n}")).await?;
        store.put("servers", &backend.id, backend.store_entry(service, "v1", "ready"));
        backends.push(backend);
    }
    Ok(backends)
}

/// Address for gateway `gateway` of the rig `rig` of this process. Rigs that run at the same time get addresses of their own,
/// so that none takes a port that another one found free.
fn loopback_address(rig: u16, gateway: usize) -> Ipv4Addr {
    let process = std::process::id();
    Ipv4Addr::new(127, 1 + (process % 250) as u8, (rig % 250) as u8, gateway as u8 + 1)
}

/// Four currently free ports of `ip`.
fn free_ports(ip: Ipv4Addr) -> Result<Vec<u16>> {
    let listeners: Vec<TcpListener> = (0..4)
        .map(|_| TcpListener::bind((ip, 0)).wrap_err_with(|| format!("could not bind a port of {ip}")))
        .collect::<Result<_>>()?;
    listeners.iter().map(|listener| Ok(listener.local_addr()?.port())).collect()
}
