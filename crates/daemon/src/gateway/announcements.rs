//! What backend servers announce in their answers: that they shut down, want a pause, or are cold. Shutdowns are exchanged
//! with the other gateways.

use eelgrasswell_core::{
    backend::{Backend, ServerId},
    departure::Departure,
    id::RequestId,
    not_run::{Evidence, NotRun},
    unit::Millis,
};
use eelgrasswell_platform::response::ResponseMeta;
use eelgrasswell_proto::v1::{BackendDeparture, FleetState};

use super::State;
use crate::{event, sync::lock, telemetry};

/// From where a gateway learned that a backend server is shutting down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// An answer of the server to this gateway.
    Answer,
    /// Another gateway.
    Peer,
}

impl Source {
    fn as_str(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Peer => "peer",
        }
    }
}

impl State {
    /// Records what the head of a response says about the server that sent it while the request `id` waited. If that is
    /// another server than `backend`, it says nothing about `backend`. A shutdown and a pause count only with `evidence`
    /// that the response belongs to the request.
    pub fn record_announcements(
        &self,
        backend: &Backend,
        id: &RequestId,
        meta: &ResponseMeta,
        evidence: Option<Evidence>,
    ) {
        if meta.replaced || meta.instance.as_deref().is_some_and(|instance| instance != backend.id.as_str()) {
            return;
        }
        if evidence.is_some() {
            if meta.leaving {
                self.record_departure(backend);
            }
            match &meta.pause {
                Some(Ok(pause)) => self.record_pause(backend, id, *pause),
                Some(Err(value)) => event!(Warn, "pause_ignored", request = id, backend = backend.id, value = value),
                None => {}
            }
        } else if meta.leaving || meta.pause.is_some() {
            report_doubted(backend, id, meta.leaving, meta.pause.is_some());
        }
        if let Some(remaining) = meta.cold_remaining.filter(|cold| *cold > Millis::ZERO) {
            lock(&self.pool).record_cold(self.clock.now(), backend, remaining);
        }
    }

    /// Records that an interim response says that `backend` is shutting down, if `evidence` shows that it belongs to the
    /// request `id`.
    pub fn record_interim_departure(&self, backend: &Backend, id: &RequestId, evidence: Option<Evidence>) {
        if evidence.is_some() {
            self.record_departure(backend);
        } else {
            report_doubted(backend, id, true, false);
        }
    }

    /// Records that another server has refused the request `id` at the address of `backend`.
    pub fn record_replaced(&self, backend: &Backend, id: &RequestId, proof: &NotRun) {
        let now = self.clock.now();
        let Some(until) = lock(&self.pool).remove_replaced(now, backend, proof) else { return };
        let remaining = until.saturating_sub(now);
        event!(
            Warn,
            "backend_replaced",
            request = id,
            backend = backend.id,
            address = backend.address,
            remaining = remaining
        );
        metrics::counter!(telemetry::BACKENDS_REPLACED).increment(1);
    }

    /// Records a refusal of `backend` that names no request.
    pub fn record_unnamed_refusal(&self, backend: &Backend, id: &RequestId) {
        if self.connections.record_unnamed_refusal(self.clock.now(), backend) {
            event!(Info, "refusals_unnamed", request = id, backend = backend.id);
        }
        metrics::counter!(telemetry::REFUSALS_UNNAMED).increment(1);
    }

    /// Records that `backend` announced just now, in an answer to this gateway, that it is shutting down.
    fn record_departure(&self, backend: &Backend) {
        let now = self.clock.now();
        if lock(&self.pool).record_departure(now, backend.server(), now) {
            report_departure(backend.id.as_str(), backend.server(), Source::Answer, Millis::ZERO);
        }
    }

    fn record_pause(&self, backend: &Backend, id: &RequestId, pause: Millis) {
        let now = self.clock.now();
        let until = lock(&self.pool).record_pause(now, backend, pause);
        let remaining = until.saturating_sub(now);
        event!(Info, "backend_paused", request = id, backend = backend.id, stated = pause, remaining = remaining);
        metrics::counter!(telemetry::PAUSES).increment(1);
    }

    /// Adds the shutdowns that this gateway knows of to `state`.
    pub fn add_departures(&self, state: &mut FleetState) {
        let now = self.clock.now();
        let departures = lock(&self.pool).departures(now);
        let departure = |departure: Departure| BackendDeparture {
            server: departure.server.0,
            ago_ms: now.saturating_sub(departure.since).0,
        };
        state.departures = departures.into_iter().map(departure).collect();
    }

    /// Records the shutdowns that another gateway knows of.
    pub fn record_departures(&self, state: &FleetState) {
        let now = self.clock.now();
        for departure in &state.departures {
            let (server, age) = (ServerId(departure.server), Millis(departure.ago_ms));
            let mut pool = lock(&self.pool);
            if !pool.record_departure(now, server, now.saturating_sub(age)) {
                continue;
            }
            let id = pool.id_of(server).cloned().unwrap_or_default();
            drop(pool);
            report_departure(id.as_str(), server, Source::Peer, age);
        }
    }
}

/// Logs and counts that a response announces a shutdown or a pause, but may not belong to the request `id`.
fn report_doubted(backend: &Backend, id: &RequestId, leaving: bool, pause: bool) {
    event!(Warn, "announcement_doubted", request = id, backend = backend.id, leaving = leaving, pause = pause);
    metrics::counter!(telemetry::ANNOUNCEMENTS_DOUBTED).increment(1);
}

/// Logs and counts that a server is shutting down. `id` is empty if the server is not listed here.
fn report_departure(id: &str, server: ServerId, source: Source, age: Millis) {
    let incarnation = format!("{:016x}", server.0);
    event!(Info, "backend_leaving", backend = id, incarnation = incarnation, source = source.as_str(), age = age);
    metrics::counter!(telemetry::DEPARTURES, "source" => source.as_str()).increment(1);
}
