//! Live links by agent, with the last heartbeat of each.

use std::sync::{Arc, PoisonError, RwLock, atomic::Ordering};

use eelgrasswell_core::{
    agent_selection::{AgentView, LoadReport},
    hash::HashMap,
    id::{HostId, ModelName, ServiceName, VersionName},
    unit::{Millis, Tokens},
};
use eelgrasswell_proto::v1::{AgentBeat, Load};
use tokio::sync::watch;

use super::{AgentLink, stream::SILENT_AFTER};

/// Live links.
pub struct Table {
    live: RwLock<HashMap<HostId, Live>>,
    /// Rises with every link that is opened or lost and every agent that starts to leave.
    changes: watch::Sender<u64>,
}

impl Default for Table {
    fn default() -> Self {
        Self { live: RwLock::default(), changes: watch::channel(0).0 }
    }
}

struct Live {
    link: Arc<AgentLink>,
    heard_at: Millis,
    load: LoadReport,
    loaded: Vec<(ModelName, VersionName)>,
    leaving: bool,
}

impl Table {
    /// Takes in a heartbeat. `open` makes the link when the agent has none yet or has restarted.
    pub fn note(&self, beat: &AgentBeat, leaving: bool, now: Millis, open: impl FnOnce() -> AgentLink) {
        let mut live = self.live.write().unwrap_or_else(PoisonError::into_inner);
        let known = live.get(beat.agent.as_str()).map(|known| &known.link);
        let link = match known.filter(|link| link.incarnation.0 == beat.incarnation) {
            Some(link) => Arc::clone(link),
            None => Arc::new(open()),
        };
        let loaded = beat.loaded.iter().map(|l| (l.model.as_str().into(), l.version.as_str().into())).collect();
        let load = beat.load.as_ref().map(report).unwrap_or_default();
        let leaving = leaving || beat.leaving;
        let entry = Live { link, heard_at: now, load, loaded, leaving };
        let known = live.get(&entry.link.id);
        let same = known.is_some_and(|known| Arc::ptr_eq(&known.link, &entry.link) && known.leaving == leaving);
        live.insert(entry.link.id.clone(), entry);
        drop(live);
        if !same {
            self.note_change();
        }
    }

    /// A receiver that sees each change to the links.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Marks the agent as leaving, as the host list says.
    pub fn note_leaving(&self, id: &HostId) {
        if let Some(known) = self.live.write().unwrap_or_else(PoisonError::into_inner).get_mut(id) {
            known.leaving = true;
        }
        self.note_change();
    }

    /// Removes the link to `id`.
    pub fn remove(&self, id: &HostId) {
        self.live.write().unwrap_or_else(PoisonError::into_inner).remove(id);
        self.note_change();
    }

    /// Links to the agents of `service` that have been heard lately.
    pub fn candidates(&self, service: &ServiceName, now: Millis) -> Vec<(Arc<AgentLink>, AgentView)> {
        let live = self.live.read().unwrap_or_else(PoisonError::into_inner);
        live.values()
            .filter(|known| known.link.service == *service && known.is_heard(now))
            .map(|known| (Arc::clone(&known.link), known.view()))
            .collect()
    }

    /// The link to `id` if it has been heard lately.
    pub fn link(&self, id: &HostId, now: Millis) -> Option<Arc<AgentLink>> {
        let live = self.live.read().unwrap_or_else(PoisonError::into_inner);
        live.get(id).filter(|known| known.is_heard(now)).map(|known| Arc::clone(&known.link))
    }

    fn note_change(&self) {
        self.changes.send_modify(|n| *n += 1);
    }
}

impl Live {
    fn is_heard(&self, now: Millis) -> bool {
        now.saturating_sub(self.heard_at) < SILENT_AFTER
    }

    fn view(&self) -> AgentView {
        AgentView {
            id: self.link.id.clone(),
            domain: self.link.domain.clone(),
            outstanding: self.link.outstanding.load(Ordering::Relaxed),
            load: self.load,
            loaded: self.loaded.clone(),
            leaving: self.leaving,
        }
    }
}

fn report(load: &Load) -> LoadReport {
    LoadReport {
        running: load.running,
        queued: load.queued,
        limit: load.limit,
        tokens_held: Tokens(load.tokens_held),
        tokens_limit: Tokens(load.tokens_limit),
        cold: load.cold,
    }
}
