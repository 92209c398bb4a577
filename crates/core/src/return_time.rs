//! How fast requests end, how long a waiting request waits, and when a refused one should come back.
//!
//! The load: a wave of requests is refused at once and returns at once, time after time. Refused requests get times to come
//! back at the rate at which requests end, one after the other, so that each finds a free slot. More urgent requests get
//! theirs regardless of the times that were given to less urgent ones.
//!
//! The rate is the number of requests in progress by the mean time for which they occupy a slot, not the number that ended
//! recently: before a burst, few requests end because few were sent.

use crate::unit::Millis;

/// Number of levels of urgency; 0 is the most urgent.
pub const URGENCIES: usize = 10;
/// Weight of the newest request in the mean time for which requests occupy a slot.
const AVERAGE_WEIGHT: f64 = 0.1;
/// Number of requests that would have ended by now at the predicted rate, without one that has, from which the rate is
/// taken from the time without an end instead. With random ends, 2% of the pauses are longer.
const STALL_ENDS: f64 = 4.0;
/// Part of the time that a caller has left for which it is willing to wait until it comes back.
const CALLER_PATIENCE: f64 = 1.0 / 3.0;
/// Shortest time after which a refused request comes back. Shorter ones return before another slot is likely to be free on
/// any host.
const MIN_RETURN: Millis = Millis(20);

/// Times of one service at one gateway.
#[derive(Clone, Debug, Default)]
pub struct ReturnTimes {
    /// Mean time in milliseconds for which a request occupies a slot; none before the first one has ended.
    hold: Option<f64>,
    last_end: Millis,
    /// Start of the present scarcity; none while there is room.
    scarce_since: Option<Millis>,
    /// Time of the next free return by urgency, in milliseconds.
    next_return: [f64; URGENCIES],
}

/// What must end before a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backlog {
    /// Number of requests in progress.
    pub own: u32,
    /// Number of requests that may be in progress. It is smaller than `own` after capacity was lost.
    pub allowed: u32,
    /// Number of requests that are sent before.
    pub ahead: u32,
}

impl ReturnTimes {
    /// Records that a request ended that occupied a slot for `hold`.
    pub fn record_end(&mut self, now: Millis, hold: Millis) {
        let hold = (hold.0 as f64).max(1.0);
        let average = self.hold.unwrap_or(hold);
        self.hold = Some(average + AVERAGE_WEIGHT * (hold - average));
        self.last_end = now;
    }

    /// Records whether there is room.
    pub fn record_room(&mut self, now: Millis, has_room: bool) {
        if has_room {
            self.scarce_since = None;
        } else {
            self.scarce_since.get_or_insert(now);
        }
    }

    /// Requests that end per millisecond while `running` are in progress; none if no request has ended yet.
    pub fn rate(&self, now: Millis, running: u32) -> Option<f64> {
        let rate = f64::from(running.max(1)) / self.hold?;
        let stalled = self.scarce_since.map_or(Millis::ZERO, |since| now.saturating_sub(since.max(self.last_end)));
        let stalled = stalled.0 as f64;
        Some(if stalled * rate > STALL_ENDS { STALL_ENDS / stalled } else { rate })
    }

    /// Predicted time until a request may be sent; none if it can't be predicted.
    pub fn wait(&self, now: Millis, backlog: Backlog) -> Option<Millis> {
        let (rate, steady) = (self.rate(now, backlog.own)?, self.rate(now, backlog.steady())?);
        Some(millis(backlog.wait(rate, steady)))
    }

    /// Time after which a request that is refused now should come back. None if that is more than a third of `time_left`.
    /// `assumed_hold` is used before any request has ended.
    pub fn assign(
        &mut self,
        now: Millis,
        backlog: Backlog,
        urgency: u8,
        time_left: Millis,
        assumed_hold: Millis,
    ) -> Option<Millis> {
        let rate = |running: u32| {
            let assumed = || f64::from(running.max(1)) / (assumed_hold.0 as f64).max(1.0);
            self.rate(now, running).unwrap_or_else(assumed)
        };
        let (rate, steady) = (rate(backlog.own), rate(backlog.steady()));
        let urgency = usize::from(urgency).min(URGENCIES - 1);
        let start = now.0 as f64;
        let earliest = start + backlog.wait(rate, steady).max(MIN_RETURN.0 as f64);
        let at = self.next_return[urgency].max(earliest);
        if at - start > time_left.0 as f64 * CALLER_PATIENCE {
            return None;
        }
        self.next_return[urgency] = at + 1.0 / steady;
        for next in &mut self.next_return[urgency + 1..] {
            *next = next.max(at) + 1.0 / steady;
        }
        // Rounded down, so that the time is within the limit.
        Some(Millis((at - start) as u64))
    }
}

impl Backlog {
    /// Number of requests in progress once there is room for no more than one at a time.
    fn steady(self) -> u32 {
        self.own.min(self.allowed)
    }

    /// Time until a request may be sent, if `rate` requests end per millisecond now and `steady` later.
    fn wait(self, rate: f64, steady: f64) -> f64 {
        let shortage = (self.own + 1).saturating_sub(self.allowed);
        f64::from(shortage) / rate + f64::from(self.ahead) / steady
    }
}

fn millis(value: f64) -> Millis {
    Millis(value.ceil() as u64)
}
