//! The configuration in force: the operators' manifest plus the rollout state that the system
//! maintains, under one monotonically increasing revision.

use std::{collections::BTreeMap, fmt, str::FromStr};

use compact_str::CompactString;
use eelgrasswell_core::{
    id::{ModelName, Revision, VersionName},
    unit::Millis,
};
use serde::{Deserialize, Serialize};

use crate::manifest::{Manifest, VersionState};

/// A complete configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Revision, which increases with every change.
    pub revision: Revision,
    /// Revision of the manifest, which increases with every change by operators.
    pub manifest_revision: Revision,
    /// The manifest that operators submitted.
    pub manifest: Manifest,
    /// State of each rollout, written by the rollout controller.
    #[serde(default)]
    pub rollouts: BTreeMap<RolloutKey, RolloutStatus>,
}

/// Key of a rollout: its model and new version, written `<model>/<version>`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub struct RolloutKey {
    /// The model.
    pub model: ModelName,
    /// The new version.
    pub version: VersionName,
}

/// State of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutStatus {
    /// Version that serves the remaining requests, and all requests once the rollout is stopped.
    pub baseline: VersionName,
    /// Index of the current step of the plan.
    pub step: u32,
    /// Weight of the new version in permille.
    pub permille: u32,
    /// Phase of the rollout.
    pub phase: RolloutPhase,
    /// Why the rollout is stopped or held; empty otherwise.
    #[serde(default)]
    pub reason: CompactString,
}

/// Phase of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutPhase {
    /// The controller advances the steps.
    Running,
    /// The weight is unchanged until an operator steps or stops the rollout.
    Held,
    /// The new version is withdrawn.
    Stopped,
    /// The new version serves all requests. Its answer counters are still monitored.
    Finished,
}

/// A version with its weight for unpinned requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedVersion {
    /// The version.
    pub version: VersionName,
    /// Weight in permille.
    pub permille: u32,
    /// Whether the version is being rolled out and its rollout has not finished.
    pub in_rollout: bool,
}

/// Age of the platform's last confirmation above which a process's configuration counts as stale.
pub const STALE_AFTER: Millis = Millis(10_000);

impl Config {
    /// State of a version, or none if it is unknown. A version whose rollout is stopped counts as
    /// withdrawn.
    pub fn version_state(&self, model: &ModelName, version: &VersionName) -> Option<VersionState> {
        let declared = self.manifest.models.get(model)?.versions.get(version)?.state;
        let key = RolloutKey { model: model.clone(), version: version.clone() };
        let stopped = self.rollouts.get(&key).is_some_and(|status| status.phase == RolloutPhase::Stopped);
        Some(if stopped { VersionState::Withdrawn } else { declared })
    }

    /// Weights of the versions of `model` for unpinned requests. They sum to 1000 unless there are
    /// none. A version that is not open is omitted, and its weight is added to the other version.
    pub fn version_weights(&self, model: &ModelName) -> Vec<WeightedVersion> {
        let Some(declared) = self.manifest.models.get(model) else { return Vec::new() };
        let current = self.fallback_version(model, &declared.current);
        let mut weights = vec![WeightedVersion { version: current.clone(), permille: 1000, in_rollout: false }];
        if let Some((version, status)) = self.active_rollout(model) {
            weights = vec![
                WeightedVersion {
                    version: version.clone(),
                    permille: status.permille,
                    in_rollout: status.phase != RolloutPhase::Finished,
                },
                WeightedVersion {
                    version: status.baseline.clone(),
                    permille: 1000u32.saturating_sub(status.permille),
                    in_rollout: false,
                },
            ];
        }
        weights.retain(|w| self.version_state(model, &w.version) == Some(VersionState::Open));
        if let [only] = weights.as_mut_slice() {
            only.permille = 1000;
        }
        weights
    }

    /// Returns `version`, or the baseline of its rollout if that rollout is stopped.
    fn fallback_version<'a>(&'a self, model: &ModelName, version: &'a VersionName) -> &'a VersionName {
        let key = RolloutKey { model: model.clone(), version: version.clone() };
        match self.rollouts.get(&key) {
            Some(status) if status.phase == RolloutPhase::Stopped => &status.baseline,
            _ => version,
        }
    }

    /// Rollouts whose answer counters are monitored: those in progress, and finished ones whose
    /// version is still in use, since a version may become faulty at full weight.
    pub fn monitored_rollouts(&self) -> impl Iterator<Item = (&RolloutKey, &RolloutStatus)> {
        self.rollouts.iter().filter(|(key, status)| {
            let Some(model) = self.manifest.models.get(&key.model) else { return false };
            let planned = model.rollout.as_ref().is_some_and(|plan| plan.version == key.version);
            status.phase != RolloutPhase::Stopped && (planned || model.current == key.version)
        })
    }

    /// The planned rollout of `model` with its status, or none if it is stopped or has not started.
    pub fn active_rollout(&self, model: &ModelName) -> Option<(&VersionName, &RolloutStatus)> {
        let plan = self.manifest.models.get(model)?.rollout.as_ref()?;
        let key = RolloutKey { model: model.clone(), version: plan.version.clone() };
        let status = self.rollouts.get(&key)?;
        (status.phase != RolloutPhase::Stopped).then_some((&plan.version, status))
    }
}

impl fmt::Display for RolloutKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.model, self.version)
    }
}

/// Error for text that does not have the form `<model>/<version>`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidRolloutKey;

impl fmt::Display for InvalidRolloutKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("expected <model>/<version>")
    }
}

impl std::error::Error for InvalidRolloutKey {}

impl FromStr for RolloutKey {
    type Err = InvalidRolloutKey;

    fn from_str(s: &str) -> Result<Self, InvalidRolloutKey> {
        let (model, version) = s.split_once('/').ok_or(InvalidRolloutKey)?;
        Ok(Self { model: model.into(), version: version.into() })
    }
}

impl TryFrom<CompactString> for RolloutKey {
    type Error = InvalidRolloutKey;

    fn try_from(s: CompactString) -> Result<Self, InvalidRolloutKey> {
        s.parse()
    }
}

impl From<RolloutKey> for CompactString {
    fn from(key: RolloutKey) -> Self {
        use std::fmt::Write;
        let mut text = Self::default();
        let _ = write!(text, "{key}");
        text
    }
}
