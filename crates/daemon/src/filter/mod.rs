//! The filter chain for callers' requests: one file per filter, listed in order in `Chain::filter`.

mod answer;
mod authenticate;
pub mod backends;
mod budget;
pub mod choose;
mod claim;
mod endpoint;
mod events;
mod execute;
mod failure;
pub mod parse;
pub mod session;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use eelgrasswell_core::{refusal::Reason, retry::RetryBudget, route};
use eyre::Result;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::{Request, Response, body::Incoming};
use tokio::net::TcpListener;
use uuid::Uuid;

use self::{
    backends::{Backends, Live},
    claim::Claimed,
    failure::Failure,
    parse::Parsed,
};
use crate::{router::Router, shutdown::Shutdown, telemetry};

pub use self::endpoint::run;

/// Retries that the retry budget has denied, by `reason`.
const RETRIES_DENIED: &str = "eelgrasswell_retries_denied_total";

/// Body of an answer to a caller.
type Body = UnsyncBoxBody<Bytes, eyre::Report>;

/// Serves callers until `shutdown` is requested and the running requests have finished.
pub async fn serve(router: Router, listener: TcpListener, mut shutdown: Shutdown) -> Result<()> {
    let backends = Live { links: router.links.clone(), shards: router.shards.clone() };
    let chain = Chain::new(router, Arc::new(backends));
    run(chain, listener, async move { shutdown.wait().await }).await
}

/// What the filters share. Cheap to clone.
#[derive(Clone)]
pub struct Chain {
    router: Router,
    backends: Arc<dyn Backends>,
    retries: Arc<Mutex<RetryBudget>>,
    memory: Arc<Mutex<route::Memory>>,
}

impl Chain {
    /// Starts with a fresh retry budget, and without memory of refusals and cached prefixes.
    pub fn new(router: Router, backends: Arc<dyn Backends>) -> Self {
        let retries = RetryBudget::new(router.clock.now());
        Self { router, backends, retries: Arc::new(Mutex::new(retries)), memory: Arc::default() }
    }

    /// Answers one request of a caller.
    async fn handle(&self, req: Request<Incoming>) -> Response<Body> {
        let id = Uuid::now_v7();
        self.filter(id, req).await.unwrap_or_else(|failure| failure.into_response(id))
    }

    /// Choice memory. The state stays usable when a holder of the lock has panicked.
    fn memory(&self) -> MutexGuard<'_, route::Memory> {
        self.memory.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn retries(&self) -> MutexGuard<'_, RetryBudget> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a retry from the budget; counts it under the reason for it.
    fn take_retry(&self, reason: Reason) -> bool {
        let taken = self.retries().take(self.router.clock.now());
        let name = if taken { telemetry::RETRIES } else { RETRIES_DENIED };
        metrics::counter!(name, "reason" => reason.as_str()).increment(1);
        taken
    }

    async fn filter(&self, id: Uuid, req: Request<Incoming>) -> Result<Response<Body>, Failure> {
        let caller = authenticate::check(self, req.headers())?;
        let call = match parse::read(self, id, caller, req).await? {
            Parsed::Call(call) => call,
            Parsed::Fetch(fetch) => return answer::fetch(self, fetch).await,
        };
        let pin = session::verify(self, &call)?;
        let plan = choose::plan(self, &call, pin.as_ref())?;
        let held = budget::reserve(self, &call, &plan).await?;
        let claim = match claim::take(self, &call, &plan).await {
            Ok(Claimed::Run(claim)) => claim,
            Ok(Claimed::Replay(response)) => {
                held.settle_unspent();
                return Ok(response);
            }
            Err(failure) => {
                held.settle_unspent();
                return Err(failure);
            }
        };
        let run = execute::start(self, call, pin, plan, held, claim).await?;
        Ok(answer::send(run).await)
    }
}
