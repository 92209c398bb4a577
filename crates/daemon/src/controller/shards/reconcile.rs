//! Takes back the unspent shares of routers that are dead.

use std::time::Duration;

use eelgrasswell_core::{
    budget::{BudgetOp, OpenShares},
    hash::HashMap,
    id::{CustomerId, Incarnation},
    shard::{Op, ShardState},
    unit::{Cost, Millis},
};
use tokio::{sync::watch, time::timeout};

use super::{Shards, shards};
use crate::event;

/// Interval between looks at the routers that hold shares.
const INTERVAL: Duration = Duration::from_secs(30);
/// Time after which a router counts as dead whose host runs another incarnation. Its last requests
/// (deadline 120 s by default) have ended by then and agents have handed their bills on.
const REPLACED_AFTER: Millis = Millis(180_000);
/// Time after which an absent router counts as dead without such proof. It may only be cut off, and
/// it spends from a share that no owner has confirmed for up to `SHARE_LIFETIME`, 90 minutes.
const ABSENT_AFTER: Millis = Millis(2 * 3_600_000);

/// Runs until the router releases its shards.
pub async fn run(shards: Shards, mut releasing: watch::Receiver<bool>) {
    let mut absent: HashMap<Incarnation, Millis> = HashMap::default();
    while timeout(INTERVAL, releasing.wait_for(|releasing| *releasing)).await.is_err() {
        for holder in dead_holders(&shards, &mut absent).await {
            reconcile(&shards, holder).await;
        }
    }
}

/// Holders of shares in owned shards that have been absent for long enough.
async fn dead_holders(shards: &Shards, absent: &mut HashMap<Incarnation, Millis>) -> Vec<OpenShares> {
    let now = shards.inner.clock.now();
    let live = shards.inner.members.routers();
    let mut missing = Vec::new();
    for shard in self::shards() {
        let Some(handle) = shards.inner.handle(shard) else { continue };
        let read = handle.submit(false, |state: &ShardState| (Vec::new(), state.budgets.open_shares()));
        missing.extend(read.await.unwrap_or_default());
    }
    missing.retain(|holder| live.iter().all(|router| router.incarnation != holder.incarnation));
    absent.retain(|incarnation, _| missing.iter().any(|holder| holder.incarnation == *incarnation));
    missing.retain(|holder| {
        let since = *absent.entry(holder.incarnation).or_insert(now);
        let replaced = live.iter().any(|router| router.id == holder.router);
        let limit = if replaced { REPLACED_AFTER } else { ABSENT_AFTER };
        now.saturating_sub(since) >= limit
    });
    missing
}

async fn reconcile(shards: &Shards, holder: OpenShares) {
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
    let OpenShares { customer, period, incarnation, .. } = holder;
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
