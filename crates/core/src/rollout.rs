//! Evaluates a version during its rollout, and decides when the rollout advances to the next step.
//!
//! A cumulative sum test (Page's CUSUM) compares two hypotheses on a failure rate: good (at most
//! `good`) against bad (at least `bad`). Unlike a plain sequential probability ratio test, it stays
//! sensitive to a version that turns bad after it was good for a long time, because its sum never falls
//! below zero.

use crate::{answer_counters::Counters, unit::Millis};

/// Sum from which a version counts as bad. With 0.5% against 5%, a good version reaches it by chance
/// once in about e^16 / 0.035 = 2.6e8 answers, which is 1,000 steps of 255,000 answers each; a bad one
/// reaches it after about 225 answers.
pub const STOP_SUM: f64 = 16.0;
/// Evidence for a good version that a step must collect before the next step: ln(0.99 / 0.01).
pub const PASS_SUM: f64 = 4.6;
/// Sum from which a step waits instead of advancing.
const DOUBT_SUM: f64 = 4.0;
/// Maximum rate of slow answers of a good version; the latency target is a 95th percentile.
const GOOD_SLOW_RATE: f64 = 0.05;
/// Rate of slow answers of a bad version.
const BAD_SLOW_RATE: f64 = 0.25;
/// Difference by which the rate of low ratings of a bad version exceeds that of its baseline.
const BAD_RATING_MARGIN: f64 = 0.2;
/// Minimum ratio of the bad rate to the good rate, so that a fault that also affects the baseline does
/// not stop the new version.
const MIN_RATE_RATIO: f64 = 3.0;
/// Assumed rate of low ratings of a baseline with too few ratings.
const DEFAULT_LOW_RATE: f64 = 0.1;

/// Error rates that a version is tested against.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Criteria {
    /// Maximum error rate of a good version, from 0 to 1.
    pub good_error_rate: f64,
    /// Error rate of a bad version, from 0 to 1.
    pub bad_error_rate: f64,
}

/// Criterion that a version failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Criterion {
    /// Errors of the backend server.
    Errors,
    /// Time to the first token.
    Latency,
    /// Pace of the tokens after the first one.
    Pace,
    /// Low ratings.
    Ratings,
}

impl std::fmt::Display for Criterion {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Errors => "errors",
            Self::Latency => "latency",
            Self::Pace => "pace",
            Self::Ratings => "ratings",
        })
    }
}

/// Continuous test of one version against its baseline.
#[derive(Clone, Debug, Default)]
pub struct Monitor {
    /// Totals of the version that the sums include.
    seen: Counters,
    baseline_seen: Counters,
    errors: CumulativeSum,
    slow: CumulativeSum,
    pace: CumulativeSum,
    ratings: CumulativeSum,
    step: StepProgress,
}

/// Evidence that a version is bad, never below zero.
#[derive(Clone, Copy, Debug, Default)]
struct CumulativeSum {
    value: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct StepProgress {
    started: Option<Millis>,
    evidence_for_good: f64,
}

/// Decision on a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Keep the weight of the version.
    Wait,
    /// Go to the next step.
    Advance,
    /// Withdraw the version.
    Stop(Criterion),
}

impl Monitor {
    /// Records the totals of the version and of its baseline, and evaluates the version.
    pub fn observe(
        &mut self,
        now: Millis,
        criteria: Criteria,
        step_time: Millis,
        version: Counters,
        baseline: Counters,
    ) -> Verdict {
        let started = *self.step.started.get_or_insert(now);
        let added = version.since(self.seen);
        self.seen = self.seen.max(version);
        self.baseline_seen = self.baseline_seen.max(baseline);
        let errors = Hypotheses::against(criteria.good_error_rate, criteria.bad_error_rate, self.baseline_error_rate());
        let slow = Hypotheses::against(
            GOOD_SLOW_RATE,
            BAD_SLOW_RATE,
            rate(self.baseline_seen.slow, self.baseline_seen.answers),
        );
        let pace = Hypotheses::against(
            GOOD_SLOW_RATE,
            BAD_SLOW_RATE,
            rate(self.baseline_seen.slow_paced, self.baseline_seen.paced),
        );
        let low = rate(self.baseline_seen.rated_low, self.baseline_seen.rated).unwrap_or(DEFAULT_LOW_RATE);
        let ratings = Hypotheses { good: clamp(low), bad: clamp(low + BAD_RATING_MARGIN) };
        self.errors.add(errors, added.errors, added.answers);
        self.slow.add(slow, added.slow, added.answers);
        self.pace.add(pace, added.slow_paced, added.paced);
        self.ratings.add(ratings, added.rated_low, added.rated);
        self.step.evidence_for_good -= errors.log_ratio(added.errors, added.answers);
        if let Some(criterion) = self.failed_criterion() {
            return Verdict::Stop(criterion);
        }
        let step_time_over = now.saturating_sub(started) >= step_time;
        let is_good = self.step.evidence_for_good >= PASS_SUM && !self.in_doubt();
        if step_time_over && is_good { Verdict::Advance } else { Verdict::Wait }
    }

    /// Starts the next step. This resets the time and the evidence for a good version, but not the evidence for a bad
    /// one.
    pub fn begin_step(&mut self, now: Millis) {
        self.step = StepProgress { started: Some(now), evidence_for_good: 0.0 };
    }

    fn failed_criterion(&self) -> Option<Criterion> {
        self.criterion_from(STOP_SUM)
    }

    /// The criterion on which there is evidence that the version is bad, although perhaps not enough to stop it.
    pub fn doubted_criterion(&self) -> Option<Criterion> {
        self.criterion_from(DOUBT_SUM)
    }

    /// The first criterion whose evidence against the version reaches `limit`.
    fn criterion_from(&self, limit: f64) -> Option<Criterion> {
        let sums = [
            (self.errors, Criterion::Errors),
            (self.slow, Criterion::Latency),
            (self.pace, Criterion::Pace),
            (self.ratings, Criterion::Ratings),
        ];
        sums.into_iter().find(|(sum, _)| sum.value >= limit).map(|(_, criterion)| criterion)
    }

    /// Evidence of the present step that the version fails no more requests than a good one, as a log-likelihood ratio.
    pub fn evidence_for_good(&self) -> f64 {
        self.step.evidence_for_good
    }

    /// Evidence that the version fails too many requests, as a log-likelihood ratio
    pub fn error_sum(&self) -> f64 {
        self.errors.value
    }

    /// Whether there is evidence that the version is bad, although not enough to stop it.
    pub fn in_doubt(&self) -> bool {
        self.doubted_criterion().is_some()
    }

    fn baseline_error_rate(&self) -> Option<f64> {
        rate(self.baseline_seen.errors, self.baseline_seen.answers)
    }
}

impl CumulativeSum {
    fn add(&mut self, hypotheses: Hypotheses, failures: u64, trials: u64) {
        self.value = (self.value + hypotheses.log_ratio(failures, trials)).max(0.0);
    }
}

/// Failure rates of a good and of a bad version.
#[derive(Clone, Copy, Debug)]
struct Hypotheses {
    good: f64,
    bad: f64,
}

impl Hypotheses {
    /// The good rate is the higher one of the given `good` rate and the rate of the baseline. The bad rate is at least
    /// `MIN_RATE_RATIO` times the good one.
    fn against(good: f64, bad: f64, baseline: Option<f64>) -> Self {
        let good = clamp(good.max(baseline.unwrap_or(0.0)));
        Self { good, bad: clamp(bad.max(good * MIN_RATE_RATIO).max(good + f64::EPSILON)) }
    }

    /// Log-likelihood ratio of the failures under the bad rate to those under the good rate.
    fn log_ratio(self, failures: u64, trials: u64) -> f64 {
        let successes = trials.saturating_sub(failures) as f64;
        failures as f64 * (self.bad / self.good).ln() + successes * ((1.0 - self.bad) / (1.0 - self.good)).ln()
    }
}

/// Failure rate of a baseline; none if it is based on too few answers or ratings. An estimate from few of them is made
/// higher, so that chance does not make the baseline look better than it is.
fn rate(failures: u64, trials: u64) -> Option<f64> {
    /// Minimum number of answers or ratings.
    const MIN_TRIALS: u64 = 20;
    /// Number from which the estimate is taken as it is.
    const MANY_TRIALS: u64 = 100;
    let failures = if trials < MANY_TRIALS { failures + 1 } else { failures };
    (trials >= MIN_TRIALS).then(|| failures as f64 / trials as f64)
}

/// Keeps a rate away from 0 and 1, where the logarithms are not finite.
fn clamp(rate: f64) -> f64 {
    rate.clamp(0.000_1, 0.95)
}
