//! Many agents in one process. Each has its own agent state, listener and link service, but no backend server.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    path::Path,
    pin::Pin,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::Instant,
};

use eelgrasswell_core::{id::Revision, unit::Millis};
use eelgrasswell_daemon::agent::{Agent, service::AgentService};
use eelgrasswell_manifest::settings::{AgentSettings, AnswerLimits, HostSettings, LoadedVersion};
use eelgrasswell_proto::v1::agent_server::AgentServer;
use eyre::{Result, WrapErr};
use futures::stream;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};
use tonic::transport::{
    Server,
    server::{Connected, TcpConnectInfo},
};

/// Service that all the agents belong to.
const SERVICE: &str = "loan-desk";

/// Running agents. They stop when this is dropped.
pub struct InProcessAgents {
    members: Vec<Member>,
    metrics: PrometheusHandle,
    counters: Arc<Counters>,
}

/// A running agent.
struct Member {
    settings: AgentSettings,
    agent: Agent,
    /// The agent's server, and the task that records its adoptions.
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Member {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Counters shared by all agents. [`LinkTraffic`] describes the numbers.
#[derive(Default)]
struct Counters {
    received: AtomicU64,
    sent: AtomicU64,
    reads: AtomicU64,
    writes: AtomicU64,
    accepted: AtomicU64,
    adoptions: Mutex<Vec<Adoption>>,
}

/// The adoption of a configuration revision by one agent.
#[derive(Clone, Copy, Debug)]
pub struct Adoption {
    /// Index of the agent.
    pub agent: usize,
    /// The adopted revision.
    pub revision: u64,
    /// Time of the adoption.
    pub at: Instant,
}

/// Traffic of all links between routers and agents, from the agents' side.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkTraffic {
    /// Bytes received from routers, without TCP and IP headers.
    pub received: u64,
    /// Bytes sent to routers, without TCP and IP headers.
    pub sent: u64,
    /// Number of reads that returned bytes. In an idle cluster each is about one TCP segment.
    pub reads: u64,
    /// Number of writes. In an idle cluster each is about one TCP segment.
    pub writes: u64,
    /// Number of accepted connections.
    pub accepted: u64,
}

impl InProcessAgents {
    /// Starts `count` agents and assigns them to the failure domains in turn. `credential` is the file with the inner
    /// credential.
    pub async fn spawn(count: usize, domains: &[String], credential: &Path) -> Result<Self> {
        let metrics = PrometheusBuilder::new().build_recorder().handle();
        let mut agents = Self { members: Vec::new(), metrics, counters: Arc::default() };
        for i in 0..count {
            let domain = &domains[i % domains.len()];
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.wrap_err("could not bind an agent")?;
            let settings = agent_settings(i, domain, listener.local_addr()?, credential);
            let member = agents.start_agent(i, settings, listener).await?;
            agents.members.push(member);
        }
        Ok(agents)
    }

    /// Number of agents.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Entries of the agents in the platform's host list.
    pub fn host_entries(&self) -> Vec<Value> {
        let entry = |settings: &AgentSettings| {
            json!({
                "id": settings.host.id, "role": "agent", "domain": settings.host.domain,
                "address": settings.host.inner, "service": settings.service,
            })
        };
        self.members.iter().map(|member| entry(&member.settings)).collect()
    }

    /// The lowest configuration revision that is in force at any agent; 0 if there are no agents.
    pub fn lowest_revision(&self) -> u64 {
        self.members.iter().map(|member| member.agent.config.revision().0).min().unwrap_or(0)
    }

    /// Traffic since the start.
    pub fn traffic(&self) -> LinkTraffic {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let counters = &self.counters;
        LinkTraffic {
            received: load(&counters.received),
            sent: load(&counters.sent),
            reads: load(&counters.reads),
            writes: load(&counters.writes),
            accepted: load(&counters.accepted),
        }
    }

    /// Returns the adoptions since the last call and clears the list.
    pub fn take_adoptions(&self) -> Vec<Adoption> {
        std::mem::take(&mut *self.counters.adoptions.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Stops all agents and starts them again at the same addresses, with empty state.
    pub async fn restart(&mut self) -> Result<()> {
        for member in &mut self.members {
            member.agent.closing.send_replace(true);
            member.tasks.iter().for_each(JoinHandle::abort);
        }
        for i in 0..self.members.len() {
            for task in self.members[i].tasks.drain(..) {
                let _ = task.await;
            }
            let settings = self.members[i].settings.clone();
            let address = settings.host.inner;
            let listener =
                TcpListener::bind(address).await.wrap_err_with(|| format!("could not bind agent {address}"))?;
            self.members[i] = self.start_agent(i, settings, listener).await?;
        }
        Ok(())
    }

    async fn start_agent(&self, index: usize, settings: AgentSettings, listener: TcpListener) -> Result<Member> {
        let agent = Agent::open(settings.clone(), self.metrics.clone()).await?;
        let service = AgentServer::new(AgentService::new(agent.clone()));
        let counters = Arc::clone(&self.counters);
        let incoming = stream::unfold((listener, counters), async |(listener, counters)| {
            let accepted = listener.accept().await.map(|(stream, _)| {
                let _ = stream.set_nodelay(true);
                counters.accepted.fetch_add(1, Ordering::Relaxed);
                CountedConnection { stream, counters: Arc::clone(&counters) }
            });
            Some((accepted, (listener, counters)))
        });
        let server = tokio::spawn(async move {
            let _ = Server::builder().add_service(service).serve_with_incoming(Box::pin(incoming)).await;
        });
        let adoption_recorder = tokio::spawn(record_adoptions(agent.clone(), index, Arc::clone(&self.counters)));
        Ok(Member { settings, agent, tasks: vec![server, adoption_recorder] })
    }
}

/// Records each revision that the agent adopts, without end. If several come at once, records only the last one.
async fn record_adoptions(agent: Agent, index: usize, counters: Arc<Counters>) {
    let mut revision = Revision(0);
    loop {
        agent.config.wait_for_revision(Revision(revision.0 + 1)).await;
        let at = Instant::now();
        revision = agent.config.revision();
        let adoption = Adoption { agent: index, revision: revision.0, at };
        counters.adoptions.lock().unwrap_or_else(PoisonError::into_inner).push(adoption);
    }
}

fn agent_settings(index: usize, domain: &str, inner: SocketAddr, credential: &Path) -> AgentSettings {
    let version = |model: &str, version: &str| LoadedVersion { model: model.into(), version: version.into() };
    let loaded = [("plan-small", "v1"), ("plan-small", "v2"), ("plan-large", "v1"), ("plan-large", "v2")];
    AgentSettings {
        host: HostSettings {
            id: format!("agent-{index}").as_str().into(),
            domain: domain.into(),
            inner,
            inner_credential: credential.to_owned(),
            drain: Millis(0),
            log_level: "info".into(),
            fatal_invariants: false,
        },
        service: SERVICE.into(),
        // The discard port, because there is no backend server.
        backend: SocketAddr::from((Ipv4Addr::LOCALHOST, 9)),
        operators: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        loaded: loaded.iter().map(|(model, name)| version(model, name)).collect(),
        answers: AnswerLimits::default(),
    }
}

/// A connection that counts its reads, writes and bytes.
struct CountedConnection {
    stream: TcpStream,
    counters: Arc<Counters>,
}

impl CountedConnection {
    /// Counts a successful write and passes its result on.
    fn count_write(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(len)) = written {
            self.counters.sent.fetch_add(len as u64, Ordering::Relaxed);
            self.counters.writes.fetch_add(1, Ordering::Relaxed);
        }
        written
    }
}

impl Connected for CountedConnection {
    type ConnectInfo = TcpConnectInfo;

    fn connect_info(&self) -> TcpConnectInfo {
        self.stream.connect_info()
    }
}

impl AsyncRead for CountedConnection {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let len = buf.filled().len() - before;
        if len > 0 {
            self.counters.received.fetch_add(len as u64, Ordering::Relaxed);
            self.counters.reads.fetch_add(1, Ordering::Relaxed);
        }
        read
    }
}

impl AsyncWrite for CountedConnection {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
