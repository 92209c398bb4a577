//! Which model answers a request that names none: the smallest first, then the largest when the smallest rates its own
//! answer low.
//!
//! Load pattern that it answers: under overload, and for long prompts, the largest model would begin its answer after the
//! objective. The small answer, which is there, is then worth more than the late one, and the larger model's time goes to
//! requests that it still helps.
//!
//! The models between the two lose on both ends: they read the prompt once more, and seldom rate themselves high where
//! the smallest does not.

use crate::{id::ModelName, unit::Millis};

/// Self-rating, from 0 to 100, under which an answer is asked for again at the largest model.
pub const ESCALATION_THRESHOLD: u8 = 40;

/// Models of a request in the order in which they are asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EscalationSteps {
    steps: Vec<ModelName>,
}

impl EscalationSteps {
    /// The ladder for `models`, smallest first.
    pub fn new(models: &[ModelName]) -> Self {
        let steps = match models {
            [] => Vec::new(),
            [only] => vec![only.clone()],
            [smallest, .., largest] => vec![smallest.clone(), largest.clone()],
        };
        Self { steps }
    }

    /// Model of step `step`.
    pub fn model(&self, step: usize) -> Option<&ModelName> {
        self.steps.get(step)
    }

    /// Whether an answer of step `step` with self-rating `confidence` is to be asked for again at the next model, whose
    /// answers usually begin after `usual`, with `left` to the objective or the deadline, whichever is first.
    pub fn should_escalate(&self, step: usize, confidence: Option<u8>, usual: Option<Millis>, left: Millis) -> bool {
        let Some(confidence) = confidence else { return false };
        let in_time = left > usual.unwrap_or(Millis::ZERO);
        step + 1 < self.steps.len() && confidence < ESCALATION_THRESHOLD && in_time
    }
}
