//! When a router pushes a new configuration to an agent, and what the push contains.

use std::time::Duration;

use eelgrasswell_core::id::Revision;
use eelgrasswell_daemon::controller::links::push::{PushContent, PushState};
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);
/// Delay of a push by the routers that are not among the first two; above the 2 s between heartbeats.
const PUSH_DELAY: Duration = Duration::from_millis(2_200);

/// Guards against all eight routers of an agent pushing the same change, and against none doing so.
#[test]
fn push_by_rank() {
    let now = Instant::now();
    for (rank, delay) in [(0, Duration::ZERO), (1, Duration::ZERO), (2, PUSH_DELAY), (usize::MAX, PUSH_DELAY)] {
        let mut push = PushState::default();
        assert_eq!(push.next_push(Revision(4), rank, now), None, "the agent's revision is not known yet");
        push.record_reported(Revision(3));
        assert_eq!(push.next_push(Revision(4), rank, now), Some((now + delay, PushContent::Since(Revision(3)))));
        push.record_reported(Revision(4));
        assert_eq!(push.next_push(Revision(4), rank, now), None, "another router has pushed the revision");
    }
}

/// Guards against a delay that restarts with every change, so that the agent never catches up.
#[test]
fn push_delay_under_steady_changes() {
    let start = Instant::now();
    let mut push = PushState::default();
    push.record_reported(Revision(3));
    push.next_push(Revision(4), 5, start);
    let (at, _) = push.next_push(Revision(5), 5, start + SECOND / 2).unwrap();
    assert_eq!(at, start + PUSH_DELAY);
}

/// Guards against changes being sent twice on one stream, and against an agent that stays behind
/// because it could not use the deltas.
#[test]
fn push_after_push() {
    let now = Instant::now();
    let mut push = PushState::default();
    push.record_reported(Revision(3));
    push.record_pushed(Revision(4), now);
    let (_, content) = push.next_push(Revision(5), 0, now).unwrap();
    assert_eq!(content, PushContent::Since(Revision(4)));
    push.record_pushed(Revision(5), now);
    let (at, content) = push.next_push(Revision(5), 0, now).unwrap();
    assert!(at > now + SECOND);
    assert_eq!(content, PushContent::Whole);
}
