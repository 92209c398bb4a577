//! Copies of the store's objects, kept current by watches, or through another router when the store is out of reach.

use std::{collections::BTreeMap, sync::Mutex, time::Duration};

use compact_str::CompactString;
use eelgrasswell_core::{
    canary::{Canary, Order},
    confirmation::{self, Confirmation},
    hash::{HashMap, HashSet},
    id::{HostId, ServiceName},
    unit::Millis,
};
use eelgrasswell_platform::{
    objects::{self, CONFIG_NAME, Kind, Object},
    store::{Change, StoreError},
};
use rand::RngExt;
use tokio::{sync::watch, time::sleep};

use super::{
    Gateway, State,
    store::{CallError, StoreClient},
};
use crate::{event, sync::lock};

/// Longest wait of a watch for the configuration. It bounds the age of the proof that keys are still valid, and the time
/// until the gateways that follow this one hear that it is cut off from the store.
const CONFIG_WAIT: Millis = Millis(700);
/// Longest wait of the other watches, so that a connection gone silent is found in time.
const WAIT: Millis = Millis(2_000);
/// Pause between two watches for backend servers, whose entries change often; it gathers changes into one call.
const GATHER: Duration = Duration::from_millis(200);
/// Pause before a gateway that another one serves looks whether it still does.
const SERVED_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause before the first call after a failed one.
const BACKOFF_BASE: Duration = Duration::from_millis(150);
/// Longest pause after failed calls of a gateway that watches for others. A store that turns some hosts away must be
/// found sound soon after.
const WATCHER_BACKOFF_MAX: Duration = Duration::from_millis(800);
/// Longest pause after failed calls of the other gateways, which hear of the store's return from those that watch.
const FOLLOWER_BACKOFF_MAX: Duration = Duration::from_millis(1_600);

/// One copy for each kind.
pub struct Mirror {
    copies: [Mutex<ObjectCopy>; Kind::ALL.len()],
    /// Until when each watcher that is followed keeps each copy current.
    served_until: Mutex<HashMap<HostId, [Millis; Kind::ALL.len()]>>,
    changes: watch::Sender<()>,
}

impl Default for Mirror {
    fn default() -> Self {
        Self { copies: Default::default(), served_until: Mutex::default(), changes: watch::Sender::new(()) }
    }
}

/// Copy of the objects of a kind.
#[derive(Default)]
pub struct ObjectCopy {
    objects: BTreeMap<CompactString, Object>,
    revision: Option<u64>,
    /// Revision of the store at which the copy last changed.
    changed: u64,
    confirmation: Confirmation,
    /// Whether the last call failed.
    is_failing: bool,
    /// Whether it is kept current by this gateway's own calls.
    is_own: bool,
    last_failure: Option<Millis>,
    /// When another router's copy was last known to be current.
    others_proof: Option<Millis>,
}

impl Mirror {
    /// The copy of `kind`.
    pub fn copy(&self, kind: Kind) -> &Mutex<ObjectCopy> {
        &self.copies[kind.index()]
    }

    /// Whether the copies hold the state of the store as of some moment.
    pub fn is_complete(&self) -> bool {
        Kind::ALL.iter().all(|&kind| lock(self.copy(kind)).revision.is_some())
    }

    /// Tells of changes to any copy.
    pub fn subscribe(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// Leaves the copy of `kind` to `watcher` until `until`.
    pub fn set_served_until(&self, watcher: &HostId, kind: Kind, until: Millis) {
        lock(&self.served_until).entry(watcher.clone()).or_default()[kind.index()] = until;
    }

    /// Leaves nothing to `watcher` any more.
    pub fn set_unserved(&self, watcher: &HostId) {
        lock(&self.served_until).remove(watcher);
    }

    /// Tells the gateways that follow this one of a change.
    fn announce(&self) {
        self.changes.send_replace(());
    }

    fn note_success(&self, kind: Kind) {
        self.set_source(kind, true);
    }

    /// Takes in that another gateway keeps the copy of `kind` current.
    fn note_served(&self, kind: Kind) {
        self.set_source(kind, false);
    }

    fn set_source(&self, kind: Kind, is_own: bool) {
        let mut copy = lock(self.copy(kind));
        copy.is_own = is_own;
        let was_failing = std::mem::take(&mut copy.is_failing);
        drop(copy);
        if was_failing {
            self.announce();
        }
    }

    /// Waits while the calls for the configuration fail. They go first, so that a store that is away is asked by one
    /// call at a time, not by one for each kind.
    async fn store_reached(&self) {
        let mut changes = self.subscribe();
        while lock(self.copy(Kind::Config)).is_failing {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    fn note_failure(&self, kind: Kind, now: Millis) {
        let mut copy = lock(self.copy(kind));
        copy.is_failing = true;
        copy.last_failure = Some(now);
        drop(copy);
        self.announce();
    }

    /// Whether this gateway's own calls reach the store.
    pub fn reaches_store(&self) -> bool {
        lock(self.copy(Kind::Config)).is_sound()
    }

    /// Whether another gateway keeps the copy of `kind` current.
    fn is_served(&self, kind: Kind, now: Millis) -> bool {
        lock(&self.served_until).values().any(|until| now < until[kind.index()])
    }

    /// Age of the proof that the copy of `kind` is current.
    pub fn age(&self, kind: Kind, now: Millis) -> Option<Millis> {
        lock(self.copy(kind)).confirmation.age(now)
    }
}

impl ObjectCopy {
    /// Revision of the store that the copy is as of.
    pub fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Age of the proof that the copy is current.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.confirmation.age(now)
    }

    /// The objects.
    pub fn objects(&self) -> impl Iterator<Item = &Object> {
        self.objects.values()
    }

    /// The object with `name`.
    pub fn get(&self, name: &str) -> Option<&Object> {
        self.objects.get(name)
    }

    /// Takes in that a peer's copy was current at `at`.
    pub fn note_others_proof(&mut self, at: Millis) {
        self.others_proof = self.others_proof.max(Some(at));
    }

    /// Revision of the store at which the copy last changed.
    pub fn changed(&self) -> u64 {
        self.changed
    }

    /// Whether this gateway's own calls keep the copy current.
    pub fn is_sound(&self) -> bool {
        self.is_own && !self.is_failing
    }

    /// Takes in a peer's proof that the copy is as of `revision`; it was `age` old at `answered`.
    pub fn relayed(&mut self, revision: u64, answered: Millis, age: Millis) {
        self.revision = self.revision.max(Some(revision));
        self.confirmation.confirm_by_peer(answered, age);
    }

    /// Takes in what a peer's copy as of `revision` has beyond this one; `names` are those of all its objects.
    pub fn merge(&mut self, objects: Vec<Object>, names: &[String], revision: u64, changed: u64) {
        let names: HashSet<&str> = names.iter().map(String::as_str).collect();
        self.objects.retain(|name, _| names.contains(name.as_str()));
        for object in objects {
            self.objects.insert(object.metadata.name.clone(), object);
        }
        self.revision = self.revision.max(Some(revision));
        self.changed = self.changed.max(changed);
    }

    fn replace(&mut self, objects: Vec<Object>, revision: u64) {
        let objects = objects.into_iter().map(|object| (object.metadata.name.clone(), object)).collect();
        if self.objects != objects || self.revision.is_none() {
            self.changed = revision;
        }
        self.objects = objects;
        self.revision = Some(revision);
    }

    fn change(&mut self, changes: Vec<Change>, revision: u64) {
        if !changes.is_empty() {
            self.changed = self.changed.max(revision);
        }
        for Change { object, deleted } in changes {
            let newer = self.objects.get(&object.metadata.name);
            if newer.is_some_and(|known| known.metadata.revision > object.metadata.revision) {
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

/// Starts a watch for each kind.
pub fn spawn(gateway: &Gateway) {
    for kind in Kind::ALL {
        tokio::spawn(follow(gateway.clone(), kind));
    }
    tokio::spawn(expire(gateway.clone()));
}

/// Drops backend servers whose entries have not come back.
async fn expire(gateway: Gateway) {
    const INTERVAL: Duration = Duration::from_millis(200);
    loop {
        sleep(INTERVAL).await;
        for id in lock(&gateway.pool).expire(gateway.clock.now()) {
            event!(Info, "backend_gone", backend = id);
        }
    }
}

async fn follow(gateway: Gateway, kind: Kind) {
    let mut client = StoreClient::new(gateway.settings.store);
    let mut failures: u32 = 0;
    let mut in_doubt = false;
    loop {
        if !gateway.is_watcher() && gateway.mirror.is_served(kind, gateway.clock.now()) {
            gateway.mirror.note_served(kind);
            in_doubt = true;
            failures = 0;
            sleep(SERVED_PAUSE).await;
            continue;
        }
        let Err(err) = step(&gateway, kind, &mut client, in_doubt).await else {
            if failures > 0 {
                event!(Info, "store_regained", kind = kind, failures = failures);
            }
            failures = 0;
            in_doubt = false;
            gateway.mirror.note_success(kind);
            continue;
        };
        if matches!(err, CallError::Refused(StoreError::HistoryGone)) {
            in_doubt = true;
            continue;
        }
        if failures == 0 {
            event!(Warn, "store_lost", kind = kind, error = err);
        }
        failures += 1;
        in_doubt = true;
        gateway.mirror.note_failure(kind, gateway.clock.now());
        sleep(backoff(failures, gateway.is_watcher())).await;
        if kind != Kind::Config {
            gateway.mirror.store_reached().await;
        }
    }
}

/// One call: a list when the copy is of no known revision or may be in doubt, a watch otherwise.
async fn step(gateway: &Gateway, kind: Kind, client: &mut StoreClient, in_doubt: bool) -> Result<(), CallError> {
    let sent = gateway.clock.now();
    let revision = lock(gateway.mirror.copy(kind)).revision;
    let Some(revision) = revision.filter(|_| !in_doubt) else {
        let (objects, revision) = client.list(kind).await?;
        gateway.take_list(kind, objects, revision, sent);
        return Ok(());
    };
    let wait = if kind == Kind::Config { CONFIG_WAIT } else { WAIT };
    let changes = client.watch(kind, revision, wait).await?;
    let changed = !changes.events.is_empty();
    let copy = gateway.mirror.copy(kind);
    {
        let mut copy = lock(copy);
        copy.change(changes.events, changes.revision);
        copy.confirmation.confirm_by_watch(sent, if changed { Millis::ZERO } else { wait });
    }
    if changed {
        gateway.apply(kind);
        gateway.mirror.announce();
        if kind == Kind::Backends {
            sleep(GATHER).await;
        }
    }
    Ok(())
}

fn backoff(failures: u32, is_watcher: bool) -> Duration {
    let max = if is_watcher { WATCHER_BACKOFF_MAX } else { FOLLOWER_BACKOFF_MAX };
    let limit = (BACKOFF_BASE * (1 << failures.min(4))).min(max);
    limit.mul_f64(rand::rng().random_range(0.3..1.0))
}

impl State {
    /// Replaces the copy of `kind`, unless it is of a newer revision.
    fn take_list(&self, kind: Kind, objects: Vec<Object>, revision: u64, sent: Millis) {
        {
            let mut copy = lock(self.mirror.copy(kind));
            if copy.revision.is_some_and(|known| known > revision) {
                return;
            }
            copy.replace(objects, revision);
            copy.confirmation.confirm_by_read(sent);
        }
        self.apply(kind);
        self.mirror.announce();
    }

    /// Brings what is derived from the copy of `kind` up to date.
    pub fn apply(&self, kind: Kind) {
        match kind {
            Kind::Config => self.apply_config(),
            Kind::Backends => self.apply_backends(),
            Kind::Orders => self.apply_orders(),
            Kind::Evacuations => self.apply_evacuations(),
        }
    }

    fn apply_config(&self) {
        let object = lock(self.mirror.copy(Kind::Config)).get(CONFIG_NAME).cloned();
        let Some(object) = object else { return };
        match objects::decode_site(&object) {
            Ok(site) => self.adopt(site),
            Err(err) => event!(Error, "config_malformed", revision = object.metadata.revision, error = err),
        }
    }

    fn apply_backends(&self) {
        let now = self.clock.now();
        let (others_proof, last_failure) = {
            let config = lock(self.mirror.copy(Kind::Config));
            (config.others_proof, config.last_failure)
        };
        let (list, grace) = {
            let copy = lock(self.mirror.copy(Kind::Backends));
            let grace = confirmation::missing_grace_period(now, copy.last_failure.max(last_failure), others_proof);
            (copy.objects().map(objects::decode_backend).collect::<Vec<_>>(), grace)
        };
        let mut backends = Vec::with_capacity(list.len());
        for entry in list {
            match entry {
                Ok(backend) => backends.push(backend),
                Err(err) => event!(Debug, "backend_malformed", error = err),
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
        for entry in entries {
            match entry {
                Ok(order) => {
                    orders.insert(order.service.clone(), order);
                }
                Err(err) => event!(Warn, "order_malformed", error = err),
            }
        }
        let recent = lock(&self.sessions).clone();
        let mut canaries = lock(&self.canaries);
        canaries
            .retain(|service, canary| orders.get(service).is_some_and(|order| order.target == canary.order().target));
        for (service, order) in orders {
            let state = order.state;
            let canary = canaries.entry(service).or_insert_with(|| {
                event!(Info, "order_received", service = order.service, target = order.target);
                let mut canary = Canary::new(order, now);
                for (session, used) in &recent {
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
