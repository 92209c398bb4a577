//! Carries out orders to move a service to another version, and reports their state to the store.
//!
//! Every gateway judges by the pooled counters and moves its own share of the requests. The state is written by the
//! first gateway by id that is alive and reaches the store; the next ones step in when it does not.

use std::time::Duration;

use eelgrasswell_core::{
    canary::{Order, OrderState},
    unit::Millis,
};
use eelgrasswell_platform::{
    objects::{self, Kind},
    store::StoreError,
};
use tokio::time::sleep;

use super::{
    Gateway, State,
    store::{CallError, StoreClient},
};
use crate::{event, sync::lock};

/// Interval at which orders are looked at.
const INTERVAL: Duration = Duration::from_millis(200);
/// Time that each gateway waits for the one before it to write a state.
const TURN: Millis = Millis(800);

/// A state that is to be written.
struct Due {
    order: Order,
    state: OrderState,
}

/// Starts to look after orders.
pub fn spawn(gateway: Gateway) {
    tokio::spawn(async move {
        let mut client = StoreClient::new(gateway.settings.store);
        let mut waiting_since: Option<Millis> = None;
        loop {
            sleep(INTERVAL).await;
            let due = gateway.due_states();
            let now = gateway.clock.now();
            if due.is_empty() {
                waiting_since = None;
                continue;
            }
            let since = *waiting_since.get_or_insert(now);
            if now.saturating_sub(since) < Millis(TURN.0 * gateway.rank()) {
                continue;
            }
            for due in due {
                gateway.report(&mut client, due).await;
            }
        }
    });
}

impl State {
    /// Judges all orders and returns the states to be written.
    fn due_states(&self) -> Vec<Due> {
        let now = self.clock.now();
        let orders: Vec<Order> = lock(&self.canaries).values().map(|canary| canary.order().clone()).collect();
        orders.into_iter().filter_map(|order| self.due_state(order, now)).collect()
    }

    fn due_state(&self, order: Order, now: Millis) -> Option<Due> {
        let (target, baseline) = self.evidence.compare(self.incarnation, &order.service, &order.target);
        let own = lock(&self.pool).outstanding_on_other_versions(&order.service, &order.target);
        let idle = own == 0 && self.outstanding_at_others(&order.service, &order.target) == 0;
        let mut canaries = lock(&self.canaries);
        let canary = canaries.get_mut(&order.service)?;
        if canary.judge(now, target, baseline) {
            event!(
                Warn,
                "version_bad",
                service = order.service,
                version = order.target,
                answers = target.answers,
                errors = target.errors,
                slow = target.slow,
                baseline_answers = baseline.answers,
                baseline_errors = baseline.errors
            );
        }
        let state = canary.next_state(now, idle)?;
        Some(Due { order: canary.order().clone(), state })
    }

    /// Position of this gateway among those that are alive, by id.
    fn rank(&self) -> u64 {
        let now = self.clock.now();
        let fleet = lock(&self.fleet);
        let before = fleet.alive(now).into_iter().filter(|member| !member.leaving && member.id < self.settings.id);
        before.count() as u64
    }

    async fn report(&self, client: &mut StoreClient, due: Due) {
        let object = lock(self.mirror.copy(Kind::Orders)).get(due.order.service.as_str()).cloned();
        let Some(object) = object else { return };
        let status = objects::order_status(&due.order, due.state);
        match client.put_status(Kind::Orders, &object, &status).await {
            Ok(_) => {
                event!(Info, "order_reported", service = due.order.service, state = format!("{:?}", due.state));
                if let Some(canary) = lock(&self.canaries).get_mut(&due.order.service) {
                    canary.set_state(due.state);
                }
            }
            // Another gateway was first; the watch brings what it wrote.
            Err(CallError::Refused(StoreError::Conflict(_))) => {}
            Err(err) => event!(Warn, "order_not_reported", service = due.order.service, error = err),
        }
    }
}
