//! Client of the platform's object API.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use compact_str::CompactString;
use eelgrasswell_core::{
    id::{DomainId, HostId, ServiceName},
    unit::Millis,
};
use eyre::{Result, WrapErr, bail};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use tokio::time::timeout;

use crate::{event, sync::lock, telemetry};

/// Timeout of a call. The platform responds within milliseconds when it is healthy.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum length of a quoted entry or error, in characters.
const MAX_QUOTED_CHARS: usize = 120;

/// Client of the object API. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Platform {
    address: SocketAddr,
    pool: Arc<Mutex<Pool>>,
    /// What was wrong with entries of the host list when it was last read.
    malformed_hosts: Arc<Mutex<Vec<String>>>,
}

/// Pool of connections to the platform. The whole pool is replaced when a call times out, because its idle connections
/// may be dead as well, and each of them would make another call time out.
#[derive(Clone, Debug)]
struct Pool {
    client: Client<HttpConnector, Full<Bytes>>,
    /// Number of earlier pools.
    generation: u64,
}

/// An object with its version. Versions start at 1 and increase with every write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Version of the object.
    pub version: u64,
    /// Value, at most one megabyte.
    pub value: Bytes,
}

/// Result of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Put {
    /// The object was written and has this version.
    Done(u64),
    /// The object has a different version than expected; nothing was written.
    Conflict,
}

/// An entry of the platform's host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Id of the host.
    pub id: HostId,
    /// Role of the host.
    pub role: HostRole,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Address of the inner endpoint of the process.
    pub address: SocketAddr,
    /// Service of the backend server; empty for routers.
    #[serde(default)]
    pub service: ServiceName,
    /// Whether the platform is about to remove the host.
    #[serde(default)]
    pub leaving: bool,
}

/// Role of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostRole {
    /// Entry host, which runs a router.
    Router,
    /// Host of a backend server, which runs an agent.
    Agent,
}

/// The platform's host list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostList {
    /// Entries that could be read.
    pub hosts: Vec<HostEntry>,
    /// What is wrong with the others.
    pub malformed: Vec<String>,
}

impl HostList {
    /// Parses the platform's host list, each entry by itself, so that a malformed one does not hide the others.
    pub fn from_json(json: &[u8]) -> serde_json::Result<Self> {
        #[derive(Deserialize)]
        struct Wire {
            hosts: Vec<Box<RawValue>>,
        }
        let wire: Wire = serde_json::from_str(&String::from_utf8_lossy(json))?;
        let mut list = Self::default();
        for entry in wire.hosts {
            match serde_json::from_str(entry.get()) {
                Ok(host) => list.hosts.push(host),
                Err(err) => list.malformed.push(describe(entry.get(), &err)),
            }
        }
        Ok(list)
    }
}

/// An error with the beginning of the entry that it concerns.
fn describe(entry: &str, err: &serde_json::Error) -> String {
    let quoted: String = entry.chars().take(MAX_QUOTED_CHARS).collect();
    let error: String = err.to_string().chars().take(MAX_QUOTED_CHARS).collect();
    format!("{error} in {quoted}")
}

#[derive(Deserialize)]
struct Keys {
    keys: Vec<CompactString>,
}

#[derive(Deserialize)]
struct Written {
    version: u64,
}

struct Reply {
    status: StatusCode,
    version: u64,
    body: Bytes,
}

impl Platform {
    /// Creates a client, which connects on the first call.
    pub fn open(address: SocketAddr) -> Self {
        Self { address, pool: Arc::new(Mutex::new(Pool::open(0))), malformed_hosts: Arc::default() }
    }

    /// Reads an object. Returns `None` if it does not exist.
    pub async fn get(&self, key: &str) -> Result<Option<Object>> {
        let reply = self.call("get", Method::GET, &format!("/objects/{key}"), None, Bytes::new(), CALL_TIMEOUT).await?;
        match reply.status {
            StatusCode::OK => Ok(Some(Object { version: reply.version, value: reply.body })),
            StatusCode::NOT_FOUND => Ok(None),
            status => bail!("could not read object {key} at {}: status {status}", self.address),
        }
    }

    /// Writes an object if its version is `expected`; 0 means that it must not exist. After an error the object may
    /// have been written nevertheless: the caller should read it and compare.
    pub async fn put(&self, key: &str, expected: u64, value: Bytes) -> Result<Put> {
        let path = format!("/objects/{key}");
        let reply = self.call("put", Method::PUT, &path, Some(expected), value, CALL_TIMEOUT).await?;
        match reply.status {
            StatusCode::OK => {
                let written: Written = serde_json::from_slice(&reply.body)
                    .wrap_err_with(|| format!("could not parse the answer to a write of {key}"))?;
                Ok(Put::Done(written.version))
            }
            StatusCode::CONFLICT => Ok(Put::Conflict),
            status => bail!("could not write object {key} at {}: status {status}", self.address),
        }
    }

    /// Deletes an object if its version is `expected`. Succeeds if it does not exist.
    pub async fn delete(&self, key: &str, expected: u64) -> Result<()> {
        let path = format!("/objects/{key}");
        let reply = self.call("delete", Method::DELETE, &path, Some(expected), Bytes::new(), CALL_TIMEOUT).await?;
        match reply.status {
            StatusCode::OK | StatusCode::NOT_FOUND => Ok(()),
            status => bail!("could not delete object {key} at {}: status {status}", self.address),
        }
    }

    /// Lists the keys that start with `prefix`, in order.
    pub async fn list(&self, prefix: &str) -> Result<Vec<CompactString>> {
        let path = format!("/objects?prefix={prefix}");
        let reply = self.call("list", Method::GET, &path, None, Bytes::new(), CALL_TIMEOUT).await?;
        let keys: Keys = serde_json::from_slice(&reply.body)
            .wrap_err_with(|| format!("could not list objects {prefix} at {}", self.address))?;
        Ok(keys.keys)
    }

    /// Waits up to `wait` for a version of the object above `after`. Returns `None` if there was none in that time.
    pub async fn watch(&self, key: &str, after: u64, wait: Millis) -> Result<Option<Object>> {
        let path = format!("/watch/{key}?after={after}&timeout_ms={}", wait.0);
        let limit = Duration::from(wait) + CALL_TIMEOUT;
        let reply = self.call("watch", Method::GET, &path, None, Bytes::new(), limit).await?;
        match reply.status {
            StatusCode::OK => Ok(Some(Object { version: reply.version, value: reply.body })),
            StatusCode::NO_CONTENT => Ok(None),
            status => bail!("could not watch object {key} at {}: status {status}", self.address),
        }
    }

    /// Reads the host list, which may be out of date.
    pub async fn hosts(&self) -> Result<Vec<HostEntry>> {
        let reply = self.call("hosts", Method::GET, "/hosts", None, Bytes::new(), CALL_TIMEOUT).await?;
        let list = HostList::from_json(&reply.body)
            .wrap_err_with(|| format!("could not parse the host list of {}", self.address))?;
        self.report_malformed(list.malformed);
        Ok(list.hosts)
    }

    /// Logs the malformed entries of the host list if they differ from those of the last one.
    fn report_malformed(&self, malformed: Vec<String>) {
        let mut reported = lock(&self.malformed_hosts);
        if *reported == malformed {
            return;
        }
        for error in &malformed {
            event!(Warn, "host_malformed", error = error);
        }
        *reported = malformed;
    }

    /// Makes one call and counts its result. Replaces the connection pool if the call times out.
    async fn call(
        &self,
        kind: &'static str,
        method: Method,
        path: &str,
        if_version: Option<u64>,
        body: Bytes,
        limit: Duration,
    ) -> Result<Reply> {
        let mut req = Request::builder().method(method).uri(format!("http://{}{path}", self.address));
        if let Some(version) = if_version {
            req = req.header("if-version", version);
        }
        let req = req.body(Full::new(body)).wrap_err("could not build a platform call")?;
        let pool = self.lock().clone();
        let reply = timeout(limit, exchange(&pool.client, req)).await;
        let reply = reply.unwrap_or_else(|_| {
            self.replace_pool(pool.generation);
            bail!("timed out after {} ms", limit.as_millis())
        });
        let result = if reply.is_ok() { "ok" } else { "error" };
        metrics::counter!(telemetry::PLATFORM_CALLS, "kind" => kind, "result" => result).increment(1);
        reply.wrap_err_with(|| format!("could not {kind} {path} at platform {}", self.address))
    }

    /// Replaces the pool if it is still the one of `generation`. Its connections close once their calls end, and new
    /// calls open new ones.
    fn replace_pool(&self, generation: u64) {
        let mut pool = self.lock();
        if pool.generation == generation {
            *pool = Pool::open(generation + 1);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Pool> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Pool {
    fn open(generation: u64) -> Self {
        Self { client: Client::builder(TokioExecutor::new()).build_http(), generation }
    }
}

async fn exchange(client: &Client<HttpConnector, Full<Bytes>>, req: Request<Full<Bytes>>) -> Result<Reply> {
    let response = client.request(req).await?;
    let status = response.status();
    let version = response.headers().get("x-version").and_then(|v| v.to_str().ok()?.parse().ok()).unwrap_or(0);
    let body = response.into_body().collect().await?.to_bytes();
    if status.is_server_error() {
        bail!("status {status}");
    }
    Ok(Reply { status, version, body })
}
