//! Guards against a request that runs twice although it is not idempotent, and against one that is reported as not run
//! although it may have run.

use eelgrasswell_core::{
    attempt::{AttemptLimits, Attempts},
    not_run::Unsent,
    refusal::Outcome,
};
use proptest::prelude::*;
use test_case::test_case;

const LIMITS: AttemptLimits = AttemptLimits { idempotent: true, max_runs: 2, max_sends: 4 };

#[test_case("", true, true; "first send")]
#[test_case("n", false, true; "rejected")]
#[test_case("r", false, false; "may have run")]
#[test_case("r", true, true; "idempotent")]
#[test_case("rr", true, false; "runs used up")]
#[test_case("nnnn", true, false; "sends used up")]
#[test_case("nr", false, false; "rejected, then may have run")]
fn allows_another_case(sends: &str, idempotent: bool, expected: bool) {
    let mut attempts = Attempts::default();
    for send in sends.chars() {
        match send {
            'r' => attempts.record_run(),
            _ => attempts.record_not_run(&Unsent::begin().give_up()),
        }
    }
    assert_eq!(attempts.allows_another(AttemptLimits { idempotent, ..LIMITS }), expected);
    assert_eq!(attempts.outcome() == Outcome::Unknown, sends.contains('r'));
}

proptest! {
    #[test]
    fn runs_within_limits(idempotent: bool, max_runs in 1_u32..5, ran in prop::collection::vec(any::<bool>(), 20)) {
        let limits = AttemptLimits { idempotent, max_runs, max_sends: 10 };
        let mut attempts = Attempts::default();
        let (mut runs, mut sends) = (0, 0);
        for ran in ran {
            if !attempts.allows_another(limits) {
                break;
            }
            sends += 1;
            if ran {
                runs += 1;
                attempts.record_run();
            } else {
                attempts.record_not_run(&Unsent::begin().give_up());
            }
        }
        let max = if idempotent { max_runs } else { 1 };
        prop_assert!(runs <= max);
        prop_assert!(sends <= limits.max_sends);
        prop_assert_eq!(attempts.may_have_run(), runs > 0);
    }
}
