//! Membership of the router fleet as known to one router: which routers are alive, which of them watch the store, from
//! which a router gets its copies, and how many share a limit.
//!
//! The store may reject most routers and serve the others. What each router reports of its own calls is passed on, so that
//! a rejected one finds those that reach the store. The newest report about a router counts, whenever and however often the
//! reports arrive.

use std::net::SocketAddr;

use rand::{Rng, seq::IteratorRandom};

use crate::{
    hash::{HashMap, stable_hash},
    id::{DomainId, HostId, Incarnation},
    unit::Millis,
};

/// Time without contact after which a router no longer counts as alive.
pub const ALIVE_TIMEOUT: Millis = Millis(2_500);
/// Time without contact after which a router is removed from the fleet.
const EXPIRY_TIMEOUT: Millis = Millis(20_000);
/// Number of routers per store watcher.
const ROUTERS_PER_WATCHER: usize = 20;
/// Minimum number of store watchers.
const MIN_WATCHERS: usize = 2;
/// Maximum number of routers that are contacted in one round of exchanges: all of a small fleet, or a random sample of a
/// large one, in which updates spread within a few rounds.
const EXCHANGE_FANOUT: usize = 5;
/// Number of these that are taken from other failure domains if the own one has enough. Traffic between domains has a
/// cost, and what one router of a domain has learned, the others get from it.
const REMOTE_EXCHANGES: usize = 2;
/// Grace period in which an unresponsive router still counts in the sharing of limits, because it may merely be
/// disconnected from this router.
const LIMIT_SHARE_GRACE: Millis = Millis(8_000);

/// Last known state of a router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Host of the router.
    pub id: HostId,
    /// Address for calls from other routers.
    pub address: SocketAddr,
    /// Failure domain of the router.
    pub domain: DomainId,
    /// Incarnation of the router process.
    pub incarnation: Incarnation,
    /// Time of the last contact with the router, by this router or as reported by another one.
    pub last_seen: Millis,
    /// Whether the router is about to stop.
    pub leaving: bool,
    /// Whether the router's own calls to the store succeed.
    pub reaches_store: bool,
}

/// The other routers of the fleet.
#[derive(Debug, Default)]
pub struct Fleet {
    members: HashMap<HostId, Member>,
}

impl Fleet {
    /// Records the state of a router, unless a state at least as recent is known. A router that is known to be leaving
    /// stays so until its incarnation changes, because other routers' reports about it do not say that it is leaving.
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

    /// Removes routers without contact for [`EXPIRY_TIMEOUT`].
    pub fn expire(&mut self, now: Millis) {
        self.members.retain(|_, member| now.saturating_sub(member.last_seen) < EXPIRY_TIMEOUT);
    }

    /// Routers that are alive, sorted by id.
    pub fn alive(&self, now: Millis) -> Vec<&Member> {
        let mut alive: Vec<&Member> =
            self.members.values().filter(|member| now.saturating_sub(member.last_seen) < ALIVE_TIMEOUT).collect();
        alive.sort_by(|a, b| a.id.cmp(&b.id));
        alive
    }

    /// All known routers.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Addresses of the routers with which a router in `domain` exchanges states in the next round.
    pub fn sample_partners(&self, domain: &DomainId, rng: &mut impl Rng) -> Vec<SocketAddr> {
        if self.members.len() <= EXCHANGE_FANOUT {
            return self.members.values().map(|member| member.address).collect();
        }
        let addresses = |is_near: bool| {
            self.members
                .values()
                .filter(move |member| (member.domain == *domain) == is_near)
                .map(|member| member.address)
        };
        let mut partners = addresses(true).sample(rng, EXCHANGE_FANOUT - REMOTE_EXCHANGES);
        let remote = addresses(false).sample(rng, EXCHANGE_FANOUT - partners.len());
        partners.extend(remote);
        partners
    }

    /// Number of routers that share limits, including this one; at least `min`.
    pub fn limit_sharers(&self, now: Millis, min: usize) -> usize {
        let others = self.members.values().filter(|member| now.saturating_sub(member.last_seen) < LIMIT_SHARE_GRACE);
        (others.count() + 1).max(min)
    }

    /// Routers that watch the store on behalf of the fleet. They are selected by the hash of their id, from as many
    /// failure domains as possible, so that all routers that know the same members select the same watchers. `own` is
    /// this router.
    pub fn watchers(&self, own: &Member, now: Millis) -> Vec<Member> {
        let mut candidates: Vec<&Member> = self.alive(now).into_iter().filter(|member| !member.leaving).collect();
        if !own.leaving {
            candidates.push(own);
        }
        candidates.sort_by_key(|member| stable_hash(&[member.id.as_str()]));
        let count = (candidates.len().div_ceil(ROUTERS_PER_WATCHER) + 1).max(MIN_WATCHERS);
        let mut watchers: Vec<Member> = Vec::with_capacity(count);
        for may_share_domain in [false, true] {
            for member in &candidates {
                let is_selected = watchers.iter().any(|watcher| watcher.id == member.id);
                let shares_domain = watchers.iter().any(|watcher| watcher.domain == member.domain);
                if watchers.len() < count && !is_selected && (may_share_domain || !shares_domain) {
                    watchers.push((*member).clone());
                }
            }
        }
        watchers
    }

    /// The `count` routers from which `own` gets copies of the store's objects: watchers, or, if the store rejects the calls of
    /// `own`, routers that reach the store, watchers among them first. Without such routers, any others may know more. Each
    /// router prefers others, by hash, so that the load spreads.
    pub fn sources(&self, own: &Member, now: Millis, is_rejected: bool, count: usize) -> Vec<Member> {
        let watchers = self.watchers(own, now);
        let is_watcher = |member: &Member| watchers.iter().any(|watcher| watcher.id == member.id);
        let mut sources: Vec<Member> = if is_rejected {
            self.alive(now).into_iter().cloned().collect()
        } else {
            watchers.iter().filter(|watcher| watcher.id != own.id).cloned().collect()
        };
        let rank =
            |member: &Member| if is_rejected { (!member.reaches_store, !is_watcher(member)) } else { (false, false) };
        sources.sort_by_cached_key(|member| (rank(member), stable_hash(&[own.id.as_str(), member.id.as_str()])));
        sources.truncate(count);
        sources
    }
}
