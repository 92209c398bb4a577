//! Chooses models and versions for a request, and an agent for an attempt.

use eelgrasswell_core::{
    agent_selection::{self, RequestProfile},
    hash::stable_hash,
    id::{ClassName, DomainId, HostId, ModelName, RequestId, ServiceName, VersionName},
    refusal::Reason,
    unit::Cost,
};
use eelgrasswell_manifest::config::{Config, WeightedVersion};

use super::{
    Chain,
    backends::Candidate,
    parse::{Call, ModelCall, Target},
    session::{self, VersionPin},
};
use crate::callers::failure::Failure;

/// Ordered choices of where a request may run, the preferred one first.
pub struct Plan {
    /// At least one choice. The second and later ones are used for escalation.
    pub choices: Vec<Choice>,
    /// Whether a session pins the version.
    pub pinned: bool,
}

/// A service to run the request on, with the model and version to use unless it is a plain service.
#[derive(Clone, Debug)]
pub struct Choice {
    /// Service whose agents may run the request.
    pub service: ServiceName,
    /// Model; empty for a plain service.
    pub model: ModelName,
    /// Version; empty for a plain service.
    pub version: VersionName,
    /// Maximum cost of the request with this choice.
    pub max_cost: Cost,
}

/// Determines the models and versions that may run the request. A session's pin leaves exactly one choice.
pub fn plan(chain: &Chain, call: &Call, pin: Option<&VersionPin>) -> Result<Plan, Failure> {
    let target = match &call.target {
        Target::Model(target) => target,
        Target::Plain(plain) => {
            let choice = Choice {
                service: plain.service.clone(),
                model: ModelName::default(),
                version: VersionName::default(),
                max_cost: plain.price,
            };
            return Ok(Plan { choices: vec![choice], pinned: false });
        }
    };
    let is_class = !call.config.manifest.models.contains_key(target.name.as_str());
    let class = if is_class { ClassName::from(target.name.as_str()) } else { ClassName::default() };
    if let Some(pin) = pin {
        session::check_pin(call, pin)?;
        let choice = build_choice(&call.config, target, &pin.model, &pin.version)
            .ok_or_else(|| Failure::not_run(Reason::VersionWithdrawn, "the pinned version was removed"))?;
        return Ok(Plan { choices: vec![choice], pinned: true });
    }
    let models = candidate_models(chain, call, target, &class)?;
    let choices = models.iter().filter_map(|model| {
        let version = pick_version(chain, call, model)?;
        build_choice(&call.config, target, model, &version)
    });
    let choices: Vec<Choice> = choices.collect();
    if choices.is_empty() {
        return Err(Failure::not_run(Reason::NoVersion, format!("no version of {} is open", target.name)));
    }
    Ok(Plan { choices, pinned: false })
}

/// Returns the models that may serve the request: the named model, or the models of the named class that the customer
/// may use, the preferred one first and stronger ones for escalation after it.
fn candidate_models(
    chain: &Chain,
    call: &Call,
    target: &ModelCall,
    class: &ClassName,
) -> Result<Vec<ModelName>, Failure> {
    let manifest = &call.config.manifest;
    let name = target.name.as_str();
    let not_allowed = || Failure::not_run(Reason::NotAllowed, format!("{name} is not allowed"));
    let customer = manifest.customers.get(&call.customer).ok_or_else(not_allowed)?;
    if class.is_empty() {
        if !customer.models.contains_key(name) {
            return Err(not_allowed());
        }
        return Ok(vec![name.into()]);
    }
    if !manifest.classes.contains_key(class) {
        return Err(Failure::not_run(Reason::NotFound, format!("no such model or class: {name}")));
    }
    if !customer.quality_targets.contains_key(class) {
        return Err(not_allowed());
    }
    let request = RequestId::from(call.id.to_string().as_str());
    let mut models = chain.router.quality.rank_models(&call.customer, class, &request);
    models.retain(|model| customer.models.contains_key(model));
    if models.is_empty() {
        return Err(not_allowed());
    }
    Ok(models)
}

/// Picks a version by rollout weight among those that the customer may use. The hash of the request id determines the
/// version, so all attempts of a request use the same one.
fn pick_version(chain: &Chain, call: &Call, model: &ModelName) -> Option<VersionName> {
    let customer = call.config.manifest.customers.get(&call.customer)?;
    let mut weights = call.config.version_weights(model);
    weights.retain(|w| customer.allows(model, &w.version));
    pick_by_weight(&weights, chain.router.config.is_stale(), stable_hash(&[&call.id.to_string()]))
}

/// Picks a version by weight, determined by `hash`. With a stale configuration (`stale`), versions in rollout are left
/// out, since this router may have missed the withdrawal of one.
pub fn pick_by_weight(weights: &[WeightedVersion], stale: bool, hash: u64) -> Option<VersionName> {
    let usable = || weights.iter().filter(|w| !(stale && w.in_rollout));
    let total: u64 = usable().map(|w| u64::from(w.permille)).sum();
    let mut point = hash % total.max(1);
    for weighted in usable() {
        let weight = u64::from(weighted.permille);
        if point < weight {
            return Some(weighted.version.clone());
        }
        point -= weight;
    }
    // All weights are zero: the only remaining version is the baseline of a rollout at full weight.
    usable().next().map(|w| w.version.clone())
}

/// Returns the choice for a model and version, or `None` if the configuration lacks either.
fn build_choice(config: &Config, target: &ModelCall, model: &ModelName, version: &VersionName) -> Option<Choice> {
    let spec = config.manifest.models.get(model)?;
    let max_cost = spec.versions.get(version)?.cost(target.prompt, target.max_output);
    Some(Choice { service: spec.service.clone(), model: model.clone(), version: version.clone(), max_cost })
}

/// Picks an agent for an attempt. Leaves out agents in `tried`, agents that are leaving, draining or in a failure
/// domain that is out of service, and agents that have not loaded the version.
pub fn pick_agent(chain: &Chain, call: &Call, choice: &Choice, tried: &[HostId]) -> Option<Candidate> {
    let mut candidates = chain.backends.candidates(&choice.service);
    candidates.retain(|candidate| {
        let view = &candidate.view;
        !view.leaving
            && !tried.contains(&view.id)
            && is_in_service(&call.config, &view.domain, &view.id)
            && has_version(&view.loaded, choice)
    });
    let views: Vec<_> = candidates.iter().map(|candidate| candidate.view.clone()).collect();
    let profile = match &call.target {
        Target::Model(target) => RequestProfile { tokens: target.prompt + target.max_output, prefix: target.prefix },
        Target::Plain(_) => RequestProfile::default(),
    };
    let now = chain.router.clock.now();
    let chosen = agent_selection::choose_for(&views, &profile, &chain.selection_history(), now, &mut rand::rng())?;
    Some(candidates.swap_remove(chosen))
}

/// Whether the failure domain is in service and the host is not draining.
fn is_in_service(config: &Config, domain: &DomainId, host: &HostId) -> bool {
    let manifest = &config.manifest;
    manifest.domains.get(domain).is_some_and(|domain| domain.in_service) && !manifest.draining.contains_key(host)
}

fn has_version(loaded: &[(ModelName, VersionName)], choice: &Choice) -> bool {
    choice.model.is_empty()
        || loaded.iter().any(|(model, version)| *model == choice.model && *version == choice.version)
}
