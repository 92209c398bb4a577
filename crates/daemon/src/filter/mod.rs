//! Filter chain for callers' requests. Each filter has its own file; `Chain::run_filters` runs them in order.

mod answer;
mod authenticate;
pub mod backends;
mod budget;
pub mod choose;
mod claim;
mod events;
mod execute;
pub mod parse;
pub mod session;
mod settlement;

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use eelgrasswell_core::{agent_selection, refusal::Reason, retry::RetryBudget};
use eyre::Result;
use hyper::{Request, Response, body::Incoming};
use tokio::{
    net::TcpListener,
    sync::Semaphore,
    task::JoinHandle,
    time::{Instant, timeout_at},
};
use uuid::Uuid;

use self::{
    backends::{Backends, RouterBackends},
    claim::ClaimOutcome,
    parse::ParsedRequest,
};
use crate::{
    callers::{
        Body,
        endpoint::{ConnectionAbort, ConnectionLimits, Endpoint, ShutdownTimes},
        failure::Failure,
    },
    event,
    router::Router,
    shutdown::Shutdown,
    telemetry,
};

/// Maximum number of stalled callers that stay connected. Each takes about 150 KB including its connection, so
/// together they take at most 77 MB. Stalled callers above the limit are disconnected and can fetch the rest of their
/// answers from the agents.
const MAX_STALLED: usize = 512;

/// Maximum number of tasks that may outlive their callers. Larger than the number of requests can ever be.
const MAX_TASKS: u32 = 1 << 24;

/// Timeout for receiving the head of a request; also the idle timeout of an HTTP/1.1 connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Serves callers until `shutdown` is requested and the running requests have finished.
pub async fn serve(router: Router, listener: TcpListener, mut shutdown: Shutdown) {
    let backends = Arc::new(RouterBackends::new(&router));
    let chain = Chain::new(router, backends);
    serve_chain(chain, listener, async move { shutdown.wait().await }).await;
}

/// Serves `chain` on `listener` until `stop` completes and the running requests have finished. Waits for them at most
/// for the drain time in the settings.
pub async fn serve_chain(chain: Chain, listener: TcpListener, stop: impl Future<Output = ()>) {
    let settings = Arc::clone(&chain.router.settings);
    let limits = ConnectionLimits {
        http2: true,
        head_timeout: HEAD_TIMEOUT,
        max_head: settings.limits.max_headers.0 as usize,
        max_fields: None,
    };
    let handler_chain = chain.clone();
    let endpoint = Endpoint {
        max_connections: settings.limits.max_connections as usize,
        table: None,
        limits: Box::new(move || limits),
        handler: Arc::new(move |req| {
            let chain = handler_chain.clone();
            Box::pin(async move { chain.handle(req).await })
        }),
        shutdown: ShutdownTimes { linger: Duration::ZERO, grace: settings.host.drain.into() },
    };
    let stopped_at = endpoint.serve(listener, stop).await;
    if timeout_at(stopped_at + Duration::from(settings.host.drain), chain.wait_for_tasks()).await.is_err() {
        event!(Warn, "drain_limit_reached", limit = settings.host.drain);
    }
}

/// State shared by the filters. Cheap to clone.
#[derive(Clone)]
pub struct Chain {
    router: Router,
    backends: Arc<dyn Backends>,
    retries: Arc<Mutex<RetryBudget>>,
    selection_history: Arc<Mutex<agent_selection::SelectionHistory>>,
    /// One permit for each stalled caller that stays connected.
    stalled: Arc<Semaphore>,
    /// One permit for each running task that may outlive its caller.
    tasks: Arc<Semaphore>,
}

impl Chain {
    /// Creates a chain with a new retry budget and no record of refusals or cached prefixes.
    pub fn new(router: Router, backends: Arc<dyn Backends>) -> Self {
        let retries = RetryBudget::new(router.clock.now());
        Self {
            router,
            backends,
            retries: Arc::new(Mutex::new(retries)),
            selection_history: Arc::default(),
            stalled: Arc::new(Semaphore::new(MAX_STALLED)),
            tasks: Arc::new(Semaphore::new(MAX_TASKS as usize)),
        }
    }

    /// Sets the maximum number of stalled callers that stay connected.
    pub fn with_max_stalled(self, limit: usize) -> Self {
        Self { stalled: Arc::new(Semaphore::new(limit)), ..self }
    }

    /// Spawns a task that runs to completion even when the caller disconnects. A graceful shutdown waits for it.
    fn spawn_detached<T: Send + 'static>(&self, task: impl Future<Output = T> + Send + 'static) -> JoinHandle<T> {
        let tasks = Arc::clone(&self.tasks);
        tokio::spawn(async move {
            let _permit = tasks.acquire().await;
            task.await
        })
    }

    /// Waits until all tasks started by `spawn_detached` have ended.
    async fn wait_for_tasks(&self) {
        let _permits = self.tasks.acquire_many(MAX_TASKS).await;
    }

    /// Handles one request; failures become error responses.
    async fn handle(&self, req: Request<Incoming>) -> Response<Body> {
        let id = Uuid::now_v7();
        self.run_filters(id, req).await.unwrap_or_else(|failure| failure.into_response(&id))
    }

    /// Locks the selection history. A panic under the lock leaves the history usable, so poisoning is ignored.
    fn selection_history(&self) -> MutexGuard<'_, agent_selection::SelectionHistory> {
        self.selection_history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the retry budget, ignoring poisoning.
    fn retries(&self) -> MutexGuard<'_, RetryBudget> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes one retry from the budget and returns whether one was left. Counts the result by `reason`.
    fn try_acquire_retry(&self, reason: Reason) -> bool {
        let acquired = self.retries().try_acquire(self.router.clock.now());
        let name = if acquired { telemetry::RETRIES } else { telemetry::RETRIES_DENIED };
        metrics::counter!(name, "reason" => reason.as_str()).increment(1);
        acquired
    }

    async fn run_filters(&self, id: Uuid, req: Request<Incoming>) -> Result<Response<Body>, Failure> {
        let connection = req.extensions().get::<ConnectionAbort>().cloned();
        let caller = authenticate::authenticate(self, req.headers())?;
        let call = match parse::parse_request(self, id, caller, req).await? {
            ParsedRequest::Call(call) => call,
            ParsedRequest::Fetch(fetch) => return answer::fetch(self, fetch, connection).await,
        };
        let pin = session::verify_session(self, &call)?;
        let plan = choose::plan(self, &call, pin.as_ref())?;
        let reservation = before_deadline(call.deadline, budget::reserve_for_plan(self, &call, &plan)).await?;
        // A claim interrupted by the deadline is resolved by the next request with the same key.
        let claim = match before_deadline(call.deadline, claim::claim_request(self, &call, &plan)).await {
            Ok(ClaimOutcome::Run(claim)) => claim,
            Ok(ClaimOutcome::Replay(response)) => {
                reservation.release();
                return Ok(response);
            }
            Err(failure) => {
                reservation.release();
                return Err(failure);
            }
        };
        let is_claimed = claim.is_some();
        let chain = self.clone();
        let execution = async move {
            let answer = execute::execute(&chain, call, pin, plan, reservation, claim).await?;
            Ok(answer::send(answer, connection).await)
        };
        if !is_claimed {
            return execution.await;
        }
        // A claimed request must not be repeated, so it runs to completion even when its caller disconnects.
        self.spawn_detached(execution).await.unwrap_or_else(|err| {
            Err(Failure::unknown(Reason::Internal, format!("the request was cut off inside the router: {err}")))
        })
    }
}

/// Runs `step` and fails with outcome "not run" at the deadline. Only for steps before any byte is sent to an agent.
async fn before_deadline<T>(deadline: Instant, step: impl Future<Output = Result<T, Failure>>) -> Result<T, Failure> {
    let deadline_passed = || Failure::not_run(Reason::Deadline, "the deadline passed before the request could run");
    timeout_at(deadline, step).await.unwrap_or_else(|_| Err(deadline_passed()))
}
