//! Guards against escalations that cost more than they bring: of good answers, and to a model whose answer comes too late.

use eelgrasswell_core::{
    escalation::EscalationSteps,
    id::{ModelName, ServiceName},
    latency::LatencyEstimates,
    unit::Millis,
};
use test_case::test_case;

fn steps(models: &[&str]) -> EscalationSteps {
    EscalationSteps::new(&models.iter().map(|&name| name.into()).collect::<Vec<ModelName>>())
}

#[test_case(&["s", "m", "l"], Some(10), Some(500), 1_000, true; "low rating")]
#[test_case(&["s", "m", "l"], Some(40), Some(500), 1_000, false; "good rating")]
#[test_case(&["s", "m", "l"], None, Some(500), 1_000, false; "no rating")]
#[test_case(&["s", "m", "l"], Some(10), Some(1_500), 1_000, false; "answer after the objective")]
#[test_case(&["s", "m", "l"], Some(10), None, 1_000, true; "usual time unknown")]
#[test_case(&["s", "m", "l"], Some(10), None, 0, false; "objective has passed")]
#[test_case(&["s"], Some(10), Some(500), 1_000, false; "no larger model")]
fn should_escalate_case(models: &[&str], confidence: Option<u8>, usual: Option<u64>, left: u64, expected: bool) {
    let (steps, usual) = (steps(models), usual.map(Millis));
    assert_eq!(steps.should_escalate(0, confidence, usual, Millis(left)), expected);
    assert!(!steps.should_escalate(1, confidence, usual, Millis(left)), "the largest model has the last word");
}

/// Under overload the usual time of the largest model rises, and escalations give way: first those of long prompts.
#[test]
fn should_escalate_less_under_overload() {
    let (service, model): (ServiceName, ModelName) = ("chat".into(), "l".into());
    let mut usual = LatencyEstimates::default();
    let steps = steps(&["s", "l"]);
    let escalated = |usual: &LatencyEstimates| {
        let prompts = [500, 2_000, 8_000, 20_000];
        prompts
            .map(|prompt| steps.should_escalate(0, Some(10), usual.expected(&service, &model, prompt), Millis(1_500)))
    };
    let calm = |prompt: u64| Millis(150 + prompt / 20);
    for prompt in [500, 2_000, 8_000, 20_000].repeat(20) {
        usual.record(&service, &model, prompt, calm(prompt));
    }
    assert_eq!(escalated(&usual), [true, true, true, true]);
    for prompt in [500, 2_000, 8_000, 20_000].repeat(20) {
        usual.record(&service, &model, prompt, Millis(calm(prompt).0 * 3));
    }
    assert_eq!(escalated(&usual), [true, true, false, false]);
    for prompt in [500, 2_000, 8_000, 20_000].repeat(20) {
        usual.record(&service, &model, prompt, Millis(calm(prompt).0 * 12));
    }
    assert_eq!(escalated(&usual), [false, false, false, false]);
}
