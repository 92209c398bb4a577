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

/// Give a host no new work, so that it can be stopped.
#[derive(FromArgs, ArgsInfo)]
#[argh(subcommand, name = "drain")]
pub struct DrainCmd {
    /// the host
    #[argh(positional)]
    host: String,

    /// id of a change to repeat after its response was lost
    #[argh(option)]
    submission: Option<String>,

    /// seconds to wait for all hosts (30 when left out; 0 does not wait)
    #[argh(option, default = "30")]
    wait_s: u64,
}

pub async fn run(sub: &DrainCmd, api: &Api, json: bool) -> Result<String, Error> {
    cmd::require_id("host", &sub.host)?;
    let change = ChangeParams::new(sub.submission.clone(), None);
    let changed = api.change(Method::POST, &format!("/v1/hosts/{}/drain", sub.host), &change, Bytes::new()).await?;
    wait::wait_and_describe(api, &changed, &format!("drain {}", sub.host), Duration::from_secs(sub.wait_s), json).await
}
