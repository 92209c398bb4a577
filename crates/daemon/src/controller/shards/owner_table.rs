//! Table of the owners of all shards, as known to this router.

use std::sync::{Mutex, MutexGuard, PoisonError};

use eelgrasswell_core::{id::ShardId, lease::Lease};
use eelgrasswell_proto::v1::ShardOwner;
use tokio::time::{Duration, Instant};

use super::SHARD_COUNT;

/// Minimum interval between two reads of the lease of a shard that serve to call its owner.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(250);

/// Known owners by shard.
#[derive(Debug)]
pub struct OwnerTable {
    entries: Mutex<Vec<Entry>>,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    owner: Option<ShardOwner>,
    /// Whether the owner may have changed, so that the lease should be read before the next call.
    is_suspect: bool,
    /// Last time at which a read of the lease was started for a call.
    last_read: Option<Instant>,
}

impl OwnerTable {
    /// Creates a table without owners.
    pub fn open() -> Self {
        Self { entries: Mutex::new(vec![Entry::default(); SHARD_COUNT as usize]) }
    }

    /// The last recorded owner of a shard.
    pub fn get(&self, shard: ShardId) -> Option<ShardOwner> {
        self.lock().get(shard.0 as usize)?.owner.clone()
    }

    /// All recorded owners.
    pub fn all(&self) -> Vec<ShardOwner> {
        self.lock().iter().filter_map(|entry| entry.owner.clone()).collect()
    }

    /// Records an owner, unless one with the same or a higher fence is recorded. Returns whether it was
    /// recorded.
    pub fn record(&self, owner: &ShardOwner) -> bool {
        let mut entries = self.lock();
        let Some(entry) = entries.get_mut(owner.shard as usize) else { return false };
        let newer = entry.owner.as_ref().is_none_or(|known| known.fence < owner.fence);
        if newer {
            entry.owner = Some(owner.clone());
            entry.is_suspect = false;
        }
        newer
    }

    /// Records the holder of a lease that was read from or written to the platform. The owner becomes
    /// suspect if the lease is released.
    pub fn record_lease(&self, shard: ShardId, lease: &Lease) {
        self.record(&owner_of(shard, lease));
        if let Some(entry) = self.lock().get_mut(shard.0 as usize) {
            entry.is_suspect = lease.released;
        }
    }

    /// Marks the owner as suspect after a call failed, unless an owner with another fence was recorded
    /// in the meantime.
    pub fn mark_suspect(&self, shard: ShardId, fence: u64) {
        if let Some(entry) = self.lock().get_mut(shard.0 as usize) {
            entry.is_suspect |= entry.owner.as_ref().is_some_and(|owner| owner.fence == fence);
        }
    }

    /// Returns whether the lease should be read now: the owner is unknown or suspect, and the last read
    /// is [`MIN_READ_INTERVAL`] ago. If so, records that a read has started.
    pub fn start_lease_read_if_due(&self, shard: ShardId) -> bool {
        let mut entries = self.lock();
        let Some(entry) = entries.get_mut(shard.0 as usize) else { return false };
        let needed = entry.owner.is_none() || entry.is_suspect;
        let due = entry.last_read.is_none_or(|last| last.elapsed() >= MIN_READ_INTERVAL);
        if needed && due {
            entry.last_read = Some(Instant::now());
        }
        needed && due
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Converts the holder of a lease to a message.
pub fn owner_of(shard: ShardId, lease: &Lease) -> ShardOwner {
    ShardOwner {
        shard: shard.0,
        owner: lease.owner.to_string(),
        address: lease.address.to_string(),
        incarnation: lease.incarnation.0,
        fence: lease.fence.0,
    }
}
