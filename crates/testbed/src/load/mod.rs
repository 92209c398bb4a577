//! Seeded callers against a fleet, and the check of what they and the backend servers saw.

mod audit;
mod caller;

pub use audit::{Audit, audit};
pub use caller::{CallKind, LoadGenerator, LoadPlan, Outcome, Record};
