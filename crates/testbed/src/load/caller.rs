//! Callers that send a seeded mix of requests and keep a record of every answer.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use eyre::Result;
use http_body_util::BodyExt;
use hyper::{HeaderMap, Method, StatusCode};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::{
    sync::watch,
    task::JoinHandle,
    time::{Instant, sleep, timeout},
};

use crate::{
    engine::answer_text,
    http::HttpClient,
    plan::{LABASA_KEY, SAVUSAVU_KEY},
};

/// Longest time that a caller waits for one answer before it asks another router.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest time that a caller goes on trying one request.
const GIVE_UP: Duration = Duration::from_secs(30);
/// Time between two attempts.
const PAUSE: Duration = Duration::from_millis(100);

/// What the callers do.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Seed of the mix.
    pub seed: u64,
    /// Callers that send one request after the other.
    pub callers: usize,
    /// Pause of a caller between two requests.
    pub pause: Duration,
    /// Addresses of the routers.
    pub routers: Vec<SocketAddr>,
}

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Streamed chat.
    Stream,
    /// Chat in one piece.
    NonStreaming,
    /// Chat in one piece within a session.
    Session,
    /// Idempotent call of the plain service.
    Read,
    /// Non-idempotent call of the plain service.
    Booking,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer came, and it is the answer to this request.
    Correct,
    /// The whole answer came, and it is another one.
    Incorrect(String),
    /// Refused as not run.
    NotRun(String),
    /// Failed with an unknown outcome.
    Unknown(String),
    /// Nothing definite came in time.
    NoAnswer(String),
}

/// A request with its end.
#[derive(Clone, Debug)]
pub struct Record {
    /// Kind of the request.
    pub kind: CallKind,
    /// Customer that sent it.
    pub customer: &'static str,
    /// Idempotency key; empty unless it is a booking.
    pub idempotency_key: String,
    /// Request ids that routers named, of all attempts.
    pub request_ids: Vec<String>,
    /// Request id of the answer; empty without one.
    pub answer_id: String,
    /// Cost that the answer named, in micros.
    pub cost: Option<u64>,
    /// Attempts at routers.
    pub attempts: u32,
    /// Whether each attempt was refused as not run.
    pub always_not_run: bool,
    /// Whether the answer broke off and its rest was fetched again.
    pub interrupted: bool,
    /// When it was first sent.
    pub sent_at: Instant,
    /// When it ended.
    pub ended_at: Instant,
    /// How it ended.
    pub outcome: Outcome,
}

/// Running callers.
pub struct LoadGenerator {
    stop: Arc<AtomicBool>,
    completed: watch::Receiver<u64>,
    tasks: Vec<JoinHandle<Vec<Record>>>,
}

impl LoadGenerator {
    /// Starts the callers.
    pub fn spawn(plan: &LoadPlan) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let (tx, completed) = watch::channel(0);
        let tx = Arc::new(tx);
        let tasks = (0..plan.callers).map(|index| {
            let (plan, stop, tx) = (plan.clone(), Arc::clone(&stop), Arc::clone(&tx));
            tokio::spawn(async move {
                let mut caller = Caller::new(&plan, index);
                let mut records = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    records.push(caller.request().await);
                    tx.send_modify(|completed| *completed += 1);
                    sleep(plan.pause).await;
                }
                records
            })
        });
        let tasks = tasks.collect();
        Self { stop, completed, tasks }
    }

    /// Waits until `requests` more requests have ended.
    pub async fn wait_completed(&self, requests: u64) -> Result<()> {
        let mut completed = self.completed.clone();
        let goal = *completed.borrow() + requests;
        completed.wait_for(|completed| *completed >= goal).await?;
        Ok(())
    }

    /// Lets the callers finish their requests and returns all records.
    pub async fn finish(self) -> Result<Vec<Record>> {
        self.stop.store(true, Ordering::Relaxed);
        let mut records = Vec::new();
        for task in self.tasks {
            records.extend(task.await?);
        }
        Ok(records)
    }
}

struct Caller {
    rng: ChaCha8Rng,
    index: usize,
    sent: u64,
    seed: u64,
    routers: Vec<SocketAddr>,
    /// Session id and version by customer.
    sessions: HashMap<&'static str, (String, String)>,
}

/// What came of one attempt.
enum Attempt {
    Done(Outcome),
    Again(Outcome),
}

struct Call {
    kind: CallKind,
    method: Method,
    path: String,
    body: Bytes,
    prompt: String,
    tokens: u64,
    http: HttpClient,
}

impl Caller {
    fn new(plan: &LoadPlan, index: usize) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(plan.seed.wrapping_mul(1_000).wrapping_add(index as u64));
        Self { rng, index, sent: 0, seed: plan.seed, routers: plan.routers.clone(), sessions: HashMap::new() }
    }

    async fn request(&mut self) -> Record {
        self.sent += 1;
        let name = format!("{}-{}-{}", self.seed, self.index, self.sent);
        let (customer, api_key) = [("savusavu", SAVUSAVU_KEY), ("labasa", LABASA_KEY)][self.rng.random_range(0..2)];
        // Some callers send one kind only, so that each kind is under way at any time, even when most
        // callers wait for a frozen process.
        let kind = match (self.index % 4, self.rng.random_range(0..10)) {
            (0, _) | (3, 0..4) => CallKind::Stream,
            (1, _) | (3, 4) => CallKind::Session,
            (2, _) | (3, 5) => CallKind::Booking,
            (_, 6..8) => CallKind::NonStreaming,
            _ => CallKind::Read,
        };
        let key = if kind == CallKind::Booking { format!("key-{name}") } else { String::new() };
        let call = self.build(kind, &name, &key, customer, api_key);
        let mut record = Record {
            kind,
            customer,
            idempotency_key: key,
            request_ids: Vec::new(),
            answer_id: String::new(),
            cost: None,
            attempts: 0,
            always_not_run: true,
            interrupted: false,
            sent_at: Instant::now(),
            ended_at: Instant::now(),
            outcome: Outcome::NoAnswer("not sent".to_owned()),
        };
        let started = Instant::now();
        while started.elapsed() < GIVE_UP {
            record.attempts += 1;
            let router = self.routers[self.rng.random_range(0..self.routers.len())];
            let attempt = self.attempt(&call, router, &mut record).await;
            let (Attempt::Done(outcome) | Attempt::Again(outcome)) = &attempt;
            record.always_not_run &= matches!(outcome, Outcome::NotRun(_));
            record.outcome = outcome.clone();
            if let Attempt::Done(_) = attempt {
                break;
            }
            sleep(PAUSE).await;
        }
        record.ended_at = Instant::now();
        record
    }

    fn build(&mut self, kind: CallKind, name: &str, key: &str, customer: &'static str, api_key: &str) -> Call {
        let http = HttpClient::without_headers().with("authorization", &format!("Bearer {api_key}"));
        let tokens = self.rng.random_range(5..60);
        let prompt = format!("request {name}");
        let chat = |stream: bool| {
            json!({
                "model": "plan-small", "stream": stream, "max_tokens": tokens,
                "messages": [{"role": "user", "content": prompt}],
            })
        };
        let (method, path, body) = match kind {
            CallKind::Stream => (Method::POST, "/v1/chat/completions".to_owned(), chat(true).to_string()),
            CallKind::NonStreaming | CallKind::Session => {
                (Method::POST, "/v1/chat/completions".to_owned(), chat(false).to_string())
            }
            CallKind::Read => (Method::GET, format!("/services/loan-records/status/{name}"), String::new()),
            CallKind::Booking => {
                let body = json!({"dispatch": name}).to_string();
                (Method::POST, "/services/loan-records/dispatch".to_owned(), body)
            }
        };
        let http = if key.is_empty() { http } else { http.with("idempotency-key", key) };
        let http = match (kind, self.sessions.get(customer)) {
            (CallKind::Session, Some((session, _))) => http.with("x-session", session),
            (CallKind::Session, None) => http.with("x-session", "new"),
            _ => http,
        };
        Call { kind, method, path, body: body.into(), prompt, tokens, http }
    }

    async fn attempt(&mut self, call: &Call, router: SocketAddr, record: &mut Record) -> Attempt {
        let sent = call.http.send(call.method.clone(), router, &call.path, call.body.clone());
        let response = match timeout(ANSWER_TIMEOUT, sent).await {
            Ok(Ok(response)) => response,
            Ok(Err(err)) => return Attempt::Again(Outcome::NoAnswer(format!("{err:#}"))),
            Err(_) => return Attempt::Again(Outcome::NoAnswer("no answer in time".to_owned())),
        };
        let (parts, body) = response.into_parts();
        let request_id = header(&parts.headers, "x-request-id");
        if !request_id.is_empty() {
            record.request_ids.push(request_id.clone());
        }
        let (bytes, trailers, whole) = read(body).await;
        if parts.status != StatusCode::OK {
            if call.kind == CallKind::Session && String::from_utf8_lossy(&bytes).contains("version_withdrawn") {
                self.sessions.remove(record.customer);
            }
            return refused(parts.status, &bytes, record);
        }
        record.cost = cost(&parts.headers).or_else(|| cost(&trailers));
        record.answer_id.clone_from(&request_id);
        let bytes = if whole {
            bytes
        } else {
            record.interrupted = true;
            match self.fetch_rest(call, &request_id, bytes).await {
                Ok(bytes) => bytes,
                Err(err) => return Attempt::Done(Outcome::NoAnswer(format!("answer cut, {err:#}"))),
            }
        };
        let version = header(&parts.headers, "x-version");
        if call.kind == CallKind::Session {
            let session = header(&parts.headers, "x-session");
            let (_, pinned) = self.sessions.entry(record.customer).or_insert_with(|| (session, version.clone()));
            if *pinned != version {
                return Attempt::Done(Outcome::Incorrect(format!("session of {pinned} was served by {version}")));
            }
        }
        Attempt::Done(check(call, &bytes, &version))
    }

    /// Fetches the rest of a cut answer through any router, from the byte after the last one read.
    async fn fetch_rest(&mut self, call: &Call, request_id: &str, mut bytes: Vec<u8>) -> Result<Vec<u8>> {
        let mut last = String::new();
        let started = Instant::now();
        while started.elapsed() < GIVE_UP {
            let router = self.routers[self.rng.random_range(0..self.routers.len())];
            let path = format!("/v1/answers/{request_id}?offset={}", bytes.len());
            match timeout(ANSWER_TIMEOUT, call.http.send(Method::GET, router, &path, Bytes::new())).await {
                Ok(Ok(response)) if response.status() == StatusCode::OK => {
                    let (rest, _, whole) = read(response.into_body()).await;
                    bytes.extend(rest);
                    if whole {
                        return Ok(bytes);
                    }
                }
                Ok(Ok(response)) => {
                    let status = response.status();
                    let (body, _, _) = read(response.into_body()).await;
                    last = format!("{status} {}", String::from_utf8_lossy(&body));
                    if status == StatusCode::GONE {
                        break;
                    }
                }
                Ok(Err(err)) => last = format!("{err:#}"),
                Err(_) => "no answer in time".clone_into(&mut last),
            }
            sleep(PAUSE).await;
        }
        eyre::bail!("could not fetch the rest of {request_id} from byte {}: {last}", bytes.len())
    }
}

fn refused(status: StatusCode, body: &[u8], record: &mut Record) -> Attempt {
    let error: Value = serde_json::from_slice(body).unwrap_or_default();
    let error = &error["error"];
    let reason = format!("{status} {}", error["reason"].as_str().unwrap_or("without a reason"));
    if let Some(id) = error["request_id"].as_str() {
        record.request_ids.push(id.to_owned());
    }
    match error["outcome"].as_str() {
        // The session ends with its version, so that another attempt would be refused as well.
        Some("not_run") if error["reason"] == "version_withdrawn" => Attempt::Done(Outcome::NotRun(reason)),
        Some("not_run") => Attempt::Again(Outcome::NotRun(reason)),
        _ if record.kind == CallKind::Booking => Attempt::Again(Outcome::Unknown(reason)),
        _ => Attempt::Done(Outcome::Unknown(reason)),
    }
}

/// Reads a body to its end or to the first error; the last value tells whether it is whole.
async fn read(mut body: hyper::body::Incoming) -> (Vec<u8>, HeaderMap, bool) {
    let (mut bytes, mut trailers) = (Vec::new(), HeaderMap::new());
    loop {
        match timeout(ANSWER_TIMEOUT, body.frame()).await {
            Ok(None) => return (bytes, trailers, true),
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(data) => bytes.extend_from_slice(&data),
                Err(frame) => trailers.extend(frame.into_trailers().unwrap_or_default()),
            },
            Ok(Some(Err(_))) | Err(_) => return (bytes, trailers, false),
        }
    }
}

/// Compares an answer with the one that the engine stand-in gives to this request.
fn check(call: &Call, bytes: &[u8], version: &str) -> Outcome {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let expected = answer_text("plan-small", version, &call.prompt, call.tokens);
    let right = match call.kind {
        CallKind::Stream => streamed_text(&text).is_some_and(|content| content == expected),
        CallKind::NonStreaming | CallKind::Session => {
            let answer: Value = serde_json::from_slice(bytes).unwrap_or_default();
            answer["choices"][0]["message"]["content"] == expected.as_str()
        }
        CallKind::Read | CallKind::Booking => !bytes.is_empty(),
    };
    if right { Outcome::Correct } else { Outcome::Incorrect(text) }
}

/// Text of a stream; none when it does not end as a stream should.
fn streamed_text(stream: &str) -> Option<String> {
    let body = stream.trim_end().strip_suffix("data: [DONE]")?;
    let events = body.split("\n\n").filter_map(|event| event.trim().strip_prefix("data: "));
    let events: Vec<Value> = events.map(serde_json::from_str).collect::<Result<_, _>>().ok()?;
    Some(events.iter().filter_map(|event| event["choices"][0]["delta"]["content"].as_str()).collect())
}

fn header(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}

fn cost(headers: &HeaderMap) -> Option<u64> {
    headers.get("x-cost-micros")?.to_str().ok()?.parse().ok()
}
