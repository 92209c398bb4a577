//! Availability of the store, and for how long backend servers that are missing from it stay in use.
//!
//! The pattern: while the store is away, the entries of servers lapse that can't renew them. Servers that live enter
//! themselves again within about two seconds of its return, and should stay in use until then. Any other missing server has
//! left. The grace belongs to the outage, not to the server: it ends at a fixed time after the store has answered again,
//! whenever a server is found missing. Otherwise a server that leaves some seconds after an outage is kept too long.
//!
//! The store also ends the connections of calls while it is available, those of waiting watches above all. Such a cut alone
//! shows no outage: the next call, on a new connection, tells ([`CallSequence`]).

use crate::unit::Millis;

/// Time after the return of the store until which missing servers stay in use.
const GRACE_AFTER_OUTAGE: Millis = Millis(2_200);
/// The same when only this router could not reach the store. It ends before the deadline after which a missing server must
/// get no new requests.
const GRACE_AFTER_DISCONNECT: Millis = Millis(1_200);
/// The store counts as available at the time of a failed call if the newest confirmation of another router is less than
/// this much older than the call.
const OTHERS_CONFIRMED_WITHIN: Millis = Millis(3_200);

/// How a call to the store ended that got no usable response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The store ended an open connection.
    Cut,
    /// The store refused the connection or the call, or did not respond in time.
    Failed,
}

/// What the end of a call without a usable response shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// Nothing yet. The next call shows it, and should be made at once.
    Undecided,
    /// Nothing yet, but connections are cut one after the other, so the next call should be made after a pause. This is the
    /// number of cuts since the last complete watch.
    Repeated(u32),
    /// The store is unavailable.
    Lost,
}

/// Calls to the store that are made one after the other, each on a new connection if the last one was cut.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallSequence {
    /// Whether the last call was cut.
    in_doubt: bool,
    /// Number of cuts since the last complete watch.
    cuts: u32,
    /// Number of watches since the last complete one that could not be continued from their place.
    resyncs: u32,
}

impl CallSequence {
    /// Records a complete response, to a watch or to another call.
    pub fn record_answer(&mut self, is_watch: bool) {
        self.in_doubt = false;
        if is_watch {
            (self.cuts, self.resyncs) = (0, 0);
        }
    }

    /// Records a response which shows that the changes since the copy's place must be read by a list, and returns how many
    /// there were since the last complete watch. The first list is made at once. With more, lists and watches may follow each
    /// other without end, so each list should be made after a pause.
    pub fn record_resync(&mut self) -> u32 {
        self.in_doubt = false;
        self.resyncs += 1;
        self.resyncs
    }

    /// Records the end of a call without a usable response, and returns what it shows.
    pub fn record_end(&mut self, end: CallEnd) -> Finding {
        let was_in_doubt = std::mem::replace(&mut self.in_doubt, true);
        if end == CallEnd::Failed || was_in_doubt {
            return Finding::Lost;
        }
        self.cuts += 1;
        if self.cuts == 1 { Finding::Undecided } else { Finding::Repeated(self.cuts) }
    }
}

/// Time for which a server that is found missing at `now` stays in use if the store came back from an older copy at `risen_at`.
/// The copy lacks the servers that entered themselves since it was made; they do so again.
pub fn grace_after_rise(now: Millis, risen_at: Option<Millis>) -> Millis {
    risen_at.map_or(Millis::ZERO, |at| (at + GRACE_AFTER_OUTAGE).saturating_sub(now))
}

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
