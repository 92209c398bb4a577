//! Retry budget and backoff times.

use eelgrasswell_core::{
    retry::{RetryBudget, backoff},
    unit::Millis,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const START: Millis = Millis(1_000);

fn acquired(budget: &mut RetryBudget, now: Millis) -> u32 {
    (0..1_000).take_while(|_| budget.try_acquire(now)).count() as u32
}

/// Guards against retry storms: retries stay below a tenth of the requests plus the minimum rate.
#[test_case(0, 0, 5; "minimum rate at the start")]
#[test_case(500, 0, 55; "tenth of the requests")]
#[test_case(100_000, 0, 100; "accumulated")]
#[test_case(0, 60_000, 5; "idle time does not accumulate")]
fn budget_bounds_retries(requests: u32, idle: u64, expected: u32) {
    let mut budget = RetryBudget::new(START);
    (0..requests).for_each(|_| budget.record_request());
    assert!(acquired(&mut budget, START + Millis(idle)).abs_diff(expected) <= 1);
}

/// Guards against a budget that is not refilled, and against clock values that arrive out of order.
#[test]
fn budget_refills() {
    let mut budget = RetryBudget::new(START);
    assert_eq!(acquired(&mut budget, START), 5);
    assert!(!budget.try_acquire(START + Millis(150)));
    assert!(budget.try_acquire(START + Millis(250)));
    assert!(!budget.try_acquire(START));
}

/// Guards against waits without jitter or without a maximum.
#[test_case(0, 20; "first")]
#[test_case(3, 160; "fourth")]
#[test_case(40, 1_000; "maximum")]
fn backoff_grows(attempt: u32, limit: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let waits: Vec<_> = (0..500).map(|_| backoff(attempt, &mut rng).0).collect();
    let longest = *waits.iter().max().unwrap();
    assert!(longest <= limit && longest > limit / 2);
    assert!(*waits.iter().min().unwrap() < limit / 4);
}
