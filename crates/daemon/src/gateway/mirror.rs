//! Copies of the store's objects, and how current they are.

use std::{collections::BTreeMap, sync::Mutex};

use bytes::Bytes;
use compact_str::CompactString;
use eelgrasswell_core::{
    confirmation::Confirmation,
    drill::{Retained, RetainedObjects},
    hash::{HashMap, HashSet},
    id::HostId,
    outage::Outage,
    place::Place,
    unit::Millis,
};
use eelgrasswell_platform::{
    objects::{Kind, MalformedObject, Object},
    store::Change,
};
use tokio::sync::watch;

use crate::{event, sync::lock, telemetry};

/// Number of reported malformed objects that are remembered. With more, those reported before are reported again.
const MAX_REPORTED: usize = 1_024;

/// The copies of the store's objects, one for each kind.
pub struct Mirror {
    copies: [Mutex<ObjectCopy>; Kind::ALL.len()],
    /// Time until which a copy counts as kept current by a followed watcher, by watcher and the index of the kind.
    synced_until: Mutex<HashMap<HostId, [Millis; Kind::ALL.len()]>>,
    changes: watch::Sender<()>,
    /// Last outage of the store, according to the calls for the configuration and the backend servers.
    outage: Mutex<Outage>,
    /// Malformed objects that have been reported.
    reported: Mutex<HashSet<(Kind, MalformedObject)>>,
}

impl Default for Mirror {
    fn default() -> Self {
        Self {
            copies: Default::default(),
            synced_until: Mutex::default(),
            changes: watch::Sender::new(()),
            outage: Mutex::default(),
            reported: Mutex::default(),
        }
    }
}

/// Copy of all objects of one kind.
#[derive(Default)]
pub struct ObjectCopy {
    /// Objects of the store by name.
    listed: BTreeMap<CompactString, Object>,
    /// What stays in force of earlier eras in place of the store's objects.
    retained: RetainedObjects<Object>,
    /// What was in force before the era rose, until it is decided what stays so.
    superseded: Option<Superseded>,
    /// First place of the present era that the copy had.
    era_start: Place,
    /// Place of the store that the copy corresponds to; none before the first read.
    place: Option<Place>,
    /// Whether what is derived from the copy has been derived at least once.
    is_applied: bool,
    /// Place of the store at which the copy last changed, in the same era.
    changed: Place,
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
    /// Latest time at which another gateway's copy was confirmed to be current.
    peer_confirmed_at: Option<Millis>,
}

/// What a copy of an earlier era held.
pub struct Superseded {
    /// Last place of that copy.
    pub place: Place,
    /// Objects that were in force, by name.
    pub objects: BTreeMap<CompactString, Object>,
}

/// Objects in the form in which followers get them.
#[derive(Clone)]
pub struct EncodedObjects {
    /// Place after which the objects have changed.
    since: Place,
    /// Place at which the copy last changed when they were encoded.
    changed: Place,
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

    /// Whether every copy has been read at least once, and what is derived from it is in use.
    pub fn is_complete(&self) -> bool {
        Kind::ALL.iter().all(|&kind| lock(self.copy(kind)).is_applied)
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
    pub fn notify_followers(&self) {
        self.changes.send_replace(());
    }

    /// Records that a call of this gateway to the store, answered at `now`, keeps the copy of `kind` current.
    pub fn record_store_success(&self, kind: Kind, now: Millis) {
        self.record_answer(kind, now);
        lock(self.copy(kind)).last_call_failed = false;
        self.set_source(kind, true);
    }

    /// Records that another gateway keeps the copy of `kind` current at `now`.
    pub fn record_watcher_sync(&self, kind: Kind, now: Millis) {
        self.record_answer(kind, now);
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
    pub async fn wait_for_store(&self) {
        let mut changes = self.subscribe();
        while lock(self.copy(Kind::Config)).store_calls_fail {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    fn record_answer(&self, kind: Kind, now: Millis) {
        if shows_outage(kind) {
            lock(&self.outage).record_answer(now);
        }
    }

    /// Time for which a server that is found missing at `now` stays in use.
    pub fn missing_grace(&self, now: Millis) -> Millis {
        let others_confirmed = lock(self.copy(Kind::Config)).peer_confirmed_at;
        lock(&self.outage).grace(now, others_confirmed)
    }

    /// Records that a call to the store for `kind`, which was sent at `sent`, failed at `now`.
    pub fn record_store_failure(&self, kind: Kind, sent: Millis, now: Millis) {
        if shows_outage(kind) {
            lock(&self.outage).record_failure(sent, now);
        }
        let mut copy = lock(self.copy(kind));
        copy.store_calls_fail = true;
        copy.last_call_failed = true;
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
    pub fn is_synced_by_watcher(&self, kind: Kind, now: Millis) -> bool {
        lock(&self.synced_until).values().any(|until| now < until[kind.index()])
    }
}

/// Whether the calls for `kind` are made all the time, so that they show an outage of the store.
fn shows_outage(kind: Kind) -> bool {
    matches!(kind, Kind::Config | Kind::Backends)
}

impl ObjectCopy {
    /// Place of the store that the copy corresponds to; none before the first read.
    pub fn place(&self) -> Option<Place> {
        self.place
    }

    /// Last confirmation that the copy is current. It says nothing about what is derived from the copy, which may lag.
    pub fn confirmation(&self) -> Confirmation {
        self.confirmation
    }

    /// Records that what is derived from the copy is in use.
    pub fn set_applied(&mut self) {
        self.is_applied = true;
    }

    /// All objects in force: those of the store, and what stays in force of earlier eras in their place.
    pub fn objects(&self) -> impl Iterator<Item = &Object> {
        let listed = self.listed.iter().filter(|(name, _)| self.retained.get(name).is_none());
        let retained = self.retained.iter().filter_map(|(_, retained)| retained.object.as_ref());
        listed.map(|(_, object)| object).chain(retained)
    }

    /// All objects of the store, by name.
    pub fn listed(&self) -> impl Iterator<Item = &Object> {
        self.listed.values()
    }

    /// The store's object with the name `name`.
    pub fn get_listed(&self, name: &str) -> Option<&Object> {
        self.listed.get(name)
    }

    /// What stays in force of earlier eras.
    pub fn retained(&self) -> &RetainedObjects<Object> {
        &self.retained
    }

    /// The same, to change it.
    pub fn retained_mut(&mut self) -> &mut RetainedObjects<Object> {
        &mut self.retained
    }

    /// Retains an object unless it has been written again. Returns whether that changed anything.
    pub fn retain(&mut self, name: CompactString, retained: Retained<Object>) -> bool {
        let listed = self.listed.get(&name).map(|object| object.metadata.place);
        self.retained.insert(name, retained, listed)
    }

    /// What was in force before the era rose, the first time after that.
    pub fn take_superseded(&mut self) -> Option<Superseded> {
        self.superseded.take()
    }

    /// First place of the present era that the copy had.
    pub fn era_start(&self) -> Place {
        self.era_start
    }

    /// Begins a new era if `place` is the first one of it, and returns whether it is.
    fn begin_era(&mut self, place: Place) -> bool {
        let is_new_era = self.place.is_none_or(|known| known.era() != place.era());
        if is_new_era {
            let by_name = |object: &Object| (object.metadata.name.clone(), object.clone());
            self.superseded =
                self.place.map(|place| Superseded { place, objects: self.objects().map(by_name).collect() });
            self.era_start = place;
            self.listed.clear();
        }
        is_new_era
    }

    /// Records that the store's objects are those at `place`, and drops what is retained and has been written again.
    fn set_place(&mut self, place: Place) {
        self.place = self.place.max(Some(place));
        let listed = &self.listed;
        self.retained.drop_written(|name| listed.get(name).map(|object| object.metadata.place));
    }

    /// Records that a peer's copy was current at `at`.
    pub fn record_peer_confirmation(&mut self, at: Millis) {
        self.peer_confirmed_at = self.peer_confirmed_at.max(Some(at));
    }

    /// Place of the store at which the copy last changed, in the same era.
    pub fn changed(&self) -> Place {
        self.changed
    }

    /// Time since the store's last response to this gateway's calls for the copy; none before the first.
    pub fn store_response_age(&self, now: Millis) -> Option<Millis> {
        self.store_response.age(now)
    }

    /// The objects that have changed after `since`, encoded.
    pub fn lacking_since(&mut self, since: Place) -> Result<EncodedObjects, serde_json::Error> {
        let changed = self.changed;
        if let Some(encoded) = &self.encoded
            && (encoded.since, encoded.changed) == (since, changed)
        {
            return Ok(encoded.clone());
        }
        let objects: Vec<&Object> = self.listed.values().filter(|object| object.metadata.place > since).collect();
        let (count, json) = (objects.len(), serde_json::to_vec(&objects)?.into());
        let encoded = EncodedObjects { since, changed, count, json };
        self.encoded = Some(encoded.clone());
        Ok(encoded)
    }

    /// Whether this gateway's own calls keep the copy current.
    pub fn is_synced_from_store(&self) -> bool {
        self.source_is_store && !self.store_calls_fail
    }

    /// Records a peer's confirmation that the copy corresponds to `place`. The confirmation was `age` old when the peer
    /// responded, which was at `responded_at` or later.
    pub fn confirm_from_peer(&mut self, place: Place, responded_at: Millis, age: Millis) {
        self.place = self.place.max(Some(place));
        self.confirmation.confirm_by_peer(responded_at, age);
    }

    /// Merges a peer's copy at `place`: `objects` are those that have changed since this copy, all of them in another era,
    /// `names` the names of all objects in the peer's copy, and `changed` the place at which that copy last changed.
    pub fn merge(&mut self, objects: Vec<Object>, names: &[String], place: Place, changed: Place) {
        let names: HashSet<&str> = names.iter().map(String::as_str).collect();
        self.begin_era(place);
        self.listed.retain(|name, _| names.contains(name.as_str()));
        self.listed.extend(objects.into_iter().map(|object| (object.metadata.name.clone(), object)));
        self.set_place(place);
        self.changed = self.changed.max(changed);
    }

    /// Replaces all objects by a list at `place` that was requested at `sent`. Returns whether it did: an older list than the
    /// copy changes nothing.
    pub fn replace(&mut self, objects: Vec<Object>, place: Place, sent: Millis) -> bool {
        if self.place.is_some_and(|known| known > place) {
            return false;
        }
        let objects = objects.into_iter().map(|object| (object.metadata.name.clone(), object)).collect();
        if self.begin_era(place) || self.listed != objects {
            self.changed = place;
        }
        self.listed = objects;
        self.set_place(place);
        self.confirmation.confirm_by_read(sent);
        self.store_response.confirm_at(sent);
        true
    }

    /// Records the end of a watch that was sent at `sent` and waited for `waited`. Its response began at `began_at`.
    pub fn confirm_by_watch(&mut self, sent: Millis, waited: Millis, began_at: Millis) {
        self.confirmation.confirm_by_watch(sent, waited);
        self.store_response.confirm_at(began_at);
    }

    /// Applies changes up to `place`, unless the copy has been replaced by one of a later era meanwhile. Returns whether it
    /// did.
    pub fn apply_changes(&mut self, changes: Vec<Change>, place: Place) -> bool {
        if self.place.is_some_and(|known| known.era() != place.era()) {
            return false;
        }
        if !changes.is_empty() {
            self.changed = self.changed.max(place);
        }
        for Change { object, deleted } in changes {
            let known = self.listed.get(&object.metadata.name);
            if known.is_some_and(|known| known.metadata.place > object.metadata.place) {
                continue;
            }
            if deleted {
                self.listed.remove(&object.metadata.name);
            } else {
                self.listed.insert(object.metadata.name.clone(), object);
            }
        }
        self.set_place(place);
        true
    }
}
