//! Guards against callers that lose their deadline to a silent server, and slow servers that are taken for silent ones.

use eelgrasswell_core::{
    latency::{LatencyEstimates, attempt_timeout, overdue_after},
    unit::Millis,
};
use test_case::test_case;

fn after(answers: impl IntoIterator<Item = u64>) -> LatencyEstimates {
    let mut times = LatencyEstimates::default();
    for elapsed in answers {
        times.record(&"s".into(), &"m".into(), 0, Millis(elapsed));
    }
    times
}

#[test]
fn expected_grows_with_prompt() {
    let times = after([60; 20]);
    let expected = |prompt| times.expected(&"s".into(), &"m".into(), prompt).unwrap();
    assert_eq!(expected(0), Millis(60));
    assert_eq!(expected(7_200), Millis(180));
    assert_eq!(times.expected(&"s".into(), &"other".into(), 0), None);
}

#[test]
fn note_one_slow_answer_changes_little() {
    let mut times = after([100; 50]);
    assert!(times.record(&"s".into(), &"m".into(), 0, Millis(10_000)) > 90.0);
    let expected = times.expected(&"s".into(), &"m".into(), 0).unwrap();
    assert!(expected <= Millis(120), "{expected}");
}

#[test]
fn note_overload_raises_patience() {
    let calm = after([100; 50]).expected(&"s".into(), &"m".into(), 0);
    let loaded = after([100; 50].into_iter().chain([350; 60])).expected(&"s".into(), &"m".into(), 0);
    let left = Millis(15_000);
    let (calm, loaded) = (attempt_timeout(Millis(2_000), calm, left), attempt_timeout(Millis(2_000), loaded, left));
    assert!(calm <= Millis(1_200) && loaded >= Millis(2_000), "{calm} {loaded}");
}

#[test_case(Some(100), 15_000, 1_100; "usual time known")]
#[test_case(None, 15_000, 5_000; "usual time not known")]
#[test_case(Some(9_000), 15_000, 5_000; "never more than by the objective")]
#[test_case(Some(100), 1_000, 450; "little time left")]
fn attempt_timeout_case(usual: Option<u64>, left: u64, expected: u64) {
    assert_eq!(attempt_timeout(Millis(2_000), usual.map(Millis), Millis(left)), Millis(expected));
}

#[test_case(Some(100), 600; "usual time known")]
#[test_case(None, 2_000; "usual time not known")]
#[test_case(Some(900), 2_000; "never more than the objective")]
fn overdue_after_case(usual: Option<u64>, expected: u64) {
    assert_eq!(overdue_after(Millis(2_000), usual.map(Millis)), Millis(expected));
}
