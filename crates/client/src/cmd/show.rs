//! `eelgrasswell show`

use argh::{ArgsInfo, FromArgs};
use eelgrasswell_manifest::check;

use crate::{api::Api, cmd, error::Error};

/// Print the manifest in force, as YAML that can be edited and submitted again.
#[derive(FromArgs, ArgsInfo)]
#[argh(subcommand, name = "show")]
pub struct ShowCmd {}

pub async fn run(_cmd: &ShowCmd, api: &Api, json: bool) -> Result<String, Error> {
    if json {
        return Ok(cmd::to_pretty_json(&api.get("/v1/manifest").await?));
    }
    let current = api.manifest().await?;
    let yaml = check::to_yaml(&current.manifest)?;
    Ok(format!("# manifest revision {}, revision {}\n{yaml}", current.manifest_revision, current.revision))
}
