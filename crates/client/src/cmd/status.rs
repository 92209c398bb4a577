//! `eelgrasswell status`

use std::collections::BTreeMap;

use argh::{ArgsInfo, FromArgs};
use eyre::WrapErr;
use serde::Deserialize;

use super::rollout::{self, Rollout};
use crate::{
    api::Api,
    cmd,
    error::Error,
    table::{Table, format_micros},
};

/// Print the state of the system as a router knows it.
#[derive(FromArgs, ArgsInfo)]
#[argh(subcommand, name = "status")]
pub struct StatusCmd {}

#[derive(Deserialize)]
struct Status {
    router: String,
    revision: u64,
    manifest_revision: u64,
    confirmed_ms_ago: u64,
    stale: bool,
    routers: Vec<Host>,
    links: Vec<Link>,
    lagging: Vec<Host>,
    shards: Vec<Shard>,
    rollouts: Vec<Rollout>,
    domains: BTreeMap<String, Domain>,
    draining: Vec<String>,
    budgets: Vec<Budget>,
}

#[derive(Deserialize)]
struct Host {
    id: String,
    domain: String,
    revision: Option<u64>,
}

#[derive(Deserialize)]
struct Link {
    #[serde(flatten)]
    host: Host,
    service: String,
    outstanding: u32,
    running: u32,
    queued: u32,
    limit: u32,
    cold: bool,
    leaving: bool,
}

#[derive(Deserialize)]
struct Shard {
    shard: u32,
    owner: String,
    fence: u64,
}

#[derive(Deserialize)]
struct Domain {
    region: String,
    in_service: bool,
}

#[derive(Deserialize)]
struct Budget {
    customer: String,
    period: String,
    cap_micros: u64,
    committed_micros: Option<u64>,
    warning_percent: Option<u64>,
}

pub async fn run(_cmd: &StatusCmd, api: &Api, json: bool) -> Result<String, Error> {
    let reply = api.get("/v1/status").await?;
    if json {
        return Ok(cmd::to_pretty_json(&reply));
    }
    let status: Status = serde_json::from_value(reply).wrap_err("could not parse the status of the router")?;
    let mut sections = vec![format_summary(&status), domain_table(&status), router_table(&status), link_table(&status)];
    if !status.shards.is_empty() {
        sections.push(shard_table(&status));
    }
    if !status.rollouts.is_empty() {
        sections.push(rollout::table(&status.rollouts));
    }
    if !status.budgets.is_empty() {
        sections.push(budget_table(&status));
    }
    Ok(sections.join("\n"))
}

fn format_summary(status: &Status) -> String {
    let stale = if status.stale { ", stale" } else { "" };
    let mut text = format!(
        "router {}: revision {} (manifest revision {}), confirmed {} ms ago{stale}\n",
        status.router, status.revision, status.manifest_revision, status.confirmed_ms_ago,
    );
    for host in &status.lagging {
        text.push_str(&format!("lagging: {} at revision {}\n", host.id, format_revision(host.revision)));
    }
    for host in &status.draining {
        text.push_str(&format!("draining: {host}\n"));
    }
    text
}

fn domain_table(status: &Status) -> String {
    let mut table = Table::new(["domain", "region", "service"]);
    for (id, domain) in &status.domains {
        let service = if domain.in_service { "in" } else { "out" };
        table.push([id.clone(), domain.region.clone(), service.into()]);
    }
    table.render()
}

fn router_table(status: &Status) -> String {
    let mut table = Table::new(["router", "domain", "revision"]);
    for host in &status.routers {
        table.push([host.id.clone(), host.domain.clone(), format_revision(host.revision)]);
    }
    table.render()
}

fn link_table(status: &Status) -> String {
    let heading = ["agent", "domain", "service", "revision", "outstanding", "running", "queued", "limit", "state"];
    let mut table = Table::new(heading);
    for link in &status.links {
        let state = match (link.leaving, link.cold) {
            (true, _) => "leaving",
            (false, true) => "cold",
            (false, false) => "warm",
        };
        table.push([
            link.host.id.clone(),
            link.host.domain.clone(),
            link.service.clone(),
            format_revision(link.host.revision),
            link.outstanding.to_string(),
            link.running.to_string(),
            link.queued.to_string(),
            link.limit.to_string(),
            state.into(),
        ]);
    }
    table.render()
}

fn shard_table(status: &Status) -> String {
    let mut table = Table::new(["shard", "owner", "fence"]);
    for shard in &status.shards {
        table.push([shard.shard.to_string(), shard.owner.clone(), shard.fence.to_string()]);
    }
    table.render()
}

fn budget_table(status: &Status) -> String {
    let mut table = Table::new(["customer", "period", "cap", "committed", "warning"]);
    for budget in &status.budgets {
        table.push([
            budget.customer.clone(),
            budget.period.clone(),
            format_micros(budget.cap_micros),
            budget.committed_micros.map_or_else(|| "unknown".into(), format_micros),
            budget.warning_percent.map(|percent| format!("over {percent}%")).unwrap_or_default(),
        ]);
    }
    table.render()
}

fn format_revision(revision: Option<u64>) -> String {
    revision.map_or_else(|| "unknown".into(), |revision| revision.to_string())
}
