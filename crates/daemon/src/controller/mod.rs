//! Controllers: background tasks that keep a router's state, one file each.

pub mod bills;
pub mod budgets;
pub mod config;
pub mod evidence;
pub mod links;
pub mod membership;
pub mod peers;
pub mod quality;
pub mod rollout;
pub mod sessions;
pub mod shards;
