//! Account of the shares of one customer's spend cap that this router holds. Does no I/O and reads no
//! clock: the time is passed in.

use compact_str::CompactString;
use eelgrasswell_core::unit::{Cost, Millis};

/// Half of the time window over which recent demand is summed.
const DEMAND_BUCKET: Millis = Millis(5_000);
/// The spend cap divided by this is the minimum size of a draw ahead of need, so that small requests do
/// not each need a draw.
const MIN_DRAW_DIVISOR: u64 = 1_000;
/// The spend cap divided by this is the maximum size of a draw ahead of need, so that one router cannot
/// starve the others.
const MAX_AHEAD_DIVISOR: u64 = 20;
/// Time after which an unused share is returned.
const IDLE_TIMEOUT: Millis = Millis(30_000);
/// Time since the last confirmation after which a share is confirmed with the owner of the budget by
/// another draw.
const CONFIRM_INTERVAL: Millis = Millis(30 * 60_000);
/// Time after which an unconfirmed share is returned instead of spent. The owner reclaims the share of a
/// router that was missing for two hours, although the router may merely be disconnected from the owner.
pub const SHARE_LIFETIME: Millis = Millis(90 * 60_000);
/// Time for which the cap is assumed to stay exhausted after the owner granted less than requested.
const EXHAUSTED_RETENTION: Millis = Millis(1_000);

/// A draw to which the owner has not replied yet. It is retried with the same id until a reply arrives,
/// because the owner may have granted it already.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingDraw {
    /// Unique id of the draw.
    pub id: String,
    /// Period of the budget.
    pub period: CompactString,
    /// Requested share.
    pub amount: Cost,
    /// Returned part of the shares; already deducted from the account.
    pub returned: Cost,
    /// Time at which the draw was created.
    pub first_sent: Millis,
}

/// Result of reserving an amount.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveOutcome {
    /// The amount is reserved.
    Reserved,
    /// The available money does not suffice; a draw is needed first.
    NeedsDraw,
    /// The spend cap is exhausted.
    Exhausted,
    /// The available money does not suffice, and the owner has not replied to the last draw.
    Unavailable,
}

/// Shares of one customer's spend cap that this router holds.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// Period of the budget.
    period: CompactString,
    /// Spend cap of the budget.
    cap: Cost,
    /// Part of the shares that is neither reserved nor spent.
    available: Cost,
    /// Money spent beyond reservations; deducted from the next credits.
    debt: Cost,
    /// Largest amount that a waiting request needs.
    wanted: Cost,
    /// Start of the current demand bucket.
    bucket_start: Millis,
    /// Sums of the amounts reserved in the current and the previous demand bucket.
    buckets: [Cost; 2],
    /// Time of the last reservation.
    last_used: Millis,
    /// Creation time of the last draw to which the owner replied.
    last_confirmed: Millis,
    /// End of the time for which the cap is assumed to be exhausted.
    exhausted_until: Millis,
    /// Whether the owner has not replied to the last attempt of a draw.
    last_draw_failed: bool,
    /// Draw to which the owner has not replied yet.
    pending: Option<PendingDraw>,
}

impl Account {
    /// Sets the current budget. If the period has changed, the shares of the previous period are voided.
    pub fn set_budget(&mut self, period: &str, cap: Cost) {
        if self.period != period {
            *self = Self { period: period.into(), ..Self::default() };
        }
        self.cap = cap;
    }

    /// Amount that is available for reservations.
    pub fn available(&self) -> Cost {
        self.available
    }

    /// Reserves `amount` from the available money. If that does not suffice, the next draw covers `amount`.
    pub fn reserve(&mut self, amount: Cost, now: Millis) -> ReserveOutcome {
        if self.available >= amount && !self.is_expired(now) {
            self.available = self.available - amount;
            self.record_demand(amount, now);
            return ReserveOutcome::Reserved;
        }
        self.wanted = self.wanted.max(amount);
        match () {
            () if self.last_draw_failed => ReserveOutcome::Unavailable,
            () if now < self.exhausted_until => ReserveOutcome::Exhausted,
            () => ReserveOutcome::NeedsDraw,
        }
    }

    /// Settles a reservation of `amount` in `period`: credits the unspent part, or records the overspent
    /// part as debt. Has no effect if the account has moved on to another period.
    pub fn settle(&mut self, period: &str, amount: Cost, spent: Cost) {
        if self.period != period {
            return;
        }
        self.credit(amount - spent);
        self.debt += spent - amount;
        self.credit(Cost::ZERO);
    }

    /// Whether a draw is needed now, either ahead of need, for a waiting request or because the share has
    /// expired.
    pub fn is_low(&mut self, now: Millis) -> bool {
        self.rotate_buckets(now);
        self.is_expired(now) || self.available < self.wanted || self.available < Cost(self.target_share().0 / 2)
    }

    /// The draw to send now, if any: the pending one, or a new one with an id from `id`.
    pub fn next_draw(&mut self, id: impl FnOnce() -> String, now: Millis) -> Option<PendingDraw> {
        if let Some(pending) = &self.pending {
            return Some(pending.clone());
        }
        let expired = self.is_expired(now);
        let low = self.is_low(now) && now >= self.exhausted_until;
        let share = self.target_share().max(Cost(self.cap.0 / MIN_DRAW_DIVISOR));
        let idle = now.saturating_sub(self.last_used) >= IDLE_TIMEOUT;
        let retained = if idle || expired { Cost::ZERO } else { share + share };
        let returned = if low && !expired { Cost::ZERO } else { self.available - retained };
        let amount = if low { self.wanted + share - (self.available - returned) } else { Cost::ZERO };
        let confirm = self.available > Cost::ZERO && now.saturating_sub(self.last_confirmed) >= CONFIRM_INTERVAL;
        if amount == Cost::ZERO && returned == Cost::ZERO && !confirm {
            return None;
        }
        self.available = self.available - returned;
        self.start_draw(id(), amount, returned, now)
    }

    /// The draw that returns all available money, or the pending draw if there is one. `None` if there is
    /// nothing to return.
    pub fn return_all(&mut self, id: impl FnOnce() -> String, now: Millis) -> Option<PendingDraw> {
        if let Some(pending) = &self.pending {
            return Some(pending.clone());
        }
        let returned = std::mem::take(&mut self.available);
        if returned == Cost::ZERO { None } else { self.start_draw(id(), Cost::ZERO, returned, now) }
    }

    /// Applies the owner's reply to a draw. Ignored if the draw is not pending.
    pub fn apply_grant(&mut self, draw: &PendingDraw, granted: Cost, now: Millis) {
        if self.pending.as_ref().is_none_or(|pending| pending.id != draw.id) {
            return;
        }
        self.pending = None;
        self.last_draw_failed = false;
        self.last_confirmed = draw.first_sent;
        self.credit(granted);
        if granted < draw.amount {
            self.exhausted_until = now + EXHAUSTED_RETENTION;
        }
        if self.available >= self.wanted || granted < draw.amount {
            self.wanted = Cost::ZERO;
        }
    }

    /// Records that no reply to a draw was received. Ignored if the draw is not pending.
    pub fn record_failure(&mut self, draw: &PendingDraw) {
        self.last_draw_failed |= self.pending.as_ref().is_some_and(|pending| pending.id == draw.id);
    }

    /// Whether the owner has not replied to a draw yet.
    pub fn has_pending_draw(&self) -> bool {
        self.pending.is_some()
    }

    /// Whether the owner may have reclaimed the shares.
    fn is_expired(&self, now: Millis) -> bool {
        self.available > Cost::ZERO && now.saturating_sub(self.last_confirmed) >= SHARE_LIFETIME
    }

    fn start_draw(&mut self, id: String, amount: Cost, returned: Cost, now: Millis) -> Option<PendingDraw> {
        self.pending = Some(PendingDraw { id, period: self.period.clone(), amount, returned, first_sent: now });
        self.pending.clone()
    }

    /// Adds `amount` to the available money, after covering the debt.
    fn credit(&mut self, amount: Cost) {
        let total = self.available + amount;
        let covered = total.min(self.debt);
        self.debt = self.debt - covered;
        self.available = total - covered;
    }

    /// Share to hold ahead of need: the recently reserved amount, limited to a part of the spend cap.
    fn target_share(&self) -> Cost {
        let recent = self.buckets[0] + self.buckets[1];
        recent.min(Cost(self.cap.0 / MAX_AHEAD_DIVISOR))
    }

    fn record_demand(&mut self, amount: Cost, now: Millis) {
        self.rotate_buckets(now);
        self.buckets[0] += amount;
        self.last_used = now;
    }

    /// Starts a new demand bucket if the current one has ended.
    fn rotate_buckets(&mut self, now: Millis) {
        let age = now.saturating_sub(self.bucket_start);
        if age >= DEMAND_BUCKET {
            let last = if age < DEMAND_BUCKET + DEMAND_BUCKET { self.buckets[0] } else { Cost::ZERO };
            self.buckets = [Cost::ZERO, last];
            self.bucket_start = now;
        }
    }
}
