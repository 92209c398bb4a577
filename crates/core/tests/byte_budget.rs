//! Tests of the budget of bytes held for clients.

use eelgrasswell_core::{
    byte_budget::{ByteBudget, Grant, MIN_STALL, SMALL, Use},
    unit::{Bytes, Millis},
};
use test_case::test_case;

const LIMIT: Bytes = Bytes(8 << 20);
const LARGE: Bytes = Bytes(3 << 20);

/// Guards against bytes that stay counted after their holder has closed, or are counted for another use.
#[test]
fn bytes_are_released() {
    let mut budget = ByteBudget::new(LIMIT);
    let body = budget.open(Millis(0), Use::Request);
    let answer = budget.open(Millis(0), Use::Answer);
    assert_eq!(budget.grow(Millis(0), body, LARGE), Grant::Granted);
    assert_eq!(budget.grow(Millis(0), answer, SMALL), Grant::Granted);
    budget.close(body);
    budget.close(body);
    assert_eq!((budget.held(), budget.held_for(Use::Request), budget.held_for(Use::Answer)), (SMALL, Bytes(0), SMALL));
}

/// Guards against eviction of a holder that makes progress, that waits for a server, or has just stopped.
#[test_case(MIN_STALL, true, true; "without progress")]
#[test_case(Millis(MIN_STALL.0 - 1), true, false; "just stopped")]
#[test_case(MIN_STALL, false, false; "waits for a server")]
fn eviction(stalled_for: Millis, waits_for_client: bool, evicted: bool) {
    let mut budget = ByteBudget::new(LIMIT);
    let holders = [(); 2].map(|()| budget.open(Millis(0), Use::Request));
    for id in holders {
        assert_eq!(budget.grow(Millis(0), id, LARGE), Grant::Granted);
        budget.set_waiting(Millis(0), id, waits_for_client);
    }
    let new = budget.open(stalled_for, Use::Request);
    let grant = budget.grow(stalled_for, new, LARGE);
    assert_eq!(matches!(&grant, Grant::Evict(evicted) if evicted.len() == 1), evicted, "{grant:?}");
    assert_eq!(grant == Grant::Denied, !evicted);
}

/// Guards against eviction of the wrong holder: the most bytes for the longest time without progress come first.
#[test]
fn largest_and_longest_gives_way() {
    let mut budget = ByteBudget::new(LIMIT);
    let [small_old, large_new, large_old] = [1, 2, 2].map(|megabytes| {
        let id = budget.open(Millis(0), Use::Request);
        assert_eq!(budget.grow(Millis(0), id, Bytes(megabytes << 20)), Grant::Granted);
        id
    });
    budget.record_progress(Millis(9_000), large_new);
    let new = budget.open(Millis(10_000), Use::Request);
    assert_eq!(budget.grow(Millis(10_000), new, LARGE), Grant::Evict(vec![large_old]));
    // The evicted holder has not closed yet, and no other one has to give way for the same bytes.
    assert_eq!(budget.grow(Millis(10_000), new, LARGE), Grant::Evict(vec![]));
    budget.close(large_old);
    assert_eq!(budget.grow(Millis(10_000), new, LARGE), Grant::Granted);
    let next = budget.open(Millis(10_000), Use::Request);
    assert_eq!(budget.grow(Millis(10_000), next, Bytes(2 << 20)), Grant::Evict(vec![small_old]));
    assert_eq!(budget.grow(Millis(10_000), next, LARGE), Grant::Evict(vec![large_new]));
}

/// Guards against large bodies that leave no room for small requests.
#[test]
fn reserve_for_small_requests() {
    let mut budget = ByteBudget::new(LIMIT);
    let large = budget.open(Millis(0), Use::Request);
    assert_eq!(budget.grow(Millis(0), large, LIMIT), Grant::Denied);
    assert_eq!(budget.grow(Millis(0), large, Bytes(7 << 20)), Grant::Granted);
    let small = budget.open(Millis(0), Use::Request);
    assert_eq!(budget.grow(Millis(0), small, SMALL), Grant::Granted);
    assert_eq!(budget.grow(Millis(0), small, SMALL), Grant::Denied);
}
