//! HTTP server of the platform stand-in.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use eyre::{Result, WrapErr, bail, eyre};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::{sleep, timeout_at};

use super::store::{FaultsUpdate, Store, StoredObject, WriteResult};

/// Largest value of an object.
const MAX_VALUE_BYTES: usize = 1_000_000;

type Reply = Response<Full<Bytes>>;

#[derive(Deserialize)]
struct Hosts {
    hosts: Vec<Value>,
}

/// Serves one call. An error closes the connection without a reply.
pub async fn serve(store: Arc<Store>, req: Request<Incoming>) -> Result<Reply> {
    let (parts, body) = req.into_parts();
    let body = match Limited::new(body, MAX_VALUE_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return Ok(status_reply(StatusCode::PAYLOAD_TOO_LARGE)),
    };
    let path = parts.uri.path().to_owned();
    if let Some(reply) = serve_control(&store, &parts.method, &path, &body) {
        return Ok(reply);
    }
    let if_version = parts.headers.get("if-version").and_then(|v| v.to_str().ok()?.parse().ok());
    let call =
        Call { method: parts.method, path, query: parts.uri.query().unwrap_or_default().to_owned(), if_version, body };
    // Runs in a separate task, which finishes the call even if the caller closes the connection.
    tokio::spawn(call.execute(store)).await.wrap_err("could not finish a call")?
}

/// Serves calls from the test that are not part of the platform's API. Returns `None` for other calls.
fn serve_control(store: &Store, method: &Method, path: &str, body: &[u8]) -> Option<Reply> {
    let host = path.strip_prefix("/hosts/");
    let reply = match (method.as_str(), path) {
        ("GET", "/calls") => json_reply(&json!(store.calls())),
        ("GET", "/fault") => json_reply(&json!(store.faults())),
        ("POST", "/fault") => match serde_json::from_slice::<FaultsUpdate>(body) {
            Ok(change) => {
                store.set_faults(|faults| change.apply(faults));
                json_reply(&json!(store.faults()))
            }
            Err(err) => bad_request_reply(&err),
        },
        ("PUT", "/hosts") => match serde_json::from_slice::<Hosts>(body) {
            Ok(Hosts { hosts }) => {
                let entries = hosts.into_iter().map(|host| (host["id"].as_str().unwrap_or_default().to_owned(), host));
                store.change_hosts(|hosts| *hosts = entries.collect());
                status_reply(StatusCode::OK)
            }
            Err(err) => bad_request_reply(&err),
        },
        ("PUT", _) => match (host?, serde_json::from_slice::<Value>(body)) {
            (id, Ok(entry)) => {
                store.change_hosts(|hosts| drop(hosts.insert(id.to_owned(), entry)));
                status_reply(StatusCode::OK)
            }
            (_, Err(err)) => bad_request_reply(&err),
        },
        ("DELETE", _) => {
            let id = host?;
            store.change_hosts(|hosts| drop(hosts.remove(id)));
            status_reply(StatusCode::OK)
        }
        _ => return None,
    };
    Some(reply)
}

struct Call {
    method: Method,
    path: String,
    query: String,
    if_version: Option<u64>,
    body: Bytes,
}

impl Call {
    async fn execute(self, store: Arc<Store>) -> Result<Reply> {
        let kind = self.kind();
        store.count_call(kind);
        let faults = store.faults();
        if faults.slow_ms > 0 {
            sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if store.faults().down {
            return Ok(status_reply(StatusCode::SERVICE_UNAVAILABLE));
        }
        let key = self.path.strip_prefix("/objects/").unwrap_or_default();
        match kind {
            "get" => Ok(store.get(key).map_or_else(|| status_reply(StatusCode::NOT_FOUND), object_reply)),
            "put" => write_reply(&store, key, &store.put(key, self.if_version, self.body)),
            "delete" => write_reply(&store, key, &store.delete(key, self.if_version)),
            "list" => Ok(json_reply(&json!({ "keys": store.list(self.parameter("prefix").unwrap_or_default()) }))),
            "hosts" => Ok(json_reply(&json!({ "hosts": store.hosts() }))),
            "watch" => self.watch(&store).await,
            _ => Ok(status_reply(StatusCode::NOT_FOUND)),
        }
    }

    fn kind(&self) -> &'static str {
        match (self.method.as_str(), self.path.as_str()) {
            ("GET", "/objects") => "list",
            ("GET", "/hosts") => "hosts",
            ("GET", path) if path.starts_with("/watch/") => "watch",
            ("GET", path) if path.starts_with("/objects/") => "get",
            ("PUT", path) if path.starts_with("/objects/") => "put",
            ("DELETE", path) if path.starts_with("/objects/") => "delete",
            _ => "unknown",
        }
    }

    async fn watch(&self, store: &Store) -> Result<Reply> {
        let key = self.path.strip_prefix("/watch/").unwrap_or_default();
        let after: u64 = self.parse_parameter("after")?;
        let deadline = Instant::now() + Duration::from_millis(self.parse_parameter("timeout_ms")?);
        let mut changes = store.changes();
        loop {
            changes.mark_unchanged();
            let faults = store.faults();
            if faults.down {
                return Ok(status_reply(StatusCode::SERVICE_UNAVAILABLE));
            }
            if let Some(object) = store.get(key).filter(|object| object.version > after) {
                let lag = Duration::from_millis(faults.watch_lag_ms).saturating_sub(object.written_at.elapsed());
                sleep(lag).await;
                return Ok(store.get(key).map_or_else(|| status_reply(StatusCode::NO_CONTENT), object_reply));
            }
            if timeout_at(deadline.into(), changes.changed()).await.is_err() {
                return Ok(status_reply(StatusCode::NO_CONTENT));
            }
        }
    }

    fn parse_parameter(&self, name: &str) -> Result<u64> {
        let text = self.parameter(name).ok_or_else(|| eyre!("could not find parameter {name}"))?;
        text.parse().wrap_err_with(|| format!("could not parse parameter {name}"))
    }

    fn parameter(&self, name: &str) -> Option<&str> {
        let mut pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

/// Replies to a write, unless the reply is to be lost.
fn write_reply(store: &Store, key: &str, result: &WriteResult) -> Result<Reply> {
    if matches!(result, WriteResult::Applied(_)) && store.consume_lost_answer(key) {
        bail!("the reply to a write of {key} is lost");
    }
    Ok(match result {
        WriteResult::Applied(version) => json_reply(&json!({ "version": version })),
        WriteResult::Conflict => status_reply(StatusCode::CONFLICT),
        WriteResult::NotFound => status_reply(StatusCode::NOT_FOUND),
    })
}

fn object_reply(object: StoredObject) -> Reply {
    let mut reply = Response::new(Full::new(object.value));
    reply.headers_mut().insert("x-version", object.version.into());
    reply
}

fn json_reply(value: &Value) -> Reply {
    Response::new(Full::new(value.to_string().into()))
}

fn bad_request_reply(err: &serde_json::Error) -> Reply {
    let mut reply = Response::new(Full::new(err.to_string().into()));
    *reply.status_mut() = StatusCode::BAD_REQUEST;
    reply
}

fn status_reply(status: StatusCode) -> Reply {
    let mut reply = Response::new(Full::default());
    *reply.status_mut() = status;
    reply
}
