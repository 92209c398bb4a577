//! Membership: which hosts exist, by the platform's host list, which may lag; and which routers are
//! alive, by their heartbeats.

mod channels;
mod hosts;
mod poll;
mod routers;

use std::{
    net::SocketAddr,
    sync::{Arc, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard},
};

use eelgrasswell_core::{
    id::{DomainId, HostId, Incarnation, ShardId},
    membership::{self, Node},
};
use eelgrasswell_manifest::settings::RouterSettings;
use eelgrasswell_proto::v1::{HostSection, RouterInfo};
use tokio::sync::watch;
use tonic::transport::Channel;

use self::{channels::Channels, hosts::HostList, routers::Routers};
use crate::{
    clock::Clock,
    credential::AttachCredential,
    platform::{HostEntry, HostRole, Platform},
};

/// Shared handle on the membership.
#[derive(Clone)]
pub struct Members {
    inner: Arc<Inner>,
}

struct Inner {
    settings: Arc<RouterSettings>,
    clock: Clock,
    credential: AttachCredential,
    channels: Channels,
    state: RwLock<State>,
    /// Incremented with every change to the host list or the live routers.
    changes: watch::Sender<u64>,
    /// Whether this router has announced that it is leaving.
    leaving: watch::Sender<bool>,
}

struct State {
    hosts: HostList,
    routers: Routers,
}

/// A router whose last heartbeat has not timed out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveRouter {
    /// Host of the router.
    pub id: HostId,
    /// Failure domain of the router.
    pub domain: DomainId,
    /// Address of the inner endpoint.
    pub address: SocketAddr,
    /// Incarnation that sent the heartbeat.
    pub incarnation: Incarnation,
}

/// Membership data that one router sends to another.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Gossip {
    /// Digest of the live routers that the sender knows.
    pub routers_digest: u64,
    /// Ages of the heartbeats of these routers, encoded as `SyncRequest.heard`.
    pub heartbeat_ages: bytes::Bytes,
    /// All live routers; empty unless the receiver's digest differs.
    pub routers: Vec<RouterInfo>,
    /// Digest of the whole host list.
    pub hosts_digest: u64,
    /// Sections of the host list, with their entries or only their digests.
    pub hosts: Vec<HostSection>,
}

impl Members {
    /// Creates the component with this router as the only member.
    pub fn open(
        settings: Arc<RouterSettings>,
        incarnation: Incarnation,
        clock: Clock,
        credential: AttachCredential,
    ) -> Self {
        let host = &settings.host;
        let own = LiveRouter { id: host.id.clone(), domain: host.domain.clone(), address: host.inner, incarnation };
        let state = State { hosts: HostList::default(), routers: Routers::new(own) };
        Self {
            inner: Arc::new(Inner {
                settings,
                clock,
                credential,
                channels: Channels::default(),
                state: RwLock::new(state),
                changes: watch::channel(0).0,
                leaving: watch::channel(false).0,
            }),
        }
    }

    /// Starts the task that polls the platform's host list and drops dead routers and idle channels.
    pub fn spawn(&self, platform: Platform) {
        tokio::spawn(poll::run(self.clone(), platform));
    }

    /// Live routers that are not leaving, in order of id. Includes this router unless it is leaving.
    pub fn live_routers(&self) -> Vec<LiveRouter> {
        self.read().routers.live(self.inner.clock.now())
    }

    /// Entries of the host list with the role of an agent.
    pub fn agents(&self) -> Vec<HostEntry> {
        self.read().hosts.with_role(HostRole::Agent).cloned().collect()
    }

    /// The host list's entry for `id`.
    pub fn host(&self, id: &HostId) -> Option<HostEntry> {
        self.read().hosts.get(id).cloned()
    }

    /// Live routers in order of rendezvous weight for the shard. The first one should own the shard.
    pub fn ranked_for_shard(&self, shard: ShardId) -> Vec<LiveRouter> {
        let routers = self.live_routers();
        let ids: Vec<&HostId> = routers.iter().map(|router| &router.id).collect();
        let ranked = membership::rank(&format!("shard-{shard}"), &ids);
        ranked.into_iter().map(|i| routers[i].clone()).collect()
    }

    /// Whether this router is one of the routers that watch the platform for its failure domain.
    pub fn is_watcher(&self) -> bool {
        let host = &self.inner.settings.host;
        membership::is_watcher(&host.id, &host.domain, &self.router_nodes())
    }

    /// A channel to the inner endpoint at `address`, shared between callers, and the interceptor that
    /// adds the credential. The channel connects on first use and detects stalled connections by
    /// keep-alive pings.
    pub fn channel(&self, address: SocketAddr) -> (Channel, AttachCredential) {
        let channel = self.inner.channels.get(address, self.inner.clock.now());
        (channel, self.inner.credential.clone())
    }

    /// Makes the next call to `address` open a new connection. Called when the old one has stalled.
    pub fn reconnect(&self, address: SocketAddr) {
        self.inner.channels.remove(address);
    }

    /// Announces to peers that this router is leaving, so that it gets no new shards.
    pub fn announce_leaving(&self) {
        self.write().routers.set_leaving();
        self.inner.leaving.send_replace(true);
        self.notify_change();
    }

    /// Waits until this router has announced that it is leaving.
    pub async fn leaving_announced(&self) {
        let _ = self.inner.leaving.subscribe().wait_for(|leaving| *leaving).await;
    }

    /// A receiver that is notified of each change to the host list or the live routers.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.inner.changes.subscribe()
    }

    /// Routers from which agents may expect links: the live ones, and those on the host list that have
    /// not yet had time to send a heartbeat. Always includes this router.
    pub fn linking_routers(&self) -> Vec<Node> {
        let state = self.read();
        let now = self.inner.clock.now();
        state.routers.linking(&state.hosts, now)
    }

    /// Number of routers on the host list, alive or not.
    pub fn listed_routers(&self) -> usize {
        self.read().hosts.with_role(HostRole::Router).count()
    }

    /// Addresses of the routers to which a watcher pushes changes: the other routers of its failure
    /// domain, and the watchers of the other failure domains.
    pub fn push_targets(&self) -> Vec<SocketAddr> {
        let own = &self.inner.settings.host;
        let routers = self.live_routers();
        let nodes: Vec<Node> = routers.iter().cloned().map(node_of).collect();
        let targets = routers
            .iter()
            .filter(|router| router.id != own.id)
            .filter(|router| router.domain == own.domain || membership::is_watcher(&router.id, &router.domain, &nodes));
        targets.map(|router| router.address).collect()
    }

    /// Addresses of all other routers: live ones, those on the host list, and seeds.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        let state = self.read();
        let own = &self.inner.settings.host;
        let live = state.routers.addresses(self.inner.clock.now());
        let listed = state.hosts.with_role(HostRole::Router).filter(|entry| entry.id != own.id);
        let mut addresses: Vec<SocketAddr> = live.chain(listed.map(|entry| entry.address)).collect();
        addresses.extend(self.inner.settings.seeds.iter().filter(|seed| **seed != own.inner));
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Description of this router for other routers.
    pub fn own_info(&self) -> RouterInfo {
        self.read().routers.own_info()
    }

    /// Sequence number of the last change to a section of the host list. Receiving a section for the first
    /// time does not count as a change.
    pub fn last_host_change(&self) -> u64 {
        self.read().hosts.last_change()
    }

    /// Digests of the live routers and the host list, and the ages of the routers' heartbeats.
    pub fn gossip(&self) -> Gossip {
        let state = self.read();
        Gossip { hosts_digest: state.hosts.digest(), ..state.routers.gossip(self.inner.clock.now()) }
    }

    /// All sections of the host list, with the entries of those that changed after change number `since`.
    pub fn hosts_since(&self, since: u64) -> Vec<HostSection> {
        self.read().hosts.changed_since(since, self.inner.clock.now())
    }

    /// All sections of the host list, with the entries of those that are missing in `peer_sections` or are
    /// newer and differ.
    pub fn hosts_newer_than(&self, peer_sections: &[HostSection]) -> Vec<HostSection> {
        self.read().hosts.newer_than(peer_sections, self.inner.clock.now())
    }

    /// Reply to a router that sent `request`. If `request` has no host list sections, the reply contains
    /// only the digests of the sections, and the router may then request the sections that it lacks.
    pub fn reply_to(&self, request: &Gossip) -> Gossip {
        let state = self.read();
        let now = self.inner.clock.now();
        let mut gossip = Gossip { hosts_digest: state.hosts.digest(), ..state.routers.gossip(now) };
        if gossip.routers_digest != request.routers_digest {
            gossip.routers = state.routers.infos(now);
        }
        if gossip.hosts_digest != request.hosts_digest {
            // The digest of an empty list is zero: such a router needs all sections.
            let digests_only = request.hosts.is_empty() && request.hosts_digest != 0;
            let hosts = &state.hosts;
            gossip.hosts =
                if digests_only { hosts.section_digests(now) } else { hosts.newer_than(&request.hosts, now) };
        }
        gossip
    }

    /// Merges the data that another router sent about itself and the other members. `delay` is the
    /// maximum time that the message can have been in transit.
    pub fn receive(&self, from: Option<&RouterInfo>, gossip: &Gossip, delay: eelgrasswell_core::unit::Millis) {
        let now = self.inner.clock.now().saturating_sub(delay);
        let mut state = self.write();
        let mut changed = state.routers.merge(from, gossip, now);
        changed |= state.hosts.merge(&gossip.hosts, now);
        drop(state);
        if changed {
            self.notify_change();
        }
    }

    fn router_nodes(&self) -> Vec<Node> {
        self.live_routers().into_iter().map(node_of).collect()
    }

    fn notify_change(&self) {
        self.inner.changes.send_modify(|n| *n += 1);
    }

    fn read(&self) -> RwLockReadGuard<'_, State> {
        self.inner.state.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self) -> RwLockWriteGuard<'_, State> {
        self.inner.state.write().unwrap_or_else(PoisonError::into_inner)
    }
}

fn node_of(router: LiveRouter) -> Node {
    Node { id: router.id, domain: router.domain, pool: Default::default() }
}
