//! Checks of a request against the agent's own configuration and state. None of them calls the backend server, so
//! each refusal has the outcome "not run".

use std::time::Duration;

use eelgrasswell_core::{
    id::{CustomerId, DomainId, HostId, ModelName, Revision, ServiceName, VersionName},
    refusal::{Reason, Refusal},
    unit::{Cost, Tokens},
};
use eelgrasswell_manifest::{
    config::Config,
    manifest::{Customer, Service, Version, VersionState},
};
use eelgrasswell_proto::v1::ExecuteRequest;
use tokio::time::timeout;

use super::{Agent, loaded::LoadedVersions};
use crate::invariant::{self, Promise};

/// Longest wait for a configuration that is at least as new as the router's.
const CONFIG_WAIT_LIMIT: Duration = Duration::from_secs(1);

/// What the manifest says about a request that passed the checks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckedRequest {
    /// Weight of the customer in the fair sharing of the server.
    pub weight: u32,
    /// Whether the request is not idempotent and so must not run twice.
    pub at_most_once: bool,
    /// Price of the request.
    pub price: Price,
}

/// Price of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Price {
    /// Price per token, as set for the version.
    Tokens(Version),
    /// Fixed price per call.
    Call(Cost),
}

impl Price {
    /// Returns the cost for these token counts.
    pub fn cost(&self, input: Tokens, output: Tokens) -> Cost {
        match self {
            Self::Tokens(version) => version.cost(input, output),
            Self::Call(cost) => *cost,
        }
    }
}

/// State of the agent that the checks need besides the configuration.
#[derive(Clone, Debug)]
pub struct AgentState<'a> {
    /// Host of the agent.
    pub host: &'a HostId,
    /// Failure domain of the agent.
    pub domain: &'a DomainId,
    /// Service of the agent.
    pub service: &'a ServiceName,
    /// Versions that the backend server has loaded.
    pub loaded: &'a LoadedVersions,
    /// Whether the process is stopping.
    pub leaving: bool,
    /// Whether the last confirmation of the configuration is too old.
    pub stale: bool,
}

impl Agent {
    /// Waits until the configuration has reached the revision of `req`, then checks `req`.
    pub async fn check(&self, req: &ExecuteRequest) -> Result<CheckedRequest, Refusal> {
        let required = Revision(req.revision);
        let waited = timeout(CONFIG_WAIT_LIMIT, self.config.wait_for_revision(required)).await;
        if waited.is_err() {
            return Err(Refusal::not_run(Reason::StaleConfig));
        }
        self.check_now(req)
    }

    /// Checks `req` against the current configuration and state.
    pub fn check_now(&self, req: &ExecuteRequest) -> Result<CheckedRequest, Refusal> {
        check(&self.config.current(), &self.state(), req).map_err(Refusal::not_run)
    }

    /// Checks `req` immediately before it starts, and asserts the invariants that the checks guarantee.
    pub fn check_start(&self, req: &ExecuteRequest) -> Result<CheckedRequest, Refusal> {
        // Both use the same snapshot of the configuration, which may change in between.
        let (config, state) = (self.config.current(), self.state());
        let checked = check(&config, &state, req).map_err(Refusal::not_run)?;
        self.assert_start_invariants(&config, state.leaving, req);
        Ok(checked)
    }

    fn assert_start_invariants(&self, config: &Config, leaving: bool, req: &ExecuteRequest) {
        let id = &req.request_id;
        let in_service = config.manifest.domains.get(&self.settings.host.domain).is_some_and(|d| d.in_service);
        let leaving = leaving || config.manifest.draining.contains_key(&self.settings.host.id);
        invariant::check(Promise::DomainOut, in_service, || format!("request {id} starts in a domain out of service"));
        invariant::check(Promise::Leaving, !leaving, || format!("request {id} starts on a leaving host"));
        if req.model.is_empty() {
            return;
        }
        let (model, version) = (ModelName::from(&*req.model), VersionName::from(&*req.version));
        let customer = config.manifest.customers.get(&CustomerId::from(&*req.customer));
        let allowed = customer.is_some_and(|customer| customer.allows(&model, &version));
        let withdrawn = config.version_state(&model, &version) == Some(VersionState::Withdrawn);
        let detail = || format!("request {id} of {} starts on {model}/{version}", req.customer);
        invariant::check(Promise::Allowed, allowed, detail);
        invariant::check(Promise::Withdrawn, !withdrawn, detail);
    }

    fn state(&self) -> AgentState<'_> {
        AgentState {
            host: &self.settings.host.id,
            domain: &self.settings.host.domain,
            service: &self.settings.service,
            loaded: &self.loaded,
            leaving: *self.leaving.borrow(),
            stale: self.config.is_stale(),
        }
    }
}

/// Checks `req` against `config` and `state`. The error is the reason for refusing it.
pub fn check(config: &Config, state: &AgentState, req: &ExecuteRequest) -> Result<CheckedRequest, Reason> {
    let manifest = &config.manifest;
    if state.leaving || manifest.draining.contains_key(state.host) {
        return Err(Reason::Leaving);
    }
    if !manifest.domains.get(state.domain).is_some_and(|domain| domain.in_service) {
        return Err(Reason::DomainOut);
    }
    let customer = manifest.customers.get(&CustomerId::from(&*req.customer)).ok_or(Reason::NotAllowed)?;
    let service = manifest.services.get(state.service).ok_or(Reason::NotFound)?;
    let (price, idempotent) = if req.model.is_empty() {
        check_service(service, customer, state, req)?
    } else {
        (check_model(config, customer, state, req)?, req.idempotent)
    };
    if !idempotent && req.claim_fence == 0 {
        return Err(Reason::BadRequest);
    }
    Ok(CheckedRequest { weight: customer.weight, at_most_once: !idempotent, price })
}

fn check_model(
    config: &Config,
    customer: &Customer,
    state: &AgentState,
    req: &ExecuteRequest,
) -> Result<Price, Reason> {
    let (name, version) = (ModelName::from(&*req.model), VersionName::from(&*req.version));
    if !customer.allows(&name, &version) {
        return Err(Reason::NotAllowed);
    }
    let model = config.manifest.models.get(&name).ok_or(Reason::NotFound)?;
    let version_state = config.version_state(&name, &version).ok_or(Reason::NotFound)?;
    match version_state {
        VersionState::Withdrawn => return Err(Reason::VersionWithdrawn),
        VersionState::Closed if !req.pinned => return Err(Reason::NoVersion),
        VersionState::Closed | VersionState::Open => {}
    }
    let in_rollout =
        config.version_weights(&name).iter().any(|weighted| weighted.version == version && weighted.in_rollout);
    if in_rollout && state.stale && !req.pinned {
        return Err(Reason::StaleConfig);
    }
    if model.service != *state.service || !state.loaded.contains(&req.model, &req.version) {
        return Err(Reason::NotLoaded);
    }
    Ok(Price::Tokens(model.versions[&version].clone()))
}

/// Returns the price, and whether both the router and the manifest declare the route idempotent.
fn check_service(
    service: &Service,
    customer: &Customer,
    state: &AgentState,
    req: &ExecuteRequest,
) -> Result<(Price, bool), Reason> {
    let name = ServiceName::from(&*req.service);
    if !customer.services.contains(&name) {
        return Err(Reason::NotAllowed);
    }
    if name != *state.service {
        return Err(Reason::NotFound);
    }
    let route = service.route(&req.method, &req.path).ok_or(Reason::NotFound)?;
    Ok((Price::Call(service.call_price), req.idempotent && route.idempotent))
}
