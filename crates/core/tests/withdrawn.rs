//! Guards against a bad version that is used again after its order has gone, and against a late report that withdraws a
//! version which was ordered again.

use eelgrasswell_core::withdrawn::{Withdrawal, WithdrawnVersions};
use test_case::test_case;

/// What a router learns, with the revision of the order.
#[derive(Clone, Copy)]
enum Event {
    Verdict(u64),
    Order(u64),
}

#[test_case(&[Event::Verdict(10)], true; "found bad")]
#[test_case(&[Event::Order(10), Event::Verdict(10)], true; "ordered and found bad")]
#[test_case(&[Event::Verdict(10), Event::Order(10)], true; "order read again")]
#[test_case(&[Event::Verdict(10), Event::Order(20)], false; "ordered again")]
#[test_case(&[Event::Verdict(10), Event::Order(20), Event::Verdict(10)], false; "late report")]
#[test_case(&[Event::Verdict(10), Event::Order(20), Event::Verdict(20)], true; "found bad again")]
fn contains(events: &[Event], expected: bool) {
    let mut versions = WithdrawnVersions::default();
    let verdict = |revision| Withdrawal { service: "chat".into(), version: "v2".into(), revision };
    for event in events {
        match event {
            Event::Verdict(revision) => drop(versions.withdraw(verdict(*revision))),
            Event::Order(revision) => versions.record_order(&"chat".into(), &"v2".into(), *revision),
        }
    }
    assert_eq!(versions.contains(&"chat".into(), &"v2".into()), expected);
    assert!(!versions.contains(&"chat".into(), &"v1".into()));
    assert!(!versions.contains(&"desk".into(), &"v2".into()));
    assert_eq!(versions.iter().count(), usize::from(expected));
}

#[test]
fn withdraw_is_bounded() {
    let mut versions = WithdrawnVersions::default();
    for revision in 0..1_000 {
        let version = format!("v{revision}");
        versions.withdraw(Withdrawal { service: "chat".into(), version: version.as_str().into(), revision });
    }
    assert_eq!(versions.iter().count(), 256);
    assert!(versions.contains(&"chat".into(), &"v999".into()));
}
