//! Drives the real agent process against the engine stand-in.

mod execute;
mod refuse;
mod rig;
