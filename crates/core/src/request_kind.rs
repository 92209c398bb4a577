//! Kinds of requests whose answers are counted apart.
//!
//! The pattern is a kind of request of which a part always fails, whatever the version: pooled with the others it hides the
//! failures that a new version adds to them, and a version that fails one kind alone is hidden by the rest.

use crate::{answer_counters::Counters, routing_config::RouteKind};

/// Kind of a request, for counting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// Requests that may be repeated.
    Safe,
    /// Requests that run at most once.
    Unsafe,
    /// Requests for event streams.
    Stream,
}

impl RequestKind {
    /// All kinds, in the order of their indices.
    pub const ALL: [Self; 3] = [Self::Safe, Self::Unsafe, Self::Stream];

    /// Index in messages between routers and in [`CountersByKind`].
    pub fn index(self) -> usize {
        self as usize
    }
}

impl From<RouteKind> for RequestKind {
    fn from(kind: RouteKind) -> Self {
        match kind {
            RouteKind::Safe => Self::Safe,
            RouteKind::Unsafe => Self::Unsafe,
            RouteKind::Stream { .. } => Self::Stream,
        }
    }
}

/// Counters of the answers of one version, for each kind of request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CountersByKind([Counters; RequestKind::ALL.len()]);

impl CountersByKind {
    /// The counters of `kind`.
    pub fn of(&self, kind: RequestKind) -> Counters {
        self.0[kind.index()]
    }

    /// Adds `counters` to those of `kind`.
    pub fn add(&mut self, kind: RequestKind, counters: Counters) {
        self.0[kind.index()] = self.of(kind).plus(counters);
    }

    /// Sum over all kinds.
    pub fn total(&self) -> Counters {
        self.0.iter().fold(Counters::default(), |sum, counters| sum.plus(*counters))
    }
}
