//! Shares of the customers' spend caps that this router holds.

use eelgrasswell_core::{
    id::{CustomerId, HostId, Incarnation},
    refusal::Refusal,
    unit::Cost,
};

use super::shards::Shards;
use crate::config::ConfigHandle;

/// Shared handle on the budgets.
#[derive(Clone)]
pub struct Budgets {
    _config: ConfigHandle,
    _shards: Shards,
}

/// Money reserved for one request. Dropping it without `settle` keeps the whole amount as spent,
/// since the request may have run.
pub struct Reservation {
    _amount: Cost,
}

impl Budgets {
    /// Starts without shares.
    pub fn open(_id: HostId, _incarnation: Incarnation, config: ConfigHandle, shards: Shards) -> Self {
        Self { _config: config, _shards: shards }
    }

    /// Starts drawing shares ahead of need and returning what is not needed.
    pub fn spawn(&self) {}

    /// Reserves the highest cost that a request may have.
    pub async fn reserve(&self, _customer: &CustomerId, amount: Cost) -> Result<Reservation, Refusal> {
        Ok(Reservation { _amount: amount })
    }
}

impl Reservation {
    /// Gives back what was not spent.
    pub fn settle(self, _spent: Cost) {}
}
