//! Stand-ins for outside systems, a harness that runs the system as separate processes, and helpers for experiments.

pub mod engine;
pub mod experiment;
pub mod fault;
pub mod fault_link;
pub mod fault_matrix;
pub mod fleet;
pub mod http;
pub mod load;
pub mod plan;
pub mod platform;
pub mod process;
pub mod site;
pub mod soak;
