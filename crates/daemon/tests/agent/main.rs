//! Tests of the agent process against the engine stand-in.

mod answers;
mod execute;
mod link;
mod meter;
mod refuse;
mod rig;
