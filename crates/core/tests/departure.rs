//! Guards against requests to servers that have announced that they shut down, and against marks without end.

use eelgrasswell_core::{
    backend::ServerId,
    departure::{Departure, Departures},
    id::BackendId,
    unit::Millis,
};
use proptest::prelude::*;
use test_case::test_case;

const NOW: Millis = Millis(1_000_000);

fn server(n: u64) -> ServerId {
    ServerId(n)
}

#[test]
fn record_is_new_once() {
    let mut departures = Departures::default();
    assert!(departures.record(NOW, server(1), NOW));
    assert!(!departures.record(NOW + Millis(5), server(1), NOW + Millis(5)));
    assert!(departures.contains(server(1)) && !departures.contains(server(2)));
    assert_eq!(departures.report(NOW), [Departure { server: server(1), since: NOW }]);
}

#[test]
fn mark_of_next_incarnation() {
    let id = BackendId::from("b1");
    let mut departures = Departures::default();
    departures.record(NOW, ServerId::of(&id, 7), NOW);
    assert!(!departures.contains(ServerId::of(&id, 8)));
}

/// A server may stay for many seconds after the announcement, and the store may list it as ready all the while.
#[test_case(true, true; "in use")]
#[test_case(false, false; "gone")]
fn expire_mark(in_use: bool, kept: bool) {
    let mut departures = Departures::default();
    departures.record(NOW, server(1), NOW);
    for minute in 1..=30 {
        departures.expire(NOW + Millis(minute * 60_000), in_use.then_some(server(1)));
    }
    assert_eq!(departures.contains(server(1)), kept);
}

#[test]
fn report_ends_before_the_mark() {
    let mut departures = Departures::default();
    departures.record(NOW, server(1), NOW);
    let later = NOW + Millis(120_000);
    assert!(departures.report(later).is_empty(), "two routers could keep each other's marks alive");
    assert!(departures.contains(server(1)));
}

#[test]
fn state_is_bounded() {
    let mut departures = Departures::default();
    for n in 0..20_000 {
        departures.record(NOW + Millis(n), server(n), NOW + Millis(n));
    }
    assert!(departures.len() <= 8_192);
    assert!(departures.contains(server(19_999)), "the newest mark was dropped");
    assert!(departures.report(NOW + Millis(20_000)).len() <= 256);
}

proptest! {
    /// Whatever the order, number and delay of the messages, a router that got one of them has the mark, and all routers
    /// that got the same ones report the same.
    #[test]
    fn messages_in_any_order(messages in prop::collection::vec((0u64..5, 0u64..50_000), 1..30)) {
        let merge = |messages: &mut dyn Iterator<Item = &(u64, u64)>| {
            let mut departures = Departures::default();
            for (n, age) in messages {
                departures.record(NOW, server(*n), NOW - Millis(*age));
            }
            departures
        };
        let (forward, backward) = (merge(&mut messages.iter()), merge(&mut messages.iter().rev()));
        prop_assert!(messages.iter().all(|(n, _)| forward.contains(server(*n))));
        prop_assert_eq!(forward.report(NOW), backward.report(NOW));
    }
}
