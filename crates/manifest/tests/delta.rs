//! Tests of configuration deltas: a delta turns any configuration into any other, and is rejected
//! when it does not match the configuration that it is applied to.

use std::collections::BTreeMap;

use eelgrasswell_core::{
    id::Revision,
    unit::{Cost, Millis, Tokens},
};
use eelgrasswell_manifest::{
    config::{Config, RolloutKey, RolloutPhase, RolloutStatus},
    delta::{Change, Delta, DeltaError},
    manifest::{Budget, Class, Customer, Domain, Drain, Manifest, Model, Service, ServiceKind, Version, VersionState},
};
use proptest::{collection::btree_map, prelude::*};

fn name<T: for<'a> From<&'a str> + std::fmt::Debug>() -> impl Strategy<Value = T> {
    "[a-e]".prop_map(|s| T::from(s.as_str()))
}

fn domain() -> impl Strategy<Value = Domain> {
    ("[a-z]{1,3}", any::<bool>()).prop_map(|(region, in_service)| Domain { region: region.into(), in_service })
}

fn service() -> impl Strategy<Value = Service> {
    (any::<u32>(), any::<u64>()).prop_map(|(max_running, price)| Service {
        kind: ServiceKind::Plain,
        max_running,
        max_queued: 1,
        tokens_limit: Tokens(0),
        cold_limit: 1,
        warm_interval: Millis(2_000),
        routes: Vec::new(),
        call_price: Cost(price),
    })
}

fn model() -> impl Strategy<Value = Model> {
    (name(), any::<u64>(), 0.0..1.0).prop_map(|(current, price, prior_quality)| {
        let version = Version { state: VersionState::Open, input_price: Cost(price), output_price: Cost(1) };
        Model {
            service: "engines".into(),
            versions: BTreeMap::from([(eelgrasswell_core::id::VersionName::clone(&current), version)]),
            current,
            rollout: None,
            prior_quality,
        }
    })
}

fn customer() -> impl Strategy<Value = Customer> {
    (btree_map(name(), 0.0..1.0, 0..3), any::<u64>(), "[^\\x00]{0,4}").prop_map(|(targets, cap, period)| Customer {
        api_key_sha256: "00".into(),
        weight: 1,
        priority: 1,
        models: BTreeMap::new(),
        services: Vec::new(),
        quality_targets: targets,
        budget: Some(Budget { cap: Cost(cap), period: period.into() }),
    })
}

fn rollout() -> impl Strategy<Value = (RolloutKey, RolloutStatus)> {
    (name(), name(), 0..1000u32, "\\PC{0,4}").prop_map(|(model, version, permille, reason)| {
        let status = RolloutStatus {
            baseline: "v1".into(),
            step: 0,
            permille,
            phase: RolloutPhase::Running,
            reason: reason.into(),
        };
        (RolloutKey { model, version }, status)
    })
}

fn config(revision: u64) -> impl Strategy<Value = Config> {
    let manifest = (
        btree_map(name(), domain(), 0..4),
        btree_map(name(), service(), 0..3),
        btree_map(name(), model(), 0..3),
        btree_map(name(), Just(Class { candidates: Vec::new() }), 0..3),
        btree_map(name(), customer(), 0..4),
        btree_map(name(), Just(Drain {}), 0..3),
    );
    (manifest, prop::collection::vec(rollout(), 0..3)).prop_map(move |(manifest, rollouts)| {
        let (domains, services, models, classes, customers, draining) = manifest;
        Config {
            revision: Revision(revision),
            manifest_revision: Revision(revision),
            manifest: Manifest { domains, services, models, classes, customers, draining },
            rollouts: rollouts.into_iter().collect(),
        }
    })
}

proptest! {
    /// Processes must not hold different configurations at the same revision, so applying a delta
    /// (after a round trip through JSON, as stored in the head) must give the same configuration as
    /// reading a snapshot.
    #[test]
    fn delta_round_trip(old in config(3), new in config(4)) {
        let delta = Delta::between(&old, &new);
        let delta: Delta = serde_json::from_str(&serde_json::to_string(&delta).unwrap()).unwrap();
        let snapshot: Config = serde_json::from_str(&serde_json::to_string(&new).unwrap()).unwrap();
        let applied = delta.apply(&old).unwrap();
        prop_assert_eq!(&applied, &new);
        prop_assert_eq!(&applied, &snapshot);
    }

    /// A delta must not contain unchanged entries.
    #[test]
    fn delta_of_equal_configs(old in config(3)) {
        let new = Config { revision: Revision(4), ..old.clone() };
        prop_assert!(Delta::between(&old, &new).changes.is_empty());
    }

    /// A delta must be rejected by a configuration other than its base.
    #[test]
    fn delta_of_other_base(old in config(3), new in config(4), other in config(2)) {
        let result = Delta::between(&old, &new).apply(&other);
        let is_base_error = matches!(result, Err(DeltaError::BaseMismatch { .. }));
        prop_assert!(is_base_error);
    }
}

fn delta(revision: u64, change: Change) -> Delta {
    let revision = Revision(revision);
    Delta { base: Revision(3), revision, manifest_revision: revision, changes: vec![change] }
}

fn base() -> Config {
    Config { revision: Revision(3), manifest_revision: Revision(3), ..Config::default() }
}

/// A section that the process does not know must be an error, not silently ignored.
#[test]
fn delta_unknown_section() {
    let change = Change { section: "hosts".into(), key: "a".into(), value: Some("{}".into()) };
    assert!(matches!(delta(4, change).apply(&base()), Err(DeltaError::UnknownSection(_))));
}

/// An entry that cannot be parsed must be an error, not treated as removed.
#[test]
fn delta_bad_entry() {
    let change = Change { section: "domains".into(), key: "a".into(), value: Some("{".into()) };
    assert!(matches!(delta(4, change).apply(&base()), Err(DeltaError::InvalidEntry { .. })));
}

/// A delta that does not increase the revision must be rejected.
#[test]
fn delta_falling_revision() {
    let change = Change { section: "domains".into(), key: "a".into(), value: None };
    assert!(matches!(delta(3, change).apply(&base()), Err(DeltaError::RevisionOrder(_))));
}
