//! Decision logic of eelgrasswell. Nothing in this crate opens a socket or reads a clock: callers pass in
//! the time and the state, so that tests and experiments can drive every decision directly.

pub mod admission;
pub mod agent_selection;
pub mod answer_counters;
pub mod attempt;
pub mod backend;
pub mod budget;
pub mod canary;
pub mod cascade;
pub mod claim;
pub mod confirmation;
pub mod crash_evidence;
pub mod escalation;
pub mod event_order;
pub mod event_stream;
pub mod fleet;
pub mod hash;
pub mod id;
pub mod latency;
pub mod lease;
pub mod ledger;
pub mod membership;
pub mod not_run;
pub mod pace;
pub mod pool;
pub mod quality;
pub mod rate;
pub mod refusal;
pub mod repeat;
pub mod retry;
pub mod rollout;
pub mod routing_config;
pub mod session;
pub mod shard;
pub mod transfer;
pub mod unit;
