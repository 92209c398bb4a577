//! Live routers: this one and those whose heartbeats arrive, directly or through others.

use std::net::SocketAddr;

use bytes::Bytes;
use eelgrasswell_core::{
    hash::{HashMap, stable_hash},
    id::{DomainId, HostId, Incarnation},
    membership::{DEAD_AFTER, Heard, Heartbeats, Node},
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
}

impl Routers {
    /// Starts with `own` alone.
    pub fn new(own: LiveRouter) -> Self {
        Self { own, leaving: false, heard: Heartbeats::default(), listed: HashMap::default(), last_digest: 0 }
    }

    /// Marks this router as leaving.
    pub fn set_leaving(&mut self) {
        self.leaving = true;
    }

    /// Live routers that are not leaving, in order of id.
    pub fn live(&self, now: Millis) -> Vec<LiveRouter> {
        let others = self.heard.live(now).into_iter().filter(|(_, heard)| !heard.leaving);
        let mut live: Vec<LiveRouter> = others.map(|(id, heard)| live_router(id, heard)).collect();
        if !self.leaving {
            let at = live.partition_point(|router| router.id < self.own.id);
            live.insert(at, self.own.clone());
        }
        live
    }

    /// All other live routers, leaving ones included.
    pub fn others(&self, now: Millis) -> impl Iterator<Item = LiveRouter> {
        self.heard.live(now).into_iter().map(|(id, heard)| live_router(id, heard))
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

    /// Notes which routers the host list names, and drops dead ones. True when the live ones changed.
    pub fn tick(&mut self, hosts: &Hosts, now: Millis) -> bool {
        self.listed.retain(|id, _| hosts.get(id).is_some());
        for entry in hosts.with_role(HostRole::Router) {
            self.listed.entry(entry.id.clone()).or_insert(now);
        }
        self.heard.expire(now);
        let digest = self.digest(now);
        std::mem::replace(&mut self.last_digest, digest) != digest
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

    /// All live routers with the age of their heartbeats, in order of id.
    pub fn infos(&self, now: Millis) -> Vec<RouterInfo> {
        let others = self.heard.live(now).into_iter().map(|(id, heard)| RouterInfo {
            id: id.to_string(),
            domain: heard.info.domain.to_string(),
            address: heard.info.address.to_string(),
            incarnation: heard.incarnation.0,
            leaving: heard.leaving,
            heard_ms_ago: now.saturating_sub(heard.at).0,
        });
        let mut infos: Vec<RouterInfo> = others.chain([self.own_info()]).collect();
        infos.sort_by(|a, b| a.id.cmp(&b.id));
        infos
    }

    /// Digest and ages, without the routers themselves.
    pub fn gossip(&self, now: Millis) -> Gossip {
        let infos = self.infos(now);
        // Rounded up, so that an age never shrinks on its way through many routers.
        let heard: Bytes =
            infos.iter().map(|i| u8::try_from(i.heard_ms_ago.div_ceil(AGE_UNIT)).unwrap_or(u8::MAX)).collect();
        Gossip { routers_digest: digest(&infos), heard, ..Gossip::default() }
    }

    /// Takes in heartbeats that another router heard up to `now`; true when the live routers changed.
    pub fn receive(&mut self, from: Option<&RouterInfo>, gossip: &Gossip, now: Millis) -> bool {
        let before = self.digest(now);
        if let Some(from) = from {
            self.note(from, now);
        }
        for info in &gossip.routers {
            self.note(info, now);
        }
        if gossip.routers.is_empty() && gossip.routers_digest == self.digest(now) {
            for (mut info, age) in self.infos(now).into_iter().zip(&gossip.heard) {
                info.heard_ms_ago = u64::from(*age) * AGE_UNIT;
                self.note(&info, now);
            }
        }
        before != self.digest(now)
    }

    fn note(&mut self, info: &RouterInfo, now: Millis) {
        let id = HostId::from(info.id.as_str());
        let Ok(address) = info.address.parse() else { return };
        if id == self.own.id || id.is_empty() || Millis(info.heard_ms_ago) >= DEAD_AFTER {
            return;
        }
        let beat = Heard {
            incarnation: Incarnation(info.incarnation),
            at: now.saturating_sub(Millis(info.heard_ms_ago)),
            leaving: info.leaving,
            info: Place { domain: info.domain.as_str().into(), address },
        };
        self.heard.note(&id, beat);
    }

    fn digest(&self, now: Millis) -> u64 {
        digest(&self.infos(now))
    }
}

/// Digest of routers without the ages of their heartbeats.
fn digest(infos: &[RouterInfo]) -> u64 {
    let digests = infos.iter().map(|info| {
        let leaving = if info.leaving { "leaving" } else { "" };
        stable_hash(&[&info.id, &info.domain, &info.address, &info.incarnation.to_string(), leaving])
    });
    digests.fold(0, u64::wrapping_add)
}

fn live_router(id: &HostId, heard: &Heard<Place>) -> LiveRouter {
    LiveRouter {
        id: id.clone(),
        domain: heard.info.domain.clone(),
        address: heard.info.address,
        incarnation: heard.incarnation,
    }
}
