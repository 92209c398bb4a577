//! Experiments that run the decision logic in the process, without a fleet. Each is seeded and returns a table.

pub mod cost;
pub mod exposure;
pub mod table;
