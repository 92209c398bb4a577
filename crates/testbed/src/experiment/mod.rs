//! Experiments that drive the decision logic directly. Each is seeded and returns a table.

pub mod cost;
pub mod exposure;
pub mod table;
