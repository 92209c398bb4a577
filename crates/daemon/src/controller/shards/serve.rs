//! Executes `Shard` calls at the owner of a shard, for callers in this process and at other routers.

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

/// Maximum number of bills in one command. A batch of the log must stay below 1 MB.
const MAX_BILLS_PER_COMMAND: usize = 500;
/// Maximum number of concurrent reads of segments of bills.
const MAX_CONCURRENT_SEGMENT_READS: usize = 4;

impl Inner {
    /// Serves a claim. A granted claim is durable.
    pub async fn serve_claim(&self, req: v1::ClaimRequest) -> v1::ClaimReply {
        let shard = shard_of_claim(&req.customer, &req.key);
        let Some(handle) = self.writer_handle(shard) else {
            return v1::ClaimReply { result: Some(v1::claim_reply::Result::NotOwner(self.not_owner(shard))) };
        };
        let Some(request) = convert::claim_request(&req) else {
            event!(Warn, "claim_refused", reason = "bad digest", customer = req.customer, request = req.request_id);
            return convert::claim_unavailable();
        };
        let fence = handle.fence;
        let decide = move |state: &ShardState| {
            let decision = state.claims.decide(&request, fence);
            let ops = match &decision {
                ClaimDecision::Grant(op) => {
                    assert_replaced_is_barred(state, &request);
                    vec![Op::Claim(op.clone())]
                }
                _ => Vec::new(),
            };
            (ops, decision)
        };
        match handle.submit(true, decide).await {
            Some(decision) => convert::claim_reply(decision, fence),
            None => convert::claim_unavailable(),
        }
    }

    /// Serves the end of a claim. The reply states whether the end is durable.
    pub async fn serve_complete(&self, req: v1::CompleteRequest) -> v1::CompleteReply {
        let shard = shard_of_claim(&req.customer, &req.key);
        let Some(handle) = self.writer_handle(shard) else {
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

    /// Serves the recording of bills. The reply states whether all bills are durable.
    pub async fn serve_record_bills(&self, req: v1::RecordBillsRequest) -> v1::RecordBillsReply {
        let shard = ShardId(req.shard);
        let Some(handle) = self.writer_handle(shard) else {
            return v1::RecordBillsReply { durable: false, not_owner: Some(self.not_owner(shard)) };
        };
        // A bill in a wrong shard could be counted twice.
        if let Some(misplaced) = req.bills.iter().find(|bill| shard_of_bill(&bill.request_id) != shard) {
            event!(Error, "bill_in_wrong_shard", shard = shard, request = misplaced.request_id);
            return v1::RecordBillsReply { durable: false, not_owner: None };
        }
        let config = self.config.current();
        let ops = req.bills.iter().map(|record| {
            let bill = convert::bill_from_record(record);
            let customer = config.manifest.customers.get(&bill.customer);
            let budget = customer.and_then(|customer| customer.budget.as_ref());
            BillOp { bill, period: budget.map(|budget| budget.period.clone()).unwrap_or_default() }
        });
        let ops: Vec<BillOp> = ops.collect();
        for chunk in ops.chunks(MAX_BILLS_PER_COMMAND) {
            let chunk = chunk.to_vec();
            let decide = move |state: &ShardState| (ops_for_new_bills(&state.ledger, chunk), ());
            if handle.submit(false, decide).await.is_none() {
                return v1::RecordBillsReply { durable: false, not_owner: None };
            }
        }
        v1::RecordBillsReply { durable: true, not_owner: None }
    }

    /// Serves a draw. A granted share is durable.
    pub async fn serve_draw(&self, req: v1::DrawRequest) -> v1::DrawReply {
        let shard = shard_of_key(&req.customer);
        let Some(handle) = self.writer_handle(shard) else {
            return v1::DrawReply { not_owner: Some(self.not_owner(shard)), ..v1::DrawReply::default() };
        };
        let unavailable = v1::DrawReply { unavailable: true, ..v1::DrawReply::default() };
        let config = self.config.current();
        let budget = config.manifest.customers.get(req.customer.as_str()).and_then(|customer| customer.budget.as_ref());
        // If this router and the caller are in different budget periods, the share would count against the
        // wrong cap.
        let Some(budget) = budget.filter(|budget| budget.period == req.period) else { return unavailable };
        let cap = budget.cap;
        let request = DrawRequest {
            customer: req.customer.as_str().into(),
            period: budget.period.clone(),
            id: req.draw_id.into(),
            router: req.router.as_str().into(),
            incarnation: Incarnation(req.router_incarnation),
            amount: Cost(req.amount_micros),
            returned: Cost(req.returned_micros),
        };
        let decide = move |state: &ShardState| decide_draw(state, &request, cap);
        let Some((granted, committed)) = handle.submit(true, decide).await else { return unavailable };
        v1::DrawReply {
            granted_micros: granted.0,
            cap_micros: cap.0,
            committed_micros: committed.0,
            not_owner: None,
            unavailable: false,
        }
    }

    /// Serves the bills of a customer in one shard. `None` if they could not be read.
    pub async fn serve_read_bills(&self, req: v1::ReadBillsRequest) -> Option<v1::ReadBillsReply> {
        let shard = ShardId(req.shard);
        let Some(handle) = self.writer_handle(shard) else {
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
        let sealed: Vec<_> = segments.buffer_unordered(MAX_CONCURRENT_SEGMENT_READS).try_collect().await.ok()?;
        bills.extend(sealed.into_iter().flatten().filter(|bill| bill.customer.as_str() == req.customer));
        bills.sort_by(|a, b| a.request.cmp(&b.request));
        let duplicate = bills.windows(2).find(|pair| pair[0].request == pair[1].request);
        invariant::check(Promise::Billed, duplicate.is_none(), || format!("a request is billed twice: {duplicate:?}"));
        Some(v1::ReadBillsReply { bills: bills.iter().map(convert::bill_to_record).collect(), not_owner: None })
    }

    /// Reply for a shard that this router does not own, with the owner that it knows of.
    fn not_owner(&self, shard: ShardId) -> v1::NotOwner {
        v1::NotOwner { known: self.owners.get(shard) }
    }
}

/// Asserts that a grant does not replace an attempt that may still run: the replaced attempt must be barred.
fn assert_replaced_is_barred(state: &ShardState, request: &ClaimRequest) {
    let replaced = state.claims.pending_attempt(request.key);
    let barred = replaced.is_none_or(|attempt| Some(&attempt.request) == request.barred.as_ref());
    invariant::check(Promise::AtMostOnce, barred, || {
        format!("request {} was granted a claim while {replaced:?} holds it", request.attempt.request)
    });
}

/// Changes that record those of `bills` that the ledger does not contain yet.
fn ops_for_new_bills(ledger: &Ledger, bills: Vec<BillOp>) -> Vec<Op> {
    bills.into_iter().filter(|op| !ledger.contains(&op.bill.request)).map(Op::Bill).collect()
}

/// Decides on a draw. Returns the change to log, the granted share and the sum of all shares after it.
fn decide_draw(state: &ShardState, request: &DrawRequest, cap: Cost) -> (Vec<Op>, (Cost, Cost)) {
    // A draw without id only reads the sum. If it were logged, it would displace one of the past draws
    // that are stored to recognise duplicates.
    if request.id.is_empty() {
        return (Vec::new(), (Cost::ZERO, state.budgets.committed(&request.customer, &request.period)));
    }
    match state.budgets.decide(request, cap) {
        DrawDecision::Draw { op, granted, committed } => (vec![Op::Budget(op)], (granted, committed)),
        DrawDecision::Repeat(granted) => {
            (Vec::new(), (granted, state.budgets.committed(&request.customer, &request.period)))
        }
    }
}
