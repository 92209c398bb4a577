//! Waits until a revision is in force on all hosts that are known to a router.

use std::time::Duration;

use eyre::WrapErr;
use serde::Deserialize;
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::{
    api::{Api, ChangeReply},
    cmd,
    error::Error,
};

/// Interval at which the status is polled. A change is in force on all hosts within 4 s.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Limit on the hosts that a message lists by name.
const MAX_LISTED: usize = 5;

#[derive(Debug, Deserialize)]
struct Status {
    routers: Vec<Host>,
    links: Vec<Host>,
}

#[derive(Debug, Deserialize)]
struct Host {
    id: String,
    revision: Option<u64>,
}

/// Waits until an accepted change is in force on all hosts, for at most `limit` (zero means that it
/// doesn't wait), and returns the text for standard output. `what` names the change.
pub async fn wait_and_describe(
    api: &Api,
    changed: &ChangeReply,
    what: &str,
    limit: Duration,
    json: bool,
) -> Result<String, Error> {
    let mut hosts = None;
    if !limit.is_zero() {
        hosts = Some(wait_until_in_force(api, changed.revision, limit).await?);
    }
    if json {
        return Ok(cmd::to_pretty_json(&json!({
            "revision": changed.revision,
            "manifest_revision": changed.manifest_revision,
            "hosts_in_force": hosts,
        })));
    }
    let mut text = format!("{what}: manifest revision {}, revision {}", changed.manifest_revision, changed.revision);
    if let Some(hosts) = hosts {
        text.push_str(&format!(", in force on {hosts} hosts"));
    }
    text.push('\n');
    Ok(text)
}

/// Waits at most `limit` until `revision` is in force on all hosts, and returns the number of hosts.
/// Progress is printed on standard error. A host that has not reported its revision counts as
/// lagging. Since the change is already accepted, a failed status request is retried: the router may
/// have restarted.
async fn wait_until_in_force(api: &Api, revision: u64, limit: Duration) -> Result<usize, Error> {
    let deadline = Instant::now() + limit;
    let mut last_progress = None;
    loop {
        let detail = match fetch_hosts(api).await {
            Ok(hosts) => {
                let is_lagging = |host: &&Host| host.revision.is_none_or(|known| known < revision);
                let lagging: Vec<_> = hosts.iter().filter(is_lagging).collect();
                let done = hosts.len() - lagging.len();
                if last_progress != Some((done, hosts.len())) {
                    eprintln!("revision {revision} is in force on {done} of {} hosts", hosts.len());
                    last_progress = Some((done, hosts.len()));
                }
                if lagging.is_empty() {
                    return Ok(done);
                }
                describe_hosts(&lagging)
            }
            Err(err) => err.to_string(),
        };
        if Instant::now() >= deadline {
            let limit = limit.as_secs();
            let what = format!("could not see revision {revision} in force on all hosts within {limit} s");
            return Err(Error::NotInForce(format!("{what}: {detail}")));
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn fetch_hosts(api: &Api) -> Result<Vec<Host>, Error> {
    let status = api.get("/v1/status").await?;
    let status: Status = serde_json::from_value(status).wrap_err("could not parse the status of the router")?;
    Ok(status.routers.into_iter().chain(status.links).collect())
}

fn describe_hosts(lagging: &[&Host]) -> String {
    let named = lagging.iter().take(MAX_LISTED).map(|host| match host.revision {
        Some(known) => format!("{} (revision {known})", host.id),
        None => format!("{} (revision unknown)", host.id),
    });
    let mut names = named.collect::<Vec<_>>().join(", ");
    if lagging.len() > MAX_LISTED {
        names.push_str(&format!(" and {} more", lagging.len() - MAX_LISTED));
    }
    names
}
