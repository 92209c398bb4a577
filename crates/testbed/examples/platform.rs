//! Runs the platform stand-in as a separate process. `eelgrasswell_testbed::platform` documents its API.

use std::{fs, net::SocketAddr, path::PathBuf};

use argh::FromArgs;
use eelgrasswell_testbed::platform::Platform;
use eyre::{Result, WrapErr};

/// Stand-in for the platform: object API and host list, held in memory.
#[derive(FromArgs)]
struct Args {
    /// address to listen on, ip:port; with port 0 the system chooses a free port
    #[argh(option)]
    listen: SocketAddr,
    /// file that receives the bound address once the stand-in accepts calls
    #[argh(option)]
    ready_file: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> Result<()> {
    let args: Args = argh::from_env();
    let platform = Platform::bind(args.listen).await?;
    if let Some(path) = args.ready_file {
        // Renaming makes the file appear atomically, so that a reader never sees part of the address.
        let temporary = path.with_extension("partial");
        fs::write(&temporary, platform.address().to_string())
            .and_then(|()| fs::rename(&temporary, &path))
            .wrap_err_with(|| format!("could not write ready file {}", path.display()))?;
    }
    std::future::pending().await
}
