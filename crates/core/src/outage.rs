//! Availability of the store, and for how long backend servers that are missing from it stay in use.
//!
//! The pattern: while the store is away, the entries of servers lapse that can't renew them. Servers that live enter
//! themselves again within about two seconds of its return, and should stay in use until then. Any other missing server has
//! left. The grace belongs to the outage, not to the server: it ends at a fixed time after the store has answered again,
//! whenever a server is found missing. Otherwise a server that leaves some seconds after an outage is kept too long.

use crate::unit::Millis;

/// Time after the return of the store until which missing servers stay in use.
const GRACE_AFTER_OUTAGE: Millis = Millis(2_200);
/// The same when only this router could not reach the store. It ends before the deadline after which a missing server must
/// get no new requests.
const GRACE_AFTER_DISCONNECT: Millis = Millis(1_200);
/// The store counts as available at the time of a failed call if the newest confirmation of another router is less than
/// this much older than the call.
const OTHERS_CONFIRMED_WITHIN: Millis = Millis(3_200);

/// The last time for which the store was unavailable, according to this router's calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outage {
    /// Last failed call of the outage; none before the first one.
    failed_at: Option<Millis>,
    /// First answer after it; none while the outage goes on.
    ended_at: Option<Millis>,
    last_answer: Option<Millis>,
}

impl Outage {
    /// Records that a call that was sent at `sent` failed at `now`. A call that was sent before the last answer tells nothing
    /// about the time after it.
    pub fn record_failure(&mut self, sent: Millis, now: Millis) {
        if self.last_answer.is_none_or(|answer| answer <= sent) {
            (self.failed_at, self.ended_at) = (Some(now), None);
        }
    }

    /// Records that the store answered at `now`, to this router or to one that keeps its copies current.
    pub fn record_answer(&mut self, now: Millis) {
        self.last_answer = self.last_answer.max(Some(now));
        if self.failed_at.is_some() {
            self.ended_at.get_or_insert(now);
        }
    }

    /// Time for which a server that is found missing at `now` stays in use. `others_confirmed` is the newest confirmation of
    /// other routers.
    pub fn grace(&self, now: Millis, others_confirmed: Option<Millis>) -> Millis {
        let Some(failed) = self.failed_at else { return Millis::ZERO };
        let store_was_available = others_confirmed.is_some_and(|at| at + OTHERS_CONFIRMED_WITHIN > failed);
        let grace = if store_was_available { GRACE_AFTER_DISCONNECT } else { GRACE_AFTER_OUTAGE };
        // Whoever learns of the missing server from the first answer has not recorded it yet.
        (self.ended_at.unwrap_or(now) + grace).saturating_sub(now)
    }
}
