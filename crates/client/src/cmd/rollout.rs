//! `eelgrasswell rollout`

use std::{str::FromStr, time::Duration};

use argh::{ArgsInfo, FromArgs};
use bytes::Bytes;
use eelgrasswell_manifest::config::RolloutKey;
use eyre::WrapErr;
use hyper::Method;
use serde::Deserialize;

use crate::{
    api::{Api, ChangeParams},
    cmd,
    error::Error,
    table::Table,
    wait,
};

/// List rollouts, or start, step, stop or finish one.
#[derive(FromArgs, ArgsInfo)]
#[argh(subcommand, name = "rollout")]
pub struct RolloutCmd {
    /// one of list, start, step, stop, finish
    #[argh(positional)]
    action: Action,

    /// the rollout, as model/version; not allowed with list
    #[argh(positional)]
    rollout: Option<RolloutKey>,

    /// submission id of an earlier run, to retry it after a lost response
    #[argh(option)]
    submission: Option<String>,

    /// seconds to wait for all hosts (default 30; 0 does not wait)
    #[argh(option, default = "30")]
    wait_s: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    List,
    Change(&'static str),
}

impl FromStr for Action {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        let changes = ["start", "step", "stop", "finish"];
        if s == "list" {
            return Ok(Self::List);
        }
        let change = changes.into_iter().find(|change| *change == s);
        change.map(Self::Change).ok_or_else(|| format!("expected list, start, step, stop or finish, not {s:?}"))
    }
}

/// A rollout in the status of a router.
#[derive(Deserialize)]
pub struct Rollout {
    model: String,
    version: String,
    baseline: String,
    step: u32,
    permille: u32,
    phase: String,
    reason: String,
}

pub async fn run(sub: &RolloutCmd, api: &Api, json: bool) -> Result<String, Error> {
    match (sub.action, &sub.rollout) {
        (Action::List, None) => list(api, json).await,
        (Action::List, Some(_)) => Err(Error::Usage("could not use the rollout: list takes none".into())),
        (Action::Change(action), Some(key)) => change(sub, api, action, key, json).await,
        (Action::Change(action), None) => {
            Err(Error::Usage(format!("could not {action} a rollout: give it as model/version")))
        }
    }
}

async fn list(api: &Api, json: bool) -> Result<String, Error> {
    let mut status = api.get("/v1/status").await?;
    let rollouts = status["rollouts"].take();
    if json {
        return Ok(cmd::to_pretty_json(&rollouts));
    }
    let rollouts: Vec<Rollout> =
        serde_json::from_value(rollouts).wrap_err("could not parse the rollouts in the status")?;
    Ok(table(&rollouts))
}

/// Formats the rollouts as a table.
pub fn table(rollouts: &[Rollout]) -> String {
    let mut table = Table::new(["model", "version", "baseline", "phase", "step", "permille", "reason"]);
    for rollout in rollouts {
        table.push([
            rollout.model.clone(),
            rollout.version.clone(),
            rollout.baseline.clone(),
            rollout.phase.clone(),
            rollout.step.to_string(),
            rollout.permille.to_string(),
            rollout.reason.clone(),
        ]);
    }
    table.render()
}

async fn change(sub: &RolloutCmd, api: &Api, action: &str, key: &RolloutKey, json: bool) -> Result<String, Error> {
    cmd::require_id("model", key.model.as_str())?;
    cmd::require_id("version", key.version.as_str())?;
    let path = format!("/v1/rollouts/{key}/{action}");
    let change = ChangeParams::new(sub.submission.clone(), None);
    let changed = api.change(Method::POST, &path, &change, Bytes::new()).await?;
    wait::wait_and_describe(api, &changed, &format!("rollout {key} {action}"), Duration::from_secs(sub.wait_s), json)
        .await
}
