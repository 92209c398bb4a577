//! Lease on the duties that only one router may perform at a time.
//!
//! The load: the holder is killed or frozen, the store is away for longer than the lease lasts, answers of the store are
//! lost while their writes take effect later, and several routers want the lease at once. The lease is one object in the
//! store that is only ever replaced under the revision that was read, so that of all writes under one revision at most one
//! takes effect, whenever that is.
//!
//! The holder may act for a part of the lease time, measured from before it sent its last confirmed write. Another router
//! replaces the object after it has known one revision for longer than the lease time. The write that made this revision
//! was sent before it was read, so the holder has stopped by then. A read never extends the time to act: another router may
//! have read the same revision before.
//!
//! When the store comes back from an older copy, it has forgotten the last renewals, and maybe the last holder, and gives out again
//! the revisions under which they were written. So each era has an object of its own: a write that was meant for an earlier era
//! can't replace it. A router that has renewed the lease within the lease time when the era rises is the last holder, since a
//! takeover takes longer. It stops, makes the object of the new era from what it knows, and goes on. Any other router makes it only
//! after the wait of a takeover. It can't know what the last holder has settled and sent, so it leaves out all windows that have
//! ended. Fences taken in an era are above those of all earlier ones, whatever counter the object holds.

use std::net::SocketAddr;

use crate::{
    id::{Era, Fence, HostId, Incarnation},
    place::Place,
    unit::Millis,
    usage::{Report, WindowId},
};

/// Share of the lease time for which the holder may act after its last renewal. The rest covers clocks of different speed.
const ACT_SHARE: f64 = 0.6;
/// Share of the lease time that must be left of this when a call begins.
const CALL_SHARE: f64 = 0.1;
/// Number of renewals in one lease time.
const RENEWALS_PER_LEASE: u64 = 3;
/// Share of the lease time that a router waits beyond it before it takes the lease over.
const TAKEOVER_MARGIN_SHARE: f64 = 0.1;
/// Number of routers that may take the lease over, by rank.
pub const MAX_CANDIDATES: usize = 3;
/// Number of fences of one era of the store.
const FENCES_PER_ERA: u64 = 1_000_000;
/// Maximum number of reports in the lease. The oldest are dropped first.
const MAX_REPORTS: usize = 64;
/// Number of finished reports that stay in the lease, for operators.
const FINISHED_REPORTS: usize = 2;

/// A process that can hold the lease. A restarted router is another holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Host of the router.
    pub id: HostId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Address for calls from other routers.
    pub address: SocketAddr,
}

/// Content of the lease object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The holder.
    pub holder: Holder,
    /// Fencing token; rises with each new holder.
    pub fence: Fence,
    /// Number of writes by this holder, so that each one changes the object.
    pub renewals: u64,
    /// Last window that was settled or abandoned. No window up to this one is settled again.
    pub settled_through: WindowId,
    /// Settled reports, oldest first: all that are not finished, and some that are.
    pub reports: Vec<Report>,
}

impl Lease {
    fn is_unfinished(&self, window: WindowId) -> bool {
        self.reports.iter().any(|report| report.window == window && !report.done)
    }
}

/// The lease object as read from the store or confirmed by it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// Era of the object, and revision of its last change.
    pub place: Place,
    /// Its content.
    pub lease: Lease,
}

/// What other routers say about the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heard {
    /// The holder.
    pub holder: Holder,
    /// Its fence.
    pub fence: Fence,
    /// Number of its last renewal.
    pub renewals: u64,
    /// Time before its last confirmed renewal was sent, on the clock of this router.
    pub renewed: Millis,
    /// Last window that was settled or abandoned.
    pub settled_through: WindowId,
}

/// Call to the store that the router makes next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// None before this time, unless something is heard.
    Wait(Millis),
    /// Reads the object of the latest era that has one.
    Read,
    /// Creates the object of this era if it does not exist.
    Create(Era, Lease),
    /// Replaces the object if it has not changed since the place.
    Replace(Stored),
}

/// Outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The object has been written; this is the place of the change.
    Written(Place),
    /// The object has changed since, exists already, or does not exist any more.
    Conflict,
    /// The store has not executed the call and never will.
    Refused,
    /// The write may take effect at any later time while its condition holds.
    Unknown,
}

/// Change of what this router knows about its own lease, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// This router holds the lease now.
    Taken(Fence),
    /// Another router has taken the lease, or the object is gone.
    Lost(Fence),
    /// Another router was faster.
    RaceLost,
}

#[derive(Clone, Debug)]
enum Phase {
    /// Listens for renewals of others since `since`; reads the object if there are none.
    Listening { since: Millis },
    /// Has known the object, or that there is none, since `at`, and replaces it after the wait.
    Observing { at: Millis, seen: Option<Stored> },
    /// Is in the object, as far as is known.
    Holding(Held),
}

#[derive(Clone, Debug)]
struct Held {
    stored: Stored,
    /// Time before the last confirmed write was sent; none if this router has only read that it holds the lease.
    valid_from: Option<Millis>,
    /// Whether the object must be read before it is written, because the outcome of a write is unknown.
    must_read: bool,
    /// Changes for the next write.
    settled_through: WindowId,
    reports: Vec<Report>,
    finished: Vec<WindowId>,
}

/// The lease as one router sees it. The router makes one call to the store at a time.
#[derive(Clone, Debug)]
pub struct DutyLease {
    own: Holder,
    duration: Millis,
    phase: Phase,
    heard: Option<Heard>,
    /// Highest era of the store.
    era: Era,
    /// Whether the era has risen since the start.
    saw_rise: bool,
    /// Highest fence that was read or heard of.
    max_fence: Fence,
    /// Last window that is not reported if this router creates the object: also the last one that is known to be settled, in
    /// case the object was deleted.
    first_settled: WindowId,
    /// Content of the write in progress.
    in_flight: Option<Lease>,
    /// Time before which no call is made, after a failure or a renewal.
    not_before: Millis,
}

impl DutyLease {
    /// The lease of `duration`, as the router `own` sees it when it starts at `now`. `first_settled` is the last window
    /// that is not reported if this router is the first holder.
    pub fn new(own: Holder, duration: Millis, now: Millis, first_settled: WindowId) -> Self {
        Self {
            own,
            duration,
            phase: Phase::Listening { since: now },
            heard: None,
            era: Era::default(),
            saw_rise: false,
            max_fence: Fence(0),
            first_settled,
            in_flight: None,
            not_before: Millis::ZERO,
        }
    }

    /// Fence with which this router may begin a call now; none if it may not.
    pub fn may_act(&self, now: Millis) -> Option<Fence> {
        self.held_fence(now, ACT_SHARE - CALL_SHARE)
    }

    /// Whether a call that began with `fence` may go on.
    pub fn may_go_on(&self, now: Millis, fence: Fence) -> bool {
        self.held_fence(now, ACT_SHARE) == Some(fence)
    }

    fn held_fence(&self, now: Millis, share: f64) -> Option<Fence> {
        let Phase::Holding(held) = &self.phase else { return None };
        let valid_from = held.valid_from?;
        (now.saturating_sub(valid_from) < self.share(share)).then_some(held.stored.lease.fence)
    }

    /// Records that the store is in `era` at `now`. If it came back from an older copy since, this router stops acting.
    pub fn record_era(&mut self, now: Millis, era: Era) {
        if era <= self.era {
            return;
        }
        let is_last_holder = self.held_fence(now, 1.0).is_some();
        self.saw_rise |= self.era > Era::default();
        self.era = era;
        match &mut self.phase {
            Phase::Holding(held) if is_last_holder => {
                (held.valid_from, held.must_read) = (None, false);
                self.not_before = now;
            }
            Phase::Holding(_) | Phase::Listening { .. } | Phase::Observing { .. } => {
                self.phase = Phase::Listening { since: now };
            }
        }
    }

    /// The call to make at `now`. `rank` is the position among the live routers, the best candidate first; none if this
    /// router must not take the lease. `ended` is the last window that has ended.
    pub fn next(&mut self, now: Millis, rank: Option<usize>, ended: WindowId) -> Action {
        let rank = rank.filter(|rank| *rank < MAX_CANDIDATES);
        if now < self.not_before {
            return Action::Wait(self.not_before);
        }
        match &self.phase {
            Phase::Listening { since } => {
                let since = (*since).max(self.heard.as_ref().map_or(Millis::ZERO, |heard| heard.renewed));
                let Some(rank) = rank else { return Action::Wait(now + self.duration) };
                let quiet_until = since + Millis(self.duration.0 * (1 + rank as u64));
                if now < quiet_until { Action::Wait(quiet_until) } else { Action::Read }
            }
            Phase::Observing { at, seen } => {
                let fence = seen.as_ref().map_or(Fence(0), |seen| seen.lease.fence);
                let renewed = self.heard.as_ref().filter(|heard| heard.fence >= fence).map(|heard| heard.renewed);
                if rank.is_none() || renewed.is_some_and(|renewed| renewed > *at) {
                    self.phase = Phase::Listening { since: now };
                    return Action::Wait(now + self.duration);
                }
                let take_over_at = *at + self.takeover_wait();
                if now < take_over_at {
                    return Action::Wait(take_over_at);
                }
                let (settled_through, reports) = match seen {
                    Some(seen) if seen.place.era() == self.era => {
                        (seen.lease.settled_through, seen.lease.reports.clone())
                    }
                    None if !self.saw_rise => (self.first_settled, Vec::new()),
                    Some(_) | None => (self.first_settled.max(ended), Vec::new()),
                };
                let before_era = Fence(self.era.0.saturating_mul(FENCES_PER_ERA));
                let fence = Fence(fence.max(self.max_fence).max(before_era).0.saturating_add(1));
                let place = seen.as_ref().map(|seen| seen.place);
                let holder = self.own.clone();
                self.write(place, Lease { holder, fence, renewals: 0, settled_through, reports })
            }
            Phase::Holding(held) if held.must_read => Action::Read,
            Phase::Holding(held) => {
                let (place, lease) = (held.stored.place, held.next_content());
                self.not_before = now + Millis(self.duration.0 / RENEWALS_PER_LEASE);
                self.write(Some(place), lease)
            }
        }
    }

    fn write(&mut self, place: Option<Place>, lease: Lease) -> Action {
        self.in_flight = Some(lease.clone());
        match place.filter(|place| place.era() == self.era) {
            Some(place) => Action::Replace(Stored { place, lease }),
            None => Action::Create(self.era, lease),
        }
    }

    /// Records that a read ended at `now` with the object, or without one if there is none.
    pub fn record_read(&mut self, now: Millis, object: Option<Stored>) -> Option<Change> {
        if let Some(object) = &object {
            self.max_fence = self.max_fence.max(object.lease.fence);
            self.first_settled = self.first_settled.max(object.lease.settled_through);
        }
        let before = match std::mem::replace(&mut self.phase, Phase::Listening { since: now }) {
            Phase::Holding(held) => Some(held),
            Phase::Listening { .. } | Phase::Observing { .. } => None,
        };
        let is_of_era = object.as_ref().is_some_and(|object| object.place.era() == self.era);
        match object {
            Some(stored) if stored.lease.holder == self.own && is_of_era => {
                let mut held = Held::new(stored, None);
                if let Some(before) = before.filter(|before| before.stored.lease.fence == held.stored.lease.fence) {
                    // The time to act stays as it was: only a confirmed write extends it.
                    held.valid_from = before.valid_from;
                    held.finished = before.finished;
                    before.reports.into_iter().for_each(|report| held.settle(report));
                    held.skip_through(before.settled_through);
                }
                self.phase = Phase::Holding(held);
                self.not_before = now;
                None
            }
            seen => match before {
                // Held the lease when the era rose, and nobody has made the object of this era yet.
                Some(before) if before.stored.place.era() < self.era && !is_of_era => {
                    self.phase = Phase::Holding(Held { must_read: false, ..before });
                    None
                }
                before => {
                    self.phase = Phase::Observing { at: now, seen };
                    before.map(|before| Change::Lost(before.stored.lease.fence))
                }
            },
        }
    }

    /// Records that a read failed at `now`.
    pub fn record_read_failure(&mut self, now: Millis) {
        self.not_before = now + Millis(self.duration.0 / RENEWALS_PER_LEASE);
    }

    /// Records the outcome at `now` of the write that was sent at `sent`.
    pub fn record_write(&mut self, sent: Millis, now: Millis, outcome: WriteOutcome) -> Option<Change> {
        let lease = self.in_flight.take()?;
        let held = match &mut self.phase {
            Phase::Holding(held) => Some(held),
            Phase::Listening { .. } | Phase::Observing { .. } => None,
        };
        match (outcome, held) {
            (WriteOutcome::Written(place), held) => {
                let (fence, is_new) = (lease.fence, held.as_ref().is_none_or(|held| held.valid_from.is_none()));
                let mut renewed = Held::new(Stored { place, lease }, Some(sent));
                if let Some(held) = held {
                    renewed.finished = std::mem::take(&mut held.finished);
                    renewed.finished.retain(|window| renewed.stored.lease.is_unfinished(*window));
                    std::mem::take(&mut held.reports).into_iter().for_each(|report| renewed.settle(report));
                    renewed.skip_through(held.settled_through);
                }
                self.max_fence = self.max_fence.max(fence);
                self.first_settled = self.first_settled.max(renewed.stored.lease.settled_through);
                self.phase = Phase::Holding(renewed);
                self.not_before = sent + Millis(self.duration.0 / RENEWALS_PER_LEASE);
                is_new.then_some(Change::Taken(fence))
            }
            (WriteOutcome::Refused, _) => {
                self.not_before = now + Millis(self.duration.0 / RENEWALS_PER_LEASE / 2);
                None
            }
            (WriteOutcome::Conflict | WriteOutcome::Unknown, Some(held)) => {
                held.must_read = true;
                self.not_before = now;
                None
            }
            (WriteOutcome::Conflict, None) => {
                self.phase = Phase::Listening { since: now };
                Some(Change::RaceLost)
            }
            // The object shows later whether this router holds the lease. Until then it does not act.
            (WriteOutcome::Unknown, None) => {
                self.phase = Phase::Listening { since: Millis::ZERO };
                self.not_before = now;
                None
            }
        }
    }

    /// Records what another router says; false if it is nothing new. A renewal that is heard of again has no later time, or the
    /// delays of messages that go round would keep a dead holder alive.
    pub fn record_heard(&mut self, heard: Heard) -> bool {
        let order = |heard: &Heard| (heard.fence, heard.renewals);
        if heard.holder == self.own || self.heard.as_ref().is_some_and(|known| order(known) >= order(&heard)) {
            return false;
        }
        if let Phase::Holding(held) = &mut self.phase
            && heard.fence > held.stored.lease.fence
        {
            held.valid_from = None;
            held.must_read = true;
        }
        self.max_fence = self.max_fence.max(heard.fence);
        self.first_settled = self.first_settled.max(heard.settled_through);
        self.heard = Some(heard);
        true
    }

    /// What this router tells the others: its own lease, or the newest that it has heard of.
    pub fn known(&self) -> Option<Heard> {
        let own = match &self.phase {
            Phase::Holding(Held { stored, valid_from: Some(renewed), .. }) => Some(Heard {
                holder: stored.lease.holder.clone(),
                fence: stored.lease.fence,
                renewals: stored.lease.renewals,
                renewed: *renewed,
                settled_through: stored.lease.settled_through,
            }),
            Phase::Holding(_) | Phase::Listening { .. } | Phase::Observing { .. } => None,
        };
        [own, self.heard.clone()].into_iter().flatten().max_by_key(|heard| (heard.fence, heard.renewals))
    }

    /// The lease that this router holds, as last confirmed by the store.
    pub fn held(&self) -> Option<&Lease> {
        let Phase::Holding(held) = &self.phase else { return None };
        Some(&held.stored.lease)
    }

    /// The oldest settled report that must still be sent. Reports that the store has not confirmed are left out.
    pub fn unsent_report(&self) -> Option<&Report> {
        let Phase::Holding(held) = &self.phase else { return None };
        held.stored.lease.reports.iter().find(|report| !report.done && !held.finished.contains(&report.window))
    }

    /// Last window that is settled or abandoned, or will be with the next write; none if this router does not hold the
    /// lease.
    pub fn settled_through(&self) -> Option<WindowId> {
        let Phase::Holding(held) = &self.phase else { return None };
        Some(held.settled_through.max(held.stored.lease.settled_through))
    }

    /// Settles a report with the next write. One for a window that is settled already is ignored.
    pub fn settle(&mut self, report: Report) {
        if let Phase::Holding(held) = &mut self.phase {
            held.settle(report);
        }
    }

    /// Abandons the windows up to `window` that are not settled.
    pub fn skip_through(&mut self, window: WindowId) {
        if let Phase::Holding(held) = &mut self.phase {
            held.skip_through(window);
        }
    }

    /// Marks the report of `window` as sent or abandoned.
    pub fn finish(&mut self, window: WindowId) {
        if let Phase::Holding(held) = &mut self.phase {
            held.finished.push(window);
        }
    }

    fn share(&self, share: f64) -> Millis {
        Millis((self.duration.0 as f64 * share) as u64)
    }

    /// Time for which a router knows one revision before it replaces the object.
    fn takeover_wait(&self) -> Millis {
        self.duration + self.share(TAKEOVER_MARGIN_SHARE)
    }
}

impl Held {
    fn new(stored: Stored, valid_from: Option<Millis>) -> Self {
        let settled_through = stored.lease.settled_through;
        Self { stored, valid_from, must_read: false, settled_through, reports: Vec::new(), finished: Vec::new() }
    }

    fn settle(&mut self, report: Report) {
        if report.window > self.settled_through {
            self.settled_through = report.window;
            self.reports.push(report);
        }
    }

    fn skip_through(&mut self, window: WindowId) {
        self.settled_through = self.settled_through.max(window);
    }

    /// Content of the next write.
    fn next_content(&self) -> Lease {
        let mut lease = self.stored.lease.clone();
        lease.renewals += 1;
        lease.settled_through = self.settled_through;
        lease.reports.extend(self.reports.iter().cloned());
        for report in &mut lease.reports {
            report.done |= self.finished.contains(&report.window);
        }
        let mut finished = lease.reports.iter().filter(|report| report.done).count();
        lease.reports.retain(|report| {
            let drop = report.done && finished > FINISHED_REPORTS;
            finished -= usize::from(drop);
            !drop
        });
        let excess = lease.reports.len().saturating_sub(MAX_REPORTS);
        lease.reports.drain(..excess);
        lease
    }
}
