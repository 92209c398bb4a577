//! Which router sends a new configuration to an agent, and when.

use std::time::Duration;

use eelgrasswell_core::id::Revision;
use eelgrasswell_daemon::controller::links::push::{Push, Send};
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);
/// Wait of the routers that do not rank first; above the 2 s between heartbeats.
const WAIT: Duration = Duration::from_millis(2_200);

/// Guards against eight routers that all send the same change, and against none that does.
#[test]
fn push_by_rank() {
    let now = Instant::now();
    for (rank, wait) in [(0, Duration::ZERO), (1, Duration::ZERO), (2, WAIT), (usize::MAX, WAIT)] {
        let mut push = Push::default();
        assert_eq!(push.due(Revision(4), rank, now), None, "the agent's revision is not known yet");
        push.note_reported(Revision(3));
        assert_eq!(push.due(Revision(4), rank, now), Some((now + wait, Send::Since(Revision(3)))));
        push.note_reported(Revision(4));
        assert_eq!(push.due(Revision(4), rank, now), None, "another router was faster");
    }
}

/// Guards against a wait that starts anew with every change, so that the agent never catches up.
#[test]
fn push_wait_under_steady_changes() {
    let start = Instant::now();
    let mut push = Push::default();
    push.note_reported(Revision(3));
    push.due(Revision(4), 5, start);
    let (at, _) = push.due(Revision(5), 5, start + SECOND / 2).unwrap();
    assert_eq!(at, start + WAIT);
}

/// Guards against changes sent twice on one stream, and against an agent that stays behind because
/// it could not use the deltas.
#[test]
fn push_after_push() {
    let now = Instant::now();
    let mut push = Push::default();
    push.note_reported(Revision(3));
    push.note_pushed(Revision(4), now);
    let (_, what) = push.due(Revision(5), 0, now).unwrap();
    assert_eq!(what, Send::Since(Revision(4)));
    push.note_pushed(Revision(5), now);
    let (at, what) = push.due(Revision(5), 0, now).unwrap();
    assert!(at > now + SECOND);
    assert_eq!(what, Send::Whole);
}
