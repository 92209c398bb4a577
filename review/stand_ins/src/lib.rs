//! Stand-ins of the review: the platform's store, backend servers, callers, and the gateway as a process.
//!
//! They use the standard library only, real sockets on the loopback address and the real clock. What they say and do
//! follows the users' pages; where a page is silent they behave like a sound store, server or caller.

pub mod config;
pub mod http;
pub mod process;
pub mod record;
pub mod server;
pub mod store;

use std::net::TcpListener;

/// A currently free port of the loopback address.
pub fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("a bound address").port()
}

/// Whether the disruption is to be left out (`TROUBLE=0`).
pub fn without_trouble() -> bool {
    std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}
