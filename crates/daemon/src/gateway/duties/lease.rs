//! Takes part in the lease on the duties: makes the calls to the store that the state machine asks for.

use eelgrasswell_core::{
    duty_lease::{Action, Change, WriteOutcome},
    place::Place,
    unit::Millis,
};
use eelgrasswell_platform::store::StoreError;
use tokio::time::sleep;

use super::Active;
use crate::{
    event,
    gateway::{
        Gateway,
        store::{CallError, StoreClient},
    },
    sync::lock,
    telemetry,
};

/// Interval at which the state is checked while no call is due: other gateways' reports may change it.
const CHECK_INTERVAL: Millis = Millis(50);
/// Longest time for the store's answer to a call. Later, there would be no time for another renewal.
const MAX_CALL_TIME: Millis = Millis(900);
/// The same, as a part of the lease time.
const CALLS_PER_LEASE: u64 = 4;

/// Takes part in the lease until the process ends.
pub async fn run(gateway: Gateway) {
    let Some(active) = &gateway.duties.0 else { return };
    let mut client = StoreClient::new(gateway.settings.store, gateway.store_era.clone());
    let limit = MAX_CALL_TIME.min(Millis(active.settings.lease_ms / CALLS_PER_LEASE));
    let mut may_act = false;
    loop {
        let rank = gateway.duty_rank();
        let now = active.clock.now();
        active.record_era(&gateway);
        let action = lock(&active.lease).next(now, rank, active.last_ended_window());
        match action {
            Action::Wait(until) => sleep(until.saturating_sub(now).min(CHECK_INTERVAL).into()).await,
            Action::Read => {
                let result = client.read_lease(limit).await;
                active.record_era(&gateway);
                let now = active.clock.now();
                match result {
                    Ok(stored) => {
                        let change = lock(&active.lease).record_read(now, stored);
                        active.report_change(change);
                    }
                    Err(err) => {
                        lock(&active.lease).record_read_failure(now);
                        event!(Warn, "duty_lease_not_read", error = err);
                    }
                }
            }
            Action::Create(era, lease) => {
                let sent = active.clock.now();
                let result = client.create_lease(era, &lease, limit).await;
                active.record_era(&gateway);
                active.record_write(sent, "create", result);
            }
            Action::Replace(stored) => {
                let sent = active.clock.now();
                let result = client.replace_lease(&stored, limit).await;
                active.record_era(&gateway);
                active.record_write(sent, "replace", result);
            }
        }
        active.report_ability(&mut may_act);
    }
}

impl Active {
    /// Records the store's era, of which any call or another gateway may have told.
    fn record_era(&self, gateway: &Gateway) {
        lock(&self.lease).record_era(self.clock.now(), gateway.store_era.current());
    }

    fn record_write(&self, sent: Millis, call: &str, result: Result<Place, CallError>) {
        let outcome = match &result {
            Ok(place) => WriteOutcome::Written(*place),
            Err(CallError::Refused(StoreError::Conflict | StoreError::NotFound)) => WriteOutcome::Conflict,
            Err(CallError::Refused(StoreError::Throttled | StoreError::Unavailable)) => WriteOutcome::Refused,
            // The object must be read anew before it is replaced.
            Err(CallError::NotSent) => WriteOutcome::Conflict,
            Err(_) => WriteOutcome::Unknown,
        };
        if let Err(err) = result {
            event!(Warn, "duty_lease_not_written", call = call, outcome = format!("{outcome:?}"), error = err);
        }
        let change = lock(&self.lease).record_write(sent, self.clock.now(), outcome);
        self.report_change(change);
    }

    fn report_change(&self, change: Option<Change>) {
        let label = match change {
            Some(Change::Taken(fence)) => {
                event!(Info, "duty_lease_taken", fence = fence, incarnation = self.own.incarnation);
                "taken"
            }
            Some(Change::Lost(fence)) => {
                event!(Warn, "duty_lease_lost", fence = fence, holder = self.known_holder());
                "lost"
            }
            Some(Change::RaceLost) => {
                event!(Info, "duty_race_lost", holder = self.known_holder());
                "race_lost"
            }
            None => return,
        };
        metrics::counter!(telemetry::DUTY_LEASE_CHANGES, "change" => label).increment(1);
    }

    fn known_holder(&self) -> String {
        lock(&self.lease).known().map_or_else(|| "unknown".into(), |known| known.holder.id.to_string())
    }

    /// Reports when this gateway begins or ceases to be allowed to act.
    fn report_ability(&self, could_act: &mut bool) {
        let now = self.clock.now();
        let lease = lock(&self.lease);
        let (fence, known) = (lease.may_act(now), lease.known());
        drop(lease);
        if fence.is_some() == *could_act {
            return;
        }
        *could_act = fence.is_some();
        metrics::gauge!(telemetry::DUTY_HOLDER).set(if *could_act { 1.0 } else { 0.0 });
        let renewed = known.map_or(Millis::ZERO, |known| now.saturating_sub(known.renewed));
        match fence {
            Some(fence) => {
                metrics::gauge!(telemetry::DUTY_FENCE).set(fence.0 as f64);
                event!(Info, "duty_acting", fence = fence, renewed_ago = renewed);
            }
            None => event!(Warn, "duty_stepped_back", renewed_ago = renewed),
        }
    }
}
