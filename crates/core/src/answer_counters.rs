//! Counters of answers, which each router incarnation reports as running totals.
//!
//! The totals of a reporter are merged by their maximum, so that repeated, reordered and lost reports do not distort
//! them. A restarted router counts from zero under a new incarnation and so adds to the sum over all reporters. This
//! is a state-based grow-only counter (Baquero and Moura, "Specification of Convergent Abstract Data Types for
//! Autonomous Mobile Computing", 1997, component IncNat).

use std::hash::Hash;

use crate::{
    hash::HashMap,
    id::{Incarnation, ModelName, VersionName},
};

/// Counters of the answers of one version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Number of answers, including failed ones.
    pub answers: u64,
    /// Number of answers that failed at the backend server.
    pub errors: u64,
    /// Number of answers whose first token came too late.
    pub slow: u64,
    /// Number of answers whose pace was sampled.
    pub paced: u64,
    /// Number of these that were generated slowly.
    pub slow_paced: u64,
    /// Number of rated answers.
    pub rated: u64,
    /// Number of answers with a low rating.
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

    /// The increase of each counter since `earlier`; zero for a counter that is not larger.
    pub fn since(self, earlier: Self) -> Self {
        self.zip(earlier, u64::saturating_sub)
    }

    fn zip(self, other: Self, f: impl Fn(u64, u64) -> u64) -> Self {
        Self {
            answers: f(self.answers, other.answers),
            errors: f(self.errors, other.errors),
            slow: f(self.slow, other.slow),
            paced: f(self.paced, other.paced),
            slow_paced: f(self.slow_paced, other.slow_paced),
            rated: f(self.rated, other.rated),
            rated_low: f(self.rated_low, other.rated_low),
        }
    }
}

/// Totals of all reporters by name and version. `P` is the type of the name: that of a model, or that of a service
/// whose servers have versions.
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
    /// Merges the running totals of one reporter.
    pub fn merge(&mut self, name: &P, version: &VersionName, reporter: Incarnation, counters: Counters) {
        let reporters = self.versions.entry((name.clone(), version.clone())).or_default();
        let totals = reporters.entry(reporter).or_default();
        *totals = totals.max(counters);
    }

    /// Sum of the totals of all reporters.
    pub fn totals(&self, name: &P, version: &VersionName) -> Counters {
        let reporters = self.versions.get(&(name.clone(), version.clone()));
        reporters.into_iter().flat_map(HashMap::values).fold(Counters::default(), |sum, counters| sum.plus(*counters))
    }

    /// Totals of each reporter.
    pub fn reports(&self) -> impl Iterator<Item = (&P, &VersionName, Incarnation, Counters)> {
        self.versions.iter().flat_map(|((name, version), reporters)| {
            reporters.iter().map(move |(reporter, counters)| (name, version, *reporter, *counters))
        })
    }

    /// Removes versions for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&P, &VersionName) -> bool) {
        self.versions.retain(|(name, version), _| keep(name, version));
    }

    /// Number of stored (version, reporter) pairs.
    pub fn len(&self) -> usize {
        self.versions.values().map(HashMap::len).sum()
    }

    /// Whether no versions are stored.
    pub fn is_empty(&self) -> bool {
        self.versions.is_empty()
    }
}
