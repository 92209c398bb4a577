//! Stand-in for the platform: an object API and a host list over HTTP, kept in memory.
//!
//! | call | reply |
//! |---|---|
//! | `GET /objects/{key}` | the value, with header `x-version`, or 404 |
//! | `PUT /objects/{key}`, header `if-version: N` (0: must not exist) | `{"version"}`, 409, or 413 above 1 MB |
//! | `DELETE /objects/{key}`, header `if-version: N` | 200, 404 or 409 |
//! | `GET /objects?prefix=P` | `{"keys": [..]}`, sorted |
//! | `GET /watch/{key}?after=N&timeout_ms=T` | the value once its version is greater than N, or 204 after the timeout |
//! | `GET /hosts` | `{"hosts": [..]}`; changes become visible after `host_lag_ms` |
//! | `PUT /hosts` (`{"hosts": [..]}`), `PUT /hosts/{id}`, `DELETE /hosts/{id}` | 200 |
//! | `POST /fault` ([`Faults`]; absent fields keep their value), `GET /fault` | the current faults |
//! | `GET /calls` | number of calls by kind; a watch counts as one call, however long it waits |
//!
//! Faults do not affect changes of the host list, `/fault` and `/calls`: these are for the test, and are not part of the
//! platform's API.

mod http;
mod store;

use std::{net::SocketAddr, sync::Arc};

use eyre::{Result, WrapErr};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, task::JoinHandle};

use store::Store;
pub use store::{Calls, Faults, StoredObject};

/// A running stand-in. Dropping it closes the listener.
pub struct Platform {
    address: SocketAddr,
    store: Arc<Store>,
    accept_task: JoinHandle<()>,
}

impl Platform {
    /// Binds `listen` and serves in the background. Port 0 lets the system choose a port.
    pub async fn bind(listen: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind(listen).await.wrap_err_with(|| format!("could not bind {listen}"))?;
        let address = listener.local_addr().wrap_err("could not read the bound address")?;
        let store = Arc::new(Store::default());
        let accept_task = tokio::spawn(accept_connections(listener, Arc::clone(&store)));
        Ok(Self { address, store, accept_task })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the current faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        self.store.set_faults(change);
    }

    /// Number of calls so far, by kind.
    pub fn calls(&self) -> Calls {
        self.store.calls()
    }

    /// Returns the object at `key`. Faults and call counts do not apply.
    pub fn object(&self, key: &str) -> Option<StoredObject> {
        self.store.get(key)
    }

    /// Returns the keys that start with `prefix`, sorted. Faults and call counts do not apply.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.store.list(prefix)
    }

    /// Waits until `condition` is true of this stand-in. It is checked after each change of an object or of the faults.
    pub async fn wait_until(&self, mut condition: impl FnMut(&Self) -> bool) {
        let mut changes = self.store.changes();
        while !condition(self) {
            let _ = changes.changed().await;
        }
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

async fn accept_connections(listener: TcpListener, store: Arc<Store>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let _ = stream.set_nodelay(true);
        let store = Arc::clone(&store);
        let service = service_fn(move |req| http::serve(Arc::clone(&store), req));
        tokio::spawn(async move {
            // A lost answer ends the connection with an error, as the fault requires.
            let _ = hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}
