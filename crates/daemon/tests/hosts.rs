//! Guards against one odd entry that makes the platform's host list unreadable.

use eelgrasswell_daemon::platform::HostList;
use test_case::test_case;

const GOOD: &str = r#"{"id":"entry-1","role":"router","domain":"north","address":"10.0.0.1:9000"}"#;

fn nested(levels: usize) -> String {
    format!("{}1{}", "[".repeat(levels), "]".repeat(levels))
}

#[test_case(nested(200); "nested beyond the parser's limit")]
#[test_case(nested(100_000); "nested deeply")]
#[test_case("1e999".into(); "number out of range")]
#[test_case(r#""\ud800""#.into(); "lone surrogate")]
#[test_case("null".into(); "no entry")]
#[test_case(GOOD.replace("9000", "70000"); "port out of range")]
#[test_case(GOOD.replace("router", "gardener"); "unknown role")]
#[test_case(GOOD.replace("\"entry-1\"", "7"); "id of another type")]
fn host_list_with_odd_entry(odd: String) {
    let list = HostList::from_json(format!(r#"{{"hosts":[{odd},{GOOD}]}}"#).as_bytes()).unwrap();
    assert_eq!(list.hosts.iter().map(|host| host.id.as_str()).collect::<Vec<_>>(), ["entry-1"]);
    assert_eq!(list.malformed.len(), 1);
}

#[test_case("{\"hosts\":["; "cut")]
#[test_case("[]"; "another form")]
fn host_list_without_outer_form(json: &str) {
    assert!(HostList::from_json(json.as_bytes()).is_err());
}
