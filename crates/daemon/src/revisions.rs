//! Revisions that other hosts reported last, for operators.

use std::sync::{Arc, Mutex, PoisonError};

use eelgrasswell_core::{
    hash::HashMap,
    id::{HostId, Revision},
};

/// Most hosts that are kept. Far more than a router hears from; replaced hosts are forgotten when
/// the bound is reached, and live ones report again with their next heartbeat.
const MAX_HOSTS: usize = 16_384;

/// Shared handle on the reported revisions.
#[derive(Clone, Debug, Default)]
pub struct Revisions {
    hosts: Arc<Mutex<HashMap<HostId, Revision>>>,
}

impl Revisions {
    /// Takes in the revision in a heartbeat of `host`.
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

    /// The revision that `host` reported last.
    pub fn get(&self, host: &HostId) -> Option<Revision> {
        self.hosts.lock().unwrap_or_else(PoisonError::into_inner).get(host).copied()
    }
}
