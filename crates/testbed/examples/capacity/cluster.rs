//! A platform stand-in, router processes and a swarm of agents for one measurement.

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
    http::Http,
    plan,
    platform::Platform,
    process::Process,
};
use eyre::{Result, WrapErr, bail, ensure};
use hyper::StatusCode;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::agents::{InProcessAgents, LinkTraffic};

/// Customers in the manifest; they make its text about 100 KB long.
const CUSTOMERS: usize = 600;
/// Worker threads of each router: a small host has two cores.
const WORKER_THREADS: &str = "2";
/// Longest time that a site may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Failure domain that changes take out and bring back; no host lies in it.
const TOGGLED: &str = "sigatoka";

/// A site; all its processes end when it is dropped.
pub struct Cluster {
    /// The platform stand-in, in this process.
    pub platform: Platform,
    /// Routers.
    pub routers: Vec<Router>,
    /// Agents, in this process.
    pub agents: InProcessAgents,
    http: Http,
    dir: PathBuf,
    /// Leads to the inner endpoint of the first router. The host list names it, gossip names the
    /// endpoint itself, so other routers choose either equally often.
    peer_link: FaultLink,
}

/// A router process.
pub struct Router {
    /// Operators' endpoint.
    pub operators: SocketAddr,
    /// The process; none once it was killed.
    pub process: Option<Process>,
    platform_link: FaultLink,
}

/// Counters of a site at one time.
#[derive(Clone, Debug)]
pub struct Reading {
    /// When it was taken.
    pub at: Instant,
    /// Processor time of each router in seconds.
    pub cpu: Vec<f64>,
    /// Processor time of this process (agents, platform stand-in, counting links) in seconds.
    pub own_cpu: f64,
    /// Traffic of all links.
    pub links: LinkTraffic,
    /// Traffic of each router with the platform.
    pub platform: Vec<Traffic>,
    /// Half of what other routers exchange with the first router on their initiative.
    pub peers: Traffic,
    /// Platform calls by kind.
    pub calls: BTreeMap<&'static str, u64>,
}

impl Cluster {
    /// Starts `routers` routers over `domains` failure domains and `agents` agents, and waits until
    /// all are ready and have the manifest.
    pub async fn start(routers: usize, domains: usize, agents: usize) -> Result<Self> {
        let dir = env::temp_dir().join(format!("eelgrasswell-capacity-{}", process::id()));
        fs::create_dir_all(&dir).wrap_err_with(|| format!("could not create {}", dir.display()))?;
        fs::write(dir.join("inner.credential"), "inner-secret")?;
        fs::write(dir.join("operator.credential"), "operator-secret")?;
        let domains: Vec<String> = (0..domains).map(|i| format!("domain-{i}")).collect();
        let platform = Platform::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let agents = InProcessAgents::spawn(agents, &domains, &dir.join("inner.credential")).await?;
        let address = |i: usize, port: u16| {
            let host = u8::try_from(i + 1).expect("a site has fewer than 255 routers");
            SocketAddr::from(([127, 230, (process::id() % 250) as u8, host], port))
        };
        let peer_link = FaultLink::open(SocketAddr::from(([127, 0, 0, 1], 0)), address(0, 7002)).await?;
        let listed = |i: usize| if i == 0 { peer_link.address() } else { address(i, 7002) };
        let entries = (0..routers).map(|i| {
            let domain = &domains[i % domains.len()];
            json!({"id": format!("router-{i}"), "role": "router", "domain": domain, "address": listed(i)})
        });
        let entries: Vec<Value> = entries.chain(agents.host_entries()).collect();
        let http = Http::open().with("authorization", "Bearer operator-secret");
        http.put_json(platform.address(), "/hosts", &json!({ "hosts": entries })).await?;
        let mut started = Vec::new();
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
            started.push(Router { operators: address(i, 7003), process: Some(process), platform_link });
        }
        let cluster = Self { platform, routers: started, agents, http, dir, peer_link };
        cluster.submit_manifest().await?;
        Ok(cluster)
    }

    async fn submit_manifest(&self) -> Result<()> {
        self.until("routers answer", async || self.http.get(self.routers[0].operators, "/healthz").await.is_ok())
            .await?;
        let path = "/v1/manifest?expected=0&submission=initial";
        let reply = self.http.put_json(self.routers[0].operators, path, &manifest()).await?;
        ensure!(reply.status == StatusCode::OK, "could not submit the manifest: {}", reply.text());
        for router in &self.routers {
            self.until("routers are ready", async || {
                let reply = self.http.get(router.operators, "/readyz").await;
                reply.is_ok_and(|reply| reply.status == StatusCode::OK)
            })
            .await?;
        }
        self.until("agents have the manifest", async || self.agents.len() == 0 || self.agents.lowest_revision() > 0)
            .await
    }

    async fn until(&self, what: &str, holds: impl AsyncFn() -> bool) -> Result<()> {
        let start = Instant::now();
        while !holds().await {
            if start.elapsed() > READY_TIMEOUT {
                bail!("timed out after {READY_TIMEOUT:?} waiting until {what}; logs in {}", self.dir.display());
            }
            sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    /// Takes a failure domain without hosts out, or brings it back, through the first router. Returns
    /// the revision that the change made.
    pub async fn change(&self, number: u64) -> Result<u64> {
        let action = if number.is_multiple_of(2) { "out" } else { "in" };
        let path = format!("/v1/domains/{TOGGLED}/{action}");
        let reply = self.http.post_json(self.routers[0].operators, &path, &json!({})).await?;
        ensure!(reply.status == StatusCode::OK, "could not make a change: {}", reply.text());
        let reply = reply.json()?;
        reply["revision"].as_u64().ok_or_else(|| eyre::eyre!("could not read the revision in {reply}"))
    }

    /// Revisions that a router has put in force, with the time of day in seconds, from its log.
    pub fn adoptions(&self, router: usize) -> Result<Vec<(u64, f64)>> {
        let path = self.dir.join(format!("router-{router}.log"));
        let log = fs::read_to_string(&path).wrap_err_with(|| format!("could not read {}", path.display()))?;
        Ok(log.lines().filter(|line| line.contains("event=config_adopted ")).filter_map(adoption).collect())
    }

    /// Reads all counters.
    pub fn read(&self) -> Result<Reading> {
        let live = || self.routers.iter().filter_map(|router| router.process.as_ref());
        Ok(Reading {
            at: Instant::now(),
            cpu: live().map(Process::cpu_seconds).collect::<Result<_>>()?,
            own_cpu: own_cpu_seconds()?,
            links: self.agents.traffic(),
            platform: self.routers.iter().map(|router| router.platform_link.traffic()).collect(),
            peers: self.peer_link.traffic(),
            calls: self.platform.calls(),
        })
    }

    /// Resident memory of each router in megabytes.
    pub fn memory_mb(&self) -> Result<Vec<f64>> {
        let live = self.routers.iter().filter_map(|router| router.process.as_ref());
        live.map(Process::memory_mb).collect()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.routers.clear();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// Processor time of this process in seconds.
fn own_cpu_seconds() -> Result<f64> {
    const TICKS_PER_SECOND: f64 = 100.0;
    let stat = fs::read_to_string("/proc/self/stat").wrap_err("could not read /proc/self/stat")?;
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0);
    Ok((ticks(11) + ticks(12)) / TICKS_PER_SECOND)
}

/// Revision and time of day in seconds of a log line.
fn adoption(line: &str) -> Option<(u64, f64)> {
    let clock = line.split_once('T')?.1.split_once('Z')?.0;
    let parts: Vec<f64> = clock.split(':').map_while(|part| part.parse().ok()).collect();
    let [hours, minutes, seconds] = parts[..] else { return None };
    let revision = line.split_whitespace().find_map(|pair| pair.strip_prefix("revision="))?;
    Some((revision.parse().ok()?, hours * 3600.0 + minutes * 60.0 + seconds))
}

/// The load average over one minute.
pub fn load_average() -> Result<f64> {
    let text = fs::read_to_string("/proc/loadavg").wrap_err("could not read /proc/loadavg")?;
    text.split_whitespace().next().unwrap_or_default().parse().wrap_err("could not parse /proc/loadavg")
}

/// The manifest of test plans, grown to about 100 KB by further customers.
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
