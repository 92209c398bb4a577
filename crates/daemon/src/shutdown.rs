//! Graceful shutdown on SIGTERM or SIGINT.

use eyre::{Result, WrapErr};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
};

use crate::event;

/// Handle that shows whether a shutdown was requested. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Shutdown {
    rx: watch::Receiver<bool>,
}

impl Shutdown {
    /// Whether a shutdown was requested.
    pub fn requested(&self) -> bool {
        *self.rx.borrow()
    }

    /// Waits until a shutdown is requested.
    pub async fn wait(&mut self) {
        let _ = self.rx.wait_for(|requested| *requested).await;
    }
}

/// Listens for SIGTERM and SIGINT. A second signal ends the process immediately.
pub fn listen() -> Result<Shutdown> {
    let mut term = signal(SignalKind::terminate()).wrap_err("could not listen for SIGTERM")?;
    let mut int = signal(SignalKind::interrupt()).wrap_err("could not listen for SIGINT")?;
    let (tx, rx) = watch::channel(false);
    tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = term.recv() => {}
                _ = int.recv() => {}
            }
            if tx.send_replace(true) {
                event!(Warn, "stopped_by_second_signal");
                std::process::exit(1);
            }
            event!(Info, "shutdown_requested");
        }
    });
    Ok(Shutdown { rx })
}
