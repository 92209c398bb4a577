//! Verdicts on a version in rollout, and the steps of the rollout.
//!
//! A cumulative sum test (Page's CUSUM) compares two hypotheses on a failure share: good (at most
//! `good`) against bad (at least `bad`). Unlike a plain sequential probability ratio test it stays
//! sensitive to a version that turns bad after a long good time, because its sum never falls below
//! zero.

use crate::{answer_counters::Counters, unit::Millis};

/// Sum above which a version counts as bad. With 0.5% against 5% a good version crosses it by
/// chance once in about e^16 / 0.035 = 2.6e8 answers, which is 1,000 steps of 255,000 answers each;
/// a bad one crosses it after about 225 answers.
pub const STOP_SUM: f64 = 16.0;
/// Sum of evidence for good, since the step began, that a step needs before the next one: ln(0.99 / 0.01).
const PASS_SUM: f64 = 4.6;
/// Sum above which a step waits instead of passing.
const DOUBT_SUM: f64 = 4.0;
/// Share of slow answers that a good version stays under; the latency target is a 95th percentile.
const GOOD_SLOW_SHARE: f64 = 0.05;
/// Share of slow answers of a bad version.
const BAD_SLOW_SHARE: f64 = 0.25;
/// A version that is worse rated than its baseline by this share of low ratings is bad.
const BAD_RATING_MARGIN: f64 = 0.2;
/// The bad share is at least this multiple of the good share, so that a fault that hits the
/// baseline as well does not stop the new version.
const LEAST_CONTRAST: f64 = 3.0;
/// Share of low ratings of a baseline without ratings.
const DEFAULT_LOW_SHARE: f64 = 0.1;

/// What a version is tested against.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Criteria {
    /// Error share that a good version stays under, from 0 to 1.
    pub good_error_rate: f64,
    /// Error share of a bad version, from 0 to 1.
    pub bad_error_rate: f64,
}

/// Which criterion a version failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Criterion {
    /// Errors of the backend server.
    Errors,
    /// Time to the first token.
    Latency,
    /// Low ratings.
    Ratings,
}

impl std::fmt::Display for Criterion {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Errors => "errors",
            Self::Latency => "latency",
            Self::Ratings => "ratings",
        })
    }
}

/// Running test of one version against its baseline.
#[derive(Clone, Debug, Default)]
pub struct Monitor {
    seen: Counters,
    baseline_seen: Counters,
    errors: Sum,
    slow: Sum,
    ratings: Sum,
    step: StepProgress,
}

#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    value: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct StepProgress {
    began: Option<Millis>,
    evidence_for_good: f64,
}

/// What to do with a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Leave the weight as it is.
    Wait,
    /// Go to the next step.
    Advance,
    /// Withdraw the version.
    Stop(Criterion),
}

impl Monitor {
    /// Takes in the totals of the version and of its baseline and judges.
    pub fn observe(
        &mut self,
        now: Millis,
        criteria: Criteria,
        step_time: Millis,
        version: Counters,
        baseline: Counters,
    ) -> Verdict {
        let began = *self.step.began.get_or_insert(now);
        let fresh = version.since(self.seen);
        self.seen = self.seen.max(version);
        self.baseline_seen = self.baseline_seen.max(baseline);
        let errors = Test::against(criteria.good_error_rate, criteria.bad_error_rate, self.baseline_error_rate());
        let slow =
            Test::against(GOOD_SLOW_SHARE, BAD_SLOW_SHARE, share(self.baseline_seen.slow, self.baseline_seen.answers));
        let low = share(self.baseline_seen.rated_low, self.baseline_seen.rated).unwrap_or(DEFAULT_LOW_SHARE);
        let ratings = Test { good: clamp(low), bad: clamp(low + BAD_RATING_MARGIN) };
        self.errors.add(errors, fresh.errors, fresh.answers);
        self.slow.add(slow, fresh.slow, fresh.answers);
        self.ratings.add(ratings, fresh.rated_low, fresh.rated);
        self.step.evidence_for_good -= errors.log_ratio(fresh.errors, fresh.answers);
        if let Some(criterion) = self.failed() {
            return Verdict::Stop(criterion);
        }
        let long_enough = now.saturating_sub(began) >= step_time;
        let sure = self.step.evidence_for_good >= PASS_SUM && !self.in_doubt();
        if long_enough && sure { Verdict::Advance } else { Verdict::Wait }
    }

    /// Begins the next step: time and evidence for passing count anew, evidence for stopping stays.
    pub fn begin_step(&mut self, now: Millis) {
        self.step = StepProgress { began: Some(now), evidence_for_good: 0.0 };
    }

    fn failed(&self) -> Option<Criterion> {
        let sums =
            [(self.errors, Criterion::Errors), (self.slow, Criterion::Latency), (self.ratings, Criterion::Ratings)];
        sums.into_iter().find(|(sum, _)| sum.value >= STOP_SUM).map(|(_, criterion)| criterion)
    }

    fn in_doubt(&self) -> bool {
        [self.errors, self.slow, self.ratings].iter().any(|sum| sum.value >= DOUBT_SUM)
    }

    fn baseline_error_rate(&self) -> Option<f64> {
        share(self.baseline_seen.errors, self.baseline_seen.answers)
    }
}

impl Sum {
    fn add(&mut self, test: Test, failures: u64, trials: u64) {
        self.value = (self.value + test.log_ratio(failures, trials)).max(0.0);
    }
}

/// Two hypotheses on the share of failures.
#[derive(Clone, Copy, Debug)]
struct Test {
    good: f64,
    bad: f64,
}

impl Test {
    /// Good at the declared share or the baseline's, whichever is higher; bad well above that.
    fn against(good: f64, bad: f64, baseline: Option<f64>) -> Self {
        let good = clamp(good.max(baseline.unwrap_or(0.0)));
        Self { good, bad: clamp(bad.max(good * LEAST_CONTRAST).max(good + f64::EPSILON)) }
    }

    /// Logarithm of how much likelier the failures are under bad than under good.
    fn log_ratio(self, failures: u64, trials: u64) -> f64 {
        let successes = trials.saturating_sub(failures) as f64;
        failures as f64 * (self.bad / self.good).ln() + successes * ((1.0 - self.bad) / (1.0 - self.good)).ln()
    }
}

fn share(part: u64, whole: u64) -> Option<f64> {
    /// A baseline's share is used only when this many answers stand behind it.
    const LEAST_ANSWERS: u64 = 100;
    (whole >= LEAST_ANSWERS).then(|| part as f64 / whole as f64)
}

/// Keeps a share away from 0 and 1, where logarithms are not finite.
fn clamp(share: f64) -> f64 {
    share.clamp(0.000_1, 0.95)
}
