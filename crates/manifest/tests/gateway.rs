//! Tests that errors in a gateway's settings are found, and that a section that is left out stays off.

use std::{env, fs, process};

use eelgrasswell_manifest::{
    gateway::{AdmissionSettings, GatewaySettings},
    settings,
};
use test_case::test_case;

fn load(admission: &str) -> Result<GatewaySettings, String> {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/viti-west/gateway.yaml");
    let text = fs::read_to_string(example).unwrap() + "\n" + admission;
    let case = admission.bytes().fold(0u64, |hash, b| hash.wrapping_mul(31).wrapping_add(b.into()));
    let path = env::temp_dir().join(format!("eelgrasswell-gateway-{}-{case}.yaml", process::id()));
    fs::write(&path, text).unwrap();
    let loaded = settings::load::<GatewaySettings>(&path);
    fs::remove_file(&path).unwrap();
    let checked = loaded.and_then(|settings| settings.check().map(|()| settings));
    checked.map_err(|err| format!("{err:#}"))
}

#[test_case("", None; "absent")]
#[test_case("admission: {}", Some((1_000, 256, 1.0)); "defaults")]
#[test_case("admission: {max_wait_ms: 0, max_waiting: 9, full_share: 1.2}", Some((0, 9, 1.2)); "all keys")]
fn admission(text: &str, expected: Option<(u64, usize, f64)>) {
    let expected = expected.map(|(max_wait_ms, max_waiting, full_share)| AdmissionSettings {
        max_wait_ms,
        max_waiting,
        full_share,
    });
    assert_eq!(load(text).unwrap().admission, expected);
}

#[test_case("admission: {max_waits: 5}", "max_waits"; "unknown key")]
#[test_case("admission: {max_wait_ms: 70000}", "admission.max_wait_ms 70000"; "wait too long")]
#[test_case("admission: {max_waiting: 0}", "admission.max_waiting 0"; "no queue")]
#[test_case("admission: {full_share: 0}", "admission.full_share 0"; "no slots")]
#[test_case("admission: {full_share: .nan}", "admission.full_share NaN"; "not a number")]
fn admission_error(text: &str, expected: &str) {
    let error = load(text).unwrap_err();
    assert!(error.contains(expected), "{error}");
}
