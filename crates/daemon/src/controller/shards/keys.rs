//! Keys of the platform objects that belong to a shard.

use eelgrasswell_core::id::{Fence, ShardId};

/// The lease.
pub fn lease(shard: ShardId) -> String {
    format!("lease/shard-{shard}")
}

/// A log entry.
pub fn log(shard: ShardId, seq: u64) -> String {
    format!("shard/{shard}/log/{seq}")
}

/// Prefix of all log entries.
pub fn log_prefix(shard: ShardId) -> String {
    format!("shard/{shard}/log/")
}

/// The index of the snapshot.
pub fn snapshot(shard: ShardId) -> String {
    format!("shard/{shard}/snapshot")
}

/// A part of the snapshot before entry `next`. The nonce keeps attempts apart.
pub fn part(shard: ShardId, next: u64, fence: Fence, nonce: u32, index: usize) -> String {
    format!("shard/{shard}/part/{next}-{fence}-{nonce:08x}-{index}")
}

/// Prefix of the parts of all snapshots.
pub fn part_prefix(shard: ShardId) -> String {
    format!("shard/{shard}/part/")
}

/// A segment of sealed bills.
pub fn segment(shard: ShardId, next: u64, fence: Fence, nonce: u32) -> String {
    format!("shard/{shard}/bills/{next}-{fence}-{nonce:08x}")
}

/// The sequence number in the key of a log entry, or the `next` in the key of a snapshot part.
pub fn sequence(key: &str) -> Option<u64> {
    let name = key.rsplit('/').next()?;
    name.split('-').next()?.parse().ok()
}
