//! Reserves the maximum cost of a request, and settles the reservation with the bill.

use eelgrasswell_core::unit::Cost;

use super::{Chain, choose::Plan, parse::Call};
use crate::{callers::failure::Failure, controller::budgets::Reservation};

/// Budget reserved for a request. Dropping it counts the whole amount as spent.
pub struct BudgetReservation {
    reservation: Reservation,
}

/// Reserves the maximum cost of the plan's first choice.
pub async fn reserve_for_plan(chain: &Chain, call: &Call, plan: &Plan) -> Result<BudgetReservation, Failure> {
    reserve_amount(chain, call, plan.choices[0].max_cost).await
}

/// Reserves `cost` from the customer's budget.
pub async fn reserve_amount(chain: &Chain, call: &Call, cost: Cost) -> Result<BudgetReservation, Failure> {
    let reservation = chain.router.budgets.reserve(&call.customer, cost).await?;
    Ok(BudgetReservation { reservation })
}

impl BudgetReservation {
    /// Counts `spent` as spent and returns the rest to the budget.
    pub fn settle(self, spent: Cost) {
        self.reservation.settle(spent);
    }

    /// Returns the whole amount to the budget.
    pub fn release(self) {
        self.settle(Cost::ZERO);
    }
}
