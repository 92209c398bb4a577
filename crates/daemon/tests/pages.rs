//! Guards against documentation that misses a metric, a refusal reason, a setting or a subcommand.

use std::{fs, process::Command};

use eelgrasswell_core::refusal::Reason;
use test_case::test_case;

fn read_file(path: &str) -> String {
    let path = format!("{}/../../{path}", env!("CARGO_MANIFEST_DIR"));
    fs::read_to_string(&path).unwrap_or_else(|err| panic!("{path}: {err}"))
}

#[test]
fn operations_page_names_every_metric() {
    let (page, source) = (read_file("docs/OPERATIONS.md"), read_file("crates/daemon/src/telemetry.rs"));
    let names: Vec<_> = source.split('"').filter(|text| text.starts_with("eelgrasswell_")).collect();
    assert!(names.len() > 5, "{names:?}");
    for name in names {
        assert!(page.contains(&format!("`{name}`")), "the page has no metric {name}");
    }
}

#[test]
fn operations_page_names_every_refusal_reason() {
    let page = read_file("docs/OPERATIONS.md");
    for reason in Reason::ALL {
        assert!(page.contains(&format!("`{reason}`")), "the page has no reason {reason}");
    }
}

#[test_case("router")]
#[test_case("agent")]
#[test_case("gateway")]
fn pages_name_every_setting_of_the_examples(kind: &str) {
    let (manual, operations) = (read_file("man/eelgrasswelld.8"), read_file("docs/OPERATIONS.md"));
    let settings = read_file(&format!("examples/viti-west/{kind}.yaml"));
    let keys = settings.lines().filter(|line| !line.starts_with('#')).filter_map(|line| line.split_once(':'));
    for key in keys.map(|(key, _)| key.trim_start_matches([' ', '-'])).filter(|key| !key.contains('.')) {
        assert!(manual.contains(key), "the manual page has no setting {key}");
        assert!(operations.contains(key), "the operations page has no setting {key}");
    }
}

/// Guards against example settings that a gateway rejects, and against a `--check` that starts a gateway or accepts
/// invalid settings.
#[test_case("tunis-north", "", 0, "valid, gateway front-carthage-1 in carthage"; "tunis north")]
#[test_case("viti-west", "", 0, "valid, gateway front-lautoka-1 in lautoka"; "viti west")]
#[test_case("viti-west", "colour: blue\n", 1, "colour"; "unknown key")]
#[test_case("viti-west", "cores: 0\n", 1, "cores"; "key twice")]
fn gateway_check(site: &str, added: &str, code: i32, message: &str) {
    let settings = read_file(&format!("examples/{site}/gateway.yaml")) + added;
    let dir = concat!(env!("CARGO_TARGET_TMPDIR"), "/gateway-check");
    fs::create_dir_all(dir).unwrap();
    let path = format!("{dir}/{}.yaml", uuid::Uuid::new_v4());
    fs::write(&path, settings).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_eelgrasswelld"))
        .args(["gateway", "--check", "--settings", &path])
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(code), "{text}");
    assert!(text.contains(message), "{text}");
}

#[test]
fn manual_page_names_every_subcommand() {
    let output = Command::new(env!("CARGO_BIN_EXE_eelgrasswelld")).arg("--help").output().unwrap();
    let usage = String::from_utf8(output.stdout).unwrap();
    let page = read_file("man/eelgrasswelld.8");
    let commands: Vec<_> =
        usage.split("Commands:\n").nth(1).unwrap().lines().filter_map(|line| line.split_whitespace().next()).collect();
    assert_eq!(commands, ["router", "agent", "gateway"]);
    assert!(commands.iter().all(|command| page.contains(&format!("eelgrasswelld {command}"))));
}
