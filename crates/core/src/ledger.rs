//! The ledger of a shard: bill records as a set keyed by request id, with totals.

use std::collections::VecDeque;

use base64::{Engine, prelude::BASE64_STANDARD_NO_PAD};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{
    hash::{HashMap, HashSet, stable_hash},
    id::{CustomerId, Incarnation, ModelName, RequestId, ServiceName, VersionName},
    unit::{Cost, Millis, Tokens},
};

/// Time for which the ids of sealed bills are remembered. Both holders of a bill send it within
/// seconds, or after an outage; outages last hours.
pub const BILL_ID_RETENTION: Millis = Millis(24 * 3_600_000);
/// Time over which sealed ids go into one group and are forgotten together. A lookup asks each group.
const GROUP_WIDTH: Millis = Millis(3_600_000);

/// What a customer owes for one request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// The request.
    #[serde(rename = "id")]
    pub request: RequestId,
    /// Who pays.
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
    /// Tokens of the prompt.
    #[serde(rename = "p", default)]
    pub prompt_tokens: Tokens,
    /// Tokens delivered.
    #[serde(rename = "o", default)]
    pub output_tokens: Tokens,
    /// Cost of all attempts.
    #[serde(rename = "u")]
    pub cost: Cost,
    /// Router incarnation whose budget share paid.
    #[serde(rename = "r", default)]
    pub router: Incarnation,
}

/// A bill with the budget period in which it was recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillOp {
    /// The record.
    pub bill: Bill,
    /// Period of the customer's budget; empty without a budget.
    #[serde(default)]
    pub period: CompactString,
}

/// Sum over the bills of a customer in a period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Total {
    /// Number of bills.
    pub bills: u64,
    /// Sum of their costs.
    pub cost: Cost,
}

/// The bills of one shard.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// Bills that are in no sealed segment, by [`base_request_id`].
    unsealed: HashMap<CompactString, BillOp>,
    /// Ids of sealed bills, the newest group at the end.
    sealed: VecDeque<Group>,
    totals: HashMap<(CustomerId, CompactString), Total>,
}

/// Ids that are forgotten together.
#[derive(Clone, Debug)]
struct Group {
    expires: Millis,
    ids: HashSet<BillId>,
}

/// 128-bit hash of a request id, in place of its text of about 50 bytes. Two ids among a billion
/// are equal with a probability of about 1e-21.
type BillId = [u8; 16];

/// A ledger as kept in a snapshot.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LedgerRecord {
    recent: Vec<BillOp>,
    /// Groups of ids of sealed bills: rest of retention, and the ids joined and in base64.
    sealed: Vec<(Millis, String)>,
    totals: Vec<(CustomerId, CompactString, Total)>,
}

impl Ledger {
    /// Whether an attempt of the same request is recorded.
    pub fn contains(&self, request: &RequestId) -> bool {
        let id = bill_id(request);
        self.unsealed.contains_key(base_request_id(request.as_str()))
            || self.sealed.iter().any(|group| group.ids.contains(&id))
    }

    /// Adds a bill; false when its request has one already, which stays.
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

    /// Sum over the bills of `customer` in `period`.
    pub fn total(&self, customer: &CustomerId, period: &str) -> Total {
        self.totals.get(&(customer.clone(), period.into())).copied().unwrap_or_default()
    }

    /// Bills that are in no sealed segment.
    pub fn unsealed(&self) -> impl Iterator<Item = &Bill> {
        self.unsealed.values().map(|op| &op.bill)
    }

    /// Number of bills that are in no sealed segment.
    pub fn unsealed_len(&self) -> usize {
        self.unsealed.len()
    }

    /// Number of remembered ids of sealed bills.
    pub fn sealed_len(&self) -> usize {
        self.sealed.iter().map(|group| group.ids.len()).sum()
    }

    /// Notes that these bills are kept in a segment; only their ids stay in memory.
    pub fn seal(&mut self, bills: &[Bill], now: Millis) {
        let ids = bills.iter().filter(|bill| self.unsealed.remove(base_request_id(bill.request.as_str())).is_some());
        let ids = ids.map(|bill| bill_id(&bill.request));
        match self.sealed.back_mut().filter(|group| group.expires >= now + BILL_ID_RETENTION) {
            Some(group) => group.ids.extend(ids),
            None => {
                let expires = now + BILL_ID_RETENTION + GROUP_WIDTH;
                self.sealed.push_back(Group { expires, ids: ids.collect() });
            }
        }
    }

    /// Forgets groups of ids that were sealed longer than the retention ago.
    pub fn expire(&mut self, now: Millis) {
        self.sealed.retain(|group| now < group.expires);
    }

    /// The ledger with rests of retention in place of points in time.
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

    /// The ledger of a snapshot; none when it is malformed.
    pub fn from_record(record: LedgerRecord, now: Millis) -> Option<Self> {
        let mut sealed = VecDeque::new();
        for (rest, ids) in record.sealed {
            let ids = BASE64_STANDARD_NO_PAD.decode(ids).ok()?;
            let ids = ids.chunks_exact(16).filter_map(|id| BillId::try_from(id).ok()).collect();
            sealed.push_back(Group { expires: now + rest, ids });
        }
        let unsealed =
            record.recent.into_iter().map(|op| (base_request_id(op.bill.request.as_str()).into(), op)).collect();
        let totals = record.totals.into_iter().map(|(customer, period, total)| ((customer, period), total)).collect();
        Some(Self { unsealed, sealed, totals })
    }
}

/// The part of an attempt's id `<uuid>.<host>` that all attempts of its request share. A request that
/// ran again, after the connection to an agent that lives was lost, has bills of two attempts.
pub fn base_request_id(attempt: &str) -> &str {
    attempt.split_once('.').map_or(attempt, |(request, _)| request)
}

fn bill_id(request: &RequestId) -> BillId {
    let request = base_request_id(request.as_str());
    let low = stable_hash(&["bill", request]);
    let high = stable_hash(&[request, "bill"]);
    (u128::from(high) << 64 | u128::from(low)).to_be_bytes()
}
