//! Guards against keyed requests that are served after the configuration was last confirmed too long ago.

use eelgrasswell_core::{
    confirmation::{Confirmation, Confirmed},
    unit::Millis,
};

const NOW: Millis = Millis(50_000);

#[test]
fn age_none_before_first_confirmation() {
    assert_eq!(Confirmation::default().age(NOW), None);
    assert!(!Confirmation::default().is_fresh(NOW, Millis(u64::MAX)));
}

#[test]
fn confirm_by_read_counts_from_sending() {
    let mut confirmation = Confirmation::default();
    confirmation.confirm_by_read(Millis(48_000));
    assert_eq!(confirmation.age(NOW), Some(Millis(2_000)));
}

#[test]
fn confirm_by_watch_allows_for_missed_changes() {
    let mut confirmation = Confirmation::default();
    confirmation.confirm_by_watch(Millis(48_000), Millis(1_500));
    assert_eq!(confirmation.age(NOW), Some(Millis(1_600)));
}

#[test]
fn confirm_by_peer_adds_age_of_peer() {
    let mut confirmation = Confirmation::default();
    confirmation.confirm_by_peer(Millis(49_000), Millis(3_000));
    assert_eq!(confirmation.age(NOW), Some(Millis(4_000)));
    assert!(confirmation.is_fresh(NOW, Millis(4_600)));
    assert!(!confirmation.is_fresh(NOW + Millis(600), Millis(4_600)));
}

#[test]
fn confirm_at_never_goes_back() {
    let mut confirmation = Confirmation::default();
    confirmation.confirm_by_read(Millis(49_000));
    confirmation.confirm_by_peer(Millis(49_500), Millis(9_000));
    assert_eq!(confirmation.age(NOW), Some(Millis(1_000)));
}

/// Guards against a confirmation of a changed copy that counts for what was derived from the copy before the change
/// (review/6, CONFIG).
#[test]
fn confirmed_value_lags_behind_its_copy() {
    let (old, new) = (7, 9);
    let at = |ms| {
        let mut confirmation = Confirmation::default();
        confirmation.confirm_at(Millis(ms));
        confirmation
    };
    let mut config = Confirmed::new("with the key", old);
    assert_eq!(config.age(Millis(1_000)), None);
    config.confirm(old, at(1_000));
    assert_eq!(config.age(Millis(7_000)), Some(Millis(6_000)));
    // The copy has changed and is confirmed; the value is not replaced yet.
    config.confirm(new, at(7_000));
    assert_eq!(config.age(Millis(7_010)), Some(Millis(6_010)));
    config.replace("without the key", new);
    assert_eq!(config.age(Millis(7_010)), Some(Millis(6_010)));
    config.confirm(new, at(7_000));
    assert_eq!(config.age(Millis(7_010)), Some(Millis(10)));
    // A change that can't be used leaves the value in force, and confirmed.
    config.keep(11);
    config.confirm(11, at(8_000));
    assert_eq!((config.age(Millis(8_000)), *config.value()), (Some(Millis::ZERO), "without the key"));
}
