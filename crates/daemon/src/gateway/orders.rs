//! Carries out rollout orders, which move a service to another version, and reports their state to the store.
//!
//! Every gateway evaluates the pooled counters and moves its own share of the requests. The state is written by the
//! gateway with the lowest id among those that are alive; if it does not reach the store, the next ones take over.

use std::time::Duration;

use eelgrasswell_core::{
    canary::{Canary, Order, OrderState},
    id::{Era, HostId, ServiceName, VersionName},
    place::Place,
    request_kind::{CountersByKind, RequestKind},
    unit::Millis,
    withdrawn::Withdrawal,
};
use eelgrasswell_platform::{
    objects::{self, Kind, Object},
    store::StoreError,
};
use eelgrasswell_proto::v1::{FleetState, VersionWithdrawal};
use tokio::time::sleep;

use super::{
    Gateway, State,
    store::{CallError, StoreClient},
};
use crate::{event, sync::lock, telemetry};

/// Interval at which orders are evaluated.
const INTERVAL: Duration = Duration::from_millis(100);
/// Time that each gateway waits for the one with the next lower id to write a state.
const REPORT_TURN: Millis = Millis(800);

/// State of an order that has to be written to the store.
struct PendingReport {
    order: Order,
    state: OrderState,
}

/// Starts a task that evaluates orders and reports their states.
pub fn spawn(gateway: Gateway) {
    tokio::spawn(async move {
        let mut client = StoreClient::new(gateway.settings.store, gateway.store_era.clone());
        let mut waiting_since: Option<Millis> = None;
        loop {
            sleep(INTERVAL).await;
            let pending = gateway.pending_reports();
            let now = gateway.clock.now();
            if pending.is_empty() {
                waiting_since = None;
                continue;
            }
            let since = *waiting_since.get_or_insert(now);
            if now.saturating_sub(since) < Millis(REPORT_TURN.0 * gateway.report_rank()) {
                continue;
            }
            for report in pending {
                gateway.write_state(&mut client, report).await;
            }
        }
    });
}

impl State {
    /// Evaluates all orders and returns the states that have to be written.
    fn pending_reports(&self) -> Vec<PendingReport> {
        let now = self.clock.now();
        self.withdraw_bad_versions();
        let orders: Vec<Order> = lock(&self.canaries).values().map(|canary| canary.order().clone()).collect();
        orders.into_iter().filter_map(|order| self.pending_report(order, now)).collect()
    }

    fn pending_report(&self, order: Order, now: Millis) -> Option<PendingReport> {
        let (target, baseline) = self.response_stats.compare(self.incarnation, &order.service, &order.target);
        let own_outstanding = lock(&self.pool).outstanding_on_other_versions(&order.service, &order.target);
        let idle = own_outstanding == 0 && self.outstanding_at_peers(&order.service, &order.target) == 0;
        let mut canaries = lock(&self.canaries);
        let canary = canaries.get_mut(&order.service)?;
        let rises_before = canary.rises();
        if self.is_plain(&order.service) {
            canary.skip_shift();
        }
        let failed = canary.evaluate(now, target, baseline);
        let (rises, elapsed, evidence) = (canary.rises(), canary.elapsed(now), *canary.evidence());
        if rises != rises_before {
            event!(
                Info,
                "share_rises",
                service = order.service,
                version = order.target,
                elapsed = elapsed,
                to_shift = rises.to_shift.unwrap_or_default(),
                to_full = rises.to_full.unwrap_or_default(),
                answers = target.total().answers,
                stage = format!("{:?}", evidence.stage()),
                stage_answers = evidence.answers()
            );
        }
        if let Some(criterion) = failed {
            self.trial_failures.notify_one();
            let failures = |counters: CountersByKind| {
                RequestKind::ALL
                    .map(|kind| format!("{}/{}", counters.of(kind).errors, counters.of(kind).answers))
                    .join(",")
            };
            let (failures, baseline_failures) = (failures(target), failures(baseline));
            let (target, baseline) = (target.total(), baseline.total());
            event!(
                Warn,
                "version_bad",
                service = order.service,
                version = order.target,
                elapsed = elapsed,
                stage = format!("{:?}", evidence.stage()),
                stage_answers = evidence.answers(),
                criterion = criterion,
                failures = failures,
                baseline_failures = baseline_failures,
                answers = target.answers,
                slow = target.slow,
                baseline_answers = baseline.answers,
                paced = target.paced,
                slow_paced = target.slow_paced,
                baseline_slow = baseline.slow,
                baseline_paced = baseline.paced,
                baseline_slow_paced = baseline.slow_paced
            );
        }
        let state = canary.next_state(now, idle)?;
        Some(PendingReport { order: canary.order().clone(), state })
    }

    /// Takes the servers of versions that were found bad out of use. The verdicts outlive the orders.
    pub fn withdraw_bad_versions(&self) {
        let withdrawals: Vec<Withdrawal> = lock(&self.canaries).values().filter_map(Canary::withdrawal).collect();
        withdrawals.into_iter().for_each(|withdrawal| self.withdraw(withdrawal, &self.settings.id));
    }

    /// Records a verdict that this gateway learned from `source`.
    fn withdraw(&self, withdrawal: Withdrawal, source: &HostId) {
        if !lock(&self.pool).withdraw(withdrawal.clone()) {
            return;
        }
        self.refresh_admission();
        let Withdrawal { service, version, place } = withdrawal;
        event!(Info, "version_withdrawn", service = service, version = version, place = place, source = source);
        metrics::counter!(telemetry::VERSIONS_WITHDRAWN).increment(1);
    }

    /// Adds the verdicts that this gateway knows of to `state`.
    pub fn add_withdrawals(&self, state: &mut FleetState) {
        let withdrawals = lock(&self.pool).withdrawals();
        let withdrawal = |Withdrawal { service, version, place }| VersionWithdrawal {
            service: service.to_string(),
            version: version.to_string(),
            revision: place.revision(),
            era: place.era().0,
        };
        state.withdrawals = withdrawals.into_iter().map(withdrawal).collect();
    }

    /// Records the verdicts that another gateway knows of.
    pub fn record_withdrawals(&self, state: &FleetState) {
        let source = HostId::from(state.id.as_str());
        for VersionWithdrawal { service, version, revision, era } in &state.withdrawals {
            let (service, version) = (service.as_str().into(), version.as_str().into());
            let place = Place::new(Era(*era), *revision);
            self.withdraw(Withdrawal { service, version, place }, &source);
        }
    }

    /// Whether the service is known to have no models.
    fn is_plain(&self, service: &ServiceName) -> bool {
        let config = self.config();
        config.and_then(|config| config.service(service).map(|service| service.models.is_empty())).unwrap_or_default()
    }

    /// Whether `version` of `service` is being rolled out.
    pub fn is_on_trial(&self, service: &ServiceName, version: &VersionName) -> bool {
        let canaries = lock(&self.canaries);
        let order = canaries.get(service).map(Canary::order);
        order.is_some_and(|order| order.target == *version && order.state != OrderState::Completed)
    }

    /// Number of gateways with lower ids that are alive and not leaving.
    fn report_rank(&self) -> u64 {
        let now = self.clock.now();
        let fleet = lock(&self.fleet);
        let earlier = fleet.alive(now).into_iter().filter(|member| !member.leaving && member.id < self.settings.id);
        earlier.count() as u64
    }

    async fn write_state(&self, client: &mut StoreClient, report: PendingReport) {
        let object = lock(self.mirror.copy(Kind::Orders)).data.get_listed(report.order.service.as_str()).cloned();
        let Some(object) = object.filter(|object| !is_for_another(object, &report.order.target)) else { return };
        let status = objects::order_status(&report.order, report.state);
        match client.put_status(Kind::Orders, &object, &status).await {
            Ok(_) => {
                event!(Info, "order_reported", service = report.order.service, state = format!("{:?}", report.state));
                if let Some(canary) = lock(&self.canaries).get_mut(&report.order.service) {
                    canary.set_stored_state(report.state);
                }
            }
            // Another gateway has written the state first; the watch returns it.
            Err(CallError::Refused(StoreError::Conflict)) => {}
            Err(err) => event!(Warn, "order_not_reported", service = report.order.service, error = err),
        }
    }
}

/// Whether the store's order is for another version than `version`: an older one if the store came back from an older copy. One
/// that can't be decoded any more still gets the state.
fn is_for_another(object: &Object, version: &VersionName) -> bool {
    objects::decode_order(object).is_ok_and(|order| order.target != *version)
}
