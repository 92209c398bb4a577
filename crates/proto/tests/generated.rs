//! Tests that the generated code matches the `.proto` file.

use std::{fs, path::Path};

#[test]
fn generated_code_is_current() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let out = Path::new(env!("CARGO_TARGET_TMPDIR")).join("generated");
    fs::create_dir_all(&out).unwrap();
    let fds = protox::compile(["eelgrasswell.proto"], [root.join("proto")]).unwrap();
    tonic_prost_build::configure().bytes(".").out_dir(&out).compile_fds(fds).unwrap();
    let fresh = fs::read_to_string(out.join("eelgrasswell.v1.rs")).unwrap();
    let committed = fs::read_to_string(root.join("src/generated/eelgrasswell.v1.rs")).unwrap();
    assert!(fresh == committed, "run `cargo run -p eelgrasswell-proto --example generate`");
}
