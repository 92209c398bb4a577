//! Stand-in for the platform: object API and host list over HTTP, all in memory.
//!
//! | call | answer |
//! |---|---|
//! | `GET /objects/{key}` | the value, header `x-version`; 404 when there is none |
//! | `PUT /objects/{key}`, header `if-version: N` (0: must not exist) | `{"version"}`, 409, or 413 above 1 MB |
//! | `DELETE /objects/{key}`, header `if-version: N` | 200, 404 or 409 |
//! | `GET /objects?prefix=P` | `{"keys": [..]}` in order |
//! | `GET /watch/{key}?after=N&timeout_ms=T` | the value once its version is above N, or 204 |
//! | `GET /hosts` | `{"hosts": [..]}` as of `host_lag_ms` ago |
//! | `PUT /hosts` (`{"hosts": [..]}`), `PUT /hosts/{id}`, `DELETE /hosts/{id}` | 200 |
//! | `POST /fault` ([`Faults`], absent fields keep their value), `GET /fault` | the faults in force |
//! | `GET /calls` | number of calls per kind; a waiting watch counts as one |
//!
//! Faults do not affect changes of the host list, `/fault` and `/calls`, which stand for the test.

mod http;
mod store;

use std::{net::SocketAddr, sync::Arc};

use eyre::{Result, WrapErr};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, task::JoinHandle};

use store::Store;
pub use store::{Calls, Faults, StoredObject};

/// A running stand-in; it stops when this is dropped.
pub struct Platform {
    address: SocketAddr,
    store: Arc<Store>,
    accept: JoinHandle<()>,
}

impl Platform {
    /// Serves at `listen`; port 0 lets the system choose.
    pub async fn bind(listen: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind(listen).await.wrap_err_with(|| format!("could not bind {listen}"))?;
        let address = listener.local_addr().wrap_err("could not read the bound address")?;
        let store = Arc::new(Store::default());
        let accept = tokio::spawn(accept_connections(listener, Arc::clone(&store)));
        Ok(Self { address, store, accept })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the faults in force.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        self.store.set_faults(change);
    }

    /// Number of calls per kind so far.
    pub fn calls(&self) -> Calls {
        self.store.calls()
    }

    /// The object at `key`, read behind the API.
    pub fn object(&self, key: &str) -> Option<StoredObject> {
        self.store.get(key)
    }

    /// Keys that start with `prefix`, in order, read behind the API.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.store.list(prefix)
    }

    /// Waits until `holds` is true of this stand-in, checking after each change of an object.
    pub async fn wait_until(&self, mut holds: impl FnMut(&Self) -> bool) {
        let mut changes = self.store.changes();
        while !holds(self) {
            let _ = changes.changed().await;
        }
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.accept.abort();
    }
}

async fn accept_connections(listener: TcpListener, store: Arc<Store>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let _ = stream.set_nodelay(true);
        let store = Arc::clone(&store);
        let service = service_fn(move |req| http::serve(Arc::clone(&store), req));
        tokio::spawn(async move {
            // A lost answer ends the connection with an error, which is what the fault asks for.
            let _ = hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}
