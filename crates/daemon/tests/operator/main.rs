//! Tests of the operators' endpoint: edits of the configuration, and replies over HTTP.

mod edits;
mod endpoint;

use std::fs;

use eelgrasswell_core::id::Revision;
use eelgrasswell_manifest::{check, config::Config};

/// Returns a configuration with the example manifest of viti-west.
fn config() -> Config {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/viti-west/manifest.yaml");
    let manifest = check::parse(&fs::read_to_string(path).unwrap()).unwrap();
    Config { revision: Revision(11), manifest_revision: Revision(7), manifest, rollouts: Default::default() }
}
