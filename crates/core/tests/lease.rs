//! Tests of lease observation.

use eelgrasswell_core::{
    lease::{LEASE_EXPIRY, LeaseObserver, MAX_OBSERVATION_GAP},
    unit::Millis,
};
use test_case::test_case;

/// Guards against taking over a lease whose holder renews it, or whose holder could not renew it during
/// a gap in the observation, and against never taking over an expired lease.
#[test_case(&[(0, 1), (2_000, 1), (4_000, 1), (6_000, 1)], true; "unchanged")]
#[test_case(&[(0, 1), (2_000, 1), (4_000, 1), (5_999, 1)], false; "not long enough")]
#[test_case(&[(0, 1), (2_000, 1), (4_000, 2), (6_000, 2)], false; "renewed")]
#[test_case(&[(0, 1), (2_000, 1), (20_000, 1)], false; "gap after an outage")]
#[test_case(&[(0, 1), (20_000, 1), (22_000, 1), (24_000, 1), (26_000, 1)], true; "unchanged after a gap")]
#[test_case(&[(0, 0), (2_500, 0), (5_000, 0), (6_000, 0)], true; "never held")]
#[test_case(&[], false; "not observed")]
fn observer_expired(observations: &[(u64, u64)], expired: bool) {
    let mut observer = LeaseObserver::default();
    for (at, version) in observations {
        observer.observe(*version, Millis(*at));
    }
    assert_eq!(observer.expired(), expired);
}

/// Guards against a maximum gap that is not shorter than the expiry time.
#[test]
fn gap_below_expiry() {
    assert!(MAX_OBSERVATION_GAP < LEASE_EXPIRY);
}
