//! Tests of the settings that bound clients of a gateway.

use eelgrasswell_manifest::{gateway::GatewaySettings, settings};
use eyre::{Result, WrapErr};
use test_case::test_case;

const SETTINGS: &str = "id: g\ndomain: north\naddress: 127.0.0.1\ncallers: 127.0.0.1:1\nreadiness: 127.0.0.1:2\n\
    exchange: 127.0.0.1:3\nmetrics_port: 4\nstore: 127.0.0.1:5\ncores: 1\nmemory_mb: 88\nbounds: {}\n";

fn check(name: &str, lines: &str) -> Result<()> {
    let path = std::env::temp_dir().join(format!("eelgrasswell-clients-{}-{name}.yaml", std::process::id()));
    std::fs::write(&path, format!("{SETTINGS}{lines}")).wrap_err("could not write the settings")?;
    let loaded = settings::load::<GatewaySettings>(&path);
    let _ = std::fs::remove_file(&path);
    loaded?.check()
}

/// Guards against settings that are refused although they are in range, or taken although they bound nothing.
#[test_case("default", "", true; "left out")]
#[test_case("fds", "max_fds: 64\n", true; "few files")]
#[test_case("nofds", "max_fds: 10\n", false; "too few files")]
#[test_case("fields", "clients: { max_header_fields: 16 }\n", true; "few fields")]
#[test_case("nofields", "clients: { max_header_fields: 0 }\n", false; "no fields")]
#[test_case("share", "clients: { callers_share: 1.1 }\n", false; "share above one")]
#[test_case("noshare", "clients: { exchange_share: 0 }\n", false; "share of zero")]
#[test_case("nan", "clients: { exchange_share: .nan }\n", false; "share is no number")]
#[test_case("ahead", "clients: { max_pipelined: 0 }\n", false; "none sent ahead")]
#[test_case("idle", "clients: { body_idle_ms: 0 }\n", false; "no idle time")]
#[test_case("unknown", "clients: { other: 1 }\n", false; "unknown key")]
fn client_bounds(name: &str, lines: &str, valid: bool) {
    let result = check(name, lines);
    assert_eq!(result.is_ok(), valid, "{result:?}");
}
