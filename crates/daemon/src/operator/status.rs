//! `GET /v1/status` and `GET /v1/hosts`: the system as this router sees it.

use std::{net::SocketAddr, time::Duration};

use eelgrasswell_core::{
    budget::WARNING_LEVELS_PERCENT,
    id::{CustomerId, HostId, Revision},
    unit::Cost,
};
use eelgrasswell_manifest::{config::Config, manifest::Budget};
use futures::{StreamExt, stream};
use hyper::StatusCode;
use rand::seq::IndexedRandom;
use serde::Serialize;
use serde_json::{Value, json};
use tokio::time::timeout;

use super::reply::{self, Reply};
use crate::{controller::peers, router::Router};

/// Maximum number of lagging routers with which this router exchanges revisions for one status reply.
const MAX_SYNC_PEERS: usize = 64;

/// Timeout of calls to other routers; a status must be returned even while they are unreachable.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of concurrent calls to shard owners.
const MAX_CONCURRENT_BUDGET_CALLS: usize = 16;

/// Returns what this router knows about the whole system.
pub(super) async fn show(router: &Router) -> Reply {
    let config = router.config.current();
    // The periodic exchange contacts two peers a second, too few to follow a change across 350 routers.
    let lagging_peers = lagging_routers(router, &config);
    let ((), budgets) = tokio::join!(refresh_revisions(router, lagging_peers), budgets(router, &config));
    let routers = routers(router, &config);
    let links = links(router, &config);
    let lagging: Vec<_> = routers
        .iter()
        .chain(links.iter().map(|link| &link.host))
        .filter(|host| host.revision.is_some_and(|revision| revision < config.revision))
        .collect();
    let status = json!({
        "router": router.settings.host.id,
        "incarnation": router.incarnation.to_string(),
        "revision": config.revision,
        "manifest_revision": config.manifest_revision,
        "confirmed_ms_ago": router.config.confirmation_age(),
        "stale": router.config.is_stale(),
        "routers": routers,
        "links": links,
        "lagging": lagging,
        "shards": shards(router),
        "rollouts": rollouts(&config),
        "domains": config.manifest.domains,
        "draining": config.manifest.draining.keys().collect::<Vec<_>>(),
        "budgets": budgets,
    });
    reply::json(StatusCode::OK, &status)
}

/// Returns the host list as known to this router.
pub(super) fn hosts(router: &Router) -> Reply {
    let config = router.config.current();
    let routers = routers(router, &config);
    let agents: Vec<_> = router
        .members
        .agents()
        .iter()
        .map(|entry| {
            json!({
                "id": entry.id,
                "domain": entry.domain,
                "address": entry.address,
                "service": entry.service,
                "leaving": entry.leaving,
                "draining": config.manifest.draining.contains_key(&entry.id),
                "linked": router.links.link(&entry.id).is_some(),
                "revision": router.config.reported_revisions.get(&entry.id),
            })
        })
        .collect();
    reply::json(StatusCode::OK, &json!({"routers": routers, "agents": agents}))
}

/// A host.
#[derive(Clone, Serialize)]
struct Host {
    id: HostId,
    role: &'static str,
    domain: String,
    /// A string, because many JSON parsers lose digits of a 64-bit random number.
    incarnation: String,
    /// Configuration revision that the host reported last; `None` before its first report.
    revision: Option<Revision>,
}

/// A link to an agent, with the load that the agent reported last.
#[derive(Serialize)]
struct Link {
    #[serde(flatten)]
    host: Host,
    service: String,
    outstanding: u32,
    running: u32,
    queued: u32,
    limit: u32,
    tokens_held: u64,
    tokens_limit: u64,
    cold: bool,
    leaving: bool,
}

fn routers(router: &Router, config: &Config) -> Vec<Host> {
    let routers = router.members.live_routers().into_iter();
    routers
        .map(|live| {
            let is_self = live.id == router.settings.host.id;
            let revision = if is_self { Some(config.revision) } else { router.config.reported_revisions.get(&live.id) };
            Host {
                role: "router",
                domain: live.domain.to_string(),
                incarnation: live.incarnation.to_string(),
                revision,
                id: live.id,
            }
        })
        .collect()
}

/// Returns a random sample of the other routers that have not reported the revision in force.
fn lagging_routers(router: &Router, config: &Config) -> Vec<SocketAddr> {
    let own_id = &router.settings.host.id;
    let routers = router.members.live_routers().into_iter();
    let lagging: Vec<_> = routers
        .filter(|live| {
            live.id != *own_id && router.config.reported_revisions.get(&live.id).is_none_or(|r| r < config.revision)
        })
        .map(|live| live.address)
        .collect();
    lagging.sample(&mut rand::rng(), MAX_SYNC_PEERS).copied().collect()
}

/// Exchanges state with `routers`, so that the revisions that they report are current.
async fn refresh_revisions(router: &Router, routers: Vec<SocketAddr>) {
    let _ = timeout(PEER_TIMEOUT, peers::sync_with(router, routers)).await;
}

fn links(router: &Router, config: &Config) -> Vec<Link> {
    let services = config.manifest.services.keys();
    let candidates = services.flat_map(|service| router.links.candidates(service));
    let mut links: Vec<_> = candidates
        .map(|(link, view)| Link {
            host: Host {
                id: link.id.clone(),
                role: "agent",
                domain: link.domain.to_string(),
                incarnation: link.incarnation.to_string(),
                revision: router.config.reported_revisions.get(&link.id),
            },
            service: link.service.to_string(),
            outstanding: view.outstanding,
            running: view.load.running,
            queued: view.load.queued,
            limit: view.load.limit,
            tokens_held: view.load.tokens_held.0,
            tokens_limit: view.load.tokens_limit.0,
            cold: view.load.cold,
            leaving: view.leaving,
        })
        .collect();
    links.sort_by(|a, b| a.host.id.cmp(&b.host.id));
    links
}

fn shards(router: &Router) -> Vec<Value> {
    let mut owners = router.shards.owners();
    owners.sort_by_key(|owner| owner.shard);
    owners
        .iter()
        .map(|owner| {
            json!({
                "shard": owner.shard,
                "owner": owner.owner,
                "address": owner.address,
                "incarnation": owner.incarnation.to_string(),
                "fence": owner.fence,
            })
        })
        .collect()
}

fn rollouts(config: &Config) -> Vec<Value> {
    config
        .rollouts
        .iter()
        .map(|(key, status)| {
            json!({
                "model": key.model,
                "version": key.version,
                "baseline": status.baseline,
                "step": status.step,
                "permille": status.permille,
                "phase": status.phase,
                "reason": status.reason,
            })
        })
        .collect()
}

/// Returns the budgets of all customers with a spend cap, ordered by customer id.
async fn budgets(router: &Router, config: &Config) -> Vec<Value> {
    let mut calls = Vec::new();
    for (id, customer) in &config.manifest.customers {
        if let Some(budget) = &customer.budget {
            calls.push(budget_json(router.clone(), id.clone(), budget.clone()));
        }
    }
    stream::iter(calls).buffered(MAX_CONCURRENT_BUDGET_CALLS).collect().await
}

async fn budget_json(router: Router, id: CustomerId, budget: Budget) -> Value {
    let committed = timeout(PEER_TIMEOUT, router.shards.committed(&id)).await.ok().flatten();
    json!({
        "customer": id,
        "period": budget.period,
        "cap_micros": budget.cap,
        "committed_micros": committed,
        "warning_percent": committed.and_then(|committed| warning_percent(committed, budget.cap)),
    })
}

/// Returns the highest warning threshold that `committed` has reached, in percent of `cap`.
pub fn warning_percent(committed: Cost, cap: Cost) -> Option<u64> {
    let is_reached = |percent: &u64| u128::from(committed.0) * 100 >= u128::from(cap.0) * u128::from(*percent);
    WARNING_LEVELS_PERCENT.into_iter().rev().find(is_reached)
}
