//! Cost at the quality target: the cascade policy against always-strong, always-cheap and an oracle
//! that knows the true qualities.

use std::collections::VecDeque;

use eelgrasswell_core::{
    cascade::{self, Candidate},
    quality::QualityEstimate,
};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::table::{Table, decimal};

/// Share of a well known model's answers that are sent to be rated.
const RATED_SHARE: f64 = 0.05;
/// Share of the answers sent to be rated for which no rating ever comes.
const LOST_RATINGS: f64 = 0.5;
/// Requests between an answer and its rating.
const RATING_LAG: usize = 2_000;
/// Requests of one run; at the target size about 24 s of one class.
const REQUESTS: usize = 200_000;
/// Requests at the start that are not counted, as nothing is known yet.
const WARM_UP: usize = 20_000;

/// True cost and quality of a model, which only the oracle knows.
#[derive(Clone, Copy)]
struct Model {
    cost: f64,
    quality: f64,
    prior: f64,
}

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

struct Outcome {
    cost: f64,
    quality: f64,
}

/// Runs all scenarios for each seed.
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
            let policy = policy(scenario, &mut ChaCha8Rng::seed_from_u64(seed));
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

fn policy(scenario: &Scenario, rng: &mut impl Rng) -> Outcome {
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
        let rated = estimates[chosen].rating_share(RATED_SHARE) * (1.0 - LOST_RATINGS);
        if rng.random_bool(rated) {
            pending.push_back((request + RATING_LAG, chosen, good));
        }
        if request >= WARM_UP {
            cost += scenario.models[chosen].cost;
            good_answers += usize::from(good);
        }
    }
    let counted = (REQUESTS - WARM_UP) as f64;
    Outcome { cost: cost / counted, quality: good_answers as f64 / counted }
}

/// Lowest mean cost of any mix that meets the target with the true qualities.
fn oracle_cost(scenario: &Scenario) -> f64 {
    let models = &scenario.models;
    let strong = models.iter().filter(|model| model.quality >= scenario.target);
    let mixes = strong.flat_map(|strong| {
        let weak = models.iter().filter(|model| model.quality < scenario.target);
        let pairs = weak.map(move |weak| {
            let share = (scenario.target - weak.quality) / (strong.quality - weak.quality);
            share * strong.cost + (1.0 - share) * weak.cost
        });
        pairs.chain([strong.cost])
    });
    mixes.fold(f64::INFINITY, f64::min)
}
