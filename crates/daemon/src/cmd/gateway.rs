//! `eelgrasswelld gateway`

use std::{env, path::PathBuf};

use argh::FromArgs;
use eelgrasswell_manifest::{gateway::GatewaySettings, settings};
use eelgrasswell_platform::SETTINGS_FILE_ENV;
use eyre::{Result, WrapErr, eyre};
use tokio::runtime::Builder;

use crate::{gateway, log, shutdown, telemetry};

/// Serve callers on an entry host without agents.
#[derive(FromArgs)]
#[argh(subcommand, name = "gateway")]
pub struct GatewayCmd {
    /// settings file; by default the path in the variable EELGRASSWELL_NODE_FILE
    #[argh(option)]
    settings: Option<PathBuf>,

    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

pub fn run(cmd: GatewayCmd) -> Result<()> {
    let path = match cmd.settings {
        Some(path) => path,
        None => env::var_os(SETTINGS_FILE_ENV)
            .map(PathBuf::from)
            .ok_or_else(|| eyre!("could not find the settings: give --settings or set {SETTINGS_FILE_ENV}"))?,
    };
    let settings: GatewaySettings = settings::load(&path)?;
    settings.check().wrap_err_with(|| format!("could not use settings {}", path.display()))?;
    if cmd.check {
        println!("{}: valid, gateway {} in {}", path.display(), settings.id, settings.domain);
        return Ok(());
    }
    log::init_queued(&settings.log_level)?;
    let metrics = telemetry::install()?;
    let runtime = Builder::new_multi_thread()
        .worker_threads(settings.cores)
        .enable_all()
        .build()
        .wrap_err("could not start the runtime")?;
    let outcome = runtime.block_on(async {
        let signals = shutdown::listen()?;
        gateway::run(path, settings, metrics, signals).await
    });
    runtime.shutdown_background();
    outcome
}
