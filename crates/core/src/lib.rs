//! Decision logic of eelgrasswell. Nothing here opens a socket or reads a clock: callers pass
//! the time and the state, so that tests and experiments can drive every decision directly.

pub mod admission;
pub mod budget;
pub mod cascade;
pub mod claim;
pub mod evidence;
pub mod hash;
pub mod id;
pub mod lease;
pub mod ledger;
pub mod membership;
pub mod quality;
pub mod refusal;
pub mod retry;
pub mod rollout;
pub mod route;
pub mod session;
pub mod shard;
pub mod unit;
