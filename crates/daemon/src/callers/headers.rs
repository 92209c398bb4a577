//! Header fields that concern one connection only (RFC 9110, section 7.6.1).

use hyper::{HeaderMap, header::CONNECTION};

/// Fields that are never passed on.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Whether the field `name` concerns one connection only, whatever the message says.
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP.iter().any(|hop| name.eq_ignore_ascii_case(hop))
}

/// Copies the fields that may be passed on: all but the hop-by-hop ones, among them those that `Connection` names.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut copy = HeaderMap::with_capacity(headers.len() + 4);
    for (name, value) in headers {
        let hop = is_hop_by_hop(name.as_str()) || named.iter().any(|other| other == name.as_str());
        if !hop {
            copy.append(name, value.clone());
        }
    }
    copy
}
