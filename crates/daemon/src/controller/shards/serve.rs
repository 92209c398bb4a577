//! Answers of the owner of a shard, to callers in this process and in others.

use eelgrasswell_core::{
    budget::{DrawDecision, DrawRequest},
    claim::{Answer, ClaimDecision, ClaimKey, ClaimRequest, ClaimState},
    id::{Incarnation, ShardId},
    ledger::{BillOp, Ledger},
    shard::{Op, ShardState},
    unit::Cost,
};
use eelgrasswell_proto::v1;
use futures::{StreamExt, TryStreamExt, stream};

use super::{Inner, convert, shard_of_bill, shard_of_claim, shard_of_key, snapshot};
use crate::{
    event,
    invariant::{self, Promise},
};

/// Bills in one command; a batch of the log must stay under 1 MB.
const BILLS_PER_COMMAND: usize = 500;
/// Segments of bills read at the same time.
const PARALLEL_SEGMENTS: usize = 4;

impl Inner {
    /// Serves a claim. It is durable when it is granted.
    pub async fn serve_claim(&self, req: v1::ClaimRequest) -> v1::ClaimReply {
        let shard = shard_of_claim(&req.customer, &req.key);
        let Some(handle) = self.handle(shard) else {
            return v1::ClaimReply { result: Some(v1::claim_reply::Result::NotOwner(self.not_owner(shard))) };
        };
        let Some(ask) = convert::claim_ask(&req) else {
            event!(Warn, "claim_refused", reason = "bad digest", customer = req.customer, request = req.request_id);
            return convert::unavailable_claim();
        };
        let fence = handle.fence;
        let decide = move |state: &ShardState| {
            let decision = state.claims.decide(&ask, fence);
            let ops = match &decision {
                ClaimDecision::Grant(op) => {
                    check_grant(state, &ask);
                    vec![Op::Claim(op.clone())]
                }
                _ => Vec::new(),
            };
            (ops, decision)
        };
        match handle.submit(true, decide).await {
            Some(decision) => convert::claim_reply(decision, fence),
            None => convert::unavailable_claim(),
        }
    }

    /// Serves the end of a claim.
    pub async fn serve_complete(&self, req: v1::CompleteRequest) -> v1::CompleteReply {
        let shard = shard_of_claim(&req.customer, &req.key);
        let Some(handle) = self.handle(shard) else {
            return v1::CompleteReply { durable: false, not_owner: Some(self.not_owner(shard)) };
        };
        let key = ClaimKey::new(&req.customer.as_str().into(), &req.key);
        let end = if req.release {
            ClaimState::Released
        } else {
            let status = u16::try_from(req.status).unwrap_or_default();
            ClaimState::Done(Answer::new(status, req.body_kept.then(|| req.body.to_vec())))
        };
        let decide = move |state: &ShardState| {
            let op = state.claims.end_op(key, &req.request_id.as_str().into(), end);
            (op.into_iter().map(Op::Claim).collect(), ())
        };
        v1::CompleteReply { durable: handle.submit(true, decide).await.is_some(), not_owner: None }
    }

    /// Serves the recording of bills.
    pub async fn serve_record_bills(&self, req: v1::RecordBillsRequest) -> v1::RecordBillsReply {
        let shard = ShardId(req.shard);
        let Some(handle) = self.handle(shard) else {
            return v1::RecordBillsReply { durable: false, not_owner: Some(self.not_owner(shard)) };
        };
        // In another shard the bill could be counted a second time.
        if let Some(stray) = req.bills.iter().find(|bill| shard_of_bill(&bill.request_id) != shard) {
            event!(Error, "bill_in_wrong_shard", shard = shard, request = stray.request_id);
            return v1::RecordBillsReply { durable: false, not_owner: None };
        }
        let config = self.config.current();
        let ops = req.bills.iter().map(|record| {
            let bill = convert::bill(record);
            let customer = config.manifest.customers.get(&bill.customer);
            let budget = customer.and_then(|customer| customer.budget.as_ref());
            BillOp { bill, period: budget.map(|budget| budget.period.clone()).unwrap_or_default() }
        });
        let ops: Vec<BillOp> = ops.collect();
        for chunk in ops.chunks(BILLS_PER_COMMAND) {
            let chunk = chunk.to_vec();
            let decide = move |state: &ShardState| (new_bills(&state.ledger, chunk), ());
            if handle.submit(false, decide).await.is_none() {
                return v1::RecordBillsReply { durable: false, not_owner: None };
            }
        }
        v1::RecordBillsReply { durable: true, not_owner: None }
    }

    /// Serves a draw. The share is durable when it is granted.
    pub async fn serve_draw(&self, req: v1::DrawRequest) -> v1::DrawReply {
        let shard = shard_of_key(&req.customer);
        let Some(handle) = self.handle(shard) else {
            return v1::DrawReply { not_owner: Some(self.not_owner(shard)), ..v1::DrawReply::default() };
        };
        let unavailable = v1::DrawReply { unavailable: true, ..v1::DrawReply::default() };
        let config = self.config.current();
        let budget = config.manifest.customers.get(req.customer.as_str()).and_then(|found| found.budget.as_ref());
        // With another period in force here or there, the share would count against the wrong cap.
        let Some(budget) = budget.filter(|budget| budget.period == req.period) else { return unavailable };
        let cap = budget.cap;
        let ask = DrawRequest {
            customer: req.customer.as_str().into(),
            period: budget.period.clone(),
            id: req.draw_id.into(),
            router: req.router.as_str().into(),
            incarnation: Incarnation(req.router_incarnation),
            amount: Cost(req.amount_micros),
            returned: Cost(req.returned_micros),
        };
        let decide = move |state: &ShardState| decide_draw(state, &ask, cap);
        let Some((granted, committed)) = handle.submit(true, decide).await else { return unavailable };
        v1::DrawReply {
            granted_micros: granted.0,
            cap_micros: cap.0,
            committed_micros: committed.0,
            not_owner: None,
            unavailable: false,
        }
    }

    /// Serves the bills of a customer in one shard; none when a segment cannot be read.
    pub async fn serve_read_bills(&self, req: v1::ReadBillsRequest) -> Option<v1::ReadBillsReply> {
        let shard = ShardId(req.shard);
        let Some(handle) = self.handle(shard) else {
            return Some(v1::ReadBillsReply { bills: Vec::new(), not_owner: Some(self.not_owner(shard)) });
        };
        let customer = req.customer.clone();
        let decide = move |state: &ShardState| {
            let bills = state.ledger.unsealed().filter(|bill| bill.customer.as_str() == customer).cloned();
            (Vec::new(), (bills.collect::<Vec<_>>(), state.segments.clone()))
        };
        let (mut bills, segments) = handle.submit(false, decide).await?;
        let segments =
            stream::iter(segments).map(|key| async move { snapshot::read_segment(&self.platform, &key).await });
        let sealed: Vec<_> = segments.buffer_unordered(PARALLEL_SEGMENTS).try_collect().await.ok()?;
        bills.extend(sealed.into_iter().flatten().filter(|bill| bill.customer.as_str() == req.customer));
        bills.sort_by(|a, b| a.request.cmp(&b.request));
        let repeated = bills.windows(2).find(|pair| pair[0].request == pair[1].request);
        invariant::check(Promise::Billed, repeated.is_none(), || format!("a request is billed twice: {repeated:?}"));
        Some(v1::ReadBillsReply { bills: bills.iter().map(convert::bill_record).collect(), not_owner: None })
    }

    fn not_owner(&self, shard: ShardId) -> v1::NotOwner {
        v1::NotOwner { known: self.owners.get(shard) }
    }
}

/// Asserts that a grant replaces no attempt that may still run.
fn check_grant(state: &ShardState, ask: &ClaimRequest) {
    let replaced = state.claims.pending_attempt(ask.key);
    let barred = replaced.is_none_or(|attempt| Some(&attempt.request) == ask.barred.as_ref());
    invariant::check(Promise::AtMostOnce, barred, || {
        format!("request {} was granted a claim while {replaced:?} holds it", ask.attempt.request)
    });
}

fn new_bills(ledger: &Ledger, bills: Vec<BillOp>) -> Vec<Op> {
    bills.into_iter().filter(|op| !ledger.contains(&op.bill.request)).map(Op::Bill).collect()
}

/// The grant, and the sum of all shares after it.
fn decide_draw(state: &ShardState, ask: &DrawRequest, cap: Cost) -> (Vec<Op>, (Cost, Cost)) {
    // A read must not push out the draws that are remembered for repeats.
    if ask.id.is_empty() {
        return (Vec::new(), (Cost::ZERO, state.budgets.committed(&ask.customer, &ask.period)));
    }
    match state.budgets.decide(ask, cap) {
        DrawDecision::Draw { op, granted, committed } => (vec![Op::Budget(op)], (granted, committed)),
        DrawDecision::Repeat(granted) => (Vec::new(), (granted, state.budgets.committed(&ask.customer, &ask.period))),
    }
}
