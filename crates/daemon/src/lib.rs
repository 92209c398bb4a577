//! The eelgrasswell daemon: the router or gateway on entry hosts and the agent on the host of each backend server.

pub mod agent;
pub mod callers;
pub mod clock;
pub mod cmd;
pub mod config;
pub mod controller;
pub mod credential;
pub mod filter;
pub mod gateway;
pub mod invariant;
pub mod log;
pub mod operator;
pub mod platform;
pub mod revisions;
pub mod router;
pub mod shutdown;
mod sync;
pub mod telemetry;
