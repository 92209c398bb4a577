//! Statistics of backend servers' answers: counters by version, pooled over all routers, and expected latencies.

use std::sync::Mutex;

use eelgrasswell_core::{
    answer_counters::{Counters, MergedCounters},
    hash::HashMap,
    id::{Incarnation, ModelName, ServiceName, VersionName},
    latency::{LatencyEstimates, SLOW_FACTOR},
    pace::PaceEstimates,
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
    own: HashMap<(ServiceName, VersionName), Counters>,
    /// Counters of all routers.
    merged: MergedCounters<ServiceName>,
    latencies: LatencyEstimates,
    paces: PaceEstimates,
}

/// Result of one send, for the statistics.
#[derive(Clone, Copy, Debug)]
pub struct Sample<'a> {
    /// Service of the request.
    pub service: &'a ServiceName,
    /// Version of the backend server.
    pub version: &'a VersionName,
    /// Model that the request ran on; empty for plain services.
    pub model: &'a ModelName,
    /// Length of the prompt in tokens.
    pub prompt: u64,
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

    /// Counts a sample. Returns its latency as a multiple of the expected one: 1 for a failure, infinity for a timeout.
    pub fn record(&self, sample: Sample<'_>) -> f64 {
        let mut state = lock(&self.state);
        let slowness = match sample.outcome {
            SampleOutcome::Answered(elapsed) => {
                state.latencies.record(sample.service, sample.model, sample.prompt, elapsed)
            }
            SampleOutcome::Failed => 1.0,
            SampleOutcome::TimedOut => f64::INFINITY,
        };
        let counters = state.own.entry((sample.service.clone(), sample.version.clone())).or_default();
        counters.answers += 1;
        counters.errors += u64::from(sample.outcome == SampleOutcome::Failed);
        counters.slow += u64::from(slowness > SLOW_FACTOR);
        slowness
    }

    /// Counts the pace of an answer, in milliseconds per byte. `on_trial` is whether its version is being rolled out.
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
        let counters = state.own.entry((service.clone(), version.clone())).or_default();
        counters.paced += 1;
        counters.slow_paced += u64::from(is_slow);
    }

    /// Records the counters that another router reports.
    pub fn record_peer(&self, service: &ServiceName, version: &VersionName, reporter: Incarnation, counters: Counters) {
        lock(&self.state).merged.merge(service, version, reporter, counters);
    }

    /// The counters of all routers by service, version and reporter. This router's own are reported under `own`.
    pub fn all_counters(&self, own: Incarnation) -> Vec<(ServiceName, VersionName, Incarnation, Counters)> {
        let mut state = lock(&self.state);
        let state = &mut *state;
        for ((service, version), counters) in &state.own {
            state.merged.merge(service, version, own, *counters);
        }
        let copy = |(service, version, reporter, counters): (&ServiceName, &VersionName, _, _)| {
            (service.clone(), version.clone(), reporter, counters)
        };
        state.merged.reports().map(copy).collect()
    }

    /// Totals over all routers: for the version `target`, and for the other versions of the service.
    pub fn compare(&self, own: Incarnation, service: &ServiceName, target: &VersionName) -> (Counters, Counters) {
        let of_service = |report: &(ServiceName, VersionName, Incarnation, Counters)| report.0 == *service;
        let reports: Vec<_> = self.all_counters(own).into_iter().filter(of_service).collect();
        let sum = |on_target: bool| {
            let side = reports.iter().filter(|(_, version, _, _)| (version == target) == on_target);
            side.fold(Counters::default(), |sum, (_, _, _, counters)| sum.plus(*counters))
        };
        (sum(true), sum(false))
    }
}
