//! Statistics of backend servers' answers: counters by version, pooled over all routers, and expected latencies.

use std::sync::Mutex;

use eelgrasswell_core::{
    answer_counters::{Counters, MergedCounters},
    hash::HashMap,
    id::{Incarnation, ModelName, ServiceName, VersionName},
    latency::{LatencyEstimates, SLOW_FACTOR},
    pace::PaceEstimates,
    request_kind::{CountersByKind, RequestKind},
    unit::Millis,
};

use crate::sync::lock;

/// Counters of this router and those reported by others, and this router's latency estimates.
#[derive(Default)]
pub struct ResponseStats {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// This router's counters.
    own: HashMap<(ServiceName, RequestKind, VersionName), Counters>,
    /// Counters of all routers.
    merged: MergedCounters<(ServiceName, RequestKind)>,
    latencies: LatencyEstimates,
    paces: PaceEstimates,
}

/// Running totals of one router for one version.
#[derive(Clone, Debug)]
pub struct Report {
    /// Service.
    pub service: ServiceName,
    /// Kind of the requests.
    pub kind: RequestKind,
    /// Version of the backend servers.
    pub version: VersionName,
    /// The router.
    pub reporter: Incarnation,
    /// Its totals.
    pub counters: Counters,
}

/// Result of one send, for the statistics.
#[derive(Clone, Copy, Debug)]
pub struct Sample<'a> {
    /// Service of the request.
    pub service: &'a ServiceName,
    /// Kind of the request.
    pub kind: RequestKind,
    /// Version of the backend server.
    pub version: &'a VersionName,
    /// Model that the request ran on; empty for plain services.
    pub model: &'a ModelName,
    /// Length of the prompt in tokens.
    pub prompt: u64,
    /// Whether an earlier send of the request failed. Most such requests fail at any server, so what becomes of them says
    /// little about the version.
    pub has_failed: bool,
    /// How the send ended.
    pub outcome: SampleOutcome,
}

/// How a send ended. Broken connections are not counted: they are failures of the server or the network and say nothing
/// about the version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SampleOutcome {
    /// The answer began after this time.
    Answered(Millis),
    /// The server answered with a failure, or the answer is not the server's own answer to this request: it belongs to
    /// another request, lacks the server's signature, or was encoded on the way.
    Failed,
    /// The send was abandoned because the server did not answer within several times the expected latency, or before
    /// the request's deadline.
    TimedOut,
}

impl ResponseStats {
    /// Expected time to the first byte of an answer; none before the first answer.
    pub fn expected_latency(&self, service: &ServiceName, model: &ModelName, prompt: u64) -> Option<Millis> {
        lock(&self.state).latencies.expected(service, model, prompt)
    }

    /// Counts a sample, unless an earlier send of the request failed. Returns its latency as a multiple of the expected one: 1 for a failure, infinity for a timeout.
    pub fn record(&self, sample: Sample<'_>) -> f64 {
        let mut state = lock(&self.state);
        let slowness = match sample.outcome {
            SampleOutcome::Answered(elapsed) => {
                state.latencies.record(sample.service, sample.model, sample.prompt, elapsed)
            }
            SampleOutcome::Failed => 1.0,
            SampleOutcome::TimedOut => f64::INFINITY,
        };
        if sample.has_failed {
            return slowness;
        }
        let key = (sample.service.clone(), sample.kind, sample.version.clone());
        let counters = state.own.entry(key).or_default();
        counters.answers += 1;
        counters.errors += u64::from(sample.outcome == SampleOutcome::Failed);
        counters.slow += u64::from(slowness > SLOW_FACTOR);
        slowness
    }

    /// Counts the pace of a stream, in milliseconds per byte. `on_trial` is whether its version is being rolled out.
    pub fn record_pace(
        &self,
        service: &ServiceName,
        version: &VersionName,
        model: &ModelName,
        pace: f64,
        on_trial: bool,
    ) {
        let mut state = lock(&self.state);
        let is_slow = state.paces.is_slow(service, model, pace, on_trial);
        let key = (service.clone(), RequestKind::Stream, version.clone());
        let counters = state.own.entry(key).or_default();
        counters.paced += 1;
        counters.slow_paced += u64::from(is_slow);
    }

    /// Usual pace of the answers of a model, in milliseconds per byte; none before the first answer.
    pub fn usual_pace(&self, service: &ServiceName, model: &ModelName) -> Option<f64> {
        lock(&self.state).paces.median(service, model)
    }

    /// Records the counters that another router reports.
    pub fn record_peer(&self, report: Report) {
        let Report { service, kind, version, reporter, counters } = report;
        lock(&self.state).merged.merge(&(service, kind), &version, reporter, counters);
    }

    /// The counters of all routers. This router's own are reported under `own`.
    pub fn all_counters(&self, own: Incarnation) -> Vec<Report> {
        let mut state = lock(&self.state);
        let state = &mut *state;
        for ((service, kind, version), counters) in &state.own {
            state.merged.merge(&(service.clone(), *kind), version, own, *counters);
        }
        let report = |((service, kind), version, reporter, counters): (&(ServiceName, _), &VersionName, _, _)| Report {
            service: service.clone(),
            kind: *kind,
            version: version.clone(),
            reporter,
            counters,
        };
        state.merged.reports().map(report).collect()
    }

    /// Totals over all routers: for the version `target`, and for the other versions of the service.
    pub fn compare(
        &self,
        own: Incarnation,
        service: &ServiceName,
        target: &VersionName,
    ) -> (CountersByKind, CountersByKind) {
        let (mut on_target, mut on_others) = (CountersByKind::default(), CountersByKind::default());
        for report in self.all_counters(own).into_iter().filter(|report| report.service == *service) {
            let side = if report.version == *target { &mut on_target } else { &mut on_others };
            side.add(report.kind, report.counters);
        }
        (on_target, on_others)
    }
}
