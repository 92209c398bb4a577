//! `eelgrasswell bill`

use std::collections::BTreeMap;

use argh::{ArgsInfo, FromArgs};
use eyre::WrapErr;
use serde::Deserialize;

use crate::{
    api::Api,
    cmd,
    error::Error,
    table::{Table, format_micros},
};

/// Print what a customer is billed.
#[derive(FromArgs, ArgsInfo)]
#[argh(subcommand, name = "bill")]
pub struct BillCmd {
    /// the customer
    #[argh(positional)]
    customer: String,

    /// print each request instead of sums
    #[argh(switch)]
    requests: bool,
}

#[derive(Deserialize)]
struct Bills {
    total_micros: u64,
    bills: Vec<Record>,
}

#[derive(Deserialize)]
struct Record {
    request_id: String,
    model: String,
    version: String,
    service: String,
    prompt_tokens: u64,
    output_tokens: u64,
    cost_micros: u64,
}

#[derive(Default)]
struct Sum {
    requests: u64,
    prompt_tokens: u64,
    output_tokens: u64,
    cost_micros: u64,
}

pub async fn run(sub: &BillCmd, api: &Api, json: bool) -> Result<String, Error> {
    cmd::require_id("customer", &sub.customer)?;
    let reply = api.get(&format!("/v1/bills/{}", sub.customer)).await?;
    if json {
        return Ok(cmd::to_pretty_json(&reply));
    }
    let bills: Bills = serde_json::from_value(reply).wrap_err("could not parse the bills")?;
    let table = if sub.requests { request_table(&bills) } else { sum_table(&bills) };
    Ok(format!("{table}total {} in {} requests\n", format_micros(bills.total_micros), bills.bills.len()))
}

fn request_table(bills: &Bills) -> String {
    let mut table = Table::new(["request", "model", "version", "service", "prompt", "output", "cost"]);
    for bill in &bills.bills {
        table.push([
            bill.request_id.clone(),
            bill.model.clone(),
            bill.version.clone(),
            bill.service.clone(),
            bill.prompt_tokens.to_string(),
            bill.output_tokens.to_string(),
            format_micros(bill.cost_micros),
        ]);
    }
    table.render()
}

fn sum_table(bills: &Bills) -> String {
    let mut sums: BTreeMap<_, Sum> = BTreeMap::new();
    for bill in &bills.bills {
        let sum = sums.entry((&bill.model, &bill.version, &bill.service)).or_default();
        sum.requests += 1;
        sum.prompt_tokens = sum.prompt_tokens.saturating_add(bill.prompt_tokens);
        sum.output_tokens = sum.output_tokens.saturating_add(bill.output_tokens);
        sum.cost_micros = sum.cost_micros.saturating_add(bill.cost_micros);
    }
    let mut table = Table::new(["model", "version", "service", "requests", "prompt", "output", "cost"]);
    for ((model, version, service), sum) in sums {
        table.push([
            model.clone(),
            version.clone(),
            service.clone(),
            sum.requests.to_string(),
            sum.prompt_tokens.to_string(),
            sum.output_tokens.to_string(),
            format_micros(sum.cost_micros),
        ]);
    }
    table.render()
}
