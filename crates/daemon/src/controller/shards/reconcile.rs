//! Reclaims the unspent budget shares of dead routers.

use std::time::Duration;

use eelgrasswell_core::{
    budget::{AbsenceTracker, BudgetOp, ShareHolder},
    id::{CustomerId, Incarnation},
    shard::{Op, ShardState},
    unit::Cost,
};
use tokio::{sync::watch, time::timeout};

use super::{Shards, shards};
use crate::event;

/// Interval between checks for dead routers that hold shares.
const RECONCILE_INTERVAL: Duration = Duration::from_secs(30);

/// Reclaims shares until the router releases its shards.
pub async fn run(shards: Shards, mut releasing: watch::Receiver<bool>) {
    let mut absences = AbsenceTracker::default();
    while timeout(RECONCILE_INTERVAL, releasing.wait_for(|releasing| *releasing)).await.is_err() {
        for holder in dead_holders(&shards, &mut absences).await {
            reconcile_shares(&shards, holder).await;
        }
    }
}

/// Routers that hold shares in the shards owned here and that count as dead.
async fn dead_holders(shards: &Shards, absences: &mut AbsenceTracker) -> Vec<ShareHolder> {
    let mut holders = Vec::new();
    for shard in self::shards() {
        let Some(handle) = shards.inner.writer_handle(shard) else { continue };
        let unreconciled =
            handle.submit(false, |state: &ShardState| (Vec::new(), state.budgets.unreconciled_holders()));
        holders.extend(unreconciled.await.unwrap_or_default());
    }
    let live_routers = shards.inner.members.live_routers().into_iter().map(|router| (router.id, router.incarnation));
    absences.dead_holders(holders, &live_routers.collect::<Vec<_>>(), shards.inner.clock.now())
}

/// Reduces the shares of `holder` to the cost of its bills.
async fn reconcile_shares(shards: &Shards, holder: ShareHolder) {
    let Some(spent) = billed_cost(shards, &holder.customer, holder.incarnation).await else { return };
    let Some(handle) = shards.inner.writer_handle(shards.shard_of(holder.customer.as_str())) else { return };
    event!(
        Info,
        "shares_reconciled",
        customer = holder.customer,
        router = holder.router,
        incarnation = holder.incarnation,
        spent = spent
    );
    let ShareHolder { customer, period, incarnation, .. } = holder;
    let op = BudgetOp::Reconcile { customer, period, incarnation, spent };
    handle.submit(false, move |_| (vec![Op::Budget(op)], ())).await;
}

/// Sum of the customer's bills that are covered by shares of the router with this incarnation. `None` if
/// the bills could not be read. Bills of other periods are included, which at worst leaves a larger share
/// committed than necessary.
async fn billed_cost(shards: &Shards, customer: &CustomerId, incarnation: Incarnation) -> Option<Cost> {
    let bills = shards.read_bills(customer).await?;
    let covered = bills.iter().filter(|bill| bill.router_incarnation == incarnation.0);
    Some(covered.map(|bill| Cost(bill.cost_micros)).sum())
}
