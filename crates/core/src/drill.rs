//! What stays in force when the store comes back from an older copy.
//!
//! The pattern: a key was revoked, a server has left, a failure domain was evacuated, a version was ordered, and the copy is from
//! before that. What the operators and the servers wrote since is written again, but some time passes until then. A router that
//! follows the copy at once would undo it all for that time. So what was known stays in force where it forbids more than the
//! copy, until it is written again, or for a limited time if it is not.

use std::collections::BTreeMap;

use compact_str::CompactString;

use crate::{
    backend::Backend,
    canary::{Order, OrderState},
    hash::HashMap,
    id::{BackendId, Revision},
    place::Place,
    unit::Millis,
};

/// Time after the return of the store for which orders, evacuations and the state of servers stay in force without being written
/// again.
pub const RETAIN_TIME: Millis = Millis(30_000);
/// The same for a server that had left, which the copy lists. An entry that nobody renews lapses sooner.
pub const RETAIN_GONE_TIME: Millis = Millis(10_000);
/// Time for which it is remembered that a server has left.
const GONE_EXPIRY: Millis = Millis(60_000);
/// Maximum number of servers of which it is remembered that they have left. The first ones are forgotten first.
const MAX_GONE: usize = 1_024;

/// Whether a configuration of version `known` stays in force, whether or not the copy has one, of version `listed`.
pub fn config_outlives(known: Revision, listed: Option<Revision>) -> bool {
    listed.is_none_or(|listed| listed < known)
}

/// Whether what was known of a server stays in force: it drained, was colder, or has started again since the copy was made.
pub fn server_outlives(known: &Backend, listed: &Backend) -> bool {
    if known.started_at != listed.started_at {
        return known.started_at > listed.started_at;
    }
    known.draining && !listed.draining || known.cold_remaining > listed.cold_remaining
}

/// Whether an order stays in force although the copy has none, or `listed`. One for another version that was taken up before
/// the copy was made is older than `known`; one that nobody has taken up is new.
pub fn order_outlives(known: &Order, listed: Option<&Order>) -> bool {
    listed.is_none_or(|listed| listed.target != known.target && listed.state != OrderState::New)
}

/// Servers that are known to have left: they were removed from the list, and no outage explains it.
#[derive(Debug, Default)]
pub struct GoneServers {
    /// Start of the last incarnation that left, and the time at which it did.
    servers: HashMap<BackendId, (u64, Millis)>,
}

impl GoneServers {
    /// Records that `backend` has left at `now`.
    pub fn record(&mut self, now: Millis, backend: &Backend) {
        self.servers.retain(|_, (_, at)| now.saturating_sub(*at) < GONE_EXPIRY);
        if self.servers.len() >= MAX_GONE {
            let first = self.servers.iter().min_by_key(|(_, (_, at))| *at).map(|(id, _)| id.clone());
            first.map(|id| self.servers.remove(&id));
        }
        self.servers.insert(backend.id.clone(), (backend.started_at, now));
    }

    /// Records that the server is listed again, and not merely by an older copy.
    pub fn remove(&mut self, id: &BackendId) {
        self.servers.remove(id);
    }

    /// Whether `listed`, or a later incarnation under its id, has left.
    pub fn contains(&self, now: Millis, listed: &Backend) -> bool {
        let gone = self.servers.get(&listed.id);
        gone.is_some_and(|(started_at, at)| listed.started_at <= *started_at && now.saturating_sub(*at) < GONE_EXPIRY)
    }
}

/// What stays in force of one object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Retained<T> {
    /// The object as it was known; none if it was known to be gone.
    pub object: Option<T>,
    /// Place up to which that was known, in an earlier era.
    pub place: Place,
    /// First place that was seen of the new era. What was written later replaces what is retained.
    pub first_seen: Place,
    /// Whether the older copy has an object of this name.
    pub was_listed: bool,
    /// Time until which it stays in force if it is not written again; none if it stays until it is removed.
    pub until: Option<Millis>,
}

/// What stays in force of the objects of one kind, by name.
#[derive(Debug)]
pub struct RetainedObjects<T> {
    objects: BTreeMap<CompactString, Retained<T>>,
}

impl<T> Default for RetainedObjects<T> {
    fn default() -> Self {
        Self { objects: BTreeMap::new() }
    }
}

impl<T> RetainedObjects<T> {
    /// What is retained under `name`.
    pub fn get(&self, name: &str) -> Option<&Retained<T>> {
        self.objects.get(name)
    }

    /// All, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&CompactString, &Retained<T>)> {
        self.objects.iter()
    }

    /// Whether nothing is retained.
    pub fn is_empty(&self) -> bool {
        self.objects.is_empty()
    }

    /// Retains an object, unless more recent knowledge of it is retained. `listed` is the place of the object of that name in
    /// the copy, if there is one. Returns whether anything changed.
    pub fn insert(&mut self, name: CompactString, retained: Retained<T>, listed: Option<Place>) -> bool {
        let is_known = self.objects.get(&name).is_some_and(|known| known.place >= retained.place);
        if is_known || is_written_again(&retained, listed) {
            return false;
        }
        self.objects.insert(name, retained);
        true
    }

    /// Drops what has been written again. `listed` returns the place of an object in the copy, if there is one. Returns whether
    /// anything was dropped.
    pub fn drop_written(&mut self, listed: impl Fn(&str) -> Option<Place>) -> bool {
        let before = self.objects.len();
        self.objects.retain(|name, retained| !is_written_again(retained, listed(name)));
        self.objects.len() < before
    }

    /// Drops what was not written again in time, and returns the names.
    pub fn expire(&mut self, now: Millis) -> Vec<CompactString> {
        let is_expired = |retained: &Retained<T>| retained.until.is_some_and(|until| until <= now);
        let expired = self.objects.iter().filter(|(_, retained)| is_expired(retained));
        let expired: Vec<CompactString> = expired.map(|(name, _)| name.clone()).collect();
        self.objects.retain(|_, retained| !is_expired(retained));
        expired
    }

    /// Removes what is retained under `name`.
    pub fn remove(&mut self, name: &str) {
        self.objects.remove(name);
    }
}

/// Whether the object was written, or deleted, since the new era was first seen, and that ends its time.
fn is_written_again<T>(retained: &Retained<T>, listed: Option<Place>) -> bool {
    match listed {
        _ if retained.until.is_none() => false,
        Some(place) => place > retained.first_seen,
        None => retained.was_listed,
    }
}
