//! Guards against bytes in a caller's stream that are no events of it, and against events that come twice.

use eelgrasswell_core::event_order::{EventFault, EventOrder};
use proptest::prelude::*;
use test_case::test_case;

fn accept(after: Option<&str>, events: &str) -> (usize, Option<EventFault>) {
    EventOrder::after(after.map(Into::into)).accept(events.as_bytes())
}

#[test_case("id: 1\ndata: a\n\n"; "id and data")]
#[test_case("id:1\r\ndata:a\r\n\r\nid:2\r\ndata:b\r\n\r\n"; "carriage returns")]
#[test_case("data: a\n\n"; "no id")]
#[test_case("data\n\n"; "field without a value")]
#[test_case("x-weights: 3\nid: 1\ndata: a\n\n"; "field without a meaning")]
#[test_case(": still here\n\n"; "comment")]
#[test_case("\n\nid: 1\n\n"; "blank lines")]
#[test_case("\u{feff}id: 1\ndata: a\n\n"; "byte order mark")]
#[test_case("id: 1\ndata: HTTP/1.1 503 Service Unavailable\ndata: {\"error\": 1}\n\n"; "anything within data")]
#[test_case("id: b\ndata: a\n\nid: a\ndata: a\n\n"; "ids that are no numbers")]
#[test_case("event: done\nretry: 100\n\n"; "other known fields")]
fn accept_event(events: &str) {
    assert_eq!(accept(None, events), (events.len(), None));
}

#[test_case("upstream failed\n\n"; "text of an error")]
#[test_case("error: upstream failed\n\n"; "text with a colon")]
#[test_case("{\"error\": \"id: 7\"}\n\n"; "json")]
#[test_case("HTTP/1.1 503 Service Unavailable\r\ncontent-type: text/plain\r\n\r\n"; "head of a response")]
#[test_case("id: 3\nupstream failed\n\n"; "text behind the beginning of an event")]
#[test_case("<html>\n\n"; "a page")]
fn accept_other_bytes(events: &str) {
    let stream = format!("id: 2\ndata: a\n\n{events}id: 4\ndata: b\n\n");
    assert_eq!(accept(Some("1"), &stream), ("id: 2\ndata: a\n\n".len(), Some(EventFault::NotAnEvent)));
}

#[test_case(Some("4"), "id: 1\ndata: a\n\n", "1", "4"; "from the start")]
#[test_case(Some("4"), "id: 4\ndata: a\n\n", "4", "4"; "the last one again")]
#[test_case(None, "id: 9\n\nid: 8\n\n", "8", "9"; "within one answer")]
fn accept_out_of_order(after: Option<&str>, events: &str, id: &str, last: &str) {
    let (_, fault) = accept(after, events);
    assert_eq!(fault, Some(EventFault::OutOfOrder { id: id.into(), after: last.into() }));
}

#[test]
fn last_id_of_accepted_events() {
    let mut order = EventOrder::default();
    order.accept(b"id: 1\n\ndata: a\n\nid: 2\n\nno event\n\n");
    assert_eq!(order.last_id(), Some("2"));
}

/// Guards against events that the caller gets twice: a stream that is resumed after an id repeats all events behind it.
#[test_case("id: 1\ndata: a\n\n", true; "last event has an id")]
#[test_case("id: 1\n\n: still here\n\n", true; "a comment follows")]
#[test_case("id: 1\n\ndata: a\n\n", false; "an event without an id follows")]
#[test_case("data: a\n\n", false; "no event has an id")]
#[test_case("", true; "no event")]
fn is_resumable_after(events: &str, expected: bool) {
    let mut order = EventOrder::default();
    order.accept(events.as_bytes());
    assert_eq!(order.is_resumable(), expected);
}

proptest! {
    /// Any bytes between two events are refused whole or are fields of an event.
    #[test]
    fn accept_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..60)) {
        let mut stream = bytes.clone();
        stream.extend_from_slice(b"\n\n");
        let (valid, fault) = EventOrder::default().accept(&stream);
        prop_assert!(valid <= stream.len());
        prop_assert_eq!(fault.is_none(), valid == stream.len());
    }
}
