//! Exposure to a version that turns bad: shared evidence against one observer of all answers and
//! against local evidence only; and false stops of a healthy version.

use eelgrasswell_core::{
    answer_counters::{Counters, MergedCounters},
    id::{Incarnation, ModelName, VersionName},
    rollout::{Criteria, Monitor, Verdict},
    unit::Millis,
};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::table::{Table, decimal};

/// Routers of the fleet at the target size.
const ROUTERS: usize = 350;
/// Requests a second of one router at the target size.
const ROUTER_RATE: f64 = 24.0;
/// Step of the run.
const TICK_MS: u64 = 20;
/// Least time between two reports of a router when errors are fresh.
const ERROR_REPORT_MS: u64 = 60;
/// Time between two reports of a router without errors.
const REPORT_MS: u64 = 1_000;
/// Time from the verdict until all routers know it: conditional write, watch and push.
const COMMIT_MS: u64 = 300;
/// Longest run before a version that was not stopped counts as missed.
const LIMIT_MS: u64 = 900_000;
const CRITERIA: Criteria = Criteria { good_error_rate: 0.005, bad_error_rate: 0.05 };
/// No step ends during an experiment.
const STEP_TIME: Millis = Millis(u64::MAX);

/// How the evidence is gathered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    OneObserver,
    Shared,
    LocalOnly,
}

/// Exposure for each seed: requests that met the bad version until the last one.
pub fn run(seeds: &[u64]) -> Table {
    let mut table =
        Table::new(&["share", "seed", "one_observer", "shared", "ratio", "local_only", "local_ratio", "shared_s"]);
    for share in [0.01, 0.05, 0.25] {
        for &seed in seeds {
            let one = exposure(Mode::OneObserver, share, seed);
            let shared = exposure(Mode::Shared, share, seed);
            let local = exposure(Mode::LocalOnly, share, seed);
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

/// False stops of a version whose true error rate is `rate`, over steps of 255,000 answers.
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
    requests: u64,
    millis: u64,
}

struct Fleet {
    model: ModelName,
    version: VersionName,
    local: Vec<Counters>,
    reported_at: Vec<u64>,
    reported: Vec<Counters>,
    board: MergedCounters,
}

impl Fleet {
    /// Reports a router's totals when it is due: soon after an error, else at the slow interval.
    fn report_due(&mut self, router: usize, now: u64) -> bool {
        let fresh_error = self.local[router].errors > self.reported[router].errors;
        let fresh = self.local[router] != self.reported[router];
        let since = now - self.reported_at[router];
        let due = fresh && since >= if fresh_error { ERROR_REPORT_MS } else { REPORT_MS };
        if due {
            self.reported_at[router] = now;
            self.reported[router] = self.local[router];
            let reporter = Incarnation(router as u64);
            self.board.merge(&self.model, &self.version, reporter, self.local[router]);
        }
        due
    }
}

/// Counts the requests that meet a version with the bad error rate until nobody sends it any more.
fn exposure(mode: Mode, share: f64, seed: u64) -> Exposure {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Fleet {
        model: "plan-small".into(),
        version: "v2".into(),
        local: vec![Counters::default(); ROUTERS],
        reported_at: (0..ROUTERS as u64).map(|_| 0).collect(),
        reported: vec![Counters::default(); ROUTERS],
        board: MergedCounters::default(),
    };
    let mut shared = Monitor::default();
    let mut local = vec![Monitor::default(); ROUTERS];
    let mut stopped = vec![false; ROUTERS];
    let mut all = Counters::default();
    let mut everyone_stops_at = u64::MAX;
    let mut requests = 0;
    let arrivals = ROUTER_RATE * share * TICK_MS as f64 / 1e3;
    for now in (ERROR_REPORT_MS..LIMIT_MS).step_by(TICK_MS as usize) {
        if now >= everyone_stops_at || stopped.iter().all(|stopped| *stopped) {
            return Exposure { requests, millis: now - ERROR_REPORT_MS };
        }
        for router in (0..ROUTERS).filter(|&router| !stopped[router]) {
            for _ in 0..count(arrivals, &mut rng) {
                let answer = Counters { answers: 1, errors: u64::from(rng.random_bool(0.05)), ..Counters::default() };
                requests += 1;
                all = all.plus(answer);
                fleet.local[router] = fleet.local[router].plus(answer);
                if mode == Mode::OneObserver && judge(&mut shared, now, all) {
                    return Exposure { requests, millis: now };
                }
            }
        }
        match mode {
            Mode::OneObserver => {}
            Mode::Shared => {
                let due = (0..ROUTERS).filter(|&router| fleet.report_due(router, now)).count() > 0;
                let totals = fleet.board.totals(&fleet.model, &fleet.version);
                if due && everyone_stops_at == u64::MAX && judge(&mut shared, now, totals) {
                    everyone_stops_at = now + COMMIT_MS;
                }
            }
            Mode::LocalOnly => {
                for router in (0..ROUTERS).filter(|&router| !stopped[router]).collect::<Vec<_>>() {
                    stopped[router] = judge(&mut local[router], now, fleet.local[router]);
                }
            }
        }
    }
    Exposure { requests, millis: LIMIT_MS }
}

fn judge(monitor: &mut Monitor, now: u64, totals: Counters) -> bool {
    let verdict = monitor.observe(Millis(now), CRITERIA, STEP_TIME, totals, Counters::default());
    matches!(verdict, Verdict::Stop(_))
}

/// Number of arrivals in a tick whose mean is `mean`, well under one.
fn count(mean: f64, rng: &mut impl Rng) -> u64 {
    let whole = mean.floor();
    whole as u64 + u64::from(rng.random_bool(mean - whole))
}
