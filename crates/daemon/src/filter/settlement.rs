//! What is due when an answer ends: bill, budget, claim and evidence.

use bytes::Bytes;
use eelgrasswell_core::{
    id::{CustomerId, HostId, RequestId},
    unit::{Cost, Millis, Tokens},
};
use eelgrasswell_proto::v1::{BillRecord, Finished};

use super::{Chain, budget::BudgetReservation, choose::Choice, claim::Claim};
use crate::{
    controller::{evidence::AnswerSample, links::OutstandingGuard},
    telemetry,
};

/// HTTP status from which on an answer counts as an error of the version.
pub const FIRST_SERVER_ERROR: u16 = 500;

/// An answer whose end is still to be settled. Dropping it leaves the bill to the agent's
/// heartbeat and counts the reservation as spent.
pub struct Settlement {
    /// What the filters share.
    pub chain: Chain,
    /// Id of the attempt.
    pub request_id: RequestId,
    /// Where it runs.
    pub choice: Choice,
    /// Agent that runs it.
    pub agent: HostId,
    /// Customer of the request.
    pub customer: CustomerId,
    /// Money held for it.
    pub reservation: BudgetReservation,
    /// Its claim, when it is not idempotent.
    pub claim: Option<Box<Claim>>,
    /// Estimate of the prompt's length; zero for a plain service.
    pub prompt: Tokens,
    /// Time to the first byte of the answer.
    pub first_token: Option<Millis>,
    /// Counts it as outstanding at the agent.
    pub _outstanding: Option<OutstandingGuard>,
}

impl Settlement {
    /// Settles a complete answer; returns its cost. `body` is kept with the claim.
    pub async fn settle_finished(self, finished: Finished, status: u16, body: Option<Bytes>) -> Cost {
        self.record_evidence(status >= FIRST_SERVER_ERROR);
        let router = &self.chain.router;
        let Choice { model, version, .. } = &self.choice;
        let mut cost = self.choice.max_cost;
        if let Some(bill) = finished.bill {
            cost = Cost(bill.cost_micros);
            router.bills.push(&self.agent, bill);
        }
        self.reservation.settle(cost);
        if !model.is_empty() {
            router.quality.sample_answer(&self.request_id, &self.customer, model, version);
        }
        if let Some(claim) = self.claim {
            claim.complete(&self.chain, &self.customer, status, body).await;
        }
        let kind = if model.is_empty() { "plain" } else { "model" };
        metrics::counter!(telemetry::ANSWERS, "kind" => kind).increment(1);
        cost
    }

    /// Settles an answer that the backend server broke off. Without a bill the reservation stays
    /// spent, since a bill may come from the agent.
    pub fn settle_failed(self, bill: Option<BillRecord>) {
        self.record_evidence(true);
        if let Some(bill) = bill {
            self.reservation.settle(Cost(bill.cost_micros));
            self.chain.router.bills.push(&self.agent, bill);
        }
    }

    /// Bills what was delivered of an answer whose agent cannot be reached any more, since its bill may
    /// have died with it. If it has not, the bill that comes first counts. The reservation stays spent.
    pub fn settle_lost(self, delivered: Tokens) {
        let router = &self.chain.router;
        let Choice { model, version, .. } = &self.choice;
        let config = router.config.current();
        let Some(prices) = config.manifest.models.get(model).and_then(|model| model.versions.get(version)) else {
            return;
        };
        let bill = BillRecord {
            request_id: self.request_id.to_string(),
            customer: self.customer.to_string(),
            model: model.to_string(),
            version: version.to_string(),
            prompt_tokens: self.prompt.0,
            output_tokens: delivered.0,
            cost_micros: prices.cost(self.prompt, delivered).0,
            service: self.choice.service.to_string(),
            router_incarnation: router.incarnation.0,
        };
        router.bills.push(&self.agent, bill);
    }

    fn record_evidence(&self, error: bool) {
        let Choice { model, version, .. } = &self.choice;
        if !model.is_empty() {
            let sample = AnswerSample { error, first_token: self.first_token };
            self.chain.router.evidence.record(model, version, sample);
        }
    }
}
