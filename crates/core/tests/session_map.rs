//! Guards against sessions that are forgotten while they are active, and against sessions that are kept without end.

use eelgrasswell_core::{session_map::SessionMap, unit::Millis};

const KEEP: Millis = Millis(5_000);

#[test]
fn get_within_time() {
    let mut sessions = SessionMap::default();
    sessions.insert(Millis(1_000), KEEP, 7, "a");
    for ms in (1_000..=6_000).step_by(100) {
        sessions.insert(Millis(ms), KEEP, 1_000 + ms, "b");
        assert_eq!(sessions.get(7), Some(&"a"), "forgotten after {ms} ms");
    }
}

#[test]
fn insert_replaces_value_of_earlier_generation() {
    let mut sessions = SessionMap::default();
    sessions.insert(Millis(10_000), KEEP, 7, "a");
    sessions.insert(Millis(16_000), KEEP, 7, "b");
    assert_eq!(sessions.get(7), Some(&"b"));
    assert_eq!(sessions.iter().count(), 1);
}

#[test]
fn expired_sessions_go() {
    let mut sessions = SessionMap::default();
    for ms in 0..60_000 {
        sessions.insert(Millis(ms), KEEP, ms, ());
    }
    assert!(sessions.len() <= 10_001, "{} sessions of 5,000 active ones", sessions.len());
}

/// Guards against a flood of sessions within the time for which they are kept.
#[test]
fn sessions_are_bounded() {
    let mut sessions = SessionMap::default();
    for n in 0..1_000_000 {
        sessions.insert(Millis(1), KEEP, n, ());
    }
    assert!(sessions.len() <= 400_000);
    assert!(sessions.get(999_999).is_some());
}
