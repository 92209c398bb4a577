//! Keeps the copies of the store's objects current by watches of the store, unless another gateway does so.

use std::time::Duration;

use eelgrasswell_core::{
    outage::{CallSequence, Finding},
    place::Place,
    unit::Millis,
};
use eelgrasswell_platform::objects::{Kind, Object};
use rand::RngExt;
use tokio::time::sleep;

use super::{
    Gateway, State,
    store::{CallError, StoreClient},
};
use crate::{event, sync::lock, telemetry};

/// Longest wait of a watch for the configuration. It bounds the age of the confirmation that keys are still valid, and
/// the time until the gateways that follow this one learn that it can't reach the store.
const CONFIG_WATCH_WAIT: Millis = Millis(700);
/// Longest wait of the other watches. It bounds the time until an unresponsive connection is detected.
const WATCH_WAIT: Millis = Millis(2_000);
/// Pause between two watches for backend servers. Their entries change often, and the pause collects several changes
/// into one call.
const BACKENDS_WATCH_PAUSE: Duration = Duration::from_millis(200);
/// Interval at which a gateway checks whether a watcher still keeps its copy current.
const SYNC_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Name of the store as the source of a change, in logs.
const STORE_SOURCE: &str = "store";
/// Base of the exponential backoff after failed calls. The longest pause is twice this after the first failure and
/// doubles with each further one, up to the maximum for the gateway's role.
const BACKOFF_BASE: Duration = Duration::from_millis(150);
/// Longest pause after failed calls of a gateway that watches the store for others. It must detect quickly when a store
/// that rejected calls of some hosts accepts them again.
const WATCHER_BACKOFF_MAX: Duration = Duration::from_millis(800);
/// Longest pause after failed calls of the other gateways, which learn from the watchers that the store is available
/// again.
const FOLLOWER_BACKOFF_MAX: Duration = Duration::from_millis(1_600);

/// Starts to sync each kind with the store, and the removal of expired backend servers.
pub fn spawn(gateway: &Gateway) {
    for kind in Kind::ALL {
        tokio::spawn(sync_kind(gateway.clone(), kind));
    }
    tokio::spawn(expire_backends(gateway.clone()));
}

/// Removes backend servers that are still missing from the store when their grace period ends.
async fn expire_backends(gateway: Gateway) {
    const INTERVAL: Duration = Duration::from_millis(200);
    loop {
        sleep(INTERVAL).await;
        for id in lock(&gateway.pool).expire(gateway.clock.now()) {
            event!(Info, "backend_gone", backend = id);
        }
    }
}

/// Keeps the copy of `kind` current: by calls to the store, unless a followed watcher does so.
async fn sync_kind(gateway: Gateway, kind: Kind) {
    let mut client = StoreClient::new(gateway.settings.store, gateway.store_era.clone());
    let mut failures: u32 = 0;
    let mut needs_list = false;
    let mut calls = CallSequence::default();
    loop {
        if !gateway.is_watcher() && gateway.mirror.is_synced_by_watcher(kind, gateway.clock.now()) {
            gateway.mirror.record_watcher_sync(kind, gateway.clock.now());
            needs_list = true;
            failures = 0;
            sleep(SYNC_CHECK_INTERVAL).await;
            continue;
        }
        let sent = gateway.clock.now();
        let is_watch = !needs_list;
        let mut rises = gateway.store_era.subscribe();
        let result = tokio::select! {
            // A response that tells of the rise itself is used.
            biased;
            result = sync_once(&gateway, kind, &mut client, needs_list) => result,
            Ok(()) = rises.changed() => Err(CallError::EraRisen),
        };
        let Err(err) = result else {
            calls.record_answer(is_watch);
            if failures > 0 {
                event!(Info, "store_regained", kind = kind, failures = failures);
            }
            failures = 0;
            needs_list = false;
            gateway.mirror.record_store_success(kind, gateway.clock.now());
            continue;
        };
        needs_list = true;
        if err.needs_list() {
            let resyncs = calls.record_resync();
            event!(Info, "store_resync", kind = kind, resyncs = resyncs, reason = err);
            metrics::counter!(telemetry::STORE_RESYNCS, "kind" => kind.path()).increment(1);
            if resyncs > 1 {
                sleep(backoff(resyncs - 1, gateway.is_watcher())).await;
            }
            continue;
        }
        match calls.record_end(err.end()) {
            Finding::Lost => {}
            Finding::Undecided => {
                event!(Info, "store_call_cut", kind = kind, cuts = 1, error = err);
                continue;
            }
            Finding::Repeated(cuts) => {
                event!(Info, "store_call_cut", kind = kind, cuts = cuts, error = err);
                sleep(backoff(cuts, gateway.is_watcher())).await;
                continue;
            }
        }
        if failures == 0 {
            event!(Warn, "store_lost", kind = kind, error = err);
        }
        failures += 1;
        gateway.mirror.record_store_failure(kind, sent, gateway.clock.now());
        sleep(backoff(failures, gateway.is_watcher())).await;
        if kind != Kind::Config {
            gateway.mirror.wait_for_store().await;
        }
    }
}

/// Makes one call to the store: a watch, or a list if the copy has not been read in the current era or `needs_list` is set.
async fn sync_once(gateway: &Gateway, kind: Kind, client: &mut StoreClient, needs_list: bool) -> Result<(), CallError> {
    let sent = gateway.clock.now();
    let place = lock(gateway.mirror.copy(kind)).data.place();
    let Some(place) = place.filter(|place| !needs_list && place.era() == gateway.store_era.current()) else {
        let list = client.list(kind).await?;
        list.malformed.iter().for_each(|err| gateway.mirror.report_malformed(kind, err));
        gateway.apply_list(kind, list.objects, list.place, sent);
        return Ok(());
    };
    let wait = watch_wait(kind);
    let (changes, began_at) = client.watch(kind, place, wait).await?;
    changes.malformed.iter().for_each(|err| gateway.mirror.report_malformed(kind, err));
    let changed = !changes.events.is_empty();
    let waited = if changed { Millis::ZERO } else { wait };
    let mut is_applied = false;
    gateway.update_copy(kind, STORE_SOURCE, |copy| {
        is_applied = copy.apply_watch(changes, sent, waited, began_at);
        is_applied && changed
    });
    if !is_applied {
        return Err(CallError::EraRisen);
    }
    if changed {
        gateway.mirror.notify_followers();
        if kind == Kind::Backends {
            sleep(BACKENDS_WATCH_PAUSE).await;
        }
    }
    Ok(())
}

/// Longest wait of a watch for `kind`.
pub fn watch_wait(kind: Kind) -> Millis {
    if kind == Kind::Config { CONFIG_WATCH_WAIT } else { WATCH_WAIT }
}

fn backoff(failures: u32, is_watcher: bool) -> Duration {
    let max = if is_watcher { WATCHER_BACKOFF_MAX } else { FOLLOWER_BACKOFF_MAX };
    let limit = (BACKOFF_BASE * (1 << failures.min(4))).min(max);
    limit.mul_f64(rand::rng().random_range(0.3..1.0))
}

impl State {
    /// Replaces the copy of `kind` by a list that was requested at `sent`, unless the copy is newer.
    fn apply_list(&self, kind: Kind, objects: Vec<Object>, place: Place, sent: Millis) {
        if self.update_copy(kind, STORE_SOURCE, |copy| copy.replace(objects, place, sent)) {
            self.mirror.notify_followers();
        } else {
            let known = lock(self.mirror.copy(kind)).data.place().unwrap_or_default();
            event!(Info, "store_list_ignored", kind = kind, place = place, known = known);
        }
    }
}
