//! Reloads the settings file when it changes or on `SIGHUP`.

use std::{path::PathBuf, time::Duration};

use eelgrasswell_manifest::{gateway::GatewaySettings, settings};
use eyre::Result;
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    time::sleep,
};

use super::Gateway;
use crate::event;

/// Interval at which the file is read without a signal.
const INTERVAL: Duration = Duration::from_secs(2);

/// Starts a task that reloads the settings from `path`. Invalid settings are logged, and the current ones are kept.
pub fn spawn(gateway: Gateway, path: PathBuf) -> Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    tokio::spawn(async move {
        loop {
            let signalled = wait_for_reload(&mut hangup).await;
            match settings::load::<GatewaySettings>(&path).and_then(|settings| settings.check().map(|()| settings)) {
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

/// Waits for the signal or the end of the interval; true for the signal.
async fn wait_for_reload(hangup: &mut Signal) -> bool {
    tokio::select! {
        signalled = hangup.recv() => signalled.is_some(),
        () = sleep(INTERVAL) => false,
    }
}
