//! Copies of the store's objects, and how current they are.

use std::sync::Mutex;

use bytes::Bytes;
use eelgrasswell_core::{
    confirmation::Confirmation,
    hash::{HashMap, HashSet},
    id::HostId,
    outage::Outage,
    place::Place,
    store_copy::{MergeOutcome, PeerCopy, StoreCopy},
    unit::Millis,
};
use eelgrasswell_platform::{
    objects::{Kind, MalformedObject, Object},
    store::Changes,
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

/// Copy of all objects of one kind, and how current it is.
#[derive(Default)]
pub struct ObjectCopy {
    /// The objects.
    pub data: StoreCopy<Object>,
    /// Whether what is derived from the copy has been derived at least once.
    is_applied: bool,
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
    /// Last confirmation that the copy is current. It says nothing about what is derived from the copy, which may lag.
    pub fn confirmation(&self) -> Confirmation {
        self.confirmation
    }

    /// Records that what is derived from the copy is in use.
    pub fn set_applied(&mut self) {
        self.is_applied = true;
    }

    /// Time since the store's last response to this gateway's calls for the copy; none before the first.
    pub fn store_response_age(&self, now: Millis) -> Option<Millis> {
        self.store_response.age(now)
    }

    /// Whether this gateway's own calls keep the copy current.
    pub fn is_synced_from_store(&self) -> bool {
        self.source_is_store && !self.store_calls_fail
    }

    /// The objects that have changed after `since`, encoded.
    pub fn lacking_since(&mut self, since: Place) -> Result<EncodedObjects, serde_json::Error> {
        let changed = self.data.changed();
        if let Some(encoded) = &self.encoded
            && (encoded.since, encoded.changed) == (since, changed)
        {
            return Ok(encoded.clone());
        }
        let objects = self.data.changed_since(since);
        let (count, json) = (objects.len(), serde_json::to_vec(&objects)?.into());
        let encoded = EncodedObjects { since, changed, count, json };
        self.encoded = Some(encoded.clone());
        Ok(encoded)
    }

    /// Merges another gateway's copy, which was confirmed `age` before it responded, at `responded_at` or later. Returns whether
    /// objects changed.
    pub fn merge(&mut self, peer: PeerCopy<Object>, responded_at: Millis, age: Millis) -> bool {
        self.peer_confirmed_at = self.peer_confirmed_at.max(Some(responded_at.saturating_sub(age)));
        let outcome = self.data.merge(peer);
        if outcome != MergeOutcome::Ignored {
            self.confirmation.confirm_by_peer(responded_at, age);
        }
        outcome == MergeOutcome::Changed
    }

    /// Replaces all objects by a list at `place` that was requested at `sent`. Returns whether it did: an older list than the
    /// copy changes nothing.
    pub fn replace(&mut self, objects: Vec<Object>, place: Place, sent: Millis) -> bool {
        let is_replaced = self.data.replace(objects, place);
        if is_replaced {
            self.confirmation.confirm_by_read(sent);
            self.store_response.confirm_at(sent);
        }
        is_replaced
    }

    /// Applies the end of a watch that was sent at `sent` and waited for `waited`. Its response began at `began_at`. Returns
    /// whether it counts: one of another era than the copy does not.
    pub fn apply_watch(&mut self, changes: Changes, sent: Millis, waited: Millis, began_at: Millis) -> bool {
        let is_applied = self.data.apply_changes(changes.events, changes.place);
        if is_applied {
            self.confirmation.confirm_by_watch(sent, waited);
            self.store_response.confirm_at(began_at);
        }
        is_applied
    }
}
