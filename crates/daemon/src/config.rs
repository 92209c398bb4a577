//! The configuration in force in this process.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
};

use eelgrasswell_core::{id::Revision, unit::Millis};
use eelgrasswell_manifest::{
    config::{Config, STALE_AFTER},
    delta::{Change, Delta},
};
use eelgrasswell_proto::v1::{ConfigChange, ConfigDelta, ConfigSnapshot, ConfigUpdate};
use eyre::{Result, WrapErr};
use tokio::sync::watch;

use crate::{
    clock::Clock,
    event,
    invariant::{self, Promise},
    revisions::Revisions,
};

/// Maximum number of deltas kept for processes that lag. At 14,000 changes a day this covers 25 minutes.
const MAX_DELTAS: usize = 256;
/// Maximum total size of the deltas kept, in bytes.
const MAX_DELTA_BYTES: usize = 256 << 10;

/// Shared handle on the configuration in force, with the time of its last confirmation. Cheap to clone.
#[derive(Clone, Debug)]
pub struct ConfigHandle {
    clock: Clock,
    tx: Arc<watch::Sender<State>>,
    held: Arc<Mutex<HeldUpdates>>,
    /// Last encoded snapshot, while it is in use.
    snapshot: Arc<Mutex<Weak<ConfigSnapshot>>>,
    /// Revisions that other hosts reported last.
    pub reported_revisions: Revisions,
}

#[derive(Clone, Debug, Default)]
struct State {
    config: Arc<Config>,
    /// Consecutive deltas that lead to `config`, each based on the revision of the previous one.
    history: VecDeque<Arc<Delta>>,
    /// Time at which the platform last confirmed a revision in force, by the clock of this process; zero if it never
    /// did.
    confirmed_at: Millis,
}

/// Updates of peers that are held back.
#[derive(Debug, Default)]
struct HeldUpdates {
    /// Whether updates are held back.
    is_holding: bool,
    /// Configuration with the highest revision among them.
    newest: Option<Arc<Config>>,
}

impl ConfigHandle {
    /// Creates a handle with an empty configuration of revision 0, under which all requests are refused.
    pub fn open(clock: Clock) -> Self {
        let (tx, _) = watch::channel(State::default());
        Self {
            clock,
            tx: Arc::new(tx),
            held: Arc::default(),
            snapshot: Arc::default(),
            reported_revisions: Revisions::default(),
        }
    }

    /// Returns the configuration in force.
    pub fn current(&self) -> Arc<Config> {
        Arc::clone(&self.tx.borrow().config)
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Revision {
        self.tx.borrow().config.revision
    }

    /// Returns the highest known revision: the one in force, or a higher one that is held back.
    pub fn known_revision(&self) -> Revision {
        let held = self.lock_held().newest.as_ref().map_or(Revision(0), |config| config.revision);
        held.max(self.revision())
    }

    /// Waits until the revision is at least `revision`.
    pub async fn wait_for_revision(&self, revision: Revision) {
        let mut rx = self.tx.subscribe();
        let _ = rx.wait_for(|state| state.config.revision >= revision).await;
    }

    /// Puts `config` in force if its revision is higher than the one in force. Returns whether it was.
    pub fn adopt(&self, config: Config) -> bool {
        self.install(Arc::new(config), Vec::new())
    }

    /// Puts `config` in force like `adopt`. Keeps `deltas`, which lead to it, for processes that lag.
    pub fn adopt_with_deltas(&self, config: Config, deltas: Vec<Delta>) -> bool {
        self.install(Arc::new(config), deltas)
    }

    /// Applies an update from another process, or holds it back. Returns whether the revision in force rose. Deltas
    /// that are not based on a known revision are ignored; the next exchange then brings a snapshot.
    pub fn apply(&self, update: &ConfigUpdate) -> Result<bool> {
        let mut held = self.lock_held();
        let from_current = apply_to(&self.current(), update)?;
        if !held.is_holding {
            return Ok(from_current.is_some_and(|(config, deltas)| self.install(Arc::new(config), deltas)));
        }
        // Several peers are called concurrently, so the deltas may be based on the revision in force or on one that an
        // earlier response contained.
        let from_held = held.newest.as_ref().map(|newest| apply_to(newest, update)).transpose()?.flatten();
        let held_revision = held.newest.as_ref().map_or(Revision(0), |newest| newest.revision);
        let results = from_current.into_iter().chain(from_held).map(|(config, _)| config);
        let newest = results.max_by_key(|config| config.revision);
        if let Some(newest) = newest.filter(|newest| newest.revision > held_revision) {
            held.newest = Some(Arc::new(newest));
        }
        Ok(false)
    }

    /// Returns the update for a process at revision `have`; `None` if that is not below the revision in force.
    pub fn update_since(&self, have: Revision) -> Option<ConfigUpdate> {
        if self.revision() <= have {
            return None;
        }
        if let Some(deltas) = self.deltas_since(have, usize::MAX) {
            return Some(ConfigUpdate { deltas, snapshot: None });
        }
        let snapshot = ConfigSnapshot::clone(&self.snapshot());
        Some(ConfigUpdate { deltas: Vec::new(), snapshot: Some(snapshot) })
    }

    /// Returns the deltas that lead from revision `have` to the one in force, if they are still kept and have at most
    /// `max_bytes` in total.
    pub fn deltas_since(&self, have: Revision, max_bytes: usize) -> Option<Vec<ConfigDelta>> {
        let state = self.tx.borrow();
        let first = state.history.iter().position(|delta| delta.base == have)?;
        let bytes: usize = state.history.range(first..).map(|delta| delta.size()).sum();
        (bytes <= max_bytes).then(|| state.history.range(first..).map(|delta| encode(delta)).collect())
    }

    /// Returns the whole configuration in the form that is sent to other processes. It is shared while it is in use,
    /// because 160 links may send it at the same time.
    pub fn snapshot(&self) -> Arc<ConfigSnapshot> {
        let config = self.current();
        let mut shared = self.snapshot.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(snapshot) = shared.upgrade().filter(|snapshot| snapshot.revision == config.revision.0) {
            return snapshot;
        }
        let snapshot = Arc::new(ConfigSnapshot {
            revision: config.revision.0,
            manifest_revision: config.manifest_revision.0,
            json: serde_json::to_string(&*config).expect("configuration serialises to JSON"),
            more: false,
        });
        *shared = Arc::downgrade(&snapshot);
        snapshot
    }

    /// Holds updates back until `release_updates`, because a process that starts must not put the revision of the first
    /// peer in force while other peers have a higher one.
    pub fn hold_updates(&self) {
        self.lock_held().is_holding = true;
    }

    /// Whether updates are held back.
    pub fn is_holding_updates(&self) -> bool {
        self.lock_held().is_holding
    }

    /// Puts the highest configuration that was held back in force, and stops holding updates back.
    pub fn release_updates(&self) {
        let mut held = self.lock_held();
        held.is_holding = false;
        if let Some(config) = held.newest.take() {
            self.install(config, Vec::new());
        }
    }

    /// Records that the platform confirmed `revision` as the newest one `age` ago. Ignored unless it is the revision in
    /// force.
    pub fn record_confirmation(&self, revision: Revision, age: Millis) {
        let at = self.clock.now().saturating_sub(age);
        self.tx.send_if_modified(|state| {
            if revision == state.config.revision && at > state.confirmed_at {
                state.confirmed_at = at;
            }
            false
        });
    }

    /// Returns the time since the platform last confirmed the configuration; `u64::MAX` if it never did.
    pub fn confirmation_age(&self) -> Millis {
        let at = self.tx.borrow().confirmed_at;
        if at == Millis::ZERO { Millis(u64::MAX) } else { self.clock.now().saturating_sub(at) }
    }

    /// Whether the last confirmation is too old for giving new work to versions in rollout.
    pub fn is_stale(&self) -> bool {
        self.confirmation_age() > STALE_AFTER
    }

    fn install(&self, config: Arc<Config>, deltas: Vec<Delta>) -> bool {
        let (revision, manifest_revision) = (config.revision, config.manifest_revision);
        let adopted = self.tx.send_if_modified(|state| {
            if revision <= state.config.revision {
                return false;
            }
            invariant::check(Promise::Config, manifest_revision >= state.config.manifest_revision, || {
                format!("manifest revision fell from {} to {manifest_revision}", state.config.manifest_revision)
            });
            state.extend_history(&config, deltas);
            state.config = config;
            true
        });
        if adopted {
            event!(Info, "config_adopted", revision = revision, manifest_revision = manifest_revision);
        }
        adopted
    }

    fn lock_held(&self) -> MutexGuard<'_, HeldUpdates> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Appends the deltas that lead from the configuration in force to `config`; computes one if `deltas` does not
    /// start at the revision in force. Drops the oldest deltas above the limits.
    fn extend_history(&mut self, config: &Config, mut deltas: Vec<Delta>) {
        deltas.retain(|delta| delta.base >= self.config.revision);
        if deltas.first().is_none_or(|delta| delta.base != self.config.revision) {
            deltas = vec![Delta::between(&self.config, config)];
        }
        self.history.extend(deltas.into_iter().map(Arc::new));
        let mut bytes: usize = self.history.iter().map(|delta| delta.size()).sum();
        while self.history.len() > MAX_DELTAS || bytes > MAX_DELTA_BYTES {
            let Some(oldest) = self.history.pop_front() else { break };
            bytes -= oldest.size();
        }
    }
}

/// Applies `update` to `start`. Returns the new configuration and the deltas that lead to it, or `None` if the update
/// contains nothing newer. The deltas are empty if the configuration comes from a snapshot.
fn apply_to(start: &Config, update: &ConfigUpdate) -> Result<Option<(Config, Vec<Delta>)>> {
    let mut config: Option<Config> = None;
    let mut deltas = Vec::new();
    for message in &update.deltas {
        let delta = decode(message);
        let from = config.as_ref().unwrap_or(start);
        if delta.revision <= from.revision {
            continue;
        }
        if delta.base != from.revision {
            break;
        }
        config = Some(delta.apply(from)?);
        deltas.push(delta);
    }
    let reached = config.as_ref().unwrap_or(start).revision;
    if let Some(snapshot) = update.snapshot.as_ref().filter(|snapshot| snapshot.revision > reached.0) {
        let config: Config = serde_json::from_str(&snapshot.json)
            .wrap_err_with(|| format!("could not parse configuration revision {}", snapshot.revision))?;
        return Ok(Some((config, Vec::new())));
    }
    Ok(config.map(|config| (config, deltas)))
}

fn encode(delta: &Delta) -> ConfigDelta {
    ConfigDelta {
        base: delta.base.0,
        revision: delta.revision.0,
        manifest_revision: delta.manifest_revision.0,
        changes: delta
            .changes
            .iter()
            .map(|change| ConfigChange {
                section: change.section.to_string(),
                key: change.key.to_string(),
                value: change.value.clone().unwrap_or_default(),
            })
            .collect(),
    }
}

fn decode(message: &ConfigDelta) -> Delta {
    Delta {
        base: Revision(message.base),
        revision: Revision(message.revision),
        manifest_revision: Revision(message.manifest_revision),
        changes: message
            .changes
            .iter()
            .map(|change| Change {
                section: change.section.as_str().into(),
                key: change.key.as_str().into(),
                // JSON is never empty, so the empty string stands for a removed entry.
                value: (!change.value.is_empty()).then(|| change.value.clone()),
            })
            .collect(),
    }
}
