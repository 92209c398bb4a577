//! Spend shares: the owner of a customer's shard hands out parts of the spend cap to routers.

use std::collections::{BTreeMap, VecDeque};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{
    hash::HashMap,
    id::{CustomerId, HostId, Incarnation},
    unit::{Cost, Millis},
};

/// Shares of the cap, in percent, at which a warning is due.
pub const WARNING_LEVELS_PERCENT: [u64; 3] = [50, 80, 95];
/// Draw ids remembered per router. A router has one draw of a customer open at a time; the rest
/// covers duplicates that arrive late.
const REMEMBERED_DRAWS: usize = 8;
/// Periods remembered per customer.
const REMEMBERED_PERIODS: usize = 3;

/// Time after which a router counts as dead whose host runs another incarnation. Its last requests
/// (deadline 120 s by default) have ended by then and agents have handed their bills on.
pub const REPLACED_ROUTER_TIMEOUT: Millis = Millis(180_000);
/// Time after which an absent router counts as dead without such proof. It may only be cut off, and
/// spends from a share that no owner has confirmed for up to 90 minutes.
pub const ABSENT_ROUTER_TIMEOUT: Millis = Millis(2 * 3_600_000);

/// A router's request for a share.
#[derive(Clone, Debug)]
pub struct DrawRequest {
    /// The customer.
    pub customer: CustomerId,
    /// Period of the budget.
    pub period: CompactString,
    /// Unique id of the draw.
    pub id: CompactString,
    /// The router.
    pub router: HostId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Wanted share.
    pub amount: Cost,
    /// Unspent part of earlier shares, handed back.
    pub returned: Cost,
}

/// What to answer to a draw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DrawDecision {
    /// The share may be granted, once the change is durable.
    Draw {
        /// The change.
        op: BudgetOp,
        /// Share granted.
        granted: Cost,
        /// Sum of all shares after the change.
        committed: Cost,
    },
    /// The draw was granted this share before.
    Repeat(Cost),
}

/// A change of a budget, as logged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BudgetOp {
    /// A share granted, and another part handed back.
    Draw {
        /// The customer.
        customer: CustomerId,
        /// Period of the budget.
        period: CompactString,
        /// Unique id of the draw.
        id: CompactString,
        /// The router.
        router: HostId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Share granted.
        granted: Cost,
        /// Part handed back.
        returned: Cost,
    },
    /// A dead router's shares shrink to what its bills show as spent.
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
    /// Budgets by customer, the period used last at the end.
    customers: BTreeMap<CustomerId, Vec<Budget>>,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Budget {
    period: CompactString,
    holders: BTreeMap<Incarnation, Holder>,
    /// Highest warning given, in percent.
    warned: u64,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Holder {
    router: HostId,
    /// Shares granted and not handed back; what was spent of them stays in here.
    held: Cost,
    /// Whether the shares were reconciled, since the router was taken for dead. It begins anew with
    /// its next draw when it was only cut off.
    closed: bool,
    draws: VecDeque<(CompactString, Cost)>,
}

/// A router that holds shares.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShareHolder {
    /// The customer.
    pub customer: CustomerId,
    /// Period of the budget.
    pub period: CompactString,
    /// The router.
    pub router: HostId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// Since when an owner has not heard of routers that hold shares.
#[derive(Clone, Debug, Default)]
pub struct AbsenceTracker {
    since: HashMap<Incarnation, Millis>,
}

impl AbsenceTracker {
    /// The `holders` that count as dead at `now`, when the routers `live` are heard of.
    pub fn dead_holders(
        &mut self,
        mut holders: Vec<ShareHolder>,
        live: &[(HostId, Incarnation)],
        now: Millis,
    ) -> Vec<ShareHolder> {
        holders.retain(|holder| live.iter().all(|(_, incarnation)| *incarnation != holder.incarnation));
        self.since.retain(|incarnation, _| holders.iter().any(|holder| holder.incarnation == *incarnation));
        holders.retain(|holder| {
            let since = *self.since.entry(holder.incarnation).or_insert(now);
            let replaced = live.iter().any(|(id, _)| *id == holder.router);
            now.saturating_sub(since) >= if replaced { REPLACED_ROUTER_TIMEOUT } else { ABSENT_ROUTER_TIMEOUT }
        });
        holders
    }
}

impl Budgets {
    /// Decides on a draw under `cap` without changing anything. The grant is cut to what is left.
    pub fn decide(&self, ask: &DrawRequest, cap: Cost) -> DrawDecision {
        let budget = self.budget(&ask.customer, &ask.period);
        let holder = budget.and_then(|budget| budget.holders.get(&ask.incarnation));
        if let Some((_, granted)) = holder.and_then(|holder| holder.draws.iter().find(|(id, _)| *id == ask.id)) {
            return DrawDecision::Repeat(*granted);
        }
        // What a closed holder has left was taken back already, so that it has nothing to return.
        let held = holder.filter(|holder| !holder.closed).map_or(Cost::ZERO, |holder| holder.held);
        let returned = ask.returned.min(held);
        let committed = budget.map_or(Cost::ZERO, Budget::committed) - returned;
        let granted = ask.amount.min(cap - committed);
        let op = BudgetOp::Draw {
            customer: ask.customer.clone(),
            period: ask.period.clone(),
            id: ask.id.clone(),
            router: ask.router.clone(),
            incarnation: ask.incarnation,
            granted,
            returned,
        };
        DrawDecision::Draw { op, granted, committed: committed + granted }
    }

    /// Makes a change that has been decided or read from the log.
    pub fn apply(&mut self, op: &BudgetOp) {
        match op {
            BudgetOp::Draw { customer, period, id, router, incarnation, granted, returned } => {
                let budget = self.use_budget(customer, period);
                let holder = budget.holders.entry(*incarnation).or_default();
                holder.router = router.clone();
                holder.closed = false;
                holder.held = holder.held - *returned + *granted;
                holder.draws.push_back((id.clone(), *granted));
                if holder.draws.len() > REMEMBERED_DRAWS {
                    holder.draws.pop_front();
                }
            }
            BudgetOp::Reconcile { customer, period, incarnation, spent } => {
                let budget = self.use_budget(customer, period);
                if let Some(holder) = budget.holders.get_mut(incarnation) {
                    holder.held = holder.held.min(*spent);
                    holder.closed = true;
                    holder.draws.clear();
                }
            }
        }
    }

    /// Sum of the shares of `customer` that are granted and not handed back.
    pub fn committed(&self, customer: &CustomerId, period: &str) -> Cost {
        self.budget(customer, period).map_or(Cost::ZERO, Budget::committed)
    }

    /// The highest warning that has become due and was not given before, in percent of `cap`.
    pub fn take_warning(&mut self, customer: &CustomerId, period: &str, cap: Cost) -> Option<u64> {
        let budget = self.customers.get_mut(customer)?.iter_mut().find(|budget| budget.period == period)?;
        let percent = u128::from(budget.committed().0) * 100 / u128::from(cap.0.max(1));
        let due = WARNING_LEVELS_PERCENT.into_iter().rev().find(|warning| u128::from(*warning) <= percent)?;
        (due > budget.warned).then(|| {
            budget.warned = due;
            due
        })
    }

    /// Routers that hold shares which were not reconciled.
    pub fn unreconciled_holders(&self) -> Vec<ShareHolder> {
        let budgets = self.customers.iter().flat_map(|(customer, all)| all.iter().map(move |one| (customer, one)));
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

    fn use_budget(&mut self, customer: &CustomerId, period: &str) -> &mut Budget {
        let budgets = self.customers.entry(customer.clone()).or_default();
        let found = budgets.iter().position(|budget| budget.period == period);
        let budget = match found {
            Some(at) => budgets.remove(at),
            None => Budget { period: period.into(), ..Budget::default() },
        };
        if budgets.len() >= REMEMBERED_PERIODS {
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
