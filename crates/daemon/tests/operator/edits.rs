//! Tests of edits of the configuration: commands must not put a deployment into a state in which it cannot serve.

use eelgrasswell_core::{id::DomainId, unit::Cost};
use eelgrasswell_daemon::operator::{
    commands::{RolloutAction, edit_rollout, set_domain_in_service},
    manifest, status,
};
use eelgrasswell_manifest::{
    config::{Config, RolloutKey, RolloutPhase, RolloutStatus},
    manifest::VersionState,
};
use test_case::test_case;

use crate::config;

fn key() -> RolloutKey {
    "plan-large/7.1".parse().unwrap()
}

fn with_rollout(step: u32, permille: u32, phase: RolloutPhase) -> Config {
    let mut config = config();
    let status = RolloutStatus { baseline: "7.0".into(), step, permille, phase, reason: "evidence".into() };
    config.rollouts.insert(key(), status);
    config
}

/// Applies a rollout action. Returns step, permille and phase of the rollout, or the message of the failure.
fn apply(config: &mut Config, action: &str) -> Result<(u32, u32, RolloutPhase), String> {
    let action: RolloutAction = action.parse().unwrap();
    edit_rollout(config, &key(), action).map_err(|failure| failure.message)?;
    let status = &config.rollouts[&key()];
    Ok((status.step, status.permille, status.phase))
}

#[test]
fn rollout_start_gives_the_weight_of_the_first_step() {
    let mut config = config();
    assert_eq!(apply(&mut config, "start"), Ok((0, 5, RolloutPhase::Running)));
    assert_eq!(config.rollouts[&key()].baseline.as_str(), "7.0");
}

#[test_case(0, 5, RolloutPhase::Running, "step", (1, 20, RolloutPhase::Running); "step")]
#[test_case(1, 20, RolloutPhase::Held, "step", (2, 100, RolloutPhase::Running); "step_resumes_a_held_rollout")]
#[test_case(2, 100, RolloutPhase::Running, "stop", (2, 0, RolloutPhase::Stopped); "stop")]
#[test_case(4, 1000, RolloutPhase::Finished, "stop", (4, 0, RolloutPhase::Stopped); "stop_after_the_end")]
#[test_case(1, 20, RolloutPhase::Running, "finish", (4, 1000, RolloutPhase::Finished); "finish")]
fn rollout_edit_changes_its_state(
    step: u32,
    permille: u32,
    phase: RolloutPhase,
    action: &str,
    expected: (u32, u32, RolloutPhase),
) {
    let mut config = with_rollout(step, permille, phase);
    assert_eq!(apply(&mut config, action), Ok(expected));
}

#[test_case(RolloutPhase::Running, "start", "already started"; "start_twice")]
#[test_case(RolloutPhase::Stopped, "start", "stays withdrawn"; "start_after_stop")]
#[test_case(RolloutPhase::Stopped, "step", "was stopped (evidence)"; "step_after_stop")]
#[test_case(RolloutPhase::Stopped, "finish", "was stopped"; "finish_after_stop")]
#[test_case(RolloutPhase::Stopped, "stop", "already stopped"; "stop_twice")]
#[test_case(RolloutPhase::Running, "step", "last step; finish it"; "step_past_the_last")]
#[test_case(RolloutPhase::Finished, "step", "has finished"; "step_after_finish")]
fn rollout_edit_that_does_not_fit_changes_nothing(phase: RolloutPhase, action: &str, message: &str) {
    let before = with_rollout(4, 1000, phase);
    let mut config = before.clone();
    let err = apply(&mut config, action).unwrap_err();
    assert_eq!(config, before);
    assert!(err.starts_with(&format!("could not {action} rollout plan-large/7.1: ")) && err.contains(message), "{err}");
}

#[test_case("step"; "step")]
#[test_case("stop"; "stop")]
#[test_case("finish"; "finish")]
fn rollout_that_has_not_started_is_refused(action: &str) {
    let err = apply(&mut config(), action).unwrap_err();
    assert!(err.contains("it has not started"), "{err}");
}

#[test_case("plan-huge/7.1", "could not find model plan-huge"; "unknown_model")]
#[test_case("plan-large/6.8", "could not find a rollout plan of plan-large/6.8"; "unplanned_version")]
fn rollout_without_plan_is_not_found(key: &str, message: &str) {
    let failure = edit_rollout(&mut config(), &key.parse().unwrap(), RolloutAction::Start).unwrap_err();
    assert_eq!((failure.status.as_u16(), failure.message.starts_with(message)), (404, true), "{failure}");
}

/// Guards against giving weight to a withdrawn version, which must receive no work (P2).
#[test]
fn rollout_start_of_a_version_that_is_not_open_is_refused() {
    let mut config = config();
    let model = config.manifest.models.get_mut("plan-large").unwrap();
    model.versions.get_mut("7.1").unwrap().state = VersionState::Withdrawn;
    let err = apply(&mut config, "start").unwrap_err();
    assert!(err.contains("is not open"), "{err}");
}

/// Guards against a version that an operator cannot stop when it turns out bad after it became the current one.
#[test]
fn stop_of_the_current_version_falls_back_to_the_last_good_one() {
    let mut config = with_rollout(4, 1000, RolloutPhase::Finished);
    let model = config.manifest.models.get_mut("plan-large").unwrap();
    (model.current, model.rollout) = ("7.1".into(), None);
    apply(&mut config, "stop").unwrap();
    let [serving] = config.version_weights(&key().model).try_into().unwrap();
    assert_eq!((serving.version.as_str(), serving.permille), ("7.0", 1000));
}

/// Guards against a stop or a manifest that leaves a model without an open version: it would refuse every request.
#[test]
fn model_keeps_an_open_version() {
    let mut config = with_rollout(4, 1000, RolloutPhase::Finished);
    let model = config.manifest.models.get_mut("plan-large").unwrap();
    (model.current, model.rollout) = ("7.1".into(), None);
    model.versions.remove("7.0");
    let manifest_without_baseline = config.manifest.clone();
    let before = config.clone();
    let err = apply(&mut config, "stop").unwrap_err();
    assert!(err.contains("no other open version"), "{err}");
    assert_eq!(config, before);

    let mut stopped = with_rollout(1, 0, RolloutPhase::Stopped);
    let before = stopped.clone();
    let failure = manifest::replace_in_config(&mut stopped, &manifest_without_baseline).unwrap_err();
    assert_eq!(stopped, before);
    assert_eq!(failure.problems[0].path.to_string(), "models.plan-large.current");
}

#[test]
fn manifest_put_keeps_revisions_and_rollouts() {
    let mut config = with_rollout(1, 20, RolloutPhase::Running);
    let rollouts = config.rollouts.clone();
    manifest::replace_in_config(&mut config, &Default::default()).unwrap();
    assert_eq!(config, Config { manifest: Default::default(), rollouts, ..crate::config() });
}

#[test]
fn domain_out_and_in_change_only_that_domain() {
    let mut changed = config();
    set_domain_in_service(&mut changed, &DomainId::from("nadi"), false).unwrap();
    let out: Vec<_> = changed.manifest.domains.iter().filter(|(_, domain)| !domain.in_service).collect();
    assert_eq!(out.iter().map(|(id, _)| id.as_str()).collect::<Vec<_>>(), ["nadi"]);
    set_domain_in_service(&mut changed, &DomainId::from("nadi"), true).unwrap();
    assert_eq!(changed, config());
    let failure = set_domain_in_service(&mut changed, &DomainId::from("suva"), false).unwrap_err();
    assert_eq!((failure.status.as_u16(), failure.message.as_str()), (404, "could not find failure domain suva"));
}

#[test_case(49, 100, None)]
#[test_case(50, 100, Some(50))]
#[test_case(94, 100, Some(80))]
#[test_case(95, 100, Some(95))]
#[test_case(u64::MAX, u64::MAX, Some(95); "no_overflow")]
fn budget_warning_is_the_highest_threshold_reached(committed: u64, cap: u64, expected: Option<u64>) {
    assert_eq!(status::warning_percent(Cost(committed), Cost(cap)), expected);
}
