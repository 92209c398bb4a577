//! Guards against keyed requests that are served after the configuration was last confirmed too long ago.

use eelgrasswell_core::{confirmation::Confirmation, unit::Millis};

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
