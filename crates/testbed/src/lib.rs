//! Stand-ins for outside systems, process harness and experiments.

pub mod engine;
