//! Guards against forwarding hop-by-hop header fields, which could close or corrupt the next connection.

use eelgrasswell_daemon::callers::headers::end_to_end;
use hyper::{HeaderMap, header::HeaderName};
use test_case::test_case;

#[test_case("connection"; "connection")]
#[test_case("keep-alive"; "keep alive")]
#[test_case("proxy-connection"; "proxy connection")]
#[test_case("te"; "te")]
#[test_case("trailer"; "trailer")]
#[test_case("transfer-encoding"; "transfer encoding")]
#[test_case("upgrade"; "upgrade")]
#[test_case("x-per-hop"; "named by connection")]
#[test_case("x-other-hop"; "named second by connection, in other case")]
fn end_to_end_drops(name: &str) {
    let mut headers = HeaderMap::new();
    headers.insert(HeaderName::from_bytes(name.as_bytes()).unwrap(), "value".parse().unwrap());
    headers.insert("connection", "x-per-hop, X-Other-Hop".parse().unwrap());
    headers.insert("x-own", "kept".parse().unwrap());
    let forwarded = end_to_end(&headers);
    assert!(!forwarded.contains_key(name), "{name} was forwarded");
    assert_eq!(forwarded["x-own"], "kept");
}

#[test]
fn end_to_end_keeps_repeated_fields() {
    let mut headers = HeaderMap::new();
    headers.append("x-own", "first".parse().unwrap());
    headers.append("x-own", "second".parse().unwrap());
    let forwarded = end_to_end(&headers);
    let values: Vec<_> = forwarded.get_all("x-own").iter().collect();
    assert_eq!(values, ["first", "second"]);
}
