//! The routers that serve callers, as one of them knows them: who is alive, and how many share a limit.

use std::net::SocketAddr;

use crate::{
    hash::{HashMap, stable_hash},
    id::{DomainId, HostId, Incarnation},
    unit::Millis,
};

/// Silence after which a router no longer counts as alive.
pub const ALIVE_TIMEOUT: Millis = Millis(2_500);
/// Silence after which a router is forgotten.
const FORGET_AFTER: Millis = Millis(20_000);
/// Routers for each one that watches the store for them.
const ROUTERS_PER_WATCHER: usize = 20;
/// Least number of routers that watch the store.
const LEAST_WATCHERS: usize = 2;
/// Time for which a limit is still shared with routers that have gone silent, since they may only be cut off.
const SHARED_FOR: Millis = Millis(8_000);

/// A router as last heard of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its host.
    pub id: HostId,
    /// Address for other routers.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Start of its process.
    pub incarnation: Incarnation,
    /// When it was last heard of, directly or through others.
    pub last_seen: Millis,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// The other routers.
#[derive(Debug, Default)]
pub struct Fleet {
    members: HashMap<HostId, Member>,
}

impl Fleet {
    /// Takes in word of a router.
    pub fn update(&mut self, member: Member) {
        match self.members.get_mut(&member.id) {
            Some(known) if known.last_seen >= member.last_seen => {}
            Some(known) => {
                let leaving = member.leaving || (known.leaving && known.incarnation == member.incarnation);
                *known = Member { leaving, ..member };
            }
            None => {
                self.members.insert(member.id.clone(), member);
            }
        }
    }

    /// Forgets routers that have long been silent.
    pub fn expire(&mut self, now: Millis) {
        self.members.retain(|_, member| now.saturating_sub(member.last_seen) < FORGET_AFTER);
    }

    /// Routers that are alive, by id.
    pub fn alive(&self, now: Millis) -> Vec<&Member> {
        let mut alive: Vec<&Member> =
            self.members.values().filter(|member| now.saturating_sub(member.last_seen) < ALIVE_TIMEOUT).collect();
        alive.sort_by(|a, b| a.id.cmp(&b.id));
        alive
    }

    /// All routers that are known.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Routers among which limits are shared, this one included; at least `least`.
    pub fn limit_sharers(&self, now: Millis, least: usize) -> usize {
        let sharing = self.members.values().filter(|member| now.saturating_sub(member.last_seen) < SHARED_FOR);
        (sharing.count() + 1).max(least)
    }

    /// Routers that watch the store for all, chosen alike by all that know the same members: by hash, in as many
    /// failure domains as possible. `own` is this router.
    pub fn watchers(&self, own: &Member, now: Millis) -> Vec<Member> {
        let mut ranked: Vec<&Member> = self.alive(now).into_iter().filter(|member| !member.leaving).collect();
        if !own.leaving {
            ranked.push(own);
        }
        ranked.sort_by_key(|member| stable_hash(&[member.id.as_str()]));
        let count = (ranked.len().div_ceil(ROUTERS_PER_WATCHER) + 1).max(LEAST_WATCHERS);
        let mut watchers: Vec<Member> = Vec::with_capacity(count);
        for may_share_domain in [false, true] {
            for member in &ranked {
                let is_chosen = watchers.iter().any(|watcher| watcher.id == member.id);
                let shares_domain = watchers.iter().any(|watcher| watcher.domain == member.domain);
                if watchers.len() < count && !is_chosen && (may_share_domain || !shares_domain) {
                    watchers.push((*member).clone());
                }
            }
        }
        watchers
    }
}
