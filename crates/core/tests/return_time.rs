//! Guards against refused requests that return as one wave, too late for their callers, or while servers are stalled.

use eelgrasswell_core::{
    return_time::{Backlog, ReturnTimes},
    unit::Millis,
};
use proptest::prelude::*;

const NOW: Millis = Millis(100_000);
/// Eight requests in progress, and no room for another.
const FULL: Backlog = Backlog { own: 8, allowed: 8, ahead: 0 };
const OBJECTIVE: Millis = Millis(1_000);

fn with_hold(hold: u64) -> ReturnTimes {
    let mut times = ReturnTimes::default();
    (0..20).for_each(|_| times.record_end(NOW, Millis(hold)));
    times
}

/// A returning wave: 30 requests that are refused together return one after the other, at the rate at which requests end.
#[test]
fn assign_spreads_wave() {
    let mut times = with_hold(400);
    let left = Millis(60_000);
    let returns: Vec<u64> = (0..30).map(|_| times.assign(NOW, FULL, 0, left, OBJECTIVE).unwrap().0).collect();
    assert!(returns.windows(2).all(|pair| pair[1] - pair[0] == 50), "{returns:?}");
}

/// Guards against urgent callers that come back after all the less urgent ones that were refused before.
#[test]
fn assign_puts_urgent_first() {
    let mut times = with_hold(400);
    let left = Millis(60_000);
    let last = (0..20).filter_map(|_| times.assign(NOW, FULL, 5, left, OBJECTIVE)).max().unwrap();
    let urgent = times.assign(NOW, FULL, 0, left, OBJECTIVE).unwrap();
    assert!(urgent < Millis(100) && urgent < last, "{urgent}, {last}");
}

/// Guards against requests that are admitted to a queue in front of servers that have stopped.
#[test]
fn rate_falls_while_nothing_ends() {
    let mut times = with_hold(100);
    times.record_room(NOW, false);
    let at = |times: &ReturnTimes, after: u64| times.wait(NOW + Millis(after), Backlog { ahead: 7, ..FULL }).unwrap();
    assert_eq!(at(&times, 10), Millis(100));
    assert!(at(&times, 5_000) >= Millis(5_000));
    times.record_room(NOW + Millis(5_000), true);
    assert_eq!(at(&times, 60_000), Millis(100), "nothing ended because nothing was sent");
}

proptest! {
    /// The time given is at most a third of the caller's, and refusals without a time use up no slot.
    #[test]
    fn assign_fits_caller(hold in 1_u64..10_000, own in 0_u32..100, calls in prop::collection::vec((0_u8..10, 0_u64..20_000, 0_u32..50), 1..80)) {
        let mut times = with_hold(hold);
        let mut last = [0; 10];
        for (urgency, left, ahead) in calls {
            let unchanged = times.clone();
            match times.assign(NOW, Backlog { own, allowed: 50, ahead }, urgency, Millis(left), OBJECTIVE) {
                Some(wait) => {
                    prop_assert!(wait.0 * 3 <= left, "{wait} of {left}");
                    prop_assert!(wait.0 >= last[usize::from(urgency)], "not in order");
                    last[usize::from(urgency)] = wait.0;
                }
                None => prop_assert_eq!(format!("{:?}", times), format!("{unchanged:?}")),
            }
        }
    }
}
