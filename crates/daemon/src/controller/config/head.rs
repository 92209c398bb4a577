//! The configuration head, a platform object with the current revision, and the snapshots that it
//! refers to.

use std::{collections::VecDeque, sync::Arc};

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use eelgrasswell_core::id::Revision;
use eelgrasswell_manifest::{config::Config, delta::Delta};
use eyre::{Result, WrapErr, bail};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::platform::{Object, Platform, Put};

/// Key of the head object.
pub const HEAD_KEY: &str = "config/head";
/// Prefix of the keys of snapshot objects.
pub const SNAPSHOT_PREFIX: &str = "config/snapshot/";
/// Total size of the deltas in the head, in bytes, above which a commit writes a new snapshot. Each
/// watcher reads the head every second, so this limits each read to a few kilobytes.
const MAX_DELTA_BYTES: usize = 2 << 10;
/// Maximum size of the recent deltas that stay in the head when a snapshot is written, in bytes. With
/// them, watchers that are a few revisions behind need not read the snapshot.
const KEPT_DELTA_BYTES: usize = 1 << 10;
/// Maximum number of submissions in the head. At 14,000 changes a day this covers the last six minutes;
/// a commit gives up after seconds.
const MAX_SUBMISSIONS: usize = 64;
/// Number of snapshots that are kept. Older ones are deleted.
pub const KEPT_SNAPSHOTS: usize = 16;

/// Content of the object `config/head`. The current configuration is the snapshot, or the empty
/// configuration if there is none, with the deltas after its revision applied.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Revision of the configuration.
    pub revision: Revision,
    /// Revision of the manifest.
    pub manifest_revision: Revision,
    /// The last submissions, oldest first.
    pub submissions: VecDeque<Submission>,
    /// The newest snapshot, if any.
    pub snapshot: Option<SnapshotRef>,
    /// Deltas in ascending order of revision. The last one leads to `revision`.
    pub deltas: Vec<Delta>,
}

/// A committed change: its id, and the revisions of the configuration and of the manifest that it led
/// to. Stored as a JSON tuple to keep the head small.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission(pub CompactString, pub Revision, pub Revision);

/// Reference to a snapshot object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRef {
    /// Key of the object.
    pub key: CompactString,
    /// Revision of the configuration in the snapshot.
    pub revision: Revision,
}

impl Head {
    /// Parses the object `config/head`.
    pub fn parse(object: &Object) -> Result<Self> {
        serde_json::from_slice(&object.value).wrap_err_with(|| format!("could not parse object {HEAD_KEY}"))
    }

    /// Serialises the head to the value of its object.
    pub fn to_bytes(&self) -> Bytes {
        serde_json::to_vec(self).expect("head serialises to JSON").into()
    }

    /// The submission with this id, if the head still contains it.
    pub fn submission(&self, id: &str) -> Option<&Submission> {
        self.submissions.iter().find(|submission| submission.0 == id)
    }

    /// The configuration of this head. Also returns the deltas that lead to it from `local`, if the head
    /// contains them. Reads the snapshot only if the deltas do not reach back to `local`.
    pub async fn resolve(&self, platform: &Platform, local: &Arc<Config>) -> Result<(Arc<Config>, Vec<Delta>)> {
        if local.revision == self.revision {
            return Ok((Arc::clone(local), Vec::new()));
        }
        if let Some((config, deltas)) = self.apply_deltas(local)? {
            return Ok((Arc::new(config), deltas));
        }
        let base = match &self.snapshot {
            None => Config::default(),
            Some(snapshot) => read_snapshot(platform, snapshot).await?,
        };
        if base.revision == self.revision {
            return Ok((Arc::new(base), Vec::new()));
        }
        let Some((config, _)) = self.apply_deltas(&base)? else {
            bail!("could not read configuration {}: no delta follows revision {}", self.revision, base.revision);
        };
        Ok((Arc::new(config), Vec::new()))
    }

    /// The head after a change with submission id `id`, where `delta` leads to the new configuration
    /// `config`. Writes a snapshot if the deltas have become larger than `MAX_DELTA_BYTES`.
    pub async fn with_change(&self, platform: &Platform, id: &str, config: &Config, delta: Delta) -> Result<Self> {
        let mut head = self.clone();
        head.revision = config.revision;
        head.manifest_revision = config.manifest_revision;
        head.submissions.push_back(Submission(id.into(), config.revision, config.manifest_revision));
        while head.submissions.len() > MAX_SUBMISSIONS {
            head.submissions.pop_front();
        }
        head.deltas.push(delta);
        if total_size(&head.deltas) > MAX_DELTA_BYTES {
            head.snapshot = Some(write_snapshot(platform, config).await?);
            while total_size(&head.deltas) > KEPT_DELTA_BYTES {
                head.deltas.remove(0);
            }
        }
        Ok(head)
    }

    /// Applies the deltas that follow the revision of `from`, and returns the result and these deltas.
    /// None if the head has no delta that follows this revision.
    fn apply_deltas(&self, from: &Config) -> Result<Option<(Config, Vec<Delta>)>> {
        let Some(first) = self.deltas.iter().position(|delta| delta.base == from.revision) else { return Ok(None) };
        let deltas = self.deltas[first..].to_vec();
        let mut config = from.clone();
        for delta in &deltas {
            config = delta.apply(&config)?;
        }
        Ok(Some((config, deltas)))
    }
}

/// Deletes all snapshots except the last `KEPT_SNAPSHOTS` and those of revision `current` or later.
pub async fn delete_old_snapshots(platform: &Platform, current: Revision) -> Result<()> {
    let mut keys: Vec<(Revision, CompactString)> = platform
        .list(SNAPSHOT_PREFIX)
        .await?
        .into_iter()
        .filter_map(|key| {
            let (revision, _) = key.strip_prefix(SNAPSHOT_PREFIX)?.split_once('-')?;
            Some((revision.parse().ok()?, key))
        })
        .collect();
    keys.sort();
    let old_count = keys.len().saturating_sub(KEPT_SNAPSHOTS);
    for (_, key) in keys.into_iter().take(old_count).filter(|(revision, _)| *revision < current) {
        // A snapshot is written once, so its version is 1.
        platform.delete(&key, 1).await?;
    }
    Ok(())
}

async fn read_snapshot(platform: &Platform, snapshot: &SnapshotRef) -> Result<Config> {
    let key = &snapshot.key;
    let Some(object) = platform.get(key).await? else { bail!("could not read snapshot {key}: it is gone") };
    let config: Config =
        serde_json::from_slice(&object.value).wrap_err_with(|| format!("could not parse snapshot {key}"))?;
    Ok(config)
}

/// Writes a snapshot under a unique key: if two commits race for the same revision, the loser must not
/// leave its configuration under the winner's key.
async fn write_snapshot(platform: &Platform, config: &Config) -> Result<SnapshotRef> {
    let key = format_compact!("{SNAPSHOT_PREFIX}{}-{}", config.revision, Uuid::new_v4());
    let value = serde_json::to_vec(config).wrap_err("could not serialise the configuration")?;
    match platform.put(&key, 0, value.into()).await? {
        Put::Done(_) => Ok(SnapshotRef { key, revision: config.revision }),
        Put::Conflict => bail!("could not write snapshot {key}: it exists"),
    }
}

fn total_size(deltas: &[Delta]) -> usize {
    deltas.iter().map(Delta::size).sum()
}
