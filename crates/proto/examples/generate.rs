//! Regenerates `src/generated` from the `.proto` file. Used in development only.

use std::{env, error::Error, path::PathBuf};

fn main() -> Result<(), Box<dyn Error>> {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let out = env::args().nth(1).map_or_else(|| root.join("src/generated"), PathBuf::from);
    let fds = protox::compile(["eelgrasswell.proto"], [root.join("proto")])?;
    tonic_prost_build::configure().bytes(".").out_dir(out).compile_fds(fds)?;
    Ok(())
}
