//! Money that this router may spend for one customer. Pure: the time is passed in.

use compact_str::CompactString;
use eelgrasswell_core::unit::{Cost, Millis};

/// Half of the time over which demand is summed up.
const DEMAND_BUCKET: Millis = Millis(5_000);
/// Part of the cap that is drawn at least, so that small requests do not draw one by one.
const LEAST_PART: u64 = 1_000;
/// Part of the cap that is drawn ahead of need at most, so that one router cannot starve the others.
const MOST_PART: u64 = 20;
/// Time after which an unused share is handed back.
const IDLE_AFTER: Millis = Millis(30_000);
/// Time after which an unchanged share is confirmed with its owner.
const CONFIRM_AFTER: Millis = Millis(30 * 60_000);
/// Time after which an unconfirmed share is handed back in place of being spent. The owner takes the
/// share of a router that it has not heard of for two hours back, and the two may only be cut off.
pub const SHARE_LIFETIME: Millis = Millis(90 * 60_000);
/// Time for which a refusal by the owner is taken as still valid.
const EXHAUSTED_FOR: Millis = Millis(1_000);

/// A draw that the owner has not answered yet. It is repeated with its id until it is answered,
/// since the owner may have granted it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingDraw {
    /// Unique id.
    pub id: String,
    /// Period of the budget.
    pub period: CompactString,
    /// Wanted share.
    pub amount: Cost,
    /// Part handed back; already taken off the account.
    pub returned: Cost,
    /// When the draw was first sent.
    pub sent: Millis,
}

/// Result of an attempt to reserve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveOutcome {
    /// The amount is reserved.
    Reserved,
    /// A draw is needed first.
    NeedsDraw,
    /// The cap is used up.
    Exhausted,
    /// The owner cannot be reached.
    Unavailable,
}

/// Shares of one customer's cap at this router.
#[derive(Clone, Debug, Default)]
pub struct Account {
    period: CompactString,
    cap: Cost,
    available: Cost,
    /// Spent beyond a reservation; covered from the next share.
    debt: Cost,
    /// Largest amount that a waiting request needs.
    wanted: Cost,
    bucket_start: Millis,
    buckets: [Cost; 2],
    used: Millis,
    confirmed: Millis,
    exhausted_until: Millis,
    failing: bool,
    open: Option<PendingDraw>,
}

impl Account {
    /// Adapts to the budget in force. Shares of another period are void.
    pub fn set_budget(&mut self, period: &str, cap: Cost) {
        if self.period != period {
            *self = Self { period: period.into(), ..Self::default() };
        }
        self.cap = cap;
    }

    /// Money that can be reserved.
    pub fn available(&self) -> Cost {
        self.available
    }

    /// Reserves `amount` from the shares held.
    pub fn reserve(&mut self, amount: Cost, now: Millis) -> ReserveOutcome {
        if self.available >= amount && !self.is_expired(now) {
            self.available = self.available - amount;
            self.note_demand(amount, now);
            return ReserveOutcome::Reserved;
        }
        self.wanted = self.wanted.max(amount);
        match () {
            () if self.failing => ReserveOutcome::Unavailable,
            () if now < self.exhausted_until => ReserveOutcome::Exhausted,
            () => ReserveOutcome::NeedsDraw,
        }
    }

    /// Ends a reservation of `amount` in `period`, of which `spent` was spent.
    pub fn settle(&mut self, period: &str, amount: Cost, spent: Cost) {
        if self.period != period {
            return;
        }
        self.credit(amount - spent);
        self.debt += spent - amount;
        self.credit(Cost::ZERO);
    }

    /// Whether a draw should be made now, ahead of need or for a waiting request.
    pub fn is_low(&mut self, now: Millis) -> bool {
        self.roll(now);
        self.is_expired(now) || self.available < self.wanted || self.available < Cost(self.target().0 / 2)
    }

    /// The draw to make now, if any; `id` is used when it is a new one.
    pub fn next_draw(&mut self, id: impl FnOnce() -> String, now: Millis) -> Option<PendingDraw> {
        if let Some(open) = &self.open {
            return Some(open.clone());
        }
        let expired = self.is_expired(now);
        let low = self.is_low(now) && now >= self.exhausted_until;
        let share = self.target().max(Cost(self.cap.0 / LEAST_PART));
        let idle = now.saturating_sub(self.used) >= IDLE_AFTER;
        let keep = if idle || expired { Cost::ZERO } else { share + share };
        let returned = if low && !expired { Cost::ZERO } else { self.available - keep };
        let amount = if low { self.wanted + share - (self.available - returned) } else { Cost::ZERO };
        let confirm = self.available > Cost::ZERO && now.saturating_sub(self.confirmed) >= CONFIRM_AFTER;
        if amount == Cost::ZERO && returned == Cost::ZERO && !confirm {
            return None;
        }
        self.available = self.available - returned;
        self.open(id(), amount, returned, now)
    }

    /// The draw that hands everything back, if there is anything.
    pub fn return_all(&mut self, id: impl FnOnce() -> String, now: Millis) -> Option<PendingDraw> {
        if let Some(open) = &self.open {
            return Some(open.clone());
        }
        let returned = std::mem::take(&mut self.available);
        if returned == Cost::ZERO { None } else { self.open(id(), Cost::ZERO, returned, now) }
    }

    /// Takes in the owner's answer to a draw.
    pub fn apply_grant(&mut self, draw: &PendingDraw, granted: Cost, now: Millis) {
        if self.open.as_ref().is_none_or(|open| open.id != draw.id) {
            return;
        }
        self.open = None;
        self.failing = false;
        self.confirmed = draw.sent;
        self.credit(granted);
        if granted < draw.amount {
            self.exhausted_until = now + EXHAUSTED_FOR;
        }
        if self.available >= self.wanted || granted < draw.amount {
            self.wanted = Cost::ZERO;
        }
    }

    /// Notes that the owner did not answer a draw.
    pub fn record_failure(&mut self, draw: &PendingDraw) {
        self.failing |= self.open.as_ref().is_some_and(|open| open.id == draw.id);
    }

    /// Whether a draw waits for an answer.
    pub fn has_pending_draw(&self) -> bool {
        self.open.is_some()
    }

    /// Whether the owner may have taken the shares back.
    fn is_expired(&self, now: Millis) -> bool {
        self.available > Cost::ZERO && now.saturating_sub(self.confirmed) >= SHARE_LIFETIME
    }

    fn open(&mut self, id: String, amount: Cost, returned: Cost, now: Millis) -> Option<PendingDraw> {
        self.open = Some(PendingDraw { id, period: self.period.clone(), amount, returned, sent: now });
        self.open.clone()
    }

    fn credit(&mut self, amount: Cost) {
        let money = self.available + amount;
        let paid = money.min(self.debt);
        self.debt = self.debt - paid;
        self.available = money - paid;
    }

    /// Share to hold ahead of need: what was reserved lately, up to a part of the cap.
    fn target(&self) -> Cost {
        let recent = self.buckets[0] + self.buckets[1];
        recent.min(Cost(self.cap.0 / MOST_PART))
    }

    fn note_demand(&mut self, amount: Cost, now: Millis) {
        self.roll(now);
        self.buckets[0] += amount;
        self.used = now;
    }

    fn roll(&mut self, now: Millis) {
        let age = now.saturating_sub(self.bucket_start);
        if age >= DEMAND_BUCKET {
            let last = if age < DEMAND_BUCKET + DEMAND_BUCKET { self.buckets[0] } else { Cost::ZERO };
            self.buckets = [Cost::ZERO, last];
            self.bucket_start = now;
        }
    }
}
