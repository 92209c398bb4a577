//! Objects, host list, faults and call counts of the platform stand-in.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::sync::watch;

/// Faults in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults {
    /// Calls fail with status 503 and have no effect; waiting watches end so, too.
    pub down: bool,
    /// Delay before each call takes effect. The effect happens even when the caller gives up.
    pub slow_ms: u64,
    /// The next so many writes take effect and their connection is closed without an answer.
    pub lose_answers: u64,
    /// Only writes of keys with this prefix lose their answers.
    pub lose_prefix: String,
    /// Time by which watches learn of a change late.
    pub watch_lag_ms: u64,
    /// Time by which readers see a change of the host list late.
    pub host_lag_ms: u64,
}

/// A change of [`Faults`]; absent fields keep their value.
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

/// Number of calls per kind.
pub type Calls = BTreeMap<&'static str, u64>;

/// An object as stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredObject {
    /// Starts at 1 and rises with every write.
    pub version: u64,
    /// Value.
    pub value: Bytes,
    /// When it was written.
    pub written: Instant,
}

/// Result of a conditional change.
pub enum WriteResult {
    /// It took effect; the version is that of the object now.
    Applied(u64),
    /// The object had another version.
    Conflict,
    /// There is no such object.
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
    /// Host lists with the time from which readers see them, oldest first.
    visible: Vec<(Instant, Vec<Value>)>,
    faults: Faults,
    calls: Calls,
}

impl Default for Store {
    fn default() -> Self {
        Self { state: Mutex::default(), changes: watch::Sender::new(()) }
    }
}

impl Store {
    /// Tells of each change of an object or of the faults.
    pub fn changes(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    pub fn get(&self, key: &str) -> Option<StoredObject> {
        self.lock().objects.get(key).cloned()
    }

    pub fn list(&self, prefix: &str) -> Vec<String> {
        let state = self.lock();
        let from = state.objects.range(prefix.to_owned()..);
        from.map(|(key, _)| key).take_while(|key| key.starts_with(prefix)).cloned().collect()
    }

    pub fn put(&self, key: &str, expected: Option<u64>, value: Bytes) -> WriteResult {
        let mut state = self.lock();
        let current = state.objects.get(key).map_or(0, |object| object.version);
        if expected.is_some_and(|expected| expected != current) {
            return WriteResult::Conflict;
        }
        let version = current + 1;
        state.objects.insert(key.to_owned(), StoredObject { version, value, written: Instant::now() });
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

    /// The host list as readers see it now.
    pub fn hosts(&self) -> Vec<Value> {
        let state = self.lock();
        let now = Instant::now();
        let seen = state.visible.iter().rev().find(|(from, _)| *from <= now);
        seen.map(|(_, hosts)| hosts.clone()).unwrap_or_default()
    }

    /// Changes the host list; readers see it after the lag.
    pub fn change_hosts(&self, change: impl FnOnce(&mut BTreeMap<String, Value>)) {
        let mut state = self.lock();
        change(&mut state.hosts);
        let now = Instant::now();
        let superseded = state.visible.iter().filter(|(from, _)| *from <= now).count().saturating_sub(1);
        state.visible.drain(..superseded);
        let from = now + Duration::from_millis(state.faults.host_lag_ms);
        let hosts = state.hosts.values().cloned().collect();
        state.visible.push((from, hosts));
    }

    pub fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.lock().faults);
        self.changes.send_replace(());
    }

    /// Whether the answer to a write of `key` is to be lost; counts it when so.
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
    /// Makes the change.
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
