//! `eelgrasswelld agent`

use std::path::PathBuf;

use argh::FromArgs;
use eelgrasswell_manifest::settings::{self, AgentSettings};
use eyre::{Result, WrapErr};
use tokio::runtime::Runtime;

use crate::{agent::Agent, log, shutdown, telemetry};

/// Run the agent of a backend server.
#[derive(FromArgs)]
#[argh(subcommand, name = "agent")]
pub struct AgentCmd {
    /// settings file
    #[argh(option)]
    settings: PathBuf,
}

pub fn run(cmd: &AgentCmd) -> Result<()> {
    let settings: AgentSettings = settings::load(&cmd.settings)?;
    log::init(&settings.host.log_level)?;
    let metrics = telemetry::install()?;
    let runtime = Runtime::new().wrap_err("could not start the runtime")?;
    runtime.block_on(async {
        let signals = shutdown::listen()?;
        let agent = Agent::open(settings, metrics).await?;
        agent.serve(signals).await
    })
}
