//! Time at which a router's copy of the configuration was last confirmed to be current.
//!
//! A revoked key must stop working everywhere within a time limit, also at a router that can't be notified. So a router
//! serves keyed requests only if its copy was confirmed recently. All times come from a clock that keeps running while
//! the machine is suspended.

use crate::{place::Place, unit::Millis};

/// Maximum time for which a watch of the store may have missed a change before the store ends the watch.
pub const MAX_WATCH_DELAY: Millis = Millis(1_100);

/// Longest time for which a gateway that follows another one may wait for a reply while nothing changes.
pub const MAX_FOLLOW_WAIT: Millis = Millis(500);
/// Time that responses may take in addition to the waits of a watch and of a follow request.
const SOURCE_MARGIN: Millis = Millis(300);

/// Age of the store's last response up to which a copy counts as kept current, for watches that wait `watch_wait`. It
/// covers one wait of the watcher and one of its follower. A router whose copy is older calls the store itself, so a
/// router that reaches the store is never behind by more than this and the time of a list.
pub fn max_source_age(watch_wait: Millis) -> Millis {
    watch_wait + MAX_FOLLOW_WAIT + SOURCE_MARGIN
}

/// A value that was derived from a copy, with the last confirmation that counts for it.
///
/// Two patterns: while one thread decodes a changed copy, which is already confirmed, another one reads the old value and
/// takes the confirmation for its own. Or the store comes back from an older copy, and a list confirms what it holds, which is
/// less than the value. In both cases a key would be served that a change has revoked. Therefore value and confirmation are
/// read together, and a confirmation counts only if the value was derived from the confirmed state of the copy, or from a later
/// one in the same era.
#[derive(Clone, Debug)]
pub struct Confirmed<T> {
    value: T,
    /// Place at which the copy that the value was derived from last changed.
    place: Place,
    confirmation: Confirmation,
}

/// What a changed copy holds in comparison with the value in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer<T> {
    /// A newer value.
    Newer(T),
    /// The same value.
    Same,
    /// An older value, one that can't be used, or none.
    Worse,
}

impl<T> Confirmed<T> {
    /// A value that was derived from a copy that last changed at `place`, not confirmed yet.
    pub fn new(value: T, place: Place) -> Self {
        Self { value, place, confirmation: Confirmation::default() }
    }

    /// The value.
    pub fn value(&self) -> &T {
        &self.value
    }

    /// Records that the copy holds `value` since it changed at `place`; none if it holds none that can be used. Values compare by
    /// their version. Returns what the value was in comparison with the one in force.
    pub fn offer_value<V: Ord>(&mut self, value: Option<T>, place: Place, version: impl Fn(&T) -> V) -> Offer<()> {
        let (offer, found) = match value {
            Some(value) if version(&value) > version(&self.value) => (Offer::Newer(value), Offer::Newer(())),
            Some(value) if version(&value) == version(&self.value) => (Offer::Same, Offer::Same),
            Some(_) | None => (Offer::Worse, Offer::Worse),
        };
        self.offer(offer, place);
        found
    }

    /// Records what the copy holds since it changed at `place`.
    ///
    /// A newer value replaces the one in force. The last confirmation still counts: the newer value lacks nothing that it
    /// covers. A worse one leaves the value in force. It stays confirmed by its copy, but not in a new era, in which the copy
    /// may be older than the value: then it must wait until the value, or a newer one, is written again.
    pub fn offer(&mut self, offer: Offer<T>, place: Place) {
        match offer {
            Offer::Newer(value) => (self.value, self.place) = (value, place),
            Offer::Worse if place.era() != self.place.era() => {}
            Offer::Same | Offer::Worse => self.place = self.place.max(place),
        }
    }

    /// Whether a confirmation of a copy that last changed at `place` counts for the value.
    pub fn is_covered_by(&self, place: Place) -> bool {
        self.place.era() == place.era() && self.place >= place
    }

    /// Takes over the confirmation of a copy that last changed at `place`, if it counts for the value.
    pub fn confirm(&mut self, place: Place, confirmation: Confirmation) {
        if let Some(at) = confirmation.at.filter(|_| self.is_covered_by(place)) {
            self.confirmation.confirm_at(at);
        }
    }

    /// Time since the last confirmation that counts; none before the first.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.confirmation.age(now)
    }
}

/// Time at which the copy was last confirmed to be current.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Confirmation {
    at: Option<Millis>,
}

impl Confirmation {
    /// Records that the copy was current at `at`. An earlier time than the last confirmed one changes nothing.
    pub fn confirm_at(&mut self, at: Millis) {
        self.at = self.at.max(Some(at));
    }

    /// Records the response to a read that was sent at `sent`.
    pub fn confirm_by_read(&mut self, sent: Millis) {
        self.confirm_at(sent);
    }

    /// Records the end of a watch that was sent at `sent` and waited for `waited`.
    pub fn confirm_by_watch(&mut self, sent: Millis, waited: Millis) {
        self.confirm_at((sent + waited).saturating_sub(MAX_WATCH_DELAY));
    }

    /// Records a peer's report at `reported` that its copy was last confirmed `age` earlier.
    pub fn confirm_by_peer(&mut self, reported: Millis, age: Millis) {
        if age < reported {
            self.confirm_at(reported - age);
        }
    }

    /// Time since the last confirmation; none before the first.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.at.map(|at| now.saturating_sub(at))
    }

    /// Whether the last confirmation is less than `limit` ago.
    pub fn is_fresh(&self, now: Millis, limit: Millis) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}
