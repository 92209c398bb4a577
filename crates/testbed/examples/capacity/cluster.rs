//! The cluster of one measurement: a platform stand-in and agents in this process, and router processes.

use std::{
    collections::BTreeMap,
    env, fs,
    net::SocketAddr,
    path::PathBuf,
    process,
    time::{Duration, Instant},
};

use eelgrasswell_testbed::{
    fault_link::{FaultLink, Traffic},
    http::HttpClient,
    plan,
    platform::Platform,
    process::Process,
};
use eyre::{Result, WrapErr, bail, ensure};
use hyper::StatusCode;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::agents::{InProcessAgents, LinkTraffic};

/// Number of customers added to the manifest, which makes its text about 100 KB long.
const CUSTOMERS: usize = 600;
/// Worker threads of each router: a small host has two cores.
const WORKER_THREADS: &str = "2";
/// Timeout for each condition of the cluster's readiness.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Failure domain that changes take out of service and put back in turn. It has no hosts.
const TOGGLED_DOMAIN: &str = "sigatoka";

/// A running cluster. All its processes end when it is dropped.
pub struct Cluster {
    /// The platform stand-in, which runs in this process.
    pub platform: Platform,
    /// The routers, each a process.
    pub routers: Vec<Router>,
    /// The agents, which run in this process.
    pub agents: InProcessAgents,
    /// Client with the operators' credential.
    http: HttpClient,
    /// Directory of settings, credentials and logs; deleted when the cluster is dropped.
    dir: PathBuf,
    /// Counts traffic to the inner endpoint of the first router. The host list gives the address of this link, gossip
    /// that of the endpoint itself, so other routers choose either equally often.
    peer_link: FaultLink,
}

/// A router process.
pub struct Router {
    /// Operators' endpoint.
    pub operators: SocketAddr,
    /// The process; `None` after it has been killed.
    pub process: Option<Process>,
    /// Counts the traffic between this router and the platform.
    platform_link: FaultLink,
}

/// Values of a cluster's counters at one time.
#[derive(Clone, Debug)]
pub struct ClusterCounters {
    /// Time at which the counters were read.
    pub at: Instant,
    /// CPU time of each running router in seconds.
    pub router_cpu: Vec<f64>,
    /// CPU time of this process (agents, platform stand-in, counting links) in seconds.
    pub own_cpu: f64,
    /// Traffic of all links between routers and agents.
    pub links: LinkTraffic,
    /// Traffic between each router and the platform.
    pub platform: Vec<Traffic>,
    /// Traffic of the exchanges that other routers start with the first router, about half of which use the counting
    /// link.
    pub peers: Traffic,
    /// Number of platform calls by kind.
    pub calls: BTreeMap<&'static str, u64>,
}

impl Cluster {
    /// Starts routers and agents, spread evenly over `domains` failure domains, and waits until all are ready and have
    /// the manifest.
    pub async fn start(routers: usize, domains: usize, agents: usize) -> Result<Self> {
        let dir = env::temp_dir().join(format!("eelgrasswell-capacity-{}", process::id()));
        fs::create_dir_all(&dir).wrap_err_with(|| format!("could not create {}", dir.display()))?;
        fs::write(dir.join("inner.credential"), "inner-secret")?;
        fs::write(dir.join("operator.credential"), "operator-secret")?;
        let domains: Vec<String> = (0..domains).map(|i| format!("domain-{i}")).collect();
        let platform = Platform::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let agents = InProcessAgents::spawn(agents, &domains, &dir.join("inner.credential")).await?;
        let address = |i: usize, port: u16| {
            let host = u8::try_from(i + 1).expect("a cluster has fewer than 255 routers");
            SocketAddr::from(([127, 230, (process::id() % 250) as u8, host], port))
        };
        let peer_link = FaultLink::open(SocketAddr::from(([127, 0, 0, 1], 0)), address(0, 7002)).await?;
        let listed_address = |i: usize| if i == 0 { peer_link.address() } else { address(i, 7002) };
        let entries = (0..routers).map(|i| {
            let domain = &domains[i % domains.len()];
            json!({"id": format!("router-{i}"), "role": "router", "domain": domain, "address": listed_address(i)})
        });
        let entries: Vec<Value> = entries.chain(agents.host_entries()).collect();
        let http = HttpClient::without_headers().with("authorization", "Bearer operator-secret");
        http.put_json(platform.address(), "/hosts", &json!({ "hosts": entries })).await?;
        let mut started_routers = Vec::new();
        for i in 0..routers {
            let platform_link = FaultLink::open(SocketAddr::from(([127, 0, 0, 1], 0)), platform.address()).await?;
            let seeds: Vec<_> = (0..routers.min(3)).map(|seed| address(seed, 7002)).collect();
            let settings = json!({
                "host": {
                    "id": format!("router-{i}"), "domain": domains[i % domains.len()], "inner": address(i, 7002),
                    "inner_credential": dir.join("inner.credential"), "log_level": "info",
                },
                "callers": address(i, 7001), "operators": address(i, 7003), "seeds": seeds,
                "operator_credential": dir.join("operator.credential"), "platform": platform_link.address(),
            });
            let path = dir.join(format!("router-{i}.yaml"));
            fs::write(&path, settings.to_string())?;
            let process = Process::spawn_with(
                &format!("router-{i}"),
                "eelgrasswelld",
                &["router", "--settings", &path.to_string_lossy()],
                &dir.join(format!("router-{i}.log")),
                &[("TOKIO_WORKER_THREADS", WORKER_THREADS.to_owned())],
            )?;
            started_routers.push(Router { operators: address(i, 7003), process: Some(process), platform_link });
        }
        let cluster = Self { platform, routers: started_routers, agents, http, dir, peer_link };
        cluster.submit_manifest_and_wait().await?;
        Ok(cluster)
    }

    /// Submits the manifest through the first router and waits until all routers are ready and all agents have it.
    async fn submit_manifest_and_wait(&self) -> Result<()> {
        self.wait_until("the first router answers", async || {
            self.http.get(self.routers[0].operators, "/healthz").await.is_ok()
        })
        .await?;
        let path = "/v1/manifest?expected=0&submission=initial";
        let reply = self.http.put_json(self.routers[0].operators, path, &manifest()).await?;
        ensure!(reply.status == StatusCode::OK, "could not submit the manifest: {}", reply.text());
        for router in &self.routers {
            self.wait_until("all routers are ready", async || {
                let reply = self.http.get(router.operators, "/readyz").await;
                reply.is_ok_and(|reply| reply.status == StatusCode::OK)
            })
            .await?;
        }
        self.wait_until("all agents have the manifest", async || {
            self.agents.len() == 0 || self.agents.lowest_revision() > 0
        })
        .await
    }

    /// Waits until `condition` is true; fails after `READY_TIMEOUT`. `description` completes the error message "timed
    /// out waiting until".
    async fn wait_until(&self, description: &str, condition: impl AsyncFn() -> bool) -> Result<()> {
        let start = Instant::now();
        while !condition().await {
            if start.elapsed() > READY_TIMEOUT {
                bail!("timed out after {READY_TIMEOUT:?} waiting until {description}; logs in {}", self.dir.display());
            }
            sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    /// Takes the failure domain without hosts out of service if `number` is even, otherwise puts it back, through the
    /// first router. Returns the revision that contains the change.
    pub async fn make_change(&self, number: u64) -> Result<u64> {
        let action = if number.is_multiple_of(2) { "out" } else { "in" };
        let path = format!("/v1/domains/{TOGGLED_DOMAIN}/{action}");
        let reply = self.http.post_json(self.routers[0].operators, &path, &json!({})).await?;
        ensure!(reply.status == StatusCode::OK, "could not make a change: {}", reply.text());
        let reply = reply.json()?;
        reply["revision"].as_u64().ok_or_else(|| eyre::eyre!("could not read the revision in {reply}"))
    }

    /// Revisions that a router has adopted, each with the time of day in seconds, from the router's log.
    pub fn router_adoptions(&self, router: usize) -> Result<Vec<(u64, f64)>> {
        let path = self.dir.join(format!("router-{router}.log"));
        let log = fs::read_to_string(&path).wrap_err_with(|| format!("could not read {}", path.display()))?;
        Ok(log.lines().filter(|line| line.contains("event=config_adopted ")).filter_map(parse_adoption).collect())
    }

    /// Reads all counters. Fails if the CPU time of a process cannot be read.
    pub fn read_counters(&self) -> Result<ClusterCounters> {
        let running = || self.routers.iter().filter_map(|router| router.process.as_ref());
        Ok(ClusterCounters {
            at: Instant::now(),
            router_cpu: running().map(Process::cpu_seconds).collect::<Result<_>>()?,
            own_cpu: own_cpu_seconds()?,
            links: self.agents.traffic(),
            platform: self.routers.iter().map(|router| router.platform_link.traffic()).collect(),
            peers: self.peer_link.traffic(),
            calls: self.platform.calls(),
        })
    }

    /// Resident memory of each running router in megabytes.
    pub fn memory_mb(&self) -> Result<Vec<f64>> {
        let running = self.routers.iter().filter_map(|router| router.process.as_ref());
        running.map(Process::memory_mb).collect()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.routers.clear();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// CPU time of this process in seconds.
fn own_cpu_seconds() -> Result<f64> {
    const TICKS_PER_SECOND: f64 = 100.0;
    let stat = fs::read_to_string("/proc/self/stat").wrap_err("could not read /proc/self/stat")?;
    // The fields after the process name. Indices 11 and 12 are user and system time in clock ticks.
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0);
    Ok((ticks(11) + ticks(12)) / TICKS_PER_SECOND)
}

/// Parses the revision and the time of day, in seconds, of a log line about an adopted configuration.
fn parse_adoption(line: &str) -> Option<(u64, f64)> {
    let clock = line.split_once('T')?.1.split_once('Z')?.0;
    let parts: Vec<f64> = clock.split(':').map_while(|part| part.parse().ok()).collect();
    let [hours, minutes, seconds] = parts[..] else { return None };
    let revision = line.split_whitespace().find_map(|pair| pair.strip_prefix("revision="))?;
    Some((revision.parse().ok()?, hours * 3600.0 + minutes * 60.0 + seconds))
}

/// The machine's load average over one minute.
pub fn load_average() -> Result<f64> {
    let text = fs::read_to_string("/proc/loadavg").wrap_err("could not read /proc/loadavg")?;
    text.split_whitespace().next().unwrap_or_default().parse().wrap_err("could not parse /proc/loadavg")
}

/// The manifest of the test plans with additional customers, about 100 KB of text.
fn manifest() -> Value {
    let mut manifest = plan::manifest();
    for i in 0..CUSTOMERS {
        manifest["customers"][format!("customer-{i}")] = json!({
            "api_key_sha256": format!("{i:064x}"),
            "models": {"plan-small": [], "plan-large": ["v1"]},
            "services": ["loan-records"],
        });
    }
    manifest
}
