//! Places in the history of the store.
//!
//! The pattern: the store comes back from a copy that is some seconds old, and gives out again the revisions after it. What
//! it had acknowledged under them is gone, and what is written now gets the same numbers. A revision alone therefore does not
//! tell which of two states is the newer one. Each return starts a new era, which the store names in all its responses; two
//! states compare by their era first.

use std::fmt;

use crate::{id::Era, unit::Millis};

/// Largest rise of the era that counts. Each drill raises it by one, so a larger rise can only be a mistake, and it would make
/// all later responses look old.
const MAX_RISE: u64 = 1_000;

/// A place in the history of the store: a revision, and the era in which the store gave it out. A later place has a higher era
/// or, in the same era, a higher revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Place {
    // The order of the fields is that of the comparison.
    era: Era,
    revision: u64,
}

impl Place {
    /// The place of `revision` in `era`.
    pub const fn new(era: Era, revision: u64) -> Self {
        Self { era, revision }
    }

    /// The era.
    pub const fn era(self) -> Era {
        self.era
    }

    /// The revision, for the wire and for logs. Only together with the era does it tell what is newer.
    pub const fn revision(self) -> u64 {
        self.revision
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.revision)
    }
}

/// What the era of a response or of another router's report shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraFinding {
    /// It is the current era, as far as is known.
    Current,
    /// It is the first era that this router learns.
    First,
    /// The store has come back from an older copy since. Holds the era that was known before.
    Risen(Era),
    /// The response or report is from before the store came back, so that it tells nothing about the store now.
    Late,
    /// The era is too high to be true.
    Implausible,
}

/// The highest era that a router has learned from responses of the store and from other routers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EraClock {
    known: Option<Era>,
    /// Time at which the era was seen to rise, here or at another router; none if no router is known to have seen it.
    risen_at: Option<Millis>,
}

impl EraClock {
    /// The highest era; the lowest of all before the first one is learned.
    pub fn era(&self) -> Era {
        self.known.unwrap_or_default()
    }

    /// Time at which the era was seen to rise; none if no router is known to have seen it.
    pub fn risen_at(&self) -> Option<Millis> {
        self.risen_at
    }

    /// Records that a response at `now` is of `era`, or that another router knows it.
    pub fn observe(&mut self, era: Era, now: Millis) -> EraFinding {
        let Some(known) = self.known else {
            self.known = Some(era);
            return EraFinding::First;
        };
        if era <= known {
            return if era == known { EraFinding::Current } else { EraFinding::Late };
        }
        if era.0 - known.0 > MAX_RISE {
            return EraFinding::Implausible;
        }
        *self = Self { known: Some(era), risen_at: Some(now) };
        EraFinding::Risen(known)
    }

    /// Records that another router saw the current era rise at `at`. The earliest time counts.
    pub fn merge_rise(&mut self, era: Era, at: Millis) {
        if self.known == Some(era) {
            self.risen_at = Some(self.risen_at.map_or(at, |known| known.min(at)));
        }
    }
}
