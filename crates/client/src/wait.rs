//! Waits until a revision is in force on all hosts that a router knows.

use std::time::Duration;

use eyre::WrapErr;
use serde::Deserialize;
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::{
    api::{Api, Changed},
    cmd,
    error::Error,
};

/// Time between two looks at the status. A change is in force everywhere within 4 s.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Most hosts that a message names.
const MAX_NAMED: usize = 5;

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

/// Waits for a change that was accepted, unless `limit` is zero, and returns what goes to standard
/// output. `what` names the change.
pub async fn report(api: &Api, changed: &Changed, what: &str, limit: Duration, json: bool) -> Result<String, Error> {
    let mut hosts = None;
    if !limit.is_zero() {
        hosts = Some(in_force(api, changed.revision, limit).await?);
    }
    if json {
        return Ok(cmd::pretty(&json!({
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

/// Waits at most `limit`; tells the progress on standard error. A host that has not reported its
/// revision counts as lagging. The change is accepted, so a failed look at the status is not the
/// end: the router may just have restarted.
async fn in_force(api: &Api, revision: u64, limit: Duration) -> Result<usize, Error> {
    let deadline = Instant::now() + limit;
    let mut told = None;
    loop {
        let obstacle = match hosts(api).await {
            Ok(hosts) => {
                let behind = |host: &&Host| host.revision.is_none_or(|known| known < revision);
                let lagging: Vec<_> = hosts.iter().filter(behind).collect();
                let done = hosts.len() - lagging.len();
                if told != Some((done, hosts.len())) {
                    eprintln!("revision {revision} is in force on {done} of {} hosts", hosts.len());
                    told = Some((done, hosts.len()));
                }
                if lagging.is_empty() {
                    return Ok(done);
                }
                names(&lagging)
            }
            Err(err) => err.to_string(),
        };
        if Instant::now() >= deadline {
            let limit = limit.as_secs();
            let what = format!("could not see revision {revision} in force on all hosts within {limit} s");
            return Err(Error::Late(format!("{what}: {obstacle}")));
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn hosts(api: &Api) -> Result<Vec<Host>, Error> {
    let status = api.get("/v1/status").await?;
    let status: Status = serde_json::from_value(status).wrap_err("could not understand the status of the router")?;
    Ok(status.routers.into_iter().chain(status.links).collect())
}

fn names(lagging: &[&Host]) -> String {
    let named = lagging.iter().take(MAX_NAMED).map(|host| match host.revision {
        Some(known) => format!("{} (revision {known})", host.id),
        None => format!("{} (revision unknown)", host.id),
    });
    let mut names = named.collect::<Vec<_>>().join(", ");
    if lagging.len() > MAX_NAMED {
        names.push_str(&format!(" and {} more", lagging.len() - MAX_NAMED));
    }
    names
}
