//! Guards against a refusal that a faulty server writes again or late and that is taken for the response to another request.

use eelgrasswell_core::{
    backend::ServerId,
    id::RequestId,
    not_run::{Evidence, Named, NotRun, Received, UnnamedRefusals, Unsent},
    unit::Millis,
};
use test_case::test_case;

fn id(n: usize) -> RequestId {
    RequestId::from(format!("r{n}").as_str())
}

fn evidence(proof: Option<NotRun>) -> Option<Evidence> {
    proof.map(|proof| proof.evidence())
}

#[test_case(Some("r1"), Named::ThisRequest; "its own id")]
#[test_case(Some("r2"), Named::OtherRequest; "another id")]
#[test_case(None, Named::Nothing; "no id")]
fn named_by_id(named: Option<&str>, expected: Named) {
    assert_eq!(Named::by_id(named, &id(1)), expected);
}

#[test]
fn request_that_was_not_written() {
    assert_eq!(Unsent::begin().give_up().evidence(), Evidence::Unsent);
}

#[test]
fn refusals_that_name_their_requests() {
    let mut received = Received::default();
    received.record_response();
    assert!((0..20).all(|n| evidence(received.record_refusal(&id(n), Named::ThisRequest)) == Some(Evidence::Named)));
}

#[test]
fn refusal_that_names_another_request() {
    assert_eq!(Received::default().record_refusal(&id(1), Named::OtherRequest), None);
}

/// The first response on a connection can't be an earlier one. Any later one can, also the first refusal after answers.
#[test]
fn refusals_without_a_name() {
    let mut received = Received::default();
    assert_eq!(evidence(received.record_refusal(&id(1), Named::Nothing)), Some(Evidence::FirstResponse));
    assert_eq!(received.record_refusal(&id(2), Named::Nothing), None);
    let mut received = Received::default();
    assert!(received.record_refusal(&id(1), Named::ThisRequest).is_some());
    assert_eq!(received.record_refusal(&id(2), Named::Nothing), None);
    let mut received = Received::default();
    received.record_response();
    assert_eq!(received.record_refusal(&id(1), Named::Nothing), None);
    let mut received = Received::default();
    assert_eq!(received.record_refusal(&id(1), Named::OtherRequest), None);
    assert_eq!(received.record_refusal(&id(2), Named::Nothing), None);
}

/// A request that was refused on a connection would get its own earlier refusal there.
#[test]
fn request_is_not_sent_where_it_was_refused() {
    let mut received = Received::default();
    assert!(received.record_refusal(&id(1), Named::ThisRequest).is_some());
    assert!(received.record_refusal(&id(2), Named::ThisRequest).is_some());
    assert!(!received.allow(&id(1)) && received.allow(&id(3)));
    assert_eq!(received.record_refusal(&id(1), Named::ThisRequest), None);
}

#[test]
fn record_is_bounded() {
    let mut received = Received::default();
    let mut refuse = |n| received.allow(&id(n)) && received.record_refusal(&id(n), Named::ThisRequest).is_some();
    assert_eq!((0..1_000).filter(|&n| refuse(n)).count(), 32);
    assert!(received.is_full());
}

#[test]
fn unnamed_refusals_expire() {
    let mut unnamed = UnnamedRefusals::default();
    assert!(!unnamed.contains(Millis(0), ServerId(1)));
    assert!(unnamed.record(Millis(0), ServerId(1)));
    assert!(!unnamed.record(Millis(1_000), ServerId(1)));
    assert!(unnamed.contains(Millis(600_999), ServerId(1)) && !unnamed.contains(Millis(600_999), ServerId(2)));
    assert!(!unnamed.contains(Millis(601_000), ServerId(1)));
}

#[test]
fn unnamed_refusals_are_bounded() {
    let mut unnamed = UnnamedRefusals::default();
    for n in 0..20_000 {
        unnamed.record(Millis(0), ServerId(n));
    }
    assert_eq!(unnamed.len(), 8_192);
    assert!(unnamed.record(Millis(600_000), ServerId(30_000)), "no server is recorded after a time");
    assert_eq!(unnamed.len(), 1);
}
