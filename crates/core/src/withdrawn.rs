//! Versions of services that were withdrawn because they are bad.
//!
//! The pattern: a version is rolled back, and the next order comes, or the order is removed, while the servers of the bad
//! version are still listed. They are idle, so they would get most of the requests. The verdict therefore outlives the
//! order: it holds until the operators order the same version again. Routers exchange the verdicts, each with the place
//! of its order, so that a late, lost, repeated or reordered message can't withdraw a version that was ordered again.

use crate::{
    hash::HashMap,
    id::{ServiceName, VersionName},
    place::Place,
};

/// Maximum number of versions that are remembered. The earliest ordered ones are forgotten first.
const MAX_VERSIONS: usize = 256;

/// Verdict that a version is bad.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Withdrawal {
    /// Service of the version.
    pub service: ServiceName,
    /// The version.
    pub version: VersionName,
    /// Place of the store at which the order that failed was received.
    pub place: Place,
}

/// The verdicts that this router knows.
#[derive(Debug, Default)]
pub struct WithdrawnVersions {
    services: HashMap<ServiceName, HashMap<VersionName, Verdict>>,
}

#[derive(Clone, Copy, Debug)]
struct Verdict {
    /// Place of the last order for the version.
    place: Place,
    withdrawn: bool,
}

impl WithdrawnVersions {
    /// Records a verdict, unless the version was ordered again after it. Returns whether the version was in use until now.
    pub fn withdraw(&mut self, withdrawal: Withdrawal) -> bool {
        let Withdrawal { service, version, place } = withdrawal;
        let known = self.services.get(&service).and_then(|versions| versions.get(&version)).copied();
        if known.is_some_and(|known| known.place > place) {
            return false;
        }
        self.insert(service, version, Verdict { place, withdrawn: true });
        known.is_none_or(|known| !known.withdrawn)
    }

    /// Records an order for `version`, which ends an earlier verdict.
    pub fn record_order(&mut self, service: &ServiceName, version: &VersionName, place: Place) {
        let known = self.services.get(service).and_then(|versions| versions.get(version));
        if known.is_some_and(|known| known.place < place) {
            self.insert(service.clone(), version.clone(), Verdict { place, withdrawn: false });
        }
    }

    /// Whether `version` of `service` is withdrawn.
    pub fn contains(&self, service: &ServiceName, version: &VersionName) -> bool {
        let verdict = self.services.get(service).and_then(|versions| versions.get(version));
        verdict.is_some_and(|verdict| verdict.withdrawn)
    }

    /// All verdicts in force.
    pub fn iter(&self) -> impl Iterator<Item = Withdrawal> {
        self.services.iter().flat_map(|(service, versions)| {
            let withdrawn = versions.iter().filter(|(_, verdict)| verdict.withdrawn);
            withdrawn.map(|(version, verdict)| Withdrawal {
                service: service.clone(),
                version: version.clone(),
                place: verdict.place,
            })
        })
    }

    fn insert(&mut self, service: ServiceName, version: VersionName, verdict: Verdict) {
        self.services.entry(service).or_default().insert(version, verdict);
        if self.services.values().map(HashMap::len).sum::<usize>() > MAX_VERSIONS {
            self.drop_earliest();
        }
    }

    fn drop_earliest(&mut self) {
        let all = self.services.iter().flat_map(|(service, versions)| {
            versions.iter().map(move |(version, verdict)| (verdict.place, service, version))
        });
        let Some((_, service, version)) = all.min() else { return };
        let (service, version) = (service.clone(), version.clone());
        if let Some(versions) = self.services.get_mut(&service) {
            versions.remove(&version);
        }
        self.services.retain(|_, versions| !versions.is_empty());
    }
}
