//! Keys of the objects in which the platform stores a shard.

use eelgrasswell_core::id::{Fence, ShardId};

/// Key of the lease.
pub fn lease(shard: ShardId) -> String {
    format!("lease/shard-{shard}")
}

/// Key of a log entry.
pub fn log(shard: ShardId, seq: u64) -> String {
    format!("shard/{shard}/log/{seq}")
}

/// Common prefix of the keys of all log entries.
pub fn log_prefix(shard: ShardId) -> String {
    format!("shard/{shard}/log/")
}

/// Key of the index of the snapshot.
pub fn snapshot(shard: ShardId) -> String {
    format!("shard/{shard}/snapshot")
}

/// Key of a part of the snapshot that covers the log entries before `next`. The nonce distinguishes
/// attempts to write the same snapshot.
pub fn part(shard: ShardId, next: u64, fence: Fence, nonce: u32, index: usize) -> String {
    format!("shard/{shard}/part/{next}-{fence}-{nonce:08x}-{index}")
}

/// Common prefix of the keys of the parts of all snapshots.
pub fn part_prefix(shard: ShardId) -> String {
    format!("shard/{shard}/part/")
}

/// Key of a segment of sealed bills.
pub fn segment(shard: ShardId, next: u64, fence: Fence, nonce: u32) -> String {
    format!("shard/{shard}/bills/{next}-{fence}-{nonce:08x}")
}

/// The sequence number in the key of a log entry, or `next` in the key of a snapshot part. `None` if the
/// key contains neither.
pub fn sequence(key: &str) -> Option<u64> {
    let name = key.rsplit('/').next()?;
    name.split('-').next()?.parse().ok()
}
