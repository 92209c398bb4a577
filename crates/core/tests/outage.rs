//! Guards against a server that left after an outage of the store and gets requests for too long (review/4, DRAIN), and
//! against one that is dropped although its entry only lapsed in the outage.

use eelgrasswell_core::{
    outage::{CallEnd, CallSequence, Finding, Outage, grace_after_rise},
    unit::Millis,
};
use test_case::test_case;

/// An outage with a call from 46,000 that failed at 47,000, and an answer at 48,000.
fn outage() -> Outage {
    let mut outage = Outage::default();
    outage.record_answer(Millis(45_000));
    outage.record_failure(Millis(46_000), Millis(47_000));
    outage.record_answer(Millis(48_000));
    outage
}

#[test]
fn grace_without_outage() {
    let mut outage = Outage::default();
    assert_eq!(outage.grace(Millis(50_000), None), Millis::ZERO);
    outage.record_answer(Millis(45_000));
    assert_eq!(outage.grace(Millis(50_000), None), Millis::ZERO);
}

#[test_case(48_000, None, 2_200; "at the first answer")]
#[test_case(49_000, None, 1_200; "a second later")]
#[test_case(50_200, None, 0; "after the entries must be back")]
#[test_case(51_200, None, 0; "after the store counts as stable")]
#[test_case(48_000, Some(43_000), 2_200; "others lost the store too")]
#[test_case(48_000, Some(46_500), 1_200; "others reached the store")]
#[test_case(49_200, Some(46_500), 0; "others reached the store and a second has passed")]
fn grace_after_outage(now: u64, others: Option<u64>, expected: u64) {
    assert_eq!(outage().grace(Millis(now), others.map(Millis)), Millis(expected));
}

#[test]
fn grace_while_the_store_is_away() {
    let mut outage = outage();
    outage.record_failure(Millis(52_000), Millis(53_000));
    assert_eq!(outage.grace(Millis(54_000), None), Millis(2_200));
}

/// A call that the outage cut off times out after the store has answered others.
#[test]
fn late_failure_does_not_begin_another_outage() {
    let mut outage = outage();
    outage.record_failure(Millis(47_500), Millis(49_900));
    assert_eq!(outage.grace(Millis(51_000), None), Millis::ZERO);
}

#[test]
fn further_answers_do_not_prolong_the_grace() {
    let mut outage = outage();
    (48_100..51_000).step_by(100).for_each(|at| outage.record_answer(Millis(at)));
    assert_eq!(outage.grace(Millis(49_000), None), Millis(1_200));
}

/// A response to a list, a response to a watch, and the ends without one.
#[derive(Clone, Copy)]
enum Call {
    List,
    Watch,
    Cut,
    Failed,
}

/// Guards against a cut watch that counts as an outage, against an outage that is taken for a cut, and against a store that
/// cuts each watch and is called without a pause.
#[test_case(&[Call::Watch, Call::Cut], Finding::Undecided; "one cut")]
#[test_case(&[Call::Cut, Call::List, Call::Watch, Call::Cut], Finding::Undecided; "cuts between complete watches")]
#[test_case(&[Call::Cut, Call::List, Call::Cut], Finding::Repeated(2); "two cuts with a list between them")]
#[test_case(&[Call::Cut, Call::List, Call::Cut, Call::List, Call::Cut], Finding::Repeated(3); "each watch is cut")]
#[test_case(&[Call::Watch, Call::Cut, Call::Cut], Finding::Lost; "the next call is cut, too")]
#[test_case(&[Call::Watch, Call::Cut, Call::Failed], Finding::Lost; "the next call fails")]
#[test_case(&[Call::Watch, Call::Failed], Finding::Lost; "a call fails")]
#[test_case(&[Call::Watch, Call::Failed, Call::Cut], Finding::Lost; "a cut after a failure")]
fn record_end(calls: &[Call], expected: Finding) {
    let mut sequence = CallSequence::default();
    let mut last = None;
    for call in calls {
        last = match call {
            Call::List | Call::Watch => {
                sequence.record_answer(matches!(call, Call::Watch));
                None
            }
            Call::Cut => Some(sequence.record_end(CallEnd::Cut)),
            Call::Failed => Some(sequence.record_end(CallEnd::Failed)),
        };
    }
    assert_eq!(last, Some(expected));
}

/// Guards against lists and watches that follow each other without a pause while the store has not reached a revision again.
#[test]
fn resyncs_count_until_a_complete_watch() {
    let mut calls = CallSequence::default();
    assert_eq!(calls.record_resync(), 1);
    calls.record_answer(false);
    assert_eq!(calls.record_resync(), 2);
    calls.record_answer(true);
    assert_eq!(calls.record_resync(), 1);
}

/// Guards against servers that are dropped because the older copy lacks their entries.
#[test_case(None, 0; "no drill")]
#[test_case(Some(49_000), 1_200; "a second after the return")]
#[test_case(Some(47_000), 0; "entries must be back")]
fn grace_of_missing_servers_after_a_drill(risen_at: Option<u64>, expected: u64) {
    assert_eq!(grace_after_rise(Millis(50_000), risen_at.map(Millis)), Millis(expected));
}
