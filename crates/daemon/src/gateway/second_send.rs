//! Sends a request to a second server while the first one is slow to answer, and takes the first good answer.

use std::{
    future::Future,
    pin::pin,
    sync::{Arc, Mutex},
    time::Duration,
};

use eelgrasswell_core::{
    backend::Backend,
    backend_health::Outcome,
    latency::SLOW_FACTOR,
    second_send::{self as rules, Class, Denial, Limits},
    unit::Millis,
};
use futures::future::{Either, select};
use tokio::time::{Instant, timeout};

use super::{
    attempt::{Answer, Attempt, SendFailure, SendGuard},
    execute::Execution,
};
use crate::{event, sync::lock, telemetry};

type SendResult = Result<Answer, SendFailure>;

/// Times of answers, and the second sends of this gateway.
pub struct SecondSends {
    state: Mutex<rules::SecondSends>,
}

impl SecondSends {
    /// Creates the state without any answers.
    pub fn open() -> Self {
        Self { state: Mutex::default() }
    }
}

/// Result of a send, or of two if there was a second one.
pub struct Sends {
    /// The answer or failure that the request goes on with.
    pub result: SendResult,
    /// The other send; none if there was only one.
    pub other: Option<Other>,
}

impl Sends {
    fn single(result: SendResult) -> Self {
        Self { result, other: None }
    }
}

/// The send of a pair that did not give the result.
pub enum Other {
    /// It was cancelled before its answer began, so it may have run.
    Cancelled(Arc<Backend>),
    /// It ended before the other one.
    Ended(Box<SendResult>),
}

/// A send in progress.
struct Pending {
    backend: Arc<Backend>,
    started: Instant,
}

impl Pending {
    fn new(guard: &SendGuard) -> Self {
        Self { backend: Arc::clone(&guard.backend), started: Instant::now() }
    }
}

/// Sends `first`, and another time to a second server if the answer is slow and the rules allow it.
pub async fn run(execution: &Execution, first: Attempt<'_>) -> Sends {
    let gateway = &execution.gateway;
    let guard = match first.choose(gateway) {
        Ok(guard) => guard,
        Err(failure) => return Sends::single(Err(failure)),
    };
    let pending = Pending::new(&guard);
    let watch = Watch::start(execution, &first);
    let mut sending = pin!(first.send(gateway, guard));
    let Some(watch) = watch else { return Sends::single(sending.await) };
    let early = match watch.delay {
        Some(delay) => timeout(Duration::from(delay), sending.as_mut()).await.ok(),
        None => Some(sending.as_mut().await),
    };
    let result = match early {
        Some(result) => result,
        None => {
            let tried: Vec<_> = first.tried.iter().chain([&pending.backend.id]).cloned().collect();
            let second =
                Attempt { tried: &tried, head_deadline: execution.second_head_deadline(), spare_only: true, ..first };
            if let Some(guard) = watch.try_choose(&second, &pending) {
                let second_pending = Pending::new(&guard);
                // On the heap, since the space would otherwise be taken by each request.
                let second_sending = Box::pin(second.send(gateway, guard));
                return watch.race(sending, &pending, second_sending, &second_pending).await;
            }
            sending.await
        }
    };
    watch.record_end(&result, &pending);
    Sends::single(result)
}

/// Watches a send that may be followed by a second one.
struct Watch<'a> {
    execution: &'a Execution,
    class: Class,
    limits: Limits,
    /// Time after which the answer is slow; none if too few answers are known.
    delay: Option<Millis>,
}

impl<'a> Watch<'a> {
    /// Returns none if the request can't get a second send, whatever happens.
    fn start(execution: &'a Execution, first: &Attempt<'_>) -> Option<Self> {
        let call = &execution.call;
        if !call.route.kind.is_idempotent() {
            return None;
        }
        let gateway = &execution.gateway;
        let limits = gateway.settings().second_send.and_then(|settings| settings.limits())?;
        let class = Class::new(call.service.clone(), first.model.cloned().unwrap_or_default(), call.meta.prompt.0);
        let now = gateway.clock.now();
        let counts = execution.is_first_send();
        let delay = lock(&gateway.second_sends.state).start(now, &class, limits.quantile, counts);
        let delay = match delay {
            Ok(delay) => Some(delay).filter(|_| execution.allows_second_send()),
            Err(denial) => {
                event!(Debug, "second_send_denied", request = call.id, reason = denial.as_str());
                count_denial(denial);
                None
            }
        };
        Some(Self { execution, class, limits, delay })
    }

    /// Chooses the server for a second send and counts it; none if there is to be none.
    fn try_choose(&self, second: &Attempt<'_>, first: &Pending) -> Option<SendGuard> {
        let Self { execution, class, limits, .. } = self;
        let (gateway, call) = (&execution.gateway, &execution.call);
        let now = gateway.clock.now();
        let mut state = lock(&gateway.second_sends.state);
        let chosen = state.try_send(now, &class.service, limits.max_share, || {
            let guard = second.choose(gateway).map_err(|_| Denial::NoSpareServer)?;
            if execution.try_acquire_second_send() { Ok(guard) } else { Err(Denial::Budget) }
        });
        let share = format!("{:.3}", state.share_used(now, &class.service));
        drop(state);
        let delay = self.delay.unwrap_or_default();
        match &chosen {
            Ok(guard) => {
                event!(
                    Info,
                    "second_send",
                    request = call.id,
                    delay = delay,
                    quantile = limits.quantile,
                    share = share,
                    slow = first.backend.id,
                    backend = guard.backend.id
                );
                count("sent");
            }
            Err(denial) => {
                event!(
                    Debug,
                    "second_send_denied",
                    request = call.id,
                    reason = denial.as_str(),
                    delay = delay,
                    share = share,
                    slow = first.backend.id
                );
                count_denial(*denial);
            }
        }
        chosen.ok()
    }

    /// Waits for the first good answer of two sends. If one fails, the other one goes on. The caller cancels the send that
    /// is left by dropping it.
    async fn race(
        &self,
        first_sending: impl Future<Output = SendResult> + Unpin,
        first: &Pending,
        second_sending: impl Future<Output = SendResult> + Unpin,
        second: &Pending,
    ) -> Sends {
        let (result, remaining, is_second) = match select(first_sending, second_sending).await {
            Either::Left((result, second_sending)) => (result, Either::Right(second_sending), false),
            Either::Right((result, first_sending)) => (result, Either::Left(first_sending), true),
        };
        let (ended, waiting) = if is_second { (second, first) } else { (first, second) };
        if is_good(&result) {
            self.record_cancelled(waiting);
            self.record_winner(is_second, ended, first);
            return Sends { result, other: Some(Other::Cancelled(Arc::clone(&waiting.backend))) };
        }
        let last = remaining.await;
        if is_good(&last) {
            self.record_winner(!is_second, waiting, first);
        } else {
            count("lost");
        }
        // An answer can be passed on, even if it reports a failure.
        let (result, other) = if last.is_err() && result.is_ok() { (result, last) } else { (last, result) };
        Sends { result, other: Some(Other::Ended(Box::new(other))) }
    }

    /// Records which send gave the answer.
    fn record_winner(&self, is_second: bool, winner: &Pending, first: &Pending) {
        let outcome = if is_second { "won" } else { "lost" };
        count(outcome);
        event!(
            Info,
            "second_send_ended",
            request = self.execution.call.id,
            outcome = outcome,
            backend = winner.backend.id,
            after = Millis::from(first.started.elapsed())
        );
        self.record_time(first);
    }

    /// Records the cancelled send as slow at its server, unless it had less time than a usual answer takes. It says nothing
    /// about the server's version, nor about the prompt.
    fn record_cancelled(&self, cancelled: &Pending) {
        let waited = Millis::from(cancelled.started.elapsed());
        if self.delay.is_none_or(|delay| waited < delay) {
            return;
        }
        let expected = self.execution.expected_latency().map_or(1, |expected| expected.0.max(1));
        let slowness = (waited.0 as f64 / expected as f64).max(SLOW_FACTOR);
        self.execution.gateway.record_outcome(&cancelled.backend, Outcome::Slow { slowness });
        self.execution.gateway.record_start_pace(&cancelled.backend, slowness);
    }

    /// Records the time of a single send in the estimate. A failure has no time.
    fn record_end(&self, result: &SendResult, pending: &Pending) {
        if result.as_ref().is_ok_and(|answer| answer.status.is_success()) {
            self.record_time(pending);
        }
    }

    fn record_time(&self, first: &Pending) {
        let gateway = &self.execution.gateway;
        let elapsed = Millis::from(first.started.elapsed());
        lock(&gateway.second_sends.state).record(gateway.clock.now(), &self.class, elapsed);
    }
}

/// Whether the answer ends the race.
fn is_good(result: &SendResult) -> bool {
    result.as_ref().is_ok_and(|answer| !answer.status.is_server_error())
}

fn count(outcome: &'static str) {
    metrics::counter!(telemetry::SECOND_SENDS, "outcome" => outcome).increment(1);
}

fn count_denial(denial: Denial) {
    metrics::counter!(telemetry::SECOND_SENDS_DENIED, "reason" => denial.as_str()).increment(1);
}
