//! Guards against an older copy of the store that undoes what was in force, and against what stays in force for too long.

use eelgrasswell_core::{
    backend::Backend,
    canary::{Order, OrderState},
    drill::{GoneServers, Retained, RetainedObjects, config_outlives, order_outlives, server_outlives},
    id::{Era, Revision},
    place::Place,
    unit::Millis,
};
use test_case::test_case;

const NOW: Millis = Millis(10_000);

fn server(started_at: u64, draining: bool, cold_ms: u64) -> Backend {
    Backend {
        id: "b1".into(),
        service: "chat".into(),
        address: ([10, 0, 0, 1], 80).into(),
        domain: "a".into(),
        version: "v1".into(),
        slots: 8,
        draining,
        cold_remaining: Millis(cold_ms),
        started_at,
    }
}

fn order(target: &str, state: OrderState) -> Order {
    Order { service: "chat".into(), target: target.into(), duration: Millis(20_000), state, place: Place::default() }
}

fn place(era: u64, revision: u64) -> Place {
    Place::new(Era(era), revision)
}

#[test_case(Some(4), true; "an older one")]
#[test_case(Some(5), false; "the same")]
#[test_case(Some(6), false; "a newer one, which was written again before it was read")]
#[test_case(None, true; "none")]
fn config_outlives_copy(listed: Option<u64>, expected: bool) {
    assert_eq!(config_outlives(Revision(5), listed.map(Revision)), expected);
}

#[test_case(server(1, true, 0), server(1, false, 0), true; "it drains")]
#[test_case(server(1, false, 0), server(1, true, 0), false; "it drains in the copy")]
#[test_case(server(1, false, 900), server(1, false, 0), true; "it is cold")]
#[test_case(server(1, false, 0), server(1, false, 900), false; "it was cold")]
#[test_case(server(2, false, 0), server(1, true, 0), true; "it has started again")]
#[test_case(server(1, true, 900), server(2, false, 0), false; "the copy has a later start")]
#[test_case(server(1, false, 0), server(1, false, 0), false; "no difference")]
fn server_outlives_copy(known: Backend, listed: Backend, expected: bool) {
    assert_eq!(server_outlives(&known, &listed), expected);
}

#[test_case(None, true; "none")]
#[test_case(Some(order("v2", OrderState::New)), false; "the same")]
#[test_case(Some(order("v1", OrderState::Completed)), true; "the order before, carried out")]
#[test_case(Some(order("v1", OrderState::Running)), true; "the order before, in progress")]
#[test_case(Some(order("v3", OrderState::New)), false; "one that is new")]
fn order_outlives_copy(listed: Option<Order>, expected: bool) {
    assert_eq!(order_outlives(&order("v2", OrderState::RolledBack), listed.as_ref()), expected);
}

#[test]
fn gone_servers_contain() {
    let mut gone = GoneServers::default();
    assert!(!gone.contains(NOW, &server(5, false, 0)));
    gone.record(NOW, &server(5, false, 0));
    assert!(gone.contains(NOW, &server(5, false, 0)));
    assert!(gone.contains(NOW, &server(4, false, 0)), "an earlier incarnation");
    assert!(!gone.contains(NOW, &server(6, false, 0)), "a later incarnation");
    assert!(!gone.contains(NOW + Millis(60_000), &server(5, false, 0)), "it is forgotten");
    gone.remove(&"b1".into());
    assert!(!gone.contains(NOW, &server(5, false, 0)), "it is back");
}

#[test]
fn gone_servers_are_bounded() {
    let mut gone = GoneServers::default();
    for n in 0..2_000u64 {
        gone.record(NOW + Millis(n), &Backend { id: format!("b{n}").as_str().into(), ..server(1, false, 0) });
    }
    let later = NOW + Millis(2_000);
    let count = (0..2_000)
        .filter(|n| gone.contains(later, &Backend { id: format!("b{n}").as_str().into(), ..server(1, false, 0) }));
    assert_eq!(count.count(), 1_024);
}

/// An object that was known at 1:117 and is retained since 2:105.
fn retained(was_listed: bool, until: Option<Millis>) -> Retained<u32> {
    Retained { object: Some(7), place: place(1, 117), first_seen: place(2, 105), was_listed, until }
}

const UNTIL: Option<Millis> = Some(Millis(40_000));

#[test_case(false, UNTIL, None, true; "the copy has none")]
#[test_case(true, UNTIL, Some(place(2, 90)), true; "the copy has an older one")]
#[test_case(true, UNTIL, Some(place(2, 106)), false; "written again")]
#[test_case(false, UNTIL, Some(place(2, 106)), false; "written again where the copy had none")]
#[test_case(true, UNTIL, None, false; "deleted again")]
#[test_case(true, None, Some(place(2, 106)), true; "it stays until it is removed")]
fn retained_until_written(was_listed: bool, until: Option<Millis>, listed: Option<Place>, stays: bool) {
    let mut objects = RetainedObjects::default();
    assert!(objects.insert("a".into(), retained(was_listed, until), was_listed.then(|| place(2, 90))));
    objects.drop_written(|_| listed);
    assert_eq!(objects.get("a").is_some(), stays);
    // The same report of another router changes nothing then, however late it comes.
    assert!(!objects.insert("a".into(), retained(was_listed, until), listed));
    assert_eq!(objects.get("a").is_some(), stays);
}

#[test]
fn retained_expires() {
    let mut objects = RetainedObjects::default();
    objects.insert("a".into(), retained(false, UNTIL), None);
    objects.insert("b".into(), retained(false, None), None);
    assert!(objects.expire(Millis(39_999)).is_empty());
    assert_eq!(objects.expire(Millis(40_000)), ["a"]);
    assert!(objects.expire(Millis(u64::MAX)).is_empty());
}

#[test]
fn retained_by_the_latest_knowledge() {
    let mut objects = RetainedObjects::default();
    let later = Retained { object: None, place: place(1, 118), ..retained(false, UNTIL) };
    assert!(objects.insert("a".into(), retained(false, UNTIL), None));
    assert!(objects.insert("a".into(), later.clone(), None));
    assert!(!objects.insert("a".into(), retained(false, UNTIL), None), "a late report");
    assert_eq!(objects.get("a"), Some(&later));
}
