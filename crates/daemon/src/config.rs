//! The configuration in force in this process.

use std::sync::Arc;

use eelgrasswell_core::{id::Revision, unit::Millis};
use eelgrasswell_manifest::config::{Config, STALE_AFTER};
use eelgrasswell_proto::v1::{ConfigSnapshot, ConfigUpdate};
use eyre::{Result, WrapErr};
use tokio::sync::watch;

use crate::{
    clock::Clock,
    event,
    invariant::{self, Promise},
    revisions::Revisions,
};

/// Shared handle on the configuration in force and its freshness.
#[derive(Clone, Debug)]
pub struct ConfigHandle {
    clock: Clock,
    tx: Arc<watch::Sender<State>>,
    /// Revisions that other hosts reported in their heartbeats.
    pub reported: Revisions,
}

#[derive(Clone, Debug, Default)]
struct State {
    config: Arc<Config>,
    /// Time of this process's clock at which the platform last confirmed the revision.
    confirmed_at: Millis,
}

impl ConfigHandle {
    /// Starts with an empty configuration of revision 0, under which everything is refused.
    pub fn open(clock: Clock) -> Self {
        let (tx, _) = watch::channel(State::default());
        Self { clock, tx: Arc::new(tx), reported: Revisions::default() }
    }

    /// The configuration in force.
    pub fn current(&self) -> Arc<Config> {
        Arc::clone(&self.tx.borrow().config)
    }

    /// The revision in force.
    pub fn revision(&self) -> Revision {
        self.tx.borrow().config.revision
    }

    /// Waits until the revision is at least `revision`.
    pub async fn reached(&self, revision: Revision) {
        let mut rx = self.tx.subscribe();
        let _ = rx.wait_for(|state| state.config.revision >= revision).await;
    }

    /// Puts `config` in force when its revision is higher than the one in force.
    pub fn adopt(&self, config: Config) -> bool {
        let adopted = self.tx.send_if_modified(|state| {
            let newer = config.revision > state.config.revision;
            if newer {
                invariant::check(Promise::Config, config.manifest_revision >= state.config.manifest_revision, || {
                    format!(
                        "manifest revision fell from {} to {}",
                        state.config.manifest_revision, config.manifest_revision
                    )
                });
                state.config = Arc::new(config.clone());
            }
            newer
        });
        if adopted {
            event!(Info, "config_adopted", revision = config.revision, manifest_revision = config.manifest_revision);
        }
        adopted
    }

    /// Takes in an update from another process; true when the revision in force rose.
    pub fn apply(&self, update: &ConfigUpdate) -> Result<bool> {
        let Some(snapshot) = &update.snapshot else { return Ok(false) };
        let config = serde_json::from_str(&snapshot.json)
            .wrap_err_with(|| format!("could not parse configuration revision {}", snapshot.revision))?;
        Ok(self.adopt(config))
    }

    /// What a process at revision `have` needs to catch up; none when it has nothing to learn.
    pub fn update_since(&self, have: Revision) -> Option<ConfigUpdate> {
        let config = self.current();
        if config.revision <= have {
            return None;
        }
        let snapshot = ConfigSnapshot {
            revision: config.revision.0,
            manifest_revision: config.manifest_revision.0,
            json: serde_json::to_string(&*config).expect("configuration serialises to JSON"),
        };
        Some(ConfigUpdate { deltas: Vec::new(), snapshot: Some(snapshot) })
    }

    /// Notes that the platform confirmed `revision` as the newest `age` ago.
    pub fn confirm(&self, revision: Revision, age: Millis) {
        let at = self.clock.now().saturating_sub(age);
        self.tx.send_if_modified(|state| {
            if revision == state.config.revision && at > state.confirmed_at {
                state.confirmed_at = at;
            }
            false
        });
    }

    /// Time since the platform last confirmed the configuration.
    pub fn confirmed_ago(&self) -> Millis {
        self.clock.now().saturating_sub(self.tx.borrow().confirmed_at)
    }

    /// Whether the last confirmation is too old to give new work to versions in rollout.
    pub fn is_stale(&self) -> bool {
        self.confirmed_ago() > STALE_AFTER
    }
}
