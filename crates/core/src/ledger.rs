//! Ledger of a shard: a set of bills keyed by request id, with totals per customer and period.

use std::collections::VecDeque;

use base64::{Engine, prelude::BASE64_STANDARD_NO_PAD};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{
    hash::{HashMap, HashSet, stable_hash},
    id::{CustomerId, Incarnation, ModelName, RequestId, ServiceName, VersionName},
    unit::{Cost, Millis, Tokens},
};

/// Retention of the ids of sealed bills, by which duplicates are recognised. The agent and the router
/// both hold a bill and send it within seconds, or once an outage is over; outages last hours.
pub const BILL_ID_RETENTION: Millis = Millis(24 * 3_600_000);
/// Time span of the sealed ids that share one group and expire together. A lookup searches every
/// group.
const GROUP_SPAN: Millis = Millis(3_600_000);

/// Charge to a customer for one request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// Request id of the attempt that the bill is for.
    #[serde(rename = "id")]
    pub request: RequestId,
    /// Customer that is charged.
    #[serde(rename = "c")]
    pub customer: CustomerId,
    /// Model; empty for a plain service.
    #[serde(rename = "m", default, skip_serializing_if = "ModelName::is_empty")]
    pub model: ModelName,
    /// Version of the model.
    #[serde(rename = "v", default, skip_serializing_if = "VersionName::is_empty")]
    pub version: VersionName,
    /// Plain service; empty for a model.
    #[serde(rename = "s", default, skip_serializing_if = "ServiceName::is_empty")]
    pub service: ServiceName,
    /// Number of prompt tokens.
    #[serde(rename = "p", default)]
    pub prompt_tokens: Tokens,
    /// Number of output tokens delivered.
    #[serde(rename = "o", default)]
    pub output_tokens: Tokens,
    /// Cost of all attempts.
    #[serde(rename = "u")]
    pub cost: Cost,
    /// Incarnation of the router whose budget share covers the cost.
    #[serde(rename = "r", default)]
    pub router: Incarnation,
}

/// A bill with the budget period in which it was recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillOp {
    /// The bill.
    pub bill: Bill,
    /// Period of the customer's budget; empty if the customer has no budget.
    #[serde(default)]
    pub period: CompactString,
}

/// Total of a customer's bills in one period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Total {
    /// Number of bills.
    pub bills: u64,
    /// Sum of the costs.
    pub cost: Cost,
}

/// Bills of one shard.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// Bills that are not in a sealed segment, by [`base_request_id`].
    unsealed: HashMap<CompactString, BillOp>,
    /// Groups of ids of sealed bills, newest last.
    sealed: VecDeque<IdGroup>,
    totals: HashMap<(CustomerId, CompactString), Total>,
}

/// Ids of sealed bills that expire together.
#[derive(Clone, Debug)]
struct IdGroup {
    expires: Millis,
    ids: HashSet<BillId>,
}

/// 128-bit hash of a request id, stored instead of its text of about 50 bytes. Among a billion ids,
/// the probability that two are equal is about 1e-21.
type BillId = [u8; 16];

/// A ledger as stored in a snapshot.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LedgerRecord {
    /// Bills that are not in a sealed segment.
    recent: Vec<BillOp>,
    /// Groups of ids of sealed bills: the remaining retention, and the concatenated ids in base64.
    sealed: Vec<(Millis, String)>,
    totals: Vec<(CustomerId, CompactString, Total)>,
}

impl Ledger {
    /// Whether a bill for this or another attempt of the same request is recorded.
    pub fn contains(&self, request: &RequestId) -> bool {
        let id = bill_id(request);
        self.unsealed.contains_key(base_request_id(request.as_str()))
            || self.sealed.iter().any(|group| group.ids.contains(&id))
    }

    /// Adds a bill. Returns false if its request has a bill already; that bill stays unchanged.
    pub fn apply(&mut self, op: &BillOp) -> bool {
        if self.contains(&op.bill.request) {
            return false;
        }
        let total = self.totals.entry((op.bill.customer.clone(), op.period.clone())).or_default();
        total.bills += 1;
        total.cost += op.bill.cost;
        self.unsealed.insert(base_request_id(op.bill.request.as_str()).into(), op.clone());
        true
    }

    /// Total of the bills of `customer` in `period`.
    pub fn total(&self, customer: &CustomerId, period: &str) -> Total {
        self.totals.get(&(customer.clone(), period.into())).copied().unwrap_or_default()
    }

    /// Bills that are not in a sealed segment.
    pub fn unsealed(&self) -> impl Iterator<Item = &Bill> {
        self.unsealed.values().map(|op| &op.bill)
    }

    /// Number of bills that are not in a sealed segment.
    pub fn unsealed_len(&self) -> usize {
        self.unsealed.len()
    }

    /// Number of retained ids of sealed bills.
    pub fn sealed_len(&self) -> usize {
        self.sealed.iter().map(|group| group.ids.len()).sum()
    }

    /// Replaces `bills`, which are stored in a segment, by their ids. Bills that are not in memory are
    /// ignored.
    pub fn seal(&mut self, bills: &[Bill], now: Millis) {
        let ids = bills.iter().filter(|bill| self.unsealed.remove(base_request_id(bill.request.as_str())).is_some());
        let ids = ids.map(|bill| bill_id(&bill.request));
        match self.sealed.back_mut().filter(|group| group.expires >= now + BILL_ID_RETENTION) {
            Some(group) => group.ids.extend(ids),
            None => {
                let expires = now + BILL_ID_RETENTION + GROUP_SPAN;
                self.sealed.push_back(IdGroup { expires, ids: ids.collect() });
            }
        }
    }

    /// Drops the groups of sealed ids whose retention has passed.
    pub fn expire(&mut self, now: Millis) {
        self.sealed.retain(|group| now < group.expires);
    }

    /// The ledger for a snapshot, in which points in time become remaining retention.
    pub fn to_record(&self, now: Millis) -> LedgerRecord {
        let sealed = self.sealed.iter().map(|group| {
            let ids: Vec<u8> = group.ids.iter().flatten().copied().collect();
            (group.expires.saturating_sub(now), BASE64_STANDARD_NO_PAD.encode(ids))
        });
        let totals = self.totals.iter().map(|((customer, period), total)| (customer.clone(), period.clone(), *total));
        LedgerRecord {
            recent: self.unsealed.values().cloned().collect(),
            sealed: sealed.collect(),
            totals: totals.collect(),
        }
    }

    /// The ledger from a snapshot; `None` if the record is malformed.
    pub fn from_record(record: LedgerRecord, now: Millis) -> Option<Self> {
        let mut sealed = VecDeque::new();
        for (remaining, ids) in record.sealed {
            let ids = BASE64_STANDARD_NO_PAD.decode(ids).ok()?;
            let ids = ids.chunks_exact(16).filter_map(|id| BillId::try_from(id).ok()).collect();
            sealed.push_back(IdGroup { expires: now + remaining, ids });
        }
        let unsealed =
            record.recent.into_iter().map(|op| (base_request_id(op.bill.request.as_str()).into(), op)).collect();
        let totals = record.totals.into_iter().map(|(customer, period, total)| ((customer, period), total)).collect();
        Some(Self { unsealed, sealed, totals })
    }
}

/// The part of an attempt id `<uuid>.<host>` that is the same for all attempts of a request. If the
/// connection to an agent is lost while the agent is alive, the request may run again and has bills of
/// two attempts.
pub fn base_request_id(attempt_id: &str) -> &str {
    attempt_id.split_once('.').map_or(attempt_id, |(request, _)| request)
}

fn bill_id(request: &RequestId) -> BillId {
    let request = base_request_id(request.as_str());
    let low = stable_hash(&["bill", request]);
    let high = stable_hash(&[request, "bill"]);
    (u128::from(high) << 64 | u128::from(low)).to_be_bytes()
}
