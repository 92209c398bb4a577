//! Guards against a status that promises that a request was not run although it was or may have been (review/1, REFUSED).

use eelgrasswell_core::{
    attempt::Attempts,
    caller_status::CallerStatus,
    not_run::Unsent,
    refusal::{Outcome, Reason, Refusal},
};
use test_case::test_case;

const PROMISES: [u16; 4] = [408, 421, 429, 503];

#[test]
fn of_answer_never_promises() {
    let passed_on: Vec<u16> = (100..600).filter(|&status| CallerStatus::of_answer(status).is_some()).collect();
    assert!(PROMISES.iter().all(|status| !passed_on.contains(status)));
    assert_eq!(passed_on.len(), 500 - PROMISES.len());
    assert!(PROMISES.iter().all(|&status| CallerStatus::of_answer_or_unknown(status).as_u16() == 502));
}

#[test]
fn of_refusal_with_unknown_outcome_never_promises() {
    for &reason in Reason::ALL {
        let status = CallerStatus::of_refusal(&Refusal::unknown(reason)).as_u16();
        assert!(!PROMISES.contains(&status), "{reason}: {status}");
    }
    assert_eq!(CallerStatus::of_refusal(&Refusal::not_run(Reason::NoBackend)).as_u16(), 503);
}

#[test_case("", Outcome::NotRun; "not sent")]
#[test_case("nn", Outcome::NotRun; "refused")]
#[test_case("nr", Outcome::Unknown; "may have run")]
#[test_case("rn", Outcome::Unknown; "refused after a loss")]
fn refuse_tells_what_is_known(sends: &str, expected: Outcome) {
    let mut attempts = Attempts::default();
    for send in sends.chars() {
        if send == 'r' { attempts.record_run() } else { attempts.record_not_run(&Unsent::begin().give_up()) }
    }
    let refusal = attempts.refuse(Reason::NoBackend, Reason::ConnectionLost);
    assert_eq!(refusal.outcome, expected);
    let reason = if expected == Outcome::NotRun { Reason::NoBackend } else { Reason::ConnectionLost };
    assert_eq!(refusal.reason, reason);
}
