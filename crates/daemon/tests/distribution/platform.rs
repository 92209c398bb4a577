//! Stand-in for the platform's object API, with faults.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use eelgrasswell_daemon::platform::HostEntry;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, sync::watch, time::timeout};

/// A platform that serves on a loopback address until the process ends.
#[derive(Clone)]
pub struct FakePlatform {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    changes: Arc<watch::Sender<u64>>,
}

#[derive(Default)]
struct State {
    objects: BTreeMap<String, (u64, Bytes)>,
    hosts: Vec<HostEntry>,
    down: bool,
    watches_lag: bool,
    /// Key of the object whose next write takes effect without an answer.
    lose_answer: Option<String>,
    head_reads: u64,
}

impl FakePlatform {
    pub async fn open() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let platform = Self {
            address: listener.local_addr().unwrap(),
            state: Arc::default(),
            changes: Arc::new(watch::channel(0).0),
        };
        let served = platform.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let platform = served.clone();
                let service = service_fn(move |req| {
                    let platform = platform.clone();
                    async move { platform.answer(req).await }
                });
                tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
            }
        });
        platform
    }

    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    /// Lets watches return no newer version until they are set free again.
    pub fn set_watches_lag(&self, lag: bool) {
        self.lock().watches_lag = lag;
    }

    /// Lets the next write of `key` take effect and drops the connection in place of an answer.
    pub fn lose_answer(&self, key: &str) {
        self.lock().lose_answer = Some(key.into());
    }

    /// Whether the write whose answer is to be lost is still to come.
    pub fn has_answer_to_lose(&self) -> bool {
        self.lock().lose_answer.is_some()
    }

    pub fn set_hosts(&self, hosts: Vec<HostEntry>) {
        self.lock().hosts = hosts;
    }

    pub fn object(&self, key: &str) -> Option<(u64, Bytes)> {
        self.lock().objects.get(key).cloned()
    }

    /// Replaces an object whatever its version.
    pub fn overwrite(&self, key: &str, value: Bytes) {
        let version = self.lock().objects.get(key).map_or(0, |(version, _)| *version);
        self.lock().objects.insert(key.into(), (version + 1, value));
        self.changes.send_modify(|n| *n += 1);
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.lock().objects.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Reads of `config/head` that were not watches.
    pub fn head_reads(&self) -> u64 {
        self.lock().head_reads
    }

    /// Sees each write, deletion and read of the head.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    async fn answer(&self, req: Request<Incoming>) -> io::Result<Response<Full<Bytes>>> {
        let path = req.uri().path().to_owned();
        let query = req.uri().query().unwrap_or_default().to_owned();
        let method = req.method().clone();
        let expected = req.headers().get("if-version").and_then(|v| v.to_str().ok()?.parse().ok());
        let body = req.into_body().collect().await.map_err(io::Error::other)?.to_bytes();
        if self.lock().down {
            return Ok(status(StatusCode::SERVICE_UNAVAILABLE));
        }
        if path == "/hosts" {
            let hosts = serde_json::json!({ "hosts": self.lock().hosts });
            return Ok(Response::new(hosts.to_string().into()));
        }
        if path == "/objects" {
            let prefix = query.strip_prefix("prefix=").unwrap_or_default();
            return Ok(Response::new(serde_json::json!({ "keys": self.keys(prefix) }).to_string().into()));
        }
        if let Some(key) = path.strip_prefix("/watch/") {
            return Ok(self.watch(key, &query).await);
        }
        let Some(key) = path.strip_prefix("/objects/") else { return Ok(status(StatusCode::NOT_FOUND)) };
        if method == Method::GET {
            return Ok(self.get(key));
        }
        let Some(expected) = expected else { return Ok(status(StatusCode::BAD_REQUEST)) };
        if method == Method::PUT { self.put(key, expected, body) } else { Ok(self.delete(key, expected)) }
    }

    fn get(&self, key: &str) -> Response<Full<Bytes>> {
        if key == "config/head" {
            self.lock().head_reads += 1;
            self.changes.send_modify(|n| *n += 1);
        }
        self.object(key).map_or_else(|| status(StatusCode::NOT_FOUND), object)
    }

    fn put(&self, key: &str, expected: u64, value: Bytes) -> io::Result<Response<Full<Bytes>>> {
        let mut state = self.lock();
        if state.objects.get(key).map_or(0, |(version, _)| *version) != expected {
            return Ok(status(StatusCode::CONFLICT));
        }
        state.objects.insert(key.into(), (expected + 1, value));
        let lost = state.lose_answer.take_if(|lost| lost == key).is_some();
        drop(state);
        self.changes.send_modify(|n| *n += 1);
        if lost {
            return Err(io::Error::other("the answer is lost"));
        }
        Ok(Response::new(serde_json::json!({ "version": expected + 1 }).to_string().into()))
    }

    fn delete(&self, key: &str, expected: u64) -> Response<Full<Bytes>> {
        let mut state = self.lock();
        let found = state.objects.get(key).map(|(version, _)| *version);
        if found.is_some_and(|version| version != expected) {
            return status(StatusCode::CONFLICT);
        }
        state.objects.remove(key);
        drop(state);
        self.changes.send_modify(|n| *n += 1);
        status(if found.is_some() { StatusCode::OK } else { StatusCode::NOT_FOUND })
    }

    async fn watch(&self, key: &str, query: &str) -> Response<Full<Bytes>> {
        let number = |name: &str| -> u64 {
            let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
            value.and_then(|value| value.parse().ok()).unwrap_or(0)
        };
        let (after, wait) = (number("after"), Duration::from_millis(number("timeout_ms")));
        let mut changes = self.changes.subscribe();
        let newer = async {
            loop {
                let lag = self.lock().watches_lag;
                let found = self.object(key).filter(|(version, _)| !lag && *version > after);
                if let Some(found) = found {
                    return object(found);
                }
                let _ = changes.changed().await;
            }
        };
        timeout(wait, newer).await.unwrap_or_else(|_| status(StatusCode::NO_CONTENT))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }
}

fn object((version, value): (u64, Bytes)) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(value));
    response.headers_mut().insert("x-version", version.into());
    response
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
