//! Conversions between gRPC messages and the types of `eelgrasswell_core`.

use eelgrasswell_core::{
    claim::{Answer, Attempt, ClaimDecision, ClaimKey, ClaimRequest, Fingerprint},
    id::{Fence, Incarnation},
    ledger::Bill,
    unit::{Cost, Tokens},
};
use eelgrasswell_proto::v1::{self, BillRecord, claim_reply};

/// Time after which a caller may retry a claim that could not be made durable, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Converts a claim request; `None` if its digest has the wrong length.
pub fn claim_request(req: &v1::ClaimRequest) -> Option<ClaimRequest> {
    let digest: &[u8; 32] = (&*req.digest).try_into().ok()?;
    Some(ClaimRequest {
        key: ClaimKey::new(&req.customer.as_str().into(), &req.key),
        digest: Fingerprint::new(digest),
        attempt: Attempt {
            request: req.request_id.as_str().into(),
            agent: req.agent.as_str().into(),
            agent_incarnation: Incarnation(req.agent_incarnation),
        },
        barred: (!req.barred_request_id.is_empty()).then(|| req.barred_request_id.as_str().into()),
    })
}

/// Converts a decision on a claim to the reply. `fence` is the fence of the shard's owner.
pub fn claim_reply(decision: ClaimDecision, fence: Fence) -> v1::ClaimReply {
    let result = match decision {
        ClaimDecision::Grant(_) => claim_reply::Result::Granted(v1::ClaimGranted { fence: fence.0 }),
        ClaimDecision::Repeat(fence) => claim_reply::Result::Granted(v1::ClaimGranted { fence: fence.0 }),
        ClaimDecision::Pending(attempt) => claim_reply::Result::Pending(v1::ClaimPending {
            request_id: attempt.request.to_string(),
            agent: attempt.agent.to_string(),
            agent_incarnation: attempt.agent_incarnation.0,
        }),
        ClaimDecision::Done(request, Answer { status, body }) => claim_reply::Result::Done(v1::ClaimDone {
            request_id: request.to_string(),
            status: status.into(),
            body_kept: body.is_some(),
            body: body.map(|body| body.0.into()).unwrap_or_default(),
        }),
        ClaimDecision::KeyReused => claim_reply::Result::KeyReused(v1::ClaimKeyReused {}),
        ClaimDecision::Full => return claim_unavailable(),
    };
    v1::ClaimReply { result: Some(result) }
}

/// The reply to a claim that cannot be made durable.
pub fn claim_unavailable() -> v1::ClaimReply {
    let unavailable = v1::ShardUnavailable { retry_after_ms: RETRY_AFTER_MS };
    v1::ClaimReply { result: Some(claim_reply::Result::Unavailable(unavailable)) }
}

/// Converts a bill from its message.
pub fn bill_from_record(record: &BillRecord) -> Bill {
    Bill {
        request: record.request_id.as_str().into(),
        customer: record.customer.as_str().into(),
        model: record.model.as_str().into(),
        version: record.version.as_str().into(),
        service: record.service.as_str().into(),
        prompt_tokens: Tokens(record.prompt_tokens),
        output_tokens: Tokens(record.output_tokens),
        cost: Cost(record.cost_micros),
        router: Incarnation(record.router_incarnation),
    }
}

/// Converts a bill to its message.
pub fn bill_to_record(bill: &Bill) -> BillRecord {
    BillRecord {
        request_id: bill.request.to_string(),
        customer: bill.customer.to_string(),
        model: bill.model.to_string(),
        version: bill.version.to_string(),
        service: bill.service.to_string(),
        prompt_tokens: bill.prompt_tokens.0,
        output_tokens: bill.output_tokens.0,
        cost_micros: bill.cost.0,
        router_incarnation: bill.router.0,
    }
}
