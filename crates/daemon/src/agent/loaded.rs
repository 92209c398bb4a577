//! Model versions that the backend server has loaded.

use std::sync::{Arc, Mutex, MutexGuard};

use eelgrasswell_core::id::{ModelName, VersionName};
use eelgrasswell_manifest::settings::LoadedVersion;
use eelgrasswell_proto::v1;

type Versions = Vec<(ModelName, VersionName)>;

/// Shared list of loaded versions. Cheap to clone.
#[derive(Clone, Debug)]
pub struct LoadedVersions {
    versions: Arc<Mutex<Versions>>,
}

impl LoadedVersions {
    /// Creates the list with the versions that the settings declare as loaded.
    pub fn open(loaded: &[LoadedVersion]) -> Self {
        let versions = loaded.iter().map(|l| (l.model.clone(), l.version.clone())).collect();
        Self { versions: Arc::new(Mutex::new(versions)) }
    }

    /// Whether the backend server has loaded the version.
    pub fn contains(&self, model: &str, version: &str) -> bool {
        self.lock().iter().any(|(m, v)| m.as_str() == model && v.as_str() == version)
    }

    /// Adds a version unless the list contains it.
    pub fn add(&self, model: &str, version: &str) {
        let mut versions = self.lock();
        let entry = (ModelName::from(model), VersionName::from(version));
        if !versions.contains(&entry) {
            versions.push(entry);
        }
    }

    /// Removes a version from the list.
    pub fn remove(&self, model: &str, version: &str) {
        self.lock().retain(|(m, v)| m.as_str() != model || v.as_str() != version);
    }

    /// Returns the list in the form used in heartbeats.
    pub fn to_proto(&self) -> Vec<v1::Loaded> {
        self.lock().iter().map(|(m, v)| v1::Loaded { model: m.to_string(), version: v.to_string() }).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Versions> {
        self.versions.lock().expect("no holder of the lock panics")
    }
}
