//! Reads the settings file again when it changes or a signal says so.

use std::{path::PathBuf, time::Duration};

use eelgrasswell_manifest::{gateway::GatewaySettings, settings};
use eyre::Result;
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    time::sleep,
};

use super::Gateway;
use crate::event;

/// Interval at which the file is looked at without a signal.
const INTERVAL: Duration = Duration::from_secs(2);

/// Starts to follow the file at `path`.
pub fn spawn(gateway: Gateway, path: PathBuf) -> Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    tokio::spawn(async move {
        loop {
            let signalled = wait(&mut hangup).await;
            match settings::open::<GatewaySettings>(&path).and_then(|settings| settings.check().map(|()| settings)) {
                Ok(settings) if *gateway.settings() != settings => {
                    event!(Info, "settings_reloaded", signalled = signalled, path = path.display());
                    gateway.set_settings(settings);
                }
                Ok(_) if signalled => event!(Info, "settings_unchanged", path = path.display()),
                Ok(_) => {}
                Err(err) => event!(Error, "settings_kept", error = format!("{err:#}")),
            }
        }
    });
    Ok(())
}

/// Waits for the signal or the next look; true for the signal.
async fn wait(hangup: &mut Signal) -> bool {
    tokio::select! {
        signalled = hangup.recv() => signalled.is_some(),
        () = sleep(INTERVAL) => false,
    }
}
