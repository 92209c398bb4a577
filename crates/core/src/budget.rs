//! Budget shares: the owner of a customer's shard grants parts of the customer's spend cap to routers.

use std::collections::{BTreeMap, VecDeque};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{
    hash::HashMap,
    id::{CustomerId, HostId, Incarnation},
    unit::{Cost, Millis},
};

/// Percentages of the spend cap at which a warning is due.
pub const WARNING_LEVELS_PERCENT: [u64; 3] = [50, 80, 95];
/// Number of past draws stored per router and budget. A router has one draw per customer in progress
/// at a time; the others serve to recognise late duplicates.
const RETAINED_DRAWS: usize = 8;
/// Number of budget periods stored per customer.
const RETAINED_PERIODS: usize = 3;

/// Time after which a missing router counts as dead if its host runs another incarnation. By then its
/// last requests have ended (their deadline is 120 s by default) and agents have forwarded their bills.
pub const REPLACED_ROUTER_TIMEOUT: Millis = Millis(180_000);
/// Time after which a missing router counts as dead if its host runs no other incarnation. The router
/// may merely be disconnected; in that case it continues to spend from its share for up to 90 minutes
/// without confirmation by an owner.
pub const ABSENT_ROUTER_TIMEOUT: Millis = Millis(2 * 3_600_000);

/// Request of a router for a share of a customer's spend cap.
#[derive(Clone, Debug)]
pub struct DrawRequest {
    /// Customer whose budget is drawn from.
    pub customer: CustomerId,
    /// Period of the budget.
    pub period: CompactString,
    /// Unique id of the draw.
    pub id: CompactString,
    /// Host of the router.
    pub router: HostId,
    /// Incarnation of the router.
    pub incarnation: Incarnation,
    /// Requested share.
    pub amount: Cost,
    /// Unspent part of earlier shares that the router returns.
    pub returned: Cost,
}

/// Decision on a [`DrawRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DrawDecision {
    /// The share is granted once the change is durable.
    Draw {
        /// The change.
        op: BudgetOp,
        /// Share granted.
        granted: Cost,
        /// Sum of all shares after the change.
        committed: Cost,
    },
    /// The draw is a duplicate; this share was granted to it before.
    Repeat(Cost),
}

/// A change of a budget, as logged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BudgetOp {
    /// Grants a share to a router, which returns a part of its earlier shares.
    Draw {
        /// The customer.
        customer: CustomerId,
        /// Period of the budget.
        period: CompactString,
        /// Unique id of the draw.
        id: CompactString,
        /// Host of the router.
        router: HostId,
        /// Incarnation of the router.
        incarnation: Incarnation,
        /// Share granted.
        granted: Cost,
        /// Part of earlier shares that is returned.
        returned: Cost,
    },
    /// Reduces the shares of a dead router to the amount that its bills show as spent.
    Reconcile {
        /// The customer.
        customer: CustomerId,
        /// Period of the budget.
        period: CompactString,
        /// Incarnation of the dead router.
        incarnation: Incarnation,
        /// Sum of its bills.
        spent: Cost,
    },
}

/// The budgets of one shard.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Budgets {
    /// Budgets by customer, one per period, the most recently used period last.
    customers: BTreeMap<CustomerId, Vec<Budget>>,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Budget {
    period: CompactString,
    /// Routers that were granted shares, by incarnation.
    holders: BTreeMap<Incarnation, Holder>,
    /// Highest warning level reported, in percent.
    warned: u64,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Holder {
    router: HostId,
    /// Sum of the shares granted and not returned, including what was spent of them.
    held: Cost,
    /// Whether the shares were reconciled because the router counted as dead. If the router was merely
    /// disconnected, its next draw reopens the holder.
    closed: bool,
    /// Ids and granted shares of the last draws, oldest first.
    draws: VecDeque<(CompactString, Cost)>,
}

/// A router that holds shares of a customer's budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShareHolder {
    /// The customer.
    pub customer: CustomerId,
    /// Period of the budget.
    pub period: CompactString,
    /// Host of the router.
    pub router: HostId,
    /// Incarnation of the router.
    pub incarnation: Incarnation,
}

/// Tracks for how long routers that hold shares have been missing from the live routers.
#[derive(Clone, Debug, Default)]
pub struct AbsenceTracker {
    /// Time since which each incarnation has been missing.
    missing_since: HashMap<Incarnation, Millis>,
}

impl AbsenceTracker {
    /// The `holders` that count as dead at `now`, given the `live` routers. Expects all share holders
    /// in every call: the tracking restarts for a holder that a call does not list.
    pub fn dead_holders(
        &mut self,
        mut holders: Vec<ShareHolder>,
        live: &[(HostId, Incarnation)],
        now: Millis,
    ) -> Vec<ShareHolder> {
        holders.retain(|holder| live.iter().all(|(_, incarnation)| *incarnation != holder.incarnation));
        self.missing_since.retain(|incarnation, _| holders.iter().any(|holder| holder.incarnation == *incarnation));
        holders.retain(|holder| {
            let since = *self.missing_since.entry(holder.incarnation).or_insert(now);
            let replaced = live.iter().any(|(id, _)| *id == holder.router);
            now.saturating_sub(since) >= if replaced { REPLACED_ROUTER_TIMEOUT } else { ABSENT_ROUTER_TIMEOUT }
        });
        holders
    }
}

impl Budgets {
    /// Decides on a draw without changing the budgets. The grant is limited to the part of `cap` that is
    /// not committed.
    pub fn decide(&self, request: &DrawRequest, cap: Cost) -> DrawDecision {
        let budget = self.budget(&request.customer, &request.period);
        let holder = budget.and_then(|budget| budget.holders.get(&request.incarnation));
        if let Some((_, granted)) = holder.and_then(|holder| holder.draws.iter().find(|(id, _)| *id == request.id)) {
            return DrawDecision::Repeat(*granted);
        }
        // The unspent shares of a closed holder were already reclaimed, so it has nothing to return.
        let held = holder.filter(|holder| !holder.closed).map_or(Cost::ZERO, |holder| holder.held);
        let returned = request.returned.min(held);
        let committed = budget.map_or(Cost::ZERO, Budget::committed) - returned;
        let granted = request.amount.min(cap - committed);
        let op = BudgetOp::Draw {
            customer: request.customer.clone(),
            period: request.period.clone(),
            id: request.id.clone(),
            router: request.router.clone(),
            incarnation: request.incarnation,
            granted,
            returned,
        };
        DrawDecision::Draw { op, granted, committed: committed + granted }
    }

    /// Applies a change that was decided by the owner or read from the log.
    pub fn apply(&mut self, op: &BudgetOp) {
        match op {
            BudgetOp::Draw { customer, period, id, router, incarnation, granted, returned } => {
                let budget = self.budget_mut(customer, period);
                let holder = budget.holders.entry(*incarnation).or_default();
                holder.router = router.clone();
                holder.closed = false;
                holder.held = holder.held - *returned + *granted;
                holder.draws.push_back((id.clone(), *granted));
                if holder.draws.len() > RETAINED_DRAWS {
                    holder.draws.pop_front();
                }
            }
            BudgetOp::Reconcile { customer, period, incarnation, spent } => {
                let budget = self.budget_mut(customer, period);
                if let Some(holder) = budget.holders.get_mut(incarnation) {
                    holder.held = holder.held.min(*spent);
                    holder.closed = true;
                    holder.draws.clear();
                }
            }
        }
    }

    /// Sum of the shares of `customer` that are granted and not returned.
    pub fn committed(&self, customer: &CustomerId, period: &str) -> Cost {
        self.budget(customer, period).map_or(Cost::ZERO, Budget::committed)
    }

    /// Returns the highest warning level, in percent of `cap`, that the committed shares have reached.
    /// `None` if no level is reached, or if this level or a higher one was returned before.
    pub fn take_warning(&mut self, customer: &CustomerId, period: &str, cap: Cost) -> Option<u64> {
        let budget = self.customers.get_mut(customer)?.iter_mut().find(|budget| budget.period == period)?;
        let percent = u128::from(budget.committed().0) * 100 / u128::from(cap.0.max(1));
        let due = WARNING_LEVELS_PERCENT.into_iter().rev().find(|level| u128::from(*level) <= percent)?;
        (due > budget.warned).then(|| {
            budget.warned = due;
            due
        })
    }

    /// Routers that hold shares which have not been reconciled.
    pub fn unreconciled_holders(&self) -> Vec<ShareHolder> {
        let budgets =
            self.customers.iter().flat_map(|(customer, all)| all.iter().map(move |budget| (customer, budget)));
        let holders = budgets.flat_map(|(customer, budget)| {
            budget.holders.iter().filter(|(_, holder)| !holder.closed && holder.held > Cost::ZERO).map(
                move |(incarnation, holder)| ShareHolder {
                    customer: customer.clone(),
                    period: budget.period.clone(),
                    router: holder.router.clone(),
                    incarnation: *incarnation,
                },
            )
        });
        holders.collect()
    }

    fn budget(&self, customer: &CustomerId, period: &str) -> Option<&Budget> {
        self.customers.get(customer)?.iter().find(|budget| budget.period == period)
    }

    /// The budget for `period`, created if needed and moved to the end as the most recently used one.
    /// The least recently used budget is dropped if there are too many.
    fn budget_mut(&mut self, customer: &CustomerId, period: &str) -> &mut Budget {
        let budgets = self.customers.entry(customer.clone()).or_default();
        let index = budgets.iter().position(|budget| budget.period == period);
        let budget = match index {
            Some(index) => budgets.remove(index),
            None => Budget { period: period.into(), ..Budget::default() },
        };
        if budgets.len() >= RETAINED_PERIODS {
            budgets.remove(0);
        }
        budgets.push(budget);
        budgets.last_mut().expect("a budget was just added")
    }
}

impl Budget {
    fn committed(&self) -> Cost {
        self.holders.values().map(|holder| holder.held).sum()
    }
}
