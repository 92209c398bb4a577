//! Backend servers that have asked this router to send them nothing for some time.
//!
//! The pattern is a server that turns requests away under overload and says when it wants the next one. Requests that
//! come earlier are turned away as well, and cost the server work that it needs to recover. A pause concerns one
//! incarnation of a server and this router alone. It can only be extended: an answer that was under way before does not
//! end it.

use rand::{Rng, RngExt};

use crate::{backend::ServerId, hash::HashMap, unit::Millis};

/// Longest time for which a stated pause is obeyed. A server that needs longer states a pause again with its next
/// refusal; one that states a longer pause by mistake comes back.
pub const MAX_PAUSE: Millis = Millis(600_000);
/// Maximum number of pauses.
const MAX_PAUSES: usize = 8_192;
/// Part of the time until a pause ends over which the returns of callers are spread after its end.
const SPREAD_SHARE: f64 = 0.5;
/// Shortest and longest time over which they are spread.
const SPREAD_LIMITS: (Millis, Millis) = (Millis(100), Millis(2_000));

/// Pauses that servers have asked for.
#[derive(Debug, Default)]
pub struct Pauses {
    ends: HashMap<ServerId, Millis>,
}

impl Pauses {
    /// Records that `server` wants no request for `pause`, and returns the time at which its pause ends.
    pub fn record(&mut self, now: Millis, server: ServerId, pause: Millis) -> Millis {
        let end = now + pause.min(MAX_PAUSE);
        if self.ends.len() >= MAX_PAUSES && !self.ends.contains_key(&server) {
            self.drop_earliest();
        }
        let known = self.ends.entry(server).or_insert(end);
        *known = end.max(*known);
        *known
    }

    /// Time at which the pause of `server` ends; none if it has none.
    pub fn end(&self, now: Millis, server: ServerId) -> Option<Millis> {
        self.ends.get(&server).copied().filter(|&end| now < end)
    }

    /// Removes the pauses that have ended.
    pub fn expire(&mut self, now: Millis) {
        self.ends.retain(|_, end| now < *end);
    }

    /// Number of pauses, including those that have ended and were not removed yet.
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    /// Whether no pause is kept.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    fn drop_earliest(&mut self) {
        let earliest = self.ends.iter().min_by_key(|(_, end)| **end).map(|(&server, _)| server);
        if let Some(server) = earliest {
            self.ends.remove(&server);
        }
    }
}

/// Time after which a caller whose request no server takes before `end` should come back. It differs from caller to
/// caller, so that they don't all return at the moment at which the first server takes requests again.
pub fn retry_after(now: Millis, end: Millis, rng: &mut impl Rng) -> Millis {
    let wait = end.saturating_sub(now);
    let spread = Millis((wait.0 as f64 * SPREAD_SHARE) as u64).clamp(SPREAD_LIMITS.0, SPREAD_LIMITS.1);
    wait + Millis(rng.random_range(0..=spread.0))
}
