//! Guards against a bad version that is not stopped, and against a good version that is.

use eelgrasswell_core::{
    answer_counters::{Counters, MergedCounters},
    id::Incarnation,
    rollout::{Criteria, Criterion, Monitor, Verdict},
    unit::Millis,
};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const CRITERIA: Criteria = Criteria { good_error_rate: 0.005, bad_error_rate: 0.05 };
const STEP_TIME: Millis = Millis(1_000);

fn add(totals: &mut Counters, answers: u64, errors: f64, rng: &mut impl Rng) {
    totals.answers += answers;
    totals.errors += (0..answers).filter(|_| rng.random_bool(errors)).count() as u64;
}

/// Number of answers after which the monitor stops a version; none if it does not within `limit` answers.
fn answers_until_stop(good_first: u64, rate: f64, limit: u64, seed: u64) -> Option<u64> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (mut monitor, mut totals) = (Monitor::default(), Counters::default());
    totals.answers = good_first;
    totals.errors = good_first * 5 / 1_000;
    monitor.observe(Millis(1), CRITERIA, STEP_TIME, totals, Counters::default());
    for answers in 1..=limit {
        add(&mut totals, 1, rate, &mut rng);
        if let Verdict::Stop(_) = monitor.observe(Millis(1), CRITERIA, STEP_TIME, totals, Counters::default()) {
            return Some(answers);
        }
    }
    None
}

#[test_case(0; "bad from the start")]
#[test_case(1_000_000; "bad after a million good answers")]
fn observe_bad_version(good_first: u64) {
    for seed in 1..=20 {
        let answers = answers_until_stop(good_first, 0.05, 5_000, seed);
        assert!(answers.is_some_and(|answers| answers < 1_500), "seed {seed}: {answers:?}");
    }
}

#[test]
fn observe_good_version() {
    for seed in 1..=5 {
        assert_eq!(answers_until_stop(0, 0.005, 200_000, seed), None, "seed {seed}");
    }
}

/// A fault that affects both versions must not stop the new one.
#[test]
fn observe_fault_of_both_versions() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let (mut monitor, mut version, mut baseline) = (Monitor::default(), Counters::default(), Counters::default());
    for _ in 0..200 {
        add(&mut version, 100, 0.06, &mut rng);
        add(&mut baseline, 1_000, 0.06, &mut rng);
        let verdict = monitor.observe(Millis(1), CRITERIA, STEP_TIME, version, baseline);
        assert!(!matches!(verdict, Verdict::Stop(_)), "{verdict:?}");
    }
}

#[test_case(|c: &mut Counters| c.slow += 50, Criterion::Latency; "slow first tokens")]
#[test_case(|c: &mut Counters| c.rated_low += 50, Criterion::Ratings; "low ratings")]
#[test_case(|c: &mut Counters| c.errors += 50, Criterion::Errors; "errors")]
fn observe_each_criterion(worsen: impl Fn(&mut Counters), expected: Criterion) {
    let (mut monitor, mut totals) = (Monitor::default(), Counters::default());
    for _ in 0..10 {
        totals.answers += 100;
        totals.rated += 100;
        worsen(&mut totals);
        let verdict = monitor.observe(Millis(1), CRITERIA, STEP_TIME, totals, Counters::default());
        if verdict == Verdict::Stop(expected) {
            return;
        }
    }
    panic!("the version was not stopped for {expected}");
}

#[test_case(500, 1_000, Verdict::Wait; "too early")]
#[test_case(1_500, 50, Verdict::Wait; "too few answers")]
#[test_case(1_500, 1_000, Verdict::Advance; "enough time and answers")]
fn observe_step(elapsed: u64, answers: u64, expected: Verdict) {
    let (mut monitor, mut totals) = (Monitor::default(), Counters::default());
    monitor.begin_step(Millis(1));
    totals.answers = answers;
    let verdict = monitor.observe(Millis(1 + elapsed), CRITERIA, STEP_TIME, totals, Counters::default());
    assert_eq!(verdict, expected);
}

/// Repeated and reordered reports and a restarted reporter must not distort the totals.
#[test]
fn merge_repeated_reordered_restarted() {
    let (model, version) = ("m".into(), "v".into());
    let counters = |answers, errors| Counters { answers, errors, ..Counters::default() };
    let mut merged: MergedCounters = MergedCounters::default();
    merged.merge(&model, &version, Incarnation(1), counters(20, 2));
    merged.merge(&model, &version, Incarnation(1), counters(10, 1));
    merged.merge(&model, &version, Incarnation(1), counters(20, 2));
    merged.merge(&model, &version, Incarnation(2), counters(5, 1));
    assert_eq!(merged.totals(&model, &version), counters(25, 3));
    merged.retain(|_, _| false);
    assert!(merged.is_empty());
}
