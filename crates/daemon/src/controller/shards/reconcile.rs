//! Takes back the unspent shares of routers that are dead.

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

/// Interval between looks at the routers that hold shares.
const INTERVAL: Duration = Duration::from_secs(30);
/// Runs until the router releases its shards.
pub async fn run(shards: Shards, mut releasing: watch::Receiver<bool>) {
    let mut absences = AbsenceTracker::default();
    while timeout(INTERVAL, releasing.wait_for(|releasing| *releasing)).await.is_err() {
        for holder in dead_holders(&shards, &mut absences).await {
            reconcile(&shards, holder).await;
        }
    }
}

/// Holders of shares in owned shards that count as dead.
async fn dead_holders(shards: &Shards, absences: &mut AbsenceTracker) -> Vec<ShareHolder> {
    let mut holders = Vec::new();
    for shard in self::shards() {
        let Some(handle) = shards.inner.handle(shard) else { continue };
        let read = handle.submit(false, |state: &ShardState| (Vec::new(), state.budgets.unreconciled_holders()));
        holders.extend(read.await.unwrap_or_default());
    }
    let live = shards.inner.members.live_routers().into_iter().map(|router| (router.id, router.incarnation));
    absences.dead_holders(holders, &live.collect::<Vec<_>>(), shards.inner.clock.now())
}

async fn reconcile(shards: &Shards, holder: ShareHolder) {
    let Some(spent) = spent_by(shards, &holder.customer, holder.incarnation).await else { return };
    let Some(handle) = shards.inner.handle(shards.shard_of(holder.customer.as_str())) else { return };
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

/// Sum of the bills that the incarnation's shares paid. Bills of other periods count as well, which
/// only makes the reconciled share larger than needed.
async fn spent_by(shards: &Shards, customer: &CustomerId, incarnation: Incarnation) -> Option<Cost> {
    let bills = shards.read_bills(customer).await?;
    let paid = bills.iter().filter(|bill| bill.router_incarnation == incarnation.0);
    Some(paid.map(|bill| Cost(bill.cost_micros)).sum())
}
