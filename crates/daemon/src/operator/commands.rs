//! Commands that edit the configuration: failure domains, hosts and rollouts.

use std::str::FromStr;

use eelgrasswell_core::id::{DomainId, HostId};
use eelgrasswell_manifest::{
    config::{Config, RolloutKey, RolloutPhase, RolloutStatus},
    manifest::{Drain, RolloutPlan, VersionState},
};
use hyper::{Request, body::Incoming};

use super::{
    Change,
    reply::{Failure, Reply},
};
use crate::router::Router;

/// `POST /v1/domains/{id}/{out|in}`
pub(super) async fn change_domain(
    router: &Router,
    req: &Request<Incoming>,
    domain: &str,
    action: &str,
) -> Result<Reply, Failure> {
    let in_service = match action {
        "in" => true,
        "out" => false,
        _ => return Err(Failure::not_found(format!("could not find domain action {action:?}: expected out or in"))),
    };
    let domain = DomainId::from(domain);
    Change::from_request(req)?.commit(router, &|config| set_domain_in_service(config, &domain, in_service)).await
}

/// `POST /v1/hosts/{id}/drain`
pub(super) async fn drain_host(router: &Router, req: &Request<Incoming>, host: &str) -> Result<Reply, Failure> {
    let host = HostId::from(host);
    let is_agent = router.members.agents().iter().any(|entry| entry.id == host);
    if !is_agent && router.members.live_routers().iter().all(|live| live.id != host) {
        let message = format!("could not drain host {host}: it is not in the host list of this router");
        return Err(Failure::not_found(message));
    }
    let edit = |config: &mut Config| {
        config.manifest.draining.insert(host.clone(), Drain {});
        Ok(())
    };
    Change::from_request(req)?.commit(router, &edit).await
}

/// `POST /v1/rollouts/{model}/{version}/{start|step|stop|finish}`
pub(super) async fn change_rollout(
    router: &Router,
    req: &Request<Incoming>,
    model: &str,
    version: &str,
    action: &str,
) -> Result<Reply, Failure> {
    let action: RolloutAction = action.parse()?;
    let key = RolloutKey { model: model.into(), version: version.into() };
    Change::from_request(req)?.commit(router, &|config| edit_rollout(config, &key, action)).await
}

/// Puts a failure domain in or out of service. Fails if the manifest has no such domain.
pub fn set_domain_in_service(config: &mut Config, id: &DomainId, in_service: bool) -> Result<(), Failure> {
    let Some(domain) = config.manifest.domains.get_mut(id) else {
        return Err(Failure::not_found(format!("could not find failure domain {id}")));
    };
    domain.in_service = in_service;
    Ok(())
}

/// Command of an operator for a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutAction {
    /// Starts the rollout: gives the planned version the weight of the first step.
    Start,
    /// Advances to the next step without waiting for evidence, and resumes a held rollout.
    Step,
    /// Stops the rollout: withdraws the version.
    Stop,
    /// Finishes the rollout: gives the version all weight.
    Finish,
}

impl FromStr for RolloutAction {
    type Err = Failure;

    fn from_str(s: &str) -> Result<Self, Failure> {
        match s {
            "start" => Ok(Self::Start),
            "step" => Ok(Self::Step),
            "stop" => Ok(Self::Stop),
            "finish" => Ok(Self::Finish),
            _ => {
                let message = format!("could not find rollout action {s:?}: expected start, step, stop or finish");
                Err(Failure::not_found(message))
            }
        }
    }
}

/// Changes the state of a rollout. After an error, `config` is unchanged.
pub fn edit_rollout(config: &mut Config, key: &RolloutKey, action: RolloutAction) -> Result<(), Failure> {
    match action {
        RolloutAction::Start => start_rollout(config, key),
        RolloutAction::Step => step_rollout(config, key),
        RolloutAction::Stop => stop_rollout(config, key),
        RolloutAction::Finish => finish_rollout(config, key),
    }
}

fn start_rollout(config: &mut Config, key: &RolloutKey) -> Result<(), Failure> {
    let first = rollout_plan(config, key)?.steps_permille.first().copied().unwrap_or(1000);
    let model = &config.manifest.models[&key.model];
    if model.versions.get(&key.version).is_none_or(|version| version.state != VersionState::Open) {
        return Err(Failure::wrong_state(format!("could not start rollout {key}: the version is not open")));
    }
    if let Some(status) = config.rollouts.get(key) {
        let message = match status.phase {
            RolloutPhase::Stopped => "it was stopped, and a withdrawn version stays withdrawn",
            RolloutPhase::Running | RolloutPhase::Held | RolloutPhase::Finished => "it has already started",
        };
        return Err(Failure::wrong_state(format!("could not start rollout {key}: {message}")));
    }
    let status = RolloutStatus {
        baseline: model.current.clone(),
        step: 0,
        permille: first,
        phase: RolloutPhase::Running,
        reason: Default::default(),
    };
    config.rollouts.insert(key.clone(), status);
    Ok(())
}

fn step_rollout(config: &mut Config, key: &RolloutKey) -> Result<(), Failure> {
    let steps = rollout_plan(config, key)?.steps_permille.clone();
    let status = active_rollout(config, key, "step")?;
    let next = status.step + 1;
    let Some(permille) = steps.get(next as usize) else {
        let message = format!("could not step rollout {key}: it is at its last step; finish it instead");
        return Err(Failure::wrong_state(message));
    };
    status.step = next;
    status.permille = *permille;
    status.phase = RolloutPhase::Running;
    status.reason = Default::default();
    Ok(())
}

fn stop_rollout(config: &mut Config, key: &RolloutKey) -> Result<(), Failure> {
    let mut stopped = config.clone();
    let status = started_rollout(&mut stopped, key, "stop")?;
    if status.phase == RolloutPhase::Stopped {
        return Err(Failure::wrong_state(format!("could not stop rollout {key}: it is already stopped")));
    }
    status.permille = 0;
    status.phase = RolloutPhase::Stopped;
    status.reason = "stopped by an operator".into();
    if stopped.version_weights(&key.model).is_empty() && !config.version_weights(&key.model).is_empty() {
        let message = format!("could not stop rollout {key}: the model has no other open version");
        return Err(Failure::wrong_state(message));
    }
    *config = stopped;
    Ok(())
}

fn finish_rollout(config: &mut Config, key: &RolloutKey) -> Result<(), Failure> {
    let last = rollout_plan(config, key)?.steps_permille.len().saturating_sub(1);
    let status = active_rollout(config, key, "finish")?;
    status.step = u32::try_from(last).unwrap_or(u32::MAX);
    status.permille = 1000;
    status.phase = RolloutPhase::Finished;
    status.reason = Default::default();
    Ok(())
}

/// Returns the plan of a rollout from the manifest.
fn rollout_plan<'a>(config: &'a Config, key: &RolloutKey) -> Result<&'a RolloutPlan, Failure> {
    let Some(model) = config.manifest.models.get(&key.model) else {
        return Err(Failure::not_found(format!("could not find model {}", key.model)));
    };
    let plan = model.rollout.as_ref().filter(|plan| plan.version == key.version);
    plan.ok_or_else(|| Failure::not_found(format!("could not find a rollout plan of {key} in the manifest")))
}

/// Returns the status of a rollout that has started.
fn started_rollout<'a>(
    config: &'a mut Config,
    key: &RolloutKey,
    action: &str,
) -> Result<&'a mut RolloutStatus, Failure> {
    let status = config.rollouts.get_mut(key);
    status.ok_or_else(|| Failure::wrong_state(format!("could not {action} rollout {key}: it has not started")))
}

/// Returns the status of a rollout that has started and is neither stopped nor finished.
fn active_rollout<'a>(
    config: &'a mut Config,
    key: &RolloutKey,
    action: &str,
) -> Result<&'a mut RolloutStatus, Failure> {
    let status = started_rollout(config, key, action)?;
    match status.phase {
        RolloutPhase::Running | RolloutPhase::Held => Ok(status),
        RolloutPhase::Stopped => {
            Err(Failure::wrong_state(format!("could not {action} rollout {key}: it was stopped ({})", status.reason)))
        }
        RolloutPhase::Finished => {
            Err(Failure::wrong_state(format!("could not {action} rollout {key}: it has finished")))
        }
    }
}
