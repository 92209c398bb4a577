//! Live routers: this one and those whose heartbeats arrive, directly or through others.

use std::{mem, net::SocketAddr};

use bytes::Bytes;
use eelgrasswell_core::{
    hash::{HashMap, stable_hash},
    id::{DomainId, HostId, Incarnation},
    membership::{DEAD_AFTER, Heartbeat, Heartbeats, Node},
    unit::Millis,
};
use eelgrasswell_proto::v1::RouterInfo;

use super::{Gossip, LiveRouter, hosts::Hosts, node_of};
use crate::platform::HostRole;

/// Unit of the ages in `SyncRequest.heard`.
const AGE_UNIT: u64 = 100;

/// This router and what it has heard of the others.
pub struct Routers {
    own: LiveRouter,
    own_digest: u64,
    leaving: bool,
    heard: Heartbeats<Place>,
    /// Time at which the host list first named a router.
    listed: HashMap<HostId, Millis>,
    /// Digest of the live routers at the last tick.
    last_digest: u64,
}

/// Where a router is.
#[derive(Clone, Debug)]
struct Place {
    domain: DomainId,
    address: SocketAddr,
    /// Digest of the router, computed once: every exchange sums it over all live routers.
    digest: u64,
}

impl Routers {
    /// Starts with `own` alone.
    pub fn new(own: LiveRouter) -> Self {
        let own_digest = digest(&own.id, &own.domain, own.address, own.incarnation);
        let heard = Heartbeats::default();
        Self { own, own_digest, leaving: false, heard, listed: HashMap::default(), last_digest: 0 }
    }

    /// Marks this router as leaving.
    pub fn set_leaving(&mut self) {
        self.leaving = true;
    }

    /// Live routers that are not leaving, in order of id.
    pub fn live(&self, now: Millis) -> Vec<LiveRouter> {
        let others = self.heard.live(now).filter(|(_, heard)| !heard.leaving);
        let mut live: Vec<LiveRouter> = others.map(|(id, heard)| live_router(id, heard)).collect();
        if !self.leaving {
            let at = live.partition_point(|router| router.id < self.own.id);
            live.insert(at, self.own.clone());
        }
        live
    }

    /// Addresses of all other live routers, leaving ones included.
    pub fn addresses(&self, now: Millis) -> impl Iterator<Item = SocketAddr> {
        self.heard.live(now).map(|(_, heard)| heard.info.address)
    }

    /// See `Members::linking_routers`.
    pub fn linking(&self, hosts: &Hosts, now: Millis) -> Vec<Node> {
        let mut nodes: Vec<Node> = self.live(now).into_iter().map(node_of).collect();
        if self.leaving {
            nodes.push(node_of(self.own.clone()));
        }
        for entry in hosts.with_role(HostRole::Router).filter(|entry| !entry.leaving && entry.id != self.own.id) {
            let fresh = self.listed.get(&entry.id).is_none_or(|at| now.saturating_sub(*at) < DEAD_AFTER);
            if fresh && self.heard.get(&entry.id).is_none() {
                nodes.push(Node { id: entry.id.clone(), domain: entry.domain.clone(), pool: Default::default() });
            }
        }
        nodes.sort_by(|a, b| a.id.cmp(&b.id));
        nodes
    }

    /// Notes which routers the host list names, and drops dead ones. True when the live ones have
    /// changed since the last tick.
    pub fn tick(&mut self, hosts: &Hosts, now: Millis) -> bool {
        self.listed.retain(|id, _| hosts.get(id).is_some());
        for entry in hosts.with_role(HostRole::Router) {
            self.listed.entry(entry.id.clone()).or_insert(now);
        }
        self.heard.expire(now);
        let digest = self.digest(now);
        mem::replace(&mut self.last_digest, digest) != digest
    }

    /// This router as others see it.
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

    /// All live routers with the age of their heartbeats.
    pub fn infos(&self, now: Millis) -> Vec<RouterInfo> {
        let others = self.heard.live(now).map(|(id, heard)| RouterInfo {
            id: id.to_string(),
            domain: heard.info.domain.to_string(),
            address: heard.info.address.to_string(),
            incarnation: heard.incarnation.0,
            leaving: heard.leaving,
            heard_ms_ago: now.saturating_sub(heard.at).0,
        });
        others.chain([self.own_info()]).collect()
    }

    /// Digest and ages, without the routers themselves.
    pub fn gossip(&self, now: Millis) -> Gossip {
        let mut ages: Vec<u8> = Vec::new();
        let mut own_at = 0;
        for (id, heard) in self.heard.live(now) {
            // Rounded up, so that an age never shrinks on its way through many routers.
            let age = now.saturating_sub(heard.at).0.div_ceil(AGE_UNIT);
            ages.push(u8::try_from(age).unwrap_or(u8::MAX));
            own_at += usize::from(*id < self.own.id);
        }
        ages.insert(own_at, 0);
        Gossip { routers_digest: self.digest(now), heard: Bytes::from(ages), ..Gossip::default() }
    }

    /// Takes in heartbeats that another router heard up to `now`; true when the live routers changed.
    pub fn receive(&mut self, from: Option<&RouterInfo>, gossip: &Gossip, now: Millis) -> bool {
        let before = self.digest(now);
        for info in from.into_iter().chain(&gossip.routers) {
            self.note(info, now);
        }
        let digest = self.digest(now);
        if gossip.routers_digest == digest {
            self.note_ages(&gossip.heard, now);
        }
        before != digest
    }

    /// Takes in the ages of the heartbeats of all live routers in order of id, this one included.
    fn note_ages(&mut self, ages: &[u8], now: Millis) {
        let own_at = self.heard.live(now).filter(|(id, _)| **id < self.own.id).count();
        let others = ages.iter().enumerate().filter(|(i, _)| *i != own_at);
        for ((_, heard), (_, age)) in self.heard.live_mut(now).zip(others) {
            heard.at = heard.at.max(now.saturating_sub(Millis(u64::from(*age) * AGE_UNIT)));
        }
    }

    fn note(&mut self, info: &RouterInfo, now: Millis) {
        let id = HostId::from(info.id.as_str());
        let Ok(address) = info.address.parse() else { return };
        if id == self.own.id || id.is_empty() || Millis(info.heard_ms_ago) >= DEAD_AFTER {
            return;
        }
        let domain = DomainId::from(info.domain.as_str());
        let incarnation = Incarnation(info.incarnation);
        let digest = digest(&id, &domain, address, incarnation);
        let beat = Heartbeat {
            incarnation,
            at: now.saturating_sub(Millis(info.heard_ms_ago)),
            leaving: info.leaving,
            info: Place { domain, address, digest },
        };
        self.heard.record(&id, beat);
    }

    /// Digest of the live routers without the ages of their heartbeats.
    fn digest(&self, now: Millis) -> u64 {
        let others = self.heard.live(now).map(|(_, heard)| with_leaving(heard.info.digest, heard.leaving));
        others.fold(with_leaving(self.own_digest, self.leaving), u64::wrapping_add)
    }
}

fn digest(id: &HostId, domain: &DomainId, address: SocketAddr, incarnation: Incarnation) -> u64 {
    stable_hash(&[id.as_str(), domain.as_str(), &address.to_string(), &incarnation.to_string()])
}

fn with_leaving(digest: u64, leaving: bool) -> u64 {
    if leaving { digest.rotate_left(1) } else { digest }
}

fn live_router(id: &HostId, heard: &Heartbeat<Place>) -> LiveRouter {
    LiveRouter {
        id: id.clone(),
        domain: heard.info.domain.clone(),
        address: heard.info.address,
        incarnation: heard.incarnation,
    }
}
