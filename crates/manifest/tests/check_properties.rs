//! Property tests of the manifest check: arbitrary input causes neither panics nor unbounded reports,
//! and the schema agrees with the manifest types.

use std::collections::BTreeMap;

use eelgrasswell_core::unit::{Cost, Millis, Tokens};
use eelgrasswell_manifest::{
    check::{self, MAX_PROBLEMS},
    manifest::{
        Budget, Class, Customer, Domain, Drain, Manifest, Model, RolloutPlan, Route, Service, ServiceKind, Version,
        VersionState,
    },
};
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngSeed},
};

/// Fixed seed, so that each run tries the same inputs.
const SEED: u64 = 0x6565_6c67_7261_7373;

fn config() -> Config {
    Config { cases: 256, rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..Config::default() }
}

/// Text of manifest and YAML fragments, some of which gets past the YAML parser.
fn fragments() -> impl Strategy<Value = String> {
    let words = [
        "domains",
        "services",
        "models",
        "classes",
        "customers",
        "draining",
        "kind",
        "plain",
        "model",
        "routes",
        "current",
        "versions",
        "rollout",
        "steps_permille",
        "cap",
        "[",
        "]",
        "{",
        "}",
        ":",
        ": ",
        ",",
        "-",
        "\n",
        "\n  ",
        "\n    ",
        "&a ",
        "*a",
        "<<: *a",
        "!!str ",
        "| ",
        "\"",
        "'",
        "#",
        "0",
        "-1",
        "1e999",
        "~",
        "\u{feff}",
        "é",
        "\t",
        "? ",
    ];
    vec(prop::sample::select(words.to_vec()).prop_map(str::to_owned), 0..120).prop_map(|words| words.concat())
}

fn manifests() -> impl Strategy<Value = Manifest> {
    let id = || "[a-z0-9][a-z0-9.-]{0,11}";
    (
        vec((id(), any::<bool>()), 0..4),
        vec((id(), 1..100u32, 0..50u32, 1..9_000_000u64), 1..4),
        vec((id(), id(), id(), 0..=1000u32, any::<u32>()), 0..5),
        vec((id(), 1..9u32, 0..=1000u32, any::<Option<u32>>()), 0..5),
        vec(id(), 0..3),
    )
        .prop_map(|(domains, services, models, customers, draining)| {
            build(&domains, &services, &models, &customers, &draining)
        })
}

fn build(
    domains: &[(String, bool)],
    services: &[(String, u32, u32, u64)],
    models: &[(String, String, String, u32, u32)],
    customers: &[(String, u32, u32, Option<u32>)],
    draining: &[String],
) -> Manifest {
    let mut manifest = Manifest::default();
    for (id, in_service) in domains {
        let domain = Domain { region: "r-1".into(), in_service: *in_service };
        manifest.domains.insert(id.as_str().into(), domain);
    }
    for (name, running, queued, tokens) in services {
        let mut service = Service {
            kind: ServiceKind::Model,
            max_running: *running,
            max_queued: *queued,
            tokens_limit: Tokens(*tokens),
            cold_limit: 1,
            warm_interval: Millis(*tokens),
            routes: Vec::new(),
            call_price: Cost(0),
        };
        manifest.services.insert(name.as_str().into(), service.clone());
        service.kind = ServiceKind::Plain;
        service.routes = vec![Route { method: "GET".into(), path: "/a b: #c".into(), idempotent: true }];
        manifest.services.insert(format!("plain-{name}").as_str().into(), service);
    }
    let service = services[0].0.as_str();
    for (name, current, next, share, price) in models {
        let version = Version {
            state: VersionState::Open,
            input_price: Cost((*price).into()),
            output_price: Cost(u64::from(*price) << 20),
        };
        let plan = RolloutPlan {
            version: next.as_str().into(),
            steps_permille: vec![10, 1000],
            good_error_rate: 0.001,
            bad_error_rate: 0.25,
            slow_after: Millis(1),
            step_time: Millis(0),
        };
        let names = [current.as_str(), next.as_str()];
        let model = Model {
            service: service.into(),
            current: current.as_str().into(),
            versions: names.into_iter().map(|name| (name.into(), version.clone())).collect(),
            rollout: (current != next).then_some(plan),
            prior_quality: f64::from(*share) / 1000.0,
        };
        manifest.models.insert(name.as_str().into(), model);
    }
    if !manifest.models.is_empty() {
        let candidates = manifest.models.keys().cloned().collect();
        manifest.classes.insert("class".into(), Class { candidates });
    }
    for (n, (id, weight, share, cap)) in customers.iter().enumerate() {
        let targets = manifest.classes.keys().map(|class| (class.clone(), f64::from(*share) / 1000.0));
        let customer = Customer {
            api_key_sha256: format!("{n:064x}").as_str().into(),
            weight: *weight,
            priority: *share,
            models: manifest.models.keys().map(|model| (model.clone(), Vec::new())).collect(),
            services: vec![format!("plain-{service}").as_str().into()],
            quality_targets: targets.collect::<BTreeMap<_, _>>(),
            budget: cap.map(|cap| Budget { cap: Cost(u64::from(cap) + 1), period: "2026-12".into() }),
        };
        manifest.customers.insert(id.as_str().into(), customer);
    }
    manifest.draining = draining.iter().map(|id| (id.as_str().into(), Drain {})).collect();
    manifest
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn arbitrary_text_gives_a_bounded_report(text in prop_oneof![fragments(), any::<String>()]) {
        if let Err(invalid) = check::parse(&text) {
            prop_assert!((1..=MAX_PROBLEMS).contains(&invalid.problems.len()));
        }
    }

    #[test]
    fn valid_manifest_survives_yaml_and_json(manifest in manifests()) {
        let yaml = check::to_yaml(&manifest).unwrap();
        let back = check::parse(&yaml).map_err(|invalid| TestCaseError::fail(format!("{invalid}\n{yaml}")))?;
        prop_assert_eq!(&back, &manifest);
        let json = serde_json::to_string(&manifest).unwrap();
        let back = check::parse(&json).map_err(|invalid| TestCaseError::fail(format!("{invalid}\n{json}")))?;
        prop_assert_eq!(&back, &manifest);
    }
}
