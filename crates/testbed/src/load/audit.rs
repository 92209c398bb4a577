//! Compares the callers' records with the backend servers' records and with the bills.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::Duration,
};

use eyre::Result;
use tokio::time::{Instant, sleep};

use super::caller::{CallKind, Outcome, Record};
use crate::fleet::Fleet;

/// Time within which each run must have a durable bill.
const BILLS_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which the bills are read.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Findings of an audit.
#[derive(Clone, Debug, Default)]
pub struct Audit {
    /// Number of requests by outcome.
    pub outcomes: BTreeMap<&'static str, u64>,
    /// Number of requests that reached a backend server.
    pub runs: usize,
    /// Number of bills of all customers.
    pub bills: usize,
    /// Number of attempts after the first one of each request.
    pub retries: u64,
    /// Violated guarantees, each with the request concerned.
    pub violations: Vec<String>,
    /// Ids of attempts that ran without a bill, and whose answer reached the caller completely or in part.
    pub unbilled: Vec<String>,
    /// Ids of attempts that ran without a bill, and no part of whose answer reached the caller.
    pub undelivered: Vec<String>,
    /// Request ids of answers that broke off, so that the caller fetched the rest.
    pub interrupted: Vec<String>,
    /// Requests that ended without the correct answer, with their outcome.
    pub unanswered: Vec<String>,
}

struct Bill {
    attempt: String,
    customer: &'static str,
    cost: u64,
}

/// Compares `records` with the backend servers' records and with the bills, which it reads through `router`.
pub async fn audit(fleet: &Fleet, router: usize, records: &[Record]) -> Result<Audit> {
    let mut audit = Audit::default();
    let mut runs_by_key: HashMap<String, usize> = HashMap::new();
    let mut run_ids: HashSet<String> = HashSet::new();
    for agent in 0..fleet.agents.len() {
        for run in fleet.runs(agent).await? {
            audit.runs += 1;
            run_ids.insert(run["request_id"].as_str().unwrap_or_default().to_owned());
            let key = run["idempotency_key"].as_str().unwrap_or_default();
            if !key.is_empty() {
                *runs_by_key.entry(key.to_owned()).or_default() += 1;
            }
        }
    }
    let bills = wait_for_bills(fleet, router, &run_ids).await?;
    audit.bills = bills.values().map(Vec::len).sum();
    for record in records {
        audit.count_outcome(record);
        audit.check_answer(record, &bills, &run_ids);
        audit.check_not_run(record, &run_ids);
        if record.kind == CallKind::Booking {
            audit.check_booking(record, runs_by_key.get(&record.idempotency_key).copied().unwrap_or(0));
        }
    }
    for (request, bills) in &bills {
        if bills.len() > 1 {
            audit.violations.push(format!("request {request} is billed {} times", bills.len()));
        }
        for bill in bills.iter().filter(|bill| !run_ids.contains(&bill.attempt)) {
            audit.violations.push(format!("{} is billed but did not run", bill.attempt));
        }
    }
    // A request that was retried after an agent was lost has one bill for all its attempts.
    let unbilled = run_ids.iter().filter(|id| !bills.contains_key(request_part(id))).cloned();
    let answered: HashSet<&str> = records.iter().map(|record| request_part(&record.answer_id)).collect();
    (audit.unbilled, audit.undelivered) = unbilled.partition(|id| answered.contains(request_part(id)));
    audit.interrupted =
        records.iter().filter(|record| record.interrupted).map(|record| record.answer_id.clone()).collect();
    Ok(audit)
}

/// Returns the part of an attempt's id that all attempts of one request at one router share.
fn request_part(id: &str) -> &str {
    id.split('.').next().unwrap_or_default()
}

/// Reads the bills until each run has one or `BILLS_TIMEOUT` has passed, and returns them by request.
async fn wait_for_bills(fleet: &Fleet, router: usize, run_ids: &HashSet<String>) -> Result<HashMap<String, Vec<Bill>>> {
    let started = Instant::now();
    loop {
        let mut bills: HashMap<String, Vec<Bill>> = HashMap::new();
        let mut readable = true;
        for customer in ["savusavu", "labasa"] {
            let Ok(reply) = fleet.bills(router, customer).await else {
                readable = false;
                continue;
            };
            for bill in reply["bills"].as_array().into_iter().flatten() {
                let attempt = bill["request_id"].as_str().unwrap_or_default().to_owned();
                let cost = bill["cost_micros"].as_u64().unwrap_or_default();
                bills.entry(request_part(&attempt).to_owned()).or_default().push(Bill { attempt, customer, cost });
            }
        }
        let missing = run_ids.iter().any(|id| !bills.contains_key(request_part(id)));
        let timed_out = started.elapsed() > BILLS_TIMEOUT;
        if timed_out || (readable && !missing) {
            eyre::ensure!(readable, "could not read the bills within {BILLS_TIMEOUT:?}");
            return Ok(bills);
        }
        sleep(POLL_INTERVAL).await;
    }
}

impl Audit {
    fn count_outcome(&mut self, record: &Record) {
        let name = match &record.outcome {
            Outcome::Correct => "right",
            Outcome::Incorrect(_) => "wrong",
            Outcome::NotRun(_) => "not_run",
            Outcome::Unknown(_) => "unknown",
            Outcome::NoAnswer(_) => "silence",
        };
        *self.outcomes.entry(name).or_default() += 1;
        self.retries += u64::from(record.attempts.saturating_sub(1));
        if !matches!(record.outcome, Outcome::Correct) {
            self.unanswered.push(format!("{:?} {} {:?}", record.kind, record.idempotency_key, record.outcome));
        }
    }

    /// Checks that the answer is correct, that the request ran, and that its bills match.
    fn check_answer(&mut self, record: &Record, bills: &HashMap<String, Vec<Bill>>, run_ids: &HashSet<String>) {
        match &record.outcome {
            Outcome::Incorrect(text) => {
                self.violations.push(format!("{} got an incorrect answer: {text}", record.answer_id));
            }
            Outcome::Correct => match bills.get(request_part(&record.answer_id)).map(Vec::as_slice) {
                // A request that ran and was answered without a bill is reported in `unbilled`.
                None if run_ids.contains(&record.answer_id) => {}
                None => self.violations.push(format!("{} was answered and did not run", record.answer_id)),
                Some(bills) => {
                    let matches = bills.iter().all(|bill| {
                        bill.customer == record.customer && record.cost.is_none_or(|cost| cost == bill.cost)
                    });
                    if !matches {
                        self.violations
                            .push(format!("{} is billed to another customer or at another cost", record.answer_id));
                    }
                }
            },
            Outcome::NotRun(_) | Outcome::Unknown(_) | Outcome::NoAnswer(_) => {}
        }
    }

    /// Checks that a request whose outcome is `NotRun` did not run under the last request id that a router returned; an
    /// earlier attempt whose outcome is unknown may have run. Bookings are checked by their idempotency keys instead.
    fn check_not_run(&mut self, record: &Record, run_ids: &HashSet<String>) {
        if !matches!(record.outcome, Outcome::NotRun(_)) || record.kind == CallKind::Booking {
            return;
        }
        let Some(last) = record.request_ids.last().map(|id| request_part(id)) else { return };
        if run_ids.iter().any(|id| request_part(id) == last) {
            self.violations.push(format!("{last} was rejected as not run, but ran"));
        }
    }

    /// Checks that a booking ran at most once, and as its outcome says.
    fn check_booking(&mut self, record: &Record, runs: usize) {
        if runs > 1 {
            self.violations.push(format!("booking {} ran {runs} times", record.idempotency_key));
        }
        match &record.outcome {
            Outcome::Correct if runs != 1 => {
                self.violations.push(format!("booking {} was answered, {runs} runs", record.idempotency_key));
            }
            Outcome::NotRun(reason) if record.always_not_run && runs != 0 => {
                self.violations.push(format!(
                    "booking {} was rejected as not run ({reason}), {runs} runs",
                    record.idempotency_key
                ));
            }
            _ => {}
        }
    }
}
