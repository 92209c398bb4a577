//! Guards against keyed requests that are served after the configuration was last confirmed too long ago.

use eelgrasswell_core::{
    confirmation::{Confirmation, Confirmed, Offer},
    id::Era,
    place::Place,
    unit::Millis,
};
use test_case::test_case;

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

fn confirmed_at(ms: u64) -> Confirmation {
    let mut confirmation = Confirmation::default();
    confirmation.confirm_at(Millis(ms));
    confirmation
}

fn place(era: u64, revision: u64) -> Place {
    Place::new(Era(era), revision)
}

/// Guards against a confirmation of a changed copy that counts for what was derived from the copy before the change
/// (review/6, CONFIG).
#[test]
fn confirmed_value_lags_behind_its_copy() {
    let (old, new) = (place(1, 7), place(1, 9));
    let mut config = Confirmed::new("with the key", old);
    assert_eq!(config.age(Millis(1_000)), None);
    config.confirm(old, confirmed_at(1_000));
    assert_eq!(config.age(Millis(7_000)), Some(Millis(6_000)));
    // The copy has changed and is confirmed; the value is not replaced yet.
    config.confirm(new, confirmed_at(7_000));
    assert_eq!(config.age(Millis(7_010)), Some(Millis(6_010)));
    config.offer(Offer::Newer("without the key"), new);
    assert_eq!(config.age(Millis(7_010)), Some(Millis(6_010)));
    config.confirm(new, confirmed_at(7_000));
    assert_eq!(config.age(Millis(7_010)), Some(Millis(10)));
    // A change that can't be used leaves the value in force, and confirmed.
    config.offer(Offer::Worse, place(1, 11));
    config.confirm(place(1, 11), confirmed_at(8_000));
    assert_eq!((config.age(Millis(8_000)), *config.value()), (Some(Millis::ZERO), "without the key"));
}

/// Guards against a revoked key that goes on working because the store, back from an older copy, confirms what is there
/// (review/12, CONFIG). The value in force was confirmed at 1,000 in the first era, at revision 117.
#[test_case(&[(Offer::Worse, place(2, 105))], place(2, 105), 1_000; "the older copy confirms nothing")]
#[test_case(&[(Offer::Worse, place(2, 105))], place(2, 117), 1_000; "its revisions given out again confirm nothing")]
#[test_case(&[(Offer::Worse, place(2, 105)), (Offer::Same, place(2, 106))], place(2, 106), 9_000; "written again")]
#[test_case(&[(Offer::Worse, place(2, 105)), (Offer::Newer(2), place(2, 107))], place(2, 107), 9_000; "newer one written")]
#[test_case(&[(Offer::Same, place(2, 105))], place(2, 105), 9_000; "nothing was lost")]
#[test_case(&[], place(2, 119), 1_000; "list not yet put in force")]
#[test_case(&[(Offer::Same, place(2, 106))], place(1, 119), 1_000; "late confirmation of the era before")]
#[test_case(&[(Offer::Worse, place(2, 105)), (Offer::Worse, place(3, 104))], place(3, 104), 1_000; "two drills")]
fn confirm_after_drill(offers: &[(Offer<u32>, Place)], copy: Place, expected: u64) {
    let mut config = Confirmed::new(1, place(1, 117));
    config.confirm(place(1, 117), confirmed_at(1_000));
    for (offer, place) in offers {
        config.offer(*offer, *place);
    }
    config.confirm(copy, confirmed_at(9_000));
    assert_eq!(config.age(NOW), Some(NOW - Millis(expected)));
}
