//! The filter chain for callers' requests. Each filter is a file; `serve` lists them in order.

use eyre::Result;
use tokio::net::TcpListener;

use crate::{router::Router, shutdown::Shutdown};

/// Serves callers until `shutdown` is requested and the running requests have finished.
pub async fn serve(_router: Router, _listener: TcpListener, mut shutdown: Shutdown) -> Result<()> {
    shutdown.wait().await;
    Ok(())
}
