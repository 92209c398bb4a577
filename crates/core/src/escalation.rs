//! Selects the model for a request that does not name one: first the smallest model, then the largest if the smallest
//! gives its own answer a low confidence.
//!
//! An answer does not escalate when the largest model would start its answer after the objective, as happens under
//! overload and for long prompts. The answer of the smallest model, which is available already, is then worth more than
//! a late one, and the capacity of the larger model is left to requests that still benefit from it.
//!
//! Models of sizes in between are skipped: they would process the prompt once more, and they rarely report a high
//! confidence where the smallest model does not.

use crate::{id::ModelName, unit::Millis};

/// Confidence, from 0 to 100, below which an answer escalates to the largest model.
pub const ESCALATION_THRESHOLD: u8 = 40;

/// Models of a request in the order in which they are tried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EscalationSteps {
    steps: Vec<ModelName>,
}

impl EscalationSteps {
    /// Selects the steps from `models`, which are ordered from the smallest to the largest.
    pub fn new(models: &[ModelName]) -> Self {
        let steps = match models {
            [] => Vec::new(),
            [only] => vec![only.clone()],
            [smallest, .., largest] => vec![smallest.clone(), largest.clone()],
        };
        Self { steps }
    }

    /// Model of the step with index `step`; none after the last step.
    pub fn model(&self, step: usize) -> Option<&ModelName> {
        self.steps.get(step)
    }

    /// Whether to repeat the request at the next model after an answer of step `step` with this `confidence`.
    /// `expected` is the expected time to the start of the next model's answer, and `remaining` the time to the
    /// objective or the deadline, whichever is first.
    pub fn should_escalate(
        &self,
        step: usize,
        confidence: Option<u8>,
        expected: Option<Millis>,
        remaining: Millis,
    ) -> bool {
        let Some(confidence) = confidence else { return false };
        let in_time = remaining > expected.unwrap_or(Millis::ZERO);
        step + 1 < self.steps.len() && confidence < ESCALATION_THRESHOLD && in_time
    }
}
