//! `eelgrasswell submit`

use std::{path::PathBuf, time::Duration};

use argh::{ArgsInfo, FromArgs};
use hyper::Method;

use super::check;
use crate::{
    api::{Api, ChangeParams},
    error::Error,
    wait,
};

/// Apply a manifest and wait until it is in force on all hosts.
#[derive(FromArgs, ArgsInfo)]
#[argh(subcommand, name = "submit")]
pub struct SubmitCmd {
    /// file with the manifest
    #[argh(positional)]
    file: PathBuf,

    /// manifest revision that the file is based on (default: the revision in force)
    #[argh(option)]
    expected: Option<u64>,

    /// submission id of an earlier run, to retry it after a lost response
    #[argh(option)]
    submission: Option<String>,

    /// seconds to wait for all hosts (default 30; 0 does not wait)
    #[argh(option, default = "30")]
    wait_s: u64,
}

pub async fn run(cmd: &SubmitCmd, api: impl FnOnce() -> Result<Api, Error>, json: bool) -> Result<String, Error> {
    let (text, _) = check::read(&cmd.file)?;
    let api = api()?;
    let expected = match cmd.expected {
        Some(expected) => expected,
        None => api.manifest().await?.manifest_revision,
    };
    let change = ChangeParams::new(cmd.submission.clone(), Some(expected));
    let changed = api.change(Method::PUT, "/v1/manifest", &change, text.into()).await?;
    wait::wait_and_describe(
        &api,
        &changed,
        &format!("submit {}", cmd.file.display()),
        Duration::from_secs(cmd.wait_s),
        json,
    )
    .await
}
