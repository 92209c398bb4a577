//! Choice of the model for a request of a class: the lowest expected cost whose expected quality
//! meets the target.
//!
//! The cheapest way to meet a target on average is often a mix of two models, one under the target
//! and one above it. The confidence bound is taken over the mix as a whole, what is spent on
//! exploration included: bounds taken model by model cost 1.3 to 1.8 of an oracle where a mix was
//! needed, and exploration on top of the mix missed the target.

use crate::quality::{KNOWN_DEVIATION, QualityEstimate};

/// Shares of requests that may go to little known models, tried from the largest; the first with
/// which the target can still be met counts.
const EXPLORE_SHARES: [f64; 4] = [0.05, 0.02, 0.005, 0.0];
/// Share of exploration while no mix meets the target, so that the estimates can still change.
const LEAST_EXPLORE_SHARE: f64 = 0.005;
/// Standard deviations by which the expected quality of a mix must exceed the target (one-sided 90%).
const CONFIDENCE_Z: f64 = 1.282;
/// Standard deviations by which exploration assumes that a model may be better than its mean.
const OPTIMISM_Z: f64 = 2.0;
/// Steps of the search for the share of the stronger model of a pair; 2^-12 of the requests.
const BISECTIONS: u32 = 12;

/// A model that could serve the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Expected cost of the request at this model, in micros.
    pub cost: f64,
    /// What is known of its quality.
    pub quality: QualityEstimate,
}

/// Share of requests for each candidate, in their order; the shares sum to 1 unless there are no
/// candidates.
pub fn request_shares(candidates: &[Candidate], target: f64) -> Vec<f64> {
    let Some(strongest) = strongest(candidates) else { return Vec::new() };
    let promising = promising(candidates, target);
    for explore in EXPLORE_SHARES {
        let explored = spread(candidates.len(), &promising, explore);
        if let Some(shares) = cheapest(candidates, &explored, |mix| meets(candidates, mix, target)) {
            return shares;
        }
    }
    let mut shares = spread(candidates.len(), &promising, LEAST_EXPLORE_SHARE);
    shares[strongest] += 1.0 - shares.iter().sum::<f64>();
    shares
}

/// All candidates in the order in which to try them: first the one that `draw` (uniform from 0 to 1)
/// falls on, then those with higher expected quality, the cheaper ones first, then the others.
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
        let weaker = |i: usize| candidates[i].quality.mean() < quality;
        weaker(a).cmp(&weaker(b)).then(candidates[a].cost.total_cmp(&candidates[b].cost))
    });
    order.insert(0, first);
    order
}

/// The candidate with the highest expected quality; the cheapest one of equals.
fn strongest(candidates: &[Candidate]) -> Option<usize> {
    (0..candidates.len()).max_by(|&a, &b| {
        let (a, b) = (&candidates[a], &candidates[b]);
        a.quality.mean().total_cmp(&b.quality.mean()).then(b.cost.total_cmp(&a.cost))
    })
}

/// Whether the expected quality of a mix exceeds the target with confidence.
fn meets(candidates: &[Candidate], mix: &[f64], target: f64) -> bool {
    let mean: f64 = mix.iter().zip(candidates).map(|(share, c)| share * c.quality.mean()).sum();
    let variance: f64 = mix.iter().zip(candidates).map(|(share, c)| share * share * c.quality.variance()).sum();
    mean - CONFIDENCE_Z * variance.sqrt() >= target
}

/// The cheapest mix of one or two candidates, on top of the shares already `given`, for which
/// `acceptable` holds; none when there is none.
fn cheapest(candidates: &[Candidate], given: &[f64], acceptable: impl Fn(&[f64]) -> bool) -> Option<Vec<f64>> {
    let rest = 1.0 - given.iter().sum::<f64>();
    let mix = |strong: usize, weak: usize, share: f64| {
        let mut mix = given.to_vec();
        mix[strong] += rest * share;
        mix[weak] += rest * (1.0 - share);
        mix
    };
    let cost = |mix: &[f64]| mix.iter().zip(candidates).map(|(share, c)| share * c.cost).sum::<f64>();
    let mut best: Option<Vec<f64>> = None;
    for strong in (0..candidates.len()).filter(|&strong| acceptable(&mix(strong, strong, 1.0))) {
        for weak in (0..candidates.len()).filter(|&weak| candidates[weak].cost <= candidates[strong].cost) {
            let found = mix(strong, weak, least_share(|share| acceptable(&mix(strong, weak, share))));
            if best.as_ref().is_none_or(|best| cost(&found) < cost(best)) {
                best = Some(found);
            }
        }
    }
    best
}

/// The least share from 0 to 1 that is acceptable; 1 is known to be.
fn least_share(acceptable: impl Fn(f64) -> bool) -> f64 {
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

/// Little known candidates that the cheapest mix would use if they were as good as they may be.
fn promising(candidates: &[Candidate], target: f64) -> Vec<usize> {
    let optimistic = |c: &Candidate| (c.quality.mean() + OPTIMISM_Z * c.quality.variance().sqrt()).min(1.0);
    let acceptable =
        |mix: &[f64]| mix.iter().zip(candidates).map(|(share, c)| share * optimistic(c)).sum::<f64>() >= target;
    let mix = cheapest(candidates, &vec![0.0; candidates.len()], acceptable).unwrap_or_default();
    let unknown = |i: usize| candidates[i].quality.variance().sqrt() > KNOWN_DEVIATION;
    (0..mix.len()).filter(|&i| mix[i] > 0.0 && unknown(i)).collect()
}

/// Spreads `share` evenly over the candidates `over`.
fn spread(len: usize, over: &[usize], share: f64) -> Vec<f64> {
    let mut shares = vec![0.0; len];
    for &i in over {
        shares[i] = share / over.len() as f64;
    }
    shares
}
