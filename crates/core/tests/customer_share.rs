//! Guards against a customer whose excess displaces the others, and against taking the growth of all for one's excess.

use eelgrasswell_core::{customer_share::CustomerShares, id::CustomerId, unit::Millis};
use test_case::test_case;

const START: u64 = 100_000;

/// Sends `per_second` requests of each customer for `seconds`, and admits each; returns the time after it.
fn send(shares: &mut CustomerShares, from: u64, seconds: u64, per_second: &[(&str, u64)]) -> u64 {
    for second in 0..seconds {
        let now = Millis(from + second * 1_000);
        shares.learn(now);
        for (customer, count) in per_second {
            for _ in 0..*count {
                shares.record_arrival(now, &CustomerId::from(*customer));
                shares.record_admission(now, &CustomerId::from(*customer));
            }
        }
    }
    from + seconds * 1_000
}

#[test_case(&[("a", 10), ("b", 10), ("c", 10)], false; "as usual")]
#[test_case(&[("a", 75), ("b", 10), ("c", 10)], true; "one customer presses")]
#[test_case(&[("a", 20), ("b", 20), ("c", 20)], false; "the load of all doubles")]
#[test_case(&[("a", 5), ("b", 5), ("c", 5)], false; "half of the load")]
fn excess(loads: &[(&str, u64)], expected: bool) {
    let mut shares = CustomerShares::default();
    let now = send(&mut shares, START, 100, &[("a", 10), ("b", 10), ("c", 10)]);
    let now = Millis(send(&mut shares, now, 20, loads) - 500);
    assert_eq!(shares.is_excess(now, &"a".into()), expected);
    assert!(!shares.is_excess(now, &"b".into()) && !shares.is_excess(now, &"c".into()));
}

/// Guards against a gateway that has just started and takes any load for excess.
#[test]
fn excess_without_history() {
    let mut shares = CustomerShares::default();
    let now = Millis(send(&mut shares, START, 8, &[("a", 90), ("b", 1)]) - 500);
    assert!(!shares.is_excess(now, &"a".into()));
}

/// Guards against counts of more than the last 10 s, and against state that grows with the number of customers.
#[test]
fn state_expires_and_is_bounded() {
    let mut shares = CustomerShares::default();
    let customer = CustomerId::from("a");
    shares.record_admission(Millis(START), &customer);
    let admitted = |shares: &CustomerShares, after: u64| shares.admitted(Millis(START + after), &customer);
    assert_eq!((admitted(&shares, 9_000), admitted(&shares, 10_000)), (1, 0));
    for n in 0..5_000 {
        shares.record_arrival(Millis(START), &format!("c{n}").as_str().into());
    }
    assert_eq!(shares.len(), 1_024);
    shares.learn(Millis(START));
    shares.learn(Millis(START + 700_000));
    assert!(shares.is_empty());
}
