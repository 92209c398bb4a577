//! Live links by agent, with the state of each agent in its last heartbeat.

use std::sync::{Arc, PoisonError, RwLock, atomic::Ordering};

use eelgrasswell_core::{
    agent_selection::{AgentView, LoadReport},
    hash::HashMap,
    id::{HostId, ModelName, ServiceName, VersionName},
    unit::{Millis, Tokens},
};
use eelgrasswell_proto::v1::{AgentBeat, Load};
use tokio::sync::watch;

use super::{AgentLink, stream::HEARTBEAT_TIMEOUT};

/// Live links by agent.
pub struct Table {
    links: RwLock<HashMap<HostId, LiveLink>>,
    /// Incremented whenever a link is opened or lost or an agent starts to leave.
    changes: watch::Sender<u64>,
}

impl Default for Table {
    fn default() -> Self {
        Self { links: RwLock::default(), changes: watch::channel(0).0 }
    }
}

struct LiveLink {
    link: Arc<AgentLink>,
    /// Time of the last heartbeat on this process's clock.
    heartbeat_at: Millis,
    load: LoadReport,
    loaded: Vec<(ModelName, VersionName)>,
    leaving: bool,
}

impl Table {
    /// Records a heartbeat. `open` creates the link if the agent has none yet or has restarted. `leaving`
    /// says whether the host list marks the agent as leaving.
    pub fn record_heartbeat(&self, beat: &AgentBeat, leaving: bool, now: Millis, open: impl FnOnce() -> AgentLink) {
        let mut links = self.links.write().unwrap_or_else(PoisonError::into_inner);
        let known = links.get(beat.agent.as_str()).map(|known| &known.link);
        let link = match known.filter(|link| link.incarnation.0 == beat.incarnation) {
            Some(link) => Arc::clone(link),
            None => Arc::new(open()),
        };
        let loaded = beat.loaded.iter().map(|l| (l.model.as_str().into(), l.version.as_str().into())).collect();
        let load = beat.load.as_ref().map(load_report).unwrap_or_default();
        let leaving = leaving || beat.leaving;
        let entry = LiveLink { link, heartbeat_at: now, load, loaded, leaving };
        let known = links.get(&entry.link.id);
        let same = known.is_some_and(|known| Arc::ptr_eq(&known.link, &entry.link) && known.leaving == leaving);
        links.insert(entry.link.id.clone(), entry);
        drop(links);
        if !same {
            self.notify_change();
        }
    }

    /// A receiver that is notified of each change to the links.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Marks the agent as leaving. Called when the host list marks it so.
    pub fn mark_leaving(&self, id: &HostId) {
        if let Some(known) = self.links.write().unwrap_or_else(PoisonError::into_inner).get_mut(id) {
            known.leaving = true;
        }
        self.notify_change();
    }

    /// Removes the link to agent `id`.
    pub fn remove(&self, id: &HostId) {
        self.links.write().unwrap_or_else(PoisonError::into_inner).remove(id);
        self.notify_change();
    }

    /// Links to the agents of `service` whose last heartbeat has not timed out.
    pub fn candidates(&self, service: &ServiceName, now: Millis) -> Vec<(Arc<AgentLink>, AgentView)> {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        links
            .values()
            .filter(|known| known.link.service == *service && known.is_live(now))
            .map(|known| (Arc::clone(&known.link), known.view()))
            .collect()
    }

    /// The link to agent `id`, if the agent's last heartbeat has not timed out.
    pub fn link(&self, id: &HostId, now: Millis) -> Option<Arc<AgentLink>> {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        links.get(id).filter(|known| known.is_live(now)).map(|known| Arc::clone(&known.link))
    }

    fn notify_change(&self) {
        self.changes.send_modify(|n| *n += 1);
    }
}

impl LiveLink {
    fn is_live(&self, now: Millis) -> bool {
        now.saturating_sub(self.heartbeat_at) < HEARTBEAT_TIMEOUT
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

fn load_report(load: &Load) -> LoadReport {
    LoadReport {
        running: load.running,
        queued: load.queued,
        limit: load.limit,
        tokens_held: Tokens(load.tokens_held),
        tokens_limit: Tokens(load.tokens_limit),
        cold: load.cold,
    }
}
