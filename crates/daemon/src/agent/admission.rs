//! Admission of requests to the backend server: connects the admission logic of `core` to the tasks that wait for its
//! decisions.

use std::sync::{
    Arc, Mutex, MutexGuard,
    atomic::{AtomicU64, Ordering},
};

use eelgrasswell_core::{
    admission::{Admission, Decision, Job, Limits, RunOutcome, SampleKind, Ticket},
    agent_selection::LoadReport,
    hash::HashMap,
    id::{CustomerId, DomainId, Revision, ServiceName},
    refusal::{Reason, Refusal},
    unit::{Millis, Tokens},
};
use eelgrasswell_manifest::config::Config;
use tokio::sync::oneshot;

use crate::{
    clock::Clock,
    config::ConfigHandle,
    event,
    invariant::{self, Promise},
};

/// Shared handle on the admission to the backend server. Cheap to clone.
#[derive(Clone)]
pub struct AdmissionHandle {
    service: ServiceName,
    domain: DomainId,
    clock: Clock,
    config: ConfigHandle,
    tickets: Arc<AtomicU64>,
    inner: Arc<Mutex<Inner>>,
}

struct Inner {
    admission: Admission,
    /// Configuration revision whose limits are in use.
    revision: Revision,
    /// Whether the failure domain is in service in that revision.
    in_service: bool,
    waiters: HashMap<Ticket, oneshot::Sender<Result<(), Refusal>>>,
}

/// A request for admission.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Customer of the request.
    pub customer: CustomerId,
    /// Weight of the customer in the fair sharing of the server.
    pub weight: u32,
    /// Priority class; 0 is the most urgent.
    pub priority: u32,
    /// Prompt tokens plus the maximum output tokens.
    pub tokens: Tokens,
    /// Maximum output tokens; zero for a plain service.
    pub output: Tokens,
    /// Time after which the answer is useless.
    pub deadline: Option<Millis>,
}

impl AdmissionHandle {
    /// Creates a handle that starts cold, with the limits of an empty configuration.
    pub fn open(service: ServiceName, domain: DomainId, clock: Clock, config: ConfigHandle) -> Self {
        let inner = Inner {
            admission: Admission::new(Limits::default(), clock.now()),
            revision: Revision(0),
            in_service: true,
            waiters: HashMap::default(),
        };
        Self { service, domain, clock, config, tickets: Arc::default(), inner: Arc::new(Mutex::new(inner)) }
    }

    /// Waits until the request may run. Dropping the future gives up its place in the queue.
    pub async fn acquire(&self, request: AdmissionRequest) -> Result<Permit, Refusal> {
        let ticket = Ticket(self.tickets.fetch_add(1, Ordering::Relaxed));
        let (tx, rx) = oneshot::channel();
        // Its drop releases the place if this future is dropped while it waits.
        let mut permit = Permit { handle: self.clone(), ticket, outcome: RunOutcome::Aborted, admitted: false };
        self.update(|inner, now| {
            inner.waiters.insert(ticket, tx);
            let AdmissionRequest { customer, weight, priority, tokens, output, deadline } = request;
            inner.admission.submit(Job { ticket, customer, weight, priority, tokens, output, deadline }, now);
        });
        rx.await.unwrap_or(Err(Refusal::not_run(Reason::Internal)))?;
        permit.admitted = true;
        Ok(permit)
    }

    /// Records a load report of the engine.
    pub fn record_engine_report(&self, start_id: u64, cold: bool) {
        self.update(|inner, now| inner.admission.record_engine_report(start_id, cold, now));
    }

    /// Returns the load to report in heartbeats.
    pub fn load_report(&self) -> LoadReport {
        self.update(|inner, _| inner.admission.report())
    }

    /// Applies the limits of each new configuration as soon as it is in force. Runs until the task is aborted.
    pub async fn follow_config(self) {
        loop {
            let next = Revision(self.config.revision().0 + 1);
            self.update(|_, _| ());
            self.config.wait_for_revision(next).await;
        }
    }

    /// Applies `f` to the state with the limits of the current configuration, then delivers the decisions to the
    /// waiting requests.
    fn update<T>(&self, f: impl FnOnce(&mut Inner, Millis) -> T) -> T {
        let now = self.clock.now();
        let config = self.config.current();
        let mut inner = self.lock();
        if config.revision > inner.revision {
            self.apply_config(&mut inner, &config, now);
        }
        let was_cold = inner.admission.report().cold;
        let result = f(&mut inner, now);
        inner.deliver_decisions(now);
        let report = inner.admission.report();
        if report.cold != was_cold {
            event!(Info, "cold_start", cold = report.cold, limit = report.limit);
        }
        result
    }

    fn apply_config(&self, inner: &mut Inner, config: &Config, now: Millis) {
        inner.revision = config.revision;
        let Some(service) = config.manifest.services.get(&self.service) else { return };
        inner.admission.set_limits(Limits {
            max_running: service.max_running,
            max_queued: service.max_queued,
            tokens_limit: service.tokens_limit,
            cold_limit: service.cold_limit,
            warm_interval: service.warm_interval,
        });
        let in_service = config.manifest.domains.get(&self.domain).is_some_and(|domain| domain.in_service);
        // The load of a domain that returns to service rises gradually: its caches are cold, whatever its engines
        // report.
        if in_service && !inner.in_service {
            inner.admission.cold_start(now);
        }
        inner.in_service = in_service;
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the lock panics")
    }
}

impl Inner {
    fn deliver_decisions(&mut self, now: Millis) {
        while let Some(decision) = self.admission.poll(now) {
            match decision {
                Decision::Run(ticket) => {
                    let report = self.admission.report();
                    invariant::check(Promise::Cold, report.running <= report.limit, || {
                        format!("{} requests run at a limit of {}", report.running, report.limit)
                    });
                    let waiter = self.waiters.remove(&ticket);
                    if waiter.is_none_or(|waiter| waiter.send(Ok(())).is_err()) {
                        self.admission.finish(ticket, RunOutcome::Aborted, now);
                    }
                }
                Decision::Refuse(ticket, refusal) => {
                    if let Some(waiter) = self.waiters.remove(&ticket) {
                        let _ = waiter.send(Err(refusal));
                    }
                }
            }
        }
    }
}

/// A place among the running requests, released on drop.
pub struct Permit {
    handle: AdmissionHandle,
    ticket: Ticket,
    /// How the request ended; it counts as aborted until this is set.
    pub outcome: RunOutcome,
    admitted: bool,
}

impl Permit {
    /// Records a measured service time of the request, in microseconds.
    pub fn observe(&self, sample: SampleKind, micros: u64) {
        self.handle.update(|inner, now| inner.admission.observe(self.ticket, sample, micros, now));
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let (ticket, outcome, admitted) = (self.ticket, self.outcome, self.admitted);
        self.handle.update(|inner, now| {
            inner.waiters.remove(&ticket);
            if !admitted {
                inner.admission.cancel(ticket);
            }
            // The request may have been admitted between the last poll of its future and the drop.
            inner.admission.finish(ticket, outcome, now);
        });
    }
}
