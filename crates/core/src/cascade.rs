//! Selects the model for a request of a class, so that the expected quality meets the target at the lowest
//! expected cost.
//!
//! The cheapest way to meet a target on average is often a mix of two models, one below the target and one
//! above it. The confidence bound applies to the mix as a whole, including the requests for exploration. With
//! a bound for each model, the cost was 1.3 to 1.8 times that of an oracle where a mix was needed, and with
//! exploration in addition to the mix, the quality missed the target.

use crate::quality::{KNOWN_DEVIATION, QualityEstimate};

/// Shares of requests for exploration of models with uncertain quality, in decreasing order. The first share
/// with which the target can still be met is used.
const EXPLORE_SHARES: [f64; 4] = [0.05, 0.02, 0.005, 0.0];
/// Share of requests for exploration while no mix meets the target, so that the estimates can still change.
const MIN_EXPLORE_SHARE: f64 = 0.005;
/// Number of standard deviations by which the expected quality of a mix must exceed the target (one-sided 90%).
const CONFIDENCE_Z: f64 = 1.282;
/// Number of standard deviations by which exploration assumes a model to be better than its mean.
const OPTIMISM_Z: f64 = 2.0;
/// Bisection steps in the search for the share of the stronger model of a pair; resolves 2^-12 of the requests.
const BISECTIONS: u32 = 12;

/// A model that could serve the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Expected cost of the request at this model, in micros.
    pub cost: f64,
    /// Estimated quality of the model.
    pub quality: QualityEstimate,
}

/// Returns the share of requests for each candidate, in their order. The shares sum to 1, and there are none
/// if there are no candidates.
pub fn request_shares(candidates: &[Candidate], target: f64) -> Vec<f64> {
    let Some(strongest) = strongest_candidate(candidates) else { return Vec::new() };
    let to_explore = candidates_to_explore(candidates, target);
    for explore_share in EXPLORE_SHARES {
        let explored = even_shares(candidates.len(), &to_explore, explore_share);
        if let Some(shares) = cheapest_mix(candidates, &explored, |mix| meets_target(candidates, mix, target)) {
            return shares;
        }
    }
    let mut shares = even_shares(candidates.len(), &to_explore, MIN_EXPLORE_SHARE);
    shares[strongest] += 1.0 - shares.iter().sum::<f64>();
    shares
}

/// Returns the indices of all candidates in the order in which to try them: first the one that `draw` (uniform
/// from 0 to 1) selects, then those with at least its expected quality, then the others. Both groups are
/// ordered by increasing cost.
pub fn candidate_order(candidates: &[Candidate], target: f64, draw: f64) -> Vec<usize> {
    let mut sum = 0.0;
    let first = request_shares(candidates, target).iter().position(|share| {
        sum += share;
        draw < sum
    });
    let Some(first) = first.or_else(|| candidates.len().checked_sub(1)) else { return Vec::new() };
    let quality = candidates[first].quality.mean();
    let mut order: Vec<usize> = (0..candidates.len()).filter(|&i| i != first).collect();
    order.sort_by(|&a, &b| {
        let is_weaker = |i: usize| candidates[i].quality.mean() < quality;
        is_weaker(a).cmp(&is_weaker(b)).then(candidates[a].cost.total_cmp(&candidates[b].cost))
    });
    order.insert(0, first);
    order
}

/// Index of the candidate with the highest expected quality, and of equal ones the cheapest.
fn strongest_candidate(candidates: &[Candidate]) -> Option<usize> {
    (0..candidates.len()).max_by(|&a, &b| {
        let (a, b) = (&candidates[a], &candidates[b]);
        a.quality.mean().total_cmp(&b.quality.mean()).then(b.cost.total_cmp(&a.cost))
    })
}

/// Whether the expected quality of a mix meets the target with a margin of `CONFIDENCE_Z` standard deviations.
fn meets_target(candidates: &[Candidate], mix: &[f64], target: f64) -> bool {
    let mean: f64 = mix.iter().zip(candidates).map(|(share, c)| share * c.quality.mean()).sum();
    let variance: f64 = mix.iter().zip(candidates).map(|(share, c)| share * share * c.quality.variance()).sum();
    mean - CONFIDENCE_Z * variance.sqrt() >= target
}

/// The cheapest acceptable mix that adds one or two candidates to the `fixed` shares; none if no mix is acceptable.
fn cheapest_mix(candidates: &[Candidate], fixed: &[f64], acceptable: impl Fn(&[f64]) -> bool) -> Option<Vec<f64>> {
    let remaining = 1.0 - fixed.iter().sum::<f64>();
    let mix = |strong: usize, weak: usize, share: f64| {
        let mut mix = fixed.to_vec();
        mix[strong] += remaining * share;
        mix[weak] += remaining * (1.0 - share);
        mix
    };
    let cost = |mix: &[f64]| mix.iter().zip(candidates).map(|(share, c)| share * c.cost).sum::<f64>();
    let mut best: Option<Vec<f64>> = None;
    for strong in (0..candidates.len()).filter(|&strong| acceptable(&mix(strong, strong, 1.0))) {
        for weak in (0..candidates.len()).filter(|&weak| candidates[weak].cost <= candidates[strong].cost) {
            let pair = mix(strong, weak, min_share(|share| acceptable(&mix(strong, weak, share))));
            if best.as_ref().is_none_or(|best| cost(&pair) < cost(best)) {
                best = Some(pair);
            }
        }
    }
    best
}

/// The smallest acceptable share from 0 to 1. A share of 1 must be acceptable.
fn min_share(acceptable: impl Fn(f64) -> bool) -> f64 {
    if acceptable(0.0) {
        return 0.0;
    }
    let (mut low, mut high) = (0.0, 1.0);
    for _ in 0..BISECTIONS {
        let middle = (low + high) / 2.0;
        if acceptable(middle) {
            high = middle;
        } else {
            low = middle;
        }
    }
    high
}

/// Indices of the candidates with uncertain quality that the cheapest mix would use if all candidates were
/// `OPTIMISM_Z` standard deviations better than expected.
fn candidates_to_explore(candidates: &[Candidate], target: f64) -> Vec<usize> {
    let optimistic = |c: &Candidate| (c.quality.mean() + OPTIMISM_Z * c.quality.variance().sqrt()).min(1.0);
    let acceptable =
        |mix: &[f64]| mix.iter().zip(candidates).map(|(share, c)| share * optimistic(c)).sum::<f64>() >= target;
    let mix = cheapest_mix(candidates, &vec![0.0; candidates.len()], acceptable).unwrap_or_default();
    let is_uncertain = |i: usize| candidates[i].quality.variance().sqrt() > KNOWN_DEVIATION;
    (0..mix.len()).filter(|&i| mix[i] > 0.0 && is_uncertain(i)).collect()
}

/// Shares of `len` candidates when `share` is split evenly between those with the indices `selected`.
fn even_shares(len: usize, selected: &[usize], share: f64) -> Vec<f64> {
    let mut shares = vec![0.0; len];
    for &i in selected {
        shares[i] = share / selected.len() as f64;
    }
    shares
}
