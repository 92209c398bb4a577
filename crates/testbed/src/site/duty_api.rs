//! Stand-in for the platform's API of duties.
//!
//! | call | response |
//! |---|---|
//! | `POST /usage` | 200; 429 or none, depending on the mode |

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use bytes::Bytes;
use eyre::{Result, WrapErr, ensure};
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, Response, StatusCode, body::Incoming, service::service_fn};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::{net::TcpListener, task::JoinHandle};

/// How the stand-in answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ApiMode {
    /// Accepts every call.
    #[default]
    Accepting,
    /// Answers with 429.
    Throttling,
    /// Does not answer.
    Silent,
}

/// A call in the order of arrival.
#[derive(Clone, Debug, PartialEq)]
pub struct DutyCall {
    /// Host of the holder.
    pub holder: String,
    /// Fence of the holder.
    pub fence: u64,
    /// Window of the report.
    pub window: u64,
    /// Requests by customer.
    pub counts: Value,
    /// Whether the call was accepted.
    pub accepted: bool,
}

/// A running stand-in. It stops when this is dropped.
pub struct FakeDutyApi {
    /// Address for the gateways.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    accept_task: JoinHandle<()>,
}

#[derive(Default)]
struct State {
    mode: ApiMode,
    calls: Vec<DutyCall>,
}

impl FakeDutyApi {
    /// Starts a stand-in on a free port of the loopback address.
    pub async fn bind() -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.wrap_err("could not bind the duty API")?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State::default()));
        let accept_task = tokio::spawn(accept_connections(listener, Arc::clone(&state)));
        Ok(Self { address, state, accept_task })
    }

    /// Changes how calls are answered from now on.
    pub fn set_mode(&self, mode: ApiMode) {
        lock(&self.state).mode = mode;
    }

    /// All calls so far.
    pub fn calls(&self) -> Vec<DutyCall> {
        lock(&self.state).calls.clone()
    }

    /// The accepted calls so far.
    pub fn accepted(&self) -> Vec<DutyCall> {
        self.calls().into_iter().filter(|call| call.accepted).collect()
    }

    /// Requests of `customer` in all windows. A window that was reported twice counts once.
    pub fn total(&self, customer: &str) -> u64 {
        let mut accepted = self.accepted();
        accepted.sort_by_key(|call| call.window);
        accepted.dedup_by_key(|call| call.window);
        accepted.iter().filter_map(|call| call.counts[customer].as_u64()).sum()
    }

    /// Checks what must hold of all calls: the fence never falls, no two holders have one fence, and no two accepted reports
    /// of one window differ.
    pub fn check(&self) -> Result<()> {
        let calls = self.calls();
        for pair in calls.windows(2) {
            ensure!(pair[0].fence <= pair[1].fence, "the fence fell: {:?} after {:?}", pair[1], pair[0]);
            let same = pair[0].fence == pair[1].fence;
            ensure!(!same || pair[0].holder == pair[1].holder, "one fence of two holders: {pair:?}");
        }
        let accepted: Vec<&DutyCall> = calls.iter().filter(|call| call.accepted).collect();
        for (n, call) in accepted.iter().enumerate() {
            let other = accepted[..n].iter().find(|other| other.window == call.window && other.counts != call.counts);
            ensure!(other.is_none(), "two reports of one window: {call:?} and {other:?}");
        }
        Ok(())
    }
}

impl Drop for FakeDutyApi {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

fn lock(state: &Mutex<State>) -> std::sync::MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn accept_connections(listener: TcpListener, state: Arc<Mutex<State>>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let state = Arc::clone(&state);
        let service = service_fn(move |req| {
            let state = Arc::clone(&state);
            async move {
                let status = handle(&state, req).await;
                let mut response = Response::new(Full::new(Bytes::new()));
                *response.status_mut() = status;
                Ok::<_, Infallible>(response)
            }
        });
        tokio::spawn(hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

async fn handle(state: &Mutex<State>, req: Request<Incoming>) -> StatusCode {
    if req.method() != hyper::Method::POST || req.uri().path() != "/usage" {
        return StatusCode::NOT_FOUND;
    }
    let (head, body) = req.into_parts();
    let Ok(body) = body.collect().await else { return StatusCode::BAD_REQUEST };
    let Some(call) = parse(&head.headers, &body.to_bytes()) else { return StatusCode::BAD_REQUEST };
    let mode = {
        let mut state = lock(state);
        let mode = state.mode;
        state.calls.push(DutyCall { accepted: mode == ApiMode::Accepting, ..call });
        mode
    };
    match mode {
        ApiMode::Accepting => StatusCode::OK,
        ApiMode::Throttling => StatusCode::TOO_MANY_REQUESTS,
        ApiMode::Silent => std::future::pending().await,
    }
}

fn parse(headers: &HeaderMap, body: &[u8]) -> Option<DutyCall> {
    let header = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let body: Value = serde_json::from_slice(body).ok()?;
    Some(DutyCall {
        holder: header("x-duty-holder")?.to_owned(),
        fence: header("x-fence-token")?.parse().ok()?,
        window: body["window_id"].as_u64()?,
        counts: body["counts"].is_object().then(|| body["counts"].clone())?,
        accepted: false,
    })
}
