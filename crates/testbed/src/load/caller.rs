//! Callers that send a seeded mix of requests and record every answer.

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

/// Timeout of one attempt, after which the caller tries another router.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after which a caller stops retrying a request.
const RETRY_LIMIT: Duration = Duration::from_secs(30);
/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Settings of a load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Seed of the request mix.
    pub seed: u64,
    /// Number of callers, each of which sends one request at a time.
    pub callers: usize,
    /// Delay of a caller between two requests.
    pub pause: Duration,
    /// Addresses of the routers' endpoints for callers.
    pub routers: Vec<SocketAddr>,
}

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Chat whose answer is a stream.
    Stream,
    /// Chat whose answer is one JSON document.
    NonStreaming,
    /// Chat within a session, whose answer is one JSON document.
    Session,
    /// Idempotent request to the plain service.
    Read,
    /// Non-idempotent request to the plain service.
    Booking,
}

/// Outcome of a request as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete answer arrived and is the expected one.
    Correct,
    /// The complete answer arrived but is not the expected one. Holds the answer or what is wrong with it.
    Incorrect(String),
    /// Rejected with outcome `not_run`. Holds the reason.
    NotRun(String),
    /// Failed, so that the request may have run. Holds the reason.
    Unknown(String),
    /// No complete answer or rejection arrived in time. Holds the last error.
    NoAnswer(String),
}

/// Record of one request.
#[derive(Clone, Debug)]
pub struct Record {
    /// Kind of the request.
    pub kind: CallKind,
    /// Customer that sent the request.
    pub customer: &'static str,
    /// Idempotency key; empty for all kinds but bookings.
    pub idempotency_key: String,
    /// Request ids in the routers' answers and rejections, of all attempts.
    pub request_ids: Vec<String>,
    /// Request id of the answer; empty if there is none.
    pub answer_id: String,
    /// Cost in the answer's header or trailer `x-cost-micros`, in micros.
    pub cost: Option<u64>,
    /// Number of attempts.
    pub attempts: u32,
    /// Whether each attempt was rejected as not run.
    pub always_not_run: bool,
    /// Whether the answer broke off, so that the caller fetched the rest.
    pub interrupted: bool,
    /// Time of the first attempt.
    pub sent_at: Instant,
    /// Time at which the outcome was known.
    pub ended_at: Instant,
    /// Outcome of the last attempt.
    pub outcome: Outcome,
}

/// Running callers, which send requests until `finish` is called.
pub struct LoadGenerator {
    stop: Arc<AtomicBool>,
    completed: watch::Receiver<u64>,
    tasks: Vec<JoinHandle<Vec<Record>>>,
}

impl LoadGenerator {
    /// Starts the callers of a plan.
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
                    records.push(caller.send_request().await);
                    tx.send_modify(|completed| *completed += 1);
                    sleep(plan.pause).await;
                }
                records
            })
        });
        let tasks = tasks.collect();
        Self { stop, completed, tasks }
    }

    /// Waits until `requests` more requests have completed, with any outcome.
    pub async fn wait_completed(&self, requests: u64) -> Result<()> {
        let mut completed = self.completed.clone();
        let target = *completed.borrow() + requests;
        completed.wait_for(|completed| *completed >= target).await?;
        Ok(())
    }

    /// Stops the callers after their current requests and returns all records.
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

/// Outcome of one attempt, and whether the caller retries.
enum Attempt {
    Done(Outcome),
    Retry(Outcome),
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

    /// Sends a request of a random kind, with retries, and records it.
    async fn send_request(&mut self) -> Record {
        self.sent += 1;
        let name = format!("{}-{}-{}", self.seed, self.index, self.sent);
        let (customer, api_key) = [("savusavu", SAVUSAVU_KEY), ("labasa", LABASA_KEY)][self.rng.random_range(0..2)];
        // Some callers send a single kind of request, so that each kind is in flight at any time, even while most callers
        // wait for a frozen process.
        let kind = match (self.index % 4, self.rng.random_range(0..10)) {
            (0, _) | (3, 0..4) => CallKind::Stream,
            (1, _) | (3, 4) => CallKind::Session,
            (2, _) | (3, 5) => CallKind::Booking,
            (_, 6..8) => CallKind::NonStreaming,
            _ => CallKind::Read,
        };
        let key = if kind == CallKind::Booking { format!("key-{name}") } else { String::new() };
        let call = self.build_call(kind, &name, &key, customer, api_key);
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
        while started.elapsed() < RETRY_LIMIT {
            record.attempts += 1;
            let router = self.routers[self.rng.random_range(0..self.routers.len())];
            let attempt = self.try_call(&call, router, &mut record).await;
            let (Attempt::Done(outcome) | Attempt::Retry(outcome)) = &attempt;
            record.always_not_run &= matches!(outcome, Outcome::NotRun(_));
            record.outcome = outcome.clone();
            if let Attempt::Done(_) = attempt {
                break;
            }
            sleep(RETRY_DELAY).await;
        }
        record.ended_at = Instant::now();
        record
    }

    fn build_call(&mut self, kind: CallKind, name: &str, key: &str, customer: &'static str, api_key: &str) -> Call {
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

    /// Sends the call to one router, fetches the rest of an interrupted answer, and checks it.
    async fn try_call(&mut self, call: &Call, router: SocketAddr, record: &mut Record) -> Attempt {
        let sent = call.http.send(call.method.clone(), router, &call.path, call.body.clone());
        let response = match timeout(ANSWER_TIMEOUT, sent).await {
            Ok(Ok(response)) => response,
            Ok(Err(err)) => return Attempt::Retry(Outcome::NoAnswer(format!("{err:#}"))),
            Err(_) => return Attempt::Retry(Outcome::NoAnswer("no answer in time".to_owned())),
        };
        let (parts, body) = response.into_parts();
        let request_id = header_text(&parts.headers, "x-request-id");
        if !request_id.is_empty() {
            record.request_ids.push(request_id.clone());
        }
        let (bytes, trailers, complete) = read_body(body).await;
        if parts.status != StatusCode::OK {
            if call.kind == CallKind::Session && String::from_utf8_lossy(&bytes).contains("version_withdrawn") {
                self.sessions.remove(record.customer);
            }
            return classify_rejection(parts.status, &bytes, record);
        }
        record.cost = parse_cost(&parts.headers).or_else(|| parse_cost(&trailers));
        record.answer_id.clone_from(&request_id);
        let bytes = if complete {
            bytes
        } else {
            record.interrupted = true;
            match self.fetch_rest(call, &request_id, bytes).await {
                Ok(bytes) => bytes,
                Err(err) => return Attempt::Done(Outcome::NoAnswer(format!("answer interrupted: {err:#}"))),
            }
        };
        let version = header_text(&parts.headers, "x-version");
        if call.kind == CallKind::Session {
            let session = header_text(&parts.headers, "x-session");
            let (_, pinned) = self.sessions.entry(record.customer).or_insert_with(|| (session, version.clone()));
            if *pinned != version {
                return Attempt::Done(Outcome::Incorrect(format!("session of {pinned} was served by {version}")));
            }
        }
        Attempt::Done(check_answer(call, &bytes, &version))
    }

    /// Fetches the rest of an interrupted answer through any router, from the byte after the last one received, and
    /// returns the complete answer.
    async fn fetch_rest(&mut self, call: &Call, request_id: &str, mut bytes: Vec<u8>) -> Result<Vec<u8>> {
        let mut last_error = String::new();
        let started = Instant::now();
        while started.elapsed() < RETRY_LIMIT {
            let router = self.routers[self.rng.random_range(0..self.routers.len())];
            let path = format!("/v1/answers/{request_id}?offset={}", bytes.len());
            match timeout(ANSWER_TIMEOUT, call.http.send(Method::GET, router, &path, Bytes::new())).await {
                Ok(Ok(response)) if response.status() == StatusCode::OK => {
                    let (rest, _, complete) = read_body(response.into_body()).await;
                    bytes.extend(rest);
                    if complete {
                        return Ok(bytes);
                    }
                }
                Ok(Ok(response)) => {
                    let status = response.status();
                    let (body, _, _) = read_body(response.into_body()).await;
                    last_error = format!("{status} {}", String::from_utf8_lossy(&body));
                    if status == StatusCode::GONE {
                        break;
                    }
                }
                Ok(Err(err)) => last_error = format!("{err:#}"),
                Err(_) => "no answer in time".clone_into(&mut last_error),
            }
            sleep(RETRY_DELAY).await;
        }
        eyre::bail!("could not fetch the rest of {request_id} from byte {}: {last_error}", bytes.len())
    }
}

/// Decides by the outcome in a rejection whether the caller retries.
fn classify_rejection(status: StatusCode, body: &[u8], record: &mut Record) -> Attempt {
    let error: Value = serde_json::from_slice(body).unwrap_or_default();
    let error = &error["error"];
    let reason = format!("{status} {}", error["reason"].as_str().unwrap_or("without a reason"));
    if let Some(id) = error["request_id"].as_str() {
        record.request_ids.push(id.to_owned());
    }
    match error["outcome"].as_str() {
        // The session has ended because its version was withdrawn, so that a retry would be rejected, too.
        Some("not_run") if error["reason"] == "version_withdrawn" => Attempt::Done(Outcome::NotRun(reason)),
        Some("not_run") => Attempt::Retry(Outcome::NotRun(reason)),
        _ if record.kind == CallKind::Booking => Attempt::Retry(Outcome::Unknown(reason)),
        _ => Attempt::Done(Outcome::Unknown(reason)),
    }
}

/// Reads a body up to its end or the first error. Returns its bytes, its trailers and whether it is complete.
async fn read_body(mut body: hyper::body::Incoming) -> (Vec<u8>, HeaderMap, bool) {
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

/// Compares an answer with the one that the engine stand-in gives to this request. Any non-empty answer of the plain
/// service is correct.
fn check_answer(call: &Call, bytes: &[u8], version: &str) -> Outcome {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let expected = answer_text("plan-small", version, &call.prompt, call.tokens);
    let correct = match call.kind {
        CallKind::Stream => streamed_text(&text).is_some_and(|content| content == expected),
        CallKind::NonStreaming | CallKind::Session => {
            let answer: Value = serde_json::from_slice(bytes).unwrap_or_default();
            answer["choices"][0]["message"]["content"] == expected.as_str()
        }
        CallKind::Read | CallKind::Booking => !bytes.is_empty(),
    };
    if correct { Outcome::Correct } else { Outcome::Incorrect(text) }
}

/// Returns the text of a stream, or `None` if the stream is malformed or lacks its end marker.
fn streamed_text(stream: &str) -> Option<String> {
    let body = stream.trim_end().strip_suffix("data: [DONE]")?;
    let events = body.split("\n\n").filter_map(|event| event.trim().strip_prefix("data: "));
    let events: Vec<Value> = events.map(serde_json::from_str).collect::<Result<_, _>>().ok()?;
    Some(events.iter().filter_map(|event| event["choices"][0]["delta"]["content"].as_str()).collect())
}

fn header_text(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}

fn parse_cost(headers: &HeaderMap) -> Option<u64> {
    headers.get("x-cost-micros")?.to_str().ok()?.parse().ok()
}
