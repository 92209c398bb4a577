//! Guards against model selections that cost too much or miss the quality target.

use eelgrasswell_core::{
    cascade::{Candidate, candidate_order, request_shares},
    quality::QualityEstimate,
};
use test_case::test_case;

fn candidate(cost: f64, prior: f64, good: u64, low: u64) -> Candidate {
    let mut quality = QualityEstimate::with_prior(prior);
    quality.add_ratings(good, low);
    Candidate { cost, quality }
}

#[test_case(0.80, 0; "cheap model when it is good enough")]
#[test_case(0.977, 1; "strong model when only it is good enough")]
#[test_case(0.999, 1; "strongest model when none is good enough")]
fn request_shares_known_models(target: f64, expected: usize) {
    let candidates = [candidate(1.0, 0.5, 9_000, 1_000), candidate(10.0, 0.5, 9_800, 200)];
    let shares = request_shares(&candidates, target);
    assert!(shares[expected] > 0.9, "{shares:?}");
    assert!((shares.iter().sum::<f64>() - 1.0).abs() < 1e-9, "{shares:?}");
}

#[test]
fn request_shares_mix_when_target_is_between_models() {
    let candidates = [candidate(1.0, 0.5, 16_000, 4_000), candidate(10.0, 0.5, 18_000, 2_000)];
    let shares = request_shares(&candidates, 0.85);
    assert!(shares[0] > 0.3 && shares[1] > 0.4, "{shares:?}");
}

/// Without exploration, an unrated cheap model would never be used and so never be rated.
#[test]
fn request_shares_explore_unrated_cheap_model() {
    let candidates = [candidate(1.0, 0.5, 0, 0), candidate(10.0, 0.9, 9_500, 500)];
    let shares = request_shares(&candidates, 0.94);
    assert!(shares[0] > 0.0 && shares[0] <= 0.05, "{shares:?}");
}

/// Exploration in addition to a mix that just meets the target would make it miss the target.
#[test]
fn request_shares_without_exploration_when_target_is_tight() {
    let candidates = [candidate(1.0, 0.3, 0, 0), candidate(10.0, 0.9, 9_520, 480)];
    let shares = request_shares(&candidates, 0.949);
    assert!(shares[0] <= 0.005, "{shares:?}");
}

#[test_case(0.0, &[0, 1]; "cheap model first, strong model for escalation")]
#[test_case(0.9999, &[0, 1]; "draw at the end")]
fn candidate_order_by_draw(draw: f64, expected: &[usize]) {
    let candidates = [candidate(1.0, 0.5, 90_000, 10_000), candidate(10.0, 0.5, 98_000, 2_000)];
    assert_eq!(candidate_order(&candidates, 0.8, draw), expected);
}

#[test]
fn candidate_order_no_candidates() {
    assert_eq!(candidate_order(&[], 0.8, 0.5), Vec::<usize>::new());
}

/// Old ratings must decay, or a model that became worse keeps its estimate for days.
#[test]
fn quality_estimate_follows_change() {
    let mut quality = QualityEstimate::with_prior(0.5);
    quality.add_ratings(100_000, 0);
    for _ in 0..1_000 {
        quality.add_ratings(50, 50);
    }
    assert!((quality.mean() - 0.5).abs() < 0.1, "{}", quality.mean());
}
