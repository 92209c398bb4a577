//! Counters of answers, reported as running totals by each router incarnation.
//!
//! Totals are merged by maximum, so that repeated, reordered and lost reports do not distort them
//! and a restarted router, which counts from zero under a new incarnation, adds to them. This is a
//! state-based grow-only counter (Baquero and Moura, "Specification of Convergent Abstract Data
//! Types for Autonomous Mobile Computing", 1997, component IncNat).

use std::hash::Hash;

use crate::{
    hash::HashMap,
    id::{Incarnation, ModelName, VersionName},
};

/// What came of the answers of one version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Answers, failed ones included.
    pub answers: u64,
    /// Answers that the backend server failed.
    pub errors: u64,
    /// Answers whose first token came too late.
    pub slow: u64,
    /// Answers that were rated.
    pub rated: u64,
    /// Answers that were rated low.
    pub rated_low: u64,
}

impl Counters {
    /// The larger value of each counter.
    pub fn max(self, other: Self) -> Self {
        self.zip(other, u64::max)
    }

    /// The sum of each counter.
    pub fn plus(self, other: Self) -> Self {
        self.zip(other, u64::saturating_add)
    }

    /// What came on top of `earlier`; zero where a counter is not larger.
    pub fn since(self, earlier: Self) -> Self {
        self.zip(earlier, u64::saturating_sub)
    }

    fn zip(self, other: Self, f: impl Fn(u64, u64) -> u64) -> Self {
        Self {
            answers: f(self.answers, other.answers),
            errors: f(self.errors, other.errors),
            slow: f(self.slow, other.slow),
            rated: f(self.rated, other.rated),
            rated_low: f(self.rated_low, other.rated_low),
        }
    }
}

/// Totals of all reporters, by version of what `P` names: a model, or a service of its own versions.
#[derive(Clone, Debug)]
pub struct MergedCounters<P = ModelName> {
    versions: HashMap<(P, VersionName), HashMap<Incarnation, Counters>>,
}

impl<P> Default for MergedCounters<P> {
    fn default() -> Self {
        Self { versions: HashMap::default() }
    }
}

impl<P: Clone + Eq + Hash> MergedCounters<P> {
    /// Takes in the running totals of one reporter.
    pub fn merge(&mut self, of: &P, version: &VersionName, reporter: Incarnation, counters: Counters) {
        let reporters = self.versions.entry((of.clone(), version.clone())).or_default();
        let known = reporters.entry(reporter).or_default();
        *known = known.max(counters);
    }

    /// Sum over all reporters.
    pub fn totals(&self, of: &P, version: &VersionName) -> Counters {
        let reporters = self.versions.get(&(of.clone(), version.clone()));
        reporters.into_iter().flat_map(HashMap::values).fold(Counters::default(), |sum, counters| sum.plus(*counters))
    }

    /// Every reporter's totals.
    pub fn reports(&self) -> impl Iterator<Item = (&P, &VersionName, Incarnation, Counters)> {
        self.versions.iter().flat_map(|((of, version), reporters)| {
            reporters.iter().map(move |(reporter, counters)| (of, version, *reporter, *counters))
        })
    }

    /// Forgets versions for which `keep` is false.
    pub fn retain(&mut self, mut keep: impl FnMut(&P, &VersionName) -> bool) {
        self.versions.retain(|(of, version), _| keep(of, version));
    }

    /// Number of (version, reporter) pairs held.
    pub fn len(&self) -> usize {
        self.versions.values().map(HashMap::len).sum()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.versions.is_empty()
    }
}
