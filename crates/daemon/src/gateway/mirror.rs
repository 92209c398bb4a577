//! Copies of the store's objects, kept current by watches, or through another router when the store is out of reach.

use std::{collections::BTreeMap, sync::Mutex, time::Duration};

use compact_str::CompactString;
use eelgrasswell_core::{
    canary::{Canary, Order},
    confirmation::{self, Confirmation},
    hash::HashMap,
    id::ServiceName,
    unit::Millis,
};
use eelgrasswell_platform::{
    objects::{self, CONFIG_NAME, Kind, Object},
    store::{Change, StoreError},
};
use rand::RngExt;
use tokio::time::sleep;

use super::{
    Gateway, State,
    store::{CallError, StoreClient},
};
use crate::{event, sync::lock};

/// Longest wait of a watch for the configuration. It bounds the age of the proof that keys are still valid.
const CONFIG_WAIT: Millis = Millis(1_800);
/// Longest wait of the other watches, so that a connection gone silent is found in time.
const WAIT: Millis = Millis(3_000);
/// Pause between two watches for backend servers, whose entries change often; it gathers changes into one call.
const GATHER: Duration = Duration::from_millis(200);
/// Longest pause before the first call after a failed one.
const BACKOFF_BASE: Duration = Duration::from_millis(150);
/// Longest pause after failed calls. A store that turns some hosts away must be found sound soon after.
const BACKOFF_MAX: Duration = Duration::from_millis(800);

/// One copy for each kind.
#[derive(Default)]
pub struct Mirror {
    copies: [Mutex<Replica>; Kind::ALL.len()],
}

/// Copy of the objects of a kind.
#[derive(Default)]
pub struct Replica {
    objects: BTreeMap<CompactString, Object>,
    revision: Option<u64>,
    confirmation: Confirmation,
    last_failure: Option<Millis>,
    /// When another router's copy was last known to be current.
    others_proof: Option<Millis>,
}

impl Mirror {
    /// The copy of `kind`.
    pub fn copy(&self, kind: Kind) -> &Mutex<Replica> {
        &self.copies[kind.index()]
    }

    /// Whether the copies hold the state of the store as of some moment.
    pub fn is_complete(&self) -> bool {
        Kind::ALL.iter().all(|&kind| lock(self.copy(kind)).revision.is_some())
    }

    /// Age of the proof that the copy of `kind` is current.
    pub fn age(&self, kind: Kind, now: Millis) -> Option<Millis> {
        lock(self.copy(kind)).confirmation.age(now)
    }
}

impl Replica {
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

    /// Takes in a peer's proof, asked for at `asked`, that was `age` old.
    pub fn relayed(&mut self, asked: Millis, age: Millis) {
        self.confirmation.relayed(asked, age);
    }

    fn replace(&mut self, objects: Vec<Object>, revision: u64) {
        self.objects = objects.into_iter().map(|object| (object.metadata.name.clone(), object)).collect();
        self.revision = Some(revision);
    }

    fn change(&mut self, changes: Vec<Change>, revision: u64) {
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
    loop {
        let Err(err) = step(&gateway, kind, &mut client, failures > 0).await else {
            if failures > 0 {
                event!(Info, "store_regained", kind = kind, failures = failures);
            }
            failures = 0;
            continue;
        };
        if matches!(err, CallError::Refused(StoreError::HistoryGone)) {
            lock(gateway.mirror.copy(kind)).revision = None;
            continue;
        }
        if failures == 0 {
            event!(Warn, "store_lost", kind = kind, error = err);
        }
        failures += 1;
        lock(gateway.mirror.copy(kind)).last_failure = Some(gateway.clock.now());
        sleep(backoff(failures)).await;
    }
}

/// One call: a list when the copy is of no known revision or may be in doubt, a watch otherwise.
async fn step(gateway: &Gateway, kind: Kind, client: &mut StoreClient, in_doubt: bool) -> Result<(), CallError> {
    let sent = gateway.clock.now();
    let revision = lock(gateway.mirror.copy(kind)).revision;
    let Some(revision) = revision.filter(|_| !in_doubt) else {
        let (objects, revision) = client.list(kind).await?;
        gateway.take_list(kind, objects, revision, |confirmation| confirmation.read(sent));
        return Ok(());
    };
    let wait = if kind == Kind::Config { CONFIG_WAIT } else { WAIT };
    let changes = client.watch(kind, revision, wait).await?;
    let changed = !changes.events.is_empty();
    let copy = gateway.mirror.copy(kind);
    {
        let mut copy = lock(copy);
        copy.change(changes.events, changes.revision);
        copy.confirmation.watched(sent, if changed { Millis::ZERO } else { wait });
    }
    if changed {
        gateway.apply(kind);
        if kind == Kind::Backends {
            sleep(GATHER).await;
        }
    }
    Ok(())
}

fn backoff(failures: u32) -> Duration {
    let limit = (BACKOFF_BASE * (1 << failures.min(4))).min(BACKOFF_MAX);
    limit.mul_f64(rand::rng().random_range(0.3..1.0))
}

impl State {
    /// Replaces the copy of `kind`, unless it is of a newer revision.
    pub fn take_list(&self, kind: Kind, objects: Vec<Object>, revision: u64, confirm: impl FnOnce(&mut Confirmation)) {
        {
            let mut copy = lock(self.mirror.copy(kind));
            if copy.revision.is_some_and(|known| known > revision) {
                return;
            }
            copy.replace(objects, revision);
            confirm(&mut copy.confirmation);
        }
        self.apply(kind);
    }

    /// Brings what is derived from the copy of `kind` up to date.
    fn apply(&self, kind: Kind) {
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
        match objects::site(&object) {
            Ok(site) => self.adopt(site),
            Err(err) => event!(Error, "config_malformed", revision = object.metadata.revision, error = err),
        }
    }

    fn apply_backends(&self) {
        let now = self.clock.now();
        let others_proof = lock(self.mirror.copy(Kind::Config)).others_proof;
        let (list, grace) = {
            let copy = lock(self.mirror.copy(Kind::Backends));
            let grace = confirmation::missing_grace(now, copy.last_failure, others_proof);
            (copy.objects().map(objects::backend).collect::<Vec<_>>(), grace)
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
        let entries: Vec<_> = lock(self.mirror.copy(Kind::Orders)).objects().map(objects::order).collect();
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
        let domains: Vec<_> = lock(self.mirror.copy(Kind::Evacuations)).objects().map(objects::evacuated).collect();
        event!(Info, "evacuations_changed", count = domains.len());
        lock(&self.pool).set_evacuated(domains);
    }
}
