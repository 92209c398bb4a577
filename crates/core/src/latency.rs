//! Usual times of answers, and how long to wait for one.
//!
//! Load pattern that it answers: a backend server goes silent under its requests. The objective of a route is many times
//! the usual time of an answer, so waiting for it costs callers their deadline; under overload the usual time rises, and
//! with it the patience, so that slow servers are not mistaken for silent ones.

use crate::{
    hash::HashMap,
    id::{ModelName, ServiceName},
    unit::Millis,
};

/// Weight of the newest answer in the usual time of a service and model.
const NEWEST_WEIGHT: f64 = 0.05;
/// Multiple of the usual time above which an answer counts as slow.
pub const SLOW_FACTOR: f64 = 4.0;
/// Fixed part of the time to an answer; the rest grows with the prompt.
const FIXED_MS: f64 = 60.0;
/// Prompt tokens that take a millisecond. Only the ratio to the fixed part matters.
const PROMPT_TOKENS_PER_MS: f64 = 60.0;
/// Multiple of the objective after which a server that has not answered counts as silent.
const OBJECTIVE_PATIENCE: f64 = 2.5;
/// Multiple of the usual time after which a server that has not answered counts as silent, beside `LEAST_PATIENCE`.
const USUAL_PATIENCE: f64 = 6.0;
/// Time that any answer may take, however short the usual time.
const LEAST_PATIENCE: Millis = Millis(500);
/// Largest share of the time left that is spent waiting for one server while another may be asked.
const PATIENCE_SHARE: f64 = 0.45;
/// Multiple of the usual time after which a server gets no further requests until it answers.
const OVERDUE_FACTOR: u64 = 4;
/// Time that any answer may take before its server gets no further requests.
const OVERDUE_LEAST: Millis = Millis(200);

/// Usual times to the beginning of an answer, by service and model, relative to what the prompt's length makes likely.
#[derive(Clone, Debug, Default)]
pub struct LatencyEstimates {
    relative: HashMap<(ServiceName, ModelName), f64>,
}

impl LatencyEstimates {
    /// Takes in an answer; returns how many times the usual time it took.
    pub fn record(&mut self, service: &ServiceName, model: &ModelName, prompt: u64, elapsed: Millis) -> f64 {
        let relative = elapsed.0 as f64 / work(prompt);
        let key = (service.clone(), model.clone());
        let usual = self.relative.entry(key).or_insert(relative.max(f64::MIN_POSITIVE));
        let slowness = relative / *usual;
        // One very slow answer must not make the others look fast.
        *usual += NEWEST_WEIGHT * (relative.min(*usual * SLOW_FACTOR) - *usual);
        slowness
    }

    /// Usual time for a prompt of so many tokens; none before the first answer.
    pub fn expected(&self, service: &ServiceName, model: &ModelName, prompt: u64) -> Option<Millis> {
        let relative = self.relative.get(&(service.clone(), model.clone()))?;
        Some(Millis((relative * work(prompt)) as u64))
    }
}

/// Time after which a request is given up at a server while another one may be asked, with `left` to its deadline.
pub fn attempt_timeout(objective: Millis, usual: Option<Millis>, left: Millis) -> Millis {
    let by_objective = scale(objective, OBJECTIVE_PATIENCE);
    let by_usual = usual.map_or(by_objective, |usual| scale(usual, USUAL_PATIENCE) + LEAST_PATIENCE);
    by_objective.min(by_usual).min(scale(left, PATIENCE_SHARE))
}

/// Time after which a server that owes an answer gets no further requests.
pub fn overdue_after(objective: Millis, usual: Option<Millis>) -> Millis {
    let by_usual = usual.map_or(objective, |usual| Millis(usual.0 * OVERDUE_FACTOR) + OVERDUE_LEAST);
    objective.min(by_usual)
}

/// Time that a prompt takes, relative to others.
fn work(prompt: u64) -> f64 {
    FIXED_MS + prompt as f64 / PROMPT_TOKENS_PER_MS
}

fn scale(time: Millis, factor: f64) -> Millis {
    Millis((time.0 as f64 * factor) as u64)
}
