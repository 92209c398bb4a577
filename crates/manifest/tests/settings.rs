//! Tests that an error in a settings file names the invalid key and its line.

use std::{env, fs, process};

use eelgrasswell_manifest::{
    gateway::GatewaySettings,
    settings::{self, RouterSettings},
};
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

fn second_send(section: &str) -> Result<GatewaySettings, String> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/viti-west/gateway.yaml");
    let text = format!("{}second_send: {section}\n", fs::read_to_string(path).unwrap());
    let case = section.bytes().fold(0u64, |hash, b| hash.wrapping_mul(31).wrapping_add(b.into()));
    let path = env::temp_dir().join(format!("eelgrasswell-second-send-{}-{case}.yaml", process::id()));
    fs::write(&path, text).unwrap();
    let settings = settings::load::<GatewaySettings>(&path);
    fs::remove_file(&path).unwrap();
    let settings = settings.map_err(|err| format!("{err:#}"))?;
    settings.check().map_err(|err| err.to_string())?;
    Ok(settings)
}

/// Guards against values that would double the load of a service, and against misspelt keys that are ignored.
#[test_case("{max_share: 0.21}", "second_send.max_share 0.21"; "share_too_large")]
#[test_case("{max_share: -0.1}", "second_send.max_share -0.1"; "share_negative")]
#[test_case("{max_share: .nan}", "second_send.max_share NaN"; "share_not_a_number")]
#[test_case("{max_share: 0.1, quantile: 0.4}", "second_send.quantile 0.4"; "quantile_too_low")]
#[test_case("{max_share: 0.1, quantile: 1}", "second_send.quantile 1"; "quantile_too_high")]
#[test_case("{max_share: 0.1, quantil: 0.9}", "unknown field `quantil`"; "unknown_key")]
#[test_case("{quantile: 0.9}", "missing field `max_share`"; "no_share")]
fn second_send_invalid(section: &str, message: &str) {
    let error = second_send(section).unwrap_err();
    assert!(error.contains(message), "{error}");
}

#[test_case("{max_share: 0}", None; "off")]
#[test_case("{max_share: 0.05}", Some((0.05, 0.95)); "default_quantile")]
#[test_case("{max_share: 0.2, quantile: 0.99}", Some((0.2, 0.99)); "all_given")]
fn second_send_limits(section: &str, expected: Option<(f64, f64)>) {
    let limits = second_send(section).unwrap().second_send.unwrap().limits();
    assert_eq!(limits.map(|limits| (limits.max_share, limits.quantile)), expected);
}
