//! What this router has heard of the owners of all shards.

use std::sync::{Mutex, MutexGuard, PoisonError};

use eelgrasswell_core::{id::ShardId, lease::Lease};
use eelgrasswell_proto::v1::ShardOwner;
use tokio::time::{Duration, Instant};

use super::SHARD_COUNT;

/// Least time between reads of the lease of one shard for calls to its owner.
const READ_INTERVAL: Duration = Duration::from_millis(250);

/// Owners by shard.
#[derive(Debug)]
pub struct OwnerTable {
    rows: Mutex<Vec<Row>>,
}

#[derive(Clone, Debug, Default)]
struct Row {
    owner: Option<ShardOwner>,
    /// Whether the lease should be read before the owner is called again.
    suspected: bool,
    read_at: Option<Instant>,
}

impl OwnerTable {
    /// Starts without owners.
    pub fn open() -> Self {
        Self { rows: Mutex::new(vec![Row::default(); SHARD_COUNT as usize]) }
    }

    /// The owner, as far as heard.
    pub fn get(&self, shard: ShardId) -> Option<ShardOwner> {
        self.lock().get(shard.0 as usize)?.owner.clone()
    }

    /// All owners.
    pub fn all(&self) -> Vec<ShardOwner> {
        self.lock().iter().filter_map(|row| row.owner.clone()).collect()
    }

    /// Takes in an owner; the highest fence wins. True when it was not known.
    pub fn learn(&self, owner: &ShardOwner) -> bool {
        let mut rows = self.lock();
        let Some(row) = rows.get_mut(owner.shard as usize) else { return false };
        let newer = row.owner.as_ref().is_none_or(|known| known.fence < owner.fence);
        if newer {
            row.owner = Some(owner.clone());
            row.suspected = false;
        }
        newer
    }

    /// Takes in a lease that was read at the platform.
    pub fn learn_lease(&self, shard: ShardId, lease: &Lease) {
        self.learn(&owner_of(shard, lease));
        if let Some(row) = self.lock().get_mut(shard.0 as usize) {
            row.suspected = lease.released;
        }
    }

    /// Notes that a call to the owner with this fence failed.
    pub fn suspect(&self, shard: ShardId, fence: u64) {
        if let Some(row) = self.lock().get_mut(shard.0 as usize) {
            row.suspected |= row.owner.as_ref().is_some_and(|owner| owner.fence == fence);
        }
    }

    /// Whether the lease should be read now; notes that it is read.
    pub fn wants_read(&self, shard: ShardId) -> bool {
        let mut rows = self.lock();
        let Some(row) = rows.get_mut(shard.0 as usize) else { return false };
        let wanted = row.owner.is_none() || row.suspected;
        let due = row.read_at.is_none_or(|at| at.elapsed() >= READ_INTERVAL);
        if wanted && due {
            row.read_at = Some(Instant::now());
        }
        wanted && due
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Row>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The holder of a lease as messages name it.
pub fn owner_of(shard: ShardId, lease: &Lease) -> ShardOwner {
    ShardOwner {
        shard: shard.0,
        owner: lease.owner.to_string(),
        address: lease.address.to_string(),
        incarnation: lease.incarnation.0,
        fence: lease.fence.0,
    }
}
