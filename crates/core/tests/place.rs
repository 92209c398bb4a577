//! Guards against a state of the store that counts as newer because its revision is higher, though the store has come back
//! from an older copy since.

use eelgrasswell_core::{
    id::Era,
    place::{EraClock, EraFinding, Place},
    unit::Millis,
};
use test_case::test_case;

#[test]
fn place_order() {
    let place = |era, revision| Place::new(Era(era), revision);
    let ascending = [place(0, 500), place(1, 105), place(1, 117), place(2, 105), place(2, 106), place(3, 1)];
    assert!(ascending.is_sorted_by(|a, b| a < b));
    assert_eq!(place(2, 105).to_string(), "2:105");
}

#[test_case(&[], 7, EraFinding::First; "the first one")]
#[test_case(&[], u64::MAX, EraFinding::First; "any first one")]
#[test_case(&[7], 7, EraFinding::Current; "the same")]
#[test_case(&[7], 8, EraFinding::Risen(Era(7)); "a drill")]
#[test_case(&[7], 10, EraFinding::Risen(Era(7)); "several drills while out of touch")]
#[test_case(&[7, 8], 7, EraFinding::Late; "late response")]
#[test_case(&[7], 6, EraFinding::Late; "falling")]
#[test_case(&[7], 7 + 1_001, EraFinding::Implausible; "too high to be true")]
#[test_case(&[7, u64::MAX], 8, EraFinding::Risen(Era(7)); "a drill after an implausible one")]
fn observe(known: &[u64], era: u64, expected: EraFinding) {
    let mut clock = EraClock::default();
    for era in known {
        clock.observe(Era(*era), Millis(100));
    }
    assert_eq!(clock.observe(Era(era), Millis(900)), expected);
    let has_risen = matches!(expected, EraFinding::Risen(_));
    assert_eq!(clock.risen_at() == Some(Millis(900)), has_risen);
}

#[test]
fn merge_rise_takes_the_earliest() {
    let mut clock = EraClock::default();
    clock.observe(Era(7), Millis(100));
    clock.merge_rise(Era(6), Millis(50));
    assert_eq!(clock.risen_at(), None);
    clock.merge_rise(Era(7), Millis(60));
    clock.merge_rise(Era(7), Millis(80));
    assert_eq!(clock.risen_at(), Some(Millis(60)));
}
