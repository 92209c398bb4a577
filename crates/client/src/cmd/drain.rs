//! `eelgrasswell drain`

use std::time::Duration;

use argh::{ArgsInfo, FromArgs};
use bytes::Bytes;
use hyper::Method;

use crate::{
    api::{Api, ChangeParams},
    cmd,
    error::Error,
    wait,
};

/// Drain a host, so that it receives no new work and can be stopped.
#[derive(FromArgs, ArgsInfo)]
#[argh(subcommand, name = "drain")]
pub struct DrainCmd {
    /// the host
    #[argh(positional)]
    host: String,

    /// submission id of an earlier run, to retry it after a lost response
    #[argh(option)]
    submission: Option<String>,

    /// seconds to wait for all hosts (default 30; 0 does not wait)
    #[argh(option, default = "30")]
    wait_s: u64,
}

pub async fn run(sub: &DrainCmd, api: &Api, json: bool) -> Result<String, Error> {
    cmd::require_id("host", &sub.host)?;
    let change = ChangeParams::new(sub.submission.clone(), None);
    let changed = api.change(Method::POST, &format!("/v1/hosts/{}/drain", sub.host), &change, Bytes::new()).await?;
    wait::wait_and_describe(api, &changed, &format!("drain {}", sub.host), Duration::from_secs(sub.wait_s), json).await
}
