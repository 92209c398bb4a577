//! State of the platform stand-in: objects, host list, faults and call counts.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::sync::watch;

/// Faults that are switched on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults {
    /// Whether calls, and watches that are waiting, fail with status 503 and have no effect.
    pub down: bool,
    /// Delay before each call takes effect. The call takes effect even if the caller closes the connection.
    pub slow_ms: u64,
    /// Number of writes, from the next one on, that take effect but whose connection is closed without a reply.
    pub lose_answers: u64,
    /// Prefix of the keys to which `lose_answers` is limited.
    pub lose_prefix: String,
    /// Delay with which watches report a change.
    pub watch_lag_ms: u64,
    /// Delay with which readers see a change of the host list.
    pub host_lag_ms: u64,
}

/// A change of [`Faults`]. Absent fields keep their value.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultsUpdate {
    down: Option<bool>,
    slow_ms: Option<u64>,
    lose_answers: Option<u64>,
    lose_prefix: Option<String>,
    watch_lag_ms: Option<u64>,
    host_lag_ms: Option<u64>,
}

/// Number of calls, by kind.
pub type Calls = BTreeMap<&'static str, u64>;

/// A stored object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredObject {
    /// Version, which starts at 1 and is incremented by each write.
    pub version: u64,
    /// Content of the object.
    pub value: Bytes,
    /// Time of the last write.
    pub written_at: Instant,
}

/// Result of a conditional write or deletion.
pub enum WriteResult {
    /// The change took effect. Holds the object's new version, or the last version of a deleted object.
    Applied(u64),
    /// The object has another version than expected.
    Conflict,
    /// There is no object to delete.
    NotFound,
}

/// State of the stand-in.
pub struct Store {
    state: Mutex<State>,
    changes: watch::Sender<()>,
}

#[derive(Default)]
struct State {
    objects: BTreeMap<String, StoredObject>,
    hosts: BTreeMap<String, Value>,
    /// Host lists and the times from which readers see them, oldest first.
    published_hosts: Vec<(Instant, Vec<Value>)>,
    faults: Faults,
    calls: Calls,
}

impl Default for Store {
    fn default() -> Self {
        Self { state: Mutex::default(), changes: watch::Sender::new(()) }
    }
}

impl Store {
    /// Returns a receiver that is notified of each change of an object or of the faults.
    pub fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    pub fn get(&self, key: &str) -> Option<StoredObject> {
        self.lock().objects.get(key).cloned()
    }

    pub fn list(&self, prefix: &str) -> Vec<String> {
        let state = self.lock();
        let candidates = state.objects.range(prefix.to_owned()..);
        candidates.map(|(key, _)| key).take_while(|key| key.starts_with(prefix)).cloned().collect()
    }

    pub fn put(&self, key: &str, expected: Option<u64>, value: Bytes) -> WriteResult {
        let mut state = self.lock();
        let current = state.objects.get(key).map_or(0, |object| object.version);
        if expected.is_some_and(|expected| expected != current) {
            return WriteResult::Conflict;
        }
        let version = current + 1;
        state.objects.insert(key.to_owned(), StoredObject { version, value, written_at: Instant::now() });
        drop(state);
        self.changes.send_replace(());
        WriteResult::Applied(version)
    }

    pub fn delete(&self, key: &str, expected: Option<u64>) -> WriteResult {
        let mut state = self.lock();
        let Some(current) = state.objects.get(key).map(|object| object.version) else { return WriteResult::NotFound };
        if expected.is_some_and(|expected| expected != current) {
            return WriteResult::Conflict;
        }
        state.objects.remove(key);
        drop(state);
        self.changes.send_replace(());
        WriteResult::Applied(current)
    }

    /// Returns the host list that readers see now.
    pub fn hosts(&self) -> Vec<Value> {
        let state = self.lock();
        let now = Instant::now();
        let visible = state.published_hosts.iter().rev().find(|(from, _)| *from <= now);
        visible.map(|(_, hosts)| hosts.clone()).unwrap_or_default()
    }

    /// Changes the host list. Readers see the change after `host_lag_ms`.
    pub fn change_hosts(&self, change: impl FnOnce(&mut BTreeMap<String, Value>)) {
        let mut state = self.lock();
        change(&mut state.hosts);
        let now = Instant::now();
        let superseded = state.published_hosts.iter().filter(|(from, _)| *from <= now).count().saturating_sub(1);
        state.published_hosts.drain(..superseded);
        let from = now + Duration::from_millis(state.faults.host_lag_ms);
        let hosts = state.hosts.values().cloned().collect();
        state.published_hosts.push((from, hosts));
    }

    pub fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.lock().faults);
        self.changes.send_replace(());
    }

    /// Returns whether the reply to a write of `key` is to be lost, and decrements `lose_answers` if it is.
    pub fn consume_lost_answer(&self, key: &str) -> bool {
        let faults = &mut self.lock().faults;
        let lose = faults.lose_answers > 0 && key.starts_with(&faults.lose_prefix);
        faults.lose_answers -= u64::from(lose);
        lose
    }

    pub fn calls(&self) -> Calls {
        self.lock().calls.clone()
    }

    pub fn count_call(&self, kind: &'static str) {
        *self.lock().calls.entry(kind).or_default() += 1;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl FaultsUpdate {
    /// Sets the fields that are present.
    pub fn apply(self, faults: &mut Faults) {
        faults.down = self.down.unwrap_or(faults.down);
        faults.slow_ms = self.slow_ms.unwrap_or(faults.slow_ms);
        faults.lose_answers = self.lose_answers.unwrap_or(faults.lose_answers);
        faults.watch_lag_ms = self.watch_lag_ms.unwrap_or(faults.watch_lag_ms);
        faults.host_lag_ms = self.host_lag_ms.unwrap_or(faults.host_lag_ms);
        if let Some(prefix) = self.lose_prefix {
            faults.lose_prefix = prefix;
        }
    }
}
