//! Manages the lease of one shard: observes it, acquires it when it has expired or is released, renews
//! it while this router owns the shard, and releases it for a handover.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use eelgrasswell_core::{
    id::{Fence, HostId, ShardId},
    lease::{LEASE_EXPIRY, Lease, LeaseObserver, RENEW_INTERVAL},
    unit::Millis,
};
use futures::future;
use tokio::{
    sync::{Mutex, watch},
    time::{Instant, sleep, timeout},
};

use super::{
    Inner, keys,
    log::{ShardLog, read_lease},
    takeover,
    writer::{StopReason, Writer},
};
use crate::{event, platform::Put};

/// Interval at which a primary observer reads the lease.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Additional wait per rank before a router acquires an expired lease, so that one router tries first.
const RANK_DELAY: Millis = Millis(500);
/// Additional wait per rank before a router acquires a released lease. It must be longer than a poll
/// interval of the router ranked before; otherwise the router that handed the shard over would acquire
/// the lease again.
const RELEASED_RANK_DELAY: Millis = Millis(1_000);
/// Number of routers that observe a lease, by rank. See [`MAX_SMALL_FLEET`] for the exception.
const PRIMARY_OBSERVERS: usize = 2;
/// Maximum number of live routers with which all of them observe every lease. In a small fleet, both
/// primary observers may have failed at once, and the next router would detect that only after 8 s.
const MAX_SMALL_FLEET: usize = 8;
/// Interval at which the observers other than the primary ones read the lease in a small fleet.
const SECONDARY_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Delay after a failed renewal or release of the lease.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Time for which another router must rank first before the shard is handed over to it.
const HANDOVER_DELAY: Duration = Duration::from_secs(10);
/// Time after which the shard is handed over to the same router again if that router did not acquire it.
const HANDOVER_RETRY_DELAY: Duration = Duration::from_secs(300);
/// Timeout for writing the released lease.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

/// Manages the lease of one shard.
pub struct LeaseManager {
    inner: Arc<Inner>,
    shard: ShardId,
    releasing: watch::Receiver<bool>,
    observer: LeaseObserver,
    poll_interval: Duration,
    /// Router that the shard was last handed over to, and when.
    last_handover: Option<(HostId, Instant)>,
}

/// A lease that this router holds.
struct HeldLease {
    lease: Lease,
    /// Last known version of the lease object.
    version: Mutex<u64>,
}

impl LeaseManager {
    /// Creates the lease manager of `shard`. It stops once `releasing` is true.
    pub fn new(inner: Arc<Inner>, shard: ShardId, releasing: watch::Receiver<bool>) -> Self {
        Self {
            inner,
            shard,
            releasing,
            observer: LeaseObserver::default(),
            poll_interval: POLL_INTERVAL,
            last_handover: None,
        }
    }

    /// Runs until the router releases its shards.
    pub async fn run(mut self) {
        while !*self.releasing.borrow() {
            if let Some(held) = self.observe_and_acquire().await {
                self.serve_while_held(&held).await;
                self.observer.reset();
                continue;
            }
            let _ = timeout(self.poll_interval, self.releasing.wait_for(|releasing| *releasing)).await;
        }
    }

    /// Reads the lease if this router is one of its observers, and acquires it if it was free or expired
    /// for long enough. Returns the lease if it was acquired.
    async fn observe_and_acquire(&mut self) -> Option<HeldLease> {
        let ranked = self.inner.members.ranked_for_shard(self.shard);
        let rank = ranked.iter().position(|router| router.id == self.inner.settings.host.id)?;
        if rank >= PRIMARY_OBSERVERS && ranked.len() > MAX_SMALL_FLEET {
            self.observer.reset();
            return None;
        }
        self.poll_interval = if rank < PRIMARY_OBSERVERS { POLL_INTERVAL } else { SECONDARY_POLL_INTERVAL };
        let current = read_lease(&self.inner.platform, self.shard).await.ok()?;
        let version = current.as_ref().map_or(0, |(version, _)| *version);
        self.observer.observe(version, self.inner.clock.now());
        if let Some((_, lease)) = &current {
            self.inner.owners.record_lease(self.shard, lease);
        }
        let is_free = current.as_ref().is_none_or(|(_, lease)| lease.released || self.is_own_lease(lease));
        let rank = rank.min(PRIMARY_OBSERVERS) as u64;
        let wait =
            if is_free { Millis(RELEASED_RANK_DELAY.0 * rank) } else { LEASE_EXPIRY + Millis(RANK_DELAY.0 * rank) };
        if self.observer.unchanged_for() < wait {
            return None;
        }
        let fence = current.map_or(Fence(0), |(_, lease)| lease.fence);
        self.acquire(version, Fence(fence.0 + 1)).await
    }

    /// Whether this process acquired the lease, but did not receive the confirmation or has stopped
    /// serving the shard since.
    fn is_own_lease(&self, lease: &Lease) -> bool {
        lease.incarnation == self.inner.incarnation
    }

    /// Writes this router's lease over `version` of the lease object. After an error, reads the lease back
    /// to determine whether the write took effect.
    async fn acquire(&self, version: u64, fence: Fence) -> Option<HeldLease> {
        let host = &self.inner.settings.host;
        let lease = Lease {
            owner: host.id.clone(),
            address: host.inner,
            incarnation: self.inner.incarnation,
            fence,
            released: false,
        };
        let put = self.inner.platform.put(&keys::lease(self.shard), version, lease_to_json(&lease)).await;
        let version = match put {
            Ok(Put::Done(version)) => version,
            Ok(Put::Conflict) => return None,
            Err(_) => {
                let (version, stored) = read_lease(&self.inner.platform, self.shard).await.ok()??;
                (stored == lease).then_some(version)?
            }
        };
        Some(HeldLease { lease, version: Mutex::new(version) })
    }

    /// Serves the shard until it is released or another router owns it.
    async fn serve_while_held(&mut self, held: &HeldLease) {
        self.inner.owners.record_lease(self.shard, &held.lease);
        let (stop, stopped) = watch::channel(false);
        let inner = Arc::clone(&self.inner);
        let reason = tokio::select! {
            reason = take_over_and_serve(&inner, self.shard, held, stopped) => reason,
            () = renew_until_lost(&inner, self.shard, held) => StopReason::Deposed,
            () = self.stop_for_handover(&stop) => StopReason::Deposed,
        };
        event!(
            Info,
            "shard_left",
            shard = self.shard,
            fence = held.lease.fence,
            released = reason == StopReason::Released
        );
        if reason == StopReason::Released
            && timeout(RELEASE_TIMEOUT, release_lease(&self.inner, self.shard, held)).await.is_err()
        {
            event!(Warn, "lease_not_released", shard = self.shard, fence = held.lease.fence);
        }
    }

    /// Makes the writer stop when this router shuts down or another router should own the shard. Never
    /// returns.
    async fn stop_for_handover(&mut self, stop: &watch::Sender<bool>) {
        let mut first_ranked: Option<(HostId, Instant)> = None;
        while !*self.releasing.borrow() {
            let _ = timeout(Duration::from(RENEW_INTERVAL), self.releasing.wait_for(|releasing| *releasing)).await;
            let ranked = self.inner.members.ranked_for_shard(self.shard);
            let other = ranked.first().map(|router| &router.id).filter(|id| **id != self.inner.settings.host.id);
            let Some(other) = other else {
                first_ranked = None;
                continue;
            };
            let since = match &first_ranked {
                Some((id, since)) if id == other => *since,
                _ => Instant::now(),
            };
            let handed_over_before =
                self.last_handover.as_ref().is_some_and(|(id, at)| id == other && at.elapsed() < HANDOVER_RETRY_DELAY);
            if since.elapsed() >= HANDOVER_DELAY && !handed_over_before {
                event!(Info, "shard_handover", shard = self.shard, to = other);
                self.last_handover = Some((other.clone(), Instant::now()));
                break;
            }
            first_ranked = Some((other.clone(), since));
        }
        stop.send_replace(true);
        future::pending::<()>().await;
    }
}

/// Takes the shard over and serves it until it is lost or `stop` is true.
async fn take_over_and_serve(
    inner: &Arc<Inner>,
    shard: ShardId,
    held: &HeldLease,
    stop: watch::Receiver<bool>,
) -> StopReason {
    let log =
        ShardLog { platform: inner.platform.clone(), shard, fence: held.lease.fence, incarnation: inner.incarnation };
    let mut stopped = stop.clone();
    let recovered = tokio::select! {
        recovered = takeover::run(&log, &inner.settings.host.id, inner.clock) => recovered,
        _ = stopped.wait_for(|stop| *stop) => return StopReason::Released,
    };
    let Some(recovered) = recovered else { return StopReason::Deposed };
    event!(Info, "shard_owned", shard = shard, fence = held.lease.fence, next = recovered.state.next_seq);
    let (writer, handle) = Writer::new(log, inner.clock, inner.config.clone(), recovered, stop);
    let _owned_guard = inner.register_owned(shard, handle);
    writer.run().await
}

/// Renews the lease. Returns once another router has acquired it.
async fn renew_until_lost(inner: &Inner, shard: ShardId, held: &HeldLease) {
    let key = keys::lease(shard);
    let value = lease_to_json(&held.lease);
    let mut delay = Duration::from(RENEW_INTERVAL);
    loop {
        sleep(delay).await;
        let version = *held.version.lock().await;
        delay = match inner.platform.put(&key, version, value.clone()).await {
            Ok(Put::Done(version)) => {
                *held.version.lock().await = version;
                RENEW_INTERVAL.into()
            }
            // If the answer to an earlier renewal was lost, the object has a higher version than the known
            // one, but still contains this lease.
            Ok(Put::Conflict) | Err(_) => match read_lease(&inner.platform, shard).await {
                Ok(Some((version, stored))) if stored == held.lease => {
                    *held.version.lock().await = version;
                    RETRY_DELAY
                }
                Ok(_) => return,
                Err(_) => RETRY_DELAY,
            },
        };
    }
}

/// Marks the lease as released, so that the successor need not wait for its expiry. Retries until the
/// lease is released or another router has acquired it.
async fn release_lease(inner: &Inner, shard: ShardId, held: &HeldLease) {
    let released = Lease { released: true, ..held.lease.clone() };
    loop {
        match read_lease(&inner.platform, shard).await {
            Ok(Some((version, stored))) if stored == held.lease => {
                if let Ok(Put::Done(_)) =
                    inner.platform.put(&keys::lease(shard), version, lease_to_json(&released)).await
                {
                    inner.owners.record_lease(shard, &released);
                    return;
                }
            }
            Ok(_) => return,
            Err(_) => {}
        }
        sleep(RETRY_DELAY).await;
    }
}

fn lease_to_json(lease: &Lease) -> Bytes {
    serde_json::to_vec(lease).expect("a lease serialises to JSON").into()
}
