//! Messages and services of the protocol between eelgrasswell processes, generated from
//! `proto/eelgrasswell.proto` by `cargo run -p eelgrasswell-proto --example generate`.

#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/eelgrasswell.v1.rs"]
pub mod v1;
