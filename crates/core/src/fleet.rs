//! The routers that serve callers, as one of them knows them: who is alive, and how many share a limit.

use std::net::SocketAddr;

use crate::{
    hash::HashMap,
    id::{HostId, Incarnation},
    unit::Millis,
};

/// Silence after which a router no longer counts as alive.
pub const ALIVE_FOR: Millis = Millis(2_500);
/// Silence after which a router is forgotten.
const FORGET_AFTER: Millis = Millis(20_000);
/// Time for which a limit is still shared with routers that have gone silent, since they may only be cut off.
const SHARED_FOR: Millis = Millis(8_000);

/// A router as last heard of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its host.
    pub id: HostId,
    /// Address for other routers.
    pub address: SocketAddr,
    /// Start of its process.
    pub incarnation: Incarnation,
    /// When it was last heard of, directly or through others.
    pub heard: Millis,
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
    pub fn hear(&mut self, member: Member) {
        match self.members.get_mut(&member.id) {
            Some(known) if known.heard >= member.heard => {}
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
    pub fn trim(&mut self, now: Millis) {
        self.members.retain(|_, member| now.saturating_sub(member.heard) < FORGET_AFTER);
    }

    /// Routers that are alive, by id.
    pub fn alive(&self, now: Millis) -> Vec<&Member> {
        let mut alive: Vec<&Member> =
            self.members.values().filter(|member| now.saturating_sub(member.heard) < ALIVE_FOR).collect();
        alive.sort_by(|a, b| a.id.cmp(&b.id));
        alive
    }

    /// All routers that are known.
    pub fn known(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Routers among which limits are shared, this one included; at least `least`.
    pub fn sharing(&self, now: Millis, least: usize) -> usize {
        let sharing = self.members.values().filter(|member| now.saturating_sub(member.heard) < SHARED_FOR);
        (sharing.count() + 1).max(least)
    }
}
