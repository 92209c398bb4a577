//! Guards against a session that expires while a request of it is in progress, and against sessions that are kept without
//! end.

use eelgrasswell_core::{session_uses::SessionUses, unit::Millis};

const KEEP: Millis = Millis(5_000);

fn last_used(uses: &SessionUses, now: u64) -> Vec<(u64, Millis)> {
    let mut all: Vec<_> = uses.last_used(Millis(now)).collect();
    all.sort();
    all
}

#[test]
fn last_used_counts_from_the_end_of_the_last_request() {
    let mut uses = SessionUses::default();
    uses.begin(7);
    uses.begin(7);
    uses.begin(8);
    uses.end(Millis(2_000), KEEP, 8);
    uses.end(Millis(3_000), KEEP, 7);
    assert_eq!(last_used(&uses, 30_000), [(7, Millis(30_000)), (8, Millis(2_000))]);
    assert_eq!(uses.in_progress().collect::<Vec<_>>(), [7]);
    uses.end(Millis(31_000), KEEP, 7);
    assert_eq!(last_used(&uses, 32_000), [(7, Millis(31_000)), (8, Millis(2_000))]);
    assert_eq!(uses.in_progress().count(), 0);
}

#[test]
fn ended_sessions_go() {
    let mut uses = SessionUses::default();
    for ms in 0..60_000 {
        uses.begin(ms);
        uses.end(Millis(ms), KEEP, ms);
    }
    assert!(uses.last_used(Millis(60_000)).count() <= 2 * KEEP.0 as usize);
}
