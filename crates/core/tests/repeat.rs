//! Guards against repeats that multiply the load of an overloaded or failing service: in a retry storm, and at many
//! routers at once.

use eelgrasswell_core::{
    repeat::{Purpose, RepeatBudget, RepeatLimit},
    unit::Millis,
};
use test_case::test_case;

const LIMIT: RepeatLimit = RepeatLimit { ratio: 0.9, slack: 50.0, window: Millis(10_000) };

fn granted(budget: &mut RepeatBudget, now: Millis, purpose: Purpose, routers: usize) -> usize {
    (0..10_000).take_while(|_| budget.try_acquire(now, purpose, routers)).count()
}

#[test_case(1; "one router")]
#[test_case(5; "five routers")]
#[test_case(26; "many routers")]
fn try_acquire_all_routers_stay_within_limit(routers: usize) {
    let requests_each = 200;
    let total: usize = (0..routers)
        .map(|_| {
            let mut budget = RepeatBudget::new(LIMIT);
            (0..requests_each).for_each(|n| budget.record_request(Millis(n * 10)));
            granted(&mut budget, Millis(3_000), Purpose::Failure, routers)
        })
        .sum();
    let limit = (routers as u64 * requests_each) as f64 * LIMIT.ratio + LIMIT.slack;
    assert!(total as f64 <= limit, "{total} repeats, limit {limit}");
    assert!(total as f64 >= limit * 0.7, "{total} repeats, limit {limit}: too few are allowed");
}

#[test]
fn try_acquire_escalations_leave_room_for_failures() {
    let mut budget = RepeatBudget::new(LIMIT);
    let escalations = granted(&mut budget, Millis(1_000), Purpose::Escalation, 1);
    assert!(escalations > 0);
    assert!(granted(&mut budget, Millis(1_000), Purpose::Failure, 1) > 0);
}

#[test]
fn try_acquire_again_after_window() {
    let mut budget = RepeatBudget::new(LIMIT);
    assert!(granted(&mut budget, Millis(1_000), Purpose::Failure, 1) > 0);
    assert!(!budget.try_acquire(Millis(1_000), Purpose::Failure, 1));
    assert!(budget.try_acquire(Millis(11_001), Purpose::Failure, 1));
}

/// Guards against second sends of slow requests that leave no repeats to failed requests and escalations.
#[test]
fn try_acquire_second_sends_leave_room_for_others() {
    let mut budget = RepeatBudget::new(LIMIT);
    assert_eq!(granted(&mut budget, Millis(1_000), Purpose::SlowAnswer, 1), 0, "the fixed allowance is for others");
    (0..100).for_each(|n| budget.record_request(Millis(1_000 + n)));
    let now = Millis(2_000);
    assert!(granted(&mut budget, now, Purpose::SlowAnswer, 1) > 0);
    assert!(granted(&mut budget, now, Purpose::Escalation, 1) > 0);
    assert!(!budget.try_acquire(now, Purpose::SlowAnswer, 1));
    assert!(granted(&mut budget, now, Purpose::Failure, 1) > 0);
}
