//! Leases: who holds a shard, and when an observer may take it over.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    id::{Fence, HostId, Incarnation},
    unit::Millis,
};

/// Interval at which a holder renews its lease.
pub const RENEW_INTERVAL: Millis = Millis(2_000);
/// Time without a change after which a lease has expired: two renewals may be lost.
pub const LEASE_EXPIRY: Millis = Millis(6_000);
/// Longest time between two sightings that count as continuous. After a longer gap (an outage of
/// the platform, or a pause of the observer) the holder may have been unable to renew for the same
/// reason, so the observation starts again.
pub const MAX_OBSERVATION_GAP: Millis = Millis(2_500);

/// Value of a lease object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Host of the holder.
    pub owner: HostId,
    /// Inner address of the holder.
    pub address: SocketAddr,
    /// Incarnation of the holder.
    pub incarnation: Incarnation,
    /// Rises by one with each new holder.
    pub fence: Fence,
    /// Whether the holder has given the shard up, so that a successor need not wait.
    #[serde(default)]
    pub released: bool,
}

/// What one observer has seen of a lease.
#[derive(Clone, Debug, Default)]
pub struct LeaseObserver {
    seen: Option<Sighting>,
}

#[derive(Clone, Copy, Debug)]
struct Sighting {
    version: u64,
    first: Millis,
    last: Millis,
}

impl LeaseObserver {
    /// Notes that the lease object had `version` at `now` of the observer's clock.
    pub fn observe(&mut self, version: u64, now: Millis) {
        let continued =
            self.seen.filter(|seen| seen.version == version && now.saturating_sub(seen.last) <= MAX_OBSERVATION_GAP);
        let first = continued.map_or(now, |seen| seen.first);
        self.seen = Some(Sighting { version, first, last: now });
    }

    /// Whether the lease was seen unchanged for the expiry time. Time that has passed since the
    /// last sighting does not count.
    pub fn expired(&self) -> bool {
        self.unchanged_for() >= LEASE_EXPIRY
    }

    /// For how long the lease was seen unchanged.
    pub fn unchanged_for(&self) -> Millis {
        self.seen.map_or(Millis::ZERO, |seen| seen.last.saturating_sub(seen.first))
    }

    /// Starts the observation again.
    pub fn reset(&mut self) {
        self.seen = None;
    }
}
