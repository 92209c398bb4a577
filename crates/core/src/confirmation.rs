//! How old the proof is that the configuration in force is the newest.
//!
//! A key that is withdrawn must stop working everywhere within a bound, also at a router that cannot hear of it. So a
//! router serves keyed requests only while it holds a recent proof. All times come from a clock that counts
//! suspensions.

use crate::unit::Millis;

/// Longest time for which a watch of the store may have missed a change before the store ends it.
pub const MAX_WATCH_DELAY: Millis = Millis(1_100);

/// Time for which servers that are missing from the list are kept after the store was away; their entries may have
/// lapsed meanwhile.
const GRACE_AFTER_OUTAGE: Millis = Millis(2_200);
/// The same when only this router's way to the store was broken. It ends before a missing server must get no new work.
const GRACE_AFTER_CUT: Millis = Millis(1_200);
/// Time after a failed call within which entries may have lapsed.
const LAPSED_WITHIN: Millis = Millis(3_000);
/// Age of another router's proof, at the time of a failed call, up to which the store was not away.
const OTHERS_SOUND: Millis = Millis(3_200);

/// Time for which servers that are missing from the list are kept: by the last failed call of this router, and by the
/// time of the newest proof that others had.
pub fn missing_grace_period(now: Millis, last_failure: Option<Millis>, others_proof: Option<Millis>) -> Millis {
    let Some(failed) = last_failure.filter(|failed| now.saturating_sub(*failed) < LAPSED_WITHIN) else {
        return Millis::ZERO;
    };
    let others_sound = others_proof.is_some_and(|proof| proof + OTHERS_SOUND > failed);
    if others_sound { GRACE_AFTER_CUT } else { GRACE_AFTER_OUTAGE }
}

/// Time of the newest proof.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Confirmation {
    at: Option<Millis>,
}

impl Confirmation {
    /// Takes in a proof that the state was current at `at`.
    pub fn confirm_at(&mut self, at: Millis) {
        self.at = self.at.max(Some(at));
    }

    /// Takes in an answer to a read that was sent at `sent`.
    pub fn confirm_by_read(&mut self, sent: Millis) {
        self.confirm_at(sent);
    }

    /// Takes in the end of a watch that was sent at `sent` and waited for `waited`.
    pub fn confirm_by_watch(&mut self, sent: Millis, waited: Millis) {
        self.confirm_at((sent + waited).saturating_sub(MAX_WATCH_DELAY));
    }

    /// Takes in the word of a peer, asked at `asked`, whose own proof was `age` old when it answered.
    pub fn confirm_by_peer(&mut self, asked: Millis, age: Millis) {
        if age < asked {
            self.confirm_at(asked - age);
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
