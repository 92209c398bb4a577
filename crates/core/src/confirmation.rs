//! How old the proof is that the configuration in force is the newest.
//!
//! A key that is withdrawn must stop working everywhere within a bound, also at a router that cannot hear of it. So a
//! router serves keyed requests only while it holds a recent proof. All times come from a clock that counts
//! suspensions.

use crate::unit::Millis;

/// Longest time for which a watch of the store may have missed a change before the store ends it.
pub const WATCH_BLIND: Millis = Millis(1_100);

/// Time of the newest proof.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Confirmation {
    at: Option<Millis>,
}

impl Confirmation {
    /// Takes in a proof that the state was current at `at`.
    pub fn prove(&mut self, at: Millis) {
        self.at = self.at.max(Some(at));
    }

    /// Takes in an answer to a read that was sent at `sent`.
    pub fn read(&mut self, sent: Millis) {
        self.prove(sent);
    }

    /// Takes in the end of a watch that was sent at `sent` and waited for `waited`.
    pub fn watched(&mut self, sent: Millis, waited: Millis) {
        self.prove((sent + waited).saturating_sub(WATCH_BLIND));
    }

    /// Takes in the word of a peer, asked at `asked`, whose own proof was `age` old when it answered.
    pub fn relayed(&mut self, asked: Millis, age: Millis) {
        if age < asked {
            self.prove(asked - age);
        }
    }

    /// Age of the proof; none before the first.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.at.map(|at| now.saturating_sub(at))
    }

    /// Whether the proof is younger than `limit`.
    pub fn is_fresh(&self, now: Millis, limit: Millis) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}
