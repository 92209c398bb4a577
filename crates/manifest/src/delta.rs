//! Deltas between configurations, as lists of changed entries.

use std::{collections::BTreeMap, fmt};

use compact_str::CompactString;
use eelgrasswell_core::id::Revision;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::config::Config;

/// Changes that turn the configuration at revision `base` into the one at `revision`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Revision of the configuration that the delta applies to.
    pub base: Revision,
    /// Revision of the resulting configuration.
    pub revision: Revision,
    /// Manifest revision of the resulting configuration.
    pub manifest_revision: Revision,
    /// Changed entries.
    pub changes: Vec<Change>,
}

/// A changed entry in a section of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Name of the section, for example `customers`.
    pub section: CompactString,
    /// Key of the entry.
    pub key: CompactString,
    /// JSON of the new entry; none if the entry is removed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<String>,
}

/// Error of applying a delta. The configuration is left unchanged.
#[derive(Debug)]
pub enum DeltaError {
    /// The delta is based on another revision.
    BaseMismatch {
        /// Revision of the configuration.
        current: Revision,
        /// Revision that the delta is based on.
        base: Revision,
    },
    /// The delta does not increase the revision, or decreases the manifest revision. Holds the
    /// revision of the delta.
    RevisionOrder(Revision),
    /// The configuration has no section of this name.
    UnknownSection(CompactString),
    /// The key or the value of an entry could not be parsed.
    InvalidEntry {
        /// The entry as `<section>/<key>`.
        entry: String,
        /// Parse error.
        source: serde_json::Error,
    },
}

impl fmt::Display for DeltaError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BaseMismatch { current, base } => {
                write!(f, "could not apply a delta of revision {base} to revision {current}")
            }
            Self::RevisionOrder(revision) => write!(f, "could not apply a delta to {revision}: revisions must rise"),
            Self::UnknownSection(section) => write!(f, "could not apply a delta: unknown section {section:?}"),
            Self::InvalidEntry { entry, .. } => write!(f, "could not parse entry {entry} of a delta"),
        }
    }
}

impl std::error::Error for DeltaError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::InvalidEntry { source, .. } => Some(source),
            _ => None,
        }
    }
}

/// Expands `$run!(name, map)` for each section. This is the only list of the sections. The patterns
/// have no `..`, so that a new section of the manifest is a compile error here until it is added.
macro_rules! for_each_section {
    ($config:expr, $run:ident) => {{
        let Config { revision: _, manifest_revision: _, manifest, rollouts } = $config;
        let crate::manifest::Manifest { domains, services, models, classes, customers, draining } = manifest;
        $run!("domains", domains);
        $run!("services", services);
        $run!("models", models);
        $run!("classes", classes);
        $run!("customers", customers);
        $run!("draining", draining);
        $run!("rollouts", rollouts);
    }};
}

impl Delta {
    /// Computes the delta that turns `old` into `new`.
    pub fn between(old: &Config, new: &Config) -> Self {
        let old_entries = entries(old);
        let new_entries = entries(new);
        let mut changes = Vec::new();
        for (&(section, ref key), value) in &new_entries {
            if old_entries.get(&(section, key.clone())) != Some(value) {
                changes.push(Change { section: section.into(), key: key.clone(), value: Some(value.clone()) });
            }
        }
        for (section, key) in old_entries.keys().filter(|entry| !new_entries.contains_key(*entry)) {
            changes.push(Change { section: (*section).into(), key: key.clone(), value: None });
        }
        Self { base: old.revision, revision: new.revision, manifest_revision: new.manifest_revision, changes }
    }

    /// Returns the configuration that results from applying the delta to `config`, which must be at
    /// the base revision.
    pub fn apply(&self, config: &Config) -> Result<Config, DeltaError> {
        if config.revision != self.base {
            return Err(DeltaError::BaseMismatch { current: config.revision, base: self.base });
        }
        if self.revision <= self.base || self.manifest_revision < config.manifest_revision {
            return Err(DeltaError::RevisionOrder(self.revision));
        }
        let mut config = config.clone();
        for change in &self.changes {
            change.apply(&mut config)?;
        }
        config.revision = self.revision;
        config.manifest_revision = self.manifest_revision;
        Ok(config)
    }

    /// Approximate size of the delta in bytes, for limits on the deltas that are retained.
    pub fn size(&self) -> usize {
        let entries = self.changes.iter().map(|change| {
            let value = change.value.as_ref().map_or(0, String::len);
            change.section.len() + change.key.len() + value + 32
        });
        entries.sum::<usize>() + 48
    }
}

impl Change {
    fn apply(&self, config: &mut Config) -> Result<(), DeltaError> {
        macro_rules! apply_if_named {
            ($name:literal, $map:ident) => {
                if self.section == $name {
                    return apply_to_section($map, self);
                }
            };
        }
        for_each_section!(config, apply_if_named);
        Err(DeltaError::UnknownSection(self.section.clone()))
    }
}

/// Returns all entries of a configuration by section name and key, each as JSON.
fn entries(config: &Config) -> BTreeMap<(&'static str, CompactString), String> {
    let mut entries = BTreeMap::new();
    macro_rules! collect {
        ($name:literal, $map:ident) => {
            for (key, value) in $map {
                let value = serde_json::to_string(value).expect("configuration serialises to JSON");
                entries.insert(($name, CompactString::from(key.to_string())), value);
            }
        };
    }
    for_each_section!(config, collect);
    entries
}

/// Inserts, replaces or removes the entry that `change` names.
fn apply_to_section<K: Ord + DeserializeOwned, V: DeserializeOwned>(
    map: &mut BTreeMap<K, V>,
    change: &Change,
) -> Result<(), DeltaError> {
    let invalid_entry =
        |source| DeltaError::InvalidEntry { entry: format!("{}/{}", change.section, change.key), source };
    let key = serde_json::from_value(change.key.as_str().into()).map_err(invalid_entry)?;
    let Some(value) = &change.value else {
        map.remove(&key);
        return Ok(());
    };
    map.insert(key, serde_json::from_str(value).map_err(invalid_entry)?);
    Ok(())
}
