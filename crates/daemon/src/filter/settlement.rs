//! Settles an answer when it ends: records its bill, counts it in the answer counters, and settles its budget
//! reservation and claim.

use bytes::Bytes;
use eelgrasswell_core::{
    id::{CustomerId, HostId, RequestId},
    unit::{Cost, Millis, Tokens},
};
use eelgrasswell_proto::v1::{BillRecord, Finished};

use super::{Chain, budget::BudgetReservation, choose::Choice, claim::Claim};
use crate::{
    controller::{answer_counters::AnswerSample, links::OutstandingGuard},
    telemetry,
};

/// Lowest HTTP status that counts as an error of the version.
pub const FIRST_SERVER_ERROR: u16 = 500;

/// An answer that is not settled yet. If it is dropped without being settled, the bill arrives with the agent's
/// heartbeat and the whole reservation counts as spent.
pub struct Settlement {
    /// State shared by the filters.
    pub chain: Chain,
    /// Id of the attempt.
    pub request_id: RequestId,
    /// Service, model and version that run the request.
    pub choice: Choice,
    /// Agent that runs the request.
    pub agent: HostId,
    /// Customer of the request.
    pub customer: CustomerId,
    /// Budget reserved for the request.
    pub reservation: BudgetReservation,
    /// Claim of the request if it is not idempotent.
    pub claim: Option<Box<Claim>>,
    /// Estimated length of the prompt; zero for a plain service.
    pub prompt: Tokens,
    /// Time from the send to the first bytes of the answer, which counts as the time to the first token.
    pub first_token: Option<Millis>,
    /// Guard that counts the request as outstanding at the agent.
    pub _outstanding: Option<OutstandingGuard>,
}

impl Settlement {
    /// Settles a complete answer and returns its cost. `body` is stored with the claim.
    pub async fn settle_finished(self, finished: Finished, status: u16, body: Option<Bytes>) -> Cost {
        self.count_answer(status >= FIRST_SERVER_ERROR);
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

    /// Settles an answer that the backend server aborted. Without a bill, the whole reservation counts as spent, since
    /// the agent may still send one.
    pub fn settle_failed(self, bill: Option<BillRecord>) {
        self.count_answer(true);
        if let Some(bill) = bill {
            self.reservation.settle(Cost(bill.cost_micros));
            self.chain.router.bills.push(&self.agent, bill);
        }
    }

    /// Bills the delivered part of an answer whose agent is no longer reachable, since the agent's own bill may be lost
    /// with it. If both bills arrive, the first one counts. The whole reservation counts as spent.
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

    /// Counts the answer in the answer counters of its version. Plain services have no versions.
    fn count_answer(&self, error: bool) {
        let Choice { model, version, .. } = &self.choice;
        if !model.is_empty() {
            let sample = AnswerSample { error, first_token: self.first_token };
            self.chain.router.answer_counters.record(model, version, sample);
        }
    }
}
