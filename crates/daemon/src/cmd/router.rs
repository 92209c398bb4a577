//! `eelgrasswelld router`

use std::path::PathBuf;

use argh::FromArgs;
use eelgrasswell_manifest::settings::{self, RouterSettings};
use eyre::{Result, WrapErr};
use tokio::runtime::Runtime;

use crate::{log, router::Router, shutdown, telemetry};

/// Serve callers and operators on an entry host.
#[derive(FromArgs)]
#[argh(subcommand, name = "router")]
pub struct RouterCmd {
    /// settings file
    #[argh(option)]
    settings: PathBuf,
}

pub fn run(cmd: &RouterCmd) -> Result<()> {
    let settings: RouterSettings = settings::load(&cmd.settings)?;
    log::init(&settings.host.log_level)?;
    let metrics = telemetry::install()?;
    let runtime = Runtime::new().wrap_err("could not start the runtime")?;
    runtime.block_on(async {
        let signals = shutdown::listen()?;
        let router = Router::open(settings, metrics).await?;
        router.serve(signals).await
    })
}
