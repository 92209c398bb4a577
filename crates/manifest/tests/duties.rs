//! Tests of the settings of duties.

use std::{env, fs, process};

use eelgrasswell_manifest::{
    gateway::{Duties, GatewaySettings},
    settings,
};
use eyre::Result;
use test_case::test_case;

/// Settings of the example with `duties` added.
fn load(case: &str, duties: &str) -> Result<GatewaySettings> {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/viti-west/gateway.yaml");
    let path = env::temp_dir().join(format!("eelgrasswell-duties-{}-{case}.yaml", process::id()));
    fs::write(&path, fs::read_to_string(example)? + duties)?;
    let loaded = settings::load::<GatewaySettings>(&path).and_then(|settings| settings.check().map(|()| settings));
    fs::remove_file(&path)?;
    loaded
}

#[test]
fn duties_absent() {
    assert_eq!(load("absent", "").unwrap().duties, None);
}

#[test]
fn duties_defaults() {
    let text = "duties:\n  address: 127.0.0.1:9000\n  names: [usage_report, other]\n  calls_per_s: 2\n";
    let expected = Duties {
        address: Some(([127, 0, 0, 1], 9_000).into()),
        names: vec!["usage_report".into(), "other".into()],
        calls_per_s: 2.0,
        lease_ms: 3_000,
        window_s: 5.0,
        due_s: 10.0,
        tolerance: 0.05,
    };
    assert_eq!(load("defaults", text).unwrap().duties, Some(expected));
}

/// Guards against a gateway that does not start although it could serve without duties.
#[test_case("rate", "duties: {address: '127.0.0.1:1', names: [usage_report], calls_per_s: 0}\n"; "no calls")]
#[test_case("names", "duties: {address: '127.0.0.1:1', names: [], calls_per_s: 1}\n"; "no names")]
#[test_case("address", "duties: {names: [usage_report], calls_per_s: 1}\n"; "no address")]
fn duties_without_effect(case: &str, text: &str) {
    assert!(load(case, text).is_ok());
}

#[test_case("lease", "lease_ms: 100", "duties.lease_ms 100: it must be between 500 and 60000"; "short lease")]
#[test_case("window", "window_s: 0", "duties.window_s 0: it must be between 1 and 3600"; "no window")]
#[test_case("due", "due_s: -1", "duties.due_s -1: it must be between 1 and 3600"; "negative time")]
#[test_case("tolerance", "tolerance: .nan", "duties.tolerance NaN: it must be between 0 and 1"; "not a number")]
#[test_case("rate_range", "calls_per_s: -2", "duties.calls_per_s -2: it must be between 0 and 1000"; "negative rate")]
#[test_case("unknown", "lease: 3", "duties.lease: unknown field"; "unknown key")]
fn duties_error(case: &str, line: &str, message: &str) {
    let error = format!("{:#}", load(case, &format!("duties:\n  {line}\n")).unwrap_err());
    assert!(error.contains(message), "{error}");
}
