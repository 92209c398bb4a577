//! Copies of the store's objects. They are kept current by watches of the store, or through other gateways, which also
//! serve as the source while this gateway can't reach the store.

use std::{collections::BTreeMap, sync::Mutex, time::Duration};

use bytes::Bytes;
use compact_str::CompactString;
use eelgrasswell_core::{
    canary::{Canary, Order},
    confirmation::{self, Confirmation},
    hash::{HashMap, HashSet},
    id::{HostId, ServiceName},
    unit::Millis,
};
use eelgrasswell_platform::{
    objects::{self, CONFIG_NAME, Kind, MalformedObject, Object},
    store::{Change, StoreError},
};
use rand::RngExt;
use tokio::{sync::watch, time::sleep};

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
/// Number of reported malformed objects that are remembered. With more, those reported before are reported again.
const MAX_REPORTED: usize = 1_024;
/// Longest pause after failed calls of the other gateways, which learn from the watchers that the store is available
/// again.
const FOLLOWER_BACKOFF_MAX: Duration = Duration::from_millis(1_600);

/// The copies of the store's objects, one for each kind.
pub struct Mirror {
    copies: [Mutex<ObjectCopy>; Kind::ALL.len()],
    /// Time until which a copy counts as kept current by a followed watcher, by watcher and the index of the kind.
    synced_until: Mutex<HashMap<HostId, [Millis; Kind::ALL.len()]>>,
    changes: watch::Sender<()>,
    /// Malformed objects that have been reported.
    reported: Mutex<HashSet<(Kind, MalformedObject)>>,
}

impl Default for Mirror {
    fn default() -> Self {
        Self {
            copies: Default::default(),
            synced_until: Mutex::default(),
            changes: watch::Sender::new(()),
            reported: Mutex::default(),
        }
    }
}

/// Copy of all objects of one kind.
#[derive(Default)]
pub struct ObjectCopy {
    /// Objects by name.
    objects: BTreeMap<CompactString, Object>,
    /// Revision of the store that the copy corresponds to; none before the first read.
    revision: Option<u64>,
    /// Revision of the store at which the copy last changed.
    changed_revision: u64,
    confirmation: Confirmation,
    /// Time for which the store's last response to this gateway showed the copy to be current.
    store_response: Confirmation,
    /// The last answer of `lacking_since`, for followers that lack the same objects.
    encoded: Option<EncodedObjects>,
    /// Whether this gateway's last call to the store for this kind failed.
    last_call_failed: bool,
    /// The same, but false while another gateway keeps the copy current.
    store_calls_fail: bool,
    /// Whether the copy is kept current by this gateway's own calls to the store, not by a watcher.
    source_is_store: bool,
    /// Time of this gateway's last failed call to the store for this kind.
    last_failure: Option<Millis>,
    /// Latest time at which another gateway's copy was confirmed to be current.
    peer_confirmed_at: Option<Millis>,
}

/// Objects in the form in which followers get them.
#[derive(Clone)]
pub struct EncodedObjects {
    /// Revision after which the objects have changed.
    since: u64,
    /// Revision at which the copy last changed when they were encoded.
    changed_revision: u64,
    /// Number of objects.
    pub count: usize,
    /// The objects as JSON.
    pub json: Bytes,
}

impl Mirror {
    /// The copy of the objects of `kind`.
    pub fn copy(&self, kind: Kind) -> &Mutex<ObjectCopy> {
        &self.copies[kind.index()]
    }

    /// Whether every copy has been read at least once.
    pub fn is_complete(&self) -> bool {
        Kind::ALL.iter().all(|&kind| lock(self.copy(kind)).revision.is_some())
    }

    /// Returns a receiver that is notified when calls to the store change a copy, fail, or succeed again.
    pub fn subscribe(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// Records that `watcher` keeps the copy of `kind` current until `until`.
    pub fn set_synced_until(&self, watcher: &HostId, kind: Kind, until: Millis) {
        lock(&self.synced_until).entry(watcher.clone()).or_default()[kind.index()] = until;
    }

    /// Records that `watcher` no longer keeps any copy current.
    pub fn clear_synced(&self, watcher: &HostId) {
        lock(&self.synced_until).remove(watcher);
    }

    /// Logs and counts an object of `kind` that can't be decoded, once. What was decoded before stays in use, or, in the case
    /// of a backend server, the object counts as missing.
    pub fn report_malformed(&self, kind: Kind, err: &MalformedObject) {
        let mut reported = lock(&self.reported);
        if reported.len() >= MAX_REPORTED {
            reported.clear();
        }
        if !reported.insert((kind, err.clone())) {
            return;
        }
        event!(Warn, "object_malformed", kind = kind, object = err.name, error = err.error);
        metrics::counter!(telemetry::MALFORMED_OBJECTS, "kind" => kind.path()).increment(1);
    }

    /// Notifies the gateways that follow this one, and waiting tasks, of a change.
    fn notify_followers(&self) {
        self.changes.send_replace(());
    }

    fn record_store_success(&self, kind: Kind) {
        lock(self.copy(kind)).last_call_failed = false;
        self.set_source(kind, true);
    }

    /// Records that another gateway keeps the copy of `kind` current.
    fn record_watcher_sync(&self, kind: Kind) {
        self.set_source(kind, false);
    }

    fn set_source(&self, kind: Kind, source_is_store: bool) {
        let mut copy = lock(self.copy(kind));
        copy.source_is_store = source_is_store;
        let was_failing = std::mem::take(&mut copy.store_calls_fail);
        drop(copy);
        if was_failing {
            self.notify_followers();
        }
    }

    /// Waits until the calls for the configuration succeed. They are tried first, so that an unavailable store gets one
    /// call at a time from this gateway, not one for each kind.
    async fn wait_for_store(&self) {
        let mut changes = self.subscribe();
        while lock(self.copy(Kind::Config)).store_calls_fail {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    fn record_store_failure(&self, kind: Kind, now: Millis) {
        let mut copy = lock(self.copy(kind));
        copy.store_calls_fail = true;
        copy.last_call_failed = true;
        copy.last_failure = Some(now);
        drop(copy);
        self.notify_followers();
    }

    /// Whether this gateway's own calls reach the store, according to those for the configuration.
    pub fn reaches_store(&self) -> bool {
        lock(self.copy(Kind::Config)).is_synced_from_store()
    }

    /// Whether this gateway's last call to the store for the configuration failed, however long ago: a gateway that others
    /// keep current makes no calls.
    pub fn is_rejected(&self) -> bool {
        lock(self.copy(Kind::Config)).last_call_failed
    }

    /// Whether a followed watcher keeps the copy of `kind` current.
    fn is_synced_by_watcher(&self, kind: Kind, now: Millis) -> bool {
        lock(&self.synced_until).values().any(|until| now < until[kind.index()])
    }

    /// Time since the copy of `kind` was last confirmed to be current; none before the first confirmation.
    pub fn confirmation_age(&self, kind: Kind, now: Millis) -> Option<Millis> {
        lock(self.copy(kind)).confirmation.age(now)
    }
}

impl ObjectCopy {
    /// Revision of the store that the copy corresponds to; none before the first read.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Time since the copy was last confirmed to be current; none before the first confirmation.
    pub fn confirmation_age(&self, now: Millis) -> Option<Millis> {
        self.confirmation.age(now)
    }

    /// All objects, by name.
    pub fn objects(&self) -> impl Iterator<Item = &Object> {
        self.objects.values()
    }

    /// The object with the name `name`.
    pub fn get(&self, name: &str) -> Option<&Object> {
        self.objects.get(name)
    }

    /// Records that a peer's copy was current at `at`.
    pub fn record_peer_confirmation(&mut self, at: Millis) {
        self.peer_confirmed_at = self.peer_confirmed_at.max(Some(at));
    }

    /// Revision of the store at which the copy last changed.
    pub fn changed_revision(&self) -> u64 {
        self.changed_revision
    }

    /// Time since the store's last response to this gateway's calls for the copy; none before the first.
    pub fn store_response_age(&self, now: Millis) -> Option<Millis> {
        self.store_response.age(now)
    }

    /// The objects that have changed after `since`, encoded.
    pub fn lacking_since(&mut self, since: u64) -> Result<EncodedObjects, serde_json::Error> {
        let changed_revision = self.changed_revision;
        if let Some(encoded) = &self.encoded
            && (encoded.since, encoded.changed_revision) == (since, changed_revision)
        {
            return Ok(encoded.clone());
        }
        let objects: Vec<&Object> = self.objects.values().filter(|object| object.metadata.revision > since).collect();
        let (count, json) = (objects.len(), serde_json::to_vec(&objects)?.into());
        let encoded = EncodedObjects { since, changed_revision, count, json };
        self.encoded = Some(encoded.clone());
        Ok(encoded)
    }

    /// Whether this gateway's own calls keep the copy current.
    pub fn is_synced_from_store(&self) -> bool {
        self.source_is_store && !self.store_calls_fail
    }

    /// Records a peer's confirmation that the copy corresponds to `revision`. The confirmation was `age` old when the
    /// peer responded, which was at `responded_at` or later.
    pub fn confirm_from_peer(&mut self, revision: u64, responded_at: Millis, age: Millis) {
        self.revision = self.revision.max(Some(revision));
        self.confirmation.confirm_by_peer(responded_at, age);
    }

    /// Merges a peer's copy at `revision`: `objects` are those that have changed since this copy, `names` the names of
    /// all objects in the peer's copy, and `changed` the revision at which that copy last changed.
    pub fn merge(&mut self, objects: Vec<Object>, names: &[String], revision: u64, changed: u64) {
        let names: HashSet<&str> = names.iter().map(String::as_str).collect();
        self.objects.retain(|name, _| names.contains(name.as_str()));
        for object in objects {
            self.objects.insert(object.metadata.name.clone(), object);
        }
        self.revision = self.revision.max(Some(revision));
        self.changed_revision = self.changed_revision.max(changed);
    }

    fn replace(&mut self, objects: Vec<Object>, revision: u64) {
        let objects = objects.into_iter().map(|object| (object.metadata.name.clone(), object)).collect();
        if self.objects != objects || self.revision.is_none() {
            self.changed_revision = revision;
        }
        self.objects = objects;
        self.revision = Some(revision);
    }

    fn apply_changes(&mut self, changes: Vec<Change>, revision: u64) {
        if !changes.is_empty() {
            self.changed_revision = self.changed_revision.max(revision);
        }
        for Change { object, deleted } in changes {
            let known = self.objects.get(&object.metadata.name);
            if known.is_some_and(|known| known.metadata.revision > object.metadata.revision) {
                continue;
            }
            if deleted {
                self.objects.remove(&object.metadata.name);
            } else {
                self.objects.insert(object.metadata.name.clone(), object);
            }
        }
        self.revision = self.revision.max(Some(revision));
    }
}

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
    let mut client = StoreClient::new(gateway.settings.store);
    let mut failures: u32 = 0;
    let mut needs_list = false;
    loop {
        if !gateway.is_watcher() && gateway.mirror.is_synced_by_watcher(kind, gateway.clock.now()) {
            gateway.mirror.record_watcher_sync(kind);
            needs_list = true;
            failures = 0;
            sleep(SYNC_CHECK_INTERVAL).await;
            continue;
        }
        let Err(err) = sync_once(&gateway, kind, &mut client, needs_list).await else {
            if failures > 0 {
                event!(Info, "store_regained", kind = kind, failures = failures);
            }
            failures = 0;
            needs_list = false;
            gateway.mirror.record_store_success(kind);
            continue;
        };
        if matches!(err, CallError::Refused(StoreError::HistoryGone)) {
            needs_list = true;
            continue;
        }
        if failures == 0 {
            event!(Warn, "store_lost", kind = kind, error = err);
        }
        failures += 1;
        needs_list = true;
        gateway.mirror.record_store_failure(kind, gateway.clock.now());
        sleep(backoff(failures, gateway.is_watcher())).await;
        if kind != Kind::Config {
            gateway.mirror.wait_for_store().await;
        }
    }
}

/// Makes one call to the store: a list if the copy has no revision yet or `needs_list` is set, a watch otherwise.
async fn sync_once(gateway: &Gateway, kind: Kind, client: &mut StoreClient, needs_list: bool) -> Result<(), CallError> {
    let sent = gateway.clock.now();
    let revision = lock(gateway.mirror.copy(kind)).revision;
    let Some(revision) = revision.filter(|_| !needs_list) else {
        let list = client.list(kind).await?;
        list.malformed.iter().for_each(|err| gateway.mirror.report_malformed(kind, err));
        gateway.apply_list(kind, list.objects, list.revision, sent);
        return Ok(());
    };
    let wait = watch_wait(kind);
    let (changes, began_at) = client.watch(kind, revision, wait).await?;
    changes.malformed.iter().for_each(|err| gateway.mirror.report_malformed(kind, err));
    let changed = !changes.events.is_empty();
    let copy = gateway.mirror.copy(kind);
    {
        let mut copy = lock(copy);
        copy.apply_changes(changes.events, changes.revision);
        copy.confirmation.confirm_by_watch(sent, if changed { Millis::ZERO } else { wait });
        copy.store_response.confirm_at(began_at);
    }
    if changed {
        gateway.apply(kind, STORE_SOURCE);
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
    /// Replaces the copy of `kind` by a list that was requested at `sent`, unless the copy has a newer revision.
    fn apply_list(&self, kind: Kind, objects: Vec<Object>, revision: u64, sent: Millis) {
        {
            let mut copy = lock(self.mirror.copy(kind));
            if copy.revision.is_some_and(|known| known > revision) {
                return;
            }
            copy.replace(objects, revision);
            copy.confirmation.confirm_by_read(sent);
            copy.store_response.confirm_at(sent);
        }
        self.apply(kind, STORE_SOURCE);
        self.mirror.notify_followers();
    }

    /// Updates the state that is derived from the copy of `kind`, which changed by data from `source`: the store, or
    /// another gateway.
    pub fn apply(&self, kind: Kind, source: &str) {
        match kind {
            Kind::Config => self.apply_config(source),
            Kind::Backends => self.apply_backends(),
            Kind::Orders => self.apply_orders(),
            Kind::Evacuations => self.apply_evacuations(),
        }
    }

    fn apply_config(&self, source: &str) {
        let (object, age) = {
            let copy = lock(self.mirror.copy(Kind::Config));
            (copy.get(CONFIG_NAME).cloned(), copy.confirmation_age(self.clock.now()))
        };
        let Some(object) = object else { return };
        match objects::decode_routing_config(&object) {
            Ok(config) => {
                let version = config.version;
                if self.adopt_config(config) {
                    let revision = object.metadata.revision;
                    let age = age.unwrap_or_default();
                    event!(Info, "config_adopted", config = version, revision = revision, source = source, age = age);
                    metrics::gauge!(telemetry::CONFIG_VERSION).set(version.0 as f64);
                }
            }
            Err(err) => self.mirror.report_malformed(Kind::Config, &err),
        }
    }

    fn apply_backends(&self) {
        let now = self.clock.now();
        let (peer_confirmed_at, last_failure) = {
            let config = lock(self.mirror.copy(Kind::Config));
            (config.peer_confirmed_at, config.last_failure)
        };
        let (list, grace) = {
            let copy = lock(self.mirror.copy(Kind::Backends));
            let grace = confirmation::missing_grace_period(now, copy.last_failure.max(last_failure), peer_confirmed_at);
            (copy.objects().map(objects::decode_backend).collect::<Vec<_>>(), grace)
        };
        let mut backends = Vec::with_capacity(list.len());
        for entry in list {
            match entry {
                Ok(backend) => backends.push(backend),
                Err(err) => self.mirror.report_malformed(Kind::Backends, &err),
            }
        }
        let changes = lock(&self.pool).update(now, backends, grace);
        for id in changes.added {
            event!(Info, "backend_added", backend = id);
        }
        for id in changes.draining {
            event!(Info, "backend_draining", backend = id);
        }
        for id in changes.removed {
            event!(Info, "backend_gone", backend = id);
        }
    }

    fn apply_orders(&self) {
        let now = self.clock.now();
        let entries: Vec<_> = lock(self.mirror.copy(Kind::Orders)).objects().map(objects::decode_order).collect();
        let mut orders: HashMap<ServiceName, Order> = HashMap::default();
        let mut malformed: HashSet<ServiceName> = HashSet::default();
        for entry in entries {
            match entry {
                Ok(order) => {
                    orders.insert(order.service.clone(), order);
                }
                Err(err) => {
                    self.mirror.report_malformed(Kind::Orders, &err);
                    malformed.insert(err.name.as_str().into());
                }
            }
        }
        let recent_sessions = lock(&self.sessions).clone();
        let mut canaries = lock(&self.canaries);
        canaries.retain(|service, canary| {
            let order = orders.get(service);
            order.is_some_and(|order| order.target == canary.order().target) || malformed.contains(service)
        });
        for (service, order) in orders {
            let state = order.state;
            let canary = canaries.entry(service).or_insert_with(|| {
                event!(Info, "order_received", service = order.service, target = order.target);
                let mut canary = Canary::new(order, now);
                for (session, used) in &recent_sessions {
                    canary.pin_to_old(*session, *used);
                }
                canary
            });
            canary.set_state(state);
        }
    }

    fn apply_evacuations(&self) {
        let domains: Vec<_> =
            lock(self.mirror.copy(Kind::Evacuations)).objects().map(objects::evacuated_domain).collect();
        event!(Info, "evacuations_changed", count = domains.len());
        lock(&self.pool).set_evacuated(domains);
    }
}
