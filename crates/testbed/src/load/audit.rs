//! Compares the callers' records with the backend servers' own records and with the bills.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::Duration,
};

use eyre::Result;
use tokio::time::{Instant, sleep};

use super::caller::{CallKind, Outcome, Record};
use crate::fleet::Fleet;

/// Longest time that bills may take to become durable after a run.
const BILLS_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two looks at the bills.
const POLL: Duration = Duration::from_millis(250);

/// What was found.
#[derive(Clone, Debug, Default)]
pub struct Audit {
    /// Requests by how they ended.
    pub outcomes: BTreeMap<&'static str, u64>,
    /// Requests that reached a backend server.
    pub runs: usize,
    /// Bills of all customers.
    pub bills: usize,
    /// Attempts beyond the first.
    pub retries: u64,
    /// Broken promises, each with the request concerned.
    pub violations: Vec<String>,
    /// Requests whose answer reached its caller, in whole or in part, and that have no bill.
    pub unbilled: Vec<String>,
    /// Requests that ran and have no bill, and of whose answer nothing reached the caller.
    pub undelivered: Vec<String>,
    /// Requests whose answer broke off and was fetched again.
    pub interrupted: Vec<String>,
    /// Requests whose caller got nothing definite or an unknown outcome.
    pub unanswered: Vec<String>,
}

struct Bill {
    attempt: String,
    customer: &'static str,
    cost: u64,
}

/// Compares `records` with what the backend servers and the ledger hold. `router` is asked for bills.
pub async fn audit(fleet: &Fleet, router: usize, records: &[Record]) -> Result<Audit> {
    let mut audit = Audit::default();
    let mut runs_by_key: HashMap<String, usize> = HashMap::new();
    let mut ran: HashSet<String> = HashSet::new();
    for agent in 0..fleet.agents.len() {
        for run in fleet.runs(agent).await? {
            audit.runs += 1;
            ran.insert(run["request_id"].as_str().unwrap_or_default().to_owned());
            let key = run["idempotency_key"].as_str().unwrap_or_default();
            if !key.is_empty() {
                *runs_by_key.entry(key.to_owned()).or_default() += 1;
            }
        }
    }
    let bills = settled_bills(fleet, router, &ran).await?;
    audit.bills = bills.values().map(Vec::len).sum();
    for record in records {
        audit.count(record);
        audit.check_answer(record, &bills, &ran);
        audit.check_not_run(record, &ran);
        if record.kind == CallKind::Booking {
            audit.check_booking(record, runs_by_key.get(&record.idempotency_key).copied().unwrap_or(0));
        }
    }
    for (request, bills) in &bills {
        if bills.len() > 1 {
            audit.violations.push(format!("request {request} is billed {} times", bills.len()));
        }
        for bill in bills.iter().filter(|bill| !ran.contains(&bill.attempt)) {
            audit.violations.push(format!("{} is billed but did not run", bill.attempt));
        }
    }
    // A request that ran again after an agent was lost has one bill for all its attempts.
    let unbilled = ran.iter().filter(|id| !bills.contains_key(request(id))).cloned();
    let answered: HashSet<&str> = records.iter().map(|record| request(&record.answer_id)).collect();
    (audit.unbilled, audit.undelivered) = unbilled.partition(|id| answered.contains(request(id)));
    audit.interrupted =
        records.iter().filter(|record| record.interrupted).map(|record| record.answer_id.clone()).collect();
    Ok(audit)
}

/// The part of an attempt's id that all attempts of one request at one router share.
fn request(id: &str) -> &str {
    id.split('.').next().unwrap_or_default()
}

/// Reads the bills, by request, until each run has one or the time is over.
async fn settled_bills(fleet: &Fleet, router: usize, ran: &HashSet<String>) -> Result<HashMap<String, Vec<Bill>>> {
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
                bills.entry(request(&attempt).to_owned()).or_default().push(Bill { attempt, customer, cost });
            }
        }
        let missing = ran.iter().any(|id| !bills.contains_key(request(id)));
        let late = started.elapsed() > BILLS_TIMEOUT;
        if late || (readable && !missing) {
            eyre::ensure!(readable, "could not read the bills within {BILLS_TIMEOUT:?}");
            return Ok(bills);
        }
        sleep(POLL).await;
    }
}

impl Audit {
    fn count(&mut self, record: &Record) {
        let end = match &record.outcome {
            Outcome::Correct => "right",
            Outcome::Incorrect(_) => "wrong",
            Outcome::NotRun(_) => "not_run",
            Outcome::Unknown(_) => "unknown",
            Outcome::NoAnswer(_) => "silence",
        };
        *self.outcomes.entry(end).or_default() += 1;
        self.retries += u64::from(record.attempts.saturating_sub(1));
        if !matches!(record.outcome, Outcome::Correct) {
            self.unanswered.push(format!("{:?} {} {:?}", record.kind, record.idempotency_key, record.outcome));
        }
    }

    fn check_answer(&mut self, record: &Record, bills: &HashMap<String, Vec<Bill>>, ran: &HashSet<String>) {
        match &record.outcome {
            Outcome::Incorrect(text) => {
                self.violations.push(format!("{} got another answer: {text}", record.answer_id))
            }
            Outcome::Correct => match bills.get(request(&record.answer_id)).map(Vec::as_slice) {
                // A request that ran and was answered without a bill is counted as unbilled.
                None if ran.contains(&record.answer_id) => {}
                None => self.violations.push(format!("{} was answered and did not run", record.answer_id)),
                Some(bills) => {
                    let right = bills.iter().all(|bill| {
                        bill.customer == record.customer && record.cost.is_none_or(|cost| cost == bill.cost)
                    });
                    if !right {
                        self.violations.push(format!("{} is billed to another customer or cost", record.answer_id));
                    }
                }
            },
            Outcome::NotRun(_) | Outcome::Unknown(_) | Outcome::NoAnswer(_) => {}
        }
    }

    /// A request that ended as not run, with no attempt of unknown end, must not have run.
    fn check_not_run(&mut self, record: &Record, ran: &HashSet<String>) {
        if !matches!(record.outcome, Outcome::NotRun(_)) || record.kind == CallKind::Booking {
            return;
        }
        let Some(last) = record.request_ids.last().map(|id| request(id)) else { return };
        if ran.iter().any(|id| request(id) == last) {
            self.violations.push(format!("{last} was refused as not run, and ran"));
        }
    }

    fn check_booking(&mut self, record: &Record, runs: usize) {
        if runs > 1 {
            self.violations.push(format!("booking {} ran {runs} times", record.idempotency_key));
        }
        match &record.outcome {
            Outcome::Correct if runs != 1 => {
                self.violations.push(format!("booking {} was answered, {runs} runs", record.idempotency_key));
            }
            Outcome::NotRun(reason) if record.always_not_run && runs != 0 => {
                self.violations
                    .push(format!("booking {} was refused as not run ({reason}), {runs} runs", record.idempotency_key));
            }
            _ => {}
        }
    }
}
