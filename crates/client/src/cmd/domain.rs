//! `eelgrasswell domain`

use std::{str::FromStr, time::Duration};

use argh::{ArgsInfo, FromArgs};
use bytes::Bytes;
use hyper::Method;

use crate::{
    api::{Api, ChangeParams},
    cmd,
    error::Error,
    wait,
};

/// Take a failure domain out of service, or put it back in service.
#[derive(FromArgs, ArgsInfo)]
#[argh(subcommand, name = "domain")]
pub struct DomainCmd {
    /// out or in
    #[argh(positional)]
    action: Action,

    /// the failure domain
    #[argh(positional)]
    domain: String,

    /// submission id of an earlier run, to retry it after a lost response
    #[argh(option)]
    submission: Option<String>,

    /// seconds to wait for all hosts (default 30; 0 does not wait)
    #[argh(option, default = "30")]
    wait_s: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    Out,
    In,
}

impl Action {
    fn as_str(self) -> &'static str {
        match self {
            Self::Out => "out",
            Self::In => "in",
        }
    }
}

impl FromStr for Action {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        match s {
            "out" => Ok(Self::Out),
            "in" => Ok(Self::In),
            _ => Err(format!("expected out or in, not {s:?}")),
        }
    }
}

pub async fn run(sub: &DomainCmd, api: &Api, json: bool) -> Result<String, Error> {
    cmd::require_id("failure domain", &sub.domain)?;
    let (action, domain) = (sub.action.as_str(), &sub.domain);
    let change = ChangeParams::new(sub.submission.clone(), None);
    let changed = api.change(Method::POST, &format!("/v1/domains/{domain}/{action}"), &change, Bytes::new()).await?;
    wait::wait_and_describe(api, &changed, &format!("domain {action} {domain}"), Duration::from_secs(sub.wait_s), json)
        .await
}
