//! Rollout of a new version of a service, with a rollback if the new version is bad.
//!
//! During the first half of the rollout, a small share of new sessions uses the new version. If its answers show no
//! problem, the share rises until the old servers have no work left. They stop as soon as the rollout is completed, and
//! there is no way back. Therefore each step rests on answers that the version gave in the stage before it (`stage`).
//!
//! The requests of a session come at any router, and a session that has used the new version must not return to the old
//! one. Routers that see different evidence at a time, or let the share fall while they are in doubt, would send it back.
//! Therefore a rise is announced before it takes effect, all routers let the share rise at the same time, and it never
//! falls unless the version is withdrawn.

use std::fmt;

use crate::{
    id::{ServiceName, VersionName},
    place::Place,
    request_kind::{CountersByKind, RequestKind},
    rollout::{Criteria, Criterion, Monitor, PASS_SUM, Verdict},
    session_map::SessionMap,
    stage::{Stage, StageEvidence},
    unit::Millis,
    withdrawn::Withdrawal,
};

/// Share of new sessions that use the new version during the first half.
const CANARY_SHARE: f64 = 0.06;
/// Time before the first request to the new version, in which routers exchange the sessions that use the old version.
const CANARY_DELAY: Millis = Millis(1_500);
/// Share of the duration after which sessions on the old version may move to the new one.
const SHIFT_AT: f64 = 0.51;
/// Share of the duration after which all requests go to the new version.
const FULL_AT: f64 = 0.58;
/// Share of sessions on the new version between `SHIFT_AT` and `FULL_AT`.
const SHIFT_SHARE: f64 = 0.3;
/// Time for which a router reports a newer use of a session that stays on the old version. Other routers pass it on.
const KEPT_REPORT_TIME: Millis = Millis(2_000);
/// Time by which a reported use must be later than the known one to be newer. The way of a report makes its use look later.
const MIN_NEWER: Millis = Millis(200);
/// Time between the announcement of a rise of the share and its effect, in which the other routers learn of it.
const RISE_NOTICE: Millis = Millis(1_000);
/// Share of the duration from which the rollout is completed once the old servers have no work left.
const COMPLETE_FROM: f64 = 0.75;
/// Share of the duration after which work left at old servers no longer delays the completion.
const COMPLETE_BY: f64 = 0.9;
/// Minimum number of answers of the new version, in all stages together, before it gets all requests after a shift, and
/// before its rollout is completed.
const MIN_ANSWERS: u64 = 20;
/// Share of the duration after which a version that is in doubt is withdrawn, since no time is left to clear it.
const DECIDE_BY: f64 = 0.95;
/// Evidence of too many errors, as a log-likelihood ratio, from which the new version is withdrawn. A good version
/// reaches it by chance once in about e^12 / 0.14 = 1.2e6 answers.
const MAX_ERROR_SUM: f64 = 12.0;
/// Number of answers with all requests by which the evidence must not speak against the version any more, and the evidence
/// for a good version below which it does. They bound what a bad version gets whose failures come seldom.
const MAX_UNDECIDED_ANSWERS: u64 = 40;
const MIN_EVIDENCE_FOR_GOOD: f64 = -2.0;
/// Error rates of a good and of a bad version.
const CRITERIA: Criteria = Criteria { good_error_rate: 0.005, bad_error_rate: 0.15 };

/// An operator's order to move a service to another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Service to move.
    pub service: ServiceName,
    /// Version to move to.
    pub target: VersionName,
    /// Time within which the rollout should be completed.
    pub duration: Millis,
    /// State that was reported for it.
    pub state: OrderState,
    /// Place of the store at which this router received the order.
    pub place: Place,
}

/// State of an order, as reported to the operators. It only rises, up to one of the last two, which are final.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OrderState {
    /// No state has been reported yet.
    New,
    /// The rollout is in progress.
    Running,
    /// All requests go to the new version.
    Completed,
    /// The new version gets no more requests.
    RolledBack,
}

impl OrderState {
    /// Whether the order has been carried out or given up.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}

/// Versions that a request may run on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionRule {
    /// Version that the request should run on.
    pub only: Option<VersionName>,
    /// Version that the request should not run on.
    pub excluded: Option<VersionName>,
    /// Whether the request must fail if no server satisfies the rule, instead of running on any version.
    pub strict: bool,
    /// Whether `only` has yet to show that it is good, so that its servers are to be put under load.
    pub on_trial: bool,
}

/// Progress of one order at this router.
#[derive(Debug)]
pub struct Canary {
    /// The order, with the highest state that was reported for it.
    order: Order,
    /// State that the store has. It is lower if the store came back from an older copy; then the state is reported again.
    stored_state: OrderState,
    started: Millis,
    /// Tests of the new version for each kind of request.
    monitors: [Monitor; RequestKind::ALL.len()],
    /// Number of answers of the new version.
    answers: u64,
    evidence: StageEvidence,
    /// Whether the new version was found bad.
    bad: bool,
    /// Version of each session, by the hash of the session.
    sessions: SessionMap<PinnedSession>,
    rises: Rises,
    skips_shift: bool,
}

/// Times since the start of an order at which the share of the new version rises. Routers exchange them; the earliest ones
/// count, so that a late, lost, repeated or reordered message changes nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rises {
    /// Rise to `SHIFT_SHARE`; none if it has not been decided.
    pub to_shift: Option<Millis>,
    /// Rise to all requests; none if it has not been decided.
    pub to_full: Option<Millis>,
}

impl Rises {
    /// Takes over the earlier times of `other`.
    pub fn merge(&mut self, other: Self) {
        let earlier = |a: Option<Millis>, b: Option<Millis>| a.into_iter().chain(b).min();
        self.to_shift = earlier(self.to_shift, other.to_shift);
        self.to_full = earlier(self.to_full, other.to_full);
    }
}

/// What a router knows of the version of a session during a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pin {
    /// The session is not known.
    None,
    /// The session has expired.
    Expired,
    /// The session uses the new version.
    New,
    /// The session uses an old version.
    Old,
}

impl fmt::Display for Pin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::None => "none",
            Self::Expired => "expired",
            Self::New => "new",
            Self::Old => "old",
        })
    }
}

/// A session that stays on the old version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeptSession {
    /// Hash of the session.
    pub session: u64,
    /// Time of its last request, at any router.
    pub last_used: Millis,
}

#[derive(Clone, Copy, Debug)]
struct PinnedSession {
    on_target: bool,
    last_used: Millis,
    /// Time at which this router learned of the last use.
    learned_at: Millis,
}

impl Canary {
    /// Starts the rollout of `order`, first received at `now`.
    pub fn new(order: Order, now: Millis) -> Self {
        let bad = order.state == OrderState::RolledBack;
        Self {
            stored_state: order.state,
            order,
            started: now,
            monitors: Default::default(),
            answers: 0,
            evidence: StageEvidence::default(),
            bad,
            sessions: SessionMap::default(),
            rises: Rises::default(),
            skips_shift: false,
        }
    }

    /// The order.
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// Records the state that the store has for the order.
    pub fn set_stored_state(&mut self, state: OrderState) {
        self.stored_state = state;
        self.order.state = self.order.state.max(state);
        self.bad |= state == OrderState::RolledBack;
    }

    /// Time since a router first received the order, as far as is known to this router.
    pub fn elapsed(&self, now: Millis) -> Millis {
        now.saturating_sub(self.started)
    }

    /// Records that another router received the order `elapsed` ago. The earliest receipt counts.
    pub fn merge_elapsed(&mut self, now: Millis, elapsed: Millis) {
        self.started = self.started.min(now.saturating_sub(elapsed));
    }

    /// Whether the new version was found bad.
    pub fn is_bad(&self) -> bool {
        self.bad
    }

    /// The verdict on the new version if it was found bad.
    pub fn withdrawal(&self) -> Option<Withdrawal> {
        let Order { service, target, place, .. } = &self.order;
        self.bad.then(|| Withdrawal { service: service.clone(), version: target.clone(), place: *place })
    }

    /// Records that another router has found the new version bad.
    pub fn mark_bad(&mut self) {
        self.bad = true;
    }

    /// Evaluates the totals of the new version and of the other versions. If the new version is found bad by this call,
    /// returns the criterion that it failed.
    pub fn evaluate(&mut self, now: Millis, target: CountersByKind, baseline: CountersByKind) -> Option<Criterion> {
        self.answers = self.answers.max(target.total().answers);
        if self.evidence.observe(self.stage(now), target, baseline) {
            self.monitors.iter_mut().for_each(|monitor| monitor.begin_step(now));
        }
        let mut failed = None;
        for kind in RequestKind::ALL {
            let monitor = &mut self.monitors[kind.index()];
            if let Verdict::Stop(criterion) =
                monitor.observe(now, CRITERIA, Millis::ZERO, target.of(kind), baseline.of(kind))
            {
                failed = Some(criterion);
            }
        }
        // The kinds' answers are independent of each other, so their evidence adds up.
        let is_undecided = self.evidence.stage() == Stage::Full && self.evidence.answers() >= MAX_UNDECIDED_ANSWERS;
        if self.monitors.iter().map(Monitor::error_sum).sum::<f64>() >= MAX_ERROR_SUM
            || is_undecided && self.evidence_for_good() < MIN_EVIDENCE_FOR_GOOD
        {
            failed = Some(Criterion::Errors);
        }
        if failed.is_none() && self.progress(now) >= DECIDE_BY {
            failed = self.monitors.iter().find_map(Monitor::doubted_criterion);
        }
        let newly_failed = failed.filter(|_| !self.bad && self.order.state != OrderState::Completed);
        self.bad |= newly_failed.is_some();
        self.decide_rises(now);
        newly_failed
    }

    /// Evidence on the new version in the present stage.
    pub fn evidence(&self) -> &StageEvidence {
        &self.evidence
    }

    /// Rises of the share that have been decided.
    pub fn rises(&self) -> Rises {
        self.rises
    }

    /// Takes over the rises that another router has decided.
    pub fn merge_rises(&mut self, rises: Rises) {
        self.rises.merge(rises);
    }

    /// Lets the share rise to all requests at once if the version has enough answers by then. For a service whose servers
    /// are filled one after the other, since a part of its requests would put none of them under load.
    pub fn skip_shift(&mut self) {
        self.skips_shift = true;
    }

    /// Decides on the next rise of the share, unless the new version is in doubt.
    fn decide_rises(&mut self, now: Millis) {
        if self.bad || self.in_doubt() {
            return;
        }
        let at = |share: f64| Millis((self.order.duration.0 as f64 * share) as u64);
        let earliest = self.elapsed(now) + RISE_NOTICE;
        let skips_shift = self.skips_shift && self.evidence.suffices(Stage::Canary, false) && !self.in_doubt();
        if earliest >= at(SHIFT_AT) && !skips_shift && self.rises.to_full.is_none() {
            self.rises.to_shift.get_or_insert(earliest);
        }
        // A service with few requests may have too few answers by now; the share before collects more.
        if earliest >= at(FULL_AT) && (skips_shift || self.may_leave(Stage::Shift, now)) {
            self.rises.to_full.get_or_insert(earliest);
        }
    }

    /// State to report next, if it differs from that in the store. `idle` is whether the old servers have no work.
    pub fn next_state(&self, now: Millis, idle: bool) -> Option<OrderState> {
        if self.stored_state.is_final() {
            return None;
        }
        if self.order.state.is_final() {
            return Some(self.order.state);
        }
        if self.bad {
            return Some(OrderState::RolledBack);
        }
        let progress = self.progress(now);
        let drained = progress >= COMPLETE_FROM && idle || progress >= COMPLETE_BY;
        if drained && self.has_passed(now) {
            return Some(OrderState::Completed);
        }
        (self.stored_state == OrderState::New).then_some(OrderState::Running)
    }

    /// What is known of the version of a session.
    pub fn pin(&self, now: Millis, session: u64, session_time: Millis) -> Pin {
        match self.sessions.get(session) {
            None => Pin::None,
            Some(pin) if now.saturating_sub(pin.last_used) >= session_time => Pin::Expired,
            Some(pin) if pin.on_target => Pin::New,
            Some(_) => Pin::Old,
        }
    }

    /// Versions for a request of the session with hash `session`. `session_time` is the idle time after which a session
    /// expires.
    pub fn version_rule(&mut self, now: Millis, session: u64, session_time: Millis) -> VersionRule {
        let target = self.order.target.clone();
        if self.order.state == OrderState::Completed {
            return VersionRule { only: Some(target), strict: true, ..VersionRule::default() };
        }
        if self.bad {
            return VersionRule { excluded: Some(target), strict: true, ..VersionRule::default() };
        }
        if self.assign_session(now, session, session_time) {
            VersionRule { only: Some(target), on_trial: !self.has_passed(now), ..VersionRule::default() }
        } else {
            VersionRule { excluded: Some(target), ..VersionRule::default() }
        }
    }

    /// Records that a session is in use, or was until now. One that had expired by now stays so.
    pub fn renew(&mut self, now: Millis, session: u64, session_time: Millis) {
        let is_active = |pin: &&PinnedSession| now.saturating_sub(pin.last_used) < session_time;
        if let Some(pin) = self.sessions.get(session).filter(is_active).copied() {
            let pin = PinnedSession { last_used: now, learned_at: now, ..pin };
            self.sessions.insert(now, session_time, session, pin);
        }
    }

    /// Records that a request of a session ran on `version`, which need not be the one that its rule preferred.
    pub fn record_run(&mut self, now: Millis, session: u64, version: &VersionName, session_time: Millis) {
        let pin = PinnedSession { on_target: *version == self.order.target, last_used: now, learned_at: now };
        self.sessions.insert(now, session_time, session, pin);
    }

    /// Pins the session to a version and returns whether this is the new one.
    fn assign_session(&mut self, now: Millis, session: u64, session_time: Millis) -> bool {
        let share = self.target_share(now);
        let pinned = self.sessions.get(session).filter(|pin| now.saturating_sub(pin.last_used) < session_time);
        let selected = is_in_share(session, share);
        let on_target = match pinned {
            Some(pin) if self.progress(now) < SHIFT_AT => pin.on_target,
            Some(pin) => pin.on_target || selected,
            None => selected,
        };
        let pin = PinnedSession { on_target, last_used: now, learned_at: now };
        self.sessions.insert(now, session_time, session, pin);
        on_target
    }

    /// Sessions that stay on the old version during the first half, although `CANARY_SHARE` includes them, and of whose
    /// last use other routers may not know.
    pub fn sessions_kept_on_old(&self, now: Millis, session_time: Millis) -> Vec<KeptSession> {
        if self.progress(now) >= SHIFT_AT || self.bad {
            return Vec::new();
        }
        let is_kept = |session: u64, pin: &PinnedSession| {
            let is_active = now.saturating_sub(pin.last_used) < session_time;
            let is_new = now.saturating_sub(pin.learned_at) < KEPT_REPORT_TIME;
            !pin.on_target && is_active && is_new && is_in_share(session, CANARY_SHARE)
        };
        let kept = self.sessions.iter().filter(|(session, pin)| is_kept(*session, pin));
        kept.map(|(session, pin)| KeptSession { session, last_used: pin.last_used }).collect()
    }

    /// Pins a session to the old version that it has used, before the order or at another router. A session that is
    /// pinned to the new version stays there until its pin expires. An expired pin gives way: while this router had no
    /// request of the session, others may have had some.
    ///
    /// Returns what was known of the session before.
    pub fn pin_to_old(&mut self, now: Millis, kept: KeptSession, session_time: Millis) -> Pin {
        let KeptSession { session, last_used } = kept;
        let before = self.pin(now, session, session_time);
        let gives_way = |pin: &PinnedSession| {
            let has_expired = now.saturating_sub(pin.last_used) >= session_time;
            pin.last_used + MIN_NEWER <= last_used && (has_expired || !pin.on_target)
        };
        let pin = PinnedSession { on_target: false, last_used, learned_at: now };
        if self.sessions.get(session).is_none_or(gives_way) {
            self.sessions.insert(now, session_time, session, pin);
        }
        before
    }

    /// Share of sessions for the new version.
    fn target_share(&self, now: Millis) -> f64 {
        match self.stage(now) {
            Stage::Waiting => 0.0,
            Stage::Canary => CANARY_SHARE,
            Stage::Shift => SHIFT_SHARE,
            Stage::Full => 1.0,
        }
    }

    fn stage(&self, now: Millis) -> Stage {
        let elapsed = self.elapsed(now);
        let has_risen = |at: Option<Millis>| at.is_some_and(|at| at <= elapsed);
        if has_risen(self.rises.to_full) {
            Stage::Full
        } else if has_risen(self.rises.to_shift) {
            Stage::Shift
        } else if elapsed >= CANARY_DELAY {
            Stage::Canary
        } else {
            Stage::Waiting
        }
    }

    /// Whether the new version has enough answers, also in `stage`, and nothing suggests that it is bad.
    fn may_leave(&self, stage: Stage, now: Millis) -> bool {
        let overdue = self.progress(now) >= COMPLETE_BY;
        let has_answers = self.answers >= MIN_ANSWERS && self.evidence.suffices(stage, overdue);
        has_answers && !self.bad && !self.in_doubt()
    }

    /// Whether the new version has shown under the load of all requests that it is good.
    fn has_passed(&self, now: Millis) -> bool {
        let needed = if self.progress(now) < COMPLETE_BY { PASS_SUM } else { 0.0 };
        self.may_leave(Stage::Full, now) && self.evidence_for_good() > needed
    }

    /// Evidence of the present stage for a good version, as a log-likelihood ratio.
    fn evidence_for_good(&self) -> f64 {
        self.monitors.iter().map(Monitor::evidence_for_good).sum()
    }

    /// Whether there is evidence that the new version is bad, although not enough to withdraw it.
    fn in_doubt(&self) -> bool {
        self.monitors.iter().any(Monitor::in_doubt)
    }

    /// Elapsed share of the order's duration.
    fn progress(&self, now: Millis) -> f64 {
        self.elapsed(now).0 as f64 / self.order.duration.0.max(1) as f64
    }
}

/// Whether `share` of the sessions includes the one with this hash. A larger share includes all sessions of a smaller
/// one.
fn is_in_share(session: u64, share: f64) -> bool {
    (session % 10_000) as f64 / 10_000.0 < share
}
