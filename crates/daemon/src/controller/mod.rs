//! Controllers: the background tasks that maintain a router's state, one module each.

pub mod answer_counters;
pub mod bills;
pub mod budgets;
pub mod config;
pub mod links;
pub mod membership;
pub mod peers;
pub mod quality;
pub mod rollout;
pub mod sessions;
pub mod shards;
