//! Shares of the customers' spend caps that this router holds.

mod account;

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use compact_str::CompactString;
use eelgrasswell_core::{
    hash::HashMap,
    id::{CustomerId, HostId, Incarnation},
    refusal::{Reason, Refusal},
    unit::{Cost, Millis},
};
use futures::future;
use tokio::{
    sync::{Notify, watch},
    time::{Instant, sleep, timeout, timeout_at},
};

use super::shards::Shards;
use crate::{clock::Clock, config::ConfigHandle, event};

pub use account::{Account, PendingDraw, ReserveOutcome, SHARE_LIFETIME};

/// Longest time that a request waits for a share.
const WAIT_LIMIT: Duration = Duration::from_secs(2);
/// Interval at which accounts are looked at for shares to draw or to hand back.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);
/// Pause after a failed draw.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Time after which a refused caller may try again.
const RETRY_AFTER: Millis = Millis(1_000);

/// Shared handle on the budgets.
#[derive(Clone)]
pub struct Budgets {
    inner: Arc<Inner>,
}

struct Inner {
    clock: Clock,
    config: ConfigHandle,
    shards: Shards,
    accounts: Mutex<HashMap<CustomerId, Arc<SharedAccount>>>,
}

/// An account with the signals around it.
struct SharedAccount {
    customer: CustomerId,
    account: Mutex<Account>,
    /// Asks for a draw.
    wake: Notify,
    /// Counts the answers and failures of draws.
    rounds: watch::Sender<u64>,
}

/// Money reserved for one request. Dropping it without `settle` keeps the whole amount as spent,
/// since the request may have run.
pub struct Reservation {
    amount: Cost,
    /// Account with its period; none when the customer has no budget.
    from: Option<(Arc<SharedAccount>, CompactString)>,
}

impl Budgets {
    /// Starts without shares.
    pub fn open(_id: HostId, _incarnation: Incarnation, config: ConfigHandle, shards: Shards) -> Self {
        let inner = Inner { clock: Clock::start(), config, shards, accounts: Mutex::default() };
        Self { inner: Arc::new(inner) }
    }

    /// Starts drawing shares ahead of need and returning what is not needed.
    pub fn spawn(&self) {
        let inner = Arc::clone(&self.inner);
        tokio::spawn(async move {
            loop {
                sleep(UPKEEP_INTERVAL).await;
                for shared in lock(&inner.accounts).values() {
                    shared.wake.notify_one();
                }
            }
        });
    }

    /// Reserves the highest cost that a request may have.
    pub async fn reserve(&self, customer: &CustomerId, amount: Cost) -> Result<Reservation, Refusal> {
        let until = Instant::now() + WAIT_LIMIT;
        loop {
            let config = self.inner.config.current();
            let budget = config.manifest.customers.get(customer).and_then(|customer| customer.budget.as_ref());
            let Some(budget) = budget else { return Ok(Reservation { amount, from: None }) };
            let shared = self.shared(customer);
            let mut rounds = shared.rounds.subscribe();
            let (result, low) = {
                let mut account = lock(&shared.account);
                account.set_budget(&budget.period, budget.cap);
                let now = self.inner.clock.now();
                (account.reserve(amount, now), account.is_low(now))
            };
            if low || result == ReserveOutcome::NeedsDraw {
                shared.wake.notify_one();
            }
            match result {
                ReserveOutcome::Reserved => {
                    return Ok(Reservation { amount, from: Some((shared, budget.period.clone())) });
                }
                ReserveOutcome::Exhausted => return Err(Refusal::not_run(Reason::BudgetExhausted)),
                ReserveOutcome::Unavailable => return Err(unavailable()),
                ReserveOutcome::NeedsDraw => {}
            }
            if timeout_at(until, rounds.changed()).await.is_err() {
                return Err(unavailable());
            }
        }
    }

    /// Hands all unspent shares back for a graceful shutdown, within `limit`.
    pub async fn release(&self, limit: Millis) {
        let accounts: Vec<_> = lock(&self.inner.accounts).values().cloned().collect();
        let returns = accounts.iter().map(|shared| self.inner.return_all(shared));
        if timeout(limit.into(), future::join_all(returns)).await.is_err() {
            event!(Warn, "shares_not_returned", limit = limit);
        }
    }

    fn shared(&self, customer: &CustomerId) -> Arc<SharedAccount> {
        let mut accounts = lock(&self.inner.accounts);
        if let Some(shared) = accounts.get(customer) {
            return Arc::clone(shared);
        }
        let shared = Arc::new(SharedAccount {
            customer: customer.clone(),
            account: Mutex::default(),
            wake: Notify::new(),
            rounds: watch::Sender::new(0),
        });
        accounts.insert(customer.clone(), Arc::clone(&shared));
        tokio::spawn(keep_filled(Arc::clone(&self.inner), Arc::clone(&shared)));
        shared
    }
}

impl Inner {
    /// Sends a draw and takes in its answer; false when the owner did not answer.
    async fn send(&self, shared: &SharedAccount, draw: &PendingDraw) -> bool {
        let PendingDraw { id, period, amount, returned, .. } = draw;
        let grant = self.shards.draw_as(id, &shared.customer, period, *amount, *returned).await;
        {
            let mut account = lock(&shared.account);
            match &grant {
                Some(grant) => account.apply_grant(draw, grant.granted, self.clock.now()),
                None => account.record_failure(draw),
            }
        }
        shared.rounds.send_modify(|rounds| *rounds += 1);
        grant.is_some()
    }

    async fn return_all(&self, shared: &SharedAccount) {
        loop {
            let draw = lock(&shared.account).return_all(|| self.shards.draw_id(), self.clock.now());
            let Some(draw) = draw else { return };
            if !self.send(shared, &draw).await {
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Makes the draws of one customer, one at a time.
async fn keep_filled(inner: Arc<Inner>, shared: Arc<SharedAccount>) {
    loop {
        shared.wake.notified().await;
        loop {
            let draw = lock(&shared.account).next_draw(|| inner.shards.draw_id(), inner.clock.now());
            let Some(draw) = draw else { break };
            if !inner.send(&shared, &draw).await {
                sleep(RETRY_PAUSE).await;
            } else if draw.amount > Cost::ZERO {
                // Waiting requests take their part before the account is looked at again.
                break;
            }
        }
    }
}

impl Reservation {
    /// Gives back what was not spent.
    pub fn settle(self, spent: Cost) {
        if let Some((shared, period)) = &self.from {
            lock(&shared.account).settle(period, self.amount, spent);
        }
    }
}

fn unavailable() -> Refusal {
    Refusal::not_run(Reason::BudgetUnavailable).retry_after(RETRY_AFTER)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
