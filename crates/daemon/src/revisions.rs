//! Last configuration revision reported by each other host, shown to operators.

use std::sync::{Arc, Mutex, PoisonError};

use eelgrasswell_core::{
    hash::HashMap,
    id::{HostId, Revision},
};

/// Maximum number of hosts in the map, far more than send heartbeats to one router. At the limit the map is cleared,
/// which removes replaced hosts; live hosts report again with their next heartbeat.
const MAX_HOSTS: usize = 16_384;

/// Shared handle to the reported revisions.
#[derive(Clone, Debug, Default)]
pub struct Revisions {
    hosts: Arc<Mutex<HashMap<HostId, Revision>>>,
}

impl Revisions {
    /// Records the revision in a heartbeat of `host`.
    pub fn record(&self, host: &HostId, revision: Revision) {
        let mut hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(known) = hosts.get_mut(host) {
            *known = revision;
            return;
        }
        if hosts.len() >= MAX_HOSTS {
            hosts.clear();
        }
        hosts.insert(host.clone(), revision);
    }

    /// Returns the revision that `host` reported last.
    pub fn get(&self, host: &HostId) -> Option<Revision> {
        self.hosts.lock().unwrap_or_else(PoisonError::into_inner).get(host).copied()
    }
}
