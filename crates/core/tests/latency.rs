//! Guards against callers that miss their deadline because of an unresponsive server, and against slow servers that are
//! taken for unresponsive ones.

use eelgrasswell_core::{
    latency::{LatencyEstimates, attempt_timeout, overdue_after},
    unit::Millis,
};
use test_case::test_case;

/// Estimates after responses that took `responses` milliseconds.
fn estimates_after(responses: impl IntoIterator<Item = u64>) -> LatencyEstimates {
    let mut estimates = LatencyEstimates::default();
    for elapsed in responses {
        estimates.record(&"s".into(), &"m".into(), 0, Millis(elapsed));
    }
    estimates
}

#[test]
fn expected_grows_with_prompt() {
    let estimates = estimates_after([60; 20]);
    let expected = |prompt| estimates.expected(&"s".into(), &"m".into(), prompt).unwrap();
    assert_eq!(expected(0), Millis(60));
    assert_eq!(expected(7_200), Millis(180));
    assert_eq!(estimates.expected(&"s".into(), &"other".into(), 0), None);
}

#[test]
fn record_one_slow_response_changes_little() {
    let mut estimates = estimates_after([100; 50]);
    assert!(estimates.record(&"s".into(), &"m".into(), 0, Millis(10_000)) > 90.0);
    let expected = estimates.expected(&"s".into(), &"m".into(), 0).unwrap();
    assert!(expected <= Millis(120), "{expected}");
}

#[test]
fn record_overload_raises_timeout() {
    let normal = estimates_after([100; 50]).expected(&"s".into(), &"m".into(), 0);
    let overload = estimates_after([100; 50].into_iter().chain([350; 60])).expected(&"s".into(), &"m".into(), 0);
    let remaining = Millis(15_000);
    let normal = attempt_timeout(Millis(2_000), normal, remaining);
    let overload = attempt_timeout(Millis(2_000), overload, remaining);
    assert!(normal <= Millis(1_200) && overload >= Millis(2_000), "{normal} {overload}");
}

#[test_case(Some(100), 15_000, 1_100; "expected time known")]
#[test_case(None, 15_000, 5_000; "expected time not known")]
#[test_case(Some(9_000), 15_000, 5_000; "capped by the objective")]
#[test_case(Some(100), 1_000, 450; "little time remaining")]
fn attempt_timeout_case(expected: Option<u64>, remaining: u64, timeout: u64) {
    assert_eq!(attempt_timeout(Millis(2_000), expected.map(Millis), Millis(remaining)), Millis(timeout));
}

#[test_case(Some(100), 600; "expected time known")]
#[test_case(None, 2_000; "expected time not known")]
#[test_case(Some(900), 2_000; "capped by the objective")]
fn overdue_after_case(expected: Option<u64>, overdue: u64) {
    assert_eq!(overdue_after(Millis(2_000), expected.map(Millis)), Millis(overdue));
}
