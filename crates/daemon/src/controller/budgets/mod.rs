//! Budget shares that this router holds of the customers' spend caps, and reservations from them.

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

/// Maximum time for which a request waits for a share.
const WAIT_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which accounts are checked for shares to draw or to return.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(5);
/// Delay after a failed draw.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Time after which a caller that was refused for an unavailable budget may retry.
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

/// An account that is shared between requests and the task that sends its draws.
struct SharedAccount {
    customer: CustomerId,
    account: Mutex<Account>,
    /// Notifies the task that a draw may be due.
    draw_requested: Notify,
    /// Number of draws that were granted or failed; changes notify the waiting requests.
    draw_results: watch::Sender<u64>,
}

/// Money reserved for one request. If it is dropped without `settle`, the whole amount counts as spent,
/// because the request may have run.
pub struct Reservation {
    amount: Cost,
    /// Account and budget period of the reservation; `None` if the customer has no budget.
    account: Option<(Arc<SharedAccount>, CompactString)>,
}

impl Budgets {
    /// Creates the component; it holds no shares yet.
    pub fn open(_id: HostId, _incarnation: Incarnation, config: ConfigHandle, shards: Shards) -> Self {
        let inner = Inner { clock: Clock::start(), config, shards, accounts: Mutex::default() };
        Self { inner: Arc::new(inner) }
    }

    /// Starts the task that checks periodically for shares to draw ahead of need or to return.
    pub fn spawn(&self) {
        let inner = Arc::clone(&self.inner);
        tokio::spawn(async move {
            loop {
                sleep(MAINTENANCE_INTERVAL).await;
                for shared in lock(&inner.accounts).values() {
                    shared.draw_requested.notify_one();
                }
            }
        });
    }

    /// Reserves `amount`, the maximum cost of a request. Draws a share if necessary and waits for it up to
    /// `WAIT_TIMEOUT`. Refuses the request if the spend cap is exhausted or no share can be drawn.
    pub async fn reserve(&self, customer: &CustomerId, amount: Cost) -> Result<Reservation, Refusal> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let config = self.inner.config.current();
            let budget = config.manifest.customers.get(customer).and_then(|customer| customer.budget.as_ref());
            let Some(budget) = budget else { return Ok(Reservation { amount, account: None }) };
            let shared = self.account(customer);
            let mut draw_results = shared.draw_results.subscribe();
            let (result, is_low) = {
                let mut account = lock(&shared.account);
                account.set_budget(&budget.period, budget.cap);
                let now = self.inner.clock.now();
                (account.reserve(amount, now), account.is_low(now))
            };
            if is_low || result == ReserveOutcome::NeedsDraw {
                shared.draw_requested.notify_one();
            }
            match result {
                ReserveOutcome::Reserved => {
                    return Ok(Reservation { amount, account: Some((shared, budget.period.clone())) });
                }
                ReserveOutcome::Exhausted => return Err(Refusal::not_run(Reason::BudgetExhausted)),
                ReserveOutcome::Unavailable => return Err(budget_unavailable()),
                ReserveOutcome::NeedsDraw => {}
            }
            if timeout_at(deadline, draw_results.changed()).await.is_err() {
                return Err(budget_unavailable());
            }
        }
    }

    /// Returns all unspent shares for a graceful shutdown, waiting at most `limit`.
    pub async fn release(&self, limit: Millis) {
        let accounts: Vec<_> = lock(&self.inner.accounts).values().cloned().collect();
        let returns = accounts.iter().map(|shared| self.inner.return_all(shared));
        if timeout(limit.into(), future::join_all(returns)).await.is_err() {
            event!(Warn, "shares_not_returned", limit = limit);
        }
    }

    /// The account of a customer, created with the task that sends its draws if it does not exist.
    fn account(&self, customer: &CustomerId) -> Arc<SharedAccount> {
        let mut accounts = lock(&self.inner.accounts);
        if let Some(shared) = accounts.get(customer) {
            return Arc::clone(shared);
        }
        let shared = Arc::new(SharedAccount {
            customer: customer.clone(),
            account: Mutex::default(),
            draw_requested: Notify::new(),
            draw_results: watch::Sender::new(0),
        });
        accounts.insert(customer.clone(), Arc::clone(&shared));
        tokio::spawn(run_draws(Arc::clone(&self.inner), Arc::clone(&shared)));
        shared
    }
}

impl Inner {
    /// Sends a draw and applies the reply to the account. Returns false if no reply was received.
    async fn send_draw(&self, shared: &SharedAccount, draw: &PendingDraw) -> bool {
        let PendingDraw { id, period, amount, returned, .. } = draw;
        let grant = self.shards.draw_with_id(id, &shared.customer, period, *amount, *returned).await;
        {
            let mut account = lock(&shared.account);
            match &grant {
                Some(grant) => account.apply_grant(draw, grant.granted, self.clock.now()),
                None => account.record_failure(draw),
            }
        }
        shared.draw_results.send_modify(|draw_results| *draw_results += 1);
        grant.is_some()
    }

    /// Returns all available money of an account. Retries until the owner has replied.
    async fn return_all(&self, shared: &SharedAccount) {
        loop {
            let draw = lock(&shared.account).return_all(|| self.shards.new_draw_id(), self.clock.now());
            let Some(draw) = draw else { return };
            if !self.send_draw(shared, &draw).await {
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Sends the draws of one customer, one at a time.
async fn run_draws(inner: Arc<Inner>, shared: Arc<SharedAccount>) {
    loop {
        shared.draw_requested.notified().await;
        loop {
            let draw = lock(&shared.account).next_draw(|| inner.shards.new_draw_id(), inner.clock.now());
            let Some(draw) = draw else { break };
            if !inner.send_draw(&shared, &draw).await {
                sleep(RETRY_DELAY).await;
            } else if draw.amount > Cost::ZERO {
                // Waiting requests reserve their amounts before the account is checked again.
                break;
            }
        }
    }
}

impl Reservation {
    /// Ends the reservation and credits the unspent part to the account.
    pub fn settle(self, spent: Cost) {
        if let Some((shared, period)) = &self.account {
            lock(&shared.account).settle(period, self.amount, spent);
        }
    }
}

/// Refusal of a request for which no share could be drawn.
fn budget_unavailable() -> Refusal {
    Refusal::not_run(Reason::BudgetUnavailable).retry_after(RETRY_AFTER)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
