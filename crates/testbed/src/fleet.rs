//! A fleet on loopback: platform stand-in, routers, agents and engine stand-ins as separate processes.

use std::{
    collections::HashSet,
    env, fs,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process,
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use eyre::{Result, WrapErr, bail, ensure};
use hyper::StatusCode;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::{
    fault_link::FaultLink,
    http::{HttpClient, Reply},
    plan::{AgentPlan, FleetPlan},
    process::{Process, Signal},
};

/// Port for callers on a router's address.
const CALLERS_PORT: u16 = 7001;
/// Port for other processes of the system.
const INNER_PORT: u16 = 7002;
/// Port for operators.
const OPERATORS_PORT: u16 = 7003;
/// Port of a stand-in.
const STAND_IN_PORT: u16 = 7004;
/// Port of the fault link in front of an inner endpoint.
const INNER_LINK_PORT: u16 = 7005;
/// Port of the fault link between a router and the platform.
const PLATFORM_LINK_PORT: u16 = 7006;
/// Longest time that a fleet may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two looks at a condition that other processes bring about.
const POLL: Duration = Duration::from_millis(20);

/// A running fleet; all its processes end when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    dir: PathBuf,
    net: Net,
    worker_threads: Option<u32>,
    /// The platform stand-in.
    pub platform: StandIn,
    /// Routers in the order of the plan.
    pub routers: Vec<RouterProcess>,
    /// Agents in the order of the plan.
    pub agents: Vec<AgentProcess>,
    /// Client without credentials.
    pub http: HttpClient,
    /// Fault links, if the plan asks for them.
    pub links: Option<Links>,
    moves: usize,
}

/// Fault links of a fleet. Calls between shard owners go past them, because a router announces the
/// address that it is bound to.
#[derive(Debug)]
pub struct Links {
    /// From all routers to each agent.
    pub agents: Vec<FaultLink>,
    /// From the other routers to each router.
    pub routers: Vec<FaultLink>,
    /// From each router to the platform.
    pub platform: Vec<FaultLink>,
}

/// A stand-in process.
#[derive(Debug)]
pub struct StandIn {
    /// Address that it serves.
    pub address: SocketAddr,
    /// The process; none while it is stopped.
    pub process: Option<Process>,
}

/// A router process with its addresses.
#[derive(Debug)]
pub struct RouterProcess {
    /// Host id.
    pub id: String,
    /// Callers' endpoint.
    pub callers: SocketAddr,
    /// Operators' endpoint.
    pub operators: SocketAddr,
    /// Inner endpoint.
    pub inner: SocketAddr,
    domain: &'static str,
    /// The process; none while it is stopped.
    pub process: Option<Process>,
}

/// An agent process with its engine stand-in.
#[derive(Debug)]
pub struct AgentProcess {
    /// Host id.
    pub id: String,
    /// Inner endpoint as the host list names it.
    pub inner: SocketAddr,
    /// Health and metrics.
    pub operators: SocketAddr,
    /// What it was planned as.
    pub plan: AgentPlan,
    /// The process; none while it is stopped.
    pub process: Option<Process>,
    /// The backend server.
    pub engine: StandIn,
}

/// Loopback addresses of one fleet. Each host has an address of its own, so that ports are fixed and
/// tests that run side by side cannot take each other's.
#[derive(Clone, Copy, Debug)]
struct Net {
    second: u8,
    third: u8,
    base: u8,
}

impl Net {
    fn take() -> Self {
        static FLEETS: AtomicU32 = AtomicU32::new(0);
        const HOSTS_PER_FLEET: u32 = 80;
        let pid = process::id();
        let fleet = FLEETS.fetch_add(1, Ordering::Relaxed) % 3;
        Self {
            second: 16 + (pid % 200) as u8,
            third: (pid / 200 % 250) as u8,
            base: 1 + (fleet * HOSTS_PER_FLEET) as u8,
        }
    }

    fn address(self, host: usize, port: u16) -> SocketAddr {
        let last = self.base + u8::try_from(host).expect("a fleet has fewer than 80 hosts");
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.second, self.third, last)), port)
    }
}

impl Fleet {
    /// Starts a fleet, submits the plan's manifest and waits until all routers are ready.
    pub async fn start(plan: FleetPlan) -> Result<Self> {
        let manifest = plan.manifest.clone();
        let mut fleet = Self::prepare(plan).await?;
        for router in 0..fleet.routers.len() {
            fleet.start_router(router)?;
        }
        for agent in 0..fleet.agents.len() {
            fleet.start_engine(agent)?;
            fleet.start_agent(agent)?;
        }
        fleet.wait_until("routers answer", async |fleet| fleet.get_operators(0, "/healthz").await.is_ok()).await?;
        let reply = fleet.submit(0, &manifest, 0, "initial").await?;
        ensure!(reply.status == StatusCode::OK, "could not submit the manifest: {}", reply.text());
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// Starts the platform stand-in only; routers and agents are prepared but not started.
    pub async fn prepare(plan: FleetPlan) -> Result<Self> {
        let net = Net::take();
        let dir = env::temp_dir().join(format!("eelgrasswell-{}-{}", process::id(), net.base));
        fs::create_dir_all(&dir).wrap_err_with(|| format!("could not create {}", dir.display()))?;
        fs::write(dir.join("inner.credential"), "inner-secret")?;
        fs::write(dir.join("operator.credential"), "operator-secret")?;
        let platform = StandIn { address: net.address(0, STAND_IN_PORT), process: None };
        let routers = plan.routers.iter().enumerate().map(|(i, domain)| RouterProcess {
            id: format!("router-{i}"),
            callers: net.address(i + 1, CALLERS_PORT),
            operators: net.address(i + 1, OPERATORS_PORT),
            inner: net.address(i + 1, INNER_PORT),
            domain,
            process: None,
        });
        let first_agent = plan.routers.len() + 1;
        let agents = plan.agents.iter().enumerate().map(|(i, agent)| AgentProcess {
            id: format!("agent-{i}"),
            inner: net.address(first_agent + i, INNER_PORT),
            operators: net.address(first_agent + i, OPERATORS_PORT),
            plan: agent.clone(),
            process: None,
            engine: StandIn { address: net.address(first_agent + i, STAND_IN_PORT), process: None },
        });
        let mut fleet = Self {
            dir,
            net,
            worker_threads: plan.worker_threads,
            platform,
            routers: routers.collect(),
            agents: agents.collect(),
            http: HttpClient::without_headers(),
            links: None,
            moves: 0,
        };
        if plan.fault_links {
            fleet.links = Some(fleet.open_links().await?);
        }
        fs::write(fleet.dir.join("engine.args"), plan.engine_args.join("\n"))?;
        fleet.start_platform()?;
        let platform = fleet.platform.address;
        fleet
            .wait_until("the platform answers", async |fleet| fleet.http.get(platform, "/calls").await.is_ok())
            .await?;
        fleet.publish_hosts().await?;
        Ok(fleet)
    }

    async fn open_links(&self) -> Result<Links> {
        let mut links = Links { agents: Vec::new(), routers: Vec::new(), platform: Vec::new() };
        for agent in &self.agents {
            links.agents.push(inner_link(agent.inner).await?);
        }
        for router in &self.routers {
            links.routers.push(inner_link(router.inner).await?);
            let listen = SocketAddr::new(router.inner.ip(), PLATFORM_LINK_PORT);
            links.platform.push(FaultLink::open(listen, self.platform.address).await?);
        }
        Ok(links)
    }

    /// Gives a stopped agent a new address; the host list names it after `publish_hosts`.
    pub async fn move_agent(&mut self, agent: usize) -> Result<()> {
        let inner = self.new_inner();
        self.agents[agent].inner = inner;
        if let Some(links) = &mut self.links {
            links.agents[agent] = inner_link(inner).await?;
        }
        Ok(())
    }

    /// Gives a stopped router a new inner address; callers and operators find it where it was.
    pub async fn move_router(&mut self, router: usize) -> Result<()> {
        let inner = self.new_inner();
        self.routers[router].inner = inner;
        if let Some(links) = &mut self.links {
            links.routers[router] = inner_link(inner).await?;
        }
        Ok(())
    }

    /// An inner address that no process of this fleet had before.
    fn new_inner(&mut self) -> SocketAddr {
        /// First spare address that moved hosts take; tests use those before it.
        const FIRST: usize = 10;
        let slot = FIRST + self.moves;
        self.moves += 1;
        SocketAddr::new(self.spare_address(slot).ip(), INNER_PORT)
    }

    /// Starts the platform stand-in; its objects are empty.
    pub fn start_platform(&mut self) -> Result<()> {
        let listen = self.platform.address.to_string();
        let process =
            Process::spawn("platform", "examples/platform", &["--listen", &listen], &self.log_path("platform"))?;
        self.platform.process = Some(process);
        Ok(())
    }

    /// Starts a router with a fresh memory.
    pub fn start_router(&mut self, router: usize) -> Result<()> {
        let settings = self.router_settings(router);
        let id = self.routers[router].id.clone();
        let process = self.spawn_daemon("router", &id, &settings)?;
        self.routers[router].process = Some(process);
        Ok(())
    }

    /// Starts an agent with a fresh memory.
    pub fn start_agent(&mut self, agent: usize) -> Result<()> {
        let settings = self.agent_settings(agent);
        let id = self.agents[agent].id.clone();
        let process = self.spawn_daemon("agent", &id, &settings)?;
        self.agents[agent].process = Some(process);
        Ok(())
    }

    /// Starts the engine stand-in of an agent.
    pub fn start_engine(&mut self, agent: usize) -> Result<()> {
        let listen = self.agents[agent].engine.address.to_string();
        let name = format!("engine-{agent}");
        let extra = fs::read_to_string(self.dir.join("engine.args"))?;
        let mut args = vec!["--listen", listen.as_str()];
        args.extend(extra.lines());
        let process = Process::spawn(&name, "examples/engine", &args, &self.log_path(&name))?;
        self.agents[agent].engine.process = Some(process);
        Ok(())
    }

    /// Puts all routers and agents on the platform's host list.
    pub async fn publish_hosts(&self) -> Result<()> {
        let routers = self.routers.iter().enumerate().map(|(i, router)| {
            let address = self.links.as_ref().map_or(router.inner, |links| links.routers[i].address());
            json!({"id": router.id, "role": "router", "domain": router.domain, "address": address})
        });
        let agents = self.agents.iter().enumerate().map(|(i, agent)| {
            let address = self.links.as_ref().map_or(agent.inner, |links| links.agents[i].address());
            json!({
                "id": agent.id, "role": "agent", "domain": agent.plan.domain,
                "address": address, "service": agent.plan.service,
            })
        });
        let hosts = json!({"hosts": routers.chain(agents).collect::<Vec<_>>()});
        let reply = self.http.put_json(self.platform.address, "/hosts", &hosts).await?;
        ensure!(reply.status.is_success(), "could not publish the host list: {}", reply.text());
        Ok(())
    }

    /// Submits a manifest through a router.
    pub async fn submit(&self, router: usize, manifest: &Value, expected: u64, submission: &str) -> Result<Reply> {
        let path = format!("/v1/manifest?expected={expected}&submission={submission}");
        self.operator().put_json(self.routers[router].operators, &path, manifest).await
    }

    /// Sends a command to a router's operators' endpoint.
    pub async fn command(&self, router: usize, path: &str) -> Result<Value> {
        let reply = self.operator().post_json(self.routers[router].operators, path, &json!({})).await?;
        ensure!(reply.status.is_success(), "could not run {path}: {} {}", reply.status, reply.text());
        reply.json()
    }

    /// Reads from a router's operators' endpoint.
    pub async fn get_operators(&self, router: usize, path: &str) -> Result<Reply> {
        self.operator().get(self.routers[router].operators, path).await
    }

    /// Bills of a customer as a router reports them.
    pub async fn bills(&self, router: usize, customer: &str) -> Result<Value> {
        let reply = self.get_operators(router, &format!("/v1/bills/{customer}")).await?;
        ensure!(reply.status.is_success(), "could not read the bills: {}", reply.text());
        reply.json()
    }

    /// The engine stand-in's own record of what ran.
    pub async fn runs(&self, agent: usize) -> Result<Vec<Value>> {
        let reply = self.http.get(self.agents[agent].engine.address, "/runs").await?.json()?;
        let runs = reply.get("runs").unwrap_or(&reply);
        Ok(runs.as_array().cloned().unwrap_or_default())
    }

    /// Switches a fault of the platform stand-in.
    pub async fn set_platform_fault(&self, fault: &Value) -> Result<()> {
        let reply = self.http.post_json(self.platform.address, "/fault", fault).await?;
        ensure!(reply.status.is_success(), "could not set a platform fault: {}", reply.text());
        Ok(())
    }

    /// Switches a fault of an engine stand-in.
    pub async fn set_engine_fault(&self, agent: usize, fault: &Value) -> Result<()> {
        let reply = self.http.post_json(self.agents[agent].engine.address, "/fault", fault).await?;
        ensure!(reply.status.is_success(), "could not set an engine fault: {}", reply.text());
        Ok(())
    }

    /// A client of one customer.
    pub fn customer(&self, key: &str) -> HttpClient {
        self.http.with("authorization", &format!("Bearer {key}"))
    }

    /// A client with the operators' credential.
    pub fn operator(&self) -> HttpClient {
        self.http.with("authorization", "Bearer operator-secret")
    }

    /// File with the operators' credential.
    pub fn operator_credential(&self) -> PathBuf {
        self.dir.join("operator.credential")
    }

    /// Waits until all started routers are ready and reach each planned service.
    pub async fn wait_ready(&self) -> Result<()> {
        for router in 0..self.routers.len() {
            if self.routers[router].process.is_none() {
                continue;
            }
            self.wait_until("routers are ready", async |fleet| {
                let reply = fleet.get_operators(router, "/readyz").await;
                reply.is_ok_and(|reply| reply.status == StatusCode::OK)
            })
            .await?;
        }
        Ok(())
    }

    /// Waits until all started routers have a link to the agent in its present incarnation.
    pub async fn wait_linked(&self, agent: usize) -> Result<()> {
        let id = self.agents[agent].id.as_str();
        self.wait_until("the agent answers", async |fleet| {
            let reply = fleet.http.get(fleet.agents[agent].operators, "/readyz").await;
            reply.is_ok_and(|reply| reply.status == StatusCode::OK)
        })
        .await?;
        for router in (0..self.routers.len()).filter(|&router| self.routers[router].process.is_some()) {
            self.wait_until("the agent is linked", async |fleet| {
                let status = fleet.get_operators(router, "/v1/status").await.and_then(|reply| reply.json());
                status.is_ok_and(|status| {
                    let links = status["links"].as_array().into_iter().flatten();
                    links.into_iter().any(|link| link["id"] == id || link["agent"] == id || link["host"] == id)
                })
            })
            .await?;
        }
        Ok(())
    }

    /// Status as a router reports it.
    pub async fn status(&self, router: usize) -> Result<Value> {
        self.get_operators(router, "/v1/status").await?.json()
    }

    /// Waits until all started routers and agents have at least this revision.
    pub async fn wait_for_revision(&self, revision: u64) -> Result<()> {
        self.wait_until(&format!("revision {revision} is in force everywhere"), async |fleet| {
            let mut agents = HashSet::new();
            for router in (0..fleet.routers.len()).filter(|&router| fleet.routers[router].process.is_some()) {
                let Ok(status) = fleet.status(router).await else { return false };
                if status["revision"].as_u64().is_none_or(|own| own < revision) {
                    return false;
                }
                let links = status["links"].as_array().into_iter().flatten();
                let current = links.filter(|link| link["revision"].as_u64().is_some_and(|own| own >= revision));
                agents.extend(current.filter_map(|link| link["id"].as_str().map(str::to_owned)));
            }
            fleet.agents.iter().all(|agent| agent.process.is_none() || agents.contains(&agent.id))
        })
        .await
    }

    /// Polls until `holds` is true; `what` names the condition in the error.
    pub async fn wait_until(&self, what: &str, holds: impl AsyncFn(&Self) -> bool) -> Result<()> {
        let start = Instant::now();
        while !holds(self).await {
            if start.elapsed() > READY_TIMEOUT {
                bail!("timed out after {READY_TIMEOUT:?} waiting until {what}; logs in {}", self.save_logs().display());
            }
            sleep(POLL).await;
        }
        Ok(())
    }

    /// An address of this fleet for a fault link or another stand-in; `slot` counts from zero.
    pub fn spare_address(&self, slot: usize) -> SocketAddr {
        self.net.address(1 + self.routers.len() + self.agents.len() + slot, STAND_IN_PORT)
    }

    /// Log of a process, for messages of failed tests.
    pub fn log_path(&self, name: &str) -> PathBuf {
        self.dir.join(format!("{name}.log"))
    }

    /// Stops a router gracefully and waits for its end.
    pub async fn stop_router(&mut self, router: usize) -> Result<()> {
        let mut process =
            self.routers[router].process.take().ok_or_else(|| eyre::eyre!("the router is not running"))?;
        process.signal(Signal::Term)?;
        let status = process.wait().await?;
        ensure!(status.success(), "router {router} ended with {status}");
        Ok(())
    }

    /// Stops an agent gracefully and waits for its end.
    pub async fn stop_agent(&mut self, agent: usize) -> Result<()> {
        let mut process = self.agents[agent].process.take().ok_or_else(|| eyre::eyre!("the agent is not running"))?;
        process.signal(Signal::Term)?;
        let status = process.wait().await?;
        ensure!(status.success(), "agent {agent} ended with {status}");
        Ok(())
    }

    /// Routers and agents that ended by themselves, and lines about broken invariants in all logs.
    pub fn collect_failures(&mut self) -> Vec<String> {
        let routers = self.routers.iter_mut().map(|router| (&router.id, &mut router.process));
        let agents = self.agents.iter_mut().map(|agent| (&agent.id, &mut agent.process));
        let ended = routers.chain(agents).filter_map(|(id, process)| {
            let status = process.as_mut()?.exit_status()?;
            Some(format!("{id} ended with {status}"))
        });
        let mut failures: Vec<String> = ended.collect();
        for entry in fs::read_dir(&self.dir).into_iter().flatten().flatten() {
            let text = fs::read(entry.path()).unwrap_or_default();
            let text = String::from_utf8_lossy(&text);
            let name = entry.file_name().to_string_lossy().into_owned();
            let broken = text.lines().filter(|line| line.contains("invariant_broken") || line.contains("panicked at"));
            failures.extend(broken.map(|line| format!("{name}: {line}")));
        }
        failures
    }

    /// Processor time used so far by all routers and all agents.
    pub fn cpu_seconds(&self) -> Result<CpuSeconds> {
        let sum = |processes: Vec<&Process>| processes.into_iter().map(Process::cpu_seconds).sum::<Result<f64>>();
        Ok(CpuSeconds {
            routers: sum(self.routers.iter().filter_map(|router| router.process.as_ref()).collect())?,
            agents: sum(self.agents.iter().filter_map(|agent| agent.process.as_ref()).collect())?,
        })
    }

    /// Resident memory of a router in megabytes.
    pub fn router_memory_mb(&self, router: usize) -> Result<f64> {
        let process = self.routers[router].process.as_ref();
        process.ok_or_else(|| eyre::eyre!("the router is not running"))?.memory_mb()
    }

    /// Resident memory of all agents together in megabytes.
    pub fn agents_memory_mb(&self) -> Result<f64> {
        self.agents.iter().filter_map(|agent| agent.process.as_ref()).map(Process::memory_mb).sum()
    }

    /// Copies the logs to a directory that outlives the fleet.
    pub fn save_logs(&self) -> PathBuf {
        let kept = self.dir.with_extension("logs");
        let _ = fs::create_dir_all(&kept);
        let entries = fs::read_dir(&self.dir).into_iter().flatten().flatten();
        for entry in entries.filter(|entry| entry.path().extension().is_some_and(|ext| ext == "log")) {
            let _ = fs::copy(entry.path(), kept.join(entry.file_name()));
        }
        kept
    }

    fn spawn_daemon(&self, role: &str, id: &str, settings: &Value) -> Result<Process> {
        let path = self.dir.join(format!("{id}.yaml"));
        fs::write(&path, settings.to_string()).wrap_err_with(|| format!("could not write {}", path.display()))?;
        let path = path.to_string_lossy().into_owned();
        let threads = self.worker_threads.map(|threads| ("TOKIO_WORKER_THREADS", threads.to_string()));
        let variables: Vec<_> = threads.into_iter().collect();
        Process::spawn_with(id, "eelgrasswelld", &[role, "--settings", &path], &self.log_path(id), &variables)
    }

    fn router_settings(&self, index: usize) -> Value {
        let router = &self.routers[index];
        let platform = self.links.as_ref().map_or(self.platform.address, |links| links.platform[index].address());
        json!({
            "host": self.host_settings(&router.id, router.domain, router.inner),
            "callers": router.callers,
            "operators": router.operators,
            "operator_credential": self.operator_credential(),
            "platform": platform,
            "seeds": self.routers.iter().map(|other| other.inner).collect::<Vec<_>>(),
        })
    }

    fn agent_settings(&self, agent: usize) -> Value {
        let agent = &self.agents[agent];
        let loaded = agent.plan.loaded.iter().map(|(model, version)| json!({"model": model, "version": version}));
        json!({
            "host": self.host_settings(&agent.id, agent.plan.domain, agent.inner),
            "service": agent.plan.service,
            "backend": agent.engine.address,
            "operators": agent.operators,
            "loaded": loaded.collect::<Vec<_>>(),
        })
    }

    fn host_settings(&self, id: &str, domain: &str, inner: SocketAddr) -> Value {
        let credential: &Path = &self.dir.join("inner.credential");
        json!({
            "id": id, "domain": domain, "inner": inner, "inner_credential": credential,
            "log_level": "info", "fatal_invariants": true,
        })
    }
}

async fn inner_link(inner: SocketAddr) -> Result<FaultLink> {
    FaultLink::open(SocketAddr::new(inner.ip(), INNER_LINK_PORT), inner).await
}

/// Processor time in seconds.
#[derive(Clone, Copy, Debug)]
pub struct CpuSeconds {
    /// Of all routers together.
    pub routers: f64,
    /// Of all agents together.
    pub agents: f64,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("logs kept in {}", self.save_logs().display());
        }
        self.routers.clear();
        self.agents.clear();
        self.platform.process = None;
        let _ = fs::remove_dir_all(&self.dir);
    }
}
