//! Guards against a bad version that gets too many requests, against a good version whose rollout is not completed in
//! time, and against sessions that change versions.

use eelgrasswell_core::{
    answer_counters::Counters,
    canary::{Canary, Order, OrderState, VersionRule},
    hash::stable_hash,
    unit::Millis,
};
use test_case::test_case;

const START: Millis = Millis(100_000);
const DURATION: Millis = Millis(20_000);
const SESSION_TIMEOUT: Millis = Millis(5_000);

fn order(state: OrderState) -> Order {
    Order { service: "chat".into(), target: "v2".into(), duration: DURATION, state }
}

fn counters(answers: u64, errors: u64) -> Counters {
    Counters { answers, errors, ..Counters::default() }
}

fn on_target(rule: &VersionRule) -> bool {
    rule.only.as_ref().is_some_and(|version| version.as_str() == "v2")
}

/// Share of 2,000 new sessions that go to the new version at `at`.
fn share(canary: &mut Canary, at: Millis) -> f64 {
    let sessions = (0..2_000).map(|n: u32| stable_hash(&[&at.to_string(), &n.to_string()]));
    let selected = sessions.filter(|session| on_target(&canary.version_rule(at, *session, SESSION_TIMEOUT))).count();
    selected as f64 / 2_000.0
}

#[test]
fn version_rule_good_version_moves_in_time() {
    let mut canary = Canary::new(order(OrderState::Running), START);
    assert_eq!(share(&mut canary, START + Millis(500)), 0.0);
    let first_half = share(&mut canary, START + Millis(5_000));
    assert!((0.03..0.09).contains(&first_half), "{first_half}");
    canary.evaluate(START + Millis(9_000), counters(80, 0), counters(1_000, 2));
    assert_eq!(share(&mut canary, START + Millis(14_000)), 1.0);
    assert_eq!(canary.next_state(START + Millis(14_000), false), None);
    assert_eq!(canary.next_state(START + Millis(14_000), true), Some(OrderState::Completed));
    assert_eq!(canary.next_state(START + Millis(18_500), false), Some(OrderState::Completed));
}

#[test]
fn version_rule_without_answers_never_gets_all() {
    let mut canary = Canary::new(order(OrderState::Running), START);
    assert!(share(&mut canary, START + Millis(15_000)) < 0.4);
    assert_eq!(canary.next_state(START + Millis(19_000), true), None);
}

#[test_case(counters(30, 12), counters(900, 0); "errors")]
#[test_case(Counters { slow: 25, ..counters(40, 0) }, counters(900, 0); "slow")]
#[test_case(Counters { paced: 30, slow_paced: 15, ..counters(40, 0) },
    Counters { paced: 600, slow_paced: 12, ..counters(900, 0) }; "slow after the first byte")]
#[test_case(counters(60, 40), counters(900, 120); "more errors than a failing baseline")]
fn evaluate_bad_version(target: Counters, baseline: Counters) {
    let mut canary = Canary::new(order(OrderState::Running), START);
    assert!(canary.evaluate(START + Millis(5_000), target, baseline));
    assert_eq!(canary.next_state(START + Millis(5_000), false), Some(OrderState::RolledBack));
    let rule = canary.version_rule(START + Millis(5_000), 1, SESSION_TIMEOUT);
    assert_eq!(rule, VersionRule { only: None, excluded: Some("v2".into()), strict: true });
}

#[test_case(counters(100, 1), counters(900, 4); "few errors")]
#[test_case(counters(100, 14), counters(900, 126); "as many errors as the baseline")]
fn evaluate_good_version(target: Counters, baseline: Counters) {
    let mut canary = Canary::new(order(OrderState::Running), START);
    assert!(!canary.evaluate(START + Millis(5_000), target, baseline));
}

#[test]
fn evaluate_version_that_turns_bad_late() {
    let mut canary = Canary::new(order(OrderState::Running), START);
    assert!(!canary.evaluate(START + Millis(9_000), counters(400, 2), counters(3_000, 10)));
    assert!(canary.evaluate(START + Millis(13_000), counters(430, 17), counters(3_100, 10)));
}

#[test]
fn version_rule_keeps_session_on_old_in_first_half() {
    let mut canary = Canary::new(order(OrderState::Running), START);
    let in_share = (0..).find(|session| session % 10_000 < 100).unwrap();
    canary.pin_to_old(in_share, START);
    for at in [2_000, 4_000, 8_000] {
        assert!(!on_target(&canary.version_rule(START + Millis(at), in_share, SESSION_TIMEOUT)), "moved after {at} ms");
    }
    assert_eq!(canary.sessions_kept_on_old(START + Millis(8_000), SESSION_TIMEOUT), [in_share]);
    canary.evaluate(START + Millis(9_000), counters(80, 0), counters(1_000, 2));
    assert!(on_target(&canary.version_rule(START + Millis(14_000), in_share, SESSION_TIMEOUT)));
}

#[test]
fn version_rule_keeps_session_on_new_version() {
    let mut canary = Canary::new(order(OrderState::Running), START);
    let session = 10_000_000;
    assert!(on_target(&canary.version_rule(START + Millis(3_000), session, SESSION_TIMEOUT)));
    canary.evaluate(START + Millis(9_000), counters(80, 0), counters(1_000, 2));
    assert!(on_target(&canary.version_rule(START + Millis(7_000), session, SESSION_TIMEOUT)));
    assert!(on_target(&canary.version_rule(START + Millis(11_000), session, SESSION_TIMEOUT)));
}

#[test]
fn version_rule_after_end() {
    let mut completed = Canary::new(order(OrderState::Completed), START);
    assert_eq!(completed.version_rule(START, 1, SESSION_TIMEOUT).only, Some("v2".into()));
    let mut rolled_back = Canary::new(order(OrderState::RolledBack), START);
    assert_eq!(rolled_back.version_rule(START, 1, SESSION_TIMEOUT).excluded, Some("v2".into()));
    assert_eq!(completed.next_state(START + DURATION, true), None);
    assert_eq!(rolled_back.next_state(START + DURATION, true), None);
}

#[test]
fn merge_elapsed_keeps_longest() {
    let mut restarted = Canary::new(order(OrderState::Running), START);
    restarted.merge_elapsed(START, Millis(9_000));
    restarted.merge_elapsed(START, Millis(4_000));
    assert_eq!(restarted.elapsed(START + Millis(1_000)), Millis(10_000));
}
