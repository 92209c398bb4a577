//! Stand-in of a backend server as a process of its own.

use std::{fs, net::SocketAddr, path::PathBuf, time::Duration};

use argh::FromArgs;
use eelgrasswell_testbed::engine::{Engine, FaultsUpdate, Options};
use eyre::{Result, WrapErr};

/// Stand-in of a model engine and of a plain service.
#[derive(FromArgs)]
struct Args {
    /// address to listen on; port 0 lets the system choose
    #[argh(option)]
    listen: SocketAddr,
    /// file into which the bound address is written once the stand-in serves
    #[argh(option)]
    ready_file: Option<PathBuf>,
    /// time to the first token and of a plain call, in microseconds
    #[argh(option, default = "5000")]
    first_us: u64,
    /// time per token, in microseconds
    #[argh(option, default = "2000")]
    token_us: u64,
    /// requests that run without slowing each other down
    #[argh(option, default = "8")]
    slots: u32,
    /// obey orders with an old fence
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
        // The rename makes the address appear whole, so that a reader never sees part of it.
        let part = path.with_extension("part");
        fs::write(&part, engine.address().to_string())
            .and_then(|()| fs::rename(&part, path))
            .wrap_err_with(|| format!("could not write ready file {}", path.display()))?;
    }
    std::future::pending().await
}
