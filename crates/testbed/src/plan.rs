//! Plans of fleets, and the manifest that tests use.

use serde_json::{Value, json};

/// Processes of a fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Failure domain of each router.
    pub routers: Vec<&'static str>,
    /// Agents, each with its backend server.
    pub agents: Vec<AgentPlan>,
    /// Additional command-line arguments of the engine stand-ins.
    pub engine_args: Vec<String>,
    /// Worker threads of each router and agent; the number of cores if `None`.
    pub worker_threads: Option<u32>,
    /// Whether there is a fault link in front of each inner endpoint, and between each router and the platform.
    pub fault_links: bool,
    /// Manifest that is submitted at the start.
    pub manifest: Value,
}

/// An agent with its backend server.
#[derive(Clone, Debug)]
pub struct AgentPlan {
    /// Failure domain.
    pub domain: &'static str,
    /// Service of the backend server.
    pub service: &'static str,
    /// Models and versions that the backend server has loaded.
    pub loaded: Vec<(&'static str, &'static str)>,
}

/// API key of the customer `savusavu` in test manifests.
pub const SAVUSAVU_KEY: &str = "key-savusavu";
/// API key of the customer `labasa` in test manifests.
pub const LABASA_KEY: &str = "key-labasa";
/// SHA-256 of `SAVUSAVU_KEY`.
const SAVUSAVU_HASH: &str = "3e3689cd788f49df983417481f868a8982a698548a1ab70875acaeefd450a656";
/// SHA-256 of `LABASA_KEY`.
const LABASA_HASH: &str = "28f172b6133d2993598fd2c7743de4e615b40b4f49de1ab1cc63a56695f264b6";

/// Models and versions that the model engines of a default fleet have loaded.
const LOADED: [(&str, &str); 4] =
    [("plan-small", "v1"), ("plan-small", "v2"), ("plan-large", "v1"), ("plan-large", "v2")];

impl FleetPlan {
    /// Two routers, three model engines and two plain services over four failure domains.
    pub fn small() -> Self {
        let engine = |domain| AgentPlan { domain, service: "loan-desk", loaded: LOADED.to_vec() };
        let plain = |domain| AgentPlan { domain, service: "loan-records", loaded: Vec::new() };
        Self {
            routers: vec!["lautoka", "nadi"],
            agents: vec![engine("lautoka"), engine("nadi"), engine("ba"), plain("lautoka"), plain("sigatoka")],
            engine_args: Vec::new(),
            worker_threads: None,
            fault_links: false,
            manifest: manifest(),
        }
    }

    /// One router with two worker threads, and model engines without effective limits of pool and budget, so that the
    /// router is the bottleneck in measurements.
    pub fn unlimited(engines: usize, engine_args: &[&str]) -> Self {
        let mut plan = Self::small();
        plan.routers.truncate(1);
        plan.agents = vec![plan.agents[0].clone(); engines];
        plan.engine_args = engine_args.iter().map(ToString::to_string).collect();
        plan.worker_threads = Some(2);
        let pool = &mut plan.manifest["services"]["loan-desk"];
        pool["max_running"] = json!(500);
        pool["cold_limit"] = json!(500);
        pool["tokens_limit"] = json!(10_000_000);
        plan.manifest["customers"]["savusavu"]["budget"] = json!(null);
        plan
    }
}

/// Returns a manifest with two customers, two models of two versions each, one class and one plain service. The API keys
/// are `SAVUSAVU_KEY` and `LABASA_KEY`.
pub fn manifest() -> Value {
    let domain = |region| json!({"region": region, "in_service": true});
    let version = |input, output| json!({"state": "open", "input_price": input, "output_price": output});
    json!({
        "domains": {
            "lautoka": domain("viti"), "nadi": domain("viti"), "ba": domain("viti"), "sigatoka": domain("viti"),
        },
        "services": {
            "loan-desk": {
                "kind": "model", "max_running": 16, "max_queued": 32, "tokens_limit": 100_000,
                "cold_limit": 4, "warm_interval": 200,
            },
            "loan-records": {
                "kind": "plain", "max_running": 16, "cold_limit": 4, "warm_interval": 200, "call_price": 5,
                "routes": [
                    {"method": "GET", "path": "/", "idempotent": true},
                    {"method": "POST", "path": "/", "idempotent": false},
                ],
            },
        },
        "models": {
            "plan-small": {
                "service": "loan-desk", "current": "v1", "prior_quality": 0.9,
                "versions": {"v1": version(1, 2), "v2": version(1, 2)},
                "rollout": {"version": "v2", "steps_permille": [10, 250, 1000], "step_time": 500},
            },
            "plan-large": {
                "service": "loan-desk", "current": "v1", "prior_quality": 0.95,
                "versions": {"v1": version(10, 20), "v2": version(10, 20)},
            },
        },
        "classes": {"loan-plan": {"candidates": ["plan-small", "plan-large"]}},
        "customers": {
            "savusavu": {
                "api_key_sha256": SAVUSAVU_HASH,
                "models": {"plan-small": [], "plan-large": ["v1"]},
                "services": ["loan-records"],
                "quality_targets": {"loan-plan": 0.8},
                "budget": {"cap": 1_000_000_000u64, "period": "2026-12"},
            },
            "labasa": {
                "api_key_sha256": LABASA_HASH,
                "models": {"plan-small": ["v1"]},
                "services": ["loan-records"],
            },
        },
    })
}
