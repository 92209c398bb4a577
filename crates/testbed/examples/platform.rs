//! Platform stand-in as a process of its own. `eelgrasswell_testbed::platform` lists its calls.

use std::{fs, net::SocketAddr, path::PathBuf};

use argh::FromArgs;
use eelgrasswell_testbed::platform::Platform;
use eyre::{Result, WrapErr};

/// Stand-in for the platform: object API and host list in memory.
#[derive(FromArgs)]
struct Cmd {
    /// address to listen on, ip:port; port 0 lets the system choose
    #[argh(option)]
    listen: SocketAddr,
    /// file that receives the bound address once calls are served
    #[argh(option)]
    ready_file: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> Result<()> {
    let cmd: Cmd = argh::from_env();
    let platform = Platform::bind(cmd.listen).await?;
    if let Some(path) = cmd.ready_file {
        // Renamed into place, so that a reader never sees half an address.
        let partial = path.with_extension("partial");
        fs::write(&partial, platform.address().to_string())
            .and_then(|()| fs::rename(&partial, &path))
            .wrap_err_with(|| format!("could not write {}", path.display()))?;
    }
    std::future::pending().await
}
