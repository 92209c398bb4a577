//! Sessions with requests at this router, now or a short time ago.
//!
//! A session expires some time after its last request has *ended*. The pattern is a stream that lasts nearly as long as that
//! time, or longer: if it counted from its arrival, the session would expire while it is in use, and its next request
//! would run on another version.

use crate::{hash::HashMap, session_map::SessionMap, unit::Millis};

/// Uses of sessions, by the hash of the session.
#[derive(Debug, Default)]
pub struct SessionUses {
    /// Number of requests in progress.
    in_progress: HashMap<u64, u32>,
    /// Time at which the last request ended.
    ended: SessionMap<Millis>,
}

impl SessionUses {
    /// Records that a request of `session` has begun.
    pub fn begin(&mut self, session: u64) {
        *self.in_progress.entry(session).or_default() += 1;
    }

    /// Records that a request of `session` has ended. Sessions without requests are kept for `keep`.
    pub fn end(&mut self, now: Millis, keep: Millis, session: u64) {
        if let Some(count) = self.in_progress.get_mut(&session) {
            *count -= 1;
            if *count == 0 {
                self.in_progress.remove(&session);
            }
        }
        self.ended.insert(now, keep, session, now);
    }

    /// Sessions with requests in progress.
    pub fn in_progress(&self) -> impl Iterator<Item = u64> {
        self.in_progress.keys().copied()
    }

    /// All sessions, each with the time of its last use. That of a session in progress is `now`.
    pub fn last_used(&self, now: Millis) -> impl Iterator<Item = (u64, Millis)> {
        let ended = self.ended.iter().filter(|(session, _)| !self.in_progress.contains_key(session));
        self.in_progress().map(move |session| (session, now)).chain(ended.map(|(session, at)| (session, *at)))
    }
}
