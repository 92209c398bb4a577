//! Stand-in for a backend server of the users' platform: a model engine that streams events, or a plain service.

use std::{
    collections::HashMap,
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use eyre::{Report, Result, WrapErr, eyre};
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::{Frame, Incoming},
    header::HeaderValue,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::{
    net::TcpListener,
    task::JoinHandle,
    time::{Instant, sleep},
};

/// Maximum number of header fields of a request: more than a gateway lets through.
const MAX_FIELDS: usize = 1_000;

type Body = UnsyncBoxBody<Bytes, Report>;

/// How the stand-in handles requests.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Rating that each model gives its own answers, from 0 to 100. Models that are missing give none.
    pub confidence: HashMap<String, u8>,
    /// Number of events in a stream.
    pub events: usize,
    /// Time between two events.
    pub pause: Duration,
    /// Cuts the stream in the middle of this event, counted from 1.
    pub cut_in_event: Option<usize>,
    /// Breaks off the first event of each answer to a prompt with this part, as a server does that crashes.
    pub crashes_on_part: Option<String>,
    /// Sends bytes without end in place of the body of an answer.
    pub endless: bool,
    /// Answers with 500.
    pub fails: bool,
    /// Answers requests that it has run with this status, without saying that they were not run.
    pub fails_with: Option<StatusCode>,
    /// Answers with 404 and a body that breaks off.
    pub breaks_refusal: bool,
    /// Refuses requests without running them.
    pub refuses: bool,
    /// Value of the `Retry-After` field of refusals.
    pub retry_after: Option<String>,
    /// Says in all its responses that it is shutting down.
    pub leaving: bool,
    /// Media type and body with which a stream is resumed, in place of its further events.
    pub resumed: Option<(String, String)>,
    /// Closes the connection after running a request, without a response.
    pub drops_response: bool,
    /// Runs requests but never responds.
    pub unresponsive: bool,
    /// Time before the response begins.
    pub delay: Duration,
    /// Responds with 421, as another server that has taken over the address.
    pub replaced: bool,
    /// Omits the signature from responses.
    pub unsealed: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            confidence: HashMap::new(),
            events: 5,
            pause: Duration::from_millis(5),
            cut_in_event: None,
            crashes_on_part: None,
            endless: false,
            fails: false,
            fails_with: None,
            breaks_refusal: false,
            refuses: false,
            retry_after: None,
            leaving: false,
            resumed: None,
            drops_response: false,
            unresponsive: false,
            delay: Duration::from_millis(2),
            replaced: false,
            unsealed: false,
        }
    }
}

/// A request that the stand-in has run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the caller's attempt.
    pub id: String,
    /// Path and query.
    pub path: String,
    /// Header fields.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Run {
    /// Value of a header field; empty if the field is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }
}

/// A running stand-in. It stops when this is dropped.
pub struct FakeBackend {
    /// Id of the backend server.
    pub id: String,
    address: SocketAddr,
    state: Arc<State>,
    accept_task: JoinHandle<()>,
}

struct State {
    id: String,
    behaviour: Mutex<Behaviour>,
    runs: Mutex<Vec<Run>>,
    arrivals: Mutex<Vec<Instant>>,
    streams: AtomicUsize,
    waiting: AtomicUsize,
}

/// A request that runs and whose response has not begun.
struct WaitingRequest(Arc<State>);

impl WaitingRequest {
    fn new(state: Arc<State>) -> Self {
        state.waiting.fetch_add(1, Ordering::SeqCst);
        Self(state)
    }
}

impl Drop for WaitingRequest {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A stream that is being sent.
struct OpenStream(Arc<State>);

impl OpenStream {
    fn new(state: Arc<State>) -> Self {
        state.streams.fetch_add(1, Ordering::SeqCst);
        Self(state)
    }
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.0.streams.fetch_sub(1, Ordering::SeqCst);
    }
}

impl FakeBackend {
    /// Starts a stand-in on a free port of the loopback address.
    pub async fn bind(id: &str) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.wrap_err("could not bind a backend server")?;
        let address = listener.local_addr()?;
        let state = Arc::new(State {
            id: id.into(),
            behaviour: Mutex::default(),
            runs: Mutex::default(),
            arrivals: Mutex::default(),
            streams: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
        });
        let accept_task = tokio::spawn(accept_connections(listener, Arc::clone(&state)));
        Ok(Self { id: id.into(), address, state, accept_task })
    }

    /// Address at which it serves requests.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes its behaviour for further requests.
    pub fn set_behaviour(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut self.state.behaviour.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Requests that it has run so far.
    pub fn runs(&self) -> Vec<Run> {
        self.state.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Times at which requests have arrived, including those that it did not run.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.state.arrivals.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Number of streams that are being sent.
    pub fn streams(&self) -> usize {
        self.state.streams.load(Ordering::SeqCst)
    }

    /// Number of requests that run and whose response has not begun. A closed connection ends its request.
    pub fn waiting(&self) -> usize {
        self.state.waiting.load(Ordering::SeqCst)
    }

    /// The server's entry in the store.
    pub fn store_entry(&self, service: &str, version: &str, state: &str) -> Value {
        json!({
            "service": service, "address": self.address.to_string(), "zone": "north", "version": version, "slots": 8,
            "state": state, "cold_remaining_ms": 0, "sequence": 1, "born": 1_700_000_000_000_u64,
        })
    }
}

impl Drop for FakeBackend {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

async fn accept_connections(listener: TcpListener, state: Arc<State>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let state = Arc::clone(&state);
        let service = service_fn(move |req| handle_request(Arc::clone(&state), req));
        tokio::spawn(async move {
            // An error is expected if the behaviour cuts off a response.
            let _ = hyper::server::conn::http1::Builder::new()
                .max_headers(MAX_FIELDS)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

async fn handle_request(state: Arc<State>, req: Request<Incoming>) -> Result<Response<Body>, Report> {
    state.arrivals.lock().unwrap_or_else(PoisonError::into_inner).push(Instant::now());
    let leaving = state.behaviour.lock().unwrap_or_else(PoisonError::into_inner).leaving;
    let mut response = run_request(state, req).await?;
    if leaving {
        response.headers_mut().insert("server-leaving", HeaderValue::from_static("1"));
    }
    Ok(response)
}

async fn run_request(state: Arc<State>, req: Request<Incoming>) -> Result<Response<Body>, Report> {
    let mut behaviour = state.behaviour.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let (head, body) = req.into_parts();
    let run = Run {
        id: header_text(&head.headers, "x-attempt-id"),
        path: head.uri.to_string(),
        headers: head.headers,
        body: body.collect().await?.to_bytes(),
    };
    if behaviour.replaced || run.header("x-expect-instance") != state.id {
        return Ok(response(StatusCode::MISDIRECTED_REQUEST, &[("x-instance-id", "another")], "another server"));
    }
    if behaviour.refuses {
        let retry_after = behaviour.retry_after.unwrap_or_default();
        let fields = [("x-not-executed", "1"), ("x-attempt-id", run.id.as_str()), ("retry-after", &retry_after)];
        return Ok(response(StatusCode::SERVICE_UNAVAILABLE, &fields, "full"));
    }
    state.runs.lock().unwrap_or_else(PoisonError::into_inner).push(run.clone());
    let waiting = WaitingRequest::new(Arc::clone(&state));
    sleep(behaviour.delay).await;
    if behaviour.unresponsive {
        std::future::pending::<()>().await;
    }
    drop(waiting);
    if behaviour.drops_response {
        return Err(eyre!("the answer is lost"));
    }
    let seal = if behaviour.unsealed { ("x-unsealed", "1".to_owned()) } else { ("x-response-seal", state.id.clone()) };
    let model = run.header("x-model").to_owned();
    let confidence = behaviour.confidence.get(&model).map_or_else(String::new, u8::to_string);
    let fields = [(seal.0, seal.1.as_str()), ("x-attempt-id", run.id.as_str()), ("x-confidence", confidence.as_str())];
    if let Some(status) = behaviour.fails_with.or(behaviour.fails.then_some(StatusCode::INTERNAL_SERVER_ERROR)) {
        return Ok(response(status, &fields, "failed"));
    }
    if behaviour.breaks_refusal {
        let mut response = response(StatusCode::NOT_FOUND, &fields, "");
        *response.body_mut() = broken_body();
        return Ok(response);
    }
    if behaviour.endless {
        let mut response = response(StatusCode::OK, &fields, "");
        *response.body_mut() = endless_body(OpenStream::new(Arc::clone(&state)));
        return Ok(response);
    }
    if model.is_empty() {
        return Ok(response(StatusCode::OK, &fields, &format!("done by {}", state.id)));
    }
    if let Some((media_type, body)) = behaviour.resumed.as_ref().filter(|_| !run.header("last-event-id").is_empty()) {
        let mut response = response(StatusCode::OK, &fields, body);
        if !media_type.is_empty() {
            response.headers_mut().insert("content-type", HeaderValue::from_str(media_type)?);
        }
        return Ok(response);
    }
    if behaviour.crashes_on_part.as_ref().is_some_and(|part| run.header("x-prompt-prefix").contains(part.as_str())) {
        behaviour.cut_in_event = Some(1);
    }
    let first = header_text(&run.headers, "last-event-id").parse().map_or(1, |last: usize| last + 1);
    let mut response = response(StatusCode::OK, &fields, "");
    *response.body_mut() = event_stream(behaviour, first, model, OpenStream::new(Arc::clone(&state)));
    Ok(response)
}

/// A body that breaks off after its first bytes have been sent.
fn broken_body() -> Body {
    let chunks = stream::iter([0, 1]).then(|number| async move {
        if number == 0 {
            return Ok(Frame::data(Bytes::from_static(b"not f")));
        }
        sleep(Duration::from_millis(20)).await;
        Err(eyre!("the body was cut"))
    });
    StreamBody::new(chunks).boxed_unsync()
}

/// Bytes that are no events, until the caller closes the connection.
fn endless_body(open: OpenStream) -> Body {
    let chunks = stream::unfold(open, |open| async move {
        sleep(Duration::from_millis(1)).await;
        Some((Ok(Frame::data(Bytes::from_static(&[b'x'; 32 << 10]))), open))
    });
    StreamBody::new(chunks).boxed_unsync()
}

/// Events from number `first` to the last. The data of an event depends only on its number and the model.
fn event_stream(behaviour: Behaviour, first: usize, model: String, open: OpenStream) -> Body {
    let events = stream::unfold(Some((first, open)), move |next| {
        let (behaviour, model) = (behaviour.clone(), model.clone());
        async move {
            let (number, open) = next?;
            if number > behaviour.events {
                return None;
            }
            sleep(behaviour.pause).await;
            let event = event(number, &model);
            match behaviour.cut_in_event {
                Some(cut) if cut == number => {
                    Some((Ok(Frame::data(Bytes::from(event[..5].to_owned()))), Some((0, open))))
                }
                _ if number == 0 => Some((Err(eyre!("the stream was cut")), None)),
                _ => Some((Ok(Frame::data(Bytes::from(event))), Some((number + 1, open)))),
            }
        }
    });
    StreamBody::new(events).boxed_unsync()
}

/// One event in the form in which the stand-in sends it.
pub fn event(number: usize, model: &str) -> String {
    format!("id: {number}\ndata: piece {number} by {model}\n\n")
}

fn response(status: StatusCode, fields: &[(&str, &str)], body: &str) -> Response<Body> {
    let mut builder = Response::builder().status(status);
    for (name, value) in fields.iter().filter(|(_, value)| !value.is_empty()) {
        builder = builder.header(*name, *value);
    }
    let body = Full::new(Bytes::from(body.to_owned())).map_err(|never: Infallible| match never {}).boxed_unsync();
    builder.body(body).expect("header fields of the stand-in are valid")
}

fn header_text(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}
