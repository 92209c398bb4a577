//! A router's copy of the store's objects of one kind.
//!
//! The pattern: lists, watches and other routers' copies arrive late, twice and out of order, and the store comes back from an older
//! copy in between. A copy only moves to a later place, whichever way a state arrives, and a state of another era replaces all of it.

use std::collections::BTreeMap;

use compact_str::CompactString;

use crate::{
    drill::{Retained, RetainedObjects},
    hash::HashSet,
    place::Place,
};

/// An object of the store.
pub trait StoreObject: Clone + PartialEq {
    /// Name within the kind.
    fn name(&self) -> &CompactString;

    /// Place of its last change.
    fn place(&self) -> Place;
}

/// Change of one object.
#[derive(Clone, Debug, PartialEq)]
pub struct Change<T> {
    /// The object after the change, or its last state if it was deleted.
    pub object: T,
    /// Whether the object was deleted.
    pub deleted: bool,
}

/// Another router's copy, as it reports it.
#[derive(Clone, Debug)]
pub struct PeerCopy<T> {
    /// Place that the copy corresponds to.
    pub place: Place,
    /// Place at which it last changed, in the same era.
    pub changed: Place,
    /// What this router's copy lacked when it asked; none if it lacked nothing, or if the objects are left out.
    pub lacking: Option<Lacking<T>>,
}

/// Objects that a copy lacks.
#[derive(Clone, Debug)]
pub struct Lacking<T> {
    /// Objects that have changed since, all of them in another era.
    pub objects: Vec<T>,
    /// Names of all objects of the other copy.
    pub names: Vec<String>,
}

/// What another router's copy did to that of this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// Its objects have replaced those of this router.
    Changed,
    /// The two hold the same, so a confirmation of the other one counts for this one.
    Same,
    /// It is older, or lacks objects that it has not sent.
    Ignored,
}

/// What a copy of an earlier era held.
#[derive(Clone, Debug, PartialEq)]
pub struct Superseded<T> {
    /// Last place of that copy.
    pub place: Place,
    /// Objects that were in force, by name.
    pub objects: BTreeMap<CompactString, T>,
}

/// Copy of all objects of one kind.
#[derive(Debug)]
pub struct StoreCopy<T> {
    /// Objects of the store by name.
    listed: BTreeMap<CompactString, T>,
    /// What stays in force of earlier eras in place of the store's objects.
    retained: RetainedObjects<T>,
    /// What was in force before the era rose, until it is decided what stays so.
    superseded: Option<Superseded<T>>,
    /// First place of the present era that the copy had.
    era_start: Place,
    /// Place of the store that the copy corresponds to; none before the first read.
    place: Option<Place>,
    /// Place of the store at which the copy last changed, in the same era.
    changed: Place,
}

impl<T> Default for StoreCopy<T> {
    fn default() -> Self {
        Self {
            listed: BTreeMap::new(),
            retained: RetainedObjects::default(),
            superseded: None,
            era_start: Place::default(),
            place: None,
            changed: Place::default(),
        }
    }
}

impl<T: StoreObject> StoreCopy<T> {
    /// Place of the store that the copy corresponds to; none before the first read.
    pub fn place(&self) -> Option<Place> {
        self.place
    }

    /// Place of the store at which the copy last changed, in the same era.
    pub fn changed(&self) -> Place {
        self.changed
    }

    /// First place of the present era that the copy had.
    pub fn era_start(&self) -> Place {
        self.era_start
    }

    /// All objects in force: those of the store, and what stays in force of earlier eras in their place.
    pub fn objects(&self) -> impl Iterator<Item = &T> {
        let listed = self.listed.iter().filter(|(name, _)| self.retained.get(name).is_none());
        let retained = self.retained.iter().filter_map(|(_, retained)| retained.object.as_ref());
        listed.map(|(_, object)| object).chain(retained)
    }

    /// All objects of the store, by name.
    pub fn listed(&self) -> impl Iterator<Item = &T> {
        self.listed.values()
    }

    /// The store's object with the name `name`.
    pub fn get_listed(&self, name: &str) -> Option<&T> {
        self.listed.get(name)
    }

    /// The store's objects that have changed after `place`; all of them if that is of another era.
    pub fn changed_since(&self, place: Place) -> Vec<&T> {
        self.listed.values().filter(|object| object.place() > place).collect()
    }

    /// What stays in force of earlier eras.
    pub fn retained(&self) -> &RetainedObjects<T> {
        &self.retained
    }

    /// The same, to change it.
    pub fn retained_mut(&mut self) -> &mut RetainedObjects<T> {
        &mut self.retained
    }

    /// Retains an object unless it has been written again. Returns whether that changed anything.
    pub fn retain(&mut self, name: CompactString, retained: Retained<T>) -> bool {
        let listed = self.listed.get(&name).map(StoreObject::place);
        self.retained.insert(name, retained, listed)
    }

    /// What was in force before the era rose, the first time after that.
    pub fn take_superseded(&mut self) -> Option<Superseded<T>> {
        self.superseded.take()
    }

    /// Replaces all objects by a list at `place`. Returns whether it did: an older list than the copy changes nothing.
    pub fn replace(&mut self, objects: Vec<T>, place: Place) -> bool {
        if self.place.is_some_and(|known| known > place) {
            return false;
        }
        let objects = objects.into_iter().map(|object| (object.name().clone(), object)).collect();
        if self.begin_era(place) || self.listed != objects {
            self.changed = place;
        }
        self.listed = objects;
        self.set_place(place);
        true
    }

    /// Applies the changes of a watch up to `place`. Returns whether it counts: one of another era than the copy does not. A copy
    /// that is later meanwhile has the changes already, and what became of them since.
    pub fn apply_changes(&mut self, changes: Vec<Change<T>>, place: Place) -> bool {
        let Some(known) = self.place.filter(|known| known.era() == place.era()) else { return false };
        if place <= known {
            return true;
        }
        if !changes.is_empty() {
            self.changed = self.changed.max(place);
        }
        for Change { object, deleted } in changes {
            if self.listed.get(object.name()).is_some_and(|known| known.place() > object.place()) {
                continue;
            }
            if deleted {
                self.listed.remove(object.name());
            } else {
                self.listed.insert(object.name().clone(), object);
            }
        }
        self.set_place(place);
        true
    }

    /// Merges another router's copy, unless this one is newer.
    pub fn merge(&mut self, peer: PeerCopy<T>) -> MergeOutcome {
        if self.place.is_some_and(|known| known > peer.place) {
            return MergeOutcome::Ignored;
        }
        let Some(Lacking { objects, names }) = peer.lacking else {
            if self.place.is_none() || self.changed < peer.changed {
                return MergeOutcome::Ignored;
            }
            self.set_place(peer.place);
            return MergeOutcome::Same;
        };
        let names: HashSet<&str> = names.iter().map(String::as_str).collect();
        self.begin_era(peer.place);
        self.listed.retain(|name, _| names.contains(name.as_str()));
        self.listed.extend(objects.into_iter().map(|object| (object.name().clone(), object)));
        self.changed = self.changed.max(peer.changed);
        self.set_place(peer.place);
        MergeOutcome::Changed
    }

    /// Begins a new era if `place` is the first one of it, and returns whether it is.
    fn begin_era(&mut self, place: Place) -> bool {
        let is_new_era = self.place.is_none_or(|known| known.era() != place.era());
        if is_new_era {
            let by_name = |object: &T| (object.name().clone(), object.clone());
            self.superseded =
                self.place.map(|place| Superseded { place, objects: self.objects().map(by_name).collect() });
            self.era_start = place;
            self.listed.clear();
        }
        is_new_era
    }

    /// Records that the store's objects are those at `place`, and drops what is retained and has been written again.
    fn set_place(&mut self, place: Place) {
        self.place = self.place.max(Some(place));
        let listed = &self.listed;
        self.retained.drop_written(|name| listed.get(name).map(StoreObject::place));
    }
}
