//! Tests that an error in a settings file names the invalid key and its line.

use std::{env, fs, process};

use eelgrasswell_manifest::settings::{self, RouterSettings};
use test_case::test_case;

fn error_of(from: &str, to: &str) -> String {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/viti-west/router.yaml");
    let text = fs::read_to_string(path).unwrap();
    assert!(text.contains(from));
    let case = from.bytes().chain(to.bytes()).fold(0u64, |hash, b| hash.wrapping_mul(31).wrapping_add(b.into()));
    let path = env::temp_dir().join(format!("eelgrasswell-settings-{}-{case}.yaml", process::id()));
    fs::write(&path, text.replacen(from, to, 1)).unwrap();
    let err = settings::load::<RouterSettings>(&path).unwrap_err();
    fs::remove_file(&path).unwrap();
    let message = format!("{err:#}");
    assert!(message.starts_with(&format!("could not parse settings {}: ", path.display())), "{message}");
    message
}

#[test_case("inner: 10.20.1.11:7300", "inner: here", "host.inner: invalid socket address", "line 5"; "bad_address")]
#[test_case("drain: 30000", "drian: 30000", "host.drian: unknown field", "line 7"; "unknown_key")]
#[test_case("drain: 30000", "drain: soon", "host.drain: invalid u64", "line 7"; "bad_number")]
#[test_case("  domain: lautoka\n", "", "host: missing field `domain`", "line 7"; "missing_key")]
#[test_case("- 10.20.3.11:7300", "- nowhere", "seeds.1: invalid socket address", "line 16"; "bad_list_entry")]
#[test_case("platform: 10.20.0.5:7000", "", "missing field `platform`", "line"; "missing_top_level_key")]
fn settings_error_names_key_and_line(from: &str, to: &str, key: &str, line: &str) {
    let message = error_of(from, to);
    assert!(message.contains(key) && message.contains(line), "{message}");
}
