//! Keeps the lease of one shard: observes it, takes it when it has expired, renews it while this
//! router owns the shard, and hands it over.

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
    writer::{End, Writer},
};
use crate::{event, platform::Put};

/// Interval at which an observer reads the lease.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Wait of each rank after the one before for an expired lease, so that one router tries first.
const RANK_DELAY: Millis = Millis(500);
/// Wait of each rank after the one before for a released lease. It spans a poll of the router before,
/// or the router that has handed a shard over would take it back.
const FREE_RANK_DELAY: Millis = Millis(1_000);
/// Routers that observe a lease.
const OBSERVERS: usize = 2;
/// Size of a fleet in which all routers observe: of few routers, both observers may be gone, and the
/// next one would learn that only after 8 s.
const SMALL_FLEET: usize = 8;
/// Interval at which the further observers of a small fleet read the lease.
const FURTHER_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after a failed renewal.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Time for which another router must rank first before a shard is handed to it.
const HANDOVER_AFTER: Duration = Duration::from_secs(10);
/// Time after which a shard is handed to the same router again when it did not take it.
const HANDOVER_PAUSE: Duration = Duration::from_secs(300);
/// Longest time that writing the released lease may take.
const RELEASE_LIMIT: Duration = Duration::from_secs(5);

/// Keeper of the lease of one shard.
pub struct Keeper {
    inner: Arc<Inner>,
    shard: ShardId,
    releasing: watch::Receiver<bool>,
    observer: LeaseObserver,
    poll: Duration,
    /// Router that a shard was handed to, and when.
    handed: Option<(HostId, Instant)>,
}

/// A lease that this router holds.
struct Held {
    lease: Lease,
    version: Mutex<u64>,
}

impl Keeper {
    /// Makes the keeper of `shard`; it ends once `releasing` is true.
    pub fn new(inner: Arc<Inner>, shard: ShardId, releasing: watch::Receiver<bool>) -> Self {
        Self { inner, shard, releasing, observer: LeaseObserver::default(), poll: POLL_INTERVAL, handed: None }
    }

    /// Runs until the router releases its shards.
    pub async fn run(mut self) {
        while !*self.releasing.borrow() {
            if let Some(held) = self.observe().await {
                self.hold(&held).await;
                self.observer.reset();
                continue;
            }
            let _ = timeout(self.poll, self.releasing.wait_for(|releasing| *releasing)).await;
        }
    }

    /// Reads the lease when this router is to observe it, and takes it when it may.
    async fn observe(&mut self) -> Option<Held> {
        let ranked = self.inner.members.ranked_for_shard(self.shard);
        let rank = ranked.iter().position(|router| router.id == self.inner.settings.host.id)?;
        if rank >= OBSERVERS && ranked.len() > SMALL_FLEET {
            self.observer.reset();
            return None;
        }
        self.poll = if rank < OBSERVERS { POLL_INTERVAL } else { FURTHER_POLL_INTERVAL };
        let found = read_lease(&self.inner.platform, self.shard).await.ok()?;
        let version = found.as_ref().map_or(0, |(version, _)| *version);
        self.observer.observe(version, self.inner.clock.now());
        if let Some((_, lease)) = &found {
            self.inner.owners.learn_lease(self.shard, lease);
        }
        let free = found.as_ref().is_none_or(|(_, lease)| lease.released || self.is_own(lease));
        let rank = rank.min(OBSERVERS) as u64;
        let wait = if free { Millis(FREE_RANK_DELAY.0 * rank) } else { LEASE_EXPIRY + Millis(RANK_DELAY.0 * rank) };
        if self.observer.unchanged_for() < wait {
            return None;
        }
        let fence = found.map_or(Fence(0), |(_, lease)| lease.fence);
        self.take(version, Fence(fence.0 + 1)).await
    }

    /// Whether the lease is one that this process took without having learned of it, or lost hold of.
    fn is_own(&self, lease: &Lease) -> bool {
        lease.incarnation == self.inner.incarnation
    }

    async fn take(&self, version: u64, fence: Fence) -> Option<Held> {
        let host = &self.inner.settings.host;
        let lease = Lease {
            owner: host.id.clone(),
            address: host.inner,
            incarnation: self.inner.incarnation,
            fence,
            released: false,
        };
        let put = self.inner.platform.put(&keys::lease(self.shard), version, to_json(&lease)).await;
        let version = match put {
            Ok(Put::Done(version)) => version,
            Ok(Put::Conflict) => return None,
            Err(_) => {
                let (version, found) = read_lease(&self.inner.platform, self.shard).await.ok()??;
                (found == lease).then_some(version)?
            }
        };
        Some(Held { lease, version: Mutex::new(version) })
    }

    /// Owns the shard until it is released or lost.
    async fn hold(&mut self, held: &Held) {
        self.inner.owners.learn_lease(self.shard, &held.lease);
        let (stop, stopped) = watch::channel(false);
        let inner = Arc::clone(&self.inner);
        let end = tokio::select! {
            end = own(&inner, self.shard, held, stopped) => end,
            () = renew(&inner, self.shard, held) => End::Deposed,
            () = self.stop_when_due(&stop) => End::Deposed,
        };
        event!(Info, "shard_left", shard = self.shard, fence = held.lease.fence, released = end == End::Released);
        if end == End::Released && timeout(RELEASE_LIMIT, release(&self.inner, self.shard, held)).await.is_err() {
            event!(Warn, "lease_not_released", shard = self.shard, fence = held.lease.fence);
        }
    }

    /// Tells the owner to stop when the router leaves or when another router should own the shard.
    async fn stop_when_due(&mut self, stop: &watch::Sender<bool>) {
        let mut first: Option<(HostId, Instant)> = None;
        while !*self.releasing.borrow() {
            let _ = timeout(Duration::from(RENEW_INTERVAL), self.releasing.wait_for(|releasing| *releasing)).await;
            let ranked = self.inner.members.ranked_for_shard(self.shard);
            let other = ranked.first().map(|router| &router.id).filter(|id| **id != self.inner.settings.host.id);
            let Some(other) = other else {
                first = None;
                continue;
            };
            let since = match &first {
                Some((id, since)) if id == other => *since,
                _ => Instant::now(),
            };
            let declined = self.handed.as_ref().is_some_and(|(id, at)| id == other && at.elapsed() < HANDOVER_PAUSE);
            if since.elapsed() >= HANDOVER_AFTER && !declined {
                event!(Info, "shard_handover", shard = self.shard, to = other);
                self.handed = Some((other.clone(), Instant::now()));
                break;
            }
            first = Some((other.clone(), since));
        }
        stop.send_replace(true);
        future::pending::<()>().await;
    }
}

/// Takes the shard over and serves it.
async fn own(inner: &Arc<Inner>, shard: ShardId, held: &Held, stop: watch::Receiver<bool>) -> End {
    let log =
        ShardLog { platform: inner.platform.clone(), shard, fence: held.lease.fence, incarnation: inner.incarnation };
    let mut stopped = stop.clone();
    let taken = tokio::select! {
        taken = takeover::run(&log, &inner.settings.host.id, inner.clock) => taken,
        _ = stopped.wait_for(|stop| *stop) => return End::Released,
    };
    let Some(taken) = taken else { return End::Deposed };
    event!(Info, "shard_owned", shard = shard, fence = held.lease.fence, next = taken.state.next_seq);
    let (writer, handle) = Writer::new(log, inner.clock, inner.config.clone(), taken, stop);
    let _published = inner.publish(shard, handle);
    writer.run().await
}

/// Renews the lease; returns when another router has taken it.
async fn renew(inner: &Inner, shard: ShardId, held: &Held) {
    let key = keys::lease(shard);
    let value = to_json(&held.lease);
    let mut pause = Duration::from(RENEW_INTERVAL);
    loop {
        sleep(pause).await;
        let version = *held.version.lock().await;
        pause = match inner.platform.put(&key, version, value.clone()).await {
            Ok(Put::Done(version)) => {
                *held.version.lock().await = version;
                RENEW_INTERVAL.into()
            }
            // After a lost answer the version is higher than known, and the lease still this one.
            Ok(Put::Conflict) | Err(_) => match read_lease(&inner.platform, shard).await {
                Ok(Some((version, found))) if found == held.lease => {
                    *held.version.lock().await = version;
                    RETRY_PAUSE
                }
                Ok(_) => return,
                Err(_) => RETRY_PAUSE,
            },
        };
    }
}

/// Marks the lease as released, so that a successor need not wait for its expiry.
async fn release(inner: &Inner, shard: ShardId, held: &Held) {
    let released = Lease { released: true, ..held.lease.clone() };
    loop {
        match read_lease(&inner.platform, shard).await {
            Ok(Some((version, found))) if found == held.lease => {
                if let Ok(Put::Done(_)) = inner.platform.put(&keys::lease(shard), version, to_json(&released)).await {
                    inner.owners.learn_lease(shard, &released);
                    return;
                }
            }
            Ok(_) => return,
            Err(_) => {}
        }
        sleep(RETRY_PAUSE).await;
    }
}

fn to_json(lease: &Lease) -> Bytes {
    serde_json::to_vec(lease).expect("a lease serialises to JSON").into()
}
