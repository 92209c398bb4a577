//! Which hosts exist (host list of the platform, lagging) and which routers are alive (heartbeats).

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

use self::{channels::Channels, hosts::Hosts, routers::Routers};
use crate::{
    clock::Clock,
    credential::Present,
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
    present: Present,
    channels: Channels,
    state: RwLock<State>,
    /// Rises with every change to the host list or the live routers.
    changes: watch::Sender<u64>,
    leaving: watch::Sender<bool>,
}

struct State {
    hosts: Hosts,
    routers: Routers,
}

/// A router that has been heard of lately.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveRouter {
    /// Host of the router.
    pub id: HostId,
    /// Failure domain of the router.
    pub domain: DomainId,
    /// Inner address.
    pub address: SocketAddr,
    /// Incarnation that was heard of.
    pub incarnation: Incarnation,
}

/// What one router tells another about the membership.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Gossip {
    /// Digest of the live routers that the sender knows.
    pub routers_digest: u64,
    /// Ages of their heartbeats; see the message `SyncRequest`.
    pub heard: bytes::Bytes,
    /// All live routers, when the receiver knows others.
    pub routers: Vec<RouterInfo>,
    /// Digest of the host list.
    pub hosts_digest: u64,
    /// Sections of the host list, or their digests alone.
    pub hosts: Vec<HostSection>,
}

impl Members {
    /// Starts with this router alone.
    pub fn open(settings: Arc<RouterSettings>, incarnation: Incarnation, clock: Clock, present: Present) -> Self {
        let host = &settings.host;
        let own = LiveRouter { id: host.id.clone(), domain: host.domain.clone(), address: host.inner, incarnation };
        let state = State { hosts: Hosts::default(), routers: Routers::new(own) };
        Self {
            inner: Arc::new(Inner {
                settings,
                clock,
                present,
                channels: Channels::default(),
                state: RwLock::new(state),
                changes: watch::channel(0).0,
                leaving: watch::channel(false).0,
            }),
        }
    }

    /// Starts polling the host list.
    pub fn spawn(&self, platform: Platform) {
        tokio::spawn(poll::run(self.clone(), platform));
    }

    /// Live routers, this one included, in order of their ids. A leaving router is left out.
    pub fn live_routers(&self) -> Vec<LiveRouter> {
        self.read().routers.live(self.inner.clock.now())
    }

    /// Entries of the host list with the role of an agent.
    pub fn agents(&self) -> Vec<HostEntry> {
        self.read().hosts.with_role(HostRole::Agent).cloned().collect()
    }

    /// The entry of the host list for `id`.
    pub fn host(&self, id: &HostId) -> Option<HostEntry> {
        self.read().hosts.get(id).cloned()
    }

    /// Live routers in order of rendezvous weight for the shard; the first should own it.
    pub fn ranked_for_shard(&self, shard: ShardId) -> Vec<LiveRouter> {
        let routers = self.live_routers();
        let ids: Vec<&HostId> = routers.iter().map(|router| &router.id).collect();
        let ranked = membership::rank(&format!("shard-{shard}"), &ids);
        ranked.into_iter().map(|i| routers[i].clone()).collect()
    }

    /// Whether this router is one of those that watch the platform for its failure domain.
    pub fn is_watcher(&self) -> bool {
        let host = &self.inner.settings.host;
        membership::is_watcher(&host.id, &host.domain, &self.router_nodes())
    }

    /// An open channel to the inner endpoint at `address`, shared between callers. It connects on
    /// first use and finds silent connections by keep-alive.
    pub fn channel(&self, address: SocketAddr) -> (Channel, Present) {
        let channel = self.inner.channels.get(address, self.inner.clock.now());
        (channel, self.inner.present.clone())
    }

    /// Makes the next call to `address` open a new connection, after the old one went silent.
    pub fn reconnect(&self, address: SocketAddr) {
        self.inner.channels.forget(address);
    }

    /// Tells peers that this router leaves, so that it gets no new shards.
    pub fn announce_leaving(&self) {
        self.write().routers.set_leaving();
        self.inner.leaving.send_replace(true);
        self.note_change();
    }

    /// Waits until this router has announced that it leaves.
    pub async fn left(&self) {
        let _ = self.inner.leaving.subscribe().wait_for(|leaving| *leaving).await;
    }

    /// A receiver that sees each change to the host list or the live routers.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.inner.changes.subscribe()
    }

    /// Routers that agents may expect links from: the live ones, and those that the host list names
    /// and that have not yet had the time to be heard. This one is always among them.
    pub fn linking_routers(&self) -> Vec<Node> {
        let state = self.read();
        let now = self.inner.clock.now();
        state.routers.linking(&state.hosts, now)
    }

    /// Number of routers in the host list, alive or not.
    pub fn listed_routers(&self) -> usize {
        self.read().hosts.with_role(HostRole::Router).count()
    }

    /// Addresses of the routers that a watcher passes changes on to: the other routers of its failure
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

    /// Addresses of all other routers: live ones, those of the host list, and seeds.
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

    /// This router as it presents itself to others.
    pub fn own_info(&self) -> RouterInfo {
        self.read().routers.own_info()
    }

    /// Number of the last change to a part of the host list that was known before.
    pub fn host_changes(&self) -> u64 {
        self.read().hosts.changes()
    }

    /// Digests of what this router knows, and the ages of heartbeats.
    pub fn gossip(&self) -> Gossip {
        let state = self.read();
        Gossip { hosts_digest: state.hosts.digest(), ..state.routers.gossip(self.inner.clock.now()) }
    }

    /// The host list, with the entries of the parts that changed after change number `since`.
    pub fn hosts_since(&self, since: u64) -> Vec<HostSection> {
        self.read().hosts.changed_since(since, self.inner.clock.now())
    }

    /// The host list, with the entries of the parts that are newer here than in `theirs`.
    pub fn hosts_newer_than(&self, theirs: &[HostSection]) -> Vec<HostSection> {
        self.read().hosts.newer_than(theirs, self.inner.clock.now())
    }

    /// What to tell a router that knows `theirs`. Without a word on the parts of its host list it gets
    /// only digests, and may then ask for the parts that it lacks.
    pub fn reply_to(&self, theirs: &Gossip) -> Gossip {
        let state = self.read();
        let now = self.inner.clock.now();
        let mut gossip = Gossip { hosts_digest: state.hosts.digest(), ..state.routers.gossip(now) };
        if gossip.routers_digest != theirs.routers_digest {
            gossip.routers = state.routers.infos(now);
        }
        if gossip.hosts_digest != theirs.hosts_digest {
            // The digest of an empty list is zero: that router needs everything.
            let is_digest = theirs.hosts.is_empty() && theirs.hosts_digest != 0;
            let hosts = &state.hosts;
            gossip.hosts = if is_digest { hosts.digests(now) } else { hosts.newer_than(&theirs.hosts, now) };
        }
        gossip
    }

    /// Takes in what another router told of itself and the others. `delay` is the longest time that
    /// the message can have been on the way.
    pub fn receive(&self, from: Option<&RouterInfo>, gossip: &Gossip, delay: eelgrasswell_core::unit::Millis) {
        let now = self.inner.clock.now().saturating_sub(delay);
        let mut state = self.write();
        let mut changed = state.routers.receive(from, gossip, now);
        changed |= state.hosts.merge(&gossip.hosts, now);
        drop(state);
        if changed {
            self.note_change();
        }
    }

    fn router_nodes(&self) -> Vec<Node> {
        self.live_routers().into_iter().map(node_of).collect()
    }

    fn note_change(&self) {
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
