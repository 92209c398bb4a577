//! Guards against a refusal that a faulty server writes again and that is taken for the response to another request.

use eelgrasswell_core::{
    id::RequestId,
    not_run::{Named, Refusals},
};
use test_case::test_case;

fn id(n: usize) -> RequestId {
    RequestId::from(format!("r{n}").as_str())
}

#[test_case(Some("r1"), Named::ThisRequest; "its own id")]
#[test_case(Some("r2"), Named::OtherRequest; "another id")]
#[test_case(None, Named::Nothing; "no id")]
fn named_by_id(named: Option<&str>, expected: Named) {
    assert_eq!(Named::by_id(named, &id(1)), expected);
}

#[test]
fn refusals_that_name_their_requests() {
    let mut refusals = Refusals::default();
    assert!((0..20).all(|n| refusals.record(&id(n), Named::ThisRequest)));
}

#[test]
fn refusal_that_names_another_request() {
    assert!(!Refusals::default().record(&id(1), Named::OtherRequest));
}

/// The first refusal on a connection can't be an earlier one. Any later one can.
#[test]
fn refusals_without_a_name() {
    let mut refusals = Refusals::default();
    assert!(refusals.record(&id(1), Named::Nothing));
    assert!(!refusals.record(&id(2), Named::Nothing));
    let mut refusals = Refusals::default();
    assert!(refusals.record(&id(1), Named::ThisRequest));
    assert!(!refusals.record(&id(2), Named::Nothing));
}

/// A request that was refused on a connection would get its own earlier refusal there.
#[test]
fn request_is_not_sent_where_it_was_refused() {
    let mut refusals = Refusals::default();
    refusals.record(&id(1), Named::ThisRequest);
    refusals.record(&id(2), Named::ThisRequest);
    assert!(!refusals.allow(&id(1)) && refusals.allow(&id(3)));
    assert!(!refusals.record(&id(1), Named::ThisRequest));
}

#[test]
fn record_is_bounded() {
    let mut refusals = Refusals::default();
    let carried = (0..1_000).filter(|&n| refusals.allow(&id(n)) && refusals.record(&id(n), Named::ThisRequest)).count();
    assert_eq!(carried, 32);
    assert!(refusals.is_full());
}
