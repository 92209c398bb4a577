//! What answers tell of versions and backend servers: counters by version, pooled over all routers, and usual times.

use std::sync::Mutex;

use eelgrasswell_core::{
    evidence::{Board, Counters},
    hash::HashMap,
    id::{Incarnation, ModelName, ServiceName, VersionName},
    latency::{LatencyEstimates, SLOW_FACTOR},
    unit::Millis,
};

use crate::sync::lock;

/// Answers counted by this router and reported by others.
#[derive(Default)]
pub struct Evidence {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    own: HashMap<(ServiceName, VersionName), Counters>,
    board: Board<ServiceName>,
    usual: LatencyEstimates,
}

/// One send, as far as it tells of the version.
#[derive(Clone, Copy, Debug)]
pub struct Sample<'a> {
    /// Service that was asked.
    pub service: &'a ServiceName,
    /// Version of the backend server.
    pub version: &'a VersionName,
    /// Model that was asked; empty for plain services.
    pub model: &'a ModelName,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// What came of it.
    pub outcome: SampleOutcome,
}

/// What a send tells of the version that it went to. A connection that breaks tells nothing: it is the server, or the
/// way to it, that has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SampleOutcome {
    /// The answer began after this time.
    Answered(Millis),
    /// The server answered with a failure, or with an answer that is not its own.
    Failed,
    /// It was given up because the server was silent for several times the usual time.
    Silent,
}

impl Evidence {
    /// Usual time to the beginning of an answer; none before the first.
    pub fn expected(&self, service: &ServiceName, model: &ModelName, prompt: u64) -> Option<Millis> {
        lock(&self.state).usual.expected(service, model, prompt)
    }

    /// Counts a sample; returns how many times the usual time it took.
    pub fn note(&self, sample: Sample<'_>) -> f64 {
        let mut state = lock(&self.state);
        let slowness = match sample.outcome {
            SampleOutcome::Answered(elapsed) => {
                state.usual.record(sample.service, sample.model, sample.prompt, elapsed)
            }
            SampleOutcome::Failed => 1.0,
            SampleOutcome::Silent => f64::INFINITY,
        };
        let counters = state.own.entry((sample.service.clone(), sample.version.clone())).or_default();
        counters.answers += 1;
        counters.errors += u64::from(sample.outcome == SampleOutcome::Failed);
        counters.slow += u64::from(slowness > SLOW_FACTOR);
        slowness
    }

    /// Takes in what a router has counted.
    pub fn report(&self, service: &ServiceName, version: &VersionName, reporter: Incarnation, counters: Counters) {
        lock(&self.state).board.report(service, version, reporter, counters);
    }

    /// All that is known, with the own counts under `own`.
    pub fn reports(&self, own: Incarnation) -> Vec<(ServiceName, VersionName, Incarnation, Counters)> {
        let mut state = lock(&self.state);
        let state = &mut *state;
        for ((service, version), counters) in &state.own {
            state.board.report(service, version, own, *counters);
        }
        let copy = |(service, version, reporter, counters): (&ServiceName, &VersionName, _, _)| {
            (service.clone(), version.clone(), reporter, counters)
        };
        state.board.reports().map(copy).collect()
    }

    /// Counts of all routers for `target` and for the other versions of the service.
    pub fn compare(&self, own: Incarnation, service: &ServiceName, target: &VersionName) -> (Counters, Counters) {
        let of_service = |report: &(ServiceName, VersionName, Incarnation, Counters)| report.0 == *service;
        let reports: Vec<_> = self.reports(own).into_iter().filter(of_service).collect();
        let sum = |on_target: bool| {
            let side = reports.iter().filter(|(_, version, _, _)| (version == target) == on_target);
            side.fold(Counters::default(), |sum, (_, _, _, counters)| sum.plus(*counters))
        };
        (sum(true), sum(false))
    }
}
