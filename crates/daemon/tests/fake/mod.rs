//! A router for tests, with scripted agents that run as tonic services in the same process.

pub mod platform;

use std::{
    collections::VecDeque,
    fs,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex},
};

use bytes::Bytes;
use eelgrasswell_core::{
    agent_selection::{AgentView, LoadReport},
    id::{CustomerId, HostId, Incarnation, RequestId, Revision, ServiceName},
    unit::Millis,
};
use eelgrasswell_daemon::{
    callers::endpoint,
    controller::{
        links::Client,
        shards::{ClaimCall, ClaimEnd, ClaimResult},
    },
    filter::{
        self, Chain,
        backends::{Backends, Candidate},
    },
    router::Router,
};
use eelgrasswell_manifest::{
    config::Config,
    settings::{CallerLimits, HostSettings, RouterSettings},
};
use eelgrasswell_proto::v1::{
    self, AgentBeat, ExecuteEvent, ExecuteRequest, OrderReply, OrderRequest, ResolveReply, ResolveRequest,
    ResumeRequest, RouterBeat, agent_client::AgentClient, agent_server, execute_event::Event,
};
use futures::{
    Stream, StreamExt,
    future::{BoxFuture, FutureExt},
    stream,
};
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::TokioExecutor,
};
use metrics_exporter_prometheus::PrometheusBuilder;
use serde_json::{Value, json};
use tokio::{net::TcpListener, sync::oneshot, task::JoinHandle};
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Response, Status, Streaming, transport::Server};

type Events = Pin<Box<dyn Stream<Item = Result<ExecuteEvent, Status>> + Send>>;

/// Behaviour of an agent in one call.
pub enum Script {
    /// Sends the events and ends the stream.
    End(Vec<Event>),
    /// Sends the events and keeps the stream open without further events.
    Hang(Vec<Event>),
    /// Sends the events that the test puts into the channel.
    Live(tokio::sync::mpsc::Receiver<Event>),
    /// Fails the call.
    Fail(Status),
}

/// A scripted agent.
#[derive(Default)]
pub struct FakeAgent {
    /// Scripts for the next calls of `Execute`.
    pub execute: Mutex<VecDeque<Script>>,
    /// Scripts for the next calls of `Resume`.
    pub resume: Mutex<VecDeque<Script>>,
    /// Replies to the next calls of `Resolve`.
    pub resolve: Mutex<VecDeque<v1::resolve_reply::Fate>>,
    /// Received `Execute` requests.
    pub executed: Mutex<Vec<ExecuteRequest>>,
    /// Received `Resume` requests.
    pub resumed: Mutex<Vec<ResumeRequest>>,
}

/// Returns the event stream of a script, or the error of a failed call.
fn run_script(script: Option<Script>, request_id: &str) -> Result<Response<Events>, Status> {
    let to_execute_event = {
        let request_id = request_id.to_owned();
        move |event| Ok(ExecuteEvent { event: Some(with_request_id(event, &request_id)) })
    };
    let events: Events = match script {
        None => return Err(Status::not_found("no script is left")),
        Some(Script::Fail(status)) => return Err(status),
        Some(Script::End(events)) => Box::pin(stream::iter(events).map(to_execute_event)),
        Some(Script::Hang(events)) => Box::pin(stream::iter(events).map(to_execute_event).chain(stream::pending())),
        Some(Script::Live(rx)) => Box::pin(tokio_stream::wrappers::ReceiverStream::new(rx).map(to_execute_event)),
    };
    Ok(Response::new(events))
}

/// Sets the request id of the bill in an event, if the bill has none.
fn with_request_id(mut event: Event, request_id: &str) -> Event {
    if let Event::Finished(v1::Finished { bill: Some(bill), .. }) = &mut event
        && bill.request_id.is_empty()
    {
        bill.request_id = request_id.to_owned();
    }
    event
}

struct AgentService(Arc<FakeAgent>);

#[tonic::async_trait]
impl agent_server::Agent for AgentService {
    type ExecuteStream = Events;
    type ResumeStream = Events;
    type LinkStream = Pin<Box<dyn Stream<Item = Result<AgentBeat, Status>> + Send>>;

    async fn execute(&self, req: tonic::Request<ExecuteRequest>) -> Result<Response<Events>, Status> {
        let req = req.into_inner();
        let script = self.0.execute.lock().unwrap().pop_front();
        let id = req.request_id.clone();
        self.0.executed.lock().unwrap().push(req);
        run_script(script, &id)
    }

    async fn resume(&self, req: tonic::Request<ResumeRequest>) -> Result<Response<Events>, Status> {
        let req = req.into_inner();
        let script = self.0.resume.lock().unwrap().pop_front();
        let id = req.request_id.clone();
        self.0.resumed.lock().unwrap().push(req);
        run_script(script, &id)
    }

    async fn resolve(&self, _: tonic::Request<ResolveRequest>) -> Result<Response<ResolveReply>, Status> {
        let fate = self.0.resolve.lock().unwrap().pop_front();
        let fate = fate.ok_or_else(|| Status::unavailable("no fate is left"))?;
        Ok(Response::new(ResolveReply {
            fate: fate.into(),
            status: 200,
            agent_incarnation: INCARNATION.0,
            ..ResolveReply::default()
        }))
    }

    async fn link(&self, _: tonic::Request<Streaming<RouterBeat>>) -> Result<Response<Self::LinkStream>, Status> {
        Err(Status::unimplemented("no links in this test"))
    }

    async fn order(&self, _: tonic::Request<OrderRequest>) -> Result<Response<OrderReply>, Status> {
        Err(Status::unimplemented("no orders in this test"))
    }
}

/// Agents and claims as the filter chain sees them.
#[derive(Default)]
pub struct FakeBackends {
    /// Agents that can be selected.
    pub candidates: Mutex<Vec<Candidate>>,
    /// Results of the next claims; further claims are `Unavailable`.
    pub claims: Mutex<VecDeque<ClaimResult>>,
    /// Claims that the router requested.
    pub claimed: Mutex<Vec<ClaimCall>>,
    /// Claims that the router ended, by request id.
    pub completed: Mutex<Vec<(RequestId, ClaimEnd)>>,
}

impl Backends for FakeBackends {
    fn candidates(&self, _: &ServiceName) -> Vec<Candidate> {
        self.candidates.lock().unwrap().clone()
    }

    fn client(&self, agent: &HostId) -> Option<Client> {
        let candidates = self.candidates.lock().unwrap();
        candidates.iter().find(|c| c.view.id == *agent).map(|c| c.client.clone())
    }

    fn reconnect(&self, _: &HostId) {}

    fn claim<'a>(&'a self, call: &'a ClaimCall) -> BoxFuture<'a, ClaimResult> {
        self.claimed.lock().unwrap().push(call.clone());
        let result = self.claims.lock().unwrap().pop_front().unwrap_or(ClaimResult::Unavailable);
        async { result }.boxed()
    }

    fn complete<'a>(
        &'a self,
        _: &'a CustomerId,
        _: &'a str,
        request_id: &'a RequestId,
        end: ClaimEnd,
    ) -> BoxFuture<'a, bool> {
        self.completed.lock().unwrap().push((request_id.clone(), end));
        async { true }.boxed()
    }
}

/// A running router with its endpoint for callers, and a client of the endpoint.
pub struct Harness {
    pub router: Router,
    pub backends: Arc<FakeBackends>,
    pub agents: Vec<Arc<FakeAgent>>,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Shuts the endpoint down when it is sent to or dropped.
    pub stop: Option<oneshot::Sender<()>>,
    /// Task that serves the endpoint.
    pub served: JoinHandle<()>,
    client: legacy::Client<HttpConnector, Full<Bytes>>,
}

/// A reply that was received completely.
pub struct Reply {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub trailers: HeaderMap,
    pub body: Bytes,
}

impl Reply {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap()
    }

    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |value| value.to_str().unwrap())
    }
}

/// Default limit on the number of stalled callers.
pub const MAX_STALLED: usize = 100;
/// Incarnation of each agent.
pub const INCARNATION: Incarnation = Incarnation(7);
/// Initial HTTP/2 stream window of the client, in bytes: what it accepts without reading the body.
pub const WINDOW: u32 = 64 << 10;
/// API key of the customer `alma`.
pub const API_KEY: &str = "secret-of-alma";

impl Harness {
    /// Starts a router with `agent_count` agents, each with versions `v1` and `v2` of the model `small` and
    /// version `v1` of `large` loaded.
    pub async fn open(agent_count: usize) -> Self {
        Self::open_with_max_stalled(agent_count, MAX_STALLED).await
    }

    /// Like [`Self::open`], with another limit on the number of stalled callers.
    pub async fn open_with_max_stalled(agent_count: usize, max_stalled: usize) -> Self {
        let dir = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
        let credential = dir.join(format!("inner-{}", uuid::Uuid::new_v4()));
        fs::write(&credential, "inner-secret").unwrap();
        let platform = platform::FakePlatform::default();
        let platform_address = platform.spawn().await;
        let metrics = PrometheusBuilder::new().build_recorder().handle();
        let router = Router::open(settings(&credential, platform_address), metrics).await.unwrap();
        adopt(&router, REVISION, |_| {});
        router.sessions.spawn();
        router.sessions.ready().await;
        let mut agents = Vec::new();
        let backends = Arc::new(FakeBackends::default());
        for n in 0..agent_count {
            let agent = Arc::new(FakeAgent::default());
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            let service = agent_server::AgentServer::new(AgentService(Arc::clone(&agent)));
            let server = Server::builder().add_service(service);
            tokio::spawn(server.serve_with_incoming(TcpListenerStream::new(listener)));
            let candidate = candidate(&format!("host-{n}"), address, &router);
            backends.candidates.lock().unwrap().push(candidate);
            agents.push(agent);
        }
        let listener = endpoint::bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let (stop, stopped) = oneshot::channel();
        let chain_backends: Arc<dyn Backends> = backends.clone();
        let chain = Chain::new(router.clone(), chain_backends).with_max_stalled(max_stalled);
        let served = tokio::spawn(filter::serve_chain(chain, listener, async {
            let _ = stopped.await;
        }));
        let client = legacy::Client::builder(TokioExecutor::new())
            .http2_only(true)
            .http2_initial_stream_window_size(WINDOW)
            .build_http();
        Self { router, backends, agents, address, stop: Some(stop), served, client }
    }

    /// Applies an edited configuration with the next revision.
    pub fn reconfigure(&self, edit: impl FnOnce(&mut Value)) {
        adopt(&self.router, Revision(self.router.config.revision().0 + 1), edit);
    }

    /// Adds a candidate whose address refuses connections.
    pub async fn add_dead_agent(&self, id: &str) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        drop(listener);
        self.backends.candidates.lock().unwrap().push(candidate(id, address, &self.router));
    }

    /// Sets the number of running requests that an agent reports.
    pub fn set_running(&self, agent: usize, running: u32) {
        self.backends.candidates.lock().unwrap()[agent].view.load.running = running;
    }

    /// Starts an authenticated request to the endpoint.
    pub fn request(&self, method: &str, path: &str) -> hyper::http::request::Builder {
        let uri = format!("http://{}{path}", self.address);
        Request::builder().method(method).uri(uri).header("authorization", format!("Bearer {API_KEY}"))
    }

    /// Sends a request and returns the response as soon as its headers have arrived.
    pub async fn send(&self, req: Request<Full<Bytes>>) -> hyper::Response<hyper::body::Incoming> {
        self.client.request(req).await.unwrap()
    }

    /// Sends a request and receives the whole reply.
    pub async fn fetch(&self, req: Request<Full<Bytes>>) -> Reply {
        let (head, body) = self.send(req).await.into_parts();
        let body = body.collect().await.unwrap();
        let trailers = body.trailers().cloned().unwrap_or_default();
        Reply { status: head.status, headers: head.headers, trailers, body: body.to_bytes() }
    }

    pub async fn get(&self, path: &str) -> Reply {
        self.fetch(self.request("GET", path).body(Full::default()).unwrap()).await
    }

    pub fn chat_request(&self, body: Value) -> Request<Full<Bytes>> {
        self.request("POST", "/v1/chat/completions").body(body.to_string().into()).unwrap()
    }

    pub async fn chat(&self, body: Value) -> Reply {
        self.fetch(self.chat_request(body)).await
    }

    /// The `Execute` requests that the agents received, grouped by agent.
    pub fn executed(&self) -> Vec<ExecuteRequest> {
        self.agents.iter().flat_map(|agent| agent.executed.lock().unwrap().clone()).collect()
    }
}

fn candidate(id: &str, address: SocketAddr, router: &Router) -> Candidate {
    let view = AgentView {
        id: id.into(),
        domain: "north".into(),
        outstanding: 0,
        load: LoadReport { limit: 8, ..LoadReport::default() },
        loaded: vec![("small".into(), "v1".into()), ("small".into(), "v2".into()), ("large".into(), "v1".into())],
        leaving: false,
    };
    let (channel, credential) = router.members.channel(address);
    let client = AgentClient::with_interceptor(channel, credential);
    Candidate { view, incarnation: INCARNATION, client, link: None }
}

fn settings(credential: &std::path::Path, platform: SocketAddr) -> RouterSettings {
    let any_port = "127.0.0.1:0".parse().unwrap();
    RouterSettings {
        host: HostSettings {
            id: "entry-0".into(),
            domain: "north".into(),
            inner: any_port,
            inner_credential: credential.to_owned(),
            drain: Millis(10_000),
            log_level: "info".into(),
            fatal_invariants: true,
        },
        callers: any_port,
        operators: any_port,
        operator_credential: credential.to_owned(),
        platform,
        ratings: None,
        seeds: Vec::new(),
        limits: CallerLimits { max_body: eelgrasswell_core::unit::Bytes(4_096), ..CallerLimits::default() },
    }
}

/// Makes the router adopt the edited default configuration with this revision.
fn adopt(router: &Router, revision: Revision, edit: impl FnOnce(&mut Value)) {
    let mut config = config();
    edit(&mut config);
    let config: Config = serde_json::from_value(config).unwrap();
    assert!(router.config.adopt(Config { revision, ..config }));
    router.config.record_confirmation(revision, Millis(0));
}

/// The default configuration.
fn config() -> Value {
    let version = json!({"state": "open", "input_price": 1, "output_price": 2});
    let key = eelgrasswell_core::hash::sha256(&[API_KEY.as_bytes()]);
    let key: String = key.iter().map(|byte| format!("{byte:02x}")).collect();
    json!({
        "revision": 0,
        "manifest_revision": 2,
        "manifest": {
            "domains": {"north": {"region": "r", "in_service": true}},
            "services": {
                "engines": {"kind": "model", "max_running": 8, "cold_limit": 1},
                "booking": {
                    "kind": "plain", "max_running": 8, "cold_limit": 1, "call_price": 5,
                    "routes": [
                        {"method": "GET", "path": "/", "idempotent": true},
                        {"method": "POST", "path": "/book", "idempotent": false},
                    ],
                },
            },
            "models": {
                "small": {
                    "service": "engines", "current": "v1", "prior_quality": 0.9,
                    "versions": {"v1": version, "v2": version},
                },
                "large": {
                    "service": "engines", "current": "v1", "prior_quality": 0.95,
                    "versions": {"v1": {"state": "open", "input_price": 10, "output_price": 20}},
                },
            },
            "classes": {"easy": {"candidates": ["small", "large"]}},
            "customers": {"alma": {
                "api_key_sha256": key,
                "models": {"small": [], "large": []},
                "services": ["booking"],
                "quality_targets": {"easy": 0.8},
            }},
        },
    })
}

/// Head of an event stream with status 200.
pub fn head() -> Event {
    let headers = vec![v1::Header { name: "content-type".into(), value: "text/event-stream".into() }];
    Event::Head(v1::Head { status: 200, headers })
}

pub fn data(offset: u64, text: impl Into<Bytes>) -> Event {
    Event::Data(v1::Data { offset, chunk: text.into() })
}

/// End of an answer of `length` bytes that costs 11 micros.
pub fn finished(length: u64) -> Event {
    finished_with_cost(length, 11)
}

pub fn finished_with_cost(length: u64, cost_micros: u64) -> Event {
    let bill = v1::BillRecord { cost_micros, ..v1::BillRecord::default() };
    Event::Finished(v1::Finished { bill: Some(bill), length })
}

/// Head without headers.
pub fn head_with_status(status: u32) -> Event {
    Event::Head(v1::Head { status, headers: Vec::new() })
}

/// Refusal of a request that has not run.
pub fn refused(reason: &str) -> Event {
    Event::Refused(v1::Refused { reason: reason.into(), not_run: true, ..v1::Refused::default() })
}

pub fn failed(reason: &str) -> Event {
    Event::Failed(v1::Failed { reason: reason.into(), bill: None })
}

/// Revision of the configuration with which the harness starts.
pub const REVISION: Revision = Revision(3);
