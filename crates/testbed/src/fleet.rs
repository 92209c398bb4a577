//! Runs a fleet on loopback, with each part as a separate process: the platform stand-in, routers, agents and engine
//! stand-ins.

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

/// Port of a router's callers' endpoint.
const CALLERS_PORT: u16 = 7001;
/// Port of the inner endpoint, which other processes of the system call.
const INNER_PORT: u16 = 7002;
/// Port of the operators' endpoint.
const OPERATORS_PORT: u16 = 7003;
/// Port of a stand-in.
const STAND_IN_PORT: u16 = 7004;
/// Port of the fault link in front of an inner endpoint.
const INNER_LINK_PORT: u16 = 7005;
/// Port of the fault link between a router and the platform.
const PLATFORM_LINK_PORT: u16 = 7006;
/// Time within which a fleet must become ready, or another condition must become true.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which conditions are checked.
const POLL: Duration = Duration::from_millis(20);

/// A running fleet. Dropping it ends all its processes.
#[derive(Debug)]
pub struct Fleet {
    dir: PathBuf,
    addresses: AddressBlock,
    worker_threads: Option<u32>,
    /// The platform stand-in.
    pub platform: StandIn,
    /// Routers, in the order of the plan.
    pub routers: Vec<RouterProcess>,
    /// Agents, in the order of the plan.
    pub agents: Vec<AgentProcess>,
    /// HTTP client that sends no credentials.
    pub http: HttpClient,
    /// Fault links, if the plan has `fault_links`.
    pub links: Option<Links>,
    /// Number of hosts that were given a new inner address so far.
    moved_hosts: usize,
}

/// Fault links of a fleet. Calls between shard owners bypass the links, because a router announces the address that it
/// is bound to.
#[derive(Debug)]
pub struct Links {
    /// Link from all routers to an agent, by agent.
    pub agents: Vec<FaultLink>,
    /// Link from the other routers to a router, by router.
    pub routers: Vec<FaultLink>,
    /// Link from a router to the platform, by router.
    pub platform: Vec<FaultLink>,
}

/// A stand-in process.
#[derive(Debug)]
pub struct StandIn {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// The process; `None` while it is stopped.
    pub process: Option<Process>,
}

/// A router process with its addresses.
#[derive(Debug)]
pub struct RouterProcess {
    /// Host id.
    pub id: String,
    /// Address of the callers' endpoint.
    pub callers: SocketAddr,
    /// Address of the operators' endpoint.
    pub operators: SocketAddr,
    /// Address of the inner endpoint.
    pub inner: SocketAddr,
    domain: &'static str,
    /// The process; `None` while it is stopped.
    pub process: Option<Process>,
}

/// An agent process with its engine stand-in.
#[derive(Debug)]
pub struct AgentProcess {
    /// Host id.
    pub id: String,
    /// Address of the inner endpoint. If there is a fault link in front of it, the host list has the link's address.
    pub inner: SocketAddr,
    /// Address of the endpoint for health and metrics.
    pub operators: SocketAddr,
    /// Failure domain, service and loaded versions.
    pub plan: AgentPlan,
    /// The process; `None` while it is stopped.
    pub process: Option<Process>,
    /// The engine stand-in, which is the agent's backend server.
    pub engine: StandIn,
}

/// Loopback addresses of one fleet. Each host has its own IP address, so that ports are fixed and tests that run in
/// parallel do not use each other's addresses.
#[derive(Clone, Copy, Debug)]
struct AddressBlock {
    /// Second octet of the addresses.
    second: u8,
    /// Third octet of the addresses.
    third: u8,
    /// Last octet of the first address.
    base: u8,
}

impl AddressBlock {
    /// Chooses the addresses by the process id and the number of fleets that this process has started.
    fn allocate() -> Self {
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
    /// Starts all processes of a fleet, submits the plan's manifest and waits until all routers are ready.
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

    /// Starts the platform stand-in and publishes the host list. Routers, agents and engine stand-ins get their addresses
    /// but are not started.
    pub async fn prepare(plan: FleetPlan) -> Result<Self> {
        let addresses = AddressBlock::allocate();
        let dir = env::temp_dir().join(format!("eelgrasswell-{}-{}", process::id(), addresses.base));
        fs::create_dir_all(&dir).wrap_err_with(|| format!("could not create {}", dir.display()))?;
        fs::write(dir.join("inner.credential"), "inner-secret")?;
        fs::write(dir.join("operator.credential"), "operator-secret")?;
        let platform = StandIn { address: addresses.address(0, STAND_IN_PORT), process: None };
        let routers = plan.routers.iter().enumerate().map(|(i, domain)| RouterProcess {
            id: format!("router-{i}"),
            callers: addresses.address(i + 1, CALLERS_PORT),
            operators: addresses.address(i + 1, OPERATORS_PORT),
            inner: addresses.address(i + 1, INNER_PORT),
            domain,
            process: None,
        });
        let first_agent = plan.routers.len() + 1;
        let agents = plan.agents.iter().enumerate().map(|(i, agent)| AgentProcess {
            id: format!("agent-{i}"),
            inner: addresses.address(first_agent + i, INNER_PORT),
            operators: addresses.address(first_agent + i, OPERATORS_PORT),
            plan: agent.clone(),
            process: None,
            engine: StandIn { address: addresses.address(first_agent + i, STAND_IN_PORT), process: None },
        });
        let mut fleet = Self {
            dir,
            addresses,
            worker_threads: plan.worker_threads,
            platform,
            routers: routers.collect(),
            agents: agents.collect(),
            http: HttpClient::without_headers(),
            links: None,
            moved_hosts: 0,
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
            links.agents.push(open_inner_link(agent.inner).await?);
        }
        for router in &self.routers {
            links.routers.push(open_inner_link(router.inner).await?);
            let listen = SocketAddr::new(router.inner.ip(), PLATFORM_LINK_PORT);
            links.platform.push(FaultLink::open(listen, self.platform.address).await?);
        }
        Ok(links)
    }

    /// Gives a stopped agent a new inner address. `publish_hosts` puts the address on the host list.
    pub async fn move_agent(&mut self, agent: usize) -> Result<()> {
        let inner = self.allocate_inner_address();
        self.agents[agent].inner = inner;
        if let Some(links) = &mut self.links {
            links.agents[agent] = open_inner_link(inner).await?;
        }
        Ok(())
    }

    /// Gives a stopped router a new inner address. The addresses for callers and operators do not change.
    pub async fn move_router(&mut self, router: usize) -> Result<()> {
        let inner = self.allocate_inner_address();
        self.routers[router].inner = inner;
        if let Some(links) = &mut self.links {
            links.routers[router] = open_inner_link(inner).await?;
        }
        Ok(())
    }

    /// Returns an inner address that no process of this fleet has used before.
    fn allocate_inner_address(&mut self) -> SocketAddr {
        /// Slot of the first spare address for moved hosts. Tests use the slots below it.
        const FIRST_SLOT: usize = 10;
        let slot = FIRST_SLOT + self.moved_hosts;
        self.moved_hosts += 1;
        SocketAddr::new(self.spare_address(slot).ip(), INNER_PORT)
    }

    /// Starts the platform stand-in without any objects.
    pub fn start_platform(&mut self) -> Result<()> {
        let listen = self.platform.address.to_string();
        let process =
            Process::spawn("platform", "examples/platform", &["--listen", &listen], &self.log_path("platform"))?;
        self.platform.process = Some(process);
        Ok(())
    }

    /// Starts a router, which has no state from an earlier process.
    pub fn start_router(&mut self, router: usize) -> Result<()> {
        let settings = self.router_settings(router);
        let id = self.routers[router].id.clone();
        let process = self.spawn_daemon("router", &id, &settings)?;
        self.routers[router].process = Some(process);
        Ok(())
    }

    /// Starts an agent, which has no state from an earlier process.
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

    /// Puts all routers and agents on the platform's host list, by the addresses of their fault links if there are any.
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

    /// Submits a manifest through a router. `expected` is the manifest revision that it replaces.
    pub async fn submit(&self, router: usize, manifest: &Value, expected: u64, submission: &str) -> Result<Reply> {
        let path = format!("/v1/manifest?expected={expected}&submission={submission}");
        self.operator().put_json(self.routers[router].operators, &path, manifest).await
    }

    /// Posts a command to a router's operators' endpoint and returns the reply's JSON body.
    pub async fn command(&self, router: usize, path: &str) -> Result<Value> {
        let reply = self.operator().post_json(self.routers[router].operators, path, &json!({})).await?;
        ensure!(reply.status.is_success(), "could not run {path}: {} {}", reply.status, reply.text());
        reply.json()
    }

    /// Sends a `GET` request to a router's operators' endpoint.
    pub async fn get_operators(&self, router: usize, path: &str) -> Result<Reply> {
        self.operator().get(self.routers[router].operators, path).await
    }

    /// Reads the bills of a customer through a router.
    pub async fn bills(&self, router: usize, customer: &str) -> Result<Value> {
        let reply = self.get_operators(router, &format!("/v1/bills/{customer}")).await?;
        ensure!(reply.status.is_success(), "could not read the bills: {}", reply.text());
        reply.json()
    }

    /// Reads the requests that reached the engine stand-in of an agent, as the stand-in recorded them.
    pub async fn runs(&self, agent: usize) -> Result<Vec<Value>> {
        let reply = self.http.get(self.agents[agent].engine.address, "/runs").await?.json()?;
        let runs = reply.get("runs").unwrap_or(&reply);
        Ok(runs.as_array().cloned().unwrap_or_default())
    }

    /// Changes faults of the platform stand-in; absent fields keep their value.
    pub async fn set_platform_fault(&self, fault: &Value) -> Result<()> {
        let reply = self.http.post_json(self.platform.address, "/fault", fault).await?;
        ensure!(reply.status.is_success(), "could not set a platform fault: {}", reply.text());
        Ok(())
    }

    /// Changes faults of an engine stand-in; absent fields keep their value.
    pub async fn set_engine_fault(&self, agent: usize, fault: &Value) -> Result<()> {
        let reply = self.http.post_json(self.agents[agent].engine.address, "/fault", fault).await?;
        ensure!(reply.status.is_success(), "could not set an engine fault: {}", reply.text());
        Ok(())
    }

    /// Returns a client that sends the API key of a customer.
    pub fn customer(&self, key: &str) -> HttpClient {
        self.http.with("authorization", &format!("Bearer {key}"))
    }

    /// Returns a client that sends the operators' credential.
    pub fn operator(&self) -> HttpClient {
        self.http.with("authorization", "Bearer operator-secret")
    }

    /// Path of the file with the operators' credential.
    pub fn operator_credential(&self) -> PathBuf {
        self.dir.join("operator.credential")
    }

    /// Waits until `/readyz` of all running routers succeeds: a configuration is in force and a link is live.
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

    /// Waits until the agent is ready and all running routers have a link to it.
    pub async fn wait_linked(&self, agent: usize) -> Result<()> {
        let id = self.agents[agent].id.as_str();
        self.wait_until("the agent is ready", async |fleet| {
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

    /// Reads the status of a router.
    pub async fn status(&self, router: usize) -> Result<Value> {
        self.get_operators(router, "/v1/status").await?.json()
    }

    /// Waits until all running routers and agents have at least this revision.
    pub async fn wait_for_revision(&self, revision: u64) -> Result<()> {
        self.wait_until(&format!("revision {revision} is in force everywhere"), async |fleet| {
            let mut updated_agents = HashSet::new();
            for router in (0..fleet.routers.len()).filter(|&router| fleet.routers[router].process.is_some()) {
                let Ok(status) = fleet.status(router).await else { return false };
                if status["revision"].as_u64().is_none_or(|own| own < revision) {
                    return false;
                }
                let links = status["links"].as_array().into_iter().flatten();
                let current = links.filter(|link| link["revision"].as_u64().is_some_and(|own| own >= revision));
                updated_agents.extend(current.filter_map(|link| link["id"].as_str().map(str::to_owned)));
            }
            fleet.agents.iter().all(|agent| agent.process.is_none() || updated_agents.contains(&agent.id))
        })
        .await
    }

    /// Polls until `condition` is true. `description` names the condition in the timeout error.
    pub async fn wait_until(&self, description: &str, condition: impl AsyncFn(&Self) -> bool) -> Result<()> {
        let start = Instant::now();
        while !condition(self).await {
            if start.elapsed() > READY_TIMEOUT {
                bail!(
                    "timed out after {READY_TIMEOUT:?} waiting until {description}; logs in {}",
                    self.save_logs().display()
                );
            }
            sleep(POLL).await;
        }
        Ok(())
    }

    /// Returns an address of this fleet for a fault link or another stand-in. `slot` counts from zero.
    pub fn spare_address(&self, slot: usize) -> SocketAddr {
        self.addresses.address(1 + self.routers.len() + self.agents.len() + slot, STAND_IN_PORT)
    }

    /// Path of a process's log, for messages of failed tests.
    pub fn log_path(&self, name: &str) -> PathBuf {
        self.dir.join(format!("{name}.log"))
    }

    /// Stops a router gracefully and waits until its process has ended.
    pub async fn stop_router(&mut self, router: usize) -> Result<()> {
        let mut process =
            self.routers[router].process.take().ok_or_else(|| eyre::eyre!("the router is not running"))?;
        process.signal(Signal::Term)?;
        let status = process.wait().await?;
        ensure!(status.success(), "router {router} ended with {status}");
        Ok(())
    }

    /// Stops an agent gracefully and waits until its process has ended.
    pub async fn stop_agent(&mut self, agent: usize) -> Result<()> {
        let mut process = self.agents[agent].process.take().ok_or_else(|| eyre::eyre!("the agent is not running"))?;
        process.signal(Signal::Term)?;
        let status = process.wait().await?;
        ensure!(status.success(), "agent {agent} ended with {status}");
        Ok(())
    }

    /// Returns the routers and agents that ended unexpectedly, and the lines about broken invariants and panics in all
    /// logs.
    pub fn collect_failures(&mut self) -> Vec<String> {
        let routers = self.routers.iter_mut().map(|router| (&router.id, &mut router.process));
        let agents = self.agents.iter_mut().map(|agent| (&agent.id, &mut agent.process));
        let exited = routers.chain(agents).filter_map(|(id, process)| {
            let status = process.as_mut()?.exit_status()?;
            Some(format!("{id} ended with {status}"))
        });
        let mut failures: Vec<String> = exited.collect();
        for entry in fs::read_dir(&self.dir).into_iter().flatten().flatten() {
            let text = fs::read(entry.path()).unwrap_or_default();
            let text = String::from_utf8_lossy(&text);
            let name = entry.file_name().to_string_lossy().into_owned();
            let lines = text.lines().filter(|line| line.contains("invariant_broken") || line.contains("panicked at"));
            failures.extend(lines.map(|line| format!("{name}: {line}")));
        }
        failures
    }

    /// Processor time used so far by all running routers and agents.
    pub fn cpu_seconds(&self) -> Result<CpuSeconds> {
        let sum = |processes: Vec<&Process>| processes.into_iter().map(Process::cpu_seconds).sum::<Result<f64>>();
        Ok(CpuSeconds {
            routers: sum(self.routers.iter().filter_map(|router| router.process.as_ref()).collect())?,
            agents: sum(self.agents.iter().filter_map(|agent| agent.process.as_ref()).collect())?,
        })
    }

    /// Resident memory of a router, in megabytes.
    pub fn router_memory_mb(&self, router: usize) -> Result<f64> {
        let process = self.routers[router].process.as_ref();
        process.ok_or_else(|| eyre::eyre!("the router is not running"))?.memory_mb()
    }

    /// Resident memory of all agents together, in megabytes.
    pub fn agents_memory_mb(&self) -> Result<f64> {
        self.agents.iter().filter_map(|agent| agent.process.as_ref()).map(Process::memory_mb).sum()
    }

    /// Copies the logs to a directory that is kept when the fleet is dropped, and returns its path.
    pub fn save_logs(&self) -> PathBuf {
        let saved = self.dir.with_extension("logs");
        let _ = fs::create_dir_all(&saved);
        let entries = fs::read_dir(&self.dir).into_iter().flatten().flatten();
        for entry in entries.filter(|entry| entry.path().extension().is_some_and(|ext| ext == "log")) {
            let _ = fs::copy(entry.path(), saved.join(entry.file_name()));
        }
        saved
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

async fn open_inner_link(inner: SocketAddr) -> Result<FaultLink> {
    FaultLink::open(SocketAddr::new(inner.ip(), INNER_LINK_PORT), inner).await
}

/// Processor time, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct CpuSeconds {
    /// Sum over all routers.
    pub routers: f64,
    /// Sum over all agents.
    pub agents: f64,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("logs saved in {}", self.save_logs().display());
        }
        self.routers.clear();
        self.agents.clear();
        self.platform.process = None;
        let _ = fs::remove_dir_all(&self.dir);
    }
}
