//! Live routers: this one and those whose heartbeats it receives, directly or through other routers.

use std::{mem, net::SocketAddr};

use bytes::Bytes;
use eelgrasswell_core::{
    hash::{HashMap, stable_hash},
    id::{DomainId, HostId, Incarnation},
    membership::{DEAD_AFTER, Heartbeat, Heartbeats, Node},
    unit::Millis,
};
use eelgrasswell_proto::v1::RouterInfo;

use super::{Gossip, LiveRouter, hosts::HostList, node_of};
use crate::platform::HostRole;

/// Unit of the ages in `SyncRequest.heard`, in milliseconds.
const AGE_UNIT_MS: u64 = 100;

/// This router and the heartbeats of the others.
pub struct Routers {
    own: LiveRouter,
    own_digest: u64,
    leaving: bool,
    heartbeats: Heartbeats<Peer>,
    /// Time at which this router first found each router on the host list.
    listed_at: HashMap<HostId, Millis>,
    /// Digest of the live routers at the last tick.
    last_digest: u64,
}

/// Another router, as described by its heartbeat.
#[derive(Clone, Debug)]
struct Peer {
    domain: DomainId,
    address: SocketAddr,
    /// Digest of the router. Computed once, since every exchange sums the digests of all live routers.
    digest: u64,
}

impl Routers {
    /// Creates the state with `own` as the only router.
    pub fn new(own: LiveRouter) -> Self {
        let own_digest = router_digest(&own.id, &own.domain, own.address, own.incarnation);
        let heartbeats = Heartbeats::default();
        Self { own, own_digest, leaving: false, heartbeats, listed_at: HashMap::default(), last_digest: 0 }
    }

    /// Marks this router as leaving.
    pub fn set_leaving(&mut self) {
        self.leaving = true;
    }

    /// Live routers that are not leaving, in order of id.
    pub fn live(&self, now: Millis) -> Vec<LiveRouter> {
        let others = self.heartbeats.live(now).filter(|(_, heartbeat)| !heartbeat.leaving);
        let mut live: Vec<LiveRouter> = others.map(|(id, heartbeat)| live_router(id, heartbeat)).collect();
        if !self.leaving {
            let at = live.partition_point(|router| router.id < self.own.id);
            live.insert(at, self.own.clone());
        }
        live
    }

    /// Addresses of all other live routers, leaving ones included.
    pub fn addresses(&self, now: Millis) -> impl Iterator<Item = SocketAddr> {
        self.heartbeats.live(now).map(|(_, heartbeat)| heartbeat.info.address)
    }

    /// See `Members::linking_routers`.
    pub fn linking(&self, hosts: &HostList, now: Millis) -> Vec<Node> {
        let mut nodes: Vec<Node> = self.live(now).into_iter().map(node_of).collect();
        if self.leaving {
            nodes.push(node_of(self.own.clone()));
        }
        for entry in hosts.with_role(HostRole::Router).filter(|entry| !entry.leaving && entry.id != self.own.id) {
            let recently_listed = self.listed_at.get(&entry.id).is_none_or(|at| now.saturating_sub(*at) < DEAD_AFTER);
            if recently_listed && self.heartbeats.get(&entry.id).is_none() {
                nodes.push(Node { id: entry.id.clone(), domain: entry.domain.clone(), pool: Default::default() });
            }
        }
        nodes.sort_by(|a, b| a.id.cmp(&b.id));
        nodes
    }

    /// Records which routers are on the host list, and drops dead routers. Returns whether the live
    /// routers have changed since the last tick.
    pub fn tick(&mut self, hosts: &HostList, now: Millis) -> bool {
        self.listed_at.retain(|id, _| hosts.get(id).is_some());
        for entry in hosts.with_role(HostRole::Router) {
            self.listed_at.entry(entry.id.clone()).or_insert(now);
        }
        self.heartbeats.expire(now);
        let digest = self.digest(now);
        mem::replace(&mut self.last_digest, digest) != digest
    }

    /// Description of this router for other routers.
    pub fn own_info(&self) -> RouterInfo {
        RouterInfo {
            id: self.own.id.to_string(),
            domain: self.own.domain.to_string(),
            address: self.own.address.to_string(),
            incarnation: self.own.incarnation.0,
            leaving: self.leaving,
            heard_ms_ago: 0,
        }
    }

    /// Descriptions of all live routers, with the ages of their heartbeats.
    pub fn infos(&self, now: Millis) -> Vec<RouterInfo> {
        let others = self.heartbeats.live(now).map(|(id, heartbeat)| RouterInfo {
            id: id.to_string(),
            domain: heartbeat.info.domain.to_string(),
            address: heartbeat.info.address.to_string(),
            incarnation: heartbeat.incarnation.0,
            leaving: heartbeat.leaving,
            heard_ms_ago: now.saturating_sub(heartbeat.at).0,
        });
        others.chain([self.own_info()]).collect()
    }

    /// Digest of the live routers and the ages of their heartbeats, without descriptions.
    pub fn gossip(&self, now: Millis) -> Gossip {
        let mut ages: Vec<u8> = Vec::new();
        let mut own_index = 0;
        for (id, heartbeat) in self.heartbeats.live(now) {
            // Rounded up, so that an age never shrinks while many routers relay it.
            let age = now.saturating_sub(heartbeat.at).0.div_ceil(AGE_UNIT_MS);
            ages.push(u8::try_from(age).unwrap_or(u8::MAX));
            own_index += usize::from(*id < self.own.id);
        }
        ages.insert(own_index, 0);
        Gossip { routers_digest: self.digest(now), heartbeat_ages: Bytes::from(ages), ..Gossip::default() }
    }

    /// Merges the heartbeats that another router received up to `now`, and its own; returns
    /// whether the live routers have changed.
    pub fn merge(&mut self, from: Option<&RouterInfo>, gossip: &Gossip, now: Millis) -> bool {
        let before = self.digest(now);
        for info in from.into_iter().chain(&gossip.routers) {
            self.record_heartbeat(info, now);
        }
        let digest = self.digest(now);
        if gossip.routers_digest == digest {
            self.merge_ages(&gossip.heartbeat_ages, now);
        }
        before != digest
    }

    /// Merges the ages of the heartbeats of all live routers in order of id, this one included.
    fn merge_ages(&mut self, ages: &[u8], now: Millis) {
        let own_index = self.heartbeats.live(now).filter(|(id, _)| **id < self.own.id).count();
        let others = ages.iter().enumerate().filter(|(i, _)| *i != own_index);
        for ((_, heartbeat), (_, age)) in self.heartbeats.live_mut(now).zip(others) {
            heartbeat.at = heartbeat.at.max(now.saturating_sub(Millis(u64::from(*age) * AGE_UNIT_MS)));
        }
    }

    /// Records the heartbeat of another router. Ignores it if the address cannot be parsed, the id is
    /// empty or this router's own, or the heartbeat is so old that the router counts as dead.
    fn record_heartbeat(&mut self, info: &RouterInfo, now: Millis) {
        let id = HostId::from(info.id.as_str());
        let Ok(address) = info.address.parse() else { return };
        if id == self.own.id || id.is_empty() || Millis(info.heard_ms_ago) >= DEAD_AFTER {
            return;
        }
        let domain = DomainId::from(info.domain.as_str());
        let incarnation = Incarnation(info.incarnation);
        let digest = router_digest(&id, &domain, address, incarnation);
        let beat = Heartbeat {
            incarnation,
            at: now.saturating_sub(Millis(info.heard_ms_ago)),
            leaving: info.leaving,
            info: Peer { domain, address, digest },
        };
        self.heartbeats.record(&id, beat);
    }

    /// Digest of the live routers, without the ages of their heartbeats.
    fn digest(&self, now: Millis) -> u64 {
        let others =
            self.heartbeats.live(now).map(|(_, heartbeat)| with_leaving(heartbeat.info.digest, heartbeat.leaving));
        others.fold(with_leaving(self.own_digest, self.leaving), u64::wrapping_add)
    }
}

fn router_digest(id: &HostId, domain: &DomainId, address: SocketAddr, incarnation: Incarnation) -> u64 {
    stable_hash(&[id.as_str(), domain.as_str(), &address.to_string(), &incarnation.to_string()])
}

fn with_leaving(digest: u64, leaving: bool) -> u64 {
    if leaving { digest.rotate_left(1) } else { digest }
}

fn live_router(id: &HostId, heartbeat: &Heartbeat<Peer>) -> LiveRouter {
    LiveRouter {
        id: id.clone(),
        domain: heartbeat.info.domain.clone(),
        address: heartbeat.info.address,
        incarnation: heartbeat.incarnation,
    }
}
