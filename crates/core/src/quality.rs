//! Estimates the quality of a model, which is the share of its answers that are rated good.

/// Number of ratings after which an older rating counts half, so that the estimate follows a model that changes.
const HALF_LIFE_RATINGS: f64 = 20_000.0;
/// Weight of the prior, in ratings. With a weight of 10, a good model with a prior of 0.5 was never explored.
const PRIOR_RATINGS: f64 = 2.0;
/// Weight of a declared share that counts as known, in ratings.
const DECLARED_RATINGS: f64 = 100_000.0;
/// Standard deviation up to which the quality of a model counts as known, so that the model is not explored.
pub const KNOWN_DEVIATION: f64 = 0.006;

/// Beta posterior over the share of good answers. The weight of old ratings decays.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QualityEstimate {
    prior: f64,
    prior_ratings: f64,
    good: f64,
    low: f64,
}

impl QualityEstimate {
    /// Creates an estimate from the prior share of good answers, from 0 to 1.
    pub fn with_prior(prior: f64) -> Self {
        Self { prior: prior.clamp(0.01, 0.99), prior_ratings: PRIOR_RATINGS, good: 0.0, low: 0.0 }
    }

    /// Creates an estimate that takes `share` as known, for a fleet without a rating service.
    pub fn declared(share: f64) -> Self {
        Self { prior_ratings: DECLARED_RATINGS, ..Self::with_prior(share) }
    }

    /// Adds ratings of answers.
    pub fn add_ratings(&mut self, good: u64, low: u64) {
        let added = good.saturating_add(low) as f64;
        let decay = 0.5f64.powf(added / HALF_LIFE_RATINGS);
        self.good = self.good * decay + good as f64;
        self.low = self.low * decay + low as f64;
    }

    /// Number of ratings in the estimate, after decay and without the prior.
    pub fn ratings(&self) -> f64 {
        self.good + self.low
    }

    /// Expected share of good answers.
    pub fn mean(&self) -> f64 {
        let (alpha, beta) = self.parameters();
        alpha / (alpha + beta)
    }

    /// Variance of the share of good answers, given the ratings.
    pub fn variance(&self) -> f64 {
        let (alpha, beta) = self.parameters();
        let n = alpha + beta;
        alpha * beta / (n * n * (n + 1.0))
    }

    /// Share of the model's answers that should be rated: `base` once the quality is known, and more the more uncertain
    /// it is. With the same share for all models, the estimate of a model that is only explored would improve 20 times
    /// slower than it could.
    pub fn rating_share(&self, base: f64) -> f64 {
        let excess = self.variance() / (KNOWN_DEVIATION * KNOWN_DEVIATION);
        (base * excess).clamp(base, 1.0)
    }

    fn parameters(&self) -> (f64, f64) {
        (self.good + self.prior * self.prior_ratings, self.low + (1.0 - self.prior) * self.prior_ratings)
    }
}
