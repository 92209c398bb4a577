//! Moves a service to a new version, or back when the new version is bad.
//!
//! The first half of the time a small share of new sessions tries the new version. When its answers show nothing bad,
//! the share rises until no work is left at the old servers, which stop the moment the rollout is completed.

use crate::{
    answer_counters::Counters,
    hash::HashMap,
    id::{ServiceName, VersionName},
    rollout::{Criteria, Monitor, Verdict},
    unit::Millis,
};

/// Share of new sessions on the new version in the first half.
const CANARY_SHARE: f64 = 0.06;
/// Time before the first request on the new version, in which routers tell each other of sessions that run on the old
/// one.
const CANARY_DELAY: Millis = Millis(1_500);
/// Share of the duration at which all sessions may move.
const SHIFT_AT: f64 = 0.51;
/// Share of the duration at which all requests go to the new version.
const FULL_AT: f64 = 0.62;
/// Share of requests on the new version between `SHIFT_AT` and `FULL_AT`.
const SHIFT_SHARE: f64 = 0.3;
/// Share of the duration at which work left at old servers no longer holds up the end.
const COMPLETE_BY: f64 = 0.9;
/// Answers of the new version without which it is not trusted with more.
const LEAST_ANSWERS: u64 = 20;
/// Most sessions remembered.
const MAX_SESSIONS: usize = 20_000;
/// Shares of failed answers of a good and of a bad version.
const CRITERIA: Criteria = Criteria { good_error_rate: 0.01, bad_error_rate: 0.15 };

/// An operator's order to move a service to another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Service to move.
    pub service: ServiceName,
    /// Version to move to.
    pub target: VersionName,
    /// Time within which the move is to be done.
    pub duration: Millis,
    /// What has been reported of it.
    pub state: OrderState,
}

/// State of an order, as reported to the operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderState {
    /// Nothing is reported yet.
    New,
    /// The move is under way.
    Running,
    /// All work runs on the new version.
    Completed,
    /// The new version gets no work any more.
    RolledBack,
}

/// Which versions a request may run on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionRule {
    /// The version that it should run on.
    pub only: Option<VersionName>,
    /// The version that it should not run on.
    pub excluded: Option<VersionName>,
    /// Whether it must not run at all rather than against the rule.
    pub strict: bool,
}

/// One order as this router carries it out.
#[derive(Debug)]
pub struct Canary {
    order: Order,
    started: Millis,
    monitor: Monitor,
    answers: u64,
    bad: bool,
    sessions: HashMap<u64, Pin>,
}

#[derive(Clone, Copy, Debug)]
struct Pin {
    on_target: bool,
    used: Millis,
}

impl Canary {
    /// Starts to carry out `order`, first heard of at `now`.
    pub fn new(order: Order, now: Millis) -> Self {
        let bad = order.state == OrderState::RolledBack;
        Self { order, started: now, monitor: Monitor::default(), answers: 0, bad, sessions: HashMap::default() }
    }

    /// The order.
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// Takes in the state that the store holds.
    pub fn set_state(&mut self, state: OrderState) {
        self.order.state = state;
        self.bad |= state == OrderState::RolledBack;
    }

    /// Time since the order was first heard of.
    pub fn elapsed(&self, now: Millis) -> Millis {
        now.saturating_sub(self.started)
    }

    /// Takes in that another router has heard of the order `elapsed` ago.
    pub fn merge_elapsed(&mut self, now: Millis, elapsed: Millis) {
        self.started = self.started.min(now.saturating_sub(elapsed));
    }

    /// Whether the new version was found bad.
    pub fn is_bad(&self) -> bool {
        self.bad
    }

    /// Takes in that another router has found the new version bad.
    pub fn mark_bad(&mut self) {
        self.bad = true;
    }

    /// Takes in the totals of the new version and of the others; true when this finds the new version bad.
    pub fn evaluate(&mut self, now: Millis, target: Counters, baseline: Counters) -> bool {
        self.answers = self.answers.max(target.answers);
        let verdict = self.monitor.observe(now, CRITERIA, Millis::ZERO, target, baseline);
        let found = matches!(verdict, Verdict::Stop(_)) && !self.bad && self.order.state != OrderState::Completed;
        self.bad |= found;
        found
    }

    /// The state to report next, when it differs from the one reported. `idle` tells whether old servers are without
    /// work.
    pub fn next_state(&self, now: Millis, idle: bool) -> Option<OrderState> {
        let done = matches!(self.order.state, OrderState::Completed | OrderState::RolledBack);
        if done {
            return None;
        }
        if self.bad {
            return Some(OrderState::RolledBack);
        }
        let passed = self.passed(now);
        let drained = passed >= FULL_AT && idle || passed >= COMPLETE_BY;
        if self.is_trusted() && drained {
            return Some(OrderState::Completed);
        }
        (self.order.state == OrderState::New).then_some(OrderState::Running)
    }

    /// The versions for a request of the session with hash `session`.
    pub fn version_rule(&mut self, now: Millis, session: u64, session_time: Millis) -> VersionRule {
        let target = self.order.target.clone();
        if self.order.state == OrderState::Completed {
            return VersionRule { only: Some(target), excluded: None, strict: true };
        }
        if self.bad {
            return VersionRule { only: None, excluded: Some(target), strict: true };
        }
        let on_target = self.assign(now, session, session_time);
        if on_target {
            VersionRule { only: Some(target), excluded: None, strict: false }
        } else {
            VersionRule { only: None, excluded: Some(target), strict: false }
        }
    }

    fn assign(&mut self, now: Millis, session: u64, session_time: Millis) -> bool {
        let share = self.share(now);
        let pinned = self.sessions.get(&session).filter(|pin| now.saturating_sub(pin.used) < session_time);
        let drawn = is_drawn(session, share);
        let on_target = match pinned {
            Some(pin) if self.passed(now) < SHIFT_AT => pin.on_target,
            Some(pin) => pin.on_target || drawn,
            None => drawn,
        };
        if self.sessions.len() >= MAX_SESSIONS {
            self.sessions.retain(|_, pin| now.saturating_sub(pin.used) < session_time);
        }
        self.sessions.insert(session, Pin { on_target, used: now });
        on_target
    }

    /// Sessions that would be drawn for the new version in the first half, but run on the old one.
    pub fn sessions_kept_on_old(&self, now: Millis, session_time: Millis) -> Vec<u64> {
        if self.passed(now) >= SHIFT_AT || self.bad {
            return Vec::new();
        }
        let is_kept = |session: u64, pin: &Pin| {
            !pin.on_target && now.saturating_sub(pin.used) < session_time && is_drawn(session, CANARY_SHARE)
        };
        self.sessions.iter().filter(|(session, pin)| is_kept(**session, pin)).map(|(session, _)| *session).collect()
    }

    /// Notes a request that ran before the order, so that its session stays on the old version.
    pub fn pin_to_old(&mut self, session: u64, used: Millis) {
        self.sessions.entry(session).or_insert(Pin { on_target: false, used });
    }

    fn share(&self, now: Millis) -> f64 {
        let passed = self.passed(now);
        if self.elapsed(now) < CANARY_DELAY {
            0.0
        } else if passed < SHIFT_AT {
            CANARY_SHARE
        } else if passed < FULL_AT || !self.is_trusted() {
            // A service with few requests has too few answers by now; this gathers them.
            SHIFT_SHARE
        } else {
            1.0
        }
    }

    fn is_trusted(&self) -> bool {
        self.answers >= LEAST_ANSWERS && !self.bad
    }

    fn passed(&self, now: Millis) -> f64 {
        self.elapsed(now).0 as f64 / self.order.duration.0.max(1) as f64
    }
}

/// Whether a share of the sessions includes the one with this hash; a larger share includes all of a smaller one.
fn is_drawn(session: u64, share: f64) -> bool {
    (session % 10_000) as f64 / 10_000.0 < share
}
