//! Generates a seeded load on a fleet, and audits the callers' records against those of the backend servers and the
//! bills.

mod audit;
mod caller;

pub use audit::{Audit, audit};
pub use caller::{CallKind, LoadGenerator, LoadPlan, Outcome, Record};
