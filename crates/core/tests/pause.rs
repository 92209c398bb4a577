//! Guards against requests to servers that have asked for a pause, and against pauses without end.

use eelgrasswell_core::{
    backend::ServerId,
    pause::{self, MAX_PAUSE, Pauses},
    unit::Millis,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const NOW: Millis = Millis(10_000);
const SERVER: ServerId = ServerId(1);

#[test]
fn end_of_pause() {
    let mut pauses = Pauses::default();
    assert_eq!(pauses.record(NOW, SERVER, Millis(1_500)), NOW + Millis(1_500));
    assert_eq!(pauses.end(NOW + Millis(1_499), SERVER), Some(NOW + Millis(1_500)));
    assert_eq!(pauses.end(NOW + Millis(1_500), SERVER), None);
    assert_eq!(pauses.end(NOW, ServerId(2)), None);
}

#[test]
fn later_refusal_only_extends() {
    let mut pauses = Pauses::default();
    pauses.record(NOW, SERVER, Millis(3_000));
    assert_eq!(pauses.record(NOW + Millis(100), SERVER, Millis(500)), NOW + Millis(3_000));
    assert_eq!(pauses.record(NOW + Millis(200), SERVER, Millis(4_000)), NOW + Millis(4_200));
}

#[test]
fn absurd_pause_is_bounded() {
    let mut pauses = Pauses::default();
    pauses.record(NOW, SERVER, Millis(u64::MAX));
    assert_eq!(pauses.end(NOW + MAX_PAUSE, SERVER), None);
}

#[test]
fn state_is_bounded_and_expires() {
    let mut pauses = Pauses::default();
    for n in 0..20_000 {
        pauses.record(NOW, ServerId(n), Millis(1_000 + n));
    }
    assert!(pauses.len() <= 8_192);
    pauses.expire(NOW + Millis(30_000));
    assert!(pauses.is_empty());
}

/// Guards against callers that all come back at the moment at which the first server takes requests again.
#[test]
fn retry_after_spreads_callers() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let end = NOW + Millis(2_000);
    let waits: Vec<Millis> = (0..1_000).map(|_| pause::retry_after(NOW, end, &mut rng)).collect();
    assert!(waits.iter().all(|wait| (Millis(2_000)..=Millis(3_000)).contains(wait)));
    let in_first_tenth = waits.iter().filter(|wait| **wait < Millis(2_100)).count();
    assert!(in_first_tenth < 200, "{in_first_tenth} of 1,000 callers return within the first tenth");
}
