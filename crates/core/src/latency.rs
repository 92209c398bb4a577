//! Estimates of the time to the start of a response, and the timeouts derived from them.
//!
//! This matters when a backend server stops responding while it holds requests. The objective of a route is many times
//! the expected response time, so a timeout at the objective would make callers miss their deadline. Under overload the
//! expected time rises and the timeouts rise with it, so that slow servers are not mistaken for unresponsive ones.

use crate::{
    hash::HashMap,
    id::{ModelName, ServiceName},
    unit::Millis,
};

/// Weight of the newest response in the moving average of a service and model.
const AVERAGE_WEIGHT: f64 = 0.05;
/// Multiple of the expected time above which a response counts as slow.
pub const SLOW_FACTOR: f64 = 4.0;
/// Part of the response time that does not depend on the prompt, in the model of `nominal_ms`.
const FIXED_MS: f64 = 60.0;
/// Prompt tokens processed per millisecond in the model of `nominal_ms`. Only the ratio to `FIXED_MS` matters.
const PROMPT_TOKENS_PER_MS: f64 = 60.0;
/// Multiple of the objective after which a send without a response times out.
const TIMEOUT_OBJECTIVE_FACTOR: f64 = 2.5;
/// Multiple of the expected time after which a send without a response times out, in addition to `TIMEOUT_BASE`.
const TIMEOUT_EXPECTED_FACTOR: f64 = 6.0;
/// Part of the timeout that is granted to any response, however short its expected time.
const TIMEOUT_BASE: Millis = Millis(500);
/// Largest share of the time to the deadline spent waiting for one server while another one can be tried.
const MAX_TIMEOUT_SHARE: f64 = 0.45;
/// Multiple of the expected time after which a response is overdue, in addition to `OVERDUE_BASE`.
const OVERDUE_FACTOR: u64 = 4;
/// Time that is granted to any response before it is overdue, however short its expected time.
const OVERDUE_BASE: Millis = Millis(200);

/// Estimates of the time to the start of a response, by service and model.
#[derive(Clone, Debug, Default)]
pub struct LatencyEstimates {
    /// Moving averages of the measured time relative to `nominal_ms`.
    ratios: HashMap<(ServiceName, ModelName), f64>,
}

impl LatencyEstimates {
    /// Records that the response to a prompt of `prompt` tokens started after `elapsed`. Returns this time as a
    /// multiple of the expected time.
    pub fn record(&mut self, service: &ServiceName, model: &ModelName, prompt: u64, elapsed: Millis) -> f64 {
        let ratio = elapsed.0 as f64 / nominal_ms(prompt);
        let key = (service.clone(), model.clone());
        let average = self.ratios.entry(key).or_insert(ratio.max(f64::MIN_POSITIVE));
        let slowness = ratio / *average;
        // The cap prevents a single very slow response from making the others look fast.
        *average += AVERAGE_WEIGHT * (ratio.min(*average * SLOW_FACTOR) - *average);
        slowness
    }

    /// Expected time to the start of the response to a prompt of `prompt` tokens; none before the first response.
    pub fn expected(&self, service: &ServiceName, model: &ModelName, prompt: u64) -> Option<Millis> {
        let ratio = self.ratios.get(&(service.clone(), model.clone()))?;
        Some(Millis((ratio * nominal_ms(prompt)) as u64))
    }
}

/// Timeout for a response while another server can be tried, with `remaining` time to the deadline of the request.
pub fn attempt_timeout(objective: Millis, expected: Option<Millis>, remaining: Millis) -> Millis {
    let by_objective = scale(objective, TIMEOUT_OBJECTIVE_FACTOR);
    let by_expected = expected.map_or(by_objective, |expected| scale(expected, TIMEOUT_EXPECTED_FACTOR) + TIMEOUT_BASE);
    by_objective.min(by_expected).min(scale(remaining, MAX_TIMEOUT_SHARE))
}

/// Time after which a response is overdue, so that its server gets no further requests until it responds.
pub fn overdue_after(objective: Millis, expected: Option<Millis>) -> Millis {
    let by_expected = expected.map_or(objective, |expected| Millis(expected.0 * OVERDUE_FACTOR) + OVERDUE_BASE);
    objective.min(by_expected)
}

/// Modelled response time for a prompt of `prompt` tokens. Only the ratio between prompts of different lengths matters.
fn nominal_ms(prompt: u64) -> f64 {
    FIXED_MS + prompt as f64 / PROMPT_TOKENS_PER_MS
}

fn scale(time: Millis, factor: f64) -> Millis {
    Millis((time.0 as f64 * factor) as u64)
}
