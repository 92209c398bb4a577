//! Exposure of requests to a version that becomes bad, when routers share their evidence, compared with one observer of
//! all answers and with local evidence only. Also counts false stops of a healthy version.

use eelgrasswell_core::{
    answer_counters::{Counters, MergedCounters},
    id::{Incarnation, ModelName, VersionName},
    rollout::{Criteria, Monitor, Verdict},
    unit::Millis,
};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::table::{Table, decimal};

/// Number of routers in the fleet at the target size.
const ROUTERS: usize = 350;
/// Requests per second of one router at the target size.
const REQUESTS_PER_S: f64 = 24.0;
/// Time step of the simulation.
const TICK_MS: u64 = 20;
/// Shortest time between two reports of a router that has new errors to report.
const ERROR_REPORT_MS: u64 = 60;
/// Shortest time between two reports of a router without new errors.
const REPORT_MS: u64 = 1_000;
/// Time from the verdict until all routers have received it: conditional write, watch and push.
const COMMIT_MS: u64 = 300;
/// Time after which a run ends and a version that was not stopped counts as missed.
const LIMIT_MS: u64 = 900_000;
const CRITERIA: Criteria = Criteria { good_error_rate: 0.005, bad_error_rate: 0.05 };
/// Duration of a rollout step, so that no step ends during an experiment.
const STEP_TIME: Millis = Millis(u64::MAX);

/// Evidence on which a version is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// One observer that sees every answer at once.
    OneObserver,
    /// Totals of all routers, merged from their reports.
    Shared,
    /// Each router's own answers.
    LocalOnly,
}

/// Measures the exposure for each share of traffic and each seed: the number of requests sent to the bad version.
pub fn run(seeds: &[u64]) -> Table {
    let mut table =
        Table::new(&["share", "seed", "one_observer", "shared", "ratio", "local_only", "local_ratio", "shared_s"]);
    for share in [0.01, 0.05, 0.25] {
        for &seed in seeds {
            let one = measure_exposure(Mode::OneObserver, share, seed);
            let shared = measure_exposure(Mode::Shared, share, seed);
            let local = measure_exposure(Mode::LocalOnly, share, seed);
            table.add_row(&[
                &share,
                &seed,
                &one.requests,
                &shared.requests,
                &decimal(shared.requests as f64 / one.requests as f64),
                &local.requests,
                &decimal(local.requests as f64 / one.requests as f64),
                &decimal(shared.millis as f64 / 1e3),
            ]);
        }
    }
    table
}

/// Counts the false stops of a version whose true error rate is `rate`, over steps of 255,000 answers.
pub fn false_stops(steps: u64, rate: f64, seed: u64) -> Table {
    const STEP_ANSWERS: u64 = 255_000;
    const BATCH: u64 = 85;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (mut stops, mut totals) = (0u64, Counters::default());
    let mut monitor = Monitor::default();
    for step in 0..steps {
        monitor.begin_step(Millis(step));
        for _ in 0..STEP_ANSWERS / BATCH {
            totals.answers += BATCH;
            totals.errors += (0..BATCH).filter(|_| rng.random_bool(rate)).count() as u64;
            if let Verdict::Stop(_) = monitor.observe(Millis(step), CRITERIA, STEP_TIME, totals, Counters::default()) {
                stops += 1;
                monitor = Monitor::default();
                totals = Counters::default();
            }
        }
    }
    let mut table = Table::new(&["true_rate", "seed", "steps", "answers", "false_stops"]);
    table.add_row(&[&rate, &seed, &steps, &(steps * STEP_ANSWERS), &stops]);
    table
}

struct Exposure {
    /// Requests sent to the bad version.
    requests: u64,
    /// Time until no router sends it any more, in milliseconds.
    millis: u64,
}

/// Routers' counters, and the reports that they have merged.
struct Fleet {
    model: ModelName,
    version: VersionName,
    /// Current totals, by router.
    local: Vec<Counters>,
    /// Time of the last report in milliseconds, by router.
    reported_at: Vec<u64>,
    /// Totals in the last report, by router.
    reported: Vec<Counters>,
    merged: MergedCounters,
}

impl Fleet {
    /// Reports a router's totals if a report is due: soon after an error, otherwise at the longer interval. Returns whether
    /// it reported.
    fn report_if_due(&mut self, router: usize, now: u64) -> bool {
        let has_new_errors = self.local[router].errors > self.reported[router].errors;
        let has_changed = self.local[router] != self.reported[router];
        let elapsed = now - self.reported_at[router];
        let due = has_changed && elapsed >= if has_new_errors { ERROR_REPORT_MS } else { REPORT_MS };
        if due {
            self.reported_at[router] = now;
            self.reported[router] = self.local[router];
            let reporter = Incarnation(router as u64);
            self.merged.merge(&self.model, &self.version, reporter, self.local[router]);
        }
        due
    }
}

/// Counts the requests sent to a version with the bad error rate until no router sends it any more.
fn measure_exposure(mode: Mode, share: f64, seed: u64) -> Exposure {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Fleet {
        model: "plan-small".into(),
        version: "v2".into(),
        local: vec![Counters::default(); ROUTERS],
        reported_at: (0..ROUTERS as u64).map(|_| 0).collect(),
        reported: vec![Counters::default(); ROUTERS],
        merged: MergedCounters::default(),
    };
    let mut shared_monitor = Monitor::default();
    let mut local_monitors = vec![Monitor::default(); ROUTERS];
    let mut stopped = vec![false; ROUTERS];
    let mut totals_seen = Counters::default();
    let mut all_stop_at = u64::MAX;
    let mut requests = 0;
    let arrivals = REQUESTS_PER_S * share * TICK_MS as f64 / 1e3;
    for now in (ERROR_REPORT_MS..LIMIT_MS).step_by(TICK_MS as usize) {
        if now >= all_stop_at || stopped.iter().all(|stopped| *stopped) {
            return Exposure { requests, millis: now - ERROR_REPORT_MS };
        }
        for router in (0..ROUTERS).filter(|&router| !stopped[router]) {
            for _ in 0..sample_arrivals(arrivals, &mut rng) {
                let answer = Counters { answers: 1, errors: u64::from(rng.random_bool(0.05)), ..Counters::default() };
                requests += 1;
                totals_seen = totals_seen.plus(answer);
                fleet.local[router] = fleet.local[router].plus(answer);
                if mode == Mode::OneObserver && is_stop_verdict(&mut shared_monitor, now, totals_seen) {
                    return Exposure { requests, millis: now };
                }
            }
        }
        match mode {
            Mode::OneObserver => {}
            Mode::Shared => {
                let any_reported = (0..ROUTERS).filter(|&router| fleet.report_if_due(router, now)).count() > 0;
                let totals = fleet.merged.totals(&fleet.model, &fleet.version);
                if any_reported && all_stop_at == u64::MAX && is_stop_verdict(&mut shared_monitor, now, totals) {
                    all_stop_at = now + COMMIT_MS;
                }
            }
            Mode::LocalOnly => {
                for router in (0..ROUTERS).filter(|&router| !stopped[router]).collect::<Vec<_>>() {
                    stopped[router] = is_stop_verdict(&mut local_monitors[router], now, fleet.local[router]);
                }
            }
        }
    }
    Exposure { requests, millis: LIMIT_MS }
}

/// Gives new totals to a monitor and returns whether its verdict is to stop the version.
fn is_stop_verdict(monitor: &mut Monitor, now: u64, totals: Counters) -> bool {
    let verdict = monitor.observe(Millis(now), CRITERIA, STEP_TIME, totals, Counters::default());
    matches!(verdict, Verdict::Stop(_))
}

/// Samples a number of arrivals in a tick with mean `mean`, which is well below one.
fn sample_arrivals(mean: f64, rng: &mut impl Rng) -> u64 {
    let whole = mean.floor();
    whole as u64 + u64::from(rng.random_bool(mean - whole))
}
