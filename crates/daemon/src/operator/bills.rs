//! `GET /v1/bills/{customer}`.

use eelgrasswell_core::{id::CustomerId, unit::Cost};
use eelgrasswell_proto::v1::BillRecord;
use hyper::StatusCode;
use serde_json::{Value, json};

use super::reply::{self, Failure, Reply};
use crate::router::Router;

/// Returns all bills of a customer and their total cost.
pub(super) async fn show(router: &Router, customer: &str) -> Result<Reply, Failure> {
    let id = CustomerId::from(customer);
    let Some(bills) = router.shards.read_bills(&id).await else {
        return Err(Failure::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "bills_unavailable",
            format!("could not read the bills of {customer}: the owner of a shard cannot be reached"),
        ));
    };
    // The bills of a customer remain after its removal from the manifest.
    if bills.is_empty() && !router.config.current().manifest.customers.contains_key(&id) {
        return Err(Failure::not_found(format!("could not find customer {customer}")));
    }
    let total: Cost = bills.iter().map(|bill| Cost(bill.cost_micros)).sum();
    let records: Vec<_> = bills.iter().map(record_json).collect();
    Ok(reply::json(StatusCode::OK, &json!({"customer": customer, "total_micros": total, "bills": records})))
}

fn record_json(bill: &BillRecord) -> Value {
    json!({
        "request_id": bill.request_id,
        "model": bill.model,
        "version": bill.version,
        "service": bill.service,
        "prompt_tokens": bill.prompt_tokens,
        "output_tokens": bill.output_tokens,
        "cost_micros": bill.cost_micros,
    })
}
