//! Leases on shards: which router holds a shard, and when another router may take it over.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    id::{Fence, HostId, Incarnation},
    unit::Millis,
};

/// Interval at which the holder renews its lease.
pub const RENEW_INTERVAL: Millis = Millis(2_000);
/// Time without a renewal after which a lease has expired; two renewals may be lost.
pub const LEASE_EXPIRY: Millis = Millis(6_000);
/// Maximum time between two observations that count as continuous. After a longer gap (an outage of
/// the platform, or a pause of the observer), the holder may have been unable to renew for the same
/// reason, so the expiry time starts again.
pub const MAX_OBSERVATION_GAP: Millis = Millis(2_500);

/// Content of the platform object that represents a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Host of the holder.
    pub owner: HostId,
    /// Inner address of the holder, for calls from other routers.
    pub address: SocketAddr,
    /// Incarnation of the holder.
    pub incarnation: Incarnation,
    /// Fencing token; rises by one with each new holder.
    pub fence: Fence,
    /// Whether the holder has released the shard, so that a successor need not wait for the expiry.
    #[serde(default)]
    pub released: bool,
}

/// Detects the expiry of a lease from repeated observations by one router.
#[derive(Clone, Debug, Default)]
pub struct LeaseObserver {
    unchanged: Option<Observations>,
}

/// Continuous observations of the same version of the lease object.
#[derive(Clone, Copy, Debug)]
struct Observations {
    version: u64,
    first: Millis,
    last: Millis,
}

impl LeaseObserver {
    /// Records that the lease object had `version` at `now`, a time of the observer's clock.
    pub fn observe(&mut self, version: u64, now: Millis) {
        let continued = self
            .unchanged
            .filter(|earlier| earlier.version == version && now.saturating_sub(earlier.last) <= MAX_OBSERVATION_GAP);
        let first = continued.map_or(now, |earlier| earlier.first);
        self.unchanged = Some(Observations { version, first, last: now });
    }

    /// Whether the lease was observed unchanged for [`LEASE_EXPIRY`]. The time since the last
    /// observation does not count.
    pub fn expired(&self) -> bool {
        self.unchanged_for() >= LEASE_EXPIRY
    }

    /// Time between the first and the last of the continuous observations of the unchanged lease.
    pub fn unchanged_for(&self) -> Millis {
        self.unchanged.map_or(Millis::ZERO, |observed| observed.last.saturating_sub(observed.first))
    }

    /// Discards all observations.
    pub fn reset(&mut self) {
        self.unchanged = None;
    }
}
