//! Stand-ins of the users' platform: its store, backend servers that speak its interface, and a harness that runs
//! gateways against them as separate processes.

mod rig;
mod store;
mod worker;

pub use rig::{GatewayProcess, Rig, RigPlan, config, until};
pub use store::{SiteStore, StoreFaults};
pub use worker::{Behaviour, Run, Worker, event};
