//! Tests that the programs accept the example manifests and settings.

use std::{fs, path::PathBuf};

use eelgrasswell_manifest::{
    check,
    settings::{self, AgentSettings, RouterSettings},
};
use test_case::test_case;

fn example(deployment: &str, file: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(deployment).join(file)
}

#[test_case("tunis-north")]
#[test_case("viti-west")]
fn manifest_example_is_valid(deployment: &str) {
    let text = fs::read_to_string(example(deployment, "manifest.yaml")).unwrap();
    let manifest = check::parse(&text).unwrap_or_else(|invalid| panic!("{invalid}"));
    assert_eq!(manifest.domains.len(), 4);
    assert_eq!(manifest.customers.len(), 10);
    assert!(manifest.models.values().any(|model| model.rollout.is_some()));
    assert!(manifest.classes.values().any(|class| class.candidates.len() > 1));
    assert!(manifest.customers.values().any(|customer| !customer.quality_targets.is_empty()));
    assert!(manifest.customers.values().any(|customer| customer.budget.is_some()));
    let routes = manifest.services.values().flat_map(|service| &service.routes);
    let (reads, writes): (Vec<_>, Vec<_>) = routes.partition(|route| route.idempotent);
    assert!(reads.iter().all(|route| route.method == "GET"));
    assert!(writes.iter().all(|route| route.method == "POST"));
    assert!(!reads.is_empty() && !writes.is_empty());
}

#[test_case("tunis-north")]
#[test_case("viti-west")]
fn settings_examples_name_what_the_manifest_declares(deployment: &str) {
    let text = fs::read_to_string(example(deployment, "manifest.yaml")).unwrap();
    let manifest = check::parse(&text).unwrap();
    let router: RouterSettings = settings::load(&example(deployment, "router.yaml")).unwrap();
    assert!(manifest.domains.contains_key(&router.host.domain));
    let agent: AgentSettings = settings::load(&example(deployment, "agent.yaml")).unwrap();
    assert!(manifest.domains.contains_key(&agent.host.domain));
    assert!(manifest.services.contains_key(&agent.service));
    for loaded in &agent.loaded {
        assert!(manifest.models[&loaded.model].versions.contains_key(&loaded.version), "{loaded:?}");
    }
}
