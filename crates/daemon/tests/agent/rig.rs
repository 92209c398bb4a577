//! Test rig: an agent process, a stand-in for its backend server and the router's side of the protocol.

use std::{
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::Duration,
};

use eelgrasswell_core::id::Revision;
use eelgrasswell_daemon::credential::AttachCredential;
use eelgrasswell_manifest::{config::Config, settings};
use eelgrasswell_proto::v1::{
    AgentBeat, BillRecord, ConfigSnapshot, ConfigUpdate, ExecuteEvent, ExecuteRequest, Finished, ResumeRequest,
    RouterBeat, agent_client::AgentClient, execute_event::Event,
};
use eelgrasswell_testbed::engine::{Engine, Options};
use serde_json::{Value, json};
use tokio::{
    sync::mpsc,
    time::{interval, sleep, timeout},
};
use tokio_stream::wrappers::ReceiverStream;
use tonic::{
    Streaming,
    service::interceptor::InterceptedService,
    transport::{Channel, Endpoint},
};

/// Timeout of each wait, far above the duration of any step.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Drain limit of the agent in milliseconds. Less than the 5 s after which bills are offered to other routers while the
/// agent is not leaving.
const DRAIN_MS: u64 = 4_500;
/// Flow-control window of a stream, in bytes.
const STREAM_WINDOW_BYTES: u32 = 64 << 10;
static NEXT_DIR: AtomicU64 = AtomicU64::new(0);

pub type Client = AgentClient<InterceptedService<Channel, AttachCredential>>;

/// A running agent with its engine.
pub struct Rig {
    pub engine: Engine,
    pub client: Client,
    pub inner: SocketAddr,
    pub operators: SocketAddr,
    pub child: Child,
    pub dir: PathBuf,
}

/// An open link to the agent.
pub struct Link {
    pub tx: mpsc::Sender<RouterBeat>,
    pub beats: Streaming<AgentBeat>,
    /// Last heartbeat that was not brief.
    last_full: AgentBeat,
}

/// The events of an answer, collected up to its end.
#[derive(Debug, Default)]
pub struct Reply {
    pub accepted: bool,
    pub status: u32,
    pub body: Vec<u8>,
    pub end: Option<Event>,
}

impl Rig {
    /// Starts an agent of `service` with `extra` lines in its settings.
    pub async fn start(service: &str, extra: &str) -> Self {
        Self::start_with(service, extra, Options::default()).await
    }

    /// Starts an agent like `start`, in front of an engine with `options`.
    pub async fn start_with(service: &str, extra: &str, options: Options) -> Self {
        Self::start_with_engine(Engine::spawn("127.0.0.1:0".parse().unwrap(), options).await.unwrap(), service, extra)
            .await
    }

    /// Starts a second agent in front of the same engine, as after a restart.
    pub async fn start_second(other: &Self) -> Self {
        Self::start_with_engine(other.engine.clone(), "loan-models", "").await
    }

    async fn start_with_engine(engine: Engine, service: &str, extra: &str) -> Self {
        let number = NEXT_DIR.fetch_add(1, Ordering::Relaxed);
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("agent-{}-{number}", std::process::id()));
        fs::create_dir_all(&dir).unwrap();
        fs::write(dir.join("secret"), "inner-secret\n").unwrap();
        let settings = format!(
            "host:\n  id: worker-1\n  domain: nadi\n  inner: 127.0.0.1:0\n  inner_credential: {secret}\n  \
             drain: {DRAIN_MS}\n  fatal_invariants: true\n  log_level: debug\nservice: {service}\nbackend: {backend}\n\
             operators: 127.0.0.1:0\nloaded:\n  - {{model: loan-desk, version: v1}}\n  - {{model: loan-desk, version: v2}}\n{extra}",
            secret = dir.join("secret").display(),
            backend = engine.address(),
        );
        fs::write(dir.join("agent.yaml"), settings).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_eelgrasswelld"))
            .args(["agent", "--settings"])
            .arg(dir.join("agent.yaml"))
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let line = loop {
            let mut line = String::new();
            assert!(log.read_line(&mut line).unwrap() > 0, "the agent exited before it was ready");
            eprint!("{line}");
            if line.contains("event=agent_started") {
                break line;
            }
        };
        thread::spawn(move || log.lines().map_while(Result::ok).for_each(|line| eprintln!("{line}")));
        let field = |key: &str| {
            let value = line.split_whitespace().find_map(|word| word.strip_prefix(key)).unwrap();
            value.parse().unwrap()
        };
        let (inner, operators) = (field("inner="), field("operators="));
        let client = connect(inner, &dir).await;
        Self { engine, client, inner, operators, child, dir }
    }

    /// Starts an agent and gives it `config`.
    pub async fn configured(service: &str, extra: &str, config: &Config) -> (Self, Link) {
        let rig = Self::start(service, extra).await;
        let link = rig.link(config).await;
        (rig, link)
    }

    /// Opens a link whose first heartbeat carries `config`, and waits until it is in force.
    pub async fn link(&self, config: &Config) -> Link {
        let (tx, rx) = mpsc::channel(8);
        tx.send(beat(Some(config), &[])).await.unwrap();
        let beats = self.client.clone().link(ReceiverStream::new(rx)).await.unwrap().into_inner();
        let mut link = Link { tx, beats, last_full: AgentBeat::default() };
        link.until(|beat| beat.revision >= config.revision.0).await;
        link
    }

    /// Starts a request and returns the stream of its events.
    pub async fn execute(&self, req: ExecuteRequest) -> Streaming<ExecuteEvent> {
        self.client.clone().execute(req).await.unwrap().into_inner()
    }

    pub async fn resume(&self, request_id: &str, customer: &str, offset: u64) -> Streaming<ExecuteEvent> {
        let req = ResumeRequest { request_id: request_id.to_owned(), customer: customer.to_owned(), offset };
        self.client.clone().resume(req).await.unwrap().into_inner()
    }

    /// Runs a request to its end.
    pub async fn run(&self, req: ExecuteRequest) -> Reply {
        read(self.execute(req).await).await
    }

    /// Sends SIGTERM to the agent.
    pub fn terminate(&self) {
        let status = Command::new("kill").args(["-TERM", &self.child.id().to_string()]).status().unwrap();
        assert!(status.success());
    }

    /// Waits until the agent has exited.
    pub async fn wait_for_exit(&mut self) -> ExitStatus {
        eventually(|| self.child.try_wait().unwrap()).await
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

impl Link {
    /// Reads heartbeats until one satisfies `f`, and sends heartbeats in the meantime as a router does. Completes brief
    /// heartbeats with the values of the last full one.
    pub async fn until(&mut self, f: impl Fn(&AgentBeat) -> bool) -> AgentBeat {
        let tx = self.tx.clone();
        let mut ticks = interval(Duration::from_secs(1));
        let search = async {
            loop {
                tokio::select! {
                    next = self.beats.message() => {
                        let mut beat = next.unwrap().expect("the link ended");
                        if beat.brief {
                            assert!(beat.agent.is_empty() && beat.loaded.is_empty() && beat.incarnation == 0);
                            let AgentBeat { agent, incarnation, loaded, domain, service, .. } = self.last_full.clone();
                            beat = AgentBeat { agent, incarnation, loaded, domain, service, ..beat };
                        } else {
                            self.last_full = beat.clone();
                        }
                        if f(&beat) {
                            return beat;
                        }
                    }
                    _ = ticks.tick() => tx.send(beat(None, &[])).await.unwrap(),
                }
            }
        };
        timeout(TIMEOUT, search).await.expect("no matching heartbeat arrived in time")
    }

    /// Sends the agent a newer configuration and waits until it is in force.
    pub async fn configure(&mut self, config: &Config) {
        self.tx.send(beat(Some(config), &[])).await.unwrap();
        self.until(|beat| beat.revision >= config.revision.0).await;
    }

    /// Reports bills as durable.
    pub async fn settle(&self, ids: &[&str]) {
        self.tx.send(beat(None, ids)).await.unwrap();
    }
}

impl Reply {
    pub fn finished(&self) -> &Finished {
        match &self.end {
            Some(Event::Finished(finished)) => finished,
            other => panic!("expected a finished answer, got {other:?}"),
        }
    }

    /// Returns the bill of a finished answer; `None` if the answer has not finished.
    pub fn bill_or_none(&self) -> Option<&BillRecord> {
        match &self.end {
            Some(Event::Finished(finished)) => finished.bill.as_ref(),
            _ => None,
        }
    }

    pub fn bill(&self) -> &BillRecord {
        self.finished().bill.as_ref().unwrap()
    }

    /// Returns the reason and `not_run` of a refusal.
    pub fn refusal(&self) -> (&str, bool) {
        match &self.end {
            Some(Event::Refused(refused)) => (&refused.reason, refused.not_run),
            other => panic!("expected a refusal, got {other:?}"),
        }
    }

    /// Returns the reason and the bill of a failure.
    pub fn failure(&self) -> (&str, Option<&BillRecord>) {
        match &self.end {
            Some(Event::Failed(failed)) => (&failed.reason, failed.bill.as_ref()),
            other => panic!("expected a failure, got {other:?}"),
        }
    }

    /// Whether the answer is no longer held.
    pub fn is_answer_gone(&self) -> bool {
        matches!(&self.end, Some(Event::Failed(failed)) if failed.reason == "answer_gone")
    }

    /// Returns the text of a model's answer, streamed or not.
    pub fn text(&self) -> String {
        if let Ok(answer) = serde_json::from_slice::<Value>(&self.body) {
            return answer["choices"][0]["message"]["content"].as_str().unwrap().to_owned();
        }
        let body = std::str::from_utf8(&self.body).unwrap();
        let events = body.split("\n\n").filter_map(|event| event.strip_prefix("data: "));
        let events = events.filter_map(|event| serde_json::from_str::<Value>(event).ok());
        events.filter_map(|event| event["choices"][0]["delta"]["content"].as_str().map(str::to_owned)).collect()
    }
}

pub async fn connect(inner: SocketAddr, dir: &std::path::Path) -> Client {
    let present = AttachCredential::new(&settings::read_secret(&dir.join("secret")).unwrap()).unwrap();
    let endpoint = Endpoint::from_shared(format!("http://{inner}")).unwrap();
    // With the default of 2 MB the connection would buffer whole answers that are not read.
    let channel = endpoint.initial_stream_window_size(STREAM_WINDOW_BYTES).connect().await.unwrap();
    AgentClient::with_interceptor(channel, present)
}

/// Reads an answer to its end, and checks that its bytes arrive in order and without gaps.
pub async fn read(events: Streaming<ExecuteEvent>) -> Reply {
    read_from(events, Some(0)).await
}

/// Reads the rest of an answer, from any offset.
pub async fn read_rest(events: Streaming<ExecuteEvent>) -> Reply {
    read_from(events, None).await
}

/// Reads an answer to its end. It must start at `offset`, or may start anywhere if that is `None`.
pub async fn read_from(mut events: Streaming<ExecuteEvent>, mut offset: Option<u64>) -> Reply {
    let mut reply = Reply::default();
    while let Some(event) = timeout(TIMEOUT, events.message()).await.expect("no event arrived in time").unwrap() {
        match event.event.unwrap() {
            Event::Accepted(_) => reply.accepted = true,
            Event::Head(head) => reply.status = head.status,
            Event::Data(data) => {
                assert_eq!(data.offset, offset.unwrap_or(data.offset));
                offset = Some(data.offset + data.chunk.len() as u64);
                reply.body.extend_from_slice(&data.chunk);
            }
            Event::Progress(_) => {}
            end => reply.end = Some(end),
        }
    }
    reply
}

/// Calls `f` until it returns a value.
pub async fn eventually<T>(mut f: impl FnMut() -> Option<T>) -> T {
    let search = async {
        loop {
            if let Some(value) = f() {
                return value;
            }
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TIMEOUT, search).await.expect("the condition was not met in time")
}

/// Returns a heartbeat of a router that sends `config` and reports the bills `settled` as durable.
pub fn beat(config: Option<&Config>, settled: &[&str]) -> RouterBeat {
    let update = config.map(|config| ConfigUpdate {
        deltas: Vec::new(),
        snapshot: Some(ConfigSnapshot {
            revision: config.revision.0,
            manifest_revision: config.manifest_revision.0,
            json: serde_json::to_string(config).unwrap(),
            more: false,
        }),
    });
    RouterBeat {
        router: "entry-1".to_owned(),
        incarnation: 7,
        revision: config.map_or(0, |config| config.revision.0),
        confirmed_ms_ago: 0,
        update,
        settled: settled.iter().map(ToString::to_string).collect(),
        leaving: false,
    }
}

/// Returns a configuration with the model `loan-desk` and the plain service `loan-records`.
pub fn config(revision: u64) -> Config {
    let value = json!({
        "revision": revision,
        "manifest_revision": revision,
        "manifest": {
            "domains": {"nadi": {"region": "viti", "in_service": true}},
            "services": {
                "loan-models": {
                    "kind": "model", "max_running": 8, "max_queued": 16, "tokens_limit": 100_000, "cold_limit": 4,
                    "warm_interval": 200,
                },
                "loan-records": {
                    "kind": "plain", "max_running": 8, "cold_limit": 4, "call_price": 50,
                    "routes": [
                        {"method": "GET", "path": "/records", "idempotent": true},
                        {"method": "POST", "path": "/records", "idempotent": false},
                    ],
                },
            },
            "models": {"loan-desk": {
                "service": "loan-models",
                "current": "v1",
                "versions": {
                    "v1": {"state": "open", "input_price": 2, "output_price": 10},
                    "v2": {"state": "open", "input_price": 3, "output_price": 20},
                },
            }},
            "classes": {},
            "customers": {
                "reef": {
                    "api_key_sha256": "00", "models": {"loan-desk": []}, "services": ["loan-records"],
                },
                "lagoon": {"api_key_sha256": "01", "models": {"loan-desk": ["v1"]}},
            },
            "draining": {},
        },
        "rollouts": {},
    });
    let config: Config = serde_json::from_value(value).unwrap();
    assert_eq!(config.revision, Revision(revision));
    config
}

/// Returns a request to the model.
pub fn model_request(request_id: &str, stream: bool, max_tokens: u64) -> ExecuteRequest {
    let body = json!({
        "model": "loan-desk",
        "messages": [{"role": "user", "content": "what is owed"}],
        "max_tokens": max_tokens,
        "stream": stream,
    });
    ExecuteRequest {
        request_id: request_id.to_owned(),
        customer: "reef".to_owned(),
        model: "loan-desk".to_owned(),
        version: "v1".to_owned(),
        revision: 1,
        method: "POST".to_owned(),
        path: "/v1/chat/completions".to_owned(),
        body: body.to_string().into(),
        prompt_tokens: 3,
        max_output_tokens: max_tokens,
        priority: 1,
        idempotent: true,
        router: "entry-1".to_owned(),
        router_incarnation: 7,
        stream,
        ..ExecuteRequest::default()
    }
}

/// Returns a non-idempotent request to the plain service.
pub fn booking_request(request_id: &str) -> ExecuteRequest {
    ExecuteRequest {
        request_id: request_id.to_owned(),
        customer: "reef".to_owned(),
        service: "loan-records".to_owned(),
        revision: 1,
        method: "POST".to_owned(),
        path: "/records/42".to_owned(),
        headers: vec![eelgrasswell_proto::v1::Header { name: "idempotency-key".to_owned(), value: "key-1".to_owned() }],
        body: "deposit".into(),
        claim_fence: 1,
        router_incarnation: 7,
        ..ExecuteRequest::default()
    }
}

/// Returns a copy of `config` with the next revision and the changes of `f`.
pub fn changed(config: &Config, f: impl FnOnce(&mut Config)) -> Config {
    let mut config = config.clone();
    config.revision.0 += 1;
    config.manifest_revision.0 += 1;
    f(&mut config);
    config
}

/// Returns the status and text of a page of the operators' endpoint.
pub async fn page(address: SocketAddr, path: &str) -> (u16, String) {
    use http_body_util::BodyExt;
    let client = hyper_util::client::legacy::Client::builder(hyper_util::rt::TokioExecutor::new())
        .build_http::<http_body_util::Empty<bytes::Bytes>>();
    let response = client.get(format!("http://{address}{path}").parse().unwrap()).await.unwrap();
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    (status, String::from_utf8(body.to_vec()).unwrap())
}
