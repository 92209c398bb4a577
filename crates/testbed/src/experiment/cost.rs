//! Cost of meeting a quality target: compares the cascade policy with always using the strongest model, always using the
//! cheapest, and an oracle that knows the true qualities.

use std::collections::VecDeque;

use eelgrasswell_core::{
    cascade::{self, Candidate},
    quality::QualityEstimate,
};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::table::{Table, decimal};

/// Share of answers sent to be rated, for a model whose quality is well known.
const RATED_SHARE: f64 = 0.05;
/// Share of the answers sent to be rated whose rating never arrives.
const LOST_RATINGS_SHARE: f64 = 0.5;
/// Number of requests between an answer and its rating.
const RATING_LAG_REQUESTS: usize = 2_000;
/// Number of requests in a run; about 24 s of one class at the target size.
const REQUESTS: usize = 200_000;
/// Number of requests at the start that are not counted, because no quality is known yet.
const WARM_UP_REQUESTS: usize = 20_000;

/// Cost, true quality and prior quality of a model. Only the oracle knows the true quality.
#[derive(Clone, Copy)]
struct Model {
    cost: f64,
    quality: f64,
    prior: f64,
}

/// Three models, from the cheapest to the strongest, and a quality target.
struct Scenario {
    name: &'static str,
    target: f64,
    models: [Model; 3],
}

const fn model(cost: f64, quality: f64, prior: f64) -> Model {
    Model { cost, quality, prior }
}

const SCENARIOS: [Scenario; 4] = [
    Scenario {
        name: "cheap meets target",
        target: 0.80,
        models: [model(1.0, 0.86, 0.5), model(4.0, 0.92, 0.5), model(10.0, 0.97, 0.9)],
    },
    Scenario {
        name: "mix needed",
        target: 0.85,
        models: [model(1.0, 0.78, 0.5), model(4.0, 0.90, 0.5), model(10.0, 0.96, 0.9)],
    },
    Scenario {
        name: "only strong meets",
        target: 0.95,
        models: [model(1.0, 0.60, 0.9), model(4.0, 0.80, 0.9), model(10.0, 0.97, 0.9)],
    },
    Scenario {
        name: "prior misleads",
        target: 0.85,
        models: [model(1.0, 0.40, 0.95), model(4.0, 0.88, 0.5), model(10.0, 0.96, 0.9)],
    },
];

/// Mean cost and quality of the answers.
struct Outcome {
    cost: f64,
    quality: f64,
}

/// Runs all scenarios with each seed.
pub fn run(seeds: &[u64]) -> Table {
    let mut table = Table::new(&[
        "scenario",
        "seed",
        "target",
        "quality",
        "cost/oracle",
        "strong/oracle",
        "cheap/oracle",
        "cheap_quality",
    ]);
    for scenario in &SCENARIOS {
        for &seed in seeds {
            let policy = run_policy(scenario, &mut ChaCha8Rng::seed_from_u64(seed));
            let oracle = oracle_cost(scenario);
            table.add_row(&[
                &scenario.name,
                &seed,
                &scenario.target,
                &decimal(policy.quality),
                &decimal(policy.cost / oracle),
                &decimal(scenario.models[2].cost / oracle),
                &decimal(scenario.models[0].cost / oracle),
                &scenario.models[0].quality,
            ]);
        }
    }
    table
}

/// Simulates the cascade policy.
fn run_policy(scenario: &Scenario, rng: &mut impl Rng) -> Outcome {
    let mut estimates = scenario.models.map(|model| QualityEstimate::with_prior(model.prior));
    let mut pending: VecDeque<(usize, usize, bool)> = VecDeque::new();
    let (mut cost, mut good_answers) = (0.0, 0usize);
    for request in 0..REQUESTS {
        while let Some(&(due, model, good)) = pending.front()
            && due <= request
        {
            pending.pop_front();
            estimates[model].add_ratings(u64::from(good), u64::from(!good));
        }
        let candidates: Vec<Candidate> = scenario
            .models
            .iter()
            .zip(estimates)
            .map(|(model, quality)| Candidate { cost: model.cost, quality })
            .collect();
        let chosen = cascade::candidate_order(&candidates, scenario.target, rng.random())[0];
        let good = rng.random_bool(scenario.models[chosen].quality);
        let rating_share = estimates[chosen].rating_share(RATED_SHARE) * (1.0 - LOST_RATINGS_SHARE);
        if rng.random_bool(rating_share) {
            pending.push_back((request + RATING_LAG_REQUESTS, chosen, good));
        }
        if request >= WARM_UP_REQUESTS {
            cost += scenario.models[chosen].cost;
            good_answers += usize::from(good);
        }
    }
    let counted = (REQUESTS - WARM_UP_REQUESTS) as f64;
    Outcome { cost: cost / counted, quality: good_answers as f64 / counted }
}

/// Lowest mean cost of a mix of models that meets the target with the true qualities.
fn oracle_cost(scenario: &Scenario) -> f64 {
    let models = &scenario.models;
    let sufficient = models.iter().filter(|model| model.quality >= scenario.target);
    let costs = sufficient.flat_map(|strong| {
        let weak = models.iter().filter(|model| model.quality < scenario.target);
        let pairs = weak.map(move |weak| {
            let share = (scenario.target - weak.quality) / (strong.quality - weak.quality);
            share * strong.cost + (1.0 - share) * weak.cost
        });
        pairs.chain([strong.cost])
    });
    costs.fold(f64::INFINITY, f64::min)
}
