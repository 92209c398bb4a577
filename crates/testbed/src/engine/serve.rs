//! HTTP server of the engine stand-in.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use bytes::Bytes;
use eyre::{Result, WrapErr};
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{Method, Request, Response, StatusCode, body::Frame, body::Incoming, server::conn::http1, service};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::{
    net::{TcpListener, TcpSocket},
    sync::{mpsc, watch},
    task::JoinSet,
    time::sleep,
};

use super::{
    faults::{Faults, FaultsUpdate},
    model::{self, ChatRequest},
    runs::{Run, Runs},
};

type Body = UnsyncBoxBody<Bytes, Infallible>;

/// Service times and concurrency of the stand-in.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Time to the first token, and service time of a call to the plain service.
    pub first_token: Duration,
    /// Time between two tokens.
    pub token_interval: Duration,
    /// Number of requests that can run without slowing each other down.
    pub slots: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self { first_token: Duration::from_millis(5), token_interval: Duration::from_millis(2), slots: 8 }
    }
}

/// A running stand-in. Clones share its state.
#[derive(Clone)]
pub struct Engine {
    address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    options: Options,
    start: Instant,
    state: Mutex<State>,
    /// Current faults. Requests wait on this while `silent` is on.
    faults: watch::Sender<Faults>,
    /// Requests to close the listener and all connections for a time.
    outages: mpsc::Sender<Duration>,
}

#[derive(Default)]
struct State {
    runs: Vec<Run>,
    running: u32,
    peak_running: u32,
    tokens_held: u64,
    start_id: u64,
    fence: u64,
    loaded: Vec<(String, String)>,
    orders: Vec<Value>,
    cancels: Vec<String>,
}

#[derive(Deserialize)]
struct Order {
    action: String,
    model: String,
    version: String,
    #[serde(default)]
    fence: u64,
}

impl Engine {
    /// Binds `listen` and serves in the background. Port 0 lets the system choose a port.
    pub async fn spawn(listen: SocketAddr, options: Options) -> Result<Self> {
        let listener = bind(listen)?;
        let address = listener.local_addr().wrap_err("could not read the bound address")?;
        let (faults, _) = watch::channel(Faults::default());
        let (outages, outages_rx) = mpsc::channel(1);
        let state = State { start_id: 1, ..State::default() };
        let shared = Arc::new(Shared { options, start: Instant::now(), state: Mutex::new(state), faults, outages });
        let engine = Self { address, shared };
        tokio::spawn(engine.clone().accept_connections(listener, outages_rx));
        Ok(engine)
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Requests that reached the stand-in, in order of arrival.
    pub fn runs(&self) -> Vec<Run> {
        self.state().runs.clone()
    }

    /// Request ids for which `/cancel` was called.
    pub fn cancels(&self) -> Vec<String> {
        self.state().cancels.clone()
    }

    /// Changes the faults, and resets the peak of running requests.
    pub async fn update_faults(&self, update: &FaultsUpdate) {
        self.shared.faults.send_modify(|faults| faults.apply(update));
        {
            let mut state = self.state();
            state.peak_running = state.running;
            state.start_id += u64::from(update.restarted);
        }
        if let Some(ms) = update.down_ms {
            let _ = self.shared.outages.send(Duration::from_millis(ms)).await;
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().expect("no holder of the lock panics")
    }

    async fn accept_connections(self, mut listener: TcpListener, mut outages: mpsc::Receiver<Duration>) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((socket, _)) = accepted else { continue };
                    let _ = socket.set_nodelay(true);
                    let engine = self.clone();
                    connections.spawn(async move {
                        let handler = service::service_fn(move |req| engine.clone().handle_request(req));
                        let _ = http1::Builder::new().serve_connection(TokioIo::new(socket), handler).await;
                    });
                }
                Some(_) = connections.join_next() => {}
                Some(duration) = outages.recv() => {
                    drop(listener);
                    connections.shutdown().await;
                    sleep(duration).await;
                    listener = loop {
                        match bind(self.address) {
                            Ok(listener) => break listener,
                            Err(_) => sleep(Duration::from_millis(10)).await,
                        }
                    };
                }
            }
        }
    }

    async fn handle_request(self, req: Request<Incoming>) -> Result<Response<Body>, hyper::Error> {
        let (head, body) = req.into_parts();
        let body = body.collect().await?.to_bytes();
        let path = head.uri.path().to_owned();
        let response = match (&head.method, path.as_str()) {
            (&Method::GET, "/load") => json_response(StatusCode::OK, &self.load()),
            (&Method::GET, "/runs") => {
                let runs = Runs { runs: self.runs() };
                json_response(StatusCode::OK, &serde_json::to_value(runs).expect("runs serialise to JSON"))
            }
            (&Method::POST, "/fault") => match serde_json::from_slice::<FaultsUpdate>(&body) {
                Ok(update) => {
                    self.update_faults(&update).await;
                    json_response(StatusCode::OK, &json!({}))
                }
                Err(err) => error(StatusCode::BAD_REQUEST, &err.to_string()),
            },
            (&Method::POST, "/orders") => self.execute_order(&body),
            (&Method::POST, path) if path.starts_with("/cancel/") => self.cancel_request(&path["/cancel/".len()..]),
            _ => {
                let run = self.start_run(&head, body.len() as u64);
                self.wait_while_silent().await;
                match path.as_str() {
                    "/v1/chat/completions" => self.serve_chat(run, &body).await,
                    _ => self.serve_call(run, &head.method, &body).await,
                }
            }
        };
        Ok(response)
    }

    /// Waits while the fault `silent` is on.
    async fn wait_while_silent(&self) {
        let _ = self.shared.faults.subscribe().wait_for(|faults| !faults.silent).await;
    }

    /// Records a request as running.
    fn start_run(&self, head: &hyper::http::request::Parts, bytes: u64) -> RunGuard {
        let header = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default().to_owned();
        let mut state = self.state();
        state.running += 1;
        state.peak_running = state.peak_running.max(state.running);
        let run = Run {
            request_id: header("x-request-id"),
            path: head.uri.path_and_query().map(ToString::to_string).unwrap_or_default(),
            method: head.method.to_string(),
            idempotency_key: header("idempotency-key"),
            version: header("x-version"),
            bytes,
            at_ms: u64::try_from(self.shared.start.elapsed().as_millis()).unwrap_or(u64::MAX),
            running: state.running,
            cold: self.shared.faults.borrow().cold,
            ..Run::default()
        };
        state.runs.push(run.clone());
        RunGuard { engine: self.clone(), index: state.runs.len() - 1, tokens_held: 0, run }
    }

    /// Service time with the current concurrency and faults.
    fn service_time(&self, base: Duration) -> Duration {
        let concurrency = f64::from(self.state().running) / f64::from(self.shared.options.slots.max(1));
        base.mul_f64(concurrency.max(1.0) * self.shared.faults.borrow().time_factor())
    }

    /// Serves a request to a model.
    async fn serve_chat(&self, mut run: RunGuard, body: &[u8]) -> Response<Body> {
        let req: ChatRequest = match serde_json::from_slice(body) {
            Ok(req) => req,
            Err(err) => return error(StatusCode::BAD_REQUEST, &err.to_string()),
        };
        let (version, id) = (run.run.version.clone(), run.run.request_id.clone());
        let (is_bad, is_error) = {
            let faults = self.shared.faults.borrow();
            (faults.is_bad(&version, &id), faults.is_error(&version, &id))
        };
        sleep_unless_zero(self.service_time(self.shared.options.first_token)).await;
        if is_error {
            return error(StatusCode::INTERNAL_SERVER_ERROR, "the engine failed");
        }
        let prompt = req.prompt();
        let input = model::prompt_tokens(&prompt);
        run.hold_tokens(input + req.max_tokens);
        if !req.stream {
            let mut text = String::new();
            for index in 0..req.max_tokens {
                sleep_unless_zero(self.service_time(self.shared.options.token_interval)).await;
                self.wait_while_silent().await;
                if run.is_cancelled() {
                    return error(StatusCode::INTERNAL_SERVER_ERROR, "cancelled");
                }
                run.count_token();
                text += &model::token(&req.model, &version, &prompt, is_bad, index);
            }
            run.mark_finished();
            let answer = model::completion(&id, &req.model, &text, &model::usage(input, req.max_tokens));
            return response(StatusCode::OK, "application/json", full(answer));
        }
        let engine = self.clone();
        let events = stream::unfold((run, 0), move |(run, index)| {
            let (engine, req) = (engine.clone(), req.clone());
            let (version, id, prompt) = (version.clone(), id.clone(), prompt.clone());
            async move {
                if index > req.max_tokens || run.is_cancelled() {
                    return None;
                }
                if index > 0 {
                    sleep_unless_zero(engine.service_time(engine.shared.options.token_interval)).await;
                }
                engine.wait_while_silent().await;
                let event = if index == req.max_tokens {
                    run.mark_finished();
                    model::final_events(&id, &req.model, &model::usage(input, req.max_tokens))
                } else {
                    run.count_token();
                    model::token_event(&id, &req.model, &model::token(&req.model, &version, &prompt, is_bad, index))
                };
                Some((event, (run, index + 1)))
            }
        });
        let frames = events.map(|event| Ok(Frame::data(Bytes::from(event))));
        response(StatusCode::OK, "text/event-stream", StreamBody::new(frames).boxed_unsync())
    }

    /// Serves a request to the plain service.
    async fn serve_call(&self, run: RunGuard, method: &Method, body: &[u8]) -> Response<Body> {
        sleep_unless_zero(self.service_time(self.shared.options.first_token)).await;
        self.wait_while_silent().await;
        if self.shared.faults.borrow().is_error(&run.run.version, &run.run.request_id) {
            return error(StatusCode::INTERNAL_SERVER_ERROR, "the service failed");
        }
        let answer = json!({
            "method": method.as_str(),
            "path": run.run.path,
            "request_id": run.run.request_id,
            "idempotency_key": run.run.idempotency_key,
            "bytes": body.len(),
        });
        run.mark_finished();
        json_response(StatusCode::OK, &answer)
    }

    /// Body of the reply to `GET /load`.
    fn load(&self) -> Value {
        let faults = self.shared.faults.borrow().clone();
        let state = self.state();
        json!({
            "start_id": state.start_id,
            "running": state.running,
            "peak_running": state.peak_running,
            "tokens_held": state.tokens_held,
            "cold": faults.cold && faults.cold_announced,
            "fence": state.fence,
            "loaded": state.loaded,
            "orders": state.orders,
        })
    }

    /// Loads or unloads a version, unless the order's fence is outdated.
    fn execute_order(&self, body: &[u8]) -> Response<Body> {
        let order: Order = match serde_json::from_slice(body) {
            Ok(order) => order,
            Err(err) => return error(StatusCode::BAD_REQUEST, &err.to_string()),
        };
        let ignore_fences = self.shared.faults.borrow().ignore_fences;
        let mut state = self.state();
        if order.fence < state.fence && !ignore_fences {
            return json_response(StatusCode::CONFLICT, &json!({"fence": state.fence}));
        }
        state.fence = state.fence.max(order.fence);
        let version = (order.model.clone(), order.version.clone());
        state.loaded.retain(|loaded| *loaded != version);
        match order.action.as_str() {
            "load" => state.loaded.push(version),
            "unload" => {}
            action => return error(StatusCode::BAD_REQUEST, &format!("unknown action {action:?}")),
        }
        state.orders.push(json!({
            "action": order.action, "model": order.model, "version": order.version, "fence": order.fence,
        }));
        json_response(StatusCode::OK, &json!({"fence": state.fence}))
    }

    /// Cancels the unfinished runs of a request.
    fn cancel_request(&self, id: &str) -> Response<Body> {
        let mut state = self.state();
        state.cancels.push(id.to_owned());
        state.runs.iter_mut().filter(|run| run.request_id == id && !run.finished).for_each(|run| run.cancelled = true);
        json_response(StatusCode::OK, &json!({}))
    }
}

/// Size of a connection's send buffer. By default, the kernel accepts megabytes of an answer that nobody reads.
const SEND_BUFFER_BYTES: u32 = 64 << 10;

fn bind(listen: SocketAddr) -> Result<TcpListener> {
    let open = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
        socket.bind(listen)?;
        socket.listen(1_024)
    };
    open().wrap_err_with(|| format!("could not bind the engine to {listen}"))
}

/// Sleeps for a duration. Returns at once if it is zero, whereas `sleep` would wait for the next tick of the timer.
async fn sleep_unless_zero(duration: Duration) {
    if !duration.is_zero() {
        sleep(duration).await;
    }
}

/// A running request. Dropping this, with the answer written or not, ends the run.
struct RunGuard {
    engine: Engine,
    index: usize,
    tokens_held: u64,
    /// Copy of the record made when the request arrived.
    run: Run,
}

impl RunGuard {
    fn hold_tokens(&mut self, tokens: u64) {
        self.tokens_held = tokens;
        self.engine.state().tokens_held += tokens;
    }

    fn count_token(&self) {
        self.engine.state().runs[self.index].tokens += 1;
    }

    fn mark_finished(&self) {
        self.engine.state().runs[self.index].finished = true;
    }

    fn is_cancelled(&self) -> bool {
        self.engine.state().runs[self.index].cancelled
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut state = self.engine.state();
        state.running -= 1;
        state.tokens_held -= self.tokens_held;
        let run = &mut state.runs[self.index];
        run.cancelled |= !run.finished;
    }
}

fn full(text: impl Into<Bytes>) -> Body {
    Full::new(text.into()).boxed_unsync()
}

fn response(status: StatusCode, content_type: &str, body: Body) -> Response<Body> {
    let response = Response::builder().status(status).header("content-type", content_type).body(body);
    response.expect("status and content type are valid")
}

fn json_response(status: StatusCode, value: &Value) -> Response<Body> {
    response(status, "application/json", full(value.to_string()))
}

fn error(status: StatusCode, message: &str) -> Response<Body> {
    json_response(status, &json!({"error": {"message": message}}))
}
