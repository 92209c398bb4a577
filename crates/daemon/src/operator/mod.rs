//! The operators' endpoint: manifest, status, commands, bills, metrics and health.

use eyre::Result;
use tokio::net::TcpListener;

use crate::router::Router;

/// Serves operators until the task is aborted.
pub async fn serve(_router: Router, _listener: TcpListener) -> Result<()> {
    std::future::pending().await
}
