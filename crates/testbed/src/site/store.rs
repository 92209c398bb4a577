//! Stand-in for the platform's store.
//!
//! | call | response |
//! |---|---|
//! | `GET /objects/KIND?after=NAME` | `items`, `has_more`, `store_revision` |
//! | `GET /objects/KIND?watch=N&wait_ms=T` | `events`, `store_revision`; 410 if the history was dropped or has no revision N |
//! | `POST /objects/KIND` | the new object; 409 if it exists |
//! | `PUT /objects/KIND/NAME` | the object; 409 if `metadata.revision` differs; 404 |
//! | `PUT /objects/KIND/NAME/status` | the object; 409 if `metadata.revision` differs; 404 |
//!
//! All responses have the header `store-era`, which rises by one with each return from an older copy.

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use eyre::{Result, WrapErr};
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, StatusCode, body::Incoming, header::HeaderValue, service::service_fn};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::{
    net::TcpListener,
    sync::watch,
    task::JoinHandle,
    time::{Instant, sleep, timeout_at},
};

/// Number of objects on one page of a list.
const PAGE_SIZE: usize = 3;
/// Header field with the era of the store.
const ERA_HEADER: &str = "store-era";

/// Faults that the stand-in simulates.
#[derive(Clone, Debug, Default)]
pub struct StoreFaults {
    /// Every call gets status 503.
    pub down: bool,
    /// Indices of the gateways whose calls get no response.
    pub unresponsive_to: Vec<usize>,
    /// No call gets a response.
    pub unresponsive: bool,
    /// The connections of all calls are closed without a response.
    pub away: bool,
    /// Time before a watch is handled. Lists are handled at once.
    pub watch_delay: Duration,
    /// Values of the era header in place of the era; one header field each.
    pub era_header: Option<Vec<&'static str>>,
    /// Writes of specs by the gateway with this index get no response and take effect after this time, if their condition
    /// still holds.
    pub late_writes: Option<(usize, Duration)>,
}

/// A running stand-in. It stops when this is dropped. Each gateway gets an address of its own, so that faults and
/// counts can be kept per gateway.
pub struct FakeStore {
    addresses: Vec<SocketAddr>,
    state: Arc<State>,
    accept_tasks: Vec<JoinHandle<()>>,
}

/// A call that gets no response, since its connection is closed.
#[derive(Debug)]
struct CutOff;

impl fmt::Display for CutOff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the call was cut off")
    }
}

impl std::error::Error for CutOff {}

#[derive(Default)]
struct State {
    inner: Mutex<Inner>,
    changes: watch::Sender<u64>,
}

/// What the store holds at a moment.
#[derive(Clone, Default)]
pub struct StoreCopy {
    revision: u64,
    kinds: HashMap<String, BTreeMap<String, Value>>,
    history: Vec<(u64, String, Value)>,
    /// Revision up to which the history was dropped.
    dropped_revision: u64,
}

#[derive(Default)]
struct Inner {
    data: StoreCopy,
    /// Number of returns from an older copy, plus one.
    era: u64,
    faults: StoreFaults,
    /// JSON texts that `Value` can't hold, each with the text that stands for it in objects.
    raw: Vec<(String, String)>,
    calls: HashMap<(usize, String), u64>,
    /// Number of times at which the waiting watches were cut off.
    cuts: u64,
    /// Number of late writes that have taken effect, and of those whose condition no longer held.
    late_writes: (u64, u64),
}

impl FakeStore {
    /// Starts a stand-in with one free port of the loopback address for each of `gateways` gateways.
    pub async fn bind(gateways: usize) -> Result<Self> {
        let state = Arc::new(State::default());
        state.lock().era = 1;
        let mut store = Self { addresses: Vec::new(), state: Arc::clone(&state), accept_tasks: Vec::new() };
        for gateway in 0..gateways {
            let listener = TcpListener::bind("127.0.0.1:0").await.wrap_err("could not bind the store")?;
            store.addresses.push(listener.local_addr()?);
            store.accept_tasks.push(tokio::spawn(accept_connections(listener, Arc::clone(&state), gateway)));
        }
        Ok(store)
    }

    /// Address for the gateway with the index `gateway`.
    pub fn address(&self, gateway: usize) -> SocketAddr {
        self.addresses[gateway]
    }

    /// Creates an object or replaces its spec.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.state.change(kind, name, |object| object["spec"] = spec);
    }

    /// Creates an object or replaces its spec by JSON text that need not fit into `Value`.
    pub fn put_raw(&self, kind: &str, name: &str, spec: &str) {
        let placeholder = {
            let mut inner = self.state.lock();
            let placeholder = format!("raw-json-{}", inner.raw.len());
            inner.raw.push((json!(placeholder).to_string(), spec.to_owned()));
            placeholder
        };
        self.put(kind, name, json!(placeholder));
    }

    /// Deletes an object.
    pub fn delete(&self, kind: &str, name: &str) {
        let revision = {
            let mut inner = self.state.lock();
            let Some(object) = inner.data.kinds.entry(kind.into()).or_default().remove(name) else { return };
            inner.data.revision += 1;
            let revision = inner.data.revision;
            inner.data.history.push((revision, kind.into(), json!({ "deleted": true, "object": object })));
            revision
        };
        self.state.changes.send_replace(revision);
    }

    /// Status of an object; null if the object does not exist.
    pub fn status(&self, kind: &str, name: &str) -> Value {
        let inner = self.state.lock();
        let object = inner.data.kinds.get(kind).and_then(|objects| objects.get(name));
        object.map_or(Value::Null, |object| object["status"].clone())
    }

    /// Spec of an object; null if the object does not exist.
    pub fn spec(&self, kind: &str, name: &str) -> Value {
        let inner = self.state.lock();
        let object = inner.data.kinds.get(kind).and_then(|objects| objects.get(name));
        object.map_or(Value::Null, |object| object["spec"].clone())
    }

    /// Number of late writes that have taken effect, and of those whose condition no longer held.
    pub fn late_writes(&self) -> (u64, u64) {
        self.state.lock().late_writes
    }

    /// Changes the simulated faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut StoreFaults)) {
        change(&mut self.state.lock().faults);
        // Wakes the pending watches, which check the faults again.
        self.state.changes.send_modify(|_| {});
    }

    /// Drops the history, so that watches from earlier revisions fail.
    pub fn drop_history(&self) {
        let mut inner = self.state.lock();
        inner.data.history.clear();
        inner.data.dropped_revision = inner.data.revision;
    }

    /// Ends the connections of all watches that wait, without a response.
    pub fn cut_watches(&self) {
        self.state.lock().cuts += 1;
        self.state.changes.send_modify(|_| {});
    }

    /// What the store holds now.
    pub fn copy(&self) -> StoreCopy {
        self.state.lock().data.clone()
    }

    /// Goes away: the connections of all calls, waiting ones too, are closed without a response.
    pub fn go_away(&self) {
        self.set_faults(|faults| faults.away = true);
    }

    /// Comes back from an older copy, in the next era.
    pub fn come_back(&self, copy: StoreCopy) {
        let mut inner = self.state.lock();
        inner.data = copy;
        inner.era += 1;
        inner.cuts += 1;
        inner.faults.away = false;
        drop(inner);
        self.state.changes.send_modify(|_| {});
    }

    /// Number of calls of `gateway` for `kind` so far.
    pub fn calls(&self, gateway: usize, kind: &str) -> u64 {
        self.state.lock().calls.get(&(gateway, kind.into())).copied().unwrap_or_default()
    }
}

impl Drop for FakeStore {
    fn drop(&mut self) {
        self.accept_tasks.iter().for_each(JoinHandle::abort);
    }
}

impl StoreCopy {
    /// The revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    fn change(&mut self, kind: &str, name: &str, change: impl FnOnce(&mut Value)) -> Value {
        self.revision += 1;
        let objects = self.kinds.entry(kind.into()).or_default();
        let new = || json!({ "metadata": { "name": name }, "spec": null, "status": null });
        let object = objects.entry(name.into()).or_insert_with(new);
        change(object);
        object["metadata"]["revision"] = self.revision.into();
        let object = object.clone();
        self.history.push((self.revision, kind.into(), json!({ "deleted": false, "object": object })));
        object
    }
}

impl State {
    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change(&self, kind: &str, name: &str, change: impl FnOnce(&mut Value)) -> Value {
        let (object, revision) = {
            let mut inner = self.lock();
            (inner.data.change(kind, name, change), inner.data.revision)
        };
        self.changes.send_replace(revision);
        object
    }

    /// Values of the era header.
    fn era_header(&self) -> Vec<HeaderValue> {
        let inner = self.lock();
        match &inner.faults.era_header {
            Some(values) => values.iter().map(|value| HeaderValue::from_static(value)).collect(),
            None => vec![inner.era.into()],
        }
    }

    /// The JSON text of a response.
    fn encode(&self, value: &Value) -> String {
        let raw = self.lock().raw.clone();
        raw.iter().fold(value.to_string(), |text, (placeholder, spec)| text.replace(placeholder, spec))
    }

    async fn handle_request(
        self: &Arc<Self>,
        gateway: usize,
        req: Request<Incoming>,
    ) -> Result<(StatusCode, Value), CutOff> {
        let path: Vec<String> = req.uri().path().split('/').skip(2).map(str::to_owned).collect();
        let query: HashMap<String, String> = req
            .uri()
            .query()
            .unwrap_or_default()
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(key, value)| (key.to_owned(), value.to_owned()))
            .collect();
        *self.lock().calls.entry((gateway, path[0].clone())).or_default() += 1;
        if let Some(failure) = self.simulate_fault(gateway).await? {
            return Ok(failure);
        }
        let method = req.method().clone();
        if method == hyper::Method::PUT || method == hyper::Method::POST {
            let body = req.into_body().collect().await.map(|body| body.to_bytes()).unwrap_or_default();
            if path.last().is_some_and(|last| last == "status") {
                return Ok(self.put_status(&path, &body));
            }
            let late = self.lock().faults.late_writes;
            if let Some((_, delay)) = late.filter(|(late, _)| *late == gateway) {
                // A task of its own, since the caller closes the connection before that.
                let state = Arc::clone(self);
                tokio::spawn(async move {
                    sleep(delay).await;
                    let took_effect = state.write_spec(&path, &body).0.is_success();
                    let counts = &mut state.lock().late_writes;
                    *(if took_effect { &mut counts.0 } else { &mut counts.1 }) += 1;
                });
                return std::future::pending().await;
            }
            return Ok(self.write_spec(&path, &body));
        }
        match query.get("watch").and_then(|revision| revision.parse().ok()) {
            Some(revision) => {
                let wait = query.get("wait_ms").and_then(|wait| wait.parse().ok()).unwrap_or(0);
                self.watch(gateway, &path[0], revision, Duration::from_millis(wait)).await
            }
            None => Ok((StatusCode::OK, self.list(&path[0], query.get("after").map(String::as_str)))),
        }
    }

    async fn simulate_fault(&self, gateway: usize) -> Result<Option<(StatusCode, Value)>, CutOff> {
        let faults = self.lock().faults.clone();
        if faults.away {
            return Err(CutOff);
        }
        if faults.unresponsive || faults.unresponsive_to.contains(&gateway) {
            std::future::pending::<()>().await;
        }
        Ok(faults.down.then_some((StatusCode::SERVICE_UNAVAILABLE, Value::Null)))
    }

    fn list(&self, kind: &str, after: Option<&str>) -> Value {
        let inner = self.lock();
        let objects = inner.data.kinds.get(kind);
        let mut rest =
            objects.into_iter().flatten().filter(|(name, _)| after.is_none_or(|after| name.as_str() > after));
        let items: Vec<Value> = rest.by_ref().take(PAGE_SIZE).map(|(_, object)| object.clone()).collect();
        json!({ "items": items, "has_more": rest.next().is_some(), "store_revision": inner.data.revision })
    }

    async fn watch(
        &self,
        gateway: usize,
        kind: &str,
        revision: u64,
        wait: Duration,
    ) -> Result<(StatusCode, Value), CutOff> {
        let delay = self.lock().faults.watch_delay;
        sleep(delay).await;
        let until = Instant::now() + wait;
        let cuts = self.lock().cuts;
        let mut changes = self.changes.subscribe();
        loop {
            changes.borrow_and_update();
            if let Some(failure) = self.simulate_fault(gateway).await? {
                return Ok(failure);
            }
            {
                let inner = self.lock();
                if inner.cuts != cuts {
                    return Err(CutOff);
                }
                if revision < inner.data.dropped_revision || revision > inner.data.revision {
                    return Ok((StatusCode::GONE, Value::Null));
                }
                let events: Vec<Value> = inner
                    .data
                    .history
                    .iter()
                    .filter(|(at, of, _)| *at > revision && of == kind)
                    .map(|(_, _, event)| event.clone())
                    .collect();
                if !events.is_empty() || Instant::now() >= until {
                    return Ok((StatusCode::OK, json!({ "events": events, "store_revision": inner.data.revision })));
                }
            }
            let _ = timeout_at(until, changes.changed()).await;
        }
    }

    /// Creates the object named in `body`, or replaces the spec of the object named in `path` under the revision in
    /// `body`.
    fn write_spec(&self, path: &[String], body: &[u8]) -> (StatusCode, Value) {
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        let named = path.get(1).cloned();
        let name = named.clone().unwrap_or_else(|| body["metadata"]["name"].as_str().unwrap_or_default().to_owned());
        // The condition and the change are one step.
        let mut inner = self.lock();
        let known = inner.data.kinds.get(&path[0]).and_then(|objects| objects.get(&name)).cloned();
        match (named, known) {
            (Some(_), None) => return (StatusCode::NOT_FOUND, Value::Null),
            (None, Some(known)) => return (StatusCode::CONFLICT, known),
            (Some(_), Some(known)) if body["metadata"]["revision"] != known["metadata"]["revision"] => {
                return (StatusCode::CONFLICT, known);
            }
            (Some(_), Some(_)) | (None, None) => {}
        }
        let object = inner.data.change(&path[0], &name, |object| object["spec"] = body["spec"].clone());
        let revision = inner.data.revision;
        drop(inner);
        self.changes.send_replace(revision);
        (StatusCode::OK, object)
    }

    fn put_status(&self, path: &[String], body: &[u8]) -> (StatusCode, Value) {
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        // The condition and the change are one step.
        let mut inner = self.lock();
        let known = inner.data.kinds.get(&path[0]).and_then(|objects| objects.get(&path[1])).cloned();
        let Some(known) = known else { return (StatusCode::NOT_FOUND, Value::Null) };
        if body["metadata"]["revision"] != known["metadata"]["revision"] {
            return (StatusCode::CONFLICT, known);
        }
        let object = inner.data.change(&path[0], &path[1], |object| object["status"] = body["status"].clone());
        let revision = inner.data.revision;
        drop(inner);
        self.changes.send_replace(revision);
        (StatusCode::OK, object)
    }
}

async fn accept_connections(listener: TcpListener, state: Arc<State>, gateway: usize) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let state = Arc::clone(&state);
        let service = service_fn(move |req| {
            let state = Arc::clone(&state);
            async move {
                let (status, value) = state.handle_request(gateway, req).await?;
                let mut response = Response::new(Full::new(Bytes::from(state.encode(&value))));
                *response.status_mut() = status;
                for era in state.era_header() {
                    response.headers_mut().append(ERA_HEADER, era);
                }
                Ok::<_, CutOff>(response)
            }
        });
        tokio::spawn(hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}
