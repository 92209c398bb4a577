//! Stand-ins, a harness that runs the system as separate processes, and helpers for experiments.

pub mod experiment;
pub mod fault_link;
pub mod fleet;
pub mod http;
pub mod plan;
pub mod process;
//! Stand-ins for the systems outside of eelgrasswell, for tests and experiments.

pub mod platform;
//! Stand-ins for outside systems, process harness and experiments.

pub mod engine;
