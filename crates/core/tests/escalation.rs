//! Guards against escalations that cost more than they gain: of good answers, and to a model that answers too late.

use eelgrasswell_core::{
    escalation::EscalationSteps,
    id::{ModelName, ServiceName},
    latency::LatencyEstimates,
    unit::Millis,
};
use test_case::test_case;

fn escalation_steps(models: &[&str]) -> EscalationSteps {
    EscalationSteps::new(&models.iter().map(|&name| name.into()).collect::<Vec<ModelName>>())
}

#[test_case(&["s", "m", "l"], Some(10), Some(500), 1_000, true; "low confidence")]
#[test_case(&["s", "m", "l"], Some(40), Some(500), 1_000, false; "sufficient confidence")]
#[test_case(&["s", "m", "l"], None, Some(500), 1_000, false; "no confidence")]
#[test_case(&["s", "m", "l"], Some(10), Some(1_500), 1_000, false; "answer after the objective")]
#[test_case(&["s", "m", "l"], Some(10), None, 1_000, true; "expected time unknown")]
#[test_case(&["s", "m", "l"], Some(10), None, 0, false; "objective has passed")]
#[test_case(&["s"], Some(10), Some(500), 1_000, false; "no larger model")]
fn should_escalate_case(models: &[&str], confidence: Option<u8>, latency: Option<u64>, remaining: u64, expected: bool) {
    let (steps, latency, remaining) = (escalation_steps(models), latency.map(Millis), Millis(remaining));
    assert_eq!(steps.should_escalate(0, confidence, latency, remaining), expected);
    assert!(!steps.should_escalate(1, confidence, latency, remaining), "there is no model after the largest one");
}

/// Under overload the expected time of the largest model rises, and escalations stop, first those of long prompts.
#[test]
fn should_escalate_less_under_overload() {
    let (service, model): (ServiceName, ModelName) = ("chat".into(), "l".into());
    let mut estimates = LatencyEstimates::default();
    let steps = escalation_steps(&["s", "l"]);
    let escalated = |estimates: &LatencyEstimates| {
        let prompts = [500, 2_000, 8_000, 20_000];
        prompts.map(|prompt| {
            steps.should_escalate(0, Some(10), estimates.expected(&service, &model, prompt), Millis(1_500))
        })
    };
    let normal = |prompt: u64| Millis(150 + prompt / 20);
    for prompt in [500, 2_000, 8_000, 20_000].repeat(20) {
        estimates.record(&service, &model, prompt, normal(prompt));
    }
    assert_eq!(escalated(&estimates), [true, true, true, true]);
    for prompt in [500, 2_000, 8_000, 20_000].repeat(20) {
        estimates.record(&service, &model, prompt, Millis(normal(prompt).0 * 3));
    }
    assert_eq!(escalated(&estimates), [true, true, false, false]);
    for prompt in [500, 2_000, 8_000, 20_000].repeat(20) {
        estimates.record(&service, &model, prompt, Millis(normal(prompt).0 * 12));
    }
    assert_eq!(escalated(&estimates), [false, false, false, false]);
}
