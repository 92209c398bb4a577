//! Guards against a bad version that is used again after its order has gone, and against a late report that withdraws a
//! version which was ordered again.

use eelgrasswell_core::{
    id::Era,
    place::Place,
    withdrawn::{Withdrawal, WithdrawnVersions},
};
use test_case::test_case;

fn place(era: u64, revision: u64) -> Place {
    Place::new(Era(era), revision)
}

/// What a router learns, with the place of the order: the revision, and after a drill, the era.
#[derive(Clone, Copy)]
enum Event {
    Verdict(u64),
    Order(u64),
    OrderInNextEra(u64),
    VerdictInNextEra(u64),
}

#[test_case(&[Event::Verdict(10)], true; "found bad")]
#[test_case(&[Event::Order(10), Event::Verdict(10)], true; "ordered and found bad")]
#[test_case(&[Event::Verdict(10), Event::Order(10)], true; "order read again")]
#[test_case(&[Event::Verdict(10), Event::Order(20)], false; "ordered again")]
#[test_case(&[Event::Verdict(10), Event::Order(20), Event::Verdict(10)], false; "late report")]
#[test_case(&[Event::Verdict(10), Event::Order(20), Event::Verdict(20)], true; "found bad again")]
#[test_case(&[Event::Verdict(10), Event::OrderInNextEra(4)], false; "ordered again after a drill")]
#[test_case(&[Event::VerdictInNextEra(4), Event::Order(10)], true; "late order of the era before")]
#[test_case(&[Event::Verdict(10), Event::OrderInNextEra(4), Event::Verdict(10)], false; "late report after a drill")]
fn contains(events: &[Event], expected: bool) {
    let mut versions = WithdrawnVersions::default();
    let verdict = |place| Withdrawal { service: "chat".into(), version: "v2".into(), place };
    for event in events {
        match *event {
            Event::Verdict(revision) => drop(versions.withdraw(verdict(place(1, revision)))),
            Event::VerdictInNextEra(revision) => drop(versions.withdraw(verdict(place(2, revision)))),
            Event::Order(revision) => versions.record_order(&"chat".into(), &"v2".into(), place(1, revision)),
            Event::OrderInNextEra(revision) => {
                versions.record_order(&"chat".into(), &"v2".into(), place(2, revision));
            }
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
        let place = place(1, revision);
        versions.withdraw(Withdrawal { service: "chat".into(), version: version.as_str().into(), place });
    }
    assert_eq!(versions.iter().count(), 256);
    assert!(versions.contains(&"chat".into(), &"v999".into()));
}
