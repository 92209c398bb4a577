//! Admission of requests while the capacity of their service is scarce: they wait for a free slot or are refused with a time
//! to come back. Gateways report to each other how many requests they have outstanding at each server.

mod log;
mod permit;

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use eelgrasswell_core::{
    hash::HashMap,
    id::ServiceName,
    refusal::Reason,
    room::PeerReports,
    unit::Millis,
    waiting::{self, Decision, Ended, Inputs, Refused, Request, WaitId, WaitLimits},
};
use eelgrasswell_manifest::gateway::AdmissionSettings;
use eelgrasswell_proto::v1::{BackendLoad, FleetState};
use tokio::{
    sync::oneshot,
    time::{Instant, sleep, timeout_at},
};

pub use self::permit::Permit;
use self::permit::WaitGuard;
use super::{Gateway, State, exchange::LOAD_SCALE, request::Call};
use crate::{callers::failure::Failure, clock::BootClock, sync::lock};

/// Interval at which the capacities are computed from the pool and the peers' reports. It is a quarter of the interval at
/// which peers report, so that waiting requests learn of free slots soon, and the request path never goes over all servers.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// Handle to the admitted and waiting requests of a gateway. Cheap to clone.
#[derive(Clone)]
pub struct Admission(Arc<Shared>);

struct Shared {
    clock: BootClock,
    queue: Mutex<Queue>,
    peers: Mutex<PeerReports>,
}

struct Queue {
    requests: waiting::Admission,
    waiters: HashMap<WaitId, oneshot::Sender<WaitEnd>>,
}

/// End of the wait of a request.
enum WaitEnd {
    Admitted(Permit),
    /// Refused, with the time after which the caller should come back.
    Refused(Option<Millis>),
}

impl Admission {
    /// Without any requests. Nobody waits until the capacities are known.
    pub fn open(settings: &AdmissionSettings) -> Self {
        let requests = waiting::Admission::new(limits(settings));
        Self(Arc::new(Shared {
            clock: BootClock,
            queue: Mutex::new(Queue { requests, waiters: HashMap::default() }),
            peers: Mutex::default(),
        }))
    }

    /// Waits until there is room for `call`, and counts it until the permit is dropped. `expected` is the expected time to
    /// the first byte of its response. The failure says that the request was not run.
    pub async fn admit(&self, call: &Call, expected: Option<Millis>) -> Result<Permit, Failure> {
        let now = self.0.clock.now();
        let request = admission_request(now, call, expected);
        let mut receiver = None;
        let mut dropped = None;
        let (decision, inputs) = {
            let mut queue = lock(&self.0.queue);
            let decision = queue.requests.ask(now, &request);
            if decision == Decision::Admit {
                return Ok(Permit::new(self.clone(), request.service));
            }
            if let Decision::Wait { id, displaced, .. } = decision {
                let (sender, rx) = oneshot::channel();
                queue.waiters.insert(id, sender);
                receiver = Some(rx);
                dropped = displaced.and_then(|refused| queue.take_refused(refused));
            }
            (decision, queue.requests.inputs(now, &request.service))
        };
        deliver(dropped);
        let (id, until, receiver) = match (decision, receiver) {
            (Decision::Wait { id, until, .. }, Some(receiver)) => (id, until, receiver),
            (Decision::Refuse { why, retry_after }, _) => {
                log::refused(call, &inputs, log::cause(why), Millis::ZERO, retry_after);
                return Err(refusal(retry_after));
            }
            _ => return Ok(Permit::new(self.clone(), request.service)),
        };
        log::waits(call, &inputs, until.saturating_sub(now));
        let started = Instant::now();
        let end = self.wait(&request.service, id, until.saturating_sub(now), receiver).await;
        let waited = Millis::from(started.elapsed());
        let inputs = self.inputs(&request.service);
        match end {
            WaitEnd::Admitted(permit) => {
                log::admitted(call, &inputs, waited);
                Ok(permit)
            }
            WaitEnd::Refused(retry_after) => {
                log::refused(call, &inputs, "waited", waited, retry_after);
                Err(refusal(retry_after))
            }
        }
    }

    async fn wait(
        &self,
        service: &ServiceName,
        id: WaitId,
        longest: Millis,
        mut receiver: oneshot::Receiver<WaitEnd>,
    ) -> WaitEnd {
        // Removes the request from the queue if the caller closes its connection, which drops this future.
        let _guard = WaitGuard::new(self.clone(), service.clone(), id);
        let until = Instant::now() + Duration::from(longest);
        if let Ok(end) = timeout_at(until, &mut receiver).await {
            return end.unwrap_or(WaitEnd::Refused(None));
        }
        let refused = {
            let mut queue = lock(&self.0.queue);
            queue.waiters.remove(&id);
            queue.requests.give_up(self.0.clock.now(), service, id)
        };
        match refused {
            Some(refused) => WaitEnd::Refused(refused.retry_after),
            // It was taken out of the queue at the same moment, and its end is being sent.
            None => receiver.await.unwrap_or(WaitEnd::Refused(None)),
        }
    }

    /// Time after which the caller of `call` should come back, whom no server has accepted; none if no time fits.
    pub fn return_time(&self, call: &Call) -> Option<Millis> {
        let now = self.0.clock.now();
        let request = admission_request(now, call, None);
        lock(&self.0.queue).requests.return_time(now, &request)
    }

    /// Records the requests that a peer has outstanding.
    pub fn record_peer(&self, now: Millis, state: &FleetState) {
        let outstanding = state.loads.iter().map(|load| (load.backend.as_str().into(), outstanding(load)));
        lock(&self.0.peers).record(now, state.id.as_str().into(), outstanding);
    }

    fn inputs(&self, service: &ServiceName) -> Inputs {
        lock(&self.0.queue).requests.inputs(self.0.clock.now(), service)
    }

    /// Ends an admitted request that occupied a slot for `hold`; none if it got no answer.
    fn end(&self, service: &ServiceName, hold: Option<Millis>) {
        let now = self.0.clock.now();
        let mut queue = lock(&self.0.queue);
        let admitted = queue.requests.end(now, service, hold);
        let ends = queue.take_ended(self, Ended { admitted, refused: Vec::new() });
        drop(queue);
        deliver(ends);
    }

    fn cancel(&self, service: &ServiceName, id: WaitId) {
        let mut queue = lock(&self.0.queue);
        if queue.requests.cancel(service, id) {
            queue.waiters.remove(&id);
        }
    }

    /// Computes the capacities, and ends the waits that they decide.
    fn refresh(&self, state: &State, settings: &AdmissionSettings) {
        let now = self.0.clock.now();
        let gateways = lock(&state.fleet).limit_sharers(now, 1);
        let (rooms, counts) = {
            let servers = lock(&state.pool).slots(now);
            let mut peers = lock(&self.0.peers);
            (peers.rooms(now, &servers, gateways, settings.full_share), peers.outstanding_by_server(now))
        };
        lock(&state.pool).set_peer_outstanding(&counts);
        let mut queue = lock(&self.0.queue);
        queue.requests.set_limits(limits(settings));
        let ended = queue.requests.refresh(now, rooms);
        let ends = queue.take_ended(self, ended);
        drop(queue);
        deliver(ends);
    }
}

impl Queue {
    fn take_ended(&mut self, admission: &Admission, ended: Ended) -> Vec<(oneshot::Sender<WaitEnd>, WaitEnd)> {
        let mut ends = Vec::with_capacity(ended.admitted.len() + ended.refused.len());
        for (id, service) in ended.admitted {
            // Without a receiver, the permit's drop gives the slot to the next request.
            let end = WaitEnd::Admitted(Permit::new(admission.clone(), service));
            let sender = self.waiters.remove(&id).unwrap_or_else(|| oneshot::channel().0);
            ends.push((sender, end));
        }
        ends.extend(ended.refused.into_iter().filter_map(|refused| self.take_refused(refused)));
        ends
    }

    fn take_refused(&mut self, refused: Refused) -> Option<(oneshot::Sender<WaitEnd>, WaitEnd)> {
        self.waiters.remove(&refused.id).map(|sender| (sender, WaitEnd::Refused(refused.retry_after)))
    }
}

/// Tells waiting requests that their wait has ended. The queue must not be locked: a permit that is not received is dropped.
fn deliver(ends: impl IntoIterator<Item = (oneshot::Sender<WaitEnd>, WaitEnd)>) {
    for (sender, end) in ends {
        drop(sender.send(end));
    }
}

/// Starts to keep the capacities current, if the part is on.
pub fn spawn(gateway: Gateway) {
    if gateway.admission.is_none() {
        return;
    }
    tokio::spawn(async move {
        loop {
            gateway.refresh_admission();
            sleep(REFRESH_INTERVAL).await;
        }
    });
}

impl State {
    /// Computes the capacities anew, if the part is on, for example after a change of the list of servers.
    pub fn refresh_admission(&self) {
        let Some(admission) = &self.admission else { return };
        let settings = self.settings().admission.clone();
        // A reload can change the settings, but not remove the section.
        admission.refresh(self, &settings.unwrap_or_default());
    }
}

fn limits(settings: &AdmissionSettings) -> WaitLimits {
    WaitLimits { max_wait: Millis(settings.max_wait_ms), max_waiting: settings.max_waiting }
}

fn admission_request(now: Millis, call: &Call, expected: Option<Millis>) -> Request {
    Request {
        service: call.service.clone(),
        customer: call.customer().cloned().unwrap_or_default(),
        urgency: call.urgency(),
        arrived: now.saturating_sub(call.arrived.elapsed().into()),
        objective: call.route.objective,
        deadline: now + call.remaining().into(),
        expected,
    }
}

/// Number of requests in a report. Gateways of earlier releases report the load alone.
fn outstanding(load: &BackendLoad) -> u32 {
    match load.outstanding {
        0 => (load.load as f64 / LOAD_SCALE).ceil() as u32,
        outstanding => outstanding,
    }
}

fn refusal(retry_after: Option<Millis>) -> Failure {
    let failure = Failure::not_run(Reason::Overloaded, "no backend server has a free slot in time");
    match retry_after {
        Some(wait) => failure.retry_after(wait),
        None => failure,
    }
}
