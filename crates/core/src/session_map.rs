//! Values of recently active sessions.
//!
//! The pattern is a router with tens of thousands of active sessions: removing the expired ones one by one would go over
//! all of them with each request. They are kept in two generations instead, and the older one is dropped as a whole.

use crate::{hash::HashMap, unit::Millis};

/// Maximum number of sessions of one generation.
const MAX_SESSIONS: usize = 200_000;

/// Values by the hash of the session. A value is kept for the time `keep` or longer after it was set, unless there are more
/// than `MAX_SESSIONS` sessions in that time.
#[derive(Clone, Debug)]
pub struct SessionMap<V> {
    current: HashMap<u64, V>,
    previous: HashMap<u64, V>,
    current_since: Millis,
}

impl<V> Default for SessionMap<V> {
    fn default() -> Self {
        Self { current: HashMap::default(), previous: HashMap::default(), current_since: Millis::ZERO }
    }
}

impl<V> SessionMap<V> {
    /// Sets the value of `session`.
    pub fn insert(&mut self, now: Millis, keep: Millis, session: u64, value: V) {
        let is_over = now.saturating_sub(self.current_since) >= keep;
        if is_over || self.current.len() >= MAX_SESSIONS {
            self.previous = std::mem::take(&mut self.current);
            self.current_since = now;
        }
        self.previous.remove(&session);
        self.current.insert(session, value);
    }

    /// The value of `session`, which may have been set longer than `keep` ago.
    pub fn get(&self, session: u64) -> Option<&V> {
        self.current.get(&session).or_else(|| self.previous.get(&session))
    }

    /// All sessions with their values.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &V)> {
        self.current.iter().chain(&self.previous).map(|(session, value)| (*session, value))
    }

    /// Number of sessions.
    pub fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    /// Whether there is no session.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
