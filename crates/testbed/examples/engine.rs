//! Runs the backend server stand-in as a separate process.

use std::{fs, net::SocketAddr, path::PathBuf, time::Duration};

use argh::FromArgs;
use eelgrasswell_testbed::engine::{Engine, FaultsUpdate, Options};
use eyre::{Result, WrapErr};

/// Stand-in for a model engine and a plain service.
#[derive(FromArgs)]
struct Args {
    /// address to listen on; with port 0 the system chooses a free port
    #[argh(option)]
    listen: SocketAddr,
    /// file that receives the bound address once the stand-in accepts requests
    #[argh(option)]
    ready_file: Option<PathBuf>,
    /// time to the first token, and duration of a plain call, in microseconds
    #[argh(option, default = "5000")]
    first_us: u64,
    /// time per token, in microseconds
    #[argh(option, default = "2000")]
    token_us: u64,
    /// number of requests that can run at a time without slowing each other down
    #[argh(option, default = "8")]
    slots: u32,
    /// execute orders even if their fencing token is lower than one seen before
    #[argh(switch)]
    ignore_fences: bool,
}

#[tokio::main]
async fn main() -> Result<()> {
    let args: Args = argh::from_env();
    let options = Options {
        first_token: Duration::from_micros(args.first_us),
        token_interval: Duration::from_micros(args.token_us),
        slots: args.slots,
    };
    let engine = Engine::spawn(args.listen, options).await?;
    engine.update_faults(&FaultsUpdate { ignore_fences: Some(args.ignore_fences), ..FaultsUpdate::default() }).await;
    if let Some(path) = &args.ready_file {
        // Renaming makes the file appear atomically, so that a reader never sees part of the address.
        let temporary = path.with_extension("part");
        fs::write(&temporary, engine.address().to_string())
            .and_then(|()| fs::rename(&temporary, path))
            .wrap_err_with(|| format!("could not write ready file {}", path.display()))?;
    }
    std::future::pending().await
}
