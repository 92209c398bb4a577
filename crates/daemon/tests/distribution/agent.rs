//! A fake agent, which replies to each heartbeat of a link with its own, and a proxy in front of it.

use std::{
    mem,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use eelgrasswell_daemon::{
    agent::link,
    clock::Clock,
    config::ConfigHandle,
    platform::{HostEntry, HostRole},
};
use eelgrasswell_proto::v1::{self, AgentBeat, BillRecord, RouterBeat, agent_server};
use futures::Stream;
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    sync::{mpsc, watch},
};
use tokio_stream::wrappers::{ReceiverStream, TcpListenerStream};
use tonic::{Request, Response, Status, Streaming};

/// Forwards connections to an agent. Frozen connections stay open but carry no data; connections that
/// are opened after a freeze work.
pub struct Proxy {
    pub address: SocketAddr,
    frozen: watch::Sender<u64>,
}

impl Proxy {
    pub async fn open(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let frozen = watch::channel(0).0;
        let freezes = frozen.clone();
        tokio::spawn(async move {
            loop {
                let (mut client, _) = listener.accept().await.unwrap();
                let mut freeze = freezes.subscribe();
                tokio::spawn(async move {
                    let mut server = TcpStream::connect(target).await.unwrap();
                    tokio::select! {
                        _ = copy_bidirectional(&mut client, &mut server) => {}
                        _ = freeze.changed() => std::future::pending().await,
                    }
                });
            }
        });
        Self { address, frozen }
    }

    /// Freezes all open connections.
    pub fn freeze(&self) {
        self.frozen.send_modify(|n| *n += 1);
    }
}

/// An event at the fake agent.
#[derive(Debug)]
pub enum LinkEvent {
    /// A router opened a link.
    Opened,
    /// A heartbeat arrived.
    Beat(Box<RouterBeat>),
}

/// Handle on a fake agent.
pub struct FakeAgent {
    pub address: SocketAddr,
    pub config: ConfigHandle,
    pub events: mpsc::UnboundedReceiver<LinkEvent>,
    shared: Arc<Shared>,
}

struct Shared {
    id: String,
    incarnation: AtomicU64,
    unresponsive: AtomicBool,
    unsettled: Mutex<Vec<BillRecord>>,
    config: ConfigHandle,
    /// The received parts of a snapshot whose last part has not arrived yet.
    partial: Mutex<Option<v1::ConfigSnapshot>>,
    tx: mpsc::UnboundedSender<LinkEvent>,
}

struct Service(Arc<Shared>);

impl FakeAgent {
    pub async fn open(id: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (tx, events) = mpsc::unbounded_channel();
        let config = ConfigHandle::open(Clock::start());
        let shared = Arc::new(Shared {
            id: id.into(),
            incarnation: AtomicU64::new(1),
            unresponsive: AtomicBool::new(false),
            unsettled: Mutex::default(),
            config: config.clone(),
            partial: Mutex::default(),
            tx,
        });
        let service = agent_server::AgentServer::new(Service(Arc::clone(&shared)));
        let server = tonic::transport::Server::builder().add_service(service);
        tokio::spawn(server.serve_with_incoming(TcpListenerStream::new(listener)));
        Self { address, config, events, shared }
    }

    /// Makes the agent read heartbeats without replying to them.
    pub fn set_unresponsive(&self, unresponsive: bool) {
        self.shared.unresponsive.store(unresponsive, Ordering::SeqCst);
    }

    /// Includes a bill in the next heartbeat.
    pub fn offer_bill(&self, bill: BillRecord) {
        self.shared.unsettled.lock().unwrap().push(bill);
    }

    /// Changes the incarnation, as a restart does.
    pub fn set_incarnation(&self, incarnation: u64) {
        self.shared.incarnation.store(incarnation, Ordering::SeqCst);
    }

    pub fn entry(&self) -> HostEntry {
        HostEntry {
            id: self.shared.id.as_str().into(),
            role: HostRole::Agent,
            domain: "d1".into(),
            address: self.address,
            service: "engines".into(),
            leaving: false,
        }
    }

    /// Waits for a heartbeat for which `matches` is true.
    pub async fn wait_for_beat(&mut self, what: &str, matches: impl Fn(&RouterBeat) -> bool) -> RouterBeat {
        crate::within(what, async {
            loop {
                match self.events.recv().await.expect("the agent lives as long as the test") {
                    LinkEvent::Beat(beat) if matches(&beat) => return *beat,
                    _ => {}
                }
            }
        })
        .await
    }

    /// Waits for another link to be opened.
    pub async fn wait_for_link(&mut self) {
        crate::within("a link to be opened", async {
            while !matches!(self.events.recv().await, Some(LinkEvent::Opened)) {}
        })
        .await;
    }
}

impl Shared {
    /// Handles a heartbeat and returns the reply.
    fn handle_beat(&self, mut beat: RouterBeat) -> AgentBeat {
        let _ = self.tx.send(LinkEvent::Beat(Box::new(beat.clone())));
        link::join_snapshot_parts(&mut beat, &mut self.partial.lock().unwrap());
        if let Some(update) = &beat.update {
            self.config.apply(update).unwrap();
        }
        AgentBeat {
            agent: self.id.clone(),
            incarnation: self.incarnation.load(Ordering::SeqCst),
            revision: self.config.revision().0,
            load: Some(v1::Load { running: 3, limit: 8, ..Default::default() }),
            domain: "d1".into(),
            service: "engines".into(),
            unsettled: mem::take(&mut self.unsettled.lock().unwrap()),
            ..Default::default()
        }
    }
}

type Events = Pin<Box<dyn Stream<Item = Result<v1::ExecuteEvent, Status>> + Send>>;

#[tonic::async_trait]
impl agent_server::Agent for Service {
    type ExecuteStream = Events;
    type ResumeStream = Events;
    type LinkStream = ReceiverStream<Result<AgentBeat, Status>>;

    async fn execute(&self, _req: Request<v1::ExecuteRequest>) -> Result<Response<Events>, Status> {
        Err(Status::unimplemented("not part of these tests"))
    }

    async fn resume(&self, _req: Request<v1::ResumeRequest>) -> Result<Response<Events>, Status> {
        Err(Status::unimplemented("not part of these tests"))
    }

    async fn resolve(&self, _req: Request<v1::ResolveRequest>) -> Result<Response<v1::ResolveReply>, Status> {
        Err(Status::unimplemented("not part of these tests"))
    }

    async fn order(&self, _req: Request<v1::OrderRequest>) -> Result<Response<v1::OrderReply>, Status> {
        Err(Status::unimplemented("not part of these tests"))
    }

    async fn link(&self, req: Request<Streaming<RouterBeat>>) -> Result<Response<Self::LinkStream>, Status> {
        let shared = Arc::clone(&self.0);
        let mut beats = req.into_inner();
        let (tx, rx) = mpsc::channel(16);
        let _ = shared.tx.send(LinkEvent::Opened);
        tokio::spawn(async move {
            while let Ok(Some(beat)) = beats.message().await {
                let reply = shared.handle_beat(beat);
                if !shared.unresponsive.load(Ordering::SeqCst) && tx.send(Ok(reply)).await.is_err() {
                    return;
                }
            }
        });
        Ok(Response::new(ReceiverStream::new(rx)))
    }
}
