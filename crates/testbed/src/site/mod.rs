//! Stand-ins for the users' platform: its store, backend servers with its interface, and a harness that runs gateways
//! against them as separate processes.

mod backend;
pub mod drill_soak;
mod duty_api;
mod rig;
mod scripted;
mod store;

pub use backend::{Behaviour, FakeBackend, Run, event};
pub use duty_api::{ApiMode, DutyCall, FakeDutyApi};
pub use rig::{GatewayProcess, Rig, RigPlan, config, wait_until};
pub use scripted::{BodyRead, Script, ScriptedBackend, ScriptedRequest};
pub use store::{FakeStore, StoreCopy, StoreFaults};
