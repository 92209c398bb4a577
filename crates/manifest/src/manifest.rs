//! The manifest, in which operators declare the system. Files hold it as YAML; processes exchange it
//! as JSON.

use std::collections::BTreeMap;

use compact_str::CompactString;
use eelgrasswell_core::{
    id::{ClassName, CustomerId, DomainId, HostId, ModelName, ServiceName, VersionName},
    unit::{Cost, Millis, Tokens},
};
use serde::{Deserialize, Serialize};

/// Everything that operators declare.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Failure domains.
    #[serde(default)]
    pub domains: BTreeMap<DomainId, Domain>,
    /// Services, which are pools of backend servers of one kind.
    #[serde(default)]
    pub services: BTreeMap<ServiceName, Service>,
    /// Models with their versions.
    #[serde(default)]
    pub models: BTreeMap<ModelName, Model>,
    /// Request classes, each with its candidate models.
    #[serde(default)]
    pub classes: BTreeMap<ClassName, Class>,
    /// Customers.
    #[serde(default)]
    pub customers: BTreeMap<CustomerId, Customer>,
    /// Hosts that operators are draining.
    #[serde(default)]
    pub draining: BTreeMap<HostId, Drain>,
}

/// A failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Domain {
    /// Region of the domain.
    pub region: CompactString,
    /// Whether backend servers of the domain may receive new work.
    pub in_service: bool,
}

/// Marks a host as draining.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {}

/// A pool of backend servers of one kind, with the limits that apply to each of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Kind of the backend servers.
    pub kind: ServiceKind,
    /// Limit on the concurrent requests of a warm backend server.
    pub max_running: u32,
    /// Limit on the requests queued at an agent.
    #[serde(default = "default_max_queued")]
    pub max_queued: u32,
    /// Limit on the tokens (prompt plus possible output) held by a backend server; 0 for plain services.
    #[serde(default)]
    pub tokens_limit: Tokens,
    /// Limit on the concurrent requests of a cold backend server.
    pub cold_limit: u32,
    /// Interval with successful answers after which the cold limit doubles.
    #[serde(default = "default_warm_interval")]
    pub warm_interval: Millis,
    /// Routes of a plain service. The first match applies.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// Price of a call of a plain service, in micros.
    #[serde(default)]
    pub call_price: Cost,
}

fn default_max_queued() -> u32 {
    32
}

fn default_warm_interval() -> Millis {
    Millis(2_000)
}

/// Kind of the backend servers of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model servers (engines).
    Model,
    /// Other HTTP servers.
    Plain,
}

/// A route of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// HTTP method.
    pub method: CompactString,
    /// Prefix of the path, with its leading slash.
    pub path: CompactString,
    /// Whether a call can be repeated safely.
    pub idempotent: bool,
}

/// A model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Service whose backend servers run the model.
    pub service: ServiceName,
    /// Version in use, unless a rollout has replaced it.
    pub current: VersionName,
    /// Versions by name.
    pub versions: BTreeMap<VersionName, Version>,
    /// Rollout that operators plan.
    #[serde(default)]
    pub rollout: Option<RolloutPlan>,
    /// Expected share of answers rated good, from 0 to 1, used before the first rating.
    #[serde(default = "default_prior_quality")]
    pub prior_quality: f64,
}

fn default_prior_quality() -> f64 {
    0.5
}

/// A version of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Which requests the version accepts.
    pub state: VersionState,
    /// Price of an input token, in micros.
    pub input_price: Cost,
    /// Price of an output token, in micros.
    pub output_price: Cost,
}

/// Which requests a version accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionState {
    /// All requests: new work, new sessions and pinned sessions.
    Open,
    /// Requests of pinned sessions only.
    Closed,
    /// No new requests.
    Withdrawn,
}

/// Plan by which a new version replaces the current one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutPlan {
    /// The new version.
    pub version: VersionName,
    /// Weights of the steps in permille, increasing to 1000.
    #[serde(default = "default_steps")]
    pub steps_permille: Vec<u32>,
    /// Upper bound of the error rate of a good version, from 0 to 1.
    #[serde(default = "default_good_rate")]
    pub good_error_rate: f64,
    /// Error rate of a bad version, from 0 to 1.
    #[serde(default = "default_bad_rate")]
    pub bad_error_rate: f64,
    /// Time to the first token above which an answer counts as slow.
    #[serde(default = "default_slow")]
    pub slow_after: Millis,
    /// Minimum duration of a step.
    #[serde(default = "default_step_time")]
    pub step_time: Millis,
}

fn default_steps() -> Vec<u32> {
    vec![10, 50, 250, 500, 1000]
}

fn default_good_rate() -> f64 {
    0.005
}

fn default_bad_rate() -> f64 {
    0.05
}

fn default_slow() -> Millis {
    Millis(1_100)
}

fn default_step_time() -> Millis {
    Millis(60_000)
}

/// A class of requests, which callers name in place of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Candidate models. The router selects the cheapest that meets the quality target.
    pub candidates: Vec<ModelName>,
}

/// A customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// SHA-256 of the API key, in hexadecimal.
    pub api_key_sha256: CompactString,
    /// Weight relative to other customers when capacity is shared under overload.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Priority; 0 is the most urgent.
    #[serde(default = "default_priority")]
    pub priority: u32,
    /// Allowed models, each with its allowed versions; an empty list allows all versions.
    #[serde(default)]
    pub models: BTreeMap<ModelName, Vec<VersionName>>,
    /// Allowed plain services.
    #[serde(default)]
    pub services: Vec<ServiceName>,
    /// Quality target for each allowed class, from 0 to 1.
    #[serde(default)]
    pub quality_targets: BTreeMap<ClassName, f64>,
    /// Spend cap per period; none means no cap.
    #[serde(default)]
    pub budget: Option<Budget>,
}

fn default_weight() -> u32 {
    1
}

fn default_priority() -> u32 {
    1
}

/// Spend cap of a customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Limit on the spending in one period, in micros.
    pub cap: Cost,
    /// Name of the period, for example `2026-12`. A new name starts a new period.
    pub period: CompactString,
}

impl Service {
    /// Returns the first route that matches, if any.
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        self.routes.iter().find(|route| route.method == method && path.starts_with(route.path.as_str()))
    }
}

impl Customer {
    /// Whether the customer may use `version` of `model`.
    pub fn allows(&self, model: &ModelName, version: &VersionName) -> bool {
        self.models.get(model).is_some_and(|versions| versions.is_empty() || versions.contains(version))
    }
}

impl Version {
    /// Cost of a request with these token counts.
    pub fn cost(&self, input: Tokens, output: Tokens) -> Cost {
        Cost(input.0.saturating_mul(self.input_price.0).saturating_add(output.0.saturating_mul(self.output_price.0)))
    }
}
