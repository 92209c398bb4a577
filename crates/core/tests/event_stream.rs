//! Guards against incomplete events that reach the caller or are lost when a stream breaks off within an event.

use eelgrasswell_core::event_stream::EventSplitter;
use proptest::prelude::*;
use test_case::test_case;

#[test_case(&["id: 1\ndata: a\n\n"], "id: 1\ndata: a\n\n", Some("1"), false; "one event")]
#[test_case(&["id: 1\ndata: a\n", "\nid: 2\nda"], "id: 1\ndata: a\n\n", Some("1"), true; "cut within the second event")]
#[test_case(&["id: 1\r\ndata: a\r\n\r", "\n"], "id: 1\r\ndata: a\r\n\r\n", Some("1"), false; "carriage returns")]
#[test_case(&["data: a\n\n"], "data: a\n\n", None, false; "no id")]
#[test_case(&["x-versions: 3\nid: 7\ndata: a\n\n"], "x-versions: 3\nid: 7\ndata: a\n\n", Some("7"), false; "field before the id")]
fn push_case(reads: &[&str], complete: &str, last_id: Option<&str>, inside: bool) {
    let mut splitter = EventSplitter::default();
    let events: Vec<_> = reads.iter().filter_map(|read| splitter.push(read.as_bytes())).collect();
    let bytes: Vec<u8> = events.iter().flat_map(|events| events.bytes.clone()).collect();
    assert_eq!(String::from_utf8(bytes).unwrap(), complete);
    assert_eq!(events.last().and_then(|events| events.last_id.as_deref()), last_id);
    assert_eq!(splitter.is_inside_event(), inside);
}

#[test]
fn reset_drops_incomplete_event() {
    let mut splitter = EventSplitter::default();
    assert_eq!(splitter.push(b"id: 3\ndata: hal"), None);
    splitter.reset();
    assert!(!splitter.is_inside_event());
    let events = splitter.push(b"id: 3\ndata: whole\n\n").unwrap();
    assert_eq!(events.bytes, b"id: 3\ndata: whole\n\n");
}

proptest! {
    /// However a stream is split into reads, its events are returned complete and unchanged.
    #[test]
    fn push_any_reads(cuts in proptest::collection::vec(1usize..9, 1..60)) {
        let stream: String = (0..20).map(|n| format!("id: {n}\ndata: {}\n\n", "x".repeat(n % 5))).collect();
        let mut splitter = EventSplitter::default();
        let (mut at, mut out) = (0, Vec::new());
        for cut in cuts.iter().cycle() {
            if at == stream.len() {
                break;
            }
            let end = (at + cut).min(stream.len());
            if let Some(events) = splitter.push(&stream.as_bytes()[at..end]) {
                prop_assert!(events.bytes.ends_with(b"\n\n"));
                out.extend(events.bytes);
            }
            at = end;
        }
        prop_assert_eq!(String::from_utf8(out).unwrap(), stream);
        prop_assert!(!splitter.is_inside_event());
    }
}
