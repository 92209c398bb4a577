//! Admission to the backend server: the pure logic of `core` with its waiters.

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

/// Shared handle on the admission.
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
    revision: Revision,
    in_service: bool,
    waiters: HashMap<Ticket, oneshot::Sender<Result<(), Refusal>>>,
}

/// What a request asks for.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Customer of the request.
    pub customer: CustomerId,
    /// Share of the customer relative to others.
    pub weight: u32,
    /// 0 is the most urgent.
    pub priority: u32,
    /// Prompt plus allowed output.
    pub tokens: Tokens,
    /// Allowed output; zero for a plain service.
    pub output: Tokens,
    /// Time by which the answer is of use.
    pub deadline: Option<Millis>,
}

impl AdmissionHandle {
    /// Starts cold and with the limits of an empty configuration.
    pub fn open(service: ServiceName, domain: DomainId, clock: Clock, config: ConfigHandle) -> Self {
        let inner = Inner {
            admission: Admission::new(Limits::default(), clock.now()),
            revision: Revision(0),
            in_service: true,
            waiters: HashMap::default(),
        };
        Self { service, domain, clock, config, tickets: Arc::default(), inner: Arc::new(Mutex::new(inner)) }
    }

    /// Waits for the turn of a request. A caller that stops waiting gives up its place.
    pub async fn enter(&self, ask: AdmissionRequest) -> Result<Permit, Refusal> {
        let ticket = Ticket(self.tickets.fetch_add(1, Ordering::Relaxed));
        let (tx, rx) = oneshot::channel();
        // Gives the place back when this future is dropped while it waits.
        let mut permit = Permit { handle: self.clone(), ticket, ending: RunOutcome::Aborted, entered: false };
        self.change(|inner, now| {
            inner.waiters.insert(ticket, tx);
            let AdmissionRequest { customer, weight, priority, tokens, output, deadline } = ask;
            inner.admission.submit(Job { ticket, customer, weight, priority, tokens, output, deadline }, now);
        });
        rx.await.unwrap_or(Err(Refusal::not_run(Reason::Internal)))?;
        permit.entered = true;
        Ok(permit)
    }

    /// Takes in a load report of the engine.
    pub fn engine_report(&self, start_id: u64, cold: bool) {
        self.change(|inner, now| inner.admission.record_engine_report(start_id, cold, now));
    }

    /// Load for heartbeats.
    pub fn report(&self) -> LoadReport {
        self.change(|inner, _| inner.admission.report())
    }

    /// Takes over limits as soon as the configuration changes, until the task is aborted.
    pub async fn follow_config(self) {
        loop {
            let next = Revision(self.config.revision().0 + 1);
            self.change(|_, _| ());
            self.config.wait_for_revision(next).await;
        }
    }

    /// Applies `f` to the state under the present configuration and delivers the verdicts.
    fn change<T>(&self, f: impl FnOnce(&mut Inner, Millis) -> T) -> T {
        let now = self.clock.now();
        let config = self.config.current();
        let mut inner = self.lock();
        if config.revision > inner.revision {
            self.configure(&mut inner, &config, now);
        }
        let was_cold = inner.admission.report().cold;
        let result = f(&mut inner, now);
        inner.deliver(now);
        let report = inner.admission.report();
        if report.cold != was_cold {
            event!(Info, "cold_start", cold = report.cold, limit = report.limit);
        }
        result
    }

    fn configure(&self, inner: &mut Inner, config: &Config, now: Millis) {
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
        // A domain that returns gets load gradually: its caches are cold, whatever its engines say.
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
    fn deliver(&mut self, now: Millis) {
        while let Some(verdict) = self.admission.poll(now) {
            match verdict {
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

/// A place among the running requests, given back on drop.
pub struct Permit {
    handle: AdmissionHandle,
    ticket: Ticket,
    /// How the request ended; it counts as cut until this is set.
    pub ending: RunOutcome,
    entered: bool,
}

impl Permit {
    /// Takes in a measured service time of the request.
    pub fn observe(&self, sample: SampleKind, micros: u64) {
        self.handle.change(|inner, now| inner.admission.observe(self.ticket, sample, micros, now));
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let (ticket, ending, entered) = (self.ticket, self.ending, self.entered);
        self.handle.change(|inner, now| {
            inner.waiters.remove(&ticket);
            if !entered {
                inner.admission.cancel(ticket);
            }
            // The verdict may have come between the last poll of the waiter and its drop.
            inner.admission.finish(ticket, ending, now);
        });
    }
}
