//! Guards against a version that begins its answers in time, generates them several times slower, and is kept.

use eelgrasswell_core::{
    id::{ModelName, ServiceName},
    pace::{PaceEstimates, PaceSampler},
    unit::{Bytes, Millis},
};
use test_case::test_case;

/// Pace of an answer of `pieces` pieces of 100 bytes, one each `pause`.
fn pace(pieces: u64, pause: u64) -> Option<f64> {
    let mut sampler = PaceSampler::default();
    let early = (0..pieces).find_map(|n| sampler.record(Millis(1_000 + n * pause), Bytes(100)));
    early.or_else(|| sampler.finish())
}

#[test_case(40, 20, Some(0.2); "long answer")]
#[test_case(40, 160, Some(1.6); "long slow answer")]
#[test_case(5, 20, Some(0.2); "short answer")]
#[test_case(2, 20, None; "too short an answer")]
#[test_case(0, 20, None; "no data")]
fn sample(pieces: u64, pause: u64, expected: Option<f64>) {
    assert_eq!(pace(pieces, pause), expected);
}

/// Guards against an answer that is counted twice.
#[test]
fn sample_is_taken_once() {
    let mut sampler = PaceSampler::default();
    let samples = (0..50).filter_map(|n| sampler.record(Millis(1_000 + n * 50), Bytes(100))).count();
    assert_eq!((samples, sampler.finish()), (1, None));
}

/// Guards against a slow version on trial that shifts the median that it is compared with (issue 20, EXPOSURE).
#[test]
fn version_on_trial_does_not_change_the_median() {
    let (service, model) = (ServiceName::from("chat"), ModelName::from("small"));
    let mut estimates = PaceEstimates::default();
    for _ in 0..100 {
        assert!(!estimates.is_slow(&service, &model, 0.2, false));
    }
    for _ in 0..1_000 {
        assert!(estimates.is_slow(&service, &model, 1.6, true));
    }
    assert!(!estimates.is_slow(&service, &model, 0.3, true));
}

/// Guards against a few very slow answers that make a slow version look like the others.
#[test]
fn median_ignores_outliers() {
    let (service, model) = (ServiceName::from("chat"), ModelName::from("small"));
    let mut estimates = PaceEstimates::default();
    for n in 0..200 {
        estimates.is_slow(&service, &model, if n % 10 == 0 { 4.0 } else { 0.2 }, false);
    }
    assert!(estimates.is_slow(&service, &model, 0.6, true));
}
