//! Hop-by-hop header fields, which apply to one connection only (RFC 9110, section 7.6.1).

use hyper::{HeaderMap, header::CONNECTION};

/// Hop-by-hop fields that are never forwarded.
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

/// Whether the field `name` is hop-by-hop in every message, even if `Connection` does not name it.
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP.iter().any(|field| name.eq_ignore_ascii_case(field))
}

/// Copies the end-to-end fields: all but the hop-by-hop ones and those that `Connection` names.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named_by_connection: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut copy = HeaderMap::with_capacity(headers.len() + 4);
    for (name, value) in headers {
        let is_hop_by_hop =
            is_hop_by_hop(name.as_str()) || named_by_connection.iter().any(|other| other == name.as_str());
        if !is_hop_by_hop {
            copy.append(name, value.clone());
        }
    }
    copy
}
